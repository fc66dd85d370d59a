package admission

import (
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// peerExpiry is how long the demand of a silent peer is counted. Regions can lose
// contact for minutes.
const peerExpiry = 5 * time.Minute

// RateLimit limits the requests of one organisation over all daemons. Each
// daemon gets a part of the limit in proportion to its part of the demand. The last
// reported demand of a silent peer is counted until peerExpiry, so that a partition
// doesn't raise the limit.
type RateLimit struct {
	perSecond   float64
	limiter     *rate.Limiter
	ownDemand   timeDecayedSum
	peerDemands []peerDemand
}

type peerDemand struct {
	daemon     string
	perSecond  float64
	reportedAt time.Time
	// reportRequests sums the requests of one report, which has a row for each rank.
	reportRequests float64
}

// NewRateLimit returns a limit; 0 requests per second means none.
func NewRateLimit(perSecond float64) *RateLimit {
	return &RateLimit{perSecond: perSecond, limiter: rate.NewLimiter(rate.Limit(perSecond), burstSize(perSecond))}
}

// burstSize allows the requests of one second at once.
func burstSize(perSecond float64) int { return max(1, int(perSecond)) }

// Allow reports whether one more request may be queued, else after which delay.
func (l *RateLimit) Allow(now time.Time) (bool, time.Duration) {
	l.ownDemand.add(now, 1)
	if l.perSecond <= 0 {
		return true, 0
	}
	share := l.perSecond * l.DemandShare(now)
	if abs(share-float64(l.limiter.Limit())) > 0.01*share {
		l.limiter.SetLimitAt(now, rate.Limit(share))
		l.limiter.SetBurstAt(now, burstSize(share))
	}
	if l.limiter.AllowN(now, 1) {
		return true, 0
	}
	return false, seconds((1 - l.limiter.TokensAt(now)) / share)
}

// DemandShare is this daemon's part of the demand.
func (l *RateLimit) DemandShare(now time.Time) float64 {
	own, others := l.ownDemand.perSecond(now), 0.0
	for i := range l.peerDemands {
		if now.Sub(l.peerDemands[i].reportedAt) <= peerExpiry {
			others += l.peerDemands[i].perSecond
		}
	}
	if own+others <= 0 {
		return 1
	}
	return own / (own + others)
}

// MergeDemand adds the requests offered to a peer in the given span.
func (l *RateLimit) MergeDemand(now time.Time, daemon string, requests float64, span time.Duration) {
	var p *peerDemand
	for i := range l.peerDemands {
		if l.peerDemands[i].daemon == daemon {
			p = &l.peerDemands[i]
		}
	}
	if p == nil {
		l.peerDemands = append(l.peerDemands, peerDemand{daemon: daemon, reportedAt: now})
		p = &l.peerDemands[len(l.peerDemands)-1]
	}
	if p.reportedAt.Equal(now) {
		p.reportRequests += requests
	} else {
		p.reportedAt, p.reportRequests = now, requests
	}
	if span > 0 {
		p.perSecond = p.reportRequests / span.Seconds()
	}
}

func (l *RateLimit) removeSilentPeers(now time.Time) {
	l.peerDemands = slices.DeleteFunc(l.peerDemands, func(p peerDemand) bool { return now.Sub(p.reportedAt) > peerExpiry })
}

func abs(v float64) float64 { return max(v, -v) }
