package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/instances"
	"apricotbridge/internal/standin"
	"apricotbridge/samples"
)

// fleetEngine is an engine stand-in that notes the prompts it was sent.
type fleetEngine struct {
	server  *httptest.Server
	id      string
	mu      sync.Mutex
	prompts map[string]int
}

// startEngines starts one engine stand-in in each place.
func (f *orderFleet) startEngines(tokenTime time.Duration) {
	for i, place := range f.places {
		stand := (&standin.Engine{Slots: 32, TokenTime: tokenTime, CacheTokens: 1 << 16}).Handler()
		e := &fleetEngine{id: fmt.Sprintf("engine-%d", i), prompts: map[string]int{}}
		e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost && r.URL.Path == "/v1/completions" {
				body, err := io.ReadAll(r.Body)
				if err != nil {
					return // The daemon is gone.
				}
				r.Body = io.NopCloser(bytes.NewReader(body))
				var q struct{ Prompt string }
				if json.Unmarshal(body, &q) == nil {
					e.mu.Lock()
					e.prompts[q.Prompt]++
					e.mu.Unlock()
				}
			}
			stand.ServeHTTP(w, r)
		}))
		f.t.Cleanup(e.kill)
		f.engines = append(f.engines, e)
		f.enter(instances.Instance{
			ID: e.id, Service: "sahayak-llm", Place: place[0], Region: place[1], Class: "accelerator-8",
			Address: e.server.Listener.Addr().String(), Incarnation: time.Now().UnixNano(),
		})
	}
}

// kill closes the port and the connections.
func (e *fleetEngine) kill() {
	_ = e.server.Config.Close() // It may be closed.
	e.server.CloseClientConnections()
}

// seen counts how often the engines were sent a prompt.
func (f *orderFleet) seen(prompt string) int {
	n := 0
	for _, e := range f.engines {
		e.mu.Lock()
		n += e.prompts[prompt]
		e.mu.Unlock()
	}
	return n
}

// load is the work of several followers until it is stopped.
type load struct {
	mu       sync.Mutex
	requests atomic.Int64
	faults   []string
	keys     []string
	drafts   []draft
	counts   map[string]int
	stop     chan struct{}
	group    sync.WaitGroup
}

func (l *load) fault(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

// loadOptions say what followers send.
type loadOptions struct {
	callers int
	// long is the length of one stream in 16.
	long int
	// drafts has every third caller send drafts.
	drafts bool
	// lossy says that streams end with a daemon that is killed.
	lossy bool
}

// startLoad has followers send orders, streams and drafts.
func (f *orderFleet) startLoad(seed uint64, o loadOptions) *load {
	l := &load{stop: make(chan struct{}), counts: map[string]int{}}
	for c := range o.callers {
		l.group.Go(func() {
			caller := newFollower(seed+uint64(c), "counter-token", f.daemon(c % len(f.ids)).addresses[0])
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
				if o.drafts && c%3 == 2 {
					d, err := caller.draft(f.t.Context(), name, 10+caller.jitter(200))
					l.mu.Lock()
					if err == nil {
						l.drafts = append(l.drafts, d)
					} else if !o.lossy {
						l.faults = append(l.faults, err.Error())
					}
					l.mu.Unlock()
					time.Sleep(30 * time.Millisecond)
					continue
				}
				if c%2 == 0 {
					if _, err := caller.order(f.t.Context(), name); err != nil {
						if o.lossy && errors.Is(err, errInterrupted) {
							continue // The check of runs applies to it.
						}
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
					tokens = o.long
				}
				text, err := caller.stream(f.t.Context(), name, tokens)
				if err != nil {
					if !o.lossy {
						l.fault("%v", err)
					}
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
	t.Logf("%d requests, %d orders answered, %d drafts accepted, met on the way: %v", l.requests.Load(), len(l.keys), len(l.drafts), l.counts)
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
	l := f.startLoad(seed, loadOptions{callers: 36, long: 1200})
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
