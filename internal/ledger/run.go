package ledger

import (
	"time"

	"apricotbridge/pkg/problem"
)

func doneResult(r *Record) Result {
	if r.Dropped {
		return Result{Problem: problem.New(problem.OutcomeUnknown, "the request ran, but its response was too large to be kept")}
	}
	return Result{Response: r.Response}
}

// next returns a changed version of the record of an entry.
func next(e *entry, state State, response []byte) *Record {
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

func (s *Shard) outcome(ev Outcome) {
	e := s.entries[keyOf{ev.Organisation, ev.Key}]
	if e == nil || e.step != running || e.head.Sequence != ev.Sequence {
		return
	}
	switch {
	case ev.Ran == problem.HasRun:
		s.done(e, ev.Response)
	case e.head.Kind == Draft:
		s.runLater(e)
	case ev.Ran == problem.NotRun:
		p := ev.Problem
		if p == nil {
			p = problem.New(problem.NoCapacity, "no backend server took the request")
		}
		s.settle(e, Result{Problem: p})
		s.finish(e, next(e, Cancelled, nil))
	case e.head.Lookup:
		s.lookup(e)
	default:
		s.settleRefused(e, problem.OutcomeUnknown, "the backend server failed during the request")
		s.finish(e, next(e, Unknown, nil))
	}
}

// finish records the final state of an order that was answered.
func (s *Shard) finish(e *entry, r *Record) {
	e.step = settled
	if s.Holds() {
		s.append(e, r)
	}
}

func (s *Shard) done(e *entry, response []byte) {
	if e.head.Kind == Order {
		s.settle(e, Result{Response: response})
		s.finish(e, next(e, Done, response))
		return
	}
	if s.Holds() {
		e.step, e.response = recording, response
		s.append(e, next(e, Done, response))
	}
}

// runLater dispatches a draft again after a wait that grows with each attempt.
func (s *Shard) runLater(e *entry) {
	if !s.Holds() {
		return
	}
	e.attempts++
	e.again = s.now.Add(s.backoff(e.attempts))
	s.retries = append(s.retries, e)
}

func (s *Shard) backoff(failures int) time.Duration {
	d := min(longestRetry, s.config.Heartbeat/2, firstRetry<<min(failures-1, 8))
	return d/2 + time.Duration(s.config.Rand.Float64()*float64(d/2))
}

func (s *Shard) lookup(e *entry) {
	if e.step == looking {
		return
	}
	e.step = looking
	s.do(Lookup{Organisation: e.head.Organisation, Key: e.head.Key, Service: e.head.Service})
}

func (s *Shard) lookedUp(ev LookedUp) {
	e := s.entries[keyOf{ev.Organisation, ev.Key}]
	if e == nil || e.step != looking {
		return
	}
	if ev.Found {
		s.done(e, ev.Response)
		return
	}
	s.settleRefused(e, problem.OutcomeUnknown, "the service does not report an outcome; the request is not repeated")
	if e.head.State == Open && e.head.Fence == s.tail.Fence {
		s.finish(e, next(e, Unknown, nil))
		return
	}
	e.step = settled
}

func (s *Shard) dispatch(e *entry, again bool) {
	request := e.request
	if e.head.Kind == Draft {
		request = e.record.Request
	}
	e.step, e.request = running, nil
	s.do(Dispatch{
		Organisation: e.head.Organisation, Key: e.head.Key, Sequence: e.head.Sequence, Kind: e.head.Kind,
		Service: e.head.Service, RequestID: e.record.RequestID, Request: request,
		Fence: s.tail.Fence, Again: again,
	})
}
