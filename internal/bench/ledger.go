package bench

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/keyvalue"
	"apricotbridge/internal/ledger"
	"apricotbridge/internal/standin"
	"apricotbridge/pkg/problem"
)

const (
	// The key-value service of the ledger measures.
	ledgerLatency         = 5 * time.Millisecond
	ledgerWritesPerSecond = 300.0
	// ledgerBudget is the share of the writes that the design gives to the ledger.
	ledgerBudget = 150.0

	ledgerShards        = 16
	ledgerServiceTime   = 50 * time.Millisecond
	ledgerResponseBytes = 2 << 10
	// The warm-up is long enough for compactions and deletions to reach their rate.
	ledgerWarmUp   = 30 * time.Second
	ledgerDuration = 30 * time.Second
	// ledgerDrain lets outcomes be recorded after the last order.
	ledgerDrain = 10 * time.Second
	// noMerge is a number of segments that is never reached.
	noMerge = 1 << 30
	// claimRetry is the wait of the baseline before an outcome is written again.
	claimRetry = 100 * time.Millisecond
)

// simulation is a queue of calls on simulated time.
type simulation struct {
	now   time.Time
	queue simulated
	seq   int
	store *standin.KeyValue
}

type simulatedCall struct {
	at  time.Time
	seq int
	run func()
}

type simulated []simulatedCall

func (q simulated) Len() int { return len(q) }

func (q simulated) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q simulated) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simulated) Push(x any)   { *q = append(*q, x.(simulatedCall)) }
func (q *simulated) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSimulation(seed uint64, faults standin.Faults) *simulation {
	s := &simulation{now: time.Unix(1_000_000, 0), store: standin.NewKeyValue(seed)}
	s.store.Now = func() time.Time { return s.now }
	s.store.SetFaults(faults)
	return s
}

func (s *simulation) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, simulatedCall{s.now.Add(d), s.seq, run})
}

func (s *simulation) run(until time.Time) {
	for len(s.queue) > 0 && !s.queue[0].at.After(until) {
		next := heap.Pop(&s.queue).(simulatedCall)
		s.now = next.at
		next.run()
	}
	s.now = until
}

// call reaches the service after half of the latency and answers after the rest.
func (s *simulation) call(f func() func()) {
	s.after(ledgerLatency/2, func() {
		answer := f()
		s.after(ledgerLatency/2, answer)
	})
}

// ledgerRun collects what happened to the orders of one run.
type ledgerRun struct {
	*simulation
	from, to time.Time
	orders   int
	refused  int
	waits    []time.Duration
}

func (r *ledgerRun) counts(at time.Time) bool { return !at.Before(r.from) && at.Before(r.to) }

func (r *ledgerRun) dispatched(arrived time.Time) {
	if r.counts(arrived) {
		r.waits = append(r.waits, r.now.Sub(arrived))
	}
}

func (r *ledgerRun) refuse(arrived time.Time) {
	if r.counts(arrived) {
		r.refused++
	}
}

// claims is the baseline: each order is claimed by the creation of a key, and
// store says whether its response is written to the key as well.
func (r *ledgerRun) claims(store bool) func(key string) {
	response := make([]byte, ledgerResponseBytes)
	return func(key string) {
		arrived := r.now
		r.call(func() func() {
			e, err := r.store.CompareAndSwap(context.Background(), "claims/"+key, []byte("claimed"), 0, "")
			return func() {
				if err != nil {
					r.refuse(arrived)
					return
				}
				r.dispatched(arrived)
				if store {
					r.after(ledgerServiceTime, func() { r.storeClaim(e, response) })
				}
			}
		})
	}
}

func (r *ledgerRun) storeClaim(e keyvalue.Entry, response []byte) {
	r.call(func() func() {
		_, err := r.store.CompareAndSwap(context.Background(), e.Key, response, e.Revision, "")
		return func() {
			if err != nil {
				r.after(claimRetry, func() { r.storeClaim(e, response) })
			}
		}
	})
}

// shardRun drives the shards of the ledger.
type shardRun struct {
	*ledgerRun
	shards  []*ledger.Shard
	arrived map[uint64]time.Time
	keys    map[string]time.Time
}

func (r *ledgerRun) sharded(sealBytes, mergeCount int, seed uint64) func(key string) {
	s := &shardRun{ledgerRun: r, arrived: map[uint64]time.Time{}, keys: map[string]time.Time{}}
	for i := range ledgerShards {
		s.shards = append(s.shards, ledger.New(ledger.Config{
			Shard: i, Holder: "d", Incarnation: uint64(i + 1), WritesPerSecond: ledgerBudget / ledgerShards,
			SealBytes: sealBytes, MergeCount: mergeCount, Rand: rand.New(rand.NewPCG(seed, uint64(i))),
		}))
		s.step(s.shards[i], ledger.TakeOver{})
		s.ticks(s.shards[i])
	}
	id := uint64(0)
	return func(key string) {
		id++
		s.arrived[id], s.keys[key] = r.now, r.now
		s.step(s.shards[ledger.ShardOf("o", key, ledgerShards)], ledger.Submit{
			ID: id, Organisation: "o", Key: key, Kind: ledger.Order, Service: "khata-app", Request: []byte(key),
		})
	}
}

func (s *shardRun) ticks(shard *ledger.Shard) {
	s.after(20*time.Millisecond, func() {
		s.step(shard, ledger.Tick{})
		s.ticks(shard)
	})
}

