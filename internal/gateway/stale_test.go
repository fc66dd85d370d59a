package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"apricotbridge/internal/keyvalue"
)

// isolatedStore is the store as seen by a daemon without links to its peers. While it is stalled, calls wait.
// Those that have waited fail, unless they are executed late.
type isolatedStore struct {
	*store
	mu      sync.Mutex
	resumed chan struct{} // nil while calls are not stalled.
	late    bool          // Calls that have waited are executed.
	cut     bool          // Calls fail.
	refused string        // Writes of keys with this prefix fail, unless it is empty.
}

func (s *isolatedStore) refuse(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = prefix
}

// stall makes calls wait until resume.
func (s *isolatedStore) stall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resumed = make(chan struct{})
}

// executeLate makes calls that wait in later stalls be executed when they end.
func (s *isolatedStore) executeLate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = true
}

func (s *isolatedStore) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.resumed)
	s.resumed = nil
}

func (s *isolatedStore) setCut(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = cut
}

func (s *isolatedStore) wait(ctx context.Context) error {
	s.mu.Lock()
	resumed, late, cut := s.resumed, s.late, s.cut
	s.mu.Unlock()
	if resumed != nil {
		select {
		case <-resumed:
			if late {
				return nil
			}
			return keyvalue.ErrUnavailable
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if cut {
		return keyvalue.ErrUnavailable
	}
	return nil
}

func (s *isolatedStore) Get(ctx context.Context, key string) (keyvalue.Entry, error) {
	if err := s.wait(ctx); err != nil {
		return keyvalue.Entry{}, err
	}
	return s.store.Get(ctx, key)
}

func (s *isolatedStore) List(ctx context.Context, prefix string) ([]keyvalue.Entry, int64, error) {
	if err := s.wait(ctx); err != nil {
		return nil, 0, err
	}
	if prefix == daemonPrefix {
		return nil, 1, nil
	}
	return s.store.List(ctx, prefix)
}

func (s *isolatedStore) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]keyvalue.Entry, int64, error) {
	if prefix == daemonPrefix {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return s.store.Changes(ctx, prefix, after, wait)
}

func (s *isolatedStore) CompareAndSwap(ctx context.Context, key string, value []byte, revision int64, lease string) (keyvalue.Entry, error) {
	if err := s.wait(ctx); err != nil {
		return keyvalue.Entry{}, err
	}
	s.mu.Lock()
	refused := s.refused != "" && strings.HasPrefix(key, s.refused)
	s.mu.Unlock()
	switch {
	case refused:
		return keyvalue.Entry{}, keyvalue.ErrUnavailable
	case strings.HasPrefix(key, daemonPrefix):
		return keyvalue.Entry{Key: key, Value: value, Revision: 1}, nil
	}
	return s.store.CompareAndSwap(ctx, key, value, revision, lease)
}

// has reports whether the store has a key.
func (s *store) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	return ok && !e.Deleted
}

// beganAt returns the streams that servers have begun.
func beganAt(servers ...*backendServer) []string {
	var ids []string
	for _, s := range servers {
		for _, r := range s.requestsReceived() {
			if r.Header.Get("Last-Event-Id") == "" {
				ids = append(ids, r.Header.Get("X-Id"))
			}
		}
	}
	return ids
}

