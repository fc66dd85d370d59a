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
	// Latency and write limit of the simulated key-value service.
	keyValueLatency         = 5 * time.Millisecond
	keyValueWritesPerSecond = 300.0
	// ledgerWriteBudget is the design's share of the writes per second for the ledger.
	ledgerWriteBudget = 150.0

	ledgerShards        = 16
	ledgerServiceTime   = 50 * time.Millisecond
	ledgerResponseBytes = 2 << 10
	// The warm-up is long enough for compactions and deletions to reach a steady rate.
	ledgerWarmUp   = 30 * time.Second
	ledgerDuration = 30 * time.Second
	// ledgerDrain is the time to record outcomes after the last order.
	ledgerDrain = 10 * time.Second
	// noMerge is a segment count that is never reached, so that segments are not merged.
	noMerge = 1 << 30
	// claimRetryDelay is the time before the baseline retries to write a response.
	claimRetryDelay = 100 * time.Millisecond
)

// simulation runs scheduled calls on simulated time, with a stand-in key-value service.
type simulation struct {
	now   time.Time
	queue callQueue
	seq   int
	store *standin.KeyValue
}

type scheduledCall struct {
	at  time.Time
	seq int
	run func()
}

type callQueue []scheduledCall

func (q callQueue) Len() int { return len(q) }

func (q callQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q callQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *callQueue) Push(x any)   { *q = append(*q, x.(scheduledCall)) }
func (q *callQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSimulation(seed uint64, faults standin.KeyValueFaults) *simulation {
	s := &simulation{now: time.Unix(1_000_000, 0), store: standin.NewKeyValue(seed)}
	s.store.Now = func() time.Time { return s.now }
	s.store.SetFaults(faults)
	return s
}

func (s *simulation) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, scheduledCall{s.now.Add(d), s.seq, run})
}

func (s *simulation) run(until time.Time) {
	for len(s.queue) > 0 && !s.queue[0].at.After(until) {
		next := heap.Pop(&s.queue).(scheduledCall)
		s.now = next.at
		next.run()
	}
	s.now = until
}

// callKeyValue runs request after half of the latency and its response after the rest.
func (s *simulation) callKeyValue(request func() func()) {
	s.after(keyValueLatency/2, func() {
		respond := request()
		s.after(keyValueLatency/2, respond)
	})
}

// ledgerRun collects the results of the orders of one run.
type ledgerRun struct {
	*simulation
	measureFrom, measureTo time.Time
	orders                 int
	refused                int
	latencies              []time.Duration
}

func (r *ledgerRun) inMeasuredTime(at time.Time) bool {
	return !at.Before(r.measureFrom) && at.Before(r.measureTo)
}

func (r *ledgerRun) recordDispatch(arrived time.Time) {
	if r.inMeasuredTime(arrived) {
		r.latencies = append(r.latencies, r.now.Sub(arrived))
	}
}

func (r *ledgerRun) recordRefusal(arrived time.Time) {
	if r.inMeasuredTime(arrived) {
		r.refused++
	}
}

// submitByClaim returns the submit function of the baseline. It claims each order by
// creating a key, and with storeResponse set also writes the response to that key.
func (r *ledgerRun) submitByClaim(storeResponse bool) func(key string) {
	response := make([]byte, ledgerResponseBytes)
	return func(key string) {
		arrived := r.now
		r.callKeyValue(func() func() {
			e, err := r.store.CompareAndSwap(context.Background(), "claims/"+key, []byte("claimed"), 0, "")
			return func() {
				if err != nil {
					r.recordRefusal(arrived)
					return
				}
				r.recordDispatch(arrived)
				if storeResponse {
					r.after(ledgerServiceTime, func() { r.writeResponse(e, response) })
				}
			}
		})
	}
}

