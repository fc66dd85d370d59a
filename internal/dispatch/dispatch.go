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
	// parkedFor is how long a request that has its turn waits for a server that it
	// may use, such as an empty one for a suspected request.
	parkedFor = 10 * time.Second
	// begunParkedFor is that time for a request of which an attempt has failed.
	begunParkedFor = time.Minute
	// retryShare and retryBurst bound the system's own retries to a tenth of the
	// requests, so that a failing fleet is not loaded further.
	retryShare = 0.1
	retryBurst = 100
	// noServerRetry is the base of the time to come back when a service has no
	// backend server.
	noServerRetry = time.Second
)

// Work is one request. Set the exported fields before Submit; they are read by
// the Dispatcher until the request is finished.
type Work struct {
	Request     admission.Request
	Call        routing.Call
	Fingerprint quarantine.Fingerprint
	// Durable work was accepted before: it waits for a server instead of being
	// refused for want of one, and its retries are outside the budget.
	Durable bool
	// Stop is called when the running attempt has to end: because its server is
	// leaving, or to make room for more urgent work. Nil means that the request can't
	// be stopped. It must not block.
	Stop func(leaving bool)

	grants  chan Grant
	server  routing.Server
	running bool
	// begun says that a server may have got the request, so that it is not reported
	// as not run any more.
	begun bool
	// failed are the servers at which attempts failed.
	failed    []string
	parked    time.Time
	started   time.Time
	generated int
}

// Grants returns the channel on which the request gets its turns. Each turn is
// answered by Finish, Retry or Cancel.
func (w *Work) Grants() <-chan Grant { return w.grants }

// Grant is a turn at a backend server, or the problem with which the request
// ends.
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
	Rand       *rand.Rand
	// ServersPreempt says that the backend servers themselves make room for more
	// urgent requests, so that none is stopped here for that.
	ServersPreempt bool

	mu      sync.Mutex
	table   *routing.Table
	works   map[string]*Work
	parked  []*Work
	retries admission.RetryBudget
	dropped []admission.Dropped
	counts  Counts
}

// Counts are events since the start.
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
		retries: admission.RetryBudget{Share: retryShare, Burst: retryBurst},
	}
}

// LimitRetries bounds the system's own retries to a share of the requests and a
// number that can be saved.
func (d *Dispatcher) LimitRetries(share, burst float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retries.Share, d.retries.Burst = share, burst
}

// PreferPlace says whether servers in a call's own place go before all others.
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
	d.pump(now)
}

// Submit queues a request or returns the problem with which it is refused.
func (d *Dispatcher) Submit(now time.Time, w *Work) *problem.Problem {
	d.mu.Lock()
	defer d.mu.Unlock()
	w.grants = make(chan Grant, 1)
	if d.Quarantine.Verdict(now, w.Fingerprint) == quarantine.Refused {
		d.counts.Refused++
		return problem.New(problem.Poisonous, "the same request has crashed backend servers")
	}
	// The daemon that accepted the request may have sent it to a server.
	w.begun = w.Request.Accepted
	decision := d.Queue.Offer(now, w.Request)
	if decision.Queued && !w.Durable && !w.Request.Accepted && !d.anyServer(w.Request.Service) {
		// The offer counts as demand, for which placement starts servers.
		d.Queue.Cancel(now, w.Request.ID)
		d.counts.Refused++
		return d.noServer(w.Request.Service)
	}
	if !decision.Queued {
		d.counts.Refused++
		p := problem.New(decision.Kind, "%s (%v)", decision.Reason, decision.Pool)
		p.RetryAfter = decision.RetryAfter
		return p
	}
	d.retries.Requested()
	d.works[w.Request.ID] = w
	d.pump(now)
	return nil
}

func (d *Dispatcher) anyServer(service string) bool {
	return d.Router.CountAccepting(d.table, service) > 0
}

