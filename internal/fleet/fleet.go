// Package fleet keeps the set of backend servers that a daemon may use. Its input is the
// servers' registrations in the platform's store, which lapse while the store is
// unavailable and may be unreadable. It has no sockets, goroutines or clock.
//
// An incarnation of a server that was once seen leaving stays so, whatever an older
// listing states. Servers state it in their registrations and in their answers.
package fleet

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// lapseGrace is how long a server is kept whose registration ended shortly after an
	// outage of the store. Registrations that lapsed in the outage return within 2 s
	// (platform specification).
	lapseGrace = 2 * time.Second
	// outageMemory is how long after an outage of the store an ended registration may
	// have lapsed because of it.
	outageMemory = 4 * time.Second
	// unreadableGrace is how long a server is kept whose registration became unreadable. A
	// server that lives rewrites its own within a heartbeat (1.2 s on the users' platform).
	unreadableGrace = 2 * time.Second
	// confirmAfter is how long a registration that had ended stays in the store after it came
	// back with a copy, before its server counts as alive. The store removes the entries of
	// silent servers after three heartbeats, 3.6 s at the interval of the specification.
	confirmAfter = 5 * time.Second
	// leavingMemory is how long a leaving incarnation is remembered.
	leavingMemory = 5 * time.Minute
)

// Server is one incarnation of a backend server.
type Server struct {
	ID string
	// Incarnation is the start time of the server in Unix milliseconds; 0 means not
	// stated.
	Incarnation int64
	Address     string
	Service     string
	// Version is that of the server's software. Versions have no order.
	Version string
	Place   string
	// Slots is how many requests the server runs at a time.
	Slots int
	// Leaving means that the server takes no new work.
	Leaving bool
	// Warmup is the time for which the server still works slowly.
	Warmup time.Duration
	// Reclaimable marks a cheap server that the platform may reclaim at short notice.
	Reclaimable bool
	// Remaining is the time until a leaving server ends; 0 means unknown.
	Remaining time.Duration
	// Engine means that the server runs models.
	Engine bool
}

// Registration is a server's entry in the store. Server is nil if the entry was deleted
// or can't be read.
type Registration struct {
	ID       string
	Revision int64
	// Era is the era of the store to which Revision belongs.
	Era    int64
	Server *Server
	// MayReturn is set for a deleted entry that may be written again, because the store was
	// unavailable before.
	MayReturn bool
	// Unreadable is the reason why an entry that was not deleted names no server.
	Unreadable string
}

// Member is a server in the set, with its state.
type Member struct {
	Server
	// UpdatedAt is when a registration of the server was last applied.
	UpdatedAt time.Time
	// LeavingSince is when the server was first seen leaving or gone; zero means neither.
	LeavingSince time.Time
	// EndsAt is when a leaving server ends, if it stated a remaining time.
	EndsAt time.Time
	// revision is that of the last registration applied.
	revision int64
	// lapsedAt is when the registration ended, if the server may still be alive.
	lapsedAt time.Time
	// leavingByAnswer means that the server stated only in an answer that it is leaving, and
	// its registration does not show it yet.
	leavingByAnswer bool
	// unreadableAt is when the registration was replaced by an unreadable one.
	unreadableAt time.Time
	// unconfirmedUntil is set while the registration may be one that had ended and came back
	// with a copy of the store.
	unconfirmedUntil time.Time
}

// Accepting reports whether the server may get new work.
func (m *Member) Accepting() bool { return m.LeavingSince.IsZero() && m.unconfirmedUntil.IsZero() }

// Incarnation identifies one start of a server.
type Incarnation struct {
	ID string
	// Start is the Incarnation of a Server.
	Start int64
}

// leavingRecord is how an incarnation was seen leaving.
type leavingRecord struct {
	since    time.Time
	byAnswer bool
}

// endedRecord is when, in which era of the store and at which revision a registration ended.
type endedRecord struct {
	at            time.Time
	era, revision int64
}

// Change is a change of a member that routing may depend on.
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

// Set holds the members. It is not safe for concurrent use.
type Set struct {
	members map[string]*Member
	leaving map[Incarnation]leavingRecord
	// ended holds how registrations ended.
	ended      map[Incarnation]endedRecord
	lastOutage time.Time
	era        int64
	// restoredAt is when the present era was noted, unless it is the first.
	restoredAt time.Time
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{members: map[string]*Member{}, leaving: map[Incarnation]leavingRecord{}, ended: map[Incarnation]endedRecord{}}
}

