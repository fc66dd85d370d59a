package routing

import (
	"slices"
	"time"
)

// placeDelay is the one-way delay between data centres of one region (design,
// section 2).
const placeDelay = 1500 * time.Microsecond

// scoring holds what is equal for all servers of one decision.
type scoring struct {
	r      *Router
	now    time.Time
	call   *Call
	t      *Table
	prompt float64
	// region is the number of the call's region, or -1 when no server is in it.
	region int
	// worth is the delay that the call's rank accepts to save one unit of currency.
	worth float64
	id    uint64
}

func (r *Router) scoring(now time.Time, call *Call, t *Table) scoring {
	region, ok := t.regions[call.Region]
	if !ok {
		region = -1
	}
	return scoring{
		r: r, now: now, call: call, t: t, prompt: call.promptTokens(), region: region,
		worth: r.secondsPerPrice(call.Rank), id: hashID(call.RequestID),
	}
}

func (r *Router) secondsPerPrice(rank string) float64 {
	if v, ok := r.options.SecondsPerPrice[rank]; ok {
		return v
	}
	return defaultSecondsPerPrice
}

type eligibility int

const (
	verdictNo eligibility = iota
	verdictUnhealthy
	verdictYes
)

// eligible says whether a server may get a call. An unhealthy server is eligible for a
// share of the calls that equals its health. The share is drawn by hash, so that
// a call gets the same result in each part of a decision.
func (sc *scoring) eligible(i int, rejected *Rejected) eligibility {
	s, st := &sc.t.servers[i], sc.r.view[i]
	switch {
	case !s.Accepting:
		rejected.NotAccepting++
	case s.Suspect:
		rejected.Suspect++
	case st.reserved:
		rejected.Reserved++
	case len(sc.call.Excluded) > 0 && slices.Contains(sc.call.Excluded, s.ID):
		rejected.Excluded++
	default:
		if st.health.share >= 1 {
			return verdictYes
		}
		drawn := float64(mix(sc.id, sc.t.hashes[i])>>11) / (1 << 53)
		if drawn >= st.health.now(sc.now) {
			rejected.Unhealthy++
			return verdictUnhealthy
		}
		return verdictYes
	}
	return verdictNo
}

func (sc *scoring) load(i int) float64 { return sc.r.load(sc.now, sc.r.view[i]) }

// free says whether a server with the given load has a free slot.
func (sc *scoring) free(i int, load float64) bool {
	st := sc.r.view[i]
	if sc.r.preferPlace && sc.t.servers[i].Place != sc.call.Place {
		return st.spare()
	}
	return load <= st.slots-1 && sc.r.backlogFree(sc.now, st)
}

// score computes the terms of one server.
func (sc *scoring) score(i int, cached, load float64) Terms {
	s, st := &sc.t.servers[i], sc.r.view[i]
	prefill := prefillSeconds(s.PrefillTokensPerSecond, max(sc.prompt-cached, 0))
	terms := Terms{
		Wait:    sc.r.waitSeconds(sc.now, st, load),
		Prefill: prefillWeight * prefill,
	}
	if st.health.share < 1 {
		terms.Health = unhealthySeconds * (1/st.health.now(sc.now) - 1)
	}
	busy := prefill
	if s.TokensPerSecond > 0 {
		busy += float64(sc.call.ExpectedTokens) / s.TokensPerSecond
	}
	terms.Price = sc.worth * s.PricePerHour / 3600 * busy
	switch region := sc.t.regionOf[i]; {
	case region != sc.region:
		if sc.region < 0 || sc.t.links[sc.region][region] == nil {
			break
		}
		link := sc.t.links[sc.region][region]
		bytes := (sc.prompt + float64(sc.call.ExpectedTokens)) * BytesPerToken
		terms.Latency = 2 * link.Delay.Seconds()
		terms.Link = sc.worth * bytes / 1e9 * link.PricePerGigabyte
		if link.BytesPerSecond > 0 {
			terms.Link += bytes / link.BytesPerSecond
		}
	case sc.call.Place != s.Place:
		terms.Latency = 2 * placeDelay.Seconds()
		if sc.r.preferPlace {
			terms.Link = prefillWeight * placeSeconds * (sc.prompt + float64(sc.call.ExpectedTokens))
		}
	}
	return terms
}

// least returns the largest terms of a server without a cached prefix, which spares
// the others when a better candidate is known.
func (sc *scoring) least(i int, load float64) float64 {
	st := sc.r.view[i]
	return sc.r.waitSeconds(sc.now, st, load) + prefillWeight*prefillSeconds(st.prefillRate, sc.prompt)
}

// decision fills in the terms of the chosen candidate.
func (sc *scoring) decision(c candidate, considered int) Decision {
	if c.position < 0 {
		return Decision{Reason: ReasonNoneEligible, Considered: considered}
	}
	terms := sc.score(c.position, c.cached, sc.load(c.position))
	return Decision{
		Server: sc.t.servers[c.position].ID, Score: terms.sum(), Terms: terms,
		Considered: considered, Reason: c.reason, CachedTokens: c.cached,
	}
}

// scan examines every server of the service. It returns the best one with a free
// slot, else the best full one, else the least bad unhealthy one.
func (sc *scoring) scan(servers []int, full candidate) Decision {
	var rejected Rejected
	free, unhealthy := none, none
	considered := 0
	for _, i := range servers {
		verdict := sc.eligible(i, &rejected)
		if verdict == verdictNo {
			continue
		}
		considered++
		load := sc.load(i)
		isFree := verdict == verdictYes && sc.free(i, load)
		if verdict == verdictYes && !isFree && (free.position >= 0 || full.outdone(sc.least(i, load))) {
			continue
		}
		c := candidate{position: i, score: sc.score(i, 0, load).sum()}
		switch {
		case verdict == verdictUnhealthy:
			c.reason = ReasonAllUnhealthy
			unhealthy = lower(unhealthy, c)
		case isFree:
			c.reason = ReasonScore
			free = lower(free, c)
		default:
			full = lower(full, c)
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
