package gateway

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/keyvalue"
	"apricotbridge/internal/message"
	"apricotbridge/internal/origin"
)

// versionPrefix is the key prefix of the records of the versions of each service. They outlast the
// daemons, so that one that starts after the loss of all knows which versions there were.
const versionPrefix = "versions/"

const (
	// maxRecordedVersions bounds the versions in one record.
	maxRecordedVersions = 1024
	// recordDelay is how long a daemon that learned of a new version from a peer leaves it to the peer to
	// record it.
	recordDelay = 300 * time.Millisecond
)

// requestVersionRecord asks recordVersions to record the versions of the servers, at once or after recordDelay.
func (g *Gateway) requestVersionRecord(atOnce bool) {
	select {
	case g.recordRequests <- atOnce:
		return
	default: // One is pending.
	}
	if !atOnce {
		return
	}
	select {
	case <-g.recordRequests: // It may be one that is not urgent.
	default:
	}
	select {
	case g.recordRequests <- true:
	default:
	}
}

// awaitRecordRequest waits until the versions are to be compared with their records.
func (g *Gateway) awaitRecordRequest(ctx context.Context) {
	timer := time.NewTimer(recordInterval)
	defer timer.Stop()
	for delayed := false; ; delayed = true {
		select {
		case atOnce := <-g.recordRequests:
			if atOnce {
				return
			}
			if !delayed {
				timer.Reset(jitter(recordDelay))
			}
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// recordVersions reads the records of the versions that the services have, and keeps them. A version is recorded
// as soon as its first server is listed: until then its servers get no streams.
func (g *Gateway) recordVersions(ctx context.Context) error {
	dep := dependency{g: g, name: "version records"}
	retry := backoff{Most: maxWatchRetryDelay}
	read := false
	era := int64(0)
	for ctx.Err() == nil {
		var err error
		switch latest := g.Store.Era(); {
		case !read || latest != era:
			era = latest
			g.begun.noteEra(time.Now(), era)
			_, err = g.readVersions(ctx)
			read = err == nil
		default:
			removal := g.view.Load().removesVersions(g.Daemon)
			err = g.writeVersions(ctx, g.begun.versionsToRecord(time.Now(), removal))
		}
		dep.noteResult(err)
		if wait := retry.next(err); err != nil {
			sleep(ctx, wait)
			continue
		}
		g.awaitRecordRequest(ctx)
	}
	return nil
}

// removesVersions reports whether a daemon is the first of those that are alive. It removes the versions that
// a service no longer has.
func (v *View) removesVersions(self string) bool {
	if v == nil || !v.daemonsListed || v.ByPlace && !v.Delegate {
		return false
	}
	for _, d := range v.Daemons {
		if d.Alive && d.ID < self && (!v.ByPlace || v.Delegates[d.ID]) {
			return false
		}
	}
	return true
}

// readVersions reads the records and returns those that were read.
func (g *Gateway) readVersions(ctx context.Context) (map[string]origin.Record, error) {
	eraBefore := g.Store.Era()
	entries, _, err := g.Store.List(ctx, versionPrefix)
	if err != nil {
		return nil, errors.Annotate(err, "read the versions of services")
	}
	era := g.Store.Era()
	g.begun.noteEra(time.Now(), era)
	if eraBefore > 0 && era != eraBefore {
		return nil, errRestored
	}
	records := map[string]origin.Record{}
	for _, e := range entries {
		service, record := g.versionRecord(e)
		records[service] = record
		g.noteVersionRecord(service, record)
	}
	for _, service := range g.begun.recordedServices() {
		if _, ok := records[service]; !ok {
			g.noteVersionRecord(service, origin.Record{Era: era}) // The copy of the store does not have it.
		}
	}
	return records, nil
}

// versionRecord decodes a record. One that can't be read has no versions and is written anew.
func (g *Gateway) versionRecord(e keyvalue.Entry) (service string, r origin.Record) {
	service = strings.TrimPrefix(e.Key, versionPrefix)
	r = origin.Record{Era: e.Era, Revision: e.Revision}
	if e.Deleted || len(e.Value) == 0 {
		return service, r
	}
	if err := json.Unmarshal(e.Value, &r.Versions); err != nil || len(r.Versions) > maxRecordedVersions {
		g.Log.Info("versions of a service not readable", "Service", service, "Versions", len(r.Versions))
		r.Versions = nil
	}
	return service, r
}

// noteVersionRecord notes a record. Servers of versions that it adds get streams from now on.
func (g *Gateway) noteVersionRecord(service string, r origin.Record) (newer bool) {
	newer = g.begun.noteRecord(time.Now(), service, r)
	if newer {
		g.post(func(c *control) { c.changed = true })
	}
	return newer
}

// writeVersions writes records of services.
func (g *Gateway) writeVersions(ctx context.Context, services map[string]versionsToRecord) error {
	for service, next := range services {
		if len(next.versions) > maxRecordedVersions {
			return errors.Errorf("service %q has %d versions, at most %d can be recorded", service, len(next.versions), maxRecordedVersions)
		}
		value, err := json.Marshal(next.versions)
		if err != nil {
			return errors.Annotate(err, "encode the versions of a service")
		}
		e, err := g.Store.CompareAndSwap(ctx, versionPrefix+service, value, next.revision, "")
		var conflict *keyvalue.ConflictError
		switch {
		case errors.As(err, &conflict): // Another daemon wrote it, or the answer to a write was lost.
			conflict.Current.Key = versionPrefix + service
			if g.noteVersionRecord(g.versionRecord(conflict.Current)) {
				g.requestVersionRecord(true)
			}
			continue
		case err != nil:
			return errors.Annotate(err, "write the versions of a service")
		}
		g.Log.Info("versions recorded", "Service", service, "Versions", next.versions)
		g.noteVersionRecord(service, origin.Record{Era: e.Era, Revision: e.Revision, Versions: next.versions})
		g.post((*control).confirmListing) // Peers learn it from the listing.
	}
	return nil
}

// encodeVersions returns the records for a listing.
func encodeVersions(records map[string]origin.Record) []message.ServiceVersions {
	var list []message.ServiceVersions
	for service, r := range records {
		list = append(list, message.ServiceVersions{Service: service, Era: r.Era, Revision: r.Revision, Versions: r.Versions})
	}
	slices.SortFunc(list, func(x, y message.ServiceVersions) int { return strings.Compare(x.Service, y.Service) })
	return list
}

// noteVersions notes the records of a listing of a peer.
func (c *control) noteVersions(now time.Time, list []message.ServiceVersions) {
	for _, m := range list {
		if c.g.begun.noteRecord(now, m.Service, origin.Record{Era: m.Era, Revision: m.Revision, Versions: m.Versions}) {
			c.changed = true
		}
	}
}
