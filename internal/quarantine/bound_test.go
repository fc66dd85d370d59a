package quarantine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	daemonCount    = 6
	serverCount    = 30
	poisonSends    = 50
	poison         = Fingerprint(666)
	maxGossipDelay = 2500 * time.Millisecond // Below defaultSettleTime.
)

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

type runningRequest struct {
	daemon      int
	fingerprint Fingerprint
	done        func()
}

// simulation runs six daemons with a list each, in front of servers that a poisonous
// request crashes. Innocent requests share the servers and the daemons.
type simulation struct {
	random       *rand.Rand
	now          time.Time
	events       eventQueue
	lastSeq      int
	lists        []*List
	owner        int
	runningAt    map[int][]*runningRequest // By server.
	reserved     map[int]bool              // Known to the owner only.
	incarnations [serverCount]int
	crashes      int
	answered     int
	refused      []Fingerprint
}

func newSimulation(seed uint64, options Options) *simulation {
	sim := &simulation{
		random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1_700_000_000, 0),
		runningAt: map[int][]*runningRequest{}, reserved: map[int]bool{},
	}
	var names []string
	for i := range daemonCount {
		sim.lists = append(sim.lists, New(options))
		names = append(names, fmt.Sprint("daemon-", i))
	}
	sim.owner = slices.Index(names, Owner("kirjutaja", names))
	return sim
}

func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.lastSeq++
	heap.Push(&sim.events, event{sim.now.Add(d), sim.lastSeq, run})
}

func (sim *simulation) randomDuration(d time.Duration) time.Duration {
	return time.Duration(sim.random.Int64N(int64(d)))
}

func (sim *simulation) gossip(from int) {
	entries := sim.lists[from].Entries()
	for to := range daemonCount {
		if to != from {
			sim.schedule(sim.randomDuration(maxGossipDelay), func() { sim.lists[to].Merge(sim.now, entries) })
		}
	}
}

// serve runs a request at a daemon, or forwards a suspect to the owner.
func (sim *simulation) serve(daemon int, f Fingerprint, done func()) {
	list := sim.lists[daemon]
	switch list.Verdict(sim.now, f) {
	case Refused:
		sim.refused = append(sim.refused, f)
		done()
	case Normal:
		server := sim.random.IntN(serverCount)
		if daemon == sim.owner && sim.reserved[server] {
			server = (server + 1) % serverCount
		}
		sim.start(daemon, server, f, done)
	case Apart, Alone:
		if daemon != sim.owner {
			sim.lists[sim.owner].Merge(sim.now, list.EntriesOf(f))
			sim.serve(sim.owner, f, done)
			return
		}
		if ready, at := list.Ready(sim.now, f); !ready {
			sim.schedule(at.Sub(sim.now), func() { sim.serve(daemon, f, done) })
			return
		}
		start := sim.random.IntN(serverCount)
		for i := range serverCount {
			s := (start + i) % serverCount
			if list.Verdict(sim.now, f) == Apart && !sim.reserved[s] && !sim.runsSuspect(s) {
				sim.start(daemon, s, f, done)
				return
			}
			if list.Verdict(sim.now, f) == Alone && len(sim.runningAt[s]) == 0 {
				sim.reserved[s] = true
				sim.start(daemon, s, f, func() { sim.reserved[s] = false; done() })
				return
			}
		}
		sim.schedule(100*time.Millisecond, func() { sim.serve(daemon, f, done) })
	}
}

// runsSuspect reports whether the owner runs a suspect at a server.
func (sim *simulation) runsSuspect(server int) bool {
	return slices.ContainsFunc(sim.runningAt[server], func(r *runningRequest) bool {
		return r.daemon == sim.owner && sim.lists[sim.owner].Verdict(sim.now, r.fingerprint) != Normal
	})
}

