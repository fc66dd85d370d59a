package entry

import (
	"net"
	"time"

	"apricotbridge/internal/adoption"
	"apricotbridge/internal/membership"
	"apricotbridge/internal/message"
	"apricotbridge/internal/peer"
	"apricotbridge/internal/usage"
)

const (
	digestPeriod = time.Second
	// recentMembers is how far back a first repair of member states reaches. A full
	// snapshot of 920 servers takes about 100 KB.
	recentMembers = 30 * time.Second
)

// exchange is what the control goroutine keeps of its exchange with peers.
type exchange struct {
	digestAt time.Time
	usage    usage.Tree
	// repaired is when a peer was last sent a full member list.
	repaired map[string]time.Time
	suspects uint64
}

// newHub returns the links to other daemons.
func (d *Daemon) newHub(l net.Listener) *peer.Hub {
	self := d.self()
	return &peer.Hub{
		Self: message.Hello{
			Daemon: self.ID, Start: self.Start, Place: self.Place, Region: self.Region,
			PeerAddress: self.PeerAddress, CallerAddress: self.CallerAddress, Token: d.Settings.PeerToken,
		},
		Listener: l,
		Handler:  d,
		Handle:   d.handlePeer,
		Up:       func(p message.Hello) { d.tell(func(c *controlState, now time.Time) { c.linked(now, p) }) },
		Unreachable: func(t peer.Target, _ error) {
			if t.ID != "" {
				d.tell(func(c *controlState, now time.Time) { c.broken(now, t.ID) })
			}
		},
		Log:     d.Log,
		Metrics: d.metrics.registry,
	}
}

// linked takes a daemon with a new link. It gets all members, because digests leave
// out the gone ones, which keep an old list from reviving a server.
func (c *controlState) linked(now time.Time, p message.Hello) {
	c.daemons.Heard(now, daemonOf(p))
	delete(c.exchange.repaired, p.Daemon)
	c.repairMembers(now, p.Daemon)
}

func daemonOf(p message.Hello) membership.Daemon {
	return membership.Daemon{
		ID: p.Daemon, Start: p.Start, Place: p.Place, Region: p.Region,
		PeerAddress: p.PeerAddress, CallerAddress: p.CallerAddress,
	}
}

// broken notes that a daemon can't be reached. Its ledger shards are looked at.
func (c *controlState) broken(now time.Time, id string) {
	if !c.daemons.Reached(now, id) {
		return
	}
	c.d.Log.Info("daemon not reached", "Peer", id)
	c.daemons.Broken(now, id)
	c.publish(now)
	if reg := c.d.registrar.Load(); reg != nil {
		reg.Wake()
	}
}

// gossip keeps the links and sends what is due.
func (c *controlState) gossip(now time.Time) {
	if now.Sub(c.exchange.digestAt) < digestPeriod {
		return
	}
	c.exchange.digestAt = now
	var targets []peer.Target
	for _, other := range c.usageLinks() {
		targets = append(targets, peer.Target{ID: other.ID, Address: other.PeerAddress})
	}
	for _, other := range c.daemons.Links(now) {
		targets = append(targets, peer.Target{ID: other.ID, Address: other.PeerAddress})
	}
	for _, address := range c.d.Settings.Peers {
		targets = append(targets, peer.Target{Address: address})
	}
	c.d.hub.Keep(targets)
	c.linkAdoption()
	send(c, "", message.KindDigest, message.Digest{
		Revision: c.adoption.Shown(), Members: c.members.Hash(), Quarantine: c.d.dispatcher.SuspectsHash(), Draining: c.view.Draining,
	})
	c.pushSuspects()
}

// send sends a message to all linked peers but one. What a full queue drops is
// repaired by digests.
func send[B message.Body](c *controlState, except string, kind message.Kind, body B) {
	data, err := message.Encode(kind, body)
	if err != nil {
		c.d.Log.Error(err, "message not sent")
		return
	}
	for _, p := range c.d.hub.Peers() {
		if p.Daemon != except {
			_ = c.d.hub.Send(p.Daemon, kind, data) // Digests repair what is lost.
		}
	}
}

func (c *controlState) pushMembers(changes []membership.Change) {
	m := message.Members{}
	for _, change := range changes {
		m.Members = append(m.Members, change.Member.Message())
	}
	send(c, "", message.KindMembers, m)
}

// pushSuspects passes the quarantine list on at once when it has changed, because
// a poisonous request costs a server at each daemon that has not heard of it.
func (c *controlState) pushSuspects() {
	entries, hash := c.d.dispatcher.Suspects()
	if hash == c.exchange.suspects {
		return
	}
	c.exchange.suspects = hash
	if len(entries) > 0 {
		send(c, "", message.KindQuarantine, message.Quarantine{Suspects: entries})
	}
}

