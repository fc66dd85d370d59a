package intake

import (
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/budget"
)

// ErrTooLarge means that a body exceeds its limit.
const ErrTooLarge = errors.ConstError("body too large")

const (
	// firstBodyBuffer is the capacity for a body whose length is not known, and maxBodyBuffer that for one
	// before it has arrived.
	firstBodyBuffer = 512
	maxBodyBuffer   = 64 << 10
	// countedBuffer is the least capacity of a buffer that is counted until it is collected.
	countedBuffer = 4 << 10
	// bufferShare times MaxBytes bounds the buffers that are held or not collected. A body that grows is in
	// two buffers, so that up to one and a half of MaxBytes can be in use.
	bufferShare = 2
	// collectTime bounds how long a body waits for the memory of others.
	collectTime = time.Second
	// Cleanups run some time after a collection: a caller looks for free memory so often, with a pause before
	// each look, until it collects again.
	collectLooks = 20
	collectPause = time.Millisecond
)

// ReadBody reads a body of at most limit bytes and counts it as it arrives. announced is its length, or
// -1 if it is not known.
func (c *Connection) ReadBody(read func([]byte) (int, error), announced, limit int64) ([]byte, error) {
	if announced > limit {
		return nil, ErrTooLarge
	}
	size := min(announced+1, maxBodyBuffer) // One more byte, to read the end without growing.
	if announced < 0 {
		size = firstBodyBuffer
	}
	body, err := c.newBuffer(size)
	if err != nil {
		return nil, err
	}
	for {
		if len(body) == cap(body) {
			larger, err := c.newBuffer(grown(body, announced, limit))
			if err != nil {
				return nil, err
			}
			body = append(larger, body...)
		}
		n, err := read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, ErrTooLarge
		case err != nil:
			return body, err
		}
	}
}

// grown returns twice the capacity of a body, up to what it can need.
func grown(body []byte, announced, limit int64) int64 {
	need := limit + 1
	if announced >= 0 {
		need = announced + 1
	}
	return min(2*int64(cap(body)), max(need, int64(len(body))+1))
}

// newBuffer counts and returns an empty buffer for the request's body.
func (c *Connection) newBuffer(n int64) ([]byte, error) {
	if err := c.HoldBody(n); err != nil {
		return nil, err
	}
	if c == nil || n < countedBuffer {
		return make([]byte, 0, n), nil
	}
	return c.gate.buffers.allocate(n, bufferShare*c.gate.maxBytes())
}

// buffers counts buffers until they are collected. Those of finished and closed requests are still in
// memory, and a crowd makes them faster than the runtime collects them with little processor time.
type buffers struct {
	bytes      atomic.Int64
	collecting sync.Mutex
}

// allocate returns an empty buffer of n bytes. If all would exceed limit, it collects garbage first. It
// returns ErrGivenUp if the memory is still in use.
func (b *buffers) allocate(n, limit int64) ([]byte, error) {
	var until time.Time
	for !b.reserve(n, limit) {
		now := time.Now()
		if until.IsZero() {
			until = now.Add(collectTime)
		}
		if now.After(until) {
			return nil, budget.ErrGivenUp
		}
		b.collect(n, limit)
	}
	buffer := make([]byte, 0, n)
	runtime.AddCleanup(&buffer[:1][0], func(n int64) { b.bytes.Add(-n) }, n)
	return buffer, nil
}

func (b *buffers) reserve(n, limit int64) bool {
	if b.bytes.Add(n) <= limit {
		return true
	}
	b.bytes.Add(-n)
	return false
}

// collect collects garbage, and returns once n bytes are free or after collectLooks. One caller collects, the
// others wait.
func (b *buffers) collect(n, limit int64) {
	if b.collecting.TryLock() {
		defer b.collecting.Unlock()
		if b.bytes.Load()+n <= limit {
			return
		}
		runtime.GC()
	}
	for range collectLooks { // Cleanups run after the collection.
		time.Sleep(collectPause)
		if b.bytes.Load()+n <= limit {
			return
		}
	}
}
