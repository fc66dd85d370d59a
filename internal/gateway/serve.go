package gateway

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/admission"
	"apricotbridge/internal/dispatch"
	"apricotbridge/internal/logs"
	"apricotbridge/internal/quarantine"
	"apricotbridge/internal/route"
	"apricotbridge/internal/routing"
	"apricotbridge/pkg/problem"
)

const (
	// idleTimeout is above what a configuration states, because callers reuse
	// connections that have been idle for up to four fifths of that.
	idleTimeout = 2 * time.Minute
	// headerTimeout bounds the reading of the headers; the stated limit is 3 s.
	headerTimeout = 10 * time.Second
	// headerBytes bounds the headers; callers stay within the stated limit.
	headerBytes = 64 << 10
	// defaultBodyBytes bounds a body while no configuration is known.
	defaultBodyBytes = 4 << 20
	// defaultTimeout bounds requests whose route and caller state nothing.
	defaultTimeout = 30 * time.Second
	// answerMargin is kept before the deadline for the answer itself.
	answerMargin = 50 * time.Millisecond
	// writeGrace is how long after its deadline an answer may still be written to a
	// caller that reads slowly.
	writeGrace = 2 * time.Second
	// unknownRetry is when a caller may come back to a daemon that knows no
	// configuration yet.
	unknownRetry = 300 * time.Millisecond
)

// serveCallers takes the callers' connections.
func (g *Gateway) serveCallers(ctx context.Context) error {
	s := &http.Server{
		Handler: http.HandlerFunc(g.serve), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: headerBytes, BaseContext: func(net.Listener) context.Context { return ctx },
		ErrorLog: nil,
	}
	served := make(chan error, 1)
	go func() { served <- s.Serve(g.CallerListener) }()
	select {
	case err := <-served:
		return errors.Annotate(err, "serve callers")
	case <-g.drained:
	case <-ctx.Done():
	}
	// A drain has waited for the requests. Idle connections are closed.
	err := s.Close()
	if e := <-served; err == nil && !errors.Is(e, http.ErrServerClosed) {
		err = e
	}
	return errors.Annotate(err, "close callers' listener")
}

// session is one request of a caller.
type session struct {
	g        *Gateway
	w        http.ResponseWriter
	r        *http.Request
	call     Call
	view     *View
	route    *route.Route
	service  string
	engine   bool
	org      *Organisation
	body     []byte
	received time.Time
	deadline time.Time
	rank     int
	work     *dispatch.Work
	// taken is what the request took from the quota.
	taken float64
	// ran says that a server may have begun to run the request.
	ran bool
	// counts says that the request counts in the usage of its organisation.
	counts bool
	// sent is the number of servers that got the request, and counted those that
	// may have run it.
	sent, counted int
	stream        streamState
	// stop tells the running attempt to end; true says that its server is leaving.
	stop chan bool
}

// serve answers one request.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	s := &session{g: g, w: w, r: r, received: time.Now(), view: g.view.Load()}
	if p := s.admit(); p != nil {
		s.refuse(p)
		return
	}
	s.run()
}

// admit checks a request and reads its body.
func (s *session) admit() *problem.Problem {
	g := s.g
	call, err := g.Protocol.Decode(s.r.Header)
	if err != nil {
		return problem.New(problem.BadRequest, "%v", err)
	}
	s.call = call
	if s.view == nil || s.view.index == nil || s.view.Members == nil {
		p := problem.New(problem.NoCapacity, "no configuration is known yet")
		p.RetryAfter = unknownRetry
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
	if !s.g.accepting(s.received, s.route.Stream) {
		return problem.New(problem.Draining, "daemon is leaving")
	}
	s.limits()
	return s.takeQuota()
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
		// The organisation's rank goes first, and that of the route orders requests of
		// equal ones.
		s.rank = *s.org.Rank*routeRanks + min(s.route.Rank, routeRanks-1)
	}
	return nil
}

