package entry

import (
	"time"

	"apricotbridge/internal/membership"
	"apricotbridge/internal/routing"
	"apricotbridge/internal/usage"
	"apricotbridge/pkg/config"
)

// View is the control state that traffic reads. It never changes after it is
// published.
type View struct {
	// Revision is the configuration revision in force; 0 means none yet.
	Revision int64
	// Confirmed says how sure the revision is, and Alarm why a newer one is not in
	// force.
	Confirmed string
	Alarm     string
	Index     *Index
	Members   []membership.Member
	Table     *routing.Table
	// Daemons are all known daemons, this one included.
	Daemons []membership.Daemon
	// missing is how many daemons the last list of registrations lacked.
	missing int
	// reached are the ids of the daemons whose links have not broken of late.
	reached map[string]bool
	// Entries are the daemons that callers of this place should use, in order.
	Entries  []membership.Daemon
	Draining bool
	// Relay says that this daemon reads the configuration and the instance list
	// for its place; the others learn them from peers.
	Relay bool
	// usage has the usage of the own region, for placement, and usageAt when it
	// changed.
	usage   usage.Sums
	usageAt time.Time
	// ends has the deadlines of leaving servers.
	ends map[string]time.Time
}

// routingTable builds the table of servers for decisions.
func (c *controlState) routingTable(now time.Time) *routing.Table {
	if c.view.Index == nil {
		return routing.NewTable(nil, nil)
	}
	x := c.view.Index
	var servers []routing.Server
	for _, m := range c.members.Snapshot() {
		if m.State == membership.Gone {
			continue
		}
		s := routing.Server{
			ID: m.Server, Incarnation: m.Incarnation, Address: m.Address, Service: m.Service, Place: m.Place,
			Region: x.Region(m.Place), Class: m.Class, PricePerHour: c.prices[m.Server],
			Accepting: m.State == membership.Serving, Suspect: m.Suspect(now), Slots: defaultSlots,
		}
		if class := x.Class(m.Class); class != nil {
			s.Slots, s.TokensPerSecond = class.Slots, class.TokensPerSecond
			s.PrefillTokensPerSecond, s.CacheTokens = class.PrefillTokensPerSecond, class.CacheTokens
		}
		servers = append(servers, s)
	}
	links := make([]routing.Link, 0, len(x.Config.Links))
	for _, l := range x.Config.Links {
		links = append(links, routing.Link{
			From: l.From, To: l.To, Delay: time.Duration(l.Delay),
			PricePerGigabyte: l.PricePerGigabyte, BytesPerSecond: float64(l.BytesPerSecond),
		})
	}
	return routing.NewTable(servers, links)
}

// defaultSlots is used for a server whose class is not configured.
const defaultSlots = 8

// serviceTimeout is the longest time for one call of a plain service.
func serviceTimeout(s *config.Service) time.Duration {
	const defaultServiceTimeout = 30 * time.Second
	return s.Timeout.Or(defaultServiceTimeout)
}

// Numbers of relays. A small fleet needs none: each daemon reads for itself.
const (
	readAllDaemons = 16
	relaysPerPlace = 2
)

// relay reports whether this daemon reads for its place. Relays are chosen by
// rendezvous hash of the known daemons rather than by a lease: two that read at
// once do no harm, and a dead one is replaced as soon as its links are gone. The
// lowest weights are taken, because the highest one makes a daemon the root of the
// sums of usage, and both roles together would be over 17 KB/s.
func (c *controlState) relay() bool {
	daemons := c.view.Daemons
	if len(daemons) <= readAllDaemons {
		return true
	}
	own := usage.Weight(c.d.self())
	before := 0
	for _, other := range daemons {
		if other.Place == c.d.Settings.Place && !other.Draining && usage.Weight(other) < own {
			before++
		}
	}
	return before < relaysPerPlace
}
