package entry

import (
	"context"
	"sync"
	"time"
)

// activity counts the requests in progress.
type activity struct {
	mu    sync.Mutex
	count int
	idle  chan struct{}
	// lastChange is when the latest request began or ended.
	lastChange time.Time
}

func (a *activity) begin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count++
	a.lastChange = time.Now()
}

func (a *activity) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count--
	a.lastChange = time.Now()
	if a.count == 0 && a.idle != nil {
		close(a.idle)
		a.idle = nil
	}
}

// idleFor returns for how long there has been no request.
func (a *activity) idleFor(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.count > 0 {
		return 0
	}
	return now.Sub(a.lastChange)
}

// whenIdle returns a channel that is closed when no request is active.
func (a *activity) whenIdle() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	closed := make(chan struct{})
	if a.count == 0 {
		close(closed)
		return closed
	}
	if a.idle == nil {
		a.idle = make(chan struct{})
	}
	return a.idle
}

// drainGrace is how long a draining daemon keeps serving after the lists of entries
// at callers have expired. It covers peers that learn of the drain late and callers
// that receive a list slowly.
const drainGrace = 500 * time.Millisecond

// entriesKeep returns how long callers may use a list of entries.
func (d *Daemon) entriesKeep() time.Duration { return d.Settings.EntriesKeep.Or(defaultEntriesKeep) }

const (
	// drainIdleTime is how long a drained daemon must be idle before it exits. A peer
	// or caller whose request is cut off by the exit can't know whether it ran.
	drainIdleTime = 250 * time.Millisecond
	// drainIdleTimeout bounds the wait for idleness, because callers with an old list
	// of entries may keep sending.
	drainIdleTimeout = 3 * time.Second
	drainIdlePoll    = 10 * time.Millisecond
)

// awaitIdle waits until the daemon has been idle for drainIdleTime and the responses
// to peers are written.
func (d *Daemon) awaitIdle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainIdleTimeout)
	defer cancel()
	for ctx.Err() == nil && (d.activeRequests.idleFor(time.Now()) < drainIdleTime || !d.hub.Flushed()) {
		sleep(ctx, drainIdlePoll)
	}
}

// Drain removes the daemon from the list of entries at once, refuses new requests,
// and ends Run when all requests in flight are answered or the deadline has passed.
func (d *Daemon) Drain(ctx context.Context, deadline time.Time) {
	d.drainOnce.Do(func() {
		if deadline.IsZero() {
			deadline = time.Now().Add(d.Settings.DrainTimeout.Or(defaultDrainTimeout))
		}
		d.post(ctx, func(c *controlState, now time.Time) {
			c.view.Draining = true
			c.daemons.Drain()
			// drainGrace is shorter than digestPeriod, so peers can't wait for the next digest.
			c.exchange.lastDigestAt = time.Time{}
			c.gossip(now)
		})
		close(d.draining)
		d.Log.Info("drain started", "Deadline", deadline)
		go d.finishDrain(ctx, deadline)
	})
}

func (d *Daemon) finishDrain(ctx context.Context, deadline time.Time) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	released := make(chan struct{})
	go func() {
		defer close(released)
		d.releaseLedger(ctx, deadline)
	}()
	handedOver := make(chan struct{})
	go func() {
		defer close(handedOver)
		d.handOverRequests(ctx, deadline)
	}()
	// Callers with an old list of entries are still refused with the entries to use
	// instead. An earlier exit would cut off a request that was just accepted.
	sleep(ctx, d.entriesKeep()+drainGrace)
	<-released
	select {
	case <-d.activeRequests.whenIdle():
		d.awaitIdle(ctx)
		d.hub.Leave(ctx)
		d.Log.Info("drain complete")
	case <-ctx.Done():
		d.Log.Info("drain ended at its deadline")
	}
	cancel()
	<-handedOver
	close(d.drained)
}
