package admission

import (
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// forgetAfter is for how long the demand at a silent peer still counts; the
// regions lose contact for minutes.
const forgetAfter = 5 * time.Minute

// RateLimit bounds the requests of one organisation over all daemons. Each
// daemon takes a share of the limit that follows its part of the demand. The
// last known demand at a silent peer keeps counting for a while, so that a
// partition doesn't raise the limit.
type RateLimit struct {
	perSecond float64
	limiter   *rate.Limiter
	own       windowed
	peers     []peerDemand
}

type peerDemand struct {
	daemon    string
	perSecond float64
	at        time.Time
	// pending sums the requests of one report, which has a row for each rank.
	pending float64
}

// NewRateLimit returns a limit; 0 requests per second means none.
func NewRateLimit(perSecond float64) *RateLimit {
	return &RateLimit{perSecond: perSecond, limiter: rate.NewLimiter(rate.Limit(perSecond), burst(perSecond))}
}

// burst allows the requests of one second at once.
func burst(perSecond float64) int { return max(1, int(perSecond)) }

// Allow reports whether one more request may be queued, else when one may be.
func (l *RateLimit) Allow(now time.Time) (bool, time.Duration) {
	l.own.add(now, 1)
	if l.perSecond <= 0 {
		return true, 0
	}
	share := l.perSecond * l.Share(now)
	if abs(share-float64(l.limiter.Limit())) > 0.01*share {
		l.limiter.SetLimitAt(now, rate.Limit(share))
		l.limiter.SetBurstAt(now, burst(share))
	}
	if l.limiter.AllowN(now, 1) {
		return true, 0
	}
	return false, seconds((1 - l.limiter.TokensAt(now)) / share)
}

// Share is this daemon's part of the demand.
func (l *RateLimit) Share(now time.Time) float64 {
	own, others := l.own.perSecond(now), 0.0
	for i := range l.peers {
		if now.Sub(l.peers[i].at) <= forgetAfter {
			others += l.peers[i].perSecond
		}
	}
	if own+others <= 0 {
		return 1
	}
	return own / (own + others)
}

// Merge adds requests that a peer was offered in the given span.
func (l *RateLimit) Merge(now time.Time, daemon string, requests float64, span time.Duration) {
	var p *peerDemand
	for i := range l.peers {
		if l.peers[i].daemon == daemon {
			p = &l.peers[i]
		}
	}
	if p == nil {
		l.peers = append(l.peers, peerDemand{daemon: daemon, at: now})
		p = &l.peers[len(l.peers)-1]
	}
	if p.at.Equal(now) {
		p.pending += requests
	} else {
		p.at, p.pending = now, requests
	}
	if span > 0 {
		p.perSecond = p.pending / span.Seconds()
	}
}

func (l *RateLimit) forget(now time.Time) {
	l.peers = slices.DeleteFunc(l.peers, func(p peerDemand) bool { return now.Sub(p.at) > forgetAfter })
}

func abs(v float64) float64 { return max(v, -v) }
