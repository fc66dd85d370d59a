package placement

import (
	"fmt"
	"math"
	"time"
)

const (
	// minRunTime is the shortest time that an instance is kept. It is several times the
	// start time, during which an instance is paid for without serving.
	minRunTime = 15 * time.Minute
	// urgentHeadroom is the relative headroom for bursts of urgent work during a start.
	urgentHeadroom = 0.15
	// firmHeadroom is the relative headroom for growth of the work that can't wait
	// during a start. Elastic work uses it meanwhile.
	firmHeadroom = 0.10
	// growTolerance and shrinkTolerance are the relative deviations of the capacity
	// from the need below which no instances are started or stopped.
	growTolerance   = 0.01
	shrinkTolerance = 0.03
	// elasticTolerance is the additional tolerance for elastic work, which can wait or
	// use a surplus.
	elasticTolerance = 0.04
	// elasticAveragingTime is the time constant of the average rate of elastic work.
	elasticAveragingTime = 20 * time.Minute
	// surplusDelay is how long capacity must have been surplus before instances are
	// stopped.
	surplusDelay = 5 * time.Minute
	// minReplacementSaving is the smallest relative saving for which an instance is
	// replaced. A start costs startDuration at the new price, so that a saving of 8%
	// pays off in 50 minutes; the order of prices holds for a few hours.
	minReplacementSaving = 0.08
	// maxReplacementsPerPlan and maxReplacementsInFlight limit the replacements, as
	// shares of the fleet. Until the replacement serves, both instances are paid for.
	maxReplacementsPerPlan  = 0.02
	maxReplacementsInFlight = 0.10
	// maxReplacementSizeRatio limits the capacity of a replacement relative to the
	// replaced instance. Machine classes come in powers of two, and larger ones serve a
	// little more than twice as much.
	maxReplacementSizeRatio = 2.5
)

// need is the capacity that a service needs, in the unit of its demand.
type need struct {
	// failover is the capacity that must remain if the largest place is lost.
	failover float64
	// total is the target capacity, tolerance the permitted deviation from it.
	total, tolerance float64
	// urgent is the capacity that urgent work needs.
	urgent float64
}

// Plan returns the orders for the given time. Orders that have not taken effect are
// repeated until they expire, which is harmless.
func Plan(now time.Time, in Input, s *State) []Order {
	if now.Before(in.OrdersFrom) {
		return nil
	}
	s.reconcile(now, &in)
	p := planner{now: now, in: &in, state: s}
	p.startBudget = p.weightStoreBudget()
	for _, service := range in.Services {
		m := s.market(now, &in, service)
		f := s.newFleet(now, &in, service, &m)
		n := p.need(service)
		p.cancelStops(service, f, &m, n)
		p.grow(service, f, &m, n)
		n = s.peakNeed(now, service.Name, n)
		if now.Sub(s.firstPlanAt) >= surplusDelay { // A new holder has no record of the recent need.
			p.replaceExpensive(service, f, &m, n)
			p.shrink(f, n)
		}
	}
	s.lastPlanAt = now
	orders := p.pendingOrders()
	orders = append(orders, p.loadOrders()...)
	return append(orders, p.roleOrders()...)
}

// planner holds the state of one call of Plan.
type planner struct {
	now   time.Time
	in    *Input
	state *State
	// startBudget is the number of starts that the weight store's rate still allows.
	// Starts for urgent work may exceed it.
	startBudget int
}

// weightStoreBudget returns the number of instances that the weight store can load
// within startDuration, less those already starting or loading. Further instances would
// be paid for while they wait for their weights.
func (p *planner) weightStoreBudget() int {
	store := p.in.Weights
	var largestWeights float64
	for _, service := range p.in.Services {
		largestWeights = max(largestWeights, service.WeightBytes)
	}
	if store.BytesPerSecond <= 0 || largestWeights <= 0 {
		return 1 << 30 // No limit.
	}
	inProgress := len(p.state.pendingStarts)
	for _, i := range p.in.Instances {
		if i.State == Starting || i.State == Idle || i.State == Loading {
			inProgress++
		}
	}
	return max(1, int(store.BytesPerSecond*startDuration.Seconds()/largestWeights)) - inProgress
}

// demandRate returns a demand in the unit of its service.
func demandRate(service Service, d Demand) float64 {
	if service.RequestsPerSlot > 0 {
		return d.RequestsPerSecond
	}
	return d.TokensPerSecond
}

