package entry

import (
	"testing"
	"time"

	"apricotbridge/internal/membership"
	"apricotbridge/internal/settings"
	"apricotbridge/samples"
)

func newTestControl(t *testing.T, now time.Time, others ...string) *controlState {
	t.Helper()
	m, err := NewControlBench(&settings.Settings{Daemon: "a", Place: "asan", Region: "bagmati"}, now, samples.Shrestha)
	if err != nil {
		t.Fatal(err)
	}
	listed := []membership.Daemon{{ID: "a", Place: "asan", Region: "bagmati"}}
	for _, id := range others {
		listed = append(listed, membership.Daemon{ID: id, Place: "asan", Region: "bagmati"})
	}
	m.ApplyRegistrations(now, listed)
	m.Publish(now)
	return m.c
}

// Guards against published entries that keep a draining or unreachable daemon, or
// omit one that is reachable again.
func TestPublishFollowsDaemons(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	c := newTestControl(t, now, "b", "c")
	check := func(event string, want int) {
		t.Helper()
		c.publish(now)
		if got := len(c.d.view.Load().Entries); got != want {
			t.Errorf("%s: %d entries, want %d", event, got, want)
		}
	}
	check("all reachable", 3)
	c.daemons.LinkBroken(now, "b")
	check("one unreachable", 2)
	now = now.Add(31 * time.Second)
	check("retried after a time", 3)
	c.daemons.LinkBroken(now, "b")
	check("one unreachable", 2)
	c.daemons.MessageReceived(now, membership.Daemon{ID: "b", Place: "asan", Region: "bagmati"})
	check("message received", 3)
	c.daemons.Apply(now, membership.Daemon{ID: "c", Place: "asan", Region: "bagmati", Draining: true})
	check("one drains", 2)
	c.daemons.Apply(now, membership.Daemon{ID: "d", Place: "asan", Region: "bagmati"})
	check("new daemon", 3)
	c.daemons.Drain()
	check("own drain", 2)
}

// Guards against lists of registrations that transfer over 1.5 KB/s in a large fleet.
// It also guards against a late list after an outage of the key-value service: all
// daemons are then missing, register again, and must be listed before DaemonGrace
// ends.
func TestRegistrationListPeriod(t *testing.T) {
	for _, c := range []struct {
		daemons int
		relist  bool
		want    time.Duration
	}{{0, false, 5 * time.Second}, {6, true, 5 * time.Second}, {380, false, 95 * time.Second}, {380, true, 9 * time.Second}} {
		if got := registrationListPeriod(c.daemons, c.relist); got != c.want {
			t.Errorf("%d daemons, relist %v: %v, want %v", c.daemons, c.relist, got, c.want)
		}
	}
	now := time.Unix(1_800_000_000, 0)
	c := newTestControl(t, now, "b", "c")
	c.daemons.ApplyList(now, nil)
	c.publish(now)
	if n := c.d.view.Load().missingDaemons; n != 3 {
		t.Errorf("%d daemons missing, want 3", n)
	}
	if relistPeriod+registrationRenewPeriod+2*time.Second >= membership.DaemonGrace {
		t.Error("a daemon that registers anew after an outage is removed before the next list")
	}
}
