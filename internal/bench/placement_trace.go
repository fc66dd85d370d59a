package bench

import (
	"math"
	"math/rand/v2"
	"time"

	"apricotbridge/internal/placement"
)

// The placement measure simulates one region at the design size: three places, two classes,
// two models and a peak of about half of 2.6 million tokens/s.
const (
	daySeconds = 24 * 3600
	// warmUpSeconds is the time before the first request, in which instances start. It is
	// included in the cost.
	warmUpSeconds = 900
	// drainSeconds is the longest time after the last request.
	drainSeconds = 6 * 3600
	dayMinutes   = (daySeconds + drainSeconds) / 60
	// lossSeconds is how long a lost data centre refuses starts.
	lossSeconds = 45 * 60
	// noticeSeconds is the time from the notice of a reclaim to the end of the instance.
	// leaveSeconds is the design's limit until a leaving instance gets no new work.
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
	// placementDeadlines are the longest waits in seconds by rank. Work that waits longer is
	// refused, except for batch work, which is done late.
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

// reclaimWave reclaims a share of the reclaimable instances of a place, which then refuses
// starts for refuseSeconds.
type reclaimWave struct {
	second, place int
	share         float64
	refuseSeconds int
}

// dayTrace holds the events of a day, which are the same for all policies.
type dayTrace struct {
	// demand is in tokens, by service, rank and second.
	demand [][rankCount][]float64
	// price is the price of a reclaimable instance per hour, capacity the number of
	// reclaimable instances available, both by offer and minute.
	price    [][]float64
	capacity [][]int
	// refusing marks the minutes in which an offer refuses all starts.
	refusing [][]bool
	onDemand []float64
	waves    []reclaimWave
	// lossSecond is the second at which each policy loses the place that it uses most.
	lossSecond int
}

// newDayTrace generates the trace of one day. Scale is the number of large instances that
// the peak needs.
func newDayTrace(rng *rand.Rand, scale float64) *dayTrace {
	t := &dayTrace{lossSecond: 13*3600 + rng.IntN(3*3600)}
	peak := scale * placementClasses[1].TokensPerSecond
	// Shares of the peak by service and rank. "drafts" is mostly batch work.
	shares := [][rankCount]float64{{0.20, 0.20, 0.10}, {0.05, 0.10, 0.35}}
	for _, s := range shares {
		var ranks [rankCount][]float64
		for r := range ranks {
			ranks[r] = demandSeries(rng, s[r]*peak, r)
		}
		t.demand = append(t.demand, ranks)
	}
	t.addMarkets(rng, scale)
	for range 3 {
		t.waves = append(t.waves, reclaimWave{
			second: rng.IntN(daySeconds), place: rng.IntN(len(placementPlaces)),
			share: 0.3 + 0.3*rng.Float64(), refuseSeconds: 1200 + rng.IntN(1200),
		})
	}
	return t
}

// demandSeries generates a daily curve with slow noise, bursts and per-second noise. Batch
// work falls to 70% at night, work of the other ranks to a third.
func demandSeries(rng *rand.Rand, peak float64, rank int) []float64 {
	lowest := 0.33
	if rank == rankBatch {
		lowest = 0.7
	}
	var bursts []int
	if rank != rankBatch {
		for range 6 {
			bursts = append(bursts, rng.IntN(daySeconds))
		}
	}
	series := make([]float64, daySeconds)
	slowNoise := 0.0
	for s := range series {
		slowNoise += -slowNoise/1200 + 0.04*math.Sqrt(2.0/1200)*rng.NormFloat64()
		hour := float64(s) / 3600
		level := lowest + (1-lowest)*(0.5-0.5*math.Cos(2*math.Pi*(hour-3)/24))
		for _, b := range bursts {
			if s >= b && s < b+300 {
				level *= 1.25
			}
		}
		series[s] = max(0, peak*level*(1+slowNoise+0.05*rng.NormFloat64()))
	}
	return series
}

// addMarkets generates prices and capacities by offer. Prices of reclaimable instances
// revert to about a third of the on-demand price within hours; about half of the
// offers have a price spike of half as much again for one to three hours.
func (t *dayTrace) addMarkets(rng *rand.Rand, scale float64) {
	t.onDemand = []float64{17, 32}
	for o := range offerCount {
		place, class := o/len(placementClasses), o%len(placementClasses)
		base := t.onDemand[class] * 0.33 * (1 + 0.05*float64(place))
		price, capacity := make([]float64, dayMinutes), make([]int, dayMinutes)
		refusing := make([]bool, dayMinutes)
		// Large instances of a place cover up to four fifths of the peak and small ones a
		// fifth, so that a policy can use the cheapest place for nearly everything.
		maxCapacity := []float64{0.4 * scale, 0.8 * scale}[class]
		priceNoise, capacityNoise := 0.1*rng.NormFloat64(), 0.1*rng.NormFloat64()
		spikeStart, spikeMinutes := rng.IntN(daySeconds/60), 60+rng.IntN(120)
		refuseStart, refuseMinutes := rng.IntN(daySeconds/60), 30+rng.IntN(60)
		hasSpike := rng.Float64() < 0.5
		for m := range dayMinutes {
			priceNoise += -priceNoise/360 + 0.1*math.Sqrt(2.0/360)*rng.NormFloat64()
			if m%30 == 0 {
				// Capacity changes in steps, as other tenants start and stop instances.
				capacityNoise += -capacityNoise/8 + 0.1*math.Sqrt(2.0/8)*rng.NormFloat64()
			}
			price[m] = min(t.onDemand[class], base*math.Exp(priceNoise))
			if hasSpike && m >= spikeStart && m < spikeStart+spikeMinutes {
				price[m] *= 1.5
			}
			capacity[m] = int(maxCapacity * min(1.1, max(0.6, 1+capacityNoise)))
			refusing[m] = m >= refuseStart && m < refuseStart+refuseMinutes
		}
		t.price, t.capacity = append(t.price, price), append(t.capacity, capacity)
		t.refusing = append(t.refusing, refusing)
	}
}

// minute returns the index of a second in the series by minute.
func minute(second int) int { return min(dayMinutes-1, max(0, second/60)) }
