package gateway

import (
	"cmp"
	"slices"

	"apricotbridge/internal/message"
	"apricotbridge/internal/peer"
)

const (
	// meshMax is the number of daemons up to which each keeps a link to every other.
	// Beyond it the messages of a full mesh take more processor time than requests:
	// 74 daemons used 348 s of processor time in a day of 76 s (grown site, quiet-1).
	meshMax = 16
	// delegateCount is how many daemons of a place keep links to other places, so
	// that one of them may be lost.
	delegateCount = 2
)

// topology says to which daemons links are kept.
type topology struct {
	// ByPlace says that the daemons of a place keep links to each other, and only
	// the delegates of places to those of other places.
	ByPlace bool
	// Delegate says that this daemon is one.
	Delegate bool
	// Delegates are all of them, by id.
	Delegates map[string]bool
	Targets   []peer.Target
}

// planTopology returns the links of a daemon among those that are registered.
func planTopology(self Daemon, registered []Daemon, meshMax int) topology {
	registered = slices.Clone(registered)
	slices.SortFunc(registered, func(a, b Daemon) int { return cmp.Compare(a.ID, b.ID) })
	t := topology{ByPlace: len(registered) > meshMax, Delegates: map[string]bool{}}
	seen := map[string]int{}
	for _, d := range registered {
		if seen[d.Place]++; seen[d.Place] <= delegateCount {
			t.Delegates[d.ID] = true
		}
	}
	t.Delegate = !t.ByPlace || t.Delegates[self.ID]
	for _, d := range registered {
		near := !t.ByPlace || d.Place == self.Place || t.Delegate && t.Delegates[d.ID]
		if near && d.ID != self.ID {
			t.Targets = append(t.Targets, peer.Target{ID: d.ID, Address: d.PeerAddress})
		}
	}
	return t
}

// byPlace says that links are kept by place.
func (v *View) byPlace() bool { return v != nil && v.ByPlace }

// links says whether the topology has a link between a daemon in a place, whose view
// this is, and a peer.
func (v *View) links(place string, p message.Hello) bool {
	return !v.byPlace() || p.Place == place || v.Delegate && v.Delegates[p.Daemon]
}
