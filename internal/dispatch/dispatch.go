// Package dispatch decides when and where a request runs. It joins the admission
// queue, the router and the quarantine list under one lock that is held for
// microseconds. It has no sockets and no clock; each request waits on a channel
// of its own.
package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"apricotbridge/internal/admission"
	"apricotbridge/internal/quarantine"
	"apricotbridge/internal/routing"
	"apricotbridge/pkg/problem"
)

const (
	// maxParkTime is how long a dequeued request waits for a server that it may use,
	// such as an empty one for a suspected request.
	maxParkTime = 10 * time.Second
	// maxParkTimeAfterAttempt applies instead to a request with a failed attempt.
	maxParkTimeAfterAttempt = time.Minute
	// noServerRetryAfter is the base of Retry-After when a service has no backend server.
	noServerRetryAfter = time.Second
)

// Work is one request. Set the exported fields before Submit; the Dispatcher reads
// them until the request is finished.
type Work struct {
	Request     admission.Request
	Call        routing.Call
	Fingerprint quarantine.Fingerprint
	// Suspects is what may crash a server that runs the request, for Dispatcher.Evidence.
	Suspects []quarantine.Suspect
	// Durable marks work that was accepted earlier: without a server it waits instead of
	// being refused, and its retries are not counted in the retry budget.
	Durable bool
	// Stop is called when the running attempt has to end, because its server is leaving
	// or to free the slot for a more urgent request. Nil means that the request can't be
	// stopped. Stop must not block.
	Stop func(leaving bool)

	grants  chan Grant
	server  routing.Server
	running bool
	// mayHaveRun is set once a server may have received the request, which must not be
	// reported as not run from then on.
	mayHaveRun bool
	// failedServers lists the servers at which attempts failed.
	failedServers   []string
	parkedAt        time.Time
	startedAt       time.Time
	generatedTokens int
}

// Grants returns the channel on which the request receives its grants. The caller
// ends each grant with Finish, Retry or Cancel.
func (w *Work) Grants() <-chan Grant { return w.grants }

// Grant assigns a slot at a backend server, or holds the problem with which the
// request ends.
type Grant struct {
	Decision routing.Decision
	Server   routing.Server
	Problem  *problem.Problem
}

// Dispatcher holds the waiting and running requests of one daemon. Set the
// exported fields before the first call.
type Dispatcher struct {
	Queue      *admission.Queue
	Router     *routing.Router
	Quarantine *quarantine.List
	// Evidence refuses suspects without isolating them first; nil means that only
	// Quarantine does.
	Evidence *quarantine.Evidence
	Rand     *rand.Rand
	// ServersPreempt is set when the backend servers themselves preempt for more urgent
	// requests, so that the Dispatcher does not.
	ServersPreempt bool

	mu    sync.Mutex
	table *routing.Table
	// works holds the waiting and running requests by id.
	works map[string]*Work
	// parked lists dequeued requests that wait for a server that they may use.
	parked       []*Work
	retryBudgets retryBudgets
	// dropped is the buffer that refuseDropped reuses.
	dropped []admission.Dropped
	counts  Counts
}

// Counts are event counters since the start.
type Counts struct {
	Granted, Retried, Preempted, Refused int64
	// RecomputedTokens were computed again because an attempt did not finish.
	RecomputedTokens int64
}

// New returns a dispatcher without servers.
func New(queue *admission.Queue, router *routing.Router, list *quarantine.List, random *rand.Rand) *Dispatcher {
	return &Dispatcher{
		Queue: queue, Router: router, Quarantine: list, Rand: random,
		table: routing.NewTable(nil, nil), works: map[string]*Work{},
		retryBudgets: newRetryBudgets(),
	}
}

// PreferPlace sets whether servers in a call's own place go before all others.
func (d *Dispatcher) PreferPlace(prefer bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Router.PreferPlace(prefer)
}

// SetTable replaces the servers.
func (d *Dispatcher) SetTable(now time.Time, t *routing.Table) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table = t
	d.Router.SetTable(t)
	d.grantFreeSlots(now)
	d.refuseExcess(now, t.LimitedServices()...)
}