func (r *ledgerRun) writeResponse(e keyvalue.Entry, response []byte) {
	r.callKeyValue(func() func() {
		_, err := r.store.CompareAndSwap(context.Background(), e.Key, response, e.Revision, "")
		return func() {
			if err != nil {
				r.after(claimRetryDelay, func() { r.writeResponse(e, response) })
			}
		}
	})
}

// shardRun drives the shards of the ledger.
type shardRun struct {
	*ledgerRun
	shards       []*ledger.Shard
	arrivalByID  map[uint64]time.Time
	arrivalByKey map[string]time.Time
}

// submitByShard starts the shards and returns a function that submits an order to the shard
// of its key.
func (r *ledgerRun) submitByShard(sealBytes, mergeCount int, seed uint64) func(key string) {
	s := &shardRun{ledgerRun: r, arrivalByID: map[uint64]time.Time{}, arrivalByKey: map[string]time.Time{}}
	for i := range ledgerShards {
		s.shards = append(s.shards, ledger.New(ledger.Config{
			Shard: i, Holder: "d", Incarnation: uint64(i + 1), WritesPerSecond: ledgerWriteBudget / ledgerShards,
			SealBytes: sealBytes, MergeCount: mergeCount, Rand: rand.New(rand.NewPCG(seed, uint64(i))),
		}))
		s.step(s.shards[i], ledger.TakeOver{})
		s.scheduleTick(s.shards[i])
	}
	id := uint64(0)
	return func(key string) {
		id++
		s.arrivalByID[id], s.arrivalByKey[key] = r.now, r.now
		s.step(s.shards[ledger.ShardOf("o", key, ledgerShards)], ledger.Submit{
			ID: id, Organisation: "o", Key: key, Kind: ledger.Order, Service: "khata-app", Request: []byte(key),
		})
	}
}

func (s *shardRun) scheduleTick(shard *ledger.Shard) {
	s.after(20*time.Millisecond, func() {
		s.step(shard, ledger.Tick{})
		s.scheduleTick(shard)
	})
}

func (s *shardRun) step(shard *ledger.Shard, ev ledger.Event) {
	for _, a := range shard.Step(s.now, ev) {
		switch a := a.(type) {
		case ledger.Dispatch:
			s.recordDispatch(s.arrivalByKey[a.Key])
			delete(s.arrivalByKey, a.Key)
			s.after(ledgerServiceTime, func() {
				s.step(shard, ledger.Outcome{
					Organisation: a.Organisation, Key: a.Key, Sequence: a.Sequence, Ran: problem.HasRun,
					Response: make([]byte, ledgerResponseBytes),
				})
			})
		case ledger.Answer:
			if a.Result.Problem != nil {
				s.recordRefusal(s.arrivalByID[a.ID])
			}
			delete(s.arrivalByID, a.ID)
		default:
			s.callKeyValue(func() func() {
				ev := s.performAction(a)
				return func() { s.step(shard, ev) }
			})
		}
	}
}

// performAction executes a key-value action of a shard.
func (s *simulation) performAction(a ledger.Action) ledger.Event {
	ctx := context.Background()
	writeEvent := func(id uint64, revision int64, err error) ledger.Event {
		var conflict *keyvalue.ConflictError
		switch {
		case err == nil, errors.Is(err, keyvalue.ErrNotFound):
			return ledger.Committed{ID: id, Revision: revision}
		case errors.As(err, &conflict):
			return ledger.CommitConflict{ID: id, Current: conflict.Current}
		default: // The stand-in loses no responses here.
			return ledger.CommitRefused{ID: id}
		}
	}
	switch a := a.(type) {
	case ledger.Write:
		e, err := s.store.CompareAndSwap(ctx, a.Key, a.Value, a.Revision, "")
		return writeEvent(a.ID, e.Revision, err)
	case ledger.Delete:
		return writeEvent(a.ID, 0, s.store.Delete(ctx, a.Key, a.Revision))
	case ledger.Read:
		e, err := s.store.Get(ctx, a.Key)
		return ledger.ReadBack{ID: a.ID, Entry: e, Failed: err != nil && !errors.Is(err, keyvalue.ErrNotFound)}
	}
	return ledger.Tick{}
}

