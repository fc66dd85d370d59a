package placement

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulatedPlatform carries out orders with random faults: refused, lost and delayed
// starts, lost stops and loads, and reclaims.
type simulatedPlatform struct {
	now       time.Time
	in        Input
	state     State
	sent      map[string]Order       // Ordered starts by token.
	refusedAt map[offerKey]time.Time // Time of the last refused start.
}

// checkOrders checks the invariants of every plan.
func (p *simulatedPlatform) checkOrders(t *rapid.T, orders []Order) {
	byID := map[string]Instance{}
	serving := 0.0
	for _, i := range p.in.Instances {
		byID[i.ID] = i
		if i.State == Serving {
			serving += 100
		}
	}
	afterStops, loads := serving, 0
	for _, o := range orders {
		if o.Fencing != p.in.Fencing || o.Reason == "" || !o.Until.After(p.now) {
			t.Fatalf("order lacks its fencing number, reason or expiry: %+v", o)
		}
		switch o.Kind {
		case Start:
			earlier, repeated := p.sent[o.Token]
			if repeated && earlier != o {
				t.Fatalf("token %s identifies two starts: %+v and %+v", o.Token, earlier, o)
			}
			at, ok := p.refusedAt[offerKey{o.Place, o.Class, o.Reclaimable}]
			if !repeated && ok && p.now.Sub(at) < minBackoff {
				t.Fatalf("start %+v was ordered %v after a refusal", o, p.now.Sub(at))
			}
			p.sent[o.Token] = o
		case Stop:
			i, ok := byID[o.Instance]
			if !ok {
				t.Fatalf("stop of instance %q, which does not exist", o.Instance)
			}
			if i.State == Serving {
				afterStops -= 100
			}
		case Load:
			if i := byID[o.Instance]; i.State != Idle && i.State != Serving {
				t.Fatalf("load of instance %+v", i)
			}
			loads++
		}
	}
	// The weight store allows 10 concurrent loads, and one load is always allowed.
	if loads > max(0, 10-p.in.Weights.Loads) {
		t.Fatalf("%d loads on top of %d", loads, p.in.Weights.Loads)
	}
	if urgent := p.in.Demand[0].TokensPerSecond; afterStops < serving && afterStops < urgent {
		t.Fatalf("stops leave %.0f tokens/s of %.0f for %.0f of urgent work", afterStops, serving, urgent)
	}
}

func (p *simulatedPlatform) step(t *rapid.T) {
	orders := Plan(p.now, p.in, &p.state)
	p.checkOrders(t, orders)
	p.in.Refusals = nil
	loading := map[string]bool{}
	stopped := map[string]bool{}
	startedTokens := map[string]bool{}
	for _, i := range p.in.Instances {
		startedTokens[i.Token] = true
	}
	for _, o := range orders {
		switch fate := rapid.IntRange(0, 9).Draw(t, "fate"); {
		case o.Kind == Start && !startedTokens[o.Token] && fate == 0:
			p.in.Refusals = append(p.in.Refusals, Refusal{o.Token, o.Place, o.Class, o.Reclaimable, p.now})
			p.refusedAt[offerKey{o.Place, o.Class, o.Reclaimable}] = p.now
		case o.Kind == Start && !startedTokens[o.Token] && fate > 2:
			p.in.Instances = append(p.in.Instances, Instance{
				ID: "i-" + o.Token, Token: o.Token, Service: o.Service, Place: o.Place, Class: o.Class,
				Reclaimable: o.Reclaimable, State: Starting, Started: p.now, Since: p.now,
			})
		case o.Kind == Load && fate > 0:
			loading[o.Instance] = true
		case o.Kind == Stop && fate > 1:
			stopped[o.Instance] = true
		}
	}
	p.now = p.now.Add(15 * time.Second)
	var kept []Instance
	p.in.Weights.Loads = 0
	for _, i := range p.in.Instances {
		age := p.now.Sub(i.Since)
		next := i.State
		switch {
		case stopped[i.ID] || i.State == Leaving && age >= 30*time.Second:
			continue
		case loading[i.ID]:
			next, i.Model, i.Version = Loading, "m", "1"
		case i.State == Starting && age >= 90*time.Second:
			next = Idle
		case i.State == Loading && age >= 30*time.Second:
			next = Serving
		}
		if next != i.State {
			i.State, i.Since = next, p.now
		}
		if i.State == Loading {
			p.in.Weights.Loads++
		}
		kept = append(kept, i)
	}
	p.in.Instances = kept
}

// Guards against plans that violate an invariant under random sequences of refused and
// lost starts, reclaims, delayed instances and sudden changes of demand.
func TestRandomPlatform(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &simulatedPlatform{now: testStart, in: regionInput(500, 300), sent: map[string]Order{}, refusedAt: map[offerKey]time.Time{}}
		t.Repeat(map[string]func(*rapid.T){
			"plan": func(t *rapid.T) {
				for range rapid.IntRange(1, 30).Draw(t, "plans") {
					p.step(t)
				}
			},
			"demand": func(t *rapid.T) {
				p.in.Demand[0].TokensPerSecond = rapid.Float64Range(0, 2000).Draw(t, "urgent")
				p.in.Demand[1].Waiting = rapid.Float64Range(0, 1e7).Draw(t, "waiting")
			},
			"price": func(t *rapid.T) {
				n := rapid.IntRange(0, len(p.in.Offers)-1).Draw(t, "offer")
				p.in.Offers[n].Reclaimable = rapid.Float64Range(0.5, 3).Draw(t, "price")
			},
			"reclaim": func(t *rapid.T) {
				place := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "place")
				count := 0
				for n := range p.in.Instances {
					if i := &p.in.Instances[n]; i.Place == place && i.State != Leaving {
						i.State, i.Since = Leaving, p.now
						count++
					}
				}
				p.in.Reclaims = append(p.in.Reclaims, Reclaim{place, "large", p.now, count, max(1, count)})
			},
			"holder": func(*rapid.T) { // Another daemon takes over with an empty state.
				p.state = State{}
				p.in.Fencing++
				p.refusedAt = map[offerKey]time.Time{}
			},
		})
	})
}
