package adoption

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"apricotbridge/internal/membership"
)

func deployment(n int) []membership.Daemon {
	places := [][2]string{
		{"saare", "kuressaare"},
		{"saare", "orissaare"},
		{"harju", "ulemiste"},
		{"saare", "leisi"},
		{"harju", "viimsi"},
		{"harju", "keila"},
	}
	if n < 60 {
		places = places[:3]
	}
	all := make([]membership.Daemon, n)
	for i := range all {
		p := places[i%len(places)]
		all[i] = membership.Daemon{ID: fmt.Sprint("d", i), Start: 1, Region: p[0], Place: p[1]}
	}
	return all
}

// operation is an apply, or a read at one daemon process.
type operation struct {
	apply   bool
	process string // ID and incarnation of the daemon, for a read
}

// modelState contains the revision that was committed last and the one that was read
// last by a daemon process.
type modelState struct{ committedRevision, lastRead int64 }

// model accepts a history when each daemon process reads only committed revisions
// with their unchanged value, and never an older one than before.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		var applies []porcupine.Operation
		reads := map[string][]porcupine.Operation{}
		for _, o := range history {
			if in := o.Input.(operation); in.apply {
				applies = append(applies, o)
			} else {
				reads[in.process] = append(reads[in.process], o)
			}
		}
		var parts [][]porcupine.Operation
		for _, r := range reads {
			parts = append(parts, append(r, applies...))
		}
		return parts
	},
	Init: func() any { return modelState{} },
	Step: func(state, input, output any) (bool, any) {
		s, r := state.(modelState), output.(Revision)
		if input.(operation).apply {
			return r.Number > s.committedRevision, modelState{committedRevision: r.Number, lastRead: s.lastRead}
		}
		intact := r.Number == 0 || strings.HasPrefix(string(r.Value), fmt.Sprint(r.Number, " "))
		return intact && r.Number >= s.lastRead && r.Number <= s.committedRevision, modelState{committedRevision: s.committedRevision, lastRead: r.Number}
	},
	Equal: func(a, b any) bool { return a == b },
}

// simulateHistory runs 30 s with concurrent applies and reads, an outage, a
// partition, a lagging watch and the replacement of every daemon. It returns the
// violations. With adoptsAnyRevision it uses the broken variant.
func simulateHistory(seed uint64, adoptsAnyRevision bool) (violations []string) {
	w := newWorld(seed, deployment(12))
	w.adoptsAnyRevision, w.duplicatesMessages, w.watchLag = adoptsAnyRevision, true, 200*time.Millisecond
	r := rand.New(rand.NewPCG(seed, 2))
	between := func(from, to int) time.Duration {
		return time.Duration(from+r.IntN(to-from)) * time.Millisecond
	}
	for _, spans := range []*[]span{&w.outages, &w.partitions} {
		from := epoch.Add(between(2000, 18000))
		*spans = append(*spans, span{from: from, to: from.Add(between(500, 5000))})
	}
	var history []porcupine.Operation
	for _, n := range w.nodes {
		w.after(between(0, 500), func() { w.start(n) })
		stopAt := between(4000, 24000)
		w.after(stopAt, func() { n.running = false })
		w.after(stopAt+between(100, 1500), func() { w.start(n) })
		for range 60 {
			w.after(between(500, 30000), func() {
				if !n.running {
					return
				}
				got, _ := n.state.InForce()
				at := w.now.Sub(epoch).Nanoseconds()
				process := fmt.Sprintf("%s/%d", n.ID, n.incarnation)
				history = append(history, porcupine.Operation{Input: operation{process: process}, Call: at, Output: got, Return: at + 1})
				start := w.now.Add(-3 * time.Second)
				for _, s := range append(append([]span{}, w.outages...), w.partitions...) {
					if s.from.Before(w.now) && s.to.After(start) {
						return // The daemon was not connected throughout the last 3 s.
					}
				}
				for _, c := range w.commits {
					if !n.startedAt.After(start) && !c.at.After(start) && c.Number > got.Number {
						violations = append(violations, fmt.Sprintf("%s has revision %d, not %d, %s after its commit", process, got.Number, c.Number, w.now.Sub(c.at)))
					}
				}
			})
		}
	}
	for range 3 { // Operators that apply concurrently.
		for range 8 {
			w.after(between(600, 26000), func() {
				commitsBefore, call := len(w.commits), w.now.Sub(epoch).Nanoseconds()
				w.after(between(1, 400), func() {
					if len(w.commits) != commitsBefore || containedInAny(w.outages, w.now) {
						return // Another operator committed before, or the service is down.
					}
					out := w.commit("value")
					end := w.now.Add(between(1, 300)).Sub(epoch).Nanoseconds()
					history = append(history, porcupine.Operation{Input: operation{apply: true}, Call: call, Output: out, Return: end})
				})
			})
		}
	}
	w.run(30 * time.Second)
	for i := range history {
		history[i].ClientId = i // Each operation has its own client, because applies overlap.
	}
	if !porcupine.CheckOperations(model, history) {
		violations = append(violations, "history contains a configuration that decreases or was never applied")
	}
	return violations
}

