// Package quota limits what an organisation uses at all daemons together. Each daemon
// keeps a token bucket with the whole limit and charges to it what it admits itself and
// what its peers report. It has no sockets, goroutines or clock.
//
// Reports arrive late, so that daemons which each admit whatever their bucket holds exceed
// the limit together by the demand in that time. Therefore a daemon refuses a part of the
// requests once the demand of all daemons would empty the bucket before the next reports:
// each admits the same fraction of its own demand, which brings their sum to the limit.
//
// A silent peer, or one that has not reported yet, is assumed to use an equal part of the
// limit, so that daemons that can't reach each other do not exceed it together. A peer
// whose process has ended uses nothing.
package quota

import (
	"cmp"
	"maps"
	"math"
	"time"
)

// defaultSilentAfter is the age of a peer's last report from which the peer counts as
// silent. Reports are sent several times a second.
const defaultSilentAfter = time.Second

// Limit is the quota of an organisation, in requests or tokens.
type Limit struct {
	PerSecond float64
	Burst     float64
}

// Use is what a daemon has admitted and refused since the start of its process.
type Use struct {
	Admitted, Refused float64
}

func (u Use) requested() float64 { return u.Admitted + u.Refused }

type bucket struct {
	limit      Limit
	level      float64
	refilledAt time.Time
	// use is that of this daemon.
	use Use
	// demand is the rate of requests at this daemon.
	demand demandRate
	// credit is the part of this daemon's demand that it may admit but has not admitted
	// yet. It is below 0 after a request that exceeded it.
	credit float64
}

// demandTime is the time constant with which a demandRate forgets.
const demandTime = time.Second

// demandRate is an exponentially decaying average of amounts per second.
type demandRate struct {
	sum float64
	at  time.Time
}

func (d *demandRate) add(now time.Time, amount float64) {
	d.sum = d.perSecond(now)*demandTime.Seconds() + amount
	d.at = now
}

func (d *demandRate) perSecond(now time.Time) float64 {
	return d.sum / demandTime.Seconds() * demandRetained(now.Sub(d.at))
}

// demandRetained is the weight that an average keeps after a time.
func demandRetained(after time.Duration) float64 {
	return math.Exp(-max(after, 0).Seconds() / demandTime.Seconds())
}

// peer is the last report of another daemon.
type peer struct {
	// start is the start time of the peer's process. Its used amounts restart at 0 with
	// it.
	start      int64
	lastReport time.Time
	// chargedUntil is the time up to which the assumed use of a silent peer was charged,
	// and assumed the time for which the whole limit would be as much.
	chargedUntil time.Time
	assumed      time.Duration
	uses         map[string]Use
	// demand is the average rate of requests at the peer, per second. It keeps its value
	// while reports are missing.
	demand map[string]float64
	// processEnded means that the daemon's process is known to have ended.
	processEnded bool
}

// Limiter holds the buckets of all organisations. It is not safe for concurrent use.
type Limiter struct {
	// SilentAfter is the age of a peer's last report from which the peer counts as
	// silent; 0 means defaultSilentAfter.
	SilentAfter time.Duration
	// Slack is the amount by which all daemons together may exceed a limit for a while.
	Slack float64

	buckets map[string]*bucket
	peers   map[string]*peer
	// listed means that the peers were listed at least once.
	listed bool
}

// NewLimiter returns a limiter without limits.
func NewLimiter() *Limiter {
	return &Limiter{buckets: map[string]*bucket{}, peers: map[string]*peer{}}
}

// startBurstShare is the greatest fraction of the burst in a new bucket.
const startBurstShare = 0.15

// listWait is how long after a new daemon's first configuration its buckets stay empty if
// the other daemons are not listed. All daemons may have started at the same moment, and
// each one's part of the limit depends on their number.
const listWait = time.Second

// Configure replaces the limits. An organisation without a limit, or with a rate of 0, is
// not limited.
func (q *Limiter) Configure(now time.Time, limits map[string]Limit) {
	for name := range q.buckets {
		if _, ok := limits[name]; !ok {
			delete(q.buckets, name)
		}
	}
	for name, l := range limits {
		b := q.buckets[name]
		if b == nil {
			b = &bucket{limit: l, refilledAt: now.Add(listWait)}
			q.buckets[name] = b
			if q.listed {
				q.fillNew(now, b)
			}
		}
		q.refill(now, b)
		b.limit = l
		b.level = min(b.level, l.Burst)
	}
}

