package membership

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Defaults of a Set.
const (
	// DefaultGrace is how long an instance may be absent from the list before it
	// becomes Gone. Gone is final, so the grace time exceeds the usual lag of the
	// list; connection failures stop new requests sooner.
	DefaultGrace = 30 * time.Second
	// DefaultSuspicion is how long a server gets no new requests after the first
	// connection failure.
	DefaultSuspicion = 2 * time.Second
	// DefaultRetention is how long a gone incarnation is remembered, so that an old
	// list does not add it again.
	DefaultRetention = 24 * time.Hour
	// DefaultMaxGone limits the gone incarnations that are remembered. At 200 bytes
	// each they take about 1.6 MB of the 32 MB for control.
	DefaultMaxGone = 8192
)

// maxSuspicion limits the duration of suspicion after repeated connection failures.
const maxSuspicion = time.Minute

// record is a member with the state that is local to this daemon.
type record struct {
	Member
	// lastSeen is the time of the last report of the server itself, or of a list that
	// contains it.
	lastSeen time.Time
	// missingSince is when the server was first absent from a list newer than
	// lastSeen.
	missingSince time.Time
	// failures is the number of connection failures since the last success.
	failures int
}

// Set contains the latest incarnation of each backend server. Exported fields are set
// before the first call; zero means the default. A Set has no lock.
type Set struct {
	Grace     time.Duration
	Suspicion time.Duration
	Retention time.Duration
	MaxGone   int

	members map[string]*record
	// forgottenUntil is the latest Changed of the gone incarnations that were
	// removed. A list taken before it can't add a server.
	forgottenUntil time.Time
	goneCount      int
	hash           uint64
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

// Apply processes a signal about one server. It returns the resulting change, if any.
func (s *Set) Apply(now time.Time, signal Signal) (Change, bool) {
	m := signal.Member
	r := s.members[m.Server]
	if m.Incarnation == 0 && r != nil {
		m.Incarnation = r.Incarnation
	}
	if signal.Source == ConnectionFailure {
		return s.markSuspect(now, r, m.Incarnation)
	}
	change, changed := s.advance(now, m)
	r = s.members[m.Server]
	if signal.Source != Engine || r.Incarnation != m.Incarnation {
		return change, changed
	}
	r.lastSeen, r.missingSince, r.failures = now, time.Time{}, 0
	if r.Suspect(now) {
		r.SuspectUntil = time.Time{}
		if !changed {
			return Change{Member: r.Member, Before: r.State}, true
		}
		change.Member = r.Member
	}
	return change, changed
}

// markSuspect marks a server as suspect, with a duration that doubles with each
// failure.
func (s *Set) markSuspect(now time.Time, r *record, incarnation int64) (Change, bool) {
	if r == nil || r.Incarnation != incarnation || r.State == Gone {
		return Change{}, false
	}
	wasSuspect := r.Suspect(now)
	duration := min(orDefault(s.Suspicion, DefaultSuspicion)<<min(r.failures, 16), maxSuspicion)
	r.failures++
	if until := now.Add(duration); until.After(r.SuspectUntil) {
		r.SuspectUntil = until
	}
	return Change{Member: r.Member, Before: r.State}, !wasSuspect
}

// advance adds the incarnation or advances its state. It never moves a state back and
// ignores an incarnation older than the known one.
func (s *Set) advance(now time.Time, m Member) (Change, bool) {
	if s.members == nil {
		s.members = map[string]*record{}
	}
	m.SuspectUntil, m.Changed = time.Time{}, now
	r := s.members[m.Server]
	if r == nil || r.Incarnation < m.Incarnation {
		if r != nil {
			s.updateTotals(r, -1)
		}
		r = &record{Member: m, lastSeen: now}
		s.members[m.Server] = r
		s.updateTotals(r, 1)
		return Change{Member: r.Member, Share: true}, true
	}
	if r.Incarnation > m.Incarnation {
		return Change{}, false
	}
	r.Address, r.Service = orDefault(r.Address, m.Address), orDefault(r.Service, m.Service)
	r.Place, r.Class = orDefault(r.Place, m.Place), orDefault(r.Class, m.Class)
	if r.State >= m.State {
		return Change{}, false
	}
	previous := r.State
	s.updateTotals(r, -1)
	r.State, r.Changed = m.State, now
	s.updateTotals(r, 1)
	return Change{Member: r.Member, Before: previous, Share: true}, true
}

// updateTotals adds (sign 1) or removes (sign -1) a record from the hash or, if it is
// gone, from the count of gone records.
func (s *Set) updateTotals(r *record, sign int) {
	if r.State == Gone {
		s.goneCount += sign
		return
	}
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:], uint64(r.Incarnation))
	binary.LittleEndian.PutUint64(buf[8:], uint64(r.State))
	d := xxhash.NewWithSeed(xxhash.Sum64String(r.Server))
	_, _ = d.Write(buf[:]) // Never fails.
	s.hash ^= d.Sum64()
}

