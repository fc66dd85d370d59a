package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"apricotbridge/internal/instances"
	"apricotbridge/internal/settings"
	"apricotbridge/internal/standin"
	"apricotbridge/samples"
)

// maxNewWorkAfterSignal is how long a leaving server may get new work after the
// first signal at any daemon.
const maxNewWorkAfterSignal = 3 * time.Second

// observedEngine is an engine that records the time and number of its requests.
type observedEngine struct {
	id, address      string
	leaving          atomic.Bool
	lastRequestNanos atomic.Int64
	requests         atomic.Int64
	server           *http.Server
}

// start listens, at the previous address when it had one.
func (e *observedEngine) start(t *testing.T) {
	t.Helper()
	if e.address == "" {
		e.address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		t.Fatal(err)
	}
	e.address = l.Addr().String()
	handler := (&standin.Engine{Slots: 16, TokenTime: time.Millisecond, CacheTokens: 1 << 16, Leaving: e.leaving.Load}).Handler()
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/completions" {
			e.lastRequestNanos.Store(time.Now().UnixNano())
			e.requests.Add(1)
		}
		handler.ServeHTTP(w, r)
	})}
	e.server = server
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Serve(l) // Serve returns when the server is closed.
	}()
	t.Cleanup(func() {
		_ = server.Close() // The server may be closed already.
		<-ended
	})
}

func (e *observedEngine) instance() instances.Instance {
	return instances.Instance{
		ID: e.id, Address: e.address, Incarnation: time.Now().UnixNano(), Place: "asan", Region: "bagmati",
		Class: "accelerator-8", Service: "sahayak-llm", State: instances.Live,
	}
}

// Guards against new work at a leaving server more than 3 s after the first
// signal, whichever daemon and signal that was. Also guards against a leaving
// server that an outdated instance list brings back, and against a restarted
// instance at the same address that gets no work.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	for _, c := range []struct {
		name   string
		signal func(e *observedEngine, firstList, otherLists *standin.Instances)
	}{
		{"instance list", func(e *observedEngine, firstList, otherLists *standin.Instances) {
			firstList.Leave(e.id, time.Now().Add(time.Minute))
			otherLists.Leave(e.id, time.Now().Add(time.Minute))
		}},
		{"notice to one daemon, the lists of the others are old", func(e *observedEngine, firstList, _ *standin.Instances) {
			firstList.Leave(e.id, time.Now().Add(time.Minute))
		}},
		{"load report of the engine", func(e *observedEngine, _, _ *standin.Instances) { e.leaving.Store(true) }},
		{"connection failures", func(e *observedEngine, _, _ *standin.Instances) { _ = e.server.Close() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p, err := NewPlatform(t.Context(), logr.Discard(), 1)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(p.Close)
			if err := p.Apply(t.Context(), samples.Shrestha); err != nil {
				t.Fatal(err)
			}
			otherLists := standin.NewInstances()
			if _, err := p.startServer("other instances", otherLists.Handler()); err != nil {
				t.Fatal(err)
			}
			engines := []*observedEngine{{id: "engine-0"}, {id: "engine-1"}, {id: "engine-2"}}
			addInstance := func(i instances.Instance) {
				p.Instances.Put(i)
				otherLists.Put(i)
			}
			for _, e := range engines {
				e.start(t)
				addInstance(e.instance())
			}
			var entries []string
			for i, place := range []string{"asan", "bhaktapur", "lakeside"} {
				p.AdjustSettings = func(s *settings.Settings) {
					if i > 0 {
						s.InstanceList.Address = "http://" + p.Address("other instances")
					}
				}
				d, err := p.StartDaemon(fmt.Sprintf("daemon-%d", i), place, map[bool]string{true: "bagmati", false: "gandaki"}[i < 2])
				if err != nil {
					t.Fatal(err)
				}
				entries = append(entries, d.CallerAddress())
			}
			ctx, cancel := context.WithCancel(t.Context())
			var group sync.WaitGroup
			defer group.Wait()
			defer cancel()
			var serving, failed atomic.Int64
			for n := range 9 {
				group.Go(func() {
					for i := 0; ctx.Err() == nil; i++ {
						body := fmt.Sprintf(`{"model":"sahayak-llm","prompt":"prompt %d of %d","max_tokens":3}`, i, n)
						res, err := sendRequest(ctx, entries[n%len(entries)], "POST", "/v1/completions", body, nil)
						if err != nil {
							continue
						}
						_ = res.Body.Close() // Only the status matters.
						if res.StatusCode == http.StatusOK {
							serving.Store(1)
						} else if serving.Load() > 0 && engines[1].requests.Load() > 30 {
							failed.Add(1)
						}
						time.Sleep(5 * time.Millisecond)
					}
				})
			}
			waitFor(t, "requests at each engine", func() bool {
				return engines[0].requests.Load() > 30 && engines[1].requests.Load() > 30 && engines[2].requests.Load() > 30
			})
			leaving := engines[1]
			signalled := time.Now()
			c.signal(leaving, p.Instances, otherLists)
			time.Sleep(maxNewWorkAfterSignal)
			// The lists return to their state before the signal.
			p.Instances.SetFaults(standin.InstancesFaults{Lag: time.Since(signalled) + 100*time.Millisecond})
			otherLists.SetFaults(standin.InstancesFaults{Lag: time.Since(signalled) + 100*time.Millisecond})
			time.Sleep(2500 * time.Millisecond)
			after := time.Unix(0, leaving.lastRequestNanos.Load()).Sub(signalled)
			t.Logf("last new work %v after the signal; %d requests before", after, leaving.requests.Load())
			if after > maxNewWorkAfterSignal {
				t.Errorf("new work %v after the signal", after)
			}
			_ = leaving.server.Close() // The server may be closed already.
			leaving.leaving.Store(false)
			leaving.start(t)
			p.Instances.SetFaults(standin.InstancesFaults{})
			otherLists.SetFaults(standin.InstancesFaults{})
			addInstance(leaving.instance())
			requestsBefore := leaving.requests.Load()
			waitFor(t, "requests at the restarted instance", func() bool { return leaving.requests.Load() > requestsBefore+10 })
			if n := failed.Load(); n > 0 {
				t.Errorf("%d requests failed", n)
			}
		})
	}
}

// waitFor repeats a check until it is true, for at most 30 s.
func waitFor(t *testing.T, what string, check func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if check() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}
