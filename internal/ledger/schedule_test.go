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

// keyState is the state of a key in the model.
type keyState struct {
	runs           []int // in order
	runAttempts    []int // attempts that ran
	notRunAttempts []int // attempts answered NotRun
	response       int
}

// model checks the runs and answers of each key. An order runs at most once, a
// submission that is answered NotRun has no run, the holder answers NotRun only for a
// key without a run, and all responses of a key are from one run.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			in, out := op.Input.(operation), op.Output.(output)
			if in.run != 0 || out != (output{}) { // Unanswered, accepted and unknown submissions have no constraint.
				byKey[in.key] = append(byKey[in.key], op)
			}
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return keyState{} },
	Step: func(state, input, o any) (bool, any) {
		r, in, out := state.(keyState), input.(operation), o.(output)
		switch {
		case in.run != 0:
			ok := !slices.Contains(r.notRunAttempts, in.attempt) && (in.kind == Draft || len(r.runs) == 0)
			r.runs = append(slices.Clip(r.runs), in.run)
			r.runAttempts = append(slices.Clip(r.runAttempts), in.attempt)
			return ok, r
		case out.notRun:
			ok := !slices.Contains(r.runAttempts, in.attempt) && (!out.holder || len(r.runs) == 0)
			r.notRunAttempts = append(slices.Clip(r.notRunAttempts), in.attempt)
			return ok, r
		default:
			ok := slices.Contains(r.runs, out.response) && (r.response == 0 || r.response == out.response)
			r.response = out.response
			return ok, r
		}
	},
	Equal: func(a, b any) bool {
		x, y := a.(keyState), b.(keyState)
		return x.response == y.response && slices.Equal(x.runs, y.runs) && slices.Equal(x.notRunAttempts, y.notRunAttempts)
	},
}

// finish ends all faults, submits every key once more and checks the history.
func (w *world) finish() error {
	w.downUntil, w.losingUntil, w.slowUntil = w.now, w.now, w.now
	w.run(12 * time.Second)
	for _, key := range w.keys {
		finished := !w.accepted[key]
		// The key is sent again if a takeover leads to OutcomeUnknown.
		for range 20 {
			if !finished {
				w.submit(key, w.holder())
				w.run(time.Second)
				finished = w.history[w.lastSubmission].Output.(output).response != 0
			}
		}
		if !finished {
			return fmt.Errorf("accepted draft %s has not finished", key)
		}
	}
	remaining := 1
	for i := 0; i < 60 && remaining > 0; i++ { // At 3 writes/s, this takes a while.
		w.run(time.Second)
		remaining = 0
		if s, ok := w.holder().shard.(*Shard); ok {
			remaining = len(s.pending) + len(s.tail.Garbage)
		}
	}
	if remaining > 0 {
		return fmt.Errorf("%d records and segments are left over", remaining)
	}
	for _, part := range model.Partition(w.history) {
		if result := porcupine.CheckOperationsTimeout(model, part, time.Minute); result != porcupine.Ok {
			return fmt.Errorf("history of a key is %s: %+v", result, part)
		}
	}
	return nil
}

// coverage counts the events in the simulated schedules.
type coverage struct {
	Submissions, Runs, Responses, NotRun, NoAnswer, Takeovers, Segments, Deletions int
}

func (c *coverage) add(w *world) {
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

// runSchedule simulates one seeded random schedule.
func runSchedule(seed uint64, build func(Config) stepper) (w *world, err error) {
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

func newShard(c Config) stepper { return New(c) }

// TestSchedules guards against a second run of an order, a NotRun answer for a
// request that ran, a wrong stored response and a lost draft under kills, pauses,
// outages, lost and slow answers, resends and hand-offs.
func TestSchedules(t *testing.T) {
	var (
		group sync.WaitGroup
		mu    sync.Mutex
		total coverage
	)
	seeds := make(chan uint64)
	for range runtime.GOMAXPROCS(0) {
		group.Go(func() {
			for seed := range seeds {
				w, err := runSchedule(seed, newShard)
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

// TestStateMachine runs sequences of faults that rapid generates and shrinks.
func TestStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), newShard)
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

// earlyDispatch is a broken variant that dispatches together with the write of the
// intent instead of after its commit.
type earlyDispatch struct {
	*Shard
	dispatched map[uint64]bool
}

func (v *earlyDispatch) Step(now time.Time, ev Event) []Action {
	var out []Action
	for _, a := range v.Shard.Step(now, ev) {
		if d, ok := a.(Dispatch); ok && v.dispatched[d.Sequence] {
			continue
		}
		out = append(out, a)
		if write, ok := a.(Write); !ok || write.Key != TailKey(0) {
			continue
		}
		tail, _ := DecodeTail(a.(Write).Value)
		for _, r := range tail.Records {
			if h := r.Head; h.State == Open && h.Fence == tail.Fence && !v.dispatched[h.Sequence] {
				v.dispatched[h.Sequence] = true
				out = append(out, Dispatch{
					Organisation: h.Organisation, Key: h.Key, Sequence: h.Sequence, Kind: h.Kind,
					RequestID: r.RequestID, Fence: tail.Fence,
				})
			}
		}
	}
	return out
}

// clockLease is a broken variant that writes without comparing revisions until its
// lease ends by its own clock.
type clockLease struct {
	*Shard
	leaseEnd time.Time
}

func (v *clockLease) Step(now time.Time, ev Event) []Action {
	if _, ok := ev.(Committed); ok && v.Holds() {
		v.leaseEnd = now.Add(leaseTime)
	}
	out := v.Shard.Step(now, ev)
	for i, a := range out {
		if write, ok := a.(Write); ok && write.Key == TailKey(0) && v.Holds() && now.Before(v.leaseEnd) {
			out[i] = blindWrite{write}
		}
	}
	return out
}

// notRunTakeover is a broken variant that answers NotRun for intents of earlier
// holders.
type notRunTakeover struct{ *Shard }

func (v *notRunTakeover) Step(now time.Time, ev Event) []Action {
	earlier := false
	if submit, ok := ev.(Submit); ok && v.Holds() {
		e := v.entries[entryKey{submit.Organisation, submit.Key}]
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

// TestBrokenVariants checks that the history check of TestSchedules detects each
// broken variant.
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
			const maxSeeds = 200
			for seed := range uint64(maxSeeds) {
				if _, err := runSchedule(seed, build); err != nil && strings.Contains(err.Error(), "history") {
					t.Logf("found with seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("not found with seeds 0 to %d", maxSeeds-1)
		})
	}
}
