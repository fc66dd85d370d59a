package gateway

import (
	"cmp"
	"context"
	"maps"
	"runtime/debug"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/admission"
	"apricotbridge/internal/allowance"
	"apricotbridge/internal/fleet"
	"apricotbridge/internal/message"
	"apricotbridge/internal/quarantine"
	"apricotbridge/internal/routing"
)

const (
	// suspectFor is how long new work avoids a server after its first failed attempt.
	suspectFor = time.Second
	// maxSuspectFor bounds suspectFor, which doubles with each further failure.
	maxSuspectFor = 8 * time.Second
	// expireInterval is the time between checks for lapsed registrations and silent
	// peers.
	expireInterval = 200 * time.Millisecond
	// peerTimeout is how long a peer counts as alive after its last status, and at least
	// missedStatuses intervals between statuses.
	peerTimeout    = 1200 * time.Millisecond
	missedStatuses = 3
	// refusedResendDelay is the least time between two messages to a peer with all suspects
	// that this daemon refuses. In between, the news of changes usually arrives.
	refusedResendDelay = time.Second
	// maxReadyDelay is how long a daemon that starts waits at most until the versions of all servers are recorded.
	// After that it serves requests without streams, and streams of the versions that are.
	maxReadyDelay = 2 * time.Second
	// prefillTokensPerSecond is the assumed prefill rate of a server. Servers do not
	// state it; the platform's specification gives 51.1 tokens a millisecond.
	prefillTokensPerSecond = 50_000
)

// Daemon describes a daemon to callers and to the other packages.
type Daemon struct {
	ID            string
	Place         string
	Region        string
	CallerAddress string
	PeerAddress   string
	// Alive means that the daemon sent a status lately and is not draining.
	Alive bool
}

// View is an immutable snapshot of the control goroutine's state.
type View struct {
	index   *index
	Members map[string]fleet.Member
	Daemons []Daemon
	// daemonsListed means that the list of registered daemons was read.
	daemonsListed bool
	// ByPlace, Delegate and Delegates are copied from the topology of peer links.
	ByPlace, Delegate bool
	Delegates         map[string]bool
	table             *routing.Table
	// limited holds the servers that named the rate of requests that they take.
	limited map[allowance.Incarnation]bool
	// rollouts holds the latest rollout of each service.
	rollouts map[string]rolloutView
}

// Configuration returns the configuration in force, or nil if there is none.
func (v *View) Configuration() *Configuration {
	if v == nil || v.index == nil {
		return nil
	}
	return v.index.Configuration
}

// control is the state that the control goroutine owns.
type control struct {
	g     *Gateway
	index *index
	// adoptedAt is when the configuration came into force.
	adoptedAt time.Time
	fleet     *fleet.Set
	rates     allowance.Set
	suspects  map[string]*suspect
	// unreadable holds the revisions of the registrations that can't be read.
	unreadable map[string]int64
	// registeredDaemons holds the daemons that have an entry in the store.
	registeredDaemons map[string]Daemon
	// retrying is the number of daemons that share the burst of retries, and retryingAt when as many were listed.
	retrying   int
	retryingAt time.Time
	peers      map[string]*peerState
	topology   topology
	// serversListed means that the store's list of servers was read at least once, by this
	// daemon or by a peer that sent it. entries holds the entries as of asOf, by key.
	serversListed bool
	// firstListedAt is when the servers were first listed.
	firstListedAt time.Time
	// listedHere means that this daemon, not a peer, read the latest listing.
	listedHere bool
	entries    map[string]message.StoreEntry
	asOf       storeMoment
	// listed holds the changes of entries since keptFrom, for peers that missed them.
	listed        []listedChange
	keptFrom      storeMoment
	daemonsListed bool
	rollouts      rolloutControl
	changed       bool
}

// suspect is a server at which attempts failed.
type suspect struct {
	until    time.Time
	failures int
}

// peerState is the latest state of a connected peer.
type peerState struct {
	hello      message.Hello
	lastStatus time.Time
	draining   bool
	// heardAt is when the first status arrived, and suppliedAt when the peer was last sent what
	// it lacked.
	heardAt, suppliedAt time.Time
	// revision is the version of the configuration in the last status.
	revision int64
	// sentRevision is the version of the configuration that this daemon sent the peer last, at
	// sentAt.
	sentRevision int64
	sentAt       time.Time
	// expected is a moment that the peer's list of servers has not reached since expectedAt.
	expected   storeMoment
	expectedAt time.Time
	// repeatedFrom is the moment of the peer's list when listings were last repeated to it, and
	// repeats counts how often they were.
	repeatedFrom storeMoment
	repeats      int
	// begunSent is when the peer was last sent the versions of all streams.
	begunSent time.Time
	// refusedSent is when the peer was last sent what this daemon refuses.
	refusedSent time.Time
}

