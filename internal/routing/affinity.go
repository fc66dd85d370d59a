package routing

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// spreadFactor is the number of servers for a shared prefix relative to its share of calls.
	spreadFactor = 2.0
	// priorCalls is the number of assumed calls, spread over priorPrefixes prefixes, that
	// keep the first calls of a daemon from spreading one prefix over all servers.
	priorCalls    = 32.0
	priorPrefixes = 64.0
	// minSpreadDivisor sets the smallest spread to 1/16 of the servers. Daemons cannot
	// measure the share of rare prefixes, and different spreads send one session to
	// different servers.
	minSpreadDivisor = 16
	// spreadStep is the ratio of consecutive spreads. With few steps, daemons that
	// measure different shares still agree on the spread.
	spreadStep = 4
	// homeCount is the number of servers that a session prefers, in order.
	homeCount = 3
)

// homeCachedShare is the expected share of a session's earlier prompt in the cache of its
// home servers, in order. The second one receives sessions when the first is full in the
// view of some daemon.
var homeCachedShare = [homeCount]float64{0.95, 0.1, 0.05}

// spreadCachedShare is the expected share of a shared prefix in the cache of a server that
// it is spread over.
const spreadCachedShare = 0.7

// prefixSpread returns over how many of n servers the shared prefix of a call is spread:
// the more popular, the more servers. Each daemon measures popularity in its own
// traffic. Daemons with slightly different spreads still agree on most sessions, since
// the servers of a smaller spread are among those of a larger one.
func (r *Router) prefixSpread(now time.Time, key uint64, n int) int {
	weight, total := priorCalls/priorPrefixes, priorCalls
	p, ok := r.sharedPrefixes.Peek(key)
	if ok {
		p.decay(now)
		weight += p.recentCalls
	}
	r.allPrefixes.decay(now)
	total += r.allPrefixes.recentCalls
	exact := spreadFactor * float64(n) * weight / total
	size := (n + minSpreadDivisor - 1) / minSpreadDivisor
	for float64(size) < exact {
		size *= spreadStep
	}
	if ok {
		// Reduce the spread only when it is at least 2*spreadStep times too large, because
		// each change moves sessions away from their cache.
		if size < p.spread && exact*spreadStep*2 > float64(p.spread) {
			size = p.spread
		}
		p.spread = size
	}
	return min(size, n)
}

// findHomes returns the positions in t.servers of the home servers of a call's session, by
// rendezvous hashing in two stages: the shared prefix selects servers, and the session
// ranks the selected ones, weighted by slots. On return the first size elements of
// r.rendezvousHashes hold the selected servers, with their positions in the low bits.
func (r *Router) findHomes(now time.Time, call *Call, t *Table, servers []int) (home [homeCount]int, size int) {
	key := sharedPrefixKey(call)
	r.rendezvousHashes = r.rendezvousHashes[:0]
	for _, i := range servers {
		if t.servers[i].Accepting && call.accepts(&t.servers[i]) {
			r.rendezvousHashes = append(r.rendezvousHashes, mix(key, t.hashes[i])&^positionMask|uint64(i))
		}
	}
	for i := range home {
		home[i] = -1
	}
	size = r.prefixSpread(now, key, len(r.rendezvousHashes))
	if size == 0 {
		return home, 0
	}
	selectLargest(r.rendezvousHashes, size)
	sessionHash := sessionKey(call)
	if call.Session == "" && len(call.Blocks) == 0 {
		sessionHash = xxhash.Sum64String(call.RequestID)
	}
	var bestWeights [homeCount]float64
	for _, hash := range r.rendezvousHashes[:size] {
		i := int(hash & positionMask)
		weight := rendezvousWeight(mix(sessionHash, t.hashes[i]), t.servers[i].Slots)
		for k := range home {
			if home[k] < 0 || weight > bestWeights[k] {
				copy(home[k+1:], home[k:homeCount-1])
				copy(bestWeights[k+1:], bestWeights[k:homeCount-1])
				home[k], bestWeights[k] = i, weight
				break
			}
		}
	}
	return home, size
}

// positionMask covers the bits of a rendezvous hash that hold the position of a server in
// the table. A table has at most 65,536 servers.
const positionMask = 1<<16 - 1

// rendezvousWeight is the weight of a server in rendezvous hashing. The expected share of
// a server that wins by the largest weight is proportional to its slots.
func rendezvousWeight(hash uint64, slots int) float64 {
	u := (float64(hash>>11) + 0.5) / (1 << 53)
	return -float64(max(slots, 1)) / math.Log(u)
}

// selectLargest moves the k largest elements to the front, unordered (quickselect).
func selectLargest(a []uint64, k int) {
	low, high := 0, len(a)-1
	for low < high {
		pivot := a[low+(high-low)/2]
		i, j := low, high
		for i <= j {
			for a[i] > pivot {
				i++
			}
			for a[j] < pivot {
				j--
			}
			if i <= j {
				a[i], a[j] = a[j], a[i]
				i++
				j--
			}
		}
		switch {
		case k-1 <= j:
			high = j
		case k-1 >= i:
			low = i
		default:
			return
		}
	}
}
