package bench

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"apricotbridge/internal/routing"
)

const (
	modelService = "kirjutaja"
	modelRegions = 2
	modelPlaces  = 6
	// Number of servers whose load a daemon polls, and the time between polls.
	polledServers = 16
	pollInterval  = time.Second
	// reportInterval is the time between load reports of an engine.
	reportInterval = time.Second
	// eventLossShare is the share of cache events that are lost; the others arrive after
	// minEventDelay to maxEventDelay.
	eventLossShare = 0.2
	minEventDelay  = 500 * time.Millisecond
	maxEventDelay  = 3 * time.Second
)

// fleetModel runs a trace on simulated engines on simulated time.
type fleetModel struct {
	servers     []routing.Server
	table       *routing.Table
	engines     []*cachingEngine
	daemonCount int

	now    time.Duration
	agenda agendaHeap
	seq    int
	random *rand.Rand
	policy routingPolicy
	// watchers lists for each server the daemons that poll it and get its cache events.
	watchers [][]int

	// firstBlockHolders marks the servers that cache a block, for the first block of each
	// prompt. It spares trueSight the look-up in most caches.
	firstBlockHolders map[uint64][]bool

	// Turns that arrive before warmUp are not counted.
	warmUp           time.Duration
	computedBlocks   map[uint64]struct{}
	firstToken       *hdrhistogram.Histogram
	computedTokens   int
	recomputedTokens int
	countedTurns     int
	waitedForSlot    int
}

type agendaItem struct {
	at  time.Duration
	seq int
	run func()
}

type agendaHeap []agendaItem

func (a agendaHeap) Len() int { return len(a) }
func (a agendaHeap) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agendaHeap) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agendaHeap) Push(x any)   { *a = append(*a, x.(agendaItem)) }
func (a *agendaHeap) Pop() any {
	old := *a
	x := old[len(old)-1]
	old[len(old)-1] = agendaItem{}
	*a = old[:len(old)-1]
	return x
}

func newFleetModel(servers, daemons int, warmUp time.Duration, seed uint64) *fleetModel {
	f := &fleetModel{
		daemonCount: daemons, warmUp: warmUp, computedBlocks: map[uint64]struct{}{}, firstBlockHolders: map[uint64][]bool{},
		random:     rand.New(rand.NewPCG(seed, 2)),
		watchers:   make([][]int, servers),
		firstToken: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3),
	}
	for i := range servers {
		f.servers = append(f.servers, routing.Server{
			ID: fmt.Sprintf("engine-%03d", i), Incarnation: 1, Service: modelService,
			Place: f.placeOf(i), Region: f.regionName(regionOf(i)), Slots: 16,
			TokensPerSecond: 16 / tokenInterval.Seconds(), PrefillTokensPerSecond: 8000,
			CacheTokens: 120_000, PricePerHour: 2, Accepting: true,
		})
		s := &f.servers[i]
		f.engines = append(f.engines, &cachingEngine{
			slots: s.Slots, prefillTokensPerSecond: s.PrefillTokensPerSecond, cache: newPrefixCache(s.CacheTokens),
		})
	}
	f.table = routing.NewTable(f.servers, []routing.Link{
		{From: f.regionName(0), To: f.regionName(1), Delay: 12 * time.Millisecond, PricePerGigabyte: 0.05, BytesPerSecond: 30e6 / 8},
	})
	for d := range daemons {
		for _, i := range f.random.Perm(servers)[:min(polledServers, servers)] {
			f.watchers[i] = append(f.watchers[i], d)
		}
	}
	return f
}

// Servers and daemons are assigned to the places round-robin; even places are in region 0.

func (f *fleetModel) placeOf(i int) string    { return fmt.Sprint("place-", i%modelPlaces) }
func (f *fleetModel) regionName(i int) string { return [modelRegions]string{"saare", "harju"}[i] }
func regionOf(i int) int                      { return i % modelPlaces % modelRegions }

func (f *fleetModel) wallTime() time.Time { return time.Unix(1_700_000_000, 0).Add(f.now) }
func (f *fleetModel) after(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.agenda, agendaItem{f.now + d, f.seq, run})
}

func (f *fleetModel) delay(daemon, server int) time.Duration {
	switch {
	case regionOf(daemon) != regionOf(server):
		return 12 * time.Millisecond
	case daemon%modelPlaces != server%modelPlaces:
		return 1500 * time.Microsecond
	}
	return 0
}

// run runs the turns and returns when all are answered.
func (f *fleetModel) run(turns []*turn, policy routingPolicy) {
	f.policy = policy
	end := turns[len(turns)-1].arrival
	for i := range f.engines {
		f.after(time.Duration(f.random.Int64N(int64(reportInterval))), func() { f.reportLoad(i, end) })
	}
	var next func()
	k := 0
	next = func() {
		t := turns[k]
		if k++; k < len(turns) {
			f.after(turns[k].arrival-f.now, next)
		}
		f.arrive(t)
	}
	f.after(turns[0].arrival, next)
	for f.agenda.Len() > 0 {
		item := heap.Pop(&f.agenda).(agendaItem)
		f.now = item.at
		item.run()
	}
}

