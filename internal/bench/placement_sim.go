package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"apricotbridge/internal/placement"
)

const (
	// planIntervalSeconds is the time between two plans.
	planIntervalSeconds = 15
	// Starting an instance without weights takes bootSeconds plus a random part of
	// bootSpreadSeconds.
	bootSeconds, bootSpreadSeconds = 90, 30
	// The weight store sends 40 GB/s in total, and an instance loads 2 GB/s.
	storeBytesPerSecond = 40e9
	loadBytesPerSecond  = 2e9
	// firstTokenSeconds is the time to the first token without queueing.
	firstTokenSeconds = 0.4
	// lossWindowSeconds is the time after the notice of the data centre loss in which urgent
	// work is measured separately: about the time until replacements serve.
	lossWindowSeconds = 300
	// reclaimHistory is the age up to which reclaims are passed to the policy.
	reclaimHistory = 3 * time.Hour
	// replacementsPerSecond is the rate at which an instance is reclaimed or fails outside
	// of reclaim waves: 280 of 920 instances on an ordinary day.
	replacementsPerSecond = 280.0 / 920 / daySeconds
)

// placementPolicy is a named planning function.
type placementPolicy struct {
	name string
	plan func(now time.Time, in placement.Input) []placement.Order
	// onDemand starts an on-demand instance for each start order.
	onDemand bool
}

// simInstance is a simulated instance.
type simInstance struct {
	placement.Instance
	offer, service     int
	tokensPerSecond    float64
	bootedAt, loadedAt int // Seconds at which it has booted and at which its load ends.
	drainedAt, endsAt  int // Seconds at which it gets no more work and at which it ends.
	reclaimedAt        int // Second at which it is reclaimed outside of reclaim waves.
}

// queuedWork is the unfinished work, in tokens, that arrived in one second.
type queuedWork struct {
	arrived int
	work    float64
}

// daySim runs one policy through a trace.
type daySim struct {
	trace         *dayTrace
	policy        placementPolicy
	rng           *rand.Rand
	instances     []*simInstance
	lastNumber    int
	queues        [][rankCount][]queuedWork
	reclaims      []placement.Reclaim
	refusals      []placement.Refusal
	waves         []reclaimWave
	capacity      []float64 // Tokens per second by service.
	blockedUntil  []int     // Second until which a place refuses starts, by place.
	lostAt        int       // Second of the data centre loss, or -1.
	startedTokens map[string]bool
	result        dayResult
}

// dayResult holds the cost and the service quality of a policy.
type dayResult struct {
	cost float64
	// undone is the refused or unfinished work, in tokens.
	undone                  float64
	inTime, offered         [rankCount]float64
	lossInTime, lossOffered float64
	starts, refused         int
	onDemandHours           float64
	lostPlace               int
	lostShare               float64
	hours                   float64
}

var traceStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func traceTime(second int) time.Time { return traceStart.Add(time.Duration(second) * time.Second) }

// runDay runs a policy until all work is done or the drain time ends.
func runDay(t *dayTrace, policy placementPolicy, seed uint64) dayResult {
	s := &daySim{
		trace: t, policy: policy, rng: rand.New(rand.NewPCG(seed, 5)), waves: t.waves, lostAt: -1,
		queues: make([][rankCount][]queuedWork, len(placementServices)), blockedUntil: make([]int, len(placementPlaces)),
		startedTokens: map[string]bool{}, capacity: make([]float64, len(placementServices)),
	}
	for second := -warmUpSeconds; second < daySeconds+drainSeconds; second++ {
		s.advanceInstances(second)
		if (second+warmUpSeconds)%planIntervalSeconds == 0 {
			s.applyOrders(second, policy.plan(traceTime(second), s.input(second)))
		}
		if second >= 0 {
			s.runSecond(second)
		}
		if second >= daySeconds && s.waitingWork() == 0 {
			break
		}
	}
	s.result.undone += s.waitingWork()
	return s.result
}

