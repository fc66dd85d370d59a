package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/backend"
	"apricotbridge/internal/dispatch"
	"apricotbridge/internal/logs"
	"apricotbridge/internal/origin"
	"apricotbridge/internal/route"
	"apricotbridge/internal/routing"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 256 << 10
	// relayBufferSize is the number of bytes read from a stream at a time.
	relayBufferSize = 4 << 10
	// silentGapFactor times the route's TargetEventGap is how long a resumable stream is
	// silent before the daemon checks that it reaches the server.
	silentGapFactor = 5
	// minStreamSilence is the least time of silence before that check. An engine may preempt a
	// run for a while.
	minStreamSilence = 1200 * time.Millisecond
)

// streamState is what the caller has received of a stream.
type streamState struct {
	// headersSent means that the headers were written to the caller.
	headersSent bool
	// begun is headersSent for other goroutines.
	begun atomic.Bool
	// lastEventID is the id of the last event that the caller has, also of an earlier request
	// that this one continues.
	lastEventID string
	// maxStep is the largest difference between the ids of two consecutive events.
	maxStep int
	// version is the software version of the server whose events arrive.
	version string
	// eventCount is the number of events written to the caller.
	eventCount int
	// firstEventAt is when the running attempt delivered its first event, and survived
	// means that its server did not crash for survivalTime after it.
	firstEventAt time.Time
	survived     bool
	// hasUnnumbered means that an event had no id, so that the stream can't be resumed.
	hasUnnumbered bool
}

// resumable reports whether another server can continue the stream after the last event.
func (t *streamState) resumable() bool { return !t.hasUnnumbered }

// relay passes on the events of a stream as they arrive. It never writes part of an
// event.
func (s *session) relay(ctx context.Context, cancel context.CancelCauseFunc, server routing.Server, res *backend.Response) attemptResult {
	var progress streamProgress
	watchEnded := s.watchRun(ctx, cancel, server, &progress)
	defer func() {
		cancel(nil)
		<-watchEnded
	}()
	s.stream.firstEventAt, s.stream.survived, s.stream.version = time.Time{}, false, server.Version
	res.SetReadDeadline(s.deadline)
	var pending []byte
	buffer := make([]byte, relayBufferSize)
	for {
		n, err := res.Read(buffer)
		pending = append(pending, buffer[:n]...)
		if e := res.Hold(cap(pending)); e != nil {
			return s.handleBrokenStream(ctx, server, e)
		}
		end := bytes.LastIndex(pending, []byte("\n\n"))
		if end >= 0 {
			if writeErr := s.writeEvents(res, pending[:end+2]); writeErr != nil {
				if errors.Is(writeErr, errNotNextEvent) {
					return s.handleBrokenStream(ctx, server, writeErr)
				}
				s.abortDisconnected(writeErr.Error())
			}
			pending = append(pending[:0], pending[end+2:]...)
			now := time.Now()
			progress.lastEventAt.Store(&now)
		}
		progress.withinEvent.Store(len(pending) > 0)
		switch {
		// Without a length, a stream that ends before its first event was cut off.
		case errors.Is(err, io.EOF) && len(pending) == 0 && (!res.CloseDelimited || !s.stream.firstEventAt.IsZero()):
			s.completeStream(res, server)
			return attemptResult{done: true}
		case errors.Is(err, io.EOF):
			return s.handleBrokenStream(ctx, server, errors.WithType(errors.New("stream ended within an event"), backend.ErrConnectionLost))
		case err != nil:
			return s.handleBrokenStream(ctx, server, err)
		case len(pending) > maxEventBytes:
			return s.handleBrokenStream(ctx, server, errors.Errorf("event has over %d bytes", maxEventBytes))
		}
	}
}

// streamProgress is how far the run of a stream has come.
type streamProgress struct {
	// lastEventAt is nil before the first event of the run.
	lastEventAt atomic.Pointer[time.Time]
	// withinEvent is set while part of an event has arrived.
	withinEvent atomic.Bool
}

// watchRun watches the run of a stream until ctx ends. It cancels the attempt if the stream can be
// resumed on another server, and its server stalls within an event, or sends nothing and can't be
// reached. A server that is reached, also one that is leaving, may work on the stream even after its
// connection has closed, so that the stream continues there for as long as the server runs.
func (s *session) watchRun(ctx context.Context, cancel context.CancelCauseFunc, server routing.Server, progress *streamProgress) <-chan struct{} {
	done := make(chan struct{})
	if s.route.Repeat != route.Resume || s.attemptsExhausted() {
		close(done)
		return done
	}
	maxSilence := max(silentGapFactor*s.route.TargetEventGap, minStreamSilence)
	go func() {
		defer close(done)
		silence := time.NewTimer(maxSilence)
		defer silence.Stop()
		for {
			select {
			case <-silence.C:
				next := maxSilence
				if last := progress.lastEventAt.Load(); last != nil {
					next = maxSilence - time.Since(*last)
				}
				if next <= 0 {
					if cause := s.silenceCause(ctx, server, progress); cause != nil {
						cancel(cause)
						return
					}
					next = maxSilence
				}
				silence.Reset(next)
			case <-ctx.Done():
				return
			}
		}
	}()
	return done
}

// silenceCause returns why a stream without a new event is to be continued elsewhere, or nil.
func (s *session) silenceCause(ctx context.Context, server routing.Server, progress *streamProgress) error {
	switch {
	case progress.withinEvent.Load():
		return errStreamStalled
	case !s.g.Backends.Reaches(ctx, server.Address):
		return errServerUnreachable
	}
	return nil
}

