package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Unix(1_800_000_000, 0)

// event is an event at one daemon.
type event struct {
	at     time.Time
	daemon int
	run    func(now time.Time)
}

// fleet simulates daemons in a ring that exchange members. A change is pushed on each
// link. A broken link loses the pushes of at most 500 ms; when it is restored, both
// ends send their snapshots. Hashes are compared each second.
type fleet struct {
	t              *rapid.T
	sets           []*Set
	events         []event
	brokenUntil    map[[2]int]time.Time
	highestState   map[string]State // Highest state signalled to any daemon, by memberID.
	leavingSince   map[string]time.Time
	lastSignalWins bool // Broken variant: the last signal replaces the state.
	fail           func(string, ...any)
}

func memberID(m Member) string { return fmt.Sprintf("%s/%d", m.Server, m.Incarnation) }

func (f *fleet) after(now time.Time, daemon int, d time.Duration, run func(time.Time)) {
	f.events = append(f.events, event{at: now.Add(d), daemon: daemon, run: run})
}

func (f *fleet) send(now time.Time, from, to int, members []Member) {
	if now.Before(f.brokenUntil[[2]int{min(from, to), max(from, to)}]) {
		return
	}
	for range rapid.IntRange(1, 2).Draw(f.t, "copies") {
		delay := time.Duration(rapid.IntRange(1, 50).Draw(f.t, "delay")) * time.Millisecond
		f.after(now, to, delay, func(now time.Time) { f.pushChanges(now, to, f.merge(now, to, members)) })
	}
}

func (f *fleet) merge(now time.Time, d int, members []Member) []Change {
	if f.lastSignalWins {
		for _, m := range members {
			if r := f.sets[d].members[m.Server]; r != nil && r.State != m.State {
				delete(f.sets[d].members, m.Server)
			}
		}
	}
	return f.sets[d].Merge(now, members)
}

func (f *fleet) pushChanges(now time.Time, d int, changes []Change) {
	var members []Member
	for _, c := range changes {
		if c.Share {
			members = append(members, c.Member)
		}
	}
	n := len(f.sets)
	if len(members) > 0 {
		f.send(now, d, (d+1)%n, members)
		f.send(now, d, (d+n-1)%n, members)
	}
}

func (f *fleet) compareHashes(now time.Time, d int) {
	n := len(f.sets)
	for _, peer := range []int{(d + 1) % n, (d + n - 1) % n} {
		if f.sets[d].Hash() != f.sets[peer].Hash() {
			f.exchangeSnapshots(now, d, peer)
		}
	}
}

func (f *fleet) exchangeSnapshots(now time.Time, a, b int) {
	f.send(now, a, b, f.sets[a].Snapshot())
	f.send(now, b, a, f.sets[b].Snapshot())
}

func (f *fleet) applySignal(now time.Time, d int, m Member, list bool) {
	f.highestState[memberID(m)] = max(f.highestState[memberID(m)], m.State)
	if m.State >= Leaving && f.leavingSince[memberID(m)].IsZero() {
		f.leavingSince[memberID(m)] = now
	}
	if f.lastSignalWins || !list {
		f.pushChanges(now, d, f.merge(now, d, []Member{m}))
		return
	}
	// The list contains one server; the others are absent, but never for the grace
	// time.
	f.pushChanges(now, d, f.sets[d].ApplyList(now, List{Taken: now.Add(-time.Minute), Members: []Member{m}}))
}

func (f *fleet) check(now time.Time) {
	for d, s := range f.sets {
		for _, m := range s.Snapshot() {
			since, ok := f.leavingSince[memberID(m)]
			if ok && m.Usable(now) && now.Sub(since) > 3*time.Second {
				f.fail("daemon %d uses leaving server %s %s after its first signal", d, memberID(m), now.Sub(since))
			}
		}
	}
}

