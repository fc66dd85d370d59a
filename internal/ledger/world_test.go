package ledger

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"apricotbridge/internal/keyvalue"
	"apricotbridge/pkg/problem"
)

// leaseTime is the time without a change of the tail after which a node takes the
// shard over.
const leaseTime = 3 * time.Second

// stepper is a Shard or a broken variant of it.
type stepper interface {
	Step(time.Time, Event) []Action
	Holds() bool
	Resigned() bool
}

// blindWrite is a write that ignores the revision, from a variant that trusts its
// lease.
type blindWrite struct{ Write }

type node struct {
	name        string
	shard       stepper
	alive       bool
	pausedUntil time.Time
	// seenRevision is the last seen revision of the tail, unchangedSince the time
	// since which it has not changed.
	seenRevision   int64
	unchangedSince time.Time
}

type scheduledCall struct {
	at  time.Time
	seq int
	run func()
}

type queue []scheduledCall

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(scheduledCall)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// operation is a submission or a run in the history for porcupine.
type operation struct {
	key     string
	kind    Kind
	attempt int // ID of the submission; a run has the ID of the one that caused it
	run     int // 0 for a submission
}

type output struct {
	response int // 0 means none
	notRun   bool
	// holder is set when the stored tail named the answering node as holder.
	holder bool
}

// world simulates several nodes of one shard, a key-value service and backend servers
// with faults, in simulated time.
type world struct {
	rng             *rand.Rand
	build           func(Config) stepper
	now             time.Time
	queue           queue
	seq             int
	timestamp       int64
	nodes           []*node
	stored          map[string]keyvalue.Entry
	revision        int64
	downUntil       time.Time
	losingUntil     time.Time
	slowUntil       time.Time
	incarnations    uint64
	history         []porcupine.Operation
	openSubmissions map[uint64]int // submission ID to its index in history
	kinds           map[string]Kind
	keys            []string
	completedRun    map[string]int // completed run by key, for look-ups
	runs            int
	accepted        map[string]bool
	// writesPerSecond and sealBytes differ between worlds, so that commits, seals and
	// compactions compete for writes in some of them.
	writesPerSecond float64
	sealBytes       int
	decoded         Tail
	decodedAt       int64
	// segments and deletions count the written and the deleted keys of segments.
	segments, deletions int
	// lastSubmission is the index in history of the last submission.
	lastSubmission int
}

func newWorld(seed uint64, build func(Config) stepper) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 7)), build: build, now: time.Unix(1_000_000, 0),
		stored: map[string]keyvalue.Entry{}, openSubmissions: map[uint64]int{}, kinds: map[string]Kind{},
		completedRun: map[string]int{}, accepted: map[string]bool{},
	}
	w.writesPerSecond = []float64{3, 10, 50}[w.rng.IntN(3)]
	w.sealBytes = []int{200, 500, 2000}[w.rng.IntN(3)]
	for i := range 3 {
		n := &node{name: fmt.Sprint("d", i), alive: true}
		w.nodes = append(w.nodes, n)
		w.spawn(n)
		w.scheduleTicks(n)
	}
	return w
}

func (w *world) spawn(n *node) {
	w.incarnations++
	n.shard = w.build(Config{
		Holder: n.name, Incarnation: w.incarnations, Retention: time.Hour, Heartbeat: time.Second,
		WritesPerSecond: w.writesPerSecond, SealBytes: w.sealBytes, MergeCount: 3,
		Rand: rand.New(rand.NewPCG(w.rng.Uint64(), 3)),
	})
	n.unchangedSince = w.now
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, scheduledCall{w.now.Add(d), w.seq, run})
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(scheduledCall)
		w.now = next.at
		next.run()
	}
	w.now = end
}

