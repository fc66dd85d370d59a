package ledger

import (
	"flag"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"apricotbridge/pkg/problem"
)

var (
	schedules = flag.Int("schedules", 200, "random schedules to run")
	firstSeed = flag.Uint64("first-seed", 1, "seed of the first schedule")
)

// register is what the model knows of a key.
type register struct {
	runs    []int // in order
	by      []int // submissions that ran
	refused []int // submissions answered NotRun
	stored  int
}

// model is a register of runs per key. An order runs at most once, a submission
// answered NotRun has no run, the holder answers NotRun only for a key without a
// run, and every response is that of the same run.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			in, out := op.Input.(operation), op.Output.(output)
			if in.run != 0 || out != (output{}) { // No answer, accepted and unknown say nothing.
				byKey[in.key] = append(byKey[in.key], op)
			}
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return register{} },
	Step: func(state, input, o any) (bool, any) {
		r, in, out := state.(register), input.(operation), o.(output)
		switch {
		case in.run != 0:
			ok := !slices.Contains(r.refused, in.attempt) && (in.kind == Draft || len(r.runs) == 0)
			r.runs = append(slices.Clip(r.runs), in.run)
			r.by = append(slices.Clip(r.by), in.attempt)
			return ok, r
		case out.notRun:
			ok := !slices.Contains(r.by, in.attempt) && (!out.holder || len(r.runs) == 0)
			r.refused = append(slices.Clip(r.refused), in.attempt)
			return ok, r
		default:
			ok := slices.Contains(r.runs, out.response) && (r.stored == 0 || r.stored == out.response)
			r.stored = out.response
			return ok, r
		}
	},
	Equal: func(a, b any) bool {
		x, y := a.(register), b.(register)
		return x.stored == y.stored && slices.Equal(x.runs, y.runs) && slices.Equal(x.refused, y.refused)
	},
}

// finish ends all faults, asks for every key once more and checks the history.
func (w *world) finish() error {
	w.down, w.losing, w.slow = w.now, w.now, w.now
	w.run(12 * time.Second)
	for _, key := range w.keys {
		finished := !w.accepted[key]
		// A takeover in between may answer OutcomeUnknown, so the key is sent again.
		for range 20 {
			if !finished {
				w.submit(key, w.holder())
				w.run(time.Second)
				finished = w.history[w.last].Output.(output).response != 0
			}
		}
		if !finished {
			return fmt.Errorf("accepted draft %s has not finished", key)
		}
	}
	left := 1
	for i := 0; i < 60 && left > 0; i++ { // A budget of 3 writes/s takes a while.
		w.run(time.Second)
		left = 0
		if s, ok := w.holder().shard.(*Shard); ok {
			left = len(s.pending) + len(s.tail.Garbage)
		}
	}
	if left > 0 {
		return fmt.Errorf("%d records and segments are left over", left)
	}
	for _, part := range model.Partition(w.history) {
		if result := porcupine.CheckOperationsTimeout(model, part, time.Minute); result != porcupine.Ok {
			return fmt.Errorf("history of a key is %s: %+v", result, part)
		}
	}
	return nil
}

// counts say what the schedules have covered.
type counts struct {
	Submissions, Runs, Responses, NotRun, NoAnswer, Takeovers, Segments, Deletions int
}

func (c *counts) add(w *world) {
	c.Submissions += len(w.history) - w.runs
	c.Runs += w.runs
	for _, op := range w.history {
		switch out := op.Output.(output); {
		case out.response != 0:
			c.Responses++
		case out.notRun:
			c.NotRun++
		case op.Return == 1<<60:
			c.NoAnswer++
		}
	}
	t := w.tail()
	c.Takeovers += int(t.Fence)
	c.Segments += w.segments
	c.Deletions += w.deletions
}

// schedule runs one seeded random schedule.
func schedule(seed uint64, build func(Config) stepper) (w *world, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("panic: %v", r)
		}
	}()
	w = newWorld(seed, build)
	w.run(time.Second)
	faults := w.faults()
	for range 80 {
		switch p := w.rng.Float64(); {
		case p < 0.5:
			w.submitNew()
		case p < 0.8:
			w.resend()
		default:
			faults[w.rng.IntN(len(faults))]()
		}
		w.run(w.ms(1, 400))
	}
	return w, w.finish()
}

func sound(c Config) stepper { return New(c) }

