package gateway

import (
	"time"

	"apricotbridge/internal/quota"
	"apricotbridge/internal/route"
)

// Configuration is the operators' configuration. It is immutable.
type Configuration struct {
	// Version rises with each change.
	Version       int64
	Routes        []route.Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
	// Document is the source text. It is sent to peers that can't reach the store.
	Document []byte
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string
	// MaxConnections bounds the connections of all daemons together to one server.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
	// Scaling is nil for a service whose servers can't be ordered.
	Scaling *Scaling
}

// Engine describes the model servers of a service.
type Engine struct {
	// Slots is how many requests a server runs at a time.
	Slots int
	// CacheTokens is the size of a server's key-value cache in tokens. Running requests
	// and cached prefixes share it.
	CacheTokens int
}

// Scaling bounds the servers that may be ordered in each place.
type Scaling struct {
	Min, Max int
	// BootTime is the time from an order until a server takes its first request.
	BootTime time.Duration
	// ReclaimablePrice is the price of a reclaimable server as a fraction of that of a
	// steady one; 0 means that the service has no reclaimable servers.
	ReclaimablePrice float64
	// Prices holds the price of a steady server per second, by place.
	Prices map[string]float64
}

// Organisation is a customer.
type Organisation struct {
	Name string
	// Keys are the credentials of its callers.
	Keys []string
	// Rank overrides the rank of the route; nil leaves it.
	Rank *int
	// CountTokens means that the quota counts tokens instead of requests.
	CountTokens bool
	// DefaultTokens is charged to the quota for a request that does not state its tokens.
	DefaultTokens int
	Quota         quota.Limit
}

// Limits bound the size and time of callers' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// index is a configuration with lookup tables.
type index struct {
	*Configuration
	routes   *route.Table
	keys     map[string]*Organisation
	services map[string]*Service
}

func newIndex(c *Configuration) *index {
	x := &index{
		Configuration: c, routes: route.NewTable(c.Routes),
		keys: map[string]*Organisation{}, services: map[string]*Service{},
	}
	for i := range c.Organisations {
		for _, key := range c.Organisations[i].Keys {
			x.keys[key] = &c.Organisations[i]
		}
	}
	for i := range c.Services {
		x.services[c.Services[i].Name] = &c.Services[i]
	}
	return x
}

func (x *index) quotas() map[string]quota.Limit {
	limits := make(map[string]quota.Limit, len(x.Organisations))
	for i := range x.Organisations {
		limits[x.Organisations[i].Name] = x.Organisations[i].Quota
	}
	return limits
}
