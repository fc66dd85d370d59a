package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"apricotbridge/internal/instances"
	"apricotbridge/pkg/config"
)

// View is the control state that traffic reads. It never changes after it is
// published.
type View struct {
	// Revision is the configuration revision in force; 0 means none yet.
	Revision int64
	Index    *Index
	Servers  []instances.Instance
	Peers    []Registration
	Draining bool
}

// Registration is what a daemon writes of itself to the key-value service.
type Registration struct {
	Daemon          string `json:"Daemon"`
	Region          string `json:"Region"`
	Place           string `json:"Place"`
	CallerAddress   string `json:"CallerAddress"`
	PeerAddress     string `json:"PeerAddress"`
	OperatorAddress string `json:"OperatorAddress"`
	Draining        bool   `json:"Draining,omitempty"`
}

// Index is a configuration prepared for look-ups.
type Index struct {
	Config        *config.Configuration
	services      map[string]*config.Service
	models        map[string]*config.Service
	ranks         map[string]int
	organisations map[string]*config.Organisation
}

// NewIndex prepares a configuration for look-ups.
func NewIndex(c *config.Configuration) *Index {
	x := &Index{
		Config: c, services: map[string]*config.Service{}, models: map[string]*config.Service{},
		ranks: map[string]int{}, organisations: map[string]*config.Organisation{},
	}
	for i := range c.Services {
		s := &c.Services[i]
		x.services[s.Name] = s
		if s.Kind != config.ServiceKindModel {
			continue
		}
		x.models[s.Name] = s
		for _, model := range s.Models {
			x.models[model] = s
		}
	}
	for i, r := range c.Ranks {
		x.ranks[r.Name] = i
	}
	for i := range c.Organisations {
		for _, hash := range c.Organisations[i].TokenHashes {
			x.organisations[hash] = &c.Organisations[i]
		}
	}
	return x
}

// Organisation returns the organisation of a bearer token, or nil.
func (x *Index) Organisation(token string) *config.Organisation {
	sum := sha256.Sum256([]byte(token))
	return x.organisations[hex.EncodeToString(sum[:])]
}

// Model returns the service that serves a model, or nil.
func (x *Index) Model(name string) *config.Service { return x.models[name] }

// Service returns a service by name, or nil.
func (x *Index) Service(name string) *config.Service { return x.services[name] }

// Rank returns the rank and its position, 0 being the most urgent.
func (x *Index) Rank(name string) (config.Rank, int, bool) {
	i, ok := x.ranks[name]
	if !ok {
		return config.Rank{}, 0, false
	}
	return x.Config.Ranks[i], i, true
}

// allows reports whether a list of names permits one; an empty list permits all.
func allows(list []string, name string) bool {
	if len(list) == 0 {
		return true
	}
	for _, n := range list {
		if n == name {
			return true
		}
	}
	return false
}

// serviceTimeout is the longest time for one call of a plain service.
func serviceTimeout(s *config.Service) time.Duration {
	const defaultServiceTimeout = 30 * time.Second
	return s.Timeout.Or(defaultServiceTimeout)
}
