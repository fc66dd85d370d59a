package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"apricotbridge/internal/admission"
	"apricotbridge/internal/quarantine"
	"apricotbridge/pkg/config"
)

// Index is a configuration with maps for look-ups.
type Index struct {
	Config        *config.Configuration
	services      map[string]*config.Service
	models        map[string]*config.Service
	ranks         map[string]int
	organisations map[string]*config.Organisation
	regions       map[string]string
	classes       map[string]*config.Class
}

// NewIndex builds the index of a configuration.
func NewIndex(c *config.Configuration) *Index {
	x := &Index{
		Config: c, services: map[string]*config.Service{}, models: map[string]*config.Service{},
		ranks: map[string]int{}, organisations: map[string]*config.Organisation{},
		regions: map[string]string{}, classes: map[string]*config.Class{},
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
	for _, p := range c.Places {
		x.regions[p.Name] = p.Region
	}
	for i := range c.Classes {
		x.classes[c.Classes[i].Name] = &c.Classes[i]
	}
	return x
}

// OrganisationByToken returns the organisation with a bearer token, or nil.
func (x *Index) OrganisationByToken(token string) *config.Organisation {
	sum := sha256.Sum256([]byte(token))
	return x.organisations[hex.EncodeToString(sum[:])]
}

// OrganisationByName returns an organisation by name, or nil.
func (x *Index) OrganisationByName(name string) *config.Organisation {
	for i := range x.Config.Organisations {
		if x.Config.Organisations[i].Name == name {
			return &x.Config.Organisations[i]
		}
	}
	return nil
}

// ModelService returns the service that serves a model, or nil.
func (x *Index) ModelService(name string) *config.Service { return x.models[name] }

// Service returns a service by name, or nil.
func (x *Index) Service(name string) *config.Service { return x.services[name] }

// RankPosition returns the position of a rank; 0 is the most urgent.
func (x *Index) RankPosition(name string) (int, bool) {
	i, ok := x.ranks[name]
	return i, ok
}

// Region returns the region of a place, or "".
func (x *Index) Region(place string) string { return x.regions[place] }

// Class returns a machine class by name, or nil.
func (x *Index) Class(name string) *config.Class { return x.classes[name] }

// admissionRanks returns the ranks in the form of the admission queue.
func (x *Index) admissionRanks() []admission.Rank {
	ranks := make([]admission.Rank, 0, len(x.Config.Ranks))
	for _, r := range x.Config.Ranks {
		ranks = append(ranks, admission.Rank{
			Name: r.Name, FirstToken: time.Duration(r.FirstToken), Deadline: time.Duration(r.Deadline),
			Floor: r.Floor, Worth: r.Worth,
		})
	}
	return ranks
}

// admissionOrganisations returns the organisations in the form of the admission
// queue.
func (x *Index) admissionOrganisations() []admission.Organisation {
	organisations := make([]admission.Organisation, 0, len(x.Config.Organisations))
	for _, o := range x.Config.Organisations {
		organisations = append(organisations, admission.Organisation{
			Name: o.Name, Weight: o.Weight, RequestsPerSecond: o.RequestsPerSecond, MaxQueued: o.MaxQueued,
		})
	}
	return organisations
}

// quarantineLimits returns the limits of the quarantine list.
func (x *Index) quarantineLimits() quarantine.Options {
	q := x.Config.Quarantine
	if q == nil {
		return quarantine.Options{}
	}
	return quarantine.Options{MaxCrashes: q.Crashes, Expiry: q.Expiry.Or(0)}
}

// allows reports whether a list permits a name; an empty list permits all.
func allows(list []string, name string) bool {
	return len(list) == 0 || slices.Contains(list, name)
}
