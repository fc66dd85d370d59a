package ledger

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"apricotbridge/pkg/problem"
)

// job is the change of segments in progress: the seal of the tail, a compaction,
// or the removal of segments without a valid key. Its segment is written first,
// then its index, and only then does a commit name it.
type job struct {
	// prefix is the number of records of the tail that are sealed.
	prefix int
	// replaces names the adjacent segments that the job removes from the tail.
	replaces []string
	reads    map[uint64]string
	bodies   map[string][]Record
	segment  Segment
	body     []byte
	index    []byte
	heads    []Head
	// writing is the write or read in flight; 0 means none.
	writing uint64
	ready   bool
}

// deletion removes the two keys of the first garbage segment.
type deletion struct {
	id           uint64
	indexDeleted bool
	ended        bool
}

type fetch struct {
	id      uint64
	entries []*entry
}

// maxGarbage is the number of segments to delete from which deletions are as
// urgent as commits, so that the tail does not fill with their names.
const maxGarbage = 32

// maxSegments is the number of segments from which compactions are as urgent as
// commits. The takeover of a shard then reads at most about a quarter of what the
// key-value service answers in a second.
const maxSegments = 512

// work starts and continues the job and deletions.
func (s *Shard) work() {
	if s.away() {
		return
	}
	if s.job == nil && s.flight == nil && s.phase == holding {
		s.startJob()
	}
	if j := s.job; j != nil && !j.ready && j.writing == 0 && len(j.reads) == 0 &&
		(j.prefix > 0 || s.spare()) && s.take() {
		j.writing = s.id()
		if j.segment.Revision == 0 {
			s.do(Write{ID: j.writing, Key: segmentKey(s.config.Shard, j.segment.Name), Value: j.body})
		} else {
			s.do(Write{ID: j.writing, Key: indexKey(s.config.Shard, j.segment.Name), Value: j.index})
		}
	}
	if s.sweep == nil && len(s.tail.Garbage) > 0 {
		s.sweep = &deletion{}
	}
	// Deletions leave one token for the next commit unless they fall behind.
	behind := len(s.tail.Garbage) > maxGarbage
	if d := s.sweep; d != nil && !d.ended && d.id == 0 && (behind || s.tokens >= 2) && s.take() {
		d.id = s.id()
		g := s.tail.Garbage[0]
		if d.indexDeleted {
			s.do(Delete{ID: d.id, Key: segmentKey(s.config.Shard, g.Name), Revision: g.Revision})
		} else {
			s.do(Delete{ID: d.id, Key: indexKey(s.config.Shard, g.Name), Revision: g.IndexRevision})
		}
	}
}

// spare reports whether a compaction may use write tokens: while less than half of
// them are used, or when so many segments have gathered that a takeover would
// read too many indexes.
func (s *Shard) spare() bool {
	return s.tokens >= s.burst()/2 || len(s.tail.Segments) > maxSegments
}

func (s *Shard) startJob() {
	size := 0
	for i := range s.tail.Records {
		size += s.tail.Records[i].size()
	}
	if size > s.config.SealBytes {
		s.job = &job{prefix: len(s.tail.Records)}
		s.prepare(slices.Clone(s.tail.Records))
		return
	}
	if n := s.deadPrefix(); n > 0 {
		s.job = &job{ready: true, replaces: names(s.tail.Segments[:n])}
		return
	}
	if run := s.mergeable(); len(run) > 0 && s.spare() {
		s.job = &job{replaces: names(run), reads: map[uint64]string{}, bodies: map[string][]Record{}}
		for _, name := range s.job.replaces {
			s.jobLoad(name)
		}
	}
}

func names(segments []Segment) []string {
	out := make([]string, len(segments))
	for i := range segments {
		out[i] = segments[i].Name
	}
	return out
}

// deadPrefix counts the oldest segments without a valid key. Only the oldest are
// removed, because a record that has expired or was cancelled may hide an older
// version of its key.
func (s *Shard) deadPrefix() int {
	for i, seg := range s.tail.Segments {
		if !s.dead[seg.Name] {
			return i
		}
	}
	return len(s.tail.Segments)
}