// ApplyList processes an answer of the instance list. A server in it counts as seen;
// a server that is absent although the list is newer than its lastSeen becomes Gone
// after the grace time, unless it is seen before.
func (s *Set) ApplyList(now time.Time, l List) []Change {
	var changes []Change
	listed := make(map[string]int64, len(l.Members))
	for _, m := range l.Members {
		listed[m.Server] = m.Incarnation
		if s.members[m.Server] == nil && l.Taken.Before(s.forgottenUntil) {
			continue
		}
		if c, ok := s.advance(now, m); ok {
			changes = append(changes, c)
		}
		r := s.members[m.Server]
		if r.Incarnation == m.Incarnation && !l.Taken.Before(r.lastSeen) {
			r.lastSeen, r.missingSince = l.Taken, time.Time{}
		}
	}
	for server, r := range s.members {
		incarnation, ok := listed[server]
		present := ok && incarnation >= r.Incarnation
		if !present && r.State != Gone && l.Taken.After(r.lastSeen) && r.missingSince.IsZero() {
			r.missingSince = now
		}
	}
	return append(changes, s.Tick(now)...)
}

// Tick sets the state of servers that were absent for the grace time to Gone, and
// removes old gone incarnations.
func (s *Set) Tick(now time.Time) []Change {
	var changes []Change
	for _, r := range s.members {
		if r.State == Gone || r.missingSince.IsZero() || now.Sub(r.missingSince) < orDefault(s.Grace, DefaultGrace) {
			continue
		}
		m := r.Member
		m.State = Gone
		if c, ok := s.advance(now, m); ok {
			changes = append(changes, c)
		}
	}
	s.forgetGone(now)
	sort.Slice(changes, func(i, j int) bool { return changes[i].Member.Server < changes[j].Member.Server })
	return changes
}

// forgetGone removes gone incarnations past the retention, and the oldest ones above
// MaxGone.
func (s *Set) forgetGone(now time.Time) {
	if s.goneCount == 0 {
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
		over := len(gone)-i > orDefault(s.MaxGone, DefaultMaxGone)
		if !over && now.Sub(r.Changed) < orDefault(s.Retention, DefaultRetention) {
			return
		}
		s.updateTotals(r, -1)
		delete(s.members, r.Server)
		s.forgottenUntil = r.Changed
	}
}

// Merge processes the members of a peer.
func (s *Set) Merge(now time.Time, members []Member) []Change {
	var changes []Change
	for _, m := range members {
		if c, ok := s.Apply(now, Signal{Source: Peer, Member: m}); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

// Hash returns a hash of the servers that are not gone; equal sets have equal hashes.
// Gone servers are omitted, because daemons forget them at different times. A new
// link starts with a Snapshot in each direction, whatever the hashes, so that a peer
// also receives the servers that ended while the link was down.
func (s *Set) Hash() uint64 { return s.hash }

// Get returns the latest incarnation of a server.
func (s *Set) Get(server string) (Member, bool) {
	r, ok := s.members[server]
	if !ok {
		return Member{}, false
	}
	return r.Member, true
}

// Snapshot returns all members, including gone ones, ordered by server.
func (s *Set) Snapshot() []Member { return s.Since(time.Time{}) }

// Since returns the members that changed at or after the given time. A peer whose
// hash differs is first sent the recent changes, because a full snapshot of 920
// servers takes about 100 KB.
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
