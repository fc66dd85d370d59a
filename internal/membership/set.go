package membership

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Defaults of a Set.
const (
	// DefaultGrace is how long an instance stays absent from the list before it
	// counts as gone. Gone can't be taken back, so the grace exceeds the usual lag
	// of the list; connection failures keep work away sooner.
	DefaultGrace = 30 * time.Second
	// DefaultSuspicion is how long the first connection failure keeps work away.
	DefaultSuspicion = 2 * time.Second
	// DefaultRetention is how long a gone incarnation is remembered, so that an
	// old list does not bring it back.
	DefaultRetention = 24 * time.Hour
	// DefaultMaxGone bounds the gone incarnations remembered. At 200 bytes each
	// they take about 1.6 MB of the 32 MB for control.
	DefaultMaxGone = 8192
)

// maxSuspicion bounds the suspicion after repeated connection failures.
const maxSuspicion = time.Minute

// record is a member with what only this daemon knows of it.
type record struct {
	Member
	// seen is the last sighting: a report of the server itself, or the time of a
	// list that has it.
	seen time.Time
	// missing is when the server was first absent from a list newer than seen.
	missing time.Time
	// failures counts connection failures since the last success.
	failures int
}

// Set holds the latest incarnation of each backend server. Fields are set before
// the first call; zero means the default. A Set has no lock.
type Set struct {
	Grace     time.Duration
	Suspicion time.Duration
	Retention time.Duration
	MaxGone   int

	members map[string]*record
	// forgotten is the latest Changed of the gone incarnations that were dropped.
	// A list from before it can't add a server.
	forgotten time.Time
	gone      int
	hash      uint64
}

func or[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

// Apply takes a signal about one server. It returns the change that follows, if
// any.
func (s *Set) Apply(now time.Time, signal Signal) (Change, bool) {
	m := signal.Member
	r := s.members[m.Server]
	if m.Incarnation == 0 && r != nil {
		m.Incarnation = r.Incarnation
	}
	if signal.Source == ConnectionFailure {
		return s.fail(now, r, m.Incarnation)
	}
	change, changed := s.advance(now, m)
	r = s.members[m.Server]
	if signal.Source != Engine || r.Incarnation != m.Incarnation {
		return change, changed
	}
	r.seen, r.missing, r.failures = now, time.Time{}, 0
	if r.Suspect(now) {
		r.SuspectUntil = time.Time{}
		if !changed {
			return Change{Member: r.Member, Before: r.State}, true
		}
		change.Member = r.Member
	}
	return change, changed
}

// fail makes a server suspect, each time for twice as long.
func (s *Set) fail(now time.Time, r *record, incarnation int64) (Change, bool) {
	if r == nil || r.Incarnation != incarnation || r.State == Gone {
		return Change{}, false
	}
	suspected := r.Suspect(now)
	span := min(or(s.Suspicion, DefaultSuspicion)<<min(r.failures, 16), maxSuspicion)
	r.failures++
	if until := now.Add(span); until.After(r.SuspectUntil) {
		r.SuspectUntil = until
	}
	return Change{Member: r.Member, Before: r.State}, !suspected
}

// advance raises the state of the incarnation or adds it. It never lowers one,
// and ignores an incarnation below the known one.
func (s *Set) advance(now time.Time, m Member) (Change, bool) {
	if s.members == nil {
		s.members = map[string]*record{}
	}
	m.SuspectUntil, m.Changed = time.Time{}, now
	r := s.members[m.Server]
	if r == nil || r.Incarnation < m.Incarnation {
		if r != nil {
			s.account(r, -1)
		}
		r = &record{Member: m, seen: now}
		s.members[m.Server] = r
		s.account(r, 1)
		return Change{Member: r.Member, Share: true}, true
	}
	if r.Incarnation > m.Incarnation {
		return Change{}, false
	}
	r.Address, r.Service = or(r.Address, m.Address), or(r.Service, m.Service)
	r.Place, r.Class = or(r.Place, m.Place), or(r.Class, m.Class)
	if r.State >= m.State {
		return Change{}, false
	}
	before := r.State
	s.account(r, -1)
	r.State, r.Changed = m.State, now
	s.account(r, 1)
	return Change{Member: r.Member, Before: before, Share: true}, true
}

// account adds a record to the hash and the count of gone ones, or removes it.
func (s *Set) account(r *record, sign int) {
	if r.State == Gone {
		s.gone += sign
		return
	}
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:], uint64(r.Incarnation))
	binary.LittleEndian.PutUint64(buf[8:], uint64(r.State))
	d := xxhash.NewWithSeed(xxhash.Sum64String(r.Server))
	_, _ = d.Write(buf[:]) // Never fails.
	s.hash ^= d.Sum64()
}

