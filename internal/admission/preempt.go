package admission

import "time"

// Running describes a request in service to Preempt.
type Running struct {
	ID string
	// Recompute is the number of tokens that a resume computes again.
	Recompute int
	// Remaining is the expected time until the request ends by itself; zero
	// means unknown.
	Remaining time.Duration
}

// Victim is a request that the caller stops and then passes to Return.
type Victim struct {
	ID        string
	Recompute int
	// For is the rank whose target needs the slot.
	For string
}

// Preempt chooses a request to stop for more urgent work. It chooses none
// while the urgent request still meets its first-token target by waiting for
// the next slot, and none of a rank that is owed work for its floor. Of the
// possible requests it takes the one with the lowest worth, then the one with
// the fewest tokens to recompute. The caller calls it again until it reports
// false.
func (q *Queue) Preempt(now time.Time, candidates []Running) (Victim, bool) {
	q.init()
	for _, p := range q.pools {
		urgent := p.needsSlot(q, now)
		if urgent < 0 {
			continue
		}
		var best *item
		var chosen Running
		for _, c := range candidates {
			it := q.items[c.ID]
			if it == nil || it.pool != p || it.state != running || !p.mayPreempt(q, urgent, it, c) {
				continue
			}
			if best == nil || q.lessWorth(it, c, best, chosen) {
				best, chosen = it, c
			}
		}
		if best != nil {
			best.state = preempting
			p.preempting++
			return Victim{ID: chosen.ID, Recompute: chosen.Recompute, For: q.Ranks[urgent].Name}, true
		}
	}
	return Victim{}, false
}

// needsSlot returns the rank whose oldest waiting request misses its target
// without a preemption, or -1. Slots of preemptions under way count as free.
func (p *pool) needsSlot(q *Queue, now time.Time) int {
	covered := p.preempting
	for r := range len(p.ranks) - 1 {
		rq := &p.ranks[r]
		if rq.queued == 0 || q.Ranks[r].FirstToken <= 0 {
			continue
		}
		if covered >= rq.queued {
			covered -= rq.queued
			continue
		}
		oldest := time.Duration(0)
		for _, f := range rq.heap {
			oldest = max(oldest, now.Sub(f.head.req.Arrived))
		}
		if oldest+p.releaseInterval()+p.firstToken.duration() > q.Ranks[r].FirstToken {
			return r
		}
		return -1
	}
	return -1
}

func (p *pool) mayPreempt(q *Queue, urgent int, it *item, c Running) bool {
	r := it.flow.rank
	if r <= urgent || q.Ranks[r].Worth > q.Ranks[urgent].Worth || p.ranks[r].credit > 0 {
		return false
	}
	// A request about to end frees its slot without recomputed tokens.
	return c.Remaining <= 0 || c.Remaining > p.firstToken.duration()
}

func (q *Queue) lessWorth(a *item, ra Running, b *item, rb Running) bool {
	wa, wb := q.Ranks[a.flow.rank].Worth, q.Ranks[b.flow.rank].Worth
	switch {
	case wa != wb:
		return wa < wb
	case a.flow.rank != b.flow.rank:
		return a.flow.rank > b.flow.rank
	case ra.Recompute != rb.Recompute:
		return ra.Recompute < rb.Recompute
	default:
		return ra.ID < rb.ID
	}
}

// RetryBudget bounds the system's own retries to a share of the requests. It
// starts with its burst, so that a failure right after the start is retried.
type RetryBudget struct {
	// Share of requests that may be retried.
	Share float64
	// Burst is the number of retries that can be saved.
	Burst float64
	spent float64
}

// RecordRequest adds the share of one request.
func (b *RetryBudget) RecordRequest() { b.spent = max(0, b.spent-b.Share) }

// Remaining is the number of retries that may be sent now.
func (b *RetryBudget) Remaining() float64 { return max(b.Burst-b.spent, 0) }

// TrySpend reports whether a retry may be sent, and counts it.
func (b *RetryBudget) TrySpend() bool {
	if b.spent > b.Burst-1 {
		return false
	}
	b.spent++
	return true
}
