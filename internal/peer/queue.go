package peer

import (
	"slices"
	"sync"

	"github.com/juju/errors"

	"apricotbridge/internal/message"
)

// Bounds of the send queue of one link.
const (
	// maxQueued is the number of messages that wait.
	maxQueued = 256
	// maxQueuedBytes keeps a few large requests from taking the memory of the
	// daemon. It holds two messages of the largest size.
	maxQueuedBytes = 2 * message.MaxBytes
)

// ErrQueueFull reports that the send queue of a link is full and the message was
// not sent.
const ErrQueueFull = errors.ConstError("send queue of the link is full")

// errLinkClosed reports that the link is closed and the message was not sent.
const errLinkClosed = errors.ConstError("link is closed")

// item is a message that waits.
type item struct {
	kind message.Kind
	data []byte
	// taken is set when the writer takes the item: from then on the receiver may
	// have it.
	taken bool
}

// queue is the bounded send queue of a link.
type queue struct {
	mu     sync.Mutex
	items  []*item
	bytes  int
	closed bool
	// writing is set from the time an item is taken until the writer asks for more.
	writing bool
	// ready has a value when there may be an item, room when there may be room.
	ready, room chan struct{}
	// dropped is told the kind of each message that is dropped from the queue.
	dropped func(message.Kind)
}

func newQueue(dropped func(message.Kind)) *queue {
	return &queue{ready: make(chan struct{}, 1), room: make(chan struct{}, 1), dropped: dropped}
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// push adds a message. When the queue is full it drops the oldest digest, because
// the next one replaces it; without a digest the message is refused.
func (q *queue) push(it *item) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return errLinkClosed
	}
	for len(q.items) >= maxQueued || q.bytes+len(it.data) > maxQueuedBytes && len(q.items) > 0 {
		at := slices.IndexFunc(q.items, func(i *item) bool { return i.kind == message.KindDigest })
		if at < 0 {
			return ErrQueueFull
		}
		q.dropped(message.KindDigest)
		q.cut(at)
	}
	q.items = append(q.items, it)
	q.bytes += len(it.data)
	wake(q.ready)
	return nil
}

func (q *queue) cut(at int) {
	q.bytes -= len(q.items[at].data)
	q.items = slices.Delete(q.items, at, at+1)
}

// pop takes the oldest message.
func (q *queue) pop() (*item, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.writing = false
	if len(q.items) == 0 || q.closed {
		return nil, false
	}
	q.writing = true
	it := q.items[0]
	it.taken = true
	q.cut(0)
	if len(q.items) > 0 {
		wake(q.ready)
	}
	wake(q.room)
	return it, true
}

// empty tells whether all messages were written.
func (q *queue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items) == 0 && !q.writing
}

// withdraw removes a message and tells whether the receiver can't have it.
func (q *queue) withdraw(it *item) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if at := slices.Index(q.items, it); at >= 0 {
		q.cut(at)
		wake(q.room)
	}
	return !it.taken
}

// close refuses further messages. Those that wait are not sent.
func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	wake(q.ready)
	wake(q.room)
}
