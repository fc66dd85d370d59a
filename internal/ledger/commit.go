package ledger

import (
	"slices"
	"time"

	"apricotbridge/internal/keyvalue"
	"apricotbridge/pkg/problem"
)

// tailWrite is a compare-and-swap of the tail. A Shard has at most one in flight.
type tailWrite struct {
	id       uint64
	readID   uint64 // ID of the read-back after a lost answer; 0 means none.
	tail     Tail
	value    []byte
	revision int64
	records  []*Record
	// uncertain is set when an earlier attempt with the same value may still take
	// effect. The write is then repeated unchanged until the revision changes,
	// because a value that may appear later cannot be reported as not run.
	uncertain bool
	// suspended is set while the next attempt waits until the key-value service is
	// back.
	suspended bool
	// appliesJob and dropsGarbage report whether the new tail contains the result of
	// the job, or no longer lists the deleted segment.
	appliesJob   bool
	dropsGarbage bool
	release      bool // The new tail has no holder.
}

// advance starts the maintenance calls and the commit that are due in the current
// state.
func (s *Shard) advance() {
	if !s.Holds() {
		return
	}
	s.refillTokens()
	s.continueMaintenance()
	if s.inFlight != nil || s.serviceAway() {
		return
	}
	release := s.phase == draining && s.mayRelease()
	due := s.groupDue() || s.job != nil && s.job.ready || s.deletion != nil && s.deletion.done ||
		!s.now.Before(s.lastWrite.Add(s.config.Heartbeat))
	if (due || release) && s.takeToken() {
		s.commit(release)
	}
}

// groupDue reports whether the pending records are committed now. An intent is
// committed immediately. Outcomes without an intent wait for one while more than half
// of the write tokens are used, so that they do not delay the next orders.
func (s *Shard) groupDue() bool {
	if len(s.pending) == 0 {
		return false
	}
	if s.tokens >= s.burst()/2 || !s.now.Before(s.pendingSince.Add(maxOutcomeWait)) {
		return true
	}
	return slices.ContainsFunc(s.pending, func(r *Record) bool { return r.Head.State == Open })
}

// burst is the capacity of the token bucket for writes: one second's worth, and at
// least a commit and a seal.
func (s *Shard) burst() float64 { return max(2, s.config.WritesPerSecond) }

// refillTokens adds write tokens for the time since the last refill. A clock jump
// changes only the write rate.
func (s *Shard) refillTokens() {
	burst := s.burst()
	if s.refilledAt.IsZero() {
		s.tokens = burst
	} else if d := s.now.Sub(s.refilledAt); d > 0 {
		s.tokens = min(burst, s.tokens+d.Seconds()*s.config.WritesPerSecond)
	}
	s.refilledAt = s.now
}

