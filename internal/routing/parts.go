package routing

import (
	"time"
)

const (
	// maxPartRecords bounds the remembered prompt parts. A part with its holders takes
	// about 150 bytes.
	maxPartRecords = 1 << 14
	// maxPartHolders bounds the servers remembered for one part.
	maxPartHolders = 8
	// residentShare is the share of a server's cache that cached parts can count on;
	// running requests take the rest.
	residentShare = 0.6
	// tieBreakSeconds is the largest score difference by hash for a shared prefix. It lets
	// all daemons choose the same one of otherwise equal servers.
	tieBreakSeconds = 0.03
	// peerLoadMaxAge is the age at which a peer's load report expires. Reports come several
	// times a second; a peer that stopped has no requests in flight.
	peerLoadMaxAge = 1500 * time.Millisecond
	// placeLoadMaxAge is the age at which another place's load report expires. Delegates
	// relay these reports several times a second.
	placeLoadMaxAge = 2 * time.Second
	// regionHomeCachedShare is the share of a shared prefix that is assumed cached at its
	// home server, to which all daemons of the region send it.
	regionHomeCachedShare = 0.95
	// crossPlaceSecondsPerToken is the price of sending a prompt token to another place of
	// the region, as a delay. Sending 17 KB of prompt costs as much there as prefilling
	// 1,400 shared tokens again, which takes 27 ms.
	crossPlaceSecondsPerToken = 1.6e-6
)

// partRecord lists the servers that have processed a prompt up to the end of a part.
type partRecord struct {
	holders []partHolder
}

type partHolder struct {
	handle uint32
	// enteredAtLastUse is the server's tokensEntered when it last used the part.
	enteredAtLastUse float64
}

// loadSource identifies the origin of a load report: another daemon of the place, or all
// daemons of another place.
type loadSource struct {
	name    string
	isPlace bool
}

// maxAge returns the age at which a load report of this source expires.
func (s loadSource) maxAge() time.Duration {
	if s.isPlace {
		return placeLoadMaxAge
	}
	return peerLoadMaxAge
}

// peerLoad is the load on a server as reported at a given time.
type peerLoad struct {
	running, pendingTokens float64
	reportedAt             time.Time
}

// ServerLoad is the load that one daemon puts on one server.
type ServerLoad struct {
	Server string
	// Running is the number of requests dispatched and not ended.
	Running int
	// Pending is the number of their prompt tokens still waiting for prefill.
	Pending int
}

// peerLoadSum is the sum of the peer loads of a server, from a time until the first of them
// expires.
type peerLoadSum struct {
	from, until            time.Time
	running, pendingTokens float64
}

// sumPeerLoads returns the load on a server from other daemons, without expired reports. It
// keeps the sum: every decision asks for those of all servers, while a report changes few.
func (st *serverState) sumPeerLoads(now time.Time) (running, pending float64) {
	if len(st.peerLoads) == 0 {
		return 0, 0
	}
	if s := &st.peerLoadSum; now.Before(s.from) || !now.Before(s.until) {
		*s = peerLoadSum{from: now, until: now.Add(peerLoadMaxAge)}
		for source, l := range st.peerLoads {
			expiry := l.reportedAt.Add(source.maxAge())
			if !now.Before(expiry) {
				continue
			}
			s.running += l.running
			s.pendingTokens += l.pendingTokens
			if expiry.Before(s.until) {
				s.until = expiry
			}
		}
	}
	return st.peerLoadSum.running, st.peerLoadSum.pendingTokens
}

// backlogSeconds is the prefill time of the prompts queued at a server.
func (r *Router) backlogSeconds(now time.Time, st *serverState) float64 {
	pending := st.pendingTokens
	if r.options.SharedLoads {
		_, others := st.sumPeerLoads(now)
		pending += others
	}
	return prefillSeconds(st.prefillRate, pending)
}

func (r *Router) backlogWithinLimit(now time.Time, st *serverState) bool {
	return r.options.MaxBacklog <= 0 || r.backlogSeconds(now, st) < r.options.MaxBacklog.Seconds()
}

// backlogAcceptable reports whether a prompt of which a server holds some tokens may queue there. Up to the time
// that they save, its first token comes no later than from an idle server, and no other server spends that time.
func (r *Router) backlogAcceptable(now time.Time, st *serverState, cached float64) bool {
	limit := r.options.MaxBacklog.Seconds()
	if r.options.QueueForCache {
		limit += prefillSeconds(st.prefillRate, cached)
	}
	return r.options.MaxBacklog <= 0 || r.backlogSeconds(now, st) < limit
}

// crossPlaceSlotShare is the share of the slots of a server in another place that one
// daemon may use, as it does not know the load from the daemons there.
const crossPlaceSlotShare = 1.0 / 16

// hasCrossPlaceRoom reports whether a server in another place may get a request of this
// daemon without being known to hold the prompt.
func (st *serverState) hasCrossPlaceRoom() bool {
	return st.pendingTokens == 0 && float64(st.inFlight) < max(st.slots*crossPlaceSlotShare, 1)
}

