package gateway

import (
	"time"

	"apricotbridge/internal/message"
)

const (
	// supplyInterval is the least time between two messages with the configuration and the
	// servers to one peer.
	supplyInterval = time.Second
	// supplierDelay is how long after a peer's first status only its nearest peers send it what it
	// lacks. After that every daemon does.
	supplierDelay = time.Second
	// suppliersPerPeer is the number of daemons of a region that send a peer what it lacks, where
	// all daemons are linked.
	suppliersPerPeer = 2
	// daemonsWait is how long a daemon that starts waits for the list of daemons before it reads
	// the store.
	daemonsWait = 300 * time.Millisecond
	// firstReadStagger is how much longer each further daemon of a region waits after its start
	// for what its peers know before it reads the store itself, and maxFirstReadDelay bounds the
	// sum. When all daemons start at once, the link to the store does not bear that each of them
	// reads everything.
	firstReadStagger  = 250 * time.Millisecond
	maxFirstReadDelay = 1500 * time.Millisecond
)

// greet sends a status to a peer whose link has just opened, so that each side soon knows what
// the other one lacks, with the streams that statuses had while there was no link.
func (g *Gateway) greet(p message.Hello) {
	now := time.Now()
	s := g.status(now, farPeers)
	if v := g.view.Load(); v.hasLink(g.Place, p) {
		s.Begun = g.begun.missed(now, v.scopeOf(g.Place, p))
	}
	data, err := message.Encode(message.KindStatus, s)
	if err != nil {
		g.Log.Error(err, "status not sent")
		return
	}
	if err := g.hub.Send(p.Daemon, message.KindStatus, data); err != nil {
		g.Log.V(1).Info("status not sent", "Peer", p.Daemon, "Error", err.Error())
	}
}

// supply sends a peer the configuration and the list of servers if its status shows that it
// lacks them. What a peer knows is as recent as what it serves with itself.
func (c *control) supply(now time.Time, p *peerState, s message.Status) {
	lacksConfiguration := c.index != nil && s.Revision < c.index.Version &&
		(s.Revision == 0 || c.mayResendConfiguration(now, p))
	lacksServers := c.serversListed && !s.ServersListed
	c.supplyBegun(now, p, s)
	if c.serversListed && s.ServersListed && p.missesListing(now, c.asOf, storeMoment{s.ServersEra, s.ServersRevision}) {
		c.repeatListings(now, p, storeMoment{s.ServersEra, s.ServersRevision})
	}
	if !lacksConfiguration && !lacksServers || now.Sub(p.suppliedAt) < supplyInterval || !c.isSupplierOf(now, p) {
		return
	}
	p.suppliedAt = now
	if lacksConfiguration {
		c.sendConfiguration(now, []string{p.hello.Daemon})
	}
	if lacksServers {
		c.sendCompleteListing(p)
	}
}

// supplyBegun sends a peer that has started the versions of the streams that began before.
func (c *control) supplyBegun(now time.Time, p *peerState, s message.Status) {
	if s.BegunKnown || now.Sub(p.begunSent) < supplyInterval || !c.isSupplierOf(now, p) {
		return
	}
	if streams, ok := c.g.begun.all(now); ok {
		p.begunSent = now
		sendToLinked(c.g, message.KindBegun, message.Begun{Streams: streams}, func(q message.Hello) bool { return q.Daemon == p.hello.Daemon })
	}
}

// sendCompleteListing sends a peer all entries of servers.
func (c *control) sendCompleteListing(p *peerState) {
	m := c.latestListing()
	m.Complete = true
	for _, e := range c.entries {
		m.Changes = append(m.Changes, e)
	}
	c.sendListing(m, func(q peerState) bool { return q.hello.Daemon == p.hello.Daemon })
}

// latestListing returns a listing as of the latest one, without entries.
func (c *control) latestListing() message.Listing {
	m := message.Listing{Era: c.asOf.era, Revision: c.asOf.revision, Hash: c.fleet.Hash()}
	if c.index != nil {
		m.Version = c.index.Version
	}
	return m
}

// isSupplierOf reports whether this daemon is one of those that send a peer what it lacks.
func (c *control) isSupplierOf(now time.Time, p *peerState) bool {
	switch {
	case now.Sub(p.heardAt) > supplierDelay:
		return true
	case p.hello.Region != c.g.Region:
		return false
	case c.topology.ByPlace:
		return c.topology.Delegate
	}
	return c.position(p) < suppliersPerPeer
}

// position returns the number of daemons of this daemon's region that come before it by id, without a
// peer.
func (c *control) position(p *peerState) int {
	before := 0
	for id, other := range c.peers {
		if id < c.g.Daemon && id != p.hello.Daemon && other.hello.Region == c.g.Region {
			before++
		}
	}
	return before
}

// firstReadDelay returns how long after its start a daemon waits for what its peers know. The
// first daemon of a region does not wait, nor does one without peers.
func (v *View) firstReadDelay(self, region string) time.Duration {
	switch {
	case v == nil || !v.daemonsListed:
		return daemonsWait
	case v.ByPlace && !v.Delegate:
		return maxFirstReadDelay
	}
	position := 0
	for _, d := range v.Daemons {
		if d.ID < self && d.Region == region && (!v.ByPlace || v.Delegates[d.ID]) {
			position++
		}
	}
	return min(time.Duration(position)*firstReadStagger, maxFirstReadDelay)
}
