package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// places contains pairs of a region and a place.
var places = [][2]string{
	{"saare", "kuressaare"},
	{"saare", "orissaare"},
	{"saare", "leisi"},
	{"harju", "ulemiste"},
	{"harju", "viimsi"},
	{"harju", "keila"},
}

func randomDaemons(n int, r *rand.Rand) []Daemon {
	used := 1 + r.IntN(len(places))
	all := make([]Daemon, n)
	for i := range all {
		p := places[r.IntN(used)]
		all[i] = Daemon{ID: fmt.Sprintf("d%d-%x", i, r.Uint32()), Start: 1, Region: p[0], Place: p[1]}
	}
	return all
}

func newDaemons(self Daemon, all []Daemon) *Daemons {
	s := &Daemons{Self: self}
	s.ApplyList(epoch, all)
	return s
}

// countParts returns the number of connected components of the link graph and the
// highest number of links at a daemon.
func countParts(all []Daemon, links func(Daemon) []Daemon) (count, maxDegree int) {
	neighbours, degree := map[string][]string{}, map[string]int{}
	for _, d := range all {
		for _, p := range links(d) {
			neighbours[d.ID], neighbours[p.ID] = append(neighbours[d.ID], p.ID), append(neighbours[p.ID], d.ID)
			degree[d.ID]++
			degree[p.ID]++
			maxDegree = max(maxDegree, degree[d.ID], degree[p.ID])
		}
	}
	visited := map[string]bool{}
	var visit func(id string)
	visit = func(id string) {
		if !visited[id] {
			visited[id] = true
			for _, p := range neighbours[id] {
				visit(p)
			}
		}
	}
	for _, d := range all {
		if !visited[d.ID] {
			count++
			visit(d.ID)
		}
	}
	return count, maxDegree
}

// Guards against daemons that gossip does not reach. Links within the place alone
// must fail the check.
func TestLinksConnect(t *testing.T) {
	const seed = 7
	r := rand.New(rand.NewPCG(seed, 1))
	maxDegree, disconnected := 0, 0
	for n := 6; n <= 380; n += 1 + n/6 {
		for range 2 {
			all := randomDaemons(n, r)
			s := newDaemons(all[0], all)
			count, degree := countParts(all, func(d Daemon) []Daemon {
				s.Self = d
				return s.Links(epoch)
			})
			if maxDegree = max(maxDegree, degree); count != 1 {
				t.Fatalf("seed %d: links of %d daemons form %d separate parts, want 1", seed, n, count)
			}
			if count, _ = countParts(all, func(d Daemon) []Daemon {
				return highestWeights(d.ID, all, LinksInPlace, func(p Daemon) bool { return p.ID != d.ID && p.Place == d.Place })
			}); count > 1 {
				disconnected++
			}
		}
	}
	t.Logf("seed %d: at most %d links at one daemon, both directions", seed, maxDegree)
	if disconnected == 0 {
		t.Error("links within the place alone pass the check")
	}
}

// Guards against offering a draining daemon, offering a far daemon before a near one,
// and directing too many callers to the same daemon first.
func TestEntries(t *testing.T) {
	all := randomDaemons(60, rand.New(rand.NewPCG(3, 1)))
	s := newDaemons(all[0], all)
	draining := all[1]
	draining.Draining = true
	if !s.Apply(epoch, draining) || s.Apply(epoch, all[1]) {
		t.Error("draining is not reported as a change exactly once")
	}
	startsAt := map[string]int{}
	for i := range 1000 {
		entries := s.Entries(epoch, all[0].Place, all[0].Region, fmt.Sprint("caller", i))
		if len(entries) != len(all)-1 || entries[0].Place != all[0].Place {
			t.Fatalf("caller %d gets %d entries, the first in %s", i, len(entries), entries[0].Place)
		}
		for _, e := range entries {
			if e.ID == draining.ID {
				t.Fatal("a draining daemon is offered")
			}
		}
		startsAt[entries[0].ID]++
	}
	inPlace := len(filter(s.Snapshot(), func(d Daemon) bool { return !d.Draining && d.Place == all[0].Place }))
	for id, n := range startsAt {
		if n > 2*1000/inPlace {
			t.Errorf("%d of 1000 callers start at %s, one of %d", n, id, inPlace)
		}
	}
}

// Guards against an outage of the key-value service that empties the set, a dead
// daemon that is not removed, and a removed daemon that a peer adds again.
func TestDaemonRemoval(t *testing.T) {
	all := randomDaemons(8, rand.New(rand.NewPCG(5, 1)))
	s := newDaemons(all[0], all)
	s.Tick(epoch.Add(time.Hour))
	if n := len(s.Snapshot()); n != 8 {
		t.Errorf("%d daemons after an outage", n)
	}
	outageEnd := epoch.Add(time.Hour)
	s.ApplyList(outageEnd, all[:1])
	s.MessageReceived(outageEnd.Add(20*time.Second), all[2])
	s.ApplyList(outageEnd.Add(25*time.Second), all[:4])
	s.Tick(outageEnd.Add(DaemonGrace))
	if n := len(s.Snapshot()); n != 4 {
		t.Errorf("%d daemons after the grace time, want 4", n)
	}
	if s.Apply(outageEnd.Add(time.Minute), all[7]) {
		t.Error("a peer brought back a removed daemon")
	}
	restarted := all[7]
	restarted.Start++
	if !s.Apply(outageEnd.Add(time.Minute), restarted) {
		t.Error("a restarted daemon is ignored")
	}
}
