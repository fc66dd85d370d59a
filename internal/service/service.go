// Package service is the client of plain backend services: HTTP calls that are
// passed on, and the look-up of what became of a key. It never repeats a call.
package service

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Errors of a Client.
const (
	// ErrNotStarted reports that the service certainly did not get the call.
	ErrNotStarted = errors.ConstError("service did not get the call")
	// ErrUnknown reports that the call may have run.
	ErrUnknown = errors.ConstError("answer of the service lost")
	// ErrTooLarge reports an answer over the limit; the call has run.
	ErrTooLarge = errors.ConstError("answer of the service too large")
)

// maxAnswerBytes bounds an answer, because it is recorded with its key in the
// key-value service, whose values hold a megabyte.
const maxAnswerBytes = 512 << 10

// Call is one HTTP call.
type Call struct {
	Method string
	// Path has the query.
	Path   string
	Header http.Header
	Body   []byte
	// Timeout bounds the whole call.
	Timeout time.Duration
}

// Answer is a whole HTTP answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client calls plain services over HTTP.
type Client struct {
	// HTTP sends the calls and must not repeat a call by itself; see
	// NewHTTPClient.
	HTTP *http.Client
}

// NewHTTPClient returns a client that never repeats a call and follows no
// redirect. net/http repeats requests on a reused connection that breaks when
// they have a GetBody function or no body and an Idempotency-Key header; Do
// avoids both. With fresh set, each call has a connection of its own, so that a
// connection which the service closed while idle never makes the outcome of an
// order unknown.
func NewHTTPClient(fresh bool) *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.MaxIdleConnsPerHost = 64
	t.DisableKeepAlives = fresh
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Do performs the call at the service with the given address and returns its
// whole answer.
func (c *Client) Do(ctx context.Context, address string, q Call) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	// A reader type that net/http does not know leaves GetBody unset.
	body := io.NopCloser(bytes.NewReader(q.Body))
	req, err := http.NewRequestWithContext(ctx, q.Method, "http://"+address+q.Path, body)
	if err != nil {
		return nil, errors.Annotatef(ErrNotStarted, "build call: %v", err)
	}
	req.ContentLength = int64(len(q.Body))
	if len(q.Body) == 0 && (q.Method == http.MethodGet || q.Method == http.MethodHead) {
		req.Body = http.NoBody
	}
	req.Header = q.Header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	if req.Header.Get("User-Agent") == "" {
		req.Header.Set("User-Agent", "apricotbridge")
	}
	res, err := c.HTTP.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return nil, errors.Annotatef(ErrNotStarted, "%v", err)
		}
		return nil, errors.Annotatef(ErrUnknown, "%v", err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, errors.Annotatef(ErrUnknown, "answer cut short: %v", err)
	}
	if len(data) > maxAnswerBytes {
		return nil, ErrTooLarge
	}
	return &Answer{Status: res.StatusCode, Header: res.Header, Body: data}, nil
}

// LookUp asks what became of a key. It returns nil without an error when the
// service has no run of the key.
func (c *Client) LookUp(ctx context.Context, address, path, key string, timeout time.Duration) (*Answer, error) {
	a, err := c.Do(ctx, address, Call{
		Method: http.MethodGet, Path: strings.ReplaceAll(path, "{Key}", url.PathEscape(key)), Timeout: timeout,
	})
	if err != nil {
		return nil, err
	}
	switch a.Status {
	case http.StatusNotFound:
		return nil, nil
	case http.StatusOK:
		return a, nil
	}
	return nil, errors.Annotatef(ErrUnknown, "look-up answered status %d", a.Status)
}
