package admission

import (
	"strconv"
	"testing"
	"time"
)

// newOfferCycle returns a function that offers one request and starts and ends another,
// in a queue with waiting work of 8 organisations in each rank.
func newOfferCycle() func() {
	q := &Queue{Ranks: testRanks, MaxQueued: 1000}
	ids, organisations := make([]string, 4096), make([]string, 8)
	for i := range ids {
		ids[i] = strconv.Itoa(i)
	}
	for i := range organisations {
		organisations[i] = "organisation-" + strconv.Itoa(i)
	}
	now, i := testStart, 0
	cycle := func() {
		i++
		now = now.Add(time.Millisecond)
		q.Offer(now, Request{
			ID: ids[i%len(ids)], Organisation: organisations[i%8], Rank: testRanks[i%3].Name, Service: "model",
			PromptTokens: 500, MaxTokens: 100 + i%100,
		})
		if i <= 800 {
			return // Keeps 800 requests waiting.
		}
		if r, ok := q.Next(now, modelCapacity); ok {
			q.Done(now.Add(time.Millisecond), Usage{ID: r.ID, PromptTokens: 500, OutputTokens: 80, FirstToken: time.Millisecond})
		}
	}
	for range 3 * len(ids) {
		cycle()
	}
	return cycle
}

func BenchmarkOfferNextDone(b *testing.B) {
	cycle := newOfferCycle()
	b.ReportAllocs()
	for b.Loop() {
		cycle()
	}
}

// TestAllocations guards against allocations for each request, which cause garbage
// collection in proportion to the load.
func TestAllocations(t *testing.T) {
	if n := testing.AllocsPerRun(10_000, newOfferCycle()); n > 0 {
		t.Errorf("%v allocations for an offer, a start and an end", n)
	}
	q := warmQueue(t, &Queue{MaxQueued: 1}, 1)
	q.Offer(testStart, testRequest("first", "a", "batch"))
	refused := testRequest("refused", "a", "batch")
	if n := testing.AllocsPerRun(10_000, func() { q.Offer(testStart, refused) }); n > 0 {
		t.Errorf("%v allocations for a refusal", n)
	}
}
