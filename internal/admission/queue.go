// Package admission decides which waiting request runs next and which requests
// are refused. It has no sockets, goroutines or clock: the present time is an
// argument and the caller holds the lock.
//
// Each service is a pool of its own. In a pool the most urgent rank goes first,
// except that a rank that received less than its floor of the work goes before
// it. Within a rank, organisations share by weighted fair queueing in tokens of
// work (start-time fair queueing with one tag per organisation).
package admission

import (
	"fmt"
	"math/rand/v2"
	"time"

	"apricotbridge/pkg/problem"
)

// Defaults of the exported fields of Queue.
const (
	// DefaultPromptWeight is low because prompt tokens are computed in parallel.
	DefaultPromptWeight = 0.1
	// DefaultMaxQueued bounds the memory of a daemon's queue to about 6 MB.
	DefaultMaxQueued       = 20_000
	DefaultOrganisationMax = 1000
	// DefaultSavedCredit is about the work of four usual requests.
	DefaultSavedCredit = 1024
	// DefaultCreditTime is how long the first requests of an organisation that
	// was idle can delay the others, which is below the time of a usual request.
	DefaultCreditTime = 2 * time.Second
	// DefaultDebtTime bounds for how long spare capacity that an organisation
	// used at other daemons can hold it back here.
	DefaultDebtTime   = 5 * time.Second
	DefaultStaleAfter = 10 * time.Second
)

// Rank is a level of urgency. Ranks are listed the most urgent first.
type Rank struct {
	Name       string
	FirstToken time.Duration
	// Deadline is the longest wait for the first token; 0 means none.
	Deadline time.Duration
	// Floor is the share of the work that the rank keeps while others flood.
	Floor float64
	// Worth of one request served in time, in the currency of prices.
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

// Request is what the decision needs to know of a caller's request.
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
	// Generated is how many tokens of earlier attempts are part of the prompt.
	Generated int
	// Attempts is how often the request was in service before.
	Attempts int
	// Accepted says that a daemon accepted the request before, so that no bound,
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
	// RetryAfter is derived from the backlog and spread over callers.
	RetryAfter time.Duration
	// Wait is the estimated time to the start of service.
	Wait time.Duration
	// Pool is what a refusal was decided by.
	Pool PoolState
}

// PoolState is the state of a service's queue at one moment.
type PoolState struct {
	// Waiting and Running are the requests of all organisations and ranks.
	Waiting, Running int
	// FirstToken is the mean time from the start of service to the first token.
	FirstToken time.Duration
}

// String returns the state for the detail of a problem.
func (s PoolState) String() string {
	return fmt.Sprintf("%d waiting, %d running, first token after %v", s.Waiting, s.Running, s.FirstToken.Round(time.Millisecond))
}

// Capacity says which services have a free slot, in the order of preference
// between equally urgent requests.
type Capacity struct {
	Services []string
}

// Usage is what a request really used.
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
	// Failed excludes the request from the estimates of length.
	Failed bool
}

// Dropped is a queued request that is refused after all.
type Dropped struct {
	Request    Request
	Kind       problem.Kind
	Reason     string
	RetryAfter time.Duration
	// Pool is what the refusal was decided by.
	Pool PoolState
}

// Queue holds the waiting requests of one daemon. Exported fields are set
// before the first call; Configure changes ranks and organisations later.
type Queue struct {
	// Daemon is the id that Counters reports.
	Daemon        string
	Ranks         []Rank
	Organisations []Organisation
	// PromptWeight is the work of one computed prompt token relative to one
	// generated token.
	PromptWeight float64
	// MaxQueued bounds the waiting requests of all organisations.
	MaxQueued int
	// An idle organisation saves at most the larger of SavedCredit, in tokens of
	// work, and the work that this daemon does in CreditTime.
	SavedCredit float64
	CreditTime  time.Duration
	// DebtTime bounds the charge for work at other daemons, as time at this
	// daemon's rate.
	DebtTime time.Duration
	// StaleAfter is the age at which usage of a peer no longer changes shares.
	StaleAfter time.Duration
	// Seed of the spread of RetryAfter.
	Seed uint64

	ready    bool
	random   *rand.Rand
	orgs     []*organisation
	orgIndex map[string]int
	rankOf   map[string]int
	pools    []*pool
	poolOf   map[string]*pool
	items    map[string]*item
	free     *item
	freeLen  int
	queued   int
	nextDue  time.Time
	dropped  []Dropped
	peers    map[peerKey]peerCount
	daemons  map[string]heard
	refused  map[problem.Kind]uint64
	// recomputed counts tokens computed again for requests that were returned.
	recomputed uint64
}

// organisation is the state of an organisation over all services.
type organisation struct {
	Organisation
	queued int
	// byRank counts waiting requests by rank.
	byRank []int
	limit  *RateLimit
}

