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

// shardsKey holds the number of ledger shards. It is written once, because a
// daemon that counted with another number would look for a key in another shard
// and run its order again.
const shardsKey = "ledger/shards"

// shardCandidates is how many daemons watch the tail of a shard. With all of 380
// watching 16 shards, the tails would take 800 reads a second.
const shardCandidates = 3

// runLedger runs the ledger shards of this daemon once a configuration is in
// force.
func (d *Daemon) runLedger(ctx context.Context) error {
	shards, err := d.ledgerShards(ctx)
	if err != nil {
		return err
	}
	c := d.view.Load().Index.Config.Ledger
	reg := &registrar.Registrar{
		Daemon: d.Settings.Daemon, Incarnation: uint64(d.start), Shards: shards, Store: d.KeyValue, Dispatcher: d,
		Lease:     d.Settings.LedgerLease.Or(registrar.DefaultLease),
		Candidate: d.candidate, Gone: func(daemon string) bool { return !d.alive(daemon) }, Reached: d.alive,
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

// ledgerShards returns the number of shards, which the first daemon writes.
func (d *Daemon) ledgerShards(ctx context.Context) (int, error) {
	wait := newBackoff()
	for ctx.Err() == nil {
		v := d.view.Load()
		if v.Index == nil {
			sleep(ctx, controlTick)
			continue
		}
		e, err := d.KeyValue.Get(ctx, shardsKey)
		if errors.Is(err, keyvalue.ErrNotFound) {
			_, _ = d.KeyValue.CompareAndSwap(ctx, shardsKey, []byte(strconv.Itoa(configuredShards(v))), 0, "")
			continue // The next read tells which daemon's write took effect.
		}
		if err != nil {
			sleep(ctx, wait.NextBackOff())
			continue
		}
		n, err := strconv.Atoi(string(e.Value))
		if err != nil || n < 1 {
			return 0, errors.Errorf("key %q has %q, which is not a number of shards", shardsKey, e.Value)
		}
		if n != configuredShards(v) {
			d.Log.Info("number of ledger shards can't change", "Configured", configuredShards(v), "InForce", n)
		}
		return n, nil
	}
	return 0, ctx.Err()
}

func configuredShards(v *View) int {
	if c := v.Index.Config.Ledger; c != nil && c.Shards > 0 {
		return c.Shards
	}
	return registrar.DefaultShards
}

// candidate returns the place of this daemon in the takeover order of a shard, by
// rendezvous hash over the daemons that stay.
func (d *Daemon) candidate(shard int) int {
	v := d.view.Load()
	if v.Draining {
		return -1
	}
	own, before := shardWeight(shard, d.Settings.Daemon), 0
	for _, other := range v.Daemons {
		if other.ID != d.Settings.Daemon && !other.Draining && shardWeight(shard, other.ID) > own {
			before++
		}
	}
	if before >= shardCandidates {
		return -1
	}
	return before
}

func shardWeight(shard int, daemon string) uint64 {
	return xxhash.Sum64String(strconv.Itoa(shard) + "\x00" + daemon)
}

// alive reports whether a daemon is known and reached.
func (d *Daemon) alive(id string) bool { return d.view.Load().reached[id] }

// daemon returns a known daemon.
func (v *View) daemon(id string) (membership.Daemon, bool) {
	for _, other := range v.Daemons {
		if other.ID == id {
			return other, true
		}
	}
	return membership.Daemon{}, false
}

// releaseLedger hands the shards of this daemon to others.
func (d *Daemon) releaseLedger(ctx context.Context, deadline time.Time) {
	reg := d.registrar.Load()
	if reg == nil {
		return
	}
	if err := reg.HandOff(ctx, deadline); err != nil {
		d.Log.Info("ledger shards not released in time", "Error", err.Error())
	}
}
