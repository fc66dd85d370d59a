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
	// Least is how many servers to provide for before demand is known.
	Least int
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
	// reclaimableUse is the part of the time of cheap servers that demand may take.
	// A step that reads a long prompt takes ten times one that does not, so that even
	// little of it makes the streams that run beside it slow.
	reclaimableUse = 0.09
	// steadyUse is that part for steady servers, of which each costs several times as
	// much.
	steadyUse = 0.4
	// shrinkAfter is how long demand has to be below before servers are given up.
	// Starting one again takes its boot time.
	shrinkAfter = 10 * time.Second
)

// Busy returns how many servers the demand keeps busy all the time.
func Busy(d Demand, o Options) float64 {
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
	// busy is the demand that is provided for, in busy servers, and lowered since
	// when demand is below it.
	busy    float64
	lowered time.Time
	// started is when demand was first seen.
	started time.Time
}

// Orders returns the servers to have in each place.
func (p *Plan) Orders(now time.Time, d Demand, places []Place) []Order {
	busy := Busy(d, p.Options)
	if busy > 0 && p.started.IsZero() {
		p.started = now
	}
	if p.started.IsZero() || now.Sub(p.started) < shrinkAfter {
		busy = max(busy, float64(p.Options.Least)*reclaimableUse)
	}
	switch {
	case busy >= p.busy:
		p.busy, p.lowered = busy, now
	case now.Sub(p.lowered) >= shrinkAfter:
		p.busy, p.lowered = busy, now
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
	// What remains stands when the place with the most of them is reclaimed.
	each := int(math.Ceil(p.busy / reclaimableUse / float64(max(len(places)-1, 1))))
	spread(orders, p.steady(places), o.Max)
	if o.ReclaimablePrice > 0 {
		for i := range orders {
			orders[i].Reclaimable = max(min(each, o.Max-orders[i].Steady), 0)
		}
	}
	for i := range orders {
		if short := o.Min - orders[i].Steady - orders[i].Reclaimable; short > 0 {
			orders[i].Steady += short
		}
	}
	return orders
}

// steady returns how many steady servers to have. Reclaims come one after the other
// and leave less time than a start takes, so that the servers that remain after
// one more reclaim have to bear the demand.
func (p *Plan) steady(places []Place) int {
	needed := int(math.Ceil(p.busy / steadyUse))
	if p.Options.ReclaimablePrice <= 0 {
		return needed
	}
	ready, coming, most, present := 0, 0, 0, 0
	for _, place := range places {
		ready += place.Reclaimable
		coming += place.Coming
		present += place.Steady
		most = max(most, place.Reclaimable+place.Coming)
	}
	// Steady servers stay until those that replace them take work.
	return max(needed-(ready+coming-most), min(needed-(ready-most), present), 0)
}

// spread adds n steady servers evenly, the first places first, within the bound of
// a place.
func spread(orders []Order, n, most int) {
	for n > 0 {
		added := false
		for i := range orders {
			if n > 0 && orders[i].Steady < most {
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