// handlePeer takes the messages of peers. It runs in the link's goroutine, so it
// only decodes and hands on.
func (d *Daemon) handlePeer(from message.Hello, e message.Envelope) {
	switch e.Kind {
	case message.KindDigest:
		handle(d, e, func(c *controlState, now time.Time, m message.Digest) { c.compare(now, from, m) })
	case message.KindConfiguration:
		handle(d, e, func(c *controlState, now time.Time, m message.Configuration) {
			value, err := message.Unpack(m.Value)
			if err != nil {
				c.d.Log.Error(err, "message of a peer refused", "Peer", from.Daemon, "Kind", message.KindConfiguration)
				return
			}
			c.offer(now, adoption.Revision{Number: m.Revision, Value: value}, adoption.Source{Kind: adoption.Push, Peer: from.Daemon})
		})
	case message.KindFetch:
		handle(d, e, func(c *controlState, _ time.Time, m message.Fetch) {
			held := c.adoption.Held()
			if held.Number <= m.Above {
				return
			}
			answer := message.Configuration{Revision: held.Number, Value: message.Pack(held.Value)}
			c.answered(from.Daemon, peer.Send(c.d.hub, from.Daemon, message.KindConfiguration, answer))
		})
	case message.KindMembers:
		handle(d, e, func(c *controlState, now time.Time, m message.Members) { c.mergeMembers(now, m) })
	case message.KindUsage:
		handle(d, e, func(c *controlState, now time.Time, m message.Usage) { c.mergeUsage(now, from.Daemon, m) })
	case message.KindQuarantine:
		handle(d, e, func(c *controlState, now time.Time, m message.Quarantine) {
			if c.d.dispatcher.MergeSuspects(now, m.Suspects) {
				c.pushSuspects()
			}
		})
	default:
		d.Log.V(1).Info("message of a peer ignored", "Peer", from.Daemon, "Kind", e.Kind)
	}
}

// handle decodes a message and hands it to the control goroutine.
func handle[B message.Body](d *Daemon, e message.Envelope, do func(*controlState, time.Time, B)) {
	body, err := message.Decode[B](e)
	if err != nil {
		d.Log.Error(err, "message of a peer refused", "Kind", e.Kind)
		return
	}
	d.tell(func(c *controlState, now time.Time) { do(c, now, body) })
}

// compare answers a digest with what the peer lacks.
func (c *controlState) compare(now time.Time, from message.Hello, m message.Digest) {
	other := daemonOf(from)
	other.Draining = m.Draining
	if reg := c.d.registrar.Load(); reg != nil && m.Draining {
		reg.Wake() // It releases its shards.
	}
	if c.daemons.Heard(now, other) {
		send(c, from.Daemon, message.KindMembers, message.Members{Daemons: []message.Daemon{other.Message()}})
	}
	c.offer(now, adoption.Revision{Number: m.Revision}, adoption.Source{Kind: adoption.Digest, Peer: from.Daemon})
	if m.Members != c.members.Hash() {
		c.repairMembers(now, from.Daemon)
	}
	if entries, hash := c.d.dispatcher.Suspects(); m.Quarantine != hash && len(entries) > 0 {
		c.answered(from.Daemon, peer.Send(c.d.hub, from.Daemon, message.KindQuarantine, message.Quarantine{Suspects: entries}))
	}
}

// answered logs a message that could not be queued for a peer.
func (c *controlState) answered(peerID string, err error) {
	if err != nil {
		c.d.Log.V(1).Info("message not sent", "Peer", peerID, "Error", err.Error())
	}
}

// repairMembers sends the members that a peer may lack: the recent changes first,
// and all when the sets still differ after a while.
func (c *controlState) repairMembers(now time.Time, peerID string) {
	x := &c.exchange
	if x.repaired == nil {
		x.repaired = map[string]time.Time{}
	}
	since := now.Add(-recentMembers)
	if now.Sub(x.repaired[peerID]) > recentMembers {
		x.repaired[peerID] = now
		since = time.Time{}
	}
	m := message.Members{}
	for _, member := range c.members.Since(since) {
		m.Members = append(m.Members, member.Message())
	}
	if since.IsZero() {
		for _, other := range c.daemons.Snapshot() {
			m.Daemons = append(m.Daemons, other.Message())
		}
	}
	if len(m.Members)+len(m.Daemons) > 0 {
		c.answered(peerID, peer.Send(c.d.hub, peerID, message.KindMembers, m))
	}
}

func (c *controlState) mergeMembers(now time.Time, m message.Members) {
	var members []membership.Member
	for _, sent := range m.Members {
		member, err := membership.FromMessage(sent)
		if err != nil {
			c.d.Log.Error(err, "member of a peer refused")
			continue
		}
		members = append(members, member)
	}
	c.changed(now, c.members.Merge(now, members))
	news := message.Members{}
	for _, sent := range m.Daemons {
		if c.daemons.Apply(now, membership.DaemonFromMessage(sent)) {
			news.Daemons = append(news.Daemons, sent)
		}
	}
	if len(news.Daemons) > 0 {
		send(c, "", message.KindMembers, news)
	}
}
