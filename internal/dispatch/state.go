package dispatch

import (
	"time"

	"apricotbridge/internal/admission"
	"apricotbridge/internal/message"
	"apricotbridge/internal/quarantine"
	"apricotbridge/internal/routing"
)

// Configure applies new ranks, organisations and quarantine limits.
func (d *Dispatcher) Configure(ranks []admission.Rank, organisations []admission.Organisation, limits quarantine.Options) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Queue.Configure(ranks, organisations)
	d.Quarantine.Configure(limits)
}

func (d *Dispatcher) hasServer(call *routing.Call) bool {
	return d.Router.CountAccepting(d.table, call) > 0
}

// RequireVersion limits the further attempts of a request to servers of a software version.
func (d *Dispatcher) RequireVersion(id, version string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w := d.works[id]; w != nil {
		w.Call.Version = &version
	}
}

// Report records a server's load as of the given time.
func (d *Dispatcher) Report(now, at time.Time, server string, incarnation int64, load routing.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Router.Report(at, server, incarnation, load)
	d.grantFreeSlots(now)
}

// OwnLoads returns the load that this daemon puts on the servers.
func (d *Dispatcher) OwnLoads() []routing.ServerLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Router.OwnLoads()
}

// RunningRequests returns how many requests of all daemons each server has.
func (d *Dispatcher) RunningRequests(now time.Time) map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Router.RunningRequests(now)
}

// SetPeerLoads replaces the load that another daemon puts on the servers.
func (d *Dispatcher) SetPeerLoads(now time.Time, daemon string, loads []routing.ServerLoad) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Router.SetPeerLoads(now, daemon, loads)
	d.grantFreeSlots(now)
}

// SetPlaceLoads replaces the load that the daemons of another place put on the servers.
func (d *Dispatcher) SetPlaceLoads(at time.Time, place string, loads []routing.ServerLoad) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Router.SetPlaceLoads(at, place, loads)
}

// LoadsInPlace returns the load on the servers from this daemon and its peers.
func (d *Dispatcher) LoadsInPlace(now time.Time) []routing.ServerLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Router.LoadsInPlace(now)
}

// RecordPeerPrompt records a prompt that another daemon sent to a server.
func (d *Dispatcher) RecordPeerPrompt(server string, parts []routing.Part, expected int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Router.RecordPeerPrompt(server, parts, expected)
}

// CacheEvent records a hint about a server's cache.
func (d *Dispatcher) CacheEvent(now time.Time, e routing.CacheEvent) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Router.CacheEvent(now, e)
}

// StopRequestsAt stops the running requests at a leaving server that will not finish in
// the time left, so that they continue elsewhere. It returns how many it stopped.
func (d *Dispatcher) StopRequestsAt(server string, incarnation int64, left time.Duration) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	stopped := 0
	for _, w := range d.works {
		if !w.running || w.Stop == nil || w.server.ID != server || w.server.Incarnation != incarnation {
			continue
		}
		if left > 0 && w.remainingTime() < left-reclaimMargin {
			continue
		}
		w.Stop(true)
		stopped++
	}
	return stopped
}

// reclaimMargin is kept before a server's end, because the estimate of a response's
// remaining time is coarse.
const reclaimMargin = 2 * time.Second

// remainingTime estimates the time to the end of a running request.
func (w *Work) remainingTime() time.Duration {
	rate := w.server.TokensPerSecond / float64(max(1, w.server.Slots))
	if rate <= 0 || w.Request.MaxTokens <= 0 {
		return time.Hour // Unknown: assume that it does not end in time.
	}
	tokens := max(0, w.Request.MaxTokens-w.Request.Generated-w.generatedTokens)
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

// DecideResume decides how the next attempt of a request resumes its stream, and counts
// the tokens to recompute.
func (d *Dispatcher) DecideResume(in routing.ResumeInput) routing.ResumeDecision {
	d.mu.Lock()
	defer d.mu.Unlock()
	decision := d.Router.DecideResume(in, d.table)
	if decision.Method == routing.ResumeRecompute {
		d.counts.RecomputedTokens += int64(decision.RecomputedTokens)
	}
	return decision
}

// AppendUsage appends the work that this daemon served, as a report for its peers.
func (d *Dispatcher) AppendUsage(now time.Time, buf []admission.PeerUsage) []admission.PeerUsage {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Queue.AppendUsage(now, buf)
}

// MergeUsage merges the work that other daemons served.
func (d *Dispatcher) MergeUsage(now time.Time, reports []admission.PeerUsage) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Queue.MergeUsage(now, reports)
}

// Suspects returns the quarantine entries and the hash of the list.
func (d *Dispatcher) Suspects() ([]message.Suspect, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Quarantine.Entries(), d.Quarantine.Hash()
}

// SuspectsHash returns the hash of the quarantine list.
func (d *Dispatcher) SuspectsHash() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Quarantine.Hash()
}

// MergeSuspects merges the quarantine entries of other daemons. It reports whether
// the list changed.
func (d *Dispatcher) MergeSuspects(now time.Time, entries []message.Suspect) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Quarantine.Merge(now, entries)
}

// SuspectsOf returns the quarantine entries of one fingerprint.
func (d *Dispatcher) SuspectsOf(f quarantine.Fingerprint) []message.Suspect {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Quarantine.EntriesOf(f)
}

// Verdict returns how a request with the given fingerprint may run.
func (d *Dispatcher) Verdict(now time.Time, f quarantine.Fingerprint) quarantine.Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Quarantine.Verdict(now, f)
}

// Status is a snapshot for metrics and operators.
type Status struct {
	Counts Counts
	Queue  admission.Stats
	// Parked counts the dequeued requests that wait for a server.
	Parked int
	// Busyness is how busy the region's servers are with reading prompts, as of the last decision: 0 to 1.
	Busyness float64
	// RetriesLeft is the unused part of the retry budget of the service that has the least left.
	RetriesLeft float64
	// InFlight counts the running requests by server.
	InFlight map[string]int
	// Suspects and RefusedSuspects count what Evidence holds.
	Suspects, RefusedSuspects int
}

// Status returns a snapshot of the present state.
func (d *Dispatcher) Status(now time.Time) Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := Status{Counts: d.counts, Queue: d.Queue.Stats(now), Parked: len(d.parked), Busyness: d.Router.Busyness(), RetriesLeft: d.retryBudgets.leastRemaining(), InFlight: map[string]int{}}
	if d.Evidence != nil {
		s.Suspects, s.RefusedSuspects = d.Evidence.Len(), len(d.Evidence.Refused(now))
	}
	for _, w := range d.works {
		if w.running {
			s.InFlight[w.server.ID]++
		}
	}
	return s
}
