package gateway

import (
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"apricotbridge/internal/accounting"
	"apricotbridge/internal/message"
)

const (
	// rowsEvery is how often delegates pass on what the daemons of a place told. Quotas
	// are overrun by what is admitted before it is heard.
	rowsEvery = 250 * time.Millisecond
	// wholeEvery is how many of these pass between rows with usage counts and demand,
	// which only delegates need, and not as soon.
	wholeEvery = 4
	// rowLife is how long a row is passed on after its daemon told it.
	rowLife = 3 * time.Second
	// placesSilence is how long a daemon of another place is silent before it counts
	// so: its row takes two steps of rowsEvery and one of its own status.
	placesSilence = 3 * time.Second
	// placesBurst is the part of a quota's burst that a daemon saves up. Six places that
	// hear of each other after up to 0.65 s admit about half a burst too much.
	placesBurst = 0.5
	// usageWindows is how many windows of usage a row carries. Each is reported
	// within two windows of its end.
	usageWindows = 2
)

// row is what a daemon told of itself for sums over all daemons, as of a time.
type row struct {
	daemon, place string
	start         int64
	at            time.Time
	// used is what the daemon has admitted of the quotas, by organisation.
	used    map[string]float64
	counts  []accounting.Count
	demands []message.ServiceDemand
}

// ownRow returns the row of this daemon.
func (g *Gateway) ownRow(now time.Time) row {
	r := row{daemon: g.Daemon, place: g.Place, start: g.start, at: now, demands: g.demand.own(now)}
	g.quotaMu.Lock()
	r.used = g.quotas.Used()
	g.quotaMu.Unlock()
	if g.Bounds.UsageWindow <= 0 {
		return r
	}
	g.countMu.Lock()
	defer g.countMu.Unlock()
	current := accounting.WindowOf(g.clock.Now(now, time.Now()), g.Bounds.UsageWindow)
	g.counts.Forget(current)
	r.counts = g.counts.Counts(g.Daemon, g.start, current-usageWindows)
	return r
}

// encodeRows returns rows as a message.
func encodeRows(now time.Time, rows []row) message.Rows {
	names := map[string]bool{}
	for _, r := range rows {
		for name, amount := range r.used {
			if amount > 0 {
				names[name] = true
			}
		}
		for _, c := range r.counts {
			names[c.Organisation] = true
		}
	}
	m := message.Rows{Organisations: slices.Sorted(maps.Keys(names)), Rows: make([]message.DaemonRow, 0, len(rows))}
	place := make(map[string]int, len(m.Organisations))
	for i, name := range m.Organisations {
		place[name] = i
	}
	for _, r := range rows {
		d := message.DaemonRow{Daemon: r.daemon, Place: r.place, Start: r.start, Age: now.Sub(r.at).Milliseconds(), Demands: r.demands}
		for name, amount := range r.used {
			if amount > 0 {
				d.Used = put(d.Used, place[name], int64(math.Ceil(amount)))
			}
		}
		for _, c := range r.counts {
			w := slices.IndexFunc(d.Windows, func(w message.WindowCounts) bool { return w.Window == int64(c.Window) })
			if w < 0 {
				w = len(d.Windows)
				d.Windows = append(d.Windows, message.WindowCounts{Window: int64(c.Window)})
			}
			d.Windows[w].Requests = put(d.Windows[w].Requests, place[c.Organisation], c.Requests)
		}
		m.Rows = append(m.Rows, d)
	}
	return m
}

// put sets an element of a list that grows as needed.
func put(list []int64, i int, v int64) []int64 {
	if more := i + 1 - len(list); more > 0 {
		list = append(list, make([]int64, more)...)
	}
	list[i] = v
	return list
}

// decodeRows returns the rows of a message.
func decodeRows(now time.Time, m message.Rows) []row {
	rows := make([]row, 0, len(m.Rows))
	for _, d := range m.Rows {
		r := row{
			daemon: d.Daemon, place: d.Place, start: d.Start, at: now.Add(-time.Duration(d.Age) * time.Millisecond),
			used: make(map[string]float64, len(d.Used)), demands: d.Demands,
		}
		for i, amount := range d.Used[:min(len(d.Used), len(m.Organisations))] {
			r.used[m.Organisations[i]] = float64(amount)
		}
		for _, w := range d.Windows {
			for i, n := range w.Requests[:min(len(w.Requests), len(m.Organisations))] {
				if n > 0 {
					r.counts = append(r.counts, accounting.Count{
						Daemon: d.Daemon, Start: d.Start, Window: accounting.Window(w.Window), Organisation: m.Organisations[i], Requests: n,
					})
				}
			}
		}
		rows = append(rows, r)
	}
	return rows
}

// noteRow keeps what a daemon told, and reports whether it is news.
func (g *Gateway) noteRow(r row) bool {
	g.rowsMu.Lock()
	defer g.rowsMu.Unlock()
	if old, ok := g.rows[r.daemon]; ok && !r.at.After(old.at) {
		return false
	}
	g.rows[r.daemon] = r
	return true
}

