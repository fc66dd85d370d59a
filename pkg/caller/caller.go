// Package caller is the client library for callers. It finds the entries of a
// deployment, fails over between them, resumes broken streams, and retries a
// request only where that can't run an order twice.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/juju/errors"

	"apricotbridge/pkg/problem"
)

const (
	// defaultAttempts bounds the attempts of one request when Client.Attempts is 0.
	defaultAttempts = 8
	// maxAnswerBytes bounds a response that is read as a whole. Responses of plain
	// services are at most 512 KB; a long completion takes a few megabytes.
	maxAnswerBytes = 16 << 20
	// maxProblemBytes bounds a response body that holds a problem or a list of
	// entries.
	maxProblemBytes = 1 << 20
	// maxUnknownRetries bounds the retries of a keyed call after daemons have
	// reported OutcomeUnknown. The daemons never run the call again, but a retry
	// may find the outcome when a daemon that knows it responds, or by the look-up
	// path of the service.
	maxUnknownRetries = 2
	// jitterShare lengthens a Retry-After by up to half at random, so that callers
	// that received the same one do not all return at the same time.
	jitterShare = 0.5
	// problemPrefix starts the type of every problem that daemons report. Problem
	// details of a plain service, which are passed through, have other types.
	problemPrefix = "urn:apricotbridge:problem:"
)

// Client sends the requests of one organisation. Set the exported fields before
// the first call. It is safe for concurrent use.
type Client struct {
	// Entries are the addresses, as IP:port, from which the list of entries is
	// fetched. They should be near the caller.
	Entries []string
	// Token is the bearer token.
	Token string
	// HTTP sends the requests; nil means a new client without a timeout.
	HTTP *http.Client
	// Attempts bounds the attempts of one request; 0 means 8.
	Attempts int
	// Idle is how long an open stream may receive nothing before it is resumed; 0
	// means 60s.
	Idle time.Duration
	// Seed makes the choice of entries and the jitter repeatable; 0 means a random
	// seed.
	Seed uint64

	once      sync.Once
	http      *http.Client
	directory directory
	budget    retryBudget
	random    lockedRand
	// sleep waits for d or until ctx ends; tests replace it.
	sleep func(ctx context.Context, d time.Duration) error
}

// lockedRand is a random source that is safe for concurrent use.
type lockedRand struct {
	mu     sync.Mutex
	source *rand.Rand
}

func (r *lockedRand) float() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source.Float64()
}

func (r *lockedRand) perm(n int) []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source.Perm(n)
}

func (c *Client) init() {
	c.once.Do(func() {
		seed := c.Seed
		if seed == 0 {
			seed = rand.Uint64()
		}
		c.random.source = rand.New(rand.NewPCG(seed, 1))
		c.http = c.HTTP
		if c.http == nil {
			c.http = &http.Client{
				Transport: &http.Transport{
					DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
					MaxIdleConnsPerHost: 64,
					IdleConnTimeout:     30 * time.Second,
				},
				CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
			}
		}
		if c.sleep == nil {
			c.sleep = sleep
		}
		c.budget.init()
	})
}

func (c *Client) maxAttempts() int {
	if c.Attempts > 0 {
		return c.Attempts
	}
	return defaultAttempts
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.init()
	c.http.CloseIdleConnections()
}

// request is an HTTP request that may be sent several times.
type request struct {
	method, path string
	header       http.Header
	body         []byte
	// retryUnknown allows a retry after an attempt whose outcome is unknown.
	retryUnknown bool
}

// send sends a request until the response is not a problem or the problem
// allows no retry. It returns the response, whose body the caller closes, and
// the entry that sent it.
func (c *Client) send(ctx context.Context, q request) (*http.Response, string, error) {
	c.init()
	c.budget.deposit()
	delays := newBackoff()
	tried := map[string]bool{}
	unknownOutcomes, mayHaveRun := 0, false
	for attempt := 1; ; attempt++ {
		entry, ok := c.nextEntry(ctx, tried)
		p := problem.New(problem.NoCapacity, "no entry can be reached")
		failover := false
		if ok {
			tried[entry] = true
			var res *http.Response
			if res, p, failover = c.attempt(ctx, entry, q); p == nil {
				return res, entry, nil
			}
		}
		if p.Kind == problem.OutcomeUnknown && p.RequestID != "" {
			unknownOutcomes++
		}
		mayHaveRun = mayHaveRun || problem.Of(p.Kind).Ran != problem.NotRun
		if !mayRetry(p, q) || unknownOutcomes > maxUnknownRetries || attempt >= c.maxAttempts() || ctx.Err() != nil {
			return nil, "", overallProblem(p, mayHaveRun)
		}
		if failover && c.hasUntried(tried) {
			continue // The attempt did not reach a queue, so it takes nothing from the budget.
		}
		if !c.budget.withdraw() {
			return nil, "", overallProblem(p, mayHaveRun)
		}
		clear(tried)
		if err := c.waitBeforeRetry(ctx, p, delays); err != nil {
			return nil, "", overallProblem(p, mayHaveRun)
		}
	}
}

