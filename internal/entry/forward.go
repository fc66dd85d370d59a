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

// forwardedKey marks the context of a request that another daemon passed on.
type forwardedKey struct{}

// forwardedFrom is what the other daemon has established.
type forwardedFrom struct {
	requestID    string
	organisation string
}

// forward passes a request to the daemon that holds its shard or its answer.
// stale is called when that daemon turns out not to hold it; nil means that
// nothing is remembered.
func (d *Daemon) forward(w http.ResponseWriter, r *http.Request, c *caller, owner string, body []byte, stale func()) *problem.Problem {
	if stale == nil {
		stale = func() {}
	}
	if c.forwarded {
		stale()
		return notHere("this daemon does not hold what the request needs")
	}
	target, ok := c.view.daemon(owner)
	if !ok {
		stale()
		return notHere("the daemon that holds what the request needs is gone")
	}
	res, err := d.hub.Forward(r.Context(), target.PeerAddress, message.Forward{
		RequestID: c.id, Organisation: c.organisation.Name, Method: r.Method, Path: r.URL.RequestURI(),
		Headers: forwardedHeaders(r.Header), Body: body,
	})
	if err != nil {
		stale()
		return d.forwardFailed(r, c, owner, err)
	}
	defer res.Close()
	d.Log.Info("request forwarded", "RequestID", c.id, "Peer", owner, "Status", res.Status)
	if res.Status == problem.Of(problem.LedgerUnavailable).Status {
		stale()
	}
	passOn(w, res)
	return nil
}

func notHere(detail string) *problem.Problem {
	p := problem.New(problem.LedgerUnavailable, "%s", detail)
	p.RetryAfter = time.Second
	return p
}

// forwardFailed says what a failed forward means for the caller.
func (d *Daemon) forwardFailed(r *http.Request, c *caller, owner string, err error) *problem.Problem {
	var call *peer.CallError
	started := errors.As(err, &call) && call.Started
	d.Log.Info("forward failed", "RequestID", c.id, "Peer", owner, "Started", started, "Error", err.Error())
	if !started && r.Context().Err() == nil && !errors.Is(err, peer.ErrQueueFull) && !errors.Is(err, peer.ErrRefused) {
		// A caller that cut itself off says nothing of the peer, nor does a refusal.
		d.tell(func(c *controlState, now time.Time) { c.broken(now, owner) })
	}
	if !started || r.Method == http.MethodGet {
		return notHere("the daemon that holds what the request needs is not reached")
	}
	return problem.New(problem.OutcomeUnknown, "the daemon that ran the request is not reached any more; send the same key again")
}

// passOn sends the response of another daemon.
func passOn(w http.ResponseWriter, res *peer.Response) {
	for _, h := range res.Headers {
		w.Header().Add(h.Name, h.Value)
	}
	w.WriteHeader(res.Status)
	copyParts(w, res.Next)
}

func forwardedHeaders(h http.Header) []message.Header {
	var headers []message.Header
	for name, values := range passedHeaders(h) {
		for _, value := range values {
			headers = append(headers, message.Header{Name: name, Value: value})
		}
	}
	if rank := h.Get("X-Rank"); rank != "" {
		headers = append(headers, message.Header{Name: "X-Rank", Value: rank})
	}
	return headers
}

// ServeForward serves a request that another daemon passed on.
func (d *Daemon) ServeForward(ctx context.Context, f message.Forward, w peer.ResponseWriter) {
	ctx = context.WithValue(ctx, forwardedKey{}, forwardedFrom{requestID: f.RequestID, organisation: f.Organisation})
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
	response.begin(http.StatusOK)
}

// forwardWriter is the response writer of a forwarded request.
type forwardWriter struct {
	w      peer.ResponseWriter
	header http.Header
	begun  bool
}

// Header returns the headers to send.
func (f *forwardWriter) Header() http.Header { return f.header }

// WriteHeader sends the status and the headers.
func (f *forwardWriter) WriteHeader(status int) { f.begin(status) }

// Write sends a part of the body.
func (f *forwardWriter) Write(body []byte) (int, error) {
	f.begin(http.StatusOK)
	return f.w.Write(body)
}

// Flush does nothing, since each part is sent as it is written.
func (f *forwardWriter) Flush() {}

func (f *forwardWriter) begin(status int) {
	if f.begun {
		return
	}
	f.begun = true
	var headers []message.Header
	for name, values := range f.header {
		for _, value := range values {
			headers = append(headers, message.Header{Name: name, Value: value})
		}
	}
	f.w.WriteHeader(status, headers)
}
