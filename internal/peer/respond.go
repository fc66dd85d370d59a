package peer

import (
	"context"

	"github.com/juju/errors"

	"apricotbridge/internal/message"
)

// maxPartBytes limits one part of a response, so that a large response does not delay
// other calls on the link.
const maxPartBytes = 256 << 10

// ResponseWriter sends the response to a forwarded request. It must be used by one
// goroutine.
type ResponseWriter interface {
	// WriteHeader sets the status and headers. It must be called before the first
	// Write.
	WriteHeader(status int, headers []message.Header)
	// Write sends a part of the body. It blocks while the send queue of the link is
	// full. After an error the response can't be completed.
	Write(body []byte) (int, error)
	// Fail ends the response as incomplete. If started is false, the request did not
	// run; after the first Write, it always counts as started.
	Fail(started bool, reason string)
}

// Handler serves the calls of peers. The context ends when the peer cancels the call or
// the link ends. A request that must survive this needs its own context.
type Handler interface {
	// ServeForward serves a request. If it returns without calling Fail, the response
	// is complete.
	ServeForward(ctx context.Context, f message.Forward, w ResponseWriter)
	// ServeHandover takes over a request. If it returns nil, this daemon is responsible
	// for the request from then on.
	ServeHandover(ctx context.Context, h message.Handover) error
}

// responder sends the response to one call.
type responder struct {
	ctx      context.Context
	link     *link
	call     uint64
	handover bool
	nextPart int
	status   int
	headers  []message.Header
	err      error // Error of the first failed send.
	done     bool
}

func (r *responder) WriteHeader(status int, headers []message.Header) {
	r.status, r.headers = status, headers
}

func (r *responder) Write(body []byte) (int, error) {
	written := 0
	for len(body) > 0 {
		n := min(len(body), maxPartBytes)
		if err := r.send(message.ForwardAnswer{Body: body[:n]}); err != nil {
			return written, err
		}
		written += n
		body = body[n:]
	}
	return written, nil
}

func (r *responder) Fail(started bool, reason string) {
	if r.done {
		return
	}
	r.done = true
	if r.handover {
		r.answerHandover(reason)
		return
	}
	_ = r.send(message.ForwardAnswer{Failed: true, NotStarted: !started && r.nextPart == 0, Reason: reason})
}

// end completes the response unless it failed.
func (r *responder) end() {
	switch {
	case r.done:
		return
	case r.err != nil:
		r.Fail(true, "response could not be sent")
		return
	}
	r.done = true
	if r.handover {
		r.answerHandover("")
		return
	}
	_ = r.send(message.ForwardAnswer{Last: true})
}

func (r *responder) answerHandover(reason string) {
	data, err := message.Encode(message.KindHandoverAccepted, message.HandoverAccepted{Call: r.call, Refused: reason})
	if err == nil {
		_ = r.push(message.KindHandoverAccepted, data)
	}
}

func (r *responder) send(a message.ForwardAnswer) error {
	if r.err != nil && !a.Failed {
		return r.err
	}
	a.Call, a.Part = r.call, r.nextPart
	if r.nextPart == 0 {
		a.Status, a.Headers = r.status, r.headers
	}
	data, err := message.Encode(message.KindForwardAnswer, a)
	if err == nil {
		err = r.push(message.KindForwardAnswer, data)
	}
	if err != nil {
		r.err = err
		return err
	}
	r.nextPart++
	return nil
}

// push blocks until the queue has space or the context ends.
func (r *responder) push(kind message.Kind, data []byte) error {
	q := r.link.queue
	for {
		err := q.push(&queuedMessage{kind: kind, data: data})
		if err == nil {
			// Another responder may wait for the remaining space.
			notify(q.space)
		}
		if !errors.Is(err, ErrQueueFull) {
			return err
		}
		select {
		case <-q.space:
		case <-r.ctx.Done():
			return context.Cause(r.ctx)
		}
	}
}
