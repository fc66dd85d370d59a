package ledger

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"time"

	"apricotbridge/pkg/problem"
)

// Config holds the limits of a Shard. Zero values get the defaults.
type Config struct {
	Shard int
	// Holder is this daemon; Incarnation is unique for each Shard value of it.
	Holder      string
	Incarnation uint64
	// Retention is how long a key is kept after it was accepted.
	Retention time.Duration
	// Heartbeat is the longest time without a write of the tail. It is a third of
	// the lease or less, so that an idle holder is not taken over.
	Heartbeat time.Duration
	// WritesPerSecond limits writes and deletions of this shard.
	WritesPerSecond float64
	// SealBytes is the size of a tail whose records are sealed.
	SealBytes int
	// MergeCount is the number of small segments that are compacted into one.
	MergeCount int
	// MaxWaiting bounds the submissions that wait for a commit or a takeover.
	MaxWaiting int
	// Rand spreads retry times.
	Rand *rand.Rand
}

// Defaults and limits.
const (
	DefaultRetention = 24 * time.Hour
	DefaultHeartbeat = 10 * time.Second
	// DefaultWritesPerSecond is the total budget of 150 over 16 shards.
	DefaultWritesPerSecond = 150.0 / 16
	DefaultSealBytes       = 64 << 10
	DefaultMergeCount      = 8
	DefaultMaxWaiting      = 1024
	// MaxRecordBytes bounds a stored request or response, so that a tail with one
	// group more stays under the 1 MB of the key-value service.
	MaxRecordBytes = 256 << 10

	maxTailBytes    = 700 << 10
	maxSegmentBytes = 512 << 10
	// A segment over this size is not compacted again, which bounds the writes of
	// a record to three.
	smallSegmentBytes = 128 << 10
	// outcomeWait bounds the wait of an outcome for a group with an intent. Until
	// then the death of the holder makes an answered order OutcomeUnknown.
	outcomeWait = 200 * time.Millisecond
	// firstRetry and longestRetry bound the wait after a refused call. Half of the
	// heartbeat bounds it as well, so that a holder returns before it is taken over.
	firstRetry   = 250 * time.Millisecond
	longestRetry = 5 * time.Second
)

func (c Config) withDefaults() Config {
	if c.Retention <= 0 {
		c.Retention = DefaultRetention
	}
	if c.Heartbeat <= 0 {
		c.Heartbeat = DefaultHeartbeat
	}
	if c.WritesPerSecond <= 0 {
		c.WritesPerSecond = DefaultWritesPerSecond
	}
	if c.SealBytes <= 0 {
		c.SealBytes = DefaultSealBytes
	}
	if c.MergeCount <= 1 {
		c.MergeCount = DefaultMergeCount
	}
	if c.MaxWaiting <= 0 {
		c.MaxWaiting = DefaultMaxWaiting
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(c.Incarnation, uint64(c.Shard)))
	}
	return c
}

// phase is the state of the holding.
type phase uint8

const (
	idle phase = iota
	reading
	claiming
	loading
	holding
	draining
	resigned
)

// step is the progress of a key at this holder.
type step uint8

const (
	// settled has no work at this holder. A settled Open record is an intent of an
	// earlier holder.
	settled step = iota
	// queued waits for its group to be committed.
	queued
	// running was dispatched, or waits to be dispatched again.
	running
	// looking waits for a Lookup.
	looking
	// recording waits for the commit of its outcome before it is answered.
	recording
)

type keyOf struct{ organisation, key string }

// entry is what the holder knows of a key.
type entry struct {
	head Head
	step step
	// record is set while the record is in the tail or not yet committed.
	record *Record
	// committed is the sequence of the newest committed version, and segment holds
	// it unless it is in the tail.
	committed uint64
	segment   string
	// request is the body of an order until it is dispatched.
	request []byte
	// response is the whole response of a draft until it is committed.
	response []byte
	waiters  []Submit
	// abandoned says that the submission was refused while its commit was
	// uncertain, so that it is never dispatched.
	abandoned bool
	// again is when a draft that did not finish is dispatched next.
	again    time.Time
	attempts int
}

