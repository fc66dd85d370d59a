package placement

import (
	"fmt"
	"math"
	"time"
)

const (
	// minKeep is the shortest time that an instance is kept. It is several times the
	// start time, which an instance is paid for without serving.
	minKeep = 15 * time.Minute
	// urgentHeadroom covers the bursts of urgent work for the time of a start.
	urgentHeadroom = 0.15
	// headroom covers the growth of the work that can't wait for the time of a start.
	// Elastic work uses it in the meantime.
	headroom = 0.10
	// growBand and shrinkBand are the shares by which the capacity may miss the need
	// before instances are started or stopped.
	growBand   = 0.01
	shrinkBand = 0.03
	// elasticBand is added for the share of elastic work, which can wait or make use
	// of a surplus.
	elasticBand = 0.04
	// elasticMemory is the averaging time of the rate of elastic work.
	elasticMemory = 20 * time.Minute
	// surplusTime is how long capacity has not been needed before it is stopped.
	surplusTime = 5 * time.Minute
	// moveGain is the smallest relative gain in price for which an instance is
	// replaced. A start costs startTime of the new price, so that a gain of 8% pays
	// back in 50 minutes; prices keep their order for a few hours.
	moveGain = 0.08
	// moveShare and movesInFlight bound the replacements of one plan and those that
	// have not finished, as shares of the fleet. A replacement is paid twice until it
	// serves.
	moveShare     = 0.02
	movesInFlight = 0.10
	// maxGrowth is how much larger a replacement may be. Machine classes come in powers
	// of two, and larger ones serve a little more than twice as much.
	maxGrowth = 2.5
)

// need is the capacity that a service needs, in the unit of its demand.
type need struct {
	// cover has to be left when the largest place is lost.
	cover float64
	// total is what should run, and band by how much it may be missed.
	total, band float64
	// urgent is what the urgent work needs.
	urgent float64
}

// Plan returns the orders for now. Orders that have not taken effect are repeated,
// which is harmless, until they lapse.
func Plan(now time.Time, in Input, s *State) []Order {
	if now.Before(in.OrdersFrom) {
		return nil
	}
	s.observe(now, &in)
	p := planner{now: now, in: &in, state: s}
	p.free = p.startsAllowed()
	for _, service := range in.Services {
		m := s.market(now, &in, service)
		f := s.newFleet(now, &in, service, &m)
		n := p.need(service)
		p.recall(service, f, &m, n)
		p.grow(service, f, &m, n)
		n = s.peak(now, service.Name, n)
		if now.Sub(s.began) >= surplusTime { // A new holder does not know the recent need.
			p.move(service, f, &m, n)
			p.shrink(f, n)
		}
	}
	s.seen = now
	orders := p.standing()
	orders = append(orders, p.loads()...)
	return append(orders, p.roles()...)
}

// planner holds what one call of Plan works on.
type planner struct {
	now   time.Time
	in    *Input
	state *State
	// free is how many starts the weight store's rate allows besides those that the
	// urgent work needs.
	free int
}

// startsAllowed is the number of instances that the weight store can load within the
// time of a start, less those on their way. More would be paid for while they wait.
func (p *planner) startsAllowed() int {
	w := p.in.Weights
	var bytes float64
	for _, service := range p.in.Services {
		bytes = max(bytes, service.WeightBytes)
	}
	if w.BytesPerSecond <= 0 || bytes <= 0 {
		return 1 << 30
	}
	coming := len(p.state.starts)
	for _, i := range p.in.Instances {
		if i.State == Starting || i.State == Idle || i.State == Loading {
			coming++
		}
	}
	return max(1, int(w.BytesPerSecond*startTime.Seconds()/bytes)) - coming
}

// amount is a demand in the unit of its service.
func amount(service Service, d Demand) float64 {
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
				urgent += amount(service, d)
			}
			if rank.FirstToken < minElastic {
				firm += amount(service, d)
			} else {
				elastic += elasticRate(rank, d)
			}
		}
	}
	elastic = p.smooth(service.Name, elastic)
	n := need{total: max(firm*(1+headroom), firm+elastic), urgent: urgent * (1 + urgentHeadroom)}
	n.band = growBand*n.total + elasticBand*elastic
	if len(service.Places) != 1 && len(p.in.Places) > 1 {
		n.cover = n.urgent
	}
	return n
}

// smooth returns the average rate of elastic work of a service, so that the fleet does
// not follow each lump of it.
func (p *planner) smooth(service string, rate float64) float64 {
	average, ok := p.state.elastic[service]
	if !ok {
		average = rate
	}
	average += (1 - math.Exp(-p.now.Sub(p.state.seen).Hours()/elasticMemory.Hours())) * (rate - average)
	p.state.elastic[service] = average
	return average
}

// elasticRate is the rate at which to run work that may wait.
func elasticRate(rank Rank, d Demand) float64 {
	left := rank.FirstToken - elasticMargin
	if d.OldestWait >= left {
		return d.Waiting / elasticMargin.Seconds()
	}
	return elasticShare * d.Waiting / left.Seconds()
}

const (
	// elasticMargin is the time before the target by which elastic work should be
	// done, so that a lost place can still be replaced.
	elasticMargin = 20 * time.Minute
	// elasticShare is the rate of elastic work relative to the least one that meets
	// the target. The rest of the time lets a lost place pass. A rate that follows the
	// price was no cheaper.
	elasticShare = 3.0
)