func (d *Dispatcher) noServer(service string) *problem.Problem {
	p := problem.New(problem.NoCapacity, "service %q has no backend server that takes work", service)
	p.RetryAfter = noServerRetry + time.Duration(d.Rand.Int64N(int64(noServerRetry)))
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
		w.generated = generated
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
	d.end(now, w, used)
}

// Cancel ends a request without a response, such as one whose caller is gone.
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
		d.pump(now)
		return
	}
	d.end(now, w, admission.Usage{ID: id, OutputTokens: w.generated, Failed: true})
}

func (d *Dispatcher) end(now time.Time, w *Work, used admission.Usage) {
	used.ID = w.Request.ID
	d.Queue.Done(now, used)
	delete(d.works, w.Request.ID)
	d.unpark(w)
	d.pump(now)
}

// Ending says how an attempt ended without a complete response.
type Ending int

// The endings of an attempt.
const (
	// NotStarted means that the server did not take the request.
	NotStarted Ending = iota
	// Broken means that the response broke off.
	Broken
	// Crashed means that the server is gone without having been told to leave.
	Crashed
	// Stopped means that the attempt was preempted or its server is leaving.
	Stopped
	// NotSent means that the server was not reached, so that it never saw the request.
	NotSent
)

// reached reports whether the server may have begun to run the request.
func (e Ending) reached() bool { return e != NotStarted && e != NotSent }

// String returns the name of the ending.
func (e Ending) String() string {
	return [...]string{"NotStarted", "Broken", "Crashed", "Stopped", "NotSent"}[e]
}

// Retry puts a request back into the queue after an attempt, or returns the
// problem with which it ends.
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
		w.failed = append(w.failed, w.server.ID)
	}
	if ending == Crashed {
		d.crashed(now, w.server)
	}
	d.Quarantine.Stopped(w.Fingerprint)
	used := admission.Usage{ID: id, OutputTokens: w.generated, PromptTokens: w.Request.PromptTokens, Failed: true}
	if d.Quarantine.Verdict(now, w.Fingerprint) == quarantine.Refused {
		d.end(now, w, used)
		return problem.New(problem.Poisonous, "the request has crashed backend servers")
	}
	w.begun = w.begun || ending.reached()
	// A server that was not reached is not loaded by another attempt.
	if ending != Stopped && ending != NotSent && !w.Durable && !d.retries.Take() {
		d.end(now, w, used)
		if !w.begun {
			p := problem.New(problem.NoCapacity, "server %s did not take the request and the retry budget is used up", w.server.ID)
			p.RetryAfter = noServerRetry + time.Duration(d.Rand.Int64N(int64(noServerRetry)))
			return p
		}
		return problem.New(problem.BackendFailed, "server %s failed and the retry budget is used up", w.server.ID)
	}
	d.counts.Retried++
	w.running, w.generated = false, 0
	d.Queue.Return(now, used)
	d.pump(now)
	return nil
}

// crashed marks the requests in flight at a server as suspects. Several requests
// report the same crash; the list counts an incarnation once.
func (d *Dispatcher) crashed(now time.Time, s routing.Server) {
	var inFlight []quarantine.Fingerprint
	for _, w := range d.works {
		if w.running && w.server.ID == s.ID && w.server.Incarnation == s.Incarnation {
			inFlight = append(inFlight, w.Fingerprint)
		}
	}
	d.Quarantine.Crashed(now, fmt.Sprintf("%s#%d", s.ID, s.Incarnation), inFlight)
}

// Tick lets time pass: it drops requests whose deadline has passed, stops
// running requests where more urgent work needs their slot, and grants turns.
func (d *Dispatcher) Tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pump(now)
	if !d.ServersPreempt {
		d.preempt(now)
	}
}

