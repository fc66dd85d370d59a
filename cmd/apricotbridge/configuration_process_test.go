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

// inForceBound is the time of P7 from an accepted apply to every daemon.
const inForceBound = 3 * time.Second

// revisionSight is the revision that a daemon reported at a time.
type revisionSight struct {
	at       time.Time
	revision int64
}

// revisionWatch follows the status of one process.
type revisionWatch struct {
	id    string
	sight []revisionSight
	// from and to bound the time in which the process answered with a revision.
	from, to time.Time
}

// watchRevision reads the status of a daemon until its process ends or the
// context does. A revision that falls is an error.
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
		asked := time.Now()
		res, err := client.Do(req)
		if err != nil {
			return w // The process has ended.
		}
		var s struct{ Revision int64 }
		err = json.NewDecoder(res.Body).Decode(&s)
		_ = res.Body.Close()
		if err != nil {
			return w
		}
		last := int64(0)
		if n := len(w.sight); n > 0 {
			last = w.sight[n-1].revision
		}
		if s.Revision < last {
			t.Errorf("revision of %s fell from %d to %d", id, last, s.Revision)
		}
		if s.Revision > 0 {
			if w.from.IsZero() {
				w.from = asked
			}
			w.to = asked
		}
		if s.Revision > last {
			w.sight = append(w.sight, revisionSight{time.Now(), s.Revision})
		}
		time.Sleep(30 * time.Millisecond)
	}
	return w
}

// reached returns when a process had a revision or a higher one.
func (w *revisionWatch) reached(revision int64) (time.Time, bool) {
	for _, s := range w.sight {
		if s.revision >= revision {
			return s.at, true
		}
	}
	return time.Time{}, false
}

type span struct{ from, to time.Time }

// Guards P7 against a configuration that reverts, that is not in force in time, or
// that takes effect though it is bad, while operators apply at the same time,
// daemons are replaced and killed, and the key-value service fails.
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
	applied, bad := map[int64]time.Time{}, map[int64]bool{}
	conflicts, refused := 0, 0
	applying, stopApplying := context.WithCancel(ctx)
	var operators sync.WaitGroup
	for o := range 3 {
		operators.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(o)))
			store := &keyvalue.Client{Address: f.kv, Timeout: time.Second}
			for n := 0; applying.Err() == nil; n++ {
				name := fmt.Sprintf(`"Name": "operator %d, change %d"`, o, n)
				text := bytes.Replace(samples.Shrestha, []byte(`"Name": "Shrestha Sukuti Order Routing Service Annex"`), []byte(name), 1)
				isBad := random.IntN(5) == 0
				if isBad {
					text = bytes.Replace(text, []byte(`"DefaultRank": "reply"`), []byte(`"DefaultRank": "none"`), 1)
				}
				call, cancel := context.WithTimeout(applying, 5*time.Second)
				a, err := operations.Apply(call, store, "test", text, nil)
				cancel()
				var conflict *operations.ConflictError
				mu.Lock()
				switch {
				case isBad && err == nil:
					t.Error("apply took a bad configuration")
				case isBad:
					refused++
				case errors.As(err, &conflict):
					conflicts++
				case err == nil:
					applied[a.Revision] = time.Now()
				}
				mu.Unlock()
				if isBad && random.IntN(2) == 0 { // Some other tool stores it without a check.
					if e, err := store.Get(applying, "config"); err == nil {
						if e, err = store.CompareAndSwap(applying, "config", text, e.Revision, ""); err == nil {
							mu.Lock()
							bad[e.Revision] = true
							mu.Unlock()
						}
					}
				}
				time.Sleep(time.Duration(100+random.IntN(300)) * time.Millisecond)
			}
		})
	}
	random := rand.New(rand.NewPCG(seed, 99))
	var outages []span
	for n, what := range []string{"replace", "outage", "kill", "replace", "lost answers", "outage", "kill"} {
		i := n % len(f.ids)
		t.Log(what)
		switch what {
		case "replace":
			old := f.daemon(i)
			next := f.serve(f.ids[i]+"-next", f.places[i%3][0], f.places[i%3][1])
			f.mu.Lock()
			f.ids[i], f.daemons[i] = f.ids[i]+"-next", next
			f.mu.Unlock()
			watch(i)
			_ = old.command.Process.Signal(syscall.SIGTERM) // It runs.
			_ = old.command.Wait()                          // The rolling replacement test checks the code.
		case "kill":
			watch(f.disturb(what, random))
		default:
			from := time.Now()
			f.disturb(what, random)
			outages = append(outages, span{from, time.Now()})
		}
		time.Sleep(800 * time.Millisecond)
	}
	stopApplying()
	operators.Wait()
	time.Sleep(inForceBound + 500*time.Millisecond)
	last, err := operations.Apply(ctx, &keyvalue.Client{Address: f.kv, Timeout: time.Second}, "test", samples.Shrestha, nil)
	if err != nil {
		t.Fatal(err)
	}
	applied[last.Revision] = time.Now()
	time.Sleep(inForceBound + 200*time.Millisecond)
	stop()
	watching.Wait()

	var slowest time.Duration
	checked := 0
	for revision, at := range applied {
		outage := false
		for _, o := range outages {
			// An accepted apply whose time lies in an outage can't be known to daemons.
			outage = outage || at.Before(o.to) && at.Add(inForceBound).After(o.from)
		}
		for _, w := range watches {
			if outage || w.from.IsZero() || w.from.After(at) || w.to.Before(at.Add(inForceBound)) {
				continue // It was not up or not connected for the whole time.
			}
			checked++
			then, ok := w.reached(revision)
			if !ok || then.Sub(at) > inForceBound {
				t.Errorf("revision %d was not in force at %s within %v: %v, %v", revision, w.id, inForceBound, ok, then.Sub(at))
				continue
			}
			slowest = max(slowest, then.Sub(at))
		}
	}
	for _, w := range watches {
		for _, s := range w.sight {
			if bad[s.revision] {
				t.Errorf("bad revision %d took effect at %s", s.revision, w.id)
			}
		}
	}
	t.Logf("%d applied, %d conflicts, %d bad refused, %d bad stored all the same, %d processes, %d pairs checked, slowest %v",
		len(applied), conflicts, refused, len(bad), len(watches), checked, slowest)
	if checked < 10 || len(bad) == 0 {
		t.Error("the run proves little")
	}
}
