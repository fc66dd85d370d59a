package placement

import (
	"slices"
	"sort"
	"time"
)

// offer is one way to start an instance for a service.
type offer struct {
	key
	// unit is the capacity of one instance in the unit of the service's demand.
	unit float64
	// price is per instance hour, with the expected cost of reclaims.
	price float64
	// left is how many starts may be sent now.
	left int
}

// perUnit is the price of the capacity that is wanted, so that a large instance is
// not taken for a small need.
func (o offer) perUnit(wanted float64) float64 {
	if wanted <= 0 || wanted > o.unit {
		return o.price / o.unit
	}
	return o.price / wanted
}

// capacity is what an instance of a class serves for a service.
func capacity(s Service, c Class) float64 {
	if s.RequestsPerSlot > 0 {
		return float64(c.Slots) * s.RequestsPerSlot
	}
	return c.TokensPerSecond
}

// market has the offers of one service.
type market struct {
	offers []offer
	// prices has the present price of each offer, also of those that may not be
	// started now.
	prices map[key]float64
	units  map[string]float64
	risks  map[key]float64
}

func (s *State) market(now time.Time, in *Input, service Service) market {
	m := market{prices: map[key]float64{}, units: map[string]float64{}, risks: map[key]float64{}}
	for _, c := range in.Classes {
		m.units[c.Name] = capacity(service, c)
	}
	for _, o := range in.Offers {
		p := slices.IndexFunc(in.Places, func(p Place) bool { return p.Name == o.Place })
		unit := m.units[o.Class]
		if p < 0 || unit <= 0 || len(service.Places) > 0 && !slices.Contains(service.Places, o.Place) {
			continue
		}
		place := in.Places[p]
		hazard := risk(now, in, o.Place, o.Class)
		for _, k := range []key{{o.Place, o.Class, true}, {o.Place, o.Class, false}} {
			price, expected := o.OnDemand, o.OnDemand
			if k.reclaimable {
				price, expected = o.Reclaimable, o.Reclaimable*(1+hazard*startTime.Hours())
				m.risks[k] = hazard
			}
			if price <= 0 {
				continue
			}
			m.prices[k] = expected
			if place.MaxPrice > 0 && price > place.MaxPrice || !k.reclaimable && !place.OnDemand {
				continue
			}
			left := 1 << 30
			if b := s.backoffs[k]; now.Before(b.until) {
				continue
			} else if b.failures > 0 && now.Sub(b.until) < maxBackoff {
				left = probeStarts
			}
			m.offers = append(m.offers, offer{key: k, unit: unit, price: expected, left: left})
		}
	}
	sort.Slice(m.offers, func(i, j int) bool {
		a, b := m.offers[i], m.offers[j]
		if pa, pb := a.price/a.unit, b.price/b.unit; pa != pb {
			return pa < pb
		}
		return a.place+a.class < b.place+b.class
	})
	return m
}

// cheapest returns the index of the offer with the lowest price for the wanted
// capacity, or -1.
func (m *market) cheapest(wanted float64, reclaimable bool) int {
	return m.best(wanted, reclaimable, func(offer) bool { return true })
}

// covering returns the index of the cheapest offer outside the largest place of a
// fleet, or -1. It prefers places that stay smaller than that one, since the loss of
// the largest of three equal places takes less than that of the larger of two.
func (m *market) covering(f *fleet, wanted float64, reclaimable bool) int {
	largest := f.largest()
	i := m.best(wanted, reclaimable, func(o offer) bool {
		return o.place != largest && f.byPlace.of(o.place)+m.unit(o.key).steady <= f.byPlace.of(largest)
	})
	if i < 0 {
		i = m.best(wanted, reclaimable, func(o offer) bool { return o.place != largest })
	}
	return i
}

func (m *market) best(wanted float64, reclaimable bool, fits func(offer) bool) int {
	best := -1
	for i, o := range m.offers {
		if o.left <= 0 || o.reclaimable != reclaimable || !fits(o) {
			continue
		}
		if best < 0 || o.perUnit(wanted) < m.offers[best].perUnit(wanted) {
			best = i
		}
	}
	return best
}
