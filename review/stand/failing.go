package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// failingRun is the length of the case.
	failingRun = 20 * time.Second
	// failingShare of the requests fail from failingAt on, for failingFor: the largest dose with
	// which servers of the site fail requests.
	failingShare = 0.45
	failingAt    = 5 * time.Second
	failingFor   = 4 * time.Second
)

// failing is the case of servers that fail orders after they have run them.
type failing struct {
	rec     *record
	trouble bool
	started time.Time
	mu      sync.Mutex
	// ranBy holds the server that ran an order, by attempt id.
	ranBy map[string]string
}

func (f *failing) note(id, server string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ranBy[id] = server
}

// ran notes an order that a server runs to its end.
func (f *failing) ran(s *backend, r *http.Request) {
	f.note(r.Header.Get("X-Apricotbridge-Attempt-Id"), s.ID)
}

// spoil runs an order and then fails: the answer has the server's signature and does not state
// that the order was not run.
func (f *failing) spoil(s *backend, w http.ResponseWriter, r *http.Request) bool {
	id := r.Header.Get("X-Apricotbridge-Attempt-Id")
	f.mu.Lock()
	age := time.Since(f.started) - failingAt
	f.mu.Unlock()
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id + s.ID)) // Never fails.
	if !f.trouble || age < 0 || age >= failingFor || !strings.HasPrefix(r.URL.Path, "/reorder/") || float64(hash.Sum32()%1000) >= 1000*failingShare {
		return false
	}
	f.rec.add("server %s: runs order %s, then fails", s.ID, id)
	f.note(id, s.ID)
	pause(r.Context(), s.Work)
	f.rec.add("server %s: answers %s with 503, without X-Apricotbridge-Not-Executed", s.ID, id)
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = w.Write([]byte("the order was recorded, its confirmation failed")) // The daemon may have disconnected.
	return true
}

// runFailing plays the case and reports whether the rule was broken.
func runFailing(ctx context.Context, rec *record, daemon string, trouble bool) (bool, error) {
	f := &failing{rec: rec, trouble: trouble, ranBy: map[string]string{}}
	s := &site{Rec: rec, Daemon: daemon, Engines: 18, Spoil: f.spoil, Ran: f.ran}
	if err := s.start(ctx); err != nil {
		return false, err
	}
	defer s.close()
	f.mu.Lock()
	f.started = time.Now()
	f.mu.Unlock()
	t := &traffic{Machines: s.machines, Rec: rec, Classes: sheet}
	t.run(ctx, failingRun)
	if err := t.print(); err != nil {
		return false, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	refused := 0
	for _, id := range t.promised {
		if server, ok := f.ranBy[id]; ok {
			refused++
			rec.add("refused: the client was told that order %s has not run, but %s ran it", id, server)
		}
	}
	fmt.Printf("%d orders were answered 429 or 503 and have run\n", refused)
	return refused > 0, nil
}
