package routing

import (
	"slices"
	"time"
)

// placeDelay is the one-way delay between data centres of one region.
const placeDelay = 1500 * time.Microsecond

// scorer holds the inputs that all servers of one decision share.
type scorer struct {
	router       *Router
	now          time.Time
	call         *Call
	table        *Table
	promptTokens float64
	// callRegion is the number of the call's region, or -1 when no server is in it.
	callRegion int
	// secondsPerPrice is the delay that the call's rank accepts to save one unit of currency.
	secondsPerPrice float64
	requestHash     uint64
	// busyness is that of the call's region, from 0 to 1.
	busyness float64
}

func (r *Router) newScorer(now time.Time, call *Call, t *Table) scorer {
	region, ok := t.regionNumbers[call.Region]
	if !ok {
		region = -1
	}
	return scorer{
		router: r, now: now, call: call, table: t, promptTokens: call.promptTokens(), callRegion: region,
		secondsPerPrice: r.secondsPerPrice(call.Rank), requestHash: hashRequestID(call.RequestID),
	}
}

func (r *Router) secondsPerPrice(rank string) float64 {
	if v, ok := r.options.SecondsPerPrice[rank]; ok {
		return v
	}
	return defaultSecondsPerPrice
}

type eligibilityVerdict int

const (
	verdictIneligible eligibilityVerdict = iota
	verdictUnhealthy
	verdictEligible
)

// checkEligibility decides whether a server may get a call, and counts a rejection by its
// cause. An unhealthy server gets a share of the calls that equals its health. The share
// is drawn by hash, so that a call gets the same verdict in each part of a decision.
func (sc *scorer) checkEligibility(i int, rejected *Rejected) eligibilityVerdict {
	s, st := &sc.table.servers[i], sc.router.tableStates[i]
	switch {
	case !s.Accepting:
		rejected.NotAccepting++
	case !sc.call.accepts(s):
		rejected.OtherVersion++
	case s.Suspect:
		rejected.Suspect++
	case sc.now.Before(st.pausedUntil):
		rejected.Paused++
	case st.bucket.available(sc.now) < oneToken:
		rejected.Limited++
	case st.reserved:
		rejected.Reserved++
	case len(sc.call.Excluded) > 0 && slices.Contains(sc.call.Excluded, s.ID):
		rejected.Excluded++
	default:
		if st.health.share >= 1 {
			return verdictEligible
		}
		hashFraction := float64(mix(sc.requestHash, sc.table.hashes[i])>>11) / (1 << 53)
		if hashFraction >= st.health.shareAt(sc.now) {
			rejected.Unhealthy++
			return verdictUnhealthy
		}
		return verdictEligible
	}
	return verdictIneligible
}

func (sc *scorer) load(i int) float64 { return sc.router.load(sc.now, sc.router.tableStates[i]) }

// hasFreeSlot reports whether a server with the given load can start another request.
func (sc *scorer) hasFreeSlot(i int, load float64) bool {
	st := sc.router.tableStates[i]
	if sc.router.preferPlace && sc.table.servers[i].Place != sc.call.Place {
		return st.hasCrossPlaceRoom()
	}
	return load <= st.slots-1 && sc.router.backlogWithinLimit(sc.now, st)
}

// score computes the terms of one server.
func (sc *scorer) score(i int, cached, load float64) Terms {
	s, st := &sc.table.servers[i], sc.router.tableStates[i]
	prefill := prefillSeconds(s.PrefillTokensPerSecond, max(sc.promptTokens-cached, 0))
	terms := Terms{
		Wait:    sc.router.waitSeconds(sc.now, st, load),
		Prefill: (prefillWeight + busyPrefillWeight*sc.busyness) * prefill,
	}
	if st.health.share < 1 {
		terms.Health = unhealthyPenaltySeconds * (1/st.health.shareAt(sc.now) - 1)
	}
	busy := prefill
	if s.TokensPerSecond > 0 {
		busy += float64(sc.call.ExpectedTokens) / s.TokensPerSecond
	}
	terms.Price = sc.secondsPerPrice * s.PricePerHour / 3600 * busy
	switch region := sc.table.serverRegions[i]; {
	case region != sc.callRegion:
		if sc.callRegion < 0 || sc.table.links[sc.callRegion][region] == nil {
			break
		}
		link := sc.table.links[sc.callRegion][region]
		bytes := (sc.promptTokens + float64(sc.call.ExpectedTokens)) * BytesPerToken
		terms.Latency = 2 * link.Delay.Seconds()
		terms.Link = sc.secondsPerPrice * bytes / 1e9 * link.PricePerGigabyte
		if link.BytesPerSecond > 0 {
			terms.Link += bytes / link.BytesPerSecond
		}
	case sc.call.Place != s.Place:
		terms.Latency = 2 * placeDelay.Seconds()
		if sc.router.preferPlace {
			terms.Link = prefillWeight * crossPlaceSecondsPerToken * (sc.promptTokens + float64(sc.call.ExpectedTokens))
		}
	}
	return terms
}

// scoreLowerBound returns a lower bound on the score of a server without a cached prefix:
// the wait and prefill terms. It spares the other terms when a better candidate exists.
func (sc *scorer) scoreLowerBound(i int, load float64) float64 {
	st := sc.router.tableStates[i]
	return sc.router.waitSeconds(sc.now, st, load) + prefillWeight*prefillSeconds(st.prefillRate, sc.promptTokens)
}

// decision returns the decision for the chosen candidate, with its terms.
func (sc *scorer) decision(c candidate, considered int) Decision {
	if c.position < 0 {
		return Decision{Reason: ReasonNoneEligible, Considered: considered}
	}
	terms := sc.score(c.position, c.cachedTokens, sc.load(c.position))
	return Decision{
		Server: sc.table.servers[c.position].ID, Score: terms.sum(), Terms: terms,
		Considered: considered, Reason: c.reason, CachedTokens: c.cachedTokens,
	}
}

// scanAll examines every server of the service. It returns the best one with a free
// slot, else the best full one, else the best unhealthy one.
func (sc *scorer) scanAll(servers []int, full candidate) Decision {
	var rejected Rejected
	free, unhealthy := noCandidate, noCandidate
	considered := 0
	for _, i := range servers {
		verdict := sc.checkEligibility(i, &rejected)
		if verdict == verdictIneligible {
			continue
		}
		considered++
		load := sc.load(i)
		isFree := verdict == verdictEligible && sc.hasFreeSlot(i, load)
		if verdict == verdictEligible && !isFree && (free.position >= 0 || full.scoresAtMost(sc.scoreLowerBound(i, load))) {
			continue
		}
		c := candidate{position: i, score: sc.score(i, 0, load).sum()}
		switch {
		case verdict == verdictUnhealthy:
			c.reason = ReasonAllUnhealthy
			unhealthy = lowerScore(unhealthy, c)
		case isFree:
			c.reason = ReasonScore
			free = lowerScore(free, c)
		default:
			full = lowerScore(full, c)
		}
	}
	best := free
	if best.position < 0 && full.position >= 0 {
		best = full
		best.reason = ReasonAllFull
	}
	if best.position < 0 {
		best = unhealthy
	}
	d := sc.decision(best, considered)
	d.Rejected = rejected
	return d
}
