package stream

import "github.com/juju/errors"

// Snapshot is a response on its way to another daemon.
type Snapshot struct {
	Attempt   int
	Generated []string
	// Whole and Reason are set for a response that is final.
	Whole  bool
	Reason string
}

// Snapshot stops the current attempt and returns the response for a hand-over.
// From then on the buffer accepts nothing, so that a reader can't get an event
// which the other daemon does not have. Reopen takes the response back.
func (b *Buffer) Snapshot() Snapshot {
	if b.state == Open {
		b.finish(Moved, "")
	}
	return Snapshot{Attempt: b.attempt, Generated: b.Generated(), Whole: b.state == Whole, Reason: b.reason}
}

// Reopen takes a moved response back when the other daemon refused it. An
// attempt has to begin anew, because events of the last one were refused since.
// It must not be called when the other daemon may have accepted.
func (b *Buffer) Reopen() bool {
	if b.state != Moved {
		return false
	}
	b.state = Open
	return true
}

// Restore returns the buffer of a response that another daemon handed over. The
// next attempt has a number above that of the snapshot.
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
		b.finish(Failed, s.Reason)
	}
	return b, nil
}
