package bench

import (
	"math/rand/v2"
	"time"

	"apricotbridge/internal/routing"
)

// routingPolicy is the router under test or a baseline.
type routingPolicy interface {
	choose(f *fleetModel, t *turn) int
}

// trueSight is a baseline that sees the actual caches and loads of all engines. Within the
// region it prefers servers with free slots and then minimises a cost like the router's,
// with the actual values.
type trueSight struct{}

const (
	// Of the prefill weights 2, 4 and 8 and the occupancy weights 0.05 and 0.2, these give
	// the strongest baseline with 20 servers. Without the occupancy term equal costs are
	// common, the first of equal servers gets all new sessions and its cache overflows, so
	// that the baseline is far too weak.
	trueSightPrefillWeight   = 4.0
	trueSightOccupancyWeight = 0.2
)

func (trueSight) choose(f *fleetModel, t *turn) int {
	best, bestFree, bestCost := -1, false, 0.0
	holders := f.firstBlockHolders[t.chain[0]]
	for i, e := range f.engines {
		if regionOf(i) != regionOf(t.daemon) {
			continue
		}
		free := e.running+len(e.waiting) < e.slots
		if best >= 0 && bestFree && !free {
			continue
		}
		uncached := float64(t.promptTokens)
		if holders != nil && holders[i] {
			uncached -= float64(e.cache.cachedTokens(t.blocks()))
		}
		cost := trueSightPrefillWeight*uncached/e.prefillTokensPerSecond + e.backlog/e.prefillTokensPerSecond + 2*f.delay(t.daemon, i).Seconds()
		cost += trueSightOccupancyWeight * float64(e.running+len(e.waiting)) / float64(e.slots)
		if over := e.running + len(e.waiting) - e.slots + 1; over > 0 {
			cost += float64(over) * meanSlotSeconds / float64(e.slots)
		}
		if best < 0 || free && !bestFree || cost < bestCost {
			best, bestFree, bestCost = i, free, cost
		}
	}
	return best
}

// meanSlotSeconds is the approximate mean time that a turn occupies its slot.
const meanSlotSeconds = 3.7

// leastLoad sees the actual loads and picks the server with the fewest requests, at random
// among equals. It ignores caches.
type leastLoad struct{ random *rand.Rand }

func (p leastLoad) choose(f *fleetModel, t *turn) int {
	best, least, ties := -1, 0, 0
	for i, e := range f.engines {
		if regionOf(i) != regionOf(t.daemon) {
			continue
		}
		load := e.running + len(e.waiting)
		switch {
		case best < 0 || load < least:
			best, least, ties = i, load, 1
		case load == least:
			if ties++; p.random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// randomChoice picks a random server of the region.
type randomChoice struct{ random *rand.Rand }

func (p randomChoice) choose(f *fleetModel, t *turn) int {
	for {
		if i := p.random.IntN(len(f.engines)); regionOf(i) == regionOf(t.daemon) {
			return i
		}
	}
}

// daemonRouters is the router under test, one for each daemon. A router learns from its own
// calls, from the servers that its daemon polls, and from delayed and incomplete cache
// events and load reports.
type daemonRouters struct {
	table       *routing.Table
	routers     []*routing.Router
	randoms     []*rand.Rand
	serverIndex map[string]int
	// reasons counts the decisions by reason.
	reasons map[string]int
}

func newDaemonRouters(f *fleetModel, seed uint64) *daemonRouters {
	p := &daemonRouters{table: f.table, serverIndex: map[string]int{}, reasons: map[string]int{}}
	for i := range f.servers {
		p.serverIndex[f.servers[i].ID] = i
	}
	for d := range f.daemonCount {
		p.routers = append(p.routers, routing.New(routing.Options{MaxBlocks: routerBlocks}))
		p.randoms = append(p.randoms, rand.New(rand.NewPCG(seed, uint64(d)+100)))
	}
	return p
}

// routerBlocks is an eighth of the router's default. With the default, the routers of 380
// daemons in one process would need 5 GB.
const routerBlocks = 1 << 13

func (p *daemonRouters) call(f *fleetModel, t *turn) routing.Call {
	return routing.Call{
		RequestID: t.id, Service: modelService, Session: t.session, Model: modelService,
		Place: f.placeOf(t.daemon), Region: f.regionName(regionOf(t.daemon)),
		Blocks: t.blocks(), PromptTokens: t.promptTokens, ExpectedTokens: t.responseTokens,
	}
}

func (p *daemonRouters) choose(f *fleetModel, t *turn) int {
	now := f.wallTime()
	call := p.call(f, t)
	router := p.routers[t.daemon]
	d := router.Choose(now, &call, p.table, p.randoms[t.daemon])
	router.Sent(now, &call, d.Server)
	p.reasons[d.Reason]++
	return p.serverIndex[d.Server]
}

func (p *daemonRouters) firstToken(f *fleetModel, t *turn) {
	p.routers[t.daemon].FirstToken(f.wallTime(), t.id)
}

func (p *daemonRouters) answered(f *fleetModel, t *turn, cached int) {
	load := f.engines[t.server].reported
	p.routers[t.daemon].Answered(f.wallTime(), t.id, routing.Answer{CachedTokens: cached, Load: &load})
}

func (p *daemonRouters) cacheEvent(f *fleetModel, daemon, server int, kind routing.CacheEventKind, blocks []uint64, at time.Time) {
	p.routers[daemon].CacheEvent(f.wallTime(), routing.CacheEvent{
		Server: f.servers[server].ID, Incarnation: 1, Kind: kind, Blocks: blocks, At: at,
	})
}
