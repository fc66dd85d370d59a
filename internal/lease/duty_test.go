package lease

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	"apricotbridge/internal/keyvalue"
)

const (
	leaseTime     = 3 * time.Second
	orderLifetime = time.Second
)

type node struct {
	name   string
	duty   *Duty
	paused time.Time
	dead   bool
}

type timed struct {
	at  time.Time
	run func()
}

// world runs one duty at several nodes on simulated time.
type world struct {
	rng      *rand.Rand
	now      time.Time
	queue    []timed
	nodes    []*node
	entry    keyvalue.Entry
	down     time.Time
	slow     time.Time
	losing   time.Time
	spawned  uint64
	fences   map[uint64]uint64 // fencing number to incarnation
	lastHeld map[uint64]time.Time
	acquired int
	err      error
	held     func(*Duty, time.Time) bool
}

func newWorld(seed uint64, held func(*Duty, time.Time) bool) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 9)), now: time.Unix(1_000_000, 0), held: held,
		fences: map[uint64]uint64{}, lastHeld: map[uint64]time.Time{},
	}
	for i := range 3 {
		w.nodes = append(w.nodes, &node{name: fmt.Sprint("d", i)})
		w.start(w.nodes[i])
	}
	return w
}

func (w *world) start(n *node) {
	w.spawned++
	n.dead = false
	n.duty = New(Config{
		Name: "placement", Holder: n.name, Incarnation: w.spawned, Lease: leaseTime,
		OrderLifetime: orderLifetime, Rand: rand.New(rand.NewPCG(w.rng.Uint64(), 1)),
	})
}

func (w *world) ms(from, to int) time.Duration {
	return time.Duration(from+w.rng.IntN(to-from+1)) * time.Millisecond
}

func (w *world) after(d time.Duration, run func()) {
	w.queue = append(w.queue, timed{w.now.Add(d), run})
}

// run advances time in steps of 10 ms.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end) && w.err == nil; {
		w.now = w.now.Add(10 * time.Millisecond)
		due := w.queue
		w.queue = nil
		sort.SliceStable(due, func(i, j int) bool { return due[i].at.Before(due[j].at) })
		for _, t := range due {
			if t.at.After(w.now) {
				w.queue = append(w.queue, t)
			} else {
				t.run()
			}
		}
		for _, n := range w.nodes {
			w.step(n, n.duty, Tick{})
		}
		w.check()
	}
}

func (w *world) step(n *node, d *Duty, ev Event) {
	if n.dead || n.duty != d {
		return
	}
	if w.now.Before(n.paused) {
		if _, tick := ev.(Tick); !tick {
			w.after(n.paused.Sub(w.now), func() { w.step(n, d, ev) })
		}
		return
	}
	for _, a := range d.Step(w.now, ev) {
		back := func(ev Event) { w.after(w.latency(), func() { w.step(n, d, ev) }) }
		switch a := a.(type) {
		case Write:
			wait := w.latency()
			if w.now.Before(w.losing) && w.rng.IntN(3) == 0 {
				back(CommitUnknown{a.ID}) // The write may take effect after that.
				w.after(wait+w.ms(0, 500), func() { w.write(a) })
				continue
			}
			w.after(wait, func() { back(w.write(a)) })
		case Read:
			w.after(w.latency(), func() { back(ReadBack{a.ID, w.entry, w.now.Before(w.down)}) })
		case Acquired:
			w.acquired++
			inc := d.config.Incarnation
			if other, taken := w.fences[a.Fence]; taken {
				w.err = fmt.Errorf("fencing number %d given to %d and %d", a.Fence, other, inc)
			}
			w.fences[a.Fence] = inc
			for other, last := range w.lastHeld {
				if other != inc && a.OrdersFrom.Before(last.Add(orderLifetime)) {
					w.err = fmt.Errorf("orders from %v, but %d gave orders until %v", a.OrdersFrom, other, last)
				}
			}
		}
	}
}

