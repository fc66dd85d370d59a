package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Options are the settings of a Router. Zero values take the defaults.
type Options struct {
	// MaxBlocks is the largest number of prompt blocks to remember.
	MaxBlocks int
	// MaxSharedPrefixes is the largest number of shared prompt prefixes to remember.
	MaxSharedPrefixes int
	// SecondsPerPrice is, by rank, the delay accepted to save one unit of currency.
	SecondsPerPrice map[string]float64
	// MaxBacklog is the queued prefill time from which on a server does not count as free;
	// 0 means no limit.
	MaxBacklog time.Duration
	// SharedLoads is set when daemons report their requests to each other, so that the load
	// of a server is the sum over all daemons instead of an estimate from its reports.
	SharedLoads bool
	// QueueForCache lets a prompt queue at a server that holds a part of it, behind as much reading as that
	// part saves, and counts the home of a shared prefix as holding it. Otherwise such a server counts as
	// full like any other, and the part is read again elsewhere.
	QueueForCache bool
	// ReadOnceWhenBusy keeps a prompt away from servers that would read its shared part again while the
	// servers of the region have much to read. Such reading makes more servers full, whose prompts are then
	// read again elsewhere too.
	ReadOnceWhenBusy bool
}

const (
	defaultMaxBlocks         = 1 << 16
	defaultMaxSharedPrefixes = 1 << 12
	// defaultSecondsPerPrice makes 0.001 of a currency unit, about the price of one
	// request, worth 20 ms.
	defaultSecondsPerPrice = 20
	// reportDecay is the age at which a load report has 40% of its weight. At about 7
	// requests a second for each server, the load has changed after 2 s.
	reportDecay = 2 * time.Second
	// popularityDecay is the time constant of a shared prefix's call count. It has to
	// be long enough for a daemon with 16 requests a second to count a popular prefix, and
	// short enough to follow a sudden rise of its calls.
	popularityDecay = 2 * time.Minute
	// slotSecondsWeight is the weight of one response in the mean time that a slot is held.
	slotSecondsWeight = 0.05
	// utilisationSeconds is the wait counted for a server whose slots are all in use, and
	// in proportion below. It places new sessions on less loaded servers, but is too small
	// to move a session away from a cached prompt of 1000 tokens.
	utilisationSeconds = 0.2
	// cacheAccuracyWeight is the weight of one response in a server's cacheAccuracy.
	// Evictions come in bursts, which a larger weight would mistake for a lasting change.
	cacheAccuracyWeight = 0.05
	// defaultSlotSeconds is the assumed time that a slot is held before the first response.
	defaultSlotSeconds = 2.0
)

// serverState is what a router records about one server.
type serverState struct {
	id          string
	incarnation int64
	handle      uint32
	slots       float64
	prefillRate float64
	inFlight    int
	// pendingTokens are prompt tokens of dispatched calls without a first token yet.
	pendingTokens float64
	// otherLoad is the number of requests from other daemons at the last report.
	otherLoad  float64
	reportedAt time.Time
	// reserved is set while the server runs a call with Alone, and excludes it for others.
	reserved bool
	health   health
	// pausedUntil is when the server takes calls of this daemon again.
	pausedUntil time.Time
	bucket      tokenBucket
	// cacheAccuracy is the share of the tokens believed cached that the engine confirms.
	cacheAccuracy float64
	// cacheTokens is the size of the prefix cache; tokensEntered counts the tokens added
	// to it so far.
	cacheTokens   float64
	tokensEntered float64
	// peerLoads holds the load that other daemons and places reported.
	peerLoads   map[loadSource]peerLoad
	peerLoadSum peerLoadSum
}

// inFlightCall is a dispatched call that has not ended.
type inFlightCall struct {
	state           *serverState
	sentAt          time.Time
	expectedSeconds float64
	pendingTokens   float64
	believedCached  float64
	alone           bool
	firstTokenSeen  bool
}

// sharedPrefix is the popularity of one shared prompt prefix.
type sharedPrefix struct {
	// recentCalls is a call count that decays by popularityDecay.
	recentCalls float64
	updatedAt   time.Time
	// spread is the number of servers that the prefix is spread over.
	spread int
}

// Router chooses servers for one daemon and records their load, health and cached prompts.
type Router struct {
	options    Options
	states     map[string]*serverState
	handles    map[uint32]*serverState
	lastHandle uint32
	// reportedStates holds the servers with a load of each source.
	reportedStates map[loadSource][]*serverState
	inFlight       map[string]inFlightCall

	blockRecords   *simplelru.LRU[uint64, *blockRecord]
	partRecords    *simplelru.LRU[uint64, *partRecord]
	sharedPrefixes *simplelru.LRU[uint64, *sharedPrefix]
	allPrefixes    sharedPrefix

	// meanOtherLoad is the mean of otherLoad over the servers, as a share of their slots.
	meanOtherLoad float64
	slotSeconds   float64

	table       *Table
	tableStates []*serverState
	// preferPlace ranks servers in a call's own place before all others.
	preferPlace bool
	// busyness is that of the last decision on a prompt with parts.
	busyness float64
	// regionOfServer holds the region of each server; placesPerRegion counts the places
	// with servers in each region.
	regionOfServer  map[string]string
	placesPerRegion map[string]int

	candidates       []candidate
	rendezvousHashes []uint64
	cachedPrefixes   []cachedPrefix
}

