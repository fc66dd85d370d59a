package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

const (
	// maxForeign bounds the responses to other requests that are skipped on one
	// connection.
	maxForeign = 3
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 64 << 10
	// writeApart is the body size from which a body is written beside the reading
	// of the response, since a server may answer before it has read all of it.
	writeApart = 8 << 10
)

// Errors of an exchange.
const (
	// ErrNotSent reports that no byte of the request reached the server.
	ErrNotSent = errors.ConstError("request not sent")
	// ErrBroken reports that the response is missing or broke off, so that the
	// request may have run.
	ErrBroken = errors.ConstError("response broke off")
)

// Request is one request to a backend server.
type Request struct {
	Method string
	// Target is the path with the query, as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Attempt is the id by which the response is told from others.
	Attempt string
	// Once says that the request must not be sent twice.
	Once bool
}

// Response is the response to a request. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 when it is not stated.
	Length int64
	// Unframed says that the body ends with the connection.
	Unframed bool
	// NotRun says that the server stated that the request did not run.
	NotRun bool
	// Signed says that the response carries the server's signature.
	Signed bool

	body io.ReadCloser
	conn *conn
	pool *Pool
	// wrote reports whether the whole request was written, where that is done apart.
	wrote chan bool
	stop  func() bool
	ended bool
	keep  bool
}

type reader struct{ *bufio.Reader }

func newReader(r io.Reader) *reader { return &reader{bufio.NewReaderSize(r, readBuffer)} }

// Do sends a request and returns when the head of the response is there. The end
// of the context closes the connection, also while the body is read. The error is
// ErrNotSent or ErrBroken.
func (p *Pool) Do(ctx context.Context, now time.Time, address string, q *Request) (*Response, error) {
	c := p.get(now, address, q.Once)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, address); err != nil {
			return nil, errors.Annotatef(ErrNotSent, "%v", err)
		}
	}
	if ctx.Err() != nil {
		p.put(c)
		return nil, errors.Annotatef(ErrNotSent, "%v", context.Cause(ctx))
	}
	r := &Response{conn: c, pool: p}
	r.stop = context.AfterFunc(ctx, func() { _ = c.Close() }) // Wakes the reader.
	head := q.head()
	if len(q.Body) > writeApart {
		r.wrote = make(chan bool, 1)
		go func() {
			_, err := c.Write(head)
			if err == nil {
				_, err = c.Write(q.Body)
			}
			r.wrote <- err == nil
		}()
	} else if n, err := c.Write(append(head, q.Body...)); err != nil {
		r.abandon()
		if n == 0 {
			return nil, errors.Annotatef(ErrNotSent, "write: %v", err)
		}
		return nil, errors.Annotatef(ErrBroken, "write: %v", err)
	}
	if err := r.readHead(q, p.Names); err != nil {
		r.abandon()
		return nil, errors.Annotatef(ErrBroken, "%v", err)
	}
	return r, nil
}

// head returns the request line and the headers.
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

// readHead reads response heads until one answers the request.
func (r *Response) readHead(q *Request, names Names) error {
	for range maxForeign {
		head, err := http.ReadResponse(r.conn.reader.Reader, &http.Request{Method: q.Method}) //nolint:bodyclose // It ends with the connection.
		if err != nil {
			return err
		}
		if head.StatusCode < 200 {
			continue
		}
		id := head.Header.Get(names.Attempt)
		if id != "" && id != q.Attempt {
			// The late response to an earlier request on this connection.
			if _, err := io.Copy(io.Discard, io.LimitReader(head.Body, maxHeadBytes)); err != nil {
				return err
			}
			continue
		}
		r.Status, r.Header, r.body, r.Length = head.StatusCode, head.Header, head.Body, head.ContentLength
		r.Unframed = head.ContentLength < 0 && len(head.TransferEncoding) == 0
		r.Signed = head.Header.Get(names.Signature) != ""
		r.NotRun = head.Header.Get(names.NotRun) != "" || head.StatusCode == http.StatusMisdirectedRequest
		if id == "" && !r.NotRun {
			return errors.Errorf("response with status %d has no request id", r.Status)
		}
		r.keep = !head.Close && !r.Unframed
		r.conn.until = keptUntil(head.Header)
		return nil
	}
	return errors.New("responses to other requests only")
}

// keptUntil returns when an idle connection may be closed by the server.
func keptUntil(h http.Header) time.Time {
	idle := defaultIdle
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if s, err := strconv.Atoi(v); err == nil {
				idle = time.Duration(s) * time.Second
			}
		}
	}
	return time.Now().Add(idle - idleMargin)
}

// Read reads the body. It returns io.EOF only for a body that is complete, and
// ErrBroken for one that broke off.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		r.ended = true
	default:
		err = errors.Annotatef(ErrBroken, "body: %v", err)
	}
	return n, err
}

// ReadBody reads the whole body, which has at most limit bytes.
func (r *Response) ReadBody(limit int64) ([]byte, error) {
	if r.Length > limit {
		return nil, errors.Annotatef(ErrBroken, "body has %d bytes", r.Length)
	}
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, errors.Annotatef(ErrBroken, "body has over %d bytes", limit)
	}
	return data, nil
}

// SetReadDeadline bounds the next reads of the body.
func (r *Response) SetReadDeadline(t time.Time) { _ = r.conn.SetReadDeadline(t) } // Reading reports a closed connection.

// Close gives the connection back when the whole response was read and the whole
// request was written, and closes it otherwise.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	written := true
	if r.wrote != nil {
		select {
		case written = <-r.wrote:
			r.wrote = nil
		default:
			// Whatever is sent next would be read as the rest of the body.
			written = false
		}
	}
	if !r.ended || !r.keep || !written || !r.stop() || r.conn.reader.Buffered() > 0 {
		r.abandon()
		return
	}
	c := r.conn
	r.conn = nil
	if err := c.SetDeadline(time.Time{}); err != nil {
		_ = c.Close() // Closed by the peer.
		return
	}
	r.pool.put(c)
}

// abandon closes the connection, which stops a server that still works.
func (r *Response) abandon() {
	r.stop()
	_ = r.conn.Close() // Already closed when the context ended.
	r.conn = nil
	if r.wrote != nil {
		<-r.wrote
		r.wrote = nil
	}
}
