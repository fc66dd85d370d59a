package quarantine

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"apricotbridge/internal/message"
)

const (
	// evidenceExpiry is how long a suspect is refused after its last crash. It may then run
	// again, because servers may have been replaced by better ones.
	evidenceExpiry = 10 * time.Minute
	// maxRecordRuns bounds the runs kept for one suspect.
	maxRecordRuns = 16
	// survivalMemory is how long a part that ran without a crash is not a suspect here. It
	// spares the peers reports of parts that most prompts share.
	survivalMemory = 2 * time.Second
	// clearedMemory is how long a suspect is kept all of whose runs are cleared, so that
	// reports of them that arrive late have no effect.
	clearedMemory = 10 * time.Second
)

// Suspect is what may crash the servers that run a request.
type Suspect struct {
	Fingerprint Fingerprint
	// Part means that it is a part of the prompt that other prompts may share; otherwise it
	// is the request as a whole.
	Part bool
}

// PartFingerprint returns the fingerprint of a part of a prompt. It is the same wherever the
// part stands.
func PartFingerprint(id string) Fingerprint { return FingerprintOf("", "prompt part", []byte(id)) }

// Run is a run of a request that ended when its server closed the connection.
type Run struct {
	// Server identifies the incarnation of the server.
	Server       uint64
	Began, Ended time.Time
	// Confirmed means that the server refused connections afterwards. Otherwise it may have
	// lost only this connection.
	Confirmed bool
	// Cleared means that the suspect has since run without a crash.
	Cleared bool
}

// ServerKey identifies an incarnation of a server in a Run.
func ServerKey(id string, incarnation int64) uint64 {
	d := xxhash.New()
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], uint64(incarnation)) //nolint:gosec // Any bits identify it.
	_, _ = d.Write(number[:])
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// Evidence is what the daemons know together of the requests, and of the parts of their
// prompts, at which servers crashed. It decides which requests to refuse. Unlike a List it
// neither delays nor isolates suspects, so that daemons need not hand requests over to one
// another.
//
// A suspect that finishes is cleared: its earlier crashes no longer count. A crash that a
// part shares with a part of stronger evidence does not count against it. Merging the records
// of peers is commutative and idempotent: runs are united, and a run is cleared when either
// side cleared it. It compares no times, which shift with each hop.
//
// Evidence is not safe for concurrent use. The zero value is ready to use.
type Evidence struct {
	records map[Fingerprint]*record
	// changed holds the suspects whose records peers have not been sent yet.
	changed map[Fingerprint]bool
	// crashes holds when the servers of requests with parts crashed, for crashMemory.
	crashes map[uint64]time.Time
	// survivals holds when parts last ran here without a crash, for survivalMemory.
	survivals map[Fingerprint]time.Time
	lastSweep time.Time
}

// record holds the crashes of one suspect.
type record struct {
	part bool
	// refused is set while the part is refused, which takes less evidence than to begin.
	refused bool
	// runs are the crashed runs in the order in which they ended, one for each server.
	runs []Run
	// counted are the runs that count as crashes, and inTurn is the length of their sequence.
	counted []Run
	inTurn  int
}

// Lost records that the connections of a run with the given suspects were closed by its
// server.
func (e *Evidence) Lost(now time.Time, run Run, suspects []Suspect) {
	for _, s := range suspects {
		if at, ok := e.survivals[s.Fingerprint]; ok && now.Sub(at) < survivalMemory {
			continue
		}
		if e.add(s, run) {
			e.changed[s.Fingerprint] = true
		}
	}
	e.sweep(now)
}

// Survived records that a run with the given suspects did not crash its server.
func (e *Evidence) Survived(now time.Time, suspects []Suspect) {
	for _, s := range suspects {
		if s.Part {
			e.noteSurvival(now, s.Fingerprint)
		}
		if r := e.records[s.Fingerprint]; r != nil && r.clear() {
			e.changed[s.Fingerprint] = true
		}
	}
	e.sweep(now)
}

// Refused returns the suspects that are refused, in order.
func (e *Evidence) Refused(now time.Time) []Fingerprint {
	var list []Fingerprint
	for f := range e.records {
		if e.refused(now, f) {
			list = append(list, f)
		}
	}
	slices.Sort(list)
	return list
}