// New returns a router without any recorded load or cache contents.
func New(options Options) *Router {
	if options.MaxBlocks <= 0 {
		options.MaxBlocks = defaultMaxBlocks
	}
	if options.MaxSharedPrefixes <= 0 {
		options.MaxSharedPrefixes = defaultMaxSharedPrefixes
	}
	r := &Router{
		options:        options,
		states:         make(map[string]*serverState),
		handles:        make(map[uint32]*serverState),
		reportedStates: make(map[loadSource][]*serverState),
		inFlight:       make(map[string]inFlightCall),
		slotSeconds:    defaultSlotSeconds,
	}
	// NewLRU fails only for sizes below 1.
	r.blockRecords, _ = simplelru.NewLRU[uint64, *blockRecord](options.MaxBlocks, nil)
	r.sharedPrefixes, _ = simplelru.NewLRU[uint64, *sharedPrefix](options.MaxSharedPrefixes, nil)
	r.partRecords, _ = simplelru.NewLRU[uint64, *partRecord](maxPartRecords, nil)
	return r
}

// PreferPlace sets whether servers in a call's own place go before all others. This suits
// deployments in which daemons report their requests only within their place.
func (r *Router) PreferPlace(prefer bool) { r.preferPlace = prefer }

// SetTable makes the servers of a table known before the first decision among them, so that
// reports about them are kept.
func (r *Router) SetTable(t *Table) { r.syncTable(t) }

// syncTable updates the per-server state to a table. It does nothing when the table is
// the one of the previous call.
func (r *Router) syncTable(t *Table) {
	if r.table == t {
		return
	}
	r.table = t
	r.tableStates = make([]*serverState, len(t.servers))
	r.regionOfServer, r.placesPerRegion = make(map[string]string, len(t.servers)), map[string]int{}
	seenPlaces := map[string]bool{}
	for i := range t.servers {
		s := &t.servers[i]
		r.tableStates[i] = r.stateOf(s)
		r.tableStates[i].bucket.setLimit(s.RateLimit)
		r.regionOfServer[s.ID] = s.Region
		if !seenPlaces[s.Place] {
			seenPlaces[s.Place] = true
			r.placesPerRegion[s.Region]++
		}
	}
	for id, st := range r.states {
		if _, ok := t.byID[id]; !ok && st.inFlight == 0 {
			r.dropState(st)
		}
	}
}

func (r *Router) stateOf(s *Server) *serverState {
	st := r.states[s.ID]
	if st != nil && st.incarnation >= s.Incarnation {
		st.slots, st.prefillRate, st.cacheTokens = float64(max(s.Slots, 1)), s.PrefillTokensPerSecond, float64(s.CacheTokens)
		return st
	}
	if st != nil {
		r.dropState(st)
	}
	r.lastHandle++
	st = &serverState{
		id: s.ID, incarnation: s.Incarnation, handle: r.lastHandle,
		slots: float64(max(s.Slots, 1)), prefillRate: s.PrefillTokensPerSecond,
		health: newHealth(), cacheAccuracy: 1, cacheTokens: float64(s.CacheTokens),
	}
	r.states[s.ID] = st
	r.handles[st.handle] = st
	return st
}

// dropState removes a server. Its handle is never reused, so that block records with that
// handle are ignored.
func (r *Router) dropState(st *serverState) {
	delete(r.handles, st.handle)
	if r.states[st.id] == st {
		delete(r.states, st.id)
	}
}

// Sent records that a call was dispatched to a server of the current table.
func (r *Router) Sent(now time.Time, call *Call, server string) {
	st := r.states[server]
	if st == nil {
		return
	}
	cached := 0.0
	switch {
	case len(call.Parts) > 0:
		cached = max(r.residentTokens(call.Parts, st), r.homeTokens(call, server))
	case !call.Plain:
		cached = r.believedCachedTokens(now, call, st)
		r.countPrefixCall(now, call)
		r.recordBlocks(now, call, st)
	}
	r.removeInFlight(call.RequestID) // An earlier attempt whose end was not reported.
	uncached := max(call.promptTokens()-cached*st.cacheAccuracy, 0)
	if len(call.Parts) > 0 {
		r.recordPrompt(call.Parts, st, uncached+float64(call.ExpectedTokens))
	}
	expected := r.waitSeconds(now, st, r.load(now, st)) + prefillSeconds(st.prefillRate, uncached)
	st.inFlight++
	st.bucket.take(now)
	st.pendingTokens += uncached
	if call.Alone {
		st.reserved = true
	}
	r.inFlight[call.RequestID] = inFlightCall{
		state: st, sentAt: now, expectedSeconds: expected, pendingTokens: uncached, believedCached: cached, alone: call.Alone,
	}
}

