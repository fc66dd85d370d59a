package admission

import (
	"container/heap"
	"time"

	"apricotbridge/pkg/problem"
)

// pool holds the queues and estimates of one service.
type pool struct {
	service    string
	ranks      []rankQueue
	queued     int
	running    int
	preempting int
	// endedWork, slotSeconds and endedRequests are decayed sums over ended requests;
	// endedWork/slotSeconds is the work of one slot per second.
	endedWork     sampleDecayedSum
	slotSeconds   sampleDecayedSum
	endedRequests sampleDecayedSum
	firstToken    movingMean
	// outputRatio and outputTokens over all ranks serve a rank without samples.
	outputRatio  movingMean
	outputTokens movingMean
	refusedWork  timeDecayedSum
}

// rankQueue is the waiting work of one rank in a pool.
type rankQueue struct {
	flows []*flow // by organisation; nil before its first request
	heap  flowHeap
	// virtualTime is the largest start tag that was served.
	virtualTime  float64
	queued       int
	queuedWork   float64
	queuedWeight float64 // of organisations with waiting requests
	// floorCredit is the work that the rank is owed to reach its floor.
	floorCredit  float64
	arrivingWork timeDecayedSum
	// outputRatio is the mean share of MaxTokens that requests generate.
	outputRatio  movingMean
	outputTokens movingMean
	servedWork   float64
}

// flow is the queue of one organisation in one rank of a pool.
type flow struct {
	org  int
	rank int
	// startTag is the virtual time at which the flow's next request starts.
	startTag   float64
	heapIndex  int // -1 when nothing waits
	head       *item
	tail       *item
	queued     int
	queuedWork float64
	// chargedWork is the work started here. reportedWork never falls, so that a peer
	// can distinguish a restart from a correction.
	chargedWork     float64
	reportedWork    float64
	offeredRequests uint64
	// offeredWork is the estimated work of all offered requests, refused ones included.
	offeredWork float64
	meanWait    movingMean
}

// flowHeap orders flows with waiting requests by their start tag.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }
func (h flowHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].org < h[j].org
}
func (h flowHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].heapIndex, h[j].heapIndex = i, j }

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) { f := x.(*flow); f.heapIndex = len(*h); *h = append(*h, f) }

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.heapIndex = -1
	return f
}

func (q *Queue) poolOf(service string) *pool {
	if p, ok := q.poolsByService[service]; ok {
		return p
	}
	p := &pool{service: service, ranks: make([]rankQueue, len(q.Ranks))}
	q.poolsByService[service] = p
	q.pools = append(q.pools, p)
	return p
}

// maxIdleCredit is the largest credit of an idle organisation, in tokens of work.
func (p *pool) maxIdleCredit(q *Queue) float64 {
	return max(q.IdleCredit, p.workPerSecond()*q.IdleCreditTime.Seconds())
}

func (p *pool) flowOf(q *Queue, rank, org int) *flow {
	rq := &p.ranks[rank]
	for len(rq.flows) <= org {
		rq.flows = append(rq.flows, nil)
	}
	if rq.flows[org] == nil {
		rq.flows[org] = &flow{org: org, rank: rank, heapIndex: -1, startTag: rq.virtualTime - p.maxIdleCredit(q)/q.orgs[org].Weight}
	}
	return rq.flows[org]
}

// pushItem adds a waiting item at the head or the tail of its flow.
func (q *Queue) pushItem(it *item, atHead bool) {
	p, f := it.pool, it.flow
	rq, org := &p.ranks[f.rank], q.orgs[f.org]
	switch {
	case f.head == nil:
		f.head, f.tail = it, it
	case atHead:
		it.next, f.head.prev = f.head, it
		f.head = it
	default:
		it.prev, f.tail.next = f.tail, it
		f.tail = it
	}
	f.queued++
	f.queuedWork += it.estimatedWork
	if f.queued == 1 {
		// An idle organisation keeps a bounded credit relative to those served meanwhile.
		f.startTag = max(f.startTag, rq.virtualTime-p.maxIdleCredit(q)/org.Weight)
		heap.Push(&rq.heap, f)
		rq.queuedWeight += org.Weight
	}
	rq.queued++
	rq.queuedWork += it.estimatedWork
	p.queued++
	q.queued++
	org.queued++
	org.queuedByRank[f.rank]++
	if !it.deadline.IsZero() && (q.nextDeadline.IsZero() || it.deadline.Before(q.nextDeadline)) {
		q.nextDeadline = it.deadline
	}
}

