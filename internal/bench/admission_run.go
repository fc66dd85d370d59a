package bench

import (
	"math/rand/v2"
	"slices"
	"time"

	"apricotbridge/internal/admission"
)

// admissionRun runs one scenario under one policy.
type admissionRun struct {
	seed         uint64
	length       time.Duration
	engineCount  int
	engineConfig BatchEngineConfig
	// policy builds the admission queue of one daemon.
	policy      func(daemon int) admissionQueue
	daemonCount int
	arrivals    []arrival
	// exchanges reports whether daemons exchange usage at a time; nil means never.
	exchanges func(at time.Duration) bool
	preempt   bool
	// warmUp is the time at the start that totals leave out.
	warmUp time.Duration

	timeline         timeline
	engines          []*BatchEngine
	daemons          []*admissionDaemon
	random           *rand.Rand
	records          map[string]*record
	recordsByArrival []*record
	totals           totals
}

// admissionDaemon is one daemon of a run.
type admissionDaemon struct {
	index       int
	queue       admissionQueue
	reports     []usageReport
	reportIndex map[admission.PeerUsage]int
	running     []*record
}

// usageReport is the usage reported by a peer and when the peer measured it.
type usageReport struct {
	usage admission.PeerUsage
	made  time.Duration
}

// record is the course of one request.
type record struct {
	arrival  *arrival
	daemon   *admissionDaemon
	engine   *BatchEngine
	sequence *Sequence
	queued   bool
	dropped  bool
	started  bool
	finished bool
	// queueWait and firstToken are times since the arrival.
	queueWait     time.Duration
	firstToken    time.Duration
	betweenTokens time.Duration
	retryAfter    time.Duration
	// generatedBefore is the number of tokens from earlier, preempted attempts.
	generatedBefore int
}

// totals are the counts of a run.
type totals struct {
	// unusedTime is the time with both a free slot and a waiting request.
	unusedTime time.Duration
	// Weighted tokens of work after the warm-up, by rank and by organisation.
	byRank         map[string]float64
	byOrganisation map[string]float64
	tokens         float64
	recomputed     int
	preemptions    int
	occupiedTime   time.Duration
	endedAttempts  int
	emptyDecisions int // times that Next returned nothing although a request waited
}

var epoch = time.Unix(0, 0).UTC()

func (r *admissionRun) now() time.Time { return epoch.Add(r.timeline.now) }

// run simulates the scenario.
func (r *admissionRun) run() *totals {
	r.random = rand.New(rand.NewPCG(r.seed, 0x72756e))
	r.records = make(map[string]*record, len(r.arrivals))
	r.totals = totals{byRank: map[string]float64{}, byOrganisation: map[string]float64{}}
	r.daemonCount = max(1, r.daemonCount)
	for range r.engineCount {
		r.engines = append(r.engines, &BatchEngine{Config: r.engineConfig})
	}
	for i := range r.daemonCount {
		r.daemons = append(r.daemons, &admissionDaemon{index: i, queue: r.policy(i), reportIndex: map[admission.PeerUsage]int{}})
	}
	if len(r.arrivals) > 0 {
		r.timeline.schedule(r.arrivals[0].at, func() { r.arrive(0) })
	}
	r.every(time.Second, func() {
		if r.exchanges != nil && r.exchanges(r.timeline.now) {
			r.exchangeUsage()
		}
		for _, daemon := range r.daemons {
			r.fillFreeSlots(daemon)
		}
	})
	if r.preempt {
		r.every(50*time.Millisecond, r.preemptRequests)
	}
	r.timeline.schedule(r.warmUp, func() { r.countRunning(-1) })
	r.timeline.runUntil(r.length, r.countUnusedTime)
	r.countRunning(1)
	return &r.totals
}

func (r *admissionRun) every(interval time.Duration, run func()) {
	var tick func()
	tick = func() { run(); r.timeline.schedule(r.timeline.now+interval, tick) }
	r.timeline.schedule(interval, tick)
}

