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

// configurationPollPeriod is the period at which the daemons of a data centre
// together read the configuration key while no peer advertises a newer revision; each
// daemon waits this period times their number. Polling covers a place whose relays
// have died; pushes and digests carry all other changes.
// configurationPollBytesPerSecond bounds the transfer of one daemon: six daemons that
// read 50 KB every 500 ms would receive 100 KB/s each.
const (
	configurationPollPeriod         = 500 * time.Millisecond
	configurationPollBytesPerSecond = 2 << 10
)

// configurationPollInterval returns the time between reads by one daemon, given the
// number of daemons in its data centre and the bytes of the configuration.
func configurationPollInterval(localDaemons, size int) time.Duration {
	return max(configurationPollPeriod*time.Duration(max(1, localDaemons)), time.Duration(size)*time.Second/configurationPollBytesPerSecond)
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

// offerRevision offers a revision to the adoption state: one that was read or pushed,
// or only the number that a digest advertises.
func (c *controlState) offerRevision(now time.Time, r adoption.Revision, from adoption.Source) {
	c.performAdoption(c.adoption.Offer(now, r, from))
	_, confirmed := c.adoption.InForce()
	c.view.Confirmed = confirmed.String()
}

// performAdoption performs the actions that the adoption state requests.
func (c *controlState) performAdoption(actions []adoption.Action) {
	for _, a := range actions {
		switch a.Kind {
		case adoption.Adopt:
			c.adoptConfiguration(a.Revision)
		case adoption.PushTo:
			m := message.Configuration{Revision: a.Revision.Number, Value: message.Compress(a.Revision.Value)}
			for _, id := range a.Peers {
				c.logSendError(id, peer.Send(c.d.hub, id, message.KindConfiguration, m))
			}
		case adoption.Fetch:
			inForce, _ := c.adoption.InForce()
			for _, id := range a.Peers {
				c.logSendError(id, peer.Send(c.d.hub, id, message.KindFetch, message.Fetch{Above: c.adoption.DigestRevision(), InForce: inForce.Number}))
			}
		case adoption.Alarm:
			c.view.Alarm = a.Reason
			c.d.Log.Error(nil, "configuration alarm", "Reason", a.Reason, "Revision", a.Revision.Number, "InForce", c.view.Revision)
		case adoption.Read:
			select {
			case c.d.configurationReads <- struct{}{}:
			default: // A read is already pending.
			}
		}
	}
}

// adoptConfiguration puts a configuration in force.
func (c *controlState) adoptConfiguration(r adoption.Revision) {
	parsed, err := config.Parse(r.Value)
	if err != nil { // Cannot fail: adoption.State.Parse accepted the value.
		c.d.Log.Error(err, "configuration refused", "Revision", r.Number)
		return
	}
	c.view.Revision, c.view.Index, c.view.Alarm = r.Number, NewIndex(parsed), ""
	c.d.dispatcher.Configure(c.view.Index.admissionRanks(), c.view.Index.admissionOrganisations(), c.view.Index.quarantineLimits())
	c.tableStale = true
	c.d.Log.Info("configuration adopted", "Revision", r.Number)
}

// updateAdoptionPeers sets the linked peers and the poll interval of the adoption
// state.
func (c *controlState) updateAdoptionPeers() {
	var peers []adoption.Peer
	localDaemons := 0
	for _, p := range c.d.hub.Peers() {
		peers = append(peers, adoption.Peer{ID: p.Daemon, SamePlace: p.Place == c.d.Settings.Place})
	}
	for _, other := range c.view.Daemons {
		if other.Place == c.d.Settings.Place {
			localDaemons++
		}
	}
	slices.SortFunc(peers, func(a, b adoption.Peer) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	c.adoption.Poll = configurationPollInterval(localDaemons, len(c.adoption.NewestRevision().Value))
	c.adoption.SetPeers(peers)
}

// readConfiguration performs the reads that the adoption state requests.
func (d *Daemon) readConfiguration(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.configurationReads:
		}
		d.readConfigurationOnce(ctx)
	}
}

// readConfigurationOnce reads the configuration. When one is in force it requests
// only later changes, because the value takes 50 KB at the design size and seldom
// changes.
func (d *Daemon) readConfigurationOnce(ctx context.Context) {
	readFailed := func(c *controlState, now time.Time) { c.performAdoption(c.adoption.ReadFailed(now)) }
	offer := func(r adoption.Revision) {
		d.post(ctx, func(c *controlState, now time.Time) {
			c.offerRevision(now, r, adoption.Source{Kind: adoption.KeyValue})
		})
	}
	inForce := d.view.Load().Revision
	if inForce == 0 {
		e, err := d.KeyValue.Get(ctx, ConfigurationKey)
		if err != nil && !errors.Is(err, keyvalue.ErrNotFound) {
			d.post(ctx, readFailed)
			return
		}
		offer(adoption.Revision{Number: e.Revision, Value: e.Value})
		return
	}
	entries, revision, err := d.KeyValue.ChangesSince(ctx, ConfigurationKey, inForce)
	if err != nil {
		d.post(ctx, readFailed)
		return
	}
	if revision < inForce { // The store lost revisions; adoption raises an alarm.
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
		if held.Number >= inForce { // No newer revision is stored, which confirms this one.
			c.offerRevision(now, held, adoption.Source{Kind: adoption.KeyValue})
		}
	})
}

// watchConfiguration watches the configuration key on relays.
func (d *Daemon) watchConfiguration(ctx context.Context) error {
	retryDelay := newBackoff()
	for ctx.Err() == nil {
		v := d.view.Load()
		if !v.Relay {
			sleep(ctx, pollPeriod)
			continue
		}
		entries, _, err := d.KeyValue.Watch(ctx, ConfigurationKey, v.Revision)
		if err != nil {
			sleep(ctx, retryDelay.NextBackOff())
			continue
		}
		retryDelay.Reset()
		for _, e := range entries {
			if e.Key != ConfigurationKey || e.Deleted {
				continue
			}
			d.post(ctx, func(c *controlState, now time.Time) {
				c.offerRevision(now, adoption.Revision{Number: e.Revision, Value: e.Value}, adoption.Source{Kind: adoption.KeyValue})
			})
		}
		if len(entries) > 0 {
			sleep(ctx, controlTick) // Lets the control goroutine publish the new revision.
		}
	}
	return ctx.Err()
}
