package registrar

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/keyvalue"
	"apricotbridge/internal/ledger"
	"apricotbridge/pkg/problem"
)

// envelope is an event for the Shard that caused it. A Shard that has resigned
// still gets the outcomes of its runs.
type envelope struct {
	shard *ledger.Shard
	event ledger.Event
}

type submission struct {
	Submission
	result chan ledger.Result
}

// observed is the result of a look at the tail; it is handled by the worker.
type observed struct {
	entry  keyvalue.Entry
	failed bool
}

// worker runs one shard.
type worker struct {
	registrar   *Registrar
	shardID     int
	rng         *rand.Rand
	submissions chan submission
	events      chan envelope
	tails       chan observed
	wake        chan struct{}
	drains      chan time.Time
	released    chan struct{}
	done        chan struct{}
	calls       sync.WaitGroup

	mu     sync.Mutex
	holder string

	// The fields below belong to the goroutine of run.
	shard     *ledger.Shard
	ticker    *time.Ticker
	spawned   uint64
	nextID    uint64
	waiters   map[uint64]chan ledger.Result
	trying    bool
	looking   bool
	draining  bool
	pollAt    time.Time
	revision  int64
	unchanged time.Time
	deadline  time.Time
}

func newWorker(r *Registrar, shard int) *worker {
	w := &worker{
		registrar: r, shardID: shard, rng: rand.New(rand.NewPCG(r.Incarnation, uint64(shard))),
		submissions: make(chan submission, maxSubmissions), events: make(chan envelope, maxEvents),
		tails: make(chan observed, 1), wake: make(chan struct{}, 1), drains: make(chan time.Time, 1),
		released: make(chan struct{}), done: make(chan struct{}), waiters: map[uint64]chan ledger.Result{},
	}
	w.spawn()
	return w
}

func (w *worker) spawn() {
	r := w.registrar
	w.spawned++
	w.trying = false
	w.shard = ledger.New(ledger.Config{
		Shard: w.shardID, Holder: r.Daemon,
		// Each Shard value of a process needs its own incarnation.
		Incarnation: r.Incarnation + w.spawned, Retention: r.Retention, Heartbeat: r.Lease / pollsPerLease,
		WritesPerSecond: r.WritesPerSecond / float64(r.Shards), Rand: w.rng,
	})
}

// owner returns the remembered holder; empty means unknown.
func (w *worker) owner() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.holder
}

func (w *worker) remember(holder string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holder = holder
}

func (w *worker) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default: // It is about to look.
	}
}

func (w *worker) drain(deadline time.Time) {
	select {
	case w.drains <- deadline:
	default: // A hand-off is under way.
	}
}

func refusal(kind problem.Kind, detail string) ledger.Result {
	return ledger.Result{Problem: problem.New(kind, "%s", detail)}
}

func (w *worker) submit(ctx context.Context, s Submission) ledger.Result {
	sub := submission{s, make(chan ledger.Result, 1)}
	select {
	case <-w.done:
		return refusal(problem.Draining, "the daemon is closing")
	default:
	}
	select {
	case w.submissions <- sub:
	default:
		return refusal(problem.LedgerUnavailable, "too many submissions wait for the shard")
	}
	select {
	case result := <-sub.result:
		return result
	case <-ctx.Done():
		return refusal(problem.OutcomeUnknown, "the caller did not wait for the outcome")
	case <-w.done:
	}
	select {
	case result := <-sub.result:
		return result
	default:
		return refusal(problem.OutcomeUnknown, "the daemon closed before the outcome was known")
	}
}

func (w *worker) run(ctx context.Context) {
	w.ticker = time.NewTicker(idleTickEvery)
	defer w.ticker.Stop()
	defer w.stop()
	for {
		now := time.Now()
		select {
		case <-ctx.Done():
			return
		case s := <-w.submissions:
			w.accept(ctx, s)
		case e := <-w.events:
			w.step(ctx, e.shard, e.event)
		case o := <-w.tails:
			w.looking = false
			w.look(ctx, now, o)
		case <-w.wake:
			w.pollAt = now
		case w.deadline = <-w.drains:
			w.draining = true
			w.step(ctx, w.shard, ledger.HandOff{Deadline: w.deadline})
		case <-w.ticker.C:
			w.step(ctx, w.shard, ledger.Tick{})
			w.poll(ctx, now)
		}
	}
}

// stop answers what is open and waits for the calls in flight.
func (w *worker) stop() {
	for {
		select {
		case s := <-w.submissions:
			s.result <- refusal(problem.Draining, "the daemon is closing")
			continue
		default:
		}
		break
	}
	for _, result := range w.waiters {
		result <- refusal(problem.OutcomeUnknown, "the daemon closed before the outcome was known")
	}
	close(w.done)
	w.calls.Wait()
}

func (w *worker) accept(ctx context.Context, s submission) {
	w.nextID++
	w.waiters[w.nextID] = s.result
	w.step(ctx, w.shard, ledger.Submit{
		ID: w.nextID, Organisation: s.Organisation, Key: s.Key, Kind: s.Kind, Service: s.Service,
		RequestID: s.RequestID, Request: s.Request, Lookup: s.Lookup, Async: s.Async, Join: s.Join,
	})
}

func (w *worker) step(ctx context.Context, shard *ledger.Shard, ev ledger.Event) {
	held := shard.Holds()
	for _, a := range shard.Step(time.Now(), ev) {
		w.perform(ctx, shard, a)
	}
	switch {
	case !held && shard.Holds():
		w.remember(w.registrar.Daemon)
		w.ticker.Reset(tickEvery)
	case held && !shard.Holds():
		w.ticker.Reset(idleTickEvery)
	}
}