// FirstToken records the first part of the response to a call. A first token that
// is much later than estimated lowers the server's share of traffic.
func (r *Router) FirstToken(now time.Time, requestID string) {
	f, ok := r.inFlight[requestID]
	if !ok || f.firstTokenSeen {
		return
	}
	f.firstTokenSeen = true
	f.state.pendingTokens = max(f.state.pendingTokens-f.pendingTokens, 0)
	f.state.health.recordFirstToken(now, now.Sub(f.sentAt).Seconds(), f.expectedSeconds)
	f.pendingTokens = 0
	r.inFlight[requestID] = f
}

// Answered records that a call finished.
func (r *Router) Answered(now time.Time, requestID string, answer Answer) {
	r.FirstToken(now, requestID)
	f, ok := r.removeInFlight(requestID)
	if !ok {
		return
	}
	if f.believedCached > 0 && !answer.CacheUnknown {
		confirmed := min(float64(answer.CachedTokens)/f.believedCached, 1)
		f.state.cacheAccuracy += cacheAccuracyWeight * (confirmed - f.state.cacheAccuracy)
	}
	held := now.Sub(f.sentAt).Seconds()
	r.slotSeconds += slotSecondsWeight * (held - r.slotSeconds)
	if answer.Load != nil {
		r.applyReport(now, f.state, *answer.Load)
	}
}

// Failed records that a call failed at its server. The owner lists the server in
// Call.Excluded for retries.
func (r *Router) Failed(now time.Time, requestID string) {
	if f, ok := r.removeInFlight(requestID); ok {
		f.state.health.recordFailure(now)
	}
}

// Cancelled records that the caller gave up, which has no effect on the server's health.
func (r *Router) Cancelled(requestID string) { r.removeInFlight(requestID) }

func (r *Router) removeInFlight(requestID string) (inFlightCall, bool) {
	f, ok := r.inFlight[requestID]
	if !ok {
		return f, false
	}
	delete(r.inFlight, requestID)
	f.state.inFlight--
	f.state.pendingTokens = max(f.state.pendingTokens-f.pendingTokens, 0)
	if f.alone {
		f.state.reserved = false
	}
	return f, true
}

// Report records a server's load as of the given time, which may lie in the past.
func (r *Router) Report(at time.Time, server string, incarnation int64, load Load) {
	st := r.states[server]
	if st == nil || st.incarnation != incarnation || at.Before(st.reportedAt) {
		return
	}
	r.applyReport(at, st, load)
}

func (r *Router) applyReport(at time.Time, st *serverState, load Load) {
	st.otherLoad = max(float64(load.Running+load.Waiting-st.inFlight), 0)
	st.reportedAt = at
	// One report is a small sample of the servers. With this weight the mean follows
	// within some 30 reports, which are two polls of 16 servers.
	const weight = 1.0 / 32
	r.meanOtherLoad += weight * (st.otherLoad/st.slots - r.meanOtherLoad)
}

// DropServer removes a server and its calls in flight, for example after it left.
func (r *Router) DropServer(server string) {
	st := r.states[server]
	if st == nil {
		return
	}
	for id, f := range r.inFlight {
		if f.state == st {
			delete(r.inFlight, id)
		}
	}
	r.dropState(st)
	r.table = nil // The next call rebuilds tableStates.
}

// load estimates the requests at a server: the daemon's own, plus those of other daemons
// from the last report, which fades to the mean of all reports as it ages.
func (r *Router) load(now time.Time, st *serverState) float64 {
	if r.options.SharedLoads {
		running, _ := st.sumPeerLoads(now)
		return float64(st.inFlight) + running
	}
	fresh := r.freshness(now, st)
	return float64(st.inFlight) + fresh*st.otherLoad + (1-fresh)*r.meanOtherLoad*st.slots
}

// freshness is the weight of a server's last report, from 0 to 1. The rational function
// approximates an exponential for young reports at a few nanoseconds; 920 exponentials
// took a third of the longest decision.
func (r *Router) freshness(now time.Time, st *serverState) float64 {
	if st.reportedAt.IsZero() {
		return 0
	}
	age := max(now.Sub(st.reportedAt).Seconds(), 0) / reportDecay.Seconds()
	return 1 / (1 + age + age*age/2)
}

// waitSeconds estimates the wait for a slot and for queued prompts at the given load.
func (r *Router) waitSeconds(now time.Time, st *serverState, load float64) float64 {
	wait := r.backlogSeconds(now, st) + utilisationSeconds*load/st.slots
	if over := load - st.slots + 1; over > 0 {
		wait += over * r.slotSeconds / st.slots
	}
	return wait
}

func prefillSeconds(rate, tokens float64) float64 {
	if rate <= 0 {
		return 0
	}
	return tokens / rate
}

func sessionKey(call *Call) uint64 {
	if call.Session != "" {
		return xxhash.Sum64String(call.Session)
	}
	return sharedPrefixKey(call)
}
