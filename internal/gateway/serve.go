package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/admission"
	"apricotbridge/internal/budget"
	"apricotbridge/internal/dispatch"
	"apricotbridge/internal/intake"
	"apricotbridge/internal/logs"
	"apricotbridge/internal/quarantine"
	"apricotbridge/internal/quota"
	"apricotbridge/internal/route"
	"apricotbridge/internal/routing"
	"apricotbridge/pkg/problem"
)

const (
	// idleTimeout is longer than the configured Limits.IdleTimeout, because callers reuse
	// connections that have been idle for up to four fifths of that.
	idleTimeout = 2 * time.Minute
	// headerTimeout bounds the reading of the headers. The configured limit is 3 s.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the headers. Callers stay within the configured limit, which
	// is lower.
	maxHeaderBytes = 64 << 10
	// defaultMaxBodyBytes bounds a body if the configuration states no limit.
	defaultMaxBodyBytes = 4 << 20
	// defaultTimeout bounds requests if neither route nor caller state a time.
	defaultTimeout = 30 * time.Second
	// answerMargin is the part of a caller's deadline that is kept for writing the
	// answer.
	answerMargin = 50 * time.Millisecond
	// writeGrace is how long after its deadline an answer may still be written to a slow
	// caller.
	writeGrace = 2 * time.Second
	// lateRequestTime is how long a request that arrives at the very end of a drain may take
	// to be read and refused.
	lateRequestTime = drainMargin / 2
	// refusedBodyTime bounds the reading of the body of a request that was refused.
	refusedBodyTime = 2 * time.Second
	// noConfigurationRetryAfter is the Retry-After of a daemon without a configuration.
	noConfigurationRetryAfter = 300 * time.Millisecond
)

// serveCallers accepts callers' connections and serves their requests.
func (g *Gateway) serveCallers(ctx context.Context) error {
	defer close(g.callersServed)
	var open atomic.Int64 // Connections.
	s := &http.Server{
		Handler: http.HandlerFunc(g.serve), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, BaseContext: func(net.Listener) context.Context { return ctx },
		ErrorLog: nil,
		ConnState: func(_ net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				open.Add(1)
			case http.StateClosed, http.StateHijacked:
				open.Add(-1)
			}
		},
	}
	g.Callers.Prepare(s)
	served := make(chan error, 1)
	go func() { served <- s.Serve(g.Callers.Listener(g.CallerListener)) }()
	select {
	case err := <-served:
		return errors.Annotate(err, "serve callers")
	case <-g.drained.Done():
		// A drain has already waited for the requests that it knew of. One may just arrive:
		// http.Server.Shutdown would cut it off.
		_ = g.CallerListener.Close()  // Serve returns the error.
		s.SetKeepAlivesEnabled(false) // Closes the idle connections.
		for until := time.Now().Add(lateRequestTime); open.Load() > 0 && time.Now().Before(until); {
			if !sleep(ctx, drainPollInterval) {
				break
			}
		}
	case <-ctx.Done():
	}
	err := s.Close()
	if e := <-served; err == nil && !errors.Is(e, http.ErrServerClosed) && !errors.Is(e, net.ErrClosed) {
		err = e
	}
	if errors.Is(err, net.ErrClosed) {
		err = nil // The listener was closed above.
	}
	return errors.Annotate(err, "close callers' listener")
}

// session handles one request of a caller.
type session struct {
	g    *Gateway
	w    http.ResponseWriter
	r    *http.Request
	call Call
	view *View
	// client is the caller's connection; nil in tests.
	client   *intake.Connection
	route    *route.Route
	service  string
	engine   bool
	org      *Organisation
	body     []byte
	received time.Time
	deadline time.Time
	rank     int
	work     *dispatch.Work
	// quotaCharged is the amount charged to the organisation's quota.
	quotaCharged float64
	// mayHaveRun means that a server may have begun to run the request.
	mayHaveRun bool
	// usageCounted means that the request was added to the usage of its organisation.
	usageCounted bool
	// attemptsSent counts the attempts, and attemptsMayHaveRun those whose server may
	// have run the request.
	attemptsSent, attemptsMayHaveRun int
	// sentTo holds the addresses of the servers to which the request was sent.
	sentTo []string
	// began is the id of the request that brought the first event of the stream, and version what the
	// servers of a stream must have that the caller takes up; nil means any.
	began   string
	version *string
	stream  streamState
	times   answerTimes
	// trial observes the present attempt during a rollout of its service.
	trial *attemptTrial
}

