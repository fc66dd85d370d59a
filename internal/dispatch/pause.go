package dispatch

import (
	"cmp"
	"slices"
	"time"

	"apricotbridge/internal/admission"
	"apricotbridge/internal/routing"
	"apricotbridge/pkg/problem"
)

// maxIntakeWait bounds the Retry-After of a request for which servers take no call in time.
// Their rates may rise earlier, which only the next requests show.
const maxIntakeWait = 30 * time.Second

// PauseServer sends no requests to an incarnation of an overloaded server until a time.
// Requests that wait for its service are refused if no server takes them in time.
func (d *Dispatcher) PauseServer(now, until time.Time, server routing.Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Router.Pause(until, server.ID, server.Incarnation)
	d.refuseExcess(now, server.Service)
}

// Takes reports whether an incarnation of a server may still get a request that was granted to it.
func (d *Dispatcher) Takes(now time.Time, server routing.Server) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Router.Takes(now, d.table, server)
}

// refuseExcess refuses the waiting requests of services that their servers do not take in time.
func (d *Dispatcher) refuseExcess(now time.Time, services ...string) {
	for _, service := range services {
		if d.Router.IntakeUntil(now, now, d.table, service).Bounded {
			d.refuseExcessOf(now, service)
		}
	}
}

// refuseExcessOf does so for a service whose servers take a bounded number of requests.
func (d *Dispatcher) refuseExcessOf(now time.Time, service string) {
	var waiting []*Work
	for _, w := range d.works {
		if !w.running && w.Request.Service == service {
			waiting = append(waiting, w)
		}
	}
	slices.SortFunc(waiting, func(a, b *Work) int {
		return cmp.Or(d.Queue.CompareRanks(a.Request.Rank, b.Request.Rank), a.Request.Arrived.Compare(b.Request.Arrived), cmp.Compare(a.Request.ID, b.Request.ID))
	})
	ahead := 0
	for _, w := range waiting {
		if w.running {
			continue // Granted when a parked one was refused.
		}
		p := d.intakeProblem(now, w, ahead)
		if p == nil {
			ahead++
			continue
		}
		if d.Queue.Cancel(now, w.Request.ID) {
			delete(d.works, w.Request.ID)
		} else {
			d.endWork(now, w, admission.Usage{Failed: true})
		}
		d.counts.Refused++
		w.grants <- Grant{Problem: w.refusalProblem(p)}
	}
}

// excessProblem returns the problem of a request that can't start in time because the servers
// of its service are paused or take a limited rate of requests, or nil.
func (d *Dispatcher) excessProblem(now time.Time, w *Work) *problem.Problem {
	if !d.Router.IntakeUntil(now, now, d.table, w.Request.Service).Bounded {
		return nil
	}
	ahead := 0
	for _, other := range d.works {
		if other != w && !other.running && other.Request.Service == w.Request.Service &&
			d.Queue.CompareRanks(other.Request.Rank, w.Request.Rank) <= 0 {
			ahead++
		}
	}
	return d.intakeProblem(now, w, ahead)
}

// intakeProblem returns the problem of a request that can't start in time after those that are
// ahead of it, or nil. The Retry-After is spread, so that the callers do not all return at the
// same time.
func (d *Dispatcher) intakeProblem(now time.Time, w *Work, ahead int) *problem.Problem {
	deadline := w.Request.Deadline
	if w.Durable || w.Request.Accepted || deadline.IsZero() {
		return nil
	}
	in := d.Router.IntakeUntil(now, deadline, d.table, w.Request.Service)
	if !in.Bounded || in.Calls > ahead {
		return nil
	}
	wait := noServerRetryAfter // No server takes requests of this daemon, others may.
	if !in.Next.IsZero() {
		wait = max(in.Next.Sub(now), 0)
	}
	if in.PerSecond > 0 {
		wait += time.Duration(min(float64(ahead-in.Calls)/in.PerSecond, maxIntakeWait.Seconds()) * float64(time.Second))
	}
	p := problem.New(problem.NoCapacity, "all servers of service %q want no further requests for %v", w.Request.Service, wait.Round(time.Millisecond))
	p.RetryAfter = wait + time.Duration(d.Rand.Int64N(int64(noServerRetryAfter)))
	return p
}
