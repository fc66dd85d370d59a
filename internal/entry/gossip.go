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
	// recentMembersWindow is the least time between two full member lists over one
	// link, because a full list of 920 servers takes about 100 KB. Repairs in between
	// send only the changes of this time.
	recentMembersWindow = 30 * time.Second
)

// peerExchange is the state that the control goroutine keeps for its messages to
// peers.
type peerExchange struct {
	lastDigestAt time.Time
	usage        usage.Tree
	// fullMembersSentAt is when each peer was last sent a full member list.
	fullMembersSentAt map[string]time.Time
	sentSuspectsHash  uint64
}

// newHub returns the hub of links to other daemons.
func (d *Daemon) newHub(l net.Listener) *peer.Hub {
	self := d.self()
	return &peer.Hub{
		Self: message.Hello{
			Daemon: self.ID, Start: self.Start, Place: self.Place, Region: self.Region,
			PeerAddress: self.PeerAddress, CallerAddress: self.CallerAddress, Token: d.Settings.PeerToken,
		},
		Listener:  l,
		Handler:   d,
		OnMessage: d.handlePeerMessage,
		OnPeerUp:  func(p message.Hello) { d.tryPost(func(c *controlState, now time.Time) { c.peerLinked(now, p) }) },
		OnUnreachable: func(t peer.Target, _ error) {
			if t.ID != "" {
				d.tryPost(func(c *controlState, now time.Time) { c.daemonUnreachable(now, t.ID) })
			}
		},
		Log:     d.Log,
		Metrics: d.metrics.registry,
	}
}

// peerLinked handles a new link to a daemon. It sends all members, because digests
// omit Gone members, which are needed to keep an old list from reviving a server.
func (c *controlState) peerLinked(now time.Time, p message.Hello) {
	c.daemons.MessageReceived(now, daemonFromHello(p))
	delete(c.exchange.fullMembersSentAt, p.Daemon)
	c.repairMembers(now, p.Daemon)
}

func daemonFromHello(p message.Hello) membership.Daemon {
	return membership.Daemon{
		ID: p.Daemon, Start: p.Start, Place: p.Place, Region: p.Region,
		PeerAddress: p.PeerAddress, CallerAddress: p.CallerAddress,
	}
}

// daemonUnreachable marks a daemon as unreachable and wakes the ledger to check its
// shards.
func (c *controlState) daemonUnreachable(now time.Time, id string) {
	if !c.daemons.Reachable(now, id) {
		return
	}
	c.d.Log.Info("daemon unreachable", "Peer", id)
	c.daemons.LinkBroken(now, id)
	c.publish(now)
	if reg := c.d.registrar.Load(); reg != nil {
		reg.Wake()
	}
}

// gossip updates the links, and sends a digest each digestPeriod.
func (c *controlState) gossip(now time.Time) {
	if now.Sub(c.exchange.lastDigestAt) < digestPeriod {
		return
	}
	c.exchange.lastDigestAt = now
	var targets []peer.Target
	for _, other := range c.arrangeUsageTree() {
		targets = append(targets, peer.Target{ID: other.ID, Address: other.PeerAddress})
	}
	for _, other := range c.daemons.Links(now) {
		targets = append(targets, peer.Target{ID: other.ID, Address: other.PeerAddress})
	}
	for _, address := range c.d.Settings.Peers {
		targets = append(targets, peer.Target{Address: address})
	}
	c.d.hub.KeepLinks(targets)
	c.updateAdoptionPeers()
	digest := message.Digest{
		Revision: c.adoption.DigestRevision(), Members: c.members.Hash(), Quarantine: c.d.dispatcher.SuspectsHash(), Draining: c.view.Draining,
	}
	if r, _ := c.adoption.InForce(); r.Number != digest.Revision {
		digest.InForce = r.Number
	}
	sendToPeers(c, "", message.KindDigest, digest)
	c.pushSuspects()
}

// sendToPeers sends a message to all linked peers except one. Digests repair messages
// that a full queue drops.
func sendToPeers[B message.Body](c *controlState, except string, kind message.Kind, body B) {
	data, err := message.Encode(kind, body)
	if err != nil {
		c.d.Log.Error(err, "message not sent")
		return
	}
	for _, p := range c.d.hub.Peers() {
		if p.Daemon != except {
			_ = c.d.hub.Send(p.Daemon, kind, data) // Digests repair losses.
		}
	}
}

func (c *controlState) pushMembers(changes []membership.Change) {
	m := message.Members{}
	for _, change := range changes {
		m.Members = append(m.Members, change.Member.Message())
	}
	sendToPeers(c, "", message.KindMembers, m)
}

// pushSuspects sends the quarantine list as soon as it has changed, because a request
// that crashes servers costs a server at each daemon that does not list it yet.
func (c *controlState) pushSuspects() {
	entries, hash := c.d.dispatcher.Suspects()
	if hash == c.exchange.sentSuspectsHash {
		return
	}
	c.exchange.sentSuspectsHash = hash
	if len(entries) > 0 {
		sendToPeers(c, "", message.KindQuarantine, message.Quarantine{Suspects: entries})
	}
}

