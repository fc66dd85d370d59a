// Package accounting counts the requests that began to run, by organisation and by
// window of wall-clock time, over all daemons. It has no sockets, goroutines or
// clock. Counts are exchanged as they stand, so that a message may be lost or
// repeated; what a daemon that is gone has counted stays known to its peers.
package accounting

import (
	"maps"
	"slices"
	"time"
)

// keepWindows is how many windows are kept after their end. Reports are due two
// windows after it.
const keepWindows = 6

// Clock corrects the time of day of this instance by those of its peers, because
// the time of day of some instances jumps by seconds.
type Clock struct {
	offsets map[string]time.Duration
	heard   map[string]time.Time
}

// clockMemory is how long the time of a peer counts.
const clockMemory = 5 * time.Second

// NewClock returns a clock that knows no peers.
func NewClock() *Clock {
	return &Clock{offsets: map[string]time.Duration{}, heard: map[string]time.Time{}}
}

// Heard notes the time of day that a peer sent. now is a steady time; wall is the
// time of day of this instance at the same moment.
func (c *Clock) Heard(now time.Time, daemon string, wall, theirs time.Time) {
	c.offsets[daemon] = theirs.Sub(wall)
	c.heard[daemon] = now
}

// Now returns the corrected time of day: the median over this instance and its
// peers.
func (c *Clock) Now(now, wall time.Time) time.Time {
	offsets := []time.Duration{0}
	for daemon, at := range c.heard {
		if now.Sub(at) < clockMemory {
			offsets = append(offsets, c.offsets[daemon])
		}
	}
	slices.Sort(offsets)
	return wall.Add(offsets[(len(offsets)-1)/2])
}

// Window is the number of a window since the Unix epoch.
type Window int64

// WindowOf returns the window of a time of day.
func WindowOf(at time.Time, length time.Duration) Window {
	return Window(at.UnixNano() / int64(length))
}

// End returns the end of a window.
func (w Window) End(length time.Duration) time.Time { return time.Unix(0, (int64(w)+1)*int64(length)) }

type source struct {
	daemon string
	start  int64
}

// Count is what one start of a daemon counted in one window.
type Count struct {
	Daemon string
	// Start tells the starts of a daemon apart.
	Start        int64
	Window       Window
	Organisation string
	Requests     int64
}

// Book holds the counts. It has no lock.
type Book struct {
	counts map[Window]map[source]map[string]int64
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{counts: map[Window]map[source]map[string]int64{}} }

func (b *Book) row(c Count) map[string]int64 {
	sources := b.counts[c.Window]
	if sources == nil {
		sources = map[source]map[string]int64{}
		b.counts[c.Window] = sources
	}
	k := source{c.Daemon, c.Start}
	if sources[k] == nil {
		sources[k] = map[string]int64{}
	}
	return sources[k]
}

// Add counts requests of the daemon that owns the book.
func (b *Book) Add(c Count) { b.row(c)[c.Organisation] += c.Requests }

// Merge takes a count as it stands at its daemon. Counts only rise.
func (b *Book) Merge(c Count) {
	row := b.row(c)
	row[c.Organisation] = max(row[c.Organisation], c.Requests)
}

// Counts returns the counts of one start of a daemon from a window on.
func (b *Book) Counts(daemon string, start int64, from Window) []Count {
	var list []Count
	for _, w := range slices.Sorted(maps.Keys(b.counts)) {
		if w < from {
			continue
		}
		row := b.counts[w][source{daemon, start}]
		for _, name := range slices.Sorted(maps.Keys(row)) {
			list = append(list, Count{daemon, start, w, name, row[name]})
		}
	}
	return list
}

// Total returns the requests of a window by organisation.
func (b *Book) Total(w Window) map[string]int64 {
	total := map[string]int64{}
	for _, row := range b.counts[w] {
		for name, n := range row {
			total[name] += n
		}
	}
	return total
}

// Forget drops the windows that ended long before the given one.
func (b *Book) Forget(current Window) {
	for w := range b.counts {
		if w < current-keepWindows || w > current+keepWindows {
			delete(b.counts, w)
		}
	}
}
