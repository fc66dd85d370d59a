package entry

import (
	"context"
	"slices"
	"time"

	"apricotbridge/internal/adoption"
	"apricotbridge/internal/instances"
	"apricotbridge/internal/membership"
	"apricotbridge/internal/routing"
)

// controlTick is the period of the work that depends on time alone.
const controlTick = 100 * time.Millisecond

// daemonsRefresh bounds the age of the published daemons when they did not change,
// because one that was left out returns with time. The lists take 1.5 ms with 380
// daemons, and about 40 events a second are published.
const daemonsRefresh = time.Second

// event changes the control state; it runs in the control goroutine.
type event func(c *controlState, now time.Time)

// controlState is owned by the control goroutine.
type controlState struct {
	d       *Daemon
	members membership.Set
	daemons membership.Daemons
	// prices and ends are those of the instance list.
	prices map[string]float64
	ends   map[string]time.Time
	// stale says that the routing table has to be built again.
	stale bool
	// suspicion is when the next suspicion ends.
	suspicion time.Time
	// daemonsVersion and daemonsAt are those of the daemons in the view.
	daemonsVersion uint64
	daemonsAt      time.Time
	exchange       exchange
	adoption       adoption.State
	view           View
}

// post hands an event to the control goroutine and waits while its queue is full.
func (d *Daemon) post(ctx context.Context, e event) {
	select {
	case d.events <- e:
	case <-ctx.Done():
	}
}

// tell hands an event to the control goroutine unless its queue is full. It is
// for hints that traffic has and that come again.
func (d *Daemon) tell(e event) {
	select {
	case d.events <- e:
	default:
	}
}

// control applies events one by one and publishes a new view after each.
func (d *Daemon) control(ctx context.Context) error {
	c := newControlState(d)
	tick := time.NewTicker(controlTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-d.events:
			now := time.Now()
			e(c, now)
			c.drainEvents(now)
			c.publish(now)
		case now := <-tick.C:
			c.tick(now)
			c.publish(now)
			d.dispatcher.Tick(now)
		}
	}
}

func newControlState(d *Daemon) *controlState {
	return &controlState{
		d: d, daemons: membership.Daemons{Self: d.self()},
		prices: map[string]float64{}, ends: map[string]time.Time{}, adoption: newAdoption(d),
	}
}

// drainEvents applies the events that wait already, so that a burst is published
// once.
func (c *controlState) drainEvents(now time.Time) {
	for range len(c.d.events) {
		(<-c.d.events)(c, now)
	}
}

// self returns this daemon as its peers see it.
func (d *Daemon) self() membership.Daemon {
	return membership.Daemon{
		ID: d.Settings.Daemon, Start: d.start, Place: d.Settings.Place, Region: d.Settings.Region,
		PeerAddress: d.addrs.peer, CallerAddress: d.addrs.caller,
	}
}

func (c *controlState) tick(now time.Time) {
	c.changed(now, c.members.Tick(now))
	c.daemons.Tick(now)
	c.act(c.adoption.Tick(now))
	c.gossip(now)
	c.shareUsage(now)
	if !c.suspicion.IsZero() && now.After(c.suspicion) {
		c.stale, c.suspicion = true, time.Time{}
	}
}

// publish makes the present state visible to traffic.
func (c *controlState) publish(now time.Time) {
	if version := c.daemons.Version(); version != c.daemonsVersion || now.Sub(c.daemonsAt) >= daemonsRefresh {
		c.daemonsVersion, c.daemonsAt = version, now
		c.publishDaemons(now)
	}
	c.view.missing = c.daemons.Missing()
	if c.stale || c.view.Table == nil {
		c.stale = false
		c.view.Members = c.members.Snapshot()
		c.view.Table = c.routingTable(now)
		c.view.ends = cloneMap(c.ends)
		c.d.dispatcher.SetTable(now, c.view.Table)
	}
	view := c.view
	c.d.view.Store(&view)
}

