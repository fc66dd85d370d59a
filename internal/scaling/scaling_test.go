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

// demandOf returns a demand that keeps the given number of servers busy.
func demandOf(busy float64) Demand { return Demand{PromptTokens: busy * options.PromptRate} }

func sumOrders(orders []Order) (steady, reclaimable int) {
	for _, o := range orders {
		steady += o.Steady
		reclaimable += o.Reclaimable
	}
	return steady, reclaimable
}

// TestBounds guards against orders outside the bounds of a place, which apply to both
// kinds together, and against a place without a server.
func TestBounds(t *testing.T) {
	for _, busy := range []float64{0, 0.1, 1, 3, 10, 100} {
		for _, ready := range []int{0, 1, 6, 12} {
			p := Plan{Options: options}
			places := []Place{{"a", 1, 0, ready, 0}, {"b", 0.8, 3, 0, 0}, {"c", 1.25, 0, ready, 2}}
			for _, second := range []float64{0, 1, 30} {
				for _, o := range p.Orders(at(second), demandOf(busy), places) {
					if o.Steady == Unchanged {
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

// TestWithoutReclaimable guards against orders of a kind that the platform does not
// offer, and against a more expensive place when a cheaper one has room.
func TestWithoutReclaimable(t *testing.T) {
	p := Plan{Options: Options{Min: 1, Max: 4, PromptRate: 50_000}}
	places := []Place{{Name: "dear", Price: 2}, {Name: "cheap", Price: 1}}
	p.Orders(at(0), demandOf(0), places)
	got := p.Orders(at(20), demandOf(2), places) // 2 busy servers / 0.4 utilisation = 5.
	want := []Order{{Place: "cheap", Steady: 3}, {Place: "dear", Steady: 2}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestShrink guards against giving up servers during a short drop of demand.
func TestShrink(t *testing.T) {
	p := Plan{Options: options}
	places := []Place{{Name: "a", Price: 1, Reclaimable: 12}, {Name: "b", Price: 1, Reclaimable: 12}}
	p.Orders(at(0), demandOf(0), places)
	_, before := sumOrders(p.Orders(at(20), demandOf(1), places))
	_, lull := sumOrders(p.Orders(at(25), demandOf(0.2), places))
	_, later := sumOrders(p.Orders(at(31), demandOf(0.2), places))
	if lull != before || later >= before {
		t.Errorf("%d servers, %d after 5 s of less demand and %d after 11 s", before, lull, later)
	}
}

// fakePlatform simulates the platform: it starts servers after their boot time and
// reclaims those of a place.
type fakePlatform struct {
	now              float64
	places           []Place
	starting         []startingServers
	unavailableUntil float64
}

type startingServers struct {
	place       int
	reclaimable bool
	count       int
	readyAt     float64
}

const bootSeconds = 4.0

func (f *fakePlatform) placeIndex(name string) int {
	for i := range f.places {
		if f.places[i].Name == name {
			return i
		}
	}
	return -1
}

// countStarting counts the servers of a kind that are starting in a place.
func (f *fakePlatform) countStarting(place int, reclaimable bool) int {
	n := 0
	for _, s := range f.starting {
		if s.place == place && s.reclaimable == reclaimable {
			n += s.count
		}
	}
	return n
}

// step advances the time by half a second and carries out the orders.
func (f *fakePlatform) step(p *Plan, d Demand) {
	f.now += 0.5
	kept := f.starting[:0]
	for _, s := range f.starting {
		switch {
		case s.readyAt > f.now:
			kept = append(kept, s)
		case s.reclaimable:
			f.places[s.place].Reclaimable += s.count
		default:
			f.places[s.place].Steady += s.count
		}
	}
	f.starting = kept
	view := append([]Place(nil), f.places...)
	for i := range view {
		view[i].Starting = f.countStarting(i, true)
	}
	for _, o := range p.Orders(at(f.now), d, view) {
		i := f.placeIndex(o.Place)
		if have := f.places[i].Steady + f.countStarting(i, false); o.Steady == Unchanged {
			// Keep the servers.
		} else if o.Steady > have {
			f.starting = append(f.starting, startingServers{i, false, o.Steady - have, f.now + bootSeconds})
		} else if o.Steady < f.places[i].Steady {
			f.places[i].Steady = o.Steady
		}
		if have := f.places[i].Reclaimable + f.countStarting(i, true); o.Reclaimable > have && f.now >= f.unavailableUntil {
			f.starting = append(f.starting, startingServers{i, true, o.Reclaimable - have, f.now + bootSeconds})
		} else if o.Reclaimable < f.places[i].Reclaimable {
			f.places[i].Reclaimable = o.Reclaimable
		}
	}
}

func (f *fakePlatform) countReady() int {
	n := 0
	for _, p := range f.places {
		n += p.Steady + p.Reclaimable
	}
	return n
}

// TestWaveOfReclaims simulates the heaviest reclaims of the platform's specification: the
// reclaimable servers of one place after the other end, 5 s apart, and none are available
// for 12 s after each reclaim. It guards against a fleet that can't carry the demand in
// the meantime, and against keeping steady servers afterwards.
func TestWaveOfReclaims(t *testing.T) {
	f := &fakePlatform{places: []Place{{Name: "a", Price: 1}, {Name: "b", Price: 0.8}, {Name: "c", Price: 1.25}}}
	p := &Plan{Options: options}
	const busy = 5.0
	demand := demandOf(busy)
	for f.now < 20 {
		f.step(p, demand)
	}
	if steady, _ := sumOrders(p.Orders(at(f.now), demand, f.places)); steady > 0 {
		t.Errorf("%d steady servers while every place has reclaimable ones", steady)
	}
	for i, second := range []float64{20, 25, 30} {
		for f.now < second {
			f.step(p, demand)
		}
		f.places[i].Reclaimable = 0
		f.unavailableUntil = f.now + 12
		for range 9 {
			f.step(p, demand)
			if n := f.countReady(); float64(n) < busy {
				t.Errorf("second %.1f: %d servers for a demand that keeps %.0f busy", f.now, n, busy)
			}
		}
	}
	for f.now < 70 {
		f.step(p, demand)
	}
	for _, place := range f.places {
		if place.Steady > 0 || place.Reclaimable == 0 {
			t.Errorf("after the wave: %+v", place)
		}
	}
}

// TestBeforeDemand guards against giving up servers before any demand is known, or in the
// first seconds of traffic, when the averages of demand are still too low.
func TestBeforeDemand(t *testing.T) {
	f := &fakePlatform{places: []Place{{Name: "a", Price: 1, Steady: 6}, {Name: "b", Price: 1, Steady: 6}, {Name: "c", Price: 1, Steady: 6}}}
	p := &Plan{Options: options}
	p.Options.MinInitial = 24
	for f.now < 60 {
		f.step(p, Demand{})
	}
	for f.now < 65 {
		f.step(p, demandOf(0.1*(f.now-60)))
		if n := f.countReady(); n < 24 {
			t.Fatalf("second %.1f: %d servers", f.now, n)
		}
	}
}

// TestLateRegistrations guards against orders that end servers which have not registered
// yet. A daemon that saw 8 of 90 servers ordered 36 in all, which cut off 824 answers in
// one load test.
func TestLateRegistrations(t *testing.T) {
	p := &Plan{Options: options}
	p.Options.Max, p.Options.MinInitial = 48, 24
	places := make([]Place, 6)
	for i := range places {
		places[i] = Place{Name: string(rune('a' + i)), Price: 1}
	}
	const perPlace = 15
	for second := 0.0; second < 10; second += 0.5 {
		for i := range places {
			places[i].Steady = min(int(perPlace*second/3), perPlace)
		}
		for _, o := range p.Orders(at(second), Demand{}, places) {
			if o.Steady != Unchanged && o.Steady+o.Reclaimable < perPlace {
				t.Errorf("second %.1f: %+v in a place with %d servers", second, o, perPlace)
			}
		}
	}
	if len(p.Orders(at(10), Demand{}, places)) == 0 {
		t.Error("no orders at all")
	}
}

// TestReplacementsAreNotCounted guards against orders that grow without demand because
// replacement servers are counted together with those that they replace: 140 servers
// became 282.
func TestReplacementsAreNotCounted(t *testing.T) {
	f := &fakePlatform{}
	for i := range 6 {
		f.places = append(f.places, Place{Name: string(rune('a' + i)), Price: 1, Steady: 23})
	}
	p := &Plan{Options: options}
	p.Options.Max = 48
	maxReclaimable := 0
	for f.now < 20 {
		f.step(p, Demand{})
		for _, place := range f.places {
			maxReclaimable = max(maxReclaimable, place.Reclaimable)
		}
	}
	// A fifth of the 138 initial servers, so that the fleet survives the loss of one of
	// six places.
	if maxReclaimable > 138/5+2 {
		t.Errorf("%d servers in a place without demand, 23 before", maxReclaimable)
	}
}

// TestSteadyDoesNotDisplaceReclaimable guards against ending working reclaimable servers
// to make room for steady ones after a reclaim.
func TestSteadyDoesNotDisplaceReclaimable(t *testing.T) {
	p := Plan{Options: options}
	places := []Place{{Name: "a", Price: 0.8, Reclaimable: 12}, {Name: "b", Price: 1, Reclaimable: 12}, {Name: "c", Price: 1.25, Reclaimable: 12}}
	p.Orders(at(0), demandOf(6), places)
	places[2].Reclaimable = 0
	for _, o := range p.Orders(at(20), demandOf(6), places) {
		switch {
		case o.Place != "c" && o.Reclaimable < 12:
			t.Errorf("working reclaimable servers are ended: %+v", o)
		case o.Place == "c" && o.Steady == 0:
			t.Errorf("no steady servers where there is room: %+v", o)
		}
	}
}

// TestLargeFleet guards against a reserve that grows in proportion to the demand of a
// large fleet, where it costs more than it is worth, and against one that the loss of a
// place uses up.
func TestLargeFleet(t *testing.T) {
	const busy = 49.0
	small, large := reclaimableStaffing.servers(3)/3, reclaimableStaffing.servers(busy)/busy
	if large > small/2 {
		t.Errorf("%.1f servers for a busy one, %.1f in a small fleet", large, small)
	}
	for _, s := range []staffing{reclaimableStaffing, steadyStaffing} {
		for n := 1.0; n < 300; n++ {
			if got := s.servers(s.demandFor(n)); math.Abs(got-n) > 1e-6*n {
				t.Errorf("%v servers for the demand of %v servers", got, n)
			}
		}
	}
	p := &Plan{Options: Options{Min: 1, Max: 48, ReclaimablePrice: 0.15, PromptRate: 50_000}}
	places := make([]Place, 6)
	for i := range places {
		places[i] = Place{Name: string(rune('a' + i)), Price: 1, Reclaimable: 30}
	}
	steady, reclaimable := sumOrders(p.Orders(at(0), demandOf(busy), places))
	if left := reclaimable * 5 / 6; steady > 0 || float64(left) < reclaimableStaffing.servers(busy)*0.99 {
		t.Errorf("%d steady and %d reclaimable servers, of which %d remain without a place, want %.0f", steady, reclaimable, left, reclaimableStaffing.servers(busy))
	}
}
