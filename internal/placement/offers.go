package placement

import (
	"slices"
	"sort"
	"time"
)

// offer is one way to start an instance for a service.
type offer struct {
	offerKey
	// capacity of one instance, in the unit of the service's demand.
	capacity float64
	// price per instance hour, including the expected cost of reclaims.
	price float64
	// startsLeft is the number of starts that may still be ordered in this plan.
	startsLeft int
}

// pricePerUnit returns the price per unit of the capacity that is actually wanted, so
// that a large instance is not chosen for a small shortfall.
func (o offer) pricePerUnit(wanted float64) float64 {
	if wanted <= 0 || wanted > o.capacity {
		return o.price / o.capacity
	}
	return o.price / wanted
}

// instanceCapacity is the capacity of an instance of a class for a service, in the unit
// of the service's demand.
func instanceCapacity(s Service, c Class) float64 {
	if s.RequestsPerSlot > 0 {
		return float64(c.Slots) * s.RequestsPerSlot
	}
	return c.TokensPerSecond
}

// market holds the offers that one service can use.
type market struct {
	offers []offer
	// expectedPrices has the current price of each offer including the expected cost of
	// reclaims, even if no start may be ordered there now.
	expectedPrices  map[offerKey]float64
	capacityByClass map[string]float64
	reclaimRisks    map[offerKey]float64
}

func (s *State) market(now time.Time, in *Input, service Service) market {
	m := market{expectedPrices: map[offerKey]float64{}, capacityByClass: map[string]float64{}, reclaimRisks: map[offerKey]float64{}}
	for _, c := range in.Classes {
		m.capacityByClass[c.Name] = instanceCapacity(service, c)
	}
	for _, o := range in.Offers {
		placeIndex := slices.IndexFunc(in.Places, func(p Place) bool { return p.Name == o.Place })
		capacity := m.capacityByClass[o.Class]
		if placeIndex < 0 || capacity <= 0 || len(service.Places) > 0 && !slices.Contains(service.Places, o.Place) {
			continue
		}
		place := in.Places[placeIndex]
		reclaimRisk := predictReclaimRisk(now, in, o.Place, o.Class)
		for _, k := range []offerKey{{o.Place, o.Class, true}, {o.Place, o.Class, false}} {
			price, expectedPrice := o.OnDemand, o.OnDemand
			if k.reclaimable {
				price, expectedPrice = o.Reclaimable, o.Reclaimable*(1+reclaimRisk*startDuration.Hours())
				m.reclaimRisks[k] = reclaimRisk
			}
			if price <= 0 {
				continue
			}
			m.expectedPrices[k] = expectedPrice
			if place.MaxPrice > 0 && price > place.MaxPrice || !k.reclaimable && !place.OnDemand {
				continue
			}
			startsLeft := 1 << 30 // No limit.
			if b := s.backoffs[k]; now.Before(b.until) {
				continue
			} else if b.failures > 0 && now.Sub(b.until) < maxBackoff {
				startsLeft = maxProbeStarts
			}
			m.offers = append(m.offers, offer{offerKey: k, capacity: capacity, price: expectedPrice, startsLeft: startsLeft})
		}
	}
	sort.Slice(m.offers, func(i, j int) bool {
		a, b := m.offers[i], m.offers[j]
		if pa, pb := a.price/a.capacity, b.price/b.capacity; pa != pb {
			return pa < pb
		}
		return a.place+a.class < b.place+b.class
	})
	return m
}

// cheapest returns the index of the offer with the lowest price for the wanted
// capacity, or -1.
func (m *market) cheapest(wanted float64, reclaimable bool) int {
	return m.cheapestMatching(wanted, reclaimable, func(offer) bool { return true })
}

// cheapestOutsideLargest returns the index of the cheapest offer outside the largest
// place of a fleet, or -1. It prefers places that stay smaller than the largest one:
// losing the largest of three equal places takes less capacity than losing the larger
// of two.
func (m *market) cheapestOutsideLargest(f *fleet, wanted float64, reclaimable bool) int {
	largest := f.largestPlace()
	i := m.cheapestMatching(wanted, reclaimable, func(o offer) bool {
		return o.place != largest && f.stableByPlace.ofPlace(o.place)+m.newMember(o.offerKey).stableCapacity <= f.stableByPlace.ofPlace(largest)
	})
	if i < 0 {
		i = m.cheapestMatching(wanted, reclaimable, func(o offer) bool { return o.place != largest })
	}
	return i
}

func (m *market) cheapestMatching(wanted float64, reclaimable bool, matches func(offer) bool) int {
	best := -1
	for i, o := range m.offers {
		if o.startsLeft <= 0 || o.reclaimable != reclaimable || !matches(o) {
			continue
		}
		if best < 0 || o.pricePerUnit(wanted) < m.offers[best].pricePerUnit(wanted) {
			best = i
		}
	}
	return best
}
