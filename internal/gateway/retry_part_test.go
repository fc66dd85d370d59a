package gateway

import (
	"fmt"
	"testing"
	"time"
)

// TestRetriesOfDaemonsWhoseEntriesLapsed guards against daemons that each take the whole burst of retries because an outage of the store ended the entries of all.
func TestRetriesOfDaemonsWhoseEntriesLapsed(t *testing.T) {
	env := newTestEnv(t)
	var gateways []*testGateway
	for i := range 4 {
		gateways = append(gateways, env.start(fmt.Sprint("g", i)))
	}
	retries := func() (sum float64) {
		for _, gw := range gateways {
			sum += gw.dispatcher.Status(time.Now()).RetriesLeft
		}
		return sum
	}
	for _, gw := range gateways {
		waitFor(t, gw.Daemon+" knows the others", func() bool { return gw.Ready() && len(gw.view.Load().Daemons) == len(gateways) })
	}
	burst := gateways[0].Bounds.RetryBurst
	waitFor(t, "the daemons share the burst", func() bool { return retries() <= burst })
	for _, gw := range gateways {
		env.store.remove(daemonPrefix + gw.Daemon)
	}
	for range 30 {
		time.Sleep(100 * time.Millisecond)
		if sum := retries(); sum > burst {
			t.Fatalf("the daemons may send %.0f retries, %.0f are allowed", sum, burst)
		}
	}
}

// TestRetriesAfterDaemonsLeft guards against leaving the part of daemons unused that have gone for good.
func TestRetriesAfterDaemonsLeft(t *testing.T) {
	c := &control{g: &Gateway{Bounds: Bounds{RetryShare: 0.2, RetryBurst: 50, RetryWindow: 10 * time.Second}}, registeredDaemons: map[string]Daemon{"a": {}, "b": {}}}
	c.g.init()
	start := time.Now()
	c.limitRetries(start)
	c.limitRetries(start.Add(time.Minute))
	delete(c.registeredDaemons, "b")
	for _, s := range []struct {
		after time.Duration
		want  float64
	}{{time.Minute, 17.5}, {time.Minute + 9*time.Second, 17.5}, {time.Minute + 11*time.Second, 35}} {
		c.limitRetries(start.Add(s.after))
		if got := c.g.dispatcher.Status(start).RetriesLeft; got != s.want {
			t.Errorf("%.1f retries after %v, want %.1f", got, s.after, s.want)
		}
	}
}
