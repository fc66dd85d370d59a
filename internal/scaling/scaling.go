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
	// PromptTokens is the rate of prompt tokens that no cache is expected to hold.
	PromptTokens float64
	// RereadTokens is the rate of shared prompt tokens that are read beyond those,
	// because their holders have been reclaimed or are full.
	RereadTokens float64
	// OutputTokens is the rate of response tokens.
	OutputTokens float64
}

// Options are the properties of the service.
type Options struct {
	// Min and Max bound the servers in each place, both kinds together.
	Min, Max int
	// Least is how many servers to provide for before demand is known, unless more are
	// there.
	Least int
	// ReclaimablePrice is the price of a reclaimable server as a part of that of a
	// steady one; 0 means that there are none.
	ReclaimablePrice float64
	// PromptRate and OutputRate are the tokens that one server reads and generates
	// in a second.
	PromptRate, OutputRate float64
}

// Leave in place of a number leaves the servers of a kind as they are.
const Leave = -1

// Order is how many servers to have in one place.
type Order struct {
	Place       string
	Steady      int
	Reclaimable int
}

// staffing says how many servers demand needs. A step that reads a long prompt takes ten
// times one that does not, so that few servers must be used little. In a large fleet the
// load of the servers varies less, and the reserve grows with the root of the demand
// (square-root staffing).
type staffing struct {
	// use is the part of the time of the servers that demand may take.
	use float64
	// reserve is how many servers to have beyond those that demand keeps busy, for the
	// root of these.
	reserve float64
}

var (
	// cheap is for reclaimable servers. Both terms are equal at 4 busy servers.
	cheap = staffing{use: 0.09, reserve: 18}
	// dear is for steady servers, of which each costs several times as much. Both terms are
	// equal at 16 busy servers: a smaller reserve fell short when reclaims came in series.
	dear = staffing{use: 0.4, reserve: 6}
)

// servers returns how many servers a demand needs, in busy servers.
func (s staffing) servers(busy float64) float64 {
	return min(busy/s.use, busy+s.reserve*math.Sqrt(busy))
}

// plenty reports whether the fleet is so small that its reserve grows with the demand.
func (s staffing) plenty(busy float64) bool { return busy/s.use <= busy+s.reserve*math.Sqrt(busy) }

// busy returns the demand for which a number of servers is right.
func (s staffing) busy(servers float64) float64 {
	// The positive root of busy + reserve*sqrt(busy) = servers.
	root := (math.Sqrt(s.reserve*s.reserve+4*servers) - s.reserve) / 2
	return max(servers*s.use, root*root)
}

const (
	// shrinkAfter is how long demand has to be below before servers are given up.
	// Starting one again takes its boot time.
	shrinkAfter = 10 * time.Second
	// settleTime is how long the servers that are there are counted before some are given
	// up without demand. They register within 3 s (seedLagS of letter 2), and an order for
	// fewer ends the others.
	settleTime = 3 * time.Second
	// rereadMost bounds what is read again as a part of the other demand. While most
	// servers are gone everything is read again, and more of it would only be paid for.
	rereadMost = 0.3
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
	// first is when orders were first asked for, and started when demand was first seen.
	first, started time.Time
	// steadies and reclaimable are how many servers were there before demand was known or
	// settleTime had passed, without those that were ordered meanwhile.
	steadies, reclaimable int
	settled               bool
}

// Orders returns the servers to have in each place. While it is not known which are
// there, none are given up.
func (p *Plan) Orders(now time.Time, d Demand, places []Place) []Order {
	busy := Busy(d, p.Options)
	if p.first.IsZero() {
		p.first = now
	}
	if p.started.IsZero() && busy > 0 {
		p.started = now
	}
	settling := p.started.IsZero() && now.Sub(p.first) < settleTime
	if !p.settled {
		steady, reclaimable := 0, 0
		for _, place := range places {
			steady += place.Steady
			reclaimable += place.Reclaimable
		}
		if p.first.Equal(now) {
			p.reclaimable = reclaimable
		}
		p.steadies = max(p.steadies, steady)
		p.settled = !settling
	}
	switch {
	case busy >= p.busy, now.Sub(p.lowered) >= shrinkAfter:
		p.busy, p.lowered = busy, now
	}
	if p.started.IsZero() || now.Sub(p.started) < shrinkAfter {
		p.busy = max(p.busy, cheap.busy(float64(max(p.Options.Least, p.steadies+p.reclaimable))))
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
	each := int(math.Ceil(cheap.servers(p.busy) / float64(max(len(places)-1, 1))))
	reread := 0.0
	if o.PromptRate > 0 {
		reread = d.RereadTokens / o.PromptRate
	}
	spread(orders, places, p.steady(places, reread), o.Max)
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
	if settling {
		hold(orders, places, o.Max)
	}
	return orders
}

// hold changes orders so that they end no server.
func hold(orders []Order, places []Place, most int) {
	for i := range orders {
		orders[i].Steady = Leave
		orders[i].Reclaimable = max(min(orders[i].Reclaimable, most-places[i].Steady), places[i].Reclaimable)
	}
}

// steady returns how many steady servers to have. Reclaims come one after the other
// and leave less time than a start takes, so that the servers that remain after
// one more reclaim have to bear the demand, with what is read again in the meantime
// unless the slack of a small fleet covers that.
func (p *Plan) steady(places []Place, reread float64) int {
	if cheap.plenty(p.busy) {
		reread = 0
	}
	needed := int(math.Ceil(dear.servers(p.busy + min(reread, rereadMost*p.busy))))
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

// spread adds n steady servers evenly, the first places first, within the bound of a
// place. They take no room of cheap servers that are there or coming: that would end
// servers which work for some that have to start.
func spread(orders []Order, places []Place, n, most int) {
	for n > 0 {
		added := false
		for i, place := range places {
			room := max(most-place.Reclaimable-place.Coming, place.Steady)
			if n > 0 && orders[i].Steady < min(room, most) {
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