func (s *daySim) waitingWork() float64 {
	total := 0.0
	for i := range s.queues {
		for r := range s.queues[i] {
			for _, queued := range s.queues[i][r] {
				total += queued.work
			}
		}
	}
	return total
}

// advanceInstances applies reclaims, boots and loads of one second and adds its cost.
func (s *daySim) advanceInstances(second int) {
	m := minute(second)
	for _, w := range s.waves {
		if w.second == second {
			s.reclaimShare(second, w.place, w.share, false)
			s.blockedUntil[w.place] = max(s.blockedUntil[w.place], second+w.refuseSeconds)
		}
	}
	if second == s.trace.lossSecond {
		s.losePlace(second)
	}
	kept := s.instances[:0]
	clear(s.capacity)
	for _, instance := range s.instances {
		if instance.Reclaimable && instance.State != placement.Leaving && second >= instance.reclaimedAt {
			s.startLeaving(second, instance)
		}
		price := s.trace.onDemand[instance.offer%len(placementClasses)]
		if instance.Reclaimable {
			price = s.trace.price[instance.offer][m]
		} else {
			s.result.onDemandHours += 1.0 / 3600
		}
		s.result.cost += price / 3600
		s.result.hours += 1.0 / 3600
		switch {
		case instance.State == placement.Leaving && second >= instance.endsAt:
			continue
		case instance.State == placement.Starting && second >= instance.bootedAt:
			instance.State, instance.Since = placement.Idle, traceTime(second)
		case instance.State == placement.Loading && second >= instance.loadedAt:
			instance.State, instance.Since = placement.Serving, traceTime(second)
		}
		if instance.State == placement.Serving || instance.State == placement.Leaving && second < instance.drainedAt {
			s.capacity[instance.service] += instance.tokensPerSecond
		}
		kept = append(kept, instance)
	}
	s.instances = kept
	if second%60 == 0 {
		s.enforceCapacity(second)
	}
}

// enforceCapacity reclaims the instances of an offer beyond its present capacity.
func (s *daySim) enforceCapacity(second int) {
	used := make([]int, offerCount)
	for _, instance := range s.instances {
		if !instance.Reclaimable || instance.State == placement.Leaving {
			continue
		}
		if used[instance.offer]++; used[instance.offer] > s.trace.capacity[instance.offer][minute(second)] {
			s.startLeaving(second, instance)
			s.reclaims = append(s.reclaims, placement.Reclaim{Place: instance.Place, Class: instance.Class, At: traceTime(second), Count: 1, Running: used[instance.offer]})
		}
	}
}

func (s *daySim) startLeaving(second int, instance *simInstance) {
	instance.State, instance.Since = placement.Leaving, traceTime(second)
	instance.drainedAt, instance.endsAt = second+leaveSeconds, second+noticeSeconds
	if instance.bootedAt > second || instance.loadedAt == 0 || instance.loadedAt > second {
		instance.drainedAt = second // It never served.
	}
}

// losePlace takes down the place in which the policy has the most capacity, including its
// on-demand instances.
func (s *daySim) losePlace(second int) {
	byPlace, total := make([]float64, len(placementPlaces)), 0.0
	for _, instance := range s.instances {
		byPlace[instance.offer/len(placementClasses)] += instance.tokensPerSecond
		total += instance.tokensPerSecond
	}
	place := 0
	for p, c := range byPlace {
		if c > byPlace[place] {
			place = p
		}
	}
	s.lostAt, s.result.lostPlace, s.result.lostShare = second, place, byPlace[place]/max(1, total)
	s.blockedUntil[place] = second + lossSeconds
	s.reclaimShare(second, place, 1, true)
}

