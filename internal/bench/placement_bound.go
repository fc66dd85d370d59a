package bench

import (
	"cmp"
	"slices"
)

// boundStepSeconds is the time step of the lower bound.
const boundStepSeconds = 300

// lowerBound returns a lower bound on the cost of serving the demand of a trace with the
// same targets. It is based on the exact optimum of a problem that is easier than the one
// of a policy:
//
//   - the demand, prices and losses of the whole day are known in advance;
//   - urgent and normal work runs in the 5-minute step in which it arrives, batch work
//     within its target;
//   - reclaimable instances have the prices and capacities of the trace, and the place
//     that the policy lost is lost for the same time;
//   - the services share all instances, and an instance is paid for exactly the part of
//     each step in which it is used;
//   - instances start and load early enough, and the time in which they are paid for
//     without serving is left out; so are refused starts, partial reclaims and the spare
//     capacity for a loss;
//   - 5% of the work may miss its target and runs at the lowest price of the day.
//
// It is a transport problem: each pair of step and offer is a slot, and batch work may use
// the slots of its window. The sets of slots that can be filled form a polymatroid, for
// which taking the cheapest slots first is optimal. The limit on late work is relaxed by a
// penalty per late token, less the penalty on the allowed amount. By weak duality any
// penalty gives a lower bound; the highest of several is returned.
func lowerBound(t *dayTrace, lostPlace int) (least float64) {
	const steps = (daySeconds + drainSeconds) / boundStepSeconds
	window := int(placementDeadlines[rankBatch]) / boundStepSeconds
	firm, batch := make([]float64, steps), make([]float64, steps)
	for _, ranks := range t.demand {
		for r, series := range ranks {
			for s, work := range series {
				if r == rankBatch {
					batch[s/boundStepSeconds] += work
				} else {
					firm[s/boundStepSeconds] += work
				}
			}
		}
	}
	var work float64
	for s := range steps {
		work += firm[s] + batch[s]
	}
	slots := t.slots(steps, lostPlace)
	cost, lowest, highest := transport(firm, batch, window, slots)
	const tries = 10
	for try := range tries {
		penalty := (highest - lowest) * float64(try) / tries
		relaxedSlots := slices.Clone(slots)
		for step := range steps {
			relaxedSlots = append(relaxedSlots, slot{step, unlimited, lowest + penalty})
		}
		relaxedCost, _, _ := transport(firm, batch, window, relaxedSlots)
		least = max(least, relaxedCost-penalty*maxMissedShare*work)
	}
	return min(least, cost)
}

const (
	// maxMissedShare is the share of the work that may miss its target.
	maxMissedShare = 0.05
	// unlimited is more work than there is in a day.
	unlimited = 1e18
)

// transport returns the least cost of running the firm work of each step in that step and
// the batch work within the window, with the lowest price of all slots and the highest
// price of a used one.
func transport(firm, batch []float64, window int, slots []slot) (cost, lowest, highest float64) {
	slots, firm = slices.Clone(slots), slices.Clone(firm)
	slices.SortStableFunc(slots, func(a, b slot) int { return cmp.Compare(a.price, b.price) })
	schedule := newBatchSchedule(batch, window)
	for _, slot := range slots {
		used := min(slot.work, firm[slot.step])
		firm[slot.step] -= used
		if free := slot.work - used; free > 0 {
			used += schedule.fill(slot.step, free)
		}
		cost += used * slot.price
		if used > 0 {
			highest = slot.price
		}
	}
	return cost, slots[0].price, highest
}

// slot is the capacity of one offer in one step, in tokens, and its price per token.
type slot struct {
	step        int
	work, price float64
}

func (t *dayTrace) slots(steps, lostPlace int) []slot {
	var slots []slot
	for step := range steps {
		for o := range offerCount {
			place, class := o/len(placementClasses), o%len(placementClasses)
			tokensPerSecond := placementClasses[class].TokensPerSecond
			for marketMinute := step * boundStepSeconds / 60; marketMinute < (step+1)*boundStepSeconds/60; marketMinute++ {
				second := marketMinute * 60
				if place == lostPlace && second >= t.lossSecond+noticeSeconds && second+60 <= t.lossSecond+lossSeconds {
					continue
				}
				price := t.price[o][marketMinute] / 3600 / tokensPerSecond
				slots = append(slots, slot{step, float64(t.capacity[o][marketMinute]) * tokensPerSecond * 60, price})
			}
		}
		// On-demand instances have no limit.
		class := len(placementClasses) - 1
		slots = append(slots, slot{step, unlimited, t.onDemand[class] / 3600 / placementClasses[class].TokensPerSecond})
	}
	return slots
}

// batchSchedule tracks the batch work assigned to each step.
type batchSchedule struct {
	arrived, taken []float64 // By step; arrived is the sum up to and including the step.
	// full marks the steps that can take no more work, which is final.
	full   []bool
	window int
}

func newBatchSchedule(batch []float64, window int) *batchSchedule {
	s := &batchSchedule{arrived: make([]float64, len(batch)), taken: make([]float64, len(batch)), full: make([]bool, len(batch)), window: window}
	sum := 0.0
	for i, b := range batch {
		sum += b
		s.arrived[i] = sum
	}
	return s
}

// fill assigns up to the given work to a step and returns the assigned amount. By Hall's
// theorem work fits if, for each range of steps around the step, the work taken in the range
// is at most the work that arrived with a window that meets the range.
func (s *batchSchedule) fill(step int, work float64) float64 {
	if s.full[step] {
		return 0
	}
	takenUpToStep := 0.0
	available := work
	for from := step; from >= 0; from-- {
		takenUpToStep += s.taken[from]
		takenInRange := takenUpToStep
		arrivedBefore := 0.0
		if i := from - s.window - 1; i >= 0 {
			arrivedBefore = s.arrived[i]
		}
		for to := step; to < len(s.taken); to++ {
			if to > step {
				takenInRange += s.taken[to]
			}
			available = min(available, s.arrived[to]-arrivedBefore-takenInRange)
		}
		if available <= 0 {
			s.full[step] = true
			return 0
		}
	}
	s.taken[step] += available
	return available
}
