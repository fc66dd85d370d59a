package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/admission"
	"apricotbridge/internal/backend"
	"apricotbridge/internal/dispatch"
	"apricotbridge/internal/fleet"
	"apricotbridge/internal/logs"
	"apricotbridge/internal/route"
	"apricotbridge/internal/routing"
	"apricotbridge/pkg/problem"
)

const (
	// maxExtraAttempts bounds the attempts beyond route.Attempts. They are allowed only
	// after attempts that certainly did not run the request.
	maxExtraAttempts = 2
	// maxAnswerBytes bounds an answer that is not a stream.
	maxAnswerBytes = 16 << 20
	// maxFailureBytes bounds the answer of a server that failed or did not run the request.
	maxFailureBytes = 64 << 10
	// attemptTimeoutFactor times the route's target is how long an attempt of an
	// idempotent request may take before the request is retried on another server.
	attemptTimeoutFactor = 2
	// suspectAfter is how long a server may take to answer before a timeout makes it
	// suspect. The longest requests of plain services take half of it.
	suspectAfter = time.Second
	// minAttemptTime is the least time to the deadline with which an attempt is made.
	minAttemptTime = 100 * time.Millisecond
)

// attemptResult is the outcome of an attempt.
type attemptResult struct {
	// done means that the caller has its answer and no further attempt is made.
	done   bool
	ending dispatch.Ending
	err    error
	// answer is a failed server's own answer, unless its status implies that the request has
	// not run. The caller gets it if no further attempt is made.
	answer *answer
}

// answer is a complete, buffered answer of a server.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// run queues the request and sends it to servers until one answers.
func (s *session) run() {
	g := s.g
	s.work = s.newWork()
	g.demand.addRequest(s.received, s.service, &s.call)
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
			s.abortDisconnected("while waiting")
		case <-timer.C:
			s.cancel()
			s.refuse(s.expiredProblem())
			return
		case <-g.drained.Done():
			s.cancel()
			s.refuse(s.drainedProblem())
			return
		}
		if grant.Problem != nil {
			s.refuse(s.adjustForAttempts(grant.Problem))
			return
		}
		result := s.attempt(grant)
		if result.done {
			return
		}
		if p := s.retry(result); p != nil {
			s.fail(result, p)
			return
		}
	}
}

// cancel removes the request from the dispatcher.
func (s *session) cancel() {
	s.g.dispatcher.Cancel(time.Now(), s.call.ID)
	select {
	case <-s.work.Grants(): // Granted in the meantime and not sent.
	default:
	}
}

// abortDisconnected ends a request whose caller has disconnected or whose daemon stops.
// It panics with http.ErrAbortHandler: if the handler returned, the HTTP server would
// complete the answer.
func (s *session) abortDisconnected(detail string) {
	s.cancel()
	s.logEnd("CallerGone", 0, detail)
	panic(http.ErrAbortHandler)
}

// expiredProblem returns the problem for a request that has passed its deadline.
func (s *session) expiredProblem() *problem.Problem {
	if s.mayHaveRun {
		return problem.New(problem.OutcomeUnknown, "no answer in time")
	}
	p := problem.New(problem.DeadlineUnreachable, "deadline passed while waiting")
	p.RetryAfter = jitter(time.Second)
	return p
}

// drainedProblem returns the problem for a request that has no answer when its daemon ends.
func (s *session) drainedProblem() *problem.Problem {
	if s.mayHaveRun {
		return problem.New(problem.OutcomeUnknown, "no answer before the daemon ends")
	}
	return problem.New(problem.Draining, "daemon is leaving")
}

// adjustForAttempts replaces a problem that reports "not run" if an earlier attempt may
// have run the request.
func (s *session) adjustForAttempts(p *problem.Problem) *problem.Problem {
	if s.mayHaveRun && problem.Of(p.Kind).Ran == problem.NotRun {
		return problem.New(problem.BackendFailed, "an attempt failed and there was no other: %s", p.Detail)
	}
	return p
}

