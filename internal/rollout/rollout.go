// Package rollout decides how the traffic of a service moves to servers of another software version:
// which share of the requests they get, when they get more, and when they get none. It has no
// sockets, goroutines or clock.
//
// Every daemon keeps the state of each rollout in a Set. States merge in any order to the same
// result: a stage only rises, and a version that was withdrawn stays so. One daemon at a time, the
// holder of a duty, advances the stage; any daemon withdraws a version that the evidence shows to be
// bad. See docs/design/rollouts.md.
package rollout

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Order is an operator's request to move the traffic of a service to servers of a version.
type Order struct {
	Service, Version string
	// Within is the time in which the rollout has to be completed.
	Within time.Duration
	// Era and Revision are those of the order's entry in the store. They identify the order.
	Era, Revision int64
}

// isNewer reports whether an order was written after another one for its service.
func (o Order) isNewer(than Order) bool {
	return o.Era > than.Era || o.Era == than.Era && o.Revision > than.Revision
}

// Phase is how far a rollout has come.
type Phase string

// Phases. The last two are final.
const (
	InProgress Phase = "InProgress"
	Completed  Phase = "Completed"
	RolledBack Phase = "RolledBack"
)

// State is the state of a rollout.
type State struct {
	Order
	// NoticedAt is when a daemon first read the order.
	NoticedAt time.Time
	// Stage counts how often the share of the new version was raised.
	Stage int
	Phase Phase
	// Reason says why the rollout has come to its phase or stage.
	Reason string
}

// canaryShare times the bound on the exposure is the first share of a new version. The rest of the
// bound is for what arrives until the evidence of a later stage is known everywhere.
const canaryShare = 0.5

// rampShares are the shares of the later stages.
var rampShares = [...]float64{0.1, 0.3, 1}

// lastStage is the stage at which the new version gets all requests.
const lastStage = len(rampShares)

// Share returns the share of the requests that the new version gets. exposure is the largest share
// of all requests that a bad version may get.
func (s *State) Share(exposure float64) float64 {
	switch {
	case s.Phase == RolledBack:
		return 0
	case s.Phase == Completed || s.Stage >= lastStage:
		return 1
	case s.Stage <= 0:
		return canaryShare * exposure
	}
	return rampShares[s.Stage-1]
}

// Set holds the latest rollout of each service. It is not safe for concurrent use.
type Set struct {
	states map[string]State
}

// Of returns the rollout of a service.
func (s *Set) Of(service string) (State, bool) {
	st, ok := s.states[service]
	return st, ok
}

// States returns all rollouts in order of their services.
func (s *Set) States() []State {
	list := make([]State, 0, len(s.states))
	for _, service := range slices.Sorted(maps.Keys(s.states)) {
		list = append(list, s.states[service])
	}
	return list
}

// Note records an order that was read at a time, and reports whether it is a new one.
func (s *Set) Note(now time.Time, o Order) bool {
	return s.Merge(State{Order: o, NoticedAt: now, Phase: InProgress, Reason: "ordered"})
}

// Merge merges a state that this daemon or a peer has reached. It reports whether the set changed.
func (s *Set) Merge(other State) bool {
	if s.states == nil {
		s.states = map[string]State{}
	}
	other.Stage = max(0, min(other.Stage, lastStage)) // A peer may send any number.
	st, known := s.states[other.Service]
	switch {
	case !known, other.isNewer(st.Order) && !other.repeats(st.Order):
		s.states[other.Service] = other
		return true
	case other.Order != st.Order && !other.repeats(st.Order) && !st.repeats(other.Order):
		return false // An earlier order.
	}
	merged := st
	if other.isNewer(st.Order) {
		merged.Order = other.Order
	}
	if other.NoticedAt.Before(merged.NoticedAt) {
		merged.NoticedAt = other.NoticedAt
	}
	if other.Phase.rank() > merged.Phase.rank() {
		merged.Phase, merged.Reason = other.Phase, other.Reason
	}
	if other.Stage > merged.Stage {
		merged.Stage = other.Stage
		if merged.Phase == InProgress {
			merged.Reason = other.Reason
		}
	}
	s.states[other.Service] = merged
	return merged.Order != st.Order || merged.Phase != st.Phase || merged.Stage != st.Stage
}

// repeats reports whether an order is an earlier one that was written again after the store came back
// from a copy.
func (o Order) repeats(earlier Order) bool {
	return o.Era > earlier.Era && o.Version == earlier.Version && o.Within == earlier.Within
}

// rank orders phases. A version that one daemon has withdrawn is withdrawn, even if another one
// completed its rollout at the same time.
func (p Phase) rank() int { return slices.Index([]Phase{InProgress, Completed, RolledBack}, p) }

// Cancel withdraws the version of an order that the operator has removed. It reports whether the set
// changed. A rollout that is over stays as it is.
func (s *Set) Cancel(service string, era, revision int64) bool {
	st, ok := s.states[service]
	if !ok || st.Phase != InProgress || st.Era > era || st.Era == era && st.Revision >= revision {
		return false
	}
	st.Phase, st.Reason = RolledBack, "the order was removed"
	s.states[service] = st
	return true
}

// engagedFactor times the share of the new version is the share of its servers that get requests.
// They begin with empty caches and read each prompt whole, so that each gets somewhat fewer requests than
// the others, but enough to show how the version does under load.
const engagedFactor = 1.5

// Engaged returns which of the new version's servers in one place get requests at a share. All
// daemons choose the same ones.
func Engaged(version string, servers []string, share float64) []string {
	if share <= 0 || len(servers) == 0 {
		return nil
	}
	list := slices.Clone(servers)
	slices.SortFunc(list, func(a, b string) int {
		if x, y := xxhash.Sum64String(version+"\x00"+a), xxhash.Sum64String(version+"\x00"+b); x < y {
			return -1
		}
		return 1
	})
	return list[:min(int(math.Ceil(engagedFactor*share*float64(len(list)))), len(list))]
}