// Guards against a daemon that reverts to an older configuration or adopts one that
// was never applied, and against a connected daemon that lags more than 3 s. A
// variant that adopts the last received revision must fail.
func TestHistories(t *testing.T) {
	caught := 0
	for seed := range uint64(40) {
		if v := simulateHistory(seed, false); len(v) > 0 {
			t.Fatalf("seed %d: %d violations, first: %s", seed, len(v), v[0])
		}
		if v := simulateHistory(seed, true); len(v) > 0 && strings.HasPrefix(v[len(v)-1], "history") {
			caught++
		}
	}
	t.Logf("seeds 0 to 39: the history of the broken variant is refused with %d", caught)
	if caught == 0 {
		t.Error("the variant that adopts any received revision passes")
	}
}

// Guards against a push that does not reach all daemons, or that exceeds 17 KB/s per
// daemon at 1,700 changes a day.
func TestFanOut(t *testing.T) {
	const seed, size = 11, 50_000
	w := newWorld(seed, deployment(380))
	for _, n := range w.nodes {
		w.start(n)
		n.state.Poll = 0
	}
	w.run(2 * time.Second)
	for _, n := range w.nodes {
		n.sentBytes = 0
	}
	w.commit(strings.Repeat("x", size))
	count := func() (reached, hops, maxSent, total int) {
		for _, n := range w.nodes {
			if r, _ := n.state.InForce(); r.Number > 0 {
				reached++
				hops = max(hops, n.hops)
			}
			maxSent, total = max(maxSent, n.sentBytes), total+n.sentBytes
		}
		return reached, hops, maxSent, total
	}
	w.run(w.now.Sub(epoch) + 100*time.Millisecond)
	reachedEarly, hops, _, _ := count()
	t.Logf("seed %d: %d of 380 daemons in 100 ms, at most %d hops", seed, reachedEarly, hops)
	w.run(w.now.Sub(epoch) + 2*time.Second)
	reached, hops, maxSent, total := count()
	perSecond := float64(total) / 380 * 1700 / 86400
	t.Logf("in force at %d after 2.1 s, at most %d hops; %d KB sent by one daemon at most, %d KB on average, %.0f B/s at 1,700 changes a day",
		reached, hops, maxSent/1000, total/380/1000, perSecond)
	if reached != 380 || perSecond > 17_000 {
		t.Errorf("%d daemons, %.0f B/s", reached, perSecond)
	}
}

// Guards against a region without a relay in which all daemons fetch a revision over
// the slow link. A revision may use a tenth of the link for 3 s.
func TestFetchAcrossRegions(t *testing.T) {
	const seed, size = 11, 50_000
	w := newWorld(seed, deployment(380))
	for _, n := range w.nodes {
		n.relay = n.relay && n.Region == w.nodes[0].Region
		w.start(n)
		n.state.Poll = 0
		w.perform(n, n.state.Offer(w.now, Revision{Number: 1, Value: []byte("1 ")}, Source{Kind: KeyValue}))
	}
	w.commits = []commit{{Revision: Revision{Number: 1}, at: w.now}}
	w.run(3 * time.Second)
	w.crossRegionBytes = 0
	w.commit(strings.Repeat("x", size))
	w.run(w.now.Sub(epoch) + 3*time.Second)
	behind := 0
	for _, n := range w.nodes {
		if r, _ := n.state.InForce(); r.Number == 1 {
			behind++
		}
	}
	t.Logf("seed %d: %d KB between the regions, %d daemons behind after 3 s", seed, w.crossRegionBytes/1000, behind)
	if maxBytes := 3 * 30_000_000 / 8 / 10; behind > 0 || w.crossRegionBytes > maxBytes {
		t.Errorf("%d daemons behind; %d bytes, a tenth of the link in 3 s is %d", behind, w.crossRegionBytes, maxBytes)
	}
}

