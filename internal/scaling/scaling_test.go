package scaling

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Unix(1_700_000_000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

var options = Options{Min: 1, Max: 12, ReclaimablePrice: 0.15, PromptRate: 50_000, OutputRate: 9_000}

// demandOf keeps the given number of servers busy.
func demandOf(busy float64) Demand { return Demand{PromptTokens: busy * options.PromptRate} }

func sum(orders []Order) (steady, reclaimable int) {
	for _, o := range orders {
		steady += o.Steady
		reclaimable += o.Reclaimable
	}
	return steady, reclaimable
}

// TestBounds guards against orders outside the bounds of a place, which hold for both
// kinds together, and against a place without a server.
func TestBounds(t *testing.T) {
	for _, busy := range []float64{0, 0.1, 1, 3, 10, 100} {
		for _, ready := range []int{0, 1, 6, 12} {
			p := Plan{Options: options}
			places := []Place{{"a", 1, 0, ready, 0}, {"b", 0.8, 3, 0, 0}, {"c", 1.25, 0, ready, 2}}
			for _, second := range []float64{0, 1, 30} {
				for _, o := range p.Orders(at(second), demandOf(busy), places) {
					if o.Steady == Leave {
						o.Steady = places[slices.IndexFunc(places, func(p Place) bool { return p.Name == o.Place })].Steady
					}
					if n := o.Steady + o.Reclaimable; n < options.Min || n > options.Max || o.Steady < 0 || o.Reclaimable < 0 {
						t.Errorf("busy %v, ready %d: %+v", busy, ready, o)
					}
				}
			}
		}
	}
}

// TestWithoutReclaimable guards against orders of a kind that is not offered, and
// against leaving the cheapest place for a dearer one.
func TestWithoutReclaimable(t *testing.T) {
	p := Plan{Options: Options{Min: 1, Max: 4, PromptRate: 50_000}}
	places := []Place{{Name: "dear", Price: 2}, {Name: "cheap", Price: 1}}
	p.Orders(at(0), demandOf(0), places)
	got := p.Orders(at(20), demandOf(2), places) // 2 / 0.4 servers.
	want := []Order{{Place: "cheap", Steady: 3}, {Place: "dear", Steady: 2}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestShrink guards against giving up servers for a short lull.
func TestShrink(t *testing.T) {
	p := Plan{Options: options}
	places := []Place{{Name: "a", Price: 1, Reclaimable: 12}, {Name: "b", Price: 1, Reclaimable: 12}}
	p.Orders(at(0), demandOf(0), places)
	_, before := sum(p.Orders(at(20), demandOf(1), places))
	_, lull := sum(p.Orders(at(25), demandOf(0.2), places))
	_, later := sum(p.Orders(at(31), demandOf(0.2), places))
	if lull != before || later >= before {
		t.Errorf("%d servers, %d after 5 s of less demand and %d after 11 s", before, lull, later)
	}
}

// market plays the platform: it starts servers after their boot time and reclaims
// those of a place.
type market struct {
	now     float64
	places  []Place
	booting []boot
	dryTill float64
}

type boot struct {
	place       int
	reclaimable bool
	count       int
	ready       float64
}

const bootSeconds = 4.0

func (m *market) index(name string) int {
	for i := range m.places {
		if m.places[i].Name == name {
			return i
		}
	}
	return -1
}

// coming counts the servers of a kind that start in a place.
func (m *market) coming(place int, reclaimable bool) int {
	n := 0
	for _, b := range m.booting {
		if b.place == place && b.reclaimable == reclaimable {
			n += b.count
		}
	}
	return n
}

// step lets half a second pass and carries out the orders.
func (m *market) step(p *Plan, d Demand) {
	m.now += 0.5
	kept := m.booting[:0]
	for _, b := range m.booting {
		switch {
		case b.ready > m.now:
			kept = append(kept, b)
		case b.reclaimable:
			m.places[b.place].Reclaimable += b.count
		default:
			m.places[b.place].Steady += b.count
		}
	}
	m.booting = kept
	view := append([]Place(nil), m.places...)
	for i := range view {
		view[i].Coming = m.coming(i, true)
	}
	for _, o := range p.Orders(at(m.now), d, view) {
		i := m.index(o.Place)
		if have := m.places[i].Steady + m.coming(i, false); o.Steady == Leave {
			// They stay as they are.
		} else if o.Steady > have {
			m.booting = append(m.booting, boot{i, false, o.Steady - have, m.now + bootSeconds})
		} else if o.Steady < m.places[i].Steady {
			m.places[i].Steady = o.Steady
		}
		if have := m.places[i].Reclaimable + m.coming(i, true); o.Reclaimable > have && m.now >= m.dryTill {
			m.booting = append(m.booting, boot{i, true, o.Reclaimable - have, m.now + bootSeconds})
		} else if o.Reclaimable < m.places[i].Reclaimable {
			m.places[i].Reclaimable = o.Reclaimable
		}
	}
}

func (m *market) ready() int {
	n := 0
	for _, p := range m.places {
		n += p.Steady + p.Reclaimable
	}
	return n
}

// TestWaveOfReclaims plays a wave that takes the cheap servers of one place after the
// other, 5 s apart, with none to be had for 12 s after each, as on the heaviest days
// of letter 2. It guards against a fleet that can't bear the demand in the
// meantime, and against paying for steady servers for good.
func TestWaveOfReclaims(t *testing.T) {
	m := &market{places: []Place{{Name: "a", Price: 1}, {Name: "b", Price: 0.8}, {Name: "c", Price: 1.25}}}
	p := &Plan{Options: options}
	const busy = 5.0
	demand := demandOf(busy)
	for m.now < 20 {
		m.step(p, demand)
	}
	if steady, _ := sum(p.Orders(at(m.now), demand, m.places)); steady > 0 {
		t.Errorf("%d steady servers while every place has cheap ones", steady)
	}
	for i, second := range []float64{20, 25, 30} {
		for m.now < second {
			m.step(p, demand)
		}
		m.places[i].Reclaimable = 0
		m.dryTill = m.now + 12
		for range 9 {
			m.step(p, demand)
			if n := m.ready(); float64(n) < busy {
				t.Errorf("second %.1f: %d servers for a demand that keeps %.0f busy", m.now, n, busy)
			}
		}
	}
	for m.now < 70 {
		m.step(p, demand)
	}
	for _, place := range m.places {
		if place.Steady > 0 || place.Reclaimable == 0 {
			t.Errorf("after the wave: %+v", place)
		}
	}
}

// TestBeforeDemand guards against a fleet that is given up before any demand is known,
// or by the first seconds of traffic, which are averaged over more time than they last.
func TestBeforeDemand(t *testing.T) {
	m := &market{places: []Place{{Name: "a", Price: 1, Steady: 6}, {Name: "b", Price: 1, Steady: 6}, {Name: "c", Price: 1, Steady: 6}}}
	p := &Plan{Options: options}
	p.Options.Least = 24
	for m.now < 60 {
		m.step(p, Demand{})
	}
	for m.now < 65 {
		m.step(p, demandOf(0.1*(m.now-60)))
		if n := m.ready(); n < 24 {
			t.Fatalf("second %.1f: %d servers", m.now, n)
		}
	}
}

// TestLateRegistrations guards against orders that end servers which have not registered
// yet: a fleet that saw 8 of 90 servers ordered 36 in all, and 824 answers of the day were
// cut off.
func TestLateRegistrations(t *testing.T) {
	p := &Plan{Options: options}
	p.Options.Max, p.Options.Least = 48, 24
	places := make([]Place, 6)
	for i := range places {
		places[i] = Place{Name: string(rune('a' + i)), Price: 1}
	}
	const each = 15
	for second := 0.0; second < 10; second += 0.5 {
		for i := range places {
			places[i].Steady = min(int(each*second/3), each)
		}
		for _, o := range p.Orders(at(second), Demand{}, places) {
			if o.Steady != Leave && o.Steady+o.Reclaimable < each {
				t.Errorf("second %.1f: %+v where %d servers are", second, o, each)
			}
		}
	}
	if len(p.Orders(at(10), Demand{}, places)) == 0 {
		t.Error("no orders at all")
	}
}

// TestReplacementsAreNotCounted guards against orders that grow without demand, because
// the servers that replace others are counted with them: 140 servers became 282.
func TestReplacementsAreNotCounted(t *testing.T) {
	m := &market{}
	for i := range 6 {
		m.places = append(m.places, Place{Name: string(rune('a' + i)), Price: 1, Steady: 23})
	}
	p := &Plan{Options: options}
	p.Options.Max = 48
	most := 0
	for m.now < 20 {
		m.step(p, Demand{})
		for _, place := range m.places {
			most = max(most, place.Reclaimable)
		}
	}
	// The 138 servers that were there, and a fifth more for the loss of a place.
	if most > 138/5+2 {
		t.Errorf("%d servers in a place without demand, 23 before", most)
	}
}

// TestSteadyTakesNoRoom guards against ending cheap servers that work to start steady ones
// in their place after a reclaim.
func TestSteadyTakesNoRoom(t *testing.T) {
	p := Plan{Options: options}
	places := []Place{{Name: "a", Price: 0.8, Reclaimable: 12}, {Name: "b", Price: 1, Reclaimable: 12}, {Name: "c", Price: 1.25, Reclaimable: 12}}
	p.Orders(at(0), demandOf(6), places)
	places[2].Reclaimable = 0
	for _, o := range p.Orders(at(20), demandOf(6), places) {
		switch {
		case o.Place != "c" && o.Reclaimable < 12:
			t.Errorf("cheap servers that work are ended: %+v", o)
		case o.Place == "c" && o.Steady == 0:
			t.Errorf("no steady servers where there is room: %+v", o)
		}
	}
}

// TestLargeFleet guards against a reserve that grows with the demand as in a small fleet,
// where it costs more than it serves, and against one that a reclaimed place uses up.
func TestLargeFleet(t *testing.T) {
	const busy = 49.0
	small, large := cheap.servers(3)/3, cheap.servers(busy)/busy
	if large > small/2 {
		t.Errorf("%.1f servers for a busy one, %.1f in a small fleet", large, small)
	}
	for _, s := range []staffing{cheap, dear} {
		for n := 1.0; n < 300; n++ {
			if got := s.servers(s.busy(n)); math.Abs(got-n) > 1e-6*n {
				t.Errorf("%v servers for the demand that %v are right for", got, n)
			}
		}
	}
	p := &Plan{Options: Options{Min: 1, Max: 48, ReclaimablePrice: 0.15, PromptRate: 50_000}}
	places := make([]Place, 6)
	for i := range places {
		places[i] = Place{Name: string(rune('a' + i)), Price: 1, Reclaimable: 30}
	}
	steady, reclaimable := sum(p.Orders(at(0), demandOf(busy), places))
	if left := reclaimable * 5 / 6; steady > 0 || float64(left) < cheap.servers(busy)*0.99 {
		t.Errorf("%d steady and %d cheap servers, of which %d remain without a place, want %.0f", steady, reclaimable, left, cheap.servers(busy))
	}
}
