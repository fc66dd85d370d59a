package bench

import (
	"math/rand/v2"
	"time"

	"apricotbridge/internal/routing"
)

// routingPolicy is a router under test or a baseline.
type routingPolicy interface {
	choose(f *fleetModel, t *turn) int
}

// trueSight sees the engines' true caches and loads. It minimises a cost like that of the
// router under test, with true values, uses free slots first and stays in the region.
type trueSight struct{}

const (
	// trueSightPrefillWeight and trueSightCrowd are the best of 2, 4 and 8 and of 0.05
	// and 0.2 for 20 servers. Without the second one equal costs are common, the first
	// of equal servers gets all new sessions and its cache overflows, which makes
	// the baseline far too weak.
	trueSightPrefillWeight = 4.0
	trueSightCrowd         = 0.2
)

func (trueSight) choose(f *fleetModel, t *turn) int {
	best, bestFree, bestCost := -1, false, 0.0
	holders := f.first[t.chain[0]]
	for i, e := range f.engines {
		if regionOf(i) != regionOf(t.daemon) {
			continue
		}
		free := e.running+len(e.waiting) < e.slots
		if best >= 0 && bestFree && !free {
			continue
		}
		uncached := float64(t.prompt)
		if holders != nil && holders[i] {
			uncached -= float64(e.cache.prefix(t.blocks()))
		}
		cost := trueSightPrefillWeight*uncached/e.prefill + e.backlog/e.prefill + 2*f.delay(t.daemon, i).Seconds()
		cost += trueSightCrowd * float64(e.running+len(e.waiting)) / float64(e.slots)
		if over := e.running + len(e.waiting) - e.slots + 1; over > 0 {
			cost += float64(over) * meanHold / float64(e.slots)
		}
		if best < 0 || free && !bestFree || cost < bestCost {
			best, bestFree, bestCost = i, free, cost
		}
	}
	return best
}

// meanHold is about the mean time that a turn holds its slot, in seconds.
const meanHold = 3.7

// leastLoad sees the true load and picks the server with the fewest requests, by
// chance among equals. It ignores caches.
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

// randomChoice picks any server of the region.
type randomChoice struct{ random *rand.Rand }

func (p randomChoice) choose(f *fleetModel, t *turn) int {
	for {
		if i := p.random.IntN(len(f.engines)); regionOf(i) == regionOf(t.daemon) {
			return i
		}
	}
}

// partialSight is the router under test: each daemon has its own, which learns from
// its own calls, from the servers that it polls, and from events and reports
// that are late and have gaps.
type partialSight struct {
	table   *routing.Table
	routers []*routing.Router
	randoms []*rand.Rand
	index   map[string]int
	// reasons counts the decisions by reason.
	reasons map[string]int
}

func newPartialSight(f *fleetModel, seed uint64) *partialSight {
	p := &partialSight{table: f.table, index: map[string]int{}, reasons: map[string]int{}}
	for i := range f.servers {
		p.index[f.servers[i].ID] = i
	}
	for d := range f.daemons {
		p.routers = append(p.routers, routing.New(routing.Options{Blocks: routerBlocks}))
		p.randoms = append(p.randoms, rand.New(rand.NewPCG(seed, uint64(d)+100)))
	}
	return p
}

// routerBlocks is an eighth of the default of the router. The routers of 380 daemons
// run in one process here, and would need 5 GB with the default.
const routerBlocks = 1 << 13

func (p *partialSight) call(f *fleetModel, t *turn) routing.Call {
	return routing.Call{
		RequestID: t.id, Service: modelService, Session: t.session, Model: modelService,
		Place: f.placeOf(t.daemon), Region: f.regionName(regionOf(t.daemon)),
		Blocks: t.blocks(), PromptTokens: t.prompt, ExpectedTokens: t.response,
	}
}

func (p *partialSight) choose(f *fleetModel, t *turn) int {
	now := f.time()
	call := p.call(f, t)
	router := p.routers[t.daemon]
	d := router.Choose(now, &call, p.table, p.randoms[t.daemon])
	router.Sent(now, &call, d.Server)
	p.reasons[d.Reason]++
	return p.index[d.Server]
}

func (p *partialSight) firstToken(f *fleetModel, t *turn) {
	p.routers[t.daemon].FirstToken(f.time(), t.id)
}

func (p *partialSight) answered(f *fleetModel, t *turn, cached int) {
	load := f.engines[t.server].reported
	p.routers[t.daemon].Answered(f.time(), t.id, routing.Answer{CachedTokens: cached, Load: &load})
}

func (p *partialSight) event(f *fleetModel, daemon, server int, kind routing.CacheEventKind, blocks []uint64, at time.Time) {
	p.routers[daemon].CacheEvent(f.time(), routing.CacheEvent{
		Server: f.servers[server].ID, Incarnation: 1, Kind: kind, Blocks: blocks, At: at,
	})
}