// Guards against a daemon that gets stuck at a revision that it can't parse, receives
// it again with each digest or reverts to an older one, and against a missing alarm
// for an unparsable or an older revision.
func TestUnparsable(t *testing.T) {
	s := &State{Rand: rand.New(rand.NewPCG(1, 1)), Parse: func(v []byte) error {
		if string(v) == "broken" {
			return fmt.Errorf("broken")
		}
		return nil
	}}
	s.SetPeers([]Peer{{ID: "a", SamePlace: true}, {ID: "b", SamePlace: true}})
	s.Offer(epoch, Revision{3, []byte("good")}, Source{Kind: Push, Peer: "a"})
	actions := s.Offer(epoch, Revision{5, []byte("broken")}, Source{Kind: Push, Peer: "a"})
	if len(actions) != 2 || actions[0].Kind != Alarm || actions[1].Kind != PushTo || actions[1].Peers[0] != "b" {
		t.Errorf("actions %+v", actions)
	}
	if r, c := s.InForce(); r.Number != 3 || c != Unconfirmed || s.DigestRevision() != 5 {
		t.Errorf("revision %d %s in force, %d shown", r.Number, c, s.DigestRevision())
	}
	if a := s.Offer(epoch, Revision{6, []byte("good")}, Source{Kind: KeyValue}); a[0].Kind != Adopt {
		t.Errorf("actions %+v", a)
	}
	if a := s.Offer(epoch, Revision{4, []byte("old")}, Source{Kind: KeyValue}); a[0].Kind != Alarm {
		t.Errorf("actions for an older revision in the key-value service: %+v", a)
	}
	if r, c := s.InForce(); r.Number != 6 || c != ByKeyValue {
		t.Errorf("revision %d %s in force", r.Number, c)
	}
}

// Guards against a daemon that stays without the last valid revision because it has
// started, or was cut off, when an invalid one was already stored.
func TestInvalidRevisionDoesNotHideTheLastValidOne(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(seed, deployment(12))
		late := w.nodes[len(w.nodes)-1]
		for _, n := range w.nodes {
			if n != late {
				w.start(n)
			}
		}
		w.partitions = []span{{from: epoch.Add(2 * time.Second), to: epoch.Add(5 * time.Second)}}
		w.after(time.Second, func() { w.commit("value") })
		var valid Revision
		w.after(3*time.Second, func() { valid = w.commit("value") })
		w.after(4*time.Second, func() { w.commit("broken") })
		w.after(6*time.Second, func() { w.start(late) })
		w.run(9 * time.Second)
		for _, n := range w.nodes {
			if r, _ := n.state.InForce(); r.Number != valid.Number {
				t.Errorf("seed %d: revision %d in force at %s, want %d", seed, r.Number, n.ID, valid.Number)
			}
		}
	}
}

// Guards against a daemon that starts during an outage and serves with an older
// revision than a reachable peer has.
func TestStartInOutage(t *testing.T) {
	s := &State{Rand: rand.New(rand.NewPCG(1, 1)), Parse: func([]byte) error { return nil }}
	s.SetPeers([]Peer{{ID: "a", SamePlace: true}, {ID: "b"}})
	s.Tick(epoch)
	s.ReadFailed(epoch)
	s.Offer(epoch, Revision{7, []byte("7")}, Source{Kind: Push, Peer: "a"})
	if s.Ready(epoch) {
		t.Error("ready before the other peer has answered")
	}
	s.Offer(epoch, Revision{Number: 9}, Source{Kind: Digest, Peer: "b"})
	at := epoch.Add(maxFetchDelay)
	if a := s.Tick(at); len(a) == 0 || a[len(a)-1].Kind != Fetch || a[len(a)-1].Peers[0] != "b" {
		t.Errorf("actions %+v", a)
	}
	s.Offer(at, Revision{9, []byte("9")}, Source{Kind: Push, Peer: "b"})
	s.Offer(at, Revision{Number: 9}, Source{Kind: Digest, Peer: "a"})
	if r, c := s.InForce(); r.Number != 9 || c != ByPeers || !s.Ready(at) {
		t.Errorf("revision %d %s in force, ready %t", r.Number, c, s.Ready(at))
	}
}
