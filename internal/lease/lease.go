// Package lease implements the election of the single holder of a duty. It has no
// sockets, goroutines, clock or global random source: an adapter calls Duty.Step with
// events and performs the returned actions.
//
// The key duties/<name> contains the holder and its fencing number. The holder renews
// it by compare-and-swap; a candidate claims it with the next fencing number after
// the key was released or has not changed for the lease time, or after the holder stated that
// it has given the duty up, which one that can't reach the service does. The key is not bound to
// a lease of the key-value service, because the fencing number would be deleted with
// it.
//
// Orders are the instructions of a holder to engines. An engine rejects the orders of
// an old holder by their fencing numbers, independent of clocks. Holds and OrdersFrom
// protect engines that ignore fencing numbers. They require clocks with about the same
// rate, but not the same time.
package lease

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/keyvalue"
)

// DefaultLease is the lease time of a duty.
const DefaultLease = 30 * time.Second

// Config holds the settings of a Duty.
type Config struct {
	// Name is the name of the duty.
	Name string
	// Holder is the name of this daemon; Incarnation is unique for each process of
	// the daemon.
	Holder      string
	Incarnation uint64
	// Lease is how long a duty is held after a renewal; 0 means DefaultLease.
	Lease time.Duration
	// OrderLifetime is how long an order of a holder may stay in force at an engine
	// that ignores fencing numbers.
	OrderLifetime time.Duration
	// Rand provides the jitter of renewals, polls and retries.
	Rand *rand.Rand
}

// Value is the value of a duty's key.
type Value struct {
	// Holder is empty after the duty was resigned.
	Holder      string `json:"Holder"`
	Incarnation uint64 `json:"Incarnation"`
	Fence       uint64 `json:"Fence"`
	// Renewal distinguishes the renewals of a holder.
	Renewal uint64 `json:"Renewal"`
}

// Key returns the key of a duty.
func Key(name string) string { return "duties/" + name }

// Event is an input of Duty.Step.
type Event interface{ event() }

// Tick reports the passing of time. The adapter sends it at least every 100 ms.
type Tick struct{}

// Committed reports that a write took effect.
type Committed struct {
	ID       uint64
	Revision int64
}

// CommitConflict reports that a write found another revision.
type CommitConflict struct {
	ID      uint64
	Current keyvalue.Entry
}

// CommitUnknown reports that the answer of a write was lost.
type CommitUnknown struct{ ID uint64 }

// CommitRefused reports that a write had no effect.
type CommitRefused struct{ ID uint64 }

// ReadBack is the result of a Read. Entry is the zero Entry when the key does
// not exist.
type ReadBack struct {
	ID     uint64
	Entry  keyvalue.Entry
	Failed bool
}

// Resign gives the duty up permanently.
type Resign struct{}

// GivenUp reports that an incarnation of another daemon no longer acts under a fencing number,
// as that daemon stated itself. Its lease need not be waited for.
type GivenUp struct {
	Holder      string
	Incarnation uint64
	Fence       uint64
}

// Restored reports an era of the service, which has come back from a copy if the era is not the
// first one reported. The adapter sends it before the result of the call that showed it.
type Restored struct{ Era int64 }

func (Restored) event()       {}
func (GivenUp) event()        {}
func (Tick) event()           {}
func (Committed) event()      {}
func (CommitConflict) event() {}
func (CommitUnknown) event()  {}
func (CommitRefused) event()  {}
func (ReadBack) event()       {}
func (Resign) event()         {}

// WriteEvent returns the event for the result of a Write.
func WriteEvent(id uint64, e keyvalue.Entry, err error) Event {
	var conflict *keyvalue.ConflictError
	switch {
	case err == nil:
		return Committed{ID: id, Revision: e.Revision}
	case errors.As(err, &conflict):
		return CommitConflict{ID: id, Current: conflict.Current}
	case errors.Is(err, keyvalue.ErrUnavailable):
		return CommitRefused{ID: id}
	}
	return CommitUnknown{ID: id}
}

// Action is an output of Duty.Step.
type Action interface{ action() }

// Write is a compare-and-swap of the duty's key; Revision 0 creates the key.
type Write struct {
	ID       uint64
	Key      string
	Value    []byte
	Revision int64
}

// Read reads the duty's key.
type Read struct {
	ID  uint64
	Key string
}

// Acquired reports that this daemon holds the duty.
type Acquired struct {
	Fence uint64
	// OrdersFrom is the earliest time at which orders may be given to engines that
	// ignore fencing numbers.
	OrdersFrom time.Time
}

// Lost reports that this daemon no longer holds the duty.
type Lost struct{ Reason string }

// Resigned reports that the duty was released, or is held by another daemon, after a
// Resign.
type Resigned struct{}

func (Write) action()    {}
func (Read) action()     {}
func (Acquired) action() {}
func (Lost) action()     {}
func (Resigned) action() {}

func decode(e keyvalue.Entry) (Value, error) {
	var v Value
	if e.Revision == 0 {
		return v, nil
	}
	return v, errors.Annotatef(json.Unmarshal(e.Value, &v), "decode duty %s", e.Key)
}
