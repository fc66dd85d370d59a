package bench

import (
	"cmp"
	"slices"
)

// boundSeconds is the step of the lower bound.
const boundSeconds = 300

// lowerBound is the least cost of serving the demand of a trace with knowledge of
// the whole day, at the same targets. It is the exact optimum of a problem that is
// easier than the one that a policy has, so that no policy can be cheaper:
//
//   - work of the urgent and the normal rank runs in the 5 minutes in which it
//     arrives, batch work within its target;
//   - reclaimable instances cost their present price and are limited by the same
//     capacities, and the place that the policy lost is lost for as long;
//   - the models share all instances, and an instance is paid for exactly the part
//     of each 5 minutes that it is used;
//   - start delays and loads are allowed for by starting early enough, which needs
//     the knowledge of the future, and the time that instances are paid for without
//     serving is left out. So are refused starts, partial reclaims and the capacity
//     that has to outlast a loss;
//   - 5 in 100 of the work may miss the target and run at the lowest price of the day.
//
// The problem is a transport problem: each pair of step and offer is a slot, and
// batch work may use the slots of its window. The sets of slots that can be filled
// form a polymatroid, for which taking the cheapest slots first is optimal. The limit
// on late work is relaxed by a fine on each token of it, less the fine on all that is
// allowed. By weak duality any fine gives a lower bound; the best of a few is taken.
func lowerBound(t *dayTrace, lostPlace int) (least float64) {
	const steps = (daySeconds + drainSeconds) / boundSeconds
	window := int(placementDeadlines[rankBatch]) / boundSeconds
	firm, batch := make([]float64, steps), make([]float64, steps)
	for _, ranks := range t.demand {
		for r, series := range ranks {
			for s, work := range series {
				if r == rankBatch {
					batch[s/boundSeconds] += work
				} else {
					firm[s/boundSeconds] += work
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
		fine := (highest - lowest) * float64(try) / tries
		late := slices.Clone(slots)
		for step := range steps {
			late = append(late, slot{step, unlimited, lowest + fine})
		}
		relaxed, _, _ := transport(firm, batch, window, late)
		least = max(least, relaxed-fine*maxMissed*work)
	}
	return min(least, cost)
}

const (
	// maxMissed is the share of the work that may miss its target.
	maxMissed = 0.05
	// unlimited is more work than there is in a day.
	unlimited = 1e18
)

// transport returns the least cost of running the firm work of each step in its step
// and the batch work within the window, with the lowest price there is and the
// highest one paid.
func transport(firm, batch []float64, window int, slots []slot) (cost, lowest, highest float64) {
	slots, firm = slices.Clone(slots), slices.Clone(firm)
	slices.SortStableFunc(slots, func(a, b slot) int { return cmp.Compare(a.price, b.price) })
	ranged := newRanged(batch, window)
	for _, slot := range slots {
		used := min(slot.work, firm[slot.step])
		firm[slot.step] -= used
		if free := slot.work - used; free > 0 {
			used += ranged.take(slot.step, free)
		}
		cost += used * slot.price
		if used > 0 {
			highest = slot.price
		}
	}
	return cost, slots[0].price, highest
}

// slot is the work that one offer can do in one step, at a price per token.
type slot struct {
	step        int
	work, price float64
}

func (t *dayTrace) slots(steps, lostPlace int) []slot {
	var slots []slot
	for step := range steps {
		for o := range offerCount {
			place, class := o/len(placementClasses), o%len(placementClasses)
			unit := placementClasses[class].TokensPerSecond
			for m := step * boundSeconds / 60; m < (step+1)*boundSeconds/60; m++ {
				second := m * 60
				if place == lostPlace && second >= t.loss+noticeSeconds && second+60 <= t.loss+lossSeconds {
					continue
				}
				price := t.price[o][m] / 3600 / unit
				slots = append(slots, slot{step, float64(t.capacity[o][m]) * unit * 60, price})
			}
		}
		// On-demand instances have no limit.
		class := len(placementClasses) - 1
		slots = append(slots, slot{step, unlimited, t.onDemand[class] / 3600 / placementClasses[class].TokensPerSecond})
	}
	return slots
}

// ranged tells how much more batch work can run in a step, given what was taken in
// all steps so far.
type ranged struct {
	arrived, taken []float64 // By step; arrived is summed up to and with the step.
	// full marks the steps that can take no more. They stay so.
	full   []bool
	window int
}

func newRanged(batch []float64, window int) *ranged {
	r := &ranged{arrived: make([]float64, len(batch)), taken: make([]float64, len(batch)), full: make([]bool, len(batch)), window: window}
	sum := 0.0
	for i, b := range batch {
		sum += b
		r.arrived[i] = sum
	}
	return r
}

// take fills a step with up to the given work. By Hall's theorem the work fits when,
// for each range of steps around it, what is taken there is at most what arrived
// with a window that meets the range.
func (r *ranged) take(step int, work float64) float64 {
	if r.full[step] {
		return 0
	}
	left := 0.0
	free := work
	for from := step; from >= 0; from-- {
		left += r.taken[from]
		sum := left
		before := 0.0
		if i := from - r.window - 1; i >= 0 {
			before = r.arrived[i]
		}
		for to := step; to < len(r.taken); to++ {
			if to > step {
				sum += r.taken[to]
			}
			free = min(free, r.arrived[to]-before-sum)
		}
		if free <= 0 {
			r.full[step] = true
			return 0
		}
	}
	r.taken[step] += free
	return free
}