// retry hands the request back to the dispatcher for another attempt. If none is allowed,
// it returns the problem that ends the request.
func (s *session) retry(result attemptResult) *problem.Problem {
	g := s.g
	now := time.Now()
	var p *problem.Problem
	switch {
	case s.r.Context().Err() != nil:
		p = problem.New(problem.OutcomeUnknown, "the caller is gone")
	case g.drained.Err() != nil:
		p = s.drainedProblem()
	case s.deadline.Sub(now) < minAttemptTime:
		p = s.expiredProblem()
	case s.attemptsExhausted() && !certainlyNotRun(result.ending),
		s.attemptsSent >= max(s.route.Attempts, 1)+maxExtraAttempts:
		p = problem.New(problem.BackendFailed, "%d attempts failed: %v", s.attemptsSent, result.err)
	case !certainlyNotRun(result.ending) && !s.repeatable():
		p = problem.New(problem.OutcomeUnknown, "the server may have run the request: %v", result.err)
	}
	if p != nil {
		g.dispatcher.Cancel(now, s.call.ID)
		if !s.mayHaveRun && problem.Of(p.Kind).Ran != problem.NotRun {
			p = problem.New(problem.NoCapacity, "no server took the request: %v", result.err)
			p.RetryAfter = jitter(refusedRetryAfter)
		}
		return p
	}
	if p := g.dispatcher.Retry(now, s.call.ID, result.ending); p != nil {
		return s.adjustForAttempts(p)
	}
	return nil
}

// attemptsExhausted reports whether as many servers may have run the request as its route
// allows.
func (s *session) attemptsExhausted() bool {
	return s.attemptsMayHaveRun >= max(s.route.Attempts, 1)
}

// certainlyNotRun reports whether an attempt ended before the server ran the request.
func certainlyNotRun(e dispatch.Ending) bool {
	return e == dispatch.NotStarted || e == dispatch.NotSent
}

// refusedRetryAfter is the Retry-After of a request that servers refused without running
// it.
const refusedRetryAfter = 200 * time.Millisecond

// repeatable reports whether the request may be sent to another server after one may have
// run it.
func (s *session) repeatable() bool {
	switch s.route.Repeat {
	case route.Always:
		return true
	case route.Resume:
		return s.stream.resumable()
	}
	return false
}

// fail answers the caller after the last attempt, with the server's own answer if there
// is one.
func (s *session) fail(result attemptResult, p *problem.Problem) {
	if result.answer == nil || s.stream.headersSent {
		s.refuse(s.adjustForAttempts(p))
		return
	}
	s.writeAnswer(result.answer)
	s.logEnd("ServerFailed", result.answer.status, p.Detail)
}

// attempt sends the request to one server and relays its answer.
func (s *session) attempt(grant dispatch.Grant) attemptResult {
	g := s.g
	server := grant.Server
	ctx, cancel := context.WithCancelCause(s.r.Context())
	defer cancel(nil)
	now := time.Now()
	remaining := s.deadline.Sub(now)
	if remaining < minAttemptTime {
		return attemptResult{ending: dispatch.NotStarted, err: errors.New("no time left")}
	}
	timeout := remaining
	if s.route.Repeat == route.Always && s.attemptsMayHaveRun+1 < s.route.Attempts && !s.route.Stream {
		timeout = min(timeout, attemptTimeoutFactor*s.route.TargetLatency)
	}
	timer := time.AfterFunc(timeout, func() { cancel(errAttemptTimeout) })
	defer timer.Stop()
	stopOnDrain := context.AfterFunc(g.drained, func() {
		if !s.stream.begun.Load() {
			cancel(errDrained)
		}
	})
	defer stopOnDrain()
	s.attemptsSent++
	s.logRouting(grant)
	s.times.sent(time.Now(), &grant, s.call.PromptTokens)
	s.trial = s.beginTrial(now, server, grant.Decision.Terms.Wait, grant.Decision.CachedTokens)
	g.demand.addSentPrompt(s.service, &s.call, grant.Decision.CachedTokens)
	req := s.backendRequest(server, remaining)
	refused := false
	req.Allowed = func() bool {
		refused = !g.dispatcher.Takes(time.Now(), server)
		return !refused
	}
	s.sentTo = append(s.sentTo, server.Address)
	g.recordSentPrompt(server.ID, &s.call)
	res, err := g.Backends.Do(ctx, now, server.Address, req)
	switch {
	case refused:
		// The server left, or asked for a pause, while the connection was opened.
		s.logAttempt(server, dispatch.NotSent, err)
		return attemptResult{ending: dispatch.NotSent, err: err}
	case err != nil:
		return s.handleNoAnswer(ctx, server, err)
	}
	defer res.Close()
	if res.Leaving {
		g.post(func(c *control) {
			c.noteLeaving(time.Now(), "", []fleet.Incarnation{{ID: server.ID, Start: server.Incarnation}})
		})
	}
	if res.RetryAfter > 0 {
		now := time.Now()
		g.dispatcher.PauseServer(now, now.Add(res.RetryAfter), server)
		g.Log.Info("server wants no requests", logs.RequestID, s.call.ID, "Server", server.ID, "For", res.RetryAfter)
	}
	s.noteRate(server, now, res.RequestRate)
	return s.handleAnswer(ctx, cancel, server, res)
}

