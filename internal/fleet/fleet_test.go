package fleet

import (
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func registration(id string, revision, incarnation int64, leaving bool) Registration {
	return Registration{ID: id, Revision: revision, Server: &Server{ID: id, Incarnation: incarnation, Address: id, Leaving: leaving}}
}

func acceptingIDs(s *Set) string {
	ids := ""
	for _, m := range s.Members() {
		if m.Accepting() {
			ids += m.ID
		}
	}
	return ids
}

// TestLeavingStays guards against accepting a leaving server again because of an older
// listing, a repeated registration or a lapse.
func TestLeavingStays(t *testing.T) {
	s := NewSet()
	s.Apply(at(0), registration("a", 1, 7, false))
	s.Apply(at(0), registration("b", 2, 7, false))
	if c, ok := s.Apply(at(time.Second), registration("a", 5, 7, true)); !ok || c.Event != Leaving {
		t.Fatalf("leaving was reported as %v, %v", c.Event, ok)
	}
	s.Apply(at(2*time.Second), registration("a", 4, 7, false)) // An older revision.
	s.Apply(at(3*time.Second), registration("a", 6, 7, false)) // The same incarnation, registered again.
	if got := acceptingIDs(s); got != "b" {
		t.Errorf("accepting %q after an older listing", got)
	}
	s.Apply(at(4*time.Second), Registration{ID: "a", Revision: 8})
	s.Apply(at(5*time.Second), registration("a", 9, 7, false))
	if got := acceptingIDs(s); got != "b" {
		t.Errorf("accepting %q after the registration ended and came back", got)
	}
	s.Apply(at(6*time.Second), registration("a", 10, 8, false))
	if got := acceptingIDs(s); got != "ab" {
		t.Errorf("accepting %q after a new start under the same id", got)
	}
}

// TestOlderListingDoesNotBringBackEndedServer guards against new work for an ended server because of an older listing.
func TestOlderListingDoesNotBringBackEndedServer(t *testing.T) {
	s := NewSet()
	s.Apply(at(0), registration("a", 5, 7, false))
	s.Apply(at(time.Second), Registration{ID: "a", Revision: 8})
	if _, ok := s.Apply(at(2*time.Second), registration("a", 5, 7, false)); ok || acceptingIDs(s) != "" {
		t.Errorf("accepting %q after a single older entry", acceptingIDs(s))
	}
	if changes := s.Replace(at(2*time.Second), 7, []Registration{registration("a", 6, 7, false)}); len(changes) > 0 || acceptingIDs(s) != "" {
		t.Errorf("accepting %q after an older listing", acceptingIDs(s))
	}
	s.Apply(at(3*time.Second), registration("a", 9, 7, false))
	if got := acceptingIDs(s); got != "a" {
		t.Errorf("accepting %q after the server registered again", got)
	}
}

// TestLapse guards against dropping all servers when their registrations lapse in an
// outage of the store, and against keeping those that do not return.
func TestLapse(t *testing.T) {
	s := NewSet()
	s.Replace(at(0), 10, []Registration{registration("a", 1, 7, false), registration("b", 2, 7, false)})
	s.NoteOutage(at(time.Second))
	if changes := s.Replace(at(2*time.Second), 20, nil); len(changes) > 0 {
		t.Fatalf("a lapse right after an outage gave %v", changes)
	}
	s.Apply(at(3*time.Second), registration("a", 21, 7, false))
	if changes := s.Expire(at(3900 * time.Millisecond)); len(changes) > 0 {
		t.Errorf("lapsed registrations ended early: %v", changes)
	}
	changes := s.Expire(at(4 * time.Second))
	if len(changes) != 1 || changes[0].Event != Gone || changes[0].Member.ID != "b" {
		t.Errorf("changes %v, want the end of b", changes)
	}
	if got := acceptingIDs(s); got != "a" {
		t.Errorf("accepting %q", got)
	}
	// Without an outage the server is removed at once.
	if c, ok := s.Apply(at(time.Minute), Registration{ID: "a", Revision: 30}); !ok || c.Event != Gone {
		t.Errorf("the end of a registration gave %v, %v", c.Event, ok)
	}
}

// TestReplaceKeepsNewer guards against removing a server that registered while the
// listing was read: the pages of a listing are not a snapshot.
func TestReplaceKeepsNewer(t *testing.T) {
	s := NewSet()
	s.Apply(at(0), registration("new", 15, 7, false))
	s.Replace(at(0), 10, []Registration{registration("a", 1, 7, false)})
	if got := acceptingIDs(s); got != "anew" {
		t.Errorf("accepting %q", got)
	}
}

// TestUnreadable guards against an unreadable entry that prevents others from being
// applied.
func TestUnreadable(t *testing.T) {
	s := NewSet()
	s.Replace(at(0), 10, []Registration{{ID: "bad", Revision: 3}, registration("a", 1, 7, false)})
	if got := acceptingIDs(s); got != "a" {
		t.Errorf("accepting %q", got)
	}
}

// TestUnreadableReplacement guards against losing a server because another writer spoilt its
// registration, and against keeping one that does not write a readable one again.
func TestUnreadableReplacement(t *testing.T) {
	s := NewSet()
	s.Replace(at(0), 10, []Registration{registration("a", 1, 7, false), registration("b", 2, 7, false)})
	for _, id := range []string{"a", "b"} {
		s.Apply(at(time.Second), Registration{ID: id, Revision: 11, Unreadable: "port 99999"})
	}
	s.Apply(at(2*time.Second), registration("a", 12, 7, false))
	if got := acceptingIDs(s); got != "ab" {
		t.Errorf("accepting %q while registrations are unreadable, want ab", got)
	}
	s.Expire(at(time.Second + unreadableGrace))
	if got := acceptingIDs(s); got != "a" {
		t.Errorf("accepting %q after the grace time, want a", got)
	}
	s.Apply(at(5*time.Second), registration("b", 13, 7, false))
	if got := acceptingIDs(s); got != "ab" {
		t.Errorf("accepting %q after both are readable again, want ab", got)
	}
}

// TestRegistrationOfAnotherService guards against sending requests of one service to a server of
// another, because another writer changed the service in its registration.
func TestRegistrationOfAnotherService(t *testing.T) {
	for name, incarnation := range map[string]int64{"start time missing": 0, "same start time": 7} {
		s := NewSet()
		own := registration("a", 1, 7, false)
		own.Server.Service = "own"
		s.Replace(at(0), 10, []Registration{own})
		odd := registration("a", 11, incarnation, false)
		odd.Server.Service = "other"
		s.Apply(at(time.Second), odd)
		if m := s.Members()[0]; m.Service != "own" || !m.Accepting() {
			t.Errorf("%s: member %+v", name, m)
		}
		s.Expire(at(time.Second + unreadableGrace))
		if got := acceptingIDs(s); got != "" {
			t.Errorf("%s: accepting %q after the grace time, want none", name, got)
		}
	}
}

// TestLeavingByAnswer guards against new work for a server that stated in an answer that it is
// leaving, and against keeping work from its next incarnation.
func TestLeavingByAnswer(t *testing.T) {
	s := NewSet()
	s.Replace(at(0), 10, []Registration{registration("a", 1, 7, false), registration("b", 2, 7, false)})
	if c, ok := s.NoteLeaving(at(1), Incarnation{"a", 7}); !ok || c.Event != Leaving {
		t.Errorf("change %+v, %v", c, ok)
	}
	if _, ok := s.NoteLeaving(at(2), Incarnation{"a", 7}); ok {
		t.Error("the same statement is new again")
	}
	s.NoteLeaving(at(2), Incarnation{"b", 6})
	s.Apply(at(3), registration("a", 11, 7, false))
	if got := acceptingIDs(s); got != "b" {
		t.Errorf("accepting %q, want b", got)
	}
	s.Apply(at(4), registration("a", 12, 8, false))
	if got := acceptingIDs(s); got != "ab" {
		t.Errorf("accepting %q after a new start of a, want ab", got)
	}
	// A daemon that has just started may hear of it before it has listed the servers.
	late := NewSet()
	for _, i := range s.LeavingByAnswer() {
		late.NoteLeaving(at(5), i)
	}
	late.Replace(at(6), 12, []Registration{registration("a", 1, 7, false), registration("b", 2, 7, false)})
	if got := acceptingIDs(late); got != "b" {
		t.Errorf("accepting %q, want b", got)
	}
}

// TestHashOfLeavingByAnswer guards against reading the store again because daemons differ in
// what servers stated in answers, and against missing that the registration states it too.
func TestHashOfLeavingByAnswer(t *testing.T) {
	one, two := NewSet(), NewSet()
	for _, s := range []*Set{one, two} {
		s.Replace(at(0), 10, []Registration{registration("a", 1, 7, false)})
	}
	one.NoteLeaving(at(1), Incarnation{"a", 7})
	if one.Hash() != two.Hash() {
		t.Error("equal registrations have different hashes")
	}
	if c, ok := one.Apply(at(2), registration("a", 11, 7, true)); !ok || c.Event != Changed {
		t.Errorf("change %+v, %v", c, ok)
	}
	if one.Hash() == two.Hash() {
		t.Error("a registration as leaving does not change the hash")
	}
	two.Apply(at(2), registration("a", 11, 7, true))
	if one.Hash() != two.Hash() {
		t.Error("equal registrations have different hashes")
	}
}

// TestHash guards against daemons with different sets that compare as equal.
func TestHash(t *testing.T) {
	one, two := NewSet(), NewSet()
	one.Replace(at(0), 10, []Registration{registration("a", 1, 7, false), registration("b", 2, 7, false)})
	two.Apply(at(0), registration("b", 2, 7, false))
	if one.Hash() == two.Hash() {
		t.Error("different sets have equal hashes")
	}
	two.Apply(at(0), registration("a", 1, 7, false))
	if one.Hash() != two.Hash() {
		t.Error("equal sets have different hashes")
	}
	two.Apply(at(0), registration("a", 5, 7, true))
	if one.Hash() == two.Hash() {
		t.Error("a leaving server does not change the hash")
	}
}

// TestRevisionsOfALaterEraAreNewer guards against ignoring what is written after the store came
// back from a copy, and against applying what a peer sends from before.
func TestRevisionsOfALaterEraAreNewer(t *testing.T) {
	inEra := func(era int64, r Registration) Registration {
		r.Era = era
		return r
	}
	s := NewSet()
	s.Apply(at(0), inEra(1, registration("a", 100, 7, false)))
	s.Apply(at(0), inEra(1, registration("b", 101, 7, false)))
	if s.NoteEra(at(0), 1) || !s.NoteEra(at(1), 2) || s.NoteEra(at(2), 1) || s.Era() != 2 {
		t.Error("eras are not in order")
	}
	if _, ok := s.Apply(at(3), inEra(1, registration("a", 200, 7, true))); ok {
		t.Error("an entry of the earlier era is applied")
	}
	if c, ok := s.Apply(at(3), inEra(2, registration("a", 60, 7, true))); !ok || c.Event != Leaving {
		t.Errorf("got %+v, %v, want that a leaves", c, ok)
	}
	if changes := s.Replace(at(4), 61, []Registration{inEra(2, registration("a", 60, 7, true))}); len(changes) != 0 {
		t.Errorf("%+v, want to keep a server that has not written its entry again yet", changes)
	}
	if c, ok := s.Apply(at(5), inEra(2, registration("b", 62, 7, false))); ok {
		t.Errorf("%+v, want no change of a server that has written the same entry again", c)
	}
	if changes := s.Expire(at(time.Minute)); len(changes) != 0 {
		t.Errorf("%+v, want to keep it", changes)
	}
}

// TestEndedServerIsNotUsedBecauseOfACopy guards against sending requests to a server whose
// registration had ended before the store came back from a copy that still has it.
func TestEndedServerIsNotUsedBecauseOfACopy(t *testing.T) {
	s := NewSet()
	for id, revision := range map[string]int64{"a": 1, "b": 2} {
		r := registration(id, revision, 7, false)
		r.Era = 1
		s.Apply(at(0), r)
	}
	ended := registration("a", 9, 7, false)
	ended.Server, ended.Era = nil, 1
	if c, ok := s.Apply(at(time.Second), ended); !ok || c.Event != Gone {
		t.Fatalf("got %+v, %v", c, ok)
	}
	copied := registration("a", 1, 7, false)
	copied.Era = 2
	s.Apply(at(2*time.Second), copied)
	if got := acceptingIDs(s); got != "b" {
		t.Errorf("accepting %q after the restore, want b", got)
	}
	if changes := s.Expire(at(4 * time.Second)); len(changes) != 0 {
		t.Errorf("%+v while the entry may be an old one", changes)
	}
	s.Expire(at(8 * time.Second))
	if got := acceptingIDs(s); got != "ab" {
		t.Errorf("accepting %q, want ab: the server keeps its entry, so it is alive", got)
	}
}

// TestServerRemovedAfterARestoreIsGoneAtOnce guards against keeping a server that was removed long
// after the restore as if it were missing from the copy.
func TestServerRemovedAfterARestoreIsGoneAtOnce(t *testing.T) {
	for _, seen := range []bool{true, false} {
		s := NewSet()
		for id, revision := range map[string]int64{"a": 100, "b": 101} {
			r := registration(id, revision, 7, false)
			r.Era = 1
			s.Apply(at(0), r)
		}
		s.NoteEra(at(time.Second), 2)
		if seen { // A daemon that reads the store; others learn of changes only.
			r := registration("a", 60, 7, false)
			r.Era = 2
			s.Apply(at(time.Second), r)
		}
		if c, ok := s.Apply(at(3500*time.Millisecond), Registration{ID: "a", Revision: 70, Era: 2}); !ok || c.Event != Gone {
			t.Errorf("seen since the restore: %v: got %+v, %v, want that a is gone", seen, c, ok)
		}
	}
}
