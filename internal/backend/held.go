package backend

import (
	"sync"

	"github.com/juju/errors"
)

// DefaultMaxHeldBytes is the default of Pool.MaxHeldBytes.
const DefaultMaxHeldBytes = 64 << 20

// errEvicted means that a response was given up because it held the most memory.
const errEvicted = errors.ConstError("responses hold too much memory, and this one the most")

// heldBytes bounds the sum of the bytes that responses hold in memory. If the sum exceeds the limit,
// the response that holds the most is given up: one without an end soon holds more than any other.
type heldBytes struct {
	mu      sync.Mutex
	sum     int64
	holders map[*Response]holder
}

// holder is what a response holds, and the connection on which it arrives.
type holder struct {
	bytes int64
	conn  *conn
}

// set notes that a response holds n bytes. It returns errEvicted if the response was given up.
func (h *heldBytes) set(r *Response, n, limit int64) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.evicted {
		return errEvicted
	}
	if h.holders == nil {
		h.holders = map[*Response]holder{}
	}
	h.sum += n - h.holders[r].bytes
	h.holders[r] = holder{n, r.conn}
	for h.sum > limit {
		largest := r
		for other, held := range h.holders {
			if held.bytes > h.holders[largest].bytes {
				largest = other
			}
		}
		largest.evicted = true
		_ = h.holders[largest].conn.Close() // Unblocks a pending read.
		h.remove(largest)
		if largest == r {
			return errEvicted
		}
	}
	return nil
}

// release notes that a response holds nothing any more.
func (h *heldBytes) release(r *Response) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.remove(r)
}

func (h *heldBytes) remove(r *Response) {
	h.sum -= h.holders[r].bytes
	delete(h.holders, r)
}

// Hold notes that n bytes of the response are held in memory until Close. An error means that the
// response must be given up, because all responses of the pool together hold too much.
func (r *Response) Hold(n int) error {
	limit := r.pool.MaxHeldBytes
	if limit <= 0 {
		limit = DefaultMaxHeldBytes
	}
	if err := r.pool.held.set(r, int64(n), limit); err != nil {
		return incomplete("", err)
	}
	return nil
}
