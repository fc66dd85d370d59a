package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/admission"
	"apricotbridge/internal/backend"
	"apricotbridge/internal/dispatch"
	"apricotbridge/internal/logs"
	"apricotbridge/internal/route"
	"apricotbridge/internal/routing"
	"apricotbridge/pkg/problem"
)

const (
	// extraSends is how many servers more than the route allows may get a request
	// that the others certainly did not run.
	extraSends = 2
	// answerBytes bounds an answer that is not a stream.
	answerBytes = 16 << 20
	// hedgeFactor is how many times its target an idempotent request waits for its
	// answer before another server is tried.
	hedgeFactor = 2
	// blameAfter is how long a server may stay silent before new work is kept away from
	// it. The longest requests of plain services take half of it.
	blameAfter = time.Second
	// minLeft is the least time for which a request is sent to another server.
	minLeft = 100 * time.Millisecond
)

// result is how an attempt ended.
type result struct {
	// done says that the caller has its answer, or is gone.
	done   bool
	ending dispatch.Ending
	err    error
	// answer is an answer of the server that is passed on when there is no further
	// attempt.
	answer *answer
}

// answer is a whole answer of a server.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// run queues the request and sends it to servers until one answers.
func (s *session) run() {
	g := s.g
	s.work = s.newWork()
	g.demand.arrived(s.received, s.service, &s.call)
	if p := g.dispatcher.Submit(time.Now(), s.work); p != nil {
		s.refuse(p)
		return
	}
	timer := time.NewTimer(time.Until(s.deadline))
	defer timer.Stop()
	for {
		var grant dispatch.Grant
		select {
		case grant = <-s.work.Grants():
		case <-s.r.Context().Done():
			s.gone("while waiting")
		case <-timer.C:
			s.cancel()
			s.refuse(s.expired())
			return
		}
		if grant.Problem != nil {
			s.refuse(s.adjust(grant.Problem))
			return
		}
		res := s.attempt(grant)
		if res.done {
			return
		}
		if p := s.next(res); p != nil {
			s.fail(res, p)
			return
		}
	}
}

// cancel takes the request back from the dispatcher.
func (s *session) cancel() {
	s.g.dispatcher.Cancel(time.Now(), s.call.ID)
	select {
	case <-s.work.Grants(): // Granted meanwhile and not sent.
	default:
	}
}

// gone ends a request whose caller has closed its connection, or whose daemon
// ends. The connection is closed without the end of an answer: a handler that
// returned would complete it.
func (s *session) gone(detail string) {
	s.cancel()
	s.logEnd("CallerGone", 0, detail)
	panic(http.ErrAbortHandler)
}

// expired is the problem of a request whose time is over.
func (s *session) expired() *problem.Problem {
	if s.ran {
		return problem.New(problem.OutcomeUnknown, "no answer in time")
	}
	p := problem.New(problem.DeadlineUnreachable, "deadline passed while waiting")
	p.RetryAfter = jitter(time.Second)
	return p
}

// adjust corrects a problem that says that the request did not run.
func (s *session) adjust(p *problem.Problem) *problem.Problem {
	if s.ran && problem.Of(p.Kind).Ran == problem.NotRun {
		return problem.New(problem.BackendFailed, "an attempt failed and there was no other: %s", p.Detail)
	}
	return p
}

// next decides whether another server gets the request. It returns the problem
// with which the request ends otherwise.
func (s *session) next(res result) *problem.Problem {
	g := s.g
	now := time.Now()
	var p *problem.Problem
	switch {
	case s.r.Context().Err() != nil:
		p = problem.New(problem.OutcomeUnknown, "the caller is gone")
	case s.deadline.Sub(now) < minLeft:
		p = s.expired()
	case s.counted >= max(s.route.Attempts, 1) && !untaken(res.ending) && res.ending != dispatch.Stopped,
		s.sent >= max(s.route.Attempts, 1)+extraSends:
		p = problem.New(problem.BackendFailed, "%d attempts failed: %v", s.sent, res.err)
	case !untaken(res.ending) && !s.repeatable():
		p = problem.New(problem.OutcomeUnknown, "the server may have run the request: %v", res.err)
	}
	if p != nil {
		g.dispatcher.Cancel(now, s.call.ID)
		if !s.ran && problem.Of(p.Kind).Ran != problem.NotRun {
			p = problem.New(problem.NoCapacity, "no server took the request: %v", res.err)
			p.RetryAfter = jitter(notTakenRetry)
		}
		return p
	}
	if p := g.dispatcher.Retry(now, s.call.ID, res.ending); p != nil {
		return s.adjust(p)
	}
	return nil
}

