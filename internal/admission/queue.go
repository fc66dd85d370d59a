// Package admission decides which waiting request runs next and which requests
// are refused. It has no sockets, goroutines or clock: the present time is an
// argument and the caller holds the lock.
//
// Each service is a pool of its own. In a pool the most urgent rank is served first,
// except that a rank which received less than its floor of the work goes before it.
// Within a rank, organisations share by weighted fair queueing in tokens of work
// (start-time fair queueing with one tag per organisation).
package admission

import (
	"fmt"
	"math/rand/v2"
	"time"

	"apricotbridge/pkg/problem"
)

// Defaults of the fields of Queue and Organisation.
const (
	// DefaultPromptWeight is low because prompt tokens are computed in parallel.
	DefaultPromptWeight = 0.1
	// DefaultMaxQueued bounds the memory of a daemon's queue to about 6 MB.
	DefaultMaxQueued                = 20_000
	DefaultMaxQueuedPerOrganisation = 1000
	// DefaultIdleCredit is about the work of four usual requests.
	DefaultIdleCredit = 1024
	// DefaultIdleCreditTime is how long the first requests of an idle organisation
	// can delay the others. It is below the time of a usual request.
	DefaultIdleCreditTime = 2 * time.Second
	// DefaultDebtTime bounds how long an organisation can wait here because it used
	// spare capacity at other daemons.
	DefaultDebtTime   = 5 * time.Second
	DefaultStaleAfter = 10 * time.Second
)

// Rank is a level of urgency. Ranks are listed from the most to the least urgent.
type Rank struct {
	Name string
	// FirstToken is the target for the time to the first token; 0 means none.
	FirstToken time.Duration
	// Deadline is the longest wait for the first token; 0 means none.
	Deadline time.Duration
	// Floor is the share of the work that the rank keeps in a flood of other ranks.
	Floor float64
	// Worth is the value of one request served in time, in the currency of prices.
	Worth float64
}

// Organisation is a customer with its share and limits.
type Organisation struct {
	Name   string
	Weight float64
	// RequestsPerSecond is the limit over all daemons; 0 means none.
	RequestsPerSecond float64
	// MaxQueued is the limit of waiting requests at this daemon; 0 means the default.
	MaxQueued int
}

// Request holds the properties of a caller's request that decisions need.
type Request struct {
	ID           string
	Organisation string
	Rank         string
	Service      string
	PromptTokens int
	// MaxTokens is the caller's limit on generated tokens; 0 means unknown.
	MaxTokens int
	Arrived   time.Time
	// Deadline for the first token; zero means that of the rank.
	Deadline time.Time
	// Generated is the number of tokens from earlier attempts, now part of the prompt.
	Generated int
	// Attempts is the number of earlier attempts.
	Attempts int
	// Accepted is set for a request that a daemon accepted earlier. No queue bound, rate
	// limit or deadline refuses it.
	Accepted bool
}

// Decision is the outcome of Offer.
type Decision struct {
	Queued bool
	// Kind is Overloaded or DeadlineUnreachable for a refused request, and
	// Internal for an id that is already in use.
	Kind   problem.Kind
	Reason string
	// RetryAfter grows with the backlog and is spread at random over callers.
	RetryAfter time.Duration
	// Wait is the estimated time to the start of service.
	Wait time.Duration
	// Pool is the state of the service's queue on which a refusal is based.
	Pool PoolState
}

// PoolState is the state of a service's queue at one moment.
type PoolState struct {
	// Waiting and Running count the requests of all organisations and ranks.
	Waiting, Running int
	// FirstToken is the mean time from the start of service to the first token.
	FirstToken time.Duration
}

// String formats the state for the detail of a problem.
func (s PoolState) String() string {
	return fmt.Sprintf("%d waiting, %d running, first token after %v", s.Waiting, s.Running, s.FirstToken.Round(time.Millisecond))
}

// Capacity lists the services with a free slot. Between equally urgent requests the
// service listed first is served.
type Capacity struct {
	Services []string
}

// Usage is the actual usage of a request.
type Usage struct {
	ID string
	// PromptTokens is the number of prompt tokens that were computed, without
	// those found in a prefix cache.
	PromptTokens int
	// OutputTokens is the number of generated tokens.
	OutputTokens int
	// FirstToken is the time from the start of service to the first token;
	// zero means unknown.
	FirstToken time.Duration
	// Failed excludes the request from the estimates of output length.
	Failed bool
}

