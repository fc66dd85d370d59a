package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func promptParts(prefix uint64, shared, own int, request uint64) []Part {
	return []Part{{Prefix: prefix, Tokens: shared}, {Prefix: prefix<<32 | request, Tokens: shared + own}}
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

// TestPartsStay guards against prefilling a shared part at another server while its
// holder has room.
func TestPartsStay(t *testing.T) {
	r, table := New(Options{SharedLoads: true, MaxBacklog: 250 * time.Millisecond}), partsTable(12)
	now, random := time.Unix(1_700_000_000, 0), rand.New(rand.NewPCG(1, 1))
	home := ""
	for i := range 50 {
		call := partsCall(fmt.Sprint(i), promptParts(7, 13_300, 500, uint64(i)))
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

// TestPartsAgree guards against daemons that choose different servers for one shared prefix,
// both for its first prompt and after a peer's report.
func TestPartsAgree(t *testing.T) {
	now, table := time.Unix(1_700_000_000, 0), partsTable(12)
	one, two := New(Options{SharedLoads: true}), New(Options{SharedLoads: true})
	for prefix := uint64(1); prefix < 100; prefix++ {
		a, b := partsCall("a", promptParts(prefix, 8_000, 100, 1)), partsCall("b", promptParts(prefix, 8_000, 100, 2))
		first := one.Choose(now, a, table, rand.New(rand.NewPCG(1, 1))).Server
		if other := two.Choose(now, b, table, rand.New(rand.NewPCG(2, 2))).Server; other != first {
			t.Errorf("prefix %d: first prompt to %s and to %s", prefix, first, other)
		}
		elsewhere := table.servers[int(prefix)%12].ID
		one.RecordPeerPrompt(elsewhere, promptParts(prefix, 8_000, 100, 3), 100)
		if got := one.Choose(now, a, table, rand.New(rand.NewPCG(1, 1))); got.Server != elsewhere {
			t.Errorf("prefix %d: sent to %s although %s has it cached for a peer", prefix, got.Server, elsewhere)
		}
	}
}

// TestPartsLeaveCache guards against counting a part as cached after other tokens have
// filled the residentShare of the server's cache.
func TestPartsLeaveCache(t *testing.T) {
	r, table := New(Options{SharedLoads: true}), partsTable(1)
	now, random := time.Unix(1_700_000_000, 0), rand.New(rand.NewPCG(1, 1))
	first := partsCall("first", promptParts(7, 10_000, 100, 1))
	r.Choose(now, first, table, random)
	r.Sent(now, first, "s0")
	for i := range 40 {
		call := partsCall(fmt.Sprint(i), promptParts(uint64(100+i), 10_000, 100, 1))
		r.Choose(now, call, table, random)
		r.Sent(now, call, "s0")
	}
	if d := r.Choose(now, partsCall("again", promptParts(7, 10_000, 100, 2)), table, random); d.CachedTokens != 0 {
		t.Errorf("%.0f tokens are believed cached after 400,000 others in a cache of 600,000", d.CachedTokens)
	}
}

// TestBacklog guards against choosing a server with queued prompts, of this daemon or of a
// peer, while another server is free.
func TestBacklog(t *testing.T) {
	r, table := New(Options{SharedLoads: true, MaxBacklog: 250 * time.Millisecond}), partsTable(2)
	now, random := time.Unix(1_700_000_000, 0), rand.New(rand.NewPCG(1, 1))
	call := partsCall("a", promptParts(7, 5_000, 100, 1))
	home := r.Choose(now, call, table, random).Server
	r.SetPeerLoads(now, "peer", []ServerLoad{{Server: home, Running: 3, Pending: 20_000}})
	if got := r.Choose(now, call, table, random).Server; got == home {
		t.Errorf("sent to %s, where a peer has 0.4 s of prompts waiting", got)
	}
	if n := r.FreeSlots(now, table, "m"); n != 64 {
		t.Errorf("%d free slots, want the 64 of the other server", n)
	}
	r.SetPeerLoads(now, "peer", nil)
	if got := r.Choose(now, call, table, random).Server; got != home {
		t.Errorf("sent to %s after the peer's requests ended", got)
	}
	r.SetPeerLoads(now, "peer", []ServerLoad{{Server: home, Running: 3, Pending: 20_000}})
	if got := r.Choose(now.Add(peerLoadMaxAge), call, table, random).Server; got != home {
		t.Errorf("sent to %s although the peer has been silent for %v", got, peerLoadMaxAge)
	}
}

// testRegion simulates a region of three places whose daemons record only the prompts of
// their own place, and the LRU caches of its servers.
type testRegion struct {
	tables  map[string]*Table
	routers map[string]*Router
	// cached lists the prefixes in each server's cache, the least recently used first.
	cached          map[string][]uint64
	prefilledTokens int
}

const (
	regionServers = 12
	prefixTokens  = 10_000
	// prefixesPerServer is the number of prefixes that the cache of one server holds.
	prefixesPerServer = 12
)

// newTestRegion returns a region; with placeOnly the daemons route only to servers of
// their own place.
func newTestRegion(placeOnly bool) *testRegion {
	g := &testRegion{tables: map[string]*Table{}, routers: map[string]*Router{}, cached: map[string][]uint64{}}
	for _, place := range []string{"a", "b", "c"} {
		var servers []Server
		for i := range regionServers {
			s := Server{
				ID: fmt.Sprintf("s%d", i), Service: "m", Place: string(rune('a' + i%3)), Region: "r", Slots: 16,
				CacheTokens: prefixesPerServer * prefixTokens / residentShare, PrefillTokensPerSecond: 50_000, Accepting: true,
			}
			if !placeOnly || s.Place == place {
				servers = append(servers, s)
			}
		}
		g.tables[place] = NewTable(servers, nil)
		g.routers[place] = New(Options{SharedLoads: true, MaxBacklog: 250 * time.Millisecond})
		g.routers[place].PreferPlace(true)
	}
	return g
}

// serve routes a request and counts the shared tokens that its server has to prefill.
func (g *testRegion) serve(now time.Time, id int, place string, prefix uint64, random *rand.Rand) {
	call := partsCall(fmt.Sprint(id), promptParts(prefix, prefixTokens, 100, uint64(id)))
	call.Place = place
	r := g.routers[place]
	d := r.Choose(now, call, g.tables[place], random)
	r.Sent(now, call, d.Server)
	r.Answered(now, call.RequestID, Answer{CacheUnknown: true})
	cached := g.cached[d.Server]
	position := -1
	for i, p := range cached {
		if p == prefix {
			position = i
		}
	}
	if position < 0 {
		g.prefilledTokens += prefixTokens
	} else {
		cached = append(cached[:position], cached[position+1:]...)
	}
	if cached = append(cached, prefix); len(cached) > prefixesPerServer {
		cached = cached[1:]
	}
	g.cached[d.Server] = cached
}

// TestHomesInRegion guards against each place prefilling shared prefixes for itself. It
// sends requests for 96 prefixes from three places; the caches of a place hold 48 prefixes
// and those of the region 144, as in large deployments. The baseline keeps the requests of
// a place within the place.
func TestHomesInRegion(t *testing.T) {
	const prefixes, requests = 96, 6000
	run := func(placeOnly bool) int {
		g := newTestRegion(placeOnly)
		random := rand.New(rand.NewPCG(1, 1))
		now := time.Unix(1_700_000_000, 0)
		for i := range requests {
			place := string(rune('a' + random.IntN(3)))
			prefix := uint64(1 + random.IntN(prefixes))
			g.serve(now, i, place, prefix, random)
			now = now.Add(5 * time.Millisecond)
		}
		return g.prefilledTokens
	}
	separate, regional := run(true), run(false)
	t.Logf("%d shared tokens prefilled with homes in the region, %d with separate places", regional, separate)
	// Each prefix is prefilled once, and again where two places choose different servers.
	if limit := 2 * prefixes * prefixTokens; regional > limit {
		t.Errorf("%d shared tokens prefilled, want at most %d", regional, limit)
	}
	if regional > separate/2 {
		t.Errorf("%d shared tokens prefilled, want at most half of the %d with separate places", regional, separate)
	}
}

// Guards against a home that counts as full in a busy region because of the small part of a long prompt that is not
// assumed to be there.
func TestHomeOfLongPromptHasRoomInBusyRegion(t *testing.T) {
	r, table := New(Options{SharedLoads: true, MaxBacklog: 250 * time.Millisecond, QueueForCache: true, ReadOnceWhenBusy: true}), partsTable(12)
	r.PreferPlace(true)
	now, random := time.Unix(1_700_000_000, 0), rand.New(rand.NewPCG(1, 2))
	r.SetTable(table)
	var loads []ServerLoad
	for i := range 12 {
		loads = append(loads, ServerLoad{Server: fmt.Sprintf("s%d", i), Running: 3, Pending: 6000})
	}
	r.SetPeerLoads(now, "other", loads)
	d := r.Choose(now, partsCall("long", promptParts(1, 80_000, 500, 1)), table, random)
	if d.Busyness < 1 || d.Reason != ReasonHome {
		t.Errorf("busyness %v, %v, want a busy region and its home", d.Busyness, d)
	}
}
