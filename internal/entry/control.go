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

// controlTick is the period of time-driven control work.
const controlTick = 100 * time.Millisecond

// daemonsRefreshPeriod is the period at which the published daemon lists are rebuilt
// without a change of the daemons, because an unreachable daemon is listed again after
// a time. Building the lists takes 1.5 ms with 380 daemons, which is too slow for each
// of the about 40 events that are published a second.
const daemonsRefreshPeriod = time.Second

// event changes the control state; it runs in the control goroutine.
type event func(c *controlState, now time.Time)

// controlState is owned by the control goroutine.
type controlState struct {
	d       *Daemon
	members membership.Set
	daemons membership.Daemons
	// prices has the price per hour, and serverDeadlines the deadline of leaving
	// servers, by server id.
	prices          map[string]float64
	serverDeadlines map[string]time.Time
	// tableStale is set when the routing table has to be rebuilt.
	tableStale bool
	// nextSuspicionEnd is when the earliest suspicion of a server expires; the table
	// is rebuilt then.
	nextSuspicionEnd time.Time
	// publishedDaemonsVersion and publishedDaemonsAt are the version and time of the
	// daemon lists in the view.
	publishedDaemonsVersion uint64
	publishedDaemonsAt      time.Time
	exchange                peerExchange
	adoption                adoption.State
	view                    View
}

// post queues an event for the control goroutine and blocks while the queue is full.
func (d *Daemon) post(ctx context.Context, e event) {
	select {
	case d.events <- e:
	case <-ctx.Done():
	}
}

// tryPost queues an event for the control goroutine, or drops it when the queue is
// full. It is for hints that will be sent again.
func (d *Daemon) tryPost(e event) {
	select {
	case d.events <- e:
	default:
	}
}

// runControl applies events in order and publishes a new view after each.
func (d *Daemon) runControl(ctx context.Context) error {
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
			c.applyQueuedEvents(now)
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
		prices: map[string]float64{}, serverDeadlines: map[string]time.Time{}, adoption: newAdoption(d),
	}
}

// applyQueuedEvents applies the events that are already queued, so that a burst is
// published once.
func (c *controlState) applyQueuedEvents(now time.Time) {
	for range len(c.d.events) {
		(<-c.d.events)(c, now)
	}
}

// self returns the membership record of this daemon.
func (d *Daemon) self() membership.Daemon {
	return membership.Daemon{
		ID: d.Settings.Daemon, Start: d.start, Place: d.Settings.Place, Region: d.Settings.Region,
		PeerAddress: d.addrs.peer, CallerAddress: d.addrs.caller,
	}
}

func (c *controlState) tick(now time.Time) {
	c.handleMemberChanges(now, c.members.Tick(now))
	c.daemons.Tick(now)
	c.performAdoption(c.adoption.Tick(now))
	c.gossip(now)
	c.sendDueUsage(now)
	if !c.nextSuspicionEnd.IsZero() && now.After(c.nextSuspicionEnd) {
		c.tableStale, c.nextSuspicionEnd = true, time.Time{}
	}
}

// publish makes the current state visible to traffic goroutines.
func (c *controlState) publish(now time.Time) {
	if version := c.daemons.Version(); version != c.publishedDaemonsVersion || now.Sub(c.publishedDaemonsAt) >= daemonsRefreshPeriod {
		c.publishedDaemonsVersion, c.publishedDaemonsAt = version, now
		c.publishDaemons(now)
	}
	c.view.missingDaemons = c.daemons.MissingCount()
	if c.tableStale || c.view.Table == nil {
		c.tableStale = false
		c.view.Members = c.members.Snapshot()
		c.view.Table = c.routingTable(now)
		c.view.serverDeadlines = cloneMap(c.serverDeadlines)
		c.d.dispatcher.SetTable(now, c.view.Table)
	}
	view := c.view
	c.d.view.Store(&view)
}

func (c *controlState) publishDaemons(now time.Time) {
	c.view.Daemons = c.daemons.Snapshot()
	c.view.Entries = c.daemons.Entries(now, c.d.Settings.Place, c.d.Settings.Region, c.d.Settings.Daemon)
	c.view.reachable = make(map[string]bool, len(c.view.Daemons))
	for _, other := range c.view.Daemons {
		if c.daemons.Reachable(now, other.ID) {
			c.view.reachable[other.ID] = true
		}
	}
	c.view.Relay = c.isRelay()
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	clone := make(map[K]V, len(m))
	for k, v := range m {
		clone[k] = v
	}
	return clone
}

