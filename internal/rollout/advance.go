package rollout

import (
	"fmt"
	"time"
)

// The parts of the time that an operator allows, after which a rollout goes on. Badness that shows
// late has to show before the ramp, which needs the time after it.
const (
	// rampFrom is when the share is raised for the first time.
	rampFrom = 0.42
	// rampWithoutEvidenceFrom applies instead while the new version has fewer answers than
	// minAnswers.
	rampWithoutEvidenceFrom = 0.5
	// rampStep is the least time between two raises, and longestRampStep the time after which the share
	// is raised with fewer than minStageAnswers.
	rampStep        = 0.085
	longestRampStep = 0.17
	// completeBy is when a rollout is completed although servers of the old version still work on
	// requests. The rest is for the write to the store.
	completeBy = 0.9
)

const (
	// minAnswers is the number of answers of the new version from which its share is raised
	// early.
	minAnswers = 30
	// minStageAnswers is that of the present stage from which the share is raised further early.
	minStageAnswers = 40
	// settleTime is how long all requests have gone to the new version before the old servers may
	// be stopped: requests that were sent before are then known to all daemons.
	settleTime = 700 * time.Millisecond
)

// Servers counts the servers of a service during a rollout.
type Servers struct {
	// New and Old accept work.
	New, Old int
	// OldRequests is the number of requests that servers of other versions work on.
	OldRequests int
}

// Next returns the state that follows, with its reason, or ok false if nothing changes. stageSince
// is when the present stage was reached.
func (s *State) Next(now, stageSince time.Time, servers Servers, v Verdict) (next State, ok bool) {
	next = *s
	elapsed := now.Sub(s.NoticedAt)
	part := func(p float64) time.Duration { return time.Duration(p * float64(s.Within)) }
	switch {
	case s.Phase != InProgress:
		return next, false
	case v.Worse == Certain:
		next.Phase, next.Reason = RolledBack, v.Reason
		return next, true
	case servers.New == 0:
		if elapsed > s.Within {
			next.Phase, next.Reason = RolledBack, "no server of the version in time"
			return next, true
		}
		return next, false
	case servers.Old == 0 && servers.OldRequests == 0:
		next.Phase, next.Reason = Completed, "no server of another version"
		return next, true
	case v.Worse == Suspected && s.Stage < lastStage: // With all requests, a bad version is soon certain.
		if elapsed > s.Within {
			next.Phase, next.Reason = RolledBack, "not shown to be good in time: "+v.Reason
			return next, true
		}
		return next, false
	case s.Stage >= lastStage:
		return s.nextAtEnd(now, stageSince, servers)
	case s.Stage == 0 && elapsed < part(rampFrom),
		s.Stage == 0 && v.Answers < minAnswers && elapsed < part(rampWithoutEvidenceFrom),
		s.Stage > 0 && now.Sub(stageSince) < part(rampStep),
		s.Stage > 0 && v.AnswersAtStage < minStageAnswers && now.Sub(stageSince) < part(longestRampStep):
		return next, false
	}
	next.Stage++
	next.Reason = fmt.Sprintf("%d answers of the version, no worse than others", v.Answers)
	return next, true
}

// nextAtEnd completes a rollout whose new version gets all requests, once the others have ended.
func (s *State) nextAtEnd(now, stageSince time.Time, servers Servers) (next State, ok bool) {
	next = *s
	late := now.Sub(s.NoticedAt) > time.Duration(completeBy*float64(s.Within))
	if !late && (servers.OldRequests > 0 || now.Sub(stageSince) < settleTime) {
		return next, false
	}
	next.Phase = Completed
	next.Reason = fmt.Sprintf("%d requests left at servers of other versions", servers.OldRequests)
	return next, true
}
