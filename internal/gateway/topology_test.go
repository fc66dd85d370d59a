package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// fleetOf returns daemons in places a, b, c and so on, with as many each.
func fleetOf(places, each int) []Daemon {
	var list []Daemon
	for p := range places {
		for i := range each {
			place := string(rune('a' + p))
			list = append(list, Daemon{ID: fmt.Sprintf("%s-%02d", place, i), Place: place, PeerAddress: fmt.Sprintf("%s:%d", place, i)})
		}
	}
	return list
}

// TestTopology guards against links that grow with the square of the daemons, and
// against places that are joined by a single daemon or by none.
func TestTopology(t *testing.T) {
	small := fleetOf(3, 3)
	for _, d := range small {
		if got := planTopology(d, small, meshMax); got.ByPlace || !got.Delegate || len(got.Targets) != len(small)-1 {
			t.Errorf("%s of 9 daemons: %+v", d.ID, got)
		}
	}
	large := fleetOf(6, 14)
	delegates := map[string]int{}
	for _, d := range large {
		got := planTopology(d, large, meshMax)
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
		if want := 5 * delegateCount; got.Delegate && elsewhere != want {
			t.Errorf("delegate %s has %d links to other places, want %d", d.ID, elsewhere, want)
		}
	}
	for place, n := range delegates {
		if n != delegateCount {
			t.Errorf("place %s has %d delegates", place, n)
		}
	}
}

// placed starts daemons in three places with links by place, and waits until each
// knows those of its place and the delegates know each other.
func placed(w *world) map[string]*node {
	const each = 3
	nodes := map[string]*node{}
	for _, place := range []string{"a", "b", "c"} {
		for i := range each {
			id := fmt.Sprintf("%s-%d", place, i)
			nodes[id] = w.startIn(id, place, each)
		}
	}
	for id, n := range nodes {
		await(w.t, id+" is ready and linked", func() bool {
			v := n.view.Load()
			if !n.Ready() || !v.ByPlace || len(v.Daemons) != 3*each {
				return false
			}
			alive := 0
			for _, d := range v.Daemons {
				if d.Alive {
					alive++
				}
			}
			if v.Delegate {
				return alive == each+2*delegateCount
			}
			return alive == each
		})
	}
	return nodes
}

// TestPlacesHearOfTheStore guards against places that pay for reads of the store each,
// and against one that misses a change when its delegates have died.
func TestPlacesHearOfTheStore(t *testing.T) {
	w := newWorld(t)
	s := w.server("s1", "plain", signed("ok"))
	nodes := placed(w)
	w.checkReads(len(nodes))
	nodes["b-0"].cancel()
	nodes["b-1"].cancel()
	w.conf.Version = 7
	w.configure()
	w.register(s, "plain", true)
	changed := time.Now()
	for id, n := range nodes {
		if id == "b-0" || id == "b-1" {
			continue
		}
		await(t, id+" knows both changes", func() bool {
			v := n.view.Load()
			m := v.Members["s1"]
			return v.Configuration().Version == 7 && !m.Accepting()
		})
	}
	// A change has to be in force within the default of Bounds.Apply.
	if took := time.Since(changed); took > defaultApply {
		t.Errorf("changes were known after %v, bound %v", took, defaultApply)
	}
}

// TestLoadsPassBetweenPlaces guards against daemons that take a server for free which
// another place of the region keeps busy.
func TestLoadsPassBetweenPlaces(t *testing.T) {
	w := newWorld(t)
	release := make(chan struct{})
	w.server("s1", "model", func(rw http.ResponseWriter, r *http.Request) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
		streamFrom(rw, r, 1)
	})
	nodes := placed(w)
	answered := make(chan reply, 1)
	go func() { answered <- nodes["a-2"].ask(t.Context(), http.MethodPost, "/stream/") }()
	load := func(id string) (running int) {
		n := nodes[id]
		n.rowsMu.Lock()
		defer n.rowsMu.Unlock()
		loads := n.placeLoads["a"].loads
		for _, l := range decodeLoads(&loads) {
			running += l.Running
		}
		return running
	}
	for _, id := range []string{"c-0", "c-2"} {
		await(t, id+" hears of the load", func() bool { return load(id) == 1 })
	}
	close(release)
	if got := <-answered; got.status != http.StatusOK {
		t.Errorf("got %+v", got)
	}
	await(t, "the load is gone", func() bool { return load("c-2") == 0 })
}
