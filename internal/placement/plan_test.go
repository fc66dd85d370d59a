package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// regionInput returns an input with three places, one class of 100 tokens/s and the
// given urgent and batch demand in tokens/s.
func regionInput(urgent, batch float64) Input {
	in := Input{
		Fencing: 7,
		Ranks:   []Rank{{"Urgent", time.Second}, {"Batch", 6 * time.Hour}},
		Services: []Service{{
			Name: "llm", Model: "m", Version: "1", WeightBytes: 10e9, AdapterBytes: 1e9,
		}},
		Classes: []Class{{Name: "large", Slots: 10, TokensPerSecond: 100, PrefillTokensPerSecond: 1000}},
		Demand: []Demand{
			{Rank: "Urgent", Service: "llm", TokensPerSecond: urgent},
			{Rank: "Batch", Service: "llm", TokensPerSecond: batch, Waiting: batch * 6000},
		},
		Weights: WeightStore{BytesPerSecond: 10e9, LoadBytesPerSecond: 1e9},
	}
	for i, p := range []string{"a", "b", "c"} {
		in.Places = append(in.Places, Place{Name: p, OnDemand: true})
		in.Offers = append(in.Offers, Offer{Place: p, Class: "large", Reclaimable: 1 + 0.2*float64(i), OnDemand: 4})
	}
	return in
}

// runPlans makes plans every 30 s and carries out their orders, except the starts that
// refuse matches. It returns the orders of the last plan. Instances serve after 3
// minutes.
func runPlans(in *Input, s *State, now *time.Time, plans int, refuse func(Order) bool) []Order {
	var orders []Order
	for range plans {
		orders = Plan(*now, *in, s)
		in.Refusals = nil
		for _, o := range orders {
			switch {
			case o.Kind == Start && refuse != nil && refuse(o):
				in.Refusals = append(in.Refusals, Refusal{o.Token, o.Place, o.Class, o.Reclaimable, *now})
			case o.Kind == Start:
				in.Instances = append(in.Instances, Instance{
					ID: "i-" + o.Token, Token: o.Token, Service: o.Service, Place: o.Place, Class: o.Class,
					Reclaimable: o.Reclaimable, Model: "m", Version: "1", State: Starting, Started: *now, Since: *now,
				})
			}
		}
		*now = now.Add(30 * time.Second)
		var kept []Instance
		for _, i := range in.Instances {
			if i.State == Starting && now.Sub(i.Started) >= 3*time.Minute {
				i.State, i.Since = Serving, *now
			}
			stopped := false
			for _, o := range orders {
				stopped = stopped || o.Kind == Stop && o.Instance == i.ID
			}
			if !stopped {
				kept = append(kept, i)
			}
		}
		in.Instances = kept
	}
	return orders
}

func countByPlace(in Input) map[string]int {
	n := map[string]int{}
	for _, i := range in.Instances {
		if !i.Reclaimable {
			n["on demand"]++
		}
		n[i.Place]++
	}
	return n
}

// Guards against a fleet that lacks urgent capacity after losing its largest place,
// leaves the cheapest place unused or takes on-demand instances without need.
func TestSpread(t *testing.T) {
	now, in, s := testStart, regionInput(1000, 1000), &State{}
	runPlans(&in, s, &now, 20, nil)
	got := countByPlace(in)
	largest := max(got["a"], got["b"], got["c"])
	if left := 100 * float64(len(in.Instances)-largest); left < 1000*(1+urgentHeadroom) {
		t.Errorf("got %v: %.0f tokens/s remain without the largest place, want 1150", got, left)
	}
	if got["a"] < got["c"] || got["on demand"] > 0 {
		t.Errorf("got %v, want most in place a and none on demand", got)
	}
}

// Guards against starts without backoff in a place that refuses them, and against
// on-demand instances for work that is not urgent.
func TestRefusedStarts(t *testing.T) {
	for _, tc := range []struct {
		name   string
		refuse func(Order) bool
		check  func(map[string]int) bool
		want   string
	}{
		{
			"one place", func(o Order) bool { return o.Place == "a" },
			func(n map[string]int) bool { return n["b"] > 0 && n["c"] > 0 && n["on demand"] == 0 },
			"instances in b and c, none on demand",
		},
		{
			// Urgent work needs 1150 tokens/s outside the largest of three places.
			"all reclaimable", func(o Order) bool { return o.Reclaimable },
			func(n map[string]int) bool { return n["on demand"] >= 17 && n["on demand"] <= 19 },
			"17 to 19 on-demand instances",
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now, in, s, sent := testStart, regionInput(1000, 6000), &State{}, map[string]bool{}
			runPlans(&in, s, &now, 1, tc.refuse)
			runPlans(&in, s, &now, 20, func(o Order) bool {
				if o.Place == "a" && o.Reclaimable {
					sent[o.Token] = true
				}
				return tc.refuse(o)
			})
			// The backoff doubles from 30 s, so that four rounds of probes fit into 10
			// minutes.
			if n := countByPlace(in); len(sent) > 4*maxProbeStarts || !tc.check(n) {
				t.Errorf("got %v and %d probes of place a, want %s and at most %d probes", n, len(sent), tc.want, 4*maxProbeStarts)
			}
		})
	}
}

