package main

import (
	"fmt"
	"maps"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"apricotbridge/internal/instances"
	"apricotbridge/internal/standin"
	"apricotbridge/samples"
)

// startEngines starts one engine stand-in in each place.
func (f *orderFleet) startEngines(tokenTime time.Duration) {
	for i, place := range f.places {
		e := &standin.Engine{Slots: 32, TokenTime: tokenTime, CacheTokens: 1 << 16}
		s := httptest.NewServer(e.Handler())
		f.t.Cleanup(s.Close)
		f.enter(instances.Instance{
			ID: fmt.Sprintf("engine-%d", i), Service: "sahayak-llm", Place: place[0], Region: place[1], Class: "accelerator-8",
			Address: s.Listener.Addr().String(), Incarnation: time.Now().UnixNano(),
		})
	}
}

// load is the work of several followers until it is stopped.
type load struct {
	mu       sync.Mutex
	requests atomic.Int64
	faults   []string
	keys     []string
	counts   map[string]int
	stop     chan struct{}
	group    sync.WaitGroup
}

func (l *load) fault(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

// startLoad has n followers send orders and streams, of which one in 16 has
// long tokens.
func (f *orderFleet) startLoad(seed uint64, n, long int, resume bool) *load {
	l := &load{stop: make(chan struct{}), counts: map[string]int{}}
	for c := range n {
		l.group.Go(func() {
			caller := newFollower(seed+uint64(c), "counter-token", f.daemon(c % len(f.ids)).addresses[0])
			caller.resume = resume
			defer func() {
				caller.client.CloseIdleConnections()
				l.mu.Lock()
				defer l.mu.Unlock()
				for what, n := range caller.counts {
					l.counts[what] += n
				}
			}()
			for i := 0; ; i++ {
				select {
				case <-l.stop:
					return
				default:
				}
				l.requests.Add(1)
				name := fmt.Sprintf("request-%d-%d", c, i)
				if c%2 == 0 {
					if _, err := caller.order(f.t.Context(), name); err != nil {
						l.fault("%v", err)
						continue
					}
					l.mu.Lock()
					l.keys = append(l.keys, name)
					l.mu.Unlock()
					continue
				}
				tokens := 10 + caller.jitter(30)
				if i%16 == 0 {
					tokens = long
				}
				text, err := caller.stream(f.t.Context(), name, tokens)
				if err != nil {
					l.fault("%v", err)
				} else if text != completionOf(name, tokens) {
					l.fault("%s has a text of %d bytes", name, len(text))
				}
			}
		})
	}
	return l
}

// finish ends the load and checks that each answered order ran once.
func (l *load) finish(t *testing.T, record *orderRecord) {
	t.Helper()
	close(l.stop)
	l.group.Wait()
	runs := map[string]int{}
	for _, run := range record.all() {
		runs[run.Key]++
	}
	for key, n := range runs {
		if n > 1 {
			l.fault("order %s ran %d times", key, n)
		}
	}
	for _, key := range l.keys {
		if runs[key] != 1 {
			l.fault("order %s was answered and ran %d times", key, runs[key])
		}
	}
	t.Logf("%d requests, %d orders answered, met on the way: %v", l.requests.Load(), len(l.keys), l.counts)
	if len(l.faults) > 0 {
		t.Errorf("%d requests at fault, the first ones:\n%s", len(l.faults), strings.Join(l.faults[:min(10, len(l.faults))], "\n"))
	}
}

// Guards P6 against a request that is lost, cut off or run twice while each
// daemon is replaced by SIGTERM and a successor under a new id.
func TestRollingReplacementInterruptsNoRequest(t *testing.T) {
	t.Parallel()
	const seed = 1
	t.Logf("seed %d", seed)
	f := newOrderFleet(t, samples.Shrestha, 4, map[string]any{"EntriesKeep": "1s", "DrainTimeout": "4s"})
	f.startEngines(4 * time.Millisecond)
	f.waitModel()
	l := f.startLoad(seed, 36, 1200, false)
	for i := range f.ids {
		time.Sleep(500 * time.Millisecond)
		place := f.places[i%len(f.places)]
		old := f.daemon(i)
		id := f.ids[i] + "-next"
		next := f.serve(id, place[0], place[1])
		f.mu.Lock()
		f.ids[i], f.daemons[i] = id, next
		f.mu.Unlock()
		f.waitOrder(i)
		if err := old.command.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := old.command.Wait(); err != nil {
			t.Errorf("daemon ended with %v\n%s", err, old.output())
		}
	}
	l.finish(t, f.record)
	if l.requests.Load() < 1000 || l.counts["moved"] == 0 {
		t.Errorf("the run proves little: %d requests, %d moved", l.requests.Load(), l.counts["moved"])
	}
	t.Log("kinds met:", slices.Sorted(maps.Keys(l.counts)))
}