// Shard is the state machine of one shard at one daemon. It is used by one
// goroutine.
type Shard struct {
	config Config
	now    time.Time
	out    []Action
	phase  phase
	nextID uint64

	tail     Tail
	revision int64
	entries  map[keyOf]*entry
	// pending are the changes of the next group.
	pending []*Record
	// pendingSince is when the oldest of them became pending.
	pendingSince time.Time
	flight       *flight
	// early are submissions that wait for a takeover.
	early   []Submit
	fetches map[string]*fetch
	loads   map[uint64]string
	retries []*entry
	job     *job
	sweep   *deletion
	swept   time.Time
	// dead are segments without a valid key.
	dead map[string]bool
	// segments counts the segments that this holder has named.
	segments uint64

	tokens   float64
	tokensAt time.Time
	wrote    time.Time
	// retryAt is set while the service is away.
	retryAt  time.Time
	failures int
	deadline time.Time
	expect   int64
	// expectRead is the read of the tail that starts a takeover.
	expectRead uint64
}

// New returns a Shard that does not hold its shard yet.
func New(config Config) *Shard {
	return &Shard{
		config: config.withDefaults(), entries: map[keyOf]*entry{},
		fetches: map[string]*fetch{}, loads: map[uint64]string{},
	}
}

// Holds reports whether the shard was held at the last commit. It may have been
// taken over since; the next commit finds out.
func (s *Shard) Holds() bool { return s.phase == holding || s.phase == draining }

// Resigned reports whether the Shard has ended.
func (s *Shard) Resigned() bool { return s.phase == resigned }

// Fence returns the fencing number of the holding.
func (s *Shard) Fence() uint64 { return s.tail.Fence }

// Step applies one event and returns the actions to perform.
func (s *Shard) Step(now time.Time, ev Event) []Action {
	s.now, s.out = now, nil
	switch ev := ev.(type) {
	case Submit:
		s.submit(ev)
	case Committed:
		s.committed(ev)
	case CommitConflict:
		s.conflict(ev)
	case CommitUnknown:
		s.unknown(ev.ID)
	case CommitRefused:
		s.refused(ev.ID)
	case ReadBack:
		s.readBack(ev)
	case Outcome:
		s.outcome(ev)
	case LookedUp:
		s.lookedUp(ev)
	case TakeOver:
		s.takeOver(ev)
	case HandOff:
		s.handOff(ev)
	case Tick:
		s.tick()
	}
	s.advance()
	return s.out
}

func (s *Shard) do(a Action) { s.out = append(s.out, a) }

func (s *Shard) id() uint64 {
	s.nextID++
	return s.nextID
}

func (s *Shard) answer(id uint64, r Result) { s.do(Answer{ID: id, Result: r}) }

func (s *Shard) refuse(id uint64, kind problem.Kind, detail string) {
	p := problem.New(kind, "%s", detail)
	if kind == problem.LedgerUnavailable {
		p.RetryAfter = max(s.retryAt.Sub(s.now), firstRetry)
		p.RetryAfter += time.Duration(s.config.Rand.Float64() * float64(p.RetryAfter))
	}
	s.answer(id, Result{Problem: p})
}

// settle answers all waiters of an entry.
func (s *Shard) settle(e *entry, r Result) {
	for _, w := range e.waiters {
		s.answer(w.ID, r)
	}
	e.waiters = nil
}

func (s *Shard) settleRefused(e *entry, kind problem.Kind, detail string) {
	for _, w := range e.waiters {
		s.refuse(w.ID, kind, detail)
	}
	e.waiters = nil
}

func (s *Shard) away() bool { return !s.retryAt.IsZero() }

// expired reports whether the key of an entry counts as new.
func (s *Shard) expired(e *entry) bool {
	if e.step != settled || e.head.Kind == Draft && e.head.State == Open {
		return false
	}
	return millis(s.now) >= e.head.AcceptedMillis+s.config.Retention.Milliseconds()
}

