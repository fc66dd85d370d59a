package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var places = [][2]string{
	{"saare", "kuressaare"},
	{"saare", "orissaare"},
	{"saare", "leisi"},
	{"harju", "ulemiste"},
	{"harju", "viimsi"},
	{"harju", "keila"},
}

func daemons(n int, r *rand.Rand) []Daemon {
	used := 1 + r.IntN(len(places))
	all := make([]Daemon, n)
	for i := range all {
		p := places[r.IntN(used)]
		all[i] = Daemon{ID: fmt.Sprintf("d%d-%x", i, r.Uint32()), Start: 1, Region: p[0], Place: p[1]}
	}
	return all
}

func setOf(self Daemon, all []Daemon) *Daemons {
	s := &Daemons{Self: self}
	s.List(epoch, all)
	return s
}

// parts counts the parts into which the links divide the daemons.
func parts(all []Daemon, links func(Daemon) []Daemon) (count, most int) {
	near, degree := map[string][]string{}, map[string]int{}
	for _, d := range all {
		for _, p := range links(d) {
			near[d.ID], near[p.ID] = append(near[d.ID], p.ID), append(near[p.ID], d.ID)
			degree[d.ID]++
			degree[p.ID]++
			most = max(most, degree[d.ID], degree[p.ID])
		}
	}
	seen := map[string]bool{}
	var visit func(id string)
	visit = func(id string) {
		if !seen[id] {
			seen[id] = true
			for _, p := range near[id] {
				visit(p)
			}
		}
	}
	for _, d := range all {
		if !seen[d.ID] {
			count++
			visit(d.ID)
		}
	}
	return count, most
}

// Guards against daemons that no gossip reaches. The check is shown to fail for
// links within the place alone.
func TestLinksConnect(t *testing.T) {
	const seed = 7
	r := rand.New(rand.NewPCG(seed, 1))
	most, apart := 0, 0
	for n := 6; n <= 380; n += 1 + n/6 {
		for range 2 {
			all := daemons(n, r)
			s := setOf(all[0], all)
			count, degree := parts(all, func(d Daemon) []Daemon {
				s.Self = d
				return s.Links(epoch)
			})
			if most = max(most, degree); count != 1 {
				t.Fatalf("seed %d: links of %d daemons leave %d parts", seed, n, count)
			}
			if count, _ = parts(all, func(d Daemon) []Daemon {
				return best(d.ID, all, LinksInPlace, func(p Daemon) bool { return p.ID != d.ID && p.Place == d.Place })
			}); count > 1 {
				apart++
			}
		}
	}
	t.Logf("seed %d: at most %d links at one daemon, both directions", seed, most)
	if apart == 0 {
		t.Error("links within the place alone pass the check")
	}
}

// Guards against a leaving daemon that is still offered, a far one before a near
// one, and callers that all start at the same daemon.
func TestEntries(t *testing.T) {
	all := daemons(60, rand.New(rand.NewPCG(3, 1)))
	s := setOf(all[0], all)
	leaving := all[1]
	leaving.Draining = true
	if !s.Apply(epoch, leaving) || s.Apply(epoch, all[1]) {
		t.Error("draining is not passed on once")
	}
	first := map[string]int{}
	for i := range 1000 {
		entries := s.Entries(epoch, all[0].Place, all[0].Region, fmt.Sprint("caller", i))
		if len(entries) != len(all)-1 || entries[0].Place != all[0].Place {
			t.Fatalf("caller %d gets %d entries, the first in %s", i, len(entries), entries[0].Place)
		}
		for _, e := range entries {
			if e.ID == leaving.ID {
				t.Fatal("a leaving daemon is offered")
			}
		}
		first[entries[0].ID]++
	}
	near := len(filter(s.Snapshot(), func(d Daemon) bool { return !d.Draining && d.Place == all[0].Place }))
	for id, n := range first {
		if n > 2*1000/near {
			t.Errorf("%d of 1000 callers start at %s, one of %d", n, id, near)
		}
	}
}

// Guards against an outage of the key-value service that empties the set, a dead
// daemon that stays, and a removed one that a peer brings back.
func TestDaemonRemoval(t *testing.T) {
	all := daemons(8, rand.New(rand.NewPCG(5, 1)))
	s := setOf(all[0], all)
	s.Tick(epoch.Add(time.Hour))
	if n := len(s.Snapshot()); n != 8 {
		t.Errorf("%d daemons after an outage", n)
	}
	back := epoch.Add(time.Hour)
	s.List(back, all[:1])
	s.Heard(back.Add(20*time.Second), all[2])
	s.List(back.Add(25*time.Second), all[:4])
	s.Tick(back.Add(DaemonGrace))
	if n := len(s.Snapshot()); n != 4 {
		t.Errorf("%d daemons after the grace time, want 4", n)
	}
	if s.Apply(back.Add(time.Minute), all[7]) {
		t.Error("a peer brought back a removed daemon")
	}
	restarted := all[7]
	restarted.Start++
	if !s.Apply(back.Add(time.Minute), restarted) {
		t.Error("a restarted daemon is ignored")
	}
}
