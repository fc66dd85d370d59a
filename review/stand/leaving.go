package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// leavingRun is the length of the case.
	leavingRun = 40 * time.Second
	// leavingAtOnce servers leave at each of leavingAt: a share of 0.13 of 18, as in the site file.
	leavingAtOnce = 2
	// servesFor is how long a leaving server serves on: drainMs and a little longer. All streams that
	// it gets end by themselves in this time.
	servesFor = 4500 * time.Millisecond
	// keepsRunningEvery is the distance of the servers that do not drop a request when its
	// connection closes. Most do.
	keepsRunningEvery = 3
	// eventTime is the time from one event of a stream to the next, below the pause of 300 ms of the
	// sheet.
	eventTime = 60 * time.Millisecond
	// maxOverlap is how long the server before may still work on a request that goes on elsewhere.
	maxOverlap = 400 * time.Millisecond
)

var leavingAt = []time.Duration{5 * time.Second, 15 * time.Second, 25 * time.Second}

// streamEvents holds the number of events of a stream by the start of its path, as the sheet
// states.
var streamEvents = map[string]int{"/batch/": 40, "/label/": 17, "/buyer/": 57}

// streamRun is the work of one server on one request.
type streamRun struct {
	server       string
	began, ended time.Time
}

// leaving is the case of streams that move from servers that leave.
type leaving struct {
	rec  *record
	site *site
	mu   sync.Mutex
	runs map[string][]*streamRun // By attempt id.
}

// keepsRunning reports whether a server works on when the connection of a request closes.
func (l *leaving) keepsRunning(s *backend) bool {
	for i, b := range l.site.backends {
		if b == s {
			return i%keepsRunningEvery == 0
		}
	}
	return false
}

// stream writes the events after the one that is named.
func (l *leaving) stream(ctx context.Context, s *backend, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Apricotbridge-Attempt-Id")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // No id: from the start.
	events := 0
	for prefix, n := range streamEvents {
		if strings.HasPrefix(r.URL.Path, prefix) {
			events = n
		}
	}
	run := &streamRun{server: s.ID, began: time.Now()}
	l.mu.Lock()
	l.runs[id] = append(l.runs[id], run)
	l.mu.Unlock()
	l.rec.add("server %s: begins to write %s after event %d", s.ID, id, last)
	keeps := l.keepsRunning(s)
	for n := last + 1; n <= events; n++ {
		_, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n)
		_ = http.NewResponseController(w).Flush() // The next write reports an error.
		if err == nil && ctx.Err() == nil || keeps {
			time.Sleep(eventTime)
			continue
		}
		l.rec.add("server %s: the connection of %s is closed, its run ends after event %d", s.ID, id, n)
		break
	}
	l.mu.Lock()
	run.ended = time.Now()
	l.mu.Unlock()
	if keeps && ctx.Err() != nil {
		l.rec.add("server %s: ends its work on %s, whose connection was closed", s.ID, id)
	}
}

// overlaps returns the number of requests that went on at another server while the server before
// worked on them for longer than maxOverlap, and of those that ran at more than one server.
func (l *leaving) overlaps() (broken, moved int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, runs := range l.runs {
		if len(runs) > 1 {
			moved++
		}
		for i := 1; i < len(runs); i++ {
			before, next := runs[i-1], runs[i]
			overlap := before.ended.Sub(next.began)
			if before.server == next.server || overlap <= maxOverlap {
				continue
			}
			broken++
			l.rec.add("twice: %s goes on at %s while %s still works on it for %d ms", id, next.server, before.server, overlap.Milliseconds())
		}
	}
	return broken, moved
}

// runLeaving plays the case and reports whether the rule was broken.
func runLeaving(ctx context.Context, rec *record, daemon string, trouble bool) (bool, error) {
	l := &leaving{rec: rec, runs: map[string][]*streamRun{}}
	l.site = &site{Rec: rec, Daemon: daemon, Engines: 18, Events: l.stream}
	if err := l.site.start(ctx); err != nil {
		return false, err
	}
	defer l.site.close()
	for i, at := range leavingAt {
		for n := range leavingAtOnce {
			b := l.site.backends[(i*leavingAtOnce+n)*keepsRunningEvery]
			if trouble {
				l.site.running.Go(func() {
					if pause(ctx, at) {
						b.leave(ctx, servesFor)
					}
				})
			}
		}
	}
	t := &traffic{Machines: l.site.machines, Rec: rec, Classes: sheet}
	t.run(ctx, leavingRun)
	if err := t.print(); err != nil {
		return false, err
	}
	broken, moved := l.overlaps()
	fmt.Printf("%d streams ran at more than one server; %d went on while the server before still worked on them for over %v\n", moved, broken, maxOverlap)
	return broken > 0, nil
}
