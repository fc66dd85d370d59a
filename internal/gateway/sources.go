package gateway

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/keyvalue"
	"apricotbridge/internal/message"
)

const (
	// watchWait is how long the store holds a watch of the daemons, of the 30 s that it
	// allows at most.
	watchWait = 28 * time.Second
	// pollPart of the time in which a change has to be in force is the time between
	// two reads of the store: two may fail before the third is late.
	pollPart = 0.28
	// defaultApply is that time where the deployment states none.
	defaultApply = 2500 * time.Millisecond
	// pollStagger is how much longer each further daemon waits to be told, and
	// pollLatest bounds it.
	pollStagger = 150 * time.Millisecond
	pollLatest  = 600 * time.Millisecond
	// pollTick is how often a daemon looks whether a poll is due.
	pollTick = 50 * time.Millisecond
	// storeRetry is the wait after a call to the store that failed. It is drawn up
	// to twice as long, so that the daemons do not call at the same moment.
	storeRetry = 200 * time.Millisecond
	// registrationLease is the lease of this daemon's entry. It outlives a restart
	// of the store's connection.
	registrationLease = 5 * time.Second
	// joinPause is the wait after daemons joined or left, in which more may.
	joinPause = time.Second
	// daemonPrefix is where daemons register.
	daemonPrefix = "daemons/"
)

// pause waits for a time or for the end of the context, and reports whether the
// context goes on.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func retryPause(ctx context.Context) {
	pause(ctx, storeRetry+rand.N(storeRetry)) //nolint:gosec // Not for secrets.
}

// dependency logs when the store is lost and regained.
type dependency struct {
	g    *Gateway
	name string
	lost time.Time
}

func (d *dependency) result(err error) {
	now := time.Now()
	switch {
	case err != nil && d.lost.IsZero():
		d.lost = now
		d.g.Log.Info("dependency lost", "Dependency", d.name, "Error", err.Error())
	case err == nil && !d.lost.IsZero():
		d.g.Log.Info("dependency regained", "Dependency", d.name, "After", now.Sub(d.lost))
		d.lost = time.Time{}
	}
}

// pollStore reads the configuration and the servers' entries. One daemon does it
// for all: it tells the others what changed, and they read for themselves when they
// were not told, one after the other. What is read is never a watch, because one
// that waits hears nothing while the store's history is dropped.
func (g *Gateway) pollStore(ctx context.Context) error {
	dep := dependency{g: g, name: "store"}
	for ctx.Err() == nil {
		if !time.Now().After(g.pollDue()) {
			pause(ctx, pollTick)
			continue
		}
		err := g.readStore(ctx)
		dep.result(err)
		if err != nil {
			now := time.Now()
			g.post(func(c *control) { c.fleet.Outage(now) })
			retryPause(ctx)
		}
	}
	return nil
}

// pollDue returns when this daemon reads the store unless it is told of it before.
func (g *Gateway) pollDue() time.Time {
	fresh := g.fresh.Load()
	if fresh == nil {
		return time.Time{}
	}
	return fresh.Add(g.pollEvery() + g.view.Load().pollDelay(g.Daemon))
}

// pollDelay is how much longer than the first daemon this one waits to be told. With
// links by place only delegates hear of all others, so that they come first.
func (v *View) pollDelay(self string) time.Duration {
	if v == nil {
		return 0
	}
	if v.ByPlace && !v.Delegate {
		return pollLatest
	}
	position := 0
	for _, d := range v.Daemons {
		if d.Alive && d.ID < self && (!v.ByPlace || v.Delegates[d.ID]) {
			position++
		}
	}
	return min(time.Duration(position)*pollStagger, pollLatest)
}

// pollEvery is how often the store is read.
func (g *Gateway) pollEvery() time.Duration {
	return time.Duration(pollPart * float64(cmp.Or(g.Bounds.Apply, defaultApply)))
}

// readStore reads the store once.
func (g *Gateway) readStore(ctx context.Context) error {
	document, err := g.Store.Get(ctx, g.Keys.Configuration)
	if err != nil && !errors.Is(err, keyvalue.ErrNotFound) {
		return errors.Annotate(err, "read the configuration")
	}
	entries, revision, err := g.Store.List(ctx, g.Keys.Servers)
	if err != nil {
		return errors.Annotate(err, "list the servers")
	}
	if document.Revision > 0 {
		g.offerConfiguration(document.Value, "Store")
	}
	now := time.Now()
	g.fresh.Store(&now)
	g.post(func(c *control) { c.listing(now, revision, entries) })
	return nil
}

// offerConfiguration decodes a configuration and hands it to the control goroutine.
func (g *Gateway) offerConfiguration(document []byte, source string) {
	if old := g.document.Load(); old != nil && bytes.Equal(*old, document) {
		return
	}
	next, err := g.Decoder.Configuration(document)
	if err != nil {
		g.Log.Error(err, "configuration not readable", "Source", source)
		return
	}
	g.document.Store(&document)
	g.post(func(c *control) { c.adopt(time.Now(), next, source) })
}