// ApplyList takes an answer of the instance list. A server that it has is
// sighted; one that is absent although the list is newer than its last sighting
// becomes Gone after the grace time, unless it is sighted before.
func (s *Set) ApplyList(now time.Time, l List) []Change {
	var changes []Change
	listed := make(map[string]int64, len(l.Members))
	for _, m := range l.Members {
		listed[m.Server] = m.Incarnation
		if s.members[m.Server] == nil && l.Taken.Before(s.forgotten) {
			continue
		}
		if c, ok := s.advance(now, m); ok {
			changes = append(changes, c)
		}
		r := s.members[m.Server]
		if r.Incarnation == m.Incarnation && !l.Taken.Before(r.seen) {
			r.seen, r.missing = l.Taken, time.Time{}
		}
	}
	for server, r := range s.members {
		incarnation, ok := listed[server]
		present := ok && incarnation >= r.Incarnation
		if !present && r.State != Gone && l.Taken.After(r.seen) && r.missing.IsZero() {
			r.missing = now
		}
	}
	return append(changes, s.Tick(now)...)
}

// Tick makes servers Gone that stayed absent for the grace time, and forgets old
// gone incarnations.
func (s *Set) Tick(now time.Time) []Change {
	var changes []Change
	for _, r := range s.members {
		if r.State == Gone || r.missing.IsZero() || now.Sub(r.missing) < or(s.Grace, DefaultGrace) {
			continue
		}
		m := r.Member
		m.State = Gone
		if c, ok := s.advance(now, m); ok {
			changes = append(changes, c)
		}
	}
	s.forget(now)
	sort.Slice(changes, func(i, j int) bool { return changes[i].Member.Server < changes[j].Member.Server })
	return changes
}

// forget drops gone incarnations past the retention, and the oldest ones over
// the bound.
func (s *Set) forget(now time.Time) {
	if s.gone == 0 {
		return
	}
	var gone []*record
	for _, r := range s.members {
		if r.State == Gone {
			gone = append(gone, r)
		}
	}
	sort.Slice(gone, func(i, j int) bool { return gone[i].Changed.Before(gone[j].Changed) })
	for i, r := range gone {
		over := len(gone)-i > or(s.MaxGone, DefaultMaxGone)
		if !over && now.Sub(r.Changed) < or(s.Retention, DefaultRetention) {
			return
		}
		s.account(r, -1)
		delete(s.members, r.Server)
		s.forgotten = r.Changed
	}
}

// Merge takes the members of a peer.
func (s *Set) Merge(now time.Time, members []Member) []Change {
	var changes []Change
	for _, m := range members {
		if c, ok := s.Apply(now, Signal{Source: Peer, Member: m}); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

// Hash summarises the servers that are not gone. Gone ones are left out, because
// daemons forget them at different times. Equal sets have equal hashes. A new link
// starts with a Snapshot in each direction, whatever the hashes, so that a peer
// also learns of those that ended while the link was down.
func (s *Set) Hash() uint64 { return s.hash }

// Get returns the latest incarnation of a server.
func (s *Set) Get(server string) (Member, bool) {
	r, ok := s.members[server]
	if !ok {
		return Member{}, false
	}
	return r.Member, true
}

// Snapshot returns all members, gone ones included, ordered by server.
func (s *Set) Snapshot() []Member { return s.Since(time.Time{}) }

// Since returns the members that changed at or after the given time. A peer whose
// hash differs gets the recent ones first, because a full snapshot of 920 servers
// takes about 100 KB.
func (s *Set) Since(t time.Time) []Member {
	var members []Member
	for _, r := range s.members {
		if !r.Changed.Before(t) {
			members = append(members, r.Member)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Server < members[j].Server })
	return members
}
