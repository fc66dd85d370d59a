package admission

import (
	"container/heap"
	"time"

	"apricotbridge/pkg/problem"
)

// pool is the state of one service.
type pool struct {
	service    string
	ranks      []rankQueue
	queued     int
	running    int
	preempting int
	// work, slotTime and ended are decayed sums over finished requests; work by
	// slotTime is the rate of one slot.
	work       decayed
	slotTime   decayed
	ended      decayed
	firstToken mean
	// fill and output of all ranks stand in for a rank without samples.
	fill    mean
	output  mean
	refused windowed
}

// rankQueue is the waiting work of one rank in a pool.
type rankQueue struct {
	flows []*flow // by organisation; nil where it never asked
	heap  flowHeap
	// virtual is the largest start tag that was served.
	virtual float64
	queued  int
	work    float64
	weight  float64 // of organisations with waiting requests
	// credit is the work that the rank is owed to reach its floor.
	credit   float64
	arrivals windowed
	// fill is the mean part of MaxTokens that requests generate.
	fill   mean
	output mean
	served float64
}

// flow is the queue of one organisation in one rank of a pool.
type flow struct {
	org   int
	rank  int
	tag   float64
	index int // in the heap; -1 when nothing waits
	head  *item
	tail  *item
	count int
	work  float64
	// charged is the work started here; reported never falls, so that a peer
	// can tell a restart from a correction.
	charged  float64
	reported float64
	offered  uint64
	// offeredWork is the estimated work of all offered requests, refused ones
	// included.
	offeredWork float64
	waited      mean
}

// flowHeap orders flows with waiting requests by their tag.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }
func (h flowHeap) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].org < h[j].org
}
func (h flowHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].index, h[j].index = i, j }

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) { f := x.(*flow); f.index = len(*h); *h = append(*h, f) }

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.index = -1
	return f
}

func (q *Queue) pool(service string) *pool {
	if p, ok := q.poolOf[service]; ok {
		return p
	}
	p := &pool{service: service, ranks: make([]rankQueue, len(q.Ranks))}
	q.poolOf[service] = p
	q.pools = append(q.pools, p)
	return p
}

// credit is the work that an idle organisation saves at most.
func (p *pool) credit(q *Queue) float64 {
	return max(q.SavedCredit, p.rate()*q.CreditTime.Seconds())
}

func (p *pool) flow(q *Queue, rank, org int) *flow {
	rq := &p.ranks[rank]
	for len(rq.flows) <= org {
		rq.flows = append(rq.flows, nil)
	}
	if rq.flows[org] == nil {
		rq.flows[org] = &flow{org: org, rank: rank, index: -1, tag: rq.virtual - p.credit(q)/q.orgs[org].Weight}
	}
	return rq.flows[org]
}

// push adds a waiting item to its flow, at the head when it was served before.
func (q *Queue) push(it *item, atHead bool) {
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
	f.count++
	f.work += it.cost
	if f.count == 1 {
		// An idle organisation keeps a bounded lead over those that were served.
		f.tag = max(f.tag, rq.virtual-p.credit(q)/org.Weight)
		heap.Push(&rq.heap, f)
		rq.weight += org.Weight
	}
	rq.queued++
	rq.work += it.cost
	p.queued++
	q.queued++
	org.queued++
	org.byRank[f.rank]++
	if !it.deadline.IsZero() && (q.nextDue.IsZero() || it.deadline.Before(q.nextDue)) {
		q.nextDue = it.deadline
	}
}

// unlink takes a waiting item out of its flow.
func (q *Queue) unlink(it *item) {
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
	f.count--
	f.work -= it.cost
	rq.queued--
	rq.work -= it.cost
	p.queued--
	q.queued--
	org.queued--
	org.byRank[f.rank]--
	if f.count == 0 {
		f.work = 0 // Removes rounding errors.
		heap.Remove(&rq.heap, f.index)
		rq.weight -= org.Weight
	}
	if rq.queued == 0 {
		rq.work, rq.weight = 0, 0
		// A rank without waiting work received all it asked for.
		rq.credit = min(rq.credit, 0)
	}
}

// remove takes a waiting item out of the queue for good.
func (q *Queue) remove(it *item) {
	q.unlink(it)
	delete(q.items, it.req.ID)
	q.recycle(it)
}

func (q *Queue) drop(it *item, kind problem.Kind, reason string, after time.Duration) {
	q.dropped = append(q.dropped, Dropped{Request: it.req, Kind: kind, Reason: reason, RetryAfter: after, Pool: it.pool.state()})
	q.refused[kind]++
	q.remove(it)
}

// expireEvery limits how often the whole queue is scanned; Next checks each
// request that it returns itself.
const expireEvery = 50 * time.Millisecond