// handleBrokenStream classifies a stream that ended early.
func (s *session) handleBrokenStream(ctx context.Context, server routing.Server, err error) attemptResult {
	if s.r.Context().Err() != nil {
		s.abortDisconnected("at server " + server.ID)
	}
	ended := s.serverEnded(ctx, server, err)
	if !s.stream.survived {
		s.noteConnectionLost(server, err, ended)
	}
	if ended && s.route.Repeat == route.Resume && s.stream.eventCount > 0 && s.attemptsExhausted() {
		// A server that has ended does not count against the route's attempts, so that the
		// stream continues at another one. A request whose stream had not begun is not sent
		// on: it may be the reason why the server ended.
		s.attemptsMayHaveRun--
	}
	s.logAttempt(server, dispatch.Broken, err)
	return attemptResult{ending: dispatch.Broken, err: err}
}

// errNotNextEvent means that a resumed stream does not continue after the last event.
const errNotNextEvent = errors.ConstError("event is not the next one")

// writeEvents writes complete events to the caller.
func (s *session) writeEvents(res *backend.Response, events []byte) error {
	last, count, err := s.stream.checkEvents(events)
	if err != nil {
		return err
	}
	if !s.stream.headersSent {
		s.writeHeaders(res)
	}
	now := time.Now()
	s.noteSurvival(now)
	if s.stream.eventCount == 0 {
		// What servers of two versions write does not fit together.
		s.g.dispatcher.RequireVersion(s.call.ID, s.stream.version)
		s.g.begun.note(now, origin.StreamOf(s.began), s.stream.version, s.g.forwardsBegun())
		s.g.dispatcher.FirstToken(now, s.call.ID)
		s.g.requestMetrics.recordFirstEvent(now.Sub(s.received), now.Sub(s.times.predictedAt))
		s.countUsage()
	}
	if _, err := s.w.Write(events); err != nil {
		return errors.Annotate(err, "write to the caller")
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return errors.Annotate(err, "write to the caller")
	}
	if last != "" {
		s.stream.lastEventID = last
	}
	s.stream.eventCount += count
	s.times.wrote(now)
	s.trial.arrived(now, count)
	s.g.dispatcher.Progress(s.call.ID, s.stream.eventCount)
	return nil
}

// survivalTime is how long after the first event a stream that crashes its server has done
// so. A poisonous request does it when its answer begins.
const survivalTime = 500 * time.Millisecond

// noteSurvival records a stream that has run for survivalTime as one that does not crash
// its server.
func (s *session) noteSurvival(now time.Time) {
	switch t := &s.stream; {
	case t.firstEventAt.IsZero():
		t.firstEventAt = now
	case !t.survived && now.Sub(t.firstEventAt) >= survivalTime:
		t.survived = true
		s.g.dispatcher.Survived(now, s.call.ID)
	}
}

// writeHeaders writes the response headers of the first server that answers.
func (s *session) writeHeaders(res *backend.Response) {
	s.stream.headersSent = true
	s.stream.begun.Store(true)
	h := s.w.Header()
	for name, values := range s.g.Protocol.Response(endToEndHeaders(res.Header)) {
		h[name] = values
	}
	s.setConnectionClose(h)
	s.w.WriteHeader(res.Status)
}

// checkEvents checks the ids of the next events of a run. They increase, not always by one: a server
// may number its events by the tokens that they hold. The first event of a run that continues the
// stream of another has to be the next one, so that its id exceeds the last one by at most the
// largest step so far. It returns the last id and the number of events.
func (t *streamState) checkEvents(events []byte) (last string, count int, err error) {
	last = t.lastEventID
	continues := t.eventCount > 0 && t.firstEventAt.IsZero()
	for event := range bytes.SplitSeq(events, []byte("\n\n")) {
		if len(event) == 0 {
			continue
		}
		count++
		id := eventID(event)
		if id == "" {
			t.hasUnnumbered = true
			continue
		}
		if step, ok := idStep(last, id); ok {
			if step < 1 && last != "" || continues && step > max(t.maxStep, 1) {
				return "", 0, errors.Annotatef(errNotNextEvent, "event %q after %q", id, last)
			}
			t.maxStep = max(t.maxStep, step)
		}
		last, continues = id, false
	}
	return last, count, nil
}

// idStep returns the difference between the ids of two consecutive events, if both are numbers. The
// event before the first one has no id and counts as number 0.
func idStep(last, id string) (int, bool) {
	previous := 0
	if last != "" {
		n, err := strconv.Atoi(last)
		if err != nil {
			return 0, false
		}
		previous = n
	}
	current, err := strconv.Atoi(id)
	return current - previous, err == nil
}

// eventID returns the id of an event, or an empty string if it has none.
func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v))
		}
	}
	return ""
}

// completeStream ends a stream whose last byte was written to the caller.
func (s *session) completeStream(res *backend.Response, server routing.Server) {
	if !s.stream.headersSent {
		s.writeHeaders(res) // The stream has no events.
	}
	res.Close() // The end of the attempt's context would close the connection, which can be reused.
	s.trial.streamed()
	s.reportFinished()
	if s.stream.eventCount > 0 {
		s.g.requestMetrics.recordAims(min(max(s.rank, 0), rankCount-1), s.times.result(s.route, s.received))
	}
	s.logEnd(logs.Answered, res.Status, server.ID)
}
