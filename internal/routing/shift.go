package routing

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Shift moves a share of a service's calls to the servers of one software version.
type Shift struct {
	Version string
	// Share is the share of the calls, from 0 to 1.
	Share float64
}

// SetShifts sets the shifts by service. It is called before the table is first used.
func (t *Table) SetShifts(shifts map[string]Shift) { t.shifts = shifts }

// takes reports whether a shift sends a call to its version. The share is drawn by hash of the
// request's id, so that it needs no state and does not depend on how the requests are spread over
// callers, sessions and daemons. A call that failed at a server goes to the other versions.
func (s Shift) takes(call *Call) bool {
	if s.Share >= 1 {
		return true
	}
	draw := mix(hashRequestID(call.RequestID), xxhash.Sum64String(s.Version))
	return len(call.Excluded) == 0 && float64(draw>>11)/(1<<53) < s.Share
}

// chooseShifted picks a server of the version that the shift gives the call, or of any other version
// if none of that one takes it at once. No other call gets a server of the version.
func (r *Router) chooseShifted(now time.Time, call *Call, t *Table, shift Shift, random *rand.Rand) Decision {
	sided := *call
	if shift.takes(call) {
		sided.Version = &shift.Version
		if d := r.chooseUnshifted(now, &sided, t, random); d.Server != "" && (d.Reason != ReasonAllFull || shift.Share >= 1) {
			return d
		}
		sided.Version = nil
	}
	sided.AvoidVersion = &shift.Version
	return r.chooseUnshifted(now, &sided, t, random)
}
