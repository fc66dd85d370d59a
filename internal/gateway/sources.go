package gateway

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/keyvalue"
	"apricotbridge/internal/message"
)

const (
	// watchTimeout is how long a watch of the daemons waits for changes. The store allows
	// at most 30 s.
	watchTimeout = 28 * time.Second
	// pollIntervalShare times Bounds.ApplyWithin is the time between two reads of the
	// store. After two failed reads, the third is still in time.
	pollIntervalShare = 0.28
	// defaultApplyTime is used if Bounds.ApplyWithin is 0.
	defaultApplyTime = 2500 * time.Millisecond
	// pollStagger is how much longer each further daemon waits for a peer's listing
	// before it reads the store itself. maxPollDelay bounds the sum.
	pollStagger  = 150 * time.Millisecond
	maxPollDelay = 600 * time.Millisecond
	// pollCheckInterval is how often a daemon checks whether a read of the store is due.
	pollCheckInterval = 50 * time.Millisecond
	// storeRetryDelay is the wait after the first failed call to the store. It doubles with
	// each further one, up to a bound for each purpose, and is random up to twice as long, so
	// that the daemons do not retry at the same moment.
	storeRetryDelay = 200 * time.Millisecond
	// maxPollRetryDelay, maxRegistrationRetryDelay and maxWatchRetryDelay bound it. Changes
	// have to take effect soon after an outage; peers notice a missing entry after seconds.
	maxPollRetryDelay         = 800 * time.Millisecond
	maxRegistrationRetryDelay = 1600 * time.Millisecond
	maxWatchRetryDelay        = 2400 * time.Millisecond
	// registrationLease is the lease time of this daemon's entry. It is long enough to
	// survive a lost connection to the store.
	registrationLease = 5 * time.Second
	// restoredDaemonsWait is the wait before the daemons are listed when the store came back
	// from a copy. By then all have renewed their leases once, learned of it and written their
	// entries again, so that none drops out of the topology.
	restoredDaemonsWait = registrationLease / 2
	// membershipPause is the wait after daemons joined or left, during which others may
	// do so too.
	membershipPause = time.Second
	// daemonPrefix is the key prefix of the daemons' entries.
	daemonPrefix = "daemons/"
)

// sleep waits for d. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// backoff is the wait between failed calls to the store for one purpose.
type backoff struct {
	// Most bounds the wait, before the random part.
	Most     time.Duration
	failures int
}

// next returns the wait after a call, which is 0 unless it failed.
func (b *backoff) next(err error) time.Duration {
	if err == nil {
		b.failures = 0
		return 0
	}
	wait := min(storeRetryDelay<<min(b.failures, 10), b.Most)
	b.failures++
	return wait + rand.N(wait) //nolint:gosec // Not for secrets.
}

// dependency logs the loss and return of a service that this daemon depends on.
type dependency struct {
	g      *Gateway
	name   string
	lostAt time.Time
}

func (d *dependency) noteResult(err error) {
	now := time.Now()
	switch {
	case err != nil && d.lostAt.IsZero():
		d.lostAt = now
		d.g.Log.Info("dependency lost", "Dependency", d.name, "Error", err.Error())
	case err == nil && !d.lostAt.IsZero():
		d.g.Log.Info("dependency regained", "Dependency", d.name, "After", now.Sub(d.lostAt))
		d.lostAt = time.Time{}
	}
}

// pollStore reads the configuration and the servers' entries. One daemon reads for all
// and sends the changes to its peers; if it does not, the others read for themselves, one
// after the other. The entries are polled, because a watch that is waiting returns
// nothing while the store drops its history.
func (g *Gateway) pollStore(ctx context.Context) error {
	dep := dependency{g: g, name: "store"}
	retry := backoff{Most: maxPollRetryDelay}
	started := time.Now()
	era := int64(0)
	var versions versionReader
	for ctx.Err() == nil {
		if latest := g.Store.Era(); latest != era {
			if era > 0 {
				g.Log.Info("store restored", "Era", latest, "Before", era)
			}
			era = latest
			now := time.Now()
			g.begun.noteEra(now, latest)
			g.post(func(c *control) { c.noteEra(now, latest) })
		}
		if !time.Now().After(g.nextPoll(started)) {
			sleep(ctx, pollCheckInterval)
			continue
		}
		err := g.readStore(ctx, &versions)
		dep.noteResult(err)
		if err != nil {
			now := time.Now()
			g.post(func(c *control) { c.fleet.NoteOutage(now) })
		}
		sleep(ctx, retry.next(err))
	}
	return nil
}

// nextPoll returns when this daemon reads the store if no peer's listing arrives before.
func (g *Gateway) nextPoll(started time.Time) time.Time {
	lastRead := g.storeReadAt.Load()
	if lastRead == nil {
		return started.Add(g.view.Load().firstReadDelay(g.Daemon, g.Region))
	}
	return lastRead.Add(g.pollInterval() + g.view.Load().pollDelay(g.Daemon))
}

