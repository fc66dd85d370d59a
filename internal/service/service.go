// Package service is the client of plain backend services. It forwards HTTP calls
// and looks up the outcome of a call by its idempotency key. It never retries.
package service

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Errors of a Client.
const (
	// ErrNotStarted reports that the service did not receive the call.
	ErrNotStarted = errors.ConstError("service did not get the call")
	// ErrOutcomeUnknown reports a call without a complete answer, which may have run.
	ErrOutcomeUnknown = errors.ConstError("answer of the service lost")
	// ErrTooLarge reports an answer over maxResponseBytes; the call has run.
	ErrTooLarge = errors.ConstError("answer of the service too large")
)

// maxResponseBytes bounds an answer, because it is recorded with its key in the
// key-value service, whose values hold at most 1 MiB.
const maxResponseBytes = 512 << 10

// Call is one HTTP call.
type Call struct {
	Method string
	// Path includes the query.
	Path   string
	Header http.Header
	Body   []byte
	// Timeout bounds the whole call.
	Timeout time.Duration
}

// Response is a complete HTTP response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client calls plain services over HTTP.
type Client struct {
	// HTTP sends the calls. It must not retry; see NewHTTPClient.
	HTTP *http.Client
}

// NewHTTPClient returns a client that follows no redirect and, when used by Do,
// never retries. When a reused connection breaks, net/http retries requests that
// have a GetBody function, or no body and an Idempotency-Key header; Do avoids
// both. With freshConnections, each call uses a new connection: on a reused one that
// the service has just closed, the outcome of an order would be unknown.
func NewHTTPClient(freshConnections bool) *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.MaxIdleConnsPerHost = 64
	t.DisableKeepAlives = freshConnections
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Do performs the call at the service with the given address and returns its
// complete answer.
func (c *Client) Do(ctx context.Context, address string, call Call) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	// A reset while the body is written is reported to the writer only; the reader then sees the end
	// of the connection, which ends an answer without a length.
	written := make(chan error, 1)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		select {
		case written <- info.Err:
		default: // Written again on another connection.
		}
	}})
	// net/http sets GetBody for a *bytes.Reader but not for other reader types.
	body := io.NopCloser(bytes.NewReader(call.Body))
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, body)
	if err != nil {
		return nil, errors.Annotatef(ErrNotStarted, "build call: %v", err)
	}
	req.ContentLength = int64(len(call.Body))
	if len(call.Body) == 0 && (call.Method == http.MethodGet || call.Method == http.MethodHead) {
		req.Body = http.NoBody
	}
	req.Header = call.Header.Clone()
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
		return nil, errors.Annotatef(ErrOutcomeUnknown, "%v", err)
	}
	defer res.Body.Close()
	if res.StatusCode < 100 || res.StatusCode > 599 {
		return nil, errors.Annotatef(ErrOutcomeUnknown, "status %03d is none of an answer", res.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	if err != nil {
		return nil, errors.Annotatef(ErrOutcomeUnknown, "answer cut short: %v", err)
	}
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		select {
		case err = <-written:
		case <-ctx.Done():
			err = ctx.Err()
		}
		if err != nil {
			return nil, errors.Annotatef(ErrOutcomeUnknown, "connection lost during the call: %v", err)
		}
	}
	if len(data) > maxResponseBytes {
		return nil, ErrTooLarge
	}
	return &Response{Status: res.StatusCode, Header: res.Header, Body: data}, nil
}

// LookUp returns the recorded answer for an idempotency key, or nil without an error
// when the service has no run of the key.
func (c *Client) LookUp(ctx context.Context, address, path, key string, timeout time.Duration) (*Response, error) {
	answer, err := c.Do(ctx, address, Call{
		Method: http.MethodGet, Path: strings.ReplaceAll(path, "{Key}", url.PathEscape(key)), Timeout: timeout,
	})
	if err != nil {
		return nil, err
	}
	switch answer.Status {
	case http.StatusNotFound:
		return nil, nil
	case http.StatusOK:
		return answer, nil
	}
	return nil, errors.Annotatef(ErrOutcomeUnknown, "look-up answered status %d", answer.Status)
}
