package accounting

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Unix(1_700_000_000, 0)

// TestClock guards against windows that follow a time of day which jumped, here or at
// a peer.
func TestClock(t *testing.T) {
	c := NewClock()
	for _, peer := range []string{"a", "b", "c"} {
		c.Heard(start, peer, start, start.Add(20*time.Millisecond))
	}
	if got := c.Now(start, start); got.Sub(start) != 20*time.Millisecond {
		t.Errorf("corrected by %v", got.Sub(start))
	}
	// This instance jumps ahead by an hour; peers report as before.
	jumped := start.Add(time.Hour)
	for _, peer := range []string{"a", "b", "c"} {
		c.Heard(start.Add(time.Second), peer, jumped, start.Add(time.Second))
	}
	if got := c.Now(start.Add(time.Second), jumped); !got.Equal(start.Add(time.Second)) {
		t.Errorf("after a jump: %v", got.Sub(start))
	}
	// Peers that are silent do not count.
	if got := c.Now(start.Add(time.Minute), jumped); !got.Equal(jumped) {
		t.Errorf("corrected by peers that are silent: %v", got.Sub(jumped))
	}
}

// TestCounts guards against counts that are lost or doubled when reports are lost,
// repeated or late, or when a daemon has restarted.
func TestCounts(t *testing.T) {
	const length = 5 * time.Second
	w := WindowOf(start, length)
	if end := w.End(length); end.Before(start) || end.Sub(start) > length {
		t.Errorf("window ends at %v", end)
	}
	own, holder := NewBook(), NewBook()
	for range 3 {
		own.Add(Count{Daemon: "a", Start: 1, Window: w, Organisation: "o", Requests: 1})
	}
	report := own.Counts("a", 1, w)
	for range 2 {
		for _, c := range report {
			holder.Merge(c)
		}
	}
	holder.Merge(Count{Daemon: "a", Start: 1, Window: w, Organisation: "o", Requests: 2}) // Late.
	holder.Merge(Count{Daemon: "a", Start: 2, Window: w, Organisation: "o", Requests: 4}) // After a restart.
	holder.Add(Count{Daemon: "h", Start: 9, Window: w, Organisation: "p", Requests: 5})
	if diff := cmp.Diff(map[string]int64{"o": 7, "p": 5}, holder.Total(w)); diff != "" {
		t.Error(diff)
	}
	holder.Forget(w + keepWindows + 1)
	if n := len(holder.Total(w)); n != 0 {
		t.Errorf("%d organisations in a window that was forgotten", n)
	}
}
