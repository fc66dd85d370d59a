package gateway

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"apricotbridge/internal/admission"
	"apricotbridge/internal/fleet"
	"apricotbridge/internal/keyvalue"
	"apricotbridge/internal/message"
	"apricotbridge/internal/quarantine"
	"apricotbridge/internal/routing"
)

const (
	// suspectFor is how long a failed connection keeps work away from a server.
	suspectFor = time.Second
	// maxSuspectFor bounds the time after repeated failures.
	maxSuspectFor = 8 * time.Second
	// expireEvery is how often lapsed registrations and silent peers are looked at.
	expireEvery = 200 * time.Millisecond
	// peerSilence is how long a peer that sent nothing counts as alive. Statuses
	// come several times a second.
	peerSilence = 1200 * time.Millisecond
	// shareAgain is how long a peer may take to adopt a configuration before it is
	// sent again. Statuses come several times in this time.
	shareAgain = 500 * time.Millisecond
	// prefillRate is the assumed rate at which a server reads prompts, in tokens a
	// second. The platform does not state it; the sheets of letter 2 give 51.1 a ms.
	prefillRate = 50_000
)

// Daemon is a peer as callers are told of it.
type Daemon struct {
	ID            string
	Place         string
	Region        string
	CallerAddress string
	PeerAddress   string
	// Alive says that it reported lately and is not leaving.
	Alive bool
}

// View is what the daemon believes, as of one moment. It is immutable.
type View struct {
	index   *index
	Members map[string]fleet.Member
	Daemons []Daemon
	// ByPlace, Delegate and Delegates are those of the topology of links.
	ByPlace, Delegate bool
	Delegates         map[string]bool
	table             *routing.Table
}

// Configuration returns the configuration in force, nil when none is known.
func (v *View) Configuration() *Configuration {
	if v == nil || v.index == nil {
		return nil
	}
	return v.index.Configuration
}

// control is the state of the control goroutine.
type control struct {
	g     *Gateway
	index *index
	// adopted is when the configuration was put in force.
	adopted  time.Time
	fleet    *fleet.Set
	suspects map[string]*suspect
	// registered holds the daemons that are in the store.
	registered map[string]Daemon
	peers      map[string]*peerState
	topology   topology
	// listed says that the servers were listed once.
	listed  bool
	changed bool
}

// suspect is a server to which connections failed.
type suspect struct {
	until    time.Time
	failures int
}

// peerState is what a peer said last.
type peerState struct {
	hello    message.Hello
	heard    time.Time
	draining bool
}

func (g *Gateway) runControl(ctx context.Context) error {
	c := &control{
		g: g, fleet: fleet.NewSet(), suspects: map[string]*suspect{},
		registered: map[string]Daemon{}, peers: map[string]*peerState{},
	}
	ticker := time.NewTicker(expireEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-g.events:
			event(c)
		case <-ticker.C:
			c.expire(time.Now())
		}
		// Events that came together are published together. Their number is bounded,
		// so that a steady stream of them does not keep the view from traffic.
		for range len(g.events) {
			event := <-g.events
			event(c)
		}
		if c.changed {
			c.publish(time.Now())
		}
	}
}

// adopt puts a configuration in force if it is newer than the one known.
func (c *control) adopt(now time.Time, next *Configuration, source string) {
	if c.index != nil && next.Version <= c.index.Version {
		return
	}
	c.g.Log.Info("configuration adopted", "Version", next.Version, "Source", source, "Routes", len(next.Routes),
		"Services", len(next.Services), "Organisations", len(next.Organisations))
	c.index, c.adopted = newIndex(next), now
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
	c.share(c.lacking(source))
}

// rankCount is the number of ranks that engines tell apart.
const rankCount = 10

// lacking returns the peers that have not heard of a configuration from its source.
// A peer that misses it all the same is sent it when its status shows so.
func (c *control) lacking(source string) []string {
	var ids []string
	from := c.peers[source]
	for id, p := range c.peers {
		switch {
		case from == nil:
			// This daemon read it from the store.
		case !c.topology.ByPlace || !c.topology.Delegate, p.hello.Place == from.hello.Place:
			continue
		}
		ids = append(ids, id)
	}
	return ids
}

// share sends the configuration to peers.
func (c *control) share(to []string) {
	if c.index == nil || len(c.index.Document) == 0 || len(to) == 0 {
		return
	}
	m := message.Configuration{Revision: c.index.Version, Value: message.Pack(c.index.Document)}
	data, err := message.Encode(message.KindConfiguration, m)
	if err != nil {
		c.g.Log.Error(err, "configuration not sent")
		return
	}
	for _, id := range to {
		if err := c.g.hub.Send(id, message.KindConfiguration, data); err != nil {
			c.g.Log.V(1).Info("configuration not sent", "Peer", id, "Error", err.Error())
		}
	}
}

