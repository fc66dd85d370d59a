package ledger

import (
	"slices"
	"time"

	"apricotbridge/internal/keyvalue"
	"apricotbridge/pkg/problem"
)

// flight is the one write of the tail that is in flight.
type flight struct {
	id       uint64
	read     uint64
	tail     Tail
	value    []byte
	revision int64
	records  []*Record
	// uncertain says that an earlier attempt with the same value may still take
	// effect. The write is then repeated unchanged until the revision moves on,
	// because a value that may appear later cannot be reported as not run.
	uncertain bool
	// waiting says that the next attempt waits for the service to return.
	waiting bool
	// sealed and swept say that the tail has the result of the job, or misses the
	// segment that was deleted.
	sealed  bool
	swept   bool
	release bool
}

// advance starts whatever the state allows next.
func (s *Shard) advance() {
	if !s.Holds() {
		return
	}
	s.refill()
	s.work()
	if s.flight != nil || s.away() {
		return
	}
	release := s.phase == draining && s.released()
	due := s.groupDue() || s.job != nil && s.job.ready || s.sweep != nil && s.sweep.ended ||
		!s.now.Before(s.wrote.Add(s.config.Heartbeat))
	if (due || release) && s.take() {
		s.commit(release)
	}
}

// groupDue reports whether the pending records are to be committed now. Intents
// are at once. Outcomes alone wait for an intent while more than half of the
// write tokens are used, so that they do not delay the orders that come next.
func (s *Shard) groupDue() bool {
	if len(s.pending) == 0 {
		return false
	}
	if s.tokens >= s.burst()/2 || !s.now.Before(s.pendingSince.Add(outcomeWait)) {
		return true
	}
	return slices.ContainsFunc(s.pending, func(r *Record) bool { return r.Head.State == Open })
}

// burst is the number of writes that may be saved up: one second's worth, and at
// least a commit and a seal.
func (s *Shard) burst() float64 { return max(2, s.config.WritesPerSecond) }

// refill adds write tokens for the time that passed. A clock that jumps changes
// only the pace.
func (s *Shard) refill() {
	burst := s.burst()
	if s.tokensAt.IsZero() {
		s.tokens = burst
	} else if d := s.now.Sub(s.tokensAt); d > 0 {
		s.tokens = min(burst, s.tokens+d.Seconds()*s.config.WritesPerSecond)
	}
	s.tokensAt = s.now
}