// Dropped is a queued request that was refused later.
type Dropped struct {
	Request    Request
	Kind       problem.Kind
	Reason     string
	RetryAfter time.Duration
	// Pool is the state of the service's queue on which the refusal is based.
	Pool PoolState
}

// Queue holds the waiting requests of one daemon. Exported fields are set
// before the first call; Configure changes ranks and organisations later.
type Queue struct {
	// Daemon is the daemon id in the reports of AppendUsage.
	Daemon        string
	Ranks         []Rank
	Organisations []Organisation
	// PromptWeight is the work of one computed prompt token in generated tokens.
	PromptWeight float64
	// MaxQueued bounds the waiting requests of all organisations.
	MaxQueued int
	// The credit of an idle organisation is at most the larger of IdleCredit, in tokens
	// of work, and the work that this daemon does in IdleCreditTime.
	IdleCredit     float64
	IdleCreditTime time.Duration
	// DebtTime limits the debt of an organisation for work at other daemons, as time at
	// the work rate of all live daemons.
	DebtTime time.Duration
	// StaleAfter is the age from which on a peer's usage no longer changes shares.
	StaleAfter time.Duration
	// Seed is the seed of the random part of RetryAfter.
	Seed uint64

	initialised    bool
	random         *rand.Rand
	orgs           []*organisation
	orgIndexes     map[string]int
	rankIndexes    map[string]int
	pools          []*pool
	poolsByService map[string]*pool
	items          map[string]*item
	freeItems      *item
	freeItemCount  int
	queued         int
	// nextDeadline is when dropAllExpired next scans the queue; zero means that no
	// waiting request has a deadline.
	nextDeadline time.Time
	// dropped lists the requests to return from Dropped.
	dropped      []Dropped
	peerCounters map[peerKey]peerCounter
	peerDaemons  map[string]peerContact
	refused      map[problem.Kind]uint64
	// recomputed counts the tokens computed again for requests passed to Return.
	recomputed uint64
}

// organisation is the state of an organisation over all services.
type organisation struct {
	Organisation
	queued int
	// queuedByRank counts waiting requests by rank.
	queuedByRank []int
	rateLimit    *RateLimit
}

// itemState is the state of a request between Offer and Done.
type itemState uint8

const (
	waiting itemState = iota + 1
	running
	// preempting is a running request that Preempt chose to stop.
	preempting
)

// item is a waiting or running request. Items are reused.
type item struct {
	request       Request
	pool          *pool
	flow          *flow
	state         itemState
	estimatedWork float64
	deadline      time.Time
	queuedAt      time.Time
	startedAt     time.Time
	// paidByCredit is set when the work was charged to the rank's floor credit.
	paidByCredit bool
	prev         *item
	next         *item
}

func (q *Queue) initialise() {
	if q.initialised {
		return
	}
	q.initialised = true
	if q.PromptWeight <= 0 {
		q.PromptWeight = DefaultPromptWeight
	}
	if q.MaxQueued <= 0 {
		q.MaxQueued = DefaultMaxQueued
	}
	if q.IdleCredit <= 0 {
		q.IdleCredit = DefaultIdleCredit
	}
	if q.IdleCreditTime <= 0 {
		q.IdleCreditTime = DefaultIdleCreditTime
	}
	if q.DebtTime <= 0 {
		q.DebtTime = DefaultDebtTime
	}
	if q.StaleAfter <= 0 {
		q.StaleAfter = DefaultStaleAfter
	}
	q.random = rand.New(rand.NewPCG(q.Seed, 0x61646d697373696f)) //nolint:gosec // Not for secrets.
	q.orgIndexes = make(map[string]int, len(q.Organisations))
	q.setRanks(q.Ranks)
	for _, o := range q.Organisations {
		q.addOrganisation(o)
	}
	q.poolsByService = make(map[string]*pool)
	q.items = make(map[string]*item)
	q.peerCounters = make(map[peerKey]peerCounter)
	q.peerDaemons = make(map[string]peerContact)
	q.refused = make(map[problem.Kind]uint64)
}

