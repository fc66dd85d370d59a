// Package budget bounds the sum of the bytes that many holders keep in memory. If the sum exceeds the
// limit, the holder with the most is given up: one without an end soon holds more than any other, and a
// crowd of large ones gives way to small ones. A holder whose bytes have all arrived counts for less.
package budget

import (
	"sync"

	"github.com/juju/errors"
)

// ErrGivenUp means that a holder was given up because all together hold too much, and it the most.
const ErrGivenUp = errors.ConstError("too much is held in memory, and this holds the most")

// Budget is the limit of some holders. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	sum     int64
	largest int64
	givenUp int64
	holders map[*Holder]int64
}

// settledDivisor divides what a settled holder counts, so that work in progress is given up only for
// others that are much smaller.
const settledDivisor = 4

// Holder is something that holds bytes. Set GiveUp before the first call of Set.
type Holder struct {
	// GiveUp is called when the holder is given up. It must not block, nor call the Budget.
	GiveUp        func()
	settled, gone bool
}

// Set notes that a holder holds n bytes, of which all together may hold limit. It returns ErrGivenUp
// if the holder was given up.
func (b *Budget) Set(h *Holder, n, limit int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.gone {
		return ErrGivenUp
	}
	if b.holders == nil {
		b.holders = map[*Holder]int64{}
	}
	b.sum += n - b.holders[h]
	b.holders[h] = n
	for b.sum > limit {
		most := h
		for other, held := range b.holders {
			if other.weigh(held) > most.weigh(b.holders[most]) {
				most = other
			}
		}
		most.gone = true
		b.givenUp++
		most.GiveUp()
		b.remove(most)
		if most == h {
			return ErrGivenUp
		}
	}
	b.largest = max(b.largest, b.sum)
	return nil
}

// Settle notes that all that a holder will hold has arrived, or that it may get more again.
func (b *Budget) Settle(h *Holder, settled bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h.settled = settled
}

func (h *Holder) weigh(held int64) int64 {
	if h.settled {
		return held / settledDivisor
	}
	return held
}

// Release notes that a holder holds nothing any more.
func (b *Budget) Release(h *Holder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(h)
}

func (b *Budget) remove(h *Holder) {
	b.sum -= b.holders[h]
	delete(b.holders, h)
}

// Usage is what a budget holds, the most that it has held, and how many holders were given up.
type Usage struct{ Held, Most, GivenUp int64 }

// Usage returns the present usage.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{b.sum, b.largest, b.givenUp}
}
