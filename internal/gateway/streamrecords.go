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
	// them at which version the streams began that callers take up then. Where all daemons are linked each
	// has a record of its own, else each place.
	streamPrefix       = "streams/"
	daemonStreamPrefix = streamPrefix + "daemon/"
	placeStreamPrefix  = streamPrefix + "place/"
	// streamRecordInterval and placeStreamRecordInterval are the least times between two writes of a record.
	// Streams that began in it are lost with all daemons. A daemon of a place that writes for the others
	// hears of their streams with their statuses, not sooner.
	streamRecordInterval      = 100 * time.Millisecond
	placeStreamRecordInterval = 250 * time.Millisecond
)

// recordStreams reads the streams that began before this daemon started, and keeps a record while a
// service has several versions. At other times the records are not needed and are deleted.
func (g *Gateway) recordStreams(ctx context.Context) error {
	dep := dependency{g: g, name: "stream records"}
	retry := backoff{Most: maxWatchRetryDelay}
	read := false
	revisions := map[string]int64{}
	for ctx.Err() == nil {
		v := g.view.Load()
		interval := streamRecordInterval
		var err error
		switch {
		case v == nil || !v.daemonsListed:
		case !read:
			err = g.readStreams(ctx, v, revisions)
			read = err == nil
		case !g.begun.ambiguous(time.Now()):
			err = g.deleteStreams(ctx, v, revisions)
		case !v.ByPlace:
			err = g.writeStreams(ctx, daemonStreamPrefix+g.Daemon, false, revisions)
		case v.isFirst(g.Daemon, g.Place):
			interval = placeStreamRecordInterval
			err = g.writeStreams(ctx, placeStreamPrefix+g.Place, true, revisions)
		}
		dep.noteResult(err)
		sleep(ctx, max(retry.next(err), interval))
	}
	return nil
}

// isFirst reports whether a daemon is the first by id of the living ones, with links by place of those in
// its place.
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
		prefix = placeStreamPrefix + g.Place
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

// deleteStreams deletes the records that this daemon has written or, as the first one, read.
func (g *Gateway) deleteStreams(ctx context.Context, v *View, revisions map[string]int64) error {
	for key, revision := range revisions {
		if revision == 0 || key != daemonStreamPrefix+g.Daemon && !v.isFirst(g.Daemon, g.Place) {
			continue
		}
		err := g.Store.Delete(ctx, key, revision)
		var conflict *keyvalue.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			return errors.Annotate(err, "delete a record of begun streams")
		}
		delete(revisions, key) // Its writer deletes one that has changed.
	}
	return nil
}

// writeStreams writes a record, of the streams that began here or of all, if there are new ones since the
// last write.
func (g *Gateway) writeStreams(ctx context.Context, key string, all bool, revisions map[string]int64) error {
	streams, unrecorded := g.begun.toRecord(time.Now(), all)
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
	g.begun.noteRecorded(all, unrecorded)
	return nil
}