// listing takes all entries of the servers and tells the peers what changed.
func (c *control) listing(now time.Time, revision int64, entries []keyvalue.Entry) {
	if !c.listed {
		c.listed, c.changed = true, true
	}
	byID := make(map[string]keyvalue.Entry, len(entries))
	list := make([]fleet.Registration, 0, len(entries))
	for _, e := range entries {
		r := c.g.Decoder.Registration(e)
		byID[r.ID] = e
		list = append(list, r)
	}
	m := message.Listing{Revision: revision}
	for _, change := range c.fleet.Replace(now, revision, list) {
		c.serverChanged(now, change)
		e, ok := byID[change.Member.ID]
		if !ok {
			e = keyvalue.Entry{Key: c.g.Keys.Servers + change.Member.ID, Revision: revision, Deleted: true}
		}
		m.Changes = append(m.Changes, message.StoreEntry{Key: e.Key, Value: e.Value, Revision: e.Revision, Deleted: e.Deleted})
	}
	m.Hash = c.fleet.Hash()
	if c.index != nil {
		m.Version = c.index.Version
	}
	c.sendListing(m, func(peerState) bool { return true })
}

// sendListing sends a listing to the peers that to selects.
func (c *control) sendListing(m message.Listing, to func(peerState) bool) {
	data, err := message.Encode(message.KindListing, m)
	if err != nil {
		c.g.Log.Error(err, "listing not sent")
		return
	}
	for id, p := range c.peers {
		if !to(*p) {
			continue
		}
		if err := c.g.hub.Send(id, message.KindListing, data); err != nil {
			c.g.Log.V(1).Info("listing not sent", "Peer", id, "Error", err.Error())
		}
	}
}

// told takes what a peer read from the store. A daemon that then knows the same as
// the peer need not read it. A delegate passes on what other places tell.
func (c *control) told(now time.Time, from message.Hello, m message.Listing) {
	for _, e := range m.Changes {
		r := c.g.Decoder.Registration(keyvalue.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision, Deleted: e.Deleted})
		if change, ok := c.fleet.Apply(now, r); ok {
			c.serverChanged(now, change)
		}
	}
	if c.topology.ByPlace && c.topology.Delegate && from.Place != c.g.Place {
		c.sendListing(m, func(p peerState) bool { return p.hello.Place == c.g.Place })
	}
	if c.listed && c.index != nil && c.index.Version >= m.Version && c.fleet.Hash() == m.Hash {
		c.g.fresh.Store(&now)
	}
}

func (c *control) serverChanged(now time.Time, change fleet.Change) {
	m := change.Member
	c.changed = true
	if change.Event != fleet.Changed {
		c.g.Log.Info("server "+change.Event, "Server", m.ID, "Incarnation", m.Incarnation, "Service", m.Service,
			"ServerPlace", m.Place, "Address", m.Address, "Slots", m.Slots, "Reclaimable", m.Reclaimable,
			"Remaining", m.Remaining, "Warmup", m.Warmup)
	}
	if change.Event == fleet.Leaving {
		c.g.serverLeaving(now, m)
	}
}

