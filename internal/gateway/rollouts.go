package gateway

import (
	"context"
	"maps"
	"slices"
	"strings"
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
	if after.Phase == rollout.Completed && before.Phase == rollout.InProgress {
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
// reported as completed. Servers that started later are those of a release after it.
func (c *control) leaveOldVersions(now time.Time, s rollout.State) {
	var old []fleet.Incarnation
	for _, m := range c.fleet.Members() {
		startedBefore := m.Incarnation <= s.NoticedAt.Add(s.Within).UnixMilli()
		if m.Service == s.Service && m.Version != s.Version && startedBefore {
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
func (v *View) rolloutStates(now, since time.Time) []message.RolloutState {
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
