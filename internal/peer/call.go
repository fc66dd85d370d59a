package peer

import (
	"context"
	"io"
	"sync"

	"github.com/juju/errors"

	"apricotbridge/internal/message"
)

// maxBufferedBytes bounds the response parts of one call that wait for their
// reader. A link carries many calls, so a slow reader must not stop it; its call
// fails instead.
const maxBufferedBytes = message.MaxBytes

// CallError reports a call that has no complete response.
type CallError struct {
	// Started says that the receiver may have started the request. When it is
	// false, the request was not run there.
	Started bool
	Err     error
}

// Error names the fault and what it says of the request.
func (e *CallError) Error() string {
	if e.Started {
		return "request may have started at the peer: " + e.Err.Error()
	}
	return "request did not start at the peer: " + e.Err.Error()
}

// Unwrap returns the fault.
func (e *CallError) Unwrap() error { return e.Err }

// Faults of a call.
const (
	// ErrGap reports a part of a response that is not the next one.
	ErrGap = errors.ConstError("part of the response is missing")
	// ErrSlowReader reports a reader that left too many bytes waiting.
	ErrSlowReader = errors.ConstError("reader of the response is too slow")
	// ErrLinkBroken reports a link that broke before the response was complete.
	ErrLinkBroken = errors.ConstError("link broke")
	// ErrRefused reports that the peer refused the call before it started.
	ErrRefused = errors.ConstError("peer refused the call")
	// ErrCut reports that the peer could not complete the response.
	ErrCut = errors.ConstError("peer cut the response off")
)

// call is a call of this daemon on a link.
type call struct {
	number uint64
	link   *link
	sent   *item

	mu       sync.Mutex
	parts    []message.ForwardAnswer
	bytes    int
	expected int
	done     bool
	err      *CallError // Set when done without a complete response.
	arrived  chan struct{}
}

// part takes a part of the response from the link.
func (c *call) part(a message.ForwardAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done {
		return
	}
	switch {
	case a.Failed && a.NotStarted && c.expected == 0:
		c.finish(&CallError{Err: errors.Annotate(ErrRefused, a.Reason)})
	case a.Failed:
		c.finish(&CallError{Started: true, Err: errors.Annotate(ErrCut, a.Reason)})
	case a.Part != c.expected:
		c.finish(&CallError{Started: true, Err: errors.Annotatef(ErrGap, "part %d instead of %d", a.Part, c.expected)})
		c.link.cancelCall(c.number)
	case c.bytes+len(a.Body) > maxBufferedBytes && len(c.parts) > 0:
		c.finish(&CallError{Started: true, Err: ErrSlowReader})
		c.link.cancelCall(c.number)
	default:
		c.expected++
		c.bytes += len(a.Body)
		c.parts = append(c.parts, a)
		if a.Last {
			c.finish(nil)
		}
		wake(c.arrived)
	}
}

// finish ends the call. The lock is held.
func (c *call) finish(err *CallError) {
	if c.done {
		return
	}
	c.done, c.err = true, err
	c.link.forget(c.number)
	wake(c.arrived)
}

// fail ends the call from outside of the link's reader. The request has not
// started when its message was never taken from the queue, which fail returns.
func (c *call) fail(err error) (unsent bool) {
	unsent = c.link.queue.withdraw(c.sent)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finish(&CallError{Started: !unsent, Err: err})
	return unsent
}

// next waits for a part. It returns io.EOF after the last one.
func (c *call) next(ctx context.Context) (message.ForwardAnswer, error) {
	for {
		c.mu.Lock()
		if len(c.parts) > 0 {
			a := c.parts[0]
			c.parts = c.parts[1:]
			c.bytes -= len(a.Body)
			c.mu.Unlock()
			return a, nil
		}
		done, err := c.done, c.err
		c.mu.Unlock()
		if done {
			if err != nil {
				return message.ForwardAnswer{}, err
			}
			return message.ForwardAnswer{}, io.EOF
		}
		select {
		case <-c.arrived:
		case <-ctx.Done():
			c.abandon(context.Cause(ctx))
		}
	}
}

// abandon ends the interest in the call and tells the peer.
func (c *call) abandon(err error) {
	if unsent := c.fail(err); !unsent {
		c.link.cancelCall(c.number)
	}
}

// Response is the response to a forwarded request. It is read by one goroutine.
type Response struct {
	Status  int
	Headers []message.Header

	ctx   context.Context
	call  *call
	first []byte
}

// Next returns the next part of the body and io.EOF after the last one. Any other
// error is a *CallError with Started set: the body so far is not complete.
func (r *Response) Next() ([]byte, error) {
	if r.first != nil {
		body := r.first
		r.first = nil
		return body, nil
	}
	for {
		a, err := r.call.next(r.ctx)
		if err != nil {
			return nil, err
		}
		if len(a.Body) > 0 {
			return a.Body, nil
		}
	}
}

// Close ends the interest in the response and cancels the request at the peer
// unless the response is complete.
func (r *Response) Close() {
	r.call.mu.Lock()
	done := r.call.done
	r.call.mu.Unlock()
	if !done {
		r.call.abandon(context.Canceled)
	}
}

// answer takes the answer to a hand-over.
func (c *call) answer(a message.HandoverAccepted) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.Refused != "" {
		c.finish(&CallError{Err: errors.Annotate(ErrRefused, a.Refused)})
		return
	}
	c.finish(nil)
}