func (s *daySim) reclaimShare(second, place int, share float64, includeOnDemand bool) {
	var candidates []*simInstance
	for _, instance := range s.instances {
		if instance.offer/len(placementClasses) == place && (instance.Reclaimable || includeOnDemand) && instance.State != placement.Leaving {
			candidates = append(candidates, instance)
		}
	}
	s.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	running, taken := make([]int, len(placementClasses)), make([]int, len(placementClasses))
	for n, instance := range candidates {
		class := instance.offer % len(placementClasses)
		running[class]++
		if float64(n) < share*float64(len(candidates)) {
			taken[class]++
			s.startLeaving(second, instance)
		}
	}
	for c, n := range taken {
		if n > 0 {
			s.reclaims = append(s.reclaims, placement.Reclaim{
				Place: placementPlaces[place], Class: placementClasses[c].Name, At: traceTime(second), Count: n, Running: running[c],
			})
		}
	}
}

// input returns the input of the policy's plan.
func (s *daySim) input(second int) placement.Input {
	in := placement.Input{
		Fencing: 1, Ranks: placementRanks, Services: placementServices, Classes: placementClasses,
		Reclaims: s.reclaims, Refusals: s.refusals, Demand: s.demand(second),
		Weights: placement.WeightStore{BytesPerSecond: storeBytesPerSecond, LoadBytesPerSecond: loadBytesPerSecond},
	}
	s.refusals = nil
	for len(s.reclaims) > 0 && traceTime(second).Sub(s.reclaims[0].At) > reclaimHistory {
		s.reclaims = s.reclaims[1:]
	}
	for _, p := range placementPlaces {
		in.Places = append(in.Places, placement.Place{Name: p, OnDemand: true})
	}
	for o := range offerCount {
		class := o % len(placementClasses)
		offer := placement.Offer{
			Place: placementPlaces[o/len(placementClasses)], Class: placementClasses[class].Name,
			Reclaimable: s.trace.price[o][minute(second)], OnDemand: s.trace.onDemand[class],
		}
		if s.policy.onDemand {
			offer.Reclaimable = offer.OnDemand
		}
		in.Offers = append(in.Offers, offer)
	}
	for _, instance := range s.instances {
		shown := instance.Instance
		// An on-demand-only policy sees its instances as reclaimable, as it ordered them.
		shown.Reclaimable = shown.Reclaimable || s.policy.onDemand
		in.Instances = append(in.Instances, shown)
		if instance.State == placement.Loading {
			in.Weights.Loads++
		}
	}
	return in
}

// demand returns the mean demand of the last minute, or of the first minute until that has
// passed.
func (s *daySim) demand(second int) []placement.Demand {
	var list []placement.Demand
	for i, service := range placementServices {
		for r, rank := range placementRanks {
			d := placement.Demand{Rank: rank.Name, Service: service.Name}
			from := max(0, second-60)
			to := max(from+60, second)
			for x := from; x < min(daySeconds, to); x++ {
				d.TokensPerSecond += s.trace.demand[i][r][x] / float64(to-from)
			}
			for _, queued := range s.queues[i][r] {
				d.Waiting += queued.work
			}
			if q := s.queues[i][r]; len(q) > 0 {
				d.OldestWait = time.Duration(second-q[0].arrived) * time.Second
			}
			list = append(list, d)
		}
	}
	return list
}

// applyOrders executes the orders of a plan, each start token once.
func (s *daySim) applyOrders(second int, orders []placement.Order) {
	byID := map[string]*simInstance{}
	for _, instance := range s.instances {
		byID[instance.ID] = instance
	}
	for _, o := range orders {
		switch instance := byID[o.Instance]; {
		case o.Kind == placement.Start && !s.startedTokens[o.Token]:
			s.start(second, o)
		case o.Kind == placement.Stop && instance != nil && instance.State != placement.Leaving:
			s.startLeaving(second, instance) // It drains for as long as after a reclaim notice.
		case o.Kind == placement.Load && instance != nil && (instance.State == placement.Idle || instance.State == placement.Serving):
			instance.State, instance.Since = placement.Loading, traceTime(second)
			instance.Model, instance.Adapter, instance.Version = o.Model, o.Adapter, o.Version
			instance.loadedAt = second + int(placementServices[instance.service].WeightBytes/loadBytesPerSecond)
		}
	}
}