// Submit queues a request or returns the problem with which it is refused.
func (d *Dispatcher) Submit(now time.Time, w *Work) *problem.Problem {
	d.mu.Lock()
	defer d.mu.Unlock()
	w.grants = make(chan Grant, 1)
	// Another daemon accepted the request and may have sent it to a server.
	w.mayHaveRun = w.Request.Accepted
	if p := d.suspicion(now, w); p != nil {
		d.counts.Refused++
		return p
	}
	decision := d.Queue.Offer(now, w.Request)
	if decision.Queued && !w.Durable && !w.Request.Accepted && !d.hasServer(&w.Call) {
		// The offer is counted as demand, for which placement starts servers.
		d.Queue.Cancel(now, w.Request.ID)
		d.counts.Refused++
		return d.noServerProblem(&w.Call)
	}
	if p := d.excessProblem(now, w); p != nil && decision.Queued {
		d.Queue.Cancel(now, w.Request.ID)
		d.counts.Refused++
		return p
	}
	if !decision.Queued {
		d.counts.Refused++
		p := problem.New(decision.Kind, "%s (%v)", decision.Reason, decision.Pool)
		p.RetryAfter = decision.RetryAfter
		return p
	}
	d.retryBudgets.of(w.Request.Service).RecordRequest()
	d.works[w.Request.ID] = w
	d.grantFreeSlots(now)
	return nil
}

func (d *Dispatcher) noServerProblem(call *routing.Call) *problem.Problem {
	p := problem.New(problem.NoCapacity, "service %q has no backend server that takes work", call.Service)
	if call.Version != nil {
		p = problem.New(problem.NoCapacity, "service %q has no backend server of version %q that takes work", call.Service, *call.Version)
	}
	p.RetryAfter = noServerRetryAfter + time.Duration(d.Rand.Int64N(int64(noServerRetryAfter)))
	return p
}

// FirstToken records the first part of the response of a running request.
func (d *Dispatcher) FirstToken(now time.Time, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Router.FirstToken(now, id)
}

// Progress records how many tokens a running request has generated.
func (d *Dispatcher) Progress(id string, generated int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w := d.works[id]; w != nil {
		w.generatedTokens = generated
	}
}

// Finish ends a request whose response is complete.
func (d *Dispatcher) Finish(now time.Time, id string, used admission.Usage, answer routing.Answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.works[id]
	if w == nil {
		return
	}
	d.Router.Answered(now, id, answer)
	d.Quarantine.Finished(now, w.Fingerprint)
	d.survived(now, w)
	d.endWork(now, w, used)
}

// Cancel ends a request without a response, for example when its caller disconnected.
func (d *Dispatcher) Cancel(now time.Time, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.works[id]
	if w == nil {
		return
	}
	d.Router.Cancelled(id)
	if w.running {
		d.Quarantine.Stopped(w.Fingerprint)
	}
	if d.Queue.Cancel(now, id) {
		delete(d.works, id)
		d.unpark(w)
		d.grantFreeSlots(now)
		return
	}
	d.endWork(now, w, admission.Usage{ID: id, OutputTokens: w.generatedTokens, Failed: true})
}

func (d *Dispatcher) endWork(now time.Time, w *Work, used admission.Usage) {
	used.ID = w.Request.ID
	d.Queue.Done(now, used)
	delete(d.works, w.Request.ID)
	d.unpark(w)
	d.grantFreeSlots(now)
}

// Ending is how an attempt ended without a complete response.
type Ending int

// Endings of an attempt.
const (
	// NotStarted means that the server did not accept the request.
	NotStarted Ending = iota
	// Broken means that the response broke off.
	Broken
	// Crashed means that the server disappeared without notice.
	Crashed
	// Stopped means that the attempt was preempted or its server is leaving.
	Stopped
	// NotSent means that the server was not reached, so that it never received the request.
	NotSent
)

// mayHaveStarted reports whether the server may have started to run the request.
func (e Ending) mayHaveStarted() bool { return e != NotStarted && e != NotSent }

// String returns the name of the ending.
func (e Ending) String() string {
	return [...]string{"NotStarted", "Broken", "Crashed", "Stopped", "NotSent"}[e]
}

