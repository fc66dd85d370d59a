package dispatch

import (
	"time"

	"apricotbridge/internal/message"
	"apricotbridge/internal/quarantine"
	"apricotbridge/pkg/problem"
)

// quarantineRetryAfter is the Retry-After of a request that is refused as a suspect, whose
// evidence does not change soon.
const quarantineRetryAfter = 30 * time.Second

// suspicion returns the problem with which a request is refused that may not run because
// of the servers that crashed, or nil.
func (d *Dispatcher) suspicion(now time.Time, w *Work) *problem.Problem {
	if d.Quarantine.Verdict(now, w.Fingerprint) == quarantine.Refused {
		return problem.New(problem.Poisonous, "the same request has crashed backend servers")
	}
	if d.Evidence == nil {
		return nil
	}
	suspect, refused := d.Evidence.Refuses(now, w.Suspects)
	if !refused {
		return nil
	}
	p := problem.New(problem.Quarantined, "backend servers crashed at suspect %016x", uint64(suspect))
	p.RetryAfter = quarantineRetryAfter
	return w.refusalProblem(p)
}

// ConnectionLost records that the server of a running request closed the connection before
// the end of its answer. ended means that the server refuses connections since then.
func (d *Dispatcher) ConnectionLost(now time.Time, id string, ended bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.works[id]
	if w == nil || !w.running || d.Evidence == nil {
		return
	}
	run := quarantine.Run{Server: quarantine.ServerKey(w.server.ID, w.server.Incarnation), Began: w.startedAt, Ended: now, Confirmed: ended}
	d.Evidence.Lost(now, run, w.Suspects)
}

// Survived records that the server of a running request did not crash because of it.
func (d *Dispatcher) Survived(now time.Time, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w := d.works[id]; w != nil {
		d.survived(now, w)
	}
}

func (d *Dispatcher) survived(now time.Time, w *Work) {
	if d.Evidence != nil {
		d.Evidence.Survived(now, w.Suspects)
	}
}

// TakeEvidence returns the evidence that changed here since the last call.
func (d *Dispatcher) TakeEvidence(now time.Time) []message.SuspectRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Evidence.TakeChanges(now)
}

// MergeEvidence merges evidence of other daemons and returns the suspects of which it was new.
func (d *Dispatcher) MergeEvidence(now time.Time, records []message.SuspectRecord) []quarantine.Fingerprint {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Evidence.Merge(now, records)
}

// EvidenceOn returns the evidence on suspects.
func (d *Dispatcher) EvidenceOn(now time.Time, suspects []quarantine.Fingerprint) []message.SuspectRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Evidence.Records(now, suspects)
}

// HasCrashes reports whether there is evidence against a suspect.
func (d *Dispatcher) HasCrashes(now time.Time, suspect quarantine.Fingerprint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Evidence.HasCrashes(now, suspect)
}

// RefusedSuspects returns the evidence on the suspects that are refused.
func (d *Dispatcher) RefusedSuspects(now time.Time) []message.SuspectRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Evidence.Records(now, d.Evidence.Refused(now))
}

// RefusedHash returns a hash of the suspects that are refused, or 0 if there are none.
func (d *Dispatcher) RefusedHash(now time.Time) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Evidence.RefusedHash(now)
}
