package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/keyvalue"
	"apricotbridge/internal/operations"
	"apricotbridge/samples"
)

// maxApplyDelay is the longest time in which an applied configuration must reach
// every daemon.
const maxApplyDelay = 3 * time.Second

// revisionObservation is a revision and the time at which a daemon first reported it.
type revisionObservation struct {
	at       time.Time
	revision int64
}

// revisionWatch holds the revisions that one daemon process has reported.
type revisionWatch struct {
	id           string
	observations []revisionObservation
	// firstReport and lastReport are the times of the first and last status request
	// that returned a revision.
	firstReport, lastReport time.Time
}

// watchRevision polls the status of a daemon until its process ends or the context
// is cancelled. A decreasing revision is an error.
func watchRevision(ctx context.Context, t *testing.T, id, operator string) *revisionWatch {
	w := &revisionWatch{id: id}
	client := &http.Client{Transport: &http.Transport{}, Timeout: 2 * time.Second}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operator+"/status", nil)
		if err != nil {
			t.Error(err)
			return w
		}
		requested := time.Now()
		res, err := client.Do(req)
		if err != nil {
			return w // The process ended or the context was cancelled.
		}
		var s struct{ Revision int64 }
		err = json.NewDecoder(res.Body).Decode(&s)
		_ = res.Body.Close()
		if err != nil {
			return w
		}
		last := int64(0)
		if n := len(w.observations); n > 0 {
			last = w.observations[n-1].revision
		}
		if s.Revision < last {
			t.Errorf("revision of %s fell from %d to %d", id, last, s.Revision)
		}
		if s.Revision > 0 {
			if w.firstReport.IsZero() {
				w.firstReport = requested
			}
			w.lastReport = requested
		}
		if s.Revision > last {
			w.observations = append(w.observations, revisionObservation{time.Now(), s.Revision})
		}
		time.Sleep(30 * time.Millisecond)
	}
	return w
}

// reached returns when the process first reported the revision or a higher one.
func (w *revisionWatch) reached(revision int64) (time.Time, bool) {
	for _, s := range w.observations {
		if s.revision >= revision {
			return s.at, true
		}
	}
	return time.Time{}, false
}

// restartBesideInvalid applies a configuration, stores an invalid one over it, kills
// and restarts a daemon and checks that the valid one comes into force there within
// maxApplyDelay of its start.
func (f *orderFleet) restartBesideInvalid(ctx context.Context, random *rand.Rand, watch func(i int)) {
	f.t.Helper()
	store := &keyvalue.Client{Address: f.keyValueURL, Timeout: time.Second}
	valid, err := operations.Apply(ctx, store, "test", bytes.Replace(samples.Shrestha, []byte("Annex"), []byte("Restart"), 1), nil)
	if err != nil {
		f.t.Fatal(err)
	}
	f.waitForRevision(valid.Revision)
	if _, err := store.CompareAndSwap(ctx, "config", []byte("{"), valid.Revision, ""); err != nil {
		f.t.Fatal(err)
	}
	i := f.injectFailure("kill", random)
	watch(i)
	time.Sleep(maxApplyDelay + 500*time.Millisecond)
	f.mu.Lock()
	id := f.ids[i]
	f.mu.Unlock()
	stopped, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	w := watchRevision(stopped, f.t, id, f.daemon(i).addresses[1])
	if len(w.observations) == 0 || w.observations[0].revision != valid.Revision {
		f.t.Errorf("revision %d is not in force at %s, %v after its start: %+v", valid.Revision, id, maxApplyDelay, w.observations)
	}
}

// waitForRevision waits until each daemon has the revision in force. The key-value
// service holds the last value alone, so that nobody could send one that was
// overwritten before it was read.
func (f *orderFleet) waitForRevision(revision int64) {
	f.t.Helper()
	deadline := time.Now().Add(maxApplyDelay)
	for i, id := range f.ids {
		for {
			ctx, cancel := context.WithTimeout(f.t.Context(), 50*time.Millisecond)
			w := watchRevision(ctx, f.t, id, f.daemon(i).addresses[1])
			cancel()
			if _, ok := w.reached(revision); ok {
				break
			}
			if time.Now().After(deadline) {
				f.t.Fatalf("revision %d is not in force at %s within %v", revision, id, maxApplyDelay)
			}
		}
	}
}

type timeRange struct{ from, to time.Time }