func (g *Gateway) runControl(ctx context.Context) error {
	c := &control{
		g: g, fleet: fleet.NewSet(), suspects: map[string]*suspect{},
		registeredDaemons: map[string]Daemon{}, peers: map[string]*peerState{}, entries: map[string]message.StoreEntry{},
	}
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-g.events:
			c.handle(event)
		case <-ticker.C:
			c.expire(time.Now())
		}
		// Publish once for all queued events. The number of events is bounded, so that a
		// steady stream of them does not delay the view.
		for range len(g.events) {
			c.handle(<-g.events)
		}
		if c.changed {
			c.publish(time.Now())
		}
	}
}

// handle runs an event. One that panics is dropped: the daemon serves on with what it knows.
func (c *control) handle(event func(*control)) {
	defer c.g.recoverPanic("event of the control goroutine")
	event(c)
}

// recoverPanic logs a panic in a deferred call and ends it.
func (g *Gateway) recoverPanic(in string) {
	if cause := recover(); cause != nil {
		g.Log.Error(errors.Errorf("%v", cause), "recovered from a panic", "In", in, "Stack", string(debug.Stack()))
	}
}

// adopt puts a configuration in force if it is newer than the present one.
func (c *control) adopt(now time.Time, next *Configuration, source string) {
	if c.index != nil && next.Version <= c.index.Version {
		return
	}
	c.g.Log.Info("configuration adopted", "Version", next.Version, "Source", source, "Routes", len(next.Routes),
		"Services", len(next.Services), "Organisations", len(next.Organisations))
	c.index, c.adoptedAt = newIndex(next), now
	c.g.begun.setMemory(streamMemory(next.Routes))
	c.changed = true
	var ranks []admission.Rank
	for r := range rankCount {
		ranks = append(ranks, admission.Rank{Name: strconv.Itoa(r)})
	}
	var organisations []admission.Organisation
	for i := range next.Organisations {
		organisations = append(organisations, admission.Organisation{Name: next.Organisations[i].Name})
	}
	c.g.dispatcher.Configure(ranks, organisations, quarantine.Options{})
	c.g.quotaMu.Lock()
	c.g.quotas.Configure(now, c.index.quotas())
	c.g.quotaMu.Unlock()
	c.sendConfiguration(now, c.configurationRecipients(source))
}

// rankCount is the number of ranks that engines distinguish.
const rankCount = 10

func (c *control) serverChanged(change fleet.Change) {
	m := change.Member
	c.changed = true
	if change.Event != fleet.Changed {
		c.g.Log.Info("server "+change.Event, "Server", m.ID, "Incarnation", m.Incarnation, "Service", m.Service, "Version", m.Version,
			"ServerPlace", m.Place, "Address", m.Address, "Slots", m.Slots, "Reclaimable", m.Reclaimable,
			"Remaining", m.Remaining, "Warmup", m.Warmup)
	}
}

// suspectServer keeps new work away from a server after a failed attempt.
func (c *control) suspectServer(now time.Time, server string) {
	s := c.suspects[server]
	if s == nil {
		s = &suspect{}
		c.suspects[server] = s
	}
	if now.Before(s.until) {
		return
	}
	s.until = now.Add(min(suspectFor<<min(s.failures, 4), maxSuspectFor))
	s.failures++
	c.changed = true
	c.g.Log.Info("server suspected", "Server", server, "Failures", s.failures, "Until", s.until)
}

// setDaemons applies the list of registered daemons.
func (c *control) setDaemons(now time.Time, list map[string]Daemon) {
	c.registeredDaemons, c.daemonsListed = list, true
	c.changed = true
	c.topology = planTopology(Daemon{ID: c.g.Daemon, Place: c.g.Place}, slices.Collect(maps.Values(list)), cmp.Or(c.g.MeshMax, defaultMeshMax))
	c.g.hub.KeepLinks(c.topology.Targets)
	var ids []string
	for id := range list {
		if id != c.g.Daemon {
			ids = append(ids, id)
		}
	}
	c.g.quotaMu.Lock()
	c.g.quotas.SilentAfter = 0
	if c.topology.ByPlace {
		c.g.quotas.SilentAfter = placesSilentAfter
	}
	c.g.quotas.SetPeers(now, ids)
	c.g.quotaMu.Unlock()
	c.g.dispatcher.PreferPlace(c.topology.ByPlace)
	c.limitRetries(now)
}

