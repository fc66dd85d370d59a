package entry

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"apricotbridge/internal/keyvalue"
	"apricotbridge/internal/ledger"
	"apricotbridge/internal/membership"
	"apricotbridge/internal/registrar"
)

// shardsKey holds the number of ledger shards. It is written once: a daemon that used
// another number would look for a key in another shard and run its order again.
const shardsKey = "ledger/shards"

// shardCandidates is the number of daemons that watch the tail of a shard. If all of
// 380 daemons watched 16 shards, the tails would take 800 reads a second.
const shardCandidates = 3

// runLedger runs the ledger shards of this daemon once a configuration is in force.
func (d *Daemon) runLedger(ctx context.Context) error {
	shards, err := d.shardCount(ctx)
	if err != nil {
		return err
	}
	c := d.view.Load().Index.Config.Ledger
	reg := &registrar.Registrar{
		Daemon: d.Settings.Daemon, Incarnation: uint64(d.start), Shards: shards, Store: d.KeyValue, Dispatcher: d,
		Lease:            d.Settings.LedgerLease.Or(registrar.DefaultLease),
		TakeoverPosition: d.takeoverPosition, Gone: func(daemon string) bool { return !d.isReachable(daemon) }, Reachable: d.isReachable,
		OnResign: func(shard int, r ledger.Resign) {
			d.Log.Info("ledger shard not held", "Shard", shard, "Reason", r.Reason, "Successor", r.Successor)
		},
	}
	if c != nil {
		reg.Retention, reg.WritesPerSecond = c.Retention.Or(ledger.DefaultRetention), c.WritesPerSecond
	}
	d.registrar.Store(reg)
	return reg.Run(ctx)
}

// shardCount returns the stored number of shards. The first daemon stores the
// configured one.
func (d *Daemon) shardCount(ctx context.Context) (int, error) {
	retryDelay := newBackoff()
	for ctx.Err() == nil {
		v := d.view.Load()
		if v.Index == nil {
			sleep(ctx, controlTick)
			continue
		}
		e, err := d.KeyValue.Get(ctx, shardsKey)
		if errors.Is(err, keyvalue.ErrNotFound) {
			_, _ = d.KeyValue.CompareAndSwap(ctx, shardsKey, []byte(strconv.Itoa(configuredShardCount(v))), 0, "")
			continue // The next read shows which daemon's write succeeded.
		}
		if err != nil {
			sleep(ctx, retryDelay.NextBackOff())
			continue
		}
		n, err := strconv.Atoi(string(e.Value))
		if err != nil || n < 1 {
			return 0, errors.Errorf("key %q has %q, which is not a number of shards", shardsKey, e.Value)
		}
		if n != configuredShardCount(v) {
			d.Log.Info("number of ledger shards can't change", "Configured", configuredShardCount(v), "InForce", n)
		}
		return n, nil
	}
	return 0, ctx.Err()
}

func configuredShardCount(v *View) int {
	if c := v.Index.Config.Ledger; c != nil && c.Shards > 0 {
		return c.Shards
	}
	return registrar.DefaultShards
}

// takeoverPosition returns the position of this daemon in the takeover order of a
// shard, by rendezvous hash over the daemons that are not draining. It returns -1
// when the daemon is no candidate.
func (d *Daemon) takeoverPosition(shard int) int {
	v := d.view.Load()
	if v.Draining {
		return -1
	}
	own, higher := shardWeight(shard, d.Settings.Daemon), 0
	for _, other := range v.Daemons {
		if other.ID != d.Settings.Daemon && !other.Draining && shardWeight(shard, other.ID) > own {
			higher++
		}
	}
	if higher >= shardCandidates {
		return -1
	}
	return higher
}

func shardWeight(shard int, daemon string) uint64 {
	return xxhash.Sum64String(strconv.Itoa(shard) + "\x00" + daemon)
}

// isReachable reports whether a daemon is known and reachable.
func (d *Daemon) isReachable(id string) bool { return d.view.Load().reachable[id] }

// daemonByID returns a known daemon.
func (v *View) daemonByID(id string) (membership.Daemon, bool) {
	for _, other := range v.Daemons {
		if other.ID == id {
			return other, true
		}
	}
	return membership.Daemon{}, false
}

// releaseLedger hands off the ledger shards of this daemon.
func (d *Daemon) releaseLedger(ctx context.Context, deadline time.Time) {
	reg := d.registrar.Load()
	if reg == nil {
		return
	}
	if err := reg.HandOff(ctx, deadline); err != nil {
		d.Log.Info("ledger shards not released in time", "Error", err.Error())
	}
}
