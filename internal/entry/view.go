package entry

import (
	"time"

	"apricotbridge/internal/membership"
	"apricotbridge/internal/routing"
	"apricotbridge/internal/usage"
	"apricotbridge/pkg/config"
)

// View is a snapshot of the control state for traffic goroutines. It never changes
// after it is published.
type View struct {
	// Revision is the configuration revision in force; 0 means none yet.
	Revision int64
	// Confirmed names what confirmed the revision, and Alarm why a newer one is not
	// in force.
	Confirmed string
	Alarm     string
	Index     *Index
	Members   []membership.Member
	Table     *routing.Table
	// Daemons are all known daemons, including this one.
	Daemons []membership.Daemon
	// missingDaemons is the number of known daemons that the last list of
	// registrations lacked.
	missingDaemons int
	// reachable has the ids of the daemons that are not marked as unreachable.
	reachable map[string]bool
	// Entries are the daemons that callers of this place should use, in order of
	// preference.
	Entries  []membership.Daemon
	Draining bool
	// Relay is set when this daemon reads the configuration and the instance list for
	// its place; the other daemons receive them from peers.
	Relay bool
	// regionUsage is the usage of this daemon's region, for placement, and
	// regionUsageAt when it changed.
	regionUsage   usage.Sums
	regionUsageAt time.Time
	// serverDeadlines has the deadlines of leaving servers, by server id.
	serverDeadlines map[string]time.Time
}

// routingTable builds the routing table from members, configuration and prices.
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

// serviceTimeout bounds one call of a plain service.
func serviceTimeout(s *config.Service) time.Duration {
	const defaultServiceTimeout = 30 * time.Second
	return s.Timeout.Or(defaultServiceTimeout)
}

// Numbers of relays. In a small fleet every daemon is a relay.
const (
	maxDaemonsWithoutRelays = 16
	relaysPerPlace          = 2
)

// isRelay reports whether this daemon is a relay of its place. Relays are the daemons
// with the lowest rendezvous weights rather than holders of a lease: two that read at
// once do no harm, and a dead one is replaced as soon as its links break. The highest
// weight makes a daemon the root of the usage tree; both roles together would exceed
// the 17 KB/s that a daemon may use for control traffic.
func (c *controlState) isRelay() bool {
	daemons := c.view.Daemons
	if len(daemons) <= maxDaemonsWithoutRelays {
		return true
	}
	own := usage.Weight(c.d.self())
	lower := 0
	for _, other := range daemons {
		if other.Place == c.d.Settings.Place && !other.Draining && usage.Weight(other) < own {
			lower++
		}
	}
	return lower < relaysPerPlace
}
