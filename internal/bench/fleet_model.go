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
	// polledServers and pollInterval are those of the design, section 7.
	polledServers = 16
	pollInterval  = time.Second
	// reportInterval is how old a load report of an engine gets.
	reportInterval = time.Second
	// eventLoss is the share of cache events that are lost, and the delays bound the
	// lateness of the others.
	eventLoss     = 0.2
	earliestEvent = 500 * time.Millisecond
	latestEvent   = 3 * time.Second
)

// fleetModel runs a trace on simulated engines in simulated time.
type fleetModel struct {
	servers []routing.Server
	table   *routing.Table
	engines []*engineModel
	daemons int

	now    time.Duration
	agenda agenda
	seq    int
	random *rand.Rand
	policy routingPolicy
	// watchers lists the daemons that poll a server and get its cache events.
	watchers [][]int

	// first says for each first block of a prompt which servers hold it. It spares
	// trueSight the look-up in most caches.
	first map[uint64][]bool

	// warm is when counting starts.
	warm       time.Duration
	seen       map[uint64]struct{}
	firstToken *hdrhistogram.Histogram
	computed   int
	recomputed int
	counted    int
	full       int
}

type agendaItem struct {
	at  time.Duration
	seq int
	do  func()
}

type agenda []agendaItem

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(agendaItem)) }
func (a *agenda) Pop() any {
	old := *a
	x := old[len(old)-1]
	old[len(old)-1] = agendaItem{}
	*a = old[:len(old)-1]
	return x
}