// applyInstanceList applies a response of the instance list.
func (c *controlState) applyInstanceList(now, called time.Time, list instances.List) {
	asOf := called
	if list.AsOf.Before(asOf) && !list.AsOf.IsZero() {
		asOf = list.AsOf
	}
	l := membership.List{Taken: asOf, Members: make([]membership.Member, 0, len(list.Instances))}
	for _, i := range list.Instances {
		if c.prices[i.ID] != i.Price {
			c.prices[i.ID], c.tableStale = i.Price, true
		}
		if i.State == instances.Leaving {
			c.serverDeadlines[i.ID] = i.Deadline
		}
		l.Members = append(l.Members, memberFromInstance(i))
	}
	c.handleMemberChanges(now, c.members.ApplyList(now, l))
}

func memberFromInstance(i instances.Instance) membership.Member {
	state := membership.Serving
	if i.State == instances.Leaving {
		state = membership.Leaving
	}
	return membership.Member{
		Server: i.ID, Incarnation: i.Incarnation, State: state, Address: i.Address,
		Service: i.Service, Place: i.Place, Class: i.Class,
	}
}

// applySignal applies a report on the state of one server.
func (c *controlState) applySignal(now time.Time, s membership.Signal) {
	if change, ok := c.members.Apply(now, s); ok {
		c.handleMemberChanges(now, []membership.Change{change})
	}
}

// handleMemberChanges logs changes of servers, stops requests at servers that are
// leaving, and shares the changes with peers.
func (c *controlState) handleMemberChanges(now time.Time, changes []membership.Change) {
	var leaving []membership.Member
	for _, change := range changes {
		m := change.Member
		c.tableStale = true
		if m.SuspectUntil.After(now) && (c.nextSuspicionEnd.IsZero() || m.SuspectUntil.Before(c.nextSuspicionEnd)) {
			c.nextSuspicionEnd = m.SuspectUntil
		}
		c.d.Log.Info("backend server changed", "Server", m.Server, "Incarnation", m.Incarnation, "Service", m.Service,
			"ServerPlace", m.Place, "State", m.State.String(), "Before", change.Before.String(), "Suspect", m.Suspect(now))
		if m.State >= membership.Leaving && change.Before < membership.Leaving {
			leaving = append(leaving, m)
		}
	}
	if len(leaving) > 0 {
		// The new table is published first, so that no stopped request is routed back
		// to the leaving server.
		c.publish(now)
		for _, m := range leaving {
			c.stopRequestsAt(now, m)
		}
	}
	c.shareChanges(changes)
}

// stopRequestsAt stops the requests at a leaving server that will not finish before
// its deadline.
func (c *controlState) stopRequestsAt(now time.Time, m membership.Member) {
	timeLeft := time.Duration(0)
	if end, ok := c.serverDeadlines[m.Server]; ok && m.State == membership.Leaving {
		timeLeft = end.Sub(now)
	}
	if n := c.d.dispatcher.StopRequestsAt(m.Server, m.Incarnation, timeLeft); n > 0 {
		c.d.Log.Info("requests stopped at a leaving server", "Server", m.Server, "Requests", n, "Left", timeLeft.String())
	}
}

// shareChanges sends peers the changes that are marked for sharing.
func (c *controlState) shareChanges(changes []membership.Change) {
	shared := slices.DeleteFunc(slices.Clone(changes), func(ch membership.Change) bool { return !ch.Share })
	if len(shared) > 0 {
		c.pushMembers(shared)
	}
}

// reportSuspect reports that a server did not accept or finish a request.
func (d *Daemon) reportSuspect(s routing.Server) {
	d.tryPost(func(c *controlState, now time.Time) {
		c.applySignal(now, membership.Signal{
			Source: membership.ConnectionFailure,
			Member: membership.Member{Server: s.ID, Incarnation: s.Incarnation},
		})
	})
}

// isLeaving reports whether a server is leaving, was replaced by a newer incarnation
// or is no longer listed.
func (d *Daemon) isLeaving(s routing.Server) bool {
	for _, m := range d.view.Load().Members {
		if m.Server == s.ID {
			return m.Incarnation != s.Incarnation || m.State >= membership.Leaving
		}
	}
	return true
}
