package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// idsRun is the length of the case.
	idsRun = 20 * time.Second
	// eventTokens is the number of tokens in an event. idEvents is the number of events of a
	// stream.
	eventTokens = 3
	idEvents    = 40
	// maxCutStreams is the number of requests up to which the rule LOST holds.
	maxCutStreams = 3
)

// eventIDs is the case of streams whose ids increase by more than one.
type eventIDs struct {
	rec  *record
	step int
	mu   sync.Mutex
	// begun counts the streams that servers began.
	begun int
}

// stream writes the events after the one that is named. The id of an event is the number of
// tokens, or with a step of 1 of events, that the stream has by its end.
func (e *eventIDs) stream(ctx context.Context, _ *backend, w http.ResponseWriter, r *http.Request) {
	id, after := r.Header.Get("X-Apricotbridge-Attempt-Id"), r.Header.Get("Last-Event-Id")
	e.mu.Lock()
	e.begun++
	e.mu.Unlock()
	last, _ := strconv.Atoi(after) // No id: from the start.
	for n := last + e.step; n <= idEvents*e.step; n += e.step {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n); err != nil {
			e.rec.add("server: the daemon closed the stream of %s at event %d", id, n)
			return
		}
		_ = http.NewResponseController(w).Flush() // The next write reports an error.
		if n < idEvents*e.step && !pause(ctx, 20*time.Millisecond) {
			e.rec.add("server: the daemon closed the stream of %s after event %d", id, n)
			return
		}
	}
	e.rec.add("server: the stream of %s is complete", id)
}

// runEventIDs plays the case and reports whether the rule was broken.
func runEventIDs(ctx context.Context, rec *record, daemon string, trouble bool) (bool, error) {
	e := &eventIDs{rec: rec, step: 1}
	if trouble {
		e.step = eventTokens
	}
	s := &site{Rec: rec, Daemon: daemon, Engines: 18, Events: e.stream}
	if err := s.start(ctx); err != nil {
		return false, err
	}
	defer s.close()
	t := &traffic{Machines: s.machines, Rec: rec, Classes: sheet}
	t.run(ctx, idsRun)
	if err := t.print(); err != nil {
		return false, err
	}
	fmt.Printf("%d streams were begun by servers; %d requests on kept connections were closed before the end of their answer\n", e.begun, t.brokenOff)
	return t.brokenOff > maxCutStreams, nil
}
