package quarantine

import (
	"slices"
	"time"
)

const (
	// maxRequestCrashes is the number of servers that a request may crash before it is
	// refused.
	maxRequestCrashes = 3
	// minRequestSequence is the number of these crashes that must have come one after the
	// other. Servers that end at the same moment have another cause in common.
	minRequestSequence = 2
	// maxPartCrashes and minPartSequence are the same for a part of prompts. A part is at many
	// servers at a time, so that chance accuses it sooner.
	maxPartCrashes  = 5
	minPartSequence = 4
	// maxUnrelatedPartCrashes replaces maxPartCrashes if the part was at less than
	// minPartShare of the crashes between its first and its last, so that most servers end for
	// other reasons. At a quarter of the crashes, one of 400 parts has maxPartCrashes by chance
	// in one of a hundred simulations of crashes without a cause in common.
	maxUnrelatedPartCrashes = 10
	minPartShare            = 0.5
	// crashMemory is how long a crash is remembered to compute that share.
	crashMemory = time.Minute
	// minRefusedPartCrashes is the number of crashes, without those that other parts explain,
	// with which a part stays refused.
	minRefusedPartCrashes = 3
	// unconfirmedFactor times the limits above is how many runs suffice if none of the servers
	// was seen to have ended. Servers also lose single connections.
	unconfirmedFactor = 3
	// sequenceTolerance covers the delay of messages, by which the times of different
	// daemons differ.
	sequenceTolerance = 30 * time.Millisecond
)

// Refuses reports whether a request with the given suspects must not run, and which
// suspect is the reason.
//
// Parts with the same crashes are indistinguishable. A request with only some of them may run,
// because its outcome separates them.
func (e *Evidence) Refuses(now time.Time, suspects []Suspect) (Fingerprint, bool) {
	for _, s := range suspects {
		if e.refused(now, s.Fingerprint) && e.hasAllIndistinguishable(now, s.Fingerprint, suspects) {
			return s.Fingerprint, true
		}
	}
	return 0, false
}

// refused reports whether the evidence against a suspect is sufficient.
func (e *Evidence) refused(now time.Time, f Fingerprint) bool {
	r := e.records[f]
	if r == nil || r.expired(now) {
		return false
	}
	if !r.part {
		return len(r.counted) >= maxRequestCrashes && r.inTurn >= minRequestSequence
	}
	if len(r.counted) < maxPartCrashes || r.inTurn < minPartSequence {
		r.refused = false
		return false
	}
	runs := e.unexplainedRuns(r)
	if r.refused {
		r.refused = len(runs) >= minRefusedPartCrashes
	} else {
		r.refused = e.sufficient(runs)
	}
	return r.refused
}

// sufficient reports whether crashes that no other part explains suffice to refuse a part.
func (e *Evidence) sufficient(runs []Run) bool {
	if len(runs) < maxPartCrashes || len(sequence(runs)) < minPartSequence {
		return false
	}
	all := e.crashesBetween(runs[0].Ended, runs[len(runs)-1].Ended)
	return len(runs) >= maxUnrelatedPartCrashes || float64(len(runs)) >= minPartShare*float64(all)
}

// crashesBetween returns the number of crashes from first to last.
func (e *Evidence) crashesBetween(first, last time.Time) int {
	n := 0
	for _, at := range e.crashes {
		if !at.Before(first) && !at.After(last) {
			n++
		}
	}
	return n
}

// unexplainedRuns returns the runs of a part at whose servers no part of stronger evidence was.
func (e *Evidence) unexplainedRuns(r *record) []Run {
	explained := map[uint64]bool{}
	for _, o := range e.records {
		if !o.part || o == r || len(o.counted) == 0 {
			continue
		}
		if o.inTurn > r.inTurn || o.inTurn == r.inTurn && len(o.counted) > len(r.counted) {
			for _, run := range o.counted {
				explained[run.Server] = true
			}
		}
	}
	return slices.DeleteFunc(slices.Clone(r.counted), func(run Run) bool { return explained[run.Server] })
}

// hasAllIndistinguishable reports whether the suspects of a request include all parts whose
// evidence is sufficient too and comes from the same crashes.
func (e *Evidence) hasAllIndistinguishable(now time.Time, f Fingerprint, suspects []Suspect) bool {
	r := e.records[f]
	if !r.part {
		return true
	}
	for other, o := range e.records {
		if o.part && other != f && r.sameServers(o) && !slices.Contains(suspects, Suspect{other, true}) && e.refused(now, other) {
			return false
		}
	}
	return true
}

// sameServers reports whether two suspects were at the same crashes.
func (r *record) sameServers(o *record) bool {
	if len(r.counted) != len(o.counted) {
		return false
	}
	for _, run := range r.counted {
		if !slices.ContainsFunc(o.counted, func(x Run) bool { return x.Server == run.Server }) {
			return false
		}
	}
	return true
}

// sequence returns, of runs in the order in which they ended, a longest sequence in which each
// began after the one before had crashed its server.
func sequence(runs []Run) []Run {
	var inTurn []Run
	for _, run := range runs {
		if len(inTurn) > 0 {
			previous := inTurn[len(inTurn)-1].Ended
			if run.Began.Before(previous.Add(-sequenceTolerance)) || run.Ended.Before(previous.Add(sequenceTolerance)) {
				continue
			}
		}
		inTurn = append(inTurn, run)
	}
	return inTurn
}
