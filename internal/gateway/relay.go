package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/backend"
	"apricotbridge/internal/dispatch"
	"apricotbridge/internal/logs"
	"apricotbridge/internal/route"
	"apricotbridge/internal/routing"
)

const (
	// eventBytes bounds one event of a stream.
	eventBytes = 256 << 10
	// relayBuffer holds the events that arrive together.
	relayBuffer = 4 << 10
	// silentGaps is for how many of the longest pauses that the route allows a
	// stream that may be resumed is silent before it is taken for broken.
	silentGaps = 5
	// minSilence is the least such time. An engine may preempt a run for a while.
	minSilence = 1200 * time.Millisecond
)

// streamState is what the caller has of a stream.
type streamState struct {
	// started says that the caller has the headers.
	started bool
	// lastID is the id of the last event that the caller has.
	lastID string
	// events is the number of events that the caller has.
	events int
	// unnumbered says that an event had no id, so that the stream can't be resumed.
	unnumbered bool
}

// resumable reports whether a new run can go on after the last event.
func (t *streamState) resumable() bool { return !t.unnumbered }

// relay passes on the events of a stream as they arrive, whole ones only.
func (s *session) relay(ctx context.Context, cancel context.CancelCauseFunc, server routing.Server, res *backend.Response) result {
	watched := s.watchStop(ctx, cancel)
	defer func() {
		cancel(nil)
		<-watched
	}()
	var pending []byte
	buffer := make([]byte, relayBuffer)
	for {
		res.SetReadDeadline(s.readBy(time.Now()))
		n, err := res.Read(buffer)
		pending = append(pending, buffer[:n]...)
		whole := bytes.LastIndex(pending, []byte("\n\n"))
		if whole >= 0 {
			if passErr := s.pass(res, pending[:whole+2]); passErr != nil {
				if errors.Is(passErr, errNotNext) {
					return s.broken(ctx, server, passErr)
				}
				s.gone(passErr.Error())
			}
			pending = append(pending[:0], pending[whole+2:]...)
		}
		switch {
		case errors.Is(err, io.EOF) && len(pending) == 0 && !res.Unframed:
			s.complete(res, server)
			return result{done: true}
		case errors.Is(err, io.EOF):
			return s.broken(ctx, server, errors.New("stream ended within an event"))
		case err != nil:
			return s.broken(ctx, server, err)
		case len(pending) > eventBytes:
			return s.broken(ctx, server, errors.Errorf("event has over %d bytes", eventBytes))
		}
	}
}

// readBy bounds the wait for the next bytes of a stream.
func (s *session) readBy(now time.Time) time.Time {
	if s.stream.events > 0 && s.repeatable() && s.counted < s.route.Attempts {
		if silent := now.Add(max(silentGaps*s.route.Gap, minSilence)); silent.Before(s.deadline) {
			return silent
		}
	}
	return s.deadline
}

// watchStop ends the attempt when its server is leaving and the stream can go on at
// another one.
func (s *session) watchStop(ctx context.Context, cancel context.CancelCauseFunc) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		select {
		case leaving := <-s.stop:
			if leaving && s.route.Repeat == route.Resume {
				cancel(errLeaving)
			}
		case <-ctx.Done():
		}
	}()
	return done
}

// broken judges a stream that ended early.
func (s *session) broken(ctx context.Context, server routing.Server, err error) result {
	if s.r.Context().Err() != nil {
		s.gone("at server " + server.ID)
	}
	ending := dispatch.Broken
	if errors.Is(context.Cause(ctx), errLeaving) {
		ending = dispatch.Stopped
	}
	s.logAttempt(server, ending, err)
	return result{ending: ending, err: err}
}

// errNotNext reports that a resumed stream does not go on after the last event.
const errNotNext = errors.ConstError("event is not the next one")

// pass sends whole events to the caller.
func (s *session) pass(res *backend.Response, events []byte) error {
	last, count, err := s.stream.check(events)
	if err != nil {
		return err
	}
	if !s.stream.started {
		s.start(res)
	}
	if s.stream.events == 0 {
		now := time.Now()
		s.g.dispatcher.FirstToken(now, s.call.ID)
		s.g.measures.first(now.Sub(s.received))
		s.running()
	}
	if _, err := s.w.Write(events); err != nil {
		return errors.Annotate(err, "write to the caller")
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return errors.Annotate(err, "write to the caller")
	}
	if last != "" {
		s.stream.lastID = last
	}
	s.stream.events += count
	s.g.dispatcher.Progress(s.call.ID, s.stream.events)
	return nil
}

// start sends the headers of the first server that answers.
func (s *session) start(res *backend.Response) {
	s.stream.started = true
	h := s.w.Header()
	for name, values := range s.g.Protocol.Response(passedHeaders(res.Header)) {
		h[name] = values
	}
	s.closing(h)
	s.w.WriteHeader(res.Status)
}

// check reads the ids of events and returns the last one and the number of events.
func (t *streamState) check(events []byte) (last string, count int, err error) {
	last = t.lastID
	for event := range bytes.SplitSeq(events, []byte("\n\n")) {
		if len(event) == 0 {
			continue
		}
		count++
		id := eventID(event)
		if id == "" {
			t.unnumbered = true
			continue
		}
		if before, e := strconv.Atoi(last); e == nil {
			if now, e := strconv.Atoi(id); e == nil && now != before+1 {
				return "", 0, errors.Annotatef(errNotNext, "event %q after %q", id, last)
			}
		}
		last = id
	}
	return last, count, nil
}

// eventID returns the id of an event, empty when it has none.
func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v))
		}
	}
	return ""
}

// complete ends a stream whose last byte was passed on.
func (s *session) complete(res *backend.Response, server routing.Server) {
	if !s.stream.started {
		s.start(res) // A stream without events.
	}
	res.Close() // Before the context of the attempt ends, which closes the connection.
	s.finish()
	s.logEnd(logs.Answered, res.Status, server.ID)
}
