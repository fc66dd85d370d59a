package routing

import (
	"math/rand/v2"
	"time"
)

const (
	// scoreAllLimit is the number of servers up to which all are scored. Above it most
	// loads are unknown, and scoring all would send the calls of all daemons to the few
	// servers that were last reported idle.
	scoreAllLimit = 32
	// randomSamples is the number of servers drawn at random, once from the servers of the
	// shared prefix and once from all servers (power of two choices).
	randomSamples = 2
	// prefillWeight is the cost of a second of prefill relative to a second of waiting:
	// prefill delays both its own request and the requests queued behind it.
	prefillWeight = 2.0
)

// candidate is one scored server.
type candidate struct {
	position     int
	cachedTokens float64
	score        float64
	reason       string
}

// Choose picks the server for a call. It changes no load; the owner calls Sent after
// dispatching the call.
func (r *Router) Choose(now time.Time, call *Call, t *Table, random *rand.Rand) Decision {
	r.syncTable(t)
	if shift, ok := t.shifts[call.Service]; ok && call.Version == nil {
		return r.chooseShifted(now, call, t, shift, random)
	}
	return r.chooseUnshifted(now, call, t, random)
}

func (r *Router) chooseUnshifted(now time.Time, call *Call, t *Table, random *rand.Rand) Decision {
	servers := t.services[call.Service]
	if len(servers) == 0 {
		return Decision{Reason: ReasonNoService}
	}
	switch {
	case call.Alone:
		return r.chooseAlone(now, call, t, servers, random)
	case call.Plain:
		return r.choosePlain(now, call, t, servers, random)
	case len(call.Parts) > 0:
		return r.chooseByParts(now, call, t, servers)
	}
	sc := r.newScorer(now, call, t)
	// Candidates come from the call's region: at the design size, half of the prompts would
	// need six times the bandwidth of the link between regions. When the region has no free
	// slot, scanAll compares all servers and counts the cost of the link.
	r.gatherCandidates(now, call, t, t.regionalServers(call), random)
	best, full := noCandidate, noCandidate
	considered := 0
	for _, c := range r.candidates {
		if sc.checkEligibility(c.position, &Rejected{}) != verdictEligible {
			continue
		}
		considered++
		load := sc.load(c.position)
		c.score = sc.score(c.position, c.cachedTokens, load).sum()
		if sc.hasFreeSlot(c.position, load) {
			best = lowerScore(best, c)
		} else {
			full = lowerScore(full, c)
		}
	}
	if best.position < 0 {
		// No free slot is held back for cache affinity: all servers of the service are
		// examined before a full one is chosen.
		return sc.scanAll(servers, full)
	}
	return sc.decision(best, considered)
}

// noCandidate stands for the absence of a candidate.
var noCandidate = candidate{position: -1}

// scoresAtMost reports whether the candidate exists and scores at most the given bound.
func (c *candidate) scoresAtMost(bound float64) bool { return c.position >= 0 && c.score <= bound }

func lowerScore(a, b candidate) candidate {
	if a.position < 0 || (b.position >= 0 && b.score < a.score) {
		return b
	}
	return a
}

// gatherCandidates collects the candidates of a call in r.candidates: servers believed to
// hold a prefix of the prompt, the home servers by hash, and random ones.
func (r *Router) gatherCandidates(now time.Time, call *Call, t *Table, servers []int, random *rand.Rand) {
	r.candidates = r.candidates[:0]
	shared := float64(TokensInBlocks(r.findCachedPrefixes(call)))
	home, size := r.findHomes(now, call, t, servers)
	prompt := float64(TokensInBlocks(len(call.Blocks)))
	for k, i := range home {
		if i >= 0 {
			r.addCandidate(candidate{position: i, cachedTokens: max(homeCachedShare[k]*prompt, spreadCachedShare*shared), reason: ReasonHome})
		}
	}
	for range min(randomSamples, size) {
		i := int(r.rendezvousHashes[random.IntN(size)] & positionMask)
		r.addCandidate(candidate{position: i, cachedTokens: spreadCachedShare * shared, reason: ReasonScore})
	}
	for _, p := range r.cachedPrefixes {
		if st := r.handles[p.handle]; st != nil {
			if i, ok := t.byID[st.id]; ok && t.servers[i].Service == call.Service {
				r.addCandidate(candidate{position: i, cachedTokens: p.believedTokens(now) * st.cacheAccuracy, reason: ReasonCache})
			}
		}
	}
	if len(servers) <= scoreAllLimit {
		for _, i := range servers {
			r.addCandidate(candidate{position: i, reason: ReasonScore})
		}
		return
	}
	for range randomSamples {
		r.addCandidate(candidate{position: servers[random.IntN(len(servers))], reason: ReasonScore})
	}
}

// addCandidate adds a candidate, or raises the cached tokens of one already listed.
func (r *Router) addCandidate(c candidate) {
	for i := range r.candidates {
		if existing := &r.candidates[i]; existing.position == c.position {
			if c.cachedTokens > existing.cachedTokens {
				existing.cachedTokens, existing.reason = c.cachedTokens, c.reason
			}
			return
		}
	}
	r.candidates = append(r.candidates, c)
}
