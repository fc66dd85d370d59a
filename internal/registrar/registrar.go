// Package registrar runs the ledger shards of a daemon. It performs the actions of
// internal/ledger against the key-value service and the backend servers, with one
// goroutine for each shard. Its only decision is when to try a takeover, which is
// safe at any time.
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

// Store is the part of the key-value service that the ledger uses. Its errors are
// those of package keyvalue.
type Store interface {
	Get(ctx context.Context, key string) (keyvalue.Entry, error)
	CompareAndSwap(ctx context.Context, key string, value []byte, revision int64, lease string) (keyvalue.Entry, error)
	Delete(ctx context.Context, key string, revision int64) error
}

// Dispatcher runs requests at backend servers. Its methods are called from many
// goroutines and return when their context ends.
type Dispatcher interface {
	// Dispatch runs a request. Ran is NotRun only when no backend server can have
	// received the request. The registrar sets the key and sequence of the outcome.
	Dispatch(ctx context.Context, d ledger.Dispatch) ledger.Outcome
	// Lookup asks the service for the outcome of a key.
	Lookup(ctx context.Context, l ledger.Lookup) (response []byte, found bool)
}

// Defaults of a Registrar.
const (
	DefaultShards          = 16
	DefaultLease           = 30 * time.Second
	DefaultWritesPerSecond = 150.0

	// tickInterval is the interval of Shard ticks. It limits the delay until new
	// write tokens are used.
	tickInterval = 20 * time.Millisecond
	// idleTickInterval is the interval for shards that another daemon holds, which is
	// the case for most.
	idleTickInterval = 200 * time.Millisecond
	// pollsPerLease is how often within a lease the tail of a shard is read while its
	// holder is not reachable. It also determines the heartbeat of a holder and the
	// stagger between candidates.
	pollsPerLease = 3
	// MeanTailReadInterval is the mean time between two reads of a tail whose holder is
	// reachable, with the default lease; the actual time is between half of the lease
	// and the whole.
	MeanTailReadInterval = DefaultLease * 3 / 4
	// maxSubmissions and maxEvents are the capacities of a shard's channels. A
	// submission above the limit is refused as not run.
	maxSubmissions = 1024
	maxEvents      = 256
)

// Submission is an order, a request that runs at most once, or a draft.
type Submission struct {
	Organisation string
	Key          string
	Kind         ledger.Kind
	Service      string
	RequestID    string
	Request      []byte
	// Lookup reports whether the service can find outcomes by key.
	Lookup bool
	// Async makes Submit return as soon as a draft is committed.
	Async bool
	// Join makes Submit wait for the outcome of a key without sending a request.
	Join bool
}

// Registrar holds shards of the ledger. Set the exported fields before Run.
type Registrar struct {
	// Daemon is the ID of this daemon.
	Daemon string
	// Incarnation is unique for each process of the daemon; 0 means a random number.
	Incarnation uint64
	// Shards is the number of shards of the ledger; 0 means DefaultShards.
	Shards     int
	Store      Store
	Dispatcher Dispatcher
	// Lease is how long the tail of a holder may stay unchanged before another daemon
	// takes the shard over; 0 means DefaultLease.
	Lease time.Duration
	// Retention is how long a key is kept; 0 means the ledger's default.
	Retention time.Duration
	// WritesPerSecond is the write rate limit of the whole ledger; 0 means
	// DefaultWritesPerSecond. Each shard gets an equal part, so that all daemons
	// together stay within it, whoever holds the shards.
	WritesPerSecond float64
	// Candidate returns the position of this daemon in the order of takeover of a
	// shard, from 0, or a negative number when it does not take the shard over. Nil
	// means 0 for all shards.
	Candidate func(shard int) int
	// Gone reports whether a daemon is known to be gone. Nil means never.
	Gone func(daemon string) bool
	// Reachable reports whether a daemon answers over a link. The tails of its shards,
	// of up to 64 KB, are read once a lease instead of three times. A frozen holder
	// is still replaced after the lease; a daemon that is no longer reachable is
	// detected by Gone and Wake. Nil means that no daemon is reachable.
	Reachable func(daemon string) bool
	// OnResign is called when a shard is no longer held or was not taken over. It
	// must not block.
	OnResign func(shard int, r ledger.Resign)

	mu      sync.Mutex
	workers []*worker
	cancel  context.CancelFunc
	closed  bool
	ended   chan struct{}
}

