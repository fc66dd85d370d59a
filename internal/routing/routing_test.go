package routing

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testStart = time.Unix(1_700_000_000, 0)

func testTable(n int) *Table {
	servers := make([]Server, n)
	for i := range servers {
		servers[i] = Server{
			ID: fmt.Sprintf("engine-%03d", i), Incarnation: 1, Service: "kirjutaja",
			Place: "kuressaare", Region: "saare", Slots: 8, TokensPerSecond: 400,
			PrefillTokensPerSecond: 8000, CacheTokens: 200_000, PricePerHour: 2, Accepting: true,
		}
	}
	return NewTable(servers, []Link{
		{From: "saare", To: "harju", Delay: 12 * time.Millisecond, PricePerGigabyte: 0.1, BytesPerSecond: 3.75e6},
	})
}

func testCall(id int, session, text string) *Call {
	return &Call{
		RequestID: fmt.Sprintf("r%d", id), Service: "kirjutaja", Session: session,
		Place: "kuressaare", Region: "saare", Blocks: PromptBlocks(text, "m", ""), ExpectedTokens: 100,
	}
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(7, 7)) }

// Guards against texts with different starts that share a block hash, and against a
// token count that disagrees with the number of blocks.
func TestPromptBlocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 300_000).Draw(t, "bytes")
		cut := rapid.IntRange(0, n).Draw(t, "cut")
		text := strings.Repeat("a", n)
		other := text[:cut] + strings.Repeat("b", n-cut)
		a, b := PromptBlocks(text, "m", ""), PromptBlocks(other, "m", "")
		for i := range a {
			same := TokensInBlocks(i+1)*BytesPerToken <= cut || cut == n
			if (a[i] == b[i]) != same {
				t.Fatalf("block %d of texts that differ from byte %d: equal is %v", i, cut, a[i] == b[i])
			}
		}
		if got := len(a); got != blocksIn(n) {
			t.Fatalf("%d blocks, want %d", got, blocksIn(n))
		}
		if rest := n - TokensInBlocks(len(a))*BytesPerToken; rest < 0 || rest >= blockBytes(len(a)) {
			t.Fatalf("%d bytes after the last block", rest)
		}
	})
	if PromptBlocks(strings.Repeat("a", 256), "m", "x")[0] == PromptBlocks(strings.Repeat("a", 256), "m", "y")[0] {
		t.Fatal("adapters share a block")
	}
	if n := blocksIn(4 << 20); n > 300 {
		t.Fatalf("the longest body has %d blocks", n)
	}
}

// Guards against daemons that send one session to different servers, each of which then
// prefills the prompt.
func TestDaemonsPreferTheSameServer(t *testing.T) {
	for _, n := range []int{20, 920} {
		table, same := testTable(n), 0
		a, b := New(Options{}), New(Options{})
		for i := range 200 {
			c := testCall(i, fmt.Sprintf("s%d", i), strings.Repeat(fmt.Sprint(i%5), 4000))
			x := a.Choose(testStart, c, table, rand.New(rand.NewPCG(1, 1)))
			y := b.Choose(testStart, c, table, rand.New(rand.NewPCG(2, 2)))
			if x.Server == y.Server {
				same++
			}
		}
		if same < 190 {
			t.Errorf("%d servers: two daemons agree on %d of 200 sessions", n, same)
		}
	}
}

// Guards against a popular prefix that overloads the few servers with the prefix cached.
func TestPopularPrefixSpreads(t *testing.T) {
	table, r, random := testTable(20), New(Options{}), newRandom()
	counts := map[string]int{}
	for i := range 140 {
		c := testCall(i, fmt.Sprintf("s%d", i), strings.Repeat("same", 2000))
		d := r.Choose(testStart, c, table, random)
		r.Sent(testStart, c, d.Server)
		counts[d.Server]++
	}
	for server, n := range counts {
		if n > 8 {
			t.Errorf("%s has %d requests in 8 slots while others are free", server, n)
		}
	}
}

