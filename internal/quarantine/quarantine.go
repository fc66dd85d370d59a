// Package quarantine decides which requests are refused because they crash backend
// servers. It has no sockets, no goroutines and no clock. A List isolates suspects, for
// daemons that can hand a request over to another one; Evidence only refuses, for daemons
// whose callers can't wait.
//
// In a List a crash makes each request in flight on the server a suspect. After one crash,
// suspects run apart: on servers without another suspect, so that a second crash
// distinguishes the poisonous request from those that only shared its server. After two
// crashes a suspect runs alone on a server. A suspect that finishes is cleared. A suspect
// is refused when it was present in more crashes than the limit and no other suspect was
// present in all of them. An innocent request that shared each of its crashes with a
// poisonous one is thus not refused.
//
// Two rules keep this correct while gossip is under way. First, all suspects of a service
// run at one daemon (Owner), which thus records the outcome of every run. Second, a
// suspect neither runs nor is refused before SettleTime has passed since its last crash
// (Ready), when all daemons have received the crash. Until then the daemon that received
// the request keeps the caller waiting.
//
// A List is not safe for concurrent use.
package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint is a hash of a request's organisation, service and body.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request. It hashes the lengths as well, so
// that different organisations and services never concatenate to equal bytes. Parts of a body
// give the fingerprint of the whole, without a copy.
func FingerprintOf(organisation, service string, parts ...[]byte) Fingerprint {
	d := xxhash.New()
	var length [8]byte
	for _, part := range []string{organisation, service} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = d.Write(length[:])
		_, _ = d.WriteString(part)
	}
	for _, part := range parts {
		_, _ = d.Write(part)
	}
	return Fingerprint(d.Sum64())
}

// Verdict is how a request may run.
type Verdict int

// Verdicts.
const (
	// Normal requests run like any other.
	Normal Verdict = iota
	// Apart requests run at the owner, on a server without another suspect, once
	// Ready. They may share a server with normal requests, because a crashed server may
	// have held dozens of requests and a loaded fleet has no empty server for each.
	Apart
	// Alone requests run at the owner, on a server without other requests, once Ready.
	Alone
	// Refused requests do not run.
	Refused
)

func (v Verdict) String() string {
	return [...]string{"Normal", "Apart", "Alone", "Refused"}[v]
}

// Options are the settings of a List. Zero values take the defaults.
type Options struct {
	// MaxCrashes is the number of crashes above which a suspect is refused.
	MaxCrashes int
	// Expiry is how long an entry is kept after its last crash.
	Expiry time.Duration
	// SettleTime is longer than a crash takes to reach all daemons by gossip.
	SettleTime time.Duration
	// MaxEntries is the largest number of entries. One takes about 300 bytes.
	MaxEntries int
}

const (
	defaultMaxCrashes = 2
	defaultExpiry     = time.Hour
	// defaultSettleTime covers 5 hops of immediate pushes and two rounds of digests,
	// which are exchanged each second.
	defaultSettleTime = 3 * time.Second
	defaultMaxEntries = 4096
	// maxEntryCrashes bounds the crashes kept in one entry.
	maxEntryCrashes = 16
	// massCrashLimit is the number of crashes within massCrashWindow above which a crash
	// adds no suspects. One poisonous request can't cause more, since its later runs wait
	// for SettleTime. The cause is then another one, for example a lost data centre, whose
	// thousands of requests must not have to run alone.
	massCrashLimit  = 6
	massCrashWindow = 10 * time.Second
)

// entry holds the crashes of one fingerprint.
type entry struct {
	// crashes are the server incarnations that crashed, sorted by name.
	crashes []crash
	// crashesAsSuspect counts the crashes that happened when it was already a suspect.
	// Peers receive it as message.Suspect.Alone.
	crashesAsSuspect int
	lastCrash        time.Time
	hash             uint64
}

// crash is one crash with the request in flight, cleared once the request finished later.
type crash struct {
	server  string
	cleared bool
}

// List is the quarantine list of one daemon.
type List struct {
	options       Options
	entries       map[Fingerprint]*entry
	running       map[Fingerprint]int
	hash          uint64
	recentCrashes []recentCrash
	lastSweep     time.Time
}

type recentCrash struct {
	server string
	at     time.Time
}

