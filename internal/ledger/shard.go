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
	// Holder is the name of this daemon; Incarnation is unique for each Shard value
	// of the daemon.
	Holder      string
	Incarnation uint64
	// Retention is how long a key is kept after its request was accepted.
	Retention time.Duration
	// Heartbeat is the longest time between writes of the tail. It is at most a third
	// of the lease, so that an idle holder is not taken over.
	Heartbeat time.Duration
	// WritesPerSecond limits the rate of writes and deletions of this shard.
	WritesPerSecond float64
	// SealBytes is the size of the records in the tail above which they are sealed
	// into a segment.
	SealBytes int
	// MergeCount is the number of adjacent small segments that are compacted into
	// one.
	MergeCount int
	// MaxWaiting limits the submissions that wait for a commit or a takeover.
	MaxWaiting int
	// Rand provides the jitter of retry times.
	Rand *rand.Rand
}

// Defaults and limits.
const (
	DefaultRetention = 24 * time.Hour
	DefaultHeartbeat = 10 * time.Second
	// DefaultWritesPerSecond is 150 writes/s of the key-value service divided by 16
	// shards.
	DefaultWritesPerSecond = 150.0 / 16
	DefaultSealBytes       = 64 << 10
	DefaultMergeCount      = 8
	DefaultMaxWaiting      = 1024
	// MaxRecordBytes limits a stored request or response, so that a tail with one
	// more group stays below the value limit of the key-value service, 1 MB.
	MaxRecordBytes = 256 << 10

	maxTailBytes    = 700 << 10
	maxSegmentBytes = 512 << 10
	// A segment above smallSegmentBytes is not compacted again, so that a record is
	// written at most three times.
	smallSegmentBytes = 128 << 10
	// maxOutcomeWait limits how long an outcome waits for a group with an intent. If
	// the holder dies before its outcome is committed, an answered order becomes
	// OutcomeUnknown.
	maxOutcomeWait = 200 * time.Millisecond
	// minRetryDelay and maxRetryDelay limit the backoff after a refused call. It is
	// also limited to half of the heartbeat, so that a holder retries before it is
	// taken over.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 5 * time.Second
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

// phase is the state of this Shard with respect to its shard.
type phase uint8

const (
	idle     phase = iota // not the holder
	reading               // reads the tail before a takeover
	claiming              // writes the tail as the next holder
	loading               // reads the indexes of the segments
	holding               // serves submissions
	draining              // hands the shard off
	resigned
)

// step is the progress of a key at this holder.
type step uint8

const (
	// settled means that this holder has nothing to do. A settled entry in state Open
	// is an intent of an earlier holder.
	settled step = iota
	// queued means that the intent waits for the commit of its group.
	queued
	// running means that the request was dispatched or waits for its next dispatch.
	running
	// lookingUp means that a Lookup is in flight.
	lookingUp
	// recording means that a draft's response waits for its commit before it is
	// answered.
	recording
)

type entryKey struct{ organisation, key string }

// entry is the state of a key at the holder.
type entry struct {
	head Head
	step step
	// record is set while the record is in the tail or not yet committed.
	record *Record
	// committed is the sequence of the newest committed version. segmentName is the
	// segment that contains this version; it is empty while the version is in the
	// tail.
	committed   uint64
	segmentName string
	// request is the body of an order until it is dispatched.
	request []byte
	// response is the whole response of a draft until it is committed.
	response []byte
	waiters  []Submit
	// abandoned is set when the submission was refused while its commit was
	// uncertain. Such an order is never dispatched.
	abandoned bool
	// retryAt is the time of the next dispatch of a draft that did not finish.
	retryAt  time.Time
	attempts int
}

// Shard is the state machine of one shard at one daemon. It is used by one
// goroutine.
type Shard struct {
	config  Config
	now     time.Time
	actions []Action
	phase   phase
	nextID  uint64

	tail     Tail
	revision int64
	entries  map[entryKey]*entry
	// pending contains the records that the next commit writes as a group.
	pending []*Record
	// pendingSince is when the oldest pending record was queued.
	pendingSince time.Time
	inFlight     *tailWrite
	// awaitingTakeover contains submissions that wait for the end of the takeover.
	awaitingTakeover []Submit
	fetches          map[string]*segmentRead // by segment name
	indexReads       map[uint64]string       // call ID to segment name
	retries          []*entry                // drafts that wait for their next dispatch
	job              *segmentJob
	deletion         *deletion
	lastExpiry       time.Time
	// dead contains the names of segments without a valid key.
	dead map[string]bool
	// namedSegments counts the segment names that this holder has assigned.
	namedSegments uint64

	tokens     float64
	refilledAt time.Time
	lastWrite  time.Time
	// retryAt is the time of the next attempt while the key-value service is away,
	// else zero.
	retryAt         time.Time
	failures        int // consecutive failed attempts, for the backoff
	handOffDeadline time.Time
	// expectedRevision is the Revision of the TakeOver; 0 accepts any tail.
	expectedRevision int64
	// tailReadID is the ID of the read of the tail that starts a takeover.
	tailReadID uint64
}

// New returns a Shard that does not hold its shard yet.
func New(config Config) *Shard {
	return &Shard{
		config: config.withDefaults(), entries: map[entryKey]*entry{},
		fetches: map[string]*segmentRead{}, indexReads: map[uint64]string{},
	}
}

// Holds reports whether this daemon held the shard at the last commit. Another daemon
// may have taken it over since; the next commit detects that.
func (s *Shard) Holds() bool { return s.phase == holding || s.phase == draining }

// Resigned reports whether this Shard has resigned. It is not used again.
func (s *Shard) Resigned() bool { return s.phase == resigned }

// Fence returns the fencing number of this holder.
func (s *Shard) Fence() uint64 { return s.tail.Fence }

// Step applies one event and returns the actions to perform.
func (s *Shard) Step(now time.Time, ev Event) []Action {
	s.now, s.actions = now, nil
	switch ev := ev.(type) {
	case Submit:
		s.submit(ev)
	case Committed:
		s.handleCommitted(ev)
	case CommitConflict:
		s.handleConflict(ev)
	case CommitUnknown:
		s.handleUnknown(ev.ID)
	case CommitRefused:
		s.handleRefused(ev.ID)
	case ReadBack:
		s.handleReadBack(ev)
	case Outcome:
		s.handleOutcome(ev)
	case LookedUp:
		s.handleLookedUp(ev)
	case TakeOver:
		s.takeOver(ev)
	case HandOff:
		s.handOff(ev)
	case Tick:
		s.tick()
	}
	s.advance()
	return s.actions
}

func (s *Shard) emit(a Action) { s.actions = append(s.actions, a) }

func (s *Shard) newID() uint64 {
	s.nextID++
	return s.nextID
}

func (s *Shard) answer(id uint64, r Result) { s.emit(Answer{ID: id, Result: r}) }

func (s *Shard) refuse(id uint64, kind problem.Kind, detail string) {
	p := problem.New(kind, "%s", detail)
	if kind == problem.LedgerUnavailable {
		p.RetryAfter = max(s.retryAt.Sub(s.now), minRetryDelay)
		p.RetryAfter += time.Duration(s.config.Rand.Float64() * float64(p.RetryAfter))
	}
	s.answer(id, Result{Problem: p})
}

// answerWaiters answers all waiters of an entry.
func (s *Shard) answerWaiters(e *entry, r Result) {
	for _, w := range e.waiters {
		s.answer(w.ID, r)
	}
	e.waiters = nil
}

func (s *Shard) refuseWaiters(e *entry, kind problem.Kind, detail string) {
	for _, w := range e.waiters {
		s.refuse(w.ID, kind, detail)
	}
	e.waiters = nil
}

func (s *Shard) serviceAway() bool { return !s.retryAt.IsZero() }

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
		if s.serviceAway() || len(s.awaitingTakeover) >= s.config.MaxWaiting {
			s.refuse(ev.ID, problem.LedgerUnavailable, "shard is being taken over")
			return
		}
		s.awaitingTakeover = append(s.awaitingTakeover, ev)
		return
	case idle, resigned:
		s.refuse(ev.ID, problem.LedgerUnavailable, "shard is not held here")
		return
	case holding, draining:
	}
	k := entryKey{ev.Organisation, ev.Key}
	e := s.entries[k]
	if e == nil || e.head.State == Cancelled && e.step == settled || s.expired(e) {
		s.queueIntent(k, ev)
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
		s.answer(ev.ID, storedResult(e.record))
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

// queueIntent queues the intent of a key that is new, cancelled or expired.
func (s *Shard) queueIntent(k entryKey, ev Submit) {
	switch {
	case ev.Join:
		s.refuse(ev.ID, problem.NotFound, "no request with this key")
		return
	case s.phase == draining:
		s.refuse(ev.ID, problem.Draining, "shard is being handed off")
		return
	case s.serviceAway():
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
	e.waiters[0].Request = nil // The entry keeps the body.
	s.entries[k] = e
	s.queueRecord(e, r)
}

// queueRecord queues a version of a record for the next group.
func (s *Shard) queueRecord(e *entry, r *Record) {
	s.tail.NextSequence++
	r.Head.Sequence = s.tail.NextSequence
	e.head, e.record = r.Head, r
	if len(s.pending) == 0 {
		s.pendingSince = s.now
	}
	s.pending = append(s.pending, r)
}

func (s *Shard) entryOf(h *Head) *entry {
	e := s.entries[entryKey{h.Organisation, h.Key}]
	if e == nil || e.head.Sequence != h.Sequence {
		return nil
	}
	return e
}

func (s *Shard) tick() {
	if s.serviceAway() && !s.now.Before(s.retryAt) {
		s.retryAfterOutage()
	}
	if !s.Holds() {
		return
	}
	s.retries = slices.DeleteFunc(s.retries, func(e *entry) bool {
		if s.now.Before(e.retryAt) {
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
	s.expireKeys()
}