func (s *shardRun) step(shard *ledger.Shard, ev ledger.Event) {
	for _, a := range shard.Step(s.now, ev) {
		switch a := a.(type) {
		case ledger.Dispatch:
			s.dispatched(s.keys[a.Key])
			delete(s.keys, a.Key)
			s.after(ledgerServiceTime, func() {
				s.step(shard, ledger.Outcome{
					Organisation: a.Organisation, Key: a.Key, Sequence: a.Sequence, Ran: problem.HasRun,
					Response: make([]byte, ledgerResponseBytes),
				})
			})
		case ledger.Answer:
			if a.Result.Problem != nil {
				s.refuse(s.arrived[a.ID])
			}
			delete(s.arrived, a.ID)
		default:
			s.call(func() func() {
				ev := s.perform(a)
				return func() { s.step(shard, ev) }
			})
		}
	}
}

// perform makes a call of a shard to the key-value service.
func (s *simulation) perform(a ledger.Action) ledger.Event {
	ctx := context.Background()
	written := func(id uint64, revision int64, err error) ledger.Event {
		var conflict *keyvalue.ConflictError
		switch {
		case err == nil, errors.Is(err, keyvalue.ErrNotFound):
			return ledger.Committed{ID: id, Revision: revision}
		case errors.As(err, &conflict):
			return ledger.CommitConflict{ID: id, Current: conflict.Current}
		default: // The stand-in loses no answers here.
			return ledger.CommitRefused{ID: id}
		}
	}
	switch a := a.(type) {
	case ledger.Write:
		e, err := s.store.CompareAndSwap(ctx, a.Key, a.Value, a.Revision, "")
		return written(a.ID, e.Revision, err)
	case ledger.Delete:
		return written(a.ID, 0, s.store.Delete(ctx, a.Key, a.Revision))
	case ledger.Read:
		e, err := s.store.Get(ctx, a.Key)
		return ledger.ReadBack{ID: a.ID, Entry: e, Failed: err != nil && !errors.Is(err, keyvalue.ErrNotFound)}
	}
	return ledger.Tick{}
}

// ledgerPolicies are the ways to record orders, the baselines first.
var ledgerPolicies = []struct {
	name  string
	start func(r *ledgerRun, seed uint64) func(key string)
}{
	{"ClaimOnly", func(r *ledgerRun, _ uint64) func(string) { return r.claims(false) }},
	{"ClaimAndResponse", func(r *ledgerRun, _ uint64) func(string) { return r.claims(true) }},
	{"Shards16KB", func(r *ledgerRun, seed uint64) func(string) { return r.sharded(16<<10, 0, seed) }},
	{"Shards64KB", func(r *ledgerRun, seed uint64) func(string) { return r.sharded(64<<10, 0, seed) }},
	{"Shards64KBNoMerge", func(r *ledgerRun, seed uint64) func(string) { return r.sharded(64<<10, noMerge, seed) }},
}

// measureLedger compares one claim per order with shards and group commit.
func measureLedger(seed uint64) (Result, error) { return ledgerAt(seed, 1, 10, 100, 600), nil }

// ledgerAt runs all policies at the given rates of orders a second.
func ledgerAt(seed uint64, rates ...float64) Result {
	var result Result
	for _, rate := range rates {
		for _, p := range ledgerPolicies {
			r := &ledgerRun{simulation: newSimulation(seed, standin.Faults{WritesPerSecond: ledgerWritesPerSecond})}
			r.from = r.now.Add(ledgerWarmUp)
			r.to = r.from.Add(ledgerDuration)
			submit := p.start(r, seed)
			rng := rand.New(rand.NewPCG(seed, 11))
			var arrive func()
			arrive = func() {
				if r.counts(r.now) {
					r.orders++
				}
				submit(fmt.Sprint("key-", r.seq))
				if next := time.Duration(rng.ExpFloat64() / rate * float64(time.Second)); r.now.Add(next).Before(r.to) {
					r.after(next, arrive)
				}
			}
			r.after(0, arrive)
			r.run(r.from)
			before := r.store.Counts()
			r.run(r.to)
			after := r.store.Counts()
			r.run(r.to.Add(ledgerDrain))
			result.Figures = append(result.Figures, r.figures(p.name, rate, before, after)...)
		}
	}
	return result
}

func (r *ledgerRun) figures(policy string, rate float64, before, after standin.Counts) []Figure {
	slices.Sort(r.waits)
	quantile := func(q float64) float64 {
		if len(r.waits) == 0 {
			return 0
		}
		return r.waits[int(q*float64(len(r.waits)-1))].Seconds() * 1000
	}
	done := max(1, float64(r.orders-r.refused))
	writes := float64(after.Writes - before.Writes)
	f := func(name string, value float64, unit string) Figure {
		return Figure{Name: fmt.Sprintf("%sAt%g", name, rate), Policy: policy, Value: value, Unit: unit}
	}
	perSecond := f("Writes", writes/ledgerDuration.Seconds(), "writes/s")
	refused := f("Refused", float64(r.refused)/max(1, float64(r.orders)), "")
	if policy == "Shards64KB" {
		// One second's worth of writes may have been saved up before.
		perSecond.Bound, perSecond.Side = bound(ledgerBudget*(1+1/ledgerDuration.Seconds())), AtMost
		refused.Bound, refused.Side = bound(0), AtMost
	}
	return []Figure{
		f("WritesPerOrder", writes/done, "writes"), perSecond,
		f("BytesPerOrder", float64(after.Bytes-before.Bytes)/done, "bytes"),
		f("AddedP50", quantile(0.5), "ms"), f("AddedP99", quantile(0.99), "ms"), refused,
	}
}