// serve handles one request.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	s := &session{g: g, w: w, r: r, received: time.Now(), view: g.view.Load(), client: intake.Of(r)}
	if p := s.admit(); p != nil {
		// The HTTP server reads what is left of the body before it closes the connection.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(refusedBodyTime)) // Fails in tests only.
		s.refuse(p)
		return
	}
	s.run()
}

// admit checks a request, reads its body and charges the quota.
func (s *session) admit() *problem.Problem {
	g := s.g
	call, err := g.Protocol.Decode(s.r.Header)
	if err != nil {
		return problem.New(problem.BadRequest, "%v", err)
	}
	s.call = call
	s.stream.lastEventID = call.LastEventID
	if missing := s.view.missing(); missing != "" {
		p := problem.New(problem.NoCapacity, "%s not known yet", missing)
		p.RetryAfter = noConfigurationRetryAfter
		return p
	}
	index := s.view.index
	s.route = index.routes.Match(s.r.Host, s.r.URL.Path)
	if s.route == nil {
		return problem.New(problem.NotFound, "no route for host %q and path %q", s.r.Host, s.r.URL.Path)
	}
	if p := s.authenticate(index); p != nil {
		return p
	}
	if p := s.readBody(index); p != nil {
		return p
	}
	s.received = time.Now()
	s.client.Received()
	s.setLimits()
	if !s.g.accepting(s.received, s.deadline, s.route.Stream) {
		return problem.New(problem.Draining, "daemon is leaving")
	}
	if p := s.requireVersion(); p != nil {
		return p
	}
	return s.chargeQuota()
}

// missing names what a daemon must know to serve requests and does not know yet. It is empty
// if nothing is missing.
func (v *View) missing() string {
	switch {
	case v == nil || v.index == nil:
		return "the configuration is"
	case v.Members == nil:
		return "the backend servers are"
	}
	return ""
}

func (s *session) authenticate(index *index) *problem.Problem {
	s.rank = s.route.Rank
	if len(index.Organisations) == 0 || s.route.Public {
		return nil
	}
	s.org = index.keys[s.call.Key]
	if s.org == nil {
		return problem.New(problem.Unauthorized, "unknown key")
	}
	if s.org.Rank != nil {
		// The organisation's rank takes precedence. The route's rank orders requests of
		// organisations with equal ranks.
		s.rank = *s.org.Rank*routeRanks + min(s.route.Rank, routeRanks-1)
	}
	return nil
}

func (s *session) readBody(index *index) *problem.Problem {
	limit := index.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if s.r.ContentLength == 0 {
		return nil
	}
	// A body that arrives after the time of its request is of no use.
	rc := http.NewResponseController(s.w)
	_ = rc.SetReadDeadline(s.received.Add(s.wait())) // Fails in tests only.
	body, err := s.client.ReadBody(s.r.Body.Read, s.r.ContentLength, limit)
	switch {
	case errors.Is(err, intake.ErrTooLarge):
		s.w.Header().Set("Connection", "close")
		return problem.New(problem.BodyTooLarge, "body has over %d bytes", limit)
	case errors.Is(err, budget.ErrGivenUp):
		p := problem.New(problem.NoCapacity, "too many bodies are being received")
		p.RetryAfter = jitter(time.Second)
		return p
	case errors.Is(err, os.ErrDeadlineExceeded):
		p := problem.New(problem.DeadlineUnreachable, "body not received in time")
		p.RetryAfter = jitter(time.Second)
		return p
	case !errors.Is(err, io.EOF):
		return problem.New(problem.BadRequest, "body not read: %v", err)
	}
	_ = rc.SetReadDeadline(time.Time{}) // Fails in tests only.
	s.body = body
	return nil
}