func (s *daySim) start(second int, o placement.Order) {
	offer, service := -1, -1
	for n := range offerCount {
		if placementPlaces[n/len(placementClasses)] == o.Place && placementClasses[n%len(placementClasses)].Name == o.Class {
			offer = n
		}
	}
	for n, v := range placementServices {
		if v.Name == o.Service {
			service = n
		}
	}
	reclaimable := o.Reclaimable && !s.policy.onDemand
	used := 0
	for _, instance := range s.instances {
		if instance.offer == offer && instance.Reclaimable && instance.State != placement.Leaving {
			used++
		}
	}
	place, m := offer/len(placementClasses), minute(second)
	lost := s.lostAt >= 0 && place == s.result.lostPlace && second < s.lostAt+lossSeconds
	if lost || reclaimable && (second < s.blockedUntil[place] || s.trace.refusing[offer][m] || used >= s.trace.capacity[offer][m]) {
		s.result.refused++
		s.refusals = append(s.refusals, placement.Refusal{
			Token: o.Token, Place: o.Place, Class: o.Class, Reclaimable: o.Reclaimable, At: traceTime(second),
		})
		return
	}
	s.startedTokens[o.Token] = true
	s.lastNumber++
	s.result.starts++
	s.instances = append(s.instances, &simInstance{
		offer: offer, service: service, tokensPerSecond: placementClasses[offer%len(placementClasses)].TokensPerSecond,
		bootedAt: second + bootSeconds + s.rng.IntN(bootSpreadSeconds), reclaimedAt: second + int(s.rng.ExpFloat64()/replacementsPerSecond),
		Instance: placement.Instance{
			ID: fmt.Sprintf("i-%05d", s.lastNumber), Token: o.Token, Service: o.Service, Place: o.Place, Class: o.Class,
			Reclaimable: reclaimable, State: placement.Starting, Started: traceTime(second), Since: traceTime(second),
		},
	})
}

// runSecond runs the work of one second by rank and then by age. Work of lower ranks is
// preempted at no cost; engines cancel and resume it.
func (s *daySim) runSecond(second int) {
	for i := range s.queues {
		capacity := s.capacity[i]
		for r := range s.queues[i] {
			if second < daySeconds {
				s.enqueue(i, r, second)
			}
			capacity = s.runQueue(i, r, second, capacity)
		}
	}
}

// enqueue queues the work of one second. Batch work is grouped by minute.
func (s *daySim) enqueue(service, rank, second int) {
	work := s.trace.demand[service][rank][second]
	s.result.offered[rank] += work
	if rank == rankUrgent && s.inLoss(second) {
		s.result.lossOffered += work
	}
	q := &s.queues[service][rank]
	if n := len(*q); rank == rankBatch && n > 0 && second-(*q)[n-1].arrived < 60 {
		(*q)[n-1].work += work
		return
	}
	*q = append(*q, queuedWork{second, work})
}

func (s *daySim) inLoss(second int) bool {
	return second >= s.trace.lossSecond && second < s.trace.lossSecond+lossWindowSeconds
}

func (s *daySim) runQueue(service, rank, second int, capacity float64) float64 {
	target, deadline := placementRanks[rank].FirstToken.Seconds(), placementDeadlines[rank]
	q := s.queues[service][rank]
	for len(q) > 0 {
		wait := float64(second - q[0].arrived)
		if rank != rankBatch && wait > deadline {
			s.result.undone += q[0].work
			q = q[1:]
			continue
		}
		if capacity <= 0 {
			break
		}
		done := min(capacity, q[0].work)
		capacity -= done
		if wait+firstTokenSeconds <= target {
			s.result.inTime[rank] += done
			if rank == rankUrgent && s.inLoss(q[0].arrived) {
				s.result.lossInTime += done
			}
		}
		if q[0].work -= done; q[0].work > 0 {
			break
		}
		q = q[1:]
	}
	s.queues[service][rank] = q
	return capacity
}