// itemState says where a request is.
type itemState uint8

const (
	waiting itemState = iota + 1
	running
	// preempting is a running request that the caller was told to stop.
	preempting
)

// item is one request in the queue or in service. Items are reused.
type item struct {
	req      Request
	pool     *pool
	flow     *flow
	state    itemState
	cost     float64
	deadline time.Time
	queuedAt time.Time
	started  time.Time
	// paid says that the rank's credit paid for the work.
	paid bool
	prev *item
	next *item
}

func (q *Queue) init() {
	if q.ready {
		return
	}
	q.ready = true
	if q.PromptWeight <= 0 {
		q.PromptWeight = DefaultPromptWeight
	}
	if q.MaxQueued <= 0 {
		q.MaxQueued = DefaultMaxQueued
	}
	if q.SavedCredit <= 0 {
		q.SavedCredit = DefaultSavedCredit
	}
	if q.CreditTime <= 0 {
		q.CreditTime = DefaultCreditTime
	}
	if q.DebtTime <= 0 {
		q.DebtTime = DefaultDebtTime
	}
	if q.StaleAfter <= 0 {
		q.StaleAfter = DefaultStaleAfter
	}
	q.random = rand.New(rand.NewPCG(q.Seed, 0x61646d697373696f)) //nolint:gosec // Not for secrets.
	q.orgIndex = make(map[string]int, len(q.Organisations))
	q.setRanks(q.Ranks)
	for _, o := range q.Organisations {
		q.addOrganisation(o)
	}
	q.poolOf = make(map[string]*pool)
	q.items = make(map[string]*item)
	q.peers = make(map[peerKey]peerCount)
	q.daemons = make(map[string]heard)
	q.refused = make(map[problem.Kind]uint64)
}

func (q *Queue) addOrganisation(o Organisation) int {
	o = withDefaults(o)
	org := &organisation{Organisation: o, byRank: make([]int, len(q.Ranks))}
	org.limit = NewRateLimit(o.RequestsPerSecond)
	q.orgIndex[o.Name] = len(q.orgs)
	q.orgs = append(q.orgs, org)
	return len(q.orgs) - 1
}

func withDefaults(o Organisation) Organisation {
	if o.Weight <= 0 {
		o.Weight = 1
	}
	if o.MaxQueued <= 0 {
		o.MaxQueued = DefaultOrganisationMax
	}
	return o
}

// organisation returns the index of an organisation; one that the
// configuration doesn't name has the default weight and limits.
func (q *Queue) organisation(name string) int {
	if i, ok := q.orgIndex[name]; ok {
		return i
	}
	return q.addOrganisation(Organisation{Name: name})
}

// rank returns the index of a rank; an unknown one is the least urgent.
func (q *Queue) rank(name string) int {
	if i, ok := q.rankOf[name]; ok {
		return i
	}
	return len(q.Ranks) - 1
}

// Offer queues a request or refuses it.
func (q *Queue) Offer(now time.Time, r Request) Decision {
	q.init()
	if _, ok := q.items[r.ID]; ok {
		return Decision{Kind: problem.Internal, Reason: "request id already in use"}
	}
	if r.Arrived.IsZero() {
		r.Arrived = now
	}
	oi, ri := q.organisation(r.Organisation), q.rank(r.Rank)
	org, p := q.orgs[oi], q.pool(r.Service)
	cost := p.cost(q, ri, r)
	f := p.flow(q, ri, oi)
	f.offered++
	f.offeredWork += cost
	if r.Accepted {
		q.enter(now, r, f, cost, time.Time{})
		return Decision{Queued: true}
	}
	wait := p.wait(q, now, ri, oi)
	deadline := r.Deadline
	if deadline.IsZero() && q.Ranks[ri].Deadline > 0 {
		deadline = r.Arrived.Add(q.Ranks[ri].Deadline)
	}
	if !deadline.IsZero() {
		if late := now.Add(wait + p.firstToken.duration()).Sub(deadline); late > 0 {
			return q.refuse(p, now, cost, problem.DeadlineUnreachable, "estimated first token after the deadline", late)
		}
	}
	if ok, after := org.limit.Allow(now); !ok {
		return q.refuse(p, now, cost, problem.Overloaded, "request limit of the organisation", after)
	}
	if org.queued >= org.MaxQueued && !q.displace(now, oi, ri) {
		return q.refuse(p, now, cost, problem.Overloaded, "queue of the organisation is full", wait)
	}
	if q.queued >= q.MaxQueued && !q.displace(now, -1, ri) {
		return q.refuse(p, now, cost, problem.Overloaded, "queue of the daemon is full", wait)
	}
	q.enter(now, r, f, cost, deadline)
	return Decision{Queued: true, Wait: wait}
}

