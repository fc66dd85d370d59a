package dispatch

import (
	"fmt"
	"testing"
	"time"

	"apricotbridge/internal/routing"
)

// TestRetryBudgetOfEachService guards against requests of a sound service that pay for more retries
// at a failing one than its own requests allow.
func TestRetryBudgetOfEachService(t *testing.T) {
	const requests, share, burst = 100, 0.2, 5
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	d := newDispatcher()
	d.SetRetryBudget(share, burst)
	var servers []routing.Server
	for _, service := range []string{"sound", "failing"} {
		servers = append(servers, routing.Server{ID: service, Incarnation: 1, Service: service, Slots: 10 * requests, TokensPerSecond: 100, Accepting: true})
	}
	d.SetTable(now, routing.NewTable(servers, nil))
	submit := func(id, service string) {
		w := testWork(id)
		w.Request.Service, w.Call.Service = service, service
		if p := d.Submit(now, w); p != nil {
			t.Fatal(p)
		}
		if g := <-w.Grants(); g.Problem != nil {
			t.Fatal(g.Problem)
		}
	}
	retries := 0
	for i := range requests {
		for n := range 10 {
			submit(fmt.Sprintf("sound-%d-%d", i, n), "sound")
		}
		id := fmt.Sprintf("failing-%d", i)
		submit(id, "failing")
		if p := d.Retry(now, id, NotStarted); p == nil {
			retries++
		}
	}
	if most := int(share*requests + burst); retries > most || retries < most-1 {
		t.Errorf("%d retries for %d requests, want %d", retries, requests, most)
	}
}
