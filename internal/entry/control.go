package entry

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/juju/errors"

	"apricotbridge/internal/instances"
	"apricotbridge/internal/keyvalue"
	"apricotbridge/pkg/config"
)

// Periods of the control goroutines.
const (
	instancePeriod   = 500 * time.Millisecond
	registrationTTL  = 30 * time.Second
	registrationTick = 10 * time.Second
	peerPeriod       = 2 * time.Second
)

// ConfigurationKey is the key of the operators' configuration.
const ConfigurationKey = "config"

// registrationPrefix starts the keys of registrations.
const registrationPrefix = "daemons/"

// control state changes by events only; each runs in the control goroutine.
type event func(c *controlState, now time.Time)

// controlState is owned by the control goroutine.
type controlState struct {
	d    *Daemon
	view View
}

// post hands an event to the control goroutine and waits while its queue is full.
func (d *Daemon) post(ctx context.Context, e event) {
	select {
	case d.events <- e:
	case <-ctx.Done():
	}
}

// control applies events one by one and publishes a new view after each.
func (d *Daemon) control(ctx context.Context) error {
	c := &controlState{d: d}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-d.events:
			e(c, time.Now())
			view := c.view
			d.view.Store(&view)
		}
	}
}

// adopt takes over a configuration. Revisions only rise, and one that cannot be
// read leaves the last good one in force.
func (c *controlState) adopt(revision int64, text []byte) {
	if revision <= c.view.Revision {
		return
	}
	parsed, err := config.Parse(text)
	if err != nil {
		c.d.Log.Error(err, "configuration refused; the last good one stays in force", "Revision", revision, "InForce", c.view.Revision)
		return
	}
	c.view.Revision, c.view.Index = revision, NewIndex(parsed)
	c.d.Log.Info("configuration adopted", "Revision", revision)
}

// followConfiguration reads the configuration and waits for newer ones.
func (d *Daemon) followConfiguration(ctx context.Context) error {
	wait := newBackoff()
	after := int64(0)
	for ctx.Err() == nil {
		if after == 0 {
			e, err := d.KeyValue.Get(ctx, ConfigurationKey)
			switch {
			case err == nil:
				d.post(ctx, func(c *controlState, _ time.Time) { c.adopt(e.Revision, e.Value) })
				after = e.Revision
			case !errors.Is(err, keyvalue.ErrNotFound):
				d.Log.V(1).Info("configuration not read", "Error", err.Error())
				sleep(ctx, wait.NextBackOff())
				continue
			}
		}
		entries, revision, err := d.KeyValue.Watch(ctx, ConfigurationKey, after)
		if err != nil {
			sleep(ctx, wait.NextBackOff())
			continue
		}
		wait.Reset()
		after = max(after, revision)
		for _, e := range entries {
			if e.Key == ConfigurationKey && !e.Deleted {
				d.post(ctx, func(c *controlState, _ time.Time) { c.adopt(e.Revision, e.Value) })
			}
		}
	}
	return ctx.Err()
}

// followInstances reads the instance list.
func (d *Daemon) followInstances(ctx context.Context) error {
	for ctx.Err() == nil {
		list, err := d.Instances.List(ctx)
		if err != nil {
			d.Log.V(1).Info("instance list not read", "Error", err.Error())
		} else {
			d.post(ctx, func(c *controlState, _ time.Time) { c.listed(list) })
		}
		sleep(ctx, instancePeriod)
	}
	return ctx.Err()
}

func (c *controlState) listed(list instances.List) {
	servers := append([]instances.Instance(nil), list.Instances...)
	sort.Slice(servers, func(i, j int) bool { return servers[i].ID < servers[j].ID })
	c.view.Servers = servers
}

// register keeps this daemon's registration alive under a lease and reads those
// of the others.
func (d *Daemon) register(ctx context.Context) error {
	lease := "daemon-" + d.Settings.Daemon
	var renewed time.Time
	written := Registration{}
	for ctx.Err() == nil {
		if time.Since(renewed) > registrationTick {
			if err := d.KeyValue.Grant(ctx, lease, registrationTTL); err == nil {
				renewed = time.Now()
			}
		}
		want := d.registration()
		if want != written && !renewed.IsZero() {
			if err := d.writeRegistration(ctx, want, lease); err == nil {
				written = want
			}
		}
		entries, _, err := d.KeyValue.List(ctx, registrationPrefix)
		if err == nil {
			d.post(ctx, func(c *controlState, _ time.Time) { c.registered(entries) })
		}
		sleep(ctx, peerPeriod)
	}
	return ctx.Err()
}

func (d *Daemon) registration() Registration {
	return Registration{
		Daemon: d.Settings.Daemon, Region: d.Settings.Region, Place: d.Settings.Place,
		CallerAddress: d.addrs.caller, OperatorAddress: d.addrs.operator, Draining: d.view.Load().Draining,
	}
}

func (d *Daemon) writeRegistration(ctx context.Context, r Registration, lease string) error {
	value, err := json.Marshal(r)
	if err != nil {
		return errors.Annotate(err, "encode registration")
	}
	key := registrationPrefix + d.Settings.Daemon
	current, err := d.KeyValue.Get(ctx, key)
	if err != nil && !errors.Is(err, keyvalue.ErrNotFound) {
		return err
	}
	_, err = d.KeyValue.CompareAndSwap(ctx, key, value, current.Revision, lease)
	return err
}

func (c *controlState) registered(entries []keyvalue.Entry) {
	var peers []Registration
	for _, e := range entries {
		var r Registration
		if err := json.Unmarshal(e.Value, &r); err != nil {
			c.d.Log.Error(err, "registration cannot be read", "Key", e.Key)
			continue
		}
		peers = append(peers, r)
	}
	c.view.Peers = peers
}

// newBackoff spreads retries, so that daemons do not call together when the
// key-value service returns.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 100 * time.Millisecond
	b.MaxInterval = 5 * time.Second
	return b
}

// sleep waits or returns early when the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