// Guards against keeping a free slot unused for cache affinity: while any server has a free
// slot, no full one is chosen, whatever its cache holds.
func TestFreeSlotIsUsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(t, "servers")
		table, r := testTable(n), New(Options{})
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for i := range n*8 + 3 {
			c := testCall(i, fmt.Sprint(i%3), strings.Repeat("long", 4000))
			d := r.Choose(testStart, c, table, random)
			if load := r.states[d.Server].inFlight; load >= 8 && i < n*8 {
				t.Fatalf("request %d went to a server with %d in flight", i, load)
			}
			r.Sent(testStart, c, d.Server)
		}
	})
}

// Guards against a failing server that keeps its traffic, and against one that regains
// all of its traffic at once.
func TestFailingServerLosesTrafficFastAndRegainsItSlowly(t *testing.T) {
	table, r, random := testTable(4), New(Options{}), newRandom()
	text := strings.Repeat("text", 4000)
	victim := r.Choose(testStart, testCall(-1, "s", text), table, random).Server
	share := func(now time.Time) int {
		n := 0
		for i := range 1000 {
			if r.Choose(now, testCall(i, "s", text), table, random).Server == victim {
				n++
			}
		}
		return n
	}
	before := share(testStart)
	for i := range 3 {
		c := testCall(i, "s", "")
		r.Sent(testStart, c, victim)
		r.Failed(testStart, c.RequestID)
	}
	var shares []int
	for _, after := range []time.Duration{0, 5 * time.Second, 30 * time.Second, 10 * time.Minute} {
		shares = append(shares, share(testStart.Add(after)))
	}
	t.Logf("of 1000 requests before the failures %d, then %v", before, shares)
	if before != 1000 || shares[0] > 30 || shares[1] > 300 || shares[2] < shares[1] || shares[3] != 1000 {
		t.Errorf("share before %d, after 0 s, 5 s, 30 s and 10 min: %v", before, shares)
	}
}

// Guards against a slow server that keeps its traffic because it never fails.
func TestSlowServerLosesTraffic(t *testing.T) {
	table, r := testTable(2), New(Options{})
	r.syncTable(table)
	for i := range 5 {
		c := testCall(i, "s", "")
		r.Sent(testStart, c, "engine-000")
		r.FirstToken(testStart.Add(9*time.Second), c.RequestID)
	}
	if share := r.states["engine-000"].health.shareAt(testStart.Add(9 * time.Second)); share > 0.1 {
		t.Errorf("a server that is 9 s late five times keeps a share of %.2f", share)
	}
}

// Guards against cache events that apply to a restarted server or override newer records.
func TestCacheEvents(t *testing.T) {
	table, r := testTable(3), New(Options{})
	r.syncTable(table)
	c := testCall(1, "s", strings.Repeat("text", 2000))
	cached := func() float64 { return r.believedCachedTokens(testStart, c, r.states["engine-001"]) }
	event := CacheEvent{Server: "engine-001", Incarnation: 1, Kind: CacheStored, Blocks: c.Blocks, At: testStart}
	stale := event
	stale.Incarnation = 0
	if r.CacheEvent(testStart, stale); cached() != 0 {
		t.Error("an event of an older incarnation counts")
	}
	if r.CacheEvent(testStart, event); cached() < 1900 {
		t.Errorf("after the event %v tokens are believed cached", cached())
	}
	evicted := event
	evicted.Kind, evicted.At = CacheEvicted, testStart.Add(-5*time.Second)
	if r.CacheEvent(testStart, evicted); cached() < 1900 {
		t.Error("an eviction before the block was stored removed it")
	}
	evicted.At = testStart
	if r.CacheEvent(testStart, evicted); cached() != 0 {
		t.Error("an eviction leaves the tokens believed cached")
	}
	r.CacheEvent(testStart, event)
	event.Kind = CacheCleared
	if r.CacheEvent(testStart, event); cached() != 0 {
		t.Error("a cleared cache leaves the tokens believed cached")
	}
}

