// Package scaling decides how many servers of a service to order in each place. It
// has no sockets, goroutines or clock. It answers demand in prompt and response
// tokens, prices that differ by place, and cheap servers that are reclaimed for a
// whole place at once.
package scaling

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Place is what is known of the servers of the service in one place.
type Place struct {
	Name string
	// Price of a server per second.
	Price float64
	// Steady and Reclaimable are the servers that take work.
	Steady, Reclaimable int
	// Coming is the number of reclaimable servers that were ordered so lately that
	// they may still be starting.
	Coming int
}

// Demand is what callers asked of the service lately.
type Demand struct {
	// PromptTokens is the rate of prompt tokens that no cache holds.
	PromptTokens float64
	// OutputTokens is the rate of response tokens.
	OutputTokens float64
}

// Options are the properties of the service.
type Options struct {
	// Min and Max bound the servers in each place, both kinds together.
	Min, Max int
	// ReclaimablePrice is the price of a reclaimable server as a part of that of a
	// steady one; 0 means that there are none.
	ReclaimablePrice float64
	// PromptRate and OutputRate are the tokens that one server reads and generates
	// in a second.
	PromptRate, OutputRate float64
}

// Order is how many servers to have in one place.
type Order struct {
	Place       string
	Steady      int
	Reclaimable int
}

const (
	// targetUse is the part of the servers' time that demand may take. Prompts
	// arrive unevenly, and the first token of an urgent request waits for those ahead.
	targetUse = 0.5
	// leastLevel is the number of servers provided for before any demand is known.
	leastLevel = 8
	// shrinkAfter is how long demand has to be below before servers are given up.
	// Starting one again takes its boot time.
	shrinkAfter = 10 * time.Second
)

// Needed returns how many servers the demand takes.
func Needed(d Demand, o Options) float64 {
	use := 0.0
	if o.PromptRate > 0 {
		use += d.PromptTokens / o.PromptRate
	}
	if o.OutputRate > 0 {
		use += d.OutputTokens / o.OutputRate
	}
	return use / targetUse
}

// Plan holds the state of the orders of one service.
type Plan struct {
	Options Options
	// level is the number of servers that is provided for, and lowered since when
	// demand is below it.
	level   float64
	lowered time.Time
}

// Orders returns the servers to have in each place.
func (p *Plan) Orders(now time.Time, d Demand, places []Place) []Order {
	needed := max(Needed(d, p.Options), leastLevel)
	switch {
	case needed >= p.level:
		p.level, p.lowered = needed, now
	case now.Sub(p.lowered) >= shrinkAfter:
		p.level, p.lowered = needed, now
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
	steady := int(math.Ceil(p.level))
	if o.ReclaimablePrice > 0 {
		// What remains stands when the place with the most of them is reclaimed.
		each := int(math.Ceil(p.level / float64(max(len(places)-1, 1))))
		spread(orders, each*len(places), o.Max, func(x *Order) *int { return &x.Reclaimable })
		ready, coming, present := 0, 0, 0
		for i, place := range places {
			ready += min(place.Reclaimable, orders[i].Reclaimable)
			coming += place.Coming
			present += place.Steady
		}
		// Steady servers stay until those that replace them take work.
		steady = max(steady-ready-coming, min(steady-ready, present), 0)
	}
	spread(orders, steady, o.Max, func(x *Order) *int { return &x.Steady })
	for i := range orders {
		if short := o.Min - orders[i].Steady - orders[i].Reclaimable; short > 0 {
			orders[i].Steady += short
		}
	}
	return orders
}

// spread adds n servers evenly, the first places first, within the bound of a place.
func spread(orders []Order, n, most int, field func(*Order) *int) {
	for n > 0 {
		added := false
		for i := range orders {
			if n > 0 && orders[i].Steady+orders[i].Reclaimable < most {
				*field(&orders[i])++
				n--
				added = true
			}
		}
		if !added {
			return
		}
	}
}