// handleStatus records the status of a peer.
func (c *control) handleStatus(now time.Time, from message.Hello, s message.Status) {
	p := c.peers[from.Daemon]
	if p == nil {
		p = &peerState{heardAt: now}
		c.peers[from.Daemon] = p
		c.changed = true
		c.g.Log.Info("peer heard", "Peer", from.Daemon, "PeerPlace", from.Place)
		toPeer := func(p message.Hello) bool { return p.Daemon == from.Daemon }
		c.sendLeaving(c.fleet.LeavingByAnswer(), toPeer)
		c.sendRates(c.rates.Statements(), toPeer)
	}
	if p.draining != s.Draining {
		p.draining, c.changed = s.Draining, true
		c.g.Log.Info("peer draining", "Peer", from.Daemon, "Draining", s.Draining)
	}
	p.hello, p.lastStatus, p.revision = from, now, s.Revision
	c.mergeRollouts(now, from.Daemon, s.Rollouts)
	if now.Sub(p.refusedSent) > refusedResendDelay && c.g.dispatcher.RefusedHash(now) != s.Refused {
		p.refusedSent = now
		c.g.sendRefusedSuspects(now, from.Daemon)
	}
	c.supply(now, p, s)
	c.g.notePeerDuty(now, from, s)
}

// peerDown removes a peer when its last link is lost.
func (c *control) peerDown(p message.Hello) {
	if s := c.peers[p.Daemon]; s != nil && s.hello.Start <= p.Start {
		delete(c.peers, p.Daemon)
		c.changed = true
		c.g.Log.Info("peer link lost", "Peer", p.Daemon)
	}
}

// expire drops lapsed registrations, suspicions and silent peers.
func (c *control) expire(now time.Time) {
	for _, change := range c.fleet.Expire(now) {
		c.serverChanged(change)
	}
	if c.serversListed && !c.g.servesStreams.Load() {
		c.changed = true
	}
	c.g.begun.noteServers(now, c)
	c.judgeRollouts(now)
	if c.daemonsListed {
		c.limitRetries(now)
	}
	if c.rates.Expire(now) {
		c.changed = true
	}
	for id, s := range c.suspects {
		if !now.Before(s.until) && now.Sub(s.until) < expireInterval {
			c.changed = true // The next view no longer marks the server as suspect.
		}
		if now.Sub(s.until) > maxSuspectFor {
			delete(c.suspects, id)
		}
	}
	timeout := max(peerTimeout, missedStatuses*statusInterval*time.Duration(c.g.view.Load().statusEvery(c.g.Place)))
	for id, p := range c.peers {
		if now.Sub(p.lastStatus) > timeout {
			delete(c.peers, id)
			c.changed = true
			c.g.Log.Info("peer silent", "Peer", id, "Heard", p.lastStatus)
		}
	}
}

// publish stores a new view for the traffic goroutines and updates the dispatcher.
func (c *control) publish(now time.Time) {
	c.changed = false
	v := &View{index: c.index, Members: map[string]fleet.Member{}}
	v.Daemons, v.daemonsListed = c.daemonList(), c.daemonsListed
	v.limited = c.rates.Incarnations()
	daemons := make([]string, len(v.Daemons))
	for i, d := range v.Daemons {
		daemons[i] = d.ID
	}
	members := c.fleet.Members()
	for _, m := range members {
		v.Members[m.ID] = m
	}
	shifts, idle := c.publishRollouts(v)
	servers := make([]routing.Server, 0, len(members))
	for _, m := range members {
		s := c.routingServer(now, m)
		s.Accepting = s.Accepting && !idle[m.ID]
		s.RateLimit = c.rateLimit(allowance.Incarnation{Server: m.ID, Start: m.Incarnation}, daemons)
		servers = append(servers, s)
	}
	if !c.serversListed {
		v.Members = nil
	}
	v.table = routing.NewTable(servers, c.regionLinks())
	v.table.SetShifts(shifts)
	v.ByPlace, v.Delegate, v.Delegates = c.topology.ByPlace, c.topology.Delegate, c.topology.Delegates
	c.g.begun.noteServers(now, c)
	lacksRecord := c.g.begun.lacksRecord()
	if lacksRecord {
		c.g.requestVersionRecord(c.listedHere)
	}
	if c.serversListed && (!lacksRecord || now.Sub(c.firstListedAt) > maxReadyDelay) {
		c.g.servesStreams.Store(true)
	}
	c.g.view.Store(v)
	c.g.evidence.retain(v)
	c.g.dispatcher.SetTable(now, v.table)
}