// OwnLoads returns the load that this daemon puts on the servers.
func (r *Router) OwnLoads() []ServerLoad {
	var list []ServerLoad
	for id, st := range r.states {
		if st.inFlight > 0 {
			list = append(list, ServerLoad{Server: id, Running: st.inFlight, Pending: int(st.pendingTokens)})
		}
	}
	return list
}

// SetPeerLoads replaces the load that another daemon puts on the servers.
func (r *Router) SetPeerLoads(now time.Time, daemon string, loads []ServerLoad) {
	r.replaceLoads(now, loadSource{name: daemon}, loads)
}

// SetPlaceLoads replaces the load that the daemons of another place put on the servers.
func (r *Router) SetPlaceLoads(at time.Time, place string, loads []ServerLoad) {
	r.replaceLoads(at, loadSource{name: place, isPlace: true}, loads)
}

func (r *Router) replaceLoads(at time.Time, source loadSource, loads []ServerLoad) {
	reported := r.reportedStates[source]
	for _, st := range reported {
		delete(st.peerLoads, source)
		st.peerLoadSum = peerLoadSum{}
	}
	reported = reported[:0]
	for _, l := range loads {
		st := r.states[l.Server]
		if st == nil {
			continue
		}
		if st.peerLoads == nil {
			st.peerLoads = map[loadSource]peerLoad{}
		}
		st.peerLoads[source] = peerLoad{running: float64(l.Running), pendingTokens: float64(l.Pending), reportedAt: at}
		st.peerLoadSum = peerLoadSum{}
		reported = append(reported, st)
	}
	r.reportedStates[source] = reported
}

// LoadsInPlace returns the load that this daemon and its peers put on the servers, without
// that of other places.
func (r *Router) LoadsInPlace(now time.Time) []ServerLoad {
	var list []ServerLoad
	for id, st := range r.states {
		sum := ServerLoad{Server: id, Running: st.inFlight, Pending: int(st.pendingTokens)}
		for source, l := range st.peerLoads {
			if !source.isPlace && now.Sub(l.reportedAt) < source.maxAge() {
				sum.Running += int(l.running)
				sum.Pending += int(l.pendingTokens)
			}
		}
		if sum.Running > 0 {
			list = append(list, sum)
		}
	}
	return list
}

// RunningRequests returns how many requests of all daemons each server has, as far as they are reported.
func (r *Router) RunningRequests(now time.Time) map[string]int {
	running := map[string]int{}
	for id, st := range r.states {
		others, _ := st.sumPeerLoads(now)
		if n := st.inFlight + int(others); n > 0 {
			running[id] = n
		}
	}
	return running
}

// RecordPeerPrompt records that another daemon sent a prompt to a server.
func (r *Router) RecordPeerPrompt(server string, parts []Part, expected int) {
	st := r.states[server]
	if st == nil || len(parts) == 0 {
		return
	}
	prompt := float64(parts[len(parts)-1].Tokens)
	r.recordPrompt(parts, st, max(prompt-r.residentTokens(parts, st), 0)+float64(expected))
}

// recordPrompt records that a server has processed a prompt, which added the given number
// of tokens to its cache.
func (r *Router) recordPrompt(parts []Part, st *serverState, entered float64) {
	if r.preferPlace {
		// Other places of the region do not report their prompts; assume as many as here.
		entered *= float64(max(r.placesPerRegion[r.regionOfServer[st.id]], 1))
	}
	st.tokensEntered += entered
	for i := range parts {
		rec, ok := r.partRecords.Get(parts[i].Prefix)
		if !ok {
			rec = &partRecord{}
			r.partRecords.Add(parts[i].Prefix, rec)
		}
		rec.recordHolder(st.handle, st.tokensEntered)
	}
}

func (rec *partRecord) recordHolder(handle uint32, entered float64) {
	for i := range rec.holders {
		if rec.holders[i].handle == handle {
			rec.holders[i].enteredAtLastUse = entered
			return
		}
	}
	if len(rec.holders) >= maxPartHolders {
		copy(rec.holders, rec.holders[1:])
		rec.holders = rec.holders[:len(rec.holders)-1]
	}
	rec.holders = append(rec.holders, partHolder{handle, entered})
}

// residentTokens returns how many leading tokens of a prompt a server is believed to have
// cached. With LRU eviction, a part stays until other tokens have filled the residentShare
// of the server's cache.
func (r *Router) residentTokens(parts []Part, st *serverState) float64 {
	held := 0
	for i := range parts {
		rec, ok := r.partRecords.Peek(parts[i].Prefix)
		if !ok || !rec.heldBy(st) {
			break
		}
		held = parts[i].Tokens
	}
	return float64(held)
}

func (rec *partRecord) heldBy(st *serverState) bool {
	for _, h := range rec.holders {
		if h.handle == st.handle {
			return st.cacheTokens <= 0 || st.tokensEntered-h.enteredAtLastUse < residentShare*st.cacheTokens
		}
	}
	return false
}

