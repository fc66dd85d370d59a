package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func partsOf(head uint64, shared, own int, request uint64) []Part {
	return []Part{{Prefix: head, Tokens: shared}, {Prefix: head<<32 | request, Tokens: shared + own}}
}

func partsTable(n int) *Table {
	var servers []Server
	for i := range n {
		servers = append(servers, Server{
			ID: fmt.Sprintf("s%d", i), Service: "m", Place: "a", Region: "r", Slots: 64, CacheTokens: 600_000,
			PrefillTokensPerSecond: 50_000, Accepting: true,
		})
	}
	return NewTable(servers, nil)
}

func partsCall(id string, parts []Part) *Call {
	return &Call{RequestID: id, Service: "m", Place: "a", Region: "r", Parts: parts, PromptTokens: parts[len(parts)-1].Tokens, ExpectedTokens: 100}
}

// TestPartsStay guards against reading a shared part again at another server while
// the one that holds it has room.
func TestPartsStay(t *testing.T) {
	r, table := New(Options{Shared: true, Backlog: 250 * time.Millisecond}), partsTable(12)
	now, random := time.Unix(1_700_000_000, 0), rand.New(rand.NewPCG(1, 1))
	home := ""
	for i := range 50 {
		call := partsCall(fmt.Sprint(i), partsOf(7, 13_300, 500, uint64(i)))
		d := r.Choose(now, call, table, random)
		if home == "" {
			home = d.Server
		}
		if d.Server != home || (i > 0 && d.CachedTokens != 13_300) {
			t.Fatalf("request %d went to %s with %.0f cached tokens, the first to %s", i, d.Server, d.CachedTokens, home)
		}
		r.Sent(now, call, d.Server)
		r.Answered(now, call.RequestID, Answer{CacheUnknown: true})
		now = now.Add(200 * time.Millisecond)
	}
}

// TestPartsAgree guards against daemons that send one head to different servers,
// both for its first prompt and after they told each other.
func TestPartsAgree(t *testing.T) {
	now, table := time.Unix(1_700_000_000, 0), partsTable(12)
	one, two := New(Options{Shared: true}), New(Options{Shared: true})
	for head := uint64(1); head < 100; head++ {
		a, b := partsCall("a", partsOf(head, 8_000, 100, 1)), partsCall("b", partsOf(head, 8_000, 100, 2))
		first := one.Choose(now, a, table, rand.New(rand.NewPCG(1, 1))).Server
		if other := two.Choose(now, b, table, rand.New(rand.NewPCG(2, 2))).Server; other != first {
			t.Errorf("head %d: first prompt to %s and to %s", head, first, other)
		}
		elsewhere := table.servers[int(head)%12].ID
		one.PeerSent(elsewhere, partsOf(head, 8_000, 100, 3), 100)
		if got := one.Choose(now, a, table, rand.New(rand.NewPCG(1, 1))); got.Server != elsewhere {
			t.Errorf("head %d: sent to %s although %s read it for a peer", head, got.Server, elsewhere)
		}
	}
}

// TestPartsLeaveCache guards against taking a part for cached long after a server has
// read more than its memory holds.
func TestPartsLeaveCache(t *testing.T) {
	r, table := New(Options{Shared: true}), partsTable(1)
	now, random := time.Unix(1_700_000_000, 0), rand.New(rand.NewPCG(1, 1))
	first := partsCall("first", partsOf(7, 10_000, 100, 1))
	r.Choose(now, first, table, random)
	r.Sent(now, first, "s0")
	for i := range 40 {
		call := partsCall(fmt.Sprint(i), partsOf(uint64(100+i), 10_000, 100, 1))
		r.Choose(now, call, table, random)
		r.Sent(now, call, "s0")
	}
	if d := r.Choose(now, partsCall("again", partsOf(7, 10_000, 100, 2)), table, random); d.CachedTokens != 0 {
		t.Errorf("%.0f tokens are taken for cached after 400,000 others in a cache of 600,000", d.CachedTokens)
	}
}