// serversAge is how long ago this daemon, or a peer that sent it a listing, read the store; 0 means never.
func (g *Gateway) serversAge(now time.Time) time.Duration {
	lastRead := g.storeReadAt.Load()
	if lastRead == nil {
		return 0
	}
	return now.Sub(*lastRead)
}

// pollDelay returns how much longer this daemon waits than the one that reads first. With
// links by place, delegates read first: only they receive listings from other places
// directly.
func (v *View) pollDelay(self string) time.Duration {
	if v == nil {
		return 0
	}
	if v.ByPlace && !v.Delegate {
		return maxPollDelay
	}
	position := 0
	for _, d := range v.Daemons {
		if d.Alive && d.ID < self && (!v.ByPlace || v.Delegates[d.ID]) {
			position++
		}
	}
	return min(time.Duration(position)*pollStagger, maxPollDelay)
}

// pollInterval is the time between two reads of the store.
func (g *Gateway) pollInterval() time.Duration {
	return time.Duration(pollIntervalShare * float64(cmp.Or(g.Bounds.ApplyWithin, defaultApplyTime)))
}

// readStore reads the servers' entries and the configuration once. The entries come first and take
// effect at once: a configuration with many routes takes long to read.
func (g *Gateway) readStore(ctx context.Context, versions *versionReader) error {
	began := time.Now() // What is read may be as old, however late the answers are handled.
	eraBefore := g.Store.Era()
	entries, revision, err := g.Store.List(ctx, g.Keys.Servers)
	era := g.Store.Era()
	if err == nil && eraBefore > 0 && era != eraBefore {
		err = errRestored // Some of the pages may be of the earlier era.
	}
	if err != nil {
		return errors.Annotate(err, "list the servers")
	}
	if err := versions.readOrders(ctx, g, era, entries); err != nil {
		return err
	}
	listedAt := time.Now()
	g.post(func(c *control) { c.applyListing(listedAt, era, revision, entries) })
	document, err := g.Store.Get(ctx, g.Keys.Configuration)
	if err != nil && !errors.Is(err, keyvalue.ErrNotFound) {
		return errors.Annotate(err, "read the configuration")
	}
	if document.Revision > 0 {
		g.offerConfiguration(document.Value, "Store")
	}
	g.storeReadAt.Store(&began)
	g.post(func(c *control) {
		g.begun.noteListed(began)
		c.confirmListing()
	})
	return nil
}

// errRestored reports that the store came back from a copy during a call.
const errRestored = errors.ConstError("store came back from a copy")

// offerConfiguration decodes a configuration, unless it is the last one, and passes it to
// the control goroutine.
func (g *Gateway) offerConfiguration(document []byte, source string) {
	if old := g.lastDocument.Load(); old != nil && bytes.Equal(*old, document) {
		return
	}
	next, err := g.Decoder.Configuration(document)
	if err != nil {
		g.Log.Error(err, "configuration not readable", "Source", source)
		return
	}
	g.lastDocument.Store(&document)
	g.post(func(c *control) { c.adopt(time.Now(), next, source) })
}

// daemonEntry is the value of a daemon's entry in the store.
type daemonEntry struct {
	Daemon        string `json:"Daemon"`
	Place         string `json:"Place"`
	Region        string `json:"Region"`
	CallerAddress string `json:"CallerAddress"`
	PeerAddress   string `json:"PeerAddress"`
	Start         int64  `json:"Start"`
}

// check returns an error if a daemon's entry can't be used: peers connect to its addresses,
// and callers get them.
func (e *daemonEntry) check(id string) error {
	if e.Daemon != id || e.Place == "" {
		return errors.Errorf("entry names daemon %.50q in place %.50q", e.Daemon, e.Place)
	}
	for _, text := range []string{e.CallerAddress, e.PeerAddress} {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return errors.Annotate(err, "address")
		}
		if address.Port() == 0 || address.Addr().IsUnspecified() {
			return errors.Errorf("address %s can't be connected to", address)
		}
	}
	return nil
}

// keepRegistration keeps this daemon's entry in the store.
func (g *Gateway) keepRegistration(ctx context.Context) error {
	dep := dependency{g: g, name: "registration"}
	value, err := json.Marshal(daemonEntry{g.Daemon, g.Place, g.Region, g.CallerAddress, g.PeerAddress, g.start})
	if err != nil {
		return errors.Annotate(err, "encode registration")
	}
	lease, era := "", int64(0)
	retry := backoff{Most: maxRegistrationRetryDelay}
	for ctx.Err() == nil {
		var err error
		if lease != "" && era > 0 && g.Store.Era() != era {
			// The store may have lost the entry, and given the lease to another daemon.
			g.Log.Info("registration lost in a restore", "Lease", lease)
			lease = ""
		}
		if lease == "" {
			era = g.Store.Era()
			lease, err = g.register(ctx, value)
			if era == 0 { // The first answer states the era.
				era = g.Store.Era()
			}
		} else if err = g.Store.Renew(ctx, lease); errors.Is(err, keyvalue.ErrLeaseLapsed) {
			g.Log.Info("registration lapsed", "Lease", lease)
			lease = ""
			continue
		}
		dep.noteResult(err)
		wait := retry.next(err)
		if err == nil {
			wait = registrationLease / 3
		}
		sleep(ctx, wait)
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
		// Replace the entry of an earlier start, which would be deleted when its own
		// lease expires.
		revision = conflict.Current.Revision
	}
	if err != nil {
		return "", err
	}
	return lease, nil
}

