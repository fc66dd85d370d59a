package bench

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/adoption"
	"apricotbridge/internal/membership"
	"apricotbridge/internal/message"
	"apricotbridge/internal/standin"
)

// The network of the spread measure.
const (
	spreadNear   = time.Millisecond
	spreadRegion = 12 * time.Millisecond
	// spreadLimit is the bound of P7.
	spreadLimit = 3 * time.Second
	// spreadRelays is the number of daemons that watch the key in each place.
	spreadRelays = 2
	// spreadLag is the time until a watch tells of a change.
	spreadLag = 50 * time.Millisecond
	// spreadTrace is how long the digests run after the change.
	spreadTrace = 5 * time.Second
)

type spreadNode struct {
	membership.Daemon
	state adoption.State
	links []int
	hops  int
	took  time.Time
	bytes float64
}

// measureSpread measures how a new revision reaches all daemons.
func measureSpread(seed uint64) (Result, error) {
	var r Result
	value, err := fleetConfiguration(designConfigurationBytes)
	if err != nil {
		return r, err
	}
	for _, n := range daemonSizes {
		of := at(n, "daemons")
		nodes := spread(seed, n, value)
		hops, last, sum, most := 0, time.Duration(0), 0.0, 0.0
		for _, x := range nodes {
			if x.took.IsZero() {
				return r, errors.Errorf("%s of %d did not get the revision", x.ID, n)
			}
			hops, last = max(hops, x.hops), max(last, x.took.Sub(nodes[0].started()))
			sum, most = sum+x.bytes, max(most, x.bytes)
		}
		perDay := float64(designChangesPerDay) / secondsPerDay
		r.Figures = append(
			r.Figures, Figure{Name: "Hops", Policy: of, Value: float64(hops), Unit: "hops"},
			within("LastDaemon", of, last.Seconds(), "s", spreadLimit.Seconds()),
			Figure{Name: "SentForAChange", Policy: of, Value: sum / float64(n), Unit: "bytes"},
			Figure{Name: "MostSentForAChange", Policy: of, Value: most, Unit: "bytes"},
			Figure{Name: "SentBytes", Policy: of, Value: sum / float64(n) * perDay, Unit: "bytes/s"},
			within("MostSentBytes", of, most*perDay, "bytes/s", controlBytesPerSecond),
		)
	}
	return r, nil
}

func (n *spreadNode) started() time.Time { return time.Unix(1_000_000, 0) }

type spreadRun struct {
	*simulation
	nodes  []*spreadNode
	index  map[string]int
	random *rand.Rand
}

// spread commits a revision and returns the daemons some seconds later. Digests run
// as between daemons, so that they repair what pushes do not reach.
func spread(seed uint64, n int, value []byte) []*spreadNode {
	daemons := fleetDaemons(n)
	graph := linksOf(daemons)
	r := &spreadRun{simulation: newSimulation(seed, standin.Faults{}), index: map[string]int{}, random: rand.New(rand.NewPCG(seed, 3))}
	relays := map[string]int{}
	for i, d := range daemons {
		node := &spreadNode{Daemon: d, links: graph[i]}
		node.state = adoption.State{Parse: func([]byte) error { return nil }, Rand: rand.New(rand.NewPCG(seed, uint64(i)))}
		r.nodes, r.index[d.ID] = append(r.nodes, node), i
	}
	for i, node := range r.nodes {
		var peers []adoption.Peer
		for _, l := range node.links {
			peers = append(peers, adoption.Peer{ID: daemons[l].ID, Near: daemons[l].Place == node.Place})
		}
		node.state.SetPeers(peers)
		old := adoption.Revision{Number: 1, Value: []byte("old")}
		node.state.Offer(r.now, old, adoption.Source{Kind: adoption.KeyValue})
		for _, p := range peers {
			node.state.Offer(r.now, adoption.Revision{Number: 1}, adoption.Source{Kind: adoption.Digest, Peer: p.ID})
		}
		if relays[node.Place] < spreadRelays || n <= 16 {
			relays[node.Place]++
			r.after(spreadLag+time.Duration(r.random.Int64N(int64(spreadLag))), func() {
				r.offer(i, adoption.Revision{Number: 2, Value: value}, adoption.Source{Kind: adoption.KeyValue}, 1)
			})
		}
		r.digests(i, time.Duration(r.random.Int64N(int64(time.Second))))
		r.ticks(i)
	}
	r.run(r.now.Add(spreadTrace))
	return r.nodes
}

func (r *spreadRun) ticks(i int) {
	r.after(100*time.Millisecond, func() {
		r.act(i, r.nodes[i].state.Tick(r.now))
		r.ticks(i)
	})
}

func (r *spreadRun) digests(i int, phase time.Duration) {
	r.after(phase, func() {
		number := r.nodes[i].state.Shown()
		for _, to := range r.nodes[i].links {
			r.deliver(i, to, func() {
				r.offer(to, adoption.Revision{Number: number}, adoption.Source{Kind: adoption.Digest, Peer: r.nodes[i].ID}, 0)
			})
		}
		r.digests(i, time.Second)
	})
}

func (r *spreadRun) deliver(from, to int, do func()) {
	delay := spreadNear
	if r.nodes[from].Region != r.nodes[to].Region {
		delay = spreadRegion
	}
	r.after(delay, do)
}

// offer hands a revision to a daemon; hops is how often it was passed on.
func (r *spreadRun) offer(i int, revision adoption.Revision, from adoption.Source, hops int) {
	n := r.nodes[i]
	held := n.state.Shown()
	actions := n.state.Offer(r.now, revision, from)
	if n.state.Shown() > held && n.took.IsZero() {
		n.took, n.hops = r.now, hops
	}
	r.act(i, actions)
}

func (r *spreadRun) act(i int, actions []adoption.Action) {
	n := r.nodes[i]
	for _, a := range actions {
		for _, id := range a.Peers {
			to := r.index[id]
			switch a.Verb {
			case adoption.PushTo:
				r.give(i, to, a.Revision)
			case adoption.Fetch:
				n.bytes += sized(message.KindFetch, message.Fetch{})
				r.deliver(i, to, func() { r.give(to, i, r.nodes[to].state.Held()) })
			}
		}
	}
}

func (r *spreadRun) give(from, to int, revision adoption.Revision) {
	n := r.nodes[from]
	n.bytes += sized(message.KindConfiguration, message.Configuration{Revision: revision.Number, Value: message.Pack(revision.Value)})
	hops := n.hops + 1
	r.deliver(from, to, func() {
		r.offer(to, adoption.Revision{Number: revision.Number, Value: slices.Clone(revision.Value)}, adoption.Source{Kind: adoption.Push, Peer: n.ID}, hops)
	})
}