// wait returns how long the caller waits for the answer.
func (s *session) wait() time.Duration {
	wait := s.route.Timeout
	if wait <= 0 {
		wait = defaultTimeout
	}
	if s.call.Timeout > 0 {
		wait = min(wait, s.call.Timeout)
	}
	return wait
}

// setLimits sets the deadline and the service of a request.
func (s *session) setLimits() {
	s.deadline = s.received.Add(max(s.wait()-answerMargin, 0))
	s.service = s.route.ChooseService(s.call.ID)
	if service := s.view.index.services[s.service]; service != nil {
		s.engine = service.Engine != nil
	}
	rc := http.NewResponseController(s.w)
	_ = rc.SetWriteDeadline(s.deadline.Add(writeGrace)) // Fails if the connection has no write deadline, as in tests.
}

func (s *session) organisation() string {
	if s.org == nil {
		return ""
	}
	return s.org.Name
}

// chargeQuota charges the request to the quota of its organisation.
func (s *session) chargeQuota() *problem.Problem {
	if s.org == nil || s.org.Quota.PerSecond <= 0 {
		return nil
	}
	amount := 1.0
	if s.org.CountTokens {
		amount = float64(s.call.Tokens())
		if amount == 0 {
			amount = float64(s.org.DefaultTokens)
		}
	}
	s.g.quotaMu.Lock()
	ok, retryAfter := s.g.quotas.Take(s.received, s.org.Name, amount)
	var state quota.State
	if !ok {
		state = s.g.quotas.State(s.received, s.org.Name)
	}
	s.g.quotaMu.Unlock()
	if !ok {
		p := problem.New(problem.Overloaded, "organisation %q is over its quota (needs %.0f, level %.0f, used here %.0f, demand %.0f/s, oldest report %v, silent daemons %d)",
			s.org.Name, amount, state.Level, state.Use.Admitted, state.Demand, state.OldestReport.Round(time.Millisecond), state.Silent)
		p.RetryAfter = retryAfter
		return p
	}
	s.quotaCharged = amount
	return nil
}

// refundQuota refunds the charge for a request that did not run.
func (s *session) refundQuota() {
	if s.quotaCharged > 0 {
		s.g.quotaMu.Lock()
		s.g.quotas.Refund(s.org.Name, s.quotaCharged)
		s.g.quotaMu.Unlock()
		s.quotaCharged = 0
	}
}

// newWork converts the request to the dispatcher's form.
func (s *session) newWork() *dispatch.Work {
	rank := strconv.Itoa(min(max(s.rank, 0), rankCount-1))
	w := &dispatch.Work{
		Request: admission.Request{
			ID: s.call.ID, Organisation: s.organisation(), Rank: rank, Service: s.service,
			PromptTokens: s.call.PromptTokens, MaxTokens: s.call.MaxTokens, Arrived: s.received,
			Deadline: s.startDeadline(),
		},
		Call: routing.Call{
			RequestID: s.call.ID, Service: s.service, Rank: rank, Place: s.g.Place, Region: s.g.Region,
			Parts: s.call.Parts, PromptTokens: s.call.PromptTokens, ExpectedTokens: s.call.expectedOutputTokens(), Plain: !s.engine,
			Version: s.version, RequiresRecord: s.route.Stream,
		},
		Fingerprint: quarantine.FingerprintOf(s.organisation(), s.service, []byte(s.r.RequestURI+"\n"), s.body),
	}
	w.Suspects = []quarantine.Suspect{{Fingerprint: w.Fingerprint}}
	for _, part := range s.call.SharedParts {
		w.Suspects = append(w.Suspects, quarantine.Suspect{Fingerprint: part, Part: true})
	}
	return w
}

// routeRanks is the number of route ranks within each rank of an organisation.
const routeRanks = 3

