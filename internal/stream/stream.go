// Package stream keeps the response of one request while one backend server
// after another generates it. It decides which events belong to the response,
// whether the response is whole, and what a reader that resumes has yet to get.
package stream

import (
	"github.com/juju/errors"
)

// DefaultMaxBytes bounds a buffer. A hand-over sends the request body of up to
// 4 MB and the text generated so far in one message of at most 8 MB.
const DefaultMaxBytes = 2 << 20

// eventBytes is charged for each event besides its text, so that empty events
// fill a buffer as well.
const eventBytes = 32

// State says how far a response is.
type State int

// The states of a buffer. Whole and Failed are final.
const (
	// Open accepts a new attempt or the events of the current one.
	Open State = iota
	// Moved accepts nothing because another daemon continues the response.
	Moved
	// Whole holds the complete response.
	Whole
	// Failed holds a response that is cut off for good.
	Failed
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"Open", "Moved", "Whole", "Failed"}[s]
}

// Outcome says what became of a call of Append, End or Fail.
type Outcome int

// The outcomes. Only Accepted changes the response.
const (
	// Accepted means that the call took effect.
	Accepted Outcome = iota
	// Late means that the attempt is not the current one, or that the buffer
	// takes nothing more.
	Late
	// Repeated means that the buffer already holds an event of this sequence.
	Repeated
	// Gap means that an earlier event is missing. The current attempt stays open:
	// the missing event may follow, and the sender then repeats this one.
	Gap
	// Full means that the event did not fit. The buffer has failed, and the
	// sender cancels the attempt.
	Full
	// Truncated means that End named more or fewer events than the buffer holds.
	// The attempt has failed and another one may continue.
	Truncated
	outcomes
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"Accepted", "Late", "Repeated", "Gap", "Full", "Truncated"}[o]
}

// ErrAhead reports a reader that resumes after an event which this buffer does
// not hold. Its response can't be continued, because another attempt may have
// generated other text from there on.
const ErrAhead = errors.ConstError("last event id is ahead of the response")

// Event is a part of the response. Sequences start at 1 and are those of the
// whole response, whichever attempt generated the event.
type Event struct {
	Sequence int64
	Text     string
}

// Buffer holds the response of one request from its first event on. The whole
// response is kept until the buffer is dropped, because a continuation at
// another server needs all of it. When an event would exceed MaxBytes, the
// response fails: it is never shortened silently. A Buffer has no lock.
type Buffer struct {
	// MaxBytes bounds the text and a fixed charge for each event; 0 means
	// DefaultMaxBytes.
	MaxBytes int

	state   State
	reason  string
	attempt int
	running bool
	events  []string
	bytes   int
	counts  [outcomes]int
}

// Begin starts an attempt and ends the one before it. It returns the sequence of
// the first event that the attempt has to send. Attempt numbers rise; a number
// that is not above all earlier ones is refused, as is any attempt when the
// response is moved or final.
func (b *Buffer) Begin(attempt int) (first int64, ok bool) {
	if b.state != Open || attempt <= b.attempt {
		return 0, false
	}
	b.attempt, b.running = attempt, true
	return b.Last() + 1, true
}

// Append adds an event of an attempt.
func (b *Buffer) Append(attempt int, sequence int64, text string) Outcome {
	return b.count(b.add(attempt, sequence, text))
}

func (b *Buffer) add(attempt int, sequence int64, text string) Outcome {
	switch {
	case !b.current(attempt):
		return Late
	case sequence <= b.Last():
		return Repeated
	case sequence > b.Last()+1:
		return Gap
	}
	limit := b.MaxBytes
	if limit == 0 {
		limit = DefaultMaxBytes
	}
	if size := len(text) + eventBytes; b.bytes+size > limit {
		b.finish(Failed, "response exceeds the buffer")
		return Full
	}
	b.bytes += len(text) + eventBytes
	b.events = append(b.events, text)
	return Accepted
}

// End completes the response. The sender names the sequence of the last event,
// so that an end that overtakes an event does not pass for a complete response.
func (b *Buffer) End(attempt int, last int64) Outcome {
	switch {
	case !b.current(attempt):
		return b.count(Late)
	case last != b.Last():
		b.running = false
		return b.count(Truncated)
	}
	b.finish(Whole, "")
	return b.count(Accepted)
}

// Fail ends an attempt without completing the response. Another attempt may
// continue it.
func (b *Buffer) Fail(attempt int) Outcome {
	if !b.current(attempt) {
		return b.count(Late)
	}
	b.running = false
	return b.count(Accepted)
}

// Abandon makes the response fail for good, such as when its caller cancels or
// no server is left to continue it. A response that is final stays as it is.
func (b *Buffer) Abandon(reason string) {
	if b.state == Open || b.state == Moved {
		b.finish(Failed, reason)
	}
}

func (b *Buffer) current(attempt int) bool {
	return b.state == Open && b.running && attempt == b.attempt
}

func (b *Buffer) finish(s State, reason string) {
	b.state, b.reason, b.running = s, reason, false
}

func (b *Buffer) count(o Outcome) Outcome {
	b.counts[o]++
	return o
}

// Read returns up to limit events after the given sequence; a limit of 0 means
// all. A reader that passes the sequence of the last event it got receives each
// event once, from this buffer or from one restored from its snapshot.
func (b *Buffer) Read(after int64, limit int) ([]Event, error) {
	if after < 0 || after > b.Last() {
		return nil, errors.Annotatef(ErrAhead, "id %d, last event %d", after, b.Last())
	}
	rest := b.events[after:]
	if limit > 0 && len(rest) > limit {
		rest = rest[:limit]
	}
	events := make([]Event, len(rest))
	for i, text := range rest {
		events[i] = Event{Sequence: after + int64(i) + 1, Text: text}
	}
	return events, nil
}

// Generated returns the texts generated so far, the first being that of
// sequence 1. A continuation sends them with the prompt.
func (b *Buffer) Generated() []string { return append([]string(nil), b.events...) }

// Last returns the sequence of the last event, or 0 when there is none.
func (b *Buffer) Last() int64 { return int64(len(b.events)) }

// Attempt returns the highest attempt so far and whether it still runs.
func (b *Buffer) Attempt() (attempt int, running bool) { return b.attempt, b.running }

// State returns the state and, for Failed, the reason.
func (b *Buffer) State() (State, string) { return b.state, b.reason }

// Bytes returns the bytes charged to the buffer.
func (b *Buffer) Bytes() int { return b.bytes }

// Count returns how often an outcome was returned.
func (b *Buffer) Count(o Outcome) int { return b.counts[o] }
