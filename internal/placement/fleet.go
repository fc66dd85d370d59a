package placement

import (
	"slices"
	"sort"
	"time"
)

// fleetMember is an instance that counts towards the capacity of its service, or an
// ordered start.
type fleetMember struct {
	instance Instance
	offer    offerKey
	// capacity is in the unit of the service's demand. stableCapacity is the part
	// expected to survive reclaims until replacements serve.
	capacity, stableCapacity float64
	price                    float64
	serving                  bool
	// mayStop is set once the instance has run for minRunTime.
	mayStop bool
	// replaced marks a member that stops as soon as its replacement serves.
	replaced bool
}

// fleet is the capacity of one service, with all orders given so far applied.
type fleet struct {
	members []*fleetMember
	// totalCapacity leaves out replaced members; stableByPlace is the stable part of
	// it.
	totalCapacity float64
	stableByPlace placeCapacities
}

// placeCapacities lists the capacity of each place in insertion order. Summing floats
// in the random order of a map could give different orders for equal inputs.
type placeCapacities []placeCapacity

type placeCapacity struct {
	place    string
	capacity float64
}

func (c *placeCapacities) add(place string, change float64) {
	for i := range *c {
		if (*c)[i].place == place {
			(*c)[i].capacity += change
			return
		}
	}
	*c = append(*c, placeCapacity{place, change})
}

func (c placeCapacities) ofPlace(place string) float64 {
	for _, p := range c {
		if p.place == place {
			return p.capacity
		}
	}
	return 0
}

// withoutLargest returns the total capacity without that of the largest place.
func (c placeCapacities) withoutLargest() float64 {
	var total, largest float64
	for _, p := range c {
		total += p.capacity
		largest = max(largest, p.capacity)
	}
	return total - largest
}

func (f *fleet) add(member *fleetMember) {
	f.members = append(f.members, member)
	f.updateTotals(member, 1)
}

func (f *fleet) updateTotals(member *fleetMember, sign float64) {
	f.totalCapacity += sign * member.capacity
	f.stableByPlace.add(member.offer.place, sign*member.stableCapacity)
}

// remove removes a member that is to stop.
func (f *fleet) remove(member *fleetMember) {
	for i := range f.members {
		if f.members[i] == member {
			f.members = append(f.members[:i], f.members[i+1:]...)
			break
		}
	}
	if !member.replaced {
		f.updateTotals(member, -1)
	}
}

// largestPlace returns the place with the most stable capacity.
func (f *fleet) largestPlace() string {
	name, largest := "", -1.0
	for _, p := range f.stableByPlace {
		if p.capacity > largest || p.capacity == largest && p.place < name {
			name, largest = p.place, p.capacity
		}
	}
	return name
}

// failoverCapacity returns the stable capacity that remains if the largest place is
// lost, after the capacity of one place has changed by the given amount.
func (f *fleet) failoverCapacity(place string, change float64) float64 {
	changed := slices.Clone(f.stableByPlace)
	changed.add(place, change)
	return changed.withoutLargest()
}

// servingCapacity returns the capacity that serves now and the stable part of it that
// remains if the largest place is lost, both without the given member.
func (f *fleet) servingCapacity(without *fleetMember) (total, failover float64) {
	var byPlace placeCapacities
	for _, member := range f.members {
		if member.serving && member != without {
			total += member.capacity
			byPlace.add(member.offer.place, member.stableCapacity)
		}
	}
	return total, byPlace.withoutLargest()
}

// stoppableByPrice returns the serving members that may stop, most expensive capacity
// first.
func (f *fleet) stoppableByPrice() []*fleetMember {
	var stoppable []*fleetMember
	for _, member := range f.members {
		if member.serving && member.mayStop && !member.replaced {
			stoppable = append(stoppable, member)
		}
	}
	sort.SliceStable(stoppable, func(i, j int) bool {
		return stoppable[i].price/stoppable[i].capacity > stoppable[j].price/stoppable[j].capacity
	})
	return stoppable
}

// newFleet builds the fleet of a service from its instances and its pending starts.
func (s *State) newFleet(now time.Time, in *Input, service Service, m *market) *fleet {
	f := &fleet{}
	replaced := map[string]bool{}
	for _, id := range s.replacements {
		replaced[id] = true
	}
	for _, i := range in.Instances {
		if i.Service != service.Name || i.State == Leaving || s.stopReasons[i.ID] != "" {
			continue
		}
		member := m.memberFor(now, i)
		member.replaced = replaced[i.ID]
		f.members = append(f.members, member)
		if !member.replaced {
			f.updateTotals(member, 1)
		}
	}
	for _, token := range sortedKeys(s.pendingStarts) {
		if o := s.pendingStarts[token].order; o.Service == service.Name {
			member := m.newMember(offerKey{o.Place, o.Class, o.Reclaimable})
			member.instance.Token = token
			f.add(member)
		}
	}
	return f
}

func (m *market) newMember(k offerKey) *fleetMember {
	c := m.capacityByClass[k.class]
	return &fleetMember{
		offer: k, capacity: c, price: m.expectedPrices[k],
		stableCapacity: c * (1 - min(0.5, m.reclaimRisks[k]*startDuration.Hours())),
	}
}

// memberFor returns the fleet member for an existing instance.
func (m *market) memberFor(now time.Time, i Instance) *fleetMember {
	member := m.newMember(offerKey{i.Place, i.Class, i.Reclaimable})
	member.instance, member.serving = i, i.State == Serving
	member.mayStop = now.Sub(i.Started) >= minRunTime
	return member
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
