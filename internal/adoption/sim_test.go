package adoption

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"apricotbridge/internal/membership"
)

var epoch = time.Unix(1_800_000_000, 0)

type event struct {
	at time.Time
	do func()
}

// node is a daemon. A replacement has a higher life and an empty state.
type node struct {
	membership.Daemon
	state *State
	life  int
	up    bool
	since time.Time
	links []*node
	relay bool
	hops  int // Of the revision in force.
	bytes int
}

type commit struct {
	Revision
	at time.Time
}

// span is a time in which a fault is in force.
type span struct{ from, to time.Time }

func (s span) holds(t time.Time) bool { return !t.Before(s.from) && t.Before(s.to) }

// world is a simulated deployment. The key-value service is in the region of the
// first daemon.
type world struct {
	rand       *rand.Rand
	now        time.Time
	queue      []event // The last one is next.
	nodes      []*node
	commits    []commit
	outages    []span
	partitions []span
	lag        time.Duration
	last       bool // Broken variant: adopts whatever comes last.
	across     int  // Bytes of revisions sent between the regions.
	late       bool // Messages come a second time, late.
}

func newWorld(seed uint64, daemons []membership.Daemon) *world {
	w := &world{rand: rand.New(rand.NewPCG(seed, 1)), now: epoch}
	byID := map[string]*node{}
	relays := map[string]bool{}
	for _, d := range daemons {
		n := &node{Daemon: d, relay: !relays[d.Place]}
		relays[d.Place] = true
		byID[d.ID] = n
		w.nodes = append(w.nodes, n)
	}
	set := &membership.Daemons{Self: daemons[0]}
	set.List(epoch, daemons)
	linked := map[[2]string]bool{}
	for _, n := range w.nodes {
		set.Self = n.Daemon
		for _, p := range set.Links(epoch) {
			if !linked[[2]string{n.ID, p.ID}] {
				linked[[2]string{n.ID, p.ID}], linked[[2]string{p.ID, n.ID}] = true, true
				n.links = append(n.links, byID[p.ID])
				byID[p.ID].links = append(byID[p.ID].links, n)
			}
		}
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	at := w.now.Add(d)
	i, _ := slices.BinarySearchFunc(w.queue, at, func(e event, at time.Time) int { return at.Compare(e.at) })
	w.queue = slices.Insert(w.queue, i, event{at: at, do: do})
}

func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[len(w.queue)-1].at.Before(epoch.Add(until)) {
		e := w.queue[len(w.queue)-1]
		w.queue = w.queue[:len(w.queue)-1]
		w.now = e.at
		e.do()
	}
}

func in(spans []span, t time.Time) bool {
	for _, s := range spans {
		if s.holds(t) {
			return true
		}
	}
	return false
}

// stored returns what the key-value service answers to a daemon.
func (w *world) stored(n *node) (Revision, bool) {
	if in(w.outages, w.now) || n.Region != w.nodes[0].Region && in(w.partitions, w.now) {
		return Revision{}, false
	}
	if len(w.commits) == 0 {
		return Revision{}, true
	}
	return w.commits[len(w.commits)-1].Revision, true
}

// start begins a life of a daemon.
func (w *world) start(n *node) {
	n.life++
	n.up, n.since = true, w.now
	n.state = &State{
		Rand: rand.New(rand.NewPCG(w.rand.Uint64(), 1)), Poll: 2 * time.Second,
		Parse: func(v []byte) error {
			if strings.Contains(string(v), "broken") {
				return errors.New("broken")
			}
			return nil
		},
	}
	var peers []Peer
	for _, p := range n.links {
		peers = append(peers, Peer{ID: p.ID, Near: p.Place == n.Place})
	}
	n.state.SetPeers(peers)
	life := n.life
	w.every(n, life, 100*time.Millisecond, func() { w.perform(n, n.state.Tick(w.now)) })
	w.every(n, life, time.Second, func() { w.digest(n) })
	if n.relay {
		w.every(n, life, 300*time.Millisecond, func() { w.watch(n) })
	}
}

func (w *world) every(n *node, life int, d time.Duration, do func()) {
	var step func()
	step = func() {
		if n.up && n.life == life {
			do()
			w.after(d, step)
		}
	}
	w.after(time.Duration(w.rand.Int64N(int64(d))), step)
}

func (w *world) watch(n *node) {
	if r, ok := w.stored(n); ok && r.Number > 0 {
		w.offer(n, r, Source{Kind: KeyValue}, 0)
	}
}

func (w *world) digest(n *node) {
	for _, p := range n.links {
		number := n.state.Shown()
		w.send(n, p, 100, func() { w.offer(p, Revision{Number: number}, Source{Digest, n.ID}, 0) })
	}
}

func (w *world) send(from, to *node, bytes int, do func()) {
	delay := time.Millisecond
	if from.Region != to.Region {
		if in(w.partitions, w.now) {
			return
		}
		delay = 12 * time.Millisecond
	}
	from.bytes += bytes
	life := to.life
	arrive := func() {
		if to.up && to.life == life {
			do()
		}
	}
	w.after(delay+time.Duration(w.rand.Int64N(int64(5*time.Millisecond))), arrive)
	if w.late && w.rand.IntN(5) == 0 { // A copy that waited on another path.
		w.after(delay+time.Duration(w.rand.Int64N(int64(3*time.Second))), arrive)
	}
}

func (w *world) offer(n *node, r Revision, from Source, hops int) {
	before := n.state.newest.Number
	if w.last && from.Kind != Digest && r.Number != n.state.inForce.Number {
		n.state.newest, n.state.inForce = Revision{}, Revision{}
	}
	if r.Number > before && from.Kind != Digest {
		n.hops = hops
	}
	w.perform(n, n.state.Offer(w.now, r, from))
}

func (w *world) node(id string) *node {
	for _, n := range w.nodes {
		if n.ID == id {
			return n
		}
	}
	return nil
}

func (w *world) give(n, to *node, r Revision) {
	hops := n.hops + 1
	if n.Region != to.Region {
		w.across += len(r.Value)
	}
	w.send(n, to, len(r.Value), func() { w.offer(to, r, Source{Push, n.ID}, hops) })
}

func (w *world) perform(n *node, actions []Action) {
	for _, a := range actions {
		switch a.Verb {
		case PushTo:
			for _, id := range a.Peers {
				w.give(n, w.node(id), a.Revision)
			}
		case Fetch:
			p := w.node(a.Peers[0])
			w.send(n, p, 50, func() {
				if r := p.state.Held(); r.Number > 0 {
					w.give(p, n, r)
				}
			})
		case Read:
			life := n.life
			w.after(2*time.Millisecond, func() {
				if r, ok := w.stored(n); n.life == life && n.up && ok {
					w.offer(n, r, Source{Kind: KeyValue}, 0)
				} else if n.life == life && n.up {
					w.perform(n, n.state.Missed(w.now))
				}
			})
		}
	}
}

// commit stores a revision. The watches of the relays lag.
func (w *world) commit(value string) Revision {
	number := int64(1 + w.rand.IntN(3))
	if k := len(w.commits); k > 0 {
		number += w.commits[k-1].Number
	}
	r := Revision{Number: number, Value: fmt.Appendf(nil, "%d %s", number, value)}
	w.commits = append(w.commits, commit{Revision: r, at: w.now})
	for _, n := range w.nodes {
		if n.relay {
			life := n.life
			w.after(time.Millisecond+time.Duration(w.rand.Int64N(int64(w.lag)+1)), func() {
				if n.up && n.life == life {
					w.watch(n)
				}
			})
		}
	}
	return r
}
