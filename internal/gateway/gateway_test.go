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

// TestPassThrough guards against changes to a request or an answer on its way.
func TestPassThrough(t *testing.T) {
	env := newTestEnv(t)
	b := env.addServer("s1", "plain", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("X-Signature", "s")
		rw.Header().Set("X-Other", "kept")
		rw.WriteHeader(http.StatusCreated)
		_, _ = rw.Write([]byte("made"))
	})
	gw := env.startReady("g1")
	got := gw.send(t.Context(), http.MethodPost, "/unsafe/a%2Fb?c=d", "X-Extra", "e", "X-Deadline", "2000", "X-Organisation", "forged")
	if got.err != nil || got.status != http.StatusCreated || got.body != "made" || got.header.Get("X-Other") != "kept" {
		t.Fatalf("got %+v", got)
	}
	r := b.received[0]
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

// TestRefusals guards against forwarding requests that must be refused, and against
// refusals without a Retry-After.
func TestRefusals(t *testing.T) {
	env := newTestEnv(t)
	b := env.addServer("s1", "plain", signedAnswer("ok"))
	gw := env.startReady("g1")
	for _, c := range []struct {
		name, path     string
		header         []string
		status         int
		wantRetryAfter bool
	}{
		{"unknown key", "/safe/", []string{"X-Key", "wrong"}, http.StatusUnauthorized, false},
		{"no key", "/safe/", []string{"X-Key", ""}, http.StatusUnauthorized, false},
		{"no route", "/none/", nil, http.StatusNotFound, false},
		{"no id", "/safe/", []string{"X-Id", ""}, http.StatusBadRequest, false},
		{"no server", "/stream/", nil, http.StatusServiceUnavailable, true},
		{"over quota", "/safe/", []string{"X-Key", "key-limited", "X-Tokens", "20"}, http.StatusOK, false},
		{"over quota again", "/safe/", []string{"X-Key", "key-limited", "X-Tokens", "20"}, http.StatusTooManyRequests, true},
	} {
		got := gw.send(t.Context(), http.MethodGet, c.path, c.header...)
		if got.err != nil || got.status != c.status {
			t.Errorf("%s: got %+v, want status %d", c.name, got, c.status)
		}
		if after := got.header.Get("Retry-After"); (after != "") != c.wantRetryAfter {
			t.Errorf("%s: Retry-After is %q", c.name, after)
		}
	}
	if b.requests() != 1 {
		t.Errorf("the server got %d requests, want 1", b.requests())
	}
}

// TestUnknownConfiguration guards against a daemon that answers 401 or 404, or reports
// itself ready, before it has a configuration.
func TestUnknownConfiguration(t *testing.T) {
	env := newTestEnv(t)
	env.store.setFailures(true, false)
	gw := env.start("g1")
	waitFor(t, "listener answers", func() bool { return gw.send(t.Context(), http.MethodGet, "/safe/").err == nil })
	if got := gw.send(t.Context(), http.MethodGet, "/safe/"); got.status != http.StatusServiceUnavailable || gw.Ready() {
		t.Errorf("got %+v, ready %v", got, gw.Ready())
	}
	env.addServer("s1", "plain", signedAnswer("ok"))
	env.store.setFailures(false, false)
	waitFor(t, "ready once the store answers", gw.Ready)
	if got := gw.send(t.Context(), http.MethodGet, "/safe/"); got.status != http.StatusOK {
		t.Errorf("got %+v", got)
	}
}

