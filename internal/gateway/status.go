package gateway

import (
	"time"

	"apricotbridge/internal/accounting"
	"apricotbridge/internal/message"
	"apricotbridge/internal/rollout"
	"apricotbridge/internal/routing"
)

// maxSentPrompts bounds the prompts listed in one status. If a prompt is left out, a peer
// may send its shared prefix to another server, which only costs a second prefill.
const maxSentPrompts = 256

// statusScope selects the peers that a status is sent to.
type statusScope uint8

const (
	// nearPeers are the peers in the same place or, in a full mesh, all peers.
	nearPeers statusScope = iota + 1
	// farPeers are the delegates of other places. They get rows in separate messages.
	farPeers
)

// scopeOf returns the scope of a linked peer of a daemon in a place.
func (v *View) scopeOf(place string, p message.Hello) statusScope {
	if v.byPlace() && p.Place != place {
		return farPeers
	}
	return nearPeers
}

// status returns the status of this daemon for a scope.
func (g *Gateway) status(now time.Time, scope statusScope) message.Status {
	s := message.Status{Clock: time.Now().UnixMilli(), Draining: g.draining.Load(), Duty: g.holdsDuty.Load(), DutyGivenUp: g.dutyGivenUp.Load()}
	v := g.view.Load()
	s.ServersListed = v != nil && v.Members != nil
	if m := g.serversAsOf.Load(); m != nil {
		s.ServersEra, s.ServersRevision = m.era, m.revision
	}
	if c := v.Configuration(); c != nil {
		s.Revision = c.Version
	}
	s.BegunKnown = g.begun.isComplete(now)
	s.Refused = g.dispatcher.RefusedHash(now)
	s.Rollouts = v.rolloutStates(now, now.Add(-rolloutNews))
	if scope == farPeers {
		return s
	}
	own := encodeRows(now, []daemonRow{g.ownRow(now)})
	loads := encodeLoads(g.dispatcher.OwnLoads())
	own.Rollouts = g.ownTrials(now)
	s.Own, s.Loads, s.Evidence = &own, &loads, g.takeEvidence(now)
	g.sentPromptsMu.Lock()
	s.Sent, g.sentPrompts = g.sentPrompts, nil
	g.sentPromptsMu.Unlock()
	return s
}

// handleMessage handles a message of a peer. One that makes the daemon panic is dropped.
func (g *Gateway) handleMessage(from message.Hello, e message.Envelope) {
	defer g.recoverPanic("message of a peer")
	now := time.Now()
	switch e.Kind {
	case message.KindStatus:
		s, err := message.Decode[message.Status](e)
		if err != nil {
			g.Log.Info("status not readable", "Peer", from.Daemon, "Error", err.Error())
			return
		}
		g.mergeStatus(now, from, s)
		g.post(func(c *control) { c.handleStatus(now, from, s) })
	case message.KindRows:
		m, err := message.Decode[message.Rows](e)
		if err != nil {
			g.Log.Info("rows not readable", "Peer", from.Daemon, "Error", err.Error())
			return
		}
		g.handleRows(now, from, m)
	case message.KindEvidence:
		m, err := message.Decode[message.Evidence](e)
		if err != nil {
			g.Log.Info("evidence not readable", "Peer", from.Daemon, "Error", err.Error())
			return
		}
		g.mergeEvidence(now, from.Place, m.Records)
	case message.KindLeaving:
		m, err := message.Decode[message.Leaving](e)
		if err != nil {
			g.Log.Info("leaving servers not readable", "Peer", from.Daemon, "Error", err.Error())
			return
		}
		g.post(func(c *control) { c.noteLeaving(now, from.Place, decodeLeaving(m)) })
	case message.KindRates:
		m, err := message.Decode[message.Rates](e)
		if err != nil {
			g.Log.Info("rates of servers not readable", "Peer", from.Daemon, "Error", err.Error())
			return
		}
		g.post(func(c *control) { c.noteRates(from, decodeRates(now, m)) })
	case message.KindBegun:
		m, err := message.Decode[message.Begun](e)
		if err != nil {
			g.Log.Info("begun streams not readable", "Peer", from.Daemon, "Error", err.Error())
			return
		}
		g.begun.mergeAll(now, m.Streams)
	case message.KindListing:
		m, err := message.Decode[message.Listing](e)
		if err != nil {
			g.Log.Info("listing not readable", "Peer", from.Daemon, "Error", err.Error())
			return
		}
		g.post(func(c *control) { c.applyPeerListing(now, from, m) })
	case message.KindConfiguration:
		m, err := message.Decode[message.Configuration](e)
		if err != nil {
			g.Log.Info("configuration not readable", "Peer", from.Daemon, "Error", err.Error())
			return
		}
		document, err := message.Decompress(m.Value)
		if err != nil {
			g.Log.Info("configuration not readable", "Peer", from.Daemon, "Error", err.Error())
			return
		}
		g.offerConfiguration(document, from.Daemon)
	}
}

