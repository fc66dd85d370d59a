package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"apricotbridge/internal/accounting"
	"apricotbridge/internal/message"
	"apricotbridge/internal/peer"
)

const (
	// meshMax is the number of daemons up to which each keeps a link to every other.
	// Beyond it the messages of a full mesh take more processor time than requests:
	// 74 daemons used 348 s of processor time in a day of 76 s (grown site, quiet-1).
	meshMax = 16
	// delegateCount is how many daemons of a place keep links to other places, so
	// that one of them may be lost.
	delegateCount = 2
	// rowsEvery is how often delegates pass on what the daemons of a place told.
	rowsEvery = 500 * time.Millisecond
	// rowLife is how long a row is passed on after its daemon told it.
	rowLife = 3 * time.Second
	// placesSilence is how long a daemon of another place is silent before it counts
	// so: its row takes two steps of rowsEvery and one of its own status.
	placesSilence = 3 * time.Second
)

// topology says to which daemons links are kept.
type topology struct {
	// ByPlace says that the daemons of a place keep links to each other, and only
	// the delegates of places to those of other places.
	ByPlace bool
	// Delegate says that this daemon is one.
	Delegate bool
	Targets  []peer.Target
}

// planTopology returns the links of a daemon among those that are registered.
func planTopology(self Daemon, registered []Daemon) topology {
	registered = slices.Clone(registered)
	slices.SortFunc(registered, func(a, b Daemon) int { return cmp.Compare(a.ID, b.ID) })
	t := topology{ByPlace: len(registered) > meshMax}
	seen := map[string]int{}
	delegate := map[string]bool{}
	for _, d := range registered {
		if seen[d.Place]++; seen[d.Place] <= delegateCount {
			delegate[d.ID] = true
		}
	}
	t.Delegate = !t.ByPlace || delegate[self.ID]
	for _, d := range registered {
		near := !t.ByPlace || d.Place == self.Place || t.Delegate && delegate[d.ID]
		if near && d.ID != self.ID {
			t.Targets = append(t.Targets, peer.Target{ID: d.ID, Address: d.PeerAddress})
		}
	}
	return t
}

// row is what a daemon told of itself, as of a time.
type row struct {
	message.DaemonRow
	at time.Time
}

// noteRow keeps what a daemon told, and reports whether it is news.
func (g *Gateway) noteRow(r row) bool {
	g.rowsMu.Lock()
	defer g.rowsMu.Unlock()
	if old, ok := g.rows[r.Daemon]; ok && !r.at.After(old.at) {
		return false
	}
	g.rows[r.Daemon] = r
	return true
}

// rowsOf returns the rows of the daemons in this place, or of those in all others.
func (g *Gateway) rowsOf(now time.Time, here bool) message.Rows {
	g.rowsMu.Lock()
	defer g.rowsMu.Unlock()
	var m message.Rows
	for id, r := range g.rows {
		switch {
		case now.Sub(r.at) > rowLife:
			delete(g.rows, id)
		case (r.Place == g.Place) == here:
			r.Age = now.Sub(r.at).Milliseconds()
			m.Rows = append(m.Rows, r.DaemonRow)
		}
	}
	return m
}

// passRows passes on rows between places while this daemon is a delegate.
func (g *Gateway) passRows(ctx context.Context) error {
	ticker := time.NewTicker(rowsEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if v := g.view.Load(); v == nil || !v.ByPlace || !v.Delegate {
			continue
		}
		now := time.Now()
		s := g.status(now, false)
		g.noteRow(row{DaemonRow: rowFrom(g.hub.Self, s), at: now})
		here, elsewhere := g.rowsOf(now, true), g.rowsOf(now, false)
		for _, p := range g.hub.Peers() {
			m := here
			if p.Place == g.Place {
				m = elsewhere
			}
			if len(m.Rows) == 0 {
				continue
			}
			if err := peer.Send(g.hub, p.Daemon, message.KindRows, m); err != nil {
				g.Log.V(1).Info("rows not sent", "Peer", p.Daemon, "Error", err.Error())
			}
		}
	}
}

// rowFrom returns the part of a status that matters in other places.
func rowFrom(from message.Hello, s message.Status) message.DaemonRow {
	return message.DaemonRow{
		Daemon: from.Daemon, Place: from.Place, Start: from.Start, Used: s.Used, Windows: s.Windows, Demands: s.Demands,
	}
}

// hearRows takes the rows of other places.
func (g *Gateway) hearRows(now time.Time, m message.Rows) {
	for _, r := range m.Rows {
		at := now.Add(-time.Duration(r.Age) * time.Millisecond)
		if r.Place == g.Place || !g.noteRow(row{DaemonRow: r, at: at}) {
			continue
		}
		g.mergeRow(at, r)
	}
}

// mergeRow takes the sums of one daemon.
func (g *Gateway) mergeRow(at time.Time, r message.DaemonRow) {
	used := make(map[string]float64, len(r.Used))
	for _, u := range r.Used {
		used[u.Organisation] = u.Amount
	}
	g.quotaMu.Lock()
	g.quotas.Merge(at, r.Daemon, r.Start, used)
	g.quotaMu.Unlock()
	g.demand.heard(at, r.Daemon, r.Demands)
	g.countMu.Lock()
	defer g.countMu.Unlock()
	for _, w := range r.Windows {
		g.counts.Merge(accounting.Count{
			Daemon: w.Daemon, Start: w.Start, Window: accounting.Window(w.Window), Organisation: w.Organisation, Requests: w.Requests,
		})
	}
}
