package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Options are the settings of a Router. Zero values take the defaults.
type Options struct {
	// Blocks bounds the remembered prompt blocks.
	Blocks int
	// Heads bounds the remembered shared prompt heads.
	Heads int
	// SecondsPerPrice is the delay that a rank accepts to save one unit of currency.
	SecondsPerPrice map[string]float64
	// Backlog is the longest time of prompt processing that may wait in a server
	// while it counts as free; 0 means no bound.
	Backlog time.Duration
	// Shared says that the daemons tell each other what they send, so that the load
	// of a server is the sum over them rather than an estimate from reports.
	Shared bool
}

const (
	defaultBlocks = 1 << 16
	defaultHeads  = 1 << 12
	// defaultSecondsPerPrice makes 0.001 of a currency unit, about the price of one
	// request, worth 20 ms.
	defaultSecondsPerPrice = 20
	// loadLife is the age at which a report counts for 40%. At the design size a
	// server gets about 7 requests a second, so that after 2 s its load has changed.
	loadLife = 2 * time.Second
	// headLife is the time over which the popularity of a head is averaged. It has to
	// be long enough for a daemon that sees 16 requests a second to count a
	// popular head, and short enough to follow a flood.
	headLife = 2 * time.Minute
	// holdWeight is the weight of one response in the average time that a slot is held.
	holdWeight = 0.05
	// crowdSeconds is the wait counted for a server with all slots in use but one,
	// and in proportion below. It places new sessions on less loaded servers; it is too
	// small to move a session away from a cached prompt of 1000 tokens.
	crowdSeconds = 0.2
	// trustWeight is the weight of one response in a server's trust. Evictions come in
	// bursts, which a larger weight would take for a change.
	trustWeight = 0.05
	// defaultHold is the assumed time that a slot is held before any response.
	defaultHold = 2.0
)

type state struct {
	id          string
	incarnation int64
	handle      uint32
	slots       float64
	prefillRate float64
	inFlight    int
	// pending is the prompt tokens sent whose first token has not arrived.
	pending float64
	// others is the load from other daemons at the time of the last report.
	others   float64
	reported time.Time
	reserved bool
	health   health
	// trust is the part of the tokens believed cached that the engine confirms.
	trust float64
	// cacheTokens is the size of the prefix cache, and read the tokens that have
	// entered it so far.
	cacheTokens float64
	read        float64
	// told holds the load that others told of.
	told map[loadSource]toldLoad
}

type flight struct {
	state    *state
	sent     time.Time
	expected float64
	pending  float64
	believed float64
	alone    bool
	first    bool
}

type head struct {
	weight float64
	at     time.Time
	// size is the number of servers that the head is spread over.
	size int
}

// Router chooses servers for one daemon and keeps what it has learned about them.
type Router struct {
	options Options
	states  map[string]*state
	handles map[uint32]*state
	next    uint32
	flights map[string]flight

	blocks *simplelru.LRU[uint64, *record]
	parts  *simplelru.LRU[uint64, *partRecord]
	heads  *simplelru.LRU[uint64, *head]
	total  head

	// meanOthers is the average load from other daemons as a share of the slots.
	meanOthers float64
	hold       float64

	table *Table
	view  []*state
	// preferPlace says that servers in a call's own place go first.
	preferPlace bool
	// regions holds the region of each server, and places how many places have servers
	// by region.
	regions map[string]string
	places  map[string]int

	candidates []candidate
	ranks      []uint64
	holders    []holding
}

// New returns a router without knowledge.
func New(options Options) *Router {
	if options.Blocks <= 0 {
		options.Blocks = defaultBlocks
	}
	if options.Heads <= 0 {
		options.Heads = defaultHeads
	}
	r := &Router{
		options: options,
		states:  make(map[string]*state),
		handles: make(map[uint32]*state),
		flights: make(map[string]flight),
		hold:    defaultHold,
	}
	// NewLRU fails only for sizes below 1.
	r.blocks, _ = simplelru.NewLRU[uint64, *record](options.Blocks, nil)
	r.heads, _ = simplelru.NewLRU[uint64, *head](options.Heads, nil)
	r.parts, _ = simplelru.NewLRU[uint64, *partRecord](defaultParts, nil)
	return r
}

// PreferPlace says whether servers in a call's own place go before all others, as
// where only the daemons of a place tell each other what they send.
func (r *Router) PreferPlace(prefer bool) { r.preferPlace = prefer }

// sync aligns the router's state with a table. It does nothing for the table of the
// last call.
func (r *Router) sync(t *Table) {
	if r.table == t {
		return
	}
	r.table = t
	r.view = make([]*state, len(t.servers))
	r.regions, r.places = make(map[string]string, len(t.servers)), map[string]int{}
	seen := map[string]bool{}
	for i := range t.servers {
		s := &t.servers[i]
		r.view[i] = r.stateOf(s)
		r.regions[s.ID] = s.Region
		if !seen[s.Place] {
			seen[s.Place] = true
			r.places[s.Region]++
		}
	}
	for id, st := range r.states {
		if _, ok := t.byID[id]; !ok && st.inFlight == 0 {
			r.drop(st)
		}
	}
}

func (r *Router) stateOf(s *Server) *state {
	st := r.states[s.ID]
	if st != nil && st.incarnation >= s.Incarnation {
		st.slots, st.prefillRate, st.cacheTokens = float64(max(s.Slots, 1)), s.PrefillTokensPerSecond, float64(s.CacheTokens)
		return st
	}
	if st != nil {
		r.drop(st)
	}
	r.next++
	st = &state{
		id: s.ID, incarnation: s.Incarnation, handle: r.next,
		slots: float64(max(s.Slots, 1)), prefillRate: s.PrefillTokensPerSecond,
		health: newHealth(), trust: 1, cacheTokens: float64(s.CacheTokens),
	}
	r.states[s.ID] = st
	r.handles[st.handle] = st
	return st
}