// arrive offers request i of the trace and schedules the next one.
func (r *admissionRun) arrive(i int) {
	if i+1 < len(r.arrivals) {
		r.timeline.schedule(r.arrivals[i+1].at, func() { r.arrive(i + 1) })
	}
	a := &r.arrivals[i]
	daemon := r.daemons[a.daemon]
	rec := &record{arrival: a, daemon: daemon}
	r.records[a.request.ID] = rec
	r.recordsByArrival = append(r.recordsByArrival, rec)
	d := daemon.queue.Offer(r.now(), a.request)
	rec.queued, rec.retryAfter = d.Queued, d.RetryAfter
	if d.Queued {
		// A single daemon sees all engines, one of several only some of them.
		r.fillFreeSlots(daemon)
	}
	r.collectDropped(daemon)
}

func (r *admissionRun) collectDropped(daemon *admissionDaemon) {
	for _, d := range daemon.queue.Dropped(r.now(), nil) {
		r.records[d.Request.ID].dropped = true
	}
}

// visibleEngines returns the number of engines whose load a daemon polls: all for a single
// daemon; 16 for each of several daemons, starting at a different engine.
func (r *admissionRun) visibleEngines() int {
	if r.daemonCount == 1 {
		return len(r.engines)
	}
	return min(16, len(r.engines))
}

// fillFreeSlots starts requests on the free slots that a daemon sees.
func (r *admissionRun) fillFreeSlots(daemon *admissionDaemon) {
	for daemon.queue.Len() > 0 {
		var best *BatchEngine
		for i := range r.visibleEngines() {
			e := r.engines[(i+daemon.index*5)%len(r.engines)]
			if e.Free() > 0 && (best == nil || e.Free() > best.Free()) {
				best = e
			}
		}
		if best == nil || !r.startNext(daemon, best) {
			return
		}
	}
}

// startNext starts the next request of a daemon on an engine with a free slot.
func (r *admissionRun) startNext(daemon *admissionDaemon, e *BatchEngine) bool {
	req, ok := daemon.queue.Next(r.now(), admission.Capacity{Services: []string{admissionService}})
	if !ok {
		if daemon.queue.Len() > 0 {
			r.totals.emptyDecisions++
		}
		return false
	}
	rec := r.records[req.ID]
	if !rec.started {
		rec.queueWait = r.timeline.now - rec.arrival.at
	}
	rec.started, rec.engine = true, e
	rec.sequence = &Sequence{ID: req.ID, PromptTokens: req.PromptTokens, OutputTokens: rec.arrival.outputTokens - rec.generatedBefore}
	e.Add(r.timeline.now, rec.sequence)
	daemon.running = append(daemon.running, rec)
	r.startStep(e)
	return true
}

// startStep starts the next step of an engine unless one is in progress.
func (r *admissionRun) startStep(e *BatchEngine) {
	duration, ok := e.Begin()
	if !ok {
		return
	}
	r.timeline.schedule(r.timeline.now+duration, func() {
		for _, s := range e.End(r.timeline.now, nil) {
			r.finish(r.records[s.ID])
			r.offerReleasedSlot(r.records[s.ID].daemon, e)
		}
		r.startStep(e)
	})
}

// offerReleasedSlot fills a released slot. Usually the daemon whose request ended detects
// it first; one time in four another daemon polls at that moment and takes it.
func (r *admissionRun) offerReleasedSlot(daemon *admissionDaemon, e *BatchEngine) {
	if r.daemonCount > 1 && r.random.IntN(4) == 0 {
		daemon = r.daemons[r.random.IntN(r.daemonCount)]
	}
	r.startNext(daemon, e)
	r.collectDropped(daemon)
}

func (r *admissionRun) finish(rec *record) {
	s := rec.sequence
	rec.finished = true
	if rec.generatedBefore == 0 {
		rec.firstToken = s.FirstToken - rec.arrival.at
	}
	rec.betweenTokens = s.BetweenTokens()
	r.endAttempt(rec)
	rec.daemon.queue.Done(r.now(), admission.Usage{
		ID: s.ID, PromptTokens: s.ComputedTokens, OutputTokens: s.GeneratedTokens, FirstToken: s.FirstToken - s.Started,
	})
}

// endAttempt counts the work of an attempt that finished or was preempted.
func (r *admissionRun) endAttempt(rec *record) {
	s, daemon := rec.sequence, rec.daemon
	daemon.running = slices.DeleteFunc(daemon.running, func(o *record) bool { return o == rec })
	if r.timeline.now >= r.warmUp {
		r.countWork(rec, 1)
	}
	r.totals.occupiedTime += r.timeline.now - s.Started
	r.totals.endedAttempts++
}

