package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/juju/errors"

	"apricotbridge/internal/engine"
	"apricotbridge/internal/instances"
	"apricotbridge/internal/keyvalue"
	"apricotbridge/internal/membership"
	"apricotbridge/internal/routing"
	"apricotbridge/pkg/config"
)

// Periods of the goroutines that follow outside systems.
const (
	instancePeriod   = 500 * time.Millisecond
	registrationTTL  = 30 * time.Second
	registrationTick = 10 * time.Second
	daemonsPeriod    = 5 * time.Second
	// registrationsPerSecond bounds the rows of the listed registrations. A row takes
	// 369 bytes, so that the lists take 1.5 KB/s; 380 rows each 5 s would take 28 KB/s.
	registrationsPerSecond = 4
	// relistPeriod is the time to the next list after one that failed or lacked a
	// known daemon. It is under a third of membership.DaemonGrace, so that daemons which
	// register anew after an outage are seen before they are removed.
	relistPeriod = 9 * time.Second
	pollPeriod   = time.Second
	// polledServers is the subset of backend servers that a daemon polls. A poll takes
	// 550 bytes, so that 16 each second would take half of the 17 KB/s for control;
	// with 8, 380 daemons still poll each of 920 servers three times a second.
	polledServers = 8
)

// ConfigurationKey is the key of the operators' configuration.
const ConfigurationKey = "config"

// registrationPrefix starts the keys of registrations.
const registrationPrefix = "daemons/"

// Registration is what a daemon writes of itself to the key-value service.
type Registration struct {
	Daemon          string `json:"Daemon"`
	Start           int64  `json:"Start"`
	Region          string `json:"Region"`
	Place           string `json:"Place"`
	CallerAddress   string `json:"CallerAddress"`
	PeerAddress     string `json:"PeerAddress"`
	OperatorAddress string `json:"OperatorAddress"`
	Draining        bool   `json:"Draining,omitempty"`
}

// followInstances reads the instance list.
func (d *Daemon) followInstances(ctx context.Context) error {
	for ctx.Err() == nil {
		if !d.view.Load().Relay {
			sleep(ctx, pollPeriod)
			continue
		}
		called := time.Now()
		list, err := d.Instances.List(ctx)
		if err != nil {
			d.Log.V(1).Info("instance list not read", "Error", err.Error())
		} else {
			d.post(ctx, func(c *controlState, now time.Time) { c.listed(now, called, list) })
		}
		sleep(ctx, listPeriod(list))
	}
	return ctx.Err()
}

// listPeriod keeps the transfer of the list at a relay near 3 of the 17 KB/s for
// control: a compressed instance takes 41 bytes. The relays read at different moments,
// so that with 12 of them some relay sees a change twelve times sooner.
func listPeriod(l instances.List) time.Duration {
	const instancesPerSecond = 75
	return max(instancePeriod, time.Duration(len(l.Instances))*time.Second/instancesPerSecond)
}

