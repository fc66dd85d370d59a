package gateway

import (
	"time"

	"apricotbridge/internal/accounting"
	"apricotbridge/internal/message"
	"apricotbridge/internal/routing"
)

// sentMax bounds the prompts that one status names. A peer that is not told of one
// reads the shared part again at another server, which costs time only.
const sentMax = 256

// statusScope says to whom a status goes.
type statusScope uint8

const (
	// near peers share this daemon's servers.
	near statusScope = iota + 1
	// far peers are delegates of other places, to whom rows are passed apart.
	far
)

// status returns what this daemon tells its peers.
func (g *Gateway) status(now time.Time, scope statusScope) message.Status {
	s := message.Status{Clock: time.Now().UnixMilli(), Draining: g.draining.Load(), Duty: g.holding.Load()}
	if c := g.view.Load().Configuration(); c != nil {
		s.Revision = c.Version
	}
	if scope == far {
		return s
	}
	own := encodeRows(now, []row{g.ownRow(now)})
	loads := encodeLoads(g.dispatcher.Loads())
	s.Own, s.Loads = &own, &loads
	g.sentMu.Lock()
	s.Sent, g.sent = g.sent, nil
	g.sentMu.Unlock()
	return s
}

// hear takes a message of a peer.
func (g *Gateway) hear(from message.Hello, e message.Envelope) {
	now := time.Now()
	switch e.Kind {
	case message.KindStatus:
		s, err := message.Decode[message.Status](e)
		if err != nil {
			g.Log.Info("status not readable", "Peer", from.Daemon, "Error", err.Error())
			return
		}
		g.merge(now, from, s)
		g.post(func(c *control) { c.heard(now, from, s) })
	case message.KindRows:
		m, err := message.Decode[message.Rows](e)
		if err != nil {
			g.Log.Info("rows not readable", "Peer", from.Daemon, "Error", err.Error())
			return
		}
		g.hearRows(now, m)
	case message.KindListing:
		m, err := message.Decode[message.Listing](e)
		if err != nil {
			g.Log.Info("listing not readable", "Peer", from.Daemon, "Error", err.Error())
			return
		}
		g.post(func(c *control) { c.told(now, from, m) })
	case message.KindConfiguration:
		m, err := message.Decode[message.Configuration](e)
		if err != nil {
			g.Log.Info("configuration not readable", "Peer", from.Daemon, "Error", err.Error())
			return
		}
		document, err := message.Unpack(m.Value)
		if err != nil {
			g.Log.Info("configuration not readable", "Peer", from.Daemon, "Error", err.Error())
			return
		}
		g.offerConfiguration(document, from.Daemon)
	}
}

// merge takes the parts of a status that traffic reads.
func (g *Gateway) merge(now time.Time, from message.Hello, s message.Status) {
	for _, p := range s.Sent {
		if len(p.Prefixes) != len(p.Tokens) {
			continue
		}
		parts := make([]routing.Part, len(p.Prefixes))
		for i := range parts {
			parts[i] = routing.Part{Prefix: p.Prefixes[i], Tokens: p.Tokens[i]}
		}
		g.dispatcher.PeerSent(p.Server, parts, p.Expected)
	}
	if s.Loads != nil {
		g.dispatcher.PeerLoads(now, from.Daemon, decodeLoads(s.Loads))
	}
	if s.Own != nil {
		for _, r := range decodeRows(now, *s.Own) {
			if r.daemon == from.Daemon && g.noteRow(r) {
				g.mergeRow(r)
			}
		}
	}
	g.countMu.Lock()
	g.clock.Heard(now, from.Daemon, time.Now(), time.UnixMilli(s.Clock))
	g.countMu.Unlock()
}

// encodeLoads returns loads as a message.
func encodeLoads(loads []routing.ServerLoad) message.ServerLoads {
	m := message.ServerLoads{Servers: []string{}, Running: []int{}, Pending: []int{}}
	for _, l := range loads {
		m.Servers = append(m.Servers, l.Server)
		m.Running = append(m.Running, l.Running)
		m.Pending = append(m.Pending, l.Pending)
	}
	return m
}

// decodeLoads returns the loads of a message.
func decodeLoads(m *message.ServerLoads) []routing.ServerLoad {
	n := min(len(m.Servers), len(m.Running), len(m.Pending))
	loads := make([]routing.ServerLoad, n)
	for i := range loads {
		loads[i] = routing.ServerLoad{Server: m.Servers[i], Running: m.Running[i], Pending: m.Pending[i]}
	}
	return loads
}

// noteSent records a prompt for the next status.
func (g *Gateway) noteSent(server string, call *Call) {
	if len(call.Parts) == 0 {
		return
	}
	p := message.SentPrompt{Server: server, Expected: call.expected()}
	for _, part := range call.Parts {
		p.Prefixes = append(p.Prefixes, part.Prefix)
		p.Tokens = append(p.Tokens, part.Tokens)
	}
	g.sentMu.Lock()
	defer g.sentMu.Unlock()
	if len(g.sent) < sentMax {
		g.sent = append(g.sent, p)
	}
}

// countRun counts a request that began to run.
func (g *Gateway) countRun(now time.Time, organisation string) {
	if g.Bounds.UsageWindow <= 0 || organisation == "" {
		return
	}
	g.countMu.Lock()
	defer g.countMu.Unlock()
	g.counts.Add(accounting.Count{
		Daemon: g.Daemon, Start: g.start, Window: accounting.WindowOf(g.clock.Now(now, time.Now()), g.Bounds.UsageWindow),
		Organisation: organisation, Requests: 1,
	})
}
