package peer

import (
	"slices"
	"sync"

	"github.com/juju/errors"

	"apricotbridge/internal/message"
)

// Limits of the send queue of one link.
const (
	// maxQueued is the largest number of queued messages.
	maxQueued = 256
	// maxQueuedBytes keeps a few large requests from using up the memory of the daemon.
	// It holds two messages of the largest size.
	maxQueuedBytes = 2 * message.MaxBytes
)

// ErrQueueFull reports that the send queue of a link is full and the message was
// not sent.
const ErrQueueFull = errors.ConstError("send queue of the link is full")

// errLinkClosed reports that the link is closed and the message was not sent.
const errLinkClosed = errors.ConstError("link is closed")

// queuedMessage is an encoded message in the send queue.
type queuedMessage struct {
	kind message.Kind
	data []byte
	// dequeued is set when the writer takes the message. From then on the peer may
	// receive it.
	dequeued bool
}

// queue is the bounded send queue of a link.
type queue struct {
	mu       sync.Mutex
	messages []*queuedMessage
	bytes    int
	closed   bool
	// writing is set from pop returning a message until the next call of pop.
	writing bool
	// ready signals that the queue may hold a message, space that it may have space.
	ready, space chan struct{}
	// onDrop is called with the kind of each message dropped from the queue.
	onDrop func(message.Kind)
}

func newQueue(onDrop func(message.Kind)) *queue {
	return &queue{ready: make(chan struct{}, 1), space: make(chan struct{}, 1), onDrop: onDrop}
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// push adds a message. If the queue is full, it drops the oldest digest, because the
// next digest replaces it. Without a digest to drop, it refuses the message.
func (q *queue) push(m *queuedMessage) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return errLinkClosed
	}
	for len(q.messages) >= maxQueued || q.bytes+len(m.data) > maxQueuedBytes && len(q.messages) > 0 {
		oldestDigest := slices.IndexFunc(q.messages, func(m *queuedMessage) bool { return m.kind == message.KindDigest })
		if oldestDigest < 0 {
			return ErrQueueFull
		}
		q.onDrop(message.KindDigest)
		q.removeAt(oldestDigest)
	}
	q.messages = append(q.messages, m)
	q.bytes += len(m.data)
	notify(q.ready)
	return nil
}

func (q *queue) removeAt(index int) {
	q.bytes -= len(q.messages[index].data)
	q.messages = slices.Delete(q.messages, index, index+1)
}

// pop removes and returns the oldest message.
func (q *queue) pop() (*queuedMessage, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.writing = false
	if len(q.messages) == 0 || q.closed {
		return nil, false
	}
	q.writing = true
	m := q.messages[0]
	m.dequeued = true
	q.removeAt(0)
	if len(q.messages) > 0 {
		notify(q.ready)
	}
	notify(q.space)
	return m, true
}

// empty reports whether all messages are written.
func (q *queue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.messages) == 0 && !q.writing
}

// withdraw removes a message from the queue. It reports whether the peer certainly does
// not receive it.
func (q *queue) withdraw(m *queuedMessage) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if index := slices.Index(q.messages, m); index >= 0 {
		q.removeAt(index)
		notify(q.space)
	}
	return !m.dequeued
}

// close makes the queue refuse further messages. Queued messages are not sent.
func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	notify(q.ready)
	notify(q.space)
}
