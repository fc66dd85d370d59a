package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/admission"
	"apricotbridge/internal/dispatch"
	"apricotbridge/internal/engine"
	"apricotbridge/internal/quarantine"
	"apricotbridge/internal/routing"
	"apricotbridge/pkg/problem"
)

// modelWork returns the work of a model call. Its prompt is hashed for the prefix
// cache and the fingerprint; the text itself is not kept.
func (d *Daemon) modelWork(call *modelCall, a *answer, stop chan<- bool) *dispatch.Work {
	blocks := routing.PromptBlocks(call.prompt, call.model, "")
	return &dispatch.Work{
		Request: admission.Request{
			ID: call.id, Organisation: call.organisation, Rank: call.rank, Service: call.service.Name,
			PromptTokens: len(call.prompt) / routing.BytesPerToken, MaxTokens: call.maxTokens, Arrived: call.received,
			Generated: a.generated(), Accepted: call.accepted,
		},
		Call: routing.Call{
			RequestID: call.id, Service: call.service.Name, Rank: call.rank, Model: call.model, Session: call.session,
			Place: d.Settings.Place, Region: d.Settings.Region, Blocks: blocks,
			PromptTokens: len(call.prompt) / routing.BytesPerToken, ExpectedTokens: call.maxTokens,
		},
		Fingerprint: quarantine.FingerprintOf(call.organisation, call.service.Name, call.body),
		Durable:     call.durable,
		Stop: func(leaving bool) {
			select {
			case stop <- leaving:
			default: // The attempt was told already.
			}
		},
	}
}

// attempt runs the request at one server. It returns nil when the answer is
// complete, and otherwise how the attempt ended.
func (m *modelRun) attempt(ctx context.Context, server routing.Server) (dispatch.Ending, error) {
	ctx, end := m.watch(ctx)
	defer end()
	d, call, a := m.d, m.call, m.answer
	number, prior, ok := a.begin()
	if !ok {
		return dispatch.Stopped, errors.Annotate(errStopped, "answer takes no more attempts")
	}
	s := &attemptStream{d: d, call: call, answer: a, number: number, id: fmt.Sprintf("%s/%d", call.id, number), prior: len(prior), generated: len(prior)}
	d.continueFrom(ctx, call, a, m.work, server, s.id)
	d.cancelPrevious(call)
	ending, err := s.run(ctx, server, prior, m.work.Call.Blocks)
	if (err == nil || a.complete()) && a.end(number) {
		d.finishWork(call, a, s.generated-s.prior, s.load)
		return 0, nil
	}
	if err == nil {
		err = errors.Annotate(engine.ErrBroken, "answer is not complete")
	}
	d.dispatcher.Progress(call.id, s.generated-s.prior)
	a.fail(number)
	moving := errors.Is(context.Cause(ctx), errLeaving)
	if moving {
		err = errors.Annotate(errLeaving, err.Error())
	}
	// The view may not show yet that the server is leaving, so the cause counts.
	kept := moving || errors.Is(context.Cause(ctx), errServerLeaving) || d.leaving(server)
	call.previous = &previousAttempt{server: server, stream: s.id, alive: ending == dispatch.Stopped && kept}
	if !call.previous.alive {
		d.cancelPrevious(call) // A preempted stream frees its slot at once.
	}
	return ending, err
}

// watch returns a context that ends with its cause when the attempt is stopped or
// the request has to move, and a function that ends the watch.
func (m *modelRun) watch(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	select {
	case <-m.stop: // Meant for an attempt before this one.
	default:
	}
	watching := make(chan struct{})
	go func() {
		defer close(watching)
		select {
		case leaving := <-m.stop:
			if leaving {
				cancel(errServerLeaving)
			}
			cancel(errStopped) // The first cause counts.
		case <-m.leave:
			cancel(errLeaving)
		case <-ctx.Done():
		}
	}()
	return ctx, func() {
		cancel(nil)
		<-watching
	}
}

// maxResumes bounds the resumes of one attempt at its engine.
const maxResumes = 2

// attemptStream takes the tokens of one attempt.
type attemptStream struct {
	d         *Daemon
	call      *modelCall
	answer    *answer
	number    int
	id        string
	prior     int
	generated int
	load      *routing.Load
}