// TestStaleDaemonDoesNotJoinVersions guards against a daemon that takes the only version that it knows for that of a stream which began elsewhere during its stop or cut.
func TestStaleDaemonDoesNotJoinVersions(t *testing.T) {
	for _, c := range []struct {
		name string
		// whole means that the streams go on at the new version, once its servers are known; else they are refused.
		whole bool
		// recover is called when streams of the new version have broken off, before they are taken up.
		recover func(env *testEnv, stale *testGateway, s *isolatedStore)
	}{
		{"stopped, a moment after it goes on", true, func(_ *testEnv, _ *testGateway, s *isolatedStore) { s.resume() }},
		{"cut off", false, func(_ *testEnv, _ *testGateway, s *isolatedStore) {
			s.setCut(true)
			s.resume()
		}},
		{"stopped while the version came and left", false, func(env *testEnv, stale *testGateway, s *isolatedStore) {
			env.store.remove("servers/s3")
			env.store.remove("servers/s4")
			resumed := time.Now()
			s.resume()
			waitFor(env.t, "the daemon has read the store again", func() bool { return stale.storeReadAt.Load().After(resumed) })
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			older := []*backendServer{env.addVersion("s1", "model", "v1", breakingStream()), env.addVersion("s2", "model", "v1", breakingStream())}
			current := env.startReady("g1")
			waitFor(t, "the version is recorded", func() bool { return env.store.has(versionPrefix + "model") })
			isolated := &isolatedStore{store: env.store}
			env.gatewayStore = isolated
			stale := env.startReady("g2")
			waitFor(t, "the daemon knows one version", func() bool {
				return stale.begun.isRecorded("model", "v1") && len(stale.begun.versionsOfServices(time.Now())["model"]) == 1
			})

			isolated.stall()
			newer := []*backendServer{env.addVersion("s3", "model", "v2", breakingStream()), env.addVersion("s4", "model", "v2", breakingStream())}
			waitFor(t, "the new version takes requests", func() bool { return current.accepting("s3") && current.accepting("s4") })
			waitFor(t, "the new version is recorded", func() bool { return current.begun.isRecorded("model", "v2") })
			for i := range 40 {
				current.begin(t, fmt.Sprint("began", i))
			}
			streams := beganAt(newer...)
			if len(streams) == 0 {
				t.Fatal("no stream began at the new version")
			}
			time.Sleep(4 * streamRecordInterval)
			c.recover(env, stale, isolated)
			for _, id := range streams {
				started := time.Now()
				got := stale.takeUp(t, id)
				if took := time.Since(started); !c.whole && (got.status != http.StatusServiceUnavailable || took > 500*time.Millisecond) {
					t.Errorf("stream %s after %v: got %+v", id, took, got)
				}
				if c.whole && got.status != http.StatusOK {
					waitFor(t, "the stream is taken up", func() bool { return stale.takeUp(t, id).body == events(3, 8) })
				}
			}
			if n := older[0].continued() + older[1].continued(); n > 0 {
				t.Errorf("%d of %d streams of v2 went on at v1", n, len(streams))
			}
		})
	}
}

// TestStaleDaemonTakesStreamsUp guards against refusing streams that began elsewhere when the store has their records.
func TestStaleDaemonTakesStreamsUp(t *testing.T) {
	env := newTestEnv(t)
	env.addVersion("s1", "model", "v1", breakingStream())
	current := env.startReady("g1")
	waitFor(t, "the version is recorded", func() bool { return env.store.has(versionPrefix + "model") })
	env.gatewayStore = &isolatedStore{store: env.store}
	stale := env.startReady("g2")
	newer := env.addVersion("s2", "model", "v2", breakingStream())
	for _, gw := range []*testGateway{current, stale} {
		waitFor(t, gw.Daemon+" has the new version", func() bool { return gw.accepting("s2") && gw.begun.isRecorded("model", "v2") })
	}
	for i := range 40 {
		current.begin(t, fmt.Sprint("began", i))
	}
	time.Sleep(4 * streamRecordInterval)
	streams := beganAt(newer)
	for _, id := range streams {
		if got := stale.takeUp(t, id); got.status != http.StatusOK || got.body != events(3, 8) {
			t.Errorf("stream %s: got %+v", id, got)
		}
	}
	if n := newer.continued(); n != len(streams) {
		t.Errorf("%d of %d streams of v2 went on at v2", n, len(streams))
	}
}

// TestVersionIsRecordedBeforeItsStreamsBegin guards against streams that began at a version of which a daemon can't learn from the store.
func TestVersionIsRecordedBeforeItsStreamsBegin(t *testing.T) {
	env := newTestEnv(t)
	env.addVersion("s1", "model", "v1", breakingStream())
	env.addVersion("p1", "plain", "v1", signedAnswer("v1"))
	isolated := &isolatedStore{store: env.store}
	env.gatewayStore = isolated
	gw := env.startReady("g1")
	waitFor(t, "the versions are recorded", func() bool { return gw.begun.isRecorded("model", "v1") && gw.begun.isRecorded("plain", "v1") })
	isolated.refuse(versionPrefix)
	newer := env.addVersion("s2", "model", "v2", breakingStream())
	plain := env.addVersion("p2", "plain", "v2", signedAnswer("v2"))
	waitFor(t, "the new version takes requests", func() bool { return gw.accepting("s2") && gw.accepting("p2") })
	for i := range 20 {
		gw.begin(t, fmt.Sprint("before", i))
		if got := gw.send(t.Context(), http.MethodGet, "/safe/"); got.status != http.StatusOK {
			t.Errorf("request of a plain service: got %+v", got)
		}
	}
	if n := newer.requests(); n > 0 {
		t.Errorf("%d streams began at a version that is not recorded", n)
	}
	if plain.requests() == 0 {
		t.Error("no request without a stream was sent to the new version")
	}
	isolated.refuse("")
	waitFor(t, "streams begin at the new version", func() bool {
		gw.begin(t, fmt.Sprint("after", time.Now().UnixNano()))
		return newer.requests() > 0
	})
}
