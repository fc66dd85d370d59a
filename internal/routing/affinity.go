package routing

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// headSpread is how many times its fair share of the servers a head is spread over.
	headSpread = 2.0
	// headPrior is the number of imagined calls, spread over priorHeads heads, that
	// keep the first calls of a daemon from spreading one head over all servers.
	headPrior  = 32.0
	priorHeads = 64.0
	// leastPart of the servers is the smallest size of a head. Daemons cannot measure
	// the share of rare heads, and different sizes send one session to different
	// servers.
	leastPart = 16
	// sizeStep is the ratio of consecutive sizes. Few sizes mean that daemons with
	// different measurements still agree.
	sizeStep = 4
	// homes is the number of servers that a session prefers, in order.
	homes = 3
)

// homeTrust is the expected part of a session's earlier prompt in the cache of its
// preferred servers, in order. The second one gets sessions when the first is
// full at some daemon.
var homeTrust = [homes]float64{0.95, 0.1, 0.05}

// groupTrust is the expected part of a shared head in the cache of a server that the
// head is spread over.
const groupTrust = 0.7

// headSize returns over how many of n servers the head of a call is spread. Popular
// heads get more servers. Each daemon measures the popularity in its own
// traffic; since the servers of a smaller size are among those of a larger one,
// daemons with slightly different sizes agree on most sessions.
func (r *Router) headSize(now time.Time, key uint64, n int) int {
	weight, total := headPrior/priorHeads, headPrior
	h, ok := r.heads.Peek(key)
	if ok {
		h.decay(now)
		weight += h.weight
	}
	r.total.decay(now)
	total += r.total.weight
	exact := headSpread * float64(n) * weight / total
	size := (n + leastPart - 1) / leastPart
	for float64(size) < exact {
		size *= sizeStep
	}
	if ok {
		// A size is kept until it is twice too large by another step, because each
		// change moves sessions away from their cache.
		if size < h.size && exact*sizeStep*2 > float64(h.size) {
			size = h.size
		}
		h.size = size
	}
	return min(size, n)
}

// findHomes returns the positions in t.servers that the session of a call prefers, by
// rendezvous hashing: the head ranks the servers, and the session ranks the first
// of these, weighted by slots. r.ranks keeps the positions of the head's servers
// in the low bits of its first size elements.
func (r *Router) findHomes(now time.Time, call *Call, t *Table, servers []int) (home [homes]int, size int) {
	key := headKey(call)
	r.ranks = r.ranks[:0]
	for _, i := range servers {
		if t.servers[i].Accepting {
			r.ranks = append(r.ranks, mix(key, t.hashes[i])&^positionMask|uint64(i))
		}
	}
	for i := range home {
		home[i] = -1
	}
	size = r.headSize(now, key, len(r.ranks))
	if size == 0 {
		return home, 0
	}
	selectLargest(r.ranks, size)
	session := sessionKey(call)
	if call.Session == "" && len(call.Blocks) == 0 {
		session = xxhash.Sum64String(call.RequestID)
	}
	var best [homes]float64
	for _, rank := range r.ranks[:size] {
		i := int(rank & positionMask)
		weight := weightOf(mix(session, t.hashes[i]), t.servers[i].Slots)
		for k := range home {
			if home[k] < 0 || weight > best[k] {
				copy(home[k+1:], home[k:homes-1])
				copy(best[k+1:], best[k:homes-1])
				home[k], best[k] = i, weight
				break
			}
		}
	}
	return home, size
}

// positionMask covers the bits of a rank that hold the position of a server in the
// table. A table has at most 65,536 servers.
const positionMask = 1<<16 - 1

// weightOf is the weighted form of rendezvous hashing: the expected share of a server
// is proportional to its slots.
func weightOf(hash uint64, slots int) float64 {
	u := (float64(hash>>11) + 0.5) / (1 << 53)
	return -float64(max(slots, 1)) / math.Log(u)
}

// selectLargest moves the k largest elements to the front, in no order (quickselect).
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