func simulate(t *rapid.T, lastSignalWins bool, fail func(string, ...any)) {
	n := rapid.IntRange(2, 6).Draw(t, "daemons")
	f := &fleet{
		t: t, sets: make([]*Set, n), brokenUntil: map[[2]int]time.Time{},
		highestState: map[string]State{}, leavingSince: map[string]time.Time{}, lastSignalWins: lastSignalWins, fail: fail,
	}
	for d := range f.sets {
		f.sets[d] = &Set{}
		for s := range 12 {
			f.after(epoch, d, time.Duration(s)*time.Second, func(now time.Time) { f.compareHashes(now, d) })
		}
	}
	highest := map[string]int64{}
	for range rapid.IntRange(1, 30).Draw(t, "signals") {
		m := Member{
			Server:      rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "server"),
			Incarnation: rapid.Int64Range(1, 3).Draw(t, "incarnation"),
			State:       State(rapid.IntRange(1, 4).Draw(t, "state")),
		}
		highest[m.Server] = max(highest[m.Server], m.Incarnation)
		list := rapid.Bool().Draw(t, "list")
		for range rapid.IntRange(1, 3).Draw(t, "receivers") {
			d := rapid.IntRange(0, n-1).Draw(t, "daemon")
			at := time.Duration(rapid.IntRange(0, 6000).Draw(t, "at")) * time.Millisecond
			f.after(epoch, d, at, func(now time.Time) { f.applySignal(now, d, m, list) })
		}
	}
	for d := range n {
		link := [2]int{min(d, (d+1)%n), max(d, (d+1)%n)}
		at := time.Duration(rapid.IntRange(0, 6000).Draw(t, "break at")) * time.Millisecond
		span := time.Duration(rapid.IntRange(0, 500).Draw(t, "break for")) * time.Millisecond
		f.after(epoch, d, at, func(now time.Time) { f.brokenUntil[link] = now.Add(span) })
		f.after(epoch, d, at+span, func(now time.Time) { f.exchangeSnapshots(now, d, (d+1)%n) })
	}
	for len(f.events) > 0 {
		if len(f.events) > 1000 {
			fail("members are forwarded endlessly")
		}
		next := 0
		for i, e := range f.events {
			if e.at.Before(f.events[next].at) {
				next = i
			}
		}
		e := f.events[next]
		f.events = slices.Delete(f.events, next, next+1)
		e.run(e.at)
		f.check(e.at)
	}
	for d, s := range f.sets {
		for server, incarnation := range highest {
			m, _ := s.Get(server)
			if want := f.highestState[memberID(m)]; m.Incarnation != incarnation || m.State != want {
				fail("daemon %d has %s in state %s, want incarnation %d in state %s", d, memberID(m), m.State, incarnation, want)
			}
		}
		if s.Hash() != f.sets[0].Hash() {
			fail("daemon %d has hash %x, daemon 0 %x", d, s.Hash(), f.sets[0].Hash())
		}
	}
}

// Guards against new requests for a leaving server more than 3 s after the first
// signal at any daemon, an old list that adds a server again, and daemons that do not
// converge.
func TestSignalsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { simulate(t, false, t.Fatalf) })
}

// Checks that the properties of TestSignalsConverge detect a variant in which the
// last signal replaces the state.
func TestLastSignalWinsIsCaught(t *testing.T) {
	found := false
	for seed := 0; seed < 100 && !found; seed++ {
		rapid.Custom(func(t *rapid.T) int {
			defer func() {
				if found {
					_ = recover() // Ends this run after the violation was recorded.
				}
			}()
			simulate(t, true, func(string, ...any) {
				found = true
				panic("violation")
			})
			return 0
		}).Example(seed)
	}
	if !found {
		t.Error("a set in which the last signal replaces the state passes the property")
	}
}

// Guards against an instance that vanished but stays in use, an instance that becomes
// Gone because of a list older than its last report, and a gone instance that an old
// list adds again after it was forgotten.
func TestAbsence(t *testing.T) {
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	m := Member{Server: "a", Incarnation: 1, State: Serving}
	s := &Set{MaxGone: 1}
	s.Apply(at(0), Signal{Source: Engine, Member: m})
	s.ApplyList(at(1), List{Taken: at(-1)})
	if c := s.Tick(at(60)); len(c) != 0 {
		t.Errorf("a list older than the sighting removed %v", c)
	}
	s.ApplyList(at(60), List{Taken: at(59)})
	s.Apply(at(70), Signal{Source: Engine, Member: m})
	if c := s.Tick(at(100)); len(c) != 0 {
		t.Errorf("a server that has reported again was removed: %v", c)
	}
	s.ApplyList(at(100), List{Taken: at(99)})
	if c := s.Tick(at(130)); len(c) != 1 || c[0].Member.State != Gone || !c[0].Share {
		t.Errorf("an absent server gave %v", c)
	}
	s.Apply(at(131), Signal{Source: Notice, Member: Member{Server: "b", Incarnation: 1, State: Gone}})
	s.Tick(at(132))
	s.ApplyList(at(133), List{Taken: at(90), Members: []Member{m}})
	if got, ok := s.Get("a"); ok {
		t.Errorf("an old list brought back %v", got)
	}
}

// Guards against connection failures that end a server, and against suspicion that
// does not end.
func TestSuspicion(t *testing.T) {
	s := &Set{}
	m := Member{Server: "a", Incarnation: 2, State: Serving}
	s.Apply(epoch, Signal{Source: Engine, Member: m})
	var spans []time.Duration
	for range 3 {
		c, _ := s.Apply(epoch, Signal{Source: ConnectionFailure, Member: Member{Server: "a"}})
		spans = append(spans, c.Member.SuspectUntil.Sub(epoch))
	}
	if want := []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second}; !slices.Equal(spans, want) {
		t.Errorf("suspicion lasts %v, want %v", spans, want)
	}
	got, _ := s.Get("a")
	if got.Usable(epoch) || !got.Usable(epoch.Add(8*time.Second)) || got.State != Serving {
		t.Errorf("suspected server is %+v", got)
	}
	s.Apply(epoch, Signal{Source: Engine, Member: m})
	if got, _ = s.Get("a"); got.State != Serving || !got.Usable(epoch) {
		t.Errorf("server that answered is %+v", got)
	}
}
