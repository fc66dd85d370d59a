package gateway

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/fleet"
	"apricotbridge/internal/keyvalue"
	"apricotbridge/internal/message"
	"apricotbridge/internal/rollout"
	"apricotbridge/internal/routing"
)

// Rollouts lets operators move the traffic of a service to servers of another software version.
type Rollouts struct {
	// Orders is the key prefix of the orders, and Statuses that of what the daemons report on them.
	// The name of the service follows.
	Orders, Statuses string
	// Exposure is the largest share of a service's requests that a bad version may get.
	Exposure  float64
	Documents RolloutDocuments
}

// RolloutDocuments translates the entries of rollouts.
type RolloutDocuments interface {
	// Order decodes an order from an entry that was not deleted.
	Order(e keyvalue.Entry) (rollout.Order, error)
	// Status encodes the status of a rollout.
	Status(s rollout.State) ([]byte, error)
	// Phase decodes a status: the version and its phase.
	Phase(status []byte) (version string, phase rollout.Phase, err error)
}

const (
	// rolloutNews is how long statuses to peers name a rollout that is over. Peers that miss it learn of it
	// with the next listing of the servers.
	rolloutNews = 10 * time.Second
	// judgeInterval is the least time between two verdicts on the same rollout.
	judgeInterval = 200 * time.Millisecond
)

// rolloutControl is the part of the control goroutine's state that concerns rollouts.
type rolloutControl struct {
	set rollout.Set
	// stageSince and changedAt are when the present stage and the present state were reached, by service.
	stageSince, changedAt map[string]time.Time
	judgedAt              time.Time
}

// rolloutView is what a View holds of a rollout.
type rolloutView struct {
	rollout.State
	// StageSince is when this daemon learned of the stage, and ChangedAt of the last change.
	StageSince, ChangedAt time.Time
	Servers               rollout.Servers
}

// rolloutInProgress returns the rollout of a service that is in progress.
func (v *View) rolloutInProgress(service string) (rollout.State, bool) {
	if v == nil {
		return rollout.State{}, false
	}
	r, ok := v.rollouts[service]
	return r.State, ok && r.Phase == rollout.InProgress
}

// mergeRollout merges a state and logs what changed.
func (c *control) mergeRollout(now time.Time, source string, s rollout.State) {
	before, _ := c.rollouts.set.Of(s.Service)
	if !c.rollouts.set.Merge(s) {
		return
	}
	c.rolloutChanged(now, source, before, s.Service)
}

func (c *control) rolloutChanged(now time.Time, source string, before rollout.State, service string) {
	after, _ := c.rollouts.set.Of(service)
	if c.rollouts.stageSince == nil {
		c.rollouts.stageSince, c.rollouts.changedAt = map[string]time.Time{}, map[string]time.Time{}
	}
	c.rollouts.changedAt[service] = now
	if before.Version != after.Version || before.Stage != after.Stage || c.rollouts.stageSince[service].IsZero() {
		c.rollouts.stageSince[service] = now
	}
	c.changed = true
	c.g.Log.Info("rollout", "Service", service, "Version", after.Version, "Phase", after.Phase, "Stage", after.Stage,
		"Share", after.Share(c.g.rolloutExposure()), "Reason", after.Reason, "Source", source, "Since", now.Sub(after.NoticedAt).Milliseconds())
	if after.Phase == rollout.Completed && before.Phase != rollout.Completed {
		c.leaveOldVersions(now, after)
	}
}

func (g *Gateway) rolloutExposure() float64 {
	if g.Rollouts == nil {
		return 0
	}
	return g.Rollouts.Exposure
}

// leaveOldVersions marks the servers of other versions as leaving: they are stopped once the rollout is
// reported as completed.
func (c *control) leaveOldVersions(now time.Time, s rollout.State) {
	var old []fleet.Incarnation
	for _, m := range c.fleet.Members() {
		if m.Service == s.Service && m.Version != s.Version {
			old = append(old, fleet.Incarnation{ID: m.ID, Start: m.Incarnation})
		}
	}
	c.noteLeaving(now, "", old)
}

