package ledger

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"apricotbridge/pkg/problem"
)

// segmentJob is a change of the segments in progress: sealing the tail, a compaction,
// or the removal of segments without a valid key. The new segment is written first,
// then its index; a commit of the tail lists it only after both are stored.
type segmentJob struct {
	// prefix is the number of records at the start of the tail that are being sealed.
	prefix int
	// replaced lists the names of the adjacent segments that the job removes from the
	// tail.
	replaced         []string
	reads            map[uint64]string
	recordsBySegment map[string][]Record
	segment          Segment
	body             []byte
	index            []byte
	heads            []Head
	// writeID is the ID of the write in flight; 0 means none.
	writeID uint64
	ready   bool
}

// deletion removes the two keys of the oldest garbage segment, the index first.
type deletion struct {
	callID       uint64
	indexDeleted bool
	done         bool
}

type segmentRead struct {
	callID  uint64
	waiting []*entry
}

// maxGarbage is the number of garbage segments above which deletions have the same
// priority as commits, so that the tail does not fill with the names of garbage.
const maxGarbage = 32

// maxSegments is the number of segments above which compactions have the same
// priority as commits. Up to here the takeover of a shard reads at most about a
// quarter of what the key-value service answers in a second.
const maxSegments = 512

// continueMaintenance starts or continues the segment job and the deletion of
// garbage.
func (s *Shard) continueMaintenance() {
	if s.serviceAway() {
		return
	}
	if s.job == nil && s.inFlight == nil && s.phase == holding {
		s.startJob()
	}
	if j := s.job; j != nil && !j.ready && j.writeID == 0 && len(j.reads) == 0 &&
		(j.prefix > 0 || s.mayCompact()) && s.takeToken() {
		j.writeID = s.newID()
		if j.segment.Revision == 0 {
			s.emit(Write{ID: j.writeID, Key: segmentKey(s.config.Shard, j.segment.Name), Value: j.body})
		} else {
			s.emit(Write{ID: j.writeID, Key: indexKey(s.config.Shard, j.segment.Name), Value: j.index})
		}
	}
	if s.deletion == nil && len(s.tail.Garbage) > 0 {
		s.deletion = &deletion{}
	}
	// Deletions leave one token for the next commit unless too much garbage has
	// accumulated.
	behind := len(s.tail.Garbage) > maxGarbage
	if d := s.deletion; d != nil && !d.done && d.callID == 0 && (behind || s.tokens >= 2) && s.takeToken() {
		d.callID = s.newID()
		g := s.tail.Garbage[0]
		if d.indexDeleted {
			s.emit(Delete{ID: d.callID, Key: segmentKey(s.config.Shard, g.Name), Revision: g.Revision})
		} else {
			s.emit(Delete{ID: d.callID, Key: indexKey(s.config.Shard, g.Name), Revision: g.IndexRevision})
		}
	}
}

// mayCompact reports whether a compaction may use write tokens: while at most half of
// them are used, or when a takeover would have to read too many indexes.
func (s *Shard) mayCompact() bool {
	return s.tokens >= s.burst()/2 || len(s.tail.Segments) > maxSegments
}

func (s *Shard) startJob() {
	size := 0
	for i := range s.tail.Records {
		size += s.tail.Records[i].size()
	}
	if size > s.config.SealBytes {
		s.job = &segmentJob{prefix: len(s.tail.Records)}
		s.prepareSegment(slices.Clone(s.tail.Records))
		return
	}
	if n := s.deadPrefix(); n > 0 {
		s.job = &segmentJob{ready: true, replaced: segmentNames(s.tail.Segments[:n])}
		return
	}
	if run := s.compactable(); len(run) > 0 && s.mayCompact() {
		s.job = &segmentJob{replaced: segmentNames(run), reads: map[uint64]string{}, recordsBySegment: map[string][]Record{}}
		for _, name := range s.job.replaced {
			s.readForJob(name)
		}
	}
}

func segmentNames(segments []Segment) []string {
	out := make([]string, len(segments))
	for i := range segments {
		out[i] = segments[i].Name
	}
	return out
}

