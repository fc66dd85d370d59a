// Package fleet keeps the backend servers that a daemon may use. Its input is the
// servers' own registrations in the platform's store, which lapse while the store
// is away and may be unreadable. It has no sockets, goroutines or clock.
//
// A server that was seen leaving stays so for its incarnation, whatever an older
// listing says later.
package fleet

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// lapseGrace is how long a server whose registration ended is kept when the
	// store was away shortly before: registrations that lapsed meanwhile are back
	// within 2 s (letter 2).
	lapseGrace = 2 * time.Second
	// outageMemory is how long after an outage of the store an ended registration
	// may be one that lapsed during it.
	outageMemory = 4 * time.Second
	// leftMemory is how long the leaving of an incarnation is remembered after its
	// registration ended.
	leftMemory = 5 * time.Minute
)

// Server is one incarnation of a backend server.
type Server struct {
	ID string
	// Incarnation is the start time of the server in Unix milliseconds, 0 when it
	// does not state one.
	Incarnation int64
	Address     string
	Service     string
	Place       string
	// Slots is how many requests the server runs at a time.
	Slots int
	// Leaving says that the server takes no new work.
	Leaving bool
	// Warmup is for how much longer the server works slowly.
	Warmup time.Duration
	// Reclaimable marks a cheap server that may be taken away at short notice.
	Reclaimable bool
	// Remaining is the time to the end of a leaving server; 0 means unknown.
	Remaining time.Duration
	// Engine says that the server runs models.
	Engine bool
}

// Registration is one entry of the store. Server is nil when the entry ended or
// can't be read.
type Registration struct {
	ID       string
	Revision int64
	Server   *Server
}

// Member is a server as this daemon knows it.
type Member struct {
	Server
	// Seen is when the registration last changed.
	Seen time.Time
	// Left is when the server was first known to leave or to be gone.
	Left time.Time
	// Ends is when a leaving server that stated it will be gone.
	Ends time.Time
	// revision is that of the last registration that was applied.
	revision int64
	// lapsed is when the registration ended while the server may live.
	lapsed time.Time
}

// Accepting says whether the server may get new work.
func (m *Member) Accepting() bool { return m.Left.IsZero() }

type incarnation struct {
	id    string
	start int64
}

// Change is a change of a member that matters to routing.
type Change struct {
	Member Member
	// Event is Added, Leaving, Gone or Changed.
	Event string
}

// Events of a Change.
const (
	Added   = "Added"
	Leaving = "Leaving"
	Gone    = "Gone"
	Changed = "Changed"
)

// Set holds the members. It has no lock.
type Set struct {
	members map[string]*Member
	left    map[incarnation]time.Time
	outage  time.Time
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{members: map[string]*Member{}, left: map[incarnation]time.Time{}}
}

// Outage notes that the store did not answer.
func (s *Set) Outage(now time.Time) { s.outage = now }

// Apply takes one registration and returns the change that follows, if any.
// Registrations that are older than the one known are ignored.
func (s *Set) Apply(now time.Time, r Registration) (Change, bool) {
	m := s.members[r.ID]
	if m != nil && r.Revision <= m.revision {
		return Change{}, false
	}
	if r.Server == nil {
		return s.ended(now, m, r.Revision)
	}
	if m == nil || m.Incarnation != r.Server.Incarnation {
		return s.add(now, m, r)
	}
	before := m.Server
	m.Server, m.revision, m.Seen, m.lapsed = *r.Server, r.Revision, now, time.Time{}
	if m.Leaving && m.Left.IsZero() {
		s.leave(now, m)
		return Change{Member: *m, Event: Leaving}, true
	}
	m.Leaving = !m.Left.IsZero()
	before.Warmup, before.Remaining = m.Warmup, m.Remaining
	return Change{Member: *m, Event: Changed}, before != m.Server
}

func (s *Set) add(now time.Time, old *Member, r Registration) (Change, bool) {
	m := &Member{Server: *r.Server, revision: r.Revision, Seen: now}
	s.members[r.ID] = m
	if at, ok := s.left[incarnation{r.ID, m.Incarnation}]; ok {
		m.Left, m.Leaving = at, true
	}
	if m.Leaving && m.Left.IsZero() {
		s.leave(now, m)
	}
	event := Added
	if !m.Left.IsZero() {
		event = Leaving
	}
	return Change{Member: *m, Event: event}, old == nil || m.Left.IsZero()
}

func (s *Set) leave(now time.Time, m *Member) {
	m.Left, m.Leaving = now, true
	if m.Remaining > 0 {
		m.Ends = now.Add(m.Remaining)
	}
	s.left[incarnation{m.ID, m.Incarnation}] = now
}

// ended takes the end of a registration.
func (s *Set) ended(now time.Time, m *Member, revision int64) (Change, bool) {
	if m == nil {
		return Change{}, false
	}
	m.revision = revision
	if m.Left.IsZero() && !s.outage.IsZero() && now.Sub(s.outage) < outageMemory {
		if m.lapsed.IsZero() {
			m.lapsed = now
		}
		return Change{}, false
	}
	return s.gone(now, m), true
}

func (s *Set) gone(now time.Time, m *Member) Change {
	if m.Left.IsZero() {
		m.Left, m.Leaving = now, true
	}
	delete(s.members, m.ID)
	return Change{Member: *m, Event: Gone}
}

// Replace takes a whole listing as of a revision. Members that are not in it and
// were registered before it have ended.
func (s *Set) Replace(now time.Time, revision int64, listed []Registration) []Change {
	var changes []Change
	present := make(map[string]bool, len(listed))
	for _, r := range listed {
		present[r.ID] = true
		if c, ok := s.Apply(now, r); ok {
			changes = append(changes, c)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		m := s.members[id]
		if present[id] || m.revision > revision {
			continue
		}
		if c, ok := s.ended(now, m, revision); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

// Expire removes the members whose registration lapsed and did not return.
func (s *Set) Expire(now time.Time) []Change {
	var changes []Change
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		if m := s.members[id]; !m.lapsed.IsZero() && now.Sub(m.lapsed) >= lapseGrace {
			changes = append(changes, s.gone(now, m))
		}
	}
	for k, at := range s.left {
		if now.Sub(at) > leftMemory {
			delete(s.left, k)
		}
	}
	return changes
}

// Hash returns a hash of the registered servers, by which daemons that exchange
// changes see whether they know the same.
func (s *Set) Hash() uint64 {
	sum := uint64(0)
	for _, m := range s.members {
		if !m.lapsed.IsZero() {
			continue
		}
		d := xxhash.New()
		var start [9]byte
		binary.LittleEndian.PutUint64(start[:], uint64(m.Incarnation))
		if m.Leaving {
			start[8] = 1
		}
		_, _ = d.Write(start[:])
		_, _ = d.WriteString(m.ID + "\x00" + m.Service + "\x00" + m.Address)
		sum += d.Sum64()
	}
	return sum
}

// Members returns the members in order of their ids.
func (s *Set) Members() []Member {
	list := make([]Member, 0, len(s.members))
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		list = append(list, *s.members[id])
	}
	return list
}
