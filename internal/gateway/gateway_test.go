package gateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"apricotbridge/internal/quota"
)

// TestPassThrough guards against a request or an answer that is changed on its way.
func TestPassThrough(t *testing.T) {
	w := newWorld(t)
	b := w.server("s1", "plain", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("X-Signature", "s")
		rw.Header().Set("X-Other", "kept")
		rw.WriteHeader(http.StatusCreated)
		_, _ = rw.Write([]byte("made"))
	})
	n := w.gateway("g1")
	got := n.ask(t.Context(), http.MethodPost, "/unsafe/a%2Fb?c=d", "X-Extra", "e", "X-Deadline", "2000", "X-Organisation", "forged")
	if got.err != nil || got.status != http.StatusCreated || got.body != "made" || got.header.Get("X-Other") != "kept" {
		t.Fatalf("got %+v", got)
	}
	r := b.seen[0]
	if r.RequestURI != "/unsafe/a%2Fb?c=d" || r.Host != "h.example" || r.Header.Get("X-Extra") != "e" {
		t.Errorf("server got %s for %s with %v", r.RequestURI, r.Host, r.Header)
	}
	if r.Header.Get("X-Key") != "" || r.Header.Get("X-Organisation") != "one" || r.Header.Get("X-Server") != "s1" {
		t.Errorf("server got %v", r.Header)
	}
	if left, _ := strconv.Atoi(r.Header.Get("X-Deadline")); left <= 1000 || left > 2000 {
		t.Errorf("server got %d ms of 2000", left)
	}
}

// TestRefusals guards against requests that reach a server although they may not, and
// against refusals that do not say when to come back.
func TestRefusals(t *testing.T) {
	w := newWorld(t)
	b := w.server("s1", "plain", signed("ok"))
	n := w.gateway("g1")
	for _, c := range []struct {
		name, path string
		header     []string
		status     int
		comeBack   bool
	}{
		{"unknown key", "/safe/", []string{"X-Key", "wrong"}, http.StatusUnauthorized, false},
		{"no key", "/safe/", []string{"X-Key", ""}, http.StatusUnauthorized, false},
		{"no route", "/none/", nil, http.StatusNotFound, false},
		{"no id", "/safe/", []string{"X-Id", ""}, http.StatusBadRequest, false},
		{"no server", "/stream/", nil, http.StatusServiceUnavailable, true},
		{"over quota", "/safe/", []string{"X-Key", "key-limited", "X-Tokens", "20"}, http.StatusOK, false},
		{"over quota again", "/safe/", []string{"X-Key", "key-limited", "X-Tokens", "20"}, http.StatusTooManyRequests, true},
	} {
		got := n.ask(t.Context(), http.MethodGet, c.path, c.header...)
		if got.err != nil || got.status != c.status {
			t.Errorf("%s: got %+v, want status %d", c.name, got, c.status)
		}
		if after := got.header.Get("Retry-After"); (after != "") != c.comeBack {
			t.Errorf("%s: Retry-After is %q", c.name, after)
		}
	}
	if b.requests() != 1 {
		t.Errorf("the server got %d requests, want 1", b.requests())
	}
}

// TestUnknownConfiguration guards against a 401 or 404 from a daemon that knows no
// configuration yet, and against one that counts as ready.
func TestUnknownConfiguration(t *testing.T) {
	w := newWorld(t)
	w.store.failures(true, false)
	n := w.start("g1")
	await(t, "listener answers", func() bool { return n.ask(t.Context(), http.MethodGet, "/safe/").err == nil })
	if got := n.ask(t.Context(), http.MethodGet, "/safe/"); got.status != http.StatusServiceUnavailable || n.Ready() {
		t.Errorf("got %+v, ready %v", got, n.Ready())
	}
	w.server("s1", "plain", signed("ok"))
	w.store.failures(false, false)
	await(t, "ready once the store answers", n.Ready)
	if got := n.ask(t.Context(), http.MethodGet, "/safe/"); got.status != http.StatusOK {
		t.Errorf("got %+v", got)
	}
}