// applyRolloutEntries applies the entries of orders and statuses. complete means that they are all orders as
// of a revision.
func (c *control) applyRolloutEntries(now time.Time, entries []keyvalue.Entry, complete bool, era, revision int64) {
	r := c.g.Rollouts
	statuses := map[string]keyvalue.Entry{}
	present := map[string]bool{}
	for _, e := range entries {
		if service, ok := strings.CutPrefix(e.Key, r.Statuses); ok {
			statuses[service] = e
		}
	}
	for _, e := range entries {
		service, ok := strings.CutPrefix(e.Key, r.Orders)
		if !ok {
			continue
		}
		present[service] = true
		if e.Deleted {
			c.cancelRollout(now, service, e.Era, e.Revision)
			continue
		}
		order, err := r.Documents.Order(e)
		if err == nil && order.Service != service {
			err = errors.Errorf("order names service %q", order.Service)
		}
		if err != nil {
			c.g.Log.Info("order of a rollout not readable", "Key", e.Key, "Revision", e.Revision, "Error", err.Error())
			continue
		}
		order.Era, order.Revision = e.Era, e.Revision
		state := rollout.State{Order: order, NoticedAt: now, Phase: rollout.InProgress, Reason: "ordered"}
		if _, known := c.rollouts.set.Of(service); !known {
			c.resumeRollout(&state, statuses[service])
		}
		if c.index != nil && c.index.services[service] == nil {
			state.Phase, state.Reason = rollout.RolledBack, "no such service"
		}
		c.mergeRollout(now, "Store", state)
	}
	if complete {
		for _, s := range c.rollouts.set.States() {
			if !present[s.Service] {
				c.cancelRollout(now, s.Service, era, revision)
			}
		}
	}
}

// resumeRollout sets the phase that the status of an order shows, for a daemon that has started.
func (c *control) resumeRollout(s *rollout.State, status keyvalue.Entry) {
	if len(status.Value) == 0 || status.Deleted {
		return
	}
	version, phase, err := c.g.Rollouts.Documents.Phase(status.Value)
	switch {
	case err != nil:
		c.g.Log.Info("status of a rollout not readable", "Key", status.Key, "Error", err.Error())
	case version == s.Version && status.Revision > s.Revision:
		s.Phase, s.Reason = phase, "as reported before"
	}
}

func (c *control) cancelRollout(now time.Time, service string, era, revision int64) {
	before, _ := c.rollouts.set.Of(service)
	if c.rollouts.set.Cancel(service, era, revision) {
		c.rolloutChanged(now, "Store", before, service)
	}
}

// judgeRollouts withdraws the versions that the evidence shows to be bad.
func (c *control) judgeRollouts(now time.Time) {
	if c.g.Rollouts == nil || now.Sub(c.rollouts.judgedAt) < judgeInterval {
		return
	}
	c.rollouts.judgedAt = now
	for _, s := range c.rollouts.set.States() {
		if s.Phase != rollout.InProgress {
			continue
		}
		if v := c.g.evidence.judge(s); v.Worse == rollout.Certain {
			s.Phase, s.Reason = rollout.RolledBack, v.Reason
			c.mergeRollout(now, "Evidence", s)
		}
	}
}

// publishRollouts adds the rollouts to a view, and returns the shifts of the traffic and the servers that get no
// requests yet.
func (c *control) publishRollouts(v *View) (shifts map[string]routing.Shift, idle map[string]bool) {
	states := c.rollouts.set.States()
	if len(states) == 0 {
		return nil, nil
	}
	v.rollouts = map[string]rolloutView{}
	shifts, idle = map[string]routing.Shift{}, map[string]bool{}
	for _, s := range states {
		share := s.Share(c.g.rolloutExposure())
		counts := rollout.Servers{}
		byPlace := map[string][]string{}
		for _, m := range v.Members {
			switch {
			case m.Service != s.Service || !m.Accepting():
			case m.Version != s.Version:
				counts.Old++
			default:
				counts.New++
				byPlace[m.Place] = append(byPlace[m.Place], m.ID)
			}
		}
		v.rollouts[s.Service] = rolloutView{s, c.rollouts.stageSince[s.Service], c.rollouts.changedAt[s.Service], counts}
		if s.Phase == rollout.Completed || s.Phase == rollout.InProgress && counts.Old == 0 {
			continue // There are no other servers.
		}
		shifts[s.Service] = routing.Shift{Version: s.Version, Share: share}
		for _, ids := range byPlace {
			engaged := rollout.Engaged(s.Version, ids, share)
			for _, id := range ids {
				if !slices.Contains(engaged, id) {
					idle[id] = true
				}
			}
		}
	}
	return shifts, idle
}