func (s *session) readBody(index *index) *problem.Problem {
	limit := index.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if s.r.ContentLength == 0 {
		return nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(s.w, s.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return problem.New(problem.BodyTooLarge, "body has over %d bytes", limit)
	case err != nil:
		return problem.New(problem.BadRequest, "body not read: %v", err)
	}
	s.body = body
	return nil
}

// limits sets the deadline and the service of a request.
func (s *session) limits() {
	wait := s.route.Timeout
	if wait <= 0 {
		wait = defaultTimeout
	}
	if s.call.Deadline > 0 {
		wait = min(wait, s.call.Deadline)
	}
	s.deadline = s.received.Add(max(wait-answerMargin, 0))
	s.service = s.route.Service(s.call.ID)
	if service := s.view.index.services[s.service]; service != nil {
		s.engine = service.Engine != nil
	}
	rc := http.NewResponseController(s.w)
	_ = rc.SetWriteDeadline(s.deadline.Add(writeGrace)) // The connection may have none, as in tests.
}

func (s *session) organisation() string {
	if s.org == nil {
		return ""
	}
	return s.org.Name
}

// takeQuota takes the request from the quota of its organisation.
func (s *session) takeQuota() *problem.Problem {
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
	ok, after := s.g.quotas.Take(s.received, s.org.Name, amount)
	s.g.quotaMu.Unlock()
	if !ok {
		p := problem.New(problem.Overloaded, "organisation %q is over its quota", s.org.Name)
		p.RetryAfter = after
		return p
	}
	s.taken = amount
	return nil
}

// returnQuota gives back what was taken for a request that did not run.
func (s *session) returnQuota() {
	if s.taken > 0 {
		s.g.quotaMu.Lock()
		s.g.quotas.Return(s.org.Name, s.taken)
		s.g.quotaMu.Unlock()
		s.taken = 0
	}
}

// newWork returns the request as the dispatcher takes it.
func (s *session) newWork() *dispatch.Work {
	rank := strconv.Itoa(min(max(s.rank, 0), rankCount-1))
	w := &dispatch.Work{
		Request: admission.Request{
			ID: s.call.ID, Organisation: s.organisation(), Rank: rank, Service: s.service,
			PromptTokens: s.call.PromptTokens, MaxTokens: s.call.MaxTokens, Arrived: s.received,
			Deadline: s.startBy(),
		},
		Call: routing.Call{
			RequestID: s.call.ID, Service: s.service, Rank: rank, Place: s.g.Place, Region: s.g.Region,
			Parts: s.call.Parts, PromptTokens: s.call.PromptTokens, ExpectedTokens: s.call.expected(), Plain: !s.engine,
		},
		Fingerprint: quarantine.FingerprintOf(s.organisation(), s.service, append([]byte(s.r.RequestURI+"\n"), s.body...)),
	}
	if s.route.Stream {
		s.stop = make(chan bool, 1)
		w.Stop = func(leaving bool) {
			select {
			case s.stop <- leaving:
			default: // The attempt was told already.
			}
		}
	}
	return w
}

// routeRanks is how many ranks of routes are told apart within one of an
// organisation.
const routeRanks = 3

const (
	// startPart of its target is how long a request may wait for a server: one that
	// waits longer gets its first event late, and keeps others from theirs.
	startPart = 0.7
	// lateStartPart of the deadline is how long a request may wait whose caller has
	// come back, so that it is late in any case.
	lateStartPart = 0.3
)

// startBy is the latest time at which the request is sent to a server. One that is
// refused then or before is told when to come back.
func (s *session) startBy() time.Time {
	wait := time.Duration(startPart * float64(s.route.Target))
	left := s.deadline.Sub(s.received)
	if s.cameBack() {
		wait = max(wait, time.Duration(lateStartPart*float64(left)))
	}
	return s.received.Add(min(wait, left))
}

// cameBack reports whether the caller states less time than its route allows, as
// one does that was refused before.
func (s *session) cameBack() bool {
	return s.call.Deadline > 0 && s.call.Deadline < s.route.Timeout-s.route.Target/2
}

// maxRetryAfter bounds what a caller is told. A longer time than a third of what
// it has left makes it give up.
const maxRetryAfter = 5 * time.Second

// refuse answers a request with a problem.
func (s *session) refuse(p *problem.Problem) {
	row := problem.Of(p.Kind)
	if row.Ran == problem.NotRun {
		s.returnQuota()
	}
	if s.stream.started {
		s.abort(p)
		return
	}
	p.RequestID = s.call.ID
	data, err := json.Marshal(p)
	if err != nil { // Strings and numbers always encode.
		data = []byte("{}")
	}
	h := s.w.Header()
	h.Set("Content-Type", "application/problem+json")
	if row.ComeBack {
		after := min(p.RetryAfter, maxRetryAfter)
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	s.closing(h)
	s.w.WriteHeader(row.Status)
	_, _ = s.w.Write(data) // A caller that has gone needs no answer.
	s.logEnd(string(p.Kind), row.Status, p.Detail)
}

// closing tells the caller to leave a daemon that is draining.
func (s *session) closing(h http.Header) {
	if s.g.draining.Load() {
		h.Set("Connection", "close")
	}
}

// abort ends an answer that has begun, so that it does not look complete.
func (s *session) abort(p *problem.Problem) {
	s.logEnd(string(p.Kind), 0, p.Detail)
	panic(http.ErrAbortHandler)
}

func (s *session) logEnd(outcome string, status int, detail string) {
	name := ""
	if s.route != nil {
		name = s.route.Name
	}
	took := time.Since(s.received)
	s.g.measures.ended(outcome, took)
	s.g.Log.Info(logs.RequestEnded, logs.RequestID, s.call.ID, "Route", name, "Service", s.service, "Organisation", s.organisation(),
		"Rank", s.rank, "Allowed", s.deadline.Sub(s.received).Milliseconds(), logs.Outcome, outcome, "Status", status, "Detail", detail, "Took", took.Milliseconds(), "Sent", s.sent,
		"Ran", s.ran, "Events", s.stream.events)
}

// jitter spreads a time over half of it more.
func jitter(d time.Duration) time.Duration {
	return d + rand.N(d/2+1) //nolint:gosec // Not for secrets.
}

// hopHeaders belong to one connection (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// passedHeaders returns the headers that are not those of one connection.
func passedHeaders(h http.Header) http.Header {
	passed := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			passed.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		passed.Del(name)
	}
	return passed
}
