package backend

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/budget"
)

const (
	// maxSkippedResponses limits the responses to other requests that are skipped on
	// one connection.
	maxSkippedResponses = 3
	// maxSkippedBodyBytes limits the skipped body of a response to another request.
	maxSkippedBodyBytes = 64 << 10
	// maxIdleTimeoutSeconds limits the idle timeout that a server states.
	maxIdleTimeoutSeconds = 3600
	// maxRetryAfter limits how long a server may ask for no requests.
	maxRetryAfter = 5 * time.Minute
	// maxHeadBytes limits the head of a response. It is the limit for the heads of
	// requests.
	maxHeadBytes = 64 << 10
	// maxHeadLines limits the lines of a head, since a parsed line takes many times the memory
	// of a short one that was received.
	maxHeadLines = 512
	// concurrentWriteBytes is the body size above which the request is written
	// concurrently with reading the response, since a server may respond before it has
	// read the whole body.
	concurrentWriteBytes = 8 << 10
)

// Errors of an exchange.
const (
	// ErrNotSent reports that no byte of the request was sent.
	ErrNotSent = errors.ConstError("request not sent")
	// ErrIncomplete reports a missing or incomplete response. The request may have run.
	ErrIncomplete = errors.ConstError("response broke off")
	// ErrConnectionLost reports in addition to ErrIncomplete that the server's side ended
	// the connection. A server that crashes ends all of its connections.
	ErrConnectionLost = errors.ConstError("connection lost")
)

// incomplete returns an ErrIncomplete with its cause.
func incomplete(step string, cause error) error {
	err := errors.Annotatef(ErrIncomplete, "%s%v", step, cause)
	for _, ended := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(cause, ended) {
			return errors.WithType(err, ErrConnectionLost)
		}
	}
	return err
}

// Request is a request to a backend server.
type Request struct {
	Method string
	// Target is the path and query, as sent by the caller.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Attempt is the id that identifies the response on the connection.
	Attempt string
	// AtMostOnce is set if the request must not be sent twice.
	AtMostOnce bool
	// Resent is set if an attempt with the same id was sent to this server before. A late
	// copy of the response to it would be indistinguishable, so that the request gets a new
	// connection.
	Resent bool
	// Allowed, if not nil, is asked once a connection is open, which may take a second or more. If it
	// returns false, the request is not sent.
	Allowed func() bool
}

// Response is the response to a request. It must be closed.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is the length of the body, or -1 if unknown.
	ContentLength int64
	// CloseDelimited is set if only the end of the connection ends the body.
	CloseDelimited bool
	// NotRun is set if the server stated that it did not run the request.
	NotRun bool
	// Signed is set if the response has the server's signature.
	Signed bool
	// Leaving is set if the server stated that it is leaving.
	Leaving bool
	// RetryAfter is how long an overloaded server (status 503) wants no requests of this
	// client; 0 means not stated.
	RetryAfter time.Duration
	// RequestRate is what the server takes from all clients together.
	RequestRate RequestRate

	body io.ReadCloser
	conn *conn
	pool *Pool
	// requestWritten receives whether the whole request was written. It is nil if the
	// request was written before reading the response.
	requestWritten chan bool
	stopWatching   func() bool // Stops closing conn at the end of the context.
	bodyComplete   bool
	reusable       bool
	// holder is what the response holds of pool.held.
	holder budget.Holder
	// connReused is set if the connection has carried another request before.
	connReused bool
}

// bufferedReader reads a connection. It limits the bytes and lines of a head, which
// http.ReadResponse does not.
type bufferedReader struct {
	*bufio.Reader
	source *headLimiter
}

func newBufferedReader(r io.Reader) *bufferedReader {
	source := &headLimiter{source: r}
	return &bufferedReader{bufio.NewReaderSize(source, readBufferBytes), source}
}

// headLimiter passes on what it reads, and fails a head that exceeds its limits. The limits are
// checked before each read, so that a head can exceed them by a buffer.
type headLimiter struct {
	source io.Reader
	// inHead is set while a head is read, and bytes and lines count what was read of it.
	inHead       bool
	bytes, lines int
	// hold notes the bytes that a head holds in memory.
	hold func(n int) error
}

// Read reads from the source.
func (l *headLimiter) Read(b []byte) (int, error) {
	if !l.inHead {
		return l.source.Read(b)
	}
	switch {
	case l.bytes >= maxHeadBytes:
		return 0, errors.Errorf("head has over %d bytes", maxHeadBytes)
	case l.lines >= maxHeadLines:
		return 0, errors.Errorf("head has over %d lines", maxHeadLines)
	}
	n, err := l.source.Read(b)
	l.bytes += n
	l.lines += bytes.Count(b[:n], []byte("\n"))
	if l.bytes > readBufferBytes {
		if e := l.hold(l.bytes); e != nil {
			return 0, e
		}
	}
	return n, err
}