func (e *Evidence) noteSurvival(now time.Time, f Fingerprint) {
	if e.survivals == nil {
		e.survivals = map[Fingerprint]time.Time{}
	}
	e.survivals[f] = now
}

// HasCrashes reports whether a suspect has crashes that it was not cleared of.
func (e *Evidence) HasCrashes(now time.Time, f Fingerprint) bool {
	r := e.records[f]
	return r != nil && r.hasOpenRuns() && !r.expired(now)
}

// Len returns the number of suspects with crashes.
func (e *Evidence) Len() int {
	n := 0
	for _, r := range e.records {
		if r.hasOpenRuns() {
			n++
		}
	}
	return n
}

// TakeChanges returns the records that changed since the last call.
func (e *Evidence) TakeChanges(now time.Time) []message.SuspectRecord {
	if len(e.changed) == 0 {
		return nil
	}
	changes := e.Records(now, slices.Sorted(maps.Keys(e.changed)))
	clear(e.changed)
	return changes
}

// Records returns the records of suspects for peers.
func (e *Evidence) Records(now time.Time, suspects []Fingerprint) []message.SuspectRecord {
	list := make([]message.SuspectRecord, 0, len(suspects))
	for _, f := range suspects {
		if r := e.records[f]; r != nil {
			list = append(list, r.encode(now, f))
		}
	}
	return list
}

// RefusedHash returns a hash of the suspects that are refused, or 0 if there are none. Daemons
// with different hashes send each other what they refuse, because single messages get lost.
func (e *Evidence) RefusedHash(now time.Time) uint64 {
	sum := uint64(0)
	for f := range e.records {
		if e.refused(now, f) {
			sum += mixFingerprint(f)
		}
	}
	return sum
}

// mixFingerprint spreads a fingerprint over all bits, so that sums of them differ.
func mixFingerprint(f Fingerprint) uint64 {
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], uint64(f))
	return xxhash.Sum64(number[:])
}

// Merge merges the records of a peer and returns the suspects whose evidence it changed.
func (e *Evidence) Merge(now time.Time, records []message.SuspectRecord) []Fingerprint {
	var news []Fingerprint
	for _, m := range records {
		s := Suspect{Fingerprint(m.Suspect), m.Part}
		changed := false
		for _, c := range m.Crashes {
			run := Run{Server: c.Server, Began: ago(now, c.Began), Ended: ago(now, c.Ended), Confirmed: c.Confirmed, Cleared: c.Cleared}
			if now.Sub(run.Ended) >= evidenceExpiry {
				continue
			}
			if e.add(s, run) {
				changed = true
			} else if !run.Cleared && e.records[s.Fingerprint].cleared(run.Server) {
				e.changed[s.Fingerprint] = true // The peer does not know that it was cleared.
			}
		}
		if changed {
			news = append(news, s.Fingerprint)
		}
	}
	e.sweep(now)
	return news
}

// ago returns the time that lies a number of milliseconds back. The number is limited to the
// range from 0 to evidenceExpiry.
func ago(now time.Time, milliseconds int64) time.Time {
	return now.Add(-time.Duration(max(0, min(milliseconds, evidenceExpiry.Milliseconds()))) * time.Millisecond)
}

func (e *Evidence) recordOf(s Suspect) *record {
	if e.records == nil {
		e.records, e.changed, e.crashes = map[Fingerprint]*record{}, map[Fingerprint]bool{}, map[uint64]time.Time{}
	}
	r := e.records[s.Fingerprint]
	if r == nil {
		r = &record{part: s.Part}
		e.records[s.Fingerprint] = r
	}
	return r
}

// add adds a crashed run of a suspect and reports whether its record changed.
func (e *Evidence) add(s Suspect, run Run) bool {
	changed := e.recordOf(s).add(run)
	if _, known := e.crashes[run.Server]; s.Part && run.Confirmed && !known {
		e.crashes[run.Server] = run.Ended
	}
	return changed
}

