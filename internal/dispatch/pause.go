package dispatch

import (
	"time"

	"apricotbridge/internal/admission"
	"apricotbridge/internal/routing"
	"apricotbridge/pkg/problem"
)

// PauseServer sends no requests to an incarnation of an overloaded server until a time.
// Requests that wait for its service are refused if no server takes them in time.
func (d *Dispatcher) PauseServer(now, until time.Time, server routing.Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Router.Pause(until, server.ID, server.Incarnation)
	for id, w := range d.works {
		if w.running || w.Request.Service != server.Service {
			continue
		}
		p := d.pauseProblem(now, w)
		if p == nil {
			continue
		}
		if d.Queue.Cancel(now, id) {
			delete(d.works, id)
		} else {
			d.endWork(now, w, admission.Usage{Failed: true})
		}
		d.counts.Refused++
		w.grants <- Grant{Problem: w.refusalProblem(p)}
	}
}

// pauseProblem returns the problem of a request that can't start in time because all servers
// of its service are paused, or nil. The Retry-After is spread, so that the callers do not all
// return when the pause ends.
func (d *Dispatcher) pauseProblem(now time.Time, w *Work) *problem.Problem {
	deadline := w.Request.Deadline
	if w.Durable || w.Request.Accepted || deadline.IsZero() {
		return nil
	}
	until, paused := d.Router.AllPausedUntil(now, d.table, w.Request.Service)
	if !paused || !until.After(deadline) {
		return nil
	}
	left := until.Sub(now)
	p := problem.New(problem.NoCapacity, "all servers of service %q want no requests for %v", w.Request.Service, left.Round(time.Millisecond))
	p.RetryAfter = left + time.Duration(d.Rand.Int64N(int64(noServerRetryAfter)))
	return p
}