// Guards against a decision without a reason, and against a suspected request that shares
// a server with other requests.
func TestNoServerAndAlone(t *testing.T) {
	table, r, random := testTable(2), New(Options{}), newRandom()
	c := testCall(1, "s", "")
	c.Excluded = []string{"engine-000", "engine-001"}
	if d := r.Choose(testStart, c, table, random); d.Server != "" || d.Rejected.Excluded != 2 || !strings.Contains(d.String(), "already tried 2") {
		t.Errorf("decision: %s", d)
	}
	alone := testCall(2, "s", "")
	alone.Alone = true
	d := r.Choose(testStart, alone, table, random)
	r.Sent(testStart, alone, d.Server)
	for i := range 20 {
		c := testCall(10+i, "s", "")
		o := r.Choose(testStart, c, table, random)
		if o.Server == d.Server {
			t.Fatalf("request %d shares %s with a suspected one", i, o.Server)
		}
		r.Sent(testStart, c, o.Server)
	}
	second := testCall(3, "s", "")
	second.Alone = true
	if d := r.Choose(testStart, second, table, random); d.Server != "" || d.Reason != ReasonNoneEmpty {
		t.Errorf("second suspected request: %s", d)
	}
}

// Guards against sending bulk KV cache over the link between regions without a stated reason.
func TestDecideResume(t *testing.T) {
	table, r := testTable(2), New(Options{})
	from, _ := table.Server("engine-000")
	near, far := from, from
	far.Region = "harju"
	base := ResumeInput{
		Tokens: 20_000, BytesPerToken: 20_000, ImportSeconds: 0.1, EngineAlive: true,
		EngineResumeSeconds: 0.05, RemainingSeconds: 10, TimeToReclaim: 5 * time.Second, LocalBytesPerSecond: 1e9, From: from,
	}
	for _, c := range []struct {
		name   string
		change func(*ResumeInput)
		want   ResumeMethod
		reason string
	}{
		{"ends within the notice", func(in *ResumeInput) { in.RemainingSeconds = 1 }, ResumeEngine, "engine resume"},
		{"import in the region", func(*ResumeInput) {}, ResumeImport, "instead of recompute"},
		{"engine lost", func(in *ResumeInput) { in.EngineAlive = false }, ResumeRecompute, "recompute 20000 tokens"},
		{"cached at the target", func(in *ResumeInput) { in.CachedTokens = 19_900 }, ResumeRecompute, "import"},
		{"400 MB over the link", func(in *ResumeInput) { in.Target = far }, ResumeRecompute, "exceed the notice"},
		{"small cache over the link", func(in *ResumeInput) { in.Target, in.BytesPerToken = far, 50 }, ResumeImport, "over the link saare-harju: 1000000 bytes, price"},
	} {
		in := base
		in.Target = near
		c.change(&in)
		d := r.DecideResume(in, table)
		if d.Method != c.want || !strings.Contains(d.Reason, c.reason) {
			t.Errorf("%s: %+v", c.name, d)
		}
	}
}

// TestPeerLoadSums guards against a kept sum of peer loads that misses a report, its
// replacement or its expiry.
func TestPeerLoadSums(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	r := New(Options{SharedLoads: true})
	r.SetTable(NewTable([]Server{{ID: "a", Service: "s", Slots: 8, Accepting: true}, {ID: "b", Service: "s", Slots: 8, Accepting: true}}, nil))
	check := func(step string, at time.Time, want float64) {
		t.Helper()
		if got, _ := r.states["a"].sumPeerLoads(at); got != want {
			t.Errorf("%s: load %v, want %v", step, got, want)
		}
	}
	load := func(server string, running int) []ServerLoad { return []ServerLoad{{Server: server, Running: running}} }
	r.SetPeerLoads(now, "one", load("a", 2))
	r.SetPlaceLoads(now, "place", load("a", 4))
	check("two sources", now, 6)
	r.SetPeerLoads(now.Add(time.Second), "two", load("a", 1))
	check("a third source", now.Add(time.Second), 7)
	check("the first source has expired", now.Add(peerLoadMaxAge), 5)
	check("the place has expired", now.Add(placeLoadMaxAge), 1)
	r.SetPeerLoads(now.Add(2*time.Second), "two", load("b", 1))
	check("the last source has moved", now.Add(2*time.Second), 0)
}
