package logs

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// Messages and keys by which a Sampler recognises the lines of requests.
const (
	// RequestID is the key of the request's id in each of its lines.
	RequestID = "RequestID"
	// RequestEnded is the message of the last line of a request.
	RequestEnded = "request ended"
	// Outcome is the key of how a request ended, and Answered its value on success.
	Outcome  = "Outcome"
	Answered = "Answered"
	// AttemptEnded is the message of a failed attempt.
	AttemptEnded = "attempt ended early"
)

const (
	// sampledRequestsPerSecond is the rate, and the burst, at which successful
	// requests are logged. The lines of one request take about 800 bytes.
	sampledRequestsPerSecond = 100
	// maxHeldBytes bounds the lines that are held until their request has ended.
	maxHeldBytes = 512 << 10
	// assumedRecordBytes is the size that is counted for a held line.
	assumedRecordBytes = 500
	// reportPeriod is the least time between reports of the number of requests that
	// were not logged.
	reportPeriod = time.Second
)

// Sampler logs all lines of a request or none. Up to sampledRequestsPerSecond all
// requests are logged. Above that rate the lines of a request are held until it ends,
// then logged if it or one of its attempts failed, and dropped otherwise. Lines
// without a request are always logged.
type Sampler struct {
	next  slog.Handler
	state *samplerState
}

// samplerState is shared by a Sampler and the handlers derived from it.
type samplerState struct {
	mu sync.Mutex
	// tokens is the number of requests that could be logged at the time refilled.
	tokens       float64
	refilled     time.Time
	requests     map[string]*sampledRequest
	heldBytes    int
	skipped      int64
	lastReportAt time.Time
}

// sampledRequest is a request that has not ended.
type sampledRequest struct {
	// passThrough is set when lines of the request are logged at once.
	passThrough bool
	held        []heldRecord
}

type heldRecord struct {
	next   slog.Handler
	record slog.Record
}

// NewSampler returns a sampler that logs to another handler.
func NewSampler(next slog.Handler) *Sampler {
	return &Sampler{next: next, state: &samplerState{tokens: sampledRequestsPerSecond, requests: map[string]*sampledRequest{}}}
}

// Enabled reports whether lines of a level are logged.
func (s *Sampler) Enabled(ctx context.Context, level slog.Level) bool {
	return s.next.Enabled(ctx, level)
}

// WithAttrs returns a sampler that adds attributes.
func (s *Sampler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Sampler{next: s.next.WithAttrs(attrs), state: s.state}
}

// WithGroup returns a sampler that opens a group.
func (s *Sampler) WithGroup(name string) slog.Handler {
	return &Sampler{next: s.next.WithGroup(name), state: s.state}
}

// Handle logs a line, holds it or drops it.
func (s *Sampler) Handle(ctx context.Context, r slog.Record) error {
	id, answered := "", false
	r.Attrs(func(a slog.Attr) bool {
		switch a.Key {
		case RequestID:
			id = a.Value.String()
		case Outcome:
			answered = a.Value.String() == Answered
		}
		return true
	})
	lines, skipped := s.state.process(r.Time, id, answered, heldRecord{s.next, r})
	if skipped > 0 {
		report := slog.NewRecord(r.Time, slog.LevelInfo, "ordinary requests not logged", 0)
		report.AddAttrs(slog.Int64("Requests", skipped))
		lines = append(lines, heldRecord{s.next, report})
	}
	for _, l := range lines {
		if err := l.next.Handle(ctx, l.record); err != nil {
			return err
		}
	}
	return nil
}

// process returns the lines to log now, and the number of skipped requests when its
// report is due, else 0.
func (st *samplerState) process(now time.Time, id string, answered bool, line heldRecord) (lines []heldRecord, skipped int64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.skipped > 0 && now.Sub(st.lastReportAt) >= reportPeriod {
		skipped, st.skipped, st.lastReportAt = st.skipped, 0, now
	}
	if id == "" {
		return []heldRecord{line}, skipped
	}
	request := st.requests[id]
	if request == nil {
		request = &sampledRequest{passThrough: st.takeToken(now)}
		st.requests[id] = request
	}
	ended := line.record.Message == RequestEnded
	if ended {
		delete(st.requests, id)
		st.heldBytes -= len(request.held) * assumedRecordBytes
	}
	switch {
	case request.passThrough:
		return []heldRecord{line}, skipped
	case ended && answered:
		st.skipped++
		return nil, skipped
	case ended, line.record.Message == AttemptEnded:
		lines = append(request.held, line)
		if !ended {
			st.heldBytes -= len(request.held) * assumedRecordBytes
		}
		request.passThrough, request.held = true, nil
		return lines, skipped
	case st.heldBytes+assumedRecordBytes > maxHeldBytes:
		// The line is dropped, but the last line is still logged if the request fails.
		return nil, skipped
	}
	// Cloned, because the attributes of a record may share memory with the caller.
	request.held = append(request.held, heldRecord{line.next, line.record.Clone()})
	st.heldBytes += assumedRecordBytes
	return nil, skipped
}

// takeToken reports whether the rate allows one more request, and counts it.
func (st *samplerState) takeToken(now time.Time) bool {
	if d := now.Sub(st.refilled).Seconds(); d > 0 {
		st.tokens = min(st.tokens+d*sampledRequestsPerSecond, sampledRequestsPerSecond)
		st.refilled = now
	}
	if st.tokens < 1 {
		return false
	}
	st.tokens--
	return true
}

// Sampled returns a logger like Logger whose requests pass through a Sampler.
func (w *Writer) Sampled(level int) logr.Logger {
	options := &slog.HandlerOptions{Level: slog.Level(-level)}
	return logr.FromSlogHandler(NewSampler(slog.NewJSONHandler(w, options)))
}
