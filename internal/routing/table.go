package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Server is one backend server as membership and placement know it.
type Server struct {
	ID          string
	Incarnation int64
	Address     string
	Service     string
	Place       string
	Region      string
	Class       string
	// Slots is how many requests the server runs at a time.
	Slots int
	// TokensPerSecond is the rate of generation with all slots in use.
	TokensPerSecond float64
	// PrefillTokensPerSecond is the rate at which prompt tokens are computed.
	PrefillTokensPerSecond float64
	// CacheTokens is the size of the prompt prefix cache.
	CacheTokens int
	// PricePerHour is the price of the whole instance.
	PricePerHour float64
	// Accepting is false for a server that is starting, leaving or gone.
	Accepting bool
	// Suspect marks a server with recent connection failures.
	Suspect bool
}

// Link joins two regions, in both directions.
type Link struct {
	From, To string
	// Delay is the one-way delay.
	Delay            time.Duration
	PricePerGigabyte float64
	BytesPerSecond   float64
}

// Table is an immutable set of servers and links. All daemons that hold equal sets
// of servers derive the same preferences from them, in whatever order they are listed.
type Table struct {
	servers  []Server
	hashes   []uint64
	byID     map[string]int
	services map[string][]int
	// locals holds the servers of a service in one region.
	locals map[local][]int
	// regions numbers the regions; regionOf holds the number of each server's region,
	// and links the link between two numbers. Decisions look links up for every server.
	regions  map[string]int
	regionOf []int
	links    [][]*Link
}

type local struct{ service, region string }

// NewTable copies the servers and links into a table.
func NewTable(servers []Server, links []Link) *Table {
	t := &Table{
		servers:  append([]Server(nil), servers...),
		hashes:   make([]uint64, len(servers)),
		byID:     make(map[string]int, len(servers)),
		services: make(map[string][]int),
		locals:   make(map[local][]int),
		regions:  make(map[string]int),
		regionOf: make([]int, len(servers)),
	}
	for i := range t.servers {
		s := &t.servers[i]
		t.hashes[i] = xxhash.Sum64String(s.ID)
		t.byID[s.ID] = i
		t.services[s.Service] = append(t.services[s.Service], i)
		here := local{s.Service, s.Region}
		t.locals[here] = append(t.locals[here], i)
		t.regionOf[i] = t.region(s.Region)
	}
	for _, l := range links {
		t.region(l.From)
		t.region(l.To)
	}
	t.links = make([][]*Link, len(t.regions))
	for i := range t.links {
		t.links[i] = make([]*Link, len(t.regions))
	}
	for _, l := range links {
		from, to := t.regions[l.From], t.regions[l.To]
		t.links[from][to], t.links[to][from] = &l, &l
	}
	return t
}

// near returns the servers of a call's service in the daemon's region. Where none of
// them accepts work, it returns all.
func (t *Table) near(call *Call) []int {
	near := t.locals[local{call.Service, call.Region}]
	for _, i := range near {
		if t.servers[i].Accepting {
			return near
		}
	}
	return t.services[call.Service]
}

func (t *Table) region(name string) int {
	i, ok := t.regions[name]
	if !ok {
		i = len(t.regions)
		t.regions[name] = i
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
	i, known := t.regions[from]
	j, also := t.regions[to]
	if !known || !also || i == j || t.links[i][j] == nil {
		return Link{}, false
	}
	return *t.links[i][j], true
}
