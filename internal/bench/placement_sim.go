package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"apricotbridge/internal/placement"
)

const (
	// planSeconds is the time between two plans.
	planSeconds = 15
	// bootSeconds is the shortest time from a start to a running instance without
	// weights; bootSpread is added at random.
	bootSeconds, bootSpread = 90, 30
	// The weight store sends 40 GB/s, and an instance takes 2 GB/s.
	storeBytesPerSecond = 40e9
	loadBytesPerSecond  = 2e9
	// firstTokenSeconds is the time to the first token without waiting.
	firstTokenSeconds = 0.4
	// lossWindow is the time after the notice of the lost data centre in which urgent
	// work is measured on its own. It is about the time until replacements serve.
	lossWindow = 300
	// reclaimMemory is how far back the reclaims in the input go.
	reclaimMemory = 3 * time.Hour
	// replaceRate is the rate at which instances are reclaimed or fail without a
	// wave: 280 of 920 on an ordinary day.
	replaceRate = 280.0 / 920 / daySeconds
)

// placementPolicy turns an input into orders.
type placementPolicy struct {
	name string
	plan func(now time.Time, in placement.Input) []placement.Order
	// onDemand makes each start an on-demand one.
	onDemand bool
}

// machine is an instance of the simulation.
type machine struct {
	placement.Instance
	offer, service int
	unit           float64
	boot, loaded   int // Seconds at which it boots and at which its load ends.
	left, gone     int // Seconds at which it gets no work and at which it ends.
	dies           int // Second at which it is reclaimed without a wave.
}

// lump is work that arrived in one second and has not run.
type lump struct {
	second int
	work   float64
}

// daySim runs one policy through a trace.
type daySim struct {
	trace    *dayTrace
	policy   placementPolicy
	rng      *rand.Rand
	machines []*machine
	next     int
	queues   [][rankCount][]lump
	reclaims []placement.Reclaim
	refusals []placement.Refusal
	waves    []wave
	capacity []float64 // Serving capacity by service.
	blocked  []int     // Second until which each place refuses, by place.
	lostAt   int
	tokens   map[string]bool
	result   dayResult
}

// dayResult is what a policy achieved.
type dayResult struct {
	cost float64
	// undone is the work that was refused or unfinished, in tokens.
	undone            float64
	inTime, all       [rankCount]float64
	lossTime, lossAll float64
	starts, refused   int
	onDemandHours     float64
	lostPlace         int
	lostShare         float64
	hours             float64
}

var traceStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func traceTime(second int) time.Time { return traceStart.Add(time.Duration(second) * time.Second) }

// runDay runs a policy until all work is done.
func runDay(t *dayTrace, policy placementPolicy, seed uint64) dayResult {
	s := &daySim{
		trace: t, policy: policy, rng: rand.New(rand.NewPCG(seed, 5)), waves: t.waves, lostAt: -1,
		queues: make([][rankCount][]lump, len(placementServices)), blocked: make([]int, len(placementPlaces)),
		tokens: map[string]bool{}, capacity: make([]float64, len(placementServices)),
	}
	for second := -warmSeconds; second < daySeconds+drainSeconds; second++ {
		s.platform(second)
		if (second+warmSeconds)%planSeconds == 0 {
			s.carryOut(second, policy.plan(traceTime(second), s.input(second)))
		}
		if second >= 0 {
			s.serve(second)
		}
		if second >= daySeconds && s.waiting() == 0 {
			break
		}
	}
	s.result.undone += s.waiting()
	return s.result
}

func (s *daySim) waiting() float64 {
	total := 0.0
	for i := range s.queues {
		for r := range s.queues[i] {
			for _, l := range s.queues[i][r] {
				total += l.work
			}
		}
	}
	return total
}