func (p *planner) need(service Service) need {
	var urgent, firm, elastic float64
	for i, rank := range p.in.Ranks {
		for _, d := range p.in.Demand {
			if d.Service != service.Name || d.Rank != rank.Name {
				continue
			}
			if i == 0 {
				urgent += demandRate(service, d)
			}
			if rank.FirstToken < minElasticTarget {
				firm += demandRate(service, d)
			} else {
				elastic += elasticRate(rank, d)
			}
		}
	}
	elastic = p.averageElasticRate(service.Name, elastic)
	n := need{total: max(firm*(1+firmHeadroom), firm+elastic), urgent: urgent * (1 + urgentHeadroom)}
	n.tolerance = growTolerance*n.total + elasticTolerance*elastic
	if len(service.Places) != 1 && len(p.in.Places) > 1 {
		n.failover = n.urgent
	}
	return n
}

// averageElasticRate returns the moving average of the elastic rate of a service, so
// that the fleet does not follow every burst.
func (p *planner) averageElasticRate(service string, rate float64) float64 {
	average, ok := p.state.elasticRates[service]
	if !ok {
		average = rate
	}
	average += (1 - math.Exp(-p.now.Sub(p.state.lastPlanAt).Hours()/elasticAveragingTime.Hours())) * (rate - average)
	p.state.elasticRates[service] = average
	return average
}

// elasticRate returns the rate at which to serve elastic work.
func elasticRate(rank Rank, d Demand) float64 {
	remaining := rank.FirstToken - elasticMargin
	if d.OldestWait >= remaining {
		return d.Waiting / elasticMargin.Seconds()
	}
	return elasticRateFactor * d.Waiting / remaining.Seconds()
}

const (
	// elasticMargin is the time before the target by which elastic work should be done,
	// so that a lost place can still be replaced.
	elasticMargin = 20 * time.Minute
	// elasticRateFactor is the rate of elastic work relative to the lowest rate that
	// meets the target. The spare time covers the loss of a place. A rate that follows
	// the price was not cheaper.
	elasticRateFactor = 3.0
)

// cancelStops cancels stops that have not taken effect when urgent work has grown
// meanwhile.
func (p *planner) cancelStops(service Service, f *fleet, m *market, n need) {
	for _, i := range p.in.Instances {
		if serving, _ := f.servingCapacity(nil); serving >= n.urgent {
			return
		}
		if i.Service == service.Name && i.State == Serving && p.state.stopReasons[i.ID] != "" {
			delete(p.state.stopReasons, i.ID)
			f.add(m.memberFor(p.now, i))
		}
	}
}

// grow starts instances until the need is met: reclaimable ones first, on-demand ones
// only for urgent work.
func (p *planner) grow(service Service, f *fleet, m *market, n need) {
	for range 10_000 { // Bounds the loop if capacities are tiny compared to the demand.
		shortfall := n.total - f.totalCapacity
		failoverShortfall := n.failover - f.failoverCapacity("", 0)
		urgent := failoverShortfall > 0 || f.totalCapacity < n.urgent
		if !urgent && (shortfall <= n.tolerance || p.startBudget <= 0) {
			return
		}
		wanted, reason := max(shortfall, failoverShortfall), "capacity below demand"
		var i int
		if failoverShortfall > 0 && failoverShortfall >= shortfall {
			reason = "urgent work would not survive the loss of the largest place"
			i = m.cheapestOutsideLargest(f, wanted, true)
		} else {
			i = m.cheapest(wanted, true)
		}
		if i < 0 && urgent {
			// On-demand instances outside the largest place all count towards the
			// urgent work, so that none is started for other work.
			reason = "urgent work needs capacity and no reclaimable instance is available"
			if n.failover > 0 {
				i = m.cheapestOutsideLargest(f, failoverShortfall, false)
			} else {
				i = m.cheapest(n.urgent-f.totalCapacity, false)
			}
		}
		if i < 0 {
			return
		}
		p.start(service, f, m, i, "", reason)
	}
}

