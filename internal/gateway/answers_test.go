package gateway

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"apricotbridge/internal/fleet"
)

// refuse is a handler that states that the server did not run the request.
func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// TestResentRequestGetsNewConnection guards against sending a request to a server again on
// the connection of its first attempt, where a second copy of the refusal would look like
// the answer to the second attempt.
func TestResentRequestGetsNewConnection(t *testing.T) {
	env := newTestEnv(t)
	var mu sync.Mutex
	remoteAddresses := map[string]bool{}
	attempts := 0
	env.addServer("only", "plain", func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		remoteAddresses[r.RemoteAddr] = true
		attempts++
		first := attempts == 1
		mu.Unlock()
		if first {
			refuse(w, r)
			return
		}
		signedAnswer("ok")(w, r)
	})
	gw := env.startReady("g1")
	if r := gw.send(t.Context(), http.MethodPost, "/unsafe/x"); r.status != http.StatusOK {
		t.Fatalf("status %d, error %v", r.status, r.err)
	}
	mu.Lock()
	defer mu.Unlock()
	if attempts != 2 || len(remoteAddresses) != 2 {
		t.Errorf("%d attempts on %d connections, want 2 on 2", attempts, len(remoteAddresses))
	}
}

// accepting reports whether a daemon may send new work to a server.
func (gw *testGateway) accepting(server string) bool {
	m, ok := gw.view.Load().Members[server]
	return ok && m.Accepting()
}

// TestServerThatStatesItIsLeaving guards against new work for a server that has stated only in
// its answers that it is leaving, by any daemon, and against keeping it from the server's next
// incarnation.
func TestServerThatStatesItIsLeaving(t *testing.T) {
	env := newTestEnv(t)
	var leaving atomic.Bool
	s := env.addServer("leaving", "plain", func(w http.ResponseWriter, r *http.Request) {
		if leaving.Load() {
			w.Header().Set("X-Leaving", "1")
		}
		signedAnswer("from the leaving server")(w, r)
	})
	first, second := env.startReady("g1"), env.startReady("g2")
	waitFor(t, "the daemons are linked", func() bool { return len(first.hub.Peers()) == 1 && len(second.hub.Peers()) == 1 })
	leaving.Store(true)
	env.addServer("staying", "plain", signedAnswer("ok"))
	waitFor(t, "the other server is known", func() bool { return first.accepting("staying") })
	waitFor(t, "the daemon that got the answer knows", func() bool {
		if got := first.send(t.Context(), http.MethodPost, "/safe/x"); got.status != http.StatusOK {
			t.Errorf("got %+v", got)
		}
		return !first.accepting("leaving")
	})
	waitFor(t, "the peer knows", func() bool { return !second.accepting("leaving") })
	third := env.startReady("g3")
	waitFor(t, "a daemon that starts later knows", func() bool { return !third.accepting("leaving") })
	before := s.requests()
	for _, gw := range []*testGateway{first, second, third} {
		waitFor(t, "the other server is known", func() bool { return gw.accepting("staying") })
		for range 10 {
			if got := gw.send(t.Context(), http.MethodPost, "/safe/x"); got.status != http.StatusOK {
				t.Errorf("got %+v", got)
			}
		}
	}
	if after := s.requests(); after != before {
		t.Errorf("%d requests to the leaving server after it was known", after-before)
	}
	leaving.Store(false)
	env.store.set("servers/leaving", fleet.Server{ID: "leaving", Incarnation: 2, Address: s.Listener.Addr().String(), Service: "plain", Place: "a", Slots: 8})
	waitFor(t, "the next incarnation is used", func() bool {
		return first.accepting("leaving") && second.accepting("leaving") && third.accepting("leaving")
	})
}

// TestLeavingPassesBetweenPlaces guards against daemons of other places that send new work to a
// server which stated in an answer that it is leaving.
func TestLeavingPassesBetweenPlaces(t *testing.T) {
	env := newTestEnv(t)
	env.addServer("s1", "plain", signedAnswer("ok"))
	gateways := startInPlaces(env)
	gateways["b-2"].post(func(c *control) { c.noteLeaving(time.Now(), "", []fleet.Incarnation{{ID: "s1", Start: 1}}) })
	for id, gw := range gateways {
		waitFor(t, id+" knows", func() bool { return !gw.accepting("s1") })
	}
}

// TestOverloadedServerIsLeftAlone guards against sending requests to a server that turned one
// away with status 503 and a Retry-After, and against letting callers wait when all servers did.
func TestOverloadedServerIsLeftAlone(t *testing.T) {
	env := newTestEnv(t)
	var all atomic.Bool
	overloaded := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Retry-After", "2.5")
		refuse(w, r)
	}
	first := env.addServer("first", "plain", overloaded)
	second := env.addServer("second", "plain", func(w http.ResponseWriter, r *http.Request) {
		if all.Load() {
			overloaded(w, r)
			return
		}
		signedAnswer("ok")(w, r)
	})
	gw := env.startReady("g1")
	for range 20 {
		if got := gw.send(t.Context(), http.MethodPost, "/unsafe/x"); got.status != http.StatusOK {
			t.Errorf("got %+v", got)
		}
	}
	if n := first.requests(); n > 1 {
		t.Errorf("%d requests to the overloaded server, want at most 1", n)
	}
	all.Store(true)
	gw.send(t.Context(), http.MethodPost, "/unsafe/x")
	before := second.requests()
	started := time.Now()
	got := gw.send(t.Context(), http.MethodPost, "/unsafe/x")
	if after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64); got.status != http.StatusServiceUnavailable || err != nil || after < 1 || after > 4 {
		t.Errorf("got %+v, want 503 with the time until the first server takes requests", got)
	}
	if took := time.Since(started); took > 200*time.Millisecond {
		t.Errorf("refused after %v", took)
	}
	if after := second.requests(); after != before {
		t.Errorf("%d requests to servers during their pauses", after-before)
	}
}