// withDefaults replaces settings that are zero.
func (o Options) withDefaults() Options {
	if o.MaxCrashes <= 0 {
		o.MaxCrashes = defaultMaxCrashes
	}
	if o.Expiry <= 0 {
		o.Expiry = defaultExpiry
	}
	if o.SettleTime <= 0 {
		o.SettleTime = defaultSettleTime
	}
	if o.MaxEntries <= 0 {
		o.MaxEntries = defaultMaxEntries
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

// Configure applies new settings, also to the existing entries.
func (l *List) Configure(options Options) { l.options = options.withDefaults() }

// Owner returns the daemon that runs the suspects of a service, by rendezvous hashing
// over the live daemons. Other daemons forward suspects to it, together with their entries.
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

// Verdict returns how a request may run.
func (l *List) Verdict(now time.Time, fingerprint Fingerprint) Verdict {
	e := l.liveEntry(now, fingerprint)
	if e == nil || e.openCrashes() == 0 {
		return Normal
	}
	if e.openCrashes() > l.options.MaxCrashes && !now.Before(e.lastCrash.Add(l.options.SettleTime)) && !l.explainedByOther(now, fingerprint, e) {
		return Refused
	}
	if e.openCrashes() == 1 {
		return Apart
	}
	return Alone
}

// Ready reports whether a suspect may run now, and otherwise the earliest time to ask
// again. A copy of the suspect that is already running has to end first.
func (l *List) Ready(now time.Time, fingerprint Fingerprint) (bool, time.Time) {
	e := l.liveEntry(now, fingerprint)
	if e == nil || e.openCrashes() == 0 {
		return true, now
	}
	if at := e.lastCrash.Add(l.options.SettleTime); now.Before(at) {
		return false, at
	}
	if l.running[fingerprint] > 0 {
		return false, now.Add(time.Second)
	}
	return true, now
}

// explainedByOther reports whether another suspect was present in all open crashes of e.
func (l *List) explainedByOther(now time.Time, fingerprint Fingerprint, e *entry) bool {
	for other, o := range l.entries {
		if other != fingerprint && !l.expired(now, o) && o.covers(e) {
			return true
		}
	}
	return false
}

// covers reports whether each open crash of o is also an open crash of e.
func (e *entry) covers(o *entry) bool {
	for _, c := range o.crashes {
		if c.cleared {
			continue
		}
		i, ok := e.findCrash(c.server)
		if !ok || e.crashes[i].cleared {
			return false
		}
	}
	return true
}

func (e *entry) findCrash(server string) (int, bool) {
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

func (e *entry) openCrashes() int {
	n := 0
	for _, c := range e.crashes {
		if !c.cleared {
			n++
		}
	}
	return n
}

// Started records that this daemon dispatched a request.
func (l *List) Started(fingerprint Fingerprint) { l.running[fingerprint]++ }

// Finished records that a request ran to its end, which clears it.
func (l *List) Finished(now time.Time, fingerprint Fingerprint) {
	l.removeRunning(fingerprint)
	l.Clear(now, fingerprint)
}

// Stopped records that a request ended without finishing, for example by cancellation.
func (l *List) Stopped(fingerprint Fingerprint) { l.removeRunning(fingerprint) }

func (l *List) removeRunning(fingerprint Fingerprint) {
	if l.running[fingerprint]--; l.running[fingerprint] <= 0 {
		delete(l.running, fingerprint)
	}
}

// Clear removes the suspicion from a request. Later crashes count from zero.
func (l *List) Clear(now time.Time, fingerprint Fingerprint) {
	e := l.liveEntry(now, fingerprint)
	if e == nil {
		return
	}
	for i := range e.crashes {
		e.crashes[i].cleared = true
	}
	e.crashesAsSuspect = 0
	l.updateHash(fingerprint, e)
}

// Crashed records that a server, named with its incarnation, crashed with the given
// requests of this daemon in flight, and ends their runs. It must not be called for a
// server that left with notice.
func (l *List) Crashed(now time.Time, server string, inFlight []Fingerprint) {
	l.removeExpired(now)
	mass := l.detectMassCrash(now, server)
	for _, f := range inFlight {
		l.removeRunning(f)
		e := l.entries[f]
		if e == nil {
			if mass {
				continue
			}
			e = &entry{}
			l.entries[f] = e
		}
		if e.openCrashes() > 0 {
			e.crashesAsSuspect++
		}
		e.addCrash(crash{server: server})
		e.lastCrash = later(e.lastCrash, now)
		l.updateHash(f, e)
	}
	l.evictExcess()
}

// detectMassCrash records a crash and reports whether there were too many recent ones for
// one request to be the cause.
func (l *List) detectMassCrash(now time.Time, server string) bool {
	l.recentCrashes = slices.DeleteFunc(l.recentCrashes, func(s recentCrash) bool {
		return s.server == server || now.Sub(s.at) > massCrashWindow
	})
	if len(l.recentCrashes) > massCrashLimit {
		l.recentCrashes = l.recentCrashes[1:]
	}
	l.recentCrashes = append(l.recentCrashes, recentCrash{server, now})
	return len(l.recentCrashes) > massCrashLimit
}

func (e *entry) addCrash(c crash) {
	i, ok := e.findCrash(c.server)
	switch {
	case ok:
		e.crashes[i].cleared = e.crashes[i].cleared || c.cleared
	case len(e.crashes) < maxEntryCrashes:
		e.crashes = slices.Insert(e.crashes, i, c)
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