// TestRepeat guards against a request that runs twice although it may not, and
// against giving up one that may be repeated.
func TestRepeat(t *testing.T) {
	notRun := func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("X-Not-Run", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
	broken := func(rw http.ResponseWriter, _ *http.Request) { cut(rw) }
	failed := func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("X-Signature", "s")
		rw.WriteHeader(http.StatusInternalServerError)
	}
	unsignedOK := func(rw http.ResponseWriter, _ *http.Request) { _, _ = rw.Write([]byte("forged")) }
	for _, c := range []struct {
		name   string
		bad    http.HandlerFunc
		path   string
		status int
		runs   int
	}{
		{"not run, safe", notRun, "/safe/", http.StatusOK, 1},
		{"not run, unsafe", notRun, "/unsafe/", http.StatusOK, 1},
		{"broken, safe", broken, "/safe/", http.StatusOK, 1},
		{"broken, unsafe", broken, "/unsafe/", http.StatusBadGateway, 0},
		{"failed, safe", failed, "/safe/", http.StatusOK, 1},
		{"failed, unsafe", failed, "/unsafe/", http.StatusInternalServerError, 0},
		{"unsigned, unsafe", unsignedOK, "/unsafe/", http.StatusBadGateway, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t)
			bad := w.server("bad", "plain", c.bad)
			n := w.gateway("g1")
			good := w.server("good", "plain", signed("ok"))
			// The good server is known only once the bad one has the request.
			w.store.remove("servers/good")
			done := make(chan reply, 1)
			w.register(good, "plain", false)
			await(t, "both servers are known", func() bool { return len(n.view.Load().Members) == 2 })
			for bad.requests() == 0 {
				if c.runs == 0 || good.requests() < 50 {
					go func() { done <- n.ask(t.Context(), http.MethodPost, c.path) }()
				}
				got := <-done
				if bad.requests() == 0 {
					continue
				}
				if got.err != nil || got.status != c.status {
					t.Errorf("got %+v, want status %d", got, c.status)
				}
			}
			id := bad.seen[0].Header.Get("X-Id")
			runs := 0
			good.mu.Lock()
			for _, r := range good.seen {
				if r.Header.Get("X-Id") == id {
					runs++
				}
			}
			good.mu.Unlock()
			if runs != c.runs {
				t.Errorf("the request ran %d times at the other server, want %d", runs, c.runs)
			}
		})
	}
}

// TestStream guards against events that are held back, cut or joined wrongly.
func TestStream(t *testing.T) {
	w := newWorld(t)
	w.server("s1", "model", func(rw http.ResponseWriter, r *http.Request) { streamFrom(rw, r, 20) })
	n := w.gateway("g1")
	got := n.ask(t.Context(), http.MethodPost, "/stream/")
	if got.err != nil || got.status != http.StatusOK || got.body != events(1, 20) || got.header.Get("X-Signature") != "s" {
		t.Errorf("got %+v", got)
	}
	got = n.ask(t.Context(), http.MethodPost, "/stream/", "Last-Event-Id", "15")
	if got.err != nil || got.body != events(16, 20) {
		t.Errorf("resumed by the caller: %+v", got)
	}
}

// TestResume guards against a broken stream that is not continued at another server,
// or is continued with a gap, a repeat or half an event.
func TestResume(t *testing.T) {
	w := newWorld(t)
	breaks := func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") != "" {
			streamFrom(rw, r, 9)
			return
		}
		streamFrom(rw, r, 4)
		_, _ = rw.Write([]byte("id: 5\ndata: ha"))
		cut(rw)
	}
	one, two := w.server("s1", "model", breaks), w.server("s2", "model", breaks)
	n := w.gateway("g1")
	got := n.ask(t.Context(), http.MethodPost, "/stream/")
	if got.err != nil || got.body != events(1, 9) {
		t.Errorf("got %q, error %v", got.body, got.err)
	}
	if one.requests() != 1 || two.requests() != 1 {
		t.Errorf("servers got %d and %d requests", one.requests(), two.requests())
	}
}

// TestBrokenStream guards against a stream that may not be resumed and is run again,
// or looks complete although it broke off.
func TestBrokenStream(t *testing.T) {
	w := newWorld(t)
	b := w.server("s1", "model", func(rw http.ResponseWriter, r *http.Request) {
		streamFrom(rw, r, 4)
		cut(rw)
	})
	n := w.gateway("g1")
	got := n.ask(t.Context(), http.MethodPost, "/once/")
	if got.err == nil || got.body != events(1, 4) {
		t.Errorf("a broken stream looks complete: %+v", got)
	}
	if b.requests() != 1 {
		t.Errorf("the server got %d requests", b.requests())
	}
}

// TestWrongEvent guards against joining a resumed stream that does not go on after
// the last event.
func TestWrongEvent(t *testing.T) {
	w := newWorld(t)
	wrong := func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") != "" {
			r.Header.Set("Last-Event-Id", "6")
			streamFrom(rw, r, 9)
			return
		}
		streamFrom(rw, r, 4)
		cut(rw)
	}
	w.server("s1", "model", wrong)
	w.server("s2", "model", wrong)
	got := w.gateway("g1").ask(t.Context(), http.MethodPost, "/stream/")
	if got.err == nil || got.body != events(1, 4) {
		t.Errorf("got %+v", got)
	}
}

