package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"
)

// arrivals records when requests reached a server.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivals) add(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, now)
}

// most returns the greatest number of arrivals within a span that begins after a time.
func (a *arrivals) most(after time.Time, span time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most := 0
	for i, from := range a.times {
		if from.Before(after) {
			continue
		}
		n := 0
		for _, at := range a.times[i:] {
			if at.Sub(from) < span {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// press sends requests to gateways at an interval each until the returned function is called,
// which returns the number of answers by status.
func press(t *testing.T, interval time.Duration, path string, gateways ...*testGateway) func() map[int]int {
	var senders sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	done := make(chan struct{})
	for _, gw := range gateways {
		senders.Go(func() {
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for {
				select {
				case <-done:
					return
				case <-ticker.C:
				}
				senders.Go(func() {
					got := gw.send(t.Context(), http.MethodPost, path)
					mu.Lock()
					statuses[got.status]++
					mu.Unlock()
				})
			}
		})
	}
	return func() map[int]int {
		close(done)
		senders.Wait()
		return statuses
	}
}

// TestServerGetsNoMoreThanTheRateThatItNames guards against daemons that together exceed it.
func TestServerGetsNoMoreThanTheRateThatItNames(t *testing.T) {
	env := newTestEnv(t)
	var reached arrivals
	env.addServer("needy", "plain", func(w http.ResponseWriter, r *http.Request) {
		reached.add(time.Now())
		w.Header().Set("X-Rate", "1")
		signedAnswer("ok")(w, r)
	})
	env.addServer("other", "plain", signedAnswer("ok"))
	gateways := []*testGateway{env.startReady("g1"), env.startReady("g2"), env.startReady("g3")}
	for _, gw := range gateways {
		waitFor(t, "the daemons are linked", func() bool { return len(gw.hub.Peers()) == 2 })
	}
	started := time.Now()
	stop := press(t, 50*time.Millisecond, "/safe/x", gateways...)
	time.Sleep(8 * time.Second)
	statuses := stop()
	const span, allowed = 4 * time.Second, 1.5*4 + 5
	if n := reached.most(started.Add(2*time.Second), span); n > allowed {
		t.Errorf("%d requests in %v, %v are allowed", n, span, allowed)
	}
	if statuses[http.StatusOK] == 0 || len(statuses) > 1 {
		t.Errorf("answers by status: %v, want 200 only", statuses)
	}
}
