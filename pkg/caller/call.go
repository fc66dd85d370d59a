package caller

import (
	"context"
	"io"
	"net/http"
	"strings"

	"apricotbridge/pkg/problem"
)

// Call is an HTTP request to a plain service.
type Call struct {
	Service string
	Method  string
	// Path starts with a slash and may include a query.
	Path   string
	Header http.Header
	Body   []byte
	// Key is the idempotency key; it may be empty. A call with a key may be sent
	// again: the daemons run it once and answer each repetition with the same
	// outcome.
	Key string
	// Rank is the requested rank; empty means the default rank of the service.
	Rank string
}

// Answer is the response of a plain service, whatever its status.
type Answer struct {
	Status    int
	Header    http.Header
	Body      []byte
	RequestID string
	// Entry is the address of the entry that responded.
	Entry string
}

// Call sends a request to a plain service. The error is a *problem.Problem. A
// call whose outcome is unknown is sent again only when it has a key or its
// method is safe.
func (c *Client) Call(ctx context.Context, q Call) (*Answer, error) {
	if !strings.HasPrefix(q.Path, "/") {
		return nil, problem.New(problem.BadRequest, "path %q does not start with /", q.Path)
	}
	header := q.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	setKeyAndRank(header, q.Key, q.Rank)
	return c.sendAndRead(ctx, request{
		method: q.Method, path: "/services/" + q.Service + q.Path, header: header, body: q.Body,
		retryUnknown: q.Key != "" || isSafeMethod(q.Method),
	})
}

// setKeyAndRank sets the headers for the idempotency key and the rank, unless
// they are empty.
func setKeyAndRank(h http.Header, key, rank string) {
	if key != "" {
		h.Set("Idempotency-Key", key)
	}
	if rank != "" {
		h.Set("X-Rank", rank)
	}
}

// isSafeMethod reports whether a method is safe, i.e. read-only (RFC 9110,
// section 9.2.1).
func isSafeMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}

// readAnswer reads and closes a response. It returns a problem when the body is
// cut off or longer than maxAnswerBytes.
func readAnswer(res *http.Response, entry string) (*Answer, *problem.Problem) {
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
