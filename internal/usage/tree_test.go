package usage

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"apricotbridge/internal/admission"
	"apricotbridge/internal/membership"
	"apricotbridge/internal/message"
)

var (
	epoch   = time.Unix(1_800_000_000, 0)
	testKey = Key{"assistant", "reply", "a"}
)

const seed = 1

// fleet is a set of trees that exchange messages without delay.
type fleet struct {
	now     time.Time
	daemons []membership.Daemon
	trees   map[string]*Tree
	served  map[string]float64
	dead    map[string]bool
	blocked func(from, to string) bool
	// lossRate is the share of messages that are lost.
	lossRate float64
	random   *rand.Rand
}

func newFleet(n int) *fleet {
	f := &fleet{now: epoch, trees: map[string]*Tree{}, served: map[string]float64{}, dead: map[string]bool{}, blocked: func(string, string) bool { return false }, random: rand.New(rand.NewPCG(seed, 1))}
	for i := range n {
		d := membership.Daemon{ID: fmt.Sprintf("d%03d", i), Place: fmt.Sprint("place-", i%6), Region: fmt.Sprint("region-", i%6/3)}
		f.daemons = append(f.daemons, d)
		f.trees[d.ID] = &Tree{Self: d}
	}
	return f
}

func (f *fleet) acrossRegions(from, to string) bool {
	return f.trees[from].Self.Region != f.trees[to].Self.Region
}

// run lets each daemon serve 10 tokens a second for the given time.
func (f *fleet) run(span time.Duration) {
	for end, step := f.now.Add(span), 0; f.now.Before(end); f.now, step = f.now.Add(100*time.Millisecond), step+1 {
		for _, d := range f.daemons {
			if f.dead[d.ID] {
				continue
			}
			f.served[d.ID]++
			t := f.trees[d.ID]
			t.SetOwnCounters([]admission.PeerUsage{{Service: testKey.Service, Rank: testKey.Rank, Organisation: testKey.Organisation, Tokens: f.served[d.ID], Requests: uint64(f.served[d.ID])}})
			if step%50 == 0 {
				t.Arrange(f.daemons, func(id string) bool { return !f.dead[id] })
			}
			f.deliver(d.ID, t.Tick(f.now))
		}
	}
}

func (f *fleet) deliver(from string, reports []Report) {
	for _, report := range reports {
		for _, to := range report.To {
			if !f.dead[to] && !f.blocked(from, to) && f.random.Float64() >= f.lossRate {
				f.deliver(to, f.trees[to].Receive(f.now, from, report.Usage))
			}
		}
	}
}

// countedOthers returns the tokens that a daemon counts for the other daemons.
func (f *fleet) countedOthers(id string) (sum float64) {
	for _, sums := range f.trees[id].otherDaemons {
		sum += sums[testKey].Tokens
	}
	return sum
}

// Guards against usage of other daemons that is not counted, counted twice or
// attributed to the daemon itself, also with lost messages, dead roots and a partition
// between regions.
func TestCountsOfOtherDaemons(t *testing.T) {
	const tolerance = 0.15 // Sums lag by up to 15 s in a run of 100 s.
	for _, c := range []struct {
		name         string
		n            int
		disturb      func(f *fleet)
		visibleShare float64
	}{
		{"two", 2, func(*fleet) {}, 1},
		{"six", 6, func(*fleet) {}, 1},
		{"many", 240, func(*fleet) {}, 1},
		{"lost messages", 60, func(f *fleet) { f.lossRate = 0.2 }, 1},
		{"dead roots", 60, func(f *fleet) {
			for _, d := range f.daemons {
				f.dead[d.ID] = f.trees[d.ID].parent == ""
			}
		}, 1},
		{"partition", 60, func(f *fleet) { f.blocked = f.acrossRegions }, 0.5},
	} {
		f := newFleet(c.n)
		f.run(30 * time.Second)
		c.disturb(f)
		f.run(30 * time.Second)
		before := map[string]float64{}
		for _, d := range f.daemons {
			before[d.ID] = f.countedOthers(d.ID)
		}
		f.run(100 * time.Second)
		live := 0.0
		for _, d := range f.daemons {
			if !f.dead[d.ID] {
				live++
			}
		}
		for _, d := range f.daemons {
			want := (live*c.visibleShare - 1) * 1000
			if got := f.countedOthers(d.ID) - before[d.ID]; !f.dead[d.ID] && math.Abs(got-want) > tolerance*want {
				t.Errorf("seed %d: %s: %s counts %.0f tokens of others, want %.0f", seed, c.name, d.ID, got, want)
			}
		}
	}
}

// Guards against repeating old counters of an unreachable region, which would raise the
// limits of organisations during a partition.
func TestOthersOmitsUnreachableRegion(t *testing.T) {
	f := newFleet(12)
	f.run(time.Minute)
	tree := f.trees["d000"]
	f.blocked = f.acrossRegions
	f.run(40 * time.Second)
	tree.Others(f.now)
	f.run(40 * time.Second)
	daemonsByRegion := map[string]int{}
	for _, u := range tree.Others(f.now) {
		daemonsByRegion[u.Daemon] = u.Daemons
	}
	if len(daemonsByRegion) != 1 || daemonsByRegion["region region-0"] != 5 {
		t.Errorf("got regions and their daemons %v, want 5 daemons of region-0 alone", daemonsByRegion)
	}
}

// Guards against accepting region sums from a daemon that is not the parent.
func TestReceiveAcceptsRegionsOnlyFromParent(t *testing.T) {
	f := newFleet(24)
	f.run(10 * time.Second)
	for _, d := range f.daemons {
		u := message.Usage{Scope: message.UsageScopeRegion, Origin: "impostor", Name: "region-0", Counts: []message.UsageCount{{Organisation: "a"}}}
		if tree := f.trees[d.ID]; len(tree.Receive(f.now, "impostor", u)) > 0 || tree.regionOrigin == "impostor" {
			t.Errorf("%s accepted sums from a daemon that is not its parent", d.ID)
		}
	}
}