// reportLoad publishes the load of an engine, which daemons poll with a delay.
func (f *fleetModel) reportLoad(server int, end time.Duration) {
	e := f.engines[server]
	e.reported = e.load()
	if p, ok := f.policy.(*daemonRouters); ok {
		at, load := f.wallTime(), e.reported
		f.after(time.Duration(f.random.Int64N(int64(pollInterval))), func() {
			for _, d := range f.watchers[server] {
				p.routers[d].Report(at, f.servers[server].ID, 1, load)
			}
		})
	}
	if f.now < end {
		f.after(reportInterval, func() { f.reportLoad(server, end) })
	}
}

func (f *fleetModel) arrive(t *turn) {
	t.server = f.policy.choose(f, t)
	e := f.engines[t.server]
	t.estimatedTokens = float64(t.promptTokens - e.cache.cachedTokens(t.blocks()))
	e.backlog += t.estimatedTokens
	f.after(f.delay(t.daemon, t.server), func() {
		if e.running >= e.slots {
			f.waitedForSlot++
			e.waiting = append(e.waiting, t)
			return
		}
		f.admit(e, t)
	})
}

func (f *fleetModel) admit(e *cachingEngine, t *turn) {
	e.running++
	e.prompts = append(e.prompts, t)
	if len(e.prompts) == 1 {
		f.startPrefill(e)
	}
}

// startPrefill computes the first prompt in the queue of an engine.
func (f *fleetModel) startPrefill(e *cachingEngine) {
	t := e.prompts[0]
	cached := e.cache.cachedTokens(t.blocks())
	uncached := t.promptTokens - cached
	f.countTokens(t, cached)
	f.after(time.Duration(float64(uncached)/e.prefillTokensPerSecond*1e9), func() {
		e.backlog -= t.estimatedTokens
		f.cacheBlocks(t.server, t.blocks())
		f.after(f.delay(t.daemon, t.server), func() { f.recordFirstToken(t) })
		f.after(time.Duration(t.responseTokens)*tokenInterval, func() { f.finish(e, t, cached) })
		e.prompts = e.prompts[1:]
		if len(e.prompts) > 0 {
			f.startPrefill(e)
		}
	})
}

// countTokens counts the computed tokens and those of them that an engine has computed
// before.
func (f *fleetModel) countTokens(t *turn, cached int) {
	recomputed := 0
	for i, block := range t.blocks() {
		_, ok := f.computedBlocks[block]
		if tokens := routing.TokensInBlocks(i + 1); ok && tokens > cached {
			recomputed += tokens - routing.TokensInBlocks(i)
		}
		f.computedBlocks[block] = struct{}{}
	}
	if t.arrival >= f.warmUp {
		f.countedTurns++
		f.computedTokens += t.promptTokens - cached
		f.recomputedTokens += recomputed
	}
}

func (f *fleetModel) recordFirstToken(t *turn) {
	if t.arrival >= f.warmUp {
		// The histogram covers an hour, longer than any trace, so that this can't fail.
		_ = f.firstToken.RecordValue(int64((f.now - t.arrival) / time.Microsecond))
	}
	if p, ok := f.policy.(*daemonRouters); ok {
		p.firstToken(f, t)
	}
}

func (f *fleetModel) finish(e *cachingEngine, t *turn, cached int) {
	f.cacheBlocks(t.server, t.chain)
	for _, block := range t.chain[t.promptBlocks:] {
		f.computedBlocks[block] = struct{}{}
	}
	if p, ok := f.policy.(*daemonRouters); ok {
		f.after(f.delay(t.daemon, t.server), func() { p.answered(f, t, cached) })
	}
	e.running--
	if len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		f.admit(e, next)
	}
}

// cacheBlocks stores blocks in the cache of a server and sends the changes to its watchers.
func (f *fleetModel) cacheBlocks(server int, chain []uint64) {
	added, evicted := f.engines[server].cache.store(chain)
	if len(added) > 0 && added[len(added)-1] == chain[0] {
		if f.firstBlockHolders[chain[0]] == nil {
			f.firstBlockHolders[chain[0]] = make([]bool, len(f.engines))
		}
		f.firstBlockHolders[chain[0]][server] = true
	}
	for _, block := range evicted {
		if holders := f.firstBlockHolders[block]; holders != nil {
			holders[server] = false
		}
	}
	p, ok := f.policy.(*daemonRouters)
	if !ok {
		return
	}
	at := f.wallTime()
	for _, d := range f.watchers[server] {
		f.sendCacheEvent(p, d, server, routing.CacheStored, added, at)
		f.sendCacheEvent(p, d, server, routing.CacheEvicted, evicted, at)
	}
}

func (f *fleetModel) sendCacheEvent(p *daemonRouters, daemon, server int, kind routing.CacheEventKind, blocks []uint64, at time.Time) {
	if len(blocks) == 0 || f.random.Float64() < eventLossShare {
		return
	}
	delay := minEventDelay + time.Duration(f.random.Int64N(int64(maxEventDelay-minEventDelay)))
	f.after(delay, func() { p.cacheEvent(f, daemon, server, kind, blocks, at) })
}