// TestRepeat guards against running a request twice that must run at most once, and
// against not retrying one that may be repeated.
func TestRepeat(t *testing.T) {
	notRun := func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("X-Not-Run", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
	broken := func(rw http.ResponseWriter, _ *http.Request) { closeConnection(rw) }
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
			env := newTestEnv(t)
			bad := env.addServer("bad", "plain", c.bad)
			gw := env.startReady("g1")
			good := env.addServer("good", "plain", signedAnswer("ok"))
			// The good server joins after the gateway has started with the bad one.
			env.store.remove("servers/good")
			done := make(chan reply, 1)
			env.register(good, "plain", false)
			waitFor(t, "the daemon has both servers", func() bool { return len(gw.view.Load().Members) == 2 })
			for bad.requests() == 0 {
				if c.runs == 0 || good.requests() < 50 {
					go func() { done <- gw.send(t.Context(), http.MethodPost, c.path) }()
				}
				got := <-done
				if bad.requests() == 0 {
					continue
				}
				if got.err != nil || got.status != c.status {
					t.Errorf("got %+v, want status %d", got, c.status)
				}
			}
			id := bad.received[0].Header.Get("X-Id")
			runs := 0
			good.mu.Lock()
			for _, r := range good.received {
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

// TestStream guards against events that are delayed, truncated or joined wrongly.
func TestStream(t *testing.T) {
	env := newTestEnv(t)
	env.addServer("s1", "model", func(rw http.ResponseWriter, r *http.Request) { writeStream(rw, r, 20) })
	gw := env.startReady("g1")
	got := gw.send(t.Context(), http.MethodPost, "/stream/")
	if got.err != nil || got.status != http.StatusOK || got.body != events(1, 20) || got.header.Get("X-Signature") != "s" {
		t.Errorf("got %+v", got)
	}
	got = gw.send(t.Context(), http.MethodPost, "/stream/", "Last-Event-Id", "15")
	if got.err != nil || got.body != events(16, 20) {
		t.Errorf("resumed by the caller: %+v", got)
	}
}

// TestResume guards against a broken stream that is not resumed on another server, or is
// resumed with a missing, repeated or incomplete event.
func TestResume(t *testing.T) {
	env := newTestEnv(t)
	breaks := func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") != "" {
			writeStream(rw, r, 9)
			return
		}
		writeStream(rw, r, 4)
		_, _ = rw.Write([]byte("id: 5\ndata: ha"))
		closeConnection(rw)
	}
	one, two := env.addServer("s1", "model", breaks), env.addServer("s2", "model", breaks)
	gw := env.startReady("g1")
	got := gw.send(t.Context(), http.MethodPost, "/stream/")
	if got.err != nil || got.body != events(1, 9) {
		t.Errorf("got %q, error %v", got.body, got.err)
	}
	if one.requests() != 1 || two.requests() != 1 {
		t.Errorf("servers got %d and %d requests", one.requests(), two.requests())
	}
}

// TestBrokenStream guards against running a stream again that may not be resumed, and
// against a broken stream that looks complete.
func TestBrokenStream(t *testing.T) {
	env := newTestEnv(t)
	b := env.addServer("s1", "model", func(rw http.ResponseWriter, r *http.Request) {
		writeStream(rw, r, 4)
		closeConnection(rw)
	})
	gw := env.startReady("g1")
	got := gw.send(t.Context(), http.MethodPost, "/once/")
	if got.err == nil || got.body != events(1, 4) {
		t.Errorf("a broken stream looks complete: %+v", got)
	}
	if b.requests() != 1 {
		t.Errorf("the server got %d requests", b.requests())
	}
}

// TestWrongEvent guards against joining a resumed stream that does not continue after the
// last event.
func TestWrongEvent(t *testing.T) {
	env := newTestEnv(t)
	wrong := func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") != "" {
			r.Header.Set("Last-Event-Id", "6")
			writeStream(rw, r, 9)
			return
		}
		writeStream(rw, r, 4)
		closeConnection(rw)
	}
	env.addServer("s1", "model", wrong)
	env.addServer("s2", "model", wrong)
	got := env.startReady("g1").send(t.Context(), http.MethodPost, "/stream/")
	if got.err == nil || got.body != events(1, 4) {
		t.Errorf("got %+v", got)
	}
}

// TestTimeout guards against holding a request past its route's timeout, and against a
// stream that looks complete after it.
func TestTimeout(t *testing.T) {
	env := newTestEnv(t)
	handlerEnded := make(chan struct{}, 1)
	env.addServer("s1", "model", func(rw http.ResponseWriter, r *http.Request) {
		writeStream(rw, r, 2)
		<-r.Context().Done()
		handlerEnded <- struct{}{}
	})
	gw := env.startReady("g1")
	begun := time.Now()
	got := gw.send(t.Context(), http.MethodPost, "/short/")
	if got.err == nil || got.body != events(1, 2) {
		t.Errorf("got %+v", got)
	}
	if took := time.Since(begun); took < 300*time.Millisecond {
		t.Errorf("ended after %v, the timeout is 400 ms", took)
	}
	select {
	case <-handlerEnded:
	case <-time.After(5 * time.Second):
		t.Error("the server keeps working")
	}
}