func (w *world) ms(from, to int) time.Duration {
	return time.Duration(from+w.rng.IntN(to-from+1)) * time.Millisecond
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

func (w *world) nextTimestamp() int64 {
	w.timestamp++
	return w.timestamp
}

func (w *world) scheduleTicks(n *node) {
	w.after(100*time.Millisecond, func() {
		if n.alive && !w.now.Before(n.pausedUntil) {
			w.step(n, n.shard, Tick{})
			w.takeOverIfStale(n)
		}
		w.scheduleTicks(n)
	})
}

// takeOverIfStale may take the shard over when the tail has not changed for leaseTime
// or has no live holder.
func (w *world) takeOverIfStale(n *node) {
	tail := w.stored[TailKey(0)]
	if tail.Revision != n.seenRevision {
		n.seenRevision, n.unchangedSince = tail.Revision, w.now
	}
	if n.shard.Resigned() {
		w.spawn(n)
	}
	t := w.tail()
	holderDead := !slices.ContainsFunc(w.nodes, func(n *node) bool { return n.alive && n.name == t.Holder })
	if !n.shard.Holds() && w.now.After(w.downUntil) && (holderDead || w.now.Sub(n.unchangedSince) > leaseTime) && w.chance(0.3) {
		w.step(n, n.shard, TakeOver{Revision: tail.Revision})
	}
}

// step delivers an event to the shard that it is addressed to, after a pause of the
// node.
func (w *world) step(n *node, s stepper, ev Event) {
	if !n.alive {
		return
	}
	if w.now.Before(n.pausedUntil) {
		w.after(n.pausedUntil.Sub(w.now), func() { w.step(n, s, ev) })
		return
	}
	for _, a := range s.Step(w.now, ev) {
		w.perform(n, s, a)
	}
}

// latency is the one-way delay to the key-value service or a backend server.
func (w *world) latency() time.Duration {
	if w.now.Before(w.slowUntil) {
		return w.ms(50, 2500)
	}
	return w.ms(1, 8)
}

func (w *world) perform(n *node, s stepper, a Action) {
	name := n.name
	wait := w.latency()
	if w.chance(0.02) {
		wait += w.ms(500, 5000) // The node is paused between the decision and the call.
	}
	afterLatency := func(run func()) {
		w.after(wait, run)
	}
	reply := func(ev Event) { w.after(w.latency(), func() { w.step(n, s, ev) }) }
	switch a := a.(type) {
	case blindWrite:
		afterLatency(func() { reply(w.write(a.Write, true)) })
	case Write:
		if w.now.Before(w.losingUntil) && w.chance(0.3) {
			// The caller's timeout ends before the write arrives; the write may still
			// take effect.
			reply(CommitUnknown{a.ID})
			w.after(wait+w.ms(0, 200), func() { w.write(a, false) })
			return
		}
		afterLatency(func() { reply(w.write(a, false)) })
	case Delete:
		afterLatency(func() {
			if w.now.Before(w.downUntil) {
				reply(CommitRefused{a.ID})
				return
			}
			if strings.HasPrefix(a.Key, TailKey(0)+"/") && w.tailNames(a.Key) {
				panic("deletion of a segment that the tail names: " + a.Key)
			}
			delete(w.stored, a.Key)
			w.deletions++
			reply(Committed{ID: a.ID})
		})
	case Read:
		afterLatency(func() {
			reply(ReadBack{ID: a.ID, Entry: w.stored[a.Key], Failed: w.now.Before(w.downUntil)})
		})
	case Lookup:
		afterLatency(func() {
			run, ok := w.completedRun[a.Key]
			reply(LookedUp{Organisation: a.Organisation, Key: a.Key, Found: ok, Response: []byte(fmt.Sprint(run))})
		})
	case Dispatch:
		w.after(wait, func() {
			if n.alive && n.name == name {
				w.backend(a, reply)
			}
		})
	case Answer:
		w.recordAnswer(n, s, a)
	}
}

// tail returns the stored tail, decoded once for each revision.
func (w *world) tail() Tail {
	if e := w.stored[TailKey(0)]; e.Revision != w.decodedAt {
		w.decoded, _ = DecodeTail(e.Value)
		w.decodedAt = e.Revision
	}
	return w.decoded
}

// tailNames reports whether the stored tail lists the segment with this key.
func (w *world) tailNames(key string) bool {
	t := w.tail()
	return slices.ContainsFunc(t.Segments, func(s Segment) bool {
		return key == segmentKey(0, s.Name) || key == indexKey(0, s.Name)
	})
}

func (w *world) write(a Write, blind bool) Event {
	if w.now.Before(w.downUntil) {
		return CommitRefused{a.ID}
	}
	current := w.stored[a.Key]
	if current.Revision != a.Revision && !blind {
		return CommitConflict{ID: a.ID, Current: current}
	}
	w.revision++
	if a.Key != TailKey(0) {
		w.segments++
	}
	w.stored[a.Key] = keyvalue.Entry{Key: a.Key, Value: a.Value, Revision: w.revision}
	if w.now.Before(w.losingUntil) && w.chance(0.5) {
		return CommitUnknown{a.ID}
	}
	return Committed{ID: a.ID, Revision: w.revision}
}

// backend simulates a dispatched request: it is refused, fails midway or is answered.
func (w *world) backend(a Dispatch, back func(Event)) {
	o := Outcome{Organisation: a.Organisation, Key: a.Key, Sequence: a.Sequence, Ran: problem.NotRun}
	if w.chance(0.1) {
		back(o)
		return
	}
	w.runs++
	run, call := w.runs, w.nextTimestamp()
	var attempt int
	_, _ = fmt.Sscan(a.RequestID, &attempt)
	i := len(w.history)
	w.history = append(w.history, porcupine.Operation{
		ClientId: i, Input: operation{a.Key, a.Kind, attempt, run}, Output: output{}, Call: call, Return: 1 << 60,
	})
	w.after(w.ms(1, 400), func() {
		w.history[i].Return = w.nextTimestamp()
		if o.Ran = problem.Unknown; !w.chance(0.1) {
			o.Ran, o.Response = problem.HasRun, []byte(fmt.Sprint(run))
			w.completedRun[a.Key] = run
		}
		back(o)
	})
}

// submit sends a key to node n or, if n is nil, usually to a node that holds the
// shard by its own state.
func (w *world) submit(key string, n *node) {
	if n == nil {
		n = w.nodes[w.rng.IntN(len(w.nodes))]
		if i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.alive && n.shard.Holds() }); i >= 0 && w.chance(0.9) {
			n = w.nodes[i]
		}
	}
	id := uint64(len(w.history) + 1)
	w.openSubmissions[id], w.lastSubmission = len(w.history), len(w.history)
	w.history = append(w.history, porcupine.Operation{
		ClientId: len(w.history), Input: operation{key: key, kind: w.kinds[key], attempt: int(id)},
		Output: output{}, Call: w.nextTimestamp(), Return: 1 << 60,
	})
	w.step(n, n.shard, Submit{
		ID: id, Organisation: "o", Key: key, Kind: w.kinds[key], Service: "s", RequestID: fmt.Sprint(id),
		Request: []byte("body of " + key), Lookup: strings.HasPrefix(key, "l"), Async: strings.HasPrefix(key, "a"),
	})
}

