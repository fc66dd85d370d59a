package entry

import (
	"time"

	"apricotbridge/internal/membership"
	"apricotbridge/internal/routing"
	"apricotbridge/pkg/config"
)

// View is the control state that traffic reads. It never changes after it is
// published.
type View struct {
	// Revision is the configuration revision in force; 0 means none yet.
	Revision int64
	// Confirmed says how sure the revision is.
	Confirmed string
	Index     *Index
	Members   []membership.Member
	Table     *routing.Table
	// Daemons are all known daemons, this one included.
	Daemons []membership.Daemon
	// Entries are the daemons that callers of this place should use, in order.
	Entries  []membership.Daemon
	Draining bool
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