// call runs f and hands its event to the Shard.
func (w *worker) call(shard *ledger.Shard, f func() ledger.Event) {
	w.calls.Go(func() {
		ev := f()
		select {
		case w.events <- envelope{shard, ev}:
		case <-w.done:
		}
	})
}

func (w *worker) perform(ctx context.Context, shard *ledger.Shard, a ledger.Action) {
	r := w.registrar
	switch a := a.(type) {
	case ledger.Write:
		w.call(shard, func() ledger.Event {
			e, err := r.Store.CompareAndSwap(ctx, a.Key, a.Value, a.Revision, "")
			return written(a.ID, e.Revision, err)
		})
	case ledger.Delete:
		w.call(shard, func() ledger.Event {
			err := r.Store.Delete(ctx, a.Key, a.Revision)
			if errors.Is(err, keyvalue.ErrNotFound) {
				err = nil
			}
			return written(a.ID, 0, err)
		})
	case ledger.Read:
		w.call(shard, func() ledger.Event {
			e, err := r.Store.Get(ctx, a.Key)
			if errors.Is(err, keyvalue.ErrNotFound) {
				return ledger.ReadBack{ID: a.ID}
			}
			return ledger.ReadBack{ID: a.ID, Entry: e, Failed: err != nil}
		})
	case ledger.Dispatch:
		w.call(shard, func() ledger.Event {
			o := r.Dispatcher.Dispatch(ctx, a)
			o.Organisation, o.Key, o.Sequence = a.Organisation, a.Key, a.Sequence
			return o
		})
	case ledger.Lookup:
		w.call(shard, func() ledger.Event {
			response, found := r.Dispatcher.Lookup(ctx, a)
			return ledger.LookedUp{Organisation: a.Organisation, Key: a.Key, Found: found, Response: response}
		})
	case ledger.Answer:
		if result, ok := w.waiters[a.ID]; ok {
			delete(w.waiters, a.ID)
			result <- a.Result
		}
	case ledger.Resign:
		w.resigned(a)
	}
}

// written turns the result of a write into its event. An error that is not known
// to be without effect counts as a lost answer.
func written(id uint64, revision int64, err error) ledger.Event {
	var conflict *keyvalue.ConflictError
	switch {
	case err == nil:
		return ledger.Committed{ID: id, Revision: revision}
	case errors.As(err, &conflict):
		return ledger.CommitConflict{ID: id, Current: conflict.Current}
	case errors.Is(err, keyvalue.ErrUnavailable), errors.Is(err, keyvalue.ErrTooLarge):
		return ledger.CommitRefused{ID: id}
	default:
		return ledger.CommitUnknown{ID: id}
	}
}

func (w *worker) resigned(a ledger.Resign) {
	w.remember(a.Successor)
	w.registrar.OnResign(w.shardID, a)
	if w.draining {
		select {
		case <-w.released:
		default:
			close(w.released)
		}
		return
	}
	w.spawn()
	w.later(time.Now())
}

// later sets the next look at the tail, spread so that daemons do not take over
// at the same moment.
func (w *worker) later(now time.Time) {
	every := w.registrar.Lease / pollsPerLease
	if holder := w.owner(); holder != "" && w.registrar.Reached(holder) {
		every = w.registrar.Lease
	}
	w.pollAt = now.Add(every/2 + time.Duration(w.rng.Float64()*float64(every/2)))
}

// poll looks at the tail of a shard that is not held here.
func (w *worker) poll(ctx context.Context, now time.Time) {
	if w.shard.Holds() || w.trying || w.looking || w.draining || now.Before(w.pollAt) ||
		w.registrar.Candidate(w.shardID) < 0 {
		return
	}
	w.looking = true
	w.later(now)
	w.calls.Go(func() {
		e, err := w.registrar.Store.Get(ctx, ledger.TailKey(w.shardID))
		w.tails <- observed{e, err != nil && !errors.Is(err, keyvalue.ErrNotFound)}
	})
}

// look takes the shard over when nobody holds it, its holder is known to be gone,
// or its tail has not changed for the lease time. A later candidate leaves time to
// those before it.
func (w *worker) look(ctx context.Context, now time.Time, o observed) {
	place := w.registrar.Candidate(w.shardID)
	if o.failed {
		// A holder cannot write either while the service is away, so its silence
		// counts anew.
		w.unchanged = time.Time{}
	}
	if o.failed || w.draining || w.trying || w.shard.Holds() || place < 0 {
		return
	}
	if w.unchanged.IsZero() || o.entry.Revision != w.revision {
		w.revision, w.unchanged = o.entry.Revision, now
	}
	var tail ledger.Tail
	if o.entry.Revision != 0 {
		var err error
		if tail, err = ledger.DecodeTail(o.entry.Value); err != nil {
			return
		}
	}
	w.remember(tail.Holder)
	vacant := tail.Holder == "" || tail.Holder == w.registrar.Daemon || w.registrar.Gone(tail.Holder)
	silent, turn := now.Sub(w.unchanged), time.Duration(place)*w.registrar.Lease/pollsPerLease
	if vacant && silent >= turn || silent >= w.registrar.Lease+turn {
		w.trying = true
		w.step(ctx, w.shard, ledger.TakeOver{Revision: o.entry.Revision})
	}
}
