// Package quarantine keeps the list of requests that are suspected of crashing
// backend servers. It has no sockets, no goroutines and no clock.
//
// A crash makes each request in flight on the server a suspect. After one crash,
// suspects run apart: on servers that hold no other suspect, so that a second crash
// tells the poisonous request from those that only shared its server. After two
// crashes a suspect runs alone. A suspect that finishes is cleared. One is refused
// when it was present in more crashes than the limit and no other suspect was
// present in all of them: an innocent request that shared each of its crashes with a
// poisonous one has that one as the explanation.
//
// Two rules make this hold while gossip is under way. All suspects of a service run at
// one daemon (Owner), which thus knows the outcome of every run. And a suspect
// neither runs nor is refused before Settle has passed since its last crash
// (Ready), so that the crash is known everywhere by then. The daemon that received
// the request keeps the caller waiting meanwhile.
//
// A List is not safe for concurrent use.
package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a request by its organisation, service and body.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request. The lengths are hashed as
// well, so that no two different requests concatenate to the same bytes.
func FingerprintOf(organisation, service string, body []byte) Fingerprint {
	d := xxhash.New()
	var length [8]byte
	for _, part := range []string{organisation, service} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = d.Write(length[:])
		_, _ = d.WriteString(part)
	}
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// Verdict says how a request may run.
type Verdict int

// Verdicts.
const (
	// Normal requests run like any other.
	Normal Verdict = iota
	// Apart requests run at the owner, on a server without another suspect, once
	// Ready. A crashed server may have held dozens of requests, and a fleet under
	// load has no empty server for each.
	Apart
	// Alone requests run at the owner, alone on a server, once Ready.
	Alone
	// Refused requests do not run.
	Refused
)

func (v Verdict) String() string {
	return [...]string{"Normal", "Apart", "Alone", "Refused"}[v]
}

// Options are the settings of a List. Zero values take the defaults.
type Options struct {
	// Crashes is how many crashes after the first one a request may cause.
	Crashes int
	// Expiry is how long an entry is kept after its last crash.
	Expiry time.Duration
	// Settle is longer than a crash takes to be known at all daemons.
	Settle time.Duration
	// Size bounds the entries. One takes about 300 bytes.
	Size int
}

const (
	defaultCrashes = 2
	defaultExpiry  = time.Hour
	// defaultSettle covers 5 hops of immediate pushes and two rounds of digests,
	// which are exchanged each second.
	defaultSettle = 3 * time.Second
	defaultSize   = 4096
	// maxCrashes bounds the crashes kept in one entry.
	maxCrashes = 16
	// massCrashes in massWindow are more than one poisonous request can cause, since its
	// later runs wait for Settle. Then the cause is elsewhere, for example a lost data
	// centre, whose thousands of requests must not have to run alone.
	massCrashes = 6
	massWindow  = 10 * time.Second
)

// entry is what is known about one fingerprint.
type entry struct {
	// crashes are the server incarnations that crashed, in order of their names.
	crashes []crash
	// alone counts the crashes that happened while it was already a suspect.
	alone int
	last  time.Time
	hash  uint64
}

// crash is cleared once the request has finished after it.
type crash struct {
	server  string
	cleared bool
}

// List is the quarantine list of one daemon.
type List struct {
	options Options
	entries map[Fingerprint]*entry
	running map[Fingerprint]int
	hash    uint64
	recent  []seen
	sweep   time.Time
}

type seen struct {
	server string
	at     time.Time
}

// withDefaults fills in the settings that are zero.
func (o Options) withDefaults() Options {
	if o.Crashes <= 0 {
		o.Crashes = defaultCrashes
	}
	if o.Expiry <= 0 {
		o.Expiry = defaultExpiry
	}
	if o.Settle <= 0 {
		o.Settle = defaultSettle
	}
	if o.Size <= 0 {
		o.Size = defaultSize
	}
	return o
}

// New returns an empty list.
func New(options Options) *List {
	return &List{
		options: options.withDefaults(),
		entries: make(map[Fingerprint]*entry),
		running: make(map[Fingerprint]int),
	}
}

// Configure puts new settings in force for the entries of the list as well.
func (l *List) Configure(options Options) { l.options = options.withDefaults() }

// Owner returns the daemon that runs the suspects of a service, by rendezvous hashing
// over the live daemons. Others forward suspects to it, together with their entries.
func Owner(service string, daemons []string) string {
	var owner string
	var best uint64
	for _, daemon := range daemons {
		if h := xxhash.Sum64String(service + "\x00" + daemon); owner == "" || h > best || h == best && daemon < owner {
			owner, best = daemon, h
		}
	}
	return owner
}