// handlePeerMessage handles the messages of peers. It runs in the link's goroutine,
// so it only decodes them and posts events.
func (d *Daemon) handlePeerMessage(from message.Hello, e message.Envelope) {
	switch e.Kind {
	case message.KindDigest:
		decodeAndPost(d, e, func(c *controlState, now time.Time, m message.Digest) { c.handleDigest(now, from, m) })
	case message.KindConfiguration:
		decodeAndPost(d, e, func(c *controlState, now time.Time, m message.Configuration) {
			value, err := message.Decompress(m.Value)
			if err != nil {
				c.d.Log.Error(err, "message of a peer refused", "Peer", from.Daemon, "Kind", message.KindConfiguration)
				return
			}
			c.offerRevision(now, adoption.Revision{Number: m.Revision, Value: value}, adoption.Source{Kind: adoption.Push, Peer: from.Daemon})
		})
	case message.KindFetch:
		decodeAndPost(d, e, func(c *controlState, _ time.Time, m message.Fetch) {
			for _, r := range c.adoption.Missing(m.Above, m.InForce) {
				reply := message.Configuration{Revision: r.Number, Value: message.Compress(r.Value)}
				c.logSendError(from.Daemon, peer.Send(c.d.hub, from.Daemon, message.KindConfiguration, reply))
			}
		})
	case message.KindMembers:
		decodeAndPost(d, e, func(c *controlState, now time.Time, m message.Members) { c.mergeMembers(now, m) })
	case message.KindUsage:
		decodeAndPost(d, e, func(c *controlState, now time.Time, m message.Usage) { c.mergeUsage(now, from.Daemon, m) })
	case message.KindQuarantine:
		decodeAndPost(d, e, func(c *controlState, now time.Time, m message.Quarantine) {
			if c.d.dispatcher.MergeSuspects(now, m.Suspects) {
				c.pushSuspects()
			}
		})
	default:
		d.Log.V(1).Info("message of a peer ignored", "Peer", from.Daemon, "Kind", e.Kind)
	}
}

// decodeAndPost decodes a message and posts an event that applies it.
func decodeAndPost[B message.Body](d *Daemon, e message.Envelope, apply func(*controlState, time.Time, B)) {
	body, err := message.Decode[B](e)
	if err != nil {
		d.Log.Error(err, "message of a peer refused", "Kind", e.Kind)
		return
	}
	d.tryPost(func(c *controlState, now time.Time) { apply(c, now, body) })
}

// handleDigest compares the digest of a peer with the state of this daemon and sends
// what the peer lacks.
func (c *controlState) handleDigest(now time.Time, from message.Hello, m message.Digest) {
	other := daemonFromHello(from)
	other.Draining = m.Draining
	if reg := c.d.registrar.Load(); reg != nil && m.Draining {
		reg.Wake() // A draining daemon releases its shards.
	}
	if c.daemons.MessageReceived(now, other) {
		sendToPeers(c, from.Daemon, message.KindMembers, message.Members{Daemons: []message.Daemon{other.Message()}})
	}
	c.offerRevision(now, adoption.Revision{Number: m.Revision}, adoption.Source{Kind: adoption.Digest, Peer: from.Daemon, InForce: m.InForce})
	if m.Members != c.members.Hash() {
		c.repairMembers(now, from.Daemon)
	}
	if entries, hash := c.d.dispatcher.Suspects(); m.Quarantine != hash && len(entries) > 0 {
		c.logSendError(from.Daemon, peer.Send(c.d.hub, from.Daemon, message.KindQuarantine, message.Quarantine{Suspects: entries}))
	}
}

// logSendError logs a message that could not be queued for a peer.
func (c *controlState) logSendError(peerID string, err error) {
	if err != nil {
		c.d.Log.V(1).Info("message not sent", "Peer", peerID, "Error", err.Error())
	}
}

// repairMembers sends a peer the members that it may lack: all of them if no full
// list was sent for recentMembersWindow, and otherwise the recent changes.
func (c *controlState) repairMembers(now time.Time, peerID string) {
	x := &c.exchange
	if x.fullMembersSentAt == nil {
		x.fullMembersSentAt = map[string]time.Time{}
	}
	since := now.Add(-recentMembersWindow)
	if now.Sub(x.fullMembersSentAt[peerID]) > recentMembersWindow {
		x.fullMembersSentAt[peerID] = now
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
		c.logSendError(peerID, peer.Send(c.d.hub, peerID, message.KindMembers, m))
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
	c.handleMemberChanges(now, c.members.Merge(now, members))
	changed := message.Members{}
	for _, sent := range m.Daemons {
		if c.daemons.Apply(now, membership.DaemonFromMessage(sent)) {
			changed.Daemons = append(changed.Daemons, sent)
		}
	}
	if len(changed.Daemons) > 0 {
		sendToPeers(c, "", message.KindMembers, changed)
	}
}
