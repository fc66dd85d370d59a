package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// oddRun is the length of the case.
	oddRun = 40 * time.Second
	// oddEvery is the time between two writes of the odd entry. A server writes its own every 1.2 s.
	oddEvery = time.Second
)

// oddEntry is the case of an entry that another writer keeps among those of the servers.
type oddEntry struct {
	rec *record
	mu  sync.Mutex
	// foreign counts the requests that a server of another service ran.
	foreign int
}

// ran checks that a server runs the requests of its own service only.
func (o *oddEntry) ran(s *backend, r *http.Request) {
	plain := strings.HasPrefix(r.URL.Path, "/reorder/") || strings.HasPrefix(r.URL.Path, "/stock/")
	if plain != s.Engine {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.foreign++
	o.rec.add("foreign: %s %s was run by %s, a server of %s", r.Method, r.URL.Path, s.ID, s.Service)
}

// leave overwrites the entry of one model server with one of another format: there is no
// sequence, and the version is a number.
func (o *oddEntry) leave(s *site) {
	b := s.backends[0]
	odd := map[string]any{
		"backend": "tellimus", "address": b.address, "zone": b.Zone, "version": 1, "capacity": 6, "state": "ready", "warmupRemainingMs": 0,
	}
	s.store.put("servers/"+b.ID, odd)
	o.rec.add("another writer: writes servers/%s: %v", b.ID, odd)
}

// runOddEntry plays the case and reports whether the rule was broken.
func runOddEntry(ctx context.Context, rec *record, daemon string, trouble bool) (bool, error) {
	o := &oddEntry{rec: rec}
	s := &site{Rec: rec, Daemon: daemon, Engines: 18, Ran: o.ran}
	if err := s.start(ctx); err != nil {
		return false, err
	}
	defer s.close()
	if trouble {
		s.running.Go(func() {
			for at := time.Duration(0); at < oddRun-oddEvery && pause(ctx, oddEvery); at += oddEvery {
				o.leave(s)
			}
		})
	}
	t := &traffic{Machines: s.machines, Rec: rec, Classes: sheet}
	t.run(ctx, oddRun)
	if err := t.print(); err != nil {
		return false, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	fmt.Printf("%d requests were run by a server of another service\n", o.foreign)
	return o.foreign > 0, nil
}