// rolloutStates returns the rollouts for a message. Those that ended before since are left out.
func (v *View) rolloutStates(now time.Time, since time.Time) []message.RolloutState {
	if v == nil {
		return nil
	}
	var list []message.RolloutState
	for _, service := range slices.Sorted(maps.Keys(v.rollouts)) {
		if r := v.rollouts[service]; r.Phase == rollout.InProgress || r.ChangedAt.After(since) {
			list = append(list, encodeRollout(now, r.State))
		}
	}
	return list
}

func encodeRollout(now time.Time, s rollout.State) message.RolloutState {
	return message.RolloutState{
		Service: s.Service, Version: s.Version, Within: s.Within.Milliseconds(), Era: s.Era, Revision: s.Revision,
		Age: now.Sub(s.NoticedAt).Milliseconds(), Stage: s.Stage, Phase: string(s.Phase), Reason: s.Reason,
	}
}

// maxRolloutAge bounds the age of a rollout in a message.
const maxRolloutAge = 24 * time.Hour

// mergeRollouts merges the rollouts of a peer.
func (c *control) mergeRollouts(now time.Time, from string, list []message.RolloutState) {
	if c.g.Rollouts == nil {
		return
	}
	for _, m := range list {
		phase := rollout.Phase(m.Phase)
		switch phase {
		case rollout.InProgress, rollout.Completed, rollout.RolledBack:
		default:
			c.g.Log.Info("rollout of a peer not readable", "Peer", from, "Service", m.Service, "Phase", m.Phase)
			continue
		}
		age := max(0, min(m.Age, maxRolloutAge.Milliseconds()))
		c.mergeRollout(now, from, rollout.State{
			Order:     rollout.Order{Service: m.Service, Version: m.Version, Within: time.Duration(m.Within) * time.Millisecond, Era: m.Era, Revision: m.Revision},
			NoticedAt: now.Add(-time.Duration(age) * time.Millisecond), Stage: m.Stage, Phase: phase, Reason: m.Reason,
		})
	}
}

// watchRollouts follows the orders. With links by place, delegates do and tell the others.
func (g *Gateway) watchRollouts(ctx context.Context) error {
	if g.Rollouts == nil {
		<-ctx.Done()
		return nil
	}
	awaitDuty := func() {
		for v := g.view.Load(); v == nil || !v.daemonsListed || v.ByPlace && !v.Delegate; v = g.view.Load() {
			if !sleep(ctx, delegateCheckInterval) {
				return
			}
		}
	}
	sleep(ctx, 2*membershipPause) // Many daemons may start at the same time. The first listing comes with the orders.
	awaitDuty()
	g.watchPrefix(ctx, "rollouts", g.Rollouts.Orders, 0, func(entries []keyvalue.Entry, fullList bool) {
		defer awaitDuty()
		if fullList && len(entries) > 0 { // With the statuses.
			all, era, revision, err := g.readRollouts(ctx)
			if err != nil {
				g.Log.Info("rollouts not read", "Error", err.Error())
				return // Read again with the next listing that shows a new version.
			}
			g.postRollouts(all, true, era, revision)
			return
		}
		g.postRollouts(entries, false, 0, 0)
	})
	return nil
}

func (g *Gateway) postRollouts(entries []keyvalue.Entry, complete bool, era, revision int64) {
	now := time.Now()
	g.post(func(c *control) { c.applyRolloutEntries(now, entries, complete, era, revision) })
}

// readRollouts reads the orders, and their statuses if there are any.
func (g *Gateway) readRollouts(ctx context.Context) (entries []keyvalue.Entry, era, revision int64, err error) {
	eraBefore := g.Store.Era()
	entries, revision, err = g.Store.List(ctx, g.Rollouts.Orders)
	if err != nil {
		return nil, 0, 0, errors.Annotate(err, "list the rollouts")
	}
	if len(entries) > 0 {
		statuses, _, err := g.Store.List(ctx, g.Rollouts.Statuses)
		if err != nil {
			return nil, 0, 0, errors.Annotate(err, "list the statuses of rollouts")
		}
		entries = append(entries, statuses...)
	}
	if era = g.Store.Era(); eraBefore > 0 && era != eraBefore {
		return nil, 0, 0, errRestored
	}
	return entries, era, revision, nil
}