// unlinkItem removes a waiting item from its flow.
func (q *Queue) unlinkItem(it *item) {
	p, f := it.pool, it.flow
	rq, org := &p.ranks[f.rank], q.orgs[f.org]
	if it.prev != nil {
		it.prev.next = it.next
	} else {
		f.head = it.next
	}
	if it.next != nil {
		it.next.prev = it.prev
	} else {
		f.tail = it.prev
	}
	it.prev, it.next = nil, nil
	f.queued--
	f.queuedWork -= it.estimatedWork
	rq.queued--
	rq.queuedWork -= it.estimatedWork
	p.queued--
	q.queued--
	org.queued--
	org.queuedByRank[f.rank]--
	if f.queued == 0 {
		f.queuedWork = 0 // Removes rounding errors.
		heap.Remove(&rq.heap, f.heapIndex)
		rq.queuedWeight -= org.Weight
	}
	if rq.queued == 0 {
		rq.queuedWork, rq.queuedWeight = 0, 0
		// A rank without waiting work received its full demand.
		rq.floorCredit = min(rq.floorCredit, 0)
	}
}

// removeItem removes a waiting item from the queue and recycles it.
func (q *Queue) removeItem(it *item) {
	q.unlinkItem(it)
	delete(q.items, it.request.ID)
	q.recycleItem(it)
}

func (q *Queue) dropItem(it *item, kind problem.Kind, reason string, after time.Duration) {
	q.dropped = append(q.dropped, Dropped{Request: it.request, Kind: kind, Reason: reason, RetryAfter: after, Pool: it.pool.state()})
	q.refused[kind]++
	q.removeItem(it)
}

// expireInterval limits how often the whole queue is scanned. Next checks the deadline
// of each request that it returns.
const expireInterval = 50 * time.Millisecond

// dropAllExpired drops the requests whose deadline for the first token has passed.
func (q *Queue) dropAllExpired(now time.Time) {
	if q.nextDeadline.IsZero() || !now.After(q.nextDeadline) {
		return
	}
	q.nextDeadline = time.Time{}
	for _, p := range q.pools {
		for r := range p.ranks {
			for _, f := range p.ranks[r].flows {
				if f != nil {
					q.dropExpiredInFlow(now, f)
				}
			}
		}
	}
	if earliest := now.Add(expireInterval); !q.nextDeadline.IsZero() && q.nextDeadline.Before(earliest) {
		q.nextDeadline = earliest
	}
}

func (q *Queue) dropExpired(now time.Time, it *item) {
	late := now.Sub(it.deadline)
	q.dropItem(it, problem.DeadlineUnreachable, "deadline passed in the queue", q.retryAfter(it.pool, now, late))
}

func (q *Queue) dropExpiredInFlow(now time.Time, f *flow) {
	for it := f.head; it != nil; {
		next := it.next
		if !it.deadline.IsZero() {
			if now.After(it.deadline) {
				q.dropExpired(now, it)
			} else if q.nextDeadline.IsZero() || it.deadline.Before(q.nextDeadline) {
				q.nextDeadline = it.deadline
			}
		}
		it = next
	}
}

