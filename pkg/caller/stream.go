package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"apricotbridge/pkg/problem"
)

const (
	// acceptedPause is the interval between requests for the completion of an
	// unfinished request.
	acceptedPause = 200 * time.Millisecond
	// defaultIdle is longer than the daemons' own idle timeout for backend servers.
	defaultIdle = 60 * time.Second
)

// errGap reports that the stream skipped tokens.
const errGap = errors.ConstError("stream left out tokens")

// Token is one token of a stream.
type Token struct {
	// Number is the position in the whole response, from 1.
	Number int64
	Text   string
	// Finish and Usage are set on the last token.
	Finish string
	Usage  *Usage
}

// Stream is the response of a model, token by token. It is not safe for
// concurrent use.
type Stream struct {
	c          *Client
	ctx        context.Context
	id         string
	lastNumber int64
	// entry serves the stream, or is named by a moved event as the entry that
	// continues it. resume tries it before the others.
	entry string

	body      io.ReadCloser
	events    *EventReader
	cancel    context.CancelFunc
	idleTimer *time.Timer
	resumed   int
	// failedResumes counts the resumes since the last new token.
	failedResumes int
	endErr        error
	// listKept is closed when the goroutine that keeps the list of entries has ended;
	// nil before it starts.
	listKept chan struct{}
}

// Stream sends a prompt and returns the response token by token. The caller
// closes the stream. The error is a *problem.Problem.
func (c *Client) Stream(ctx context.Context, q Prompt) (*Stream, error) {
	r, err := q.request(true)
	if err != nil {
		return nil, err
	}
	s := &Stream{c: c}
	s.ctx, s.cancel = context.WithCancel(ctx)
	res, entry, err := c.send(s.ctx, r)
	if err != nil {
		s.cancel()
		return nil, err
	}
	s.id, s.entry = res.Header.Get("X-Request-ID"), entry
	if res.StatusCode == http.StatusAccepted {
		a, p := readAnswer(res, entry)
		if p != nil {
			s.cancel()
			return nil, p
		}
		s.id, s.entry = a.accepted()
		if err := s.resume(); err != nil {
			s.cancel()
			return nil, err
		}
		return s, nil
	}
	s.open(res.Body)
	return s, nil
}

// Follow streams the response to an earlier request of this organisation, from
// the token after the given number.
func (c *Client) Follow(ctx context.Context, id string, after int64) (*Stream, error) {
	c.init()
	s := &Stream{c: c, id: id, lastNumber: after}
	s.ctx, s.cancel = context.WithCancel(ctx)
	if err := s.resume(); err != nil {
		s.cancel()
		return nil, err
	}
	s.resumed = 0
	return s, nil
}

// RequestID returns the id of the request. It is known before the first token.
func (s *Stream) RequestID() string { return s.id }

// Resumed returns how often the stream broke and was resumed.
func (s *Stream) Resumed() int { return s.resumed }

// Close ends the stream. The daemons keep the response for a limited time.
func (s *Stream) Close() error {
	s.closeBody()
	s.cancel()
	if s.listKept != nil {
		<-s.listKept
	}
	if s.endErr == nil {
		s.endErr = io.EOF
	}
	return nil
}

func (s *Stream) open(body io.ReadCloser) {
	if s.listKept == nil {
		s.listKept = make(chan struct{})
		go func() {
			defer close(s.listKept)
			s.c.keepEntries(s.ctx)
		}()
	}
	// After the idle timeout, closing the body ends a blocked read.
	s.idleTimer = time.AfterFunc(s.c.idleTimeout(), func() { _ = body.Close() })
	s.body, s.events = body, NewEventReader(body)
}

func (c *Client) idleTimeout() time.Duration {
	if c.Idle > 0 {
		return c.Idle
	}
	return defaultIdle
}

func (s *Stream) closeBody() {
	if s.body == nil {
		return
	}
	s.idleTimer.Stop()
	_ = s.body.Close() // Unread tokens are requested again by resume.
	s.body = nil
}

// Next returns each token exactly once, in order, and io.EOF after the last.
// Any other error is a *problem.Problem.
func (s *Stream) Next() (Token, error) {
	for s.endErr == nil {
		t, ok, err := s.read()
		if ok {
			s.lastNumber, s.failedResumes = t.Number, 0
			return t, nil
		}
		if err == nil {
			continue
		}
		s.closeBody()
		if err := s.resumeOrEnd(err); err != nil {
			s.endErr = err
			s.cancel()
		}
	}
	return Token{}, s.endErr
}

// resumeOrEnd handles the error that ended a response body. It returns nil when
// the stream was resumed, or the error with which the stream ends.
func (s *Stream) resumeOrEnd(cause error) error {
	var p *problem.Problem
	switch {
	case errors.Is(cause, errDone):
		return io.EOF
	case errors.As(cause, &p):
		return p
	case s.ctx.Err() != nil || s.id == "":
		p = problem.New(problem.OutcomeUnknown, "stream broke after token %d: %v", s.lastNumber, cause)
		p.RequestID = s.id
		return p
	}
	return s.resume()
}

// errDone reports that the stream is complete.
const errDone = errors.ConstError("stream is whole")

// errMoved reports that another entry continues the stream.
const errMoved = errors.ConstError("stream moved to another entry")

