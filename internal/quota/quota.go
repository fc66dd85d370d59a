// Package quota limits what an organisation uses at all daemons together. Each daemon
// keeps a token bucket with the whole limit and charges to it what it admits itself and
// what its peers report. It has no sockets, goroutines or clock.
//
// A silent peer is assumed to use an equal part of the limit, so that daemons that can't
// reach each other do not exceed it together. A peer whose process has ended uses
// nothing.
package quota

import (
	"cmp"
	"maps"
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

type bucket struct {
	limit      Limit
	level      float64
	refilledAt time.Time
	// used is the sum of all amounts admitted by this daemon.
	used float64
}

// peer is the last report of another daemon.
type peer struct {
	// start is the start time of the peer's process. Its used amounts restart at 0 with
	// it.
	start      int64
	lastReport time.Time
	// chargedUntil is the time up to which the assumed use of a silent peer was charged.
	chargedUntil time.Time
	used         map[string]float64
	// processEnded means that the daemon's process is known to have ended.
	processEnded bool
}

// Limiter holds the buckets of all organisations. It is not safe for concurrent use.
type Limiter struct {
	// SilentAfter is the age of a peer's last report from which the peer counts as
	// silent; 0 means defaultSilentAfter.
	SilentAfter time.Duration
	// BurstShare is the fraction of the burst that a bucket may hold; 0 means all of it.
	// A smaller one makes up for what peers admit before their reports arrive.
	BurstShare float64

	buckets map[string]*bucket
	peers   map[string]*peer
}

// NewLimiter returns a limiter without limits.
func NewLimiter() *Limiter {
	return &Limiter{buckets: map[string]*bucket{}, peers: map[string]*peer{}}
}

// startBurstShare is the fraction of the burst in a new bucket. All daemons may have
// started at the same moment, before any of them has the list of the others.
const startBurstShare = 0.15

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
			b = &bucket{level: l.Burst * startBurstShare, refilledAt: now}
			q.buckets[name] = b
		}
		q.refill(now, b)
		b.limit = l
		b.level = min(b.level, l.Burst)
	}
}

// capacity is the greatest level of a bucket.
func (q *Limiter) capacity(b *bucket) float64 { return b.limit.Burst * cmp.Or(q.BurstShare, 1) }

func (q *Limiter) refill(now time.Time, b *bucket) {
	if d := now.Sub(b.refilledAt).Seconds(); d > 0 {
		b.level = min(b.level+d*b.limit.PerSecond, q.capacity(b))
		b.refilledAt = now
	}
}

// Take charges an amount to the organisation's bucket if the bucket holds it. Otherwise
// it returns the time after which the bucket holds the amount, if nothing else is
// charged.
func (q *Limiter) Take(now time.Time, organisation string, amount float64) (bool, time.Duration) {
	b := q.buckets[organisation]
	if b == nil || b.limit.PerSecond <= 0 {
		return true, 0
	}
	q.chargeSilent(now)
	q.refill(now, b)
	// A request may exceed the capacity. It needs a full bucket.
	need := min(amount, q.capacity(b))
	if b.level < need {
		return false, time.Duration((need - b.level) / b.limit.PerSecond * float64(time.Second))
	}
	b.level -= amount
	b.used += amount
	return true, 0
}

// Refund gives back an amount that was charged for a request that did not run.
func (q *Limiter) Refund(organisation string, amount float64) {
	if b := q.buckets[organisation]; b != nil && b.limit.PerSecond > 0 {
		b.level = min(b.level+amount, q.capacity(b))
		b.used -= amount
	}
}

// Used returns what this daemon has admitted since its start, by organisation.
func (q *Limiter) Used() map[string]float64 {
	used := make(map[string]float64, len(q.buckets))
	for name, b := range q.buckets {
		used[name] = b.used
	}
	return used
}

// State describes a bucket and the reports that its level depends on.
type State struct {
	// Level is what the bucket holds. Below 0, more than the limit was admitted.
	Level float64
	// Used is the sum of what this daemon has admitted since its start.
	Used float64
	// OldestReport is the age of the oldest report among the peers that are not silent.
	OldestReport time.Duration
	// Silent counts the silent peers whose processes are not known to have ended.
	Silent int
}

// State returns the state of an organisation's bucket.
func (q *Limiter) State(now time.Time, organisation string) State {
	var s State
	if b := q.buckets[organisation]; b != nil {
		q.refill(now, b)
		s.Level, s.Used = b.level, b.used
	}
	for _, p := range q.peers {
		age := now.Sub(p.lastReport)
		switch {
		case p.processEnded:
		case age > cmp.Or(q.SilentAfter, defaultSilentAfter):
			s.Silent++
		default:
			s.OldestReport = max(s.OldestReport, age)
		}
	}
	return s
}

// Merge charges what a peer has admitted since its last report. used holds the sums since
// the peer's start.
func (q *Limiter) Merge(now time.Time, daemon string, start int64, used map[string]float64) {
	p := q.peers[daemon]
	if p == nil {
		p = &peer{}
		q.peers[daemon] = p
	}
	if p.start == 0 {
		// The sums of the first report may include old use. Charge only what follows.
		p.start, p.lastReport, p.used, p.processEnded = start, now, maps.Clone(used), false
		return
	}
	if p.start != start {
		p.start, p.used = start, map[string]float64{}
	}
	silent := p.chargedUntil.After(p.lastReport)
	p.lastReport, p.processEnded = now, false
	for name, v := range used {
		increase := max(v-p.used[name], 0)
		p.used[name] = max(v, p.used[name])
		// The use of a silent peer was already charged by assumption.
		if b := q.buckets[name]; b != nil && !silent {
			q.refill(now, b)
			b.level -= increase
		}
	}
	p.chargedUntil = time.Time{}
}

// ProcessEnded records that the process of a daemon has ended. Its next report reverts
// this.
func (q *Limiter) ProcessEnded(daemon string) {
	if p := q.peers[daemon]; p != nil {
		p.processEnded = true
	}
}

// SetPeers replaces the list of peers. A new peer counts as silent only after
// SilentAfter.
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
}

// chargeSilent charges an equal part of the limit for each silent peer.
func (q *Limiter) chargeSilent(now time.Time) {
	for _, p := range q.peers {
		if p.processEnded {
			continue
		}
		from := p.lastReport.Add(cmp.Or(q.SilentAfter, defaultSilentAfter))
		if p.chargedUntil.After(from) {
			from = p.chargedUntil
		}
		d := now.Sub(from).Seconds()
		if d <= 0 {
			continue
		}
		p.chargedUntil = now
		for _, b := range q.buckets {
			q.refill(now, b)
			b.level -= d * b.limit.PerSecond / float64(len(q.peers)+1)
		}
	}
}
