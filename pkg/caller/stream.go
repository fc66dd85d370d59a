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
	// acceptedPause is the wait before an unfinished request is asked for again.
	acceptedPause = 200 * time.Millisecond
	// defaultIdle is longer than the daemons wait for a silent backend server.
	defaultIdle = 60 * time.Second
)

// errGap reports tokens that the stream left out.
const errGap = errors.ConstError("stream left out tokens")

// Token is one token of a stream.
type Token struct {
	// Number counts from 1 over the whole answer.
	Number int64
	Text   string
	// Finish and Usage are set in the last token.
	Finish string
	Usage  *Usage
}

// Stream is the answer of a model, token by token. It is used by one goroutine.
type Stream struct {
	c    *Client
	ctx  context.Context
	id   string
	last int64
	// entry is where the stream is served; moved is set when that entry has named
	// another one.
	entry string

	body    io.ReadCloser
	events  *EventReader
	cancel  context.CancelFunc
	idle    *time.Timer
	resumed int
	// fruitless counts the resumes since the last token.
	fruitless int
	done      error
}

// Stream sends a prompt and returns its answer token by token. The caller closes
// the stream. The error is a *problem.Problem.
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
		a, p := readWhole(res, entry)
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

// Follow returns the answer of an earlier request of this organisation, from the
// token after the given number on.
func (c *Client) Follow(ctx context.Context, id string, after int64) (*Stream, error) {
	c.init()
	s := &Stream{c: c, id: id, last: after}
	s.ctx, s.cancel = context.WithCancel(ctx)
	if err := s.resume(); err != nil {
		s.cancel()
		return nil, err
	}
	s.resumed = 0
	return s, nil
}

// RequestID names the request; it is known from the start.
func (s *Stream) RequestID() string { return s.id }

// Resumed returns how often the stream broke and was resumed.
func (s *Stream) Resumed() int { return s.resumed }

// Close ends the stream. The daemons forget the answer after a while.
func (s *Stream) Close() error {
	s.shut()
	s.cancel()
	if s.done == nil {
		s.done = io.EOF
	}
	return nil
}

func (s *Stream) open(body io.ReadCloser) {
	// Closing the body ends a read that waits. The reader reads from here on.
	s.idle = time.AfterFunc(s.c.idle(), func() { _ = body.Close() })
	s.body, s.events = body, NewEventReader(body)
}

func (c *Client) idle() time.Duration {
	if c.Idle > 0 {
		return c.Idle
	}
	return defaultIdle
}

func (s *Stream) shut() {
	if s.body == nil {
		return
	}
	s.idle.Stop()
	_ = s.body.Close() // What was not read is asked for again.
	s.body = nil
}

// Next returns the next token, each exactly once, and io.EOF after the last. Any
// other error is a *problem.Problem.
func (s *Stream) Next() (Token, error) {
	for s.done == nil {
		t, ok, err := s.read()
		if ok {
			s.last, s.fruitless = t.Number, 0
			return t, nil
		}
		if err == nil {
			continue
		}
		s.shut()
		if err := s.settle(err); err != nil {
			s.done = err
		}
	}
	return Token{}, s.done
}

// settle returns the error with which the stream ends after it broke, or nil when
// it was resumed.
func (s *Stream) settle(broke error) error {
	var p *problem.Problem
	switch {
	case errors.Is(broke, errDone):
		return io.EOF
	case errors.As(broke, &p):
		return p
	case s.ctx.Err() != nil || s.id == "":
		p = problem.New(problem.OutcomeUnknown, "stream broke after token %d: %v", s.last, broke)
		p.RequestID = s.id
		return p
	}
	return s.resume()
}

// errDone reports the end of a whole answer.
const errDone = errors.ConstError("stream is whole")

// errMoved reports that another entry continues the answer.
const errMoved = errors.ConstError("stream moved to another entry")

// read returns the next new token. It returns neither a token nor an error for an
// event that brings none.
func (s *Stream) read() (Token, bool, error) {
	e, err := s.events.Next()
	if err != nil {
		return Token{}, false, err
	}
	if s.idle.Stop() {
		s.idle.Reset(s.c.idle())
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
	if number <= s.last {
		return Token{}, false, nil
	}
	if number > s.last+1 {
		return Token{}, false, errGap
	}
	var k chunk
	if err := json.Unmarshal([]byte(e.Data), &k); err != nil {
		return Token{}, false, problem.New(problem.Internal, "event %d is not a chunk of a completion", number)
	}
	c := k.completion()
	return Token{Number: number, Text: c.Text, Finish: c.Finish, Usage: k.Usage}, true, nil
}

// resume opens the stream again after the last token.
func (s *Stream) resume() error {
	if s.fruitless++; s.fruitless > s.c.attempts() {
		p := problem.New(problem.OutcomeUnknown, "stream broke %d times after token %d", s.c.attempts(), s.last)
		p.RequestID = s.id
		return p
	}
	header := http.Header{"Accept": {"text/event-stream"}}
	if s.last > 0 {
		header.Set("Last-Event-ID", strconv.FormatInt(s.last, 10))
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

// openWhole reads a finished draft, of which the daemons keep the text but not
// its tokens, as a stream of one token.
func (s *Stream) openWhole(res *http.Response) error {
	a, p := readWhole(res, s.entry)
	if p != nil {
		return p
	}
	if s.last > 0 {
		p := problem.New(problem.NotFound, "the tokens after %d are no longer kept; fetch the whole answer", s.last)
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

// fetch asks for the answer of a request, at the given entry first and then at
// the others. The entry that has it may not know it yet while it is handed over,
// so all are asked again a few times.
func (c *Client) fetch(ctx context.Context, id, entry string, header http.Header) (*http.Response, error) {
	c.init()
	r := request{method: http.MethodGet, path: "/v1/requests/" + url.PathEscape(id), header: header, repeatable: true}
	wait := newBackoff()
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
			if final(p) {
				return nil, p
			}
			if last == nil || p.Kind != problem.NotFound {
				last = p
			}
		}
		if last == nil {
			last = problem.New(problem.NoCapacity, "no entry can be reached")
		}
		if attempt >= c.attempts() || ctx.Err() != nil || !c.budget.withdraw() {
			return nil, last
		}
		if c.pause(ctx, last, wait) != nil {
			return nil, last
		}
	}
}

// final reports whether a problem is that with which the request ended. Those of
// an entry that doesn't have the request or can't find who has it are not, and
// neither are those of this client, which have no request id.
func final(p *problem.Problem) bool {
	switch p.Kind {
	case problem.NotFound, problem.NoCapacity, problem.Draining, problem.LedgerUnavailable:
		return false
	}
	return p.RequestID != ""
}
