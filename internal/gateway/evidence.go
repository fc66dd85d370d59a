package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/keyvalue"
	"apricotbridge/internal/message"
	"apricotbridge/internal/quarantine"
)

const (
	// suspectPrefix is the key prefix of the records of refused suspects. They outlast the
	// daemons.
	suspectPrefix = "suspects/"
	// delegateCheckInterval is how often a daemon that does not watch the records checks whether
	// it has become a delegate.
	delegateCheckInterval = time.Second
	// recordInterval is how often a daemon looks for refused suspects without a record.
	recordInterval = 500 * time.Millisecond
	// maxRecordDelay bounds the random wait before a record is written. Usually the first
	// daemon's record reaches the others before they write theirs.
	maxRecordDelay = time.Second
)

// takeEvidence returns the evidence that changed here since the last call, for the peers that
// get the status of this daemon.
func (g *Gateway) takeEvidence(now time.Time) []message.SuspectRecord {
	records := g.dispatcher.TakeEvidence(now)
	suspects := make([]quarantine.Fingerprint, len(records))
	for i, r := range records {
		suspects[i] = quarantine.Fingerprint(r.Suspect)
	}
	g.noteEvidenceNews(true, suspects)
	return records
}

// mergeEvidence merges the evidence of a daemon in a place.
func (g *Gateway) mergeEvidence(now time.Time, place string, records []message.SuspectRecord) {
	if len(records) > 0 {
		g.noteEvidenceNews(place == g.Place, g.dispatcher.MergeEvidence(now, records))
	}
}

// noteEvidenceNews keeps the suspects of which a delegate forwards the evidence.
func (g *Gateway) noteEvidenceNews(fromOwnPlace bool, suspects []quarantine.Fingerprint) {
	if v := g.view.Load(); len(suspects) == 0 || !v.byPlace() || !v.Delegate {
		return
	}
	g.evidenceNewsMu.Lock()
	defer g.evidenceNewsMu.Unlock()
	for _, f := range suspects {
		g.evidenceNews[fromOwnPlace][f] = true
	}
}

// takeEvidenceNews returns the evidence to forward since the last call.
func (g *Gateway) takeEvidenceNews(now time.Time, fromOwnPlace bool) []message.SuspectRecord {
	g.evidenceNewsMu.Lock()
	suspects := slices.Collect(maps.Keys(g.evidenceNews[fromOwnPlace]))
	clear(g.evidenceNews[fromOwnPlace])
	g.evidenceNewsMu.Unlock()
	if len(suspects) == 0 {
		return nil
	}
	return g.dispatcher.EvidenceOn(now, suspects)
}

// sendRefusedSuspects sends a new peer the evidence on the suspects that are refused.
func (g *Gateway) sendRefusedSuspects(now time.Time, peer string) {
	if records := g.dispatcher.RefusedSuspects(now); len(records) > 0 {
		sendToLinked(g, message.KindEvidence, message.Evidence{Records: records}, func(p message.Hello) bool { return p.Daemon == peer })
	}
}

// suspectEntry is the value of a suspect's entry in the store.
type suspectEntry struct {
	// WrittenAt is the time of day in Unix milliseconds to which the ages in Record refer.
	WrittenAt int64                 `json:"WrittenAt"`
	Record    message.SuspectRecord `json:"Record"`
}

func suspectKey(suspect uint64) string { return suspectPrefix + fmt.Sprintf("%016x", suspect) }

// watchSuspects merges the records of refused suspects in the store, so that a daemon
// refuses them also when it has started after the crashes or has no link to its peers. With
// links by place, a daemon that is no delegate reads them once, when it starts.
func (g *Gateway) watchSuspects(ctx context.Context) error {
	g.watchPrefix(ctx, "suspects", suspectPrefix, 0, func(entries []keyvalue.Entry, fullList bool) {
		now, wallClock := time.Now(), time.Now()
		var records []message.SuspectRecord
		recorded, deleted := map[uint64]int64{}, map[uint64]bool{}
		for _, e := range entries {
			suspect, err := strconv.ParseUint(e.Key[len(suspectPrefix):], 16, 64)
			if err != nil {
				g.Log.Info("entry of a suspect not readable", "Key", e.Key, "Error", err.Error())
				continue
			}
			if e.Deleted {
				deleted[suspect] = true
				continue
			}
			record, err := decodeSuspect(wallClock, suspect, e.Value)
			if err != nil {
				g.Log.Info("entry of a suspect not readable", "Key", e.Key, "Error", err.Error())
				continue
			}
			recorded[suspect] = e.Revision
			records = append(records, record)
		}
		// A suspect is refused before its record is known, so that the record is not taken
		// for an unneeded one.
		g.noteEvidenceNews(false, g.dispatcher.MergeEvidence(now, records))
		g.recordedSuspectsMu.Lock()
		if fullList {
			clear(g.recordedSuspects)
		}
		maps.Copy(g.recordedSuspects, recorded)
		maps.DeleteFunc(g.recordedSuspects, func(suspect uint64, _ int64) bool { return deleted[suspect] })
		g.recordedSuspectsMu.Unlock()
		// Delegates tell the other daemons of their place.
		for v := g.view.Load(); v.byPlace() && !v.Delegate && sleep(ctx, delegateCheckInterval); v = g.view.Load() {
			continue
		}
	})
	return nil
}

