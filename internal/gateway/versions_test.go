package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"apricotbridge/internal/origin"
)

// addVersion starts a backend server of a software version and registers it for a service.
func (env *testEnv) addVersion(id, service, version string, answer http.HandlerFunc) *backendServer {
	b := &backendServer{id: id, version: version}
	b.Server = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		b.mu.Lock()
		b.received = append(b.received, r.Clone(context.Background()))
		b.mu.Unlock()
		rw.Header().Set("X-Id", r.Header.Get("X-Id"))
		answer(rw, r)
	}))
	env.t.Cleanup(b.Close)
	env.register(b, service, false)
	return b
}

// breakingStream returns a handler that breaks new streams off after two of eight events, and
// finishes those that are continued.
func breakingStream() http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") == "" {
			writeStream(w, r, 2)
			closeConnection(w)
			return
		}
		writeStream(w, r, 8)
	}
}

// requestsReceived returns the requests that the server has received.
func (b *backendServer) requestsReceived() []*http.Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.received)
}

// continued returns how many requests of continued streams the server has received.
func (b *backendServer) continued() int {
	n := 0
	for _, r := range b.requestsReceived() {
		if r.Header.Get("Last-Event-Id") != "" {
			n++
		}
	}
	return n
}

// TestStreamIsNotContinuedAtAnotherVersion guards against joining events of two software versions in one answer.
func TestStreamIsNotContinuedAtAnotherVersion(t *testing.T) {
	for _, versions := range [][]string{{"v1", "v1"}, {"v1", "v2"}, {"v1", "v1", "v2", "v2"}} {
		t.Run(fmt.Sprint(versions), func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			var servers []*backendServer
			for i, v := range versions {
				servers = append(servers, env.addVersion(fmt.Sprint("s", i), "model", v, breakingStream()))
			}
			gw := env.startReady("g1")
			for range 20 {
				before := map[string]int{}
				for _, s := range servers {
					before[s.id] = s.requests()
				}
				got := gw.send(t.Context(), http.MethodPost, "/stream/")
				seen := map[string]bool{}
				for _, s := range servers {
					if s.requests() > before[s.id] {
						seen[s.version] = true
					}
				}
				if len(seen) != 1 || got.body != events(1, 8) || got.err != nil {
					t.Fatalf("versions %v served %q, error %v", seen, got.body, got.err)
				}
			}
		})
	}
}

// TestStreamWithoutServersOfItsVersionEnds guards against a stream that goes on at another version, or waits, without servers of its own.
func TestStreamWithoutServersOfItsVersionEnds(t *testing.T) {
	env := newTestEnv(t)
	left := make(chan struct{})
	older := env.addVersion("s1", "model", "v1", func(w http.ResponseWriter, r *http.Request) {
		writeStream(w, r, 2)
		<-left
		closeConnection(w)
	})
	gw := env.startReady("g1")
	var newer *backendServer
	go func() {
		defer close(left)
		waitFor(t, "the stream has begun", func() bool { return older.requests() > 0 })
		newer = env.addVersion("s2", "model", "v2", breakingStream())
		env.register(older, "model", true)
		waitFor(t, "only the new version takes requests", func() bool { return gw.accepting("s2") && !gw.accepting("s1") })
	}()
	got := gw.send(t.Context(), http.MethodPost, "/stream/")
	<-left
	if got.body != events(1, 2) || got.err == nil || newer.requests() > 0 {
		t.Errorf("got %+v after %d requests to v2, want two events and a broken connection", got, newer.requests())
	}
}

// takeUp sends the request of a caller that takes up a stream after its second event.
func (gw *testGateway) takeUp(t *testing.T, began string) reply {
	return gw.send(t.Context(), http.MethodPost, "/stream/", "Last-Event-Id", "2", "X-Resumes", began)
}

// begin sends a request with an id for a stream that is broken off after two events.
func (gw *testGateway) begin(t *testing.T, id string) {
	t.Helper()
	if got := gw.send(t.Context(), http.MethodPost, "/once/", "X-Id", id); got.body != events(1, 2) || got.err == nil {
		t.Fatalf("got %+v, want two events and a broken connection", got)
	}
}

