package bench

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"apricotbridge/internal/admission"
)

// Policies of the admission measure.
const (
	policyQueue            = "Queue"
	policyFIFO             = "FirstComeFirstServed"
	policyStrict           = "StrictPriority"
	policyPerDaemon        = "PerDaemonShares"
	policyPeersUnreachable = "QueuePeersUnreachable"
	// policySmallFirst is a lower limit for comparison, not a usable policy: small callers
	// get a more urgent rank of their own.
	policySmallFirst   = "SmallStrictlyFirst"
	policyWithoutLarge = "QueueWithoutLarge"
	policyPeersReturn  = "QueuePeersReturn"
	policyPreempt      = "QueueWithPreemption"
	admissionMaxQueued = 4000 // waiting requests at one daemon, also of the baselines
)

// queueBuilder returns a function that builds the admission.Queue of a daemon.
func queueBuilder(seed uint64) func(int) admissionQueue {
	return func(daemon int) admissionQueue {
		return &admission.Queue{
			Daemon: fmt.Sprint("daemon-", daemon), Ranks: admissionRanks,
			MaxQueued: admissionMaxQueued, Seed: seed + uint64(daemon),
		}
	}
}

func fifoBuilder(byRank bool) func(int) admissionQueue {
	return func(int) admissionQueue { return &fifo{byRank: byRank, maxQueued: admissionMaxQueued} }
}

// requestsPerSecondOf returns the throughput of the engines for requests with the usual
// prompt and the given output length: 8 slots, 14.8 ms a step, and the prompt chunks.
func requestsPerSecondOf(engines, output int) float64 {
	config := usualEngineConfig
	step := (config.StepBase + time.Duration(config.Slots)*config.StepPerSequence).Seconds()
	perRequest := step*float64(output)/float64(config.Slots) + usualPrompt/config.PrefillTokensPerSecond
	return float64(engines) / perRequest
}

// runAdmission runs the scenarios of the measure "admission" concurrently; they share no
// state.
func runAdmission(seed uint64) (Result, error) {
	scenarios := []func(uint64) []Figure{lowestRankFlood, urgentFlood, smallCallers, manyDaemons, smallFleet}
	figures := make([][]Figure, len(scenarios))
	var wait sync.WaitGroup
	for i, scenario := range scenarios {
		wait.Go(func() { figures[i] = scenario(seed) })
	}
	wait.Wait()
	return Result{Figures: slices.Concat(figures...)}, nil
}

const admissionEngines = 20

// Mean prompt and output lengths of the scenarios in tokens.
const (
	usualPrompt = 600
	usualOutput = 200
)

// floodStreams returns usual load in each rank and a flood in one of them.
func floodStreams(flooded string) []requestStream {
	capacity := requestsPerSecondOf(admissionEngines, usualOutput)
	streams := []requestStream{
		{organisation: "hotel", rank: urgentRank, perSecond: 0.15 * capacity},
		{organisation: "shop", rank: urgentRank, perSecond: 0.15 * capacity},
		{organisation: "trek", rank: normalRank, perSecond: 0.25 * capacity},
		{organisation: "press", rank: batchRank, perSecond: 0.25 * capacity},
		{organisation: "flood", rank: flooded, perSecond: 10 * capacity},
	}
	for i := range streams {
		streams[i].promptTokens, streams[i].outputTokens = usualPrompt, usualOutput
	}
	return streams
}

// selectRecords returns the records of a rank and of organisations; empty means all.
func (r *admissionRun) selectRecords(rank string, organisations ...string) []*record {
	var picked []*record
	for _, rec := range r.recordsByArrival {
		request := rec.arrival.request
		if rec.arrival.at < r.warmUp || rec.arrival.at > r.length-30*time.Second {
			continue // The last requests of the trace have no time to finish.
		}
		if (rank == "" || request.Rank == rank) && (len(organisations) == 0 || slices.Contains(organisations, request.Organisation)) {
			picked = append(picked, rec)
		}
	}
	return picked
}

// fraction returns the share of the records for which the condition holds.
func fraction(records []*record, holds func(*record) bool) float64 {
	if len(records) == 0 {
		return 0
	}
	n := 0
	for _, rec := range records {
		if holds(rec) {
			n++
		}
	}
	return float64(n) / float64(len(records))
}

// noValue marks a figure of a policy that finished no request; withPolicy removes it.
const noValue = -1

// p95 returns the 95th percentile value the finished records in seconds.
func p95(records []*record, value func(*record) time.Duration) float64 {
	var values []time.Duration
	for _, rec := range records {
		if rec.finished {
			values = append(values, value(rec))
		}
	}
	if len(values) == 0 {
		return noValue
	}
	slices.Sort(values)
	return values[(len(values)*95+99)/100-1].Seconds()
}