func (w *world) submitNew() {
	key := fmt.Sprint([]string{"o", "l", "d", "a"}[w.rng.IntN(4)], len(w.keys))
	w.keys = append(w.keys, key)
	w.kinds[key] = Order
	if key[0] == 'd' || key[0] == 'a' {
		w.kinds[key] = Draft
	}
	w.submit(key, nil)
}

func (w *world) resend() {
	if len(w.keys) > 0 {
		w.submit(w.keys[w.rng.IntN(len(w.keys))], nil)
	}
}

func (w *world) recordAnswer(n *node, s stepper, a Answer) {
	i, ok := w.openSubmissions[a.ID]
	if !ok {
		panic(fmt.Sprint("submission answered twice: ", a.ID))
	}
	delete(w.openSubmissions, a.ID)
	in := w.history[i].Input.(operation)
	var out output
	switch {
	case a.Result.Accepted:
		w.accepted[in.key] = true
	case a.Result.Problem != nil:
		out.notRun = problem.Of(a.Result.Problem.Kind).Ran == problem.NotRun
		t := w.tail()
		out.holder = out.notRun && t.Holder == n.name && n.shard == s && s.Holds()
	default:
		_, _ = fmt.Sscan(string(a.Result.Response), &out.response)
		w.accepted[in.key] = in.kind == Draft
	}
	w.history[i].Output = out
	w.history[i].Return = w.nextTimestamp()
}

func (w *world) anyNode() *node { return w.nodes[w.rng.IntN(len(w.nodes))] }

func (w *world) holder() *node {
	for _, n := range w.nodes {
		if n.alive && n.shard.Holds() {
			return n
		}
	}
	return w.anyNode()
}

func (w *world) kill(n *node) {
	if !n.alive {
		return
	}
	n.alive = false
	name := n.name
	i := slices.Index(w.nodes, n)
	w.after(w.ms(200, 4000), func() { // The platform starts a new process.
		fresh := &node{name: name, alive: true}
		w.nodes[i] = fresh
		w.spawn(fresh)
		w.scheduleTicks(fresh)
	})
}

func (w *world) pause(n *node)   { n.pausedUntil = w.now.Add(w.ms(200, 2*int(leaseTime.Milliseconds()))) }
func (w *world) outage()         { w.downUntil = w.now.Add(w.ms(100, 3000)) }
func (w *world) loseAnswers()    { w.losingUntil = w.now.Add(w.ms(100, 2000)) }
func (w *world) slowAnswers()    { w.slowUntil = w.now.Add(w.ms(100, 3000)) }
func (w *world) earlyTakeover()  { n := w.anyNode(); w.step(n, n.shard, TakeOver{}) }
func (w *world) reclaim(n *node) { w.handOff(n); w.after(w.ms(200, 1500), func() { w.kill(n) }) }
func (w *world) handOff(n *node) { w.step(n, n.shard, HandOff{Deadline: w.now.Add(w.ms(0, 1000))}) }
func (w *world) submitBurst() {
	for range 5 {
		w.submitNew()
	}
}

// faults returns the faults from which a schedule chooses at random.
func (w *world) faults() []func() {
	return []func(){
		func() { w.kill(w.holder()) }, func() { w.pause(w.holder()) }, func() { w.pause(w.anyNode()) },
		w.outage, w.loseAnswers, w.slowAnswers, w.earlyTakeover,
		func() { w.reclaim(w.holder()) }, func() { w.handOff(w.holder()) },
	}
}
