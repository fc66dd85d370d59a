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
	"apricotbridge/internal/origin"
)

// isolatedStore is the store as seen by a daemon without links to its peers. While it is stalled, calls wait,
// and those that have waited fail.
type isolatedStore struct {
	*store
	mu      sync.Mutex
	resumed chan struct{} // nil while calls are not stalled.
	cut     bool          // Calls fail.
}

// stall makes calls wait until resume.
func (s *isolatedStore) stall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resumed = make(chan struct{})
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
	resumed, cut := s.resumed, s.cut
	s.mu.Unlock()
	if resumed != nil {
		select {
		case <-resumed:
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
	if strings.HasPrefix(key, daemonPrefix) {
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
		// recover is called when streams of the new version have broken off, before they are taken up.
		recover func(env *testEnv, stale *testGateway, s *isolatedStore)
	}{
		{"stopped, a moment after it goes on", func(_ *testEnv, _ *testGateway, s *isolatedStore) { s.resume() }},
		{"cut off", func(_ *testEnv, _ *testGateway, s *isolatedStore) {
			s.setCut(true)
			s.resume()
		}},
		{"stopped while the version came and left", func(env *testEnv, stale *testGateway, s *isolatedStore) {
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
			waitFor(t, "a stream that is not known has a version", func() bool {
				_, basis := stale.begun.versionOf(time.Now(), origin.StreamOf("other"), "model")
				return basis == basisOnlyVersion
			})

			isolated.stall()
			newer := []*backendServer{env.addVersion("s3", "model", "v2", breakingStream()), env.addVersion("s4", "model", "v2", breakingStream())}
			waitFor(t, "the new version takes requests", func() bool { return current.accepting("s3") && current.accepting("s4") })
			time.Sleep(2 * recordInterval) // The versions are recorded.
			for i := range 40 {
				current.begin(t, fmt.Sprint("began", i))
			}
			streams := beganAt(newer...)
			if len(streams) == 0 {
				t.Fatal("no stream began at the new version")
			}
			c.recover(env, stale, isolated)
			for _, id := range streams {
				if got := stale.takeUp(t, id); got.status != http.StatusOK && got.status != http.StatusServiceUnavailable {
					t.Errorf("stream %s: got %+v", id, got)
				}
			}
			if n := older[0].continued() + older[1].continued(); n > 0 {
				t.Errorf("%d of %d streams of v2 went on at v1", n, len(streams))
			}
		})
	}
}