// overallProblem returns the problem that describes all attempts of a request.
// When the last attempt was not run but an earlier one may have run, that is
// OutcomeUnknown.
func overallProblem(p *problem.Problem, mayHaveRun bool) *problem.Problem {
	if !mayHaveRun || problem.Of(p.Kind).Ran != problem.NotRun {
		return p
	}
	o := problem.New(problem.OutcomeUnknown, "an earlier attempt may have run; the last one: %s", p.Error())
	o.RequestID = p.RequestID
	return o
}

// sendAndRead sends a request and reads the response. A response that is cut
// off is requested again if retryUnknown allows it.
func (c *Client) sendAndRead(ctx context.Context, q request) (*Answer, error) {
	for {
		res, entry, err := c.send(ctx, q)
		if err != nil {
			return nil, err
		}
		a, p := readAnswer(res, entry)
		if p == nil {
			return a, nil
		}
		if !q.retryUnknown || ctx.Err() != nil || !c.budget.withdraw() {
			return nil, p
		}
	}
}

// mayRetry reports whether a request may be sent again after a problem.
func mayRetry(p *problem.Problem, q request) bool {
	row := problem.Of(p.Kind)
	return row.Ran == problem.NotRun && row.ComeBack || p.Kind == problem.OutcomeUnknown && q.retryUnknown
}

// attempt sends a request to one entry. If failover is set, the request may be
// sent to another entry without waiting.
func (c *Client) attempt(ctx context.Context, entry string, q request) (res *http.Response, p *problem.Problem, failover bool) {
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+entry+q.path, bytes.NewReader(q.body))
	if err != nil {
		return nil, problem.New(problem.BadRequest, "%v", err), false
	}
	for name, values := range q.header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	// net/http may repeat a request on another connection by itself: one of which
	// nothing was written, and on a reused connection one with a safe method or an
	// idempotency key. Both kinds may be repeated. A request on a new connection is
	// not repeated.
	res, err = c.http.Do(req)
	if err != nil {
		if ctx.Err() == nil {
			c.directory.markDown(entry, time.Now())
		}
		if isDialError(err) {
			return nil, problem.New(problem.NoCapacity, "entry %s: %v", entry, err), true
		}
		// No RequestID: this client, not a daemon, reports the unknown outcome.
		return nil, problem.New(problem.OutcomeUnknown, "entry %s did not answer: %v", entry, err), false
	}
	if p = readProblem(res); p == nil {
		return res, nil, false
	}
	if p.Kind == problem.Draining {
		c.directory.replaceLeaving(entry, p.Entries, time.Now())
		return nil, p, true
	}
	return nil, p, false
}

// isDialError reports whether the connection failed, so that the request was
// certainly not sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// readProblem returns the problem that a daemon sent and closes the response.
// For any other response it returns nil and leaves the response unread.
func readProblem(res *http.Response) *problem.Problem {
	if !strings.HasPrefix(res.Header.Get("Content-Type"), "application/problem+json") {
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(res.Body, maxProblemBytes))
	p := &problem.Problem{}
	if err == nil && isDaemonProblem(data) && json.Unmarshal(data, p) == nil {
		_ = res.Body.Close() // The body has been read to its end.
		if p.RequestID == "" {
			p.RequestID = res.Header.Get("X-Request-ID")
		}
		return p
	}
	res.Body = &partlyReadBody{Reader: io.MultiReader(bytes.NewReader(data), res.Body), Closer: res.Body}
	return nil
}

// isDaemonProblem reports whether a body is a problem of a daemon, not of a
// plain service.
func isDaemonProblem(data []byte) bool {
	var named struct {
		Type string `json:"type"`
	}
	return json.Unmarshal(data, &named) == nil && strings.HasPrefix(named.Type, problemPrefix)
}

// partlyReadBody is a response body whose first bytes were read and are put
// back before the rest.
type partlyReadBody struct {
	io.Reader
	io.Closer
}

// waitBeforeRetry waits for the Retry-After of the problem plus jitter, or else
// for the next backoff. It fails at once when the wait would exceed the
// deadline of the context.
func (c *Client) waitBeforeRetry(ctx context.Context, p *problem.Problem, delays *backoff.ExponentialBackOff) error {
	delay := delays.NextBackOff()
	if p.RetryAfter > 0 {
		delay = p.RetryAfter + time.Duration(jitterShare*c.random.float()*float64(p.RetryAfter))
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < delay {
		return context.DeadlineExceeded
	}
	return c.sleep(ctx, delay)
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 100 * time.Millisecond
	b.MaxInterval = 5 * time.Second
	return b
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
