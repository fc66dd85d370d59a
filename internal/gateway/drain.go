package gateway

import (
	"context"
	"time"
)

const (
	// lookupCacheTime is how long callers cache the addresses of daemons, and so may
	// still send requests to a daemon that is no longer returned.
	lookupCacheTime = 5 * time.Second
	// newStreamsTime is how long after the start of a drain new streams are accepted.
	// Later ones might not end within the grace period.
	newStreamsTime = 2500 * time.Millisecond
	// earlyShare is the share of the grace period in which requests are accepted whatever time
	// they may take. Later ones have to end within it.
	earlyShare = 0.25
	// drainMargin is kept between the end of the drain and SIGKILL, for the process to
	// exit.
	drainMargin = 400 * time.Millisecond
	// drainPollInterval is the time between checks for requests in flight.
	drainPollInterval = 20 * time.Millisecond
)

// Drain takes the daemon out of service. Callers are given other addresses at once;
// requests that still arrive are served while callers may have cached this address. It
// returns when no request is in flight and the callers' connections are closed, or shortly
// before the end of the grace period. Requests that have no answer by then get one that says
// so.
func (g *Gateway) Drain(ctx context.Context) {
	if g.draining.Swap(true) {
		return
	}
	started := time.Now()
	g.drainStart.Store(&started)
	end := started.Add(g.Bounds.GracePeriod - drainMargin)
	g.Log.Info("drain started", "InFlight", g.inFlight.Load(), "Until", end)
	g.post(func(c *control) { c.changed = true })
	g.broadcast(nearPeers)
	g.broadcast(farPeers)
	sleep(ctx, min(lookupCacheTime, max(g.Bounds.GracePeriod/2, 0)))
	for g.inFlight.Load() > 0 && time.Now().Before(end) {
		if !sleep(ctx, drainPollInterval) {
			return
		}
	}
	g.Log.Info("drain ended", "InFlight", g.inFlight.Load(), "Took", time.Since(started))
	g.endDrain()
	select {
	case <-g.callersServed:
	case <-ctx.Done():
	}
}

// accepting reports whether a request that arrives at now, and has to be answered by a deadline,
// is served. One that might not end before this daemon does is better sent to another.
func (g *Gateway) accepting(now, deadline time.Time, stream bool) bool {
	started := g.drainStart.Load()
	if started == nil {
		return true
	}
	age := now.Sub(*started)
	switch {
	case stream:
		return age < newStreamsTime
	case age >= min(lookupCacheTime, g.Bounds.GracePeriod/2):
		return false
	}
	return age < time.Duration(earlyShare*float64(g.Bounds.GracePeriod)) || !deadline.After(started.Add(g.Bounds.GracePeriod-drainMargin))
}