// versionReader remembers which versions of services the listings have shown.
type versionReader struct {
	known map[[2]string]bool
	era   int64
}

// readOrders reads the rollouts if a listing of the servers shows a version of a service for the first time. An
// order is written before its servers start, so that a listing is never applied without the order.
func (r *versionReader) readOrders(ctx context.Context, g *Gateway, era int64, entries []keyvalue.Entry) error {
	if g.Rollouts == nil {
		return nil
	}
	fresh := map[[2]string]bool{}
	for _, e := range entries {
		if s := g.Decoder.Registration(e).Server; s != nil && !r.known[[2]string{s.Service, s.Version}] {
			fresh[[2]string{s.Service, s.Version}] = true
		}
	}
	if r.known != nil && r.era == era && len(fresh) == 0 {
		return nil
	}
	orders, ordersEra, revision, err := g.readRollouts(ctx)
	if err != nil {
		return err
	}
	g.postRollouts(orders, true, ordersEra, revision)
	if r.known == nil {
		r.known = map[[2]string]bool{}
	}
	maps.Copy(r.known, fresh)
	r.era = era
	return nil
}

// rolloutEvidence is what this daemon and its peers observed in rollouts.
type rolloutEvidence struct {
	mu  sync.Mutex
	sum rollout.Evidence
	// sentAt is when a status last had the observations of this daemon; only the goroutine that sends
	// statuses uses it.
	sentAt time.Time
}

func keyOf(s rollout.State, stage int) rollout.Key {
	return rollout.Key{Service: s.Service, Version: s.Version, Stage: stage}
}

// judge returns the verdict on a rollout.
func (e *rolloutEvidence) judge(s rollout.State) rollout.Verdict {
	e.mu.Lock()
	defer e.mu.Unlock()
	var stages [][]rollout.Trial
	for stage := range s.Stage + 1 {
		stages = append(stages, e.sum.Sum(keyOf(s, stage)))
	}
	return rollout.Judge(stages)
}

// trialsInterval is the least time between two statuses with what this daemon observed in rollouts.
const trialsInterval = 300 * time.Millisecond

// ownTrials returns what this daemon observed in rollouts, if a status is to have it.
func (g *Gateway) ownTrials(now time.Time) []message.RolloutEvidence {
	e := &g.evidence
	if now.Sub(e.sentAt) < trialsInterval {
		return nil
	}
	e.sentAt = now
	own := rollout.Source{Place: g.Place, Daemon: g.Daemon, Start: g.start}
	return e.encode(g.view.Load(), func(k rollout.Key) []rollout.Trial { return e.sum.Of(k, own) })
}

// encode returns the counts of the present stages of the rollouts in progress, and of those before.
func (e *rolloutEvidence) encode(v *View, counts func(rollout.Key) []rollout.Trial) []message.RolloutEvidence {
	if v == nil || len(v.rollouts) == 0 {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []message.RolloutEvidence
	for _, service := range slices.Sorted(maps.Keys(v.rollouts)) {
		s := v.rollouts[service].State
		if s.Phase != rollout.InProgress {
			continue
		}
		for stage := max(s.Stage-1, 0); stage <= s.Stage; stage++ {
			m := message.RolloutEvidence{Service: s.Service, Version: s.Version, Stage: stage}
			for _, t := range counts(keyOf(s, stage)) {
				m.Trials = append(m.Trials, message.RolloutTrial{Route: t.Route, Old: encodeSide(t.Old), New: encodeSide(t.New)})
			}
			if len(m.Trials) > 0 {
				list = append(list, m)
			}
		}
	}
	return list
}

// merge replaces the observations of a source by later ones, for the rollouts in progress.
func (e *rolloutEvidence) merge(v *View, from rollout.Source, list []message.RolloutEvidence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range list {
		s, ok := v.rolloutInProgress(m.Service)
		if !ok || s.Version != m.Version || m.Stage < 0 || m.Stage > s.Stage+1 {
			continue
		}
		var trials []rollout.Trial
		for _, t := range m.Trials {
			trials = append(trials, rollout.Trial{Route: t.Route, Old: decodeSide(t.Old), New: decodeSide(t.New)})
		}
		e.sum.Replace(keyOf(s, m.Stage), from, trials)
	}
}

// retain drops the observations of rollouts that are over.
func (e *rolloutEvidence) retain(v *View) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sum.Retain(func(k rollout.Key) bool {
		s, ok := v.rolloutInProgress(k.Service)
		return ok && s.Version == k.Version
	})
}

