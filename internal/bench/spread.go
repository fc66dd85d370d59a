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

// Parameters of the spread measure.
const (
	delayWithinRegion   = time.Millisecond
	delayBetweenRegions = 12 * time.Millisecond
	// maxSpreadTime is the design's limit until a new configuration is in force everywhere.
	maxSpreadTime = 3 * time.Second
	// relaysPerPlace is the number of daemons in each place that watch the configuration.
	relaysPerPlace = 2
	// watchDelay is the shortest delay of a watch event; it may take twice as long.
	watchDelay = 50 * time.Millisecond
	// spreadDuration is how long digests are exchanged after the change.
	spreadDuration = 5 * time.Second
)

type spreadNode struct {
	membership.Daemon
	state     adoption.State
	links     []int
	hops      int
	adopted   time.Time
	sentBytes float64
}

// measureSpread measures the time and bytes until a new revision reaches all daemons.
func measureSpread(seed uint64) (Result, error) {
	var r Result
	value, err := fleetConfiguration(designConfigurationBytes)
	if err != nil {
		return r, err
	}
	for _, n := range daemonSizes {
		size := sizeLabel(n, "daemons")
		nodes := simulateSpread(seed, n, value)
		hops, last, total, highest := 0, time.Duration(0), 0.0, 0.0
		for _, node := range nodes {
			if node.adopted.IsZero() {
				return r, errors.Errorf("daemon %s of %d did not receive the revision", node.ID, n)
			}
			hops, last = max(hops, node.hops), max(last, node.adopted.Sub(nodes[0].changeTime()))
			total, highest = total+node.sentBytes, max(highest, node.sentBytes)
		}
		changesPerSecond := float64(designChangesPerDay) / secondsPerDay
		r.Figures = append(
			r.Figures, Figure{Name: "Hops", Policy: size, Value: float64(hops), Unit: "hops"},
			boundedFigure("LastDaemon", size, last.Seconds(), "s", maxSpreadTime.Seconds()),
			Figure{Name: "SentForAChange", Policy: size, Value: total / float64(n), Unit: "bytes"},
			Figure{Name: "MostSentForAChange", Policy: size, Value: highest, Unit: "bytes"},
			Figure{Name: "SentBytes", Policy: size, Value: total / float64(n) * changesPerSecond, Unit: "bytes/s"},
			boundedFigure("MostSentBytes", size, highest*changesPerSecond, "bytes/s", maxControlBytesPerSecond),
		)
	}
	return r, nil
}

func (n *spreadNode) changeTime() time.Time { return time.Unix(1_000_000, 0) }

type spreadRun struct {
	*simulation
	nodes     []*spreadNode
	nodeIndex map[string]int
	random    *rand.Rand
}

// simulateSpread commits a revision and returns the daemons after spreadDuration. Daemons
// exchange digests, which repair missed pushes.
func simulateSpread(seed uint64, n int, value []byte) []*spreadNode {
	daemons := fleetDaemons(n)
	graph := buildLinkGraph(daemons)
	r := &spreadRun{simulation: newSimulation(seed, standin.KeyValueFaults{}), nodeIndex: map[string]int{}, random: rand.New(rand.NewPCG(seed, 3))}
	relays := map[string]int{}
	for i, d := range daemons {
		node := &spreadNode{Daemon: d, links: graph[i]}
		node.state = adoption.State{Parse: func([]byte) error { return nil }, Rand: rand.New(rand.NewPCG(seed, uint64(i)))}
		r.nodes, r.nodeIndex[d.ID] = append(r.nodes, node), i
	}
	for i, node := range r.nodes {
		var peers []adoption.Peer
		for _, l := range node.links {
			peers = append(peers, adoption.Peer{ID: daemons[l].ID, SamePlace: daemons[l].Place == node.Place})
		}
		node.state.SetPeers(peers)
		old := adoption.Revision{Number: 1, Value: []byte("old")}
		node.state.Offer(r.now, old, adoption.Source{Kind: adoption.KeyValue})
		for _, p := range peers {
			node.state.Offer(r.now, adoption.Revision{Number: 1}, adoption.Source{Kind: adoption.Digest, Peer: p.ID})
		}
		if relays[node.Place] < relaysPerPlace || n <= 16 {
			relays[node.Place]++
			r.after(watchDelay+time.Duration(r.random.Int64N(int64(watchDelay))), func() {
				r.offer(i, adoption.Revision{Number: 2, Value: value}, adoption.Source{Kind: adoption.KeyValue}, 1)
			})
		}
		r.scheduleDigest(i, time.Duration(r.random.Int64N(int64(time.Second))))
		r.scheduleTick(i)
	}
	r.run(r.now.Add(spreadDuration))
	return r.nodes
}

func (r *spreadRun) scheduleTick(i int) {
	r.after(100*time.Millisecond, func() {
		r.runActions(i, r.nodes[i].state.Tick(r.now))
		r.scheduleTick(i)
	})
}

func (r *spreadRun) scheduleDigest(i int, phase time.Duration) {
	r.after(phase, func() {
		number := r.nodes[i].state.DigestRevision()
		for _, to := range r.nodes[i].links {
			r.deliver(i, to, func() {
				r.offer(to, adoption.Revision{Number: number}, adoption.Source{Kind: adoption.Digest, Peer: r.nodes[i].ID}, 0)
			})
		}
		r.scheduleDigest(i, time.Second)
	})
}

func (r *spreadRun) deliver(from, to int, receive func()) {
	delay := delayWithinRegion
	if r.nodes[from].Region != r.nodes[to].Region {
		delay = delayBetweenRegions
	}
	r.after(delay, receive)
}

// offer passes a revision to a daemon; hops is the number of times it was sent.
func (r *spreadRun) offer(i int, revision adoption.Revision, source adoption.Source, hops int) {
	n := r.nodes[i]
	before := n.state.DigestRevision()
	actions := n.state.Offer(r.now, revision, source)
	if n.state.DigestRevision() > before && n.adopted.IsZero() {
		n.adopted, n.hops = r.now, hops
	}
	r.runActions(i, actions)
}

func (r *spreadRun) runActions(i int, actions []adoption.Action) {
	n := r.nodes[i]
	for _, a := range actions {
		for _, id := range a.Peers {
			to := r.nodeIndex[id]
			switch a.Kind {
			case adoption.PushTo:
				r.sendRevision(i, to, a.Revision)
			case adoption.Fetch:
				n.sentBytes += encodedSize(message.KindFetch, message.Fetch{})
				r.deliver(i, to, func() { r.sendRevision(to, i, r.nodes[to].state.NewestRevision()) })
			}
		}
	}
}

func (r *spreadRun) sendRevision(from, to int, revision adoption.Revision) {
	n := r.nodes[from]
	n.sentBytes += encodedSize(message.KindConfiguration, message.Configuration{Revision: revision.Number, Value: message.Compress(revision.Value)})
	hops := n.hops + 1
	r.deliver(from, to, func() {
		r.offer(to, adoption.Revision{Number: revision.Number, Value: slices.Clone(revision.Value)}, adoption.Source{Kind: adoption.Push, Peer: n.ID}, hops)
	})
}
