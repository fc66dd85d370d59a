package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/keyvalue"
	"apricotbridge/internal/lease"
)

// dutyRunner runs the state machine of one single-holder duty against the key-value
// service.
type dutyRunner struct {
	store keyValueStore
	state *lease.Duty
	// onAcquired and onLost are called from the goroutine of run.
	onAcquired func(fence uint64, ordersFrom time.Time)
	onLost     func(reason string)
	// afterStep is called after each step.
	afterStep func(ctx context.Context, now time.Time)
}

func (d *Daemon) newDutyRunner(name string, orderLifetime time.Duration) *dutyRunner {
	return &dutyRunner{store: d.KeyValue, state: lease.New(lease.Config{
		Name: name, Holder: d.Settings.Daemon, Incarnation: uint64(d.start), OrderLifetime: orderLifetime,
		Rand: rand.New(rand.NewPCG(d.Seed, uint64(d.start))),
	})}
}

// run steps the duty until the context is cancelled. After a drain has begun it
// releases the duty and then only waits for the context.
func (u *dutyRunner) run(ctx context.Context, draining <-chan struct{}) error {
	tick := time.NewTicker(controlTick)
	defer tick.Stop()
	for {
		var ev lease.Event = lease.Tick{}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-draining:
			ev, draining = lease.Resign{}, nil
		case <-tick.C:
		}
		if u.step(ctx, ev) {
			<-ctx.Done() // The duty is released, but the daemon keeps running.
			return ctx.Err()
		}
		u.afterStep(ctx, time.Now())
	}
}

// step applies an event and performs the resulting actions. It reports whether the
// duty was released.
func (u *dutyRunner) step(ctx context.Context, ev lease.Event) bool {
	actions := u.state.Step(time.Now(), ev)
	for _, a := range actions {
		switch a := a.(type) {
		case lease.Write:
			if u.step(ctx, u.write(ctx, a)) {
				return true
			}
		case lease.Read:
			e, err := u.store.Get(ctx, a.Key)
			failed := err != nil && !errors.Is(err, keyvalue.ErrNotFound)
			if u.step(ctx, lease.ReadBack{ID: a.ID, Entry: e, Failed: failed}) {
				return true
			}
		case lease.Acquired:
			u.onAcquired(a.Fence, a.OrdersFrom)
		case lease.Lost:
			u.onLost(a.Reason)
		case lease.Resigned:
			return true
		}
	}
	return false
}

func (u *dutyRunner) write(ctx context.Context, a lease.Write) lease.Event {
	e, err := u.store.CompareAndSwap(ctx, a.Key, a.Value, a.Revision, "")
	return lease.WriteEvent(a.ID, e, err)
}