func (sim *simulation) start(daemon, server int, f Fingerprint, done func()) {
	r := &runningRequest{daemon, f, done}
	sim.runningAt[server] = append(sim.runningAt[server], r)
	sim.lists[daemon].Started(f)
	length := 3 * time.Second
	if f == poison {
		length = 300 * time.Millisecond // Shorter than gossip takes.
	}
	sim.schedule(10*time.Millisecond+sim.randomDuration(length), func() {
		if !slices.Contains(sim.runningAt[server], r) {
			return // The server crashed meanwhile.
		}
		if f == poison {
			sim.crashServer(server)
			return
		}
		sim.runningAt[server] = slices.DeleteFunc(sim.runningAt[server], func(o *runningRequest) bool { return o == r })
		sim.lists[daemon].Finished(sim.now, f)
		sim.gossip(daemon)
		done()
	})
}

func (sim *simulation) crashServer(server int) {
	sim.crashes++
	sim.incarnations[server]++
	name := fmt.Sprintf("engine-%02d/%d", server, sim.incarnations[server])
	runs := sim.runningAt[server]
	delete(sim.runningAt, server)
	sim.reserved[server] = false
	for daemon := range daemonCount {
		var inFlight []Fingerprint
		for _, r := range runs {
			if r.daemon == daemon {
				inFlight = append(inFlight, r.fingerprint)
			}
		}
		if len(inFlight) > 0 {
			sim.lists[daemon].Crashed(sim.now, name, inFlight)
			sim.gossip(daemon)
		}
	}
	for _, r := range runs {
		sim.serve(r.daemon, r.fingerprint, r.done)
	}
}

// run sends innocent requests at random times, and the poisonous request repeatedly
// through random daemons: each time after the last response, or after the caller's
// timeout, which is longer than gossip takes. A copy sent earlier, to a daemon that the
// crash by the last copy has not reached, could always crash another server.
func (sim *simulation) run(innocents int) {
	for i := range innocents {
		// One in three innocent requests repeats the one before it.
		f := Fingerprint(1000 + i - i%3/2)
		sim.schedule(sim.randomDuration(90*time.Second), func() { sim.serve(sim.random.IntN(daemonCount), f, func() { sim.answered++ }) })
	}
	left := poisonSends
	var send func()
	send = func() {
		if left--; left < 0 {
			return
		}
		next := sync.OnceFunc(func() { sim.schedule(sim.randomDuration(2*time.Second), send) })
		sim.serve(sim.random.IntN(daemonCount), poison, next)
		sim.schedule(maxGossipDelay+time.Second+sim.randomDuration(4*time.Second), next)
	}
	sim.schedule(sim.randomDuration(10*time.Second), send)
	for sim.events.Len() > 0 {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
}

// Guards the limit of servers lost to one poisonous request, and against refusing an
// innocent request that was in flight with it.
func TestPoisonousRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), Options{})
		innocents := rapid.IntRange(0, 1500).Draw(t, "innocents")
		sim.run(innocents)
		if sim.crashes > 3 {
			t.Fatalf("%d servers lost", sim.crashes)
		}
		if sim.answered != innocents {
			t.Fatalf("%d of %d innocent requests answered", sim.answered, innocents)
		}
		if len(sim.refused) != poisonSends || slices.ContainsFunc(sim.refused, func(f Fingerprint) bool { return f != poison }) {
			t.Fatalf("refused: %v", sim.refused)
		}
		for i, list := range sim.lists {
			if v := list.Verdict(sim.now, poison); v != Refused {
				t.Fatalf("daemon %d: verdict %v", i, v)
			}
		}
	})
}

// Shows that TestPoisonousRequest can fail: without the settle time, daemons that have not
// received the crashes lose further servers.
func TestBoundBreaksWithoutSettle(t *testing.T) {
	maxLost := 0
	for seed := range uint64(20) {
		sim := newSimulation(seed, Options{SettleTime: time.Nanosecond})
		sim.run(500)
		maxLost = max(maxLost, sim.crashes)
	}
	t.Logf("seeds 0 to 19, without the settle time: at most %d servers lost", maxLost)
	if maxLost <= 3 {
		t.Errorf("at most %d servers lost", maxLost)
	}
}
