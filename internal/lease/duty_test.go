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
	name        string
	duty        *Duty
	pausedUntil time.Time
	// cutUntil is when the node reaches the service again.
	cutUntil time.Time
	dead     bool
}

type scheduledCall struct {
	at  time.Time
	run func()
}

// world simulates several nodes that compete for one duty, in simulated time.
type world struct {
	rng   *rand.Rand
	now   time.Time
	queue []scheduledCall
	nodes []*node
	entry keyvalue.Entry
	// copies holds the entry as of each 100 ms. era rises with each restore.
	copies             []keyvalue.Entry
	era                int64
	downUntil          time.Time
	slowUntil          time.Time
	losingUntil        time.Time
	incarnations       uint64
	incarnationByFence map[uint64]uint64    // incarnation of the holder by fencing number
	lastHeld           map[uint64]time.Time // when an incarnation last held the duty
	acquired           int
	err                error
	holds              func(*Duty, time.Time) bool // Duty.Holds or a broken variant of it
}

func newWorld(seed uint64, holds func(*Duty, time.Time) bool) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 9)), now: time.Unix(1_000_000, 0), holds: holds,
		incarnationByFence: map[uint64]uint64{}, lastHeld: map[uint64]time.Time{},
	}
	w.era = 1
	for i := range 3 {
		w.nodes = append(w.nodes, &node{name: fmt.Sprint("d", i)})
		w.start(w.nodes[i])
	}
	return w
}

func (w *world) start(n *node) {
	w.incarnations++
	n.dead = false
	n.duty = New(Config{
		Name: "placement", Holder: n.name, Incarnation: w.incarnations, Lease: leaseTime,
		OrderLifetime: orderLifetime, Rand: rand.New(rand.NewPCG(w.rng.Uint64(), 1)),
	})
}

func (w *world) ms(from, to int) time.Duration {
	return time.Duration(from+w.rng.IntN(to-from+1)) * time.Millisecond
}

func (w *world) after(d time.Duration, run func()) {
	w.queue = append(w.queue, scheduledCall{w.now.Add(d), run})
}

// run advances the simulated time in steps of 10 ms.
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
		if w.now.UnixMilli()%100 == 0 {
			w.copies = append(w.copies, w.entry)
		}
	}
}

// restore brings the service back from a copy that is up to 12 s old, after it was away.
func (w *world) restore() {
	const copiesPerSecond = 10
	if len(w.copies) == 0 {
		return
	}
	age := min(w.rng.IntN(12*copiesPerSecond), len(w.copies)-1)
	w.copies = w.copies[:len(w.copies)-age]
	w.entry = w.copies[len(w.copies)-1]
	w.era++
	w.downUntil = w.now.Add(w.ms(0, 2500))
}

func (w *world) step(n *node, d *Duty, ev Event) {
	if n.dead || n.duty != d {
		return
	}
	if w.now.Before(n.pausedUntil) {
		if _, tick := ev.(Tick); !tick {
			w.after(n.pausedUntil.Sub(w.now), func() { w.step(n, d, ev) })
		}
		return
	}
	before := d.GivenUp()
	actions := d.Step(w.now, ev)
	if fence := d.GivenUp(); fence != before {
		w.announce(GivenUp{n.name, d.config.Incarnation, fence})
	}
	cut := w.now.Before(n.cutUntil)
	for _, a := range actions {
		reply := func(ev Event) {
			era := w.era
			w.after(w.latency(), func() {
				w.step(n, d, Restored{era})
				w.step(n, d, ev)
			})
		}
		switch a := a.(type) {
		case Write:
			wait := w.latency()
			if cut {
				reply(CommitRefused{a.ID})
				continue
			}
			if w.now.Before(w.losingUntil) && w.rng.IntN(3) == 0 {
				reply(CommitUnknown{a.ID}) // The write may take effect later.
				w.after(wait+w.ms(0, 500), func() { w.write(a) })
				continue
			}
			w.after(wait, func() { reply(w.write(a)) })
		case Read:
			w.after(w.latency(), func() { reply(ReadBack{a.ID, w.entry, cut || w.now.Before(w.downUntil)}) })
		case Acquired:
			w.acquired++
			incarnation := d.config.Incarnation
			if other, used := w.incarnationByFence[a.Fence]; used {
				w.err = fmt.Errorf("fencing number %d used by incarnations %d and %d", a.Fence, other, incarnation)
			}
			w.incarnationByFence[a.Fence] = incarnation
			for other, lastHeld := range w.lastHeld {
				if other != incarnation && a.OrdersFrom.Before(lastHeld.Add(orderLifetime)) {
					w.err = fmt.Errorf("orders from %v, but %d gave orders until %v", a.OrdersFrom, other, lastHeld)
				}
			}
		}
	}
}

// announce tells the other nodes that one has given the duty up. Some do not hear of it.
func (w *world) announce(g GivenUp) {
	for _, n := range w.nodes {
		if d := n.duty; n.name != g.Holder && w.rng.IntN(5) > 0 {
			w.after(w.ms(1, 400), func() { w.step(n, d, g) })
		}
	}
}

func (w *world) latency() time.Duration {
	if w.now.Before(w.slowUntil) {
		return w.ms(100, 2500)
	}
	return w.ms(1, 20)
}

func (w *world) write(a Write) Event {
	if w.now.Before(w.downUntil) {
		return CommitRefused{a.ID}
	}
	if w.entry.Revision != a.Revision {
		return CommitConflict{a.ID, w.entry}
	}
	w.entry = keyvalue.Entry{Key: a.Key, Value: a.Value, Revision: a.Revision + 1}
	if w.now.Before(w.losingUntil) && w.rng.IntN(2) == 0 {
		return CommitUnknown{a.ID}
	}
	return Committed{a.ID, w.entry.Revision}
}