// start orders an instance. Its token contains the fencing number, which makes it
// unique to the holder of the duty.
func (p *planner) start(service Service, f *fleet, m *market, i int, replaces, reason string) {
	s := p.state
	o := &m.offers[i]
	o.startsLeft--
	p.startBudget--
	s.startSequence++
	token := fmt.Sprintf("%s-%d-%d", service.Name, p.in.Fencing, s.startSequence)
	s.pendingStarts[token] = pendingStart{replaces: replaces, order: Order{
		Kind: Start, Fencing: p.in.Fencing, Reason: reason, Considered: len(m.offers),
		Until: p.now.Add(OrderLifetime), Token: token, Service: service.Name,
		Place: o.place, Class: o.class, Reclaimable: o.reclaimable,
	}}
	if replaces != "" {
		s.replacements[token] = replaces
	}
	member := m.newMember(o.offerKey)
	member.instance.Token = token
	f.add(member)
}

// replaceExpensive replaces expensive instances by cheaper ones, a few at a time.
func (p *planner) replaceExpensive(service Service, f *fleet, m *market, n need) {
	inFlight, inFleet := 0, map[string]bool{}
	for _, member := range f.members {
		inFleet[member.instance.ID] = true
	}
	for _, oldID := range p.state.replacements {
		if inFleet[oldID] {
			inFlight++
		}
	}
	size := float64(len(f.members))
	allowed := min(p.startBudget, int(math.Ceil(size*maxReplacementsPerPlan)), int(math.Ceil(size*maxReplacementsInFlight))-inFlight)
	for _, old := range f.stoppableByPrice() {
		if allowed <= 0 {
			return
		}
		i := p.replacementOffer(f, m, n, old)
		if i < 0 {
			continue
		}
		old.replaced = true
		f.updateTotals(old, -1)
		p.start(service, f, m, i, old.instance.ID, "cheaper place or class")
		allowed--
	}
}

// replacementOffer returns the index of the cheapest offer that saves enough to replace
// a member and keeps the failover capacity for urgent work, or -1.
func (p *planner) replacementOffer(f *fleet, m *market, n need, old *fleetMember) int {
	failoverBefore := f.failoverCapacity("", 0)
	f.updateTotals(old, -1)
	defer f.updateTotals(old, 1)
	for i, o := range m.offers {
		if o.price/o.capacity > old.price/old.capacity*(1-minReplacementSaving) {
			return -1
		}
		if !o.reclaimable || o.startsLeft <= 0 || o.capacity > maxReplacementSizeRatio*old.capacity || f.totalCapacity+o.capacity < n.total-n.tolerance {
			continue
		}
		failover := f.failoverCapacity(o.place, m.newMember(o.offerKey).stableCapacity)
		if failover >= min(failoverBefore, n.failover) {
			return i
		}
	}
	return -1
}

// shrink stops the most expensive instances that were not needed for surplusDelay.
func (p *planner) shrink(f *fleet, n need) {
	serving, _ := f.servingCapacity(nil)
	if min(serving, f.totalCapacity) <= n.total*(1+shrinkTolerance)+n.tolerance {
		return
	}
	for _, member := range f.stoppableByPrice() {
		remaining, failover := f.servingCapacity(member)
		if min(remaining, f.totalCapacity-member.capacity) < n.total {
			continue
		}
		if failover < n.failover || f.failoverCapacity(member.offer.place, -member.stableCapacity) < n.failover {
			continue
		}
		p.state.stopReasons[member.instance.ID] = "more capacity than demand"
		f.remove(member)
	}
}

// peakNeed records a need and returns the highest one within surplusDelay.
func (s *State) peakNeed(now time.Time, service string, n need) need {
	recent := s.recentNeeds[service]
	for len(recent) > 0 && now.Sub(recent[0].at) > surplusDelay {
		recent = recent[1:]
	}
	recent = append(recent, timedNeed{now, n})
	s.recentNeeds[service] = recent
	for _, r := range recent {
		n.total, n.tolerance = max(n.total, r.need.total), max(n.tolerance, r.need.tolerance)
		n.failover = max(n.failover, r.need.failover)
	}
	return n
}

// pendingOrders returns the starts and stops that have not taken effect.
func (p *planner) pendingOrders() []Order {
	var orders []Order
	for _, token := range sortedKeys(p.state.pendingStarts) {
		orders = append(orders, p.state.pendingStarts[token].order)
	}
	for _, id := range sortedKeys(p.state.stopReasons) {
		orders = append(orders, Order{
			Kind: Stop, Fencing: p.in.Fencing, Reason: p.state.stopReasons[id], Considered: len(p.in.Instances),
			Until: p.now.Add(OrderLifetime), Instance: id,
		})
	}
	return orders
}