func (d *Dispatcher) preempt(now time.Time) {
	var running []admission.Running
	for id, w := range d.works {
		if w.running && w.Stop != nil {
			running = append(running, admission.Running{ID: id, Recompute: w.Request.PromptTokens + w.generated})
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

// pump grants turns while there are free slots and requests for them.
func (d *Dispatcher) pump(now time.Time) {
	d.expire(now)
	d.placeParked(now)
	for {
		var free admission.Capacity
		for _, service := range d.table.Services() {
			if d.Router.FreeSlots(now, d.table, service) > d.parkedFor(service) {
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
		if w := d.works[r.ID]; w != nil && !d.place(now, w) {
			w.parked = now
			d.parked = append(d.parked, w)
		}
	}
}

// place chooses a server for a request that has its turn, or ends it. It reports
// false when the request has to wait.
func (d *Dispatcher) place(now time.Time, w *Work) bool {
	verdict := d.Quarantine.Verdict(now, w.Fingerprint)
	if verdict == quarantine.Refused {
		// Another copy of the request crashed a server while this one waited.
		d.Queue.Done(now, admission.Usage{ID: w.Request.ID, Failed: true})
		delete(d.works, w.Request.ID)
		d.counts.Refused++
		w.grants <- Grant{Problem: problem.New(problem.Poisonous, "the same request has crashed backend servers")}
		return true
	}
	if ready, _ := d.Quarantine.Ready(now, w.Fingerprint); verdict != quarantine.Normal && !ready {
		return false
	}
	w.Call.Alone = verdict == quarantine.Alone
	w.Call.Excluded = d.excluded(now, w, verdict)
	decision := d.Router.Choose(now, &w.Call, d.table, d.Rand)
	if decision.Server == "" && len(w.failed) > 0 {
		// Every server was tried: a second round is better than none.
		w.failed = nil
		w.Call.Excluded = d.excluded(now, w, verdict)
		decision = d.Router.Choose(now, &w.Call, d.table, d.Rand)
	}
	if decision.Server == "" {
		return false
	}
	server, _ := d.table.Server(decision.Server)
	d.Router.Sent(now, &w.Call, decision.Server)
	w.server, w.running, w.started = server, true, now
	d.counts.Granted++
	d.Quarantine.Started(w.Fingerprint)
	w.grants <- Grant{Decision: decision, Server: server}
	return true
}

// excluded returns the servers that a request may not use: those that were tried
// and, for a suspect that runs apart, those that run another suspect.
func (d *Dispatcher) excluded(now time.Time, w *Work, verdict quarantine.Verdict) []string {
	excluded := slices.Clone(w.failed)
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

func (d *Dispatcher) placeParked(now time.Time) {
	kept := d.parked[:0]
	for _, w := range d.parked {
		switch {
		case d.place(now, w):
		case !w.Durable && now.Sub(w.parked) > w.patience():
			d.Queue.Done(now, admission.Usage{ID: w.Request.ID, Failed: true})
			delete(d.works, w.Request.ID)
			w.grants <- Grant{Problem: w.refusal(d.noServer(w.Request.Service))}
		default:
			kept = append(kept, w)
		}
	}
	clear(d.parked[len(kept):])
	d.parked = kept
}

// patience is how long a request that has its turn waits for a server. One that
// has begun is not given up for want of a server as soon as a new one is.
func (w *Work) patience() time.Duration {
	if w.begun || len(w.failed) > 0 {
		return begunParkedFor
	}
	return parkedFor
}

func (d *Dispatcher) parkedFor(service string) int {
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

// expire ends the queued requests that were refused after all.
func (d *Dispatcher) expire(now time.Time) {
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
		w.grants <- Grant{Problem: w.refusal(p)}
	}
}

// refusal returns the problem with which a request ends for want of a turn. One
// that a server may have got is not reported as not run.
func (w *Work) refusal(p *problem.Problem) *problem.Problem {
	if w.begun && problem.Of(p.Kind).Ran == problem.NotRun {
		return problem.New(problem.BackendFailed, "an attempt failed and there was no other: %s", p.Detail)
	}
	return p
}
