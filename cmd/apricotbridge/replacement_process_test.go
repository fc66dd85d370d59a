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

// recordingEngine is an engine stand-in that counts the requests for each prompt.
type recordingEngine struct {
	server  *httptest.Server
	id      string
	mu      sync.Mutex
	prompts map[string]int
}

// startEngines starts one engine stand-in in each place.
func (f *orderFleet) startEngines(tokenTime time.Duration) {
	for i, place := range f.places {
		engineHandler := (&standin.Engine{Slots: 32, TokenTime: tokenTime, CacheTokens: 1 << 16}).Handler()
		e := &recordingEngine{id: fmt.Sprintf("engine-%d", i), prompts: map[string]int{}}
		e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost && r.URL.Path == "/v1/completions" {
				body, err := io.ReadAll(r.Body)
				if err != nil {
					return // The daemon closed the connection.
				}
				r.Body = io.NopCloser(bytes.NewReader(body))
				var request struct{ Prompt string }
				if json.Unmarshal(body, &request) == nil {
					e.mu.Lock()
					e.prompts[request.Prompt]++
					e.mu.Unlock()
				}
			}
			engineHandler.ServeHTTP(w, r)
		}))
		f.t.Cleanup(e.kill)
		f.engines = append(f.engines, e)
		f.register(instances.Instance{
			ID: e.id, Service: "sahayak-llm", Place: place[0], Region: place[1], Class: "accelerator-8",
			Address: e.server.Listener.Addr().String(), Incarnation: time.Now().UnixNano(),
		})
	}
}

// kill closes the listener and the connections, as a crash would.
func (e *recordingEngine) kill() {
	_ = e.server.Config.Close() // It may be closed already.
	e.server.CloseClientConnections()
}

// promptCount returns how many requests for a prompt the engines have received.
func (f *orderFleet) promptCount(prompt string) int {
	n := 0
	for _, e := range f.engines {
		e.mu.Lock()
		n += e.prompts[prompt]
		e.mu.Unlock()
	}
	return n
}

// requestLoad sends requests of several callers until it is stopped.
type requestLoad struct {
	mu       sync.Mutex
	requests atomic.Int64
	// failures describes the requests that failed.
	failures []string
	// answeredOrders are the idempotency keys of the orders that were answered.
	answeredOrders []string
	// acceptedDrafts are the drafts to fetch after the load.
	acceptedDrafts []acceptedDraft
	// outcomes sums the outcomes of the callers.
	outcomes map[string]int
	stop     chan struct{}
	running  sync.WaitGroup
}

func (l *requestLoad) recordFailure(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, fmt.Sprintf(format, args...))
}

// loadOptions configures a requestLoad.
type loadOptions struct {
	callers int
	// longStreamTokens is the length of every 16th request of a caller of streams.
	longStreamTokens int
	// sendDrafts makes every third caller send drafts.
	sendDrafts bool
	// allowInterrupted allows interrupted requests, because daemons are killed.
	allowInterrupted bool
}

// startLoad starts callers that send orders, streams or drafts.
func (f *orderFleet) startLoad(seed uint64, o loadOptions) *requestLoad {
	l := &requestLoad{stop: make(chan struct{}), outcomes: map[string]int{}}
	for c := range o.callers {
		l.running.Go(func() {
			caller := newProtocolCaller(seed+uint64(c), "counter-token", f.daemon(c % len(f.ids)).addresses[0])
			defer func() {
				caller.client.CloseIdleConnections()
				l.mu.Lock()
				defer l.mu.Unlock()
				for outcome, n := range caller.outcomes {
					l.outcomes[outcome] += n
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
				if o.sendDrafts && c%3 == 2 {
					d, err := caller.submitDraft(f.t.Context(), name, 10+caller.randomInt(200))
					l.mu.Lock()
					if err == nil {
						l.acceptedDrafts = append(l.acceptedDrafts, d)
					} else if !o.allowInterrupted {
						l.failures = append(l.failures, err.Error())
					}
					l.mu.Unlock()
					time.Sleep(30 * time.Millisecond)
					continue
				}
				if c%2 == 0 {
					if _, err := caller.order(f.t.Context(), name); err != nil {
						if o.allowInterrupted && errors.Is(err, errInterrupted) {
							continue // finish checks that it did not run twice.
						}
						l.recordFailure("%v", err)
						continue
					}
					l.mu.Lock()
					l.answeredOrders = append(l.answeredOrders, name)
					l.mu.Unlock()
					continue
				}
				tokens := 10 + caller.randomInt(30)
				if i%16 == 0 {
					tokens = o.longStreamTokens
				}
				text, err := caller.stream(f.t.Context(), name, tokens)
				if err != nil {
					if !o.allowInterrupted {
						l.recordFailure("%v", err)
					}
				} else if text != completionOf(name, tokens) {
					l.recordFailure("%s has a text of %d bytes", name, len(text))
				}
			}
		})
	}
	return l
}

// finish stops the load and checks that no order ran twice and that each answered
// order ran.
func (l *requestLoad) finish(t *testing.T, record *orderRecord) {
	t.Helper()
	close(l.stop)
	l.running.Wait()
	runs := map[string]int{}
	for _, run := range record.all() {
		runs[run.Key]++
	}
	for key, n := range runs {
		if n > 1 {
			l.recordFailure("order %s ran %d times", key, n)
		}
	}
	for _, key := range l.answeredOrders {
		if runs[key] != 1 {
			l.recordFailure("order %s was answered and ran %d times", key, runs[key])
		}
	}
	t.Logf("%d requests, %d orders answered, %d drafts accepted, outcomes: %v", l.requests.Load(), len(l.answeredOrders), len(l.acceptedDrafts), l.outcomes)
	if len(l.failures) > 0 {
		t.Errorf("%d failures, at most 10 shown:\n%s", len(l.failures), strings.Join(l.failures[:min(10, len(l.failures))], "\n"))
	}
}

// Guards against a request that is lost, cut off or run twice while each daemon is
// drained by SIGTERM and replaced by one with a new id (promise P6 in
// docs/design.md).
func TestRollingReplacementInterruptsNoRequest(t *testing.T) {
	t.Parallel()
	const seed = 1
	t.Logf("seed %d", seed)
	f := newOrderFleet(t, samples.Shrestha, 4, map[string]any{"EntriesKeep": "1s", "DrainTimeout": "4s"})
	f.startEngines(4 * time.Millisecond)
	f.waitForModel()
	l := f.startLoad(seed, loadOptions{callers: 36, longStreamTokens: 1200})
	for i := range f.ids {
		time.Sleep(500 * time.Millisecond)
		place := f.places[i%len(f.places)]
		old := f.daemon(i)
		id := f.ids[i] + "-next"
		next := f.serve(id, place[0], place[1])
		f.mu.Lock()
		f.ids[i], f.daemons[i] = id, next
		f.mu.Unlock()
		f.waitForOrder(i)
		if err := old.command.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := old.command.Wait(); err != nil {
			t.Errorf("daemon ended with %v\n%s", err, old.output())
		}
	}
	l.finish(t, f.record)
	if l.requests.Load() < 1000 || l.outcomes["moved"] == 0 {
		t.Errorf("too little load: %d requests, %d moved streams", l.requests.Load(), l.outcomes["moved"])
	}
	t.Log("outcomes:", slices.Sorted(maps.Keys(l.outcomes)))
}