// deadPrefix returns the number of oldest segments without a valid key. Only a prefix
// is removed, because an expired or cancelled record may hide an older version of its
// key in an older segment.
func (s *Shard) deadPrefix() int {
	for i, seg := range s.tail.Segments {
		if !s.dead[seg.Name] {
			return i
		}
	}
	return len(s.tail.Segments)
}

// compactable returns the oldest run of adjacent small segments with at least
// MergeCount segments, or with half as many if one more segment would exceed
// maxSegmentBytes.
func (s *Shard) compactable() []Segment {
	start, total := 0, 0
	for i, seg := range s.tail.Segments {
		if seg.Bytes > smallSegmentBytes {
			start, total = i+1, 0
			continue
		}
		if total+seg.Bytes > maxSegmentBytes {
			if i-start >= s.config.MergeCount/2 {
				return s.tail.Segments[start:i]
			}
			start, total = i, 0
		}
		total += seg.Bytes
		if i+1-start >= s.config.MergeCount {
			return s.tail.Segments[start : i+1]
		}
	}
	return nil
}

func (s *Shard) readForJob(name string) {
	id := s.newID()
	s.job.reads[id] = name
	s.emit(Read{ID: id, Key: segmentKey(s.config.Shard, name)})
}

func (s *Shard) handleJobRead(ev ReadBack) {
	j := s.job
	if j == nil || j.reads[ev.ID] == "" {
		return
	}
	name := j.reads[ev.ID]
	delete(j.reads, ev.ID)
	var records []Record
	if ev.Failed || ev.Entry.Revision == 0 || cbor.Unmarshal(ev.Entry.Value, &records) != nil {
		s.job = nil // The compaction is restarted later.
		s.backOff()
		return
	}
	j.recordsBySegment[name] = records
	if len(j.reads) > 0 {
		return
	}
	oldest := s.tail.Segments[0].Name == j.replaced[0]
	var merged []Record
	for _, segment := range j.replaced {
		for _, r := range j.recordsBySegment[segment] {
			e := s.entries[entryKey{r.Head.Organisation, r.Head.Key}]
			if e != nil && e.committed > r.Head.Sequence || e == nil && oldest {
				continue
			}
			merged = append(merged, r)
		}
	}
	j.recordsBySegment = nil
	if len(merged) == 0 {
		j.ready = true
		return
	}
	s.prepareSegment(merged)
}

// prepareSegment encodes the new segment of the job. Its name consists of the fencing
// number and a counter of this holder, so it is never reused.
func (s *Shard) prepareSegment(records []Record) {
	j := s.job
	s.namedSegments++
	for i := range records {
		j.heads = append(j.heads, records[i].Head)
	}
	j.body, j.index = encode(records), encode(j.heads)
	j.segment = Segment{
		Name:  fmt.Sprintf("%d-%d", s.tail.Fence, s.namedSegments),
		Bytes: len(j.body), Keys: len(records),
	}
}

// handleJobWritten continues the job after one of its writes. A conflict counts as
// success: only this holder uses the name, so an earlier attempt has written the same
// value.
func (s *Shard) handleJobWritten(id uint64, revision int64) bool {
	j := s.job
	if j == nil || j.writeID == 0 || j.writeID != id {
		return false
	}
	j.writeID = 0
	if j.segment.Revision == 0 {
		j.segment.Revision = revision
	} else {
		j.segment.IndexRevision = revision
		j.ready = true
	}
	return true
}

func (s *Shard) retryJobWrite(id uint64) bool {
	if s.job == nil || s.job.writeID == 0 || s.job.writeID != id {
		return false
	}
	s.job.writeID = 0
	return true
}

// apply changes a tail according to the result of the job.
func (j *segmentJob) apply(t *Tail) {
	t.Records = t.Records[j.prefix:]
	kept := make([]Segment, 0, len(t.Segments)+1)
	position := len(t.Segments) // A sealed segment is the newest.
	for i, seg := range t.Segments {
		if slices.Contains(j.replaced, seg.Name) {
			position = min(position, i)
			t.Garbage = append(t.Garbage, seg)
			continue
		}
		kept = append(kept, seg)
	}
	if j.segment.Name != "" {
		kept = slices.Insert(kept, min(position, len(kept)), j.segment)
	}
	t.Segments = kept
}

