package routing

import (
	"time"
)

const (
	// defaultParts bounds the remembered prompt parts. A part with its holders takes
	// about 150 bytes.
	defaultParts = 1 << 14
	// maxPartHolders bounds the servers remembered for one part.
	maxPartHolders = 8
	// residentShare is the share of a server's memory that cached parts can count on;
	// running requests take the rest.
	residentShare = 0.6
	// homeSeconds is the preference for the server that all daemons would choose for
	// the first prompt with a head. It separates servers that are equal otherwise.
	homeSeconds = 0.03
	// peerLoadLife is how long the load that a peer reported counts. Reports come
	// several times a second; a peer that is gone has no requests any more.
	peerLoadLife = 1500 * time.Millisecond
	// placeLoadLife is that time for the load from another place, which delegates pass on
	// several times a second.
	placeLoadLife = 2 * time.Second
	// homeHeld is the part of a shared head that is taken to be held by its home, where
	// all daemons of the region send it.
	homeHeld = 0.95
	// placeSeconds is the cost of sending a token of a prompt to another place of the
	// region, as a delay. At the prices of letter 2, 17 KB of prompt cost as much
	// there as reading 1,400 shared tokens again, which takes 27 ms.
	placeSeconds = 1.6e-6
)

// partRecord names the servers that have read a prompt up to the end of a part.
type partRecord struct {
	holders []partHolder
}

type partHolder struct {
	handle uint32
	// touched is what the server had read in all when it last used the part.
	touched float64
}

// loadSource is who puts a load on a server: another daemon of the place, or all
// daemons of another place.
type loadSource struct {
	name  string
	place bool
}

// life returns how long a load that was told counts.
func (s loadSource) life() time.Duration {
	if s.place {
		return placeLoadLife
	}
	return peerLoadLife
}

// toldLoad is a load on a server as of a time.
type toldLoad struct {
	running, pending float64
	at               time.Time
}

// ServerLoad is the load that one daemon puts on one server.
type ServerLoad struct {
	Server string
	// Running is the number of requests sent and not ended.
	Running int
	// Pending is the number of prompt tokens that wait to be read there.
	Pending int
}

// elsewhere returns the load of the other daemons on a server.
func (st *state) elsewhere(now time.Time) (running, pending float64) {
	for source, l := range st.told {
		if now.Sub(l.at) < source.life() {
			running += l.running
			pending += l.pending
		}
	}
	return running, pending
}

// backlogSeconds is the time that a server needs for the prompts that wait there.
func (r *Router) backlogSeconds(now time.Time, st *state) float64 {
	pending := st.pending
	if r.options.Shared {
		_, others := st.elsewhere(now)
		pending += others
	}
	return prefillSeconds(st.prefillRate, pending)
}

func (r *Router) backlogFree(now time.Time, st *state) bool {
	return r.options.Backlog <= 0 || r.backlogSeconds(now, st) < r.options.Backlog.Seconds()
}

// remoteShare is the part of the slots of a server in another place that one daemon
// takes, because it does not know what the others send there.
const remoteShare = 1.0 / 16

// spare reports whether a server in another place may get a request of this daemon
// though it is not known to hold the prompt.
func (st *state) spare() bool {
	return st.pending == 0 && float64(st.inFlight) < max(st.slots*remoteShare, 1)
}

// Loads returns the load that this daemon puts on the servers.
func (r *Router) Loads() []ServerLoad {
	var list []ServerLoad
	for id, st := range r.states {
		if st.inFlight > 0 {
			list = append(list, ServerLoad{Server: id, Running: st.inFlight, Pending: int(st.pending)})
		}
	}
	return list
}

// PeerLoads replaces the load that another daemon puts on the servers.
func (r *Router) PeerLoads(now time.Time, daemon string, loads []ServerLoad) {
	r.replaceLoads(now, loadSource{name: daemon}, loads)
}

// PlaceLoads replaces the load that the daemons of another place put on the servers.
func (r *Router) PlaceLoads(at time.Time, place string, loads []ServerLoad) {
	r.replaceLoads(at, loadSource{name: place, place: true}, loads)
}

func (r *Router) replaceLoads(at time.Time, source loadSource, loads []ServerLoad) {
	for _, st := range r.states {
		delete(st.told, source)
	}
	for _, l := range loads {
		st := r.states[l.Server]
		if st == nil {
			continue
		}
		if st.told == nil {
			st.told = map[loadSource]toldLoad{}
		}
		st.told[source] = toldLoad{running: float64(l.Running), pending: float64(l.Pending), at: at}
	}
}

// LoadsHere returns the load that this daemon and its peers put on the servers, without
// that from other places.
func (r *Router) LoadsHere(now time.Time) []ServerLoad {
	var list []ServerLoad
	for id, st := range r.states {
		sum := ServerLoad{Server: id, Running: st.inFlight, Pending: int(st.pending)}
		for source, l := range st.told {
			if !source.place && now.Sub(l.at) < source.life() {
				sum.Running += int(l.running)
				sum.Pending += int(l.pending)
			}
		}
		if sum.Running > 0 {
			list = append(list, sum)
		}
	}
	return list
}

// PeerSent records that another daemon sent a prompt to a server.
func (r *Router) PeerSent(server string, parts []Part, expected int) {
	st := r.states[server]
	if st == nil || len(parts) == 0 {
		return
	}
	prompt := float64(parts[len(parts)-1].Tokens)
	r.touch(parts, st, max(prompt-r.residentTokens(parts, st), 0)+float64(expected))
}