// Run holds and takes over shards until the context ends or Close is called.
func (r *Registrar) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mu.Lock()
	if r.closed || r.workers != nil {
		r.mu.Unlock()
		return errors.New("registrar was run or closed before")
	}
	r.setDefaults()
	r.cancel, r.ended = cancel, make(chan struct{})
	for shard := range r.Shards {
		r.workers = append(r.workers, newWorker(r, shard))
	}
	workers, ended := r.workers, r.ended
	r.mu.Unlock()
	defer close(ended)

	var group sync.WaitGroup
	for _, w := range workers {
		group.Go(func() { w.run(ctx) })
	}
	group.Wait()
	return nil
}

func (r *Registrar) setDefaults() {
	if r.Shards <= 0 {
		r.Shards = DefaultShards
	}
	if r.Lease <= 0 {
		r.Lease = DefaultLease
	}
	if r.WritesPerSecond <= 0 {
		r.WritesPerSecond = DefaultWritesPerSecond
	}
	if r.Incarnation == 0 {
		r.Incarnation = rand.Uint64()
	}
	if r.Candidate == nil {
		r.Candidate = func(int) int { return 0 }
	}
	if r.Gone == nil {
		r.Gone = func(string) bool { return false }
	}
	if r.Reachable == nil {
		r.Reachable = func(string) bool { return false }
	}
	if r.OnResign == nil {
		r.OnResign = func(int, ledger.Resign) {}
	}
}

// Close stops Run without a hand-off and waits until it has ended. Open submissions
// are answered OutcomeUnknown.
func (r *Registrar) Close() error {
	r.mu.Lock()
	r.closed = true
	cancel, ended := r.cancel, r.ended
	r.mu.Unlock()
	if cancel != nil {
		cancel()
		<-ended
	}
	return nil
}

func (r *Registrar) worker(shard int) *worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	if shard < 0 || shard >= len(r.workers) {
		return nil
	}
	return r.workers[shard]
}

// Submit records a submission, runs it and returns the final outcome. The error is a
// *problem.Problem. The request continues to run after the context ends.
func (r *Registrar) Submit(ctx context.Context, s Submission) (ledger.Result, error) {
	r.mu.Lock()
	shards := len(r.workers)
	r.mu.Unlock()
	if shards == 0 {
		return ledger.Result{}, problem.New(problem.LedgerUnavailable, "the ledger has not started")
	}
	result := r.worker(ledger.ShardOf(s.Organisation, s.Key, shards)).submit(ctx, s)
	if result.Problem != nil {
		result.Problem.RequestID = s.RequestID
		return ledger.Result{}, result.Problem
	}
	return result, nil
}

// Holder returns the daemon that holds a shard, so that others can forward to it. The
// result may be out of date; the returned daemon then refuses the submission as not
// run, and the caller calls ForgetHolder and Holder again.
func (r *Registrar) Holder(ctx context.Context, shard int) (string, error) {
	w := r.worker(shard)
	if w == nil {
		return "", errors.NotFoundf("shard %d", shard)
	}
	if holder := w.knownHolder(); holder != "" {
		return holder, nil
	}
	e, err := r.Store.Get(ctx, ledger.TailKey(shard))
	if errors.Is(err, keyvalue.ErrNotFound) {
		return "", errors.NotFoundf("holder of shard %d", shard)
	}
	if err != nil {
		return "", errors.Annotatef(err, "read the holder of shard %d", shard)
	}
	tail, err := ledger.DecodeTail(e.Value)
	if err != nil {
		return "", err
	}
	if tail.Holder == "" {
		return "", errors.NotFoundf("holder of shard %d", shard)
	}
	w.setHolder(tail.Holder)
	return tail.Holder, nil
}

// HeldShards returns the shards that this daemon holds, for display to operators.
func (r *Registrar) HeldShards() []int {
	held := []int{}
	for shard := range r.Shards {
		if w := r.worker(shard); w != nil && w.knownHolder() == r.Daemon {
			held = append(held, shard)
		}
	}
	return held
}

// ForgetHolder clears the cached holder of a shard.
func (r *Registrar) ForgetHolder(shard int) {
	if w := r.worker(shard); w != nil {
		w.setHolder("")
	}
}

// Wake makes all shards read their tails at their next tick, for example because a
// daemon is known to be gone.
func (r *Registrar) Wake() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.workers {
		w.wakeUp()
	}
}

// HandOff releases all shards and stops taking over shards. It returns when all are
// released or the context ends. Running orders are awaited until the deadline.
func (r *Registrar) HandOff(ctx context.Context, deadline time.Time) error {
	r.mu.Lock()
	workers := r.workers
	r.mu.Unlock()
	for _, w := range workers {
		w.handOff(deadline)
	}
	for _, w := range workers {
		select {
		case <-w.released:
		case <-w.done:
		case <-ctx.Done():
			return errors.Annotatef(ctx.Err(), "hand off shard %d", w.shardID)
		}
	}
	return nil
}
