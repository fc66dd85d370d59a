package gateway

import (
	"context"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/keyvalue"
	"apricotbridge/internal/message"
)

const (
	// streamPrefix is the key prefix of the records of begun streams. Daemons that all lost power know from
	// them at which version the streams began that callers take up then.
	streamPrefix = "streams/"
	// allPlaces is the record of daemons that are all linked. Where links are kept by place, each place
	// has its own.
	allPlaces = "all"
	// streamRecordInterval is the time between two writes of a record. Streams that began in it are
	// lost with all daemons; most streams last for seconds.
	streamRecordInterval = 500 * time.Millisecond
)

// streamRecordKey returns the key of the record that this daemon's streams belong to.
func (g *Gateway) streamRecordKey(v *View) string {
	if v.byPlace() {
		return streamPrefix + g.Place
	}
	return streamPrefix + allPlaces
}

// recordStreams reads the streams that began before this daemon started, and keeps the record while a
// service has several versions. At other times the record is not needed and is deleted. One daemon of
// those that share a record writes it.
func (g *Gateway) recordStreams(ctx context.Context) error {
	dep := dependency{g: g, name: "stream records"}
	retry := backoff{Most: maxWatchRetryDelay}
	read := false
	revisions := map[string]int64{}
	for ctx.Err() == nil {
		v := g.view.Load()
		var err error
		switch {
		case v == nil || !v.daemonsListed:
		case !read:
			if err = g.readStreams(ctx, v, revisions); err == nil {
				read = true
				continue
			}
		case v.isFirst(g.Daemon, g.Place):
			err = g.writeStreams(ctx, g.streamRecordKey(v), revisions)
		}
		dep.noteResult(err)
		if wait := retry.next(err); err != nil {
			sleep(ctx, wait)
			continue
		}
		sleep(ctx, streamRecordInterval)
	}
	return nil
}

// isFirst reports whether a daemon is the first by id of the living ones that share a record.
func (v *View) isFirst(self, place string) bool {
	for _, d := range v.Daemons {
		if d.Alive && d.ID < self && (!v.ByPlace || d.Place == place) {
			return false
		}
	}
	return true
}

// readStreams notes the streams of the records. A daemon that has links in its place only reads the
// record of its place.
func (g *Gateway) readStreams(ctx context.Context, v *View, revisions map[string]int64) error {
	prefix := streamPrefix
	if v.ByPlace && !v.Delegate {
		prefix += g.Place
	}
	entries, _, err := g.Store.List(ctx, prefix)
	if err != nil {
		return errors.Annotate(err, "read the begun streams")
	}
	for _, e := range entries {
		revisions[e.Key] = e.Revision
		g.noteStreamRecord(e)
	}
	return nil
}

// noteStreamRecord notes the streams of a record, which was deleted if it has no value.
func (g *Gateway) noteStreamRecord(e keyvalue.Entry) {
	if len(e.Value) == 0 {
		return
	}
	envelope, err := message.DecodeEnvelope(e.Value)
	if err == nil && envelope.Kind != message.KindBegun {
		err = errors.Errorf("kind %q", envelope.Kind)
	}
	var m message.Begun
	if err == nil {
		m, err = message.Decode[message.Begun](envelope)
	}
	if err != nil {
		g.Log.Info("record of begun streams not readable", "Key", e.Key, "Error", err.Error())
		return
	}
	g.begun.merge(time.Now(), m.Streams, false, false)
}

// writeStreams writes the record if streams began since the last write, or deletes it if it is no longer
// needed.
func (g *Gateway) writeStreams(ctx context.Context, key string, revisions map[string]int64) error {
	now := time.Now()
	if !g.begun.ambiguous(now) {
		if revisions[key] == 0 {
			return nil
		}
		err := g.Store.Delete(ctx, key, revisions[key])
		var conflict *keyvalue.ConflictError
		switch {
		case errors.As(err, &conflict):
			revisions[key] = conflict.Current.Revision
		case err != nil:
			return errors.Annotate(err, "delete the record of begun streams")
		default:
			delete(revisions, key)
		}
		return nil
	}
	streams, noted := g.begun.toRecord(now)
	if len(streams) == 0 {
		return nil
	}
	value, err := message.Encode(message.KindBegun, message.Begun{Streams: streams})
	if err != nil {
		return errors.Annotate(err, "encode the begun streams")
	}
	e, err := g.Store.CompareAndSwap(ctx, key, value, revisions[key], "")
	var conflict *keyvalue.ConflictError
	switch {
	case errors.As(err, &conflict): // Another daemon wrote it, or the answer to a write was lost.
		revisions[key] = conflict.Current.Revision
		g.noteStreamRecord(conflict.Current)
		return nil
	case err != nil:
		return errors.Annotate(err, "write the record of begun streams")
	}
	revisions[key] = e.Revision
	g.begun.noteRecorded(noted)
	return nil
}
