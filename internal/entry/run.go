package entry

import (
	"context"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/dispatch"
	"apricotbridge/pkg/problem"
)

const (
	errAnswerTooLong = errors.ConstError("answer exceeds the buffer")
	// errAttemptStopped is the cancellation cause of a preempted attempt, and
	// errServerLeaving that of an attempt whose server is leaving.
	errAttemptStopped = errors.ConstError("attempt stopped")
	errServerLeaving  = errors.ConstError("backend server is leaving")
	// maxAttempts bounds failed attempts. Stopped attempts do not count.
	maxAttempts = 4
)

// modelRun produces the answer of one model request.
type modelRun struct {
	d      *Daemon
	call   *modelCall
	answer *answer
	work   *dispatch.Work
	// stop ends the running attempt; its value is whether the server is leaving.
	stop     chan bool
	failures int
}

// runModelCall produces the answer of a request: it queues for a server and runs
// attempts until one completes the answer. Each attempt continues after the tokens of
// earlier ones.
func (d *Daemon) runModelCall(ctx context.Context, call *modelCall, a *answer) *problem.Problem {
	m := &modelRun{d: d, call: call, answer: a, stop: make(chan bool, 1)}
	m.work = d.modelWork(call, a, m.stop)
	if d.handOverSuspect(ctx, call, a, m.work) {
		return nil
	}
	if p := d.dispatcher.Submit(time.Now(), m.work); p != nil {
		return p
	}
	defer d.cancelPreviousStream(call)
	for {
		if done, p := m.runNextAttempt(ctx); done {
			return p
		}
	}
}

// runNextAttempt runs one attempt. It reports whether the request is finished at this
// daemon.
func (m *modelRun) runNextAttempt(ctx context.Context) (done bool, p *problem.Problem) {
	grant, err := m.d.awaitGrant(ctx, m.work, m.answer.handOverRequested)
	switch {
	case errors.Is(err, errDaemonLeaving):
		return m.handOver(ctx), nil
	case err != nil:
		return true, problem.New(problem.Internal, "request was cancelled")
	case grant.Problem != nil:
		return true, grant.Problem
	}
	m.d.logRouting(m.call.id, m.call.service.Name, m.failures+1, grant)
	ending, err := m.attempt(ctx, grant.Server)
	if err == nil {
		return true, nil
	}
	m.d.Log.Info("attempt ended early", "RequestID", m.call.id, "Server", grant.Server.ID, "Ending", ending.String(), "Error", err.Error())
	if errors.Is(err, errDaemonLeaving) && m.handOver(ctx) {
		return true, nil
	}
	return m.retryOrEnd(ctx, ending, err)
}

// handOver moves the request to another daemon. When none accepts it, it continues
// here until the next hand-over.
func (m *modelRun) handOver(ctx context.Context) bool {
	if !m.d.handOver(ctx, m.call, m.answer) {
		m.answer.postponeHandOver(time.Now())
		return false
	}
	m.d.dispatcher.Cancel(time.Now(), m.call.id)
	return true
}

// retryOrEnd queues the request for another attempt, or ends it.
func (m *modelRun) retryOrEnd(ctx context.Context, ending dispatch.Ending, err error) (done bool, p *problem.Problem) {
	d, id := m.d, m.call.id
	if ending != dispatch.Stopped {
		m.failures++
	}
	switch {
	case ctx.Err() != nil:
		p = problem.New(problem.Internal, "request was cancelled")
	case permanentProblem(err) != nil:
		p = permanentProblem(err)
	case m.failures >= maxAttempts && !m.work.Durable:
		p = problem.New(problem.BackendFailed, "%d attempts failed", m.failures)
	}
	if p != nil {
		d.dispatcher.Cancel(time.Now(), id)
		return true, p
	}
	if p := d.dispatcher.Retry(time.Now(), id, ending); p != nil {
		return true, p
	}
	if ending == dispatch.Crashed {
		d.tryPost(func(c *controlState, _ time.Time) { c.pushSuspects() })
	}
	if d.handOverSuspect(ctx, m.call, m.answer, m.work) {
		d.dispatcher.Cancel(time.Now(), id)
		return true, nil
	}
	return false, nil
}

// awaitGrant waits until the dispatcher grants a server. It returns errDaemonLeaving
// when the request has to move first.
func (d *Daemon) awaitGrant(ctx context.Context, w *dispatch.Work, handOver <-chan struct{}) (dispatch.Grant, error) {
	select {
	case grant := <-w.Grants():
		return grant, nil
	case <-handOver:
		return dispatch.Grant{}, errDaemonLeaving
	case <-ctx.Done():
		d.dispatcher.Cancel(time.Now(), w.Request.ID)
		return dispatch.Grant{}, ctx.Err()
	}
}