// Guards against a configuration that reverts, that is not in force on every daemon
// within maxApplyDelay, or that takes effect although it is invalid. Meanwhile three
// operators apply concurrently, daemons are replaced and killed, and the key-value
// service fails (promise P7 in docs/design.md).
func TestConfigurationOnlyAdvances(t *testing.T) {
	t.Parallel()
	const seed = 1
	t.Logf("seed %d", seed)
	f := newOrderFleet(t, samples.Shrestha, 4, nil)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var mu sync.Mutex
	var watches []*revisionWatch
	var watching sync.WaitGroup
	watch := func(i int) {
		id, operator := f.ids[i], f.daemon(i).addresses[1]
		watching.Go(func() {
			w := watchRevision(ctx, t, id, operator)
			mu.Lock()
			defer mu.Unlock()
			watches = append(watches, w)
		})
	}
	for i := range f.ids {
		watch(i)
	}
	applied, invalid := map[int64]time.Time{}, map[int64]bool{}
	conflicts, refused := 0, 0
	applying, stopApplying := context.WithCancel(ctx)
	var operators sync.WaitGroup
	for o := range 3 {
		operators.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(o)))
			store := &keyvalue.Client{Address: f.keyValueURL, Timeout: time.Second}
			for n := 0; applying.Err() == nil; n++ {
				name := fmt.Sprintf(`"Name": "operator %d, change %d"`, o, n)
				text := bytes.Replace(samples.Shrestha, []byte(`"Name": "Shrestha Sukuti Order Routing Service Annex"`), []byte(name), 1)
				isInvalid := random.IntN(5) == 0
				if isInvalid {
					text = bytes.Replace(text, []byte(`"DefaultRank": "reply"`), []byte(`"DefaultRank": "none"`), 1)
				}
				applyCtx, cancel := context.WithTimeout(applying, 5*time.Second)
				result, err := operations.Apply(applyCtx, store, "test", text, nil)
				cancel()
				var conflict *operations.ConflictError
				mu.Lock()
				switch {
				case isInvalid && err == nil:
					t.Error("apply stored an invalid configuration")
				case isInvalid:
					refused++
				case errors.As(err, &conflict):
					conflicts++
				case err == nil:
					applied[result.Revision] = time.Now()
				}
				mu.Unlock()
				if isInvalid && random.IntN(2) == 0 { // Another tool stores it without validation.
					if e, err := store.Get(applying, "config"); err == nil {
						if e, err = store.CompareAndSwap(applying, "config", text, e.Revision, ""); err == nil {
							mu.Lock()
							invalid[e.Revision] = true
							mu.Unlock()
						}
					}
				}
				time.Sleep(time.Duration(100+random.IntN(300)) * time.Millisecond)
			}
		})
	}
	random := rand.New(rand.NewPCG(seed, 99))
	var outages []timeRange
	for n, event := range []string{"replace", "outage", "kill", "replace", "lost answers", "outage", "kill"} {
		i := n % len(f.ids)
		t.Log(event)
		switch event {
		case "replace":
			old := f.daemon(i)
			next := f.serve(f.ids[i]+"-next", f.places[i%3][0], f.places[i%3][1])
			f.mu.Lock()
			f.ids[i], f.daemons[i] = f.ids[i]+"-next", next
			f.mu.Unlock()
			watch(i)
			_ = old.command.Process.Signal(syscall.SIGTERM) // The process is running.
			_ = old.command.Wait()                          // TestRollingReplacementInterruptsNoRequest checks the exit code.
		case "kill":
			watch(f.injectFailure(event, random))
		default:
			from := time.Now()
			f.injectFailure(event, random)
			outages = append(outages, timeRange{from, time.Now()})
		}
		time.Sleep(800 * time.Millisecond)
	}
	stopApplying()
	operators.Wait()
	f.restartBesideInvalid(ctx, random, watch)
	last, err := operations.Apply(ctx, &keyvalue.Client{Address: f.keyValueURL, Timeout: time.Second}, "test", samples.Shrestha, nil)
	if err != nil {
		t.Fatal(err)
	}
	applied[last.Revision] = time.Now()
	time.Sleep(maxApplyDelay + 200*time.Millisecond)
	stop()
	watching.Wait()

	var slowest time.Duration
	checked := 0
	for revision, at := range applied {
		outage := false
		for _, o := range outages {
			// Daemons can't learn of a revision during an outage.
			outage = outage || at.Before(o.to) && at.Add(maxApplyDelay).After(o.from)
		}
		for _, w := range watches {
			if outage || w.firstReport.IsZero() || w.firstReport.After(at) || w.lastReport.Before(at.Add(maxApplyDelay)) {
				continue // An outage, or the daemon did not report for the whole time.
			}
			checked++
			reachedAt, ok := w.reached(revision)
			if !ok || reachedAt.Sub(at) > maxApplyDelay {
				t.Errorf("revision %d was not in force at %s within %v: %v, %v", revision, w.id, maxApplyDelay, ok, reachedAt.Sub(at))
				continue
			}
			slowest = max(slowest, reachedAt.Sub(at))
		}
	}
	for _, w := range watches {
		for _, s := range w.observations {
			if invalid[s.revision] {
				t.Errorf("invalid revision %d took effect at %s", s.revision, w.id)
			}
		}
	}
	t.Logf("%d applied, %d conflicts, %d invalid refused, %d invalid stored directly, %d processes, %d pairs of revision and daemon checked, slowest %v",
		len(applied), conflicts, refused, len(invalid), len(watches), checked, slowest)
	if checked < 10 || len(invalid) == 0 {
		t.Error("too few checked pairs of revision and daemon, or no invalid revision stored")
	}
}
