package gateway

import (
	"fmt"
	"strings"
	"time"

	"apricotbridge/internal/fleet"
	"apricotbridge/internal/keyvalue"
	"apricotbridge/internal/message"
)

// registration decodes an entry of a server. An entry that makes the decoder panic is
// unreadable, so that the others are followed.
func (c *control) registration(e keyvalue.Entry) (r fleet.Registration) {
	defer func() {
		if cause := recover(); cause != nil {
			id := strings.TrimPrefix(e.Key, c.g.Keys.Servers)
			r = fleet.Registration{ID: id, Revision: e.Revision, Era: e.Era, Unreadable: fmt.Sprint("decoder panicked: ", cause)}
		}
	}()
	r = c.g.Decoder.Registration(e)
	r.Era = e.Era
	return r
}

// noteEra records an era of the store. It returns false if a later one is known. The entries
// that are kept become older than all that is written in the new era.
func (c *control) noteEra(now time.Time, era int64) bool {
	if c.fleet.NoteEra(now, era) {
		for key, e := range c.entries {
			e.Era, e.Revision = era, 0
			c.entries[key] = e
		}
	}
	return era == c.fleet.Era()
}

// applyListing applies a complete list of server entries, which the store returned in an era,
// and sends the changes to all peers. They still read the store themselves unless confirmListing
// follows.
func (c *control) applyListing(now time.Time, era, revision int64, entries []keyvalue.Entry) {
	if !c.noteEra(now, era) {
		return
	}
	c.listedHere = true
	first := !c.serversListed
	if first {
		c.serversListed, c.changed, c.firstListedAt = true, true, now
	}
	list := make([]fleet.Registration, 0, len(entries))
	previous := c.entries
	c.entries = make(map[string]message.StoreEntry, len(entries))
	for _, e := range entries {
		r := c.registration(e)
		list = append(list, r)
		c.entries[e.Key] = storeEntry(e)
	}
	spoilt := c.unreadable
	c.logUnreadable(list)
	m := message.Listing{Revision: revision, Era: era}
	changed := map[string]bool{}
	for _, change := range c.fleet.Replace(now, revision, list) {
		c.serverChanged(change)
		changed[c.g.Keys.Servers+change.Member.ID] = true
	}
	// A registration that ended after an outage of the store, or returned, changes no member here. Nor does
	// one that can be read again.
	for id := range spoilt {
		if _, still := c.unreadable[id]; !still {
			changed[c.g.Keys.Servers+id] = true
		}
	}
	for key := range previous {
		if _, listed := c.entries[key]; !listed {
			changed[key] = true
		}
	}
	for key := range c.entries {
		if _, listed := previous[key]; !listed {
			changed[key] = true
		}
	}
	for key := range changed {
		e, listed := c.entries[key]
		if !listed {
			lapsed := c.fleet.Lapsed(strings.TrimPrefix(key, c.g.Keys.Servers))
			e = message.StoreEntry{Key: key, Revision: revision, Era: era, Deleted: true, MayReturn: lapsed}
		}
		m.Changes = append(m.Changes, e)
	}
	if first {
		m.Changes = nil // Peers without a list are sent one by supply.
	}
	m.Hash = c.fleet.Hash()
	c.noteListed(now, storeMoment{era, revision}, m.Changes)
	c.setAsOf(storeMoment{era, revision})
	if len(m.Changes) > 0 {
		c.sendListing(m, func(peerState) bool { return true })
	}
}

// confirmListing tells all peers that this daemon has read the configuration too, after the servers.
func (c *control) confirmListing() {
	if c.serversListed {
		c.sendListing(c.latestListing(), func(peerState) bool { return true })
	}
}

// logUnreadable logs the first registration that has become unreadable since the previous
// listing, and how many there are. One line a listing bounds the volume.
func (c *control) logUnreadable(list []fleet.Registration) {
	unreadable := map[string]int64{}
	var first *fleet.Registration
	for i := range list {
		r := &list[i]
		if r.Unreadable == "" {
			continue
		}
		unreadable[r.ID] = r.Revision
		if first == nil && c.unreadable[r.ID] != r.Revision {
			first = r
		}
	}
	c.unreadable = unreadable
	if first != nil {
		c.g.Log.Info("registration not readable", "Server", first.ID, "Revision", first.Revision, "Error", first.Unreadable, "Unreadable", len(unreadable))
	}
}