// drop forgets a server. Its handle is not used again, so that block records that
// name it are ignored.
func (r *Router) drop(st *state) {
	delete(r.handles, st.handle)
	if r.states[st.id] == st {
		delete(r.states, st.id)
	}
}

// Sent records that a call was dispatched to a server of the last table.
func (r *Router) Sent(now time.Time, call *Call, server string) {
	st := r.states[server]
	if st == nil {
		return
	}
	cached := 0.0
	switch {
	case len(call.Parts) > 0:
		cached = r.residentTokens(call.Parts, st)
	case !call.Plain:
		cached = r.knownTokens(now, call, st)
		r.countHead(now, call)
		r.remember(now, call, st)
	}
	r.release(call.RequestID) // An attempt that was not reported as over.
	uncached := max(call.promptTokens()-cached*st.trust, 0)
	if len(call.Parts) > 0 {
		r.touch(call.Parts, st, uncached+float64(call.ExpectedTokens))
	}
	expected := r.waitSeconds(now, st, r.load(now, st)) + prefillSeconds(st.prefillRate, uncached)
	st.inFlight++
	st.pending += uncached
	if call.Alone {
		st.reserved = true
	}
	r.flights[call.RequestID] = flight{
		state: st, sent: now, expected: expected, pending: uncached, believed: cached, alone: call.Alone,
	}
}

// FirstToken records the first part of the response to a call. A first token that
// is much later than estimated lowers the server's share of traffic.
func (r *Router) FirstToken(now time.Time, requestID string) {
	f, ok := r.flights[requestID]
	if !ok || f.first {
		return
	}
	f.first = true
	f.state.pending = max(f.state.pending-f.pending, 0)
	f.state.health.observe(now, now.Sub(f.sent).Seconds(), f.expected)
	f.pending = 0
	r.flights[requestID] = f
}

// Answered records that a call finished.
func (r *Router) Answered(now time.Time, requestID string, answer Answer) {
	r.FirstToken(now, requestID)
	f, ok := r.release(requestID)
	if !ok {
		return
	}
	if f.believed > 0 && !answer.CacheUnknown {
		confirmed := min(float64(answer.CachedTokens)/f.believed, 1)
		f.state.trust += trustWeight * (confirmed - f.state.trust)
	}
	held := now.Sub(f.sent).Seconds()
	r.hold += holdWeight * (held - r.hold)
	if answer.Load != nil {
		r.report(now, f.state, *answer.Load)
	}
}

// Failed records that a call failed at its server. Retries of the call name the
// server in Excluded.
func (r *Router) Failed(now time.Time, requestID string) {
	if f, ok := r.release(requestID); ok {
		f.state.health.failed(now)
	}
}

// Cancelled records that the caller gave up, which says nothing about the server.
func (r *Router) Cancelled(requestID string) { r.release(requestID) }

func (r *Router) release(requestID string) (flight, bool) {
	f, ok := r.flights[requestID]
	if !ok {
		return f, false
	}
	delete(r.flights, requestID)
	f.state.inFlight--
	f.state.pending = max(f.state.pending-f.pending, 0)
	if f.alone {
		f.state.reserved = false
	}
	return f, true
}

// Report records a server's load as of the given time, which may lie in the past.
func (r *Router) Report(at time.Time, server string, incarnation int64, load Load) {
	st := r.states[server]
	if st == nil || st.incarnation != incarnation || at.Before(st.reported) {
		return
	}
	r.report(at, st, load)
}

func (r *Router) report(at time.Time, st *state, load Load) {
	st.others = max(float64(load.Running+load.Waiting-st.inFlight), 0)
	st.reported = at
	// One report is a small sample of the fleet; the average follows within
	// some 30 reports, which are two polls of 16 servers.
	const weight = 1.0 / 32
	r.meanOthers += weight * (st.others/st.slots - r.meanOthers)
}

// Forget drops everything known about a server, for example after it left.
func (r *Router) Forget(server string) {
	st := r.states[server]
	if st == nil {
		return
	}
	for id, f := range r.flights {
		if f.state == st {
			delete(r.flights, id)
		}
	}
	r.drop(st)
	r.table = nil // The next call builds the view again.
}

// load estimates the requests in a server: the own ones, and those of other daemons
// from the last report, which fades to the average of all reports.
func (r *Router) load(now time.Time, st *state) float64 {
	if r.options.Shared {
		running, _ := st.elsewhere(now)
		return float64(st.inFlight) + running
	}
	fresh := r.freshness(now, st)
	return float64(st.inFlight) + fresh*st.others + (1-fresh)*r.meanOthers*st.slots
}

// freshness is the weight of a server's last report. The rational function follows the
// exponential for young reports and costs a few nanoseconds, where 920 exponentials
// took a third of the longest decision.
func (r *Router) freshness(now time.Time, st *state) float64 {
	if st.reported.IsZero() {
		return 0
	}
	age := max(now.Sub(st.reported).Seconds(), 0) / loadLife.Seconds()
	return 1 / (1 + age + age*age/2)
}

// waitSeconds estimates the wait in a server with the given load.
func (r *Router) waitSeconds(now time.Time, st *state, load float64) float64 {
	wait := r.backlogSeconds(now, st) + crowdSeconds*load/st.slots
	if over := load - st.slots + 1; over > 0 {
		wait += over * r.hold / st.slots
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
	return headKey(call)
}
