package gateway

import (
	"fmt"
	"testing"
	"time"

	"apricotbridge/internal/message"
)

// fleetOf returns daemons in places a, b, c and so on, with as many each.
func fleetOf(places, each int) []Daemon {
	var list []Daemon
	for p := range places {
		for i := range each {
			place := string(rune('a' + p))
			list = append(list, Daemon{ID: fmt.Sprintf("%s-%02d", place, i), Place: place, PeerAddress: fmt.Sprintf("%s:%d", place, i)})
		}
	}
	return list
}

// TestTopology guards against links that grow with the square of the daemons, and
// against places that are joined by a single daemon or by none.
func TestTopology(t *testing.T) {
	small := fleetOf(3, 3)
	for _, d := range small {
		if got := planTopology(d, small); got.ByPlace || !got.Delegate || len(got.Targets) != len(small)-1 {
			t.Errorf("%s of 9 daemons: %+v", d.ID, got)
		}
	}
	large := fleetOf(6, 14)
	delegates := map[string]int{}
	for _, d := range large {
		got := planTopology(d, large)
		inPlace, elsewhere := 0, 0
		for _, target := range got.Targets {
			if target.ID[:1] == d.Place {
				inPlace++
			} else {
				elsewhere++
			}
		}
		if !got.ByPlace || inPlace != 13 {
			t.Errorf("%s has %d links in its place", d.ID, inPlace)
		}
		if got.Delegate {
			delegates[d.Place]++
		}
		if !got.Delegate && elsewhere != 0 {
			t.Errorf("%s is no delegate and has %d links to other places", d.ID, elsewhere)
		}
		if want := 5 * delegateCount; got.Delegate && elsewhere != want {
			t.Errorf("delegate %s has %d links to other places, want %d", d.ID, elsewhere, want)
		}
	}
	for place, n := range delegates {
		if n != delegateCount {
			t.Errorf("place %s has %d delegates", place, n)
		}
	}
}

// TestRows guards against rows that are passed on for ever, that go back to older
// values, or that come back to the place they are from.
func TestRows(t *testing.T) {
	g := &Gateway{Place: "a", rows: map[string]row{}}
	now := time.Unix(1_700_000_000, 0)
	rowOf := func(id, place string, at time.Time) row {
		return row{DaemonRow: message.DaemonRow{Daemon: id, Place: place}, at: at}
	}
	if !g.noteRow(rowOf("a-1", "a", now)) || !g.noteRow(rowOf("b-1", "b", now)) {
		t.Error("news was not taken")
	}
	if g.noteRow(rowOf("b-1", "b", now.Add(-time.Second))) || g.noteRow(rowOf("b-1", "b", now)) {
		t.Error("an older row was taken")
	}
	here, elsewhere := g.rowsOf(now.Add(time.Second), true), g.rowsOf(now.Add(time.Second), false)
	if len(here.Rows) != 1 || here.Rows[0].Daemon != "a-1" || len(elsewhere.Rows) != 1 || elsewhere.Rows[0].Age != 1000 {
		t.Errorf("rows %+v and %+v", here, elsewhere)
	}
	if n := len(g.rowsOf(now.Add(rowLife+time.Millisecond), false).Rows); n != 0 {
		t.Errorf("%d rows are passed on after their time", n)
	}
}