// read returns the next new token. For an event without a new token it returns
// neither a token nor an error.
func (s *Stream) read() (Token, bool, error) {
	e, err := s.events.Next()
	if err != nil {
		return Token{}, false, err
	}
	if s.idleTimer.Stop() {
		s.idleTimer.Reset(s.c.idleTimeout())
	}
	switch {
	case e.Name == "error":
		p := &problem.Problem{}
		if err := json.Unmarshal([]byte(e.Data), p); err != nil {
			return Token{}, false, problem.New(problem.Internal, "stream ended with an error that cannot be read")
		}
		return Token{}, false, p
	case e.Name == "moved":
		var named struct {
			Entry string `json:"Entry"`
		}
		if json.Unmarshal([]byte(e.Data), &named) == nil {
			s.entry = named.Entry
		}
		if s.entry != "" {
			s.c.directory.add(s.entry)
		}
		return Token{}, false, errMoved
	case e.Data == "[DONE]":
		return Token{}, false, errDone
	}
	return s.token(e)
}

func (s *Stream) token(e Event) (Token, bool, error) {
	number, err := strconv.ParseInt(e.ID, 10, 64)
	if err != nil {
		return Token{}, false, problem.New(problem.Internal, "event id %q is not a number", e.ID)
	}
	if number <= s.lastNumber {
		return Token{}, false, nil
	}
	if number > s.lastNumber+1 {
		return Token{}, false, errGap
	}
	var k chunk
	if err := json.Unmarshal([]byte(e.Data), &k); err != nil {
		return Token{}, false, problem.New(problem.Internal, "event %d is not a chunk of a completion", number)
	}
	c := k.completion()
	return Token{Number: number, Text: c.Text, Finish: c.Finish, Usage: k.Usage}, true, nil
}

// resume requests the stream again from the token after the last one.
func (s *Stream) resume() error {
	if s.failedResumes++; s.failedResumes > s.c.maxAttempts() {
		p := problem.New(problem.OutcomeUnknown, "stream broke %d times after token %d", s.c.maxAttempts(), s.lastNumber)
		p.RequestID = s.id
		return p
	}
	header := http.Header{"Accept": {"text/event-stream"}}
	if s.lastNumber > 0 {
		header.Set("Last-Event-ID", strconv.FormatInt(s.lastNumber, 10))
	}
	res, err := s.c.fetch(s.ctx, s.id, s.entry, header) //nolint:bodyclose // The stream keeps the body; shut closes it.
	if err != nil {
		return err
	}
	s.resumed++
	if !strings.HasPrefix(res.Header.Get("Content-Type"), "application/json") {
		s.open(res.Body)
		return nil
	}
	return s.openWhole(res)
}

// openWhole opens the response of a finished draft as a stream of one token,
// because the daemons keep its text but not its tokens.
func (s *Stream) openWhole(res *http.Response) error {
	a, p := readAnswer(res, s.entry)
	if p != nil {
		return p
	}
	if s.lastNumber > 0 {
		p := problem.New(problem.NotFound, "the tokens after %d are no longer kept; fetch the whole answer", s.lastNumber)
		p.RequestID = s.id
		return p
	}
	var line bytes.Buffer
	if err := json.Compact(&line, a.Body); err != nil {
		return problem.New(problem.Internal, "answer of request %s is not JSON", s.id)
	}
	s.open(io.NopCloser(strings.NewReader("id: 1\ndata: " + line.String() + "\n\ndata: [DONE]\n\n")))
	return nil
}

// fetch requests the response of an earlier request, from the given entry first
// and then from the others. During a handover, the new entry may not have the
// request yet, so all entries are tried several times.
func (c *Client) fetch(ctx context.Context, id, entry string, header http.Header) (*http.Response, error) {
	c.init()
	r := request{method: http.MethodGet, path: "/v1/requests/" + url.PathEscape(id), header: header, retryUnknown: true}
	delays := newBackoff()
	for attempt := 1; ; attempt++ {
		var last *problem.Problem
		list := slices.DeleteFunc(slices.Clone(c.entries(ctx)), func(e string) bool { return e == entry })
		if entry != "" {
			list = append([]string{entry}, list...)
		}
		for _, e := range list {
			res, p, _ := c.attempt(ctx, e, r)
			if p == nil {
				return res, nil
			}
			if isFinal(p) {
				return nil, p
			}
			if last == nil || p.Kind != problem.NotFound {
				last = p
			}
		}
		if last == nil {
			last = problem.New(problem.NoCapacity, "no entry can be reached")
		}
		if attempt >= c.maxAttempts() || ctx.Err() != nil || !c.budget.withdraw() {
			return nil, last
		}
		if c.waitBeforeRetry(ctx, last, delays) != nil {
			return nil, last
		}
	}
}

// isFinal reports whether a problem is the final outcome of a request. Problems
// of an entry that does not have the request or cannot find the entry that has
// it are not final, nor are the problems that this client made, which have no
// request id.
func isFinal(p *problem.Problem) bool {
	switch p.Kind {
	case problem.NotFound, problem.NoCapacity, problem.Draining, problem.LedgerUnavailable:
		return false
	}
	return p.RequestID != ""
}
