package routing

import (
	"math"
	"time"
)

const (
	// failureFactor leaves a quarter of a server's share after one failure and less
	// than 2% after three.
	failureFactor = 0.25
	// slowFactor is milder than failureFactor, because one late first token can have
	// other causes.
	slowFactor = 0.6
	// slowRatio and slowSeconds define a late first token: by far later than
	// estimated, and by an amount that callers notice.
	slowRatio   = 4
	slowSeconds = 1.0
	// recoveryLife is the time in which a lost share regains 63% of the way back. A
	// server that fails each of its requests then keeps a few percent of its share as
	// probes.
	recoveryLife = 30 * time.Second
	// minHealth keeps the rare probe of a server that fails all requests.
	minHealth = 0.005
	// unhealthySeconds scales the score's penalty of a server with half its share.
	unhealthySeconds = 0.25
)

// health is the share of its traffic that a server may get, from 0 to 1.
type health struct {
	share float64
	at    time.Time
}

func newHealth() health { return health{share: 1} }

func (h health) now(now time.Time) float64 {
	if h.share >= 1 {
		return 1
	}
	elapsed := max(now.Sub(h.at).Seconds(), 0)
	return 1 - (1-h.share)*math.Exp(-elapsed/recoveryLife.Seconds())
}

func (h *health) lower(now time.Time, factor float64) {
	h.share = max(h.now(now)*factor, minHealth)
	h.at = now
}

func (h *health) failed(now time.Time) { h.lower(now, failureFactor) }

func (h *health) observe(now time.Time, took, expected float64) {
	if took > slowRatio*expected && took-expected > slowSeconds {
		h.lower(now, slowFactor)
	}
}