// watchDaemons watches the daemons' entries and passes the list to the control goroutine.
func (g *Gateway) watchDaemons(ctx context.Context) error {
	known := map[string]Daemon{}
	g.watchPrefix(ctx, "daemons", daemonPrefix, restoredDaemonsWait, func(entries []keyvalue.Entry, fullList bool) {
		if fullList {
			clear(known)
		}
		for _, e := range entries {
			g.updateDaemon(known, e)
		}
		list := maps.Clone(known)
		g.post(func(c *control) { c.setDaemons(time.Now(), list) })
		if len(entries) > 0 {
			// All daemons may register at the same time.
			sleep(ctx, membershipPause)
		}
	})
	return nil
}

// watchPrefix passes the entries with a prefix to apply, first in a full list and then as
// they change, until the context ends. When the store came back from a copy, it waits for
// restoredWait and passes a full list again.
func (g *Gateway) watchPrefix(ctx context.Context, name, prefix string, restoredWait time.Duration, apply func(entries []keyvalue.Entry, fullList bool)) {
	dep := dependency{g: g, name: name}
	retry := backoff{Most: maxWatchRetryDelay}
	revision, era := int64(-1), int64(0)
	for ctx.Err() == nil {
		var entries []keyvalue.Entry
		var next int64
		var err error
		fullList := revision < 0
		if fullList {
			era = g.Store.Era()
			entries, next, err = g.Store.List(ctx, prefix)
		} else {
			entries, next, err = g.Store.Changes(ctx, prefix, revision, watchTimeout)
		}
		dep.noteResult(err)
		if latest := g.Store.Era(); era > 0 && latest != era {
			// Changes that have the revisions of earlier ones would be missed.
			revision = -1
			sleep(ctx, restoredWait)
			continue
		} else if era == 0 { // The first answer states the era.
			era = latest
		}
		if errors.Is(err, keyvalue.ErrCompacted) {
			revision = -1
			continue
		}
		if wait := retry.next(err); err != nil {
			sleep(ctx, wait)
			continue
		}
		revision = next
		apply(entries, fullList)
	}
}

func (g *Gateway) updateDaemon(known map[string]Daemon, e keyvalue.Entry) {
	id := e.Key[len(daemonPrefix):]
	if e.Deleted {
		delete(known, id)
		return
	}
	var r daemonEntry
	err := json.Unmarshal(e.Value, &r)
	if err == nil {
		err = r.check(id)
	}
	if err != nil {
		g.Log.Info("entry of a daemon not readable", "Key", e.Key, "Error", err.Error())
		return
	}
	known[id] = Daemon{ID: r.Daemon, Place: r.Place, Region: r.Region, CallerAddress: r.CallerAddress, PeerAddress: r.PeerAddress}
}

const (
	// statusInterval is how often this daemon sends its status to nearPeers, unless there are
	// many of them.
	statusInterval = 150 * time.Millisecond
	// peersPerStatusInterval is the number of nearPeers for each statusInterval between two
	// statuses. A daemon then receives up to 120 of them a second, whatever the size of its place.
	peersPerStatusInterval = 18
	// farStatusEvery is the number of intervals between statuses to farPeers, which use
	// them only to see that this daemon is alive and whether it holds the duty.
	farStatusEvery = 2
)

// sendStatus sends the status of this daemon to its peers at regular intervals.
func (g *Gateway) sendStatus(ctx context.Context) error {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if round%g.view.Load().statusEvery(g.Place) == 0 {
			g.broadcast(nearPeers)
		}
		if round%farStatusEvery == 0 {
			g.broadcast(farPeers)
		}
	}
}

// statusEvery returns the number of statusIntervals between two statuses to nearPeers.
func (v *View) statusEvery(place string) int {
	if !v.byPlace() {
		return 1
	}
	near := 0
	for _, d := range v.Daemons {
		if d.Place == place {
			near++
		}
	}
	return 1 + max(near-2, 0)/peersPerStatusInterval
}

// broadcast sends the status of this daemon to the peers of a scope.
func (g *Gateway) broadcast(scope statusScope) {
	v := g.view.Load()
	var to []string
	for _, p := range g.hub.Peers() {
		// Links that the topology no longer has are closed once nothing is sent on them.
		if v.hasLink(g.Place, p) && v.scopeOf(g.Place, p) == scope {
			to = append(to, p.Daemon)
		}
	}
	if len(to) == 0 {
		return
	}
	now := time.Now()
	s := g.status(now, scope)
	s.Begun = g.begun.take(now, scope)
	data, err := message.Encode(message.KindStatus, s)
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
