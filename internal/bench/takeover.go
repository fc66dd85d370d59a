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

// interRegionBytesPerSecond is the bandwidth between regions, 30 Mbit/s.
const interRegionBytesPerSecond = 30e6 / 8

// takeoverRun drives one shard and replaces its holder.
type takeoverRun struct {
	*simulation
	answered int
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
				r.answered++
			}
		case ledger.Write, ledger.Read, ledger.Delete:
			r.callKeyValue(func() func() {
				ev := r.performAction(a)
				return func() { r.step(shard, ev) }
			})
		}
	}
}

// tickFor advances the time and ticks one shard.
func (r *takeoverRun) tickFor(shard *ledger.Shard, d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.run(r.now.Add(20 * time.Millisecond))
		r.step(shard, ledger.Tick{})
	}
}

func (r *takeoverRun) startHolder(seed, incarnation uint64, mergeCount int) *ledger.Shard {
	shard := ledger.New(ledger.Config{
		Holder: "d", Incarnation: incarnation, WritesPerSecond: keyValueWritesPerSecond,
		MergeCount: mergeCount,
		Rand:       rand.New(rand.NewPCG(seed, incarnation)),
	})
	r.step(shard, ledger.TakeOver{})
	return shard
}

func (r *takeoverRun) submit(shard *ledger.Shard, key int) {
	r.step(shard, ledger.Submit{
		ID: uint64(key) + 1, Organisation: "organisation-1", Key: fmt.Sprintf("order-%032d", key),
		Kind: ledger.Order, Service: "khata-app", Request: []byte("order"),
	})
}

// measureTakeover compares a takeover that reads the indexes with one that reads whole
// segments, with and without merging segments.
func measureTakeover(seed uint64) (Result, error) { return takeoverOfSizes(seed, 100, 1_000, 10_000) }

// takeoverOfSizes measures takeovers of shards with the given numbers of keys.
func takeoverOfSizes(seed uint64, keyCounts ...int) (Result, error) {
	var result Result
	for _, keys := range keyCounts {
		for suffix, mergeCount := range map[string]int{"": 0, "NoMerge": noMerge} {
			indexes, whole, repeated, err := takeoverCosts(seed, keys, mergeCount)
			if err != nil {
				return result, err
			}
			addFigure := func(policy, name string, value float64, unit string) {
				result.Figures = append(result.Figures, Figure{
					Name: fmt.Sprintf("%sOf%d", name, keys), Policy: policy + suffix, Value: value, Unit: unit,
				})
			}
			for policy, cost := range map[string]takeoverCost{"WholeShard": whole, "Indexes": indexes} {
				addFigure(policy, "Calls", cost.calls(), "calls")
				addFigure(policy, "Bytes", cost.bytes(), "bytes")
				addFigure(policy, "TimeNear", cost.duration.Seconds()*1000, "ms")
				addFigure(policy, "TimeOverLink", (cost.duration.Seconds()+cost.bytes()/interRegionBytesPerSecond)*1000, "ms")
			}
			addFigure("Indexes", "RepeatedKeyBytes", repeated.bytes(), "bytes")
			addFigure("Indexes", "ShareOfBytes", indexes.bytes()/whole.bytes(), "")
			// An index entry is about a twentieth of a response of 2 KB; both takeovers also
			// read and write the tail, which is a larger part of a small shard.
			result.Figures[len(result.Figures)-1].Bound, result.Figures[len(result.Figures)-1].Side = newBound(0.25), AtMost
		}
	}
	slices.SortFunc(result.Figures, func(a, b Figure) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), strings.Compare(a.Policy, b.Policy))
	})
	return result, nil
}

// takeoverCosts fills a shard and returns the costs of a takeover by indexes, of reading the
// whole shard, and of the first repeated key after the takeover by indexes.
func takeoverCosts(seed uint64, keys, mergeCount int) (indexes, whole, repeated takeoverCost, err error) {
	r := &takeoverRun{simulation: newSimulation(seed, standin.KeyValueFaults{})}
	oldHolder := r.startHolder(seed, 1, mergeCount)
	r.tickFor(oldHolder, time.Second)
	for key := range keys {
		r.submit(oldHolder, key)
		r.run(r.now.Add(10 * time.Millisecond))
		if key%2 == 0 {
			r.step(oldHolder, ledger.Tick{})
		}
	}
	r.tickFor(oldHolder, 10*time.Second)
	if r.answered != keys {
		return indexes, whole, repeated, errors.Errorf("only %d of %d orders were answered", r.answered, keys)
	}
	if whole, err = r.readWholeShard(); err != nil {
		return indexes, whole, repeated, err
	}

	indexes.before = r.store.Counts()
	start := r.now
	newHolder := r.startHolder(seed, 2, mergeCount)
	for !newHolder.Holds() {
		if len(r.queue) == 0 {
			return indexes, whole, repeated, errors.New("takeover is incomplete but no call is scheduled")
		}
		r.run(r.queue[0].at)
	}
	indexes.after, indexes.duration = r.store.Counts(), r.now.Sub(start)

	r.tickFor(newHolder, time.Second) // Completes the calls of the takeover.
	repeated.before = r.store.Counts()
	r.submit(newHolder, 0)
	r.run(r.now.Add(keyValueLatency))
	repeated.after, repeated.duration = r.store.Counts(), keyValueLatency
	if r.answered != keys+1 {
		err = errors.New("order with a repeated key was not answered")
	}
	return indexes, whole, repeated, err
}

// takeoverCost is the cost of a takeover at the key-value service.
type takeoverCost struct {
	before, after standin.KeyValueCounts
	duration      time.Duration
}

func (c takeoverCost) calls() float64 {
	return float64(c.after.Reads + c.after.Writes - c.before.Reads - c.before.Writes)
}

func (c takeoverCost) bytes() float64 { return float64(c.after.Bytes - c.before.Bytes) }

// readWholeShard reads the tail, writes it like a claim, and reads all segments in parallel.
func (r *takeoverRun) readWholeShard() (takeoverCost, error) {
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
	duration := 2 * keyValueLatency
	for _, segment := range tail.Segments {
		duration = 3 * keyValueLatency
		if _, err = r.store.Get(ctx, ledger.TailKey(0)+"/"+segment.Name); err != nil {
			return takeoverCost{}, err
		}
	}
	return takeoverCost{before, r.store.Counts(), duration}, nil
}
