package stream

import "github.com/juju/errors"

// Snapshot is the state of a response for its hand-over to another daemon.
type Snapshot struct {
	Attempt   int
	Generated []string
	// Whole is set for a complete response, Reason for a failed one.
	Whole  bool
	Reason string
}

// Snapshot stops the current attempt and returns the state of the response for a
// hand-over. From then on the buffer rejects events, so that no reader gets an event
// that the other daemon lacks. Reopen reverts this.
func (b *Buffer) Snapshot() Snapshot {
	if b.state == Open {
		b.stop(Moved, "")
	}
	return Snapshot{Attempt: b.attempt, Generated: b.Generated(), Whole: b.state == Whole, Reason: b.reason}
}

// Reopen reopens a moved response after the other daemon refused it. A new attempt must
// begin, because events of the last one may have been rejected meanwhile. Reopen must
// not be called if the other daemon may have accepted the response.
func (b *Buffer) Reopen() bool {
	if b.state != Moved {
		return false
	}
	b.state = Open
	return true
}

// Restore returns the buffer of a response that another daemon handed over. The number
// of the next attempt must exceed that of the snapshot.
func Restore(s Snapshot, maxBytes int) (*Buffer, error) {
	b := &Buffer{MaxBytes: maxBytes}
	if _, ok := b.Begin(s.Attempt); !ok && s.Attempt != 0 {
		return nil, errors.Errorf("snapshot has attempt %d", s.Attempt)
	}
	b.running = true
	for i, text := range s.Generated {
		if o := b.add(s.Attempt, int64(i)+1, text); o != Accepted {
			return nil, errors.Errorf("event %d of the snapshot is not accepted: %s", i+1, o)
		}
	}
	b.running = false
	switch {
	case s.Whole:
		b.state = Whole
	case s.Reason != "":
		b.stop(Failed, s.Reason)
	}
	return b, nil
}