// TestTimeout guards against a request that is held past its route's timeout, and
// against a stream that then looks complete.
func TestTimeout(t *testing.T) {
	w := newWorld(t)
	left := make(chan struct{}, 1)
	w.server("s1", "model", func(rw http.ResponseWriter, r *http.Request) {
		streamFrom(rw, r, 2)
		<-r.Context().Done()
		left <- struct{}{}
	})
	n := w.gateway("g1")
	begun := time.Now()
	got := n.ask(t.Context(), http.MethodPost, "/short/")
	if got.err == nil || got.body != events(1, 2) {
		t.Errorf("got %+v", got)
	}
	if took := time.Since(begun); took < 300*time.Millisecond {
		t.Errorf("ended after %v, the timeout is 400 ms", took)
	}
	select {
	case <-left:
	case <-time.After(5 * time.Second):
		t.Error("the server works on")
	}
}

// TestCallerLeaves guards against a server that works on after its caller has left.
func TestCallerLeaves(t *testing.T) {
	w := newWorld(t)
	got, left := make(chan struct{}, 1), make(chan struct{}, 1)
	w.server("s1", "plain", func(_ http.ResponseWriter, r *http.Request) {
		got <- struct{}{}
		<-r.Context().Done()
		left <- struct{}{}
	})
	n := w.gateway("g1")
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan reply, 1)
	go func() { ended <- n.ask(ctx, http.MethodGet, "/safe/") }()
	<-got
	cancel()
	<-ended
	select {
	case <-left:
	case <-time.After(5 * time.Second):
		t.Error("the server works on")
	}
	await(t, "nothing is in flight", func() bool { return n.inFlight.Load() == 0 })
}

// TestEndOfDaemon guards against an answer that is completed because the daemon ends:
// the handler of a request whose context was cancelled returned, and the HTTP server
// wrote the end of the answer.
func TestEndOfDaemon(t *testing.T) {
	w := newWorld(t)
	begun := make(chan struct{}, 1)
	w.server("s1", "model", func(rw http.ResponseWriter, r *http.Request) {
		streamFrom(rw, r, 2)
		begun <- struct{}{}
		<-r.Context().Done()
	})
	n := w.gateway("g1")
	// The context of requests ends before the listener is closed.
	ctx, cancel := context.WithCancel(t.Context())
	server := httptest.NewUnstartedServer(http.HandlerFunc(n.serve))
	server.Config.BaseContext = func(net.Listener) context.Context { return ctx }
	server.Start()
	defer server.Close()
	n.CallerAddress = server.Listener.Addr().String()
	ended := make(chan reply, 1)
	go func() { ended <- n.ask(t.Context(), http.MethodPost, "/once/") }()
	<-begun
	cancel()
	if got := <-ended; got.err == nil {
		t.Errorf("a stream that was cut looks complete: %+v", got)
	}
}

// TestDrain guards against a drain that breaks off requests, takes streams that will
// not end in time, or leaves the daemon in look-ups.
func TestDrain(t *testing.T) {
	w := newWorld(t)
	begun, release := make(chan struct{}, 1), make(chan struct{})
	w.server("s1", "model", func(rw http.ResponseWriter, r *http.Request) {
		streamFrom(rw, r, 2)
		begun <- struct{}{}
		<-release
		r.Header.Set("Last-Event-Id", "2")
		streamFrom(rw, r, 4)
	})
	w.server("s2", "plain", signed("ok"))
	n, other := w.gateway("g1"), w.gateway("g2")
	await(t, "both daemons are in look-ups", func() bool { return len(other.Addresses("a", "r")) == 2 && len(n.Addresses("a", "r")) == 2 })
	ended := make(chan reply, 1)
	go func() { ended <- n.ask(t.Context(), http.MethodPost, "/once/") }()
	<-begun
	drained := make(chan struct{})
	go func() {
		n.Drain(t.Context())
		close(drained)
	}()
	await(t, "the daemon is out of look-ups", func() bool {
		return len(other.Addresses("a", "r")) == 1 && len(n.Addresses("a", "r")) == 1 && !n.Ready()
	})
	got := n.ask(t.Context(), http.MethodGet, "/safe/")
	if got.status != http.StatusOK || !got.closes {
		t.Errorf("during the drain: %+v", got)
	}
	close(release)
	if got := <-ended; got.err != nil || got.body != events(1, 4) {
		t.Errorf("a request in flight: %+v", got)
	}
	<-drained
}