// platform makes the changes of one second: prices, reclaims, boots and loads.
func (s *daySim) platform(second int) {
	m := minute(second)
	for _, w := range s.waves {
		if w.second == second {
			s.reclaim(second, w.place, w.share, false)
			s.blocked[w.place] = max(s.blocked[w.place], second+w.refuse)
		}
	}
	if second == s.trace.loss {
		s.lose(second)
	}
	kept := s.machines[:0]
	clear(s.capacity)
	for _, i := range s.machines {
		if i.Reclaimable && i.State != placement.Leaving && second >= i.dies {
			s.notice(second, i)
		}
		price := s.trace.onDemand[i.offer%len(placementClasses)]
		if i.Reclaimable {
			price = s.trace.price[i.offer][m]
		} else {
			s.result.onDemandHours += 1.0 / 3600
		}
		s.result.cost += price / 3600
		s.result.hours += 1.0 / 3600
		switch {
		case i.State == placement.Leaving && second >= i.gone:
			continue
		case i.State == placement.Starting && second >= i.boot:
			i.State, i.Since = placement.Idle, traceTime(second)
		case i.State == placement.Loading && second >= i.loaded:
			i.State, i.Since = placement.Serving, traceTime(second)
		}
		if i.State == placement.Serving || i.State == placement.Leaving && second < i.left {
			s.capacity[i.service] += i.unit
		}
		kept = append(kept, i)
	}
	s.machines = kept
	if second%60 == 0 {
		s.squeeze(second)
	}
}

// squeeze reclaims what is over the capacity of an offer.
func (s *daySim) squeeze(second int) {
	used := make([]int, offerCount)
	for _, i := range s.machines {
		if !i.Reclaimable || i.State == placement.Leaving {
			continue
		}
		if used[i.offer]++; used[i.offer] > s.trace.capacity[i.offer][minute(second)] {
			s.notice(second, i)
			s.reclaims = append(s.reclaims, placement.Reclaim{Place: i.Place, Class: i.Class, At: traceTime(second), Count: 1, Running: used[i.offer]})
		}
	}
}

func (s *daySim) notice(second int, i *machine) {
	i.State, i.Since = placement.Leaving, traceTime(second)
	i.left, i.gone = second+leaveSeconds, second+noticeSeconds
	if i.boot > second || i.loaded == 0 || i.loaded > second {
		i.left = second // It never served.
	}
}

// lose takes the place in which the policy has the most capacity, with its
// on-demand instances.
func (s *daySim) lose(second int) {
	byPlace, total := make([]float64, len(placementPlaces)), 0.0
	for _, i := range s.machines {
		byPlace[i.offer/len(placementClasses)] += i.unit
		total += i.unit
	}
	place := 0
	for p, c := range byPlace {
		if c > byPlace[place] {
			place = p
		}
	}
	s.lostAt, s.result.lostPlace, s.result.lostShare = second, place, byPlace[place]/max(1, total)
	s.blocked[place] = second + lossSeconds
	s.reclaim(second, place, 1, true)
}

