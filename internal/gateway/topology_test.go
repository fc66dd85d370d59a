package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// daemonsInPlaces returns perPlace daemons in each of the places a, b, c and so on.
func daemonsInPlaces(places, perPlace int) []Daemon {
	var list []Daemon
	for p := range places {
		for i := range perPlace {
			place := string(rune('a' + p))
			list = append(list, Daemon{ID: fmt.Sprintf("%s-%02d", place, i), Place: place, PeerAddress: fmt.Sprintf("%s:%d", place, i)})
		}
	}
	return list
}

// TestTopology guards against a number of links that grows with the square of the
// daemons, and against places that are connected by fewer than two daemons.
func TestTopology(t *testing.T) {
	small := daemonsInPlaces(3, 3)
	for _, d := range small {
		if got := planTopology(d, small, defaultMeshMax); got.ByPlace || !got.Delegate || len(got.Targets) != len(small)-1 {
			t.Errorf("%s of 9 daemons: %+v", d.ID, got)
		}
	}
	large := daemonsInPlaces(6, 14)
	delegates := map[string]int{}
	for _, d := range large {
		got := planTopology(d, large, defaultMeshMax)
		inPlace, elsewhere := 0, 0
		for _, target := range got.Targets {
			if target.ID[:1] == d.Place {
				inPlace++
			} else {
				elsewhere++
			}
		}
		if !got.ByPlace || inPlace != 13 {
			t.Errorf("%s has %d links in its place", d.ID, inPlace)
		}
		if got.Delegate {
			delegates[d.Place]++
		}
		if !got.Delegate && elsewhere != 0 {
			t.Errorf("%s is no delegate and has %d links to other places", d.ID, elsewhere)
		}
		if want := 5 * delegatesPerPlace; got.Delegate && elsewhere != want {
			t.Errorf("delegate %s has %d links to other places, want %d", d.ID, elsewhere, want)
		}
	}
	for place, n := range delegates {
		if n != delegatesPerPlace {
			t.Errorf("place %s has %d delegates", place, n)
		}
	}
}

// startInPlaces starts daemons in three places with links by place. It waits until the
// daemons of each place are connected, and the delegates of all places.
func startInPlaces(env *testEnv) map[string]*testGateway {
	const perPlace = 3
	gateways := map[string]*testGateway{}
	for _, place := range []string{"a", "b", "c"} {
		for i := range perPlace {
			id := fmt.Sprintf("%s-%d", place, i)
			gateways[id] = env.startIn(id, place, perPlace)
		}
	}
	for id, gw := range gateways {
		waitFor(env.t, id+" is ready and linked", func() bool {
			v := gw.view.Load()
			if !gw.Ready() || !v.ByPlace || len(v.Daemons) != 3*perPlace {
				return false
			}
			alive := 0
			for _, d := range v.Daemons {
				if d.Alive {
					alive++
				}
			}
			if v.Delegate {
				return alive == perPlace+2*delegatesPerPlace
			}
			return alive == perPlace
		})
	}
	return gateways
}

// TestPlacesHearOfTheStore guards against every place reading the store, and against a
// place that misses changes after its delegates have failed.
func TestPlacesHearOfTheStore(t *testing.T) {
	env := newTestEnv(t)
	s := env.addServer("s1", "plain", signedAnswer("ok"))
	gateways := startInPlaces(env)
	env.checkStoreReads(len(gateways))
	gateways["b-0"].cancel()
	gateways["b-1"].cancel()
	env.configuration.Version = 7
	env.configure()
	env.register(s, "plain", true)
	changed := time.Now()
	for id, gw := range gateways {
		if id == "b-0" || id == "b-1" {
			continue
		}
		waitFor(t, id+" has both changes", func() bool {
			v := gw.view.Load()
			m := v.Members["s1"]
			return v.Configuration().Version == 7 && !m.Accepting()
		})
	}
	// A change has to take effect within the default of Bounds.ApplyWithin.
	if took := time.Since(changed); took > defaultApplyTime {
		t.Errorf("changes took effect after %v, bound %v", took, defaultApplyTime)
	}
}

// TestLoadsPassBetweenPlaces guards against taking a server for free that another place
// of the region keeps busy.
func TestLoadsPassBetweenPlaces(t *testing.T) {
	env := newTestEnv(t)
	release := make(chan struct{})
	env.addServer("s1", "model", func(rw http.ResponseWriter, r *http.Request) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
		writeStream(rw, r, 1)
	})
	gateways := startInPlaces(env)
	answered := make(chan reply, 1)
	go func() { answered <- gateways["a-2"].send(t.Context(), http.MethodPost, "/stream/") }()
	runningInPlaceA := func(id string) (running int) {
		gw := gateways[id]
		gw.rowsMu.Lock()
		defer gw.rowsMu.Unlock()
		loads := gw.placeLoads["a"].loads
		for _, l := range decodeLoads(&loads) {
			running += l.Running
		}
		return running
	}
	for _, id := range []string{"c-0", "c-2"} {
		waitFor(t, id+" receives the load", func() bool { return runningInPlaceA(id) == 1 })
	}
	close(release)
	if got := <-answered; got.status != http.StatusOK {
		t.Errorf("got %+v", got)
	}
	waitFor(t, "the load is removed", func() bool { return runningInPlaceA("c-2") == 0 })
}

// TestDutyMovesToDelegate guards against a daemon that acquired the duty before there were
// links by place and keeps it, although it does not receive the usage of other places.
func TestDutyMovesToDelegate(t *testing.T) {
	env := newTestEnv(t)
	env.reporter = discardReports{}
	first := env.startIn("a-2", "a", 3)
	waitFor(t, "the first daemon holds the duty", first.holdsDuty.Load)
	delegates := []*testGateway{env.startIn("a-0", "a", 3), env.startIn("a-1", "a", 3), env.startIn("b-0", "b", 3)}
	waitFor(t, "a delegate holds the duty", func() bool {
		held := false
		for _, gw := range delegates {
			held = held || gw.holdsDuty.Load()
		}
		return held && !first.holdsDuty.Load()
	})
	for _, gw := range delegates {
		gw.cancel()
		env.store.remove(daemonPrefix + gw.Daemon)
	}
	waitFor(t, "the first daemon is a delegate again and holds the duty", first.holdsDuty.Load)
}