// sharedPrefixOf identifies what a prompt shares with others: all parts but the last.
func sharedPrefixOf(parts []Part) uint64 {
	return parts[max(len(parts)-2, 0)].Prefix
}

// homeOf returns the position in t.servers of a shared prefix's home, which is the
// same for all daemons of the call's region, or -1.
func (r *Router) homeOf(call *Call, t *Table, servers []int, prefix uint64) int {
	home, lowest := -1, uint64(0)
	for _, i := range servers {
		s := &t.servers[i]
		if !s.Accepting || s.Suspect || s.Region != call.Region || !call.accepts(s) {
			continue
		}
		if hash := mix(prefix, t.hashes[i]); home < 0 || hash < lowest {
			home, lowest = i, hash
		}
	}
	return home
}

// homeTokens returns how many tokens of a prompt its home in the region is expected to hold. Daemons of other
// places send it there too, without a report to this one.
func (r *Router) homeTokens(call *Call, server string) float64 {
	if !r.options.QueueForCache || !r.preferPlace || r.table == nil {
		return 0
	}
	home := r.homeOf(call, r.table, r.table.services[call.Service], sharedPrefixOf(call.Parts))
	if home < 0 || r.table.servers[home].ID != server {
		return 0
	}
	return regionHomeCachedShare * sharedTokens(call.Parts)
}

// sharedTokens returns how many tokens of a prompt it has in common with others.
func sharedTokens(parts []Part) float64 {
	if len(parts) < 2 {
		return 0
	}
	return float64(parts[len(parts)-2].Tokens)
}

// candidateKind orders the servers for a prompt with parts: lower kinds are chosen first.
type candidateKind int

const (
	// kindPreferred servers have room, and are in the call's place or hold the prompt.
	kindPreferred candidateKind = iota
	// kindNearby servers are in another place of the region and have room, as far as known.
	kindNearby
	// kindRemote servers are in another region and have room, as far as known.
	kindRemote
	kindFull
	kindUnhealthy
	kindCount
)

// candidateKindOf returns the kind of a server believed to hold some prompt tokens.
func (sc *scorer) candidateKindOf(i int, verdict eligibilityVerdict, load, cached float64) candidateKind {
	s, st := &sc.table.servers[i], sc.router.tableStates[i]
	sameRegion := s.Region == sc.call.Region
	switch {
	case verdict == verdictUnhealthy:
		return kindUnhealthy
	case load > st.slots-1 || !sc.router.backlogAcceptable(sc.now, st, cached) || sc.readsAgainWhenBusy(i, cached):
		return kindFull
	case !sc.router.preferPlace, s.Place == sc.call.Place, sameRegion && cached > 0:
		return kindPreferred
	case !st.hasCrossPlaceRoom():
		return kindFull
	case sameRegion:
		return kindNearby
	}
	return kindRemote
}

// chooseByParts scores every server with the parts it is believed to hold. Daemons that
// report all prompts to each other need a hash preference only for the first prompt with
// a shared prefix. Where reports stay within a place, a shared prefix has a home server in
// the region, because the memory of one place does not hold the prefixes of all places.
func (r *Router) chooseByParts(now time.Time, call *Call, t *Table, servers []int) Decision {
	sc := r.newScorer(now, call, t)
	sc.busyness = r.regionBusyness(now, call, t, servers)
	r.busyness = sc.busyness
	var rejected Rejected
	best := [kindCount]candidate{noCandidate, noCandidate, noCandidate, noCandidate, noCandidate}
	considered := 0
	prefix, home := sharedPrefixOf(call.Parts), -1
	if r.preferPlace {
		home = r.homeOf(call, t, servers, prefix)
	}
	for _, i := range servers {
		verdict := sc.checkEligibility(i, &rejected)
		if verdict == verdictIneligible {
			continue
		}
		considered++
		st, load := r.tableStates[i], sc.load(i)
		c := candidate{position: i, cachedTokens: r.residentTokens(call.Parts, st) * st.cacheAccuracy, reason: ReasonScore}
		if c.cachedTokens > 0 {
			c.reason = ReasonPart
		}
		if shared := regionHomeCachedShare * sharedTokens(call.Parts); i == home && c.cachedTokens < shared {
			c.cachedTokens, c.reason = shared, ReasonHome
		}
		// A hash breaks ties between servers, so that prefixes spread over them.
		hashFraction := float64(mix(prefix, t.hashes[i])>>11) / (1 << 53)
		c.score = sc.score(i, c.cachedTokens, load).sum() + tieBreakSeconds*hashFraction
		kind := sc.candidateKindOf(i, verdict, load, c.cachedTokens)
		switch kind {
		case kindFull:
			c.reason = ReasonAllFull
		case kindUnhealthy:
			c.reason = ReasonAllUnhealthy
		}
		best[kind] = lowerScore(best[kind], c)
	}
	chosen := noCandidate
	for _, c := range best {
		if c.position >= 0 {
			chosen = c
			break
		}
	}
	d := sc.decision(chosen, considered)
	d.Rejected, d.Busyness = rejected, sc.busyness
	return d
}
