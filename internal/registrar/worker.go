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

// shardEvent is an event for the Shard whose action caused it. A Shard that has
// resigned still receives the outcomes of its runs.
type shardEvent struct {
	shard *ledger.Shard
	event ledger.Event
}

type submission struct {
	Submission
	result chan ledger.Result
}

// tailRead is the result of a read of the tail.
type tailRead struct {
	entry  keyvalue.Entry
	failed bool
}

// worker runs one shard.
type worker struct {
	registrar   *Registrar
	shardID     int
	rng         *rand.Rand
	submissions chan submission
	events      chan shardEvent
	tailReads   chan tailRead
	wake        chan struct{}
	handOffs    chan time.Time
	released    chan struct{} // closed after the hand-off
	done        chan struct{}
	calls       sync.WaitGroup

	mu     sync.Mutex
	holder string // cached holder of the shard; empty means unknown

	// The fields below belong to the goroutine of run.
	shard           *ledger.Shard
	ticker          *time.Ticker
	incarnations    uint64
	nextID          uint64
	waiters         map[uint64]chan ledger.Result
	takingOver      bool
	readingTail     bool
	draining        bool
	nextPoll        time.Time
	revision        int64 // of the tail when it was last read
	unchangedSince  time.Time
	handOffDeadline time.Time
}

func newWorker(r *Registrar, shard int) *worker {
	w := &worker{
		registrar: r, shardID: shard, rng: rand.New(rand.NewPCG(r.Incarnation, uint64(shard))),
		submissions: make(chan submission, maxSubmissions), events: make(chan shardEvent, maxEvents),
		tailReads: make(chan tailRead, 1), wake: make(chan struct{}, 1), handOffs: make(chan time.Time, 1),
		released: make(chan struct{}), done: make(chan struct{}), waiters: map[uint64]chan ledger.Result{},
	}
	w.newShard()
	return w
}

func (w *worker) newShard() {
	r := w.registrar
	w.incarnations++
	w.takingOver = false
	w.shard = ledger.New(ledger.Config{
		Shard: w.shardID, Holder: r.Daemon,
		// Each Shard value of a process requires its own incarnation.
		Incarnation: r.Incarnation + w.incarnations, Retention: r.Retention, Heartbeat: r.Lease / pollsPerLease,
		WritesPerSecond: r.WritesPerSecond / float64(r.Shards), Rand: w.rng,
	})
}

// knownHolder returns the cached holder; empty means unknown.
func (w *worker) knownHolder() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.holder
}

func (w *worker) setHolder(holder string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holder = holder
}

func (w *worker) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default: // A wake-up is already pending.
	}
}

func (w *worker) handOff(deadline time.Time) {
	select {
	case w.handOffs <- deadline:
	default: // A hand-off is already pending.
	}
}

func refusedResult(kind problem.Kind, detail string) ledger.Result {
	return ledger.Result{Problem: problem.New(kind, "%s", detail)}
}

func (w *worker) submit(ctx context.Context, s Submission) ledger.Result {
	sub := submission{s, make(chan ledger.Result, 1)}
	select {
	case <-w.done:
		return refusedResult(problem.Draining, "the daemon is closing")
	default:
	}
	select {
	case w.submissions <- sub:
	default:
		return refusedResult(problem.LedgerUnavailable, "too many submissions wait for the shard")
	}
	select {
	case result := <-sub.result:
		return result
	case <-ctx.Done():
		return refusedResult(problem.OutcomeUnknown, "the caller did not wait for the outcome")
	case <-w.done:
	}
	select {
	case result := <-sub.result:
		return result
	default:
		return refusedResult(problem.OutcomeUnknown, "the daemon closed before the outcome was known")
	}
}

func (w *worker) run(ctx context.Context) {
	w.ticker = time.NewTicker(idleTickInterval)
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
		case read := <-w.tailReads:
			w.readingTail = false
			w.handleTail(ctx, now, read)
		case <-w.wake:
			w.nextPoll = now
		case w.handOffDeadline = <-w.handOffs:
			w.draining = true
			w.step(ctx, w.shard, ledger.HandOff{Deadline: w.handOffDeadline})
		case <-w.ticker.C:
			w.step(ctx, w.shard, ledger.Tick{})
			w.pollTail(ctx, now)
		}
	}
}