// Retry requeues a request after a failed attempt, or returns the problem with which
// the request ends.
func (d *Dispatcher) Retry(now time.Time, id string, ending Ending) *problem.Problem {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.works[id]
	if w == nil {
		return problem.New(problem.Internal, "request is not running")
	}
	if ending == Stopped {
		d.Router.Cancelled(id)
	} else {
		d.Router.Failed(now, id)
		w.failedServers = append(w.failedServers, w.server.ID)
	}
	if ending == Crashed {
		d.recordCrash(now, w.server)
	}
	d.Quarantine.Stopped(w.Fingerprint)
	used := admission.Usage{ID: id, OutputTokens: w.generatedTokens, PromptTokens: w.Request.PromptTokens, Failed: true}
	w.mayHaveRun = w.mayHaveRun || ending.mayHaveStarted()
	if p := d.suspicion(now, w); p != nil {
		d.endWork(now, w, used)
		return p
	}
	if p := d.excessProblem(now, w); p != nil {
		d.endWork(now, w, used)
		return w.refusalProblem(p)
	}
	if w.Call.Version != nil && !d.hasServer(&w.Call) {
		d.endWork(now, w, used)
		return w.refusalProblem(d.noServerProblem(&w.Call))
	}
	// A retry puts no load on a server that was not reached, so it costs no budget.
	if ending != Stopped && ending != NotSent && !w.Durable && !d.retryBudgets.of(w.Request.Service).TrySpend() {
		d.endWork(now, w, used)
		if !w.mayHaveRun {
			p := problem.New(problem.NoCapacity, "server %s did not take the request and the retry budget is used up", w.server.ID)
			p.RetryAfter = noServerRetryAfter + time.Duration(d.Rand.Int64N(int64(noServerRetryAfter)))
			return p
		}
		return problem.New(problem.BackendFailed, "server %s failed and the retry budget is used up", w.server.ID)
	}
	d.counts.Retried++
	w.running, w.generatedTokens = false, 0
	d.Queue.Return(now, used)
	d.grantFreeSlots(now)
	return nil
}

// recordCrash marks the requests in flight at a server as suspects. Each of them may
// report the crash; the quarantine list counts a server incarnation once.
func (d *Dispatcher) recordCrash(now time.Time, s routing.Server) {
	var inFlight []quarantine.Fingerprint
	for _, w := range d.works {
		if w.running && w.server.ID == s.ID && w.server.Incarnation == s.Incarnation {
			inFlight = append(inFlight, w.Fingerprint)
		}
	}
	d.Quarantine.Crashed(now, fmt.Sprintf("%s#%d", s.ID, s.Incarnation), inFlight)
}

// Tick advances the time: it drops requests whose deadline has passed, preempts
// running requests for more urgent ones, and grants free slots.
func (d *Dispatcher) Tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.grantFreeSlots(now)
	if !d.ServersPreempt {
		d.preemptRunning(now)
	}
}

func (d *Dispatcher) preemptRunning(now time.Time) {
	var running []admission.Running
	for id, w := range d.works {
		if w.running && w.Stop != nil {
			running = append(running, admission.Running{ID: id, Recompute: w.Request.PromptTokens + w.generatedTokens})
		}
	}
	for {
		victim, ok := d.Queue.Preempt(now, running)
		if !ok {
			return
		}
		d.counts.Preempted++
		d.works[victim.ID].Stop(false)
	}
}

// grantFreeSlots grants slots while there are free ones and requests for them.
func (d *Dispatcher) grantFreeSlots(now time.Time) {
	d.refuseDropped(now)
	d.grantParked(now)
	for d.Queue.Len() > 0 { // Counting free slots is expensive with hundreds of servers.
		var free admission.Capacity
		for _, service := range d.table.Services() {
			if d.Router.FreeSlots(now, d.table, service) > d.countParked(service) {
				free.Services = append(free.Services, service)
			}
		}
		if len(free.Services) == 0 {
			return
		}
		r, ok := d.Queue.Next(now, free)
		if !ok {
			return
		}
		if w := d.works[r.ID]; w != nil && !d.tryGrant(now, w) {
			w.parkedAt = now
			d.parked = append(d.parked, w)
		}
	}
}