// suspected keeps new work away from a server to which a connection failed.
func (c *control) suspected(now time.Time, server string) {
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

// daemons takes the daemons that are registered in the store.
func (c *control) daemons(now time.Time, list map[string]Daemon) {
	c.registered = list
	c.changed = true
	c.topology = planTopology(Daemon{ID: c.g.Daemon, Place: c.g.Place}, slices.Collect(maps.Values(list)), cmp.Or(c.g.MeshMax, meshMax))
	c.g.hub.Keep(c.topology.Targets)
	var ids []string
	for id := range list {
		if id != c.g.Daemon {
			ids = append(ids, id)
		}
	}
	c.g.quotaMu.Lock()
	c.g.quotas.Silence, c.g.quotas.BurstPart = 0, 0
	if c.topology.ByPlace {
		c.g.quotas.Silence, c.g.quotas.BurstPart = placesSilence, placesBurst
	}
	c.g.quotas.Peers(now, ids)
	c.g.quotaMu.Unlock()
	c.g.dispatcher.PreferPlace(c.topology.ByPlace)
	c.limitRetries()
}

// limitRetries bounds the second attempts at this daemon: a share of its requests,
// and an equal part of what all daemons may send beyond that.
func (c *control) limitRetries() {
	n := float64(max(1, len(c.registered)))
	b := c.g.Bounds
	c.g.dispatcher.LimitRetries(b.RetryShare*retryPart, max(2, b.RetryBurst*retryPart/n))
}

// retryPart is the part of the stated retry budget that is used. Requests are
// counted by window at the platform, and not spread evenly over the daemons.
const retryPart = 0.7

// heard takes the status of a peer.
func (c *control) heard(now time.Time, from message.Hello, s message.Status) {
	p := c.peers[from.Daemon]
	if p == nil {
		p = &peerState{}
		c.peers[from.Daemon] = p
		c.changed = true
		c.g.Log.Info("peer heard", "Peer", from.Daemon, "PeerPlace", from.Place)
	}
	if p.draining != s.Draining {
		p.draining, c.changed = s.Draining, true
		c.g.Log.Info("peer draining", "Peer", from.Daemon, "Draining", s.Draining)
	}
	p.hello, p.heard = from, now
	if c.index != nil && s.Revision < c.index.Version && now.Sub(c.adopted) > shareAgain {
		c.share([]string{from.Daemon})
	}
	c.g.dutyHeard(now, s.Duty)
}

// peerDown takes the end of the last link to a peer.
func (c *control) peerDown(p message.Hello) {
	if s := c.peers[p.Daemon]; s != nil && s.hello.Start <= p.Start {
		delete(c.peers, p.Daemon)
		c.changed = true
		c.g.Log.Info("peer link lost", "Peer", p.Daemon)
	}
}

// expire lets time pass.
func (c *control) expire(now time.Time) {
	for _, change := range c.fleet.Expire(now) {
		c.serverChanged(now, change)
	}
	for id, s := range c.suspects {
		if !now.Before(s.until) && now.Sub(s.until) < expireEvery {
			c.changed = true
		}
		if now.Sub(s.until) > maxSuspectFor {
			delete(c.suspects, id)
		}
	}
	for id, p := range c.peers {
		if now.Sub(p.heard) > peerSilence {
			delete(c.peers, id)
			c.changed = true
			c.g.Log.Info("peer silent", "Peer", id, "Heard", p.heard)
		}
	}
}

// publish makes the state visible to traffic.
func (c *control) publish(now time.Time) {
	c.changed = false
	v := &View{index: c.index, Members: map[string]fleet.Member{}}
	var servers []routing.Server
	for _, m := range c.fleet.Members() {
		v.Members[m.ID] = m
		servers = append(servers, c.server(now, m))
	}
	if !c.listed {
		v.Members = nil
	}
	v.table = routing.NewTable(servers, c.links())
	v.Daemons = c.known()
	v.ByPlace, v.Delegate, v.Delegates = c.topology.ByPlace, c.topology.Delegate, c.topology.Delegates
	c.g.view.Store(v)
	c.g.dispatcher.SetTable(now, v.table)
}

// server returns a member as routing needs it.
func (c *control) server(now time.Time, m fleet.Member) routing.Server {
	s := routing.Server{
		ID: m.ID, Incarnation: m.Incarnation, Address: m.Address, Service: m.Service, Place: m.Place,
		Region: c.g.Regions[m.Place], Slots: m.Slots, Accepting: m.Accepting(),
	}
	if q := c.suspects[m.ID]; q != nil && now.Before(q.until) {
		s.Suspect = true
	}
	if c.index == nil {
		return s
	}
	if service := c.index.services[m.Service]; service != nil && service.Engine != nil {
		s.CacheTokens = service.Engine.CacheTokens
		s.PrefillTokensPerSecond = prefillRate
	}
	return s
}

const (
	// regionDelay is the one-way delay between regions, and regionBytes the rate of
	// the link between them (letter 2: 12 ms, 30 Mbit/s).
	regionDelay = 12 * time.Millisecond
	regionBytes = 30e6 / 8
	// regionPrice is the price of a gigabyte over that link in the currency of the
	// routing terms, for which a request of 20 KB weighs as much as 60 ms.
	regionPrice = 150
)

// links returns the links between all regions.
func (c *control) links() []routing.Link {
	regions := slices.Compact(slices.Sorted(maps.Values(c.g.Regions)))
	var links []routing.Link
	for i, from := range regions {
		for _, to := range regions[i+1:] {
			links = append(links, routing.Link{
				From: from, To: to, Delay: regionDelay, BytesPerSecond: regionBytes, PricePerGigabyte: regionPrice,
			})
		}
	}
	return links
}

// known returns this daemon and its peers. A registered daemon that does not
// report is listed as not alive.
func (c *control) known() []Daemon {
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
	for _, id := range slices.Sorted(maps.Keys(c.registered)) {
		if c.peers[id] == nil && id != c.g.Daemon {
			d := c.registered[id]
			d.Alive = false
			list = append(list, d)
		}
	}
	return list
}

// Ready reports whether the daemon can serve requests.
func (g *Gateway) Ready() bool {
	v := g.view.Load()
	return v.Configuration() != nil && v.Members != nil && !g.draining.Load()
}

// Addresses returns the addresses that a caller in a place should use: those of
// the daemons in its place, else in its region, else all. Daemons that do not report
// are told only when no other is known.
func (g *Gateway) Addresses(place, region string) []string {
	v := g.view.Load()
	if v == nil {
		return nil
	}
	var here, near, far, silent []string
	for _, d := range v.Daemons {
		switch {
		case !d.Alive:
			if d.ID != g.Daemon {
				silent = append(silent, d.CallerAddress)
			}
		case v.ByPlace && d.Place == place:
			here = append(here, d.CallerAddress)
		case d.Region == region || g.Regions[place] == d.Region:
			near = append(near, d.CallerAddress)
		default:
			far = append(far, d.CallerAddress)
		}
	}
	switch {
	case len(here) > 0:
		return here
	case len(near) > 0:
		return near
	case len(far) > 0:
		return far
	}
	return silent
}
