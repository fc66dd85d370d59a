package bench

import (
	"math/rand/v2"
	"sync"
	"time"

	"apricotbridge/internal/placement"
)

// peakInstances is the number of large instances for the peak of one region at the design
// size: half of 920.
const peakInstances = 460

// Bounds of the placement measure.
const (
	maxCostOverLowerBound = 1.15
	maxCostOverOnDemand   = 0.5
	minInTime             = 0.95
)

// placementMeasure compares the cost of the placement policy with baselines and a
// lower bound over one day.
var placementMeasure = Measure{
	Name:  "placement",
	Short: "cost of a day with price moves, reclaims and refused starts",
	Run:   runPlacement,
}

func runPlacement(seed uint64) (Result, error) {
	return placementFigures(seed, peakInstances), nil
}

func placementFigures(seed uint64, scale float64) Result {
	t := newDayTrace(rand.New(rand.NewPCG(seed, 4)), scale)
	var r Result
	policies := []placementPolicy{planPolicy(), onDemandPolicy(), cheapestPolicy(), fixedPolicy(scale)}
	days := make([]dayResult, len(policies))
	var runs sync.WaitGroup
	for i, p := range policies {
		runs.Go(func() { days[i] = runDay(t, p, seed) })
	}
	runs.Wait()
	cost, minimum := chargedCost(t, days[0]), lowerBound(t, days[0].lostPlace)
	r.add("CostOverLowerBound", "plan", cost/minimum, "", newBound(maxCostOverLowerBound), AtMost)
	r.add("CostOverOnDemand", "plan", cost/chargedCost(t, days[1]), "", newBound(maxCostOverOnDemand), AtMost)
	r.add("Cost", "lower bound", minimum, "currency", nil, "")
	for i, p := range policies {
		var limit *float64
		if i == 0 {
			limit = newBound(minInTime)
		}
		d := days[i]
		r.add("UrgentInTime", p.name, ratio(d.inTime[rankUrgent], d.offered[rankUrgent]), "", limit, AtLeast)
		r.add("UrgentInTimeInLoss", p.name, ratio(d.lossInTime, d.lossOffered), "", limit, AtLeast)
		r.add("NormalInTime", p.name, ratio(d.inTime[rankNormal], d.offered[rankNormal]), "", limit, AtLeast)
		r.add("BatchInTime", p.name, ratio(d.inTime[rankBatch], d.offered[rankBatch]), "", limit, AtLeast)
		r.add("Cost", p.name, chargedCost(t, d), "currency", nil, AtMost)
		r.add("Undone", p.name, ratio(d.undone, d.offered[0]+d.offered[1]+d.offered[2]), "", nil, "")
		r.add("LostShare", p.name, d.lostShare, "", nil, "")
		r.add("OnDemandHours", p.name, ratio(d.onDemandHours, d.hours), "", nil, "")
		r.add("Starts", p.name, float64(d.starts), "instances", nil, "")
		r.add("RefusedStarts", p.name, float64(d.refused), "instances", nil, "")
	}
	return r
}

func (r *Result) add(name, policy string, value float64, unit string, limit *float64, side Side) {
	f := Figure{Name: name, Policy: policy, Value: value, Unit: unit, Bound: limit, Side: side}
	r.Figures = append(r.Figures, f)
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// chargedCost is the cost of a policy plus that of its undone work at the on-demand price,
// so that leaving work undone is never cheaper than doing it.
func chargedCost(t *dayTrace, d dayResult) float64 {
	class := len(placementClasses) - 1
	return d.cost + d.undone*t.onDemand[class]/3600/placementClasses[class].TokensPerSecond
}

// planPolicy is the placement policy of the daemon.
func planPolicy() placementPolicy {
	state := &placement.State{}
	return placementPolicy{name: "plan", plan: func(now time.Time, in placement.Input) []placement.Order {
		return placement.Plan(now, in, state)
	}}
}

// onDemandPolicy sizes and spreads the fleet like planPolicy but starts only on-demand
// instances.
func onDemandPolicy() placementPolicy {
	p := planPolicy()
	p.name, p.onDemand = "all on demand", true
	return p
}

// cheapestPolicy sizes the fleet like planPolicy but uses only the place that is cheapest
// when the day begins.
func cheapestPolicy() placementPolicy {
	p := planPolicy()
	inner, place := p.plan, ""
	p.name = "cheapest place only"
	p.plan = func(now time.Time, in placement.Input) []placement.Order {
		if place == "" {
			lowest := 0.0
			for _, o := range in.Offers {
				if o.Class == "a8" && (place == "" || o.Reclaimable < lowest) {
					place, lowest = o.Place, o.Reclaimable
				}
			}
		}
		in.Places = []placement.Place{{Name: place}}
		return inner(now, in)
	}
	return p
}

// fixedPolicy keeps the same number of large reclaimable instances in each place, enough for
// the peak with a tenth to spare, divided equally between the services like the demand.
func fixedPolicy(scale float64) placementPolicy {
	sequence := 0
	plan := func(now time.Time, in placement.Input) []placement.Order {
		var orders []placement.Order
		for _, place := range placementPlaces {
			for _, service := range placementServices {
				running := 0
				for _, i := range in.Instances {
					if i.Place != place || i.Service != service.Name || i.State == placement.Leaving {
						continue
					}
					running++
					if i.State == placement.Idle && in.Weights.Loads < int(storeBytesPerSecond/loadBytesPerSecond) {
						in.Weights.Loads++
						orders = append(orders, placement.Order{Kind: placement.Load, Instance: i.ID, Model: service.Model})
					}
				}
				for ; running < int(1.1*scale/2/float64(len(placementPlaces))+0.5); running++ {
					sequence++
					orders = append(orders, placement.Order{
						Kind: placement.Start, Token: now.Format(time.RFC3339) + service.Name + place + string(rune('0'+sequence%10)) + time.Duration(sequence).String(),
						Service: service.Name, Place: place, Class: "a8", Reclaimable: true,
					})
				}
			}
		}
		return orders
	}
	return placementPolicy{name: "fixed fleet", plan: plan}
}
