package placement

import (
	"slices"
	"sort"
	"time"
)

// unit is one instance of a service that counts as capacity, or a start that was
// ordered.
type unit struct {
	instance Instance
	key      key
	// capacity is in the unit of the service's demand, steady the part expected to
	// outlast reclaims until replacements serve.
	capacity, steady float64
	price            float64
	ready            bool
	// old units have run for the minimum keep time.
	old bool
	// replaced units stop when their replacement serves.
	replaced bool
}

// fleet is the capacity of one service after all orders so far.
type fleet struct {
	units []*unit
	// total is the capacity without replaced units, byPlace the steady part of it.
	total   float64
	byPlace capacities
}

// capacities has the capacity of each place, in the order in which places were
// added. A map would add floats in a random order, so that equal inputs could give
// different orders.
type capacities []placeCapacity

type placeCapacity struct {
	place    string
	capacity float64
}

func (c *capacities) add(place string, change float64) {
	for i := range *c {
		if (*c)[i].place == place {
			(*c)[i].capacity += change
			return
		}
	}
	*c = append(*c, placeCapacity{place, change})
}

func (c capacities) of(place string) float64 {
	for _, p := range c {
		if p.place == place {
			return p.capacity
		}
	}
	return 0
}

// cover is what is left when the largest place is lost.
func (c capacities) cover() float64 {
	var total, most float64
	for _, p := range c {
		total += p.capacity
		most = max(most, p.capacity)
	}
	return total - most
}

func (f *fleet) add(u *unit) {
	f.units = append(f.units, u)
	f.count(u, 1)
}

func (f *fleet) count(u *unit, sign float64) {
	f.total += sign * u.capacity
	f.byPlace.add(u.key.place, sign*u.steady)
}

// drop takes out a unit that stops.
func (f *fleet) drop(u *unit) {
	for i := range f.units {
		if f.units[i] == u {
			f.units = append(f.units[:i], f.units[i+1:]...)
			break
		}
	}
	if !u.replaced {
		f.count(u, -1)
	}
}

// largest returns the place with the most steady capacity.
func (f *fleet) largest() string {
	name, most := "", -1.0
	for _, p := range f.byPlace {
		if p.capacity > most || p.capacity == most && p.place < name {
			name, most = p.place, p.capacity
		}
	}
	return name
}

// cover is the steady capacity that is left when the largest place is lost, after a
// change of the capacity of one place.
func (f *fleet) cover(place string, change float64) float64 {
	changed := slices.Clone(f.byPlace)
	changed.add(place, change)
	return changed.cover()
}

// ready returns the capacity that serves now, and the steady capacity that serves
// outside the place where most of it is, when the given unit is taken out.
func (f *fleet) ready(without *unit) (total, cover float64) {
	var byPlace capacities
	for _, u := range f.units {
		if u.ready && u != without {
			total += u.capacity
			byPlace.add(u.key.place, u.steady)
		}
	}
	return total, byPlace.cover()
}

// dearest returns the units that serve and may stop, the most expensive first.
func (f *fleet) dearest() []*unit {
	var list []*unit
	for _, u := range f.units {
		if u.ready && u.old && !u.replaced {
			list = append(list, u)
		}
	}
	sort.SliceStable(list, func(i, j int) bool {
		return list[i].price/list[i].capacity > list[j].price/list[j].capacity
	})
	return list
}

// newFleet collects the units of a service from the instances and the starts that
// are not among them yet.
func (s *State) newFleet(now time.Time, in *Input, service Service, m *market) *fleet {
	f := &fleet{}
	replaced := map[string]bool{}
	for _, id := range s.replaces {
		replaced[id] = true
	}
	for _, i := range in.Instances {
		if i.Service != service.Name || i.State == Leaving || s.stopping[i.ID] != "" {
			continue
		}
		u := m.member(now, i)
		u.replaced = replaced[i.ID]
		f.units = append(f.units, u)
		if !u.replaced {
			f.count(u, 1)
		}
	}
	for _, token := range sortedKeys(s.starts) {
		if o := s.starts[token].order; o.Service == service.Name {
			u := m.unit(key{o.Place, o.Class, o.Reclaimable})
			u.instance.Token = token
			f.add(u)
		}
	}
	return f
}

func (m *market) unit(k key) *unit {
	c := m.units[k.class]
	return &unit{
		key: k, capacity: c, price: m.prices[k],
		steady: c * (1 - min(0.5, m.risks[k]*startTime.Hours())),
	}
}

// member is the unit of an instance.
func (m *market) member(now time.Time, i Instance) *unit {
	u := m.unit(key{i.Place, i.Class, i.Reclaimable})
	u.instance, u.ready = i, i.State == Serving
	u.old = now.Sub(i.Started) >= minKeep
	return u
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
