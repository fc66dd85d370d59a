package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/keyvalue"
	"apricotbridge/internal/lease"
)

// duty runs the state machine of one single-holder duty against the key-value
// service.
type duty struct {
	store keyValueStore
	state *lease.Duty
	// acquired and lost are told of the holding, from the goroutine of run.
	acquired func(fence uint64, ordersFrom time.Time)
	lost     func(reason string)
	// each is called after each step with the time.
	each func(ctx context.Context, now time.Time)
}

func (d *Daemon) newDuty(name string, orderLifetime time.Duration) *duty {
	return &duty{store: d.KeyValue, state: lease.New(lease.Config{
		Name: name, Holder: d.Settings.Daemon, Incarnation: uint64(d.start), OrderLifetime: orderLifetime,
		Rand: rand.New(rand.NewPCG(d.Seed, uint64(d.start))),
	})}
}

// run steps the duty until the context ends or, after a drain has begun, until it
// is released.
func (u *duty) run(ctx context.Context, draining <-chan struct{}) error {
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
			<-ctx.Done() // The duty is over; the daemon is not.
			return ctx.Err()
		}
		u.each(ctx, time.Now())
	}
}

// step applies an event and performs the actions that follow from it. It reports
// whether the duty is over.
func (u *duty) step(ctx context.Context, ev lease.Event) bool {
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
			u.acquired(a.Fence, a.OrdersFrom)
		case lease.Lost:
			u.lost(a.Reason)
		case lease.Resigned:
			return true
		}
	}
	return false
}

func (u *duty) write(ctx context.Context, a lease.Write) lease.Event {
	e, err := u.store.CompareAndSwap(ctx, a.Key, a.Value, a.Revision, "")
	return lease.Written(a.ID, e, err)
}
