package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/adoption"
	"apricotbridge/internal/keyvalue"
	"apricotbridge/internal/message"
	"apricotbridge/internal/peer"
	"apricotbridge/pkg/config"
)

// configurationPoll is how often each daemon of a data centre reads the key when
// no peer showed a newer revision, for each daemon there. The poll serves a place
// whose relays have died; pushes and digests carry all other changes. Reads are no
// more often than configurationPollBytes a second allow: six daemons that read 50 KB
// every 500 ms would receive 100 KB/s each.
const (
	configurationPoll      = 500 * time.Millisecond
	configurationPollBytes = 2 << 10
)

// pollAfter returns the time between reads of a configuration of the given size.
func pollAfter(near, size int) time.Duration {
	return max(configurationPoll*time.Duration(max(1, near)), time.Duration(size)*time.Second/configurationPollBytes)
}

// newAdoption returns the state that decides which configuration is in force.
func newAdoption(d *Daemon) adoption.State {
	return adoption.State{
		Parse: func(value []byte) error {
			_, err := config.Parse(value)
			return err
		},
		Rand: rand.New(rand.NewPCG(d.Seed, uint64(d.start))),
	}
}

// offer takes a revision that was read or pushed, or the number that a digest
// shows.
func (c *controlState) offer(now time.Time, r adoption.Revision, from adoption.Source) {
	c.act(c.adoption.Offer(now, r, from))
	_, confirmed := c.adoption.InForce()
	c.view.Confirmed = confirmed.String()
}

// act performs what adoption asks for.
func (c *controlState) act(actions []adoption.Action) {
	for _, a := range actions {
		switch a.Verb {
		case adoption.Adopt:
			c.adopt(a.Revision)
		case adoption.PushTo:
			m := message.Configuration{Revision: a.Revision.Number, Value: message.Pack(a.Revision.Value)}
			for _, id := range a.Peers {
				c.answered(id, peer.Send(c.d.hub, id, message.KindConfiguration, m))
			}
		case adoption.Fetch:
			for _, id := range a.Peers {
				c.answered(id, peer.Send(c.d.hub, id, message.KindFetch, message.Fetch{Above: c.adoption.Shown()}))
			}
		case adoption.Alarm:
			c.view.Alarm = a.Reason
			c.d.Log.Error(nil, "configuration alarm", "Reason", a.Reason, "Revision", a.Revision.Number, "InForce", c.view.Revision)
		case adoption.Read:
			select {
			case c.d.reads <- struct{}{}:
			default: // A read is under way.
			}
		}
	}
}

// adopt puts a configuration in force.
func (c *controlState) adopt(r adoption.Revision) {
	parsed, err := config.Parse(r.Value)
	if err != nil { // Adoption has parsed it before.
		c.d.Log.Error(err, "configuration refused", "Revision", r.Number)
		return
	}
	c.view.Revision, c.view.Index, c.view.Alarm = r.Number, NewIndex(parsed), ""
	c.d.dispatcher.Configure(c.view.Index.admissionRanks(), c.view.Index.admissionOrganisations(), c.view.Index.quarantineLimits())
	c.stale = true
	c.d.Log.Info("configuration adopted", "Revision", r.Number)
}

// linkAdoption tells adoption which peers have a link.
func (c *controlState) linkAdoption() {
	var peers []adoption.Peer
	near := 0
	for _, p := range c.d.hub.Peers() {
		peers = append(peers, adoption.Peer{ID: p.Daemon, Near: p.Place == c.d.Settings.Place})
	}
	for _, other := range c.view.Daemons {
		if other.Place == c.d.Settings.Place {
			near++
		}
	}
	slices.SortFunc(peers, func(a, b adoption.Peer) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	c.adoption.Poll = pollAfter(near, len(c.adoption.Held().Value))
	c.adoption.SetPeers(peers)
}

// readConfiguration performs the reads that adoption asks for.
func (d *Daemon) readConfiguration(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.reads:
		}
		d.readOnce(ctx)
	}
}

// readOnce reads the configuration, or asks whether it has changed when one is in
// force: at the design size the value has 50 KB and seldom changes.
func (d *Daemon) readOnce(ctx context.Context) {
	missed := func(c *controlState, now time.Time) { c.act(c.adoption.Missed(now)) }
	offer := func(r adoption.Revision) {
		d.post(ctx, func(c *controlState, now time.Time) {
			c.offer(now, r, adoption.Source{Kind: adoption.KeyValue})
		})
	}
	known := d.view.Load().Revision
	if known == 0 {
		e, err := d.KeyValue.Get(ctx, ConfigurationKey)
		if err != nil && !errors.Is(err, keyvalue.ErrNotFound) {
			d.post(ctx, missed)
			return
		}
		offer(adoption.Revision{Number: e.Revision, Value: e.Value})
		return
	}
	entries, revision, err := d.KeyValue.Since(ctx, ConfigurationKey, known)
	if err != nil {
		d.post(ctx, missed)
		return
	}
	if revision < known { // The service has lost revisions; adoption raises an alarm.
		offer(adoption.Revision{Number: revision})
		return
	}
	for _, e := range entries {
		if e.Key == ConfigurationKey && !e.Deleted {
			offer(adoption.Revision{Number: e.Revision, Value: e.Value})
			return
		}
	}
	d.post(ctx, func(c *controlState, now time.Time) {
		held, _ := c.adoption.InForce()
		if held.Number >= known { // Nothing newer is stored, which confirms it.
			c.offer(now, held, adoption.Source{Kind: adoption.KeyValue})
		}
	})
}

// watchConfiguration waits for changes of the configuration at the relays.
func (d *Daemon) watchConfiguration(ctx context.Context) error {
	wait := newBackoff()
	for ctx.Err() == nil {
		v := d.view.Load()
		if !v.Relay {
			sleep(ctx, pollPeriod)
			continue
		}
		entries, _, err := d.KeyValue.Watch(ctx, ConfigurationKey, v.Revision)
		if err != nil {
			sleep(ctx, wait.NextBackOff())
			continue
		}
		wait.Reset()
		for _, e := range entries {
			if e.Key != ConfigurationKey || e.Deleted {
				continue
			}
			d.post(ctx, func(c *controlState, now time.Time) {
				c.offer(now, adoption.Revision{Number: e.Revision, Value: e.Value}, adoption.Source{Kind: adoption.KeyValue})
			})
		}
		if len(entries) > 0 {
			sleep(ctx, controlTick) // The view has the new revision by then.
		}
	}
	return ctx.Err()
}
