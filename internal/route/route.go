// Package route selects the route of a request by host and path, and the service
// that serves it. A Table is immutable; a new configuration brings a new one.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Repeat says whether a request may reach a second backend server after it may
// have run at a first one.
type Repeat int

// The ways to repeat a request.
const (
	// Never means that the request runs at most once.
	Never Repeat = iota
	// Always means that the request is idempotent.
	Always
	// Resume means that a broken stream may go on at another backend server after
	// its last event.
	Resume
)

// String returns the name of the way to repeat.
func (r Repeat) String() string { return [...]string{"Never", "Always", "Resume"}[r] }

// Share is a part of a route's traffic.
type Share struct {
	Service string
	// Weight is relative to the sum of the route's weights.
	Weight float64
}

// Route says how the requests of a host under a path prefix are served.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Repeat Repeat
	// Stream says that the response is a series of events.
	Stream bool
	// Timeout is the longest time to a final answer.
	Timeout time.Duration
	// Target is the time to the answer, or to the first event of a stream, that
	// the operator asks for.
	Target time.Duration
	// Gap is the longest pause between events that the operator asks for.
	Gap time.Duration
	// Rank orders requests by urgency; 0 is the most urgent.
	Rank int
	// Attempts bounds the backend servers at which one request may run.
	Attempts int
	// Public routes need no key.
	Public bool
	// Prompt says that requests name the parts of their prompt.
	Prompt bool
	Shares []Share
}

// Service returns the service for the request with the given id. The same id gets
// the same service at each daemon.
func (r *Route) Service(id string) string {
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
	drawn := float64(xxhash.Sum64String(id)>>11) / (1 << 53) * total
	for _, s := range r.Shares {
		if drawn < s.Weight {
			return s.Service
		}
		drawn -= s.Weight
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
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Match returns the route with the longest prefix that begins the path, nil when
// there is none. A port in host is ignored.
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
