package gateway

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/keyvalue"
	"apricotbridge/internal/rollout"
)

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