// TestStreamIsNotTakenUpAtAnotherVersion guards against joining events of two software versions when a caller takes a stream up.
func TestStreamIsNotTakenUpAtAnotherVersion(t *testing.T) {
	for _, meshMax := range []int{0, 1} {
		t.Run(fmt.Sprint("mesh of ", meshMax), func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			older := []*backendServer{env.addVersion("s1", "model", "v1", breakingStream()), env.addVersion("s2", "model", "v1", breakingStream())}
			first, second := env.startIn("g1", "a", meshMax), env.startIn("g2", "a", meshMax)
			for _, gw := range []*testGateway{first, second} {
				waitFor(t, gw.Daemon+" is ready", gw.Ready)
				waitFor(t, gw.Daemon+" is linked", func() bool { return len(gw.hub.Peers()) == 1 })
			}
			const streams = 12
			for i := range streams {
				first.begin(t, fmt.Sprint("began", i))
			}
			newer := []*backendServer{env.addVersion("s3", "model", "v2", breakingStream()), env.addVersion("s4", "model", "v2", breakingStream())}
			for _, gw := range []*testGateway{first, second} {
				waitFor(t, gw.Daemon+" knows the new version", func() bool { return gw.accepting("s3") && gw.accepting("s4") })
			}
			for i := range streams {
				gw := []*testGateway{first, second}[i%2]
				if got := gw.takeUp(t, fmt.Sprint("began", i)); got.status != http.StatusOK || got.body != events(3, 8) {
					t.Errorf("stream %d at %s: got %+v", i, gw.Daemon, got)
				}
			}
			if n := newer[0].continued() + newer[1].continued(); n > 0 {
				t.Errorf("%d streams of v1 went on at v2", n)
			}
			for _, s := range older {
				env.store.remove("servers/" + s.id)
			}
			for _, gw := range []*testGateway{first, second} {
				waitFor(t, gw.Daemon+" knows that v1 has left", func() bool { return !gw.accepting("s1") && !gw.accepting("s2") })
				started := time.Now()
				got := gw.takeUp(t, "began0")
				if took := time.Since(started); got.status != http.StatusServiceUnavailable || took > 500*time.Millisecond {
					t.Errorf("without its version the stream was answered after %v: %+v", took, got)
				}
			}
			if n := newer[0].continued() + newer[1].continued(); n > 0 {
				t.Errorf("%d streams of v1 went on at v2 when v1 had left", n)
			}
		})
	}
}

// restartAll stops gateways and starts them again at their addresses.
func (env *testEnv) restartAll(gateways ...*testGateway) []*testGateway {
	env.t.Helper()
	var started []*testGateway
	for _, gw := range gateways {
		gw.cancel()
		err := <-gw.ended
		gw.ended <- err
	}
	for _, gw := range gateways {
		started = append(started, env.restart(gw))
	}
	for _, gw := range started {
		waitFor(env.t, gw.Daemon+" is ready again", gw.Ready)
	}
	return started
}

// TestStreamIsNotTakenUpAtAnotherVersionAfterLossOfAll guards against joining two versions, or refusing all streams, when no daemon remembers them.
func TestStreamIsNotTakenUpAtAnotherVersionAfterLossOfAll(t *testing.T) {
	for _, c := range []struct {
		name  string
		after []string // Versions of the servers after the restart, the earlier one was v1.
		whole bool
	}{
		{"the version stays", []string{"v1"}, true},
		{"another version beside it", []string{"v1", "v2"}, false},
		{"the version has just left", []string{"v2"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			first := env.addVersion("s0", "model", "v1", breakingStream())
			g1, g2 := env.startReady("g1"), env.startReady("g2")
			g1.begin(t, "began0")
			// Without a record a daemon that starts takes the present version for the only one.
			time.Sleep(2 * recordInterval)
			var newer []*backendServer
			for i, v := range c.after {
				if v != "v1" {
					newer = append(newer, env.addVersion(fmt.Sprint("s", i+1), "model", v, breakingStream()))
				}
			}
			if c.after[0] != "v1" {
				env.store.remove("servers/" + first.id)
			}
			for _, gw := range env.restartAll(g1, g2) {
				got := gw.takeUp(t, "began0")
				if whole := got.status == http.StatusOK && got.body == events(3, 8); whole != c.whole {
					t.Errorf("%s: got %+v, want whole: %v", gw.Daemon, got, c.whole)
				}
			}
			for _, s := range newer {
				if n := s.continued(); n > 0 {
					t.Errorf("%d streams went on at another version", n)
				}
			}
		})
	}
}

// TestStreamsOfTwoVersionsAreTakenUpAfterLossOfAll guards against refusing the streams of a release because all daemons were lost.
func TestStreamsOfTwoVersionsAreTakenUpAfterLossOfAll(t *testing.T) {
	env := newTestEnv(t)
	versions := map[string]string{} // Of the servers, by id.
	var servers []*backendServer
	for i, v := range []string{"v1", "v1", "v2", "v2"} {
		s := env.addVersion(fmt.Sprint("s", i), "model", v, breakingStream())
		servers, versions[s.id] = append(servers, s), v
	}
	g1, g2 := env.startReady("g1"), env.startReady("g2")
	const streams = 24
	for i := range streams {
		[]*testGateway{g1, g2}[i%2].begin(t, fmt.Sprint("began", i))
	}
	began := map[string]string{} // Versions, by stream.
	for _, s := range servers {
		for _, r := range s.requestsReceived() {
			began[r.Header.Get("X-Id")] = s.version
		}
	}
	time.Sleep(4 * streamRecordInterval)
	gateways := env.restartAll(g1, g2)
	for _, gw := range gateways {
		waitFor(t, gw.Daemon+" has read the records", func() bool {
			_, ok := gw.begun.versionOf(time.Now(), origin.StreamOf("began0"))
			return ok
		})
	}
	for i := range streams {
		stream := fmt.Sprint("began", i)
		before := map[string]int{}
		for _, s := range servers {
			before[s.id] = s.continued()
		}
		if got := gateways[(i/2)%2].takeUp(t, stream); got.status != http.StatusOK || got.body != events(3, 8) {
			t.Errorf("stream %s: got %+v", stream, got)
		}
		for _, s := range servers {
			if s.continued() > before[s.id] && versions[s.id] != began[stream] {
				t.Errorf("stream %s of %s went on at %s", stream, began[stream], versions[s.id])
			}
		}
	}
}