func newFleetModel(servers, daemons int, warm time.Duration, seed uint64) *fleetModel {
	f := &fleetModel{
		daemons: daemons, warm: warm, seen: map[uint64]struct{}{}, first: map[uint64][]bool{},
		random:     rand.New(rand.NewPCG(seed, 2)),
		watchers:   make([][]int, servers),
		firstToken: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3),
	}
	for i := range servers {
		f.servers = append(f.servers, routing.Server{
			ID: fmt.Sprintf("engine-%03d", i), Incarnation: 1, Service: modelService,
			Place: f.placeOf(i), Region: f.regionName(regionOf(i)), Slots: 16,
			TokensPerSecond: 16 / betweenTokens.Seconds(), PrefillTokensPerSecond: 8000,
			CacheTokens: 120_000, PricePerHour: 2, Accepting: true,
		})
		s := &f.servers[i]
		f.engines = append(f.engines, &engineModel{
			slots: s.Slots, prefill: s.PrefillTokensPerSecond, cache: newCacheModel(s.CacheTokens),
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

// Servers and daemons are dealt to the places in turn; even places are in region 0.

func (f *fleetModel) placeOf(i int) string    { return fmt.Sprint("place-", i%modelPlaces) }
func (f *fleetModel) regionName(i int) string { return [modelRegions]string{"saare", "harju"}[i] }
func regionOf(i int) int                      { return i % modelPlaces % modelRegions }

func (f *fleetModel) time() time.Time { return time.Unix(1_700_000_000, 0).Add(f.now) }
func (f *fleetModel) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.agenda, agendaItem{f.now + d, f.seq, do})
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

// run plays the turns and returns when all are answered.
func (f *fleetModel) run(turns []*turn, policy routingPolicy) {
	f.policy = policy
	end := turns[len(turns)-1].at
	for i := range f.engines {
		f.after(time.Duration(f.random.Int64N(int64(reportInterval))), func() { f.publish(i, end) })
	}
	var next func()
	k := 0
	next = func() {
		t := turns[k]
		if k++; k < len(turns) {
			f.after(turns[k].at-f.now, next)
		}
		f.arrive(t)
	}
	f.after(turns[0].at, next)
	for f.agenda.Len() > 0 {
		item := heap.Pop(&f.agenda).(agendaItem)
		f.now = item.at
		item.do()
	}
}

// publish makes the load of an engine visible, which daemons poll with a lag.
func (f *fleetModel) publish(server int, end time.Duration) {
	e := f.engines[server]
	e.reported = e.load()
	if p, ok := f.policy.(*partialSight); ok {
		at, load := f.time(), e.reported
		f.after(time.Duration(f.random.Int64N(int64(pollInterval))), func() {
			for _, d := range f.watchers[server] {
				p.routers[d].Report(at, f.servers[server].ID, 1, load)
			}
		})
	}
	if f.now < end {
		f.after(reportInterval, func() { f.publish(server, end) })
	}
}

func (f *fleetModel) arrive(t *turn) {
	t.server = f.policy.choose(f, t)
	e := f.engines[t.server]
	t.estimate = float64(t.prompt - e.cache.prefix(t.blocks()))
	e.backlog += t.estimate
	f.after(f.delay(t.daemon, t.server), func() {
		if e.running >= e.slots {
			f.full++
			e.waiting = append(e.waiting, t)
			return
		}
		f.admit(e, t)
	})
}

func (f *fleetModel) admit(e *engineModel, t *turn) {
	e.running++
	e.prompts = append(e.prompts, t)
	if len(e.prompts) == 1 {
		f.compute(e)
	}
}

// compute starts the first prompt in the queue.
func (f *fleetModel) compute(e *engineModel) {
	t := e.prompts[0]
	cached := e.cache.prefix(t.blocks())
	uncached := t.prompt - cached
	f.count(t, cached)
	f.after(time.Duration(float64(uncached)/e.prefill*1e9), func() {
		e.backlog -= t.estimate
		f.store(t.server, t.blocks())
		f.after(f.delay(t.daemon, t.server), func() { f.begin(t) })
		f.after(time.Duration(t.response)*betweenTokens, func() { f.finish(e, t, cached) })
		e.prompts = e.prompts[1:]
		if len(e.prompts) > 0 {
			f.compute(e)
		}
	})
}

// count adds up the tokens that are computed, and those of them that some engine has
// computed before.
func (f *fleetModel) count(t *turn, cached int) {
	again := 0
	for i, block := range t.blocks() {
		_, ok := f.seen[block]
		if tokens := routing.TokensThrough(i + 1); ok && tokens > cached {
			again += tokens - routing.TokensThrough(i)
		}
		f.seen[block] = struct{}{}
	}
	if t.at >= f.warm {
		f.counted++
		f.computed += t.prompt - cached
		f.recomputed += again
	}
}

func (f *fleetModel) begin(t *turn) {
	if t.at >= f.warm {
		// The longest value of the histogram is beyond the length of any trace.
		_ = f.firstToken.RecordValue(int64((f.now - t.at) / time.Microsecond))
	}
	if p, ok := f.policy.(*partialSight); ok {
		p.firstToken(f, t)
	}
}

func (f *fleetModel) finish(e *engineModel, t *turn, cached int) {
	f.store(t.server, t.chain)
	for _, block := range t.chain[t.promptBlocks:] {
		f.seen[block] = struct{}{}
	}
	if p, ok := f.policy.(*partialSight); ok {
		f.after(f.delay(t.daemon, t.server), func() { p.answered(f, t, cached) })
	}
	e.running--
	if len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		f.admit(e, next)
	}
}

// store puts blocks in a cache and tells the daemons that watch the server.
func (f *fleetModel) store(server int, chain []uint64) {
	added, evicted := f.engines[server].cache.store(chain)
	if len(added) > 0 && added[len(added)-1] == chain[0] {
		if f.first[chain[0]] == nil {
			f.first[chain[0]] = make([]bool, len(f.engines))
		}
		f.first[chain[0]][server] = true
	}
	for _, block := range evicted {
		if holders := f.first[block]; holders != nil {
			holders[server] = false
		}
	}
	p, ok := f.policy.(*partialSight)
	if !ok {
		return
	}
	at := f.time()
	for _, d := range f.watchers[server] {
		f.tell(p, d, server, routing.CacheStored, added, at)
		f.tell(p, d, server, routing.CacheEvicted, evicted, at)
	}
}

func (f *fleetModel) tell(p *partialSight, daemon, server int, kind routing.CacheEventKind, blocks []uint64, at time.Time) {
	if len(blocks) == 0 || f.random.Float64() < eventLoss {
		return
	}
	late := earliestEvent + time.Duration(f.random.Int64N(int64(latestEvent-earliestEvent)))
	f.after(late, func() { p.event(f, daemon, server, kind, blocks, at) })
}