func served(rec *record) bool                   { return rec.finished }
func firstTokenOf(rec *record) time.Duration    { return rec.firstToken }
func queueWaitOf(rec *record) time.Duration     { return rec.queueWait }
func betweenTokensOf(rec *record) time.Duration { return rec.betweenTokens }

func withinTarget(rec *record) bool {
	return rec.finished && rec.firstToken <= admissionRanks[0].FirstToken && rec.betweenTokens <= betweenTokensTarget
}

// lowestRankFlood offers ten times the capacity of the fleet in the lowest rank.
func lowestRankFlood(seed uint64) []Figure {
	var figures []Figure
	const name = "LowestRankFlood"
	for _, p := range []struct {
		name  string
		build func(int) admissionQueue
	}{
		{policyQueue, queueBuilder(seed)},
		{policyFIFO, fifoBuilder(false)},
		{policyStrict, fifoBuilder(true)},
	} {
		r := &admissionRun{
			seed: seed, length: 4 * time.Minute, warmUp: 20 * time.Second, engineCount: admissionEngines, engineConfig: usualEngineConfig,
			policy: p.build, arrivals: drawArrivals(seed, 4*time.Minute, floodStreams(batchRank)),
		}
		totals := r.run()
		urgent := r.selectRecords(urgentRank)
		group := []Figure{
			{Name: name + "UrgentWithinTarget", Value: fraction(urgent, withinTarget), Bound: newBound(0.99), Side: AtLeast},
			{Name: name + "UrgentFirstTokenP95", Value: p95(urgent, firstTokenOf), Unit: "s", Bound: newBound(1.9), Side: AtMost},
			{Name: name + "UrgentBetweenTokensP95", Value: p95(urgent, betweenTokensOf), Unit: "s", Bound: newBound(0.029), Side: AtMost},
			{Name: name + "UrgentQueueWaitP95", Value: p95(urgent, queueWaitOf), Unit: "s"},
			{Name: name + "UnusedTime", Value: totals.unusedTime.Seconds(), Unit: "s", Bound: newBound(0), Side: AtMost},
			{Name: name + "NormalServed", Value: fraction(r.selectRecords(normalRank), served)},
			{Name: name + "TokensPerSecond", Value: totals.tokens / (r.length - r.warmUp).Seconds(), Unit: "tokens/s"},
		}
		figures = append(figures, withPolicy(p.name, group)...)
	}
	return figures
}

// withPolicy sets the policy of the figures. It keeps the bounds for admission.Queue and
// its variants only, and removes figures without a value; if nothing finished, the figures
// on the share of served requests break their bounds instead.
func withPolicy(policy string, figures []Figure) []Figure {
	for i := range figures {
		figures[i].Policy = policy
		if policy != policyQueue && policy != policyPreempt && policy != policyPeersReturn {
			figures[i].Bound, figures[i].Side = nil, ""
		}
	}
	return slices.DeleteFunc(figures, func(f Figure) bool { return f.Value == noValue })
}

// urgentFlood offers ten times the capacity of the fleet in the urgent rank.
func urgentFlood(seed uint64) []Figure {
	var figures []Figure
	const name = "UrgentFlood"
	for _, p := range []struct {
		name  string
		build func(int) admissionQueue
	}{
		{policyQueue, queueBuilder(seed)},
		{policyFIFO, fifoBuilder(false)},
		{policyStrict, fifoBuilder(true)},
	} {
		r := &admissionRun{
			seed: seed, length: 4 * time.Minute, warmUp: 20 * time.Second, engineCount: admissionEngines, engineConfig: usualEngineConfig,
			policy: p.build, arrivals: drawArrivals(seed, 4*time.Minute, floodStreams(urgentRank)),
		}
		totals := r.run()
		urgent := r.selectRecords(urgentRank)
		finished := slices.DeleteFunc(slices.Clone(urgent), func(rec *record) bool { return !rec.finished })
		group := []Figure{
			{Name: name + "NormalShare", Value: totals.byRank[normalRank] / totals.tokens, Bound: newBound(0.1), Side: AtLeast},
			{Name: name + "BatchShare", Value: totals.byRank[batchRank] / totals.tokens, Bound: newBound(0.1), Side: AtLeast},
			{Name: name + "UrgentShare", Value: totals.byRank[urgentRank] / totals.tokens},
			{Name: name + "UnusedTime", Value: totals.unusedTime.Seconds(), Unit: "s", Bound: newBound(0), Side: AtMost},
			{Name: name + "SmallUrgentServed", Value: fraction(r.selectRecords(urgentRank, "hotel", "shop"), served)},
			{Name: name + "SmallUrgentWithinTarget", Value: fraction(r.selectRecords(urgentRank, "hotel", "shop"), withinTarget)},
			{Name: name + "FinishedWithinTarget", Value: fraction(finished, withinTarget)},
			{Name: name + "DroppedAfterQueued", Value: fraction(urgent, func(rec *record) bool { return rec.dropped })},
			{Name: name + "TokensPerSecond", Value: totals.tokens / (r.length - r.warmUp).Seconds(), Unit: "tokens/s"},
		}
		figures = append(figures, withPolicy(p.name, group)...)
	}
	return figures
}