// TestSchedules guards against a second run of an order, a NotRun answer for a
// request that ran, a wrong stored response and a lost draft under kills, pauses,
// outages, lost and slow answers, resends and hand-offs.
func TestSchedules(t *testing.T) {
	var (
		group sync.WaitGroup
		mu    sync.Mutex
		total counts
	)
	seeds := make(chan uint64)
	for range runtime.GOMAXPROCS(0) {
		group.Go(func() {
			for seed := range seeds {
				w, err := schedule(seed, sound)
				mu.Lock()
				if err != nil {
					t.Errorf("seed %d: %v", seed, err)
				}
				total.add(w)
				mu.Unlock()
			}
		})
	}
	for i := range uint64(*schedules) {
		seeds <- *firstSeed + i
	}
	close(seeds)
	group.Wait()
	t.Logf("seeds %d to %d: %+v", *firstSeed, *firstSeed+uint64(*schedules)-1, total)
}

// TestStateMachine lets rapid choose and shrink the sequence of faults.
func TestStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), sound)
		w.run(time.Second)
		actions := map[string]func(*rapid.T){}
		all := append(w.faults(), w.submitNew, w.submitNew, w.submitBurst, w.submitBurst, w.submitBurst, w.submitBurst,
			w.resend, w.resend, w.resend, w.resend)
		for i, f := range all {
			actions[fmt.Sprintf("%02d", i)] = func(*rapid.T) { f(); w.run(w.ms(1, 400)) }
		}
		t.Repeat(actions)
		if err := w.finish(); err != nil {
			t.Fatal(err)
		}
	})
}

// earlyDispatch is a broken variant that dispatches with the write instead of
// after its commit.
type earlyDispatch struct {
	*Shard
	sent map[uint64]bool
}

func (v *earlyDispatch) Step(now time.Time, ev Event) []Action {
	var out []Action
	for _, a := range v.Shard.Step(now, ev) {
		if d, ok := a.(Dispatch); ok && v.sent[d.Sequence] {
			continue
		}
		out = append(out, a)
		if write, ok := a.(Write); !ok || write.Key != TailKey(0) {
			continue
		}
		tail, _ := DecodeTail(a.(Write).Value)
		for _, r := range tail.Records {
			if h := r.Head; h.State == Open && h.Fence == tail.Fence && !v.sent[h.Sequence] {
				v.sent[h.Sequence] = true
				out = append(out, Dispatch{
					Organisation: h.Organisation, Key: h.Key, Sequence: h.Sequence, Kind: h.Kind,
					RequestID: r.RequestID, Fence: tail.Fence,
				})
			}
		}
	}
	return out
}

// clockLease is a broken variant that writes without a comparison while its own
// clock says that its lease lasts.
type clockLease struct {
	*Shard
	until time.Time
}

func (v *clockLease) Step(now time.Time, ev Event) []Action {
	if _, ok := ev.(Committed); ok && v.Holds() {
		v.until = now.Add(leaseTime)
	}
	out := v.Shard.Step(now, ev)
	for i, a := range out {
		if write, ok := a.(Write); ok && write.Key == TailKey(0) && v.Holds() && now.Before(v.until) {
			out[i] = blindWrite{write}
		}
	}
	return out
}

// notRunTakeover is a broken variant whose successor reports intents of earlier
// holders as not run.
type notRunTakeover struct{ *Shard }

func (v *notRunTakeover) Step(now time.Time, ev Event) []Action {
	earlier := false
	if submit, ok := ev.(Submit); ok && v.Holds() {
		e := v.entries[keyOf{submit.Organisation, submit.Key}]
		earlier = e != nil && e.step == settled && e.head.State == Open && e.head.Fence < v.Fence()
	}
	out := v.Shard.Step(now, ev)
	for i, a := range out {
		if answer, ok := a.(Answer); ok && earlier {
			answer.Result.Problem = problem.New(problem.LedgerUnavailable, "not run")
			out[i] = answer
		}
	}
	return out
}

// TestBrokenVariants shows that the check of TestSchedules finds each fault.
func TestBrokenVariants(t *testing.T) {
	variants := map[string]func(Config) stepper{
		"dispatch before commit": func(c Config) stepper { return &earlyDispatch{New(c), map[uint64]bool{}} },
		"lease by clock alone":   func(c Config) stepper { return &clockLease{Shard: New(c)} },
		"takeover reports NotRun": func(c Config) stepper {
			return &notRunTakeover{New(c)}
		},
	}
	for name, build := range variants {
		t.Run(name, func(t *testing.T) {
			const most = 200
			for seed := range uint64(most) {
				if _, err := schedule(seed, build); err != nil && strings.Contains(err.Error(), "history") {
					t.Logf("found with seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("not found with seeds 0 to %d", most-1)
		})
	}
}
