package gateway

import (
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"apricotbridge/internal/accounting"
	"apricotbridge/internal/message"
	"apricotbridge/internal/quota"
	"apricotbridge/internal/rollout"
)

const (
	// rowsInterval is how often delegates forward the rows of their place. In between,
	// the places together may exceed a quota by what they admit.
	rowsInterval = 250 * time.Millisecond
	// fullRowsEvery is the number of intervals between rows that include usage counts and
	// demand, which only delegates need, and less often.
	fullRowsEvery = 4
	// manyRows is the number of rows of other places from which a delegate forwards them within
	// its place in every second interval only. The other delegate of the place does so too.
	manyRows = 100
	// maxRowAge is the age from which a row is no longer forwarded.
	maxRowAge = 3 * time.Second
	// placesSilentAfter is quota.Limiter.SilentAfter where links are kept by place. A row
	// of another place takes up to two rowsInterval and one statusInterval to arrive, and
	// one of them may be missed.
	placesSilentAfter = 1500 * time.Millisecond
	// usageWindows is the number of usage windows in a row. Each is reported within two
	// windows of its end.
	usageWindows = 2
)

// daemonRow holds the figures of one daemon that are summed over all daemons.
type daemonRow struct {
	daemon, place string
	start         int64
	at            time.Time
	// uses is what the daemon has admitted and refused under the quotas, by organisation.
	uses    map[string]quota.Use
	counts  []accounting.Count
	demands []message.ServiceDemand
}

// ownRow returns the row of this daemon.
func (g *Gateway) ownRow(now time.Time) daemonRow {
	r := daemonRow{daemon: g.Daemon, place: g.Place, start: g.start, at: now, demands: g.demand.ownDemands(now)}
	g.quotaMu.Lock()
	r.uses = g.quotas.Uses()
	g.quotaMu.Unlock()
	if g.Bounds.UsageWindow <= 0 {
		return r
	}
	g.countMu.Lock()
	defer g.countMu.Unlock()
	current := accounting.WindowOf(g.clock.Now(now, time.Now()), g.Bounds.UsageWindow)
	g.counts.DropOld(current)
	r.counts = g.counts.Counts(g.Daemon, g.start, current-usageWindows)
	return r
}

// encodeRows converts rows to a message.
func encodeRows(now time.Time, rows []daemonRow) message.Rows {
	names := map[string]bool{}
	for _, r := range rows {
		for name, u := range r.uses {
			if u != (quota.Use{}) {
				names[name] = true
			}
		}
		for _, c := range r.counts {
			names[c.Organisation] = true
		}
	}
	m := message.Rows{Organisations: slices.Sorted(maps.Keys(names)), Rows: make([]message.DaemonRow, 0, len(rows))}
	position := make(map[string]int, len(m.Organisations))
	for i, name := range m.Organisations {
		position[name] = i
	}
	for _, r := range rows {
		d := message.DaemonRow{Daemon: r.daemon, Place: r.place, Start: r.start, Age: now.Sub(r.at).Milliseconds(), Demands: r.demands}
		for name, u := range r.uses {
			if u.Admitted > 0 {
				d.Used = setElement(d.Used, position[name], int64(math.Ceil(u.Admitted)))
			}
			if u.Refused > 0 {
				d.Refused = setElement(d.Refused, position[name], int64(math.Ceil(u.Refused)))
			}
		}
		for _, c := range r.counts {
			w := slices.IndexFunc(d.Windows, func(w message.WindowCounts) bool { return w.Window == int64(c.Window) })
			if w < 0 {
				w = len(d.Windows)
				d.Windows = append(d.Windows, message.WindowCounts{Window: int64(c.Window)})
			}
			d.Windows[w].Requests = setElement(d.Windows[w].Requests, position[c.Organisation], c.Requests)
		}
		m.Rows = append(m.Rows, d)
	}
	return m
}

// setElement sets list[i], extending the list if needed.
func setElement(list []int64, i int, v int64) []int64 {
	if missing := i + 1 - len(list); missing > 0 {
		list = append(list, make([]int64, missing)...)
	}
	list[i] = v
	return list
}