// smallCallers lets two large organisations flood the fleet beside eight small ones, which
// together need capacityShare of its capacity.
func smallCallers(seed uint64) []Figure {
	var figures []Figure
	for _, load := range []struct {
		name          string
		capacityShare float64
		// burst is the number of requests that a small caller sends at once.
		burst int
	}{{"SmallCallers", 0.3, 1}, {"BurstySmallCallers", 0.6, 5}} {
		capacity := requestsPerSecondOf(admissionEngines, usualOutput)
		var streams []requestStream
		var small []string
		for i := range 8 {
			small = append(small, fmt.Sprint("small-", i))
			streams = append(streams, requestStream{
				organisation: small[i], rank: normalRank, perSecond: load.capacityShare / 8 * capacity, burst: load.burst,
				promptTokens: usualPrompt, outputTokens: usualOutput,
			})
		}
		smallStreams := streams
		favoured := slices.Clone(streams)
		for i := range favoured {
			favoured[i].rank = urgentRank
		}
		for i := range 2 {
			large := requestStream{
				organisation: fmt.Sprint("large-", i), rank: normalRank, perSecond: 5 * capacity, burst: 50,
				promptTokens: usualPrompt, outputTokens: usualOutput,
			}
			streams = append(streams[:len(streams):len(streams)], large)
			favoured = append(favoured, large)
		}
		var baseline *admissionRun
		strictFirstToken := 0.0 // p95 of the first token with small callers strictly first, in seconds
		for _, p := range []struct {
			name    string
			build   func(int) admissionQueue
			streams []requestStream
		}{
			{policyWithoutLarge, queueBuilder(seed), smallStreams},
			{policySmallFirst, fifoBuilder(true), favoured},
			{policyQueue, queueBuilder(seed), streams},
			{policyFIFO, fifoBuilder(false), streams},
		} {
			r := &admissionRun{
				seed: seed, length: 4 * time.Minute, warmUp: 20 * time.Second, engineCount: admissionEngines, engineConfig: usualEngineConfig,
				policy: p.build, arrivals: drawArrivals(seed, 4*time.Minute, p.streams),
			}
			totals := r.run()
			if p.name == policyWithoutLarge {
				baseline = r
			}
			records := r.selectRecords("", small...)
			slotTime := totals.occupiedTime.Seconds() / float64(totals.endedAttempts)
			first, wait := p95(records, firstTokenOf), p95(records, queueWaitOf)
			baseFirst, baseWait := p95(baseline.selectRecords("", small...), firstTokenOf), p95(baseline.selectRecords("", small...), queueWaitOf)
			group := []Figure{
				{Name: load.name + "Served", Value: fraction(records, served), Bound: newBound(0.99), Side: AtLeast},
				{Name: load.name + "FirstTokenP95", Value: first, Unit: "s"},
				{Name: load.name + "FirstTokenP95Ratio", Value: first / baseFirst, Bound: newBound(2), Side: AtMost},
				{Name: load.name + "QueueWaitP95", Value: wait, Unit: "s"},
				{Name: load.name + "AddedQueueWaitP95", Value: (wait - baseWait) / slotTime, Unit: "service slots", Bound: newBound(1), Side: AtMost},
				{Name: load.name + "UnusedTime", Value: totals.unusedTime.Seconds(), Unit: "s", Bound: newBound(0), Side: AtMost},
			}
			if p.name == policySmallFirst {
				strictFirstToken = first
			}
			if load.burst > 1 {
				// Large callers fill the idle slots that a burst would use, so the bound of twice
				// the first-token time applies to single requests only: even policySmallFirst takes
				// 2.7 to 4.1 times as long over nine seeds.
				group[2].Bound = nil
			}
			if p.name == policyQueue {
				group = append(group, Figure{
					Name: load.name + "FirstTokenP95OverStrictlyFirst", Value: first / strictFirstToken, Bound: newBound(2), Side: AtMost,
				})
			}
			figures = append(figures, withPolicy(p.name, group)...)
		}
	}
	return figures
}

// jain is Jain's index of fairness.
func jain(values []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range values {
		sum += v
		squares += v * v
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(values)) * squares)
}

