package peer

import (
	"context"
	"io"
	"sync"

	"github.com/juju/errors"

	"apricotbridge/internal/message"
)

// maxBufferedBytes limits the unread response parts of one call. Many calls share a
// link, so a slow reader must not block it; its call fails instead.
const maxBufferedBytes = message.MaxBytes

// CallError is the error of a call without a complete response.
type CallError struct {
	// Started is set if the peer may have started the request. Otherwise the peer
	// certainly did not run it.
	Started bool
	Err     error
}

// Error returns the cause and whether the request may have started.
func (e *CallError) Error() string {
	if e.Started {
		return "request may have started at the peer: " + e.Err.Error()
	}
	return "request did not start at the peer: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Errors of a call.
const (
	// ErrMissingPart reports a gap in the parts of a response.
	ErrMissingPart = errors.ConstError("part of the response is missing")
	// ErrSlowReader reports that more than maxBufferedBytes were unread.
	ErrSlowReader = errors.ConstError("reader of the response is too slow")
	// ErrLinkBroken reports a link that broke before the response was complete.
	ErrLinkBroken = errors.ConstError("link broke")
	// ErrRefused reports that the peer refused the call before it started.
	ErrRefused = errors.ConstError("peer refused the call")
	// ErrIncomplete reports that the peer could not complete the response.
	ErrIncomplete = errors.ConstError("peer could not complete the response")
)

// call is a call that this daemon made on a link.
type call struct {
	number  uint64
	link    *link
	request *queuedMessage

	mu            sync.Mutex
	parts         []message.ForwardAnswer
	bufferedBytes int
	nextPart      int
	done          bool
	err           *CallError    // Set if the call ended without a complete response.
	changed       chan struct{} // Signals a new part or the end of the call.
}

// addPart buffers a response part that the link has read.
func (c *call) addPart(a message.ForwardAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done {
		return
	}
	switch {
	case a.Failed && a.NotStarted && c.nextPart == 0:
		c.finish(&CallError{Err: errors.Annotate(ErrRefused, a.Reason)})
	case a.Failed:
		c.finish(&CallError{Started: true, Err: errors.Annotate(ErrIncomplete, a.Reason)})
	case a.Part != c.nextPart:
		c.finish(&CallError{Started: true, Err: errors.Annotatef(ErrMissingPart, "part %d instead of %d", a.Part, c.nextPart)})
		c.link.cancelCall(c.number)
	case c.bufferedBytes+len(a.Body) > maxBufferedBytes && len(c.parts) > 0:
		c.finish(&CallError{Started: true, Err: ErrSlowReader})
		c.link.cancelCall(c.number)
	default:
		c.nextPart++
		c.bufferedBytes += len(a.Body)
		c.parts = append(c.parts, a)
		if a.Last {
			c.finish(nil)
		}
		notify(c.changed)
	}
}

// finish ends the call. The caller holds the lock.
func (c *call) finish(err *CallError) {
	if c.done {
		return
	}
	c.done, c.err = true, err
	c.link.removeCall(c.number)
	notify(c.changed)
}

// fail ends the call from outside of the link's reader. It reports whether the request
// was still queued and therefore never sent.
func (c *call) fail(err error) (unsent bool) {
	unsent = c.link.queue.withdraw(c.request)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finish(&CallError{Started: !unsent, Err: err})
	return unsent
}

// refuse ends the call of a peer that did not start it.
func (c *call) refuse(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finish(&CallError{Started: c.nextPart > 0, Err: err})
}

// next waits for the next part. It returns io.EOF after the last one.
func (c *call) next(ctx context.Context) (message.ForwardAnswer, error) {
	for {
		c.mu.Lock()
		if len(c.parts) > 0 {
			a := c.parts[0]
			c.parts = c.parts[1:]
			c.bufferedBytes -= len(a.Body)
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
		case <-c.changed:
		case <-ctx.Done():
			c.abandon(context.Cause(ctx))
		}
	}
}

// abandon ends the call and, if the request may have been sent, cancels it at the peer.
func (c *call) abandon(err error) {
	if unsent := c.fail(err); !unsent {
		c.link.cancelCall(c.number)
	}
}

// Response is the response to a forwarded request. It must be read by one goroutine.
type Response struct {
	Status  int
	Headers []message.Header

	ctx       context.Context
	call      *call
	firstPart []byte
}

// Next returns the next part of the body, or io.EOF after the last one. Any other error
// is a *CallError with Started set: the body is incomplete.
func (r *Response) Next() ([]byte, error) {
	if r.firstPart != nil {
		body := r.firstPart
		r.firstPart = nil
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

// Close cancels the request at the peer unless the response is complete.
func (r *Response) Close() {
	r.call.mu.Lock()
	done := r.call.done
	r.call.mu.Unlock()
	if !done {
		r.call.abandon(context.Canceled)
	}
}

// finishHandover ends the call with the peer's answer to a hand-over.
func (c *call) finishHandover(a message.HandoverAccepted) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.Refused != "" {
		c.finish(&CallError{Err: errors.Annotate(ErrRefused, a.Refused)})
		return
	}
	c.finish(nil)
}