const (
	// maxStartWaitShare times the route's target is how long a request may wait for a
	// server. After a longer wait its first event would be late, and it would delay
	// others.
	maxStartWaitShare = 0.7
	// retriedStartWaitShare times the time to its deadline is how long a request may wait
	// that the caller sends again after a refusal. Its answer is late in any case.
	retriedStartWaitShare = 0.3
)

// startDeadline is the latest time at which the request is sent to a server. A request
// that is refused by then gets a Retry-After.
func (s *session) startDeadline() time.Time {
	wait := time.Duration(maxStartWaitShare * float64(s.route.TargetLatency))
	left := s.deadline.Sub(s.received)
	if s.isCallerRetry() {
		wait = max(wait, time.Duration(retriedStartWaitShare*float64(left)))
	}
	return s.received.Add(min(wait, left))
}

// isCallerRetry reports whether the caller probably sends the request again after a
// refusal: it then states less time than the route allows.
func (s *session) isCallerRetry() bool {
	return s.call.Timeout > 0 && s.call.Timeout < s.route.Timeout-s.route.TargetLatency/2
}

// maxRetryAfter bounds the Retry-After of an answer. Callers whose time ends before give up.
const maxRetryAfter = 5 * time.Minute

// refuse answers a request with a problem.
func (s *session) refuse(p *problem.Problem) {
	kind := problem.Of(p.Kind)
	if kind.Ran == problem.NotRun {
		s.refundQuota()
	}
	if s.stream.headersSent {
		s.abortAnswer(p)
		return
	}
	p.RequestID = s.call.ID
	data, err := json.Marshal(p)
	if err != nil { // Strings and numbers always encode.
		data = []byte("{}")
	}
	h := s.w.Header()
	h.Set("Content-Type", "application/problem+json")
	if kind.ComeBack {
		after := min(p.RetryAfter, maxRetryAfter)
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	s.setConnectionClose(h)
	s.w.WriteHeader(kind.Status)
	_, _ = s.w.Write(data) // The caller may have disconnected.
	s.logEnd(string(p.Kind), kind.Status, p.Detail)
}

// setConnectionClose makes the caller reconnect elsewhere while this daemon drains.
func (s *session) setConnectionClose(h http.Header) {
	if s.g.draining.Load() {
		h.Set("Connection", "close")
	}
}

// abortAnswer ends an answer that has begun in such a way that it does not look complete.
func (s *session) abortAnswer(p *problem.Problem) {
	s.logEnd(string(p.Kind), 0, p.Detail)
	panic(http.ErrAbortHandler)
}

func (s *session) logEnd(outcome string, status int, detail string) {
	name := ""
	if s.route != nil {
		name = s.route.Name
	}
	took := time.Since(s.received)
	s.g.requestMetrics.recordOutcome(outcome, took)
	s.g.Log.Info(logs.RequestEnded, logs.RequestID, s.call.ID, "Route", name, "Service", s.service, "Organisation", s.organisation(),
		"Rank", s.rank, "Allowed", s.deadline.Sub(s.received).Milliseconds(), logs.Outcome, outcome, "Status", status, "Detail", detail, "Took", took.Milliseconds(), "Sent", s.attemptsSent,
		"Ran", s.mayHaveRun, "Events", s.stream.eventCount, "First", s.times.first(s.received).Milliseconds(), "Gap", s.times.longestGap.Milliseconds(), "Charged", s.quotaCharged, "Fingerprint", s.fingerprintText())
}

// fingerprintText returns the fingerprint in hexadecimal, or an empty string for a request
// that was not admitted.
func (s *session) fingerprintText() string {
	if s.work == nil {
		return ""
	}
	return fmt.Sprintf("%016x", uint64(s.work.Fingerprint))
}

// jitter returns a random time between d and 1.5 times d.
func jitter(d time.Duration) time.Duration {
	return d + rand.N(d/2+1) //nolint:gosec // Not for secrets.
}

// hopByHopHeaders apply to a single connection (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// endToEndHeaders returns a copy of the headers without the hop-by-hop ones.
func endToEndHeaders(h http.Header) http.Header {
	passed := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			passed.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		passed.Del(name)
	}
	return passed
}
