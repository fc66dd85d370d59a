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
	epoch = time.Unix(1_800_000_000, 0)
	key   = Key{"assistant", "reply", "a"}
)

const seed = 1

// fleet is a set of trees that exchange messages without delay.
type fleet struct {
	now     time.Time
	daemons []membership.Daemon
	trees   map[string]*Tree
	served  map[string]float64
	dead    map[string]bool
	cut     func(from, to string) bool
	// lose is the share of messages that is lost.
	lose   float64
	random *rand.Rand
}

func newFleet(n int) *fleet {
	f := &fleet{now: epoch, trees: map[string]*Tree{}, served: map[string]float64{}, dead: map[string]bool{}, cut: func(string, string) bool { return false }, random: rand.New(rand.NewPCG(seed, 1))}
	for i := range n {
		d := membership.Daemon{ID: fmt.Sprintf("d%03d", i), Place: fmt.Sprint("place-", i%6), Region: fmt.Sprint("region-", i%6/3)}
		f.daemons = append(f.daemons, d)
		f.trees[d.ID] = &Tree{Self: d}
	}
	return f
}

func (f *fleet) parted(from, to string) bool {
	return f.trees[from].Self.Region != f.trees[to].Self.Region
}

// run lets each daemon serve 10 tokens a second for the given time.
func (f *fleet) run(span time.Duration) {
	for end, turn := f.now.Add(span), 0; f.now.Before(end); f.now, turn = f.now.Add(100*time.Millisecond), turn+1 {
		for _, d := range f.daemons {
			if f.dead[d.ID] {
				continue
			}
			f.served[d.ID]++
			t := f.trees[d.ID]
			t.Own([]admission.PeerUsage{{Service: key.Service, Rank: key.Rank, Organisation: key.Organisation, Tokens: f.served[d.ID], Requests: uint64(f.served[d.ID])}})
			if turn%50 == 0 {
				t.Arrange(f.daemons, func(id string) bool { return !f.dead[id] })
			}
			f.send(d.ID, t.Tick(f.now))
		}
	}
}

func (f *fleet) send(from string, out []Out) {
	for _, o := range out {
		for _, to := range o.To {
			if !f.dead[to] && !f.cut(from, to) && f.random.Float64() >= f.lose {
				f.send(to, f.trees[to].Receive(f.now, from, o.Usage))
			}
		}
	}
}

// others returns the tokens that a daemon thinks the others served.
func (f *fleet) others(id string) (sum float64) {
	for _, sums := range f.trees[id].others {
		sum += sums[key].Tokens
	}
	return sum
}

// Guards against work of other daemons that is not counted, counted twice or taken
// for the own, also with lost messages, dead roots and parted regions.
func TestSums(t *testing.T) {
	const tolerance = 0.15 // The sums are up to 15 s old in a run of 100 s.
	for _, c := range []struct {
		name    string
		n       int
		disturb func(f *fleet)
		share   float64
	}{
		{"two", 2, func(*fleet) {}, 1},
		{"six", 6, func(*fleet) {}, 1},
		{"many", 240, func(*fleet) {}, 1},
		{"lost messages", 60, func(f *fleet) { f.lose = 0.2 }, 1},
		{"dead roots", 60, func(f *fleet) {
			for _, d := range f.daemons {
				f.dead[d.ID] = f.trees[d.ID].parent == ""
			}
		}, 1},
		{"partition", 60, func(f *fleet) { f.cut = f.parted }, 0.5},
	} {
		f := newFleet(c.n)
		f.run(30 * time.Second)
		c.disturb(f)
		f.run(30 * time.Second)
		before := map[string]float64{}
		for _, d := range f.daemons {
			before[d.ID] = f.others(d.ID)
		}
		f.run(100 * time.Second)
		live := 0.0
		for _, d := range f.daemons {
			if !f.dead[d.ID] {
				live++
			}
		}
		for _, d := range f.daemons {
			want := (live*c.share - 1) * 1000
			if got := f.others(d.ID) - before[d.ID]; !f.dead[d.ID] && math.Abs(got-want) > tolerance*want {
				t.Errorf("seed %d: %s: %s counts %.0f tokens of others, want %.0f", seed, c.name, d.ID, got, want)
			}
		}
	}
}

// Guards against a region whose silence is hidden, which would raise the limits of
// organisations while the regions are parted.
func TestOthersLeavesOutSilentRegion(t *testing.T) {
	f := newFleet(12)
	f.run(time.Minute)
	tree := f.trees["d000"]
	f.cut = f.parted
	f.run(40 * time.Second)
	tree.Others(f.now)
	f.run(40 * time.Second)
	seen := map[string]int{}
	for _, u := range tree.Others(f.now) {
		seen[u.Daemon] = u.Daemons
	}
	if len(seen) != 1 || seen["region region-0"] != 5 {
		t.Errorf("regions and daemons told of: %v, want 5 daemons of region-0 alone", seen)
	}
}

// Guards against sums taken from a daemon that is not the parent.
func TestReceiveTakesRegionsOfParentOnly(t *testing.T) {
	f := newFleet(24)
	f.run(10 * time.Second)
	for _, d := range f.daemons {
		u := message.Usage{Scope: message.UsageScopeRegion, Origin: "stranger", Name: "region-0", Counts: []message.UsageCount{{Organisation: "a"}}}
		if tree := f.trees[d.ID]; len(tree.Receive(f.now, "stranger", u)) > 0 || tree.origin == "stranger" {
			t.Errorf("%s took sums of a stranger", d.ID)
		}
	}
}
