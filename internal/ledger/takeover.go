package ledger

import (
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"apricotbridge/pkg/problem"
)

func (s *Shard) takeOver(ev TakeOver) {
	if s.phase != idle {
		return
	}
	s.phase, s.expectedRevision = reading, ev.Revision
	s.tailReadID = s.newID()
	s.emit(Read{ID: s.tailReadID, Key: TailKey(s.config.Shard)})
}

// claim writes the tail that was read, with this daemon as holder and the next
// fencing number.
func (s *Shard) claim(ev ReadBack) {
	if ev.Failed {
		s.backOff()
		s.resign("", "key-value service is away")
		return
	}
	var t Tail
	if ev.Entry.Revision != 0 {
		var err error
		if t, err = DecodeTail(ev.Entry.Value); err != nil {
			s.resign("", err.Error())
			return
		}
	}
	if s.expectedRevision > 0 && ev.Entry.Revision != s.expectedRevision {
		s.resign(t.Holder, "the holder is alive")
		return
	}
	s.phase, s.revision = claiming, ev.Entry.Revision
	t.Holder, t.Incarnation = s.config.Holder, s.config.Incarnation
	t.Fence++
	t.Group++
	s.tail.Group = t.Group
	s.send(&tailWrite{id: s.newID(), tail: t, revision: s.revision})
}

// readIndexes reads the indexes of all segments of the claimed shard.
func (s *Shard) readIndexes() {
	s.phase = loading
	for _, seg := range s.tail.Segments {
		s.indexReads[s.newID()] = seg.Name
		s.emit(Read{ID: s.nextID, Key: indexKey(s.config.Shard, seg.Name)})
	}
	s.startHolding()
}

// retryIndexReads repeats the failed reads of indexes.
func (s *Shard) retryIndexReads() {
	for _, id := range slices.Sorted(maps.Keys(s.indexReads)) {
		name := s.indexReads[id]
		if id&failedReadMark == 0 {
			continue
		}
		delete(s.indexReads, id)
		s.indexReads[s.newID()] = name
		s.emit(Read{ID: s.nextID, Key: indexKey(s.config.Shard, name)})
	}
}

// failedReadMark is set in the ID of a failed read that has to be repeated.
const failedReadMark = 1 << 63

func (s *Shard) handleIndexRead(ev ReadBack) bool {
	name, ok := s.indexReads[ev.ID]
	if !ok || s.phase != loading {
		return false
	}
	delete(s.indexReads, ev.ID)
	var heads []Head
	if ev.Failed || ev.Entry.Revision == 0 || cbor.Unmarshal(ev.Entry.Value, &heads) != nil {
		s.indexReads[ev.ID|failedReadMark] = name
		s.backOff()
		s.refuseAwaitingTakeover("key-value service is away")
		return true
	}
	for i := range heads {
		s.addVersion(&heads[i], nil, name)
	}
	s.startHolding()
	return true
}

// addVersion stores a version of a key unless a newer one is present.
func (s *Shard) addVersion(h *Head, r *Record, segment string) {
	k := entryKey{h.Organisation, h.Key}
	if e := s.entries[k]; e != nil && e.head.Sequence > h.Sequence {
		return
	}
	s.entries[k] = &entry{head: *h, record: r, committed: h.Sequence, segmentName: segment}
}

// startHolding starts serving the shard once all indexes are read.
func (s *Shard) startHolding() {
	if len(s.indexReads) > 0 {
		return
	}
	s.endBackoff()
	s.phase = holding
	for i := range s.tail.Records {
		r := s.tail.Records[i]
		s.addVersion(&r.Head, &r, "")
	}
	for _, e := range s.entriesBySequence() {
		if e.head.Kind != Draft || e.head.State != Open {
			continue
		}
		e.step = running
		if e.record != nil {
			s.dispatch(e, true)
		} else {
			s.fetch(e)
		}
	}
	waiting := s.awaitingTakeover
	s.awaitingTakeover = nil
	for _, ev := range waiting {
		s.submit(ev)
	}
}

// refuseAwaitingTakeover refuses the submissions that wait for the takeover.
func (s *Shard) refuseAwaitingTakeover(detail string) {
	for _, w := range s.awaitingTakeover {
		s.refuse(w.ID, problem.LedgerUnavailable, detail)
	}
	s.awaitingTakeover = nil
}

func (s *Shard) handOff(ev HandOff) {
	if s.phase != holding {
		if !s.Holds() {
			s.resign("", "shard handed off before it was held")
		}
		return
	}
	s.phase, s.handOffDeadline = draining, ev.Deadline
	var outcomes []*Record
	for _, r := range s.pending {
		e := s.entryOf(&r.Head)
		if e != nil && e.step == queued {
			s.refuseWaiters(e, problem.Draining, "shard is being handed off")
			delete(s.entries, entryKey{r.Head.Organisation, r.Head.Key})
			continue
		}
		outcomes = append(outcomes, r)
	}
	s.pending = outcomes
}

// mayRelease reports whether the tail can be released: after the last outcome of an
// order is recorded, or at the deadline. Drafts run again at the successor.
func (s *Shard) mayRelease() bool {
	if len(s.pending) > 0 {
		return false
	}
	if s.job != nil && !s.job.ready && s.now.Before(s.handOffDeadline) {
		return false // A segment that is not listed in any tail would never be deleted.
	}
	if !s.now.Before(s.handOffDeadline) {
		return true
	}
	for _, e := range s.entries {
		if e.head.Kind == Order && (e.step == running || e.step == lookingUp) || e.step == recording {
			return false
		}
	}
	return true
}

// resign ends this Shard and answers all submissions except those of running orders.
func (s *Shard) resign(successor, reason string) {
	if s.phase == resigned {
		return
	}
	s.phase = resigned
	s.refuseAwaitingTakeover("shard was not taken over")
	for _, e := range s.entriesBySequence() {
		switch {
		case e.step == queued:
			s.refuseWaiters(e, problem.LedgerUnavailable, "shard was taken over")
			e.step = settled
		case e.head.Kind == Draft && e.step != settled:
			s.refuseWaiters(e, problem.OutcomeUnknown, "the draft goes on at another daemon")
			e.step = settled
		case e.step == settled:
			s.refuseWaiters(e, problem.OutcomeUnknown, "the stored response is kept at another daemon")
		}
	}
	s.inFlight, s.job, s.deletion, s.pending, s.retryAt = nil, nil, nil, nil, time.Time{}
	s.fetches = map[string]*segmentRead{}
	s.emit(Resign{Successor: successor, Reason: reason})
}
