package ledger

import (
	"time"

	"apricotbridge/pkg/problem"
)

func storedResult(r *Record) Result {
	if r.Dropped {
		return Result{Problem: problem.New(problem.OutcomeUnknown, "the request ran, but its response was too large to be kept")}
	}
	return Result{Response: r.Response}
}

// newVersion returns a new version of the record of an entry with the given state and
// response.
func newVersion(e *entry, state State, response []byte) *Record {
	r := &Record{Head: e.head, Response: response}
	if e.record != nil {
		r.RequestID = e.record.RequestID
	}
	r.Head.State = state
	if len(response) > MaxRecordBytes {
		r.Response, r.Dropped = nil, true
	}
	return r
}

func (s *Shard) handleOutcome(ev Outcome) {
	e := s.entries[entryKey{ev.Organisation, ev.Key}]
	if e == nil || e.step != running || e.head.Sequence != ev.Sequence {
		return
	}
	switch {
	case ev.Ran == problem.HasRun:
		s.complete(e, ev.Response)
	case e.head.Kind == Draft:
		s.retryDraft(e)
	case ev.Ran == problem.NotRun:
		p := ev.Problem
		if p == nil {
			p = problem.New(problem.NoCapacity, "no backend server took the request")
		}
		s.answerWaiters(e, Result{Problem: p})
		s.recordFinalState(e, newVersion(e, Cancelled, nil))
	case e.head.Lookup:
		s.lookup(e)
	default:
		s.refuseWaiters(e, problem.OutcomeUnknown, "the backend server failed during the request")
		s.recordFinalState(e, newVersion(e, Unknown, nil))
	}
}

// recordFinalState queues the final version of an entry whose order was answered.
func (s *Shard) recordFinalState(e *entry, r *Record) {
	e.step = settled
	if s.Holds() {
		s.queueRecord(e, r)
	}
}

func (s *Shard) complete(e *entry, response []byte) {
	if e.head.Kind == Order {
		s.answerWaiters(e, Result{Response: response})
		s.recordFinalState(e, newVersion(e, Done, response))
		return
	}
	if s.Holds() {
		e.step, e.response = recording, response
		s.queueRecord(e, newVersion(e, Done, response))
	}
}

// retryDraft schedules the next dispatch of a draft, with exponential backoff.
func (s *Shard) retryDraft(e *entry) {
	if !s.Holds() {
		return
	}
	e.attempts++
	e.retryAt = s.now.Add(s.backoffDelay(e.attempts))
	s.retries = append(s.retries, e)
}

func (s *Shard) backoffDelay(failures int) time.Duration {
	d := min(maxRetryDelay, s.config.Heartbeat/2, minRetryDelay<<min(failures-1, 8))
	return d/2 + time.Duration(s.config.Rand.Float64()*float64(d/2))
}

func (s *Shard) lookup(e *entry) {
	if e.step == lookingUp {
		return
	}
	e.step = lookingUp
	s.emit(Lookup{Organisation: e.head.Organisation, Key: e.head.Key, Service: e.head.Service})
}

func (s *Shard) handleLookedUp(ev LookedUp) {
	e := s.entries[entryKey{ev.Organisation, ev.Key}]
	if e == nil || e.step != lookingUp {
		return
	}
	if ev.Found {
		s.complete(e, ev.Response)
		return
	}
	s.refuseWaiters(e, problem.OutcomeUnknown, "the service does not report an outcome; the request is not repeated")
	if e.head.State == Open && e.head.Fence == s.tail.Fence {
		s.recordFinalState(e, newVersion(e, Unknown, nil))
		return
	}
	e.step = settled
}

func (s *Shard) dispatch(e *entry, repeated bool) {
	request := e.request
	if e.head.Kind == Draft {
		request = e.record.Request
	}
	e.step, e.request = running, nil
	s.emit(Dispatch{
		Organisation: e.head.Organisation, Key: e.head.Key, Sequence: e.head.Sequence, Kind: e.head.Kind,
		Service: e.head.Service, RequestID: e.record.RequestID, Request: request,
		Fence: s.tail.Fence, MayHaveRun: repeated,
	})
}