// TestBacklog guards against sending to a server with prompts waiting while another is
// free, whether they wait for this daemon or for a peer.
func TestBacklog(t *testing.T) {
	r, table := New(Options{Shared: true, Backlog: 250 * time.Millisecond}), partsTable(2)
	now, random := time.Unix(1_700_000_000, 0), rand.New(rand.NewPCG(1, 1))
	call := partsCall("a", partsOf(7, 5_000, 100, 1))
	home := r.Choose(now, call, table, random).Server
	r.PeerLoads(now, "peer", []ServerLoad{{Server: home, Running: 3, Pending: 20_000}})
	if got := r.Choose(now, call, table, random).Server; got == home {
		t.Errorf("sent to %s, where a peer has 0.4 s of prompts waiting", got)
	}
	if n := r.FreeSlots(now, table, "m"); n != 64 {
		t.Errorf("%d free slots, want those of one server", n)
	}
	r.PeerLoads(now, "peer", nil)
	if got := r.Choose(now, call, table, random).Server; got != home {
		t.Errorf("sent to %s after the peer's requests ended", got)
	}
	r.PeerLoads(now, "peer", []ServerLoad{{Server: home, Running: 3, Pending: 20_000}})
	if got := r.Choose(now.Add(peerLoadLife), call, table, random).Server; got != home {
		t.Errorf("sent to %s although the peer has been silent for %v", got, peerLoadLife)
	}
}

// region is a region of three places whose daemons know only their own place's prompts,
// as many heads as its memory holds, and a wave of requests for them.
type region struct {
	tables  map[string]*Table
	routers map[string]*Router
	// holds is what each server has read, the last one last.
	holds map[string][]uint64
	read  int
}

const (
	regionServers = 12
	regionHead    = 10_000
	// headsHeld is how many heads the memory of one server holds.
	headsHeld = 12
)

// newRegion returns a region; with placeOnly the daemons know only the servers of their
// own place.
func newRegion(placeOnly bool) *region {
	g := &region{tables: map[string]*Table{}, routers: map[string]*Router{}, holds: map[string][]uint64{}}
	for _, place := range []string{"a", "b", "c"} {
		var servers []Server
		for i := range regionServers {
			s := Server{
				ID: fmt.Sprintf("s%d", i), Service: "m", Place: string(rune('a' + i%3)), Region: "r", Slots: 16,
				CacheTokens: headsHeld * regionHead / residentShare, PrefillTokensPerSecond: 50_000, Accepting: true,
			}
			if !placeOnly || s.Place == place {
				servers = append(servers, s)
			}
		}
		g.tables[place] = NewTable(servers, nil)
		g.routers[place] = New(Options{Shared: true, Backlog: 250 * time.Millisecond})
		g.routers[place].PreferPlace(true)
	}
	return g
}

// serve plays a request and counts the shared tokens that its server has to read.
func (g *region) serve(now time.Time, id int, place string, head uint64, random *rand.Rand) {
	call := partsCall(fmt.Sprint(id), partsOf(head, regionHead, 100, uint64(id)))
	call.Place = place
	r := g.routers[place]
	d := r.Choose(now, call, g.tables[place], random)
	r.Sent(now, call, d.Server)
	r.Answered(now, call.RequestID, Answer{CacheUnknown: true})
	held := g.holds[d.Server]
	at := -1
	for i, h := range held {
		if h == head {
			at = i
		}
	}
	if at < 0 {
		g.read += regionHead
	} else {
		held = append(held[:at], held[at+1:]...)
	}
	if held = append(held, head); len(held) > headsHeld {
		held = held[1:]
	}
	g.holds[d.Server] = held
}

// TestHomesInRegion plays requests for 96 heads in three places, of which the memory of a
// place holds 48 and that of the region 144, as on the grown deployments of letter 2. It
// guards against each place reading the heads again for itself. The baseline keeps the
// requests of a place there.
func TestHomesInRegion(t *testing.T) {
	const heads, requests = 96, 6000
	play := func(placeOnly bool) int {
		g := newRegion(placeOnly)
		random := rand.New(rand.NewPCG(1, 1))
		now := time.Unix(1_700_000_000, 0)
		for i := range requests {
			place := string(rune('a' + random.IntN(3)))
			head := uint64(1 + random.IntN(heads))
			g.serve(now, i, place, head, random)
			now = now.Add(5 * time.Millisecond)
		}
		return g.read
	}
	alone, together := play(true), play(false)
	t.Logf("%d shared tokens read with homes in the region, %d with each place for itself", together, alone)
	// Each head has to be read once, and again where two places choose differently.
	if most := 2 * heads * regionHead; together > most {
		t.Errorf("%d shared tokens read, want at most %d", together, most)
	}
	if together > alone/2 {
		t.Errorf("%d shared tokens read, %d with each place for itself", together, alone)
	}
}