// touch records that a server has read a prompt, and how many tokens entered its
// cache by it.
func (r *Router) touch(parts []Part, st *state, entered float64) {
	if r.preferPlace {
		// What the other places of the region send there is not told.
		entered *= float64(max(r.places[r.regions[st.id]], 1))
	}
	st.read += entered
	for i := range parts {
		rec, ok := r.parts.Get(parts[i].Prefix)
		if !ok {
			rec = &partRecord{}
			r.parts.Add(parts[i].Prefix, rec)
		}
		rec.touch(st.handle, st.read)
	}
}

func (rec *partRecord) touch(handle uint32, read float64) {
	for i := range rec.holders {
		if rec.holders[i].handle == handle {
			rec.holders[i].touched = read
			return
		}
	}
	if len(rec.holders) >= maxPartHolders {
		copy(rec.holders, rec.holders[1:])
		rec.holders = rec.holders[:len(rec.holders)-1]
	}
	rec.holders = append(rec.holders, partHolder{handle, read})
}

// residentTokens returns how much of a prompt a server is believed to hold. Least
// recently used parts leave first, so that a part stays until the server has read
// as many tokens after it as its cache holds.
func (r *Router) residentTokens(parts []Part, st *state) float64 {
	held := 0
	for i := range parts {
		rec, ok := r.parts.Peek(parts[i].Prefix)
		if !ok || !rec.heldBy(st) {
			break
		}
		held = parts[i].Tokens
	}
	return float64(held)
}

func (rec *partRecord) heldBy(st *state) bool {
	for _, h := range rec.holders {
		if h.handle == st.handle {
			return st.cacheTokens <= 0 || st.read-h.touched < residentShare*st.cacheTokens
		}
	}
	return false
}

// headOf identifies what a prompt shares with others: all parts but the last.
func headOf(parts []Part) uint64 {
	return parts[max(len(parts)-2, 0)].Prefix
}

// homeOf returns the position of the server in the call's region that all daemons there
// take for the home of a shared head, or -1.
func (r *Router) homeOf(call *Call, t *Table, servers []int, head uint64) int {
	home, least := -1, uint64(0)
	for _, i := range servers {
		s := &t.servers[i]
		if !s.Accepting || s.Suspect || s.Region != call.Region {
			continue
		}
		if drawn := mix(head, t.hashes[i]); home < 0 || drawn < least {
			home, least = i, drawn
		}
	}
	return home
}

// sharedTokens returns how much of a prompt is shared with others.
func sharedTokens(parts []Part) float64 {
	if len(parts) < 2 {
		return 0
	}
	return float64(parts[len(parts)-2].Tokens)
}

// candidateKind says in which order the servers for a prompt by parts are taken.
type candidateKind int

const (
	// known servers have room, and are in the place or hold the prompt.
	known candidateKind = iota
	// nearby servers are in another place of the region and have room, as far as is known.
	nearby
	// remote servers are in another region.
	remote
	full
	unhealthy
	kinds
)

// kindOf returns the kind of a server that is taken to hold some tokens of the prompt.
func (sc *scoring) kindOf(i int, verdict eligibility, load, cached float64) candidateKind {
	s, st := &sc.t.servers[i], sc.r.view[i]
	sameRegion := s.Region == sc.call.Region
	switch {
	case verdict == verdictUnhealthy:
		return unhealthy
	case load > st.slots-1 || !sc.r.backlogFree(sc.now, st):
		return full
	case !sc.r.preferPlace, s.Place == sc.call.Place, sameRegion && cached > 0:
		return known
	case !st.spare():
		return full
	case sameRegion:
		return nearby
	}
	return remote
}

// chooseByParts scores every server with what is known of its cache. Daemons that know
// of all prompts need no preference in place of it except for the first prompt with a
// head. Where only those of a place tell each other, a head has a home in the region,
// because the memory of one place does not hold the heads of all.
func (r *Router) chooseByParts(now time.Time, call *Call, t *Table, servers []int) Decision {
	sc := r.scoring(now, call, t)
	var rejected Rejected
	best := [kinds]candidate{none, none, none, none, none}
	considered := 0
	head, home := headOf(call.Parts), -1
	if r.preferPlace {
		home = r.homeOf(call, t, servers, head)
	}
	for _, i := range servers {
		verdict := sc.eligible(i, &rejected)
		if verdict == verdictNo {
			continue
		}
		considered++
		st, load := r.view[i], sc.load(i)
		c := candidate{position: i, cached: r.residentTokens(call.Parts, st) * st.trust, reason: ReasonScore}
		if c.cached > 0 {
			c.reason = ReasonPart
		}
		if shared := homeHeld * sharedTokens(call.Parts); i == home && c.cached < shared {
			c.cached, c.reason = shared, ReasonHome
		}
		// A drawn number in place of the first one of all keeps heads apart.
		drawn := float64(mix(head, t.hashes[i])>>11) / (1 << 53)
		c.score = sc.score(i, c.cached, load).sum() + homeSeconds*drawn
		kind := sc.kindOf(i, verdict, load, c.cached)
		switch kind {
		case full:
			c.reason = ReasonAllFull
		case unhealthy:
			c.reason = ReasonAllUnhealthy
		}
		best[kind] = lower(best[kind], c)
	}
	chosen := none
	for _, c := range best {
		if c.position >= 0 {
			chosen = c
			break
		}
	}
	d := sc.decision(chosen, considered)
	d.Rejected = rejected
	return d
}