// run streams the answer from the engine. A stream that breaks off while its engine
// is there is resumed, because the engine keeps it for a while.
func (s *attemptStream) run(ctx context.Context, server routing.Server, prior []string, blocks []uint64) (dispatch.Ending, error) {
	d, call := s.d, s.call
	q := engine.Request{Stream: s.id, Body: call.body, Chat: call.chat, Priority: call.priority, Prior: prior, Blocks: blocks}
	q.Started = func(l engine.Load) { s.load = &routing.Load{Running: l.Running, Waiting: l.Waiting} }
	err := d.Engine.Stream(ctx, server.Address, q, s.token)
	for resumes := 0; err != nil; resumes++ {
		ending := d.endingOf(ctx, err, server)
		if ending != dispatch.Broken || resumes >= maxResumes || !errors.Is(err, engine.ErrBroken) || s.answer.complete() {
			return ending, err
		}
		d.Log.Info("stream resumed at its engine", "RequestID", call.id, "Server", server.ID, "After", s.generated, "Error", err.Error())
		err = d.Engine.Resume(ctx, server.Address, s.id, s.generated, s.token)
	}
	return dispatch.Broken, nil
}

func (s *attemptStream) token(t engine.Token) error {
	if s.generated == s.prior {
		now := time.Now()
		s.d.dispatcher.FirstToken(now, s.call.id)
		if s.prior == 0 {
			s.d.metrics.firstToken(s.call.rank, now.Sub(s.call.received))
		}
	}
	s.generated++
	if s.generated%progressTokens == 0 {
		s.d.dispatcher.Progress(s.call.id, s.generated-s.prior)
	}
	return s.answer.append(s.number, t)
}

// progressTokens is how often the dispatcher learns the length of an answer.
const progressTokens = 16

func (d *Daemon) finishWork(call *modelCall, a *answer, generated int, load *routing.Load) {
	used := admission.Usage{ID: call.id, OutputTokens: generated}
	answer := routing.Answer{Load: load}
	if _, _, usage := a.last(); usage != nil {
		used.PromptTokens = max(0, usage.PromptTokens-usage.CachedTokens)
		answer.CachedTokens = usage.CachedTokens
		d.metrics.tokens(usage)
	}
	d.dispatcher.Finish(time.Now(), call.id, used, answer)
}

// endingOf says how an attempt ended. A server that refuses connections after a
// response broke off, and that was not told to leave, has crashed.
func (d *Daemon) endingOf(ctx context.Context, err error, server routing.Server) dispatch.Ending {
	switch {
	case errors.Is(context.Cause(ctx), errStopped), errors.Is(context.Cause(ctx), errServerLeaving), errors.Is(context.Cause(ctx), errLeaving):
		return dispatch.Stopped
	case errors.Is(err, engine.ErrNotStarted):
		d.suspect(server)
		return dispatch.NotStarted
	}
	d.suspect(server)
	if d.leaving(server) {
		return dispatch.Stopped
	}
	probe, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	if _, err := d.Engine.Load(probe, server.Address); errors.Is(err, engine.ErrNotStarted) {
		return dispatch.Crashed
	}
	return dispatch.Broken
}

const probeTimeout = time.Second

// finalProblem returns the problem of an error that another attempt can't mend.
func finalProblem(err error) *problem.Problem {
	switch {
	case errors.Is(err, engine.ErrRejected):
		return problem.New(problem.BadRequest, "backend server rejected the request: %v", err)
	case errors.Is(err, errAnswerTooLong):
		return problem.New(problem.BackendFailed, "%v", err)
	}
	return nil
}

// logRouting writes the log line of a routing decision.
func (d *Daemon) logRouting(id, service string, attempt int, g dispatch.Grant) {
	t := g.Decision.Terms
	d.Log.Info("routing decision", "RequestID", id, "Service", service, "Attempt", attempt, "Server", g.Server.ID,
		"ServerPlace", g.Server.Place, "Reason", g.Decision.Reason, "Considered", g.Decision.Considered,
		"Score", g.Decision.Score, "Wait", t.Wait, "Prefill", t.Prefill, "Latency", t.Latency, "Price", t.Price,
		"Link", t.Link, "Health", t.Health, "CachedTokens", g.Decision.CachedTokens)
}