// readHead reads the head of the next response. hold notes the bytes that a long one holds in
// memory. The body is read without a limit.
func (b *bufferedReader) readHead(method string, hold func(n int) error) (*http.Response, error) {
	b.source.inHead, b.source.bytes, b.source.lines, b.source.hold = true, 0, 0, hold
	head, err := http.ReadResponse(b.Reader, &http.Request{Method: method})
	b.source.inHead = false
	return head, err
}

// Do sends a request and returns after reading the head of the response. When the
// context ends, the connection is closed, even while the body is being read. Errors are
// ErrNotSent or ErrIncomplete.
func (p *Pool) Do(ctx context.Context, now time.Time, address string, q *Request) (*Response, error) {
	var c *conn
	if !q.Resent {
		c = p.takeIdle(now, address, q.AtMostOnce)
	}
	if c == nil {
		var err error
		if c, err = p.dial(ctx, address); err != nil {
			return nil, errors.Annotatef(ErrNotSent, "%v", err)
		}
	}
	if ctx.Err() != nil {
		p.addIdle(c)
		return nil, errors.Annotatef(ErrNotSent, "%v", context.Cause(ctx))
	}
	if q.Allowed != nil && !q.Allowed() {
		p.addIdle(c)
		return nil, errors.Annotate(ErrNotSent, "no longer allowed")
	}
	r := &Response{conn: c, pool: p, connReused: c.used}
	c.used = true
	r.stopWatching = context.AfterFunc(ctx, func() { _ = c.Close() }) // Unblocks a pending read.
	head := q.head()
	if len(q.Body) > concurrentWriteBytes {
		r.requestWritten = make(chan bool, 1)
		go func() {
			_, err := c.Write(head)
			if err == nil {
				_, err = c.Write(q.Body)
			}
			r.requestWritten <- err == nil
		}()
	} else if n, err := c.Write(append(head, q.Body...)); err != nil {
		r.abandon()
		if n == 0 {
			return nil, errors.Annotatef(ErrNotSent, "write: %v", err)
		}
		return nil, incomplete("write: ", err)
	}
	if err := r.readHead(q, p.Names); err != nil {
		r.abandon()
		return nil, incomplete("", err)
	}
	return r, nil
}

// head returns the encoded request line and headers.
func (q *Request) head() []byte {
	var b strings.Builder
	b.Grow(512)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", q.Method, q.Target, q.Host)
	for name, values := range q.Header {
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if len(q.Body) > 0 || q.Method != http.MethodGet && q.Method != http.MethodHead {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.Body))
	}
	b.WriteString("\r\n")
	return []byte(b.String())
}

// readHead reads response heads until one belongs to the request.
func (r *Response) readHead(q *Request, names HeaderNames) error {
	for range maxSkippedResponses {
		head, err := r.conn.reader.readHead(q.Method, r.Hold) //nolint:bodyclose // It ends with the connection.
		if err != nil {
			return err
		}
		switch {
		case head.StatusCode < 100 || head.StatusCode > 599 || head.StatusCode == http.StatusSwitchingProtocols:
			return errors.Errorf("status %03d is none of an answer", head.StatusCode) // What follows is no answer either.
		case head.StatusCode < 200:
			continue
		}
		r.Leaving = r.Leaving || names.Leaving != "" && head.Header.Get(names.Leaving) == "1"
		id := head.Header.Get(names.Attempt)
		if id != "" && id != q.Attempt {
			// A late response to an earlier request on this connection.
			if _, err := io.Copy(io.Discard, io.LimitReader(head.Body, maxSkippedBodyBytes)); err != nil {
				return err
			}
			continue
		}
		if head.StatusCode == http.StatusServiceUnavailable {
			r.RetryAfter = retryAfter(head.Header)
		}
		r.RequestRate = requestRate(head.Header.Get(names.RequestRate))
		r.Status, r.Header, r.body, r.ContentLength = head.StatusCode, head.Header, head.Body, head.ContentLength
		r.CloseDelimited = head.ContentLength < 0 && len(head.TransferEncoding) == 0
		r.Signed = head.Header.Get(names.Signature) != ""
		r.NotRun = head.Header.Get(names.NotRun) != "" || head.StatusCode == http.StatusMisdirectedRequest
		// On a connection that has carried another request, a response without an id may be
		// a copy of an earlier one.
		if id == "" && (!r.NotRun || r.connReused) {
			return errors.Errorf("response with status %d has no request id", r.Status)
		}
		r.reusable = !head.Close && !r.CloseDelimited
		r.conn.usableUntil = idleExpiry(head.Header)
		return nil
	}
	return errors.New("responses to other requests only")
}

