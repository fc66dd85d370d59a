package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"apricotbridge/internal/accounting"
	"apricotbridge/internal/message"
)

// TestRows guards against rows that are passed on for ever, that go back to older
// values, or that come back to the place they are from.
func TestRows(t *testing.T) {
	g := &Gateway{Place: "a", rows: map[string]row{}}
	now := time.Unix(1_700_000_000, 0)
	rowOf := func(id, place string, at time.Time) row { return row{daemon: id, place: place, at: at} }
	if !g.noteRow(rowOf("a-1", "a", now)) || !g.noteRow(rowOf("b-1", "b", now)) {
		t.Error("news was not taken")
	}
	if g.noteRow(rowOf("b-1", "b", now.Add(-time.Second))) || g.noteRow(rowOf("b-1", "b", now)) {
		t.Error("an older row was taken")
	}
	later := now.Add(time.Second)
	here, elsewhere := encodeRows(later, g.rowsOf(later, true)), encodeRows(later, g.rowsOf(later, false))
	if len(here.Rows) != 1 || here.Rows[0].Daemon != "a-1" || len(elsewhere.Rows) != 1 || elsewhere.Rows[0].Age != 1000 {
		t.Errorf("rows %+v and %+v", here, elsewhere)
	}
	if n := len(g.rowsOf(now.Add(rowLife+time.Millisecond), false)); n != 0 {
		t.Errorf("%d rows are passed on after their time", n)
	}
}

// placeRows returns the rows of the daemons of a place that serve many organisations.
func placeRows(now time.Time) []row {
	var rows []row
	for d := range 13 {
		r := row{
			daemon: fmt.Sprintf("edge-kuressaare-%d", d), place: "kuressaare", start: now.UnixNano(), at: now,
			used: map[string]float64{}, demands: []message.ServiceDemand{{Service: "model", Prompt: 1, Output: 2}},
		}
		for o := range 16 {
			name := fmt.Sprintf("organisation-%d", o)
			r.used[name] = float64(1_000_000 + o)
			for w := range accounting.Window(3) {
				r.counts = append(r.counts, accounting.Count{
					Daemon: r.daemon, Start: r.start, Window: 353445120 + w, Organisation: name, Requests: int64(10*d + o + 1),
				})
			}
		}
		rows = append(rows, r)
	}
	return rows
}

// TestRowsCodec guards against sums that change on the way between places.
func TestRowsCodec(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	rows := placeRows(now)
	rows[3].used, rows[3].counts, rows[3].at = map[string]float64{"only-here": 0.5}, nil, now.Add(-time.Second)
	data, err := message.Encode(message.KindRows, encodeRows(now, rows))
	if err != nil {
		t.Fatal(err)
	}
	e, err := message.Open(data)
	if err != nil {
		t.Fatal(err)
	}
	m, err := message.Decode[message.Rows](e)
	if err != nil {
		t.Fatal(err)
	}
	rows[3].used["only-here"] = 1 // Rounded up.
	diff := cmp.Diff(rows, decodeRows(now, m), cmp.AllowUnexported(row{}), cmpopts.EquateEmpty(),
		cmpopts.SortSlices(func(a, b accounting.Count) bool {
			return a.Window < b.Window || a.Window == b.Window && a.Organisation < b.Organisation
		}),
		cmpopts.IgnoreMapEntries(func(_ string, v float64) bool { return v == 0 }))
	if diff != "" {
		t.Error(diff)
	}
	// A malformed message must not panic.
	m.Organisations = m.Organisations[:2]
	decodeRows(now, m)
}

// maxRowBytes keeps the rows of 61 daemons in other places, twice a second from each of
// two delegates, under a tenth of a link of 10 Mbit/s.
const maxRowBytes = 10e6 / 8 / 10 / (2 * delegateCount * 61)

// TestRowBytes guards against rows that fill the links of small instances: with the
// names in each count a row of 16 organisations had 5,214 bytes.
func TestRowBytes(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	rows := placeRows(now)
	data, err := message.Encode(message.KindRows, encodeRows(now, rows))
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d bytes for a row", len(data)/len(rows))
	if per := float64(len(data)) / float64(len(rows)); per > maxRowBytes {
		t.Errorf("%.0f bytes for a row, bound %.0f", per, maxRowBytes)
	}
}
