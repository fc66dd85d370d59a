// Package accounting counts the requests that began to run at all daemons, by
// organisation and window of wall-clock time. It has no sockets, goroutines or clock.
// Daemons exchange cumulative counts, so that a message may be lost or repeated. Peers
// keep the counts of a daemon that has ended.
package accounting

import (
	"maps"
	"slices"
	"time"
)

// keptWindows is how many windows are kept after their end. Their reports are due two
// windows after it.
const keptWindows = 6

// Clock corrects the wall clock of this instance by those of its peers, because the wall
// clocks of some instances jump by seconds.
type Clock struct {
	offsets    map[string]time.Duration
	observedAt map[string]time.Time
}

// maxOffsetAge is how long an observed offset of a peer's clock is used.
const maxOffsetAge = 5 * time.Second

// NewClock returns a clock without observations.
func NewClock() *Clock {
	return &Clock{offsets: map[string]time.Duration{}, observedAt: map[string]time.Time{}}
}

// Observe records the wall-clock time that a peer sent. now is monotonic; wall is the
// uncorrected wall-clock time of this instance at now.
func (c *Clock) Observe(now time.Time, daemon string, wall, peerWall time.Time) {
	c.offsets[daemon] = peerWall.Sub(wall)
	c.observedAt[daemon] = now
}

// Now returns the corrected time: wall plus the median offset of this instance and its
// peers.
func (c *Clock) Now(now, wall time.Time) time.Time {
	offsets := []time.Duration{0}
	for daemon, at := range c.observedAt {
		if now.Sub(at) < maxOffsetAge {
			offsets = append(offsets, c.offsets[daemon])
		}
	}
	slices.Sort(offsets)
	return wall.Add(offsets[(len(offsets)-1)/2])
}

// Window is the number of a window, counted from the Unix epoch.
type Window int64

// WindowOf returns the window that contains a time.
func WindowOf(at time.Time, length time.Duration) Window {
	return Window(at.UnixNano() / int64(length))
}

// End returns the end of a window.
func (w Window) End(length time.Duration) time.Time { return time.Unix(0, (int64(w)+1)*int64(length)) }

type daemonProcess struct {
	daemon string
	start  int64
}

// Count is the number of requests that one daemon process counted for an organisation in
// one window.
type Count struct {
	Daemon string
	// Start is the start time of the daemon's process. It distinguishes restarts.
	Start        int64
	Window       Window
	Organisation string
	Requests     int64
}

// UsageCounter holds the counts. It is not safe for concurrent use.
type UsageCounter struct {
	counts map[Window]map[daemonProcess]map[string]int64
}

// NewUsageCounter returns an empty counter.
func NewUsageCounter() *UsageCounter {
	return &UsageCounter{counts: map[Window]map[daemonProcess]map[string]int64{}}
}

func (u *UsageCounter) organisationCounts(c Count) map[string]int64 {
	processes := u.counts[c.Window]
	if processes == nil {
		processes = map[daemonProcess]map[string]int64{}
		u.counts[c.Window] = processes
	}
	k := daemonProcess{c.Daemon, c.Start}
	if processes[k] == nil {
		processes[k] = map[string]int64{}
	}
	return processes[k]
}

// Add adds requests that this daemon counted.
func (u *UsageCounter) Add(c Count) { u.organisationCounts(c)[c.Organisation] += c.Requests }

// Merge sets a count to the value that its daemon reported. Counts only rise.
func (u *UsageCounter) Merge(c Count) {
	counts := u.organisationCounts(c)
	counts[c.Organisation] = max(counts[c.Organisation], c.Requests)
}

// Counts returns the counts of one daemon process in the given window and later ones.
func (u *UsageCounter) Counts(daemon string, start int64, from Window) []Count {
	var list []Count
	for _, w := range slices.Sorted(maps.Keys(u.counts)) {
		if w < from {
			continue
		}
		counts := u.counts[w][daemonProcess{daemon, start}]
		for _, name := range slices.Sorted(maps.Keys(counts)) {
			list = append(list, Count{daemon, start, w, name, counts[name]})
		}
	}
	return list
}

// Total returns the requests of all daemons in a window, by organisation.
func (u *UsageCounter) Total(w Window) map[string]int64 {
	total := map[string]int64{}
	for _, counts := range u.counts[w] {
		for name, n := range counts {
			total[name] += n
		}
	}
	return total
}

// DropOld drops windows that are more than keptWindows away from the current one.
func (u *UsageCounter) DropOld(current Window) {
	for w := range u.counts {
		if w < current-keptWindows || w > current+keptWindows {
			delete(u.counts, w)
		}
	}
}
