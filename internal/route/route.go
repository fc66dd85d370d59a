// Package route selects the route of a request by host and path, and a service of
// the route. A Table is immutable; each configuration gets a new one.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Repeat defines whether a request may be retried at another backend server after
// it may have run at one.
type Repeat int

// Values of Repeat.
const (
	// Never means that the request runs at most once.
	Never Repeat = iota
	// Always means that the request is idempotent.
	Always
	// Resume means that a broken stream may continue at another backend server after
	// its last event.
	Resume
)

// String returns the name of the value.
func (r Repeat) String() string { return [...]string{"Never", "Always", "Resume"}[r] }

// Share is the part of a route's traffic that goes to one service.
type Share struct {
	Service string
	// Weight is relative to the sum of the route's weights.
	Weight float64
}

// Route defines how requests to a host under a path prefix are served.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Repeat Repeat
	// Stream is set when responses are event streams.
	Stream bool
	// Timeout bounds the time to the complete answer.
	Timeout time.Duration
	// TargetLatency is the operator's objective for the time to the answer or, for a stream,
	// to its first event.
	TargetLatency time.Duration
	// TargetEventGap is the operator's objective for the longest time between two events of a
	// stream.
	TargetEventGap time.Duration
	// Rank is the priority class; 0 is the most urgent.
	Rank int
	// Attempts bounds the number of backend servers to which one request is sent.
	Attempts int
	// Public is set when requests need no API key.
	Public bool
	// HasPromptParts is set when requests describe the parts of their prompt, for the prefix
	// cache.
	HasPromptParts bool
	Shares         []Share
}

// ChooseService returns the service for the request with the given id, chosen by a hash of
// the id and the weights of Shares. All daemons choose the same service for an id.
func (r *Route) ChooseService(id string) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		if len(r.Shares) == 0 {
			return ""
		}
		return r.Shares[0].Service
	}
	remaining := float64(xxhash.Sum64String(id)>>11) / (1 << 53) * total
	for _, s := range r.Shares {
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Table holds the routes of a configuration.
type Table struct {
	hosts map[string][]*Route
}

// NewTable returns a table of the given routes.
func NewTable(routes []Route) *Table {
	t := &Table{hosts: map[string][]*Route{}}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		t.hosts[host] = append(t.hosts[host], &routes[i])
	}
	for _, hostRoutes := range t.hosts {
		slices.SortStableFunc(hostRoutes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Match returns the route of the host with the longest matching path prefix, or nil.
// A port in host is ignored.
func (t *Table) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