// Guards against a backoff that does not grow or applies to other offers.
func TestBackoffDoubles(t *testing.T) {
	s, in := &State{}, regionInput(0, 0)
	s.init(testStart)
	at := testStart
	for _, want := range []time.Duration{30, 60, 120, 240, 480, 600, 600} {
		s.backOff(Refusal{Place: "a", Class: "large", Reclaimable: true, At: at}, &in)
		if got := s.backoffs[offerKey{"a", "large", true}].until.Sub(at); got != want*time.Second {
			t.Errorf("got backoff %v, want %v", got, want*time.Second)
		}
		at = at.Add(time.Minute)
	}
	if n := len(s.market(at, &in, in.Services[0]).offers); n != 5 {
		t.Errorf("got %d offers, want the 5 others", n)
	}
}

// Guards against starts and stops after small or short changes of demand, and against a
// lasting surplus.
func TestHysteresis(t *testing.T) {
	now, in, s := testStart, regionInput(1000, 0), &State{}
	runPlans(&in, s, &now, 40, nil) // Longer than minRunTime.
	ids := func() map[string]bool {
		m := map[string]bool{}
		for _, i := range in.Instances {
			m[i.ID] = true
		}
		return m
	}
	before := ids()
	for i, demand := range []float64{1010, 990, 1005, 400, 400, 1000} {
		in.Demand[0].TokensPerSecond = demand
		runPlans(&in, s, &now, 1, nil)
		if diff := cmp.Diff(before, ids()); diff != "" {
			t.Fatalf("demand %d of %.0f changed the fleet: %s", i, demand, diff)
		}
	}
	in.Demand[0].TokensPerSecond = 200
	runPlans(&in, s, &now, 60, nil)
	if n := len(in.Instances); n > 6 || n < 4 {
		t.Errorf("after the demand fell for good got %d instances, want 4 to 6", n)
	}
}

// Guards against instances that are stopped before minRunTime, so that the time of
// their start is paid for without use.
func TestMinRunTime(t *testing.T) {
	now, in, s := testStart, regionInput(1000, 0), &State{}
	runPlans(&in, s, &now, 10, nil)
	before := len(in.Instances)
	in.Demand[0].TokensPerSecond = 200
	for n := range 18 {
		runPlans(&in, s, &now, 1, nil)
		if len(in.Instances) < before {
			t.Fatalf("instances were stopped %v after their start", time.Duration(11+n)*30*time.Second)
		}
	}
}

// Guards against a new holder whose orders overlap with those of its predecessor.
func TestNoOrderBeforeOrdersFrom(t *testing.T) {
	in := regionInput(1000, 0)
	in.OrdersFrom = testStart.Add(90 * time.Second)
	if orders := Plan(testStart.Add(89*time.Second), in, &State{}); len(orders) > 0 {
		t.Errorf("got %d orders before OrdersFrom", len(orders))
	}
	orders := Plan(in.OrdersFrom, in, &State{})
	if len(orders) == 0 {
		t.Fatal("got no orders at OrdersFrom")
	}
	for _, o := range orders {
		if o.Fencing != 7 || o.Reason == "" || !o.Until.After(in.OrdersFrom) || o.Token == "" {
			t.Errorf("order lacks its fencing number, reason, expiry or token: %+v", o)
		}
	}
}

// Guards against additional starts when Plan runs again before its orders take effect,
// and against repeating an expired start.
func TestRepeatedPlan(t *testing.T) {
	in, s := regionInput(1000, 500), &State{}
	first := Plan(testStart, in, s)
	if diff := cmp.Diff(first, Plan(testStart.Add(time.Second), in, s)); diff != "" {
		t.Errorf("repeated plan differs: %s", diff)
	}
	expired := map[string]bool{}
	for _, o := range first {
		expired[o.Token] = true
	}
	for _, o := range Plan(testStart.Add(OrderLifetime), in, s) {
		if expired[o.Token] {
			t.Errorf("start %s is repeated after it expired", o.Token)
		}
	}
}

// Guards against starts above the price limit of a place, and against preferring a
// place with a recent reclaim wave for a small saving.
func TestPriceAndRisk(t *testing.T) {
	in := regionInput(1000, 0)
	in.Places[0].MaxPrice = 0.9
	in.Offers[2].Reclaimable = 1.21
	in.Reclaims = []Reclaim{{"b", "large", testStart.Add(-time.Minute), 9, 10}}
	s := &State{}
	s.init(testStart)
	m := s.market(testStart, &in, in.Services[0])
	if i := m.cheapest(0, true); m.offers[i].place != "c" {
		t.Errorf("got place %s, want c: a exceeds its price limit and b had a reclaim wave", m.offers[i].place)
	}
	now := testStart.Add(6 * time.Hour)
	m = s.market(now, &in, in.Services[0])
	if i := m.cheapest(0, true); m.offers[i].place != "b" {
		t.Errorf("got place %s six hours after the wave, want b", m.offers[i].place)
	}
}