// maxRecordAge bounds the ages in a suspect's entry. Evidence expires much sooner.
const maxRecordAge = 24 * time.Hour

// decodeSuspect reads a suspect's entry and converts its ages to the present.
func decodeSuspect(wallClock time.Time, suspect uint64, value []byte) (message.SuspectRecord, error) {
	var entry suspectEntry
	if err := json.Unmarshal(value, &entry); err != nil {
		return message.SuspectRecord{}, err
	}
	record := entry.Record
	if record.Suspect != suspect {
		return message.SuspectRecord{}, errors.Errorf("record of suspect %016x", record.Suspect)
	}
	// The writer's clock may be ahead.
	age := max(wallClock.Sub(time.UnixMilli(entry.WrittenAt)), 0)
	for i := range record.Crashes {
		c := &record.Crashes[i]
		if c.Began < 0 || c.Ended < 0 || max(c.Began, c.Ended) > maxRecordAge.Milliseconds() {
			return message.SuspectRecord{}, errors.Errorf("crash %d ms ago of a run begun %d ms ago", c.Ended, c.Began)
		}
		c.Began += age.Milliseconds()
		c.Ended += age.Milliseconds()
	}
	return record, nil
}

// recordSuspects keeps a record in the store of each suspect that is refused.
func (g *Gateway) recordSuspects(ctx context.Context) error {
	dep := dependency{g: g, name: "suspect records"}
	for sleep(ctx, recordInterval) {
		if v := g.view.Load(); v.byPlace() && !v.Delegate {
			continue // The delegates watch the records and know which are missing.
		}
		refused := g.dispatcher.RefusedSuspects(time.Now())
		if len(g.withoutRecord(refused)) > 0 {
			sleep(ctx, rand.N(maxRecordDelay)) //nolint:gosec // Not for secrets.
		}
		for _, record := range g.withoutRecord(refused) {
			err := g.writeSuspect(ctx, record)
			dep.noteResult(err)
			if err != nil {
				break
			}
		}
		g.deleteUnneededRecords(ctx)
	}
	return nil
}

// withoutRecord returns the records that the store does not have.
func (g *Gateway) withoutRecord(records []message.SuspectRecord) []message.SuspectRecord {
	g.recordedSuspectsMu.Lock()
	defer g.recordedSuspectsMu.Unlock()
	var missing []message.SuspectRecord
	for _, r := range records {
		if _, ok := g.recordedSuspects[r.Suspect]; !ok {
			missing = append(missing, r)
		}
	}
	return missing
}

func (g *Gateway) writeSuspect(ctx context.Context, record message.SuspectRecord) error {
	value, err := json.Marshal(suspectEntry{WrittenAt: time.Now().UnixMilli(), Record: record})
	if err != nil {
		return errors.Annotate(err, "encode suspect")
	}
	written, err := g.Store.CompareAndSwap(ctx, suspectKey(record.Suspect), value, 0, "")
	var conflict *keyvalue.ConflictError
	switch {
	case errors.As(err, &conflict):
		written = conflict.Current // Another daemon wrote it.
	case err != nil:
		return errors.Annotate(err, "write suspect")
	default:
		g.Log.Info("suspect recorded", "Suspect", fmt.Sprintf("%016x", record.Suspect), "Part", record.Part, "Crashes", len(record.Crashes))
	}
	g.recordedSuspectsMu.Lock()
	g.recordedSuspects[record.Suspect] = written.Revision
	g.recordedSuspectsMu.Unlock()
	return nil
}

// deleteUnneededRecords deletes the records of suspects that were cleared or have expired. Only
// the holder of the duty does so, because all daemons come to the same result.
func (g *Gateway) deleteUnneededRecords(ctx context.Context) {
	if !g.holdsDuty.Load() {
		return
	}
	g.recordedSuspectsMu.Lock()
	recorded := maps.Clone(g.recordedSuspects)
	g.recordedSuspectsMu.Unlock()
	for suspect, revision := range recorded {
		if g.dispatcher.HasCrashes(time.Now(), quarantine.Fingerprint(suspect)) {
			continue
		}
		if err := g.Store.Delete(ctx, suspectKey(suspect), revision); err != nil {
			g.Log.Info("record of a suspect not deleted", "Suspect", fmt.Sprintf("%016x", suspect), "Error", err.Error())
			return
		}
		g.Log.Info("record of a suspect deleted", "Suspect", fmt.Sprintf("%016x", suspect))
	}
}
