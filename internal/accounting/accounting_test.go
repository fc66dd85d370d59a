package accounting

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Unix(1_700_000_000, 0)

// TestClock guards against windows that follow a wall clock which jumped, at this
// instance or a peer.
func TestClock(t *testing.T) {
	c := NewClock()
	for _, peer := range []string{"a", "b", "c"} {
		c.Observe(start, peer, start, start.Add(20*time.Millisecond))
	}
	if got := c.Now(start, start); got.Sub(start) != 20*time.Millisecond {
		t.Errorf("corrected by %v", got.Sub(start))
	}
	// The clock of this instance jumps ahead by an hour. The peers' clocks do not.
	jumped := start.Add(time.Hour)
	for _, peer := range []string{"a", "b", "c"} {
		c.Observe(start.Add(time.Second), peer, jumped, start.Add(time.Second))
	}
	if got := c.Now(start.Add(time.Second), jumped); !got.Equal(start.Add(time.Second)) {
		t.Errorf("after a jump: %v", got.Sub(start))
	}
	// Offsets of peers that no longer report are ignored.
	if got := c.Now(start.Add(time.Minute), jumped); !got.Equal(jumped) {
		t.Errorf("corrected by peers that no longer report: %v", got.Sub(jumped))
	}
}

// TestCounts guards against counts that are lost or doubled when messages are lost,
// repeated or late, or when a daemon restarts.
func TestCounts(t *testing.T) {
	const length = 5 * time.Second
	w := WindowOf(start, length)
	if end := w.End(length); end.Before(start) || end.Sub(start) > length {
		t.Errorf("window ends at %v", end)
	}
	own, holder := NewUsageCounter(), NewUsageCounter()
	for range 3 {
		own.Add(Count{Daemon: "a", Start: 1, Window: w, Organisation: "o", Requests: 1})
	}
	report := own.Counts("a", 1, w)
	for range 2 {
		for _, c := range report {
			holder.Merge(c)
		}
	}
	holder.Merge(Count{Daemon: "a", Start: 1, Window: w, Organisation: "o", Requests: 2}) // A late message.
	holder.Merge(Count{Daemon: "a", Start: 2, Window: w, Organisation: "o", Requests: 4}) // The daemon has restarted.
	holder.Add(Count{Daemon: "h", Start: 9, Window: w, Organisation: "p", Requests: 5})
	if diff := cmp.Diff(map[string]int64{"o": 7, "p": 5}, holder.Total(w)); diff != "" {
		t.Error(diff)
	}
	holder.DropOld(w + keptWindows + 1)
	if n := len(holder.Total(w)); n != 0 {
		t.Errorf("%d organisations in a window that was dropped", n)
	}
}