// decodeRows converts a message to rows.
func decodeRows(now time.Time, m message.Rows) []daemonRow {
	rows := make([]daemonRow, 0, len(m.Rows))
	for _, d := range m.Rows {
		r := daemonRow{
			daemon: d.Daemon, place: d.Place, start: d.Start, at: timeOfAge(now, d.Age),
			uses: make(map[string]quota.Use, len(d.Used)), demands: d.Demands,
		}
		for i, amount := range d.Used[:min(len(d.Used), len(m.Organisations))] {
			r.uses[m.Organisations[i]] = quota.Use{Admitted: float64(amount)}
		}
		for i, amount := range d.Refused[:min(len(d.Refused), len(m.Organisations))] {
			u := r.uses[m.Organisations[i]]
			u.Refused = float64(amount)
			r.uses[m.Organisations[i]] = u
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

// timeOfAge returns the time of a value with an age in milliseconds. The age is limited to the
// range from 0 to maxRowAge: a value from the future would hide all later ones.
func timeOfAge(now time.Time, age int64) time.Time {
	return now.Add(-time.Duration(max(0, min(age, maxRowAge.Milliseconds()))) * time.Millisecond)
}

// storeRow stores a row and reports whether it is newer than the stored one.
func (g *Gateway) storeRow(r daemonRow) bool {
	g.rowsMu.Lock()
	defer g.rowsMu.Unlock()
	if old, ok := g.rows[r.daemon]; ok && !r.at.After(old.at) {
		return false
	}
	g.rows[r.daemon] = r
	return true
}

// recentRows returns the rows of this place or, if ownPlace is false, of all other
// places. It drops rows older than maxRowAge.
func (g *Gateway) recentRows(now time.Time, ownPlace bool) []daemonRow {
	g.rowsMu.Lock()
	defer g.rowsMu.Unlock()
	var list []daemonRow
	for id, r := range g.rows {
		switch {
		case now.Sub(r.at) > maxRowAge:
			delete(g.rows, id)
		case (r.place == g.Place) == ownPlace:
			list = append(list, r)
		}
	}
	return list
}

// relayRows forwards rows between places while this daemon is a delegate.
func (g *Gateway) relayRows(ctx context.Context) error {
	ticker := time.NewTicker(rowsInterval)
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
		g.storeRow(g.ownRow(now))
		rows := g.recentRows(now, true)
		if round%fullRowsEvery != 0 {
			rows = quotaUseOnly(rows)
		}
		ownPlaceRows := encodeRows(now, rows)
		ownPlaceRows.Evidence = g.takeEvidenceNews(now, true)
		ownPlaceRows.Rollouts = g.evidence.encode(g.view.Load(), func(k rollout.Key) []rollout.Trial {
			return g.evidence.sum.SumOfPlace(k, g.Place)
		})
		g.sendRows(ownPlaceRows, func(p message.Hello) bool { return p.Region != g.Region })
		ownPlaceRows.Loads = []message.PlaceLoads{{Place: g.Place, Loads: encodeLoads(g.dispatcher.LoadsInPlace(now))}}
		g.sendRows(ownPlaceRows, func(p message.Hello) bool { return p.Region == g.Region && p.Place != g.Place })
		others := g.recentRows(now, false)
		if len(others) > manyRows && round%2 == 1 {
			continue
		}
		otherPlaceRows := encodeRows(now, quotaUseOnly(others))
		otherPlaceRows.Loads = g.otherPlaceLoads(now)
		otherPlaceRows.Evidence = g.takeEvidenceNews(now, false)
		g.sendRows(otherPlaceRows, func(p message.Hello) bool { return p.Place == g.Place })
	}
}

// quotaUseOnly returns copies of rows without usage counts and demand.
func quotaUseOnly(rows []daemonRow) []daemonRow {
	list := slices.Clone(rows)
	for i := range list {
		list[i].counts, list[i].demands = nil, nil
	}
	return list
}

// placeLoads is the load of the daemons of one place on the servers.
type placeLoads struct {
	at    time.Time
	loads message.ServerLoads
}

// otherPlaceLoads returns the recent loads of other places, to forward within this place.
func (g *Gateway) otherPlaceLoads(now time.Time) []message.PlaceLoads {
	g.rowsMu.Lock()
	defer g.rowsMu.Unlock()
	var list []message.PlaceLoads
	for place, l := range g.placeLoads {
		if age := now.Sub(l.at); age < maxRowAge {
			list = append(list, message.PlaceLoads{Place: place, Age: age.Milliseconds(), Loads: l.loads})
		}
	}
	return list
}

// handlePlaceLoads applies the loads of other places.
func (g *Gateway) handlePlaceLoads(now time.Time, list []message.PlaceLoads) {
	for _, l := range list {
		at := timeOfAge(now, l.Age)
		g.rowsMu.Lock()
		isNewer := l.Place != g.Place && at.After(g.placeLoads[l.Place].at)
		if isNewer {
			g.placeLoads[l.Place] = placeLoads{at: at, loads: l.Loads}
		}
		g.rowsMu.Unlock()
		if isNewer {
			g.dispatcher.SetPlaceLoads(at, l.Place, decodeLoads(&l.Loads))
		}
	}
}

// sendRows sends rows to the peers for which include returns true.
func (g *Gateway) sendRows(m message.Rows, include func(message.Hello) bool) {
	if len(m.Rows) == 0 && len(m.Loads) == 0 && len(m.Evidence) == 0 {
		return
	}
	sendToLinked(g, message.KindRows, m, include)
}

// sendToLinked sends a message to the linked peers for which include returns true.
func sendToLinked[B message.Body](g *Gateway, kind message.Kind, body B, include func(message.Hello) bool) {
	data, err := message.Encode(kind, body)
	if err != nil {
		g.Log.Error(err, "message not sent", "Kind", kind)
		return
	}
	v := g.view.Load()
	for _, p := range g.hub.Peers() {
		if !v.hasLink(g.Place, p) || !include(p) {
			continue
		}
		if err := g.hub.Send(p.Daemon, kind, data); err != nil {
			g.Log.V(1).Info("message not sent", "Kind", kind, "Peer", p.Daemon, "Error", err.Error())
		}
	}
}

// handleRows applies the rows of other places.
func (g *Gateway) handleRows(now time.Time, from message.Hello, m message.Rows) {
	g.handlePlaceLoads(now, m.Loads)
	g.mergeEvidence(now, from.Place, m.Evidence)
	g.evidence.merge(g.view.Load(), rollout.Source{Place: from.Place}, m.Rollouts)
	for _, r := range decodeRows(now, m) {
		if r.place == g.Place {
			continue
		}
		// The place's other delegate may have sent a newer row without counts. Counts
		// only rise, so that merging those of an older row is safe.
		g.mergeCounts(r.counts)
		if g.storeRow(r) {
			g.mergeRow(r)
		}
	}
}

// mergeRow adds a row to the quotas, the demand and the usage counts.
func (g *Gateway) mergeRow(r daemonRow) {
	g.quotaMu.Lock()
	g.quotas.Merge(r.at, r.daemon, r.start, r.uses)
	g.quotaMu.Unlock()
	if len(r.demands) > 0 {
		g.demand.setPeerDemand(r.at, r.daemon, r.demands)
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