// Verdict says how a request may run.
func (l *List) Verdict(now time.Time, fingerprint Fingerprint) Verdict {
	e := l.live(now, fingerprint)
	if e == nil || e.open() == 0 {
		return Normal
	}
	if e.open() > l.options.Crashes && !now.Before(e.last.Add(l.options.Settle)) && !l.explained(now, fingerprint, e) {
		return Refused
	}
	if e.open() == 1 {
		return Apart
	}
	return Alone
}

// Ready says whether a suspect may run now, and otherwise the earliest time to ask
// again. A copy that is running already has to end first.
func (l *List) Ready(now time.Time, fingerprint Fingerprint) (bool, time.Time) {
	e := l.live(now, fingerprint)
	if e == nil || e.open() == 0 {
		return true, now
	}
	if at := e.last.Add(l.options.Settle); now.Before(at) {
		return false, at
	}
	if l.running[fingerprint] > 0 {
		return false, now.Add(time.Second)
	}
	return true, now
}

// explained says whether another suspect was present in all open crashes of an entry.
func (l *List) explained(now time.Time, fingerprint Fingerprint, e *entry) bool {
	for other, o := range l.entries {
		if other != fingerprint && !l.expired(now, o) && o.covers(e) {
			return true
		}
	}
	return false
}

func (e *entry) covers(o *entry) bool {
	for _, c := range o.crashes {
		if c.cleared {
			continue
		}
		i, ok := e.find(c.server)
		if !ok || e.crashes[i].cleared {
			return false
		}
	}
	return true
}

func (e *entry) find(server string) (int, bool) {
	return slices.BinarySearchFunc(e.crashes, server, func(c crash, s string) int {
		switch {
		case c.server < s:
			return -1
		case c.server > s:
			return 1
		}
		return 0
	})
}

func (e *entry) open() int {
	n := 0
	for _, c := range e.crashes {
		if !c.cleared {
			n++
		}
	}
	return n
}

// RecordStart records that this daemon dispatched a request.
func (l *List) RecordStart(fingerprint Fingerprint) { l.running[fingerprint]++ }

// RecordFinish records that a request ran to its end, which clears it.
func (l *List) RecordFinish(now time.Time, fingerprint Fingerprint) {
	l.ended(fingerprint)
	l.Clear(now, fingerprint)
}

// RecordStop records that a request ended otherwise, for example by cancellation.
func (l *List) RecordStop(fingerprint Fingerprint) { l.ended(fingerprint) }

func (l *List) ended(fingerprint Fingerprint) {
	if l.running[fingerprint]--; l.running[fingerprint] <= 0 {
		delete(l.running, fingerprint)
	}
}

// Clear takes the suspicion from a request. Later crashes count from the start.
func (l *List) Clear(now time.Time, fingerprint Fingerprint) {
	e := l.live(now, fingerprint)
	if e == nil {
		return
	}
	for i := range e.crashes {
		e.crashes[i].cleared = true
	}
	e.alone = 0
	l.rehash(fingerprint, e)
}

// RecordCrash records that a server incarnation, written as id/incarnation, crashed with
// the given requests of this daemon in flight, and ends their runs. It is not called
// for a server that left with notice.
func (l *List) RecordCrash(now time.Time, server string, inFlight []Fingerprint) {
	l.expire(now)
	mass := l.mass(now, server)
	for _, f := range inFlight {
		l.ended(f)
		e := l.entries[f]
		if e == nil {
			if mass {
				continue
			}
			e = &entry{}
			l.entries[f] = e
		}
		if e.open() > 0 {
			e.alone++
		}
		e.add(crash{server: server})
		e.last = later(e.last, now)
		l.rehash(f, e)
	}
	l.shrink()
}

// mass notes a crash and says whether there were too many for one request.
func (l *List) mass(now time.Time, server string) bool {
	l.recent = slices.DeleteFunc(l.recent, func(s seen) bool {
		return s.server == server || now.Sub(s.at) > massWindow
	})
	if len(l.recent) > massCrashes {
		l.recent = l.recent[1:]
	}
	l.recent = append(l.recent, seen{server, now})
	return len(l.recent) > massCrashes
}

func (e *entry) add(c crash) {
	i, ok := e.find(c.server)
	switch {
	case ok:
		e.crashes[i].cleared = e.crashes[i].cleared || c.cleared
	case len(e.crashes) < maxCrashes:
		e.crashes = slices.Insert(e.crashes, i, c)
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
