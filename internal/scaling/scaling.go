// Package scaling decides how many servers of a service to order in each place. It takes
// into account the demand in prompt and response tokens, prices that differ by place, and
// cheap servers that the platform reclaims for a whole place at once. It has no sockets,
// goroutines or clock.
package scaling

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Place is the state of the service's servers in one place.
type Place struct {
	Name string
	// Price is the price of a steady server per second.
	Price float64
	// Steady and Reclaimable are the numbers of servers of each kind that accept work.
	// Steady ones are never reclaimed.
	Steady, Reclaimable int
	// Starting is the number of reclaimable servers that were ordered recently and may
	// still be starting.
	Starting int
}

// Demand is the recent demand of all callers, in tokens per second.
type Demand struct {
	// PromptTokens counts the prompt tokens that no server is expected to have cached.
	PromptTokens float64
	// RereadTokens counts further, shared prompt tokens that are prefilled again, because
	// the servers that cached them were reclaimed or are full.
	RereadTokens float64
	// OutputTokens counts the response tokens.
	OutputTokens float64
}

// Options are the properties of the service.
type Options struct {
	// Min and Max bound the number of servers in each place, both kinds together.
	Min, Max int
	// MinInitial is the number of servers to plan before demand is known, unless more are
	// running at the start.
	MinInitial int
	// ReclaimablePrice is the price of a reclaimable server as a fraction of that of a
	// steady one; 0 means that there are none.
	ReclaimablePrice float64
	// PromptRate and OutputRate are the tokens that one server prefills and generates per
	// second.
	PromptRate, OutputRate float64
}

// Unchanged in place of a number keeps the servers of a kind as they are.
const Unchanged = -1

// Order is the number of servers to have in one place.
type Order struct {
	Place       string
	Steady      int
	Reclaimable int
}

// staffing computes the number of servers for a demand. An engine step that prefills a
// long prompt takes ten times as long as one that does not, so that the utilisation of a
// small fleet has to be low. In a large fleet the load of the servers varies less: there,
// the reserve grows with the square root of the demand (square-root staffing).
type staffing struct {
	// maxUtilisation bounds the utilisation in a small fleet.
	maxUtilisation float64
	// reserveFactor times the square root of the busy servers is the reserve of a large
	// fleet.
	reserveFactor float64
}

var (
	// reclaimableStaffing is for reclaimable servers. Its two formulas agree at about 3
	// busy servers.
	reclaimableStaffing = staffing{maxUtilisation: 0.09, reserveFactor: 18}
	// steadyStaffing is for steady servers, each of which costs several times as much.
	// Its two formulas agree at 16 busy servers: a smaller reserve fell short when
	// reclaims followed each other.
	steadyStaffing = staffing{maxUtilisation: 0.4, reserveFactor: 6}
)

// servers returns the number of servers for a demand, which is given in busy servers.
func (s staffing) servers(busy float64) float64 {
	return min(busy/s.maxUtilisation, busy+s.reserveFactor*math.Sqrt(busy))
}

// isSmallFleet reports whether maxUtilisation determines the number of servers.
func (s staffing) isSmallFleet(busy float64) bool {
	return busy/s.maxUtilisation <= busy+s.reserveFactor*math.Sqrt(busy)
}

// demandFor is the inverse of servers.
func (s staffing) demandFor(servers float64) float64 {
	// The positive root of busy + reserveFactor*sqrt(busy) = servers.
	root := (math.Sqrt(s.reserveFactor*s.reserveFactor+4*servers) - s.reserveFactor) / 2
	return max(servers*s.maxUtilisation, root*root)
}

const (
	// shrinkDelay is how long demand has to be lower before servers are given up.
	// Starting a server again takes its boot time.
	shrinkDelay = 10 * time.Second
	// registrationTime is how long no server is given up after the start while there is
	// no demand. Servers register within 3 s (platform specification), and an order for
	// fewer would end those that have not.
	registrationTime = 3 * time.Second
	// maxRereadShare bounds the repeated prefill as a fraction of the other demand. While
	// most servers are missing, everything is prefilled again; providing for all of that
	// would only cost money.
	maxRereadShare = 0.3
)

// BusyServers returns the number of servers that the demand keeps fully busy.
func BusyServers(d Demand, o Options) float64 {
	busy := 0.0
	if o.PromptRate > 0 {
		busy += d.PromptTokens / o.PromptRate
	}
	if o.OutputRate > 0 {
		busy += d.OutputTokens / o.OutputRate
	}
	return busy
}

