package ledger

import (
	"time"

	"apricotbridge/internal/keyvalue"
	"apricotbridge/pkg/problem"
)

// Event is an input of Shard.Step.
type Event interface{ event() }

// Submit requests one run of a key.
type Submit struct {
	// ID is returned in the Answer and is unique within the process of the shard.
	ID           uint64
	Organisation string
	Key          string
	Kind         Kind
	Service      string
	RequestID    string
	// Request is the whole body. Only drafts store it.
	Request []byte
	// Lookup reports whether the service can find outcomes by key.
	Lookup bool
	// Async requests an answer as soon as a draft is committed.
	Async bool
	// Join requests the outcome of a key without sending a request; a new key is
	// NotFound.
	Join bool
}

// Committed reports that a write or a deletion took effect.
type Committed struct {
	ID       uint64
	Revision int64
}

// CommitConflict reports that a write found another revision. Current is the
// zero Entry when the key does not exist.
type CommitConflict struct {
	ID      uint64
	Current keyvalue.Entry
}

// CommitUnknown reports that the answer of a write was lost.
type CommitUnknown struct{ ID uint64 }

// CommitRefused reports that a write had no effect because the key-value service is
// away or over its rate limit.
type CommitRefused struct{ ID uint64 }

// ReadBack is the result of a Read. Entry is the zero Entry when the key does
// not exist.
type ReadBack struct {
	ID     uint64
	Entry  keyvalue.Entry
	Failed bool
}

// Outcome is the result of a Dispatch.
type Outcome struct {
	Organisation, Key string
	// Sequence is the Sequence of the Dispatch.
	Sequence uint64
	// Ran is HasRun with a Response, NotRun when no backend server got the
	// request, or Unknown.
	Ran      problem.Ran
	Response []byte
	// Problem is the reason why the request did not run; nil means NoCapacity.
	Problem *problem.Problem
}

// LookedUp is the result of a Lookup.
type LookedUp struct {
	Organisation, Key string
	Found             bool
	Response          []byte
}

// TakeOver starts a takeover. A Revision above 0 is the revision of the tail on which
// the adapter based its decision; if the stored tail has another revision, the
// takeover stops.
type TakeOver struct{ Revision int64 }

// HandOff ends the holding of the shard: new submissions are refused, running orders
// are awaited until the Deadline, and then the tail is released.
type HandOff struct{ Deadline time.Time }

// Tick reports the passing of time. The adapter sends it at least every 100 ms.
type Tick struct{}

func (Submit) event()         {}
func (Committed) event()      {}
func (CommitConflict) event() {}
func (CommitUnknown) event()  {}
func (CommitRefused) event()  {}
func (ReadBack) event()       {}
func (Outcome) event()        {}
func (LookedUp) event()       {}
func (TakeOver) event()       {}
func (HandOff) event()        {}
func (Tick) event()           {}

// Action is an output of Shard.Step. Every Write, Delete and Read is answered by
// one event with its ID, every Dispatch by an Outcome, every Lookup by a LookedUp.
type Action interface{ action() }

// Write is a compare-and-swap of a key; Revision 0 creates the key.
type Write struct {
	ID       uint64
	Key      string
	Value    []byte
	Revision int64
}

// Delete removes a key at a revision. A key that does not exist is Committed.
type Delete struct {
	ID       uint64
	Key      string
	Revision int64
}

// Read reads a key.
type Read struct {
	ID  uint64
	Key string
}

// Dispatch runs a request at a backend server.
type Dispatch struct {
	Organisation, Key string
	Sequence          uint64
	Kind              Kind
	Service           string
	RequestID         string
	Request           []byte
	// Fence is the holder's fencing number.
	Fence uint64
	// MayHaveRun is set when a draft may have run before.
	MayHaveRun bool
}

// Lookup requests the outcome of a key from the service.
type Lookup struct {
	Organisation, Key, Service string
}

// Result is the final answer to a submission: a response, the acceptance of a
// draft, or a problem.
type Result struct {
	Response []byte
	Accepted bool
	Problem  *problem.Problem
}

// Answer ends a submission.
type Answer struct {
	ID     uint64
	Result Result
}

// Resign reports that this Shard no longer holds its shard, or failed to take it
// over. Outcomes of runs that have not ended yet are answered, but not recorded.
type Resign struct {
	// Successor is the new holder, if known.
	Successor string
	Reason    string
}

func (Write) action()    {}
func (Delete) action()   {}
func (Read) action()     {}
func (Dispatch) action() {}
func (Lookup) action()   {}
func (Answer) action()   {}
func (Resign) action()   {}
