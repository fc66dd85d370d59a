package gateway

import (
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"apricotbridge/internal/allowance"
	"apricotbridge/internal/message"
	"apricotbridge/internal/routing"
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

// limitOf returns the rate that a daemon keeps to at a server.
func (gw *testGateway) limitOf(server string) routing.RateLimit {
	s, _ := gw.view.Load().table.Server(server)
	return s.RateLimit
}

// TestRatesPassBetweenPlaces guards against daemons of other places that exceed a server's rate
// because they have had no answer of it, and against keeping to a rate that is over.
func TestRatesPassBetweenPlaces(t *testing.T) {
	env := newTestEnv(t)
	var limited atomic.Bool
	limited.Store(true)
	env.addServer("s1", "plain", func(w http.ResponseWriter, r *http.Request) {
		if limited.Load() {
			w.Header().Set("X-Rate", "6")
		}
		signedAnswer("ok")(w, r)
	})
	gateways := startInPlaces(env)
	ask := func() {
		for _, gw := range gateways {
			gw.send(t.Context(), http.MethodPost, "/safe/x")
		}
	}
	gateways["b-2"].send(t.Context(), http.MethodPost, "/safe/x")
	total := 0.0
	for id, gw := range gateways {
		waitFor(t, id+" keeps to the rate", func() bool { return gw.limitOf("s1").Limited })
		total += gw.limitOf("s1").PerSecond
	}
	if total < 5.9 || total > 6.1 {
		t.Errorf("shares of %v in all, want 6", total)
	}
	limited.Store(false)
	for id, gw := range gateways {
		waitFor(t, id+" uses the server freely", func() bool {
			ask()
			return !gw.limitOf("s1").Limited
		})
	}
}

// TestDaemonThatStartsLearnsRates guards against a daemon that starts without knowing them.
func TestDaemonThatStartsLearnsRates(t *testing.T) {
	env := newTestEnv(t)
	env.addServer("s1", "plain", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Rate", "2")
		signedAnswer("ok")(w, r)
	})
	first := env.startReady("g1")
	if got := first.send(t.Context(), http.MethodPost, "/safe/x"); got.status != http.StatusOK {
		t.Fatalf("got %+v", got)
	}
	second := env.startReady("g2")
	waitFor(t, "the second daemon keeps to the rate", func() bool {
		return first.limitOf("s1").PerSecond == 1 && second.limitOf("s1").PerSecond == 1
	})
}

// TestOddRates guards against values of a peer that exclude a server or never expire.
func TestOddRates(t *testing.T) {
	now := time.Now()
	rate := func(v float64) *float64 { return &v }
	m := message.Rates{Servers: []message.ServerRate{
		{Server: "a", PerSecond: rate(math.NaN())},
		{Server: "b", PerSecond: rate(math.Inf(1))},
		{Server: "c", PerSecond: rate(-1)},
		{Server: "d", PerSecond: rate(2), Age: -1 << 62, SentAge: 1 << 62},
		{Server: "e", Age: 5, SentAge: 7},
	}}
	got := decodeRates(now, m)
	want := []allowance.Statement{
		{Incarnation: allowance.Incarnation{Server: "d"}, Limited: true, PerSecond: 2, SentAt: now.Add(-allowance.Memory), At: now},
		{Incarnation: allowance.Incarnation{Server: "e"}, SentAt: now.Add(-7 * time.Millisecond), At: now.Add(-5 * time.Millisecond)},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