// displaceLowerRank drops the newest request of the least urgent rank below the given
// one, so that a flood of low ranks can't fill the queue for urgent requests.
// A negative organisation selects the one with the most waiting requests in that rank.
func (q *Queue) displaceLowerRank(now time.Time, org, rank int) bool {
	for r := len(q.Ranks) - 1; r > rank; r-- {
		victim := org
		if org < 0 {
			maxQueued := 0
			for i, o := range q.orgs {
				if o.queuedByRank[r] > maxQueued {
					victim, maxQueued = i, o.queuedByRank[r]
				}
			}
		}
		if victim < 0 || q.orgs[victim].queuedByRank[r] == 0 {
			continue
		}
		for _, p := range q.pools {
			it := p.newestItem(r, victim)
			if it != nil && it.request.Attempts == 0 && !it.request.Accepted {
				q.dropItem(it, problem.Overloaded, "displaced by more urgent work", q.retryAfter(p, now, p.estimateWait(q, now, r, victim)))
				return true
			}
		}
	}
	return false
}

// newestItem returns the last waiting request of an organisation. Returned and previously
// accepted requests are queued at the head: if the last request is one of them, all are.
func (p *pool) newestItem(rank, org int) *item {
	flows := p.ranks[rank].flows
	if org >= len(flows) || flows[org] == nil {
		return nil
	}
	return flows[org].tail
}

// pickRank returns the rank to serve: the one with the largest floor credit, else
// the most urgent one. The pool must have waiting requests.
func (p *pool) pickRank() int {
	mostUrgent, mostOwed := -1, -1
	for r := range p.ranks {
		rq := &p.ranks[r]
		if rq.queued == 0 {
			continue
		}
		if mostUrgent < 0 {
			mostUrgent = r
		}
		if rq.floorCredit > 0 && (mostOwed < 0 || rq.floorCredit > p.ranks[mostOwed].floorCredit) {
			mostOwed = r
		}
	}
	if mostOwed >= 0 {
		return mostOwed
	}
	return mostUrgent
}

// floorMargin compensates for the estimates of the requests in service: without
// it a rank received 0.0999 of the work with a floor of 0.1.
const floorMargin = 1.01

// bookFloors books started work in the floor credits and reports whether it was charged
// to the rank's credit. Ranks with waiting requests gain their floor of the work. A rank
// without credit isn't charged, so that it keeps its floor in a flood that begins
// after it used spare capacity.
func (p *pool) bookFloors(q *Queue, rank int, work float64) bool {
	for r := range p.ranks {
		rq := &p.ranks[r]
		if rq.queued > 0 || r == rank {
			rq.floorCredit += q.Ranks[r].Floor * floorMargin * work
		}
	}
	rq := &p.ranks[rank]
	rq.servedWork += work
	if rq.floorCredit <= 0 {
		return false
	}
	rq.floorCredit -= work
	return true
}

// correctFloors books the difference between actual and estimated work.
func (p *pool) correctFloors(q *Queue, it *item, delta float64) {
	rank := it.flow.rank
	p.ranks[rank].servedWork += delta
	for r := range p.ranks {
		rq := &p.ranks[r]
		switch {
		case r == rank && it.paidByCredit:
			rq.floorCredit -= delta * (1 - q.Ranks[r].Floor*floorMargin)
		case r != rank && rq.queued > 0:
			rq.floorCredit += delta * q.Ranks[r].Floor * floorMargin
		}
		if rq.queued == 0 {
			rq.floorCredit = min(rq.floorCredit, 0)
		}
	}
}

// chargeFlow adds work to the start tag of a flow, by the organisation's weight.
func (p *pool) chargeFlow(q *Queue, f *flow, work float64) {
	f.chargedWork += work
	f.startTag += work / q.orgs[f.org].Weight
	if f.heapIndex >= 0 {
		heap.Fix(&p.ranks[f.rank].heap, f.heapIndex)
	}
}

// maxFreeItems bounds the memory that stays allocated after a flood.
const maxFreeItems = 4096

func (q *Queue) newItem() *item {
	it := q.freeItems
	if it == nil {
		return &item{}
	}
	q.freeItems = it.next
	q.freeItemCount--
	it.next = nil
	return it
}

func (q *Queue) recycleItem(it *item) {
	*it = item{}
	if q.freeItemCount < maxFreeItems {
		it.next = q.freeItems
		q.freeItems = it
		q.freeItemCount++
	}
}
