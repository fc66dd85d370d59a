package gateway

import (
	"context"
	"sync"
	"testing"
	"time"

	"apricotbridge/internal/keyvalue"
)

// lateStore is a store whose next list of servers arrives late, after hold.
type lateStore struct {
	*store
	mu sync.Mutex
	// held is closed when a list is held back, and released to pass it on; nil while none is to be held.
	held, released chan struct{}
}

func (s *lateStore) hold() (held, released chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held, s.released = make(chan struct{}), make(chan struct{})
	return s.held, s.released
}

func (s *lateStore) List(ctx context.Context, prefix string) ([]keyvalue.Entry, int64, error) {
	list, revision, err := s.store.List(ctx, prefix)
	if prefix != "servers/" {
		return list, revision, err
	}
	s.mu.Lock()
	held, released := s.held, s.released
	s.held, s.released = nil, nil
	s.mu.Unlock()
	if held != nil {
		close(held)
		select {
		case <-released:
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
	return list, revision, err
}

// TestListThatArrivesLateDoesNotDeferTheNextRead guards against requests to servers that left while this daemon stood still with the answer of the store unread.
func TestListThatArrivesLateDoesNotDeferTheNextRead(t *testing.T) {
	env := newTestEnv(t)
	leaving := env.addServer("s1", "plain", signedAnswer("ok"))
	late := &lateStore{store: env.store}
	env.gatewayStore = late
	gw := env.startReady("g1")
	held, released := late.hold()
	<-held
	env.register(leaving, "plain", true)
	time.Sleep(2 * gw.pollInterval())
	close(released)
	goesOn := time.Now()
	waitFor(t, "the server is known to leave", func() bool { return !gw.accepting("s1") })
	// The read after it was due long ago. Such a check is made every pollCheckInterval.
	if took := time.Since(goesOn); took > gw.pollInterval()/2 {
		t.Errorf("learned of %v after the daemon went on", took)
	}
}