// rowsOf returns the rows of the daemons in this place, or of those in all others.
func (g *Gateway) rowsOf(now time.Time, here bool) []row {
	g.rowsMu.Lock()
	defer g.rowsMu.Unlock()
	var list []row
	for id, r := range g.rows {
		switch {
		case now.Sub(r.at) > rowLife:
			delete(g.rows, id)
		case (r.place == g.Place) == here:
			list = append(list, r)
		}
	}
	return list
}

// passRows passes on rows between places while this daemon is a delegate.
func (g *Gateway) passRows(ctx context.Context) error {
	ticker := time.NewTicker(rowsEvery)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if v := g.view.Load(); !v.byPlace() || !v.Delegate {
			continue
		}
		now := time.Now()
		g.noteRow(g.ownRow(now))
		rows := g.rowsOf(now, true)
		if round%wholeEvery != 0 {
			rows = brief(rows)
		}
		here := encodeRows(now, rows)
		g.sendRows(here, func(p message.Hello) bool { return p.Region != g.Region })
		here.Loads = []message.PlaceLoads{{Place: g.Place, Loads: encodeLoads(g.dispatcher.LoadsHere(now))}}
		g.sendRows(here, func(p message.Hello) bool { return p.Region == g.Region && p.Place != g.Place })
		elsewhere := encodeRows(now, brief(g.rowsOf(now, false)))
		elsewhere.Loads = g.loadsElsewhere(now)
		g.sendRows(elsewhere, func(p message.Hello) bool { return p.Place == g.Place })
	}
}

// brief returns rows with the use of quotas only.
func brief(rows []row) []row {
	list := slices.Clone(rows)
	for i := range list {
		list[i].counts, list[i].demands = nil, nil
	}
	return list
}

// placeLoads is the load that another place put on servers, as of a time.
type placeLoads struct {
	at    time.Time
	loads message.ServerLoads
}

// loadsElsewhere returns the loads of other places to pass on.
func (g *Gateway) loadsElsewhere(now time.Time) []message.PlaceLoads {
	g.rowsMu.Lock()
	defer g.rowsMu.Unlock()
	var list []message.PlaceLoads
	for place, l := range g.placeLoads {
		if age := now.Sub(l.at); age < rowLife {
			list = append(list, message.PlaceLoads{Place: place, Age: age.Milliseconds(), Loads: l.loads})
		}
	}
	return list
}

// hearLoads takes the load of other places on the servers.
func (g *Gateway) hearLoads(now time.Time, list []message.PlaceLoads) {
	for _, l := range list {
		at := now.Add(-time.Duration(l.Age) * time.Millisecond)
		g.rowsMu.Lock()
		news := l.Place != g.Place && at.After(g.placeLoads[l.Place].at)
		if news {
			g.placeLoads[l.Place] = placeLoads{at: at, loads: l.Loads}
		}
		g.rowsMu.Unlock()
		if news {
			g.dispatcher.PlaceLoads(at, l.Place, decodeLoads(&l.Loads))
		}
	}
}

// sendRows sends rows to the peers that to selects.
func (g *Gateway) sendRows(m message.Rows, to func(message.Hello) bool) {
	if len(m.Rows) == 0 && len(m.Loads) == 0 {
		return
	}
	data, err := message.Encode(message.KindRows, m)
	if err != nil {
		g.Log.Error(err, "rows not sent")
		return
	}
	v := g.view.Load()
	for _, p := range g.hub.Peers() {
		if !v.links(g.Place, p) || !to(p) {
			continue
		}
		if err := g.hub.Send(p.Daemon, message.KindRows, data); err != nil {
			g.Log.V(1).Info("rows not sent", "Peer", p.Daemon, "Error", err.Error())
		}
	}
}

// hearRows takes the rows of other places.
func (g *Gateway) hearRows(now time.Time, m message.Rows) {
	g.hearLoads(now, m.Loads)
	for _, r := range decodeRows(now, m) {
		if r.place == g.Place {
			continue
		}
		// The other delegate may have passed on a newer row without counts. Counts only
		// rise, so that those of an older row may be taken after it.
		g.mergeCounts(r.counts)
		if g.noteRow(r) {
			g.mergeRow(r)
		}
	}
}

// mergeRow adds a row to the sums.
func (g *Gateway) mergeRow(r row) {
	g.quotaMu.Lock()
	g.quotas.Merge(r.at, r.daemon, r.start, r.used)
	g.quotaMu.Unlock()
	if len(r.demands) > 0 {
		g.demand.heard(r.at, r.daemon, r.demands)
	}
	g.mergeCounts(r.counts)
}

func (g *Gateway) mergeCounts(counts []accounting.Count) {
	g.countMu.Lock()
	defer g.countMu.Unlock()
	for _, c := range counts {
		g.counts.Merge(c)
	}
}
