package origin

import "time"

// Log lists streams in the order in which they were added, to be sent to peers: to those that are linked once, and
// to one whose link opens later all that it may have missed. It is not safe for concurrent use.
type Log struct {
	// Memory is how long a stream is kept.
	Memory time.Duration
	// MostStreams bounds the streams that are kept. The oldest are dropped first.
	MostStreams int

	entries []noted
	// taken is the number of entries that Take has returned.
	taken int
}

// Add adds a stream.
func (l *Log) Add(now time.Time, stream Stream) {
	l.entries = append(l.entries, noted{stream, now})
	l.drop(now)
}

// Take returns the streams that were added since the last call.
func (l *Log) Take(now time.Time) []Stream {
	l.drop(now)
	list := streamsOf(l.entries[l.taken:])
	l.taken = len(l.entries)
	return list
}

// All returns all streams that are kept.
func (l *Log) All(now time.Time) []Stream {
	l.drop(now)
	return streamsOf(l.entries)
}

func streamsOf(entries []noted) []Stream {
	var list []Stream
	for _, e := range entries {
		list = append(list, e.stream)
	}
	return list
}

// drop removes the entries that are too old or too many.
func (l *Log) drop(now time.Time) {
	n := 0
	for n < len(l.entries) && (now.Sub(l.entries[n].at) > l.Memory || len(l.entries)-n > l.MostStreams) {
		n++
	}
	l.entries, l.taken = l.entries[n:], max(0, l.taken-n)
}