// mergeable returns the first run of adjacent small segments that is long enough,
// or that has at least half of the length and fills a large segment.
func (s *Shard) mergeable() []Segment {
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

func (s *Shard) jobLoad(name string) {
	id := s.id()
	s.job.reads[id] = name
	s.do(Read{ID: id, Key: segmentKey(s.config.Shard, name)})
}

func (s *Shard) jobRead(ev ReadBack) {
	j := s.job
	if j == nil || j.reads[ev.ID] == "" {
		return
	}
	name := j.reads[ev.ID]
	delete(j.reads, ev.ID)
	var records []Record
	if ev.Failed || ev.Entry.Revision == 0 || cbor.Unmarshal(ev.Entry.Value, &records) != nil {
		s.job = nil // The compaction starts again after the next step.
		s.wentAway()
		return
	}
	j.bodies[name] = records
	if len(j.reads) > 0 {
		return
	}
	oldest := s.tail.Segments[0].Name == j.replaces[0]
	var merged []Record
	for _, segment := range j.replaces {
		for _, r := range j.bodies[segment] {
			e := s.entries[keyOf{r.Head.Organisation, r.Head.Key}]
			if e != nil && e.committed > r.Head.Sequence || e == nil && oldest {
				continue
			}
			merged = append(merged, r)
		}
	}
	j.bodies = nil
	if len(merged) == 0 {
		j.ready = true
		return
	}
	s.prepare(merged)
}

// prepare encodes the segment of the job. Its name is never used again, since it
// has the fencing number and a counter of this holder.
func (s *Shard) prepare(records []Record) {
	j := s.job
	s.segments++
	for i := range records {
		j.heads = append(j.heads, records[i].Head)
	}
	j.body, j.index = encode(records), encode(j.heads)
	j.segment = Segment{
		Name:  fmt.Sprintf("%d-%d", s.tail.Fence, s.segments),
		Bytes: len(j.body), Keys: len(records),
	}
}

// jobWrote notes a write of the job. A conflict counts as well: the name belongs
// to this holder, so an earlier attempt has written the same value.
func (s *Shard) jobWrote(id uint64, revision int64) bool {
	j := s.job
	if j == nil || j.writing == 0 || j.writing != id {
		return false
	}
	j.writing = 0
	if j.segment.Revision == 0 {
		j.segment.Revision = revision
	} else {
		j.segment.IndexRevision = revision
		j.ready = true
	}
	return true
}

func (s *Shard) jobRetry(id uint64) bool {
	if s.job == nil || s.job.writing == 0 || s.job.writing != id {
		return false
	}
	s.job.writing = 0
	return true
}

// apply puts the result of the job into the next tail.
func (j *job) apply(t *Tail) {
	t.Records = t.Records[j.prefix:]
	kept := make([]Segment, 0, len(t.Segments)+1)
	at := len(t.Segments) // A seal is the newest.
	for i, seg := range t.Segments {
		if slices.Contains(j.replaces, seg.Name) {
			at = min(at, i)
			t.Garbage = append(t.Garbage, seg)
			continue
		}
		kept = append(kept, seg)
	}
	if j.segment.Name != "" {
		kept = slices.Insert(kept, min(at, len(kept)), j.segment)
	}
	t.Segments = kept
}

// jobDone moves entries to their new segment after the commit that names it.
func (s *Shard) jobDone() {
	j := s.job
	s.job = nil
	for _, name := range j.replaces {
		delete(s.dead, name)
	}
	for i := range j.heads {
		h := &j.heads[i]
		e := s.entries[keyOf{h.Organisation, h.Key}]
		if e == nil || e.committed != h.Sequence {
			continue
		}
		e.segment = j.segment.Name
		if e.step == settled && e.head.Sequence == h.Sequence {
			e.record = nil
		}
	}
}

// deleted continues the deletion of a garbage segment.
func (s *Shard) deleted(id uint64, gone bool) {
	d := s.sweep
	if d == nil || d.id == 0 || d.id != id {
		return
	}
	d.id = 0
	if !gone {
		return
	}
	d.ended = d.indexDeleted
	d.indexDeleted = true
}

// fetch reads the segment of an entry.
func (s *Shard) fetch(e *entry) {
	f := s.fetches[e.segment]
	if f == nil {
		f = &fetch{id: s.id()}
		s.fetches[e.segment] = f
		s.do(Read{ID: f.id, Key: segmentKey(s.config.Shard, e.segment)})
	}
	if !slices.Contains(f.entries, e) {
		f.entries = append(f.entries, e)
	}
}

func (s *Shard) fetched(ev ReadBack) bool {
	name, found := "", false
	for n, f := range s.fetches {
		if f.id == ev.ID {
			name, found = n, true
		}
	}
	if !found {
		return false
	}
	waiting := s.fetches[name].entries
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
			s.settle(e, doneResult(&records[i]))
		case e.segment != name && e.segment != "":
			s.fetch(e) // The segment was compacted and deleted meanwhile.
		case e.step == running:
			s.runLater(e)
		default:
			s.settleRefused(e, problem.OutcomeUnknown, "the request ran; its response cannot be read now")
		}
	}
	return true
}

// sweepsPerRetention sets how often expired keys are removed; a key is kept for
// at most this fraction longer than its retention.
const sweepsPerRetention = 64

// expire removes expired keys and finds the segments without a valid key.
func (s *Shard) expire() {
	if s.now.Sub(s.swept) < s.config.Retention/sweepsPerRetention && !s.now.Before(s.swept) {
		return
	}
	s.swept = s.now
	live := map[string]bool{}
	for k, e := range s.entries {
		switch {
		case s.expired(e) && len(e.waiters) == 0:
			delete(s.entries, k)
		case e.head.State != Cancelled || e.committed != e.head.Sequence:
			live[e.segment] = true
		}
	}
	s.dead = map[string]bool{}
	for _, seg := range s.tail.Segments {
		if !live[seg.Name] {
			s.dead[seg.Name] = true
		}
	}
}

// order returns the entries by sequence, so that a run repeats exactly.
func (s *Shard) order() []*entry {
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