// Reasons for which an attempt is cancelled.
const (
	errAttemptTimeout    = errors.ConstError("no answer in time")
	errServerUnreachable = errors.ConstError("server sends nothing and can't be reached")
	errStreamStalled     = errors.ConstError("stream stalls within an event")
	errDrained           = errors.ConstError("daemon ends")
)

// backendRequest builds the request for a backend server.
func (s *session) backendRequest(server routing.Server, remaining time.Duration) *backend.Request {
	info := ForwardInfo{
		Server: server.ID, Organisation: s.organisation(), Remaining: remaining, Rank: s.rank, Engine: s.engine, LastEventID: s.stream.lastEventID,
	}
	target := s.r.RequestURI
	if target == "" || target[0] != '/' {
		target = s.r.URL.RequestURI()
	}
	return &backend.Request{
		Method: s.r.Method, Target: target, Host: s.r.Host, Body: s.body, Attempt: s.call.ID,
		AtMostOnce: s.route.Repeat != route.Always && s.route.Repeat != route.Resume,
		Resent:     slices.Contains(s.sentTo, server.Address),
		Header:     s.g.Protocol.Encode(endToEndHeaders(s.r.Header), info),
	}
}

// handleNoAnswer classifies an attempt that failed before or while its answer was read.
func (s *session) handleNoAnswer(ctx context.Context, server routing.Server, err error) attemptResult {
	ending := dispatch.Broken
	if errors.Is(err, backend.ErrNotSent) {
		ending = dispatch.NotSent
	} else {
		s.noteMayHaveRun()
	}
	if s.r.Context().Err() != nil {
		s.trial.abandoned(time.Now())
		s.abortDisconnected("at server " + server.ID)
	}
	s.trial.abandoned(time.Now())
	s.noteConnectionLost(server, err, s.serverEnded(ctx, server, err))
	if s.suspectsServer(ctx) {
		s.g.post(func(c *control) { c.suspectServer(time.Now(), server.ID) })
	}
	s.logAttempt(server, ending, err)
	return attemptResult{ending: ending, err: err}
}

// serverEnded reports whether an attempt failed because its server has ended.
func (s *session) serverEnded(ctx context.Context, server routing.Server, err error) bool {
	return errors.Is(err, backend.ErrConnectionLost) && s.g.Backends.Refuses(ctx, server.Address)
}

// noteConnectionLost records as a possible crash that a server closed the connection. A
// server that is leaving ends for another reason.
func (s *session) noteConnectionLost(server routing.Server, err error, ended bool) {
	if !errors.Is(err, backend.ErrConnectionLost) {
		return
	}
	if m, ok := s.g.view.Load().Members[server.ID]; ok && !m.Accepting() {
		return
	}
	s.g.dispatcher.ConnectionLost(time.Now(), s.call.ID, ended)
}

// suspectsServer reports whether a failed attempt makes its server suspect. A timeout
// alone does not, unless it exceeds suspectAfter: the route's timeout may be shorter than
// what its requests take.
func (s *session) suspectsServer(ctx context.Context) bool {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errDrained):
		return false
	case errors.Is(cause, errAttemptTimeout):
		return time.Since(s.received) >= suspectAfter
	}
	return true
}

// noteMayHaveRun records that a server may have begun to run the request.
func (s *session) noteMayHaveRun() {
	s.attemptsMayHaveRun++
	s.mayHaveRun = true
}

// countUsage adds the request to the usage of its organisation, once. An engine begins to
// run a request with its first token, so the count is made when the answer begins.
func (s *session) countUsage() {
	if !s.usageCounted {
		s.usageCounted = true
		s.g.countRequest(time.Now(), s.organisation())
	}
}