// Lapsed reports whether the registration of a server has ended and may return.
func (s *Set) Lapsed(id string) bool {
	m := s.members[id]
	return m != nil && !m.lapsedAt.IsZero()
}

// NoteOutage records that the store did not answer.
func (s *Set) NoteOutage(now time.Time) { s.lastOutage = now }

// Era returns the latest era of the store.
func (s *Set) Era() int64 { return s.era }

// NoteEra records an era of the store and reports whether it is a new one. After the first,
// a new one means that the store came back from a copy: revisions are given out again, and
// servers that registered after the copy was made write their entries again.
func (s *Set) NoteEra(now time.Time, era int64) bool {
	if era <= s.era {
		return false
	}
	if s.era > 0 {
		s.restoredAt = now
		for _, m := range s.members {
			m.revision = 0
		}
	}
	s.era = era
	return true
}

// Apply applies a registration and returns the resulting change, if any. It ignores
// registrations that are not newer than the last one applied.
func (s *Set) Apply(now time.Time, r Registration) (Change, bool) {
	s.NoteEra(now, r.Era)
	m := s.members[r.ID]
	if r.Era < s.era || m != nil && r.Revision <= m.revision {
		return Change{}, false
	}
	switch {
	case r.Unreadable != "":
		return s.noteUnreadable(now, m, r.Revision)
	case r.Server == nil:
		return s.endRegistration(now, m, r.Revision, r.MayReturn)
	case m != nil && contradicts(m.Server, *r.Server):
		return s.noteUnreadable(now, m, r.Revision)
	}
	if m == nil || m.Incarnation != r.Server.Incarnation {
		if e, ok := s.ended[Incarnation{r.ID, r.Server.Incarnation}]; ok && e.era == r.Era && r.Revision <= e.revision {
			return Change{}, false // Read before the registration ended.
		}
		return s.add(now, m, r)
	}
	before := m.Server
	m.Server, m.revision, m.UpdatedAt = *r.Server, r.Revision, now
	confirmed := !m.unconfirmedUntil.IsZero() // The server has written it since the restore.
	m.lapsedAt, m.unreadableAt, m.unconfirmedUntil = time.Time{}, time.Time{}, time.Time{}
	switch {
	case m.Leaving && m.LeavingSince.IsZero():
		s.markLeaving(now, m, false)
		return Change{Member: *m, Event: Leaving}, true
	case m.Leaving && m.leavingByAnswer:
		m.leavingByAnswer = false
		return Change{Member: *m, Event: Changed}, true
	}
	m.Leaving = !m.LeavingSince.IsZero()
	before.Warmup, before.Remaining = m.Warmup, m.Remaining
	return Change{Member: *m, Event: Changed}, confirmed || before != m.Server
}

// contradicts reports whether a registration can't be that of the server that registered before: a
// server that stated its start time states it always, and keeps its service until it starts anew.
func contradicts(before, registered Server) bool {
	if before.Incarnation == 0 {
		return false
	}
	return registered.Incarnation == 0 || registered.Incarnation == before.Incarnation && registered.Service != before.Service
}

func (s *Set) add(now time.Time, old *Member, r Registration) (Change, bool) {
	m := &Member{Server: *r.Server, revision: r.Revision, UpdatedAt: now}
	s.members[r.ID] = m
	if e, ok := s.ended[Incarnation{r.ID, m.Incarnation}]; ok && e.era < s.era {
		m.unconfirmedUntil = now.Add(confirmAfter)
	}
	if l, ok := s.leaving[Incarnation{r.ID, m.Incarnation}]; ok {
		m.leavingByAnswer = l.byAnswer && !m.Leaving
		m.LeavingSince, m.Leaving = l.since, true
	}
	if m.Leaving && m.LeavingSince.IsZero() {
		s.markLeaving(now, m, false)
	}
	event := Added
	if !m.LeavingSince.IsZero() {
		event = Leaving
	}
	return Change{Member: *m, Event: event}, old == nil || m.LeavingSince.IsZero()
}

// NoteLeaving records that an incarnation of a server stated in an answer that it is leaving.
// It returns the resulting change, if any. It has no effect on other incarnations.
func (s *Set) NoteLeaving(now time.Time, i Incarnation) (Change, bool) {
	m := s.members[i.ID]
	switch _, known := s.leaving[i]; {
	case known:
		return Change{}, false
	case m == nil || m.Incarnation != i.Start:
		s.leaving[i] = leavingRecord{now, true} // It may still register.
		return Change{}, false
	}
	s.markLeaving(now, m, true)
	return Change{Member: *m, Event: Leaving}, true
}