// manyDaemons gives eight equal organisations waiting work at all times, each at its
// own set of the eight daemons.
func manyDaemons(seed uint64) []Figure {
	capacity := requestsPerSecondOf(admissionEngines, usualOutput)
	daemonSets := [][]int{
		{0, 1, 2, 3, 4, 5, 6, 7},
		{0, 1, 2, 3, 4, 5, 6, 7},
		{0, 1, 2, 3, 4, 5},
		{2, 3, 4, 5, 6, 7},
		{0, 2, 4, 6},
		{1, 3, 5},
		{6, 7},
		{0, 1},
	}
	var streams []requestStream
	for i, daemons := range daemonSets {
		streams = append(streams, requestStream{
			organisation: fmt.Sprint("equal-", i), rank: batchRank, perSecond: capacity, promptTokens: usualPrompt, outputTokens: usualOutput,
			daemons: daemons,
		})
	}
	var figures []Figure
	for _, p := range []struct {
		name      string
		warmUp    time.Duration
		exchanges func(time.Duration) bool
	}{
		{policyQueue, 30 * time.Second, func(time.Duration) bool { return true }},
		{policyPeersUnreachable, 30 * time.Second, func(at time.Duration) bool { return at < 20*time.Second }},
		// Shares are measured from 20 s after the daemons exchange usage again.
		{policyPeersReturn, 110 * time.Second, func(at time.Duration) bool { return at < 20*time.Second || at >= 90*time.Second }},
		{policyPerDaemon, 30 * time.Second, nil},
	} {
		r := &admissionRun{
			seed: seed, length: 3 * time.Minute, warmUp: p.warmUp, engineCount: admissionEngines, engineConfig: usualEngineConfig,
			policy: queueBuilder(seed), daemonCount: 8, arrivals: drawArrivals(seed, 3*time.Minute, streams), exchanges: p.exchanges,
		}
		totals := r.run()
		var shares []float64
		for _, s := range streams {
			shares = append(shares, totals.byOrganisation[s.organisation]/totals.tokens)
		}
		group := []Figure{
			{Name: "ManyDaemonsJain", Value: jain(shares), Bound: newBound(0.95), Side: AtLeast},
			{Name: "ManyDaemonsSmallestShare", Value: slices.Min(shares)},
			{Name: "ManyDaemonsLargestShare", Value: slices.Max(shares)},
			{Name: "ManyDaemonsSlotRefusedWithWork", Value: float64(totals.emptyDecisions), Bound: newBound(0), Side: AtMost},
			{Name: "ManyDaemonsTokensPerSecond", Value: totals.tokens / (r.length - r.warmUp).Seconds(), Unit: "tokens/s"},
		}
		figures = append(figures, withPolicy(p.name, group)...)
	}
	return figures
}

// smallFleet has one engine with long requests of the lowest rank, where an urgent request
// can't wait for a slot.
func smallFleet(seed uint64) []Figure {
	const longOutput = 2000
	streams := []requestStream{
		{organisation: "hotel", rank: urgentRank, perSecond: 0.1, promptTokens: usualPrompt, outputTokens: 100},
		{organisation: "press", rank: batchRank, perSecond: 10 * requestsPerSecondOf(1, longOutput), promptTokens: usualPrompt, outputTokens: longOutput},
	}
	var figures []Figure
	for _, p := range []struct {
		name    string
		build   func(int) admissionQueue
		preempt bool
	}{
		{policyPreempt, queueBuilder(seed), true},
		{"QueueWithoutPreemption", queueBuilder(seed), false},
		{policyStrict, fifoBuilder(true), false},
	} {
		r := &admissionRun{
			seed: seed, length: 20 * time.Minute, warmUp: time.Minute, engineCount: 1, engineConfig: usualEngineConfig,
			policy: p.build, arrivals: drawArrivals(seed, 20*time.Minute, streams), preempt: p.preempt,
		}
		totals := r.run()
		urgent := r.selectRecords(urgentRank)
		group := []Figure{
			{Name: "SmallFleetUrgentWithinTarget", Value: fraction(urgent, withinTarget), Bound: newBound(0.99), Side: AtLeast},
			{Name: "SmallFleetUrgentFirstTokenP95", Value: p95(urgent, firstTokenOf), Unit: "s", Bound: newBound(1.9), Side: AtMost},
			{Name: "SmallFleetPreemptions", Value: float64(totals.preemptions)},
			{Name: "SmallFleetRecomputed", Value: float64(totals.recomputed), Unit: "tokens"},
			{Name: "SmallFleetTokensPerSecond", Value: totals.tokens / (r.length - r.warmUp).Seconds(), Unit: "tokens/s"},
		}
		figures = append(figures, withPolicy(p.name, group)...)
	}
	return figures
}