func (s *Shard) takeToken() bool {
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// commit writes the tail with the next group of pending records.
func (s *Shard) commit(release bool) {
	write := &tailWrite{id: s.newID(), revision: s.revision, release: release, tail: s.tail}
	write.tail.Group++
	write.tail.Segments = append([]Segment(nil), s.tail.Segments...)
	write.tail.Garbage = append([]Segment(nil), s.tail.Garbage...)
	sealedPrefix := 0
	if s.job != nil {
		sealedPrefix = s.job.prefix
		if s.job.ready {
			write.appliesJob = true
			sealedPrefix = 0
			s.job.apply(&write.tail)
		}
	}
	if s.deletion != nil && s.deletion.done {
		write.dropsGarbage = true
		write.tail.Garbage = write.tail.Garbage[1:]
	}
	write.records, s.pending = s.nextGroup(write.tail.Records)
	s.pendingSince = s.now
	write.tail.Records = mergeRecords(write.tail.Records, write.records, sealedPrefix)
	if release {
		write.tail.Holder, write.tail.Incarnation = "", 0
	}
	s.tail.Group++ // The group number of a refused write is not reused.
	s.send(write)
}

// nextGroup splits the pending records into those that fit into the tail with the
// current ones, and the rest.
func (s *Shard) nextGroup(current []Record) (group, rest []*Record) {
	size := s.tail.segmentBytes()
	for i := range current {
		size += current[i].size()
	}
	for i, r := range s.pending {
		size += r.size()
		if size > maxTailBytes {
			return s.pending[:i:i], append([]*Record(nil), s.pending[i:]...)
		}
	}
	return s.pending, nil
}

// mergeRecords appends records and removes the versions that they replace, except in
// the prefix that is being sealed.
func mergeRecords(current []Record, records []*Record, sealedPrefix int) []Record {
	newestSequence := make(map[entryKey]uint64, len(records))
	for _, r := range records {
		newestSequence[entryKey{r.Head.Organisation, r.Head.Key}] = r.Head.Sequence
	}
	merged := make([]Record, 0, len(current)+len(records))
	for i := range current {
		if _, replaced := newestSequence[entryKey{current[i].Head.Organisation, current[i].Head.Key}]; !replaced || i < sealedPrefix {
			merged = append(merged, current[i])
		}
	}
	for _, r := range records {
		if newestSequence[entryKey{r.Head.Organisation, r.Head.Key}] == r.Head.Sequence {
			merged = append(merged, *r)
		}
	}
	return merged
}

func (s *Shard) send(write *tailWrite) {
	write.value = encode(&write.tail)
	s.inFlight = write
	s.emit(Write{ID: write.id, Key: TailKey(s.config.Shard), Value: write.value, Revision: write.revision})
}

// resend repeats the write in flight unchanged.
func (s *Shard) resend() {
	write := s.inFlight
	write.id, write.readID, write.suspended = s.newID(), 0, false
	s.emit(Write{ID: write.id, Key: TailKey(s.config.Shard), Value: write.value, Revision: write.revision})
}

func (s *Shard) handleCommitted(ev Committed) {
	switch {
	case s.inFlight != nil && s.inFlight.id == ev.ID && s.inFlight.readID == 0:
		s.applyCommit(ev.Revision)
	case s.handleJobWritten(ev.ID, ev.Revision):
	default:
		s.handleDeleted(ev.ID, true)
	}
}

// applyCommit updates the state after a write of the tail took effect.
func (s *Shard) applyCommit(revision int64) {
	write := s.inFlight
	s.inFlight = nil
	s.endBackoff()
	group, sequence := s.tail.Group, s.tail.NextSequence
	claimed := s.phase == claiming
	s.tail, s.revision, s.lastWrite = write.tail, revision, s.now
	s.tail.Group, s.tail.NextSequence = max(group, write.tail.Group), max(sequence, write.tail.NextSequence)
	switch {
	case claimed:
		s.readIndexes()
		return
	case write.release:
		s.resign("", "shard handed off")
		return
	case !s.Holds():
		return
	}
	if write.appliesJob {
		s.finishJob()
	}
	if write.dropsGarbage {
		s.deletion = nil
	}
	for _, r := range write.records {
		if e := s.entryOf(&r.Head); e != nil {
			s.recordCommitted(e)
		}
	}
}

// recordCommitted continues an entry after its newest record was committed.
func (s *Shard) recordCommitted(e *entry) {
	e.committed, e.segmentName = e.head.Sequence, ""
	switch {
	case e.step == queued && e.abandoned:
		// The caller got the answer that the order did not run, so its key is freed.
		e.abandoned = false
		e.step = settled
		s.queueRecord(e, newVersion(e, Cancelled, nil))
	case e.step == queued:
		waiters := e.waiters
		e.waiters = nil
		for _, w := range waiters {
			if w.Async {
				s.answer(w.ID, Result{Accepted: true})
			} else {
				e.waiters = append(e.waiters, w)
			}
		}
		s.dispatch(e, false)
	case e.step == recording:
		e.step = settled
		s.answerWaiters(e, Result{Response: e.response})
		e.response = nil
	}
}

func (s *Shard) handleConflict(ev CommitConflict) {
	if s.inFlight == nil || s.inFlight.id != ev.ID || s.inFlight.readID != 0 {
		if !s.handleJobWritten(ev.ID, ev.Current.Revision) {
			s.handleDeleted(ev.ID, true)
		}
		return
	}
	s.resolveInFlight(ev.Current)
}

// resolveInFlight compares the stored tail with the write in flight to find out
// whether the write took effect.
func (s *Shard) resolveInFlight(current keyvalue.Entry) {
	write := s.inFlight
	if current.Revision == write.revision {
		s.resend()
		return
	}
	stored, err := DecodeTail(current.Value)
	if err == nil && current.Revision != 0 && write.tail.sameCommit(&stored) {
		s.applyCommit(current.Revision)
		return
	}
	s.loseShard(stored.Holder, "another holder committed")
}

// handleUnknown reads the tail back after the answer of a write was lost.
func (s *Shard) handleUnknown(id uint64) {
	if write := s.inFlight; write != nil && write.id == id && write.readID == 0 {
		write.uncertain = true
		write.readID = s.newID()
		s.emit(Read{ID: write.readID, Key: TailKey(s.config.Shard)})
		return
	}
	if !s.retryJobWrite(id) {
		s.handleDeleted(id, false)
	}
}

func (s *Shard) handleRefused(id uint64) {
	write := s.inFlight
	if write == nil || write.id != id || write.readID != 0 {
		s.backOff()
		if !s.retryJobWrite(id) {
			s.handleDeleted(id, false)
		}
		return
	}
	s.backOff()
	switch {
	case write.uncertain:
		s.suspendInFlight()
	case s.phase == claiming:
		s.inFlight = nil
		s.resign("", "key-value service is away")
	default:
		s.inFlight = nil
		s.pending = append(s.refuseIntents(write.records), s.pending...)
	}
	s.pending = s.refuseIntents(s.pending)
}

// refuseIntents refuses the intents among records that were not written and returns
// the outcomes, which stay pending.
func (s *Shard) refuseIntents(records []*Record) []*Record {
	var outcomes []*Record
	for _, r := range records {
		e := s.entryOf(&r.Head)
		if e == nil || e.step != queued {
			if e != nil {
				outcomes = append(outcomes, r)
			}
			continue
		}
		s.refuseWaiters(e, problem.LedgerUnavailable, "key-value service is away")
		delete(s.entries, entryKey{r.Head.Organisation, r.Head.Key})
	}
	return outcomes
}

// suspendInFlight keeps an uncertain write for a later attempt and answers the
// submissions in it. Its orders are never dispatched after this; its drafts may still
// run.
func (s *Shard) suspendInFlight() {
	s.inFlight.suspended = true
	s.refuseAwaitingTakeover("key-value service is away")
	for _, r := range s.inFlight.records {
		e := s.entryOf(&r.Head)
		if e == nil || e.step != queued {
			continue
		}
		if e.head.Kind == Order {
			e.abandoned = true
			s.refuseWaiters(e, problem.LedgerUnavailable, "key-value service is away")
		} else {
			s.refuseWaiters(e, problem.OutcomeUnknown, "the draft may have been accepted")
		}
	}
}

// backOff marks the key-value service as away and sets the time of the next attempt.
func (s *Shard) backOff() {
	if s.serviceAway() && s.now.Before(s.retryAt) {
		return
	}
	s.failures++
	s.retryAt = s.now.Add(s.backoffDelay(s.failures))
}

func (s *Shard) endBackoff() { s.retryAt, s.failures = time.Time{}, 0 }

// retryAfterOutage makes the next call to the key-value service after a backoff.
func (s *Shard) retryAfterOutage() {
	s.retryAt = time.Time{}
	if s.inFlight != nil {
		if s.inFlight.suspended {
			s.resend()
		}
		return
	}
	if s.phase == loading {
		s.retryIndexReads()
		return
	}
	if s.Holds() && s.takeToken() {
		s.commit(false)
	}
}

func (s *Shard) handleReadBack(ev ReadBack) {
	if write := s.inFlight; write != nil && write.readID != 0 && write.readID == ev.ID {
		if ev.Failed {
			s.backOff()
			s.pending = s.refuseIntents(s.pending)
			s.suspendInFlight()
			return
		}
		s.resolveInFlight(ev.Entry)
		return
	}
	switch {
	case s.phase == reading && ev.ID == s.tailReadID:
		s.claim(ev)
	case s.handleIndexRead(ev):
	case s.handleFetched(ev):
	default:
		s.handleJobRead(ev)
	}
}

// loseShard ends the holding or the takeover after another holder committed. No write
// at the old revision can take effect after that.
func (s *Shard) loseShard(successor, reason string) {
	write := s.inFlight
	s.inFlight = nil
	if write != nil {
		for _, r := range write.records {
			e := s.entryOf(&r.Head)
			if e != nil && e.step == queued && e.head.Kind == Draft && write.uncertain {
				// An earlier attempt may have been committed before the takeover.
				s.refuseWaiters(e, problem.OutcomeUnknown, "the draft may have been accepted")
				e.step = settled
			}
		}
		s.pending = append(write.records, s.pending...)
	}
	s.pending = s.refuseIntents(s.pending)
	s.resign(successor, reason)
}
