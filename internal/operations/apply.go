package operations

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/juju/errors"
	"github.com/pmezard/go-difflib/difflib"

	"apricotbridge/internal/document"
	"apricotbridge/internal/keyvalue"
	"apricotbridge/pkg/config"
)

// ErrUnavailable reports that an outside system or a daemon could not be reached.
const ErrUnavailable = errors.ConstError("unavailable")

// configurationKey is the key of the configuration in the key-value service.
const configurationKey = "config"

// finalReadTimeout bounds the read that resolves a lost answer after the time for the
// command has run out.
const finalReadTimeout = 2 * time.Second

// Store is the part of the key-value service that Apply uses.
type Store interface {
	Get(ctx context.Context, key string) (keyvalue.Entry, error)
	CompareAndSwap(ctx context.Context, key string, value []byte, revision int64, lease string) (keyvalue.Entry, error)
}

// Applied describes a stored configuration.
type Applied struct {
	// Revision is the revision of the configuration, and Previous the one it
	// replaced.
	Revision, Previous int64
	// Unchanged is set when the same text was already stored.
	Unchanged bool
	// ReadBack is set when the answer of the write was lost and reading the key
	// showed that it took effect.
	ReadBack bool
}

// ConflictError reports that another operator has stored a configuration at a
// revision that this operator has not seen. Nothing was written.
type ConflictError struct {
	// Seen is the revision that this operator has seen, and Stored the one found.
	Seen, Stored int64
	// Diff shows the change from the text seen to the stored one if the seen text is
	// known, and otherwise from the stored text to the refused one.
	Diff string
}

// Error names the revisions but leaves out Diff, which the command prints.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("configuration is at revision %d, not %d; nothing was written", e.Stored, e.Seen)
}

// UnresolvedError reports a write with unknown outcome: its answer was lost, and the
// key could not be read or holds another operator's configuration, which may have
// replaced this one.
type UnresolvedError struct {
	Stored int64 // 0 when the key could not be read.
}

// Error names the stored revision if it is known.
func (e *UnresolvedError) Error() string {
	if e.Stored == 0 {
		return "answer of the write was lost and the key could not be read back; run apply again, which is safe"
	}
	return fmt.Sprintf("answer of the write was lost, and revision %d of another operator is stored now; whether this configuration was stored before it is not known", e.Stored)
}

// Is makes an unresolved write count as unavailable.
func (e *UnresolvedError) Is(target error) bool { return target == ErrUnavailable }

// Apply checks a configuration and stores it by compare-and-swap on the revision that
// it reads. If expect is set, the revision read must equal it; 0 expects that no
// configuration is stored. Applying the stored text succeeds, so that an interrupted
// apply can be repeated. Outages are retried until the context is cancelled.
func Apply(ctx context.Context, s Store, file string, text []byte, expect *int64) (Applied, error) {
	if _, faults := config.Check(file, text); len(faults) > 0 {
		return Applied{}, document.Error(faults)
	}
	a := applyRun{store: s, text: text, backoff: backoff.NewExponentialBackOff()}
	a.backoff.InitialInterval = 50 * time.Millisecond
	a.backoff.MaxInterval = time.Second
	if err := a.read(ctx); err != nil {
		return Applied{}, err
	}
	if bytes.Equal(a.base.Value, text) {
		return Applied{Revision: a.base.Revision, Previous: a.base.Revision, Unchanged: true}, nil
	}
	if expect != nil && *expect != a.base.Revision {
		return Applied{}, &ConflictError{Seen: *expect, Stored: a.base.Revision, Diff: diff(
			fmt.Sprintf("revision %d (stored)", a.base.Revision), a.base.Value, file+" (refused)", text,
		)}
	}
	return a.write(ctx)
}

// applyRun is one run of Apply.
type applyRun struct {
	store   Store
	text    []byte
	backoff *backoff.ExponentialBackOff
	// base is the entry read at the start; its revision is 0 when there was none.
	base keyvalue.Entry
	// answerLost is set when the answer of a write was lost.
	answerLost bool
}