// fillNew fills a new bucket. The new buckets of all daemons hold one burst together.
func (q *Limiter) fillNew(now time.Time, b *bucket) {
	b.level = min(startBurstShare*b.limit.Burst, b.limit.Burst/float64(len(q.peers)+1))
	b.refilledAt = now
}

func (q *Limiter) refill(now time.Time, b *bucket) {
	if d := now.Sub(b.refilledAt).Seconds(); d > 0 {
		b.level = min(b.level+d*b.limit.PerSecond, b.limit.Burst)
		b.refilledAt = now
	}
}

// Take charges an amount to the organisation's bucket if it may be admitted. Otherwise it
// returns the time after which the bucket holds the amount, if nothing else is charged, or
// a longer one in which the fraction of the demand that is admitted changes.
func (q *Limiter) Take(now time.Time, organisation string, amount float64) (bool, time.Duration) {
	b := q.buckets[organisation]
	if b == nil || b.limit.PerSecond <= 0 {
		return true, 0
	}
	lag := q.chargeSilent(now)
	// A request may exceed the capacity. It needs a full bucket.
	need := min(amount, b.limit.Burst)
	fraction := q.admittedFraction(b, q.demand(now, organisation), lag)
	b.demand.add(now, amount)
	admitted := b.level >= need
	var retryAfter time.Duration
	if fraction < 1 {
		admitted = b.level > 0 && b.spendCredit(amount, fraction)
		need += max(q.reserve(b, lag), 0)
		retryAfter = lagsToReserve * lag
	}
	if !admitted {
		b.use.Refused += amount
		untilRefilled := (need - b.level) / b.limit.PerSecond
		return false, max(retryAfter, time.Duration(untilRefilled*float64(time.Second)))
	}
	b.level -= amount
	b.use.Admitted += amount
	return true, 0
}

// lagsToReserve times the age of the reports is the time in which the level is brought
// back to the reserve. With less than about 1.6 the level would oscillate, because it is
// known only as of that age.
const lagsToReserve = 2

// usedSlackShare is the part of Slack that is used. The rest is left for reports that are
// later than the last ones were.
const usedSlackShare = 0.5

// reserve is the level at which an organisation that requests too much is held. Together
// with the slack it covers what the daemons admit before they hear of it.
func (q *Limiter) reserve(b *bucket, lag time.Duration) float64 {
	return b.limit.PerSecond*lag.Seconds() - usedSlackShare*q.Slack
}

// demand returns the rate of requests at all daemons, as far as they have reported.
func (q *Limiter) demand(now time.Time, organisation string) float64 {
	sum := q.buckets[organisation].demand.perSecond(now)
	for _, p := range q.peers {
		if !p.processEnded {
			sum += p.demand[organisation]
		}
	}
	return sum
}

// admittedFraction returns the fraction of the demand that may be admitted so that the
// level approaches the reserve. All daemons compute about the same one.
func (q *Limiter) admittedFraction(b *bucket, demand float64, lag time.Duration) float64 {
	if lag <= 0 || demand <= 0 {
		return 1
	}
	allowed := b.limit.PerSecond + (b.level-q.reserve(b, lag))/(lagsToReserve*lag.Seconds())
	return min(max(allowed, 0)/demand, 1)
}

// spendCredit adds the admitted fraction of an amount to the credit and reports whether
// the amount may be admitted. Rounding to whole requests leaves at most half a request of
// credit or debt, so that the daemons' sum is not shifted.
func (b *bucket) spendCredit(amount, fraction float64) bool {
	b.credit += fraction * amount
	if b.credit < amount/2 {
		return false
	}
	b.credit -= amount
	return true
}

// Refund gives back an amount that was charged for a request that did not run.
func (q *Limiter) Refund(organisation string, amount float64) {
	if b := q.buckets[organisation]; b != nil && b.limit.PerSecond > 0 {
		b.level = min(b.level+amount, b.limit.Burst)
		b.use.Admitted -= amount
		b.use.Refused += amount
	}
}

// Uses returns the use of this daemon, by organisation.
func (q *Limiter) Uses() map[string]Use {
	uses := make(map[string]Use, len(q.buckets))
	for name, b := range q.buckets {
		uses[name] = b.use
	}
	return uses
}