// handleAnswer relays an answer or classifies it as a failure.
func (s *session) handleAnswer(ctx context.Context, cancel context.CancelCauseFunc, server routing.Server, res *backend.Response) attemptResult {
	if res.NotRun {
		_, err := res.ReadBody(maxFailureBytes)
		if err == nil {
			err = errors.Errorf("server did not run the request, status %d", res.Status)
		}
		s.logAttempt(server, dispatch.NotStarted, err)
		return attemptResult{ending: dispatch.NotStarted, err: err}
	}
	s.noteMayHaveRun()
	if res.Status/100 == 2 && !res.Signed {
		err := errors.Errorf("answer with status %d is not signed", res.Status)
		s.logAttempt(server, dispatch.Broken, err)
		return attemptResult{ending: dispatch.Broken, err: err}
	}
	if s.stream.headersSent && res.Status != http.StatusOK {
		err := errors.Errorf("server answered status %d instead of continuing the stream", res.Status)
		s.logAttempt(server, dispatch.Broken, err)
		return attemptResult{ending: dispatch.Broken, err: err}
	}
	if s.route.Stream && res.Status == http.StatusOK {
		return s.relay(ctx, cancel, server, res)
	}
	s.countUsage()
	impliesNotRun := problem.ImpliesNotRun(res.Status)
	failed := impliesNotRun || res.Status >= http.StatusInternalServerError
	limit := int64(maxAnswerBytes)
	if failed {
		limit = maxFailureBytes
	}
	body, err := res.ReadBody(limit)
	if err != nil {
		return s.handleBodyError(ctx, server, err)
	}
	s.trial.answered(time.Now(), res.Status >= http.StatusInternalServerError)
	a := &answer{status: res.Status, header: s.g.Protocol.Response(endToEndHeaders(res.Header)), body: body}
	if failed {
		err := errors.Errorf("server answered status %d", res.Status)
		s.logAttempt(server, dispatch.Broken, err)
		if impliesNotRun {
			a = nil // The server has begun the request; its status would tell the caller otherwise.
		}
		return attemptResult{ending: dispatch.Broken, err: err, answer: a}
	}
	s.reportFinished()
	if err := s.client.HoldAnswer(int64(len(a.body))); err != nil {
		s.abortDisconnected("too many answers wait for their callers")
	}
	res.Close() // The answer is counted for the caller now.
	s.writeAnswer(a)
	s.logEnd(logs.Answered, a.status, server.ID)
	return attemptResult{done: true}
}

func (s *session) handleBodyError(ctx context.Context, server routing.Server, err error) attemptResult {
	s.attemptsMayHaveRun-- // handleNoAnswer counts the attempt again.
	return s.handleNoAnswer(ctx, server, err)
}

// reportFinished reports a complete answer to the dispatcher.
func (s *session) reportFinished() {
	used := admission.Usage{ID: s.call.ID, PromptTokens: s.call.PromptTokens, OutputTokens: max(s.stream.eventCount, 1)}
	s.g.dispatcher.Finish(time.Now(), s.call.ID, used, routing.Answer{CacheUnknown: true})
}

// writeAnswer writes a complete answer to the caller.
func (s *session) writeAnswer(a *answer) {
	h := s.w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	s.setConnectionClose(h)
	s.w.WriteHeader(a.status)
	_, _ = s.w.Write(a.body) // The caller may have disconnected.
}

func (s *session) logRouting(grant dispatch.Grant) {
	d, t := grant.Decision, grant.Decision.Terms
	s.g.Log.Info("routing decision", logs.RequestID, s.call.ID, "Attempt", s.attemptsSent, "Server", grant.Server.ID,
		"Version", grant.Server.Version, "LastEvent", s.stream.lastEventID, "Resumes", s.call.Resumes, "ServerPlace", grant.Server.Place, "Reason", d.Reason, "Waited", time.Since(s.received).Milliseconds(),
		"Score", d.Score, "Wait", t.Wait, "Prefill", t.Prefill, "CachedTokens", d.CachedTokens, "Busyness", d.Busyness, "PromptTokens", s.call.PromptTokens)
}

func (s *session) logAttempt(server routing.Server, ending dispatch.Ending, err error) {
	s.g.Log.Info(logs.AttemptEnded, logs.RequestID, s.call.ID, "Attempt", s.attemptsSent, "Server", server.ID,
		"Ending", ending.String(), "Error", err.Error(), "Took", time.Since(s.received).Milliseconds(),
		"MayHaveRun", s.attemptsMayHaveRun, "RouteAttempts", s.route.Attempts,
		"ConnectionLost", errors.Is(err, backend.ErrConnectionLost), "Fingerprint", s.fingerprintText())
}