// untaken reports whether the server certainly did not run the request.
func untaken(e dispatch.Ending) bool { return e == dispatch.NotStarted || e == dispatch.NotSent }

// notTakenRetry is when a caller may come back whose request servers refused.
const notTakenRetry = 200 * time.Millisecond

// repeatable reports whether the request may reach a second server after it may
// have run at a first one.
func (s *session) repeatable() bool {
	switch s.route.Repeat {
	case route.Always:
		return true
	case route.Resume:
		return s.stream.resumable()
	}
	return false
}

// fail answers the caller after the last attempt: with the server's own answer if
// there is one.
func (s *session) fail(res result, p *problem.Problem) {
	if res.answer == nil || s.stream.started {
		s.refuse(s.adjust(p))
		return
	}
	s.write(res.answer)
	s.logEnd("ServerFailed", res.answer.status, p.Detail)
}

// attempt sends the request to one server and passes on its answer.
func (s *session) attempt(grant dispatch.Grant) result {
	g := s.g
	server := grant.Server
	ctx, cancel := context.WithCancelCause(s.r.Context())
	defer cancel(nil)
	now := time.Now()
	left := s.deadline.Sub(now)
	if left < minLeft {
		return result{ending: dispatch.NotStarted, err: errors.New("no time left")}
	}
	limit := left
	if s.route.Repeat == route.Always && s.counted+1 < s.route.Attempts && !s.route.Stream {
		limit = min(limit, hedgeFactor*s.route.Target)
	}
	timer := time.AfterFunc(limit, func() { cancel(errTimeout) })
	defer timer.Stop()
	if s.stop != nil {
		select {
		case <-s.stop: // Meant for an attempt before this one.
		default:
		}
	}
	s.sent++
	s.logRouting(grant)
	g.demand.sent(s.service, &s.call, grant.Decision.CachedTokens)
	q := s.request(server, left)
	g.noteSent(server.ID, &s.call)
	res, err := g.Backends.Do(ctx, now, server.Address, q)
	if err != nil {
		return s.unanswered(ctx, server, err)
	}
	defer res.Close()
	return s.answered(ctx, cancel, server, res)
}

// Causes for which an attempt is ended.
const (
	errTimeout = errors.ConstError("no answer in time")
	errLeaving = errors.ConstError("server is leaving")
)

// request returns the request for a server.
func (s *session) request(server routing.Server, left time.Duration) *backend.Request {
	sending := Sending{
		Server: server.ID, Organisation: s.organisation(), Left: left, Rank: s.rank, Model: s.engine, LastEvent: s.call.LastEvent,
	}
	if id := s.stream.lastID; id != "" {
		sending.LastEvent = id
	}
	target := s.r.RequestURI
	if target == "" || target[0] != '/' {
		target = s.r.URL.RequestURI()
	}
	return &backend.Request{
		Method: s.r.Method, Target: target, Host: s.r.Host, Body: s.body, Attempt: s.call.ID, Once: s.route.Repeat != route.Always && s.route.Repeat != route.Resume,
		Header: s.g.Protocol.Encode(passedHeaders(s.r.Header), sending),
	}
}

// unanswered judges an attempt without an answer.
func (s *session) unanswered(ctx context.Context, server routing.Server, err error) result {
	ending := dispatch.Broken
	if errors.Is(err, backend.ErrNotSent) {
		ending = dispatch.NotSent
	} else {
		s.began()
	}
	if s.r.Context().Err() != nil {
		s.gone("at server " + server.ID)
	}
	if s.blames(ctx) {
		s.g.post(func(c *control) { c.suspected(time.Now(), server.ID) })
	}
	s.logAttempt(server, ending, err)
	return result{ending: ending, err: err}
}