// countWork adds the work of the current attempt of a request; sign -1 subtracts it.
func (r *admissionRun) countWork(rec *record, sign float64) {
	s := rec.sequence
	work := sign * (float64(s.ComputedTokens)*admission.DefaultPromptWeight + float64(s.GeneratedTokens))
	r.totals.byRank[rec.arrival.request.Rank] += work
	r.totals.byOrganisation[rec.arrival.request.Organisation] += work
	r.totals.tokens += work
}

// countRunning counts the running requests at the start or end of the measured time.
func (r *admissionRun) countRunning(sign float64) {
	for _, daemon := range r.daemons {
		for _, rec := range daemon.running {
			r.countWork(rec, sign)
		}
	}
}

// preemptRequests stops the running requests that admission.Queue chooses for preemption.
func (r *admissionRun) preemptRequests() {
	for _, daemon := range r.daemons {
		q, ok := daemon.queue.(*admission.Queue)
		if !ok {
			continue
		}
		for range daemon.running {
			running := make([]admission.Running, 0, len(daemon.running))
			for _, rec := range daemon.running {
				s := rec.sequence
				running = append(running, admission.Running{ID: s.ID, Recompute: s.ComputedTokens + s.GeneratedTokens})
			}
			victim, ok := q.Preempt(r.now(), running)
			if !ok {
				break
			}
			r.preemptRequest(q, r.records[victim.ID])
		}
	}
}

func (r *admissionRun) preemptRequest(q *admission.Queue, rec *record) {
	s := rec.sequence
	if rec.generatedBefore == 0 && s.GeneratedTokens > 0 {
		rec.firstToken = s.FirstToken - rec.arrival.at
	}
	rec.generatedBefore += s.GeneratedTokens
	r.totals.recomputed += s.ComputedTokens + s.GeneratedTokens
	r.totals.preemptions++
	rec.engine.Remove(s)
	r.endAttempt(rec)
	q.Return(r.now(), admission.Usage{ID: s.ID, PromptTokens: s.ComputedTokens, OutputTokens: s.GeneratedTokens})
	r.startNext(rec.daemon, rec.engine)
}

// exchangeUsage sends the own and the received usage reports of each daemon to two peers.
func (r *admissionRun) exchangeUsage() {
	const delay = 12 * time.Millisecond // one way between regions
	for _, daemon := range r.daemons {
		q := daemon.queue.(*admission.Queue)
		for _, u := range q.AppendUsage(r.now(), nil) {
			daemon.mergeReport(u, r.timeline.now)
		}
		reports := slices.Clone(daemon.reports)
		for _, hop := range []int{1, 3} {
			peer := r.daemons[(daemon.index+hop)%r.daemonCount]
			r.timeline.schedule(r.timeline.now+delay, func() {
				updates := make([]admission.PeerUsage, 0, len(reports))
				for _, report := range reports {
					peer.mergeReport(report.usage, report.made)
					report.usage.Age = r.timeline.now - report.made
					updates = append(updates, report.usage)
				}
				peer.queue.(*admission.Queue).MergeUsage(r.now(), updates)
			})
		}
	}
}

// mergeReport keeps the newest report of each counter.
func (d *admissionDaemon) mergeReport(u admission.PeerUsage, made time.Duration) {
	key := admission.PeerUsage{Daemon: u.Daemon, Organisation: u.Organisation, Rank: u.Rank, Service: u.Service}
	i, ok := d.reportIndex[key]
	if !ok {
		d.reportIndex[key] = len(d.reports)
		d.reports = append(d.reports, usageReport{usage: u, made: made})
	} else if u.Sequence > d.reports[i].usage.Sequence {
		d.reports[i] = usageReport{usage: u, made: made}
	}
}

// countUnusedTime adds the time in which a single daemon has both a free slot and a waiting
// request.
func (r *admissionRun) countUnusedTime(span time.Duration) {
	if r.daemonCount > 1 || r.daemons[0].queue.Len() == 0 {
		return
	}
	if slices.ContainsFunc(r.engines, func(e *BatchEngine) bool { return e.Free() > 0 }) {
		r.totals.unusedTime += span
	}
}
