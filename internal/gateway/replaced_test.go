package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"apricotbridge/internal/fleet"
	"apricotbridge/internal/origin"
)

// replace ends a backend server and starts one of another version under its id and address.
func (env *testEnv) replace(old *backendServer, service, version string, answer http.HandlerFunc) *backendServer {
	env.t.Helper()
	address := strings.TrimPrefix(old.URL, "http://")
	old.CloseClientConnections()
	old.Close()
	b := &backendServer{id: old.id, version: version}
	b.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		b.mu.Lock()
		b.received = append(b.received, r.Clone(context.Background()))
		b.mu.Unlock()
		rw.Header().Set("X-Id", r.Header.Get("X-Id"))
		answer(rw, r)
	}))
	_ = b.Listener.Close() // Replaced before it is used.
	b.Listener = listen(env.t, address)
	b.Start()
	env.t.Cleanup(b.Close)
	env.store.set("servers/"+b.id, fleet.Server{
		ID: b.id, Incarnation: 2, Address: address, Service: service, Version: version, Place: "a", Slots: 8,
	})
	return b
}

// knowsIncarnation reports whether the daemon has a server's incarnation.
func (gw *testGateway) knowsIncarnation(id string, incarnation int64) bool {
	return gw.view.Load().Members[id].Incarnation == incarnation
}

// TestServerReplacedUnderItsIDDoesNotJoinVersions guards against a daemon that takes a server which started again with another version for the earlier one.
func TestServerReplacedUnderItsIDDoesNotJoinVersions(t *testing.T) {
	for _, c := range []struct {
		name string
		// before and after are called around the replacement, and caughtUp before streams that began are taken up.
		before, after, caughtUp func(env *testEnv, gw *testGateway, s *isolatedStore)
	}{
		{
			"in touch",
			func(*testEnv, *testGateway, *isolatedStore) {},
			func(*testEnv, *testGateway, *isolatedStore) {},
			func(*testEnv, *testGateway, *isolatedStore) {},
		},
		{
			"stopped, a moment after it goes on",
			func(_ *testEnv, _ *testGateway, s *isolatedStore) { s.stall() },
			func(_ *testEnv, _ *testGateway, s *isolatedStore) { s.resume() },
			func(*testEnv, *testGateway, *isolatedStore) {},
		},
		{
			"cut off",
			func(_ *testEnv, _ *testGateway, s *isolatedStore) { s.setCut(true) },
			func(*testEnv, *testGateway, *isolatedStore) {},
			func(_ *testEnv, _ *testGateway, s *isolatedStore) { s.setCut(false) },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			replaced, other := env.addVersion("s1", "model", "v1", breakingStream()), env.addVersion("s2", "model", "v1", breakingStream())
			isolated := &isolatedStore{store: env.store}
			env.gatewayStore = isolated
			gw := env.startReady("g1")
			waitFor(t, "the version is recorded", func() bool { return gw.begun.isRecorded("model", "v1") })
			for i := range 20 {
				gw.begin(t, fmt.Sprint("early", i))
			}
			early := beganAt(replaced, other)

			c.before(env, gw, isolated)
			newer := env.replace(replaced, "model", "v2", breakingStream())
			c.after(env, gw, isolated)
			for i, id := range early {
				if i%2 == 0 {
					gw.takeUp(t, id)
				} else {
					_ = gw.send(t.Context(), http.MethodPost, "/once/", "X-Id", fmt.Sprint("late", i))
				}
			}
			late := beganAt(newer)
			if n := newer.continued(); n > 0 {
				t.Errorf("%d streams of v1 went on at v2", n)
			}
			recorded := 0
			for _, id := range late {
				if version, ok := gw.begun.versionOf(time.Now(), origin.StreamOf(id)); ok && version != "v2" {
					recorded++
				}
			}
			if recorded > 0 {
				t.Errorf("%d of %d streams that began at v2 are known as of v1", recorded, len(late))
			}
			c.caughtUp(env, gw, isolated)
			waitFor(t, "the daemon knows the new server", func() bool { return gw.knowsIncarnation("s1", 2) })
			before := other.continued()
			for _, id := range late {
				gw.takeUp(t, id)
			}
			if n := other.continued() - before; n > 0 {
				t.Errorf("%d of %d streams of v2 went on at v1", n, len(late))
			}
		})
	}
}