// blames reports whether the end of an attempt speaks against its server. The
// timeout of a route may be shorter than what the server needs.
func (s *session) blames(ctx context.Context) bool {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errLeaving):
		return false
	case errors.Is(cause, errTimeout):
		return time.Since(s.received) >= blameAfter
	}
	return true
}

// began notes that a server may have begun to run the request.
func (s *session) began() {
	s.counted++
	s.ran = true
}

// running counts a request whose answer has begun: at an engine, a request begins
// to run with its first token.
func (s *session) running() {
	if !s.counts {
		s.counts = true
		s.g.countRun(time.Now(), s.organisation())
	}
}

// answered passes on an answer, or judges it.
func (s *session) answered(ctx context.Context, cancel context.CancelCauseFunc, server routing.Server, res *backend.Response) result {
	if res.NotRun {
		_, err := res.ReadBody(answerBytes)
		if err == nil {
			err = errors.Errorf("server did not run the request, status %d", res.Status)
		}
		s.logAttempt(server, dispatch.NotStarted, err)
		return result{ending: dispatch.NotStarted, err: err}
	}
	s.began()
	if res.Status/100 == 2 && !res.Signed {
		err := errors.Errorf("answer with status %d is not signed", res.Status)
		s.logAttempt(server, dispatch.Broken, err)
		return result{ending: dispatch.Broken, err: err}
	}
	if s.route.Stream && res.Status == http.StatusOK {
		return s.relay(ctx, cancel, server, res)
	}
	s.running()
	body, err := res.ReadBody(answerBytes)
	if err != nil {
		return s.unansweredBody(ctx, server, err)
	}
	a := &answer{status: res.Status, header: s.g.Protocol.Response(passedHeaders(res.Header)), body: body}
	if res.Status >= http.StatusInternalServerError {
		err := errors.Errorf("server answered status %d", res.Status)
		s.logAttempt(server, dispatch.Broken, err)
		return result{ending: dispatch.Broken, err: err, answer: a}
	}
	s.finish()
	s.write(a)
	s.logEnd(logs.Answered, a.status, server.ID)
	return result{done: true}
}

func (s *session) unansweredBody(ctx context.Context, server routing.Server, err error) result {
	s.counted--
	return s.unanswered(ctx, server, err)
}

// finish tells the dispatcher that the answer is complete.
func (s *session) finish() {
	used := admission.Usage{ID: s.call.ID, PromptTokens: s.call.PromptTokens, OutputTokens: max(s.stream.events, 1)}
	s.g.dispatcher.Finish(time.Now(), s.call.ID, used, routing.Answer{CacheUnknown: true})
}

// write sends a whole answer.
func (s *session) write(a *answer) {
	h := s.w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	s.closing(h)
	s.w.WriteHeader(a.status)
	_, _ = s.w.Write(a.body) // A caller that has gone needs no answer.
}

func (s *session) logRouting(grant dispatch.Grant) {
	d, t := grant.Decision, grant.Decision.Terms
	s.g.Log.Info("routing decision", logs.RequestID, s.call.ID, "Attempt", s.sent, "Server", grant.Server.ID,
		"ServerPlace", grant.Server.Place, "Reason", d.Reason, "Waited", time.Since(s.received).Milliseconds(),
		"Score", d.Score, "Wait", t.Wait, "Prefill", t.Prefill, "CachedTokens", d.CachedTokens, "PromptTokens", s.call.PromptTokens)
}

func (s *session) logAttempt(server routing.Server, ending dispatch.Ending, err error) {
	s.g.Log.Info(logs.AttemptEnded, logs.RequestID, s.call.ID, "Attempt", s.sent, "Server", server.ID,
		"Ending", ending.String(), "Error", err.Error(), "Took", time.Since(s.received).Milliseconds())
}
