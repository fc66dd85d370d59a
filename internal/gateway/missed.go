package gateway

import (
	"time"

	"apricotbridge/internal/message"
)

const (
	// missedListingDelay is how long after a listing a peer whose status does not show it has missed
	// it. Two statuses of a peer in a large place are 0.45 s apart.
	missedListingDelay = 750 * time.Millisecond
	// listedMemory is how long the changes of listings are kept for peers that missed them. An older
	// list is replaced by a complete one.
	listedMemory = 30 * time.Second
)

// storeMoment is a revision of the store in an era.
type storeMoment struct{ era, revision int64 }

func (m storeMoment) before(other storeMoment) bool {
	return m.era < other.era || m.era == other.era && m.revision < other.revision
}

// setAsOf records as of when the list of servers is complete, unless a later listing of a peer has arrived.
func (c *control) setAsOf(moment storeMoment) {
	if c.asOf.before(moment) {
		c.asOf = moment
		c.g.serversAsOf.Store(&moment)
	}
}

// listedChange is a changed entry of a listing.
type listedChange struct {
	listing   storeMoment
	learnedAt time.Time
	entry     message.StoreEntry
}

// noteListed keeps the changes of a listing for peers that missed it.
func (c *control) noteListed(now time.Time, listing storeMoment, entries []message.StoreEntry) {
	if c.keptFrom == (storeMoment{}) {
		c.keptFrom = listing
	}
	for _, e := range entries {
		learnedAt := now.Add(-time.Duration(e.Age) * time.Millisecond)
		c.listed = append(c.listed, listedChange{listing, learnedAt, e})
	}
	for len(c.listed) > 0 && now.Sub(c.listed[0].learnedAt) > listedMemory {
		c.keptFrom, c.listed = c.listed[0].listing, c.listed[1:]
	}
}

// missesListing reports whether a peer has missed a listing, given the moments as of which this
// daemon's list of servers and the peer's are complete.
func (p *peerState) missesListing(now time.Time, own, peers storeMoment) bool {
	if !peers.before(p.expected) {
		p.expected, p.expectedAt = own, now
		return false
	}
	return now.Sub(p.expectedAt) > missedListingDelay
}

// repeatListings sends a peer the changes of the listings that it has missed.
func (c *control) repeatListings(now time.Time, p *peerState, peers storeMoment) {
	if now.Sub(p.suppliedAt) < supplyInterval || !c.repeatsListingsTo(p) {
		return
	}
	p.suppliedAt = now
	if p.repeatedFrom != peers {
		p.repeatedFrom, p.repeats = peers, 0
	}
	p.repeats++
	// The first time the changes may not have been all that the peer lacks.
	if peers.before(c.keptFrom) || p.repeats == 2 {
		c.g.Log.Info("complete listing sent", "Peer", p.hello.Daemon, "PeerRevision", peers.revision, "Revision", c.asOf.revision)
		c.sendCompleteListing(p)
		return
	}
	m := c.latestListing()
	m.Repeated = true
	for _, change := range c.listed {
		if peers.before(change.listing) {
			e := change.entry
			e.Age = now.Sub(change.learnedAt).Milliseconds()
			m.Changes = append(m.Changes, e)
		}
	}
	c.g.Log.Info("listing repeated", "Peer", p.hello.Daemon, "PeerRevision", peers.revision, "Revision", c.asOf.revision, "Entries", len(m.Changes))
	c.sendListing(m, func(q peerState) bool { return q.hello.Daemon == p.hello.Daemon })
}

// repeatsListingsTo reports whether this daemon is one of those that repeat listings to a peer.
func (c *control) repeatsListingsTo(p *peerState) bool {
	if c.topology.ByPlace {
		return c.topology.Delegate
	}
	return c.position(p) < suppliersPerPeer
}
