package entry

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/message"
	"apricotbridge/internal/peer"
	"apricotbridge/pkg/problem"
)

// forwardedContextKey marks the context of a request that another daemon forwarded.
type forwardedContextKey struct{}

// forwardedIdentity is the identity that the forwarding daemon assigned and
// authenticated.
type forwardedIdentity struct {
	requestID    string
	organisation string
}

// forward sends a request to the daemon that holds its shard or its answer.
// onNotHeld, which may be nil, is called when that daemon does not hold it or can't
// be reached.
func (d *Daemon) forward(w http.ResponseWriter, r *http.Request, c *callerRequest, holder string, body []byte, onNotHeld func()) *problem.Problem {
	if onNotHeld == nil {
		onNotHeld = func() {}
	}
	if c.forwarded {
		onNotHeld()
		return ledgerUnavailable("this daemon does not hold what the request needs")
	}
	target, ok := c.view.daemonByID(holder)
	if !ok {
		onNotHeld()
		return ledgerUnavailable("the daemon that holds what the request needs is gone")
	}
	res, err := d.hub.Forward(r.Context(), target.PeerAddress, message.Forward{
		RequestID: c.id, Organisation: c.organisation.Name, Method: r.Method, Path: r.URL.RequestURI(),
		Headers: forwardedHeaders(r.Header), Body: body,
	})
	if err != nil {
		onNotHeld()
		return d.forwardFailed(r, c, holder, err)
	}
	defer res.Close()
	d.Log.Info("request forwarded", "RequestID", c.id, "Peer", holder, "Status", res.Status)
	if res.Status == problem.Of(problem.LedgerUnavailable).Status {
		onNotHeld()
	}
	copyResponse(w, res)
	return nil
}

func ledgerUnavailable(detail string) *problem.Problem {
	p := problem.New(problem.LedgerUnavailable, "%s", detail)
	p.RetryAfter = time.Second
	return p
}

// forwardFailed returns the problem for the caller after a failed forward.
func (d *Daemon) forwardFailed(r *http.Request, c *callerRequest, holder string, err error) *problem.Problem {
	var call *peer.CallError
	started := errors.As(err, &call) && call.Started
	d.Log.Info("forward failed", "RequestID", c.id, "Peer", holder, "Started", started, "Error", err.Error())
	if !started && r.Context().Err() == nil && !errors.Is(err, peer.ErrQueueFull) && !errors.Is(err, peer.ErrRefused) {
		// A disconnected caller or a refusal is no sign that the peer is unreachable.
		d.tryPost(func(c *controlState, now time.Time) { c.daemonUnreachable(now, holder) })
	}
	if !started || r.Method == http.MethodGet {
		return ledgerUnavailable("the daemon that holds what the request needs is not reached")
	}
	return problem.New(problem.OutcomeUnknown, "the daemon that ran the request is not reached any more; send the same key again")
}

// copyResponse writes the response of another daemon to the caller.
func copyResponse(w http.ResponseWriter, res *peer.Response) {
	for _, h := range res.Headers {
		w.Header().Add(h.Name, h.Value)
	}
	w.WriteHeader(res.Status)
	copyBody(w, res.Next)
}

func forwardedHeaders(h http.Header) []message.Header {
	var headers []message.Header
	for name, values := range endToEndHeaders(h) {
		for _, value := range values {
			headers = append(headers, message.Header{Name: name, Value: value})
		}
	}
	if rank := h.Get("X-Rank"); rank != "" {
		headers = append(headers, message.Header{Name: "X-Rank", Value: rank})
	}
	return headers
}

// ServeForward serves a request that another daemon forwarded.
func (d *Daemon) ServeForward(ctx context.Context, f message.Forward, w peer.ResponseWriter) {
	ctx = context.WithValue(ctx, forwardedContextKey{}, forwardedIdentity{requestID: f.RequestID, organisation: f.Organisation})
	r, err := http.NewRequestWithContext(ctx, f.Method, f.Path, bytes.NewReader(f.Body))
	if err != nil {
		w.Fail(false, err.Error())
		return
	}
	r.RequestURI = f.Path
	for _, h := range f.Headers {
		r.Header.Add(h.Name, h.Value)
	}
	response := &forwardWriter{w: w, header: http.Header{}}
	defer func() {
		if cause := recover(); cause != nil {
			if cause != http.ErrAbortHandler { //nolint:errorlint // A panic value, compared as net/http does.
				panic(cause)
			}
			w.Fail(true, "response was cut off")
		}
	}()
	d.handler.ServeHTTP(response, r)
	response.sendHeader(http.StatusOK)
}

// forwardWriter is the http.ResponseWriter of a forwarded request.
type forwardWriter struct {
	w          peer.ResponseWriter
	header     http.Header
	headerSent bool
}

// Header returns the headers to send.
func (f *forwardWriter) Header() http.Header { return f.header }

// WriteHeader sends the status and the headers.
func (f *forwardWriter) WriteHeader(status int) { f.sendHeader(status) }

// Write sends a part of the body.
func (f *forwardWriter) Write(body []byte) (int, error) {
	f.sendHeader(http.StatusOK)
	return f.w.Write(body)
}

// Flush does nothing, because each part is sent as it is written.
func (f *forwardWriter) Flush() {}

func (f *forwardWriter) sendHeader(status int) {
	if f.headerSent {
		return
	}
	f.headerSent = true
	var headers []message.Header
	for name, values := range f.header {
		for _, value := range values {
			headers = append(headers, message.Header{Name: name, Value: value})
		}
	}
	f.w.WriteHeader(status, headers)
}