// Guards against loads beyond the weight store's rate, instances with a variant that
// has no demand, and too many concurrent reloads.
func TestLoads(t *testing.T) {
	in := regionInput(1000, 0)
	in.Demand = []Demand{
		{Rank: "Urgent", Service: "llm", Adapter: "x", TokensPerSecond: 600},
		{Rank: "Urgent", Service: "llm", Adapter: "y", TokensPerSecond: 600},
	}
	in.Weights.Loads = 4
	for n := range 24 {
		in.Instances = append(in.Instances, Instance{
			ID: fmt.Sprintf("i-%02d", n), Service: "llm", Place: []string{"a", "b", "c"}[n%3], Class: "large",
			Reclaimable: true, State: Idle, Started: testStart, Since: testStart,
		})
	}
	loads := func(now time.Time) map[string]int {
		n := map[string]int{}
		for _, o := range Plan(now, in, &State{}) {
			if o.Kind == Load {
				n[o.Model+o.Adapter+o.Version]++
			}
		}
		return n
	}
	if diff := cmp.Diff(map[string]int{"mx1": 3, "my1": 3}, loads(testStart)); diff != "" {
		t.Errorf("6 loads are free: %s", diff)
	}
	for n := range in.Instances {
		i := &in.Instances[n]
		i.State, i.Model, i.Adapter, i.Version = Serving, "m", "x", "1"
	}
	in.Weights.Loads = 0
	if diff := cmp.Diff(map[string]int{}, loads(testStart.Add(time.Minute))); diff != "" {
		t.Errorf("reload right after a load: %s", diff)
	}
	if diff := cmp.Diff(map[string]int{"my1": 3}, loads(testStart.Add(minReloadInterval))); diff != "" {
		t.Errorf("a tenth of 24 instances changes its adapter: %s", diff)
	}
}

// Guards against roles that do not follow demand, and against a service without decode
// instances.
func TestRoles(t *testing.T) {
	in := regionInput(400, 0)
	in.Services[0].SplitRoles = true
	in.Demand[0].PromptTokensPerSecond = 4000
	for n := range 8 {
		in.Instances = append(in.Instances, Instance{
			ID: fmt.Sprint(n), Service: "llm", Place: []string{"a", "b"}[n%2], Class: "large", Role: Mixed,
			Reclaimable: true, Model: "m", Version: "1", State: Serving, Started: testStart, Since: testStart,
		})
	}
	roles := map[Role]int{}
	for _, o := range Plan(testStart, in, &State{}) {
		if o.Kind == SetRole {
			roles[o.Role]++
		}
	}
	if diff := cmp.Diff(map[Role]int{Prefill: 4, Decode: 4}, roles); diff != "" {
		t.Error(diff)
	}
}

// Guards against stopping an instance before its cheaper replacement serves, and
// against replacements that reduce the failover capacity for urgent work.
func TestReplaceExpensive(t *testing.T) {
	now, in, s := testStart, regionInput(1000, 0), &State{}
	runPlans(&in, s, &now, 40, func(o Order) bool { return o.Place == "a" })
	serving := func() (total, outsideLargest int) {
		n := map[string]int{}
		for _, i := range in.Instances {
			if i.State == Serving {
				n[i.Place]++
				total++
			}
		}
		return total, total - max(n["a"], n["b"], n["c"])
	}
	before, _ := serving()
	for range 240 {
		runPlans(&in, s, &now, 1, nil)
		if total, outsideLargest := serving(); total < min(before, 18) || outsideLargest < 12 {
			t.Fatalf("%d instances serve, %d of them outside the largest place, want %d and 12", total, outsideLargest, before)
		}
	}
	if n := countByPlace(in); n["a"] < 6 {
		t.Errorf("got %v two hours after place a opened, want a third there", n)
	}
}

// Guards against repeating stops after urgent work has grown.
func TestCancelStops(t *testing.T) {
	now, in, s := testStart, regionInput(1000, 0), &State{}
	runPlans(&in, s, &now, 40, nil)
	stops := func() (n int) {
		for _, o := range Plan(now, in, s) {
			if o.Kind == Stop {
				n++
			}
		}
		now = now.Add(30 * time.Second)
		return n
	}
	in.Demand[0].TokensPerSecond = 200
	decided := 0
	for range 14 { // No stop takes effect.
		decided = stops()
	}
	in.Demand[0].TokensPerSecond = 1500
	if after := stops(); decided == 0 || after != 0 {
		t.Errorf("got %d stops at low demand and %d at high demand, want some and none", decided, after)
	}
}
