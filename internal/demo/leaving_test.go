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

// leavingBound is the time of P5 after the first signal at any daemon.
const leavingBound = 3 * time.Second

// observedEngine is an engine that notes when it got its last request.
type observedEngine struct {
	id, address string
	leaving     atomic.Bool
	last        atomic.Int64
	requests    atomic.Int64
	server      *http.Server
}

// start listens, at the former address when there was one.
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
	stand := (&standin.Engine{Slots: 16, TokenTime: time.Millisecond, CacheTokens: 1 << 16, Leaving: e.leaving.Load}).Handler()
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/completions" {
			e.last.Store(time.Now().UnixNano())
			e.requests.Add(1)
		}
		stand.ServeHTTP(w, r)
	})}
	e.server = server
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Serve(l) // It ends with Close.
	}()
	t.Cleanup(func() {
		_ = server.Close() // It may be closed.
		<-ended
	})
}

func (e *observedEngine) instance() instances.Instance {
	return instances.Instance{
		ID: e.id, Address: e.address, Incarnation: time.Now().UnixNano(), Place: "asan", Region: "bagmati",
		Class: "accelerator-8", Service: "sahayak-llm", State: instances.Live,
	}
}

// Guards P5 against new work at a server that is leaving, whichever daemon learns
// of it first and by whichever signal, against its revival by an old list, and
// against a restarted instance at the same address that stays unused.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	for _, c := range []struct {
		name   string
		signal func(e *observedEngine, first, others *standin.Instances)
	}{
		{"instance list", func(e *observedEngine, first, others *standin.Instances) {
			first.Leave(e.id, time.Now().Add(time.Minute))
			others.Leave(e.id, time.Now().Add(time.Minute))
		}},
		{"notice to one daemon, the lists of the others are old", func(e *observedEngine, first, _ *standin.Instances) {
			first.Leave(e.id, time.Now().Add(time.Minute))
		}},
		{"word of the engine", func(e *observedEngine, _, _ *standin.Instances) { e.leaving.Store(true) }},
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
			others := standin.NewInstances()
			if _, err := p.serve("other instances", others.Handler()); err != nil {
				t.Fatal(err)
			}
			engines := []*observedEngine{{id: "engine-0"}, {id: "engine-1"}, {id: "engine-2"}}
			put := func(i instances.Instance) {
				p.Instances.Put(i)
				others.Put(i)
			}
			for _, e := range engines {
				e.start(t)
				put(e.instance())
			}
			var entries []string
			for i, place := range []string{"asan", "bhaktapur", "lakeside"} {
				p.Adjust = func(s *settings.Settings) {
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
			var begun, failed atomic.Int64
			for n := range 9 {
				group.Go(func() {
					for i := 0; ctx.Err() == nil; i++ {
						body := fmt.Sprintf(`{"model":"sahayak-llm","prompt":"prompt %d of %d","max_tokens":3}`, i, n)
						res, err := send(ctx, entries[n%len(entries)], "POST", "/v1/completions", body, nil)
						if err != nil {
							continue
						}
						_ = res.Body.Close() // The status says enough.
						if res.StatusCode == http.StatusOK {
							begun.Store(1)
						} else if begun.Load() > 0 && engines[1].requests.Load() > 30 {
							failed.Add(1)
						}
						time.Sleep(5 * time.Millisecond)
					}
				})
			}
			waitFor(t, "work at each engine", func() bool {
				return engines[0].requests.Load() > 30 && engines[1].requests.Load() > 30 && engines[2].requests.Load() > 30
			})
			leaving := engines[1]
			at := time.Now()
			c.signal(leaving, p.Instances, others)
			time.Sleep(leavingBound)
			// The lists go back to a time before the signal.
			p.Instances.SetFaults(standin.InstancesFaults{Lag: time.Since(at) + 100*time.Millisecond})
			others.SetFaults(standin.InstancesFaults{Lag: time.Since(at) + 100*time.Millisecond})
			time.Sleep(2500 * time.Millisecond)
			after := time.Unix(0, leaving.last.Load()).Sub(at)
			t.Logf("last new work %v after the signal; %d requests before", after, leaving.requests.Load())
			if after > leavingBound {
				t.Errorf("new work %v after the signal", after)
			}
			_ = leaving.server.Close() // It may be closed.
			leaving.leaving.Store(false)
			leaving.start(t)
			p.Instances.SetFaults(standin.InstancesFaults{})
			others.SetFaults(standin.InstancesFaults{})
			put(leaving.instance())
			used := leaving.requests.Load()
			waitFor(t, "work at the restarted instance", func() bool { return leaving.requests.Load() > used+10 })
			if n := failed.Load(); n > 0 {
				t.Errorf("%d requests failed", n)
			}
		})
	}
}

// waitFor repeats a check until it holds.
func waitFor(t *testing.T, what string, check func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if check() {
			return
		}
	}
	t.Fatalf("not in time: %s", what)
}
