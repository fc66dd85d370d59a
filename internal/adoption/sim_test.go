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
	at  time.Time
	run func()
}

// node is a daemon. Each process of it has a new incarnation number and starts with an
// empty state.
type node struct {
	membership.Daemon
	state       *State
	incarnation int
	running     bool
	startedAt   time.Time
	links       []*node
	relay       bool
	hops        int // Hops by which the revision in force was received.
	sentBytes   int
}

type commit struct {
	Revision
	at time.Time
}

// span is a time interval in which a fault is active.
type span struct{ from, to time.Time }

func (s span) contains(t time.Time) bool { return !t.Before(s.from) && t.Before(s.to) }

// world is a simulated deployment. The key-value service is in the region of the
// first daemon.
type world struct {
	rand               *rand.Rand
	now                time.Time
	queue              []event // In descending order of time.
	nodes              []*node
	commits            []commit
	outages            []span
	partitions         []span
	watchLag           time.Duration
	adoptsAnyRevision  bool // Broken variant: adopts any received revision, also an older one.
	crossRegionBytes   int  // Bytes of revisions sent between the regions.
	duplicatesMessages bool // Some messages arrive twice, the second time late.
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
	set.ApplyList(epoch, daemons)
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

func (w *world) after(d time.Duration, run func()) {
	at := w.now.Add(d)
	i, _ := slices.BinarySearchFunc(w.queue, at, func(e event, at time.Time) int { return at.Compare(e.at) })
	w.queue = slices.Insert(w.queue, i, event{at: at, run: run})
}

// run simulates the events before the time until, which counts from epoch.
func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[len(w.queue)-1].at.Before(epoch.Add(until)) {
		e := w.queue[len(w.queue)-1]
		w.queue = w.queue[:len(w.queue)-1]
		w.now = e.at
		e.run()
	}
}

func containedInAny(spans []span, t time.Time) bool {
	for _, s := range spans {
		if s.contains(t) {
			return true
		}
	}
	return false
}

// readKeyValue returns the stored revision, or false if the daemon can't reach the
// key-value service.
func (w *world) readKeyValue(n *node) (Revision, bool) {
	if containedInAny(w.outages, w.now) || n.Region != w.nodes[0].Region && containedInAny(w.partitions, w.now) {
		return Revision{}, false
	}
	if len(w.commits) == 0 {
		return Revision{}, true
	}
	return w.commits[len(w.commits)-1].Revision, true
}

// start starts a new process of a daemon.
func (w *world) start(n *node) {
	n.incarnation++
	n.running, n.startedAt = true, w.now
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
		peers = append(peers, Peer{ID: p.ID, SamePlace: p.Place == n.Place})
	}
	n.state.SetPeers(peers)
	incarnation := n.incarnation
	w.every(n, incarnation, 100*time.Millisecond, func() { w.perform(n, n.state.Tick(w.now)) })
	w.every(n, incarnation, time.Second, func() { w.sendDigests(n) })
	if n.relay {
		w.every(n, incarnation, 300*time.Millisecond, func() { w.offerStored(n) })
	}
}

// every calls run at intervals of d while the incarnation of the daemon is running.
func (w *world) every(n *node, incarnation int, d time.Duration, run func()) {
	var step func()
	step = func() {
		if n.running && n.incarnation == incarnation {
			run()
			w.after(d, step)
		}
	}
	w.after(time.Duration(w.rand.Int64N(int64(d))), step)
}

func (w *world) offerStored(n *node) {
	if r, ok := w.readKeyValue(n); ok && r.Number > 0 {
		w.offer(n, r, Source{Kind: KeyValue}, 0)
	}
}

func (w *world) sendDigests(n *node) {
	for _, p := range n.links {
		number, inForce := n.state.DigestRevision(), n.state.inForce.Number
		w.send(n, p, 100, func() {
			w.offer(p, Revision{Number: number}, Source{Kind: Digest, Peer: n.ID, InForce: inForce}, 0)
		})
	}
}

func (w *world) send(from, to *node, bytes int, run func()) {
	delay := time.Millisecond
	if from.Region != to.Region {
		if containedInAny(w.partitions, w.now) {
			return
		}
		delay = 12 * time.Millisecond
	}
	from.sentBytes += bytes
	incarnation := to.incarnation
	arrive := func() {
		if to.running && to.incarnation == incarnation {
			run()
		}
	}
	w.after(delay+time.Duration(w.rand.Int64N(int64(5*time.Millisecond))), arrive)
	if w.duplicatesMessages && w.rand.IntN(5) == 0 { // A copy that was delayed on another path.
		w.after(delay+time.Duration(w.rand.Int64N(int64(3*time.Second))), arrive)
	}
}

func (w *world) offer(n *node, r Revision, from Source, hops int) {
	previous := n.state.newest.Number
	if w.adoptsAnyRevision && from.Kind != Digest && r.Number != n.state.inForce.Number {
		n.state.newest, n.state.inForce = Revision{}, Revision{}
	}
	if r.Number > previous && from.Kind != Digest {
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

func (w *world) sendRevision(n, to *node, r Revision) {
	hops := n.hops + 1
	if n.Region != to.Region {
		w.crossRegionBytes += len(r.Value)
	}
	w.send(n, to, len(r.Value), func() { w.offer(to, r, Source{Kind: Push, Peer: n.ID}, hops) })
}

func (w *world) perform(n *node, actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case PushTo:
			for _, id := range a.Peers {
				w.sendRevision(n, w.node(id), a.Revision)
			}
		case Fetch:
			p := w.node(a.Peers[0])
			held, inForce := n.state.DigestRevision(), n.state.inForce.Number
			w.send(n, p, 50, func() {
				for _, r := range p.state.Missing(held, inForce) {
					w.sendRevision(p, n, r)
				}
			})
		case Read:
			incarnation := n.incarnation
			w.after(2*time.Millisecond, func() {
				if r, ok := w.readKeyValue(n); n.incarnation == incarnation && n.running && ok {
					w.offer(n, r, Source{Kind: KeyValue}, 0)
				} else if n.incarnation == incarnation && n.running {
					w.perform(n, n.state.ReadFailed(w.now))
				}
			})
		}
	}
}

// commit stores a revision. The relays receive it after the lag of their watch.
func (w *world) commit(value string) Revision {
	number := int64(1 + w.rand.IntN(3))
	if k := len(w.commits); k > 0 {
		number += w.commits[k-1].Number
	}
	r := Revision{Number: number, Value: fmt.Appendf(nil, "%d %s", number, value)}
	w.commits = append(w.commits, commit{Revision: r, at: w.now})
	for _, n := range w.nodes {
		if n.relay {
			incarnation := n.incarnation
			w.after(time.Millisecond+time.Duration(w.rand.Int64N(int64(w.watchLag)+1)), func() {
				if n.running && n.incarnation == incarnation {
					w.offerStored(n)
				}
			})
		}
	}
	return r
}