// TestCallerLeaves guards against a server that keeps working after the caller has
// disconnected.
func TestCallerLeaves(t *testing.T) {
	env := newTestEnv(t)
	handlerStarted, handlerEnded := make(chan struct{}, 1), make(chan struct{}, 1)
	env.addServer("s1", "plain", func(_ http.ResponseWriter, r *http.Request) {
		handlerStarted <- struct{}{}
		<-r.Context().Done()
		handlerEnded <- struct{}{}
	})
	gw := env.startReady("g1")
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan reply, 1)
	go func() { ended <- gw.send(ctx, http.MethodGet, "/safe/") }()
	<-handlerStarted
	cancel()
	<-ended
	select {
	case <-handlerEnded:
	case <-time.After(5 * time.Second):
		t.Error("the server keeps working")
	}
	waitFor(t, "nothing is in flight", func() bool { return gw.inFlight.Load() == 0 })
}

// TestEndOfDaemon guards against completing a truncated answer when the daemon stops: if
// the handler of a cancelled request returns, the HTTP server writes the end of the
// answer.
func TestEndOfDaemon(t *testing.T) {
	env := newTestEnv(t)
	begun := make(chan struct{}, 1)
	env.addServer("s1", "model", func(rw http.ResponseWriter, r *http.Request) {
		writeStream(rw, r, 2)
		begun <- struct{}{}
		<-r.Context().Done()
	})
	gw := env.startReady("g1")
	// Cancel the requests' context before the listener is closed, as Run does.
	ctx, cancel := context.WithCancel(t.Context())
	server := httptest.NewUnstartedServer(http.HandlerFunc(gw.serve))
	server.Config.BaseContext = func(net.Listener) context.Context { return ctx }
	server.Start()
	defer server.Close()
	gw.CallerAddress = server.Listener.Addr().String()
	ended := make(chan reply, 1)
	go func() { ended <- gw.send(t.Context(), http.MethodPost, "/once/") }()
	<-begun
	cancel()
	if got := <-ended; got.err == nil {
		t.Errorf("a stream that was cut looks complete: %+v", got)
	}
}

// TestDrain guards against a drain that interrupts requests, accepts streams that can't
// end in time, or keeps returning the daemon's address to callers.
func TestDrain(t *testing.T) {
	env := newTestEnv(t)
	begun, release := make(chan struct{}, 1), make(chan struct{})
	env.addServer("s1", "model", func(rw http.ResponseWriter, r *http.Request) {
		writeStream(rw, r, 2)
		begun <- struct{}{}
		<-release
		r.Header.Set("Last-Event-Id", "2")
		writeStream(rw, r, 4)
	})
	env.addServer("s2", "plain", signedAnswer("ok"))
	gw, other := env.startReady("g1"), env.startReady("g2")
	waitFor(t, "callers are given both daemons", func() bool { return len(other.Addresses("a", "r")) == 2 && len(gw.Addresses("a", "r")) == 2 })
	ended := make(chan reply, 1)
	go func() { ended <- gw.send(t.Context(), http.MethodPost, "/once/") }()
	<-begun
	drained := make(chan struct{})
	go func() {
		gw.Drain(t.Context())
		close(drained)
	}()
	waitFor(t, "callers are no longer given the daemon", func() bool {
		return len(other.Addresses("a", "r")) == 1 && len(gw.Addresses("a", "r")) == 1 && !gw.Ready()
	})
	got := gw.send(t.Context(), http.MethodGet, "/safe/")
	if got.status != http.StatusOK || !got.closesConnection {
		t.Errorf("during the drain: %+v", got)
	}
	close(release)
	if got := <-ended; got.err != nil || got.body != events(1, 4) {
		t.Errorf("a request in flight: %+v", got)
	}
	<-drained
}

// TestLeavingServer guards against sending new work to a leaving server.
func TestLeavingServer(t *testing.T) {
	env := newTestEnv(t)
	leaving, staying := env.addServer("s1", "plain", signedAnswer("ok")), env.addServer("s2", "plain", signedAnswer("ok"))
	gw := env.startReady("g1")
	env.register(leaving, "plain", true)
	waitFor(t, "the server is marked as leaving", func() bool {
		m := gw.view.Load().Members["s1"]
		return !m.Accepting()
	})
	before := leaving.requests()
	for range 20 {
		if got := gw.send(t.Context(), http.MethodGet, "/safe/"); got.status != http.StatusOK {
			t.Fatalf("got %+v", got)
		}
	}
	if leaving.requests() != before || staying.requests() != 20 {
		t.Errorf("the leaving server got %d requests, the other %d", leaving.requests(), staying.requests())
	}
}