func (w *world) latency() time.Duration {
	if w.now.Before(w.slow) {
		return w.ms(100, 2500)
	}
	return w.ms(1, 20)
}

func (w *world) write(a Write) Event {
	if w.now.Before(w.down) {
		return CommitRefused{a.ID}
	}
	if w.entry.Revision != a.Revision {
		return CommitConflict{a.ID, w.entry}
	}
	w.entry = keyvalue.Entry{Key: a.Key, Value: a.Value, Revision: a.Revision + 1}
	if w.now.Before(w.losing) && w.rng.IntN(2) == 0 {
		return CommitUnknown{a.ID}
	}
	return Committed{a.ID, w.entry.Revision}
}

// check looks at all nodes, paused ones as well, since a pause may end anywhere.
func (w *world) check() {
	holders := 0
	for _, n := range w.nodes {
		if !n.dead && w.held(n.duty, w.now) {
			holders++
			w.lastHeld[n.duty.config.Incarnation] = w.now
		}
	}
	if holders > 1 {
		w.err = fmt.Errorf("%d nodes hold the duty", holders)
	}
}

func (w *world) faults() []func() {
	pick := func() *node { return w.nodes[w.rng.IntN(len(w.nodes))] }
	return []func(){
		func() { pick().paused = w.now.Add(w.ms(100, 6000)) },
		func() {
			n := pick()
			n.dead = true
			w.after(w.ms(10, 3000), func() { w.start(n) })
		},
		func() { w.down = w.now.Add(w.ms(100, 5000)) },
		func() { w.slow = w.now.Add(w.ms(100, 5000)) },
		func() { w.losing = w.now.Add(w.ms(100, 5000)) },
		func() {
			n := pick()
			w.step(n, n.duty, Resign{})
			d := n.duty
			w.after(w.ms(500, 2000), func() {
				if n.duty == d {
					w.start(n)
				}
			})
		},
	}
}

func schedule(seed uint64, held func(*Duty, time.Time) bool) *world {
	w := newWorld(seed, held)
	for range 20 {
		f := w.faults()
		f[w.rng.IntN(len(f))]()
		w.run(w.ms(100, 3000))
	}
	calm := w.acquired
	w.down, w.slow, w.losing = w.now, w.now, w.now
	w.run(5 * leaseTime)
	holders := 0
	for _, n := range w.nodes {
		if n.duty.Holds(w.now) {
			holders++
		}
	}
	if w.err == nil && holders != 1 {
		w.err = fmt.Errorf("%d holders after the faults, %d acquired", holders, w.acquired-calm)
	}
	return w
}

// TestDuty guards against two holders at a time, a fencing number given twice,
// orders of two holders in force at once, and a duty that nobody takes over.
func TestDuty(t *testing.T) {
	acquired := 0
	const seeds = 200
	for seed := range uint64(seeds) {
		w := schedule(seed, (*Duty).Holds)
		acquired += w.acquired
		if w.err != nil {
			t.Errorf("seed %d: %v", seed, w.err)
		}
	}
	t.Logf("seeds 0 to %d: %d acquisitions", seeds-1, acquired)
}

// TestDutyStateMachine lets rapid choose and shrink the sequence of faults.
func TestDutyStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), (*Duty).Holds)
		actions := map[string]func(*rapid.T){}
		for i, f := range w.faults() {
			actions[fmt.Sprint(i)] = func(t *rapid.T) {
				f()
				if w.run(w.ms(100, 2000)); w.err != nil {
					t.Fatal(w.err)
				}
			}
		}
		t.Repeat(actions)
	})
}

// TestHoldsUntilResigned shows that the check finds a variant whose lease ends
// only when it notices, as a holder that trusts its last step does.
func TestHoldsUntilResigned(t *testing.T) {
	for seed := range uint64(50) {
		if w := schedule(seed, func(d *Duty, _ time.Time) bool { return d.holding }); w.err != nil {
			t.Logf("found with seed %d: %v", seed, w.err)
			return
		}
	}
	t.Error("not found")
}