// register keeps this daemon's registration alive under a lease and reads those
// of the others.
func (d *Daemon) register(ctx context.Context) error {
	lease := "daemon-" + d.Settings.Daemon
	var renewed, listed time.Time
	written, again := Registration{}, false
	for ctx.Err() == nil {
		now := time.Now()
		if now.Sub(renewed) > registrationTick && d.KeyValue.Grant(ctx, lease, registrationTTL) == nil {
			if now.Sub(renewed) > registrationTTL {
				written = Registration{} // The lease lapsed, and the key with it.
			}
			renewed = now
		}
		if want := d.registration(); want != written && !renewed.IsZero() {
			if err := d.writeRegistration(ctx, want, lease); err == nil {
				written = want
			}
		}
		if v := d.view.Load(); now.Sub(listed) >= listAfter(len(v.Daemons), again || v.missing > 0) {
			again = d.listDaemons(ctx) != nil
			listed = now
		}
		select {
		case <-time.After(time.Second):
		case <-d.draining:
			sleep(ctx, 50*time.Millisecond)
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// listAfter returns the time between two lists of registrations with the given
// number of daemons. Peers tell of new and leaving daemons sooner; the list removes
// those that died.
func listAfter(daemons int, again bool) time.Duration {
	period := max(daemonsPeriod, time.Duration(daemons)*time.Second/registrationsPerSecond)
	if again {
		return min(period, relistPeriod)
	}
	return period
}

func (d *Daemon) listDaemons(ctx context.Context) error {
	entries, _, err := d.KeyValue.List(ctx, registrationPrefix)
	if err != nil {
		return err
	}
	var listed []membership.Daemon
	for _, e := range entries {
		var r Registration
		if err := json.Unmarshal(e.Value, &r); err != nil {
			d.Log.Error(err, "registration cannot be read", "Key", e.Key)
			continue
		}
		listed = append(listed, membership.Daemon{
			ID: r.Daemon, Start: r.Start, Place: r.Place, Region: r.Region,
			PeerAddress: r.PeerAddress, CallerAddress: r.CallerAddress, Draining: r.Draining,
		})
	}
	d.post(ctx, func(c *controlState, now time.Time) { c.daemons.List(now, listed) })
	return nil
}

func (d *Daemon) registration() Registration {
	return Registration{
		Daemon: d.Settings.Daemon, Start: d.start, Region: d.Settings.Region, Place: d.Settings.Place,
		CallerAddress: d.addrs.caller, PeerAddress: d.addrs.peer, OperatorAddress: d.addrs.operator,
		Draining: d.view.Load().Draining,
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

// pollEngines reads the load of a subset of the engines each second. The subset
// moves on, so that each engine has its turn.
func (d *Daemon) pollEngines(ctx context.Context) error {
	next := 0
	seen := map[string]int64{}
	for ctx.Err() == nil {
		engines := d.engines()
		for i := range min(polledServers, len(engines)) {
			m := engines[(next+i)%len(engines)]
			d.pollEngine(ctx, m, seen)
		}
		if len(engines) > 0 {
			next = (next + polledServers) % len(engines)
		}
		sleep(ctx, pollPeriod)
	}
	return ctx.Err()
}

// engines returns the serving model engines.
func (d *Daemon) engines() []membership.Member {
	v := d.view.Load()
	var found []membership.Member
	for _, m := range v.Members {
		if s := v.Index.serviceOf(m.Service); s != nil && s.Kind == config.ServiceKindModel && m.State == membership.Serving {
			found = append(found, m)
		}
	}
	return found
}

func (x *Index) serviceOf(name string) *config.Service {
	if x == nil {
		return nil
	}
	return x.services[name]
}

// pollEngine takes the load and the cache events of one engine. seen holds the
// number of the last event by server.
func (d *Daemon) pollEngine(ctx context.Context, m membership.Member, seen map[string]int64) {
	load, err := d.Engine.Load(ctx, m.Address)
	if err != nil {
		if errors.Is(err, engine.ErrNotStarted) {
			d.suspect(routing.Server{ID: m.Server, Incarnation: m.Incarnation})
		}
		return
	}
	now := time.Now()
	d.dispatcher.Report(now, load.AsOf, m.Server, m.Incarnation, routing.Load{Running: load.Running, Waiting: load.Waiting})
	state := membership.Serving
	if load.Leaving {
		state = membership.Leaving
	}
	m.State = state
	d.tell(func(c *controlState, now time.Time) {
		c.signal(now, membership.Signal{Source: membership.Engine, Member: m})
	})
	events, err := d.Engine.CacheEvents(ctx, m.Address, seen[m.Server])
	if err != nil {
		return // Events are hints; the next poll brings them.
	}
	for _, e := range events {
		seen[m.Server] = max(seen[m.Server], e.Number)
		kind := routing.CacheStored
		if e.Evicted {
			kind = routing.CacheEvicted
		}
		d.dispatcher.CacheEvent(now, routing.CacheEvent{
			Server: m.Server, Incarnation: m.Incarnation, Kind: kind, Blocks: []uint64{e.Block}, At: e.At,
		})
	}
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