func (q *Queue) addOrganisation(o Organisation) int {
	o = withDefaults(o)
	org := &organisation{Organisation: o, queuedByRank: make([]int, len(q.Ranks))}
	org.rateLimit = NewRateLimit(o.RequestsPerSecond)
	q.orgIndexes[o.Name] = len(q.orgs)
	q.orgs = append(q.orgs, org)
	return len(q.orgs) - 1
}

func withDefaults(o Organisation) Organisation {
	if o.Weight <= 0 {
		o.Weight = 1
	}
	if o.MaxQueued <= 0 {
		o.MaxQueued = DefaultMaxQueuedPerOrganisation
	}
	return o
}

// organisationIndex returns the index of an organisation. An organisation that the
// configuration doesn't list gets the default weight and limits.
func (q *Queue) organisationIndex(name string) int {
	if i, ok := q.orgIndexes[name]; ok {
		return i
	}
	return q.addOrganisation(Organisation{Name: name})
}

// rankIndexOf returns the index of a rank; an unknown rank is the least urgent.
func (q *Queue) rankIndexOf(name string) int {
	if i, ok := q.rankIndexes[name]; ok {
		return i
	}
	return len(q.Ranks) - 1
}

// CompareRanks returns a negative number if rank a is more urgent than rank b, a positive one
// if it is less urgent, and 0 if they are the same.
func (q *Queue) CompareRanks(a, b string) int { return q.rankIndexOf(a) - q.rankIndexOf(b) }

// Offer queues a request or refuses it.
func (q *Queue) Offer(now time.Time, r Request) Decision {
	q.initialise()
	if _, ok := q.items[r.ID]; ok {
		return Decision{Kind: problem.Internal, Reason: "request id already in use"}
	}
	if r.Arrived.IsZero() {
		r.Arrived = now
	}
	orgIndex, rankIndex := q.organisationIndex(r.Organisation), q.rankIndexOf(r.Rank)
	org, p := q.orgs[orgIndex], q.poolOf(r.Service)
	work := p.estimateWork(q, rankIndex, r)
	f := p.flowOf(q, rankIndex, orgIndex)
	f.offeredRequests++
	f.offeredWork += work
	if r.Accepted {
		q.enqueue(now, r, f, work, time.Time{})
		return Decision{Queued: true}
	}
	wait := p.estimateWait(q, now, rankIndex, orgIndex)
	deadline := r.Deadline
	if deadline.IsZero() && q.Ranks[rankIndex].Deadline > 0 {
		deadline = r.Arrived.Add(q.Ranks[rankIndex].Deadline)
	}
	if !deadline.IsZero() {
		if late := now.Add(wait + p.firstToken.duration()).Sub(deadline); late > 0 {
			return q.refuse(p, now, work, problem.DeadlineUnreachable, "estimated first token after the deadline", late)
		}
	}
	if ok, after := org.rateLimit.Allow(now); !ok {
		return q.refuse(p, now, work, problem.Overloaded, "request limit of the organisation", after)
	}
	if org.queued >= org.MaxQueued && !q.displaceLowerRank(now, orgIndex, rankIndex) {
		return q.refuse(p, now, work, problem.Overloaded, "queue of the organisation is full", wait)
	}
	if q.queued >= q.MaxQueued && !q.displaceLowerRank(now, -1, rankIndex) {
		return q.refuse(p, now, work, problem.Overloaded, "queue of the daemon is full", wait)
	}
	q.enqueue(now, r, f, work, deadline)
	return Decision{Queued: true, Wait: wait}
}

// enqueue adds a request to the queue. A request accepted earlier goes to the head of
// its organisation's queue, like a request passed to Return.
func (q *Queue) enqueue(now time.Time, r Request, f *flow, work float64, deadline time.Time) {
	p := q.poolOf(r.Service)
	it := q.newItem()
	it.request, it.pool, it.estimatedWork, it.deadline, it.state = r, p, work, deadline, waiting
	it.flow, it.queuedAt = f, now
	q.items[r.ID] = it
	p.ranks[f.rank].arrivingWork.add(now, work)
	q.pushItem(it, r.Accepted)
}