// enter puts a request into the queue, one that was accepted before at the head of
// its organisation's, like one that was returned.
func (q *Queue) enter(now time.Time, r Request, f *flow, cost float64, deadline time.Time) {
	p := q.pool(r.Service)
	it := q.newItem()
	it.req, it.pool, it.cost, it.deadline, it.state = r, p, cost, deadline, waiting
	it.flow, it.queuedAt = f, now
	q.items[r.ID] = it
	p.ranks[f.rank].arrivals.add(now, cost)
	q.push(it, r.Accepted)
}

// Next returns the request to run now. Whenever a request waits for a service
// that has a free slot, it returns one. Requests whose deadline passed while
// they waited are moved to Dropped.
func (q *Queue) Next(now time.Time, c Capacity) (Request, bool) {
	q.init()
	q.expire(now)
	for {
		it := q.first(c)
		if it == nil {
			return Request{}, false
		}
		if !it.deadline.IsZero() && now.After(it.deadline) {
			q.dropExpired(now, it)
			continue
		}
		q.start(now, it)
		return it.req, true
	}
}

// first returns the request to serve before all others for the free services.
func (q *Queue) first(c Capacity) *item {
	var best *item
	bestRank := 0
	for _, service := range c.Services {
		p := q.poolOf[service]
		if p == nil || p.queued == 0 {
			continue
		}
		if r := p.pick(); best == nil || r < bestRank {
			best, bestRank = p.ranks[r].heap[0].head, r
		}
	}
	return best
}

func (q *Queue) start(now time.Time, it *item) {
	p, f := it.pool, it.flow
	q.unlink(it)
	it.state, it.started = running, now
	p.running++
	rq := &p.ranks[f.rank]
	f.waited.add(now.Sub(it.queuedAt).Seconds())
	rq.virtual = max(rq.virtual, f.tag)
	p.charge(q, f, it.cost)
	it.paid = p.settle(q, f.rank, it.cost)
}

// Done ends the service of a request and corrects the estimate of its work.
// It reports false for an id that isn't in service.
func (q *Queue) Done(now time.Time, u Usage) bool {
	q.init()
	it := q.items[u.ID]
	if it == nil || it.state == waiting {
		return false
	}
	q.finish(now, it, u)
	delete(q.items, u.ID)
	q.recycle(it)
	return true
}

// Return puts a request that is in service back to the head of its
// organisation's queue, after a preemption or a failure of its server. The
// tokens generated so far become part of its prompt. No bound refuses it,
// because it was accepted before.
func (q *Queue) Return(now time.Time, u Usage) bool {
	q.init()
	it := q.items[u.ID]
	if it == nil || it.state == waiting {
		return false
	}
	u.Failed = true
	preempted := it.state == preempting
	q.finish(now, it, u)
	if rq := &it.pool.ranks[it.flow.rank]; preempted {
		// The refund would give the slot back to the rank that had to release it.
		rq.credit = min(rq.credit, 0)
	}
	q.recomputed += uint64(max(0, u.PromptTokens+u.OutputTokens))
	it.req.PromptTokens += u.OutputTokens
	it.req.Generated += u.OutputTokens
	it.req.Attempts++
	if it.req.MaxTokens > 0 {
		it.req.MaxTokens = max(1, it.req.MaxTokens-u.OutputTokens)
	}
	// A refusal says that the request wasn't run, so none may follow from here.
	it.deadline = time.Time{}
	it.cost, it.state = it.pool.cost(q, it.flow.rank, it.req), waiting
	it.queuedAt, it.paid = now, false
	q.push(it, true)
	return true
}

func (q *Queue) finish(now time.Time, it *item, u Usage) {
	p := it.pool
	p.running--
	if it.state == preempting {
		p.preempting--
	}
	actual := max(1, float64(u.PromptTokens)*q.PromptWeight+float64(u.OutputTokens))
	p.charge(q, it.flow, actual-it.cost)
	p.correct(q, it, actual-it.cost)
	p.learn(now, it, u, actual)
}

// Cancel removes a waiting request. It reports false for a request that isn't
// waiting: the caller stops one in service itself and then calls Done.
func (q *Queue) Cancel(_ time.Time, id string) bool {
	q.init()
	it := q.items[id]
	if it == nil || it.state != waiting {
		return false
	}
	q.remove(it)
	return true
}

// Dropped appends the queued requests that were refused after all to buf, each
// of them once.
func (q *Queue) Dropped(now time.Time, buf []Dropped) []Dropped {
	q.init()
	q.expire(now)
	buf = append(buf, q.dropped...)
	clear(q.dropped)
	q.dropped = q.dropped[:0]
	return buf
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.queued }