// retryAfter returns the time that the server asks the client to wait, limited to
// maxRetryAfter. A date (RFC 9110, section 10.2.3) counts as not stated, since servers send
// seconds.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(h.Get("Retry-After")), 64)
	if err != nil || !(seconds > 0) { // Also for NaN.
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// RequestRate is the number of requests that a server takes, as stated in a response.
type RequestRate struct {
	// Stated is set if the response names a rate that can be read.
	Stated bool
	// Unreadable is set if the response names something else instead.
	Unreadable bool
	PerSecond  float64
}

// requestRate reads the value of the header for the rate of requests; empty means not stated.
func requestRate(value string) RequestRate {
	if value == "" {
		return RequestRate{}
	}
	rate, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || !(rate >= 0) || math.IsInf(rate, 0) { // Also for NaN.
		return RequestRate{Unreadable: true}
	}
	return RequestRate{Stated: true, PerSecond: rate}
}

// idleExpiry returns the time from which the server may close the idle connection.
func idleExpiry(h http.Header) time.Time {
	timeout := defaultIdleTimeout
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if seconds, err := strconv.Atoi(v); err == nil {
				timeout = time.Duration(max(0, min(seconds, maxIdleTimeoutSeconds))) * time.Second
			}
		}
	}
	return time.Now().Add(timeout - idleMargin)
}

// Read reads the body. It returns io.EOF only after a complete body, and ErrIncomplete
// if the connection ends before.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF) && r.CloseDelimited && !r.bodyComplete && !r.requestDelivered():
		err = incomplete("body: connection lost during the request: ", io.EOF)
	case errors.Is(err, io.EOF) && r.CloseDelimited && !r.bodyComplete && r.pool.Refuses(context.Background(), r.conn.address):
		// A server that crashes closes its connections like one that has written everything.
		err = incomplete("body: server ended: ", io.EOF)
	case errors.Is(err, io.EOF):
		r.bodyComplete = true
	default:
		err = incomplete("body: ", err)
	}
	return n, err
}

// requestDelivered waits until the request was written, or writing it failed. A reset is reported only
// once: if the writer learned of it, the reader sees the end of the connection, as if the answer were
// complete. The wait ends with the context of the request.
func (r *Response) requestDelivered() bool {
	if r.requestWritten == nil {
		return true
	}
	done := <-r.requestWritten
	r.requestWritten <- done // For Close.
	return done
}

// ReadBody reads the whole body. A body of more than limit bytes is an error.
func (r *Response) ReadBody(limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, errors.Annotatef(ErrIncomplete, "body has %d bytes", r.ContentLength)
	}
	body := make([]byte, 0, min(max(r.ContentLength, minBodyBuffer), maxBodyBuffer))
	for {
		if err := r.Hold(cap(body)); err != nil {
			return nil, err
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, errors.Annotatef(ErrIncomplete, "body has over %d bytes", limit)
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		case len(body) == cap(body):
			body = append(body, 0)[:len(body)] // Grows the buffer.
		}
	}
}

// minBodyBuffer and maxBodyBuffer bound the capacity of the buffer for a body before the body has
// arrived.
const (
	minBodyBuffer = 512
	maxBodyBuffer = 64 << 10
)

// SetReadDeadline sets the deadline for reading the body.
func (r *Response) SetReadDeadline(t time.Time) { _ = r.conn.SetReadDeadline(t) } // A closed connection is reported by Read.

// Close returns the connection to the pool if the whole request was written and the
// whole response was read. Otherwise it closes the connection.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	r.pool.held.Release(&r.holder)
	requestDone := true
	if r.requestWritten != nil {
		select {
		case requestDone = <-r.requestWritten:
			r.requestWritten = nil
		default:
			// The server would read the next request as the rest of this body.
			requestDone = false
		}
	}
	if !r.bodyComplete || !r.reusable || !requestDone || !r.stopWatching() || r.conn.reader.Buffered() > 0 {
		r.abandon()
		return
	}
	c := r.conn
	r.conn = nil
	if err := c.SetDeadline(time.Time{}); err != nil {
		_ = c.Close() // Already closed by the server.
		return
	}
	r.pool.addIdle(c)
}

// abandon closes the connection, which cancels the request at the server.
func (r *Response) abandon() {
	r.pool.held.Release(&r.holder)
	r.stopWatching()
	_ = r.conn.Close() // Already closed if the context has ended.
	r.conn = nil
	if r.requestWritten != nil {
		<-r.requestWritten
		r.requestWritten = nil
	}
}