// check checks that at most one node holds the duty, including paused nodes, since a
// pause may end at any point.
func (w *world) check() {
	holders := 0
	for _, n := range w.nodes {
		if !n.dead && w.holds(n.duty, w.now) {
			holders++
			w.lastHeld[n.duty.config.Incarnation] = w.now
		}
	}
	if holders > 1 {
		w.err = fmt.Errorf("%d nodes hold the duty", holders)
	}
}

func (w *world) faults() []func() {
	randomNode := func() *node { return w.nodes[w.rng.IntN(len(w.nodes))] }
	return []func(){
		func() { randomNode().pausedUntil = w.now.Add(w.ms(100, 6000)) },
		func() {
			n := randomNode()
			n.dead = true
			w.after(w.ms(10, 3000), func() { w.start(n) })
		},
		func() { w.downUntil = w.now.Add(w.ms(100, 5000)) },
		func() { randomNode().cutUntil = w.now.Add(w.ms(100, 5000)) },
		func() { w.slowUntil = w.now.Add(w.ms(100, 5000)) },
		func() { w.losingUntil = w.now.Add(w.ms(100, 5000)) },
		func() {
			n := randomNode()
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

// faultsAndRestores are the faults, of which one in five is a restore.
func (w *world) faultsAndRestores() []func() {
	return append(w.faults(), w.restore, w.restore)
}

func runSchedule(seed uint64, holds func(*Duty, time.Time) bool) *world {
	return runFaults(newWorld(seed, holds), (*world).faults)
}

// runFaults runs 20 random faults and then a time without any.
func runFaults(w *world, faults func(*world) []func()) *world {
	for range 20 {
		f := faults(w)
		f[w.rng.IntN(len(f))]()
		w.run(w.ms(100, 3000))
	}
	acquiredBefore := w.acquired
	w.downUntil, w.slowUntil, w.losingUntil = w.now, w.now, w.now
	for _, n := range w.nodes {
		n.cutUntil = w.now
	}
	w.run(5 * leaseTime)
	holders := 0
	for _, n := range w.nodes {
		if n.duty.Holds(w.now) {
			holders++
		}
	}
	if w.err == nil && holders != 1 {
		w.err = fmt.Errorf("%d holders after the faults, %d acquired", holders, w.acquired-acquiredBefore)
	}
	return w
}

// TestDuty guards against two simultaneous holders, a reused fencing number, orders
// of two holders in force at the same time, and a duty that is not taken over.
func TestDuty(t *testing.T) {
	acquired := 0
	const seeds = 200
	for seed := range uint64(seeds) {
		w := runSchedule(seed, (*Duty).Holds)
		acquired += w.acquired
		if w.err != nil {
			t.Errorf("seed %d: %v", seed, w.err)
		}
	}
	t.Logf("seeds 0 to %d: %d acquisitions", seeds-1, acquired)
}

// TestDutyAcrossRestores guards against two holders at a time, a reused fencing number and orders
// of two holders in force at the same time when the service comes back from a copy.
func TestDutyAcrossRestores(t *testing.T) {
	const seeds = 200
	restores, acquired := int64(0), 0
	for seed := range uint64(seeds) {
		w := newWorld(seed, (*Duty).Holds)
		w.run(2 * leaseTime) // The oldest copy has a holder.
		runFaults(w, (*world).faultsAndRestores)
		restores += w.era - 1
		acquired += w.acquired
		if w.err != nil {
			t.Errorf("seed %d: %v", seed, w.err)
		}
	}
	t.Logf("seeds 0 to %d: %d restores, %d acquisitions", seeds-1, restores, acquired)
}

// TestDutyOfDisconnectedHolderIsTakenOver guards against a duty that nobody performs for long
// after its holder has lost the service, although that holder says so, and against one that
// comes back to it while the next holder acts.
func TestDutyOfDisconnectedHolderIsTakenOver(t *testing.T) {
	// The holder's lease, the message, a read and a write, and the lifetime of orders.
	const bound = leaseTime + 1500*time.Millisecond + orderLifetime
	for seed := range uint64(50) {
		w := newWorld(seed, (*Duty).Holds)
		w.run(3 * leaseTime)
		var holder *node
		for _, n := range w.nodes {
			if n.duty.Holds(w.now) {
				holder = n
			}
		}
		if holder == nil {
			t.Fatalf("seed %d: no holder", seed)
		}
		holder.cutUntil = w.now.Add(time.Minute)
		cutAt := w.now
		for !w.otherMayOrder(holder) && w.now.Sub(cutAt) < 4*leaseTime {
			w.run(10 * time.Millisecond)
		}
		if took := w.now.Sub(cutAt); took > bound {
			t.Errorf("seed %d: taken over after %v, want at most %v", seed, took, bound)
		}
		if w.err != nil {
			t.Errorf("seed %d: %v", seed, w.err)
		}
	}
}

func (w *world) otherMayOrder(holder *node) bool {
	for _, n := range w.nodes {
		if n != holder && n.duty.MayOrder(w.now) {
			return true
		}
	}
	return false
}

// TestDutyStateMachine runs sequences of faults that rapid generates and shrinks.
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

// TestHoldsUntilResigned checks that the checks of TestDuty detect a variant that
// ends its lease only at its next step instead of by the clock.
func TestHoldsUntilResigned(t *testing.T) {
	for seed := range uint64(50) {
		if w := runSchedule(seed, func(d *Duty, _ time.Time) bool { return d.holding }); w.err != nil {
			t.Logf("found with seed %d: %v", seed, w.err)
			return
		}
	}
	t.Error("the broken variant passes with all seeds")
}