// Next returns the request to run now. It always returns one while a request waits
// for a service with a free slot. Requests whose deadline passed in the queue are
// dropped and reported by Dropped.
func (q *Queue) Next(now time.Time, c Capacity) (Request, bool) {
	q.initialise()
	q.dropAllExpired(now)
	for {
		it := q.nextItem(c)
		if it == nil {
			return Request{}, false
		}
		if !it.deadline.IsZero() && now.After(it.deadline) {
			q.dropExpired(now, it)
			continue
		}
		q.startItem(now, it)
		return it.request, true
	}
}

// nextItem returns the request to serve next among the services with a free slot.
func (q *Queue) nextItem(c Capacity) *item {
	var best *item
	bestRank := 0
	for _, service := range c.Services {
		p := q.poolsByService[service]
		if p == nil || p.queued == 0 {
			continue
		}
		if r := p.pickRank(); best == nil || r < bestRank {
			best, bestRank = p.ranks[r].heap[0].head, r
		}
	}
	return best
}

func (q *Queue) startItem(now time.Time, it *item) {
	p, f := it.pool, it.flow
	q.unlinkItem(it)
	it.state, it.startedAt = running, now
	p.running++
	rq := &p.ranks[f.rank]
	f.meanWait.add(now.Sub(it.queuedAt).Seconds())
	rq.virtualTime = max(rq.virtualTime, f.startTag)
	p.chargeFlow(q, f, it.estimatedWork)
	it.paidByCredit = p.bookFloors(q, f.rank, it.estimatedWork)
}

// Done ends the service of a request and corrects the estimate of its work.
// It returns false for an id that isn't in service.
func (q *Queue) Done(now time.Time, u Usage) bool {
	q.initialise()
	it := q.items[u.ID]
	if it == nil || it.state == waiting {
		return false
	}
	q.endService(now, it, u)
	delete(q.items, u.ID)
	q.recycleItem(it)
	return true
}

// Return puts a request in service back at the head of its organisation's queue,
// after a preemption or a failure of its server. The tokens generated so far become
// part of its prompt. No bound refuses it, because it was accepted earlier.
func (q *Queue) Return(now time.Time, u Usage) bool {
	q.initialise()
	it := q.items[u.ID]
	if it == nil || it.state == waiting {
		return false
	}
	u.Failed = true
	preempted := it.state == preempting
	q.endService(now, it, u)
	if rq := &it.pool.ranks[it.flow.rank]; preempted {
		// The refunded credit would give the slot back to the rank that was preempted.
		rq.floorCredit = min(rq.floorCredit, 0)
	}
	q.recomputed += uint64(max(0, u.PromptTokens+u.OutputTokens))
	it.request.PromptTokens += u.OutputTokens
	it.request.Generated += u.OutputTokens
	it.request.Attempts++
	if it.request.MaxTokens > 0 {
		it.request.MaxTokens = max(1, it.request.MaxTokens-u.OutputTokens)
	}
	// A refusal reports the request as not run, so the deadline must not refuse it now.
	it.deadline = time.Time{}
	it.estimatedWork, it.state = it.pool.estimateWork(q, it.flow.rank, it.request), waiting
	it.queuedAt, it.paidByCredit = now, false
	q.pushItem(it, true)
	return true
}

func (q *Queue) endService(now time.Time, it *item, u Usage) {
	p := it.pool
	p.running--
	if it.state == preempting {
		p.preempting--
	}
	actual := max(1, float64(u.PromptTokens)*q.PromptWeight+float64(u.OutputTokens))
	p.chargeFlow(q, it.flow, actual-it.estimatedWork)
	p.correctFloors(q, it, actual-it.estimatedWork)
	p.updateEstimates(now, it, u, actual)
}

// Cancel removes a waiting request. It returns false for a request that isn't
// waiting; the caller stops a request in service itself and then calls Done.
func (q *Queue) Cancel(_ time.Time, id string) bool {
	q.initialise()
	it := q.items[id]
	if it == nil || it.state != waiting {
		return false
	}
	q.removeItem(it)
	return true
}

// Dropped appends the queued requests that were refused since the last call to buf.
func (q *Queue) Dropped(now time.Time, buf []Dropped) []Dropped {
	q.initialise()
	q.dropAllExpired(now)
	buf = append(buf, q.dropped...)
	clear(q.dropped)
	q.dropped = q.dropped[:0]
	return buf
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.queued }
