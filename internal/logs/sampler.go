package logs

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// Names of the lines and keys by which a Sampler knows the requests.
const (
	// RequestID is the key of a request's id in each of its lines.
	RequestID = "RequestID"
	// RequestEnded is the message of the last line of a request.
	RequestEnded = "request ended"
	// Outcome is the key of how a request ended, and Answered its value when nothing
	// failed.
	Outcome  = "Outcome"
	Answered = "Answered"
	// AttemptEnded is the message of a failed attempt.
	AttemptEnded = "attempt ended early"
)

const (
	// wholeRequests is how many ordinary requests a second are logged, with a burst
	// of as many. Lines of one take about 800 bytes.
	wholeRequests = 100
	// heldBytes bounds the lines that wait until their request has ended.
	heldBytes = 512 << 10
	// recordBytes is the assumed size of a held line.
	recordBytes = 500
	// tellEvery is how often the requests that were left out are told.
	tellEvery = time.Second
)

// Sampler passes on the lines of a request together or not at all. Up to a stated rate
// all requests are logged. Above it the lines of a request wait for its end, and are
// passed on if it failed and dropped if it was ordinary. Lines without a request are
// always passed on.
type Sampler struct {
	next  slog.Handler
	state *samplerState
}

// samplerState is shared by a handler and those derived from it.
type samplerState struct {
	mu sync.Mutex
	// tokens is how many requests may be logged now, as of refilled.
	tokens   float64
	refilled time.Time
	requests map[string]*sampled
	held     int
	left     int64
	told     time.Time
}

// sampled is a request that has not ended.
type sampled struct {
	// pass says that its lines are passed on at once.
	pass bool
	held []heldRecord
}

type heldRecord struct {
	next   slog.Handler
	record slog.Record
}

// NewSampler returns a sampler before another handler.
func NewSampler(next slog.Handler) *Sampler {
	return &Sampler{next: next, state: &samplerState{tokens: wholeRequests, requests: map[string]*sampled{}}}
}

// Enabled reports whether lines of a level are logged.
func (s *Sampler) Enabled(ctx context.Context, level slog.Level) bool {
	return s.next.Enabled(ctx, level)
}

// WithAttrs returns a handler that adds attributes.
func (s *Sampler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Sampler{next: s.next.WithAttrs(attrs), state: s.state}
}

// WithGroup returns a handler that opens a group.
func (s *Sampler) WithGroup(name string) slog.Handler {
	return &Sampler{next: s.next.WithGroup(name), state: s.state}
}

// Handle passes a line on, holds it or drops it.
func (s *Sampler) Handle(ctx context.Context, r slog.Record) error {
	id, ordinary := "", false
	r.Attrs(func(a slog.Attr) bool {
		switch a.Key {
		case RequestID:
			id = a.Value.String()
		case Outcome:
			ordinary = a.Value.String() == Answered
		}
		return true
	})
	lines, left := s.state.take(r.Time, id, ordinary, heldRecord{s.next, r})
	if left > 0 {
		told := slog.NewRecord(r.Time, slog.LevelInfo, "ordinary requests not logged", 0)
		told.AddAttrs(slog.Int64("Requests", left))
		lines = append(lines, heldRecord{s.next, told})
	}
	for _, l := range lines {
		if err := l.next.Handle(ctx, l.record); err != nil {
			return err
		}
	}
	return nil
}

// take returns the lines to pass on, and the requests that were left out if they are to
// be told now.
func (st *samplerState) take(now time.Time, id string, ordinary bool, line heldRecord) (lines []heldRecord, left int64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.left > 0 && now.Sub(st.told) >= tellEvery {
		left, st.left, st.told = st.left, 0, now
	}
	if id == "" {
		return []heldRecord{line}, left
	}
	q := st.requests[id]
	if q == nil {
		q = &sampled{pass: st.allow(now)}
		st.requests[id] = q
	}
	ended := line.record.Message == RequestEnded
	if ended {
		delete(st.requests, id)
		st.held -= len(q.held) * recordBytes
	}
	switch {
	case q.pass:
		return []heldRecord{line}, left
	case ended && ordinary:
		st.left++
		return nil, left
	case ended, line.record.Message == AttemptEnded:
		lines = append(q.held, line)
		if !ended {
			st.held -= len(q.held) * recordBytes
		}
		q.pass, q.held = true, nil
		return lines, left
	case st.held+recordBytes > heldBytes:
		// Its last line is still passed on if it fails.
		return nil, left
	}
	// The attributes of a record may share memory with the caller.
	q.held = append(q.held, heldRecord{line.next, line.record.Clone()})
	st.held += recordBytes
	return nil, left
}

// allow takes one request from the rate.
func (st *samplerState) allow(now time.Time) bool {
	if d := now.Sub(st.refilled).Seconds(); d > 0 {
		st.tokens = min(st.tokens+d*wholeRequests, wholeRequests)
		st.refilled = now
	}
	if st.tokens < 1 {
		return false
	}
	st.tokens--
	return true
}

// Sampled returns a logger whose requests are sampled above a stated rate.
func (w *Writer) Sampled(level int) logr.Logger {
	options := &slog.HandlerOptions{Level: slog.Level(-level)}
	return logr.FromSlogHandler(NewSampler(slog.NewJSONHandler(w, options)))
}
