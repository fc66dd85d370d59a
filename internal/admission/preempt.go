package admission

import "time"

// Running is a request in service that Preempt may choose to stop.
type Running struct {
	ID string
	// Recompute is the number of tokens to compute again when the request resumes.
	Recompute int
	// Remaining is the expected time until the request finishes; zero means unknown.
	Remaining time.Duration
}

// Victim is a request that the caller has to stop and then pass to Return.
type Victim struct {
	ID        string
	Recompute int
	// ForRank is the rank that needs the slot to meet its first-token target.
	ForRank string
}

// Preempt chooses a request to stop for more urgent work. It chooses none
// while the urgent request still meets its first-token target by waiting for
// the next slot, and none of a rank with floor credit. Among the possible victims it
// prefers the lowest worth, then the fewest tokens to recompute. The caller repeats
// the call until it returns false.
func (q *Queue) Preempt(now time.Time, candidates []Running) (Victim, bool) {
	q.initialise()
	for _, p := range q.pools {
		urgent := p.rankNeedingSlot(q, now)
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
			if best == nil || q.isBetterVictim(it, c, best, chosen) {
				best, chosen = it, c
			}
		}
		if best != nil {
			best.state = preempting
			p.preempting++
			return Victim{ID: chosen.ID, Recompute: chosen.Recompute, ForRank: q.Ranks[urgent].Name}, true
		}
	}
	return Victim{}, false
}

// rankNeedingSlot returns the rank whose oldest waiting request misses its target
// without a preemption, or -1. Slots of preemptions under way count as free.
func (p *pool) rankNeedingSlot(q *Queue, now time.Time) int {
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
			oldest = max(oldest, now.Sub(f.head.request.Arrived))
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
	if r <= urgent || q.Ranks[r].Worth > q.Ranks[urgent].Worth || p.ranks[r].floorCredit > 0 {
		return false
	}
	// A request that is about to end frees its slot without recomputed tokens.
	return c.Remaining <= 0 || c.Remaining > p.firstToken.duration()
}

func (q *Queue) isBetterVictim(a *item, runningA Running, b *item, runningB Running) bool {
	worthA, worthB := q.Ranks[a.flow.rank].Worth, q.Ranks[b.flow.rank].Worth
	switch {
	case worthA != worthB:
		return worthA < worthB
	case a.flow.rank != b.flow.rank:
		return a.flow.rank > b.flow.rank
	case runningA.Recompute != runningB.Recompute:
		return runningA.Recompute < runningB.Recompute
	default:
		return runningA.ID < runningB.ID
	}
}

// RetryBudget limits the system's own retries to a share of the requests. It
// starts with its full burst, so that a failure right after the start is retried.
type RetryBudget struct {
	// Share is the share of requests that may be retried.
	Share float64
	// Burst is the largest number of unused retries.
	Burst float64
	spent float64
}

// RecordRequest adds the share of one request to the budget.
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
