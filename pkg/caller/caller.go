// Package caller is the library of callers. It finds the entries of a deployment,
// fails over between them, resumes broken streams, and repeats a request only
// where that can't run an order twice.
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
	// defaultAttempts bounds the attempts of one request.
	defaultAttempts = 8
	// maxAnswerBytes bounds an answer that is read whole. Backend answers are at
	// most 512 KB; a long completion takes a few megabytes.
	maxAnswerBytes = 16 << 20
	// maxProblemBytes bounds an error answer.
	maxProblemBytes = 1 << 20
	// maxUnknown bounds how often a keyed call is sent again after a daemon has said
	// that its outcome is unknown. The daemons never run it again; they may find the
	// outcome when another one answers, or by look-up.
	maxUnknown = 2
	// jitterShare spreads the callers that were told the same Retry-After over half
	// as long again.
	jitterShare = 0.5
	// problemPrefix starts the type of the daemons' problems and tells them from
	// those of a plain service, whose answers are passed through.
	problemPrefix = "urn:apricotbridge:problem:"
)

// Client sends requests of one organisation. Set the exported fields before the
// first call. It may be used by several goroutines.
type Client struct {
	// Entries are the addresses, IP:port, at which to ask for the list of entries.
	// They should be near the caller.
	Entries []string
	// Token is the bearer token.
	Token string
	// HTTP sends the requests; nil means a client of its own without a time limit.
	HTTP *http.Client
	// Attempts bounds the attempts of one request; 0 means 8.
	Attempts int
	// Idle is how long an open stream may be silent before it is resumed; 0 means
	// 60s.
	Idle time.Duration
	// Seed makes the spread over entries and the jitter repeatable; 0 takes a
	// random one.
	Seed uint64

	once      sync.Once
	http      *http.Client
	directory directory
	budget    budget
	random    random
	// sleep waits; tests replace it.
	sleep func(ctx context.Context, d time.Duration) error
}

// random is a source that several goroutines may use.
type random struct {
	mu     sync.Mutex
	source *rand.Rand
}

func (r *random) float() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source.Float64()
}

func (r *random) perm(n int) []int {
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

func (c *Client) attempts() int {
	if c.Attempts > 0 {
		return c.Attempts
	}
	return defaultAttempts
}

// Close ends the idle connections.
func (c *Client) Close() {
	c.init()
	c.http.CloseIdleConnections()
}

// request is one HTTP request that may be sent several times.
type request struct {
	method, path string
	header       http.Header
	body         []byte
	// repeatable allows another attempt when the outcome of one is unknown.
	repeatable bool
}

// send sends a request until it is answered with something else than a problem,
// or until a problem is final. The response is open.
func (c *Client) send(ctx context.Context, q request) (*http.Response, string, error) {
	c.init()
	c.budget.deposit()
	wait := newBackoff()
	tried := map[string]bool{}
	unknown, mayHaveRun := 0, false
	for attempt := 1; ; attempt++ {
		entry, ok := c.pick(ctx, tried)
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
			unknown++
		}
		mayHaveRun = mayHaveRun || problem.Of(p.Kind).Ran != problem.NotRun
		if !mayRepeat(p, q) || unknown > maxUnknown || attempt >= c.attempts() || ctx.Err() != nil {
			return nil, "", overall(p, mayHaveRun)
		}
		if failover && c.untried(tried) {
			continue // The attempt did not reach a queue, so it costs no budget.
		}
		if !c.budget.withdraw() {
			return nil, "", overall(p, mayHaveRun)
		}
		clear(tried)
		if err := c.pause(ctx, p, wait); err != nil {
			return nil, "", overall(p, mayHaveRun)
		}
	}
}

// overall returns the problem for all attempts of a request: one that was not run
// at the last attempt may have run at an earlier one.
func overall(p *problem.Problem, mayHaveRun bool) *problem.Problem {
	if !mayHaveRun || problem.Of(p.Kind).Ran != problem.NotRun {
		return p
	}
	o := problem.New(problem.OutcomeUnknown, "an earlier attempt may have run; the last one: %s", p.Error())
	o.RequestID = p.RequestID
	return o
}

// sendWhole sends a request and reads its answer. An answer that is cut off is
// asked for again where the request may be repeated.
func (c *Client) sendWhole(ctx context.Context, q request) (*Answer, error) {
	for {
		res, entry, err := c.send(ctx, q)
		if err != nil {
			return nil, err
		}
		a, p := readWhole(res, entry)
		if p == nil {
			return a, nil
		}
		if !q.repeatable || ctx.Err() != nil || !c.budget.withdraw() {
			return nil, p
		}
	}
}

// mayRepeat reports whether a request may be sent again after a problem.
func mayRepeat(p *problem.Problem, q request) bool {
	row := problem.Of(p.Kind)
	return row.Ran == problem.NotRun && row.ComeBack || p.Kind == problem.OutcomeUnknown && q.repeatable
}

// attempt sends a request to one entry. A problem with failover set may be tried
// at another entry at once.
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
	// nothing was written, and on a reused connection one that is safe or has a key.
	// Each of these may be repeated, and a request on a new connection is not.
	res, err = c.http.Do(req)
	if err != nil {
		if ctx.Err() == nil {
			c.directory.fail(entry, time.Now())
		}
		if refused(err) {
			return nil, problem.New(problem.NoCapacity, "entry %s: %v", entry, err), true
		}
		// It has no request id: no daemon has said that the outcome is unknown.
		return nil, problem.New(problem.OutcomeUnknown, "entry %s did not answer: %v", entry, err), false
	}
	if p = readProblem(res); p == nil {
		return res, nil, false
	}
	if p.Kind == problem.Draining {
		c.directory.leave(entry, p.Entries, time.Now())
		return nil, p, true
	}
	return nil, p, false
}

// refused reports whether a request was certainly not sent.
func refused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// readProblem returns the problem of a daemon and closes the response, or returns
// nil and leaves it open.
func readProblem(res *http.Response) *problem.Problem {
	if !strings.HasPrefix(res.Header.Get("Content-Type"), "application/problem+json") {
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(res.Body, maxProblemBytes))
	p := &problem.Problem{}
	if err == nil && isProblem(data) && json.Unmarshal(data, p) == nil {
		_ = res.Body.Close() // The whole body has been read.
		if p.RequestID == "" {
			p.RequestID = res.Header.Get("X-Request-ID")
		}
		return p
	}
	res.Body = &replay{Reader: io.MultiReader(bytes.NewReader(data), res.Body), Closer: res.Body}
	return nil
}

// isProblem reports whether a body is a problem of a daemon.
func isProblem(data []byte) bool {
	var named struct {
		Type string `json:"type"`
	}
	return json.Unmarshal(data, &named) == nil && strings.HasPrefix(named.Type, problemPrefix)
}

// replay is a body of which a part has been read.
type replay struct {
	io.Reader
	io.Closer
}

// pause waits as long as the problem asks for, with jitter. It fails at once when
// the wait would outlast the context.
func (c *Client) pause(ctx context.Context, p *problem.Problem, wait *backoff.ExponentialBackOff) error {
	span := wait.NextBackOff()
	if p.RetryAfter > 0 {
		span = p.RetryAfter + time.Duration(jitterShare*c.random.float()*float64(p.RetryAfter))
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < span {
		return context.DeadlineExceeded
	}
	return c.sleep(ctx, span)
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