// TestLeavingServer guards against new work for a server that is leaving.
func TestLeavingServer(t *testing.T) {
	w := newWorld(t)
	leaving, stays := w.server("s1", "plain", signed("ok")), w.server("s2", "plain", signed("ok"))
	n := w.gateway("g1")
	w.register(leaving, "plain", true)
	await(t, "the server is known to leave", func() bool {
		m := n.view.Load().Members["s1"]
		return !m.Accepting()
	})
	before := leaving.requests()
	for range 20 {
		if got := n.ask(t.Context(), http.MethodGet, "/safe/"); got.status != http.StatusOK {
			t.Fatalf("got %+v", got)
		}
	}
	if leaving.requests() != before || stays.requests() != 20 {
		t.Errorf("the leaving server got %d requests, the other %d", leaving.requests(), stays.requests())
	}
}

// TestConfigurationWithoutWatch guards against daemons that miss a configuration
// while the store's watches hear nothing, and against one that goes back.
func TestConfigurationWithoutWatch(t *testing.T) {
	w := newWorld(t)
	w.server("s1", "plain", signed("ok"))
	one, two := w.gateway("g1"), w.gateway("g2")
	w.store.failures(false, true)
	w.conf.Version = 5
	w.conf.Organisations = []Organisation{{Name: "new", Keys: []string{"key-new"}}}
	w.configure()
	for _, n := range []*node{one, two} {
		await(t, "configuration 5", func() bool { return n.view.Load().Configuration().Version == 5 })
		if got := n.ask(t.Context(), http.MethodGet, "/safe/", "X-Key", "key-new"); got.status != http.StatusOK {
			t.Errorf("the new key: %+v", got)
		}
		if got := n.ask(t.Context(), http.MethodGet, "/safe/"); got.status != http.StatusUnauthorized {
			t.Errorf("the key that was removed: %+v", got)
		}
	}
	w.conf.Version = 4
	w.configure()
	time.Sleep(2 * one.pollEvery())
	if v := one.view.Load().Configuration().Version; v != 5 {
		t.Errorf("went back to configuration %d", v)
	}
}

// TestOnePolls guards against paying for the same reads of the store at each daemon.
func TestOnePolls(t *testing.T) {
	w := newWorld(t)
	w.server("s1", "plain", signed("ok"))
	nodes := []*node{w.gateway("g1"), w.gateway("g2"), w.gateway("g3"), w.gateway("g4")}
	for _, n := range nodes {
		await(t, "all daemons know each other", func() bool { return len(n.Addresses("a", "r")) == 4 })
	}
	w.checkReads(len(nodes))
}

// TestQuotaTogether guards against each daemon admitting the whole quota.
func TestQuotaTogether(t *testing.T) {
	w := newWorld(t)
	w.conf.Organisations = append(w.conf.Organisations, Organisation{Name: "shared", Keys: []string{"key-shared"}, Quota: quota.Limit{PerSecond: 0.1, Burst: 20}})
	w.conf.Version++
	w.configure()
	w.server("s1", "plain", signed("ok"))
	one, two := w.gateway("g1"), w.gateway("g2")
	await(t, "the daemons know each other", func() bool { return len(one.Addresses("a", "r")) == 2 && len(two.Addresses("a", "r")) == 2 })
	served := 0
	for range 30 {
		for _, n := range []*node{one, two} {
			if n.ask(t.Context(), http.MethodGet, "/safe/", "X-Key", "key-shared").status == http.StatusOK {
				served++
			}
		}
		time.Sleep(statusEvery / 4)
	}
	if served > 24 {
		t.Errorf("%d requests served under a burst of 20", served)
	}
}

// TestSafeRequestIsHedged guards against an idempotent request that waits for a server
// that does not answer while another is free.
func TestSafeRequestIsHedged(t *testing.T) {
	w := newWorld(t)
	var mute http.HandlerFunc = func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	silent := w.server("s1", "plain", mute)
	w.server("s2", "plain", signed("ok"))
	n := w.gateway("g1")
	for silent.requests() == 0 {
		if got := n.ask(t.Context(), http.MethodGet, "/safe/"); got.status != http.StatusOK {
			t.Fatalf("got %+v", got)
		}
	}
}

// TestShortTimeout guards against keeping work away from a server because the timeout
// of one route is shorter than what its requests take.
func TestShortTimeout(t *testing.T) {
	w := newWorld(t)
	w.server("s1", "model", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	n := w.gateway("g1")
	if got := n.ask(t.Context(), http.MethodPost, "/short/"); got.status != http.StatusGatewayTimeout {
		t.Fatalf("got %+v", got)
	}
	time.Sleep(2 * expireEvery)
	if server, _ := n.view.Load().table.Server("s1"); server.Suspect {
		t.Error("the server is suspected")
	}
}