func (a *applyRun) read(ctx context.Context) error {
	for {
		e, err := a.store.Get(ctx, configurationKey)
		switch {
		case err == nil:
			a.base = e
			return nil
		case errors.Is(err, keyvalue.ErrNotFound):
			return nil
		case !errors.Is(err, keyvalue.ErrUnavailable):
			return errors.Annotate(err, "read the configuration in force")
		}
		if !a.pause(ctx) {
			return errors.Annotatef(ErrUnavailable, "read the configuration in force: %v", err)
		}
	}
}

// write stores the text. Retrying the compare-and-swap is safe, because it can
// succeed only once for a base revision.
func (a *applyRun) write(ctx context.Context) (Applied, error) {
	for {
		e, err := a.store.CompareAndSwap(ctx, configurationKey, a.text, a.base.Revision, "")
		var conflict *keyvalue.ConflictError
		switch {
		case err == nil:
			return Applied{Revision: e.Revision, Previous: a.base.Revision}, nil
		case errors.As(err, &conflict):
			return a.handleReplaced(conflict.Current)
		case errors.Is(err, keyvalue.ErrOutcomeUnknown):
			a.answerLost = true
			if e, ok := a.readBack(ctx); ok && e.Revision != a.base.Revision {
				return a.handleReplaced(e)
			}
		case !errors.Is(err, keyvalue.ErrUnavailable):
			return Applied{}, errors.Annotate(err, "store the configuration")
		}
		if a.pause(ctx) {
			continue
		}
		if !a.answerLost {
			return Applied{}, errors.Annotatef(ErrUnavailable, "store the configuration: %v", err)
		}
		return a.resolveAfterTimeout(ctx)
	}
}

// handleReplaced returns the result when the stored entry is no longer the base.
func (a *applyRun) handleReplaced(current keyvalue.Entry) (Applied, error) {
	if current.Revision != 0 && bytes.Equal(current.Value, a.text) {
		return Applied{Revision: current.Revision, Previous: a.base.Revision, Unchanged: !a.answerLost, ReadBack: a.answerLost}, nil
	}
	if a.answerLost {
		return Applied{}, &UnresolvedError{Stored: current.Revision}
	}
	return Applied{}, &ConflictError{Seen: a.base.Revision, Stored: current.Revision, Diff: diff(
		fmt.Sprintf("revision %d (read)", a.base.Revision), a.base.Value,
		fmt.Sprintf("revision %d (stored by another operator)", current.Revision), current.Value,
	)}
}

// readBack reads the key once and reports whether that succeeded.
func (a *applyRun) readBack(ctx context.Context) (keyvalue.Entry, bool) {
	e, err := a.store.Get(ctx, configurationKey)
	return e, err == nil || errors.Is(err, keyvalue.ErrNotFound)
}

// resolveAfterTimeout reads the key once more to resolve a lost answer after the time
// for the command has run out.
func (a *applyRun) resolveAfterTimeout(ctx context.Context) (Applied, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalReadTimeout)
	defer cancel()
	// An unchanged key does not settle the outcome, because the write may still be in
	// transit.
	if e, ok := a.readBack(ctx); ok && e.Revision != a.base.Revision {
		return a.handleReplaced(e)
	}
	return Applied{}, &UnresolvedError{}
}

// pause waits before the next attempt and reports whether there is time for one.
func (a *applyRun) pause(ctx context.Context) bool {
	t := time.NewTimer(a.backoff.NextBackOff())
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// diff returns a unified diff of two texts.
func diff(fromName string, from []byte, toName string, to []byte) string {
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(string(from)), B: difflib.SplitLines(string(to)),
		FromFile: fromName, ToFile: toName, Context: 3,
	})
	if err != nil { // Cannot fail: the diff is written to memory.
		return err.Error()
	}
	return text
}

// String describes the result for the operator.
func (a Applied) String() string {
	switch {
	case a.Unchanged:
		return fmt.Sprintf("unchanged: the same configuration is stored as revision %d", a.Revision)
	case a.ReadBack:
		return fmt.Sprintf("applied as revision %d after revision %d; the answer was lost and the key was read back", a.Revision, a.Previous)
	}
	return fmt.Sprintf("applied as revision %d after revision %d", a.Revision, a.Previous)
}