// sendListing sends a listing to the peers for which include returns true.
func (c *control) sendListing(m message.Listing, include func(peerState) bool) {
	m.Versions = encodeVersions(c.g.begun.allRecords())
	m.Rollouts = nil
	for _, s := range c.rollouts.set.States() {
		m.Rollouts = append(m.Rollouts, encodeRollout(time.Now(), s))
	}
	data, err := message.Encode(message.KindListing, m)
	if err != nil {
		c.g.Log.Error(err, "listing not sent")
		return
	}
	for id, p := range c.peers {
		if !include(*p) {
			continue
		}
		if err := c.g.hub.Send(id, message.KindListing, data); err != nil {
			c.g.Log.V(1).Info("listing not sent", "Peer", id, "Error", err.Error())
		}
	}
}

// applyPeerListing applies the server changes that a peer read from the store. If this
// daemon then has the same state as the peer, it need not read the store itself. A
// delegate forwards listings of other places within its own place. A complete listing gives
// a daemon its first list, or replaces an older one; otherwise its entries are applied like changes.
func (c *control) applyPeerListing(now time.Time, from message.Hello, m message.Listing) {
	c.mergeRollouts(now, from.Daemon, m.Rollouts)
	c.noteVersions(now, m.Versions)
	c.listedHere = false
	first := m.Complete && !c.serversListed
	if first {
		c.g.Log.Info("servers listed", "Source", from.Daemon, "Revision", m.Revision, "Servers", len(m.Changes))
		c.serversListed, c.changed, c.firstListedAt = true, true, now
	}
	moment := storeMoment{m.Era, m.Revision}
	if c.noteEra(now, m.Era) && m.Complete && c.asOf.before(moment) {
		c.replaceEntries(now, m)
	} else {
		c.applyEntries(now, m.Changes)
	}
	if c.topology.ByPlace && c.topology.Delegate && from.Place != c.g.Place && !m.Complete && !m.Repeated {
		c.sendListing(m, func(p peerState) bool { return p.hello.Place == c.g.Place })
	}
	if !c.serversListed || c.fleet.Hash() != m.Hash {
		return
	}
	if c.asOf.before(moment) {
		if m.Complete {
			c.listed, c.keptFrom = nil, moment
		} else {
			c.noteListed(now, moment, m.Changes)
		}
		c.setAsOf(moment)
	}
	// A supplied list is not fresh: unless it is the first, it does not defer the next read. Nor does
	// one without a version, whose sender has not read the configuration.
	if supplied := m.Repeated || m.Complete && !first; !supplied && m.Version > 0 && c.index != nil && c.index.Version >= m.Version {
		c.g.storeReadAt.Store(&now)
		c.g.begun.noteListed(now)
	}
}

// applyEntries applies entries that a peer sent as changes.
func (c *control) applyEntries(now time.Time, entries []message.StoreEntry) {
	c.keepEntries(now, entries)
	for _, e := range entries {
		learnedAt := now.Add(-time.Duration(e.Age) * time.Millisecond)
		if change, ok := c.fleet.Apply(learnedAt, c.peerRegistration(e)); ok {
			c.serverChanged(change)
		}
	}
}

// replaceEntries applies the complete listing of a peer.
func (c *control) replaceEntries(now time.Time, m message.Listing) {
	clear(c.entries)
	c.keepEntries(now, m.Changes)
	list := make([]fleet.Registration, len(m.Changes))
	for i, e := range m.Changes {
		list[i] = c.peerRegistration(e)
	}
	for _, change := range c.fleet.Replace(now, m.Revision, list) {
		c.serverChanged(change)
	}
}

// peerRegistration decodes an entry that a peer sent.
func (c *control) peerRegistration(e message.StoreEntry) fleet.Registration {
	r := c.registration(keyvalue.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision, Era: e.Era, Deleted: e.Deleted})
	r.MayReturn = e.MayReturn
	return r
}

// keepEntries keeps the entries of servers for supply.
func (c *control) keepEntries(now time.Time, entries []message.StoreEntry) {
	for _, e := range entries {
		switch {
		case !c.noteEra(now, e.Era):
		case e.Deleted:
			delete(c.entries, e.Key)
		default:
			c.entries[e.Key] = e
		}
	}
}

// storeEntry converts an entry to its form in messages.
func storeEntry(e keyvalue.Entry) message.StoreEntry {
	return message.StoreEntry{Key: e.Key, Value: e.Value, Revision: e.Revision, Era: e.Era, Deleted: e.Deleted}
}
