package gateway

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/keyvalue"
)

// versionPrefix is the key prefix of the records of the versions of each service. They outlast the
// daemons, so that one that starts after the loss of all knows which versions there were.
const versionPrefix = "versions/"

// maxRecordedVersions bounds the versions in one record.
const maxRecordedVersions = 64

// versionRecord is the record of a service in the store.
type versionRecord struct {
	revision int64
	versions []string
}

// recordVersions reads which versions the services had before this daemon started, and keeps the records.
// One daemon writes them: the versions change only in a release.
func (g *Gateway) recordVersions(ctx context.Context) error {
	dep := dependency{g: g, name: "version records"}
	retry := backoff{Most: maxWatchRetryDelay}
	var recorded map[string]versionRecord
	era := int64(0)
	for ctx.Err() == nil {
		var err error
		if latest := g.Store.Era(); recorded == nil || latest != era {
			era = latest
			recorded, err = g.readVersions(ctx)
		} else if g.view.Load().writesVersions(g.Daemon) {
			err = g.writeVersions(ctx, recorded)
		}
		dep.noteResult(err)
		if wait := retry.next(err); err != nil {
			sleep(ctx, wait)
			continue
		}
		sleep(ctx, recordInterval)
	}
	return nil
}

// writesVersions reports whether a daemon is the first of those that are alive.
func (v *View) writesVersions(self string) bool {
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

// readVersions reads the records and notes their versions as seen now.
func (g *Gateway) readVersions(ctx context.Context) (map[string]versionRecord, error) {
	entries, _, err := g.Store.List(ctx, versionPrefix)
	if err != nil {
		return nil, errors.Annotate(err, "read the versions of services")
	}
	recorded := map[string]versionRecord{}
	for _, e := range entries {
		g.noteVersionRecord(recorded, e)
	}
	g.begun.noteRecordsRead()
	return recorded, nil
}

// noteVersionRecord notes a record. One that can't be read is written anew.
func (g *Gateway) noteVersionRecord(recorded map[string]versionRecord, e keyvalue.Entry) {
	service := strings.TrimPrefix(e.Key, versionPrefix)
	r := versionRecord{revision: e.Revision}
	if err := json.Unmarshal(e.Value, &r.versions); err != nil || len(r.versions) > maxRecordedVersions {
		g.Log.Info("versions of a service not readable", "Service", service, "Versions", len(r.versions))
		r.versions = nil
	}
	recorded[service] = r
	g.begun.noteVersions(time.Now(), service, r.versions)
}

// writeVersions writes the records that differ from what the services have, or had until lately.
func (g *Gateway) writeVersions(ctx context.Context, recorded map[string]versionRecord) error {
	for service, versions := range g.begun.versionsOfServices(time.Now()) {
		r := recorded[service]
		if slices.Equal(r.versions, versions) {
			continue
		}
		value, err := json.Marshal(versions)
		if err != nil {
			return errors.Annotate(err, "encode the versions of a service")
		}
		e, err := g.Store.CompareAndSwap(ctx, versionPrefix+service, value, r.revision, "")
		var conflict *keyvalue.ConflictError
		switch {
		case errors.As(err, &conflict): // Another daemon wrote it, or the answer to a write was lost.
			conflict.Current.Key = versionPrefix + service
			g.noteVersionRecord(recorded, conflict.Current)
		case err != nil:
			return errors.Annotate(err, "write the versions of a service")
		default:
			g.Log.Info("versions recorded", "Service", service, "Versions", versions)
			recorded[service] = versionRecord{e.Revision, versions}
		}
	}
	return nil
}
