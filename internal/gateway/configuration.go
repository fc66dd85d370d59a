package gateway

import (
	"time"

	"apricotbridge/internal/quota"
	"apricotbridge/internal/route"
)

// Configuration is what the operators have put in force. It is immutable.
type Configuration struct {
	// Version rises with each change.
	Version       int64
	Routes        []route.Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
	// Document is the text from which the configuration was read, for peers that
	// can't reach the store.
	Document []byte
}

// Service is a set of backend servers that run the same program.
type Service struct {
	Name string
	// MaxConnections is how many connections one server takes from all daemons.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
	// Scaling is nil for a service whose servers can't be ordered.
	Scaling *Scaling
}

// Engine describes the servers of a service that run models.
type Engine struct {
	// Slots is how many requests a server runs at a time.
	Slots int
	// CacheTokens is the memory that running requests and cached parts share.
	CacheTokens int
}

// Scaling bounds the servers that may be ordered in each place.
type Scaling struct {
	Min, Max int
	// Boot is the time from an order to the first request.
	Boot time.Duration
	// ReclaimablePrice is the price of a reclaimable server as a part of that of
	// another; 0 means that there are none.
	ReclaimablePrice float64
	// Prices holds the price of a server per second by place.
	Prices map[string]float64
}

// Organisation is a customer.
type Organisation struct {
	Name string
	// Keys are the credentials of its callers.
	Keys []string
	// Rank replaces the rank of the route; nil leaves it.
	Rank *int
	// CountTokens says that the quota counts tokens instead of requests.
	CountTokens bool
	// DefaultTokens is what a request without stated tokens counts.
	DefaultTokens int
	Quota         quota.Limit
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// index is a configuration with the tables that requests look up.
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