func encodeSide(s rollout.Side) message.RolloutSide {
	return message.RolloutSide{Answers: s.Answers, Failed: s.Failed, First: trimZeros(s.First[:]), Pace: trimZeros(s.Pace[:])}
}

func trimZeros(list []int64) []int64 {
	n := len(list)
	for n > 0 && list[n-1] == 0 {
		n--
	}
	return slices.Clone(list[:n])
}

func decodeSide(m message.RolloutSide) rollout.Side {
	s := rollout.Side{Answers: m.Answers, Failed: m.Failed}
	copy(s.First[:], m.First)
	copy(s.Pace[:], m.Pace)
	return s
}

// attemptTrial observes one attempt during a rollout. A nil one observes nothing.
type attemptTrial struct {
	g     *Gateway
	key   rollout.Key
	route string
	fresh bool
	// sentAt is when the attempt was sent, and expected how long its answer or first event should take.
	sentAt   time.Time
	expected time.Duration
	// events counts the events, and firstEvents those that arrived with the first one, at firstAt.
	events, firstEvents int
	firstAt             time.Time
	paced               bool
}

const (
	// expectedBase is the expected time to an answer or a first event without the reading of the prompt, and
	// expectedGap that between two events. Both sides are measured against the same ones, so that only
	// their order of magnitude matters.
	expectedBase = 50 * time.Millisecond
	expectedGap  = 40 * time.Millisecond
	// pacedEvents is the number of events after the first one with which the pace of a stream is recorded.
	pacedEvents = 4
	// lateFirst is the time from which an attempt that ended without a first event counts with the time that it
	// took: servers that are slow enough are given up by their callers.
	lateFirst = time.Second
)

// beginTrial returns the observation of an attempt, or nil if its service has no rollout in progress.
func (s *session) beginTrial(now time.Time, server routing.Server, wait, cached float64) *attemptTrial {
	v := s.g.view.Load()
	state, ok := v.rolloutInProgress(s.service)
	if !ok || v.rollouts[s.service].Servers.New == 0 { // There is nothing to compare yet.
		return nil
	}
	t := &attemptTrial{
		g: s.g, key: keyOf(state, state.Stage), route: s.route.Name, fresh: server.Version == state.Version, sentAt: now, expected: expectedBase,
	}
	if s.engine {
		uncached := max(float64(s.call.PromptTokens)-cached, 0)
		t.expected += time.Duration((wait + uncached/prefillTokensPerSecond) * float64(time.Second))
	}
	return t
}

// record adds to the counts of the attempt's side.
func (t *attemptTrial) record(add func(*rollout.Side)) {
	e := &t.g.evidence
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := e.sum.Observe(t.key, rollout.Source{Place: t.g.Place, Daemon: t.g.Daemon, Start: t.g.start}, t.route)
	if t.fresh {
		add(&counts.New)
	} else {
		add(&counts.Old)
	}
}

// answered records a complete answer that is no stream.
func (t *attemptTrial) answered(now time.Time, failed bool) {
	if t == nil {
		return
	}
	t.record(func(s *rollout.Side) {
		s.Answers++
		if failed {
			s.Failed++
		} else {
			s.First.Add(now.Sub(t.sentAt), t.expected)
		}
	})
}

// arrived records that events of a stream have arrived.
func (t *attemptTrial) arrived(now time.Time, count int) {
	if t == nil {
		return
	}
	t.events += count
	switch later := t.events - t.firstEvents; {
	case t.firstAt.IsZero():
		t.firstAt, t.firstEvents = now, t.events
		t.record(func(s *rollout.Side) { s.First.Add(now.Sub(t.sentAt), t.expected) })
	case !t.paced && later >= pacedEvents:
		t.paced = true
		t.record(func(s *rollout.Side) { s.Pace.Add(now.Sub(t.firstAt)/time.Duration(later), expectedGap) })
	}
}

