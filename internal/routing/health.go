package routing

import (
	"math"
	"time"
)

const (
	// failureFactor scales a server's share for each failure: 25% remain after one failure
	// and less than 2% after three.
	failureFactor = 0.25
	// slowFactor is milder than failureFactor, because one late first token can have
	// other causes.
	slowFactor = 0.6
	// slowRatio and slowSeconds define a late first token: both far later than estimated
	// and late by an amount that callers notice.
	slowRatio   = 4
	slowSeconds = 1.0
	// recoveryTime is the time constant of recovery: 63% of a lost share return within it.
	// A server that fails every request thus keeps a few percent of its share as probes.
	recoveryTime = 30 * time.Second
	// minHealthShare keeps rare probes going to a server that fails all requests.
	minHealthShare = 0.005
	// unhealthyPenaltySeconds is the score penalty of a server with half its share.
	unhealthyPenaltySeconds = 0.25
)

// health is the share of its regular traffic that a server may get, from 0 to 1.
type health struct {
	share     float64
	changedAt time.Time
}

func newHealth() health { return health{share: 1} }

func (h health) shareAt(now time.Time) float64 {
	if h.share >= 1 {
		return 1
	}
	elapsed := max(now.Sub(h.changedAt).Seconds(), 0)
	return 1 - (1-h.share)*math.Exp(-elapsed/recoveryTime.Seconds())
}

func (h *health) reduce(now time.Time, factor float64) {
	h.share = max(h.shareAt(now)*factor, minHealthShare)
	h.changedAt = now
}

func (h *health) recordFailure(now time.Time) { h.reduce(now, failureFactor) }

func (h *health) recordFirstToken(now time.Time, took, expected float64) {
	if took > slowRatio*expected && took-expected > slowSeconds {
		h.reduce(now, slowFactor)
	}
}
