package routing

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

func hashRequestID(id string) uint64 { return xxhash.Sum64String(id) }

// choosePlain picks the server of a plain service with the fewest requests in flight
// relative to its slots. The latency and link terms prefer any server of the region
// with a free slot to those of other regions.
func (r *Router) choosePlain(now time.Time, call *Call, t *Table, servers []int, random *rand.Rand) Decision {
	var rejected Rejected
	best, unhealthy := noCandidate, noCandidate
	sc := r.newScorer(now, call, t)
	considered := 0
	// A random start breaks ties, so that the daemons do not all choose the same server.
	start := random.IntN(len(servers))
	for k := range servers {
		i := servers[(start+k)%len(servers)]
		verdict := sc.checkEligibility(i, &rejected)
		if verdict == verdictIneligible {
			continue
		}
		considered++
		load := sc.load(i)
		terms := sc.score(i, 0, load)
		terms.Wait = r.outstandingSeconds(r.tableStates[i], load)
		c := candidate{position: i, score: terms.sum(), reason: ReasonOutstanding}
		if verdict == verdictUnhealthy {
			c.reason = ReasonAllUnhealthy
			unhealthy = lowerScore(unhealthy, c)
		} else {
			best = lowerScore(best, c)
		}
	}
	if best.position < 0 {
		best = unhealthy
	}
	d := sc.decision(best, considered)
	if best.position >= 0 {
		d.Terms.Wait = r.outstandingSeconds(r.tableStates[best.position], sc.load(best.position))
		d.Score = d.Terms.sum()
	}
	d.Rejected = rejected
	return d
}

// outstandingSeconds converts the outstanding requests per slot to a wait, by the mean
// time that a slot is held.
func (r *Router) outstandingSeconds(st *serverState, load float64) float64 {
	return load / st.slots * r.slotSeconds
}

const (
	// emptyLoad is the estimated number of requests below which a server counts as empty.
	emptyLoad = 0.5
	// minAloneFreshness is the freshness from which a report can show that a server is
	// empty: that of a report 1 s old, the time between polls.
	minAloneFreshness = 0.6
)

// chooseAlone picks an empty server for a suspected request. A server counts as empty
// when this daemon has nothing in flight there and no load from other daemons is to be
// expected, by a fresh report or, without one, by the mean load.
func (r *Router) chooseAlone(now time.Time, call *Call, t *Table, servers []int, random *rand.Rand) Decision {
	var rejected Rejected
	reported, estimated := noCandidate, noCandidate
	sc := r.newScorer(now, call, t)
	considered := 0
	start := random.IntN(len(servers))
	for k := range servers {
		i := servers[(start+k)%len(servers)]
		if sc.checkEligibility(i, &rejected) != verdictEligible {
			continue
		}
		st := r.tableStates[i]
		load := sc.load(i)
		if st.inFlight > 0 || load > emptyLoad {
			rejected.Busy++
			continue
		}
		considered++
		c := candidate{position: i, score: sc.score(i, 0, load).sum(), reason: ReasonAlone}
		if r.freshness(now, st) >= minAloneFreshness {
			reported = lowerScore(reported, c)
		} else {
			estimated = lowerScore(estimated, c)
		}
	}
	if reported.position < 0 {
		reported = estimated
	}
	d := sc.decision(reported, considered)
	if d.Server == "" {
		d.Reason = ReasonNoneEmpty
	}
	d.Rejected = rejected
	return d
}