// streamed records a complete stream.
func (t *attemptTrial) streamed() {
	if t != nil {
		t.record(func(s *rollout.Side) { s.Answers++ })
	}
}

// abandoned records that an attempt ended without an answer. Which side broke the connection is not known, so
// that this is no failure of the server, but its time shows that it was slow.
func (t *attemptTrial) abandoned(now time.Time) {
	if t != nil && t.firstAt.IsZero() && now.Sub(t.sentAt) >= lateFirst {
		t.record(func(s *rollout.Side) { s.First.Add(now.Sub(t.sentAt), t.expected) })
	}
}

// dutyRollouts is what the holder of the duty keeps of the rollouts.
type dutyRollouts struct {
	// reported holds the entries of the statuses that this daemon has written or read, by service.
	reported map[string]keyvalue.Entry
	retryAt  time.Time
}

// advanceRollouts raises the shares of new versions, completes rollouts and reports their status.
func (s *dutyState) advanceRollouts(ctx context.Context, now time.Time) {
	g := s.g
	v := g.view.Load()
	if g.Rollouts == nil || v == nil {
		return
	}
	for _, service := range slices.Sorted(maps.Keys(v.rollouts)) {
		r := v.rollouts[service]
		r.Servers.OldRequests = g.requestsAtOldVersions(now, v, r.State)
		if next, ok := r.Next(now, r.StageSince, r.Servers, g.evidence.judge(r.State)); ok {
			g.post(func(c *control) { c.mergeRollout(now, "Duty", next) })
			continue // The status follows what the daemons do.
		}
		if r.Phase == rollout.Completed && now.Sub(r.ChangedAt) < rolloutSpread {
			continue
		}
		s.reportRollout(ctx, now, r.State)
	}
}

// rolloutSpread is the time in which all daemons learn that the old servers will be stopped.
const rolloutSpread = 300 * time.Millisecond

// requestsAtOldVersions returns how many requests all daemons have at the servers of other versions.
func (g *Gateway) requestsAtOldVersions(now time.Time, v *View, s rollout.State) int {
	n := 0
	for id, running := range g.dispatcher.RunningRequests(now) {
		if m, ok := v.Members[id]; ok && m.Service == s.Service && m.Version != s.Version {
			n += running
		}
	}
	return n
}

// rolloutRetryDelay is the wait after a status could not be written.
const rolloutRetryDelay = 300 * time.Millisecond

// reportRollout writes the status of a rollout unless the store has it.
func (s *dutyState) reportRollout(ctx context.Context, now time.Time, state rollout.State) {
	g := s.g
	value, err := g.Rollouts.Documents.Status(state)
	if err != nil {
		g.Log.Error(err, "status of a rollout not encoded", "Service", state.Service)
		return
	}
	known, ok := s.rollouts.reported[state.Service]
	era := g.Store.Era()
	if ok && known.Era == era && string(known.Value) == string(value) || now.Before(s.rollouts.retryAt) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, dutyCallTimeout)
	defer cancel()
	key := g.Rollouts.Statuses + state.Service
	if !ok || known.Era != era {
		known, err = g.Store.Get(ctx, key)
		if err != nil && !errors.Is(err, keyvalue.ErrNotFound) {
			s.rollouts.retryAt = now.Add(rolloutRetryDelay)
			return
		}
		known.Era = era
	}
	if string(known.Value) != string(value) {
		written, err := g.Store.CompareAndSwap(ctx, key, value, known.Revision, "")
		if err != nil {
			delete(s.rollouts.reported, state.Service) // Read it again: the write may have taken effect.
			s.rollouts.retryAt = now.Add(rolloutRetryDelay)
			g.Log.Info("status of a rollout not written", "Service", state.Service, "Error", err.Error())
			return
		}
		known = written
		known.Era = cmp.Or(written.Era, era)
		g.Log.Info("rollout reported", "Service", state.Service, "Version", state.Version, "Phase", state.Phase, "Reason", state.Reason)
	}
	if s.rollouts.reported == nil {
		s.rollouts.reported = map[string]keyvalue.Entry{}
	}
	s.rollouts.reported[state.Service] = known
}
