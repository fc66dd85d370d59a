package gateway

import (
	"cmp"
	"slices"

	"apricotbridge/internal/message"
	"apricotbridge/internal/peer"
)

const (
	// defaultMeshMax is the greatest number of daemons that are linked in a full mesh. In
	// a larger mesh the messages take more processor time than the requests: 74 daemons
	// used 348 s of processor time in a load test of 76 s.
	defaultMeshMax = 16
	// delegatesPerPlace is the number of daemons of a place that keep links to other
	// places. With two, one may fail.
	delegatesPerPlace = 2
)

// topology describes the links that a daemon keeps to its peers.
type topology struct {
	// ByPlace means that the daemons of a place are linked to each other, and places only
	// through their delegates.
	ByPlace bool
	// Delegate means that this daemon links its place with others. In a full mesh every
	// daemon does.
	Delegate bool
	// Delegates holds the ids of the delegates of all places.
	Delegates map[string]bool
	Targets   []peer.Target
}

// planTopology returns the links that a daemon keeps among the registered daemons.
func planTopology(self Daemon, registered []Daemon, meshMax int) topology {
	registered = slices.Clone(registered)
	slices.SortFunc(registered, func(a, b Daemon) int { return cmp.Compare(a.ID, b.ID) })
	t := topology{ByPlace: len(registered) > meshMax, Delegates: map[string]bool{}}
	perPlace := map[string]int{}
	for _, d := range registered {
		if perPlace[d.Place]++; perPlace[d.Place] <= delegatesPerPlace {
			t.Delegates[d.ID] = true
		}
	}
	t.Delegate = !t.ByPlace || t.Delegates[self.ID]
	for _, d := range registered {
		linked := !t.ByPlace || d.Place == self.Place || t.Delegate && t.Delegates[d.ID]
		if linked && d.ID != self.ID {
			t.Targets = append(t.Targets, peer.Target{ID: d.ID, Address: d.PeerAddress})
		}
	}
	return t
}

// byPlace reports whether links are kept by place.
func (v *View) byPlace() bool { return v != nil && v.ByPlace }

// hasLink reports whether the topology of this view links its daemon, in the given place,
// to a peer.
func (v *View) hasLink(place string, p message.Hello) bool {
	return !v.byPlace() || p.Place == place || v.Delegate && v.Delegates[p.Daemon]
}
