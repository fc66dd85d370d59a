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
	// errStopped is the cause of the end of an attempt that made room, and
	// errServerLeaving that of one whose server is leaving.
	errStopped       = errors.ConstError("attempt stopped")
	errServerLeaving = errors.ConstError("backend server is leaving")
	// maxAttempts bounds the attempts that fail. Attempts that were stopped do not
	// count.
	maxAttempts = 4
)

// modelRun produces the answer of one model request.
type modelRun struct {
	d      *Daemon
	call   *modelCall
	answer *answer
	work   *dispatch.Work
	// stop tells the running attempt to end, with whether its server is leaving, and
	// leave the request to move to another daemon.
	stop     chan bool
	leave    <-chan struct{}
	failures int
}

// runModelCall produces the answer: it waits for its turn and runs attempts until
// one is complete. Each attempt goes on after the events of those before it.
func (d *Daemon) runModelCall(ctx context.Context, call *modelCall, a *answer) *problem.Problem {
	m := &modelRun{d: d, call: call, answer: a, stop: make(chan bool, 1), leave: a.leave}
	m.work = d.modelWork(call, a, m.stop)
	if d.quarantine(ctx, call, a, m.work) {
		return nil
	}
	if p := d.dispatcher.Submit(time.Now(), m.work); p != nil {
		return p
	}
	defer d.cancelPrevious(call)
	for {
		if done, p := m.step(ctx); done {
			return p
		}
	}
}

// step runs one attempt. It reports whether the request is over here.
func (m *modelRun) step(ctx context.Context) (done bool, p *problem.Problem) {
	grant, err := m.d.turn(ctx, m.work, m.leave)
	switch {
	case errors.Is(err, errLeaving):
		return m.move(ctx), nil
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
	if errors.Is(err, errLeaving) && m.move(ctx) {
		return true, nil
	}
	return m.again(ctx, ending, err)
}

// move hands the request to another daemon. When none takes it, it goes on here.
func (m *modelRun) move(ctx context.Context) bool {
	if !m.d.handOver(ctx, m.call, m.answer) {
		m.leave = nil
		return false
	}
	m.d.dispatcher.Cancel(time.Now(), m.call.id)
	return true
}

// again queues the request for another attempt, or ends it.
func (m *modelRun) again(ctx context.Context, ending dispatch.Ending, err error) (done bool, p *problem.Problem) {
	d, id := m.d, m.call.id
	if ending != dispatch.Stopped {
		m.failures++
	}
	switch {
	case ctx.Err() != nil:
		p = problem.New(problem.Internal, "request was cancelled")
	case finalProblem(err) != nil:
		p = finalProblem(err)
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
		d.tell(func(c *controlState, _ time.Time) { c.pushSuspects() })
	}
	if d.quarantine(ctx, m.call, m.answer, m.work) {
		d.dispatcher.Cancel(time.Now(), id)
		return true, nil
	}
	return false, nil
}

// turn waits until a request gets a turn. It returns errLeaving when the request
// has to move first.
func (d *Daemon) turn(ctx context.Context, w *dispatch.Work, leave <-chan struct{}) (dispatch.Grant, error) {
	select {
	case grant := <-w.Grants():
		return grant, nil
	case <-leave:
		return dispatch.Grant{}, errLeaving
	case <-ctx.Done():
		d.dispatcher.Cancel(time.Now(), w.Request.ID)
		return dispatch.Grant{}, ctx.Err()
	}
}