// ledgerPolicies are the ways to record orders, the baselines first.
var ledgerPolicies = []struct {
	name string
	// start returns the function that submits an order.
	start func(r *ledgerRun, seed uint64) func(key string)
}{
	{"ClaimOnly", func(r *ledgerRun, _ uint64) func(string) { return r.submitByClaim(false) }},
	{"ClaimAndResponse", func(r *ledgerRun, _ uint64) func(string) { return r.submitByClaim(true) }},
	{"Shards16KB", func(r *ledgerRun, seed uint64) func(string) { return r.submitByShard(16<<10, 0, seed) }},
	{"Shards64KB", func(r *ledgerRun, seed uint64) func(string) { return r.submitByShard(64<<10, 0, seed) }},
	{"Shards64KBNoMerge", func(r *ledgerRun, seed uint64) func(string) { return r.submitByShard(64<<10, noMerge, seed) }},
}

// measureLedger compares one claim per order with shards and group commit.
func measureLedger(seed uint64) (Result, error) { return ledgerAtRates(seed, 1, 10, 100, 600), nil }

// ledgerAtRates runs all policies at the given rates of orders per second.
func ledgerAtRates(seed uint64, rates ...float64) Result {
	var result Result
	for _, rate := range rates {
		for _, p := range ledgerPolicies {
			r := &ledgerRun{simulation: newSimulation(seed, standin.KeyValueFaults{WritesPerSecond: keyValueWritesPerSecond})}
			r.measureFrom = r.now.Add(ledgerWarmUp)
			r.measureTo = r.measureFrom.Add(ledgerDuration)
			submit := p.start(r, seed)
			rng := rand.New(rand.NewPCG(seed, 11))
			var arrive func()
			arrive = func() {
				if r.inMeasuredTime(r.now) {
					r.orders++
				}
				submit(fmt.Sprint("key-", r.seq))
				if next := time.Duration(rng.ExpFloat64() / rate * float64(time.Second)); r.now.Add(next).Before(r.measureTo) {
					r.after(next, arrive)
				}
			}
			r.after(0, arrive)
			r.run(r.measureFrom)
			before := r.store.Counts()
			r.run(r.measureTo)
			after := r.store.Counts()
			r.run(r.measureTo.Add(ledgerDrain))
			result.Figures = append(result.Figures, r.figures(p.name, rate, before, after)...)
		}
	}
	return result
}

func (r *ledgerRun) figures(policy string, rate float64, before, after standin.KeyValueCounts) []Figure {
	slices.Sort(r.latencies)
	quantile := func(q float64) float64 {
		if len(r.latencies) == 0 {
			return 0
		}
		return r.latencies[int(q*float64(len(r.latencies)-1))].Seconds() * 1000
	}
	accepted := max(1, float64(r.orders-r.refused))
	writes := float64(after.Writes - before.Writes)
	figure := func(name string, value float64, unit string) Figure {
		return Figure{Name: fmt.Sprintf("%sAt%g", name, rate), Policy: policy, Value: value, Unit: unit}
	}
	perSecond := figure("Writes", writes/ledgerDuration.Seconds(), "writes/s")
	refused := figure("Refused", float64(r.refused)/max(1, float64(r.orders)), "")
	if policy == "Shards64KB" {
		// The write limiter may have saved up one second's worth of writes.
		perSecond.Bound, perSecond.Side = newBound(ledgerWriteBudget*(1+1/ledgerDuration.Seconds())), AtMost
		refused.Bound, refused.Side = newBound(0), AtMost
	}
	return []Figure{
		figure("WritesPerOrder", writes/accepted, "writes"), perSecond,
		figure("BytesPerOrder", float64(after.Bytes-before.Bytes)/accepted, "bytes"),
		figure("AddedP50", quantile(0.5), "ms"), figure("AddedP99", quantile(0.99), "ms"), refused,
	}
}
