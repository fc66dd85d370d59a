package routing

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Server is a backend server with the data from membership and placement.
type Server struct {
	ID          string
	Incarnation int64
	Address     string
	Service     string
	// Version is that of the server's software.
	Version string
	// VersionRecorded means that Version is recorded durably for its service.
	VersionRecorded bool
	Place           string
	Region          string
	Class           string
	// Slots is the number of requests that the server runs at a time.
	Slots int
	// TokensPerSecond is the rate of generation with all slots in use.
	TokensPerSecond float64
	// PrefillTokensPerSecond is the rate at which prompt tokens are computed.
	PrefillTokensPerSecond float64
	// CacheTokens is the size of the prompt prefix cache.
	CacheTokens int
	// PricePerHour is the price of the whole instance.
	PricePerHour float64
	// Accepting is false for a server that is starting, leaving or stopped.
	Accepting bool
	// Suspect marks a server with recent connection failures.
	Suspect bool
	// RateLimit is this daemon's share of the rate of calls that the server takes.
	RateLimit RateLimit
}

// Link connects two regions in both directions.
type Link struct {
	From, To string
	// Delay is the one-way delay.
	Delay            time.Duration
	PricePerGigabyte float64
	BytesPerSecond   float64
}

// Table is an immutable set of servers and links. All daemons with equal sets of servers
// derive the same hash preferences from them, in whatever order the servers are listed.
type Table struct {
	servers  []Server
	hashes   []uint64
	byID     map[string]int
	services map[string][]int
	// limitedServices lists the services with a server that has a RateLimit.
	limitedServices []string
	// serversByRegion lists the servers of each service in each region.
	serversByRegion map[serviceRegion][]int
	// regionNumbers numbers the regions, serverRegions holds the number of each server's
	// region, and links is indexed by two numbers, as decisions need the link of every server.
	regionNumbers map[string]int
	serverRegions []int
	links         [][]*Link
	shifts        map[string]Shift
}

type serviceRegion struct{ service, region string }

// NewTable copies the servers and links into a table.
func NewTable(servers []Server, links []Link) *Table {
	t := &Table{
		servers:         append([]Server(nil), servers...),
		hashes:          make([]uint64, len(servers)),
		byID:            make(map[string]int, len(servers)),
		services:        make(map[string][]int),
		serversByRegion: make(map[serviceRegion][]int),
		regionNumbers:   make(map[string]int),
		serverRegions:   make([]int, len(servers)),
	}
	for i := range t.servers {
		s := &t.servers[i]
		t.hashes[i] = xxhash.Sum64String(s.ID)
		t.byID[s.ID] = i
		t.services[s.Service] = append(t.services[s.Service], i)
		key := serviceRegion{s.Service, s.Region}
		t.serversByRegion[key] = append(t.serversByRegion[key], i)
		t.serverRegions[i] = t.addRegion(s.Region)
		if s.RateLimit.Limited && !slices.Contains(t.limitedServices, s.Service) {
			t.limitedServices = append(t.limitedServices, s.Service)
		}
	}
	for _, l := range links {
		t.addRegion(l.From)
		t.addRegion(l.To)
	}
	t.links = make([][]*Link, len(t.regionNumbers))
	for i := range t.links {
		t.links[i] = make([]*Link, len(t.regionNumbers))
	}
	for _, l := range links {
		from, to := t.regionNumbers[l.From], t.regionNumbers[l.To]
		t.links[from][to], t.links[to][from] = &l, &l
	}
	return t
}

// regionalServers returns the servers of a call's service in the daemon's region, or all
// servers of the service when none of the region accepts work.
func (t *Table) regionalServers(call *Call) []int {
	near := t.serversByRegion[serviceRegion{call.Service, call.Region}]
	for _, i := range near {
		if t.servers[i].Accepting && call.accepts(&t.servers[i]) {
			return near
		}
	}
	return t.services[call.Service]
}

func (t *Table) addRegion(name string) int {
	i, ok := t.regionNumbers[name]
	if !ok {
		i = len(t.regionNumbers)
		t.regionNumbers[name] = i
	}
	return i
}

// Server returns the server with the given id.
func (t *Table) Server(id string) (Server, bool) {
	i, ok := t.byID[id]
	if !ok {
		return Server{}, false
	}
	return t.servers[i], true
}

// Len returns the number of servers.
func (t *Table) Len() int { return len(t.servers) }

// Link returns the link between two regions. Within a region there is none.
func (t *Table) Link(from, to string) (Link, bool) {
	i, fromKnown := t.regionNumbers[from]
	j, toKnown := t.regionNumbers[to]
	if !fromKnown || !toKnown || i == j || t.links[i][j] == nil {
		return Link{}, false
	}
	return *t.links[i][j], true
}