// routingServer converts a member to the form that routing uses.
func (c *control) routingServer(now time.Time, m fleet.Member) routing.Server {
	s := routing.Server{
		ID: m.ID, Incarnation: m.Incarnation, Address: m.Address, Service: m.Service, Version: m.Version, Place: m.Place,
		Region: c.g.Regions[m.Place], Slots: m.Slots, Accepting: m.Accepting(),
		VersionRecorded: c.g.begun.isRecorded(m.Service, m.Version),
	}
	if q := c.suspects[m.ID]; q != nil && now.Before(q.until) {
		s.Suspect = true
	}
	if c.index == nil {
		return s
	}
	if service := c.index.services[m.Service]; service != nil && service.Engine != nil {
		s.CacheTokens = service.Engine.CacheTokens
		s.PrefillTokensPerSecond = prefillTokensPerSecond
	}
	return s
}

const (
	// regionDelay is the one-way delay between regions and regionBytesPerSecond the rate
	// of the link (platform specification: 12 ms, 30 Mbit/s).
	regionDelay          = 12 * time.Millisecond
	regionBytesPerSecond = 30e6 / 8
	// regionPricePerGigabyte is the price of a gigabyte over that link, in the unit of
	// the routing score. It makes a request of 20 KB cost as much as 60 ms.
	regionPricePerGigabyte = 150
)

// regionLinks returns the links between all regions.
func (c *control) regionLinks() []routing.Link {
	regions := slices.Compact(slices.Sorted(maps.Values(c.g.Regions)))
	var links []routing.Link
	for i, from := range regions {
		for _, to := range regions[i+1:] {
			links = append(links, routing.Link{
				From: from, To: to, Delay: regionDelay, BytesPerSecond: regionBytesPerSecond, PricePerGigabyte: regionPricePerGigabyte,
			})
		}
	}
	return links
}

// daemonList returns this daemon, its peers, and as not alive the registered daemons that
// do not report.
func (c *control) daemonList() []Daemon {
	list := []Daemon{{
		ID: c.g.Daemon, Place: c.g.Place, Region: c.g.Region, CallerAddress: c.g.CallerAddress,
		PeerAddress: c.g.PeerAddress, Alive: !c.g.draining.Load(),
	}}
	for _, id := range slices.Sorted(maps.Keys(c.peers)) {
		p := c.peers[id]
		list = append(list, Daemon{
			ID: id, Place: p.hello.Place, Region: p.hello.Region, CallerAddress: p.hello.CallerAddress,
			PeerAddress: p.hello.PeerAddress, Alive: !p.draining,
		})
	}
	for _, id := range slices.Sorted(maps.Keys(c.registeredDaemons)) {
		if c.peers[id] == nil && id != c.g.Daemon {
			d := c.registeredDaemons[id]
			d.Alive = false
			list = append(list, d)
		}
	}
	return list
}

// Ready reports whether the daemon can serve requests.
func (g *Gateway) Ready() bool {
	v := g.view.Load()
	return v.Configuration() != nil && v.Members != nil && g.servesStreams.Load() && !g.draining.Load()
}

// Addresses returns the addresses that a caller in a place should use: the daemons in its
// place, else in its region, else all. Daemons that do not report are returned only if
// there are no others.
func (g *Gateway) Addresses(place, region string) []string {
	v := g.view.Load()
	if v == nil {
		return nil
	}
	var inPlace, inRegion, elsewhere, notAlive []string
	for _, d := range v.Daemons {
		switch {
		case !d.Alive:
			if d.ID != g.Daemon {
				notAlive = append(notAlive, d.CallerAddress)
			}
		case v.ByPlace && d.Place == place:
			inPlace = append(inPlace, d.CallerAddress)
		case d.Region == region || g.Regions[place] == d.Region:
			inRegion = append(inRegion, d.CallerAddress)
		default:
			elsewhere = append(elsewhere, d.CallerAddress)
		}
	}
	switch {
	case len(inPlace) > 0:
		return inPlace
	case len(inRegion) > 0:
		return inRegion
	case len(elsewhere) > 0:
		return elsewhere
	}
	return notAlive
}
