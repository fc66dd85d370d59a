package entry

import (
	"context"
	"sync"
	"time"
)

// activity counts the requests that callers wait for.
type activity struct {
	mu    sync.Mutex
	count int
	idle  chan struct{}
	// last is when a request began or ended last.
	last time.Time
}

func (a *activity) begin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count++
	a.last = time.Now()
}

func (a *activity) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count--
	a.last = time.Now()
	if a.count == 0 && a.idle != nil {
		close(a.idle)
		a.idle = nil
	}
}

// quiet returns how long there was no request.
func (a *activity) quiet(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.count > 0 {
		return 0
	}
	return now.Sub(a.last)
}

// empty returns a channel that is closed when no request is active.
func (a *activity) empty() <-chan struct{} {
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

// settle is how much longer than callers keep a list of entries a draining daemon
// goes on to answer, for peers that hear of the drain late and callers that get a
// list slowly.
const settle = 500 * time.Millisecond

// entriesKeep is how long callers may use a list of entries.
func (d *Daemon) entriesKeep() time.Duration { return d.Settings.EntriesKeep.Or(defaultEntriesKeep) }

const (
	// quietTime is how long a drained daemon has no request before it ends. A peer or a
	// caller that sent one to a daemon which ends meanwhile does not know whether it
	// ran.
	quietTime = 250 * time.Millisecond
	// quietTimeout bounds the wait for it, because callers with an old list of
	// entries may go on to send.
	quietTimeout = 3 * time.Second
	quietPoll    = 10 * time.Millisecond
)

// awaitQuiet waits until no request has come for a while and the answers to peers
// are written.
func (d *Daemon) awaitQuiet(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, quietTimeout)
	defer cancel()
	for ctx.Err() == nil && (d.active.quiet(time.Now()) < quietTime || !d.hub.Flushed()) {
		sleep(ctx, quietPoll)
	}
}

// Drain takes the daemon out of the list of entries at once, refuses new
// requests, and ends Run when the requests in flight have their answers or the
// deadline has come.
func (d *Daemon) Drain(ctx context.Context, deadline time.Time) {
	d.drainOnce.Do(func() {
		if deadline.IsZero() {
			deadline = time.Now().Add(d.Settings.DrainTimeout.Or(defaultDrainTimeout))
		}
		d.post(ctx, func(c *controlState, _ time.Time) {
			c.view.Draining = true
			c.daemons.Drain()
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
	moving := make(chan struct{})
	go func() {
		defer close(moving)
		d.handOverRequests(ctx, deadline)
	}()
	// A caller with an older list is told where to go. If the daemon ended earlier, a
	// request that it has just accepted would be cut off.
	sleep(ctx, d.entriesKeep()+settle)
	<-released
	select {
	case <-d.active.empty():
		d.awaitQuiet(ctx)
		d.Log.Info("drain complete")
	case <-ctx.Done():
		d.Log.Info("drain ended at its deadline")
	}
	cancel()
	<-moving
	close(d.drained)
}
