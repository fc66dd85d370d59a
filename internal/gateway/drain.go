package gateway

import (
	"context"
	"time"

	"apricotbridge/internal/fleet"
)

const (
	// lookupTime is how long callers may go on to use this daemon after it was
	// taken out of look-ups: the time for which they keep an answer.
	lookupTime = 5 * time.Second
	// streamTime is how long after the start of a drain new streams are taken. Later
	// ones might not end within the grace time.
	streamTime = 2500 * time.Millisecond
	// drainMargin is kept before SIGKILL for the end of the process.
	drainMargin = 400 * time.Millisecond
	// drainPoll is how often a drain looks for requests in flight.
	drainPoll = 20 * time.Millisecond
	// leavePart of the time that a leaving server has left is given to its runs
	// before they are moved.
	leavePart = 0.4
	// leaveTime is assumed for a leaving server that does not state its end.
	leaveTime = 3 * time.Second
)

// Drain takes the daemon out of use: look-ups name others at once, requests that
// still arrive are served while callers may have an old answer, and those in flight
// are waited for until shortly before the end of the grace time. It returns when
// nothing is in flight or the time is over.
func (g *Gateway) Drain(ctx context.Context) {
	if g.draining.Swap(true) {
		return
	}
	started := time.Now()
	g.drainStart.Store(&started)
	end := started.Add(g.Bounds.Grace - drainMargin)
	g.Log.Info("drain started", "InFlight", g.inFlight.Load(), "Until", end)
	g.post(func(c *control) { c.changed = true })
	g.broadcast(near)
	g.broadcast(far)
	pause(ctx, min(lookupTime, max(g.Bounds.Grace/2, 0)))
	for g.inFlight.Load() > 0 && time.Now().Before(end) {
		if !pause(ctx, drainPoll) {
			return
		}
	}
	g.Log.Info("drain ended", "InFlight", g.inFlight.Load(), "Took", time.Since(started))
	close(g.drained)
}

// accepting reports whether a request that arrives now is served.
func (g *Gateway) accepting(now time.Time, stream bool) bool {
	started := g.drainStart.Load()
	switch {
	case started == nil:
		return true
	case stream:
		return now.Sub(*started) < streamTime
	}
	return now.Sub(*started) < min(lookupTime, g.Bounds.Grace/2)
}

// serverLeaving moves the runs of a server that is leaving once they had a part of
// the time that is left to end by themselves.
func (g *Gateway) serverLeaving(now time.Time, m fleet.Member) {
	left := leaveTime
	if !m.Ends.IsZero() {
		left = m.Ends.Sub(now)
	}
	time.AfterFunc(time.Duration(float64(left)*leavePart), func() {
		stopped := g.dispatcher.StopServer(m.ID, m.Incarnation, 0)
		g.Log.Info("runs of a leaving server stopped", "Server", m.ID, "Runs", stopped)
	})
}
