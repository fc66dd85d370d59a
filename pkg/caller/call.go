package caller

import (
	"context"
	"io"
	"net/http"
	"strings"

	"apricotbridge/pkg/problem"
)

// Call is a call of a plain service.
type Call struct {
	Service string
	Method  string
	// Path starts with a slash and may have a query.
	Path   string
	Header http.Header
	Body   []byte
	// Key is the idempotency key. With a key the same call may be sent again: the
	// daemons run it once and answer each repetition with the same outcome.
	Key string
	// Rank is the rank to ask for; empty means that of the service.
	Rank string
}

// Answer is the answer of a plain service, whatever its status.
type Answer struct {
	Status    int
	Header    http.Header
	Body      []byte
	RequestID string
	// Entry is the address of the entry that answered.
	Entry string
}

// Call calls a plain service. The error is a *problem.Problem. A call whose
// outcome is unknown is sent again only when it has a key or its method is safe.
func (c *Client) Call(ctx context.Context, q Call) (*Answer, error) {
	if !strings.HasPrefix(q.Path, "/") {
		return nil, problem.New(problem.BadRequest, "path %q does not start with /", q.Path)
	}
	header := q.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	identify(header, q.Key, q.Rank)
	return c.sendWhole(ctx, request{
		method: q.Method, path: "/services/" + q.Service + q.Path, header: header, body: q.Body,
		repeatable: q.Key != "" || safe(q.Method),
	})
}

// identify sets the headers that name the call and its rank.
func identify(h http.Header, key, rank string) {
	if key != "" {
		h.Set("Idempotency-Key", key)
	}
	if rank != "" {
		h.Set("X-Rank", rank)
	}
}

// safe reports whether a method changes nothing (RFC 9110, section 9.2.1).
func safe(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}

// readWhole reads and closes a response. The problem is that of an answer which
// began and did not end.
func readWhole(res *http.Response, entry string) (*Answer, *problem.Problem) {
	defer res.Body.Close()
	a := &Answer{Status: res.StatusCode, Header: res.Header, RequestID: res.Header.Get("X-Request-ID"), Entry: entry}
	var err error
	if a.Body, err = io.ReadAll(http.MaxBytesReader(nil, res.Body, maxAnswerBytes)); err != nil {
		p := problem.New(problem.OutcomeUnknown, "answer with status %d was cut off: %v", res.StatusCode, err)
		p.RequestID = a.RequestID
		return nil, p
	}
	return a, nil
}