// stop answers open submissions and waits for the calls in flight.
func (w *worker) stop() {
	for {
		select {
		case s := <-w.submissions:
			s.result <- refusedResult(problem.Draining, "the daemon is closing")
			continue
		default:
		}
		break
	}
	for _, result := range w.waiters {
		result <- refusedResult(problem.OutcomeUnknown, "the daemon closed before the outcome was known")
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
	heldBefore := shard.Holds()
	for _, a := range shard.Step(time.Now(), ev) {
		w.perform(ctx, shard, a)
	}
	switch {
	case !heldBefore && shard.Holds():
		w.setHolder(w.registrar.Daemon)
		w.ticker.Reset(tickInterval)
	case heldBefore && !shard.Holds():
		w.ticker.Reset(idleTickInterval)
	}
}

// startCall runs f in a goroutine and passes its event to the Shard.
func (w *worker) startCall(shard *ledger.Shard, f func() ledger.Event) {
	w.calls.Go(func() {
		ev := f()
		select {
		case w.events <- shardEvent{shard, ev}:
		case <-w.done:
		}
	})
}

func (w *worker) perform(ctx context.Context, shard *ledger.Shard, a ledger.Action) {
	r := w.registrar
	switch a := a.(type) {
	case ledger.Write:
		w.startCall(shard, func() ledger.Event {
			e, err := r.Store.CompareAndSwap(ctx, a.Key, a.Value, a.Revision, "")
			return writeEvent(a.ID, e.Revision, err)
		})
	case ledger.Delete:
		w.startCall(shard, func() ledger.Event {
			err := r.Store.Delete(ctx, a.Key, a.Revision)
			if errors.Is(err, keyvalue.ErrNotFound) {
				err = nil
			}
			return writeEvent(a.ID, 0, err)
		})
	case ledger.Read:
		w.startCall(shard, func() ledger.Event {
			e, err := r.Store.Get(ctx, a.Key)
			if errors.Is(err, keyvalue.ErrNotFound) {
				return ledger.ReadBack{ID: a.ID}
			}
			return ledger.ReadBack{ID: a.ID, Entry: e, Failed: err != nil}
		})
	case ledger.Dispatch:
		w.startCall(shard, func() ledger.Event {
			o := r.Dispatcher.Dispatch(ctx, a)
			o.Organisation, o.Key, o.Sequence = a.Organisation, a.Key, a.Sequence
			return o
		})
	case ledger.Lookup:
		w.startCall(shard, func() ledger.Event {
			response, found := r.Dispatcher.Lookup(ctx, a)
			return ledger.LookedUp{Organisation: a.Organisation, Key: a.Key, Found: found, Response: response}
		})
	case ledger.Answer:
		if result, ok := w.waiters[a.ID]; ok {
			delete(w.waiters, a.ID)
			result <- a.Result
		}
	case ledger.Resign:
		w.handleResign(a)
	}
}

// writeEvent returns the event for the result of a write. An error after which the
// write may have taken effect counts as a lost answer.
func writeEvent(id uint64, revision int64, err error) ledger.Event {
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

func (w *worker) handleResign(a ledger.Resign) {
	w.setHolder(a.Successor)
	w.registrar.OnResign(w.shardID, a)
	if w.draining {
		select {
		case <-w.released:
		default:
			close(w.released)
		}
		return
	}
	w.newShard()
	w.schedulePoll(time.Now())
}

// schedulePoll sets the time of the next read of the tail, with jitter so that
// daemons do not take over at the same time.
func (w *worker) schedulePoll(now time.Time) {
	interval := w.registrar.Lease / pollsPerLease
	if holder := w.knownHolder(); holder != "" && w.registrar.Reachable(holder) {
		interval = w.registrar.Lease
	}
	w.nextPoll = now.Add(interval/2 + time.Duration(w.rng.Float64()*float64(interval/2)))
}

// pollTail starts a read of the tail of a shard that is not held here.
func (w *worker) pollTail(ctx context.Context, now time.Time) {
	if w.shard.Holds() || w.takingOver || w.readingTail || w.draining || now.Before(w.nextPoll) ||
		w.registrar.Candidate(w.shardID) < 0 {
		return
	}
	w.readingTail = true
	w.schedulePoll(now)
	w.calls.Go(func() {
		e, err := w.registrar.Store.Get(ctx, ledger.TailKey(w.shardID))
		w.tailReads <- tailRead{e, err != nil && !errors.Is(err, keyvalue.ErrNotFound)}
	})
}

// handleTail takes the shard over when it has no holder, its holder is known to be
// gone, or its tail has not changed for the lease time. A later candidate waits
// longer, to let earlier ones go first.
func (w *worker) handleTail(ctx context.Context, now time.Time, read tailRead) {
	position := w.registrar.Candidate(w.shardID)
	if read.failed {
		// A holder can't write either while the service is away, so the time without
		// a change starts again.
		w.unchangedSince = time.Time{}
	}
	if read.failed || w.draining || w.takingOver || w.shard.Holds() || position < 0 {
		return
	}
	if w.unchangedSince.IsZero() || read.entry.Revision != w.revision {
		w.revision, w.unchangedSince = read.entry.Revision, now
	}
	var tail ledger.Tail
	if read.entry.Revision != 0 {
		var err error
		if tail, err = ledger.DecodeTail(read.entry.Value); err != nil {
			return
		}
	}
	w.setHolder(tail.Holder)
	vacant := tail.Holder == "" || tail.Holder == w.registrar.Daemon || w.registrar.Gone(tail.Holder)
	unchangedFor, stagger := now.Sub(w.unchangedSince), time.Duration(position)*w.registrar.Lease/pollsPerLease
	if vacant && unchangedFor >= stagger || unchangedFor >= w.registrar.Lease+stagger {
		w.takingOver = true
		w.step(ctx, w.shard, ledger.TakeOver{Revision: read.entry.Revision})
	}
}
