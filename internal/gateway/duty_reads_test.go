package gateway

import (
	"context"
	"sync"
	"testing"
	"time"

	"apricotbridge/internal/keyvalue"
	"apricotbridge/internal/lease"
)

// readCounter counts the reads of single keys.
type readCounter struct {
	*store
	mu    sync.Mutex
	reads map[string]int
}

func (s *readCounter) Get(ctx context.Context, key string) (keyvalue.Entry, error) {
	s.mu.Lock()
	s.reads[key]++
	s.mu.Unlock()
	return s.store.Get(ctx, key)
}

// takeReads returns the number of reads of a key since the last call.
func (s *readCounter) takeReads(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.reads[key]
	s.reads[key] = 0
	return n
}

// Daemons that know from a peer that it holds the duty need not read who holds it.
func TestHeldDutyIsNotReadByOthers(t *testing.T) {
	env := newTestEnv(t)
	counter := &readCounter{store: env.store, reads: map[string]int{}}
	env.gatewayStore, env.reporter = counter, discardReports{}
	var gateways []*testGateway
	for _, id := range []string{"a", "b", "c", "d"} {
		gateways = append(gateways, env.startReady(id))
	}
	held := func() bool {
		for _, gw := range gateways {
			if gw.peerHeldDutyAt.Load() == nil && !gw.holdsDuty.Load() {
				return false
			}
		}
		return true
	}
	waitFor(t, "all daemons know that the duty is held", held)
	time.Sleep(time.Second) // Those that competed for it have read the outcome.
	counter.takeReads(lease.Key(dutyName))
	time.Sleep(2 * time.Second)
	if n := counter.takeReads(lease.Key(dutyName)); n > 1 { // One may have been on its way.
		t.Errorf("the holder of the duty was read %d times in 2 s", n)
	}
}
