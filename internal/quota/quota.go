// Package quota bounds what an organisation uses over all daemons together. Each
// daemon keeps a token bucket of the whole limit and takes from it what it admits
// and what its peers report. It has no sockets, goroutines or clock.
//
// A peer that is known and silent is assumed to use its equal part of the limit,
// so that daemons that do not hear each other do not exceed it together. One whose
// process has ended uses nothing.
package quota

import (
	"cmp"
	"maps"
	"time"
)

// defaultSilence is the age of a peer's last report from which it counts as silent.
// Reports come several times a second.
const defaultSilence = time.Second

// Limit is what an organisation may use.
type Limit struct {
	PerSecond float64
	Burst     float64
}

type bucket struct {
	limit Limit
	level float64
	at    time.Time
	// used is the sum of what this daemon admitted.
	used float64
}

// peer is what one daemon reported.
type peer struct {
	// start tells the starts of the daemon apart, at which its sums begin anew.
	start int64
	heard time.Time
	// charged is until when the assumed use of a silent peer was taken.
	charged time.Time
	used    map[string]float64
	// gone says that the process of the daemon has ended.
	gone bool
}

// Book holds the buckets of all organisations. It has no lock.
type Book struct {
	// Silence is the age of a peer's last report from which it counts as silent; 0
	// means a second.
	Silence time.Duration
	// BurstPart is the part of a burst that may be saved up; 0 means all of it. Less
	// makes up for what others admit before it is heard.
	BurstPart float64

	buckets map[string]*bucket
	peers   map[string]*peer
}

// NewBook returns a book without limits.
func NewBook() *Book {
	return &Book{buckets: map[string]*bucket{}, peers: map[string]*peer{}}
}

// startPart of the burst is what a new bucket holds. The daemons may all have
// started at the same moment, and do not know yet how many they are.
const startPart = 0.15

// Configure puts new limits in force. An organisation without one, or with a rate
// of 0, is not limited.
func (b *Book) Configure(now time.Time, limits map[string]Limit) {
	for name := range b.buckets {
		if _, ok := limits[name]; !ok {
			delete(b.buckets, name)
		}
	}
	for name, l := range limits {
		k := b.buckets[name]
		if k == nil {
			k = &bucket{level: l.Burst * startPart, at: now}
			b.buckets[name] = k
		}
		b.refill(now, k)
		k.limit = l
		k.level = min(k.level, l.Burst)
	}
}

// most is what a bucket holds at most.
func (b *Book) most(k *bucket) float64 { return k.limit.Burst * cmp.Or(b.BurstPart, 1) }

func (b *Book) refill(now time.Time, k *bucket) {
	if d := now.Sub(k.at).Seconds(); d > 0 {
		k.level = min(k.level+d*k.limit.PerSecond, b.most(k))
		k.at = now
	}
}

// Take takes an amount from the organisation's bucket. Otherwise it returns after
// which time the bucket holds the amount if nobody else takes from it.
func (b *Book) Take(now time.Time, organisation string, amount float64) (bool, time.Duration) {
	k := b.buckets[organisation]
	if k == nil || k.limit.PerSecond <= 0 {
		return true, 0
	}
	b.chargeSilent(now)
	b.refill(now, k)
	// One request may exceed the burst; it then needs a full bucket.
	need := min(amount, b.most(k))
	if k.level < need {
		return false, time.Duration((need - k.level) / k.limit.PerSecond * float64(time.Second))
	}
	k.level -= amount
	k.used += amount
	return true, 0
}

// Return gives back an amount that was taken for a request that did not run.
func (b *Book) Return(organisation string, amount float64) {
	if k := b.buckets[organisation]; k != nil && k.limit.PerSecond > 0 {
		k.level = min(k.level+amount, b.most(k))
		k.used -= amount
	}
}

// Used returns what this daemon has admitted since its start, by organisation.
func (b *Book) Used() map[string]float64 {
	used := make(map[string]float64, len(b.buckets))
	for name, k := range b.buckets {
		used[name] = k.used
	}
	return used
}

// Merge takes what a peer has admitted since its start.
func (b *Book) Merge(now time.Time, daemon string, start int64, used map[string]float64) {
	p := b.peers[daemon]
	if p == nil {
		p = &peer{}
		b.peers[daemon] = p
	}
	if p.start == 0 {
		// What it admitted before it was first heard is not known to be recent.
		p.start, p.heard, p.used, p.gone = start, now, maps.Clone(used), false
		return
	}
	if p.start != start {
		p.start, p.used = start, map[string]float64{}
	}
	silent := p.charged.After(p.heard)
	p.heard, p.gone = now, false
	for name, v := range used {
		more := max(v-p.used[name], 0)
		p.used[name] = max(v, p.used[name])
		// What a silent peer used was taken by assumption already.
		if k := b.buckets[name]; k != nil && !silent {
			b.refill(now, k)
			k.level -= more
		}
	}
	p.charged = time.Time{}
}

// Gone notes that the process of a daemon has ended. It counts again when it is
// heard.
func (b *Book) Gone(daemon string) {
	if p := b.peers[daemon]; p != nil {
		p.gone = true
	}
}

// Peers replaces the daemons that are known. New ones count as heard now.
func (b *Book) Peers(now time.Time, daemons []string) {
	known := make(map[string]*peer, len(daemons))
	for _, name := range daemons {
		p := b.peers[name]
		if p == nil {
			p = &peer{heard: now}
		}
		known[name] = p
	}
	b.peers = known
}

// chargeSilent takes the equal part of each peer that has not reported.
func (b *Book) chargeSilent(now time.Time) {
	for _, p := range b.peers {
		if p.gone {
			continue
		}
		from := p.heard.Add(cmp.Or(b.Silence, defaultSilence))
		if p.charged.After(from) {
			from = p.charged
		}
		d := now.Sub(from).Seconds()
		if d <= 0 {
			continue
		}
		p.charged = now
		for _, k := range b.buckets {
			b.refill(now, k)
			k.level -= d * k.limit.PerSecond / float64(len(b.peers)+1)
		}
	}
}