// expire drops the requests whose deadline for the first token has passed.
func (q *Queue) expire(now time.Time) {
	if q.nextDue.IsZero() || !now.After(q.nextDue) {
		return
	}
	q.nextDue = time.Time{}
	for _, p := range q.pools {
		for r := range p.ranks {
			for _, f := range p.ranks[r].flows {
				if f != nil {
					q.expireFlow(now, f)
				}
			}
		}
	}
	if earliest := now.Add(expireEvery); !q.nextDue.IsZero() && q.nextDue.Before(earliest) {
		q.nextDue = earliest
	}
}

func (q *Queue) dropExpired(now time.Time, it *item) {
	late := now.Sub(it.deadline)
	q.drop(it, problem.DeadlineUnreachable, "deadline passed in the queue", q.spread(it.pool, now, late))
}

func (q *Queue) expireFlow(now time.Time, f *flow) {
	for it := f.head; it != nil; {
		next := it.next
		if !it.deadline.IsZero() {
			if now.After(it.deadline) {
				q.dropExpired(now, it)
			} else if q.nextDue.IsZero() || it.deadline.Before(q.nextDue) {
				q.nextDue = it.deadline
			}
		}
		it = next
	}
}

// displace drops the newest request of the least urgent rank below the given
// one, so that a flood of low ranks can't fill the queue for urgent requests.
// A negative organisation means the one with the most waiting requests.
func (q *Queue) displace(now time.Time, org, rank int) bool {
	for r := len(q.Ranks) - 1; r > rank; r-- {
		victim := org
		if org < 0 {
			most := 0
			for i, o := range q.orgs {
				if o.byRank[r] > most {
					victim, most = i, o.byRank[r]
				}
			}
		}
		if victim < 0 || q.orgs[victim].byRank[r] == 0 {
			continue
		}
		for _, p := range q.pools {
			it := p.newest(r, victim)
			if it != nil && it.req.Attempts == 0 && !it.req.Accepted {
				q.drop(it, problem.Overloaded, "displaced by more urgent work", q.spread(p, now, p.wait(q, now, r, victim)))
				return true
			}
		}
	}
	return false
}

// newest returns the last waiting request of an organisation. Requests that
// were in service or accepted before wait at the head, so if it is one of them, all are.
func (p *pool) newest(rank, org int) *item {
	flows := p.ranks[rank].flows
	if org >= len(flows) || flows[org] == nil {
		return nil
	}
	return flows[org].tail
}

// pick returns the rank to serve: the one that is owed most work for its floor,
// else the most urgent one. The pool has waiting requests.
func (p *pool) pick() int {
	first, owed := -1, -1
	for r := range p.ranks {
		rq := &p.ranks[r]
		if rq.queued == 0 {
			continue
		}
		if first < 0 {
			first = r
		}
		if rq.credit > 0 && (owed < 0 || rq.credit > p.ranks[owed].credit) {
			owed = r
		}
	}
	if owed >= 0 {
		return owed
	}
	return first
}

// floorMargin makes up for the estimates of the requests in service: without
// it a rank received 0.0999 of the work with a floor of 0.1.
const floorMargin = 1.01

// settle books started work against the floors and reports whether the rank
// paid for it. Ranks with waiting requests are owed their floor of it. A rank
// that isn't owed anything doesn't pay, so that it keeps its floor in a flood
// that begins after it used spare capacity.
func (p *pool) settle(q *Queue, rank int, cost float64) bool {
	for r := range p.ranks {
		rq := &p.ranks[r]
		if rq.queued > 0 || r == rank {
			rq.credit += q.Ranks[r].Floor * floorMargin * cost
		}
	}
	rq := &p.ranks[rank]
	rq.served += cost
	if rq.credit <= 0 {
		return false
	}
	rq.credit -= cost
	return true
}

// correct books the difference between estimated and real work.
func (p *pool) correct(q *Queue, it *item, delta float64) {
	rank := it.flow.rank
	p.ranks[rank].served += delta
	for r := range p.ranks {
		rq := &p.ranks[r]
		switch {
		case r == rank && it.paid:
			rq.credit -= delta * (1 - q.Ranks[r].Floor*floorMargin)
		case r != rank && rq.queued > 0:
			rq.credit += delta * q.Ranks[r].Floor * floorMargin
		}
		if rq.queued == 0 {
			rq.credit = min(rq.credit, 0)
		}
	}
}

// charge adds work to the tag of a flow.
func (p *pool) charge(q *Queue, f *flow, work float64) {
	f.charged += work
	f.tag += work / q.orgs[f.org].Weight
	if f.index >= 0 {
		heap.Fix(&p.ranks[f.rank].heap, f.index)
	}
}

// maxFreeItems bounds the memory that is kept after a flood.
const maxFreeItems = 4096

func (q *Queue) newItem() *item {
	it := q.free
	if it == nil {
		return &item{}
	}
	q.free = it.next
	q.freeLen--
	it.next = nil
	return it
}

func (q *Queue) recycle(it *item) {
	*it = item{}
	if q.freeLen < maxFreeItems {
		it.next = q.free
		q.free = it
		q.freeLen++
	}
}