// record is this daemon's entry in the store.
type record struct {
	Daemon        string `json:"Daemon"`
	Place         string `json:"Place"`
	Region        string `json:"Region"`
	CallerAddress string `json:"CallerAddress"`
	PeerAddress   string `json:"PeerAddress"`
	Start         int64  `json:"Start"`
}

// keepRegistration keeps this daemon's entry in the store.
func (g *Gateway) keepRegistration(ctx context.Context) error {
	dep := dependency{g: g, name: "registration"}
	value, err := json.Marshal(record{g.Daemon, g.Place, g.Region, g.CallerAddress, g.PeerAddress, g.start})
	if err != nil {
		return errors.Annotate(err, "encode registration")
	}
	lease := ""
	for ctx.Err() == nil {
		var err error
		if lease == "" {
			lease, err = g.register(ctx, value)
		} else if err = g.Store.Renew(ctx, lease); errors.Is(err, keyvalue.ErrLeaseLapsed) {
			g.Log.Info("registration lapsed", "Lease", lease)
			lease = ""
			continue
		}
		dep.result(err)
		if err != nil {
			retryPause(ctx)
			continue
		}
		pause(ctx, registrationLease/3)
	}
	return nil
}

// register writes this daemon's entry under a new lease.
func (g *Gateway) register(ctx context.Context, value []byte) (string, error) {
	lease, err := g.Store.Lease(ctx, registrationLease)
	if err != nil {
		return "", err
	}
	revision := int64(0)
	for range 3 {
		_, err = g.Store.CompareAndSwap(ctx, daemonPrefix+g.Daemon, value, revision, lease)
		var conflict *keyvalue.ConflictError
		if !errors.As(err, &conflict) {
			break
		}
		// The entry of an earlier start, which ends with its own lease otherwise.
		revision = conflict.Current.Revision
	}
	if err != nil {
		return "", err
	}
	return lease, nil
}

// watchDaemons lists the registered daemons whenever one joined or left.
func (g *Gateway) watchDaemons(ctx context.Context) error {
	dep := dependency{g: g, name: "daemons"}
	revision := int64(-1)
	known := map[string]Daemon{}
	for ctx.Err() == nil {
		var entries []keyvalue.Entry
		var next int64
		var err error
		whole := revision < 0
		if whole {
			entries, next, err = g.Store.List(ctx, daemonPrefix)
		} else {
			entries, next, err = g.Store.Changes(ctx, daemonPrefix, revision, watchWait)
		}
		dep.result(err)
		if err != nil {
			if errors.Is(err, keyvalue.ErrCompacted) {
				revision = -1
				continue
			}
			retryPause(ctx)
			continue
		}
		if whole {
			clear(known)
		}
		for _, e := range entries {
			g.noteDaemon(known, e)
		}
		revision = next
		list := make(map[string]Daemon, len(known))
		for id, d := range known {
			list[id] = d
		}
		g.post(func(c *control) { c.daemons(time.Now(), list) })
		if len(entries) > 0 {
			// All daemons may register at the same time.
			pause(ctx, joinPause)
		}
	}
	return nil
}

func (g *Gateway) noteDaemon(known map[string]Daemon, e keyvalue.Entry) {
	id := e.Key[len(daemonPrefix):]
	if e.Deleted {
		delete(known, id)
		return
	}
	var r record
	if err := json.Unmarshal(e.Value, &r); err != nil || r.Daemon != id {
		g.Log.Info("entry of a daemon not readable", "Key", e.Key)
		return
	}
	known[id] = Daemon{ID: r.Daemon, Place: r.Place, Region: r.Region, CallerAddress: r.CallerAddress, PeerAddress: r.PeerAddress}
}

const (
	// statusEvery is how often peers are told of this daemon's load.
	statusEvery = 150 * time.Millisecond
	// farEvery is how many of these pass between statuses to delegates of other
	// places. Those only show that this daemon is alive and whether it holds the duty.
	farEvery = 2
)

// sendStatus tells the peers what this daemon does.
func (g *Gateway) sendStatus(ctx context.Context) error {
	ticker := time.NewTicker(statusEvery)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		g.broadcast(near)
		if round%farEvery == 0 {
			g.broadcast(far)
		}
	}
}

// broadcast sends the status of this daemon to the peers of a scope.
func (g *Gateway) broadcast(scope statusScope) {
	v := g.view.Load()
	var to []string
	for _, p := range g.hub.Peers() {
		// A link of an earlier topology ends when nothing is sent on it.
		if v.links(g.Place, p) && (v.byPlace() && p.Place != g.Place) == (scope == far) {
			to = append(to, p.Daemon)
		}
	}
	if len(to) == 0 {
		return
	}
	data, err := message.Encode(message.KindStatus, g.status(time.Now(), scope))
	if err != nil {
		g.Log.Error(err, "status not sent")
		return
	}
	for _, id := range to {
		if err := g.hub.Send(id, message.KindStatus, data); err != nil {
			g.Log.V(1).Info("status not sent", "Peer", id, "Error", err.Error())
		}
	}
}