// Plan holds the state of the orders of one service.
type Plan struct {
	Options Options
	// plannedBusy is the demand to provide for, in busy servers. Demand has been lower
	// since lowerSince.
	plannedBusy float64
	lowerSince  time.Time
	// firstCall is when Orders was first called, and demandSince when it was first called
	// with demand.
	firstCall, demandSince time.Time
	// initialSteady and initialReclaimable are the servers that were running at the
	// start, without those ordered since. They are determined once there is demand or
	// registrationTime has passed.
	initialSteady, initialReclaimable int
	initialKnown                      bool
}

// Orders returns the servers to have in each place. It gives up no server while some may
// not have registered yet.
func (p *Plan) Orders(now time.Time, d Demand, places []Place) []Order {
	busy := BusyServers(d, p.Options)
	if p.firstCall.IsZero() {
		p.firstCall = now
	}
	if p.demandSince.IsZero() && busy > 0 {
		p.demandSince = now
	}
	registering := p.demandSince.IsZero() && now.Sub(p.firstCall) < registrationTime
	if !p.initialKnown {
		steady, reclaimable := 0, 0
		for _, place := range places {
			steady += place.Steady
			reclaimable += place.Reclaimable
		}
		if p.firstCall.Equal(now) {
			p.initialReclaimable = reclaimable
		}
		p.initialSteady = max(p.initialSteady, steady)
		p.initialKnown = !registering
	}
	switch {
	case busy >= p.plannedBusy, now.Sub(p.lowerSince) >= shrinkDelay:
		p.plannedBusy, p.lowerSince = busy, now
	}
	if p.demandSince.IsZero() || now.Sub(p.demandSince) < shrinkDelay {
		p.plannedBusy = max(p.plannedBusy, reclaimableStaffing.demandFor(float64(max(p.Options.MinInitial, p.initialSteady+p.initialReclaimable))))
	}
	places = slices.Clone(places)
	slices.SortFunc(places, func(a, b Place) int {
		return cmp.Or(cmp.Compare(a.Price, b.Price), cmp.Compare(a.Name, b.Name))
	})
	o := p.Options
	orders := make([]Order, len(places))
	for i, place := range places {
		orders[i].Place = place.Name
	}
	// If the largest place is reclaimed, the other places still have enough servers.
	perPlace := int(math.Ceil(reclaimableStaffing.servers(p.plannedBusy) / float64(max(len(places)-1, 1))))
	reread := 0.0
	if o.PromptRate > 0 {
		reread = d.RereadTokens / o.PromptRate
	}
	spreadSteady(orders, places, p.steadyServers(places, reread), o.Max)
	if o.ReclaimablePrice > 0 {
		for i := range orders {
			orders[i].Reclaimable = max(min(perPlace, o.Max-orders[i].Steady), 0)
		}
	}
	for i := range orders {
		if missing := o.Min - orders[i].Steady - orders[i].Reclaimable; missing > 0 {
			orders[i].Steady += missing
		}
	}
	if registering {
		keepExisting(orders, places, o.Max)
	}
	return orders
}

// keepExisting changes orders so that they end no server.
func keepExisting(orders []Order, places []Place, maxPerPlace int) {
	for i := range orders {
		orders[i].Steady = Unchanged
		orders[i].Reclaimable = max(min(orders[i].Reclaimable, maxPerPlace-places[i].Steady), places[i].Reclaimable)
	}
}

// steadyServers returns the number of steady servers to have. Reclaims may follow each
// other faster than servers start. The servers that remain after one more reclaim
// therefore have to carry the demand and, unless the slack of a small fleet covers it,
// the repeated prefill.
func (p *Plan) steadyServers(places []Place, reread float64) int {
	if reclaimableStaffing.isSmallFleet(p.plannedBusy) {
		reread = 0
	}
	needed := int(math.Ceil(steadyStaffing.servers(p.plannedBusy + min(reread, maxRereadShare*p.plannedBusy))))
	if p.Options.ReclaimablePrice <= 0 {
		return needed
	}
	ready, starting, largestPlace, presentSteady := 0, 0, 0, 0
	for _, place := range places {
		ready += place.Reclaimable
		starting += place.Starting
		presentSteady += place.Steady
		largestPlace = max(largestPlace, place.Reclaimable+place.Starting)
	}
	// Steady servers stay until their replacements accept work.
	return max(needed-(ready+starting-largestPlace), min(needed-(ready-largestPlace), presentSteady), 0)
}

// spreadSteady adds n steady servers evenly over the places, which are sorted by price. It
// leaves the room of reclaimable servers that run or start: displacing them would end
// working servers for some that have yet to start.
func spreadSteady(orders []Order, places []Place, n, maxPerPlace int) {
	for n > 0 {
		added := false
		for i, place := range places {
			room := max(maxPerPlace-place.Reclaimable-place.Starting, place.Steady)
			if n > 0 && orders[i].Steady < min(room, maxPerPlace) {
				orders[i].Steady++
				n--
				added = true
			}
		}
		if !added {
			return
		}
	}
}
