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
	s.phase, s.expect = reading, ev.Revision
	s.expectRead = s.id()
	s.do(Read{ID: s.expectRead, Key: TailKey(s.config.Shard)})
}

// claim writes the tail that was read with the next fencing number.
func (s *Shard) claim(ev ReadBack) {
	if ev.Failed {
		s.wentAway()
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
	if s.expect > 0 && ev.Entry.Revision != s.expect {
		s.resign(t.Holder, "the holder is alive")
		return
	}
	s.phase, s.revision = claiming, ev.Entry.Revision
	t.Holder, t.Incarnation = s.config.Holder, s.config.Incarnation
	t.Fence++
	t.Group++
	s.tail.Group = t.Group
	s.send(&flight{id: s.id(), tail: t, revision: s.revision})
}

// load reads the indexes of the claimed shard.
func (s *Shard) load() {
	s.phase = loading
	for _, seg := range s.tail.Segments {
		s.loads[s.id()] = seg.Name
		s.do(Read{ID: s.nextID, Key: indexKey(s.config.Shard, seg.Name)})
	}
	s.startHolding()
}

// loadRest repeats the reads of indexes that failed.
func (s *Shard) loadRest() {
	for _, id := range slices.Sorted(maps.Keys(s.loads)) {
		name := s.loads[id]
		if id&failedLoad == 0 {
			continue
		}
		delete(s.loads, id)
		s.loads[s.id()] = name
		s.do(Read{ID: s.nextID, Key: indexKey(s.config.Shard, name)})
	}
}

// failedLoad marks the number of a read that has failed and is to be repeated.
const failedLoad = 1 << 63

func (s *Shard) loaded(ev ReadBack) bool {
	name, ok := s.loads[ev.ID]
	if !ok || s.phase != loading {
		return false
	}
	delete(s.loads, ev.ID)
	var heads []Head
	if ev.Failed || ev.Entry.Revision == 0 || cbor.Unmarshal(ev.Entry.Value, &heads) != nil {
		s.loads[ev.ID|failedLoad] = name
		s.wentAway()
		s.refuseEarly("key-value service is away")
		return true
	}
	for i := range heads {
		s.know(&heads[i], nil, name)
	}
	s.startHolding()
	return true
}

// know keeps a version of a key when it is the newest so far.
func (s *Shard) know(h *Head, r *Record, segment string) {
	k := keyOf{h.Organisation, h.Key}
	if e := s.entries[k]; e != nil && e.head.Sequence > h.Sequence {
		return
	}
	s.entries[k] = &entry{head: *h, record: r, committed: h.Sequence, segment: segment}
}

// startHolding begins to serve the shard once all indexes are read.
func (s *Shard) startHolding() {
	if len(s.loads) > 0 {
		return
	}
	s.back()
	s.phase = holding
	for i := range s.tail.Records {
		r := s.tail.Records[i]
		s.know(&r.Head, &r, "")
	}
	for _, e := range s.order() {
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
	early := s.early
	s.early = nil
	for _, ev := range early {
		s.submit(ev)
	}
}

// refuseEarly answers the submissions that wait for the takeover.
func (s *Shard) refuseEarly(detail string) {
	for _, w := range s.early {
		s.refuse(w.ID, problem.LedgerUnavailable, detail)
	}
	s.early = nil
}

func (s *Shard) handOff(ev HandOff) {
	if s.phase != holding {
		if !s.Holds() {
			s.resign("", "shard handed off before it was held")
		}
		return
	}
	s.phase, s.deadline = draining, ev.Deadline
	var left []*Record
	for _, r := range s.pending {
		e := s.entryOf(&r.Head)
		if e != nil && e.step == queued {
			s.settleRefused(e, problem.Draining, "shard is being handed off")
			delete(s.entries, keyOf{r.Head.Organisation, r.Head.Key})
			continue
		}
		left = append(left, r)
	}
	s.pending = left
}

// released reports whether the tail can be released: after the last outcome of an
// order is recorded, or at the deadline. Drafts run again at the successor.
func (s *Shard) released() bool {
	if len(s.pending) > 0 {
		return false
	}
	if s.job != nil && !s.job.ready && s.now.Before(s.deadline) {
		return false // A segment that no tail names would never be deleted.
	}
	if !s.now.Before(s.deadline) {
		return true
	}
	for _, e := range s.entries {
		if e.head.Kind == Order && (e.step == running || e.step == looking) || e.step == recording {
			return false
		}
	}
	return true
}

// resign ends this Shard and answers whatever it does not run.
func (s *Shard) resign(successor, reason string) {
	if s.phase == resigned {
		return
	}
	s.phase = resigned
	s.refuseEarly("shard was not taken over")
	for _, e := range s.order() {
		switch {
		case e.step == queued:
			s.settleRefused(e, problem.LedgerUnavailable, "shard was taken over")
			e.step = settled
		case e.head.Kind == Draft && e.step != settled:
			s.settleRefused(e, problem.OutcomeUnknown, "the draft goes on at another daemon")
			e.step = settled
		case e.step == settled:
			s.settleRefused(e, problem.OutcomeUnknown, "the stored response is kept at another daemon")
		}
	}
	s.flight, s.job, s.sweep, s.pending, s.retryAt = nil, nil, nil, nil, time.Time{}
	s.fetches = map[string]*fetch{}
	s.do(Resign{Successor: successor, Reason: reason})
}