// TestConfigurationWithoutWatch guards against daemons that miss a configuration while
// the store's watches return nothing, and against going back to an older one.
func TestConfigurationWithoutWatch(t *testing.T) {
	env := newTestEnv(t)
	env.addServer("s1", "plain", signedAnswer("ok"))
	one, two := env.startReady("g1"), env.startReady("g2")
	env.store.setFailures(false, true)
	env.configuration.Version = 5
	env.configuration.Organisations = []Organisation{{Name: "new", Keys: []string{"key-new"}}}
	env.configure()
	for _, gw := range []*testGateway{one, two} {
		waitFor(t, "configuration 5", func() bool { return gw.view.Load().Configuration().Version == 5 })
		if got := gw.send(t.Context(), http.MethodGet, "/safe/", "X-Key", "key-new"); got.status != http.StatusOK {
			t.Errorf("the new key: %+v", got)
		}
		if got := gw.send(t.Context(), http.MethodGet, "/safe/"); got.status != http.StatusUnauthorized {
			t.Errorf("the key that was removed: %+v", got)
		}
	}
	env.configuration.Version = 4
	env.configure()
	time.Sleep(2 * one.pollInterval())
	if v := one.view.Load().Configuration().Version; v != 5 {
		t.Errorf("went back to configuration %d", v)
	}
}

// TestOnePolls guards against every daemon reading the store.
func TestOnePolls(t *testing.T) {
	env := newTestEnv(t)
	env.addServer("s1", "plain", signedAnswer("ok"))
	gateways := []*testGateway{env.startReady("g1"), env.startReady("g2"), env.startReady("g3"), env.startReady("g4")}
	for _, gw := range gateways {
		waitFor(t, "all daemons are connected", func() bool { return len(gw.Addresses("a", "r")) == 4 })
	}
	env.checkStoreReads(len(gateways))
}

// TestQuotaTogether guards against each daemon admitting the whole quota.
func TestQuotaTogether(t *testing.T) {
	env := newTestEnv(t)
	env.configuration.Organisations = append(env.configuration.Organisations, Organisation{Name: "shared", Keys: []string{"key-shared"}, Quota: quota.Limit{PerSecond: 0.1, Burst: 20}})
	env.configuration.Version++
	env.configure()
	env.addServer("s1", "plain", signedAnswer("ok"))
	one, two := env.startReady("g1"), env.startReady("g2")
	waitFor(t, "the daemons are connected", func() bool { return len(one.Addresses("a", "r")) == 2 && len(two.Addresses("a", "r")) == 2 })
	served := 0
	for range 30 {
		for _, gw := range []*testGateway{one, two} {
			if gw.send(t.Context(), http.MethodGet, "/safe/", "X-Key", "key-shared").status == http.StatusOK {
				served++
			}
		}
		time.Sleep(statusInterval / 4)
	}
	if served > 24 {
		t.Errorf("%d requests served under a burst of 20", served)
	}
}

// TestSafeRequestIsRetriedElsewhere guards against an idempotent request that keeps
// waiting for a silent server while another is free.
func TestSafeRequestIsRetriedElsewhere(t *testing.T) {
	env := newTestEnv(t)
	var mute http.HandlerFunc = func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	silent := env.addServer("s1", "plain", mute)
	env.addServer("s2", "plain", signedAnswer("ok"))
	gw := env.startReady("g1")
	for silent.requests() == 0 {
		if got := gw.send(t.Context(), http.MethodGet, "/safe/"); got.status != http.StatusOK {
			t.Fatalf("got %+v", got)
		}
	}
}

// TestShortTimeout guards against suspecting a server because the timeout of one route is
// shorter than what its requests take.
func TestShortTimeout(t *testing.T) {
	env := newTestEnv(t)
	env.addServer("s1", "model", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	gw := env.startReady("g1")
	if got := gw.send(t.Context(), http.MethodPost, "/short/"); got.status != http.StatusGatewayTimeout {
		t.Fatalf("got %+v", got)
	}
	time.Sleep(2 * expireInterval)
	if server, _ := gw.view.Load().table.Server("s1"); server.Suspect {
		t.Error("the server is suspected")
	}
}