// sweep removes expired records. When there are too many, it makes room for an eighth of the
// greatest number, because it is expensive: it removes those with the fewest crashes first,
// then the oldest.
func (e *Evidence) sweep(now time.Time) {
	if len(e.records) <= defaultMaxEntries && now.Sub(e.lastSweep) < sweepInterval {
		return
	}
	e.lastSweep = now
	maps.DeleteFunc(e.crashes, func(_ uint64, at time.Time) bool { return now.Sub(at) > crashMemory })
	maps.DeleteFunc(e.survivals, func(_ Fingerprint, at time.Time) bool { return now.Sub(at) > survivalMemory })
	for f, r := range e.records {
		if r.expired(now) {
			e.remove(f)
		}
	}
	if len(e.records) <= defaultMaxEntries {
		return
	}
	order := slices.SortedFunc(maps.Keys(e.records), func(a, b Fingerprint) int {
		x, y := e.records[a], e.records[b]
		return cmp.Or(cmp.Compare(len(x.counted), len(y.counted)), x.last().Compare(y.last()), cmp.Compare(a, b))
	})
	for _, f := range order[:len(order)-defaultMaxEntries*7/8] {
		e.remove(f)
	}
}

func (e *Evidence) remove(f Fingerprint) {
	delete(e.records, f)
	delete(e.changed, f)
}

// add adds a crashed run and reports whether the record changed.
func (r *record) add(run Run) bool {
	defer r.count()
	if i := slices.IndexFunc(r.runs, func(o Run) bool { return o.Server == run.Server }); i >= 0 {
		known := &r.runs[i]
		changed := run.Confirmed && !known.Confirmed || run.Cleared && !known.Cleared
		known.Confirmed = known.Confirmed || run.Confirmed
		known.Cleared = known.Cleared || run.Cleared
		return changed
	}
	at, _ := slices.BinarySearchFunc(r.runs, run, func(a, b Run) int {
		return cmp.Or(a.Ended.Compare(b.Ended), cmp.Compare(a.Server, b.Server))
	})
	r.runs = slices.Insert(r.runs, at, run)
	if len(r.runs) <= maxRecordRuns {
		return !run.Cleared
	}
	// A run outside the sequence says nothing that the others do not. A sequence this long
	// is far beyond the limits.
	drop := slices.IndexFunc(r.runs, func(o Run) bool { return o.Cleared })
	if drop < 0 {
		inTurn := sequence(r.runs)
		drop = max(0, slices.IndexFunc(r.runs, func(o Run) bool { return !slices.Contains(inTurn, o) }))
	}
	dropped := r.runs[drop]
	r.runs = slices.Delete(r.runs, drop, drop+1)
	return !run.Cleared && dropped != run
}

// clear clears all runs and reports whether one was not cleared before.
func (r *record) clear() bool {
	if !r.hasOpenRuns() {
		return false
	}
	for i := range r.runs {
		r.runs[i].Cleared = true
	}
	r.count()
	return true
}

// cleared reports whether the run at a server is cleared.
func (r *record) cleared(server uint64) bool {
	return slices.ContainsFunc(r.runs, func(run Run) bool { return run.Server == server && run.Cleared })
}

// hasOpenRuns reports whether a run is not cleared.
func (r *record) hasOpenRuns() bool {
	return slices.ContainsFunc(r.runs, func(run Run) bool { return !run.Cleared })
}

// count updates counted and inTurn.
func (r *record) count() {
	limit := maxRequestCrashes
	if r.part {
		limit = maxPartCrashes
	}
	r.counted = slices.DeleteFunc(slices.Clone(r.runs), func(run Run) bool { return run.Cleared })
	if len(r.counted) < unconfirmedFactor*limit {
		r.counted = slices.DeleteFunc(r.counted, func(run Run) bool { return !run.Confirmed })
	}
	r.inTurn = len(sequence(r.counted))
}

// last returns when the last run ended.
func (r *record) last() time.Time {
	if len(r.runs) == 0 {
		return time.Time{}
	}
	return r.runs[len(r.runs)-1].Ended
}

func (r *record) expired(now time.Time) bool {
	if !r.hasOpenRuns() {
		return now.Sub(r.last()) > clearedMemory
	}
	return now.Sub(r.last()) > evidenceExpiry
}

func (r *record) encode(now time.Time, f Fingerprint) message.SuspectRecord {
	m := message.SuspectRecord{Suspect: uint64(f), Part: r.part}
	for _, run := range r.runs {
		m.Crashes = append(m.Crashes, message.CrashedRun{
			Server: run.Server, Began: now.Sub(run.Began).Milliseconds(), Ended: now.Sub(run.Ended).Milliseconds(), Confirmed: run.Confirmed, Cleared: run.Cleared,
		})
	}
	return m
}