// recall takes back stops that have not taken effect when the urgent work has grown
// in the meantime.
func (p *planner) recall(service Service, f *fleet, m *market, n need) {
	for _, i := range p.in.Instances {
		if ready, _ := f.ready(nil); ready >= n.urgent {
			return
		}
		if i.Service == service.Name && i.State == Serving && p.state.stopping[i.ID] != "" {
			delete(p.state.stopping, i.ID)
			f.add(m.member(p.now, i))
		}
	}
}

// grow starts instances until the need is met, reclaimable ones first and on-demand
// ones only for the urgent work.
func (p *planner) grow(service Service, f *fleet, m *market, n need) {
	for range 10_000 { // Bounds the loop if capacities are tiny against the demand.
		short := n.total - f.total
		exposed := n.cover - f.cover("", 0)
		urgent := exposed > 0 || f.total < n.urgent
		if !urgent && (short <= n.band || p.free <= 0) {
			return
		}
		wanted, reason := max(short, exposed), "capacity below demand"
		var i int
		if exposed > 0 && exposed >= short {
			reason = "urgent work would not outlast the largest place"
			i = m.covering(f, wanted, true)
		} else {
			i = m.cheapest(wanted, true)
		}
		if i < 0 && urgent {
			// Outside the largest place, each on-demand instance counts for the urgent
			// work, so that none is started for other work.
			reason = "urgent work needs capacity, no reclaimable instance to be had"
			if n.cover > 0 {
				i = m.covering(f, exposed, false)
			} else {
				i = m.cheapest(n.urgent-f.total, false)
			}
		}
		if i < 0 {
			return
		}
		p.start(service, f, m, i, "", reason)
	}
}

// start orders an instance. Its token is unique to the holder of the duty.
func (p *planner) start(service Service, f *fleet, m *market, i int, replaces, reason string) {
	s := p.state
	o := &m.offers[i]
	o.left--
	p.free--
	s.sequence++
	token := fmt.Sprintf("%s-%d-%d", service.Name, p.in.Fencing, s.sequence)
	s.starts[token] = pending{replaces: replaces, order: Order{
		Kind: Start, Fencing: p.in.Fencing, Reason: reason, Considered: len(m.offers),
		Until: p.now.Add(OrderLifetime), Token: token, Service: service.Name,
		Place: o.place, Class: o.class, Reclaimable: o.reclaimable,
	}}
	if replaces != "" {
		s.replaces[token] = replaces
	}
	u := m.unit(o.key)
	u.instance.Token = token
	f.add(u)
}

// move replaces expensive instances by cheaper ones, a few at a time.
func (p *planner) move(service Service, f *fleet, m *market, n need) {
	inFlight, owned := 0, map[string]bool{}
	for _, u := range f.units {
		owned[u.instance.ID] = true
	}
	for _, old := range p.state.replaces {
		if owned[old] {
			inFlight++
		}
	}
	size := float64(len(f.units))
	allowed := min(p.free, int(math.Ceil(size*moveShare)), int(math.Ceil(size*movesInFlight))-inFlight)
	for _, u := range f.dearest() {
		if allowed <= 0 {
			return
		}
		i := p.destination(f, m, n, u)
		if i < 0 {
			continue
		}
		u.replaced = true
		f.count(u, -1)
		p.start(service, f, m, i, u.instance.ID, "cheaper place or class")
		allowed--
	}
}

// destination returns the cheapest offer that is worth the move of a unit and leaves
// the urgent work covered, or -1.
func (p *planner) destination(f *fleet, m *market, n need, u *unit) int {
	before := f.cover("", 0)
	f.count(u, -1)
	defer f.count(u, 1)
	for i, o := range m.offers {
		if o.price/o.unit > u.price/u.capacity*(1-moveGain) {
			return -1
		}
		if !o.reclaimable || o.left <= 0 || o.unit > maxGrowth*u.capacity || f.total+o.unit < n.total-n.band {
			continue
		}
		cover := f.cover(o.place, m.unit(o.key).steady)
		if cover >= min(before, n.cover) {
			return i
		}
	}
	return -1
}

// shrink stops the most expensive instances that were not needed for a while.
func (p *planner) shrink(f *fleet, n need) {
	total, _ := f.ready(nil)
	if min(total, f.total) <= n.total*(1+shrinkBand)+n.band {
		return
	}
	for _, u := range f.dearest() {
		left, cover := f.ready(u)
		if min(left, f.total-u.capacity) < n.total {
			continue
		}
		if cover < n.cover || f.cover(u.key.place, -u.steady) < n.cover {
			continue
		}
		p.state.stopping[u.instance.ID] = "more capacity than demand"
		f.drop(u)
	}
}

// peak records a need and returns the highest one within the surplus time.
func (s *State) peak(now time.Time, service string, n need) need {
	recent := s.needs[service]
	for len(recent) > 0 && now.Sub(recent[0].at) > surplusTime {
		recent = recent[1:]
	}
	recent = append(recent, needAt{now, n})
	s.needs[service] = recent
	for _, r := range recent {
		n.total, n.band = max(n.total, r.need.total), max(n.band, r.need.band)
		n.cover = max(n.cover, r.need.cover)
	}
	return n
}

// standing returns the starts and stops that have not taken effect.
func (p *planner) standing() []Order {
	var orders []Order
	for _, token := range sortedKeys(p.state.starts) {
		orders = append(orders, p.state.starts[token].order)
	}
	for _, id := range sortedKeys(p.state.stopping) {
		orders = append(orders, Order{
			Kind: Stop, Fencing: p.in.Fencing, Reason: p.state.stopping[id], Considered: len(p.in.Instances),
			Until: p.now.Add(OrderLifetime), Instance: id,
		})
	}
	return orders
}
