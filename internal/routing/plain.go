package routing

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

func hashID(id string) uint64 { return xxhash.Sum64String(id) }

// choosePlain picks the server of a plain service with the fewest requests in flight
// for its slots. Servers in another region lose to any local one with a free slot
// through the latency and link terms.
func (r *Router) choosePlain(now time.Time, call *Call, t *Table, servers []int, random *rand.Rand) Decision {
	var rejected Rejected
	best, unhealthy := none, none
	sc := r.scoring(now, call, t)
	considered := 0
	// A random start breaks ties, so that the daemons do not all prefer the same one.
	start := random.IntN(len(servers))
	for k := range servers {
		i := servers[(start+k)%len(servers)]
		verdict := sc.eligible(i, &rejected)
		if verdict == verdictNo {
			continue
		}
		considered++
		load := sc.load(i)
		terms := sc.score(i, 0, load)
		terms.Wait = r.outstandingSeconds(r.view[i], load)
		c := candidate{position: i, score: terms.sum(), reason: ReasonOutstanding}
		if verdict == verdictUnhealthy {
			c.reason = ReasonAllUnhealthy
			unhealthy = lower(unhealthy, c)
		} else {
			best = lower(best, c)
		}
	}
	if best.position < 0 {
		best = unhealthy
	}
	d := sc.decision(best, considered)
	if best.position >= 0 {
		d.Terms.Wait = r.outstandingSeconds(r.view[best.position], sc.load(best.position))
		d.Score = d.Terms.sum()
	}
	d.Rejected = rejected
	return d
}

// outstandingSeconds counts an outstanding request as its share of the time that a
// slot is held.
func (r *Router) outstandingSeconds(st *state, load float64) float64 {
	return load / st.slots * r.hold
}

const (
	// emptyLoad is the estimated load below which a server counts as empty.
	emptyLoad = 0.5
	// aloneFreshness is the least freshness of a report that shows a server empty.
	// It is that of a report 1 s old, the time between polls.
	aloneFreshness = 0.6
)

// chooseAlone picks an empty server for a suspected request. A server counts as
// empty when this daemon has nothing in flight there and a fresh report, or in the
// absence of one the average load, says that others have nothing there either.
func (r *Router) chooseAlone(now time.Time, call *Call, t *Table, servers []int, random *rand.Rand) Decision {
	var rejected Rejected
	reported, guessed := none, none
	sc := r.scoring(now, call, t)
	considered := 0
	start := random.IntN(len(servers))
	for k := range servers {
		i := servers[(start+k)%len(servers)]
		if sc.eligible(i, &rejected) != verdictYes {
			continue
		}
		st := r.view[i]
		load := sc.load(i)
		if st.inFlight > 0 || load > emptyLoad {
			rejected.Busy++
			continue
		}
		considered++
		c := candidate{position: i, score: sc.score(i, 0, load).sum(), reason: ReasonAlone}
		if r.freshness(now, st) >= aloneFreshness {
			reported = lower(reported, c)
		} else {
			guessed = lower(guessed, c)
		}
	}
	if reported.position < 0 {
		reported = guessed
	}
	d := sc.decision(reported, considered)
	if d.Server == "" {
		d.Reason = ReasonNoneEmpty
	}
	d.Rejected = rejected
	return d
}