func (s *daySim) reclaim(second, place int, share float64, everything bool) {
	var there []*machine
	for _, i := range s.machines {
		if i.offer/len(placementClasses) == place && (i.Reclaimable || everything) && i.State != placement.Leaving {
			there = append(there, i)
		}
	}
	s.rng.Shuffle(len(there), func(i, j int) { there[i], there[j] = there[j], there[i] })
	running, taken := make([]int, len(placementClasses)), make([]int, len(placementClasses))
	for n, i := range there {
		class := i.offer % len(placementClasses)
		running[class]++
		if float64(n) < share*float64(len(there)) {
			taken[class]++
			s.notice(second, i)
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

// input is what the policy sees.
func (s *daySim) input(second int) placement.Input {
	in := placement.Input{
		Fencing: 1, Ranks: placementRanks, Services: placementServices, Classes: placementClasses,
		Reclaims: s.reclaims, Refusals: s.refusals, Demand: s.demand(second),
		Weights: placement.Weights{BytesPerSecond: storeBytesPerSecond, LoadBytesPerSecond: loadBytesPerSecond},
	}
	s.refusals = nil
	for len(s.reclaims) > 0 && traceTime(second).Sub(s.reclaims[0].At) > reclaimMemory {
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
	for _, i := range s.machines {
		shown := i.Instance
		// A policy that only knows on-demand instances sees them under the kind that
		// it asked for.
		shown.Reclaimable = shown.Reclaimable || s.policy.onDemand
		in.Instances = append(in.Instances, shown)
		if i.State == placement.Loading {
			in.Weights.Loads++
		}
	}
	return in
}

// demand is the demand of the last minute. Before the first request it is that of
// the first minute.
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
			for _, l := range s.queues[i][r] {
				d.Waiting += l.work
			}
			if q := s.queues[i][r]; len(q) > 0 {
				d.OldestWait = time.Duration(second-q[0].second) * time.Second
			}
			list = append(list, d)
		}
	}
	return list
}

// carryOut does what the orders say, each one once.
func (s *daySim) carryOut(second int, orders []placement.Order) {
	byID := map[string]*machine{}
	for _, i := range s.machines {
		byID[i.ID] = i
	}
	for _, o := range orders {
		switch i := byID[o.Instance]; {
		case o.Kind == placement.Start && !s.tokens[o.Token]:
			s.start(second, o)
		case o.Kind == placement.Stop && i != nil && i.State != placement.Leaving:
			s.notice(second, i) // It drains for the same time as after a notice.
		case o.Kind == placement.Load && i != nil && (i.State == placement.Idle || i.State == placement.Serving):
			i.State, i.Since = placement.Loading, traceTime(second)
			i.Model, i.Adapter, i.Version = o.Model, o.Adapter, o.Version
			i.loaded = second + int(placementServices[i.service].WeightBytes/loadBytesPerSecond)
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
	for _, i := range s.machines {
		if i.offer == offer && i.Reclaimable && i.State != placement.Leaving {
			used++
		}
	}
	place, m := offer/len(placementClasses), minute(second)
	lost := s.lostAt >= 0 && place == s.result.lostPlace && second < s.lostAt+lossSeconds
	if lost || reclaimable && (second < s.blocked[place] || s.trace.refusing[offer][m] || used >= s.trace.capacity[offer][m]) {
		s.result.refused++
		s.refusals = append(s.refusals, placement.Refusal{
			Token: o.Token, Place: o.Place, Class: o.Class, Reclaimable: o.Reclaimable, At: traceTime(second),
		})
		return
	}
	s.tokens[o.Token] = true
	s.next++
	s.result.starts++
	s.machines = append(s.machines, &machine{
		offer: offer, service: service, unit: placementClasses[offer%len(placementClasses)].TokensPerSecond,
		boot: second + bootSeconds + s.rng.IntN(bootSpread), dies: second + int(s.rng.ExpFloat64()/replaceRate),
		Instance: placement.Instance{
			ID: fmt.Sprintf("i-%05d", s.next), Token: o.Token, Service: o.Service, Place: o.Place, Class: o.Class,
			Reclaimable: reclaimable, State: placement.Starting, Started: traceTime(second), Since: traceTime(second),
		},
	})
}

// serve runs the work of one second, the most urgent first and the oldest first
// within a rank. Work of the lower ranks is preempted, which engines do by cancel
// and resume.
func (s *daySim) serve(second int) {
	for i := range s.queues {
		left := s.capacity[i]
		for r := range s.queues[i] {
			if second < daySeconds {
				s.arrive(i, r, second)
			}
			left = s.run(i, r, second, left)
		}
	}
}

// arrive queues the work of one second. Batch work is kept by the minute.
func (s *daySim) arrive(service, rank, second int) {
	work := s.trace.demand[service][rank][second]
	s.result.all[rank] += work
	if rank == rankUrgent && s.inLoss(second) {
		s.result.lossAll += work
	}
	q := &s.queues[service][rank]
	if n := len(*q); rank == rankBatch && n > 0 && second-(*q)[n-1].second < 60 {
		(*q)[n-1].work += work
		return
	}
	*q = append(*q, lump{second, work})
}

func (s *daySim) inLoss(second int) bool {
	return second >= s.trace.loss && second < s.trace.loss+lossWindow
}

func (s *daySim) run(service, rank, second int, left float64) float64 {
	target, deadline := placementRanks[rank].FirstToken.Seconds(), placementDeadlines[rank]
	q := s.queues[service][rank]
	for len(q) > 0 {
		wait := float64(second - q[0].second)
		if rank != rankBatch && wait > deadline {
			s.result.undone += q[0].work
			q = q[1:]
			continue
		}
		if left <= 0 {
			break
		}
		done := min(left, q[0].work)
		left -= done
		if wait+firstTokenSeconds <= target {
			s.result.inTime[rank] += done
			if rank == rankUrgent && s.inLoss(q[0].second) {
				s.result.lossTime += done
			}
		}
		if q[0].work -= done; q[0].work > 0 {
			break
		}
		q = q[1:]
	}
	s.queues[service][rank] = q
	return left
}