// tryGrant chooses a server for a dequeued request, or ends the request. It returns
// false when the request has to wait.
func (d *Dispatcher) tryGrant(now time.Time, w *Work) bool {
	if p := d.suspicion(now, w); p != nil {
		// Another copy of the request crashed a server while this copy was queued.
		d.Queue.Done(now, admission.Usage{ID: w.Request.ID, Failed: true})
		delete(d.works, w.Request.ID)
		d.counts.Refused++
		w.grants <- Grant{Problem: p}
		return true
	}
	verdict := d.Quarantine.Verdict(now, w.Fingerprint)
	if ready, _ := d.Quarantine.Ready(now, w.Fingerprint); verdict != quarantine.Normal && !ready {
		return false
	}
	w.Call.Alone = verdict == quarantine.Alone
	w.Call.Excluded = d.excludedServers(now, w, verdict)
	decision := d.Router.Choose(now, &w.Call, d.table, d.Rand)
	if decision.Server == "" && len(w.failedServers) > 0 {
		// All servers were tried: allow them again rather than give up.
		w.failedServers = nil
		w.Call.Excluded = d.excludedServers(now, w, verdict)
		decision = d.Router.Choose(now, &w.Call, d.table, d.Rand)
	}
	if decision.Server == "" {
		return false
	}
	server, _ := d.table.Server(decision.Server)
	d.Router.Sent(now, &w.Call, decision.Server)
	w.server, w.running, w.startedAt = server, true, now
	d.counts.Granted++
	d.Quarantine.Started(w.Fingerprint)
	w.grants <- Grant{Decision: decision, Server: server}
	return true
}

// excludedServers returns the servers that a request may not use: those already tried
// and, for a suspect that runs apart, those that run another suspect.
func (d *Dispatcher) excludedServers(now time.Time, w *Work, verdict quarantine.Verdict) []string {
	excluded := slices.Clone(w.failedServers)
	if verdict != quarantine.Apart {
		return excluded
	}
	for _, other := range d.works {
		if other.running && d.Quarantine.Verdict(now, other.Fingerprint) != quarantine.Normal {
			excluded = append(excluded, other.server.ID)
		}
	}
	return excluded
}

func (d *Dispatcher) grantParked(now time.Time) {
	kept := d.parked[:0]
	for _, w := range d.parked {
		switch {
		case d.tryGrant(now, w):
		case !w.Durable && (now.Sub(w.parkedAt) > w.parkLimit() || w.Call.Version != nil && !d.hasServer(&w.Call)):
			d.Queue.Done(now, admission.Usage{ID: w.Request.ID, Failed: true})
			delete(d.works, w.Request.ID)
			w.grants <- Grant{Problem: w.refusalProblem(d.noServerProblem(&w.Call))}
		default:
			kept = append(kept, w)
		}
	}
	clear(d.parked[len(kept):])
	d.parked = kept
}

// parkLimit is how long a dequeued request waits for a server. A request that already had
// an attempt waits longer than a new one before it is refused.
func (w *Work) parkLimit() time.Duration {
	if w.mayHaveRun || len(w.failedServers) > 0 {
		return maxParkTimeAfterAttempt
	}
	return maxParkTime
}

func (d *Dispatcher) countParked(service string) int {
	n := 0
	for _, w := range d.parked {
		if w.Request.Service == service {
			n++
		}
	}
	return n
}

func (d *Dispatcher) unpark(w *Work) {
	for i, p := range d.parked {
		if p == w {
			d.parked = append(d.parked[:i], d.parked[i+1:]...)
			return
		}
	}
}

// refuseDropped ends the queued requests that the queue has dropped.
func (d *Dispatcher) refuseDropped(now time.Time) {
	d.dropped = d.Queue.Dropped(now, d.dropped[:0])
	for _, dropped := range d.dropped {
		w := d.works[dropped.Request.ID]
		if w == nil {
			continue
		}
		delete(d.works, dropped.Request.ID)
		d.counts.Refused++
		p := problem.New(dropped.Kind, "%s (%v)", dropped.Reason, dropped.Pool)
		p.RetryAfter = dropped.RetryAfter
		w.grants <- Grant{Problem: w.refusalProblem(p)}
	}
}

// refusalProblem returns the problem with which a request ends without another grant.
// A request that a server may have received is not reported as not run.
func (w *Work) refusalProblem(p *problem.Problem) *problem.Problem {
	if w.mayHaveRun && problem.Of(p.Kind).Ran == problem.NotRun {
		return problem.New(problem.BackendFailed, "an attempt failed and there was no other: %s", p.Detail)
	}
	return p
}
