package peer

import (
	"context"

	"github.com/juju/errors"

	"apricotbridge/internal/message"
)

// maxPartBytes bounds one part of a response, so that a large one does not keep
// other calls of the link waiting.
const maxPartBytes = 256 << 10

// ResponseWriter sends the response of a forwarded request. It is used by one
// goroutine.
type ResponseWriter interface {
	// WriteHeader sets what part 0 carries. It is called before the first Write.
	WriteHeader(status int, headers []message.Header)
	// Write sends a part of the body. It waits while the send queue of the link is
	// full. After an error the response can't be completed.
	Write(body []byte) (int, error)
	// Fail ends the response as not complete. With started false the request was
	// not run, which counts only before the first Write.
	Fail(started bool, reason string)
}

// Handler serves the calls of peers. The context ends when the peer cancels the
// call or the link ends; a request that must not stop then goes on with a context
// of its own.
type Handler interface {
	// ServeForward serves a request. The response is complete when it returns
	// without having called Fail.
	ServeForward(ctx context.Context, f message.Forward, w ResponseWriter)
	// ServeHandover takes over a request. A nil error means that this daemon
	// answers for the request from now on.
	ServeHandover(ctx context.Context, h message.Handover) error
}

// responder sends the answer of one call.
type responder struct {
	ctx      context.Context
	link     *link
	call     uint64
	handover bool
	part     int
	status   int
	headers  []message.Header
	err      error // The first failed send.
	ended    bool
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
	if r.ended {
		return
	}
	r.ended = true
	if r.handover {
		r.accepted(reason)
		return
	}
	_ = r.send(message.ForwardAnswer{Failed: true, NotStarted: !started && r.part == 0, Reason: reason})
}

// end completes the response unless it failed.
func (r *responder) end() {
	switch {
	case r.ended:
		return
	case r.err != nil:
		r.Fail(true, "response could not be sent")
		return
	}
	r.ended = true
	if r.handover {
		r.accepted("")
		return
	}
	_ = r.send(message.ForwardAnswer{Last: true})
}

func (r *responder) accepted(refused string) {
	data, err := message.Encode(message.KindHandoverAccepted, message.HandoverAccepted{Call: r.call, Refused: refused})
	if err == nil {
		_ = r.push(message.KindHandoverAccepted, data)
	}
}

func (r *responder) send(a message.ForwardAnswer) error {
	if r.err != nil && !a.Failed {
		return r.err
	}
	a.Call, a.Part = r.call, r.part
	if r.part == 0 {
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
	r.part++
	return nil
}

// push waits for room in the queue.
func (r *responder) push(kind message.Kind, data []byte) error {
	q := r.link.queue
	for {
		err := q.push(&item{kind: kind, data: data})
		if err == nil {
			// Another answer may wait for the room that is left.
			wake(q.room)
		}
		if !errors.Is(err, ErrQueueFull) {
			return err
		}
		select {
		case <-q.room:
		case <-r.ctx.Done():
			return context.Cause(r.ctx)
		}
	}
}