func (s *Shard) submit(ev Submit) {
	switch s.phase {
	case reading, claiming, loading:
		if s.away() || len(s.early) >= s.config.MaxWaiting {
			s.refuse(ev.ID, problem.LedgerUnavailable, "shard is being taken over")
			return
		}
		s.early = append(s.early, ev)
		return
	case idle, resigned:
		s.refuse(ev.ID, problem.LedgerUnavailable, "shard is not held here")
		return
	case holding, draining:
	}
	k := keyOf{ev.Organisation, ev.Key}
	e := s.entries[k]
	if e == nil || e.head.State == Cancelled && e.step == settled || s.expired(e) {
		s.fresh(k, ev)
		return
	}
	if !ev.Join && !bytes.Equal(e.head.BodyHash, bodyHash(ev.Request)) {
		s.refuse(ev.ID, problem.KeyReused, "the idempotency key was used with another request")
		return
	}
	if e.step != settled {
		if ev.Async && e.step != queued {
			s.answer(ev.ID, Result{Accepted: true})
			return
		}
		if e.abandoned {
			s.refuse(ev.ID, problem.LedgerUnavailable, "an earlier submission of the key is being withdrawn")
			return
		}
		e.waiters = append(e.waiters, ev)
		return
	}
	switch {
	case e.head.State == Done && e.record != nil:
		s.answer(ev.ID, doneResult(e.record))
	case e.head.State == Done:
		e.waiters = append(e.waiters, ev)
		s.fetch(e)
	case e.head.Lookup:
		e.waiters = append(e.waiters, ev)
		s.lookup(e)
	default:
		s.refuse(ev.ID, problem.OutcomeUnknown, "the request may have run and is not repeated")
	}
}

// fresh queues the intent of a key that is new, or that was cancelled or expired.
func (s *Shard) fresh(k keyOf, ev Submit) {
	switch {
	case ev.Join:
		s.refuse(ev.ID, problem.NotFound, "no request with this key")
		return
	case s.phase == draining:
		s.refuse(ev.ID, problem.Draining, "shard is being handed off")
		return
	case s.away():
		s.refuse(ev.ID, problem.LedgerUnavailable, "key-value service is away")
		return
	case s.tail.segmentBytes() > maxTailBytes/2:
		s.refuse(ev.ID, problem.LedgerUnavailable, "the shard is full until its oldest keys expire")
		return
	case len(s.pending) >= s.config.MaxWaiting:
		s.refuse(ev.ID, problem.LedgerUnavailable, "too many submissions wait for a commit")
		return
	case ev.Kind == Draft && len(ev.Request) > MaxRecordBytes:
		s.refuse(ev.ID, problem.BodyTooLarge, "the request is too large to be kept")
		return
	}
	r := &Record{
		Head: Head{
			Organisation: ev.Organisation, Key: ev.Key, Kind: ev.Kind, State: Open,
			BodyHash: bodyHash(ev.Request), Fence: s.tail.Fence, AcceptedMillis: millis(s.now),
			Service: ev.Service, Lookup: ev.Lookup,
		},
		RequestID: ev.RequestID,
	}
	if ev.Kind == Draft {
		r.Request = ev.Request
	}
	e := &entry{step: queued, request: ev.Request, waiters: []Submit{ev}}
	e.waiters[0].Request = nil // The entry has it.
	s.entries[k] = e
	s.append(e, r)
}

// append queues a version of a record for the next group.
func (s *Shard) append(e *entry, r *Record) {
	s.tail.NextSequence++
	r.Head.Sequence = s.tail.NextSequence
	e.head, e.record = r.Head, r
	if len(s.pending) == 0 {
		s.pendingSince = s.now
	}
	s.pending = append(s.pending, r)
}

func (s *Shard) entryOf(h *Head) *entry {
	e := s.entries[keyOf{h.Organisation, h.Key}]
	if e == nil || e.head.Sequence != h.Sequence {
		return nil
	}
	return e
}

func (s *Shard) tick() {
	if s.away() && !s.now.Before(s.retryAt) {
		s.probe()
	}
	if !s.Holds() {
		return
	}
	s.retries = slices.DeleteFunc(s.retries, func(e *entry) bool {
		if s.now.Before(e.again) {
			return false
		}
		switch {
		case s.phase != holding:
		case e.record == nil:
			s.fetch(e)
		default:
			s.dispatch(e, true)
		}
		return true
	})
	s.expire()
}