// mergeStatus applies the prompts, loads, rows and clock of a peer's status.
func (g *Gateway) mergeStatus(now time.Time, from message.Hello, s message.Status) {
	for _, p := range s.Sent {
		if len(p.Prefixes) != len(p.Tokens) {
			continue
		}
		parts := make([]routing.Part, len(p.Prefixes))
		for i := range parts {
			parts[i] = routing.Part{Prefix: p.Prefixes[i], Tokens: p.Tokens[i]}
		}
		g.dispatcher.RecordPeerPrompt(p.Server, parts, p.Expected)
	}
	g.mergeEvidence(now, from.Place, s.Evidence)
	g.begun.merge(now, s.Begun, from.Place == g.Place, g.forwardsBegun())
	if s.Loads != nil {
		g.dispatcher.SetPeerLoads(now, from.Daemon, decodeLoads(s.Loads))
	}
	if s.Own != nil {
		g.evidence.merge(g.view.Load(), rollout.Source{Place: from.Place, Daemon: from.Daemon, Start: from.Start}, s.Own.Rollouts)
		for _, r := range decodeRows(now, *s.Own) {
			if r.daemon == from.Daemon && g.storeRow(r) {
				g.mergeRow(r)
			}
		}
	}
	g.countMu.Lock()
	g.clock.Observe(now, from.Daemon, time.Now(), time.UnixMilli(s.Clock))
	g.countMu.Unlock()
}

// encodeLoads converts loads to a message.
func encodeLoads(loads []routing.ServerLoad) message.ServerLoads {
	m := message.ServerLoads{Servers: []string{}, Running: []int{}, Pending: []int{}}
	for _, l := range loads {
		m.Servers = append(m.Servers, l.Server)
		m.Running = append(m.Running, l.Running)
		m.Pending = append(m.Pending, l.Pending)
	}
	return m
}

// decodeLoads converts a message to loads.
func decodeLoads(m *message.ServerLoads) []routing.ServerLoad {
	n := min(len(m.Servers), len(m.Running), len(m.Pending))
	loads := make([]routing.ServerLoad, n)
	for i := range loads {
		loads[i] = routing.ServerLoad{Server: m.Servers[i], Running: m.Running[i], Pending: m.Pending[i]}
	}
	return loads
}

// recordSentPrompt adds a prompt to the next status.
func (g *Gateway) recordSentPrompt(server string, call *Call) {
	if len(call.Parts) == 0 {
		return
	}
	p := message.SentPrompt{Server: server, Expected: call.expectedOutputTokens()}
	for _, part := range call.Parts {
		p.Prefixes = append(p.Prefixes, part.Prefix)
		p.Tokens = append(p.Tokens, part.Tokens)
	}
	g.sentPromptsMu.Lock()
	defer g.sentPromptsMu.Unlock()
	if len(g.sentPrompts) < maxSentPrompts {
		g.sentPrompts = append(g.sentPrompts, p)
	}
}

// countRequest adds a request that began to run to the usage counts.
func (g *Gateway) countRequest(now time.Time, organisation string) {
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