func (c *controlState) publishDaemons(now time.Time) {
	c.view.Daemons = c.daemons.Snapshot()
	c.view.Entries = c.daemons.Entries(now, c.d.Settings.Place, c.d.Settings.Region, c.d.Settings.Daemon)
	c.view.reached = make(map[string]bool, len(c.view.Daemons))
	for _, other := range c.view.Daemons {
		if c.daemons.Reached(now, other.ID) {
			c.view.reached[other.ID] = true
		}
	}
	c.view.Relay = c.relay()
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	clone := make(map[K]V, len(m))
	for k, v := range m {
		clone[k] = v
	}
	return clone
}

// listed takes an answer of the instance list.
func (c *controlState) listed(now, called time.Time, list instances.List) {
	taken := called
	if list.AsOf.Before(taken) && !list.AsOf.IsZero() {
		taken = list.AsOf
	}
	l := membership.List{Taken: taken, Members: make([]membership.Member, 0, len(list.Instances))}
	for _, i := range list.Instances {
		if c.prices[i.ID] != i.Price {
			c.prices[i.ID], c.stale = i.Price, true
		}
		if i.State == instances.Leaving {
			c.ends[i.ID] = i.Deadline
		}
		l.Members = append(l.Members, memberOf(i))
	}
	c.changed(now, c.members.ApplyList(now, l))
}

func memberOf(i instances.Instance) membership.Member {
	state := membership.Serving
	if i.State == instances.Leaving {
		state = membership.Leaving
	}
	return membership.Member{
		Server: i.ID, Incarnation: i.Incarnation, State: state, Address: i.Address,
		Service: i.Service, Place: i.Place, Class: i.Class,
	}
}

// signal takes a statement about one server.
func (c *controlState) signal(now time.Time, s membership.Signal) {
	if change, ok := c.members.Apply(now, s); ok {
		c.changed(now, []membership.Change{change})
	}
}

// changed acts on changes of members: it logs them, tells peers, and moves the
// requests of servers that are leaving.
func (c *controlState) changed(now time.Time, changes []membership.Change) {
	var leaving []membership.Member
	for _, change := range changes {
		m := change.Member
		c.stale = true
		if m.SuspectUntil.After(now) && (c.suspicion.IsZero() || m.SuspectUntil.Before(c.suspicion)) {
			c.suspicion = m.SuspectUntil
		}
		c.d.Log.Info("backend server changed", "Server", m.Server, "Incarnation", m.Incarnation, "Service", m.Service,
			"ServerPlace", m.Place, "State", m.State.String(), "Before", change.Before.String(), "Suspect", m.Suspect(now))
		if m.State >= membership.Leaving && change.Before < membership.Leaving {
			leaving = append(leaving, m)
		}
	}
	if len(leaving) > 0 {
		// The table comes first, so that no request goes back to the server that it
		// has just left.
		c.publish(now)
		for _, m := range leaving {
			c.moveAway(now, m)
		}
	}
	c.share(changes)
}

// moveAway stops the requests at a server that will not be done before it ends.
func (c *controlState) moveAway(now time.Time, m membership.Member) {
	left := time.Duration(0)
	if end, ok := c.ends[m.Server]; ok && m.State == membership.Leaving {
		left = end.Sub(now)
	}
	if n := c.d.dispatcher.StopServer(m.Server, m.Incarnation, left); n > 0 {
		c.d.Log.Info("requests move away from a leaving server", "Server", m.Server, "Requests", n, "Left", left.String())
	}
}

// share tells peers the changes that concern them.
func (c *controlState) share(changes []membership.Change) {
	shared := slices.DeleteFunc(slices.Clone(changes), func(ch membership.Change) bool { return !ch.Share })
	if len(shared) > 0 {
		c.pushMembers(shared)
	}
}

// suspect tells the control goroutine that a server did not take or finish a
// request.
func (d *Daemon) suspect(s routing.Server) {
	d.tell(func(c *controlState, now time.Time) {
		c.signal(now, membership.Signal{
			Source: membership.ConnectionFailure,
			Member: membership.Member{Server: s.ID, Incarnation: s.Incarnation},
		})
	})
}

// leaving reports whether a server was told to leave.
func (d *Daemon) leaving(s routing.Server) bool {
	for _, m := range d.view.Load().Members {
		if m.Server == s.ID {
			return m.Incarnation != s.Incarnation || m.State >= membership.Leaving
		}
	}
	return true
}
