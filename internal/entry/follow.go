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

// Periods of the goroutines that poll outside systems.
const (
	minInstanceListPeriod     = 500 * time.Millisecond
	registrationTTL           = 30 * time.Second
	registrationRenewPeriod   = 10 * time.Second
	minRegistrationListPeriod = 5 * time.Second
	// listedRegistrationsPerSecond bounds the transfer of registration lists: a row
	// takes 369 bytes, so that the lists take 1.5 KB/s; 380 rows every 5 s would take
	// 28 KB/s.
	listedRegistrationsPerSecond = 4
	// relistPeriod is the time to the next list after one that failed or lacked a
	// known daemon. It is under a third of membership.DaemonGrace, so that daemons
	// which register again after an outage are listed before they are removed.
	relistPeriod = 9 * time.Second
	// pollPeriod is the period of engine polls, and of checks whether this daemon has
	// become a relay.
	pollPeriod = time.Second
	// enginesPerPoll is the number of backend servers that a daemon polls in one
	// period. A poll takes 550 bytes, so that 16 a second would take half of the 17
	// KB/s that a daemon may use for control traffic; with 8, 380 daemons still poll
	// each of 920 servers three times a second.
	enginesPerPoll = 8
)

// ConfigurationKey is the key of the operators' configuration.
const ConfigurationKey = "config"

// registrationPrefix starts the keys of registrations.
const registrationPrefix = "daemons/"

// Registration is the record of a daemon in the key-value service.
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

// followInstances polls the instance list while this daemon is a relay.
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
			d.post(ctx, func(c *controlState, now time.Time) { c.applyInstanceList(now, called, list) })
		}
		sleep(ctx, instanceListPeriod(list))
	}
	return ctx.Err()
}

// instanceListPeriod limits the list transfer of a relay to about 3 of the 17 KB/s
// that a daemon may use for control traffic: a compressed instance takes 41 bytes.
// Relays read at different moments, so that with 12 of them some relay sees a change
// twelve times sooner.
func instanceListPeriod(l instances.List) time.Duration {
	const instancesPerSecond = 75
	return max(minInstanceListPeriod, time.Duration(len(l.Instances))*time.Second/instancesPerSecond)
}

// maintainRegistration keeps this daemon's registration under a lease and lists the
// other registrations.
func (d *Daemon) maintainRegistration(ctx context.Context) error {
	lease := "daemon-" + d.Settings.Daemon
	var lastRenewed, lastListed time.Time
	written, relist := Registration{}, false
	for ctx.Err() == nil {
		now := time.Now()
		if now.Sub(lastRenewed) > registrationRenewPeriod && d.KeyValue.Grant(ctx, lease, registrationTTL) == nil {
			if now.Sub(lastRenewed) > registrationTTL {
				written = Registration{} // The lease expired and deleted the key.
			}
			lastRenewed = now
		}
		if want := d.registration(); want != written && !lastRenewed.IsZero() {
			if err := d.writeRegistration(ctx, want, lease); err == nil {
				written = want
			}
		}
		if v := d.view.Load(); now.Sub(lastListed) >= registrationListPeriod(len(v.Daemons), relist || v.missingDaemons > 0) {
			relist = d.listRegistrations(ctx) != nil
			lastListed = now
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

// registrationListPeriod returns the time between two lists of registrations. Peers
// announce new and leaving daemons sooner; the list serves to remove those that died.
func registrationListPeriod(daemons int, relist bool) time.Duration {
	period := max(minRegistrationListPeriod, time.Duration(daemons)*time.Second/listedRegistrationsPerSecond)
	if relist {
		return min(period, relistPeriod)
	}
	return period
}

func (d *Daemon) listRegistrations(ctx context.Context) error {
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
	d.post(ctx, func(c *controlState, now time.Time) { c.daemons.ApplyList(now, listed) })
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

// pollEngines polls enginesPerPoll engines each second, in rotation over all of them.
func (d *Daemon) pollEngines(ctx context.Context) error {
	offset := 0
	lastEvents := map[string]int64{}
	for ctx.Err() == nil {
		engines := d.servingEngines()
		for i := range min(enginesPerPoll, len(engines)) {
			m := engines[(offset+i)%len(engines)]
			d.pollEngine(ctx, m, lastEvents)
		}
		if len(engines) > 0 {
			offset = (offset + enginesPerPoll) % len(engines)
		}
		sleep(ctx, pollPeriod)
	}
	return ctx.Err()
}

// servingEngines returns the model engines that are serving.
func (d *Daemon) servingEngines() []membership.Member {
	v := d.view.Load()
	var engines []membership.Member
	for _, m := range v.Members {
		if s := v.Index.serviceOrNil(m.Service); s != nil && s.Kind == config.ServiceKindModel && m.State == membership.Serving {
			engines = append(engines, m)
		}
	}
	return engines
}

func (x *Index) serviceOrNil(name string) *config.Service {
	if x == nil {
		return nil
	}
	return x.services[name]
}

// pollEngine reads the load and the cache events of one engine. lastEvents has the
// number of the last event read, by server.
func (d *Daemon) pollEngine(ctx context.Context, m membership.Member, lastEvents map[string]int64) {
	load, err := d.Engine.Load(ctx, m.Address)
	if err != nil {
		if errors.Is(err, engine.ErrNotStarted) {
			d.reportSuspect(routing.Server{ID: m.Server, Incarnation: m.Incarnation})
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
	d.tryPost(func(c *controlState, now time.Time) {
		c.applySignal(now, membership.Signal{Source: membership.Engine, Member: m})
	})
	events, err := d.Engine.CacheEvents(ctx, m.Address, lastEvents[m.Server])
	if err != nil {
		return // Events are hints; the next poll reads them.
	}
	for _, e := range events {
		lastEvents[m.Server] = max(lastEvents[m.Server], e.Number)
		kind := routing.CacheStored
		if e.Evicted {
			kind = routing.CacheEvicted
		}
		d.dispatcher.CacheEvent(now, routing.CacheEvent{
			Server: m.Server, Incarnation: m.Incarnation, Kind: kind, Blocks: []uint64{e.Block}, At: e.At,
		})
	}
}

// newBackoff returns a randomised backoff, so that daemons do not retry together when
// the key-value service returns.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 100 * time.Millisecond
	b.MaxInterval = 5 * time.Second
	return b
}

// sleep waits for d or until the context is cancelled.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
