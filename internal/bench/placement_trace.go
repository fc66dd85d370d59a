package bench

import (
	"math"
	"math/rand/v2"
	"time"

	"apricotbridge/internal/placement"
)

// The placement measure runs one region of the design size: three places, two
// classes, two models and a peak of about half of 2.6 million tokens/s.
const (
	daySeconds = 24 * 3600
	// warmSeconds is paid for before the first request, so that the fleet serves.
	warmSeconds = 900
	// drainSeconds is the longest time after the last request.
	drainSeconds = 6 * 3600
	dayMinutes   = (daySeconds + drainSeconds) / 60
	// lossSeconds is how long a lost data centre refuses starts.
	lossSeconds = 45 * 60
	// noticeSeconds is the notice before a reclaim, and leaveSeconds the time until a
	// leaving instance gets no new work, which is bound P5.
	noticeSeconds = 30
	leaveSeconds  = 3
)

// Ranks of the trace.
const (
	rankUrgent = iota
	rankNormal
	rankBatch
	rankCount
)

var (
	placementRanks = []placement.Rank{
		{Name: "Urgent", FirstToken: 1900 * time.Millisecond},
		{Name: "Normal", FirstToken: 10 * time.Second},
		{Name: "Batch", FirstToken: 6 * time.Hour},
	}
	// placementDeadlines are the longest waits by rank. Work that has waited longer is
	// refused, but for batch work, which is counted as late.
	placementDeadlines = [rankCount]float64{20, 60, 6 * 3600}
	placementClasses   = []placement.Class{
		{Name: "a4", Slots: 48, TokensPerSecond: 1390},
		{Name: "a8", Slots: 96, TokensPerSecond: 2826},
	}
	placementPlaces   = []string{"p1", "p2", "p3"}
	placementServices = []placement.Service{
		{Name: "chat", Model: "chat-large", WeightBytes: 60e9},
		{Name: "drafts", Model: "drafts-large", WeightBytes: 60e9},
	}
)

// offerCount is the number of pairs of place and class. Pair n is place
// n/len(placementClasses) and class n%len(placementClasses).
var offerCount = len(placementPlaces) * len(placementClasses)

// wave is a reclaim of a share of the reclaimable instances of a place, after which
// the place refuses starts for a while.
type wave struct {
	second, place int
	share         float64
	refuse        int
}

// dayTrace is what happens in a day, whatever the policy.
type dayTrace struct {
	// demand is in tokens, by service, rank and second.
	demand [][rankCount][]float64
	// price is per reclaimable instance hour, capacity the number of reclaimable
	// instances to be had, by offer and minute.
	price    [][]float64
	capacity [][]int
	// refusing marks the minutes in which an offer refuses all starts.
	refusing [][]bool
	onDemand []float64
	waves    []wave
	// loss is the second at which each policy loses its own largest place.
	loss int
}

// newDayTrace makes the trace of one day from rng. Scale is the number of large
// instances that the peak needs.
func newDayTrace(rng *rand.Rand, scale float64) *dayTrace {
	t := &dayTrace{loss: 13*3600 + rng.IntN(3*3600)}
	peak := scale * placementClasses[1].TokensPerSecond
	// Shares of the peak by service and rank. Drafts are mostly batch work.
	shares := [][rankCount]float64{{0.20, 0.20, 0.10}, {0.05, 0.10, 0.35}}
	for _, s := range shares {
		var ranks [rankCount][]float64
		for r := range ranks {
			ranks[r] = demandOf(rng, s[r]*peak, r)
		}
		t.demand = append(t.demand, ranks)
	}
	t.markets(rng, scale)
	for range 3 {
		t.waves = append(t.waves, wave{
			second: rng.IntN(daySeconds), place: rng.IntN(len(placementPlaces)),
			share: 0.3 + 0.3*rng.Float64(), refuse: 1200 + rng.IntN(1200),
		})
	}
	return t
}

// demandOf is a daily curve with slow noise, bursts and noise from second to second.
// Batch work arrives all day; the other ranks fall to a third at night.
func demandOf(rng *rand.Rand, peak float64, rank int) []float64 {
	low := 0.33
	if rank == rankBatch {
		low = 0.7
	}
	var bursts []int
	if rank != rankBatch {
		for range 6 {
			bursts = append(bursts, rng.IntN(daySeconds))
		}
	}
	series := make([]float64, daySeconds)
	slow := 0.0
	for s := range series {
		slow += -slow/1200 + 0.04*math.Sqrt(2.0/1200)*rng.NormFloat64()
		hour := float64(s) / 3600
		level := low + (1-low)*(0.5-0.5*math.Cos(2*math.Pi*(hour-3)/24))
		for _, b := range bursts {
			if s >= b && s < b+300 {
				level *= 1.25
			}
		}
		series[s] = max(0, peak*level*(1+slow+0.05*rng.NormFloat64()))
	}
	return series
}

// markets makes prices and capacities. Prices of reclaimable instances return to a
// third of the on-demand price within hours; a few rise by half for some hours.
func (t *dayTrace) markets(rng *rand.Rand, scale float64) {
	t.onDemand = []float64{17, 32}
	for o := range offerCount {
		place, class := o/len(placementClasses), o%len(placementClasses)
		base := t.onDemand[class] * 0.33 * (1 + 0.05*float64(place))
		price, capacity := make([]float64, dayMinutes), make([]int, dayMinutes)
		refusing := make([]bool, dayMinutes)
		// Large instances hold up to four fifths of the peak in each place, small ones up
		// to a fifth, so that a policy can put nearly everything in the cheapest place.
		most := []float64{0.4 * scale, 0.8 * scale}[class]
		x, y := 0.1*rng.NormFloat64(), 0.1*rng.NormFloat64()
		spike, lasts := rng.IntN(daySeconds/60), 60+rng.IntN(120)
		squeeze, holds := rng.IntN(daySeconds/60), 30+rng.IntN(60)
		spikes := rng.Float64() < 0.5
		for m := range dayMinutes {
			x += -x/360 + 0.1*math.Sqrt(2.0/360)*rng.NormFloat64()
			if m%30 == 0 {
				// Capacity changes in steps, when other tenants come and go.
				y += -y/8 + 0.1*math.Sqrt(2.0/8)*rng.NormFloat64()
			}
			price[m] = min(t.onDemand[class], base*math.Exp(x))
			if spikes && m >= spike && m < spike+lasts {
				price[m] *= 1.5
			}
			capacity[m] = int(most * min(1.1, max(0.6, 1+y)))
			refusing[m] = m >= squeeze && m < squeeze+holds
		}
		t.price, t.capacity = append(t.price, price), append(t.capacity, capacity)
		t.refusing = append(t.refusing, refusing)
	}
}

// minute is the index of a second in the series of prices and capacities.
func minute(second int) int { return min(dayMinutes-1, max(0, second/60)) }
