package bench

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/ledger"
	"apricotbridge/internal/standin"
	"apricotbridge/pkg/problem"
)

// linkBytesPerSecond is the link between regions, 30 Mbit/s.
const linkBytesPerSecond = 30e6 / 8

// takeoverRun drives one shard whose holder is replaced.
type takeoverRun struct {
	*simulation
	answers int
}

func (r *takeoverRun) step(shard *ledger.Shard, ev ledger.Event) {
	for _, a := range shard.Step(r.now, ev) {
		switch a := a.(type) {
		case ledger.Dispatch:
			r.step(shard, ledger.Outcome{
				Organisation: a.Organisation, Key: a.Key, Sequence: a.Sequence, Ran: problem.HasRun,
				Response: make([]byte, ledgerResponseBytes),
			})
		case ledger.Answer:
			if a.Result.Problem == nil {
				r.answers++
			}
		case ledger.Write, ledger.Read, ledger.Delete:
			r.call(func() func() {
				ev := r.perform(a)
				return func() { r.step(shard, ev) }
			})
		}
	}
}

// tickFor lets time pass for one shard.
func (r *takeoverRun) tickFor(shard *ledger.Shard, d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.run(r.now.Add(20 * time.Millisecond))
		r.step(shard, ledger.Tick{})
	}
}

func (r *takeoverRun) holder(seed, incarnation uint64, mergeCount int) *ledger.Shard {
	shard := ledger.New(ledger.Config{
		Holder: "d", Incarnation: incarnation, WritesPerSecond: ledgerWritesPerSecond,
		MergeCount: mergeCount,
		Rand:       rand.New(rand.NewPCG(seed, incarnation)),
	})
	r.step(shard, ledger.TakeOver{})
	return shard
}

func (r *takeoverRun) ask(shard *ledger.Shard, key int) {
	r.step(shard, ledger.Submit{
		ID: uint64(key) + 1, Organisation: "organisation-1", Key: fmt.Sprintf("order-%032d", key),
		Kind: ledger.Order, Service: "khata-app", Request: []byte("order"),
	})
}

// measureTakeover compares a takeover that reads the indexes with one that reads
// whole segments, with and without compaction.
func measureTakeover(seed uint64) (Result, error) { return takeoverOf(seed, 100, 1_000, 10_000) }

// takeoverOf takes over shards with the given numbers of keys.
func takeoverOf(seed uint64, kept ...int) (Result, error) {
	var result Result
	for _, keys := range kept {
		for suffix, mergeCount := range map[string]int{"": 0, "NoMerge": noMerge} {
			indexes, whole, repeated, err := takeovers(seed, keys, mergeCount)
			if err != nil {
				return result, err
			}
			f := func(policy, name string, value float64, unit string) {
				result.Figures = append(result.Figures, Figure{
					Name: fmt.Sprintf("%sOf%d", name, keys), Policy: policy + suffix, Value: value, Unit: unit,
				})
			}
			for policy, cost := range map[string]takeoverCost{"WholeShard": whole, "Indexes": indexes} {
				f(policy, "Calls", cost.calls(), "calls")
				f(policy, "Bytes", cost.bytes(), "bytes")
				f(policy, "TimeNear", cost.spent.Seconds()*1000, "ms")
				f(policy, "TimeOverLink", (cost.spent.Seconds()+cost.bytes()/linkBytesPerSecond)*1000, "ms")
			}
			f("Indexes", "RepeatedKeyBytes", repeated.bytes(), "bytes")
			f("Indexes", "ShareOfBytes", indexes.bytes()/whole.bytes(), "")
			// An index entry is about a twentieth of a response of 2 KB; the tail, which
			// both read and write, weighs more in a small shard.
			result.Figures[len(result.Figures)-1].Bound, result.Figures[len(result.Figures)-1].Side = bound(0.25), AtMost
		}
	}
	slices.SortFunc(result.Figures, func(a, b Figure) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), strings.Compare(a.Policy, b.Policy))
	})
	return result, nil
}

// takeovers fills a shard and returns the cost of a takeover by indexes, of reading
// the whole shard, and of the first repeated key after the former.
func takeovers(seed uint64, keys, mergeCount int) (indexes, whole, repeated takeoverCost, err error) {
	r := &takeoverRun{simulation: newSimulation(seed, standin.Faults{})}
	first := r.holder(seed, 1, mergeCount)
	r.tickFor(first, time.Second)
	for key := range keys {
		r.ask(first, key)
		r.run(r.now.Add(10 * time.Millisecond))
		if key%2 == 0 {
			r.step(first, ledger.Tick{})
		}
	}
	r.tickFor(first, 10*time.Second)
	if r.answers != keys {
		return indexes, whole, repeated, errors.Errorf("%d of %d orders were answered", r.answers, keys)
	}
	if whole, err = r.readWhole(); err != nil {
		return indexes, whole, repeated, err
	}

	indexes.before = r.store.Counts()
	start := r.now
	second := r.holder(seed, 2, mergeCount)
	for !second.Holds() {
		if len(r.queue) == 0 {
			return indexes, whole, repeated, errors.New("the takeover has stopped")
		}
		r.run(r.queue[0].at)
	}
	indexes.after, indexes.spent = r.store.Counts(), r.now.Sub(start)

	r.tickFor(second, time.Second) // Ends what the takeover has started.
	repeated.before = r.store.Counts()
	r.ask(second, 0)
	r.run(r.now.Add(ledgerLatency))
	repeated.after, repeated.spent = r.store.Counts(), ledgerLatency
	if r.answers != keys+1 {
		err = errors.New("the repeated key was not answered")
	}
	return indexes, whole, repeated, err
}

// takeoverCost is what the key-value service took for a takeover.
type takeoverCost struct {
	before, after standin.Counts
	spent         time.Duration
}

func (c takeoverCost) calls() float64 {
	return float64(c.after.Reads + c.after.Writes - c.before.Reads - c.before.Writes)
}

func (c takeoverCost) bytes() float64 { return float64(c.after.Bytes - c.before.Bytes) }

// readWhole reads the tail, writes it as a claim does, and reads all segments at
// once.
func (r *takeoverRun) readWhole() (takeoverCost, error) {
	ctx, before := context.Background(), r.store.Counts()
	e, err := r.store.Get(ctx, ledger.TailKey(0))
	if err != nil {
		return takeoverCost{}, err
	}
	tail, err := ledger.DecodeTail(e.Value)
	if err != nil {
		return takeoverCost{}, err
	}
	if _, err = r.store.CompareAndSwap(ctx, e.Key, e.Value, e.Revision, ""); err != nil {
		return takeoverCost{}, err
	}
	spent := 2 * ledgerLatency
	for _, segment := range tail.Segments {
		spent = 3 * ledgerLatency
		if _, err = r.store.Get(ctx, ledger.TailKey(0)+"/"+segment.Name); err != nil {
			return takeoverCost{}, err
		}
	}
	return takeoverCost{before, r.store.Counts(), spent}, nil
}
