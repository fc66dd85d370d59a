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

// usageWindows is how many windows of usage a status carries. Each is reported
// within two windows of its end.
const usageWindows = 2

// status returns what this daemon tells its peers.
// A status for other places leaves out what only matters to those that share the
// same servers.
func (g *Gateway) status(now time.Time, whole bool) message.Status {
	s := message.Status{Clock: time.Now().UnixMilli(), Draining: g.draining.Load(), Duty: g.holding.Load()}
	if c := g.view.Load().Configuration(); c != nil {
		s.Revision = c.Version
	}
	s.Demands = g.demand.own(now)
	if whole {
		for _, l := range g.dispatcher.Loads() {
			s.Loads = append(s.Loads, message.ServerLoad{Server: l.Server, Running: l.Running, Pending: l.Pending})
		}
		g.sentMu.Lock()
		s.Sent, g.sent = g.sent, nil
		g.sentMu.Unlock()
	}
	g.quotaMu.Lock()
	for name, amount := range g.quotas.Used() {
		s.Used = append(s.Used, message.QuotaUse{Organisation: name, Amount: amount})
	}
	g.quotaMu.Unlock()
	if g.Bounds.UsageWindow <= 0 {
		return s
	}
	g.countMu.Lock()
	defer g.countMu.Unlock()
	current := accounting.WindowOf(g.clock.Now(now, time.Now()), g.Bounds.UsageWindow)
	g.counts.Forget(current)
	for _, c := range g.counts.Counts(g.Daemon, g.start, current-usageWindows) {
		s.Windows = append(s.Windows, message.WindowCount{
			Daemon: c.Daemon, Start: c.Start, Window: int64(c.Window), Organisation: c.Organisation, Requests: c.Requests,
		})
	}
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
		g.post(func(c *control) { c.told(now, m) })
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
	loads := make([]routing.ServerLoad, 0, len(s.Loads))
	for _, l := range s.Loads {
		loads = append(loads, routing.ServerLoad{Server: l.Server, Running: l.Running, Pending: l.Pending})
	}
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
	g.dispatcher.PeerLoads(now, from.Daemon, loads)
	r := rowFrom(from, s)
	if g.noteRow(row{DaemonRow: r, at: now}) {
		g.mergeRow(now, r)
	}
	g.countMu.Lock()
	g.clock.Heard(now, from.Daemon, time.Now(), time.UnixMilli(s.Clock))
	g.countMu.Unlock()
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