// LeavingByAnswer returns the incarnations for NoteLeaving of another Set.
func (s *Set) LeavingByAnswer() []Incarnation {
	var list []Incarnation
	for i, l := range s.leaving {
		if l.byAnswer {
			list = append(list, i)
		}
	}
	return list
}

func (s *Set) markLeaving(now time.Time, m *Member, byAnswer bool) {
	m.LeavingSince, m.Leaving, m.leavingByAnswer = now, true, byAnswer
	if m.Remaining > 0 {
		m.EndsAt = now.Add(m.Remaining)
	}
	s.leaving[Incarnation{m.ID, m.Incarnation}] = leavingRecord{now, byAnswer}
}

// endRegistration handles the end of a registration. Shortly after an outage, or if the store
// came back from a copy without it, it keeps the member, which Expire removes if its
// registration does not return. mayReturn means that a peer does so.
func (s *Set) endRegistration(now time.Time, m *Member, revision int64, mayReturn bool) (Change, bool) {
	if m == nil {
		return Change{}, false
	}
	seen := m.revision > 0 // In the present era.
	m.revision = revision
	switch {
	case !m.LeavingSince.IsZero():
	case !m.lapsedAt.IsZero():
		return Change{}, false
	case !seen && now.Sub(s.restoredAt) < lapseGrace:
		m.lapsedAt = s.restoredAt
		return Change{}, false
	case mayReturn, !s.lastOutage.IsZero() && now.Sub(s.lastOutage) < outageMemory:
		m.lapsedAt = now
		return Change{}, false
	}
	return s.remove(now, m), true
}

// noteUnreadable handles a registration that another writer may have spoilt. It keeps the
// member, which Expire removes if the server does not write a readable one again.
func (s *Set) noteUnreadable(now time.Time, m *Member, revision int64) (Change, bool) {
	if m == nil {
		return Change{}, false
	}
	m.revision = revision
	if m.unreadableAt.IsZero() {
		m.unreadableAt = now
	}
	return Change{Member: *m, Event: Changed}, true
}

func (s *Set) remove(now time.Time, m *Member) Change {
	if m.LeavingSince.IsZero() {
		m.LeavingSince, m.Leaving = now, true
	}
	delete(s.members, m.ID)
	s.ended[Incarnation{m.ID, m.Incarnation}] = endedRecord{now, s.era, m.revision}
	return Change{Member: *m, Event: Gone}
}

// Replace applies a complete listing as of a revision of the present era. It ends the registration of
// members that are not listed and not newer than the listing.
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
		if c, ok := s.endRegistration(now, m, revision, false); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

// Expire removes members whose registration lapsed and has not returned within lapseGrace,
// or was unreadable for unreadableGrace.
func (s *Set) Expire(now time.Time) []Change {
	var changes []Change
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		m := s.members[id]
		if !m.lapsedAt.IsZero() && now.Sub(m.lapsedAt) >= lapseGrace ||
			!m.unreadableAt.IsZero() && now.Sub(m.unreadableAt) >= unreadableGrace {
			changes = append(changes, s.remove(now, m))
			continue
		}
		if !m.unconfirmedUntil.IsZero() && !now.Before(m.unconfirmedUntil) {
			m.unconfirmedUntil = time.Time{}
			changes = append(changes, Change{Member: *m, Event: Changed})
		}
	}
	maps.DeleteFunc(s.ended, func(_ Incarnation, e endedRecord) bool { return now.Sub(e.at) > leavingMemory })
	for i, l := range s.leaving {
		if now.Sub(l.since) > leavingMemory {
			delete(s.leaving, i)
		}
	}
	return changes
}

// Hash returns a hash of the registered servers. Daemons compare it to see whether they
// have read the same registrations, so that it does not cover what servers stated in answers.
func (s *Set) Hash() uint64 {
	sum := uint64(0)
	for _, m := range s.members {
		if !m.lapsedAt.IsZero() {
			continue
		}
		d := xxhash.New()
		var state [9]byte
		binary.LittleEndian.PutUint64(state[:], uint64(m.Incarnation))
		if m.Leaving && !m.leavingByAnswer {
			state[8] = 1
		}
		_, _ = d.Write(state[:])
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
