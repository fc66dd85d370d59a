package allowance

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func daemons(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("d%03d", i)
	}
	return list
}

// TestSharesAddUpToTheRate guards against shares that together exceed what the server takes in
// any 4 s, at any rate and number of daemons.
func TestSharesAddUpToTheRate(t *testing.T) {
	const span = 4.0
	for _, n := range []int{1, 2, 3, 6, 8, 74, 295} {
		for _, perSecond := range []float64{0, 0.1, 0.25, 0.5, 1, 1.5, 2.9, 4, 10, 60, 500} {
			var s Set
			i := Incarnation{Server: "s", Start: 1}
			s.Note(Statement{Incarnation: i, Limited: true, PerSecond: perSecond, SentAt: start, At: start})
			requests, rate := 0.0, 0.0
			for _, d := range daemons(n) {
				share := s.Share(i, d, daemons(n), true)
				if share != (Share{}) && share.Burst < 1 {
					t.Errorf("rate %v, %d daemons: burst %v never allows a request", perSecond, n, share.Burst)
				}
				requests += share.Burst + span*share.PerSecond
				rate += share.PerSecond
			}
			if allowed := 1.5*span*perSecond + 5; requests > allowed {
				t.Errorf("rate %v, %d daemons: %v requests in 4 s, %v are allowed", perSecond, n, requests, allowed)
			}
			if rate < perSecond*0.999 {
				t.Errorf("rate %v, %d daemons: only %v is shared out", perSecond, n, rate)
			}
		}
	}
}

// TestDaemonWithoutListTakesShareAmongMany guards against a daemon that has just started and
// takes the whole rate.
func TestDaemonWithoutListTakesShareAmongMany(t *testing.T) {
	var s Set
	i := Incarnation{Server: "s", Start: 1}
	s.Note(Statement{Incarnation: i, Limited: true, PerSecond: 2, SentAt: start, At: start})
	got := s.Share(i, "d000", daemons(1), false)
	if want := (Share{PerSecond: 0.5, Burst: 1}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestLateAnswersDoNotRaiseTheRate guards against lifting a limit by an answer that the server
// gave before it named the limit, and against keeping it after it is over.
func TestLateAnswersDoNotRaiseTheRate(t *testing.T) {
	i := Incarnation{Server: "s", Start: 1}
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	type step struct {
		limited              bool
		perSecond            float64
		sent, arrived        int
		wantChanged, wantNew bool
	}
	var s Set
	for n, st := range []step{
		{false, 0, 0, 10, false, false},
		{true, 5, 100, 200, true, true},
		{true, 5, 150, 300, false, false},
		{false, 0, 250, 310, false, false}, // Sent before the last answer with the limit.
		{true, 1.5, 120, 320, true, true},  // A lower one applies at once.
		{true, 5, 200, 330, false, false},
		{true, 1.5, 400, 6000, false, true}, // The last news of it is old.
		{true, 3, 6001, 6100, true, true},
		{false, 0, 6101, 6200, true, true},
		{false, 0, 6201, 6300, false, false},
	} {
		changed, news := s.Note(Statement{Incarnation: i, Limited: st.limited, PerSecond: st.perSecond, SentAt: at(st.sent), At: at(st.arrived)})
		if changed != st.wantChanged || news != st.wantNew {
			t.Errorf("step %d: changed %v, news %v, want %v, %v", n, changed, news, st.wantChanged, st.wantNew)
		}
	}
	if s.Len() != 0 {
		t.Errorf("%d rates are left", s.Len())
	}
}

// TestRatesAreForgotten guards against a daemon without a share that keeps a limit for good.
func TestRatesAreForgotten(t *testing.T) {
	var s Set
	i := Incarnation{Server: "s", Start: 1}
	s.Note(Statement{Incarnation: i, Limited: true, PerSecond: 1, SentAt: start, At: start})
	if s.Expire(start.Add(Memory)) || !s.Has(i) {
		t.Error("forgotten too soon")
	}
	var other Set
	for _, st := range s.Statements() {
		other.Note(st)
	}
	if diff := cmp.Diff(s.Statements(), other.Statements()); diff != "" {
		t.Errorf("another daemon's rates (-want +got):\n%s", diff)
	}
	if !s.Expire(start.Add(Memory+time.Second)) || s.Has(i) {
		t.Error("not forgotten")
	}
}
