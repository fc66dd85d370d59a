package admission

import (
	"testing"
	"time"
)

// TestRateLimitFollowsDemand guards against daemons that exceed the limit together, also
// while peers are silent.
func TestRateLimitFollowsDemand(t *testing.T) {
	const limit = 100.0
	limits := []*RateLimit{NewRateLimit(limit), NewRateLimit(limit)}
	demand := []int{300, 100} // requests a second
	allowed := []float64{0, 0}
	for second := range 60 {
		for i, l := range limits {
			for n := range demand[i] {
				now := testStart.Add(time.Duration(second)*time.Second + time.Duration(n)*time.Second/time.Duration(demand[i]))
				ok, after := l.Allow(now)
				if ok && second >= 20 {
					allowed[i]++
				}
				if !ok && after <= 0 {
					t.Fatalf("refused without a delay")
				}
			}
		}
		if second < 40 { // No reports from then on.
			now := testStart.Add(time.Duration(second+1) * time.Second)
			limits[0].MergeDemand(now, "1", float64(demand[1]), time.Second)
			limits[1].MergeDemand(now, "0", float64(demand[0]), time.Second)
		}
	}
	if sum := (allowed[0] + allowed[1]) / 40; sum > 1.05*limit || sum < 0.95*limit {
		t.Errorf("%v requests a second over both daemons", sum)
	}
	if part := allowed[0] / (allowed[0] + allowed[1]); part < 0.7 || part > 0.8 {
		t.Errorf("the daemon with 3/4 of the demand got %v", part)
	}
	if share := limits[0].DemandShare(testStart.Add(time.Minute + peerExpiry + time.Second)); share < 0.99 {
		t.Errorf("a lost peer still counts: share %v", share)
	}
}

// TestRetryBudget guards against retries beyond their share of the requests.
func TestRetryBudget(t *testing.T) {
	b := RetryBudget{Share: 0.1, Burst: 3}
	taken := 0
	for range 1000 {
		b.RecordRequest()
		if b.TrySpend() {
			taken++
		}
	}
	if taken < 100 || taken > 103 { // The share, and the burst that it starts with.
		t.Errorf("%d retries for 1000 requests", taken)
	}
	for range 1000 {
		b.RecordRequest()
	}
	for taken = 0; b.TrySpend(); taken++ {
	}
	if taken != 3 {
		t.Errorf("%d retries from a full budget, want 3", taken)
	}
}

// TestPreempt guards against preempting when no target needs it, preempting a rank with
// floor credit, and preempting more requests than urgent ones wait.
func TestPreempt(t *testing.T) {
	for _, c := range []struct {
		name       string
		rank       string
		age        time.Duration
		withCredit bool
		remaining  time.Duration
		want       string
	}{
		{name: "late", rank: "urgent", age: 1900 * time.Millisecond, want: "warm-9"},
		{name: "in time", rank: "urgent", age: 100 * time.Millisecond},
		{name: "same rank", rank: "batch", age: time.Minute},
		{name: "rank with floor credit", rank: "urgent", age: 1900 * time.Millisecond, withCredit: true},
		{name: "about to end", rank: "urgent", age: 1900 * time.Millisecond, remaining: time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := warmQueue(t, &Queue{}, 3)
			q.Offer(testStart, testRequest("x", "a", c.rank))
			q.Offer(testStart, testRequest("y", "b", "batch"))
			q.pools[0].ranks[2].floorCredit = -1
			for _, it := range q.items {
				it.paidByCredit = true // So that the preemption refunds the rank.
			}
			if c.withCredit {
				q.pools[0].ranks[2].floorCredit = 1
			}
			running := []Running{
				{ID: "warm-8", Recompute: 50, Remaining: c.remaining},
				{ID: "warm-9", Recompute: 10, Remaining: c.remaining},
				{ID: "warm-10", Recompute: 90, Remaining: c.remaining},
				{ID: "gone"},
			}
			v, ok := q.Preempt(testStart.Add(c.age), running)
			if ok != (c.want != "") || v.ID != c.want {
				t.Fatalf("got %+v", v)
			}
			if !ok {
				return
			}
			if _, second := q.Preempt(testStart.Add(c.age), running); second {
				t.Error("two preemptions for one request")
			}
			q.Return(testStart.Add(c.age), Usage{ID: v.ID, OutputTokens: 10})
			if id := nextID(t, q, testStart.Add(c.age)); id != "x" {
				t.Errorf("the slot went to %s", id)
			}
		})
	}
}