// State describes a bucket and the reports that its level depends on.
type State struct {
	// Level is what the bucket holds. Below 0, more than the limit was admitted.
	Level float64
	// Use is that of this daemon.
	Use Use
	// Demand is the rate at which all daemons together get requests, per second.
	Demand float64
	// OldestReport is the age of the oldest report among the peers that are not silent.
	OldestReport time.Duration
	// Silent counts the silent peers whose processes are not known to have ended.
	Silent int
}

// State returns the state of an organisation's bucket.
func (q *Limiter) State(now time.Time, organisation string) State {
	var s State
	q.chargeSilent(now)
	if b := q.buckets[organisation]; b != nil {
		s.Level, s.Use, s.Demand = b.level, b.use, q.demand(now, organisation)
	}
	for _, p := range q.peers {
		switch {
		case p.processEnded:
		case !q.reporting(now, p):
			s.Silent++
		default:
			s.OldestReport = max(s.OldestReport, now.Sub(p.lastReport))
		}
	}
	return s
}

// Merge charges what a peer has admitted since its last report. uses holds the sums since
// the start of the peer's process.
func (q *Limiter) Merge(now time.Time, daemon string, start int64, uses map[string]Use) {
	p := q.peers[daemon]
	if p == nil {
		p = &peer{}
		q.peers[daemon] = p
	}
	if p.start == 0 {
		// The sums of the first report may include old use. Charge only what follows.
		*p = peer{start: start, lastReport: now, uses: map[string]Use{}, demand: map[string]float64{}}
		maps.Copy(p.uses, uses)
		return
	}
	if p.start != start {
		p.start, p.uses = start, map[string]Use{}
	}
	q.chargeSilent(now)
	span := now.Sub(p.lastReport)
	retained := demandRetained(span)
	for name, u := range uses {
		last := p.uses[name]
		// Refunds lower the admitted sum for a while.
		u.Admitted, u.Refused = max(u.Admitted, last.Admitted), max(u.Refused, last.Refused)
		p.uses[name] = u
		b := q.buckets[name]
		if b == nil {
			continue
		}
		b.level = min(b.level-(u.Admitted-last.Admitted)+p.assumed.Seconds()*b.limit.PerSecond, b.limit.Burst)
		if span > 0 {
			p.demand[name] = retained*p.demand[name] + (1-retained)*(u.requested()-last.requested())/span.Seconds()
		}
	}
	p.lastReport, p.chargedUntil, p.assumed, p.processEnded = now, time.Time{}, 0, false
}

// ProcessEnded records that the process of a daemon has ended. Its next report reverts
// this.
func (q *Limiter) ProcessEnded(daemon string) {
	if p := q.peers[daemon]; p != nil {
		p.processEnded = true
	}
}

// SetPeers replaces the list of peers.
func (q *Limiter) SetPeers(now time.Time, daemons []string) {
	known := make(map[string]*peer, len(daemons))
	for _, name := range daemons {
		p := q.peers[name]
		if p == nil {
			p = &peer{lastReport: now}
		}
		known[name] = p
	}
	q.peers = known
	if !q.listed {
		q.listed = true
		for _, b := range q.buckets {
			if q.refill(now, b); b.level <= 0 {
				q.fillNew(now, b)
			}
		}
	}
}

// reporting reports whether a peer has reported and is not silent.
func (q *Limiter) reporting(now time.Time, p *peer) bool {
	return p.start != 0 && now.Sub(p.lastReport) <= cmp.Or(q.SilentAfter, defaultSilentAfter)
}

// chargeSilent charges an equal part of the limit for each peer that is silent or has not
// reported yet. It returns the mean age of the other peers' reports.
func (q *Limiter) chargeSilent(now time.Time) (lag time.Duration) {
	count := 0
	for _, p := range q.peers {
		if p.processEnded {
			continue
		}
		age := max(now.Sub(p.lastReport), 0)
		if q.reporting(now, p) {
			count++
			lag += age
			continue
		}
		d := age
		if p.chargedUntil.After(p.lastReport) {
			d = now.Sub(p.chargedUntil)
		}
		if d <= 0 { // The time of a report may be before that of the last charge.
			continue
		}
		p.chargedUntil = now
		part := d / time.Duration(len(q.peers)+1)
		p.assumed += part
		for _, b := range q.buckets {
			b.level -= part.Seconds() * b.limit.PerSecond
		}
	}
	// What the bucket lost and what it gained belong to the same time. Only their sum is
	// bounded by the burst.
	for _, b := range q.buckets {
		q.refill(now, b)
	}
	return lag / time.Duration(max(count, 1))
}
