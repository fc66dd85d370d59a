package dispatch

import (
	"fmt"
	"testing"
	"time"

	"apricotbridge/internal/routing"
	"apricotbridge/pkg/problem"
)

// limitedTable returns a table of one server with four slots that takes a limited rate.
func limitedTable(perSecond, burst float64) *routing.Table {
	return routing.NewTable([]routing.Server{{
		ID: "a", Incarnation: 1, Service: "s", Slots: 4, TokensPerSecond: 100, Accepting: true,
		RateLimit: routing.RateLimit{Limited: true, PerSecond: perSecond, Burst: burst},
	}}, nil)
}

// TestRequestsBeyondTheRateOfServersAreRefusedAtOnce guards against requests that wait until
// their deadline although the servers of their service take no more in time, and against
// granting more than the rate.
func TestRequestsBeyondTheRateOfServersAreRefusedAtOnce(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	d := newDispatcher()
	d.SetTable(now, limitedTable(1, 2))
	submit := func(at time.Time, id string, wait time.Duration) (*Work, *problem.Problem) {
		w := testWork(id)
		w.Request.Arrived, w.Request.Deadline = at, at.Add(wait)
		return w, d.Submit(at, w)
	}
	granted := func(w *Work) bool { return len(w.Grants()) == 1 }
	for _, id := range []string{"1", "2"} {
		if w, p := submit(now, id, time.Second); p != nil || !granted(w) {
			t.Errorf("request %s within the burst: problem %v", id, p)
		}
	}
	if _, p := submit(now, "hasty", 900*time.Millisecond); p == nil || p.Kind != problem.NoCapacity || p.RetryAfter < time.Second {
		t.Errorf("problem %+v, want %v with a Retry-After of 1 s or more", p, problem.NoCapacity)
	}
	third, p := submit(now, "3", 2500*time.Millisecond)
	fourth, p2 := submit(now, "4", 2500*time.Millisecond)
	if p != nil || p2 != nil {
		t.Fatal(p, p2)
	}
	if _, p := submit(now, "behind", 2500*time.Millisecond); p == nil {
		t.Error("a request waits behind two although the server takes two in its time")
	}
	d.Tick(now.Add(990 * time.Millisecond))
	if granted(third) || granted(fourth) {
		t.Error("granted before the rate allows it")
	}
	d.Tick(now.Add(1010 * time.Millisecond))
	if granted(third) == granted(fourth) {
		t.Errorf("granted after 1 s: %v and %v, want one of them", granted(third), granted(fourth))
	}
	d.SetTable(now.Add(1100*time.Millisecond), limitedTable(0, 0))
	for _, w := range []*Work{third, fourth} {
		if g := <-w.Grants(); (g.Problem == nil) != (g.Server.ID == "a") {
			t.Errorf("grant %+v", g)
		}
	}
	if _, p := submit(now.Add(1100*time.Millisecond), "excluded", time.Hour); p == nil || p.RetryAfter < noServerRetryAfter {
		t.Errorf("problem %+v of a daemon without a share", p)
	}
	d.SetTable(now.Add(1200*time.Millisecond), testTable(1))
	if w, p := submit(now.Add(1200*time.Millisecond), "free", time.Second); p != nil || !granted(w) {
		t.Errorf("after the limit: problem %v", p)
	}
}

// TestLimitedServerIsUsedBesideOthers guards against leaving a limited server's share unused,
// and against refusing requests while another server takes them.
func TestLimitedServerIsUsedBesideOthers(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	d := newDispatcher()
	d.SetTable(now, routing.NewTable([]routing.Server{
		{ID: "a", Incarnation: 1, Service: "s", Slots: 4, Accepting: true, RateLimit: routing.RateLimit{Limited: true, PerSecond: 2, Burst: 1}},
		{ID: "b", Incarnation: 1, Service: "s", Slots: 4, Accepting: true},
	}, nil))
	served := map[string]int{}
	for i := range 100 {
		at := now.Add(time.Duration(i) * 100 * time.Millisecond)
		w := testWork(fmt.Sprint(i))
		w.Request.Arrived, w.Request.Deadline = at, at.Add(time.Second)
		if p := d.Submit(at, w); p != nil {
			t.Fatal(p)
		}
		g := <-w.Grants()
		served[g.Server.ID]++
		d.Cancel(at.Add(50*time.Millisecond), w.Request.ID)
	}
	if n := served["a"]; n < 10 || n > 21 {
		t.Errorf("%d of 100 requests in 10 s at a server that takes 2 a second, want 10 to 21", n)
	}
}