// finishJob updates the entries in the new segment after the commit that lists it.
func (s *Shard) finishJob() {
	j := s.job
	s.job = nil
	for _, name := range j.replaced {
		delete(s.dead, name)
	}
	for i := range j.heads {
		h := &j.heads[i]
		e := s.entries[entryKey{h.Organisation, h.Key}]
		if e == nil || e.committed != h.Sequence {
			continue
		}
		e.segmentName = j.segment.Name
		if e.step == settled && e.head.Sequence == h.Sequence {
			e.record = nil
		}
	}
}

// handleDeleted continues the deletion of a garbage segment after one of its calls.
func (s *Shard) handleDeleted(id uint64, succeeded bool) {
	d := s.deletion
	if d == nil || d.callID == 0 || d.callID != id {
		return
	}
	d.callID = 0
	if !succeeded {
		return
	}
	d.done = d.indexDeleted
	d.indexDeleted = true
}

// fetch reads the segment that contains the record of an entry.
func (s *Shard) fetch(e *entry) {
	f := s.fetches[e.segmentName]
	if f == nil {
		f = &segmentRead{callID: s.newID()}
		s.fetches[e.segmentName] = f
		s.emit(Read{ID: f.callID, Key: segmentKey(s.config.Shard, e.segmentName)})
	}
	if !slices.Contains(f.waiting, e) {
		f.waiting = append(f.waiting, e)
	}
}

func (s *Shard) handleFetched(ev ReadBack) bool {
	name, found := "", false
	for n, f := range s.fetches {
		if f.callID == ev.ID {
			name, found = n, true
		}
	}
	if !found {
		return false
	}
	waiting := s.fetches[name].waiting
	delete(s.fetches, name)
	var records []Record
	if ev.Failed || ev.Entry.Revision == 0 || cbor.Unmarshal(ev.Entry.Value, &records) != nil {
		records = nil
	}
	for _, e := range waiting {
		i := slices.IndexFunc(records, func(r Record) bool {
			return r.Head.Sequence == e.head.Sequence && r.Head.Key == e.head.Key
		})
		switch {
		case i >= 0 && e.step == running:
			e.record = &records[i]
			s.dispatch(e, true)
		case i >= 0:
			s.answerWaiters(e, storedResult(&records[i]))
		case e.segmentName != name && e.segmentName != "":
			s.fetch(e) // The segment was compacted and deleted in the meantime.
		case e.step == running:
			s.retryDraft(e)
		default:
			s.refuseWaiters(e, problem.OutcomeUnknown, "the request ran; its response cannot be read now")
		}
	}
	return true
}

// expiryRunsPerRetention is how often within a retention period expired keys are
// removed. A key is kept for at most a 64th of the retention after it has expired.
const expiryRunsPerRetention = 64

// expireKeys removes expired keys and updates the set of segments without a valid
// key.
func (s *Shard) expireKeys() {
	if s.now.Sub(s.lastExpiry) < s.config.Retention/expiryRunsPerRetention && !s.now.Before(s.lastExpiry) {
		return
	}
	s.lastExpiry = s.now
	live := map[string]bool{}
	for k, e := range s.entries {
		switch {
		case s.expired(e) && len(e.waiters) == 0:
			delete(s.entries, k)
		case e.head.State != Cancelled || e.committed != e.head.Sequence:
			live[e.segmentName] = true
		}
	}
	s.dead = map[string]bool{}
	for _, seg := range s.tail.Segments {
		if !live[seg.Name] {
			s.dead[seg.Name] = true
		}
	}
}

// entriesBySequence returns the entries in a fixed order, which makes runs
// reproducible.
func (s *Shard) entriesBySequence() []*entry {
	all := make([]*entry, 0, len(s.entries))
	for _, e := range s.entries {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *entry) int {
		switch {
		case a.head.Sequence < b.head.Sequence:
			return -1
		case a.head.Sequence > b.head.Sequence:
			return 1
		default:
			return 0
		}
	})
	return all
}