func (s *Shard) take() bool {
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// commit writes the tail with the next group.
func (s *Shard) commit(release bool) {
	f := &flight{id: s.id(), revision: s.revision, release: release, tail: s.tail}
	f.tail.Group++
	f.tail.Segments = append([]Segment(nil), s.tail.Segments...)
	f.tail.Garbage = append([]Segment(nil), s.tail.Garbage...)
	kept := 0
	if s.job != nil {
		kept = s.job.prefix
		if s.job.ready {
			f.sealed = true
			kept = 0
			s.job.apply(&f.tail)
		}
	}
	if s.sweep != nil && s.sweep.ended {
		f.swept = true
		f.tail.Garbage = f.tail.Garbage[1:]
	}
	f.records, s.pending = s.group(f.tail.Records)
	s.pendingSince = s.now
	f.tail.Records = merge(f.tail.Records, f.records, kept)
	if release {
		f.tail.Holder, f.tail.Incarnation = "", 0
	}
	s.tail.Group++ // A refused group number is not used again.
	s.send(f)
}

// group takes the pending records that fit into the tail beside the given ones.
func (s *Shard) group(present []Record) (taken, left []*Record) {
	size := s.tail.segmentBytes()
	for i := range present {
		size += present[i].size()
	}
	for i, r := range s.pending {
		size += r.size()
		if size > maxTailBytes {
			return s.pending[:i:i], append([]*Record(nil), s.pending[i:]...)
		}
	}
	return s.pending, nil
}

// merge appends records and removes the versions that they replace, except in the
// prefix that is being sealed.
func merge(present []Record, records []*Record, prefix int) []Record {
	newest := make(map[keyOf]uint64, len(records))
	for _, r := range records {
		newest[keyOf{r.Head.Organisation, r.Head.Key}] = r.Head.Sequence
	}
	merged := make([]Record, 0, len(present)+len(records))
	for i := range present {
		if _, replaced := newest[keyOf{present[i].Head.Organisation, present[i].Head.Key}]; !replaced || i < prefix {
			merged = append(merged, present[i])
		}
	}
	for _, r := range records {
		if newest[keyOf{r.Head.Organisation, r.Head.Key}] == r.Head.Sequence {
			merged = append(merged, *r)
		}
	}
	return merged
}

func (s *Shard) send(f *flight) {
	f.value = encode(&f.tail)
	s.flight = f
	s.do(Write{ID: f.id, Key: TailKey(s.config.Shard), Value: f.value, Revision: f.revision})
}

// resend repeats an uncertain write unchanged.
func (s *Shard) resend() {
	f := s.flight
	f.id, f.read, f.waiting = s.id(), 0, false
	s.do(Write{ID: f.id, Key: TailKey(s.config.Shard), Value: f.value, Revision: f.revision})
}

func (s *Shard) committed(ev Committed) {
	switch {
	case s.flight != nil && s.flight.id == ev.ID && s.flight.read == 0:
		s.took(ev.Revision)
	case s.jobWrote(ev.ID, ev.Revision):
	default:
		s.deleted(ev.ID, true)
	}
}

// took applies a write of the tail that took effect.
func (s *Shard) took(revision int64) {
	f := s.flight
	s.flight = nil
	s.back()
	group, sequence := s.tail.Group, s.tail.NextSequence
	claimed := s.phase == claiming
	s.tail, s.revision, s.wrote = f.tail, revision, s.now
	s.tail.Group, s.tail.NextSequence = max(group, f.tail.Group), max(sequence, f.tail.NextSequence)
	switch {
	case claimed:
		s.load()
		return
	case f.release:
		s.resign("", "shard handed off")
		return
	case !s.Holds():
		return
	}
	if f.sealed {
		s.jobDone()
	}
	if f.swept {
		s.sweep = nil
	}
	for _, r := range f.records {
		if e := s.entryOf(&r.Head); e != nil {
			s.recorded(e)
		}
	}
}

// recorded goes on with an entry whose newest record is committed.
func (s *Shard) recorded(e *entry) {
	e.committed, e.segment = e.head.Sequence, ""
	switch {
	case e.step == queued && e.abandoned:
		// The caller was told that the order did not run, so its key is freed.
		e.abandoned = false
		e.step = settled
		s.append(e, next(e, Cancelled, nil))
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
		s.settle(e, Result{Response: e.response})
		e.response = nil
	}
}

func (s *Shard) conflict(ev CommitConflict) {
	if s.flight == nil || s.flight.id != ev.ID || s.flight.read != 0 {
		if !s.jobWrote(ev.ID, ev.Current.Revision) {
			s.deleted(ev.ID, true)
		}
		return
	}
	s.compare(ev.Current)
}

// compare resolves the write in flight by the tail that is stored.
func (s *Shard) compare(current keyvalue.Entry) {
	f := s.flight
	if current.Revision == f.revision {
		s.resend()
		return
	}
	stored, err := DecodeTail(current.Value)
	if err == nil && current.Revision != 0 && f.tail.same(&stored) {
		s.took(current.Revision)
		return
	}
	s.lost(stored.Holder, "another holder committed")
}

// unknown reads the tail back after a lost answer.
func (s *Shard) unknown(id uint64) {
	if f := s.flight; f != nil && f.id == id && f.read == 0 {
		f.uncertain = true
		f.read = s.id()
		s.do(Read{ID: f.read, Key: TailKey(s.config.Shard)})
		return
	}
	if !s.jobRetry(id) {
		s.deleted(id, false)
	}
}

func (s *Shard) refused(id uint64) {
	f := s.flight
	if f == nil || f.id != id || f.read != 0 {
		s.wentAway()
		if !s.jobRetry(id) {
			s.deleted(id, false)
		}
		return
	}
	s.wentAway()
	switch {
	case f.uncertain:
		s.waitInFlight()
	case s.phase == claiming:
		s.flight = nil
		s.resign("", "key-value service is away")
	default:
		s.flight = nil
		s.pending = append(s.withdraw(f.records), s.pending...)
	}
	s.pending = s.withdraw(s.pending)
}

// withdraw refuses the intents among records that were not written and returns
// the outcomes, which stay pending.
func (s *Shard) withdraw(records []*Record) []*Record {
	var left []*Record
	for _, r := range records {
		e := s.entryOf(&r.Head)
		if e == nil || e.step != queued {
			if e != nil {
				left = append(left, r)
			}
			continue
		}
		s.settleRefused(e, problem.LedgerUnavailable, "key-value service is away")
		delete(s.entries, keyOf{r.Head.Organisation, r.Head.Key})
	}
	return left
}

// waitInFlight keeps an uncertain write for later and answers its submissions: an
// order is never dispatched from here on, while a draft may run.
func (s *Shard) waitInFlight() {
	s.flight.waiting = true
	s.refuseEarly("key-value service is away")
	for _, r := range s.flight.records {
		e := s.entryOf(&r.Head)
		if e == nil || e.step != queued {
			continue
		}
		if e.head.Kind == Order {
			e.abandoned = true
			s.settleRefused(e, problem.LedgerUnavailable, "key-value service is away")
		} else {
			s.settleRefused(e, problem.OutcomeUnknown, "the draft may have been accepted")
		}
	}
}

// wentAway sets the time of the next attempt.
func (s *Shard) wentAway() {
	if s.away() && s.now.Before(s.retryAt) {
		return
	}
	s.failures++
	s.retryAt = s.now.Add(s.backoff(s.failures))
}

func (s *Shard) back() { s.retryAt, s.failures = time.Time{}, 0 }

// probe tries again after the service was away.
func (s *Shard) probe() {
	s.retryAt = time.Time{}
	if s.flight != nil {
		if s.flight.waiting {
			s.resend()
		}
		return
	}
	if s.phase == loading {
		s.loadRest()
		return
	}
	if s.Holds() && s.take() {
		s.commit(false)
	}
}

func (s *Shard) readBack(ev ReadBack) {
	if f := s.flight; f != nil && f.read != 0 && f.read == ev.ID {
		if ev.Failed {
			s.wentAway()
			s.pending = s.withdraw(s.pending)
			s.waitInFlight()
			return
		}
		s.compare(ev.Entry)
		return
	}
	switch {
	case s.phase == reading && ev.ID == s.expectRead:
		s.claim(ev)
	case s.loaded(ev):
	case s.fetched(ev):
	default:
		s.jobRead(ev)
	}
}

// lost ends a holding, or a takeover, that another holder has overtaken. No write
// at the old revision can take effect any more.
func (s *Shard) lost(successor, reason string) {
	f := s.flight
	s.flight = nil
	if f != nil {
		for _, r := range f.records {
			e := s.entryOf(&r.Head)
			if e != nil && e.step == queued && e.head.Kind == Draft && f.uncertain {
				// An earlier attempt may have been committed before the takeover.
				s.settleRefused(e, problem.OutcomeUnknown, "the draft may have been accepted")
				e.step = settled
			}
		}
		s.pending = append(f.records, s.pending...)
	}
	s.pending = s.withdraw(s.pending)
	s.resign(successor, reason)
}
