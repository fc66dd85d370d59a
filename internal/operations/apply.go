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

// ErrUnavailable reports that an outside system or a daemon was not reached.
const ErrUnavailable = errors.ConstError("unavailable")

// configurationKey is the key of the configuration in the key-value service.
const configurationKey = "config"

// lastReadTimeout bounds the read that resolves a lost answer after the time for
// the command is over.
const lastReadTimeout = 2 * time.Second

// Store is the part of the key-value service that apply needs.
type Store interface {
	Get(ctx context.Context, key string) (keyvalue.Entry, error)
	CompareAndSwap(ctx context.Context, key string, value []byte, revision int64, lease string) (keyvalue.Entry, error)
}

// Applied is a configuration that is stored.
type Applied struct {
	// Revision is that of the configuration; Previous is the one it replaced.
	Revision, Previous int64
	// Unchanged says that the same text was already stored.
	Unchanged bool
	// ReadBack says that the answer of the write was lost and the key was read to
	// learn that it took effect.
	ReadBack bool
}

// ConflictError reports that another operator's configuration is stored at a
// revision that the caller has not seen. Nothing was written.
type ConflictError struct {
	// Seen is the revision that the caller has seen, Stored the one found.
	Seen, Stored int64
	// Diff shows what changed: from the text seen where it is known, else from the
	// stored text to the refused one.
	Diff string
}

// Error names the revisions; Diff is left to the command to print.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("configuration is at revision %d, not %d; nothing was written", e.Stored, e.Seen)
}

// UnresolvedError reports that the answer of the write was lost and the key could
// not tell what became of it: the service stayed out of reach, or another
// operator's configuration had replaced whatever was stored.
type UnresolvedError struct {
	Stored int64 // 0 when the key could not be read.
}

// Error says what is known.
func (e *UnresolvedError) Error() string {
	if e.Stored == 0 {
		return "answer of the write was lost and the key could not be read back; run apply again, which is safe"
	}
	return fmt.Sprintf("answer of the write was lost, and revision %d of another operator is stored now; whether this configuration was stored before it is not known", e.Stored)
}

// Is makes an unresolved write count as unavailable.
func (e *UnresolvedError) Is(target error) bool { return target == ErrUnavailable }

// Apply checks a configuration and stores it by compare-and-swap on the revision
// that it reads. With expect, that revision must be the expected one; 0 expects
// that none is stored. Applying a text that is stored already succeeds, so that
// an apply that was interrupted can be run again. Outages are retried until the
// context ends.
func Apply(ctx context.Context, s Store, file string, text []byte, expect *int64) (Applied, error) {
	if _, faults := config.Check(file, text); len(faults) > 0 {
		return Applied{}, document.Error(faults)
	}
	a := applying{store: s, text: text, wait: backoff.NewExponentialBackOff()}
	a.wait.InitialInterval = 50 * time.Millisecond
	a.wait.MaxInterval = time.Second
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

// applying is one run of Apply.
type applying struct {
	store Store
	text  []byte
	wait  *backoff.ExponentialBackOff
	// base is the entry that was read; its revision is 0 when there is none.
	base keyvalue.Entry
	// lost says that a write was sent whose answer was lost.
	lost bool
}

func (a *applying) read(ctx context.Context) error {
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

// write stores the text. Repeating the compare-and-swap is safe: the revision of
// the base can be replaced only once.
func (a *applying) write(ctx context.Context) (Applied, error) {
	for {
		e, err := a.store.CompareAndSwap(ctx, configurationKey, a.text, a.base.Revision, "")
		var conflict *keyvalue.ConflictError
		switch {
		case err == nil:
			return Applied{Revision: e.Revision, Previous: a.base.Revision}, nil
		case errors.As(err, &conflict):
			return a.replaced(conflict.Current)
		case errors.Is(err, keyvalue.ErrUnknown):
			a.lost = true
			if e, ok := a.readBack(ctx); ok && e.Revision != a.base.Revision {
				return a.replaced(e)
			}
		case !errors.Is(err, keyvalue.ErrUnavailable):
			return Applied{}, errors.Annotate(err, "store the configuration")
		}
		if a.pause(ctx) {
			continue
		}
		if !a.lost {
			return Applied{}, errors.Annotatef(ErrUnavailable, "store the configuration: %v", err)
		}
		return a.lastRead(ctx)
	}
}

// replaced judges an entry that is no longer the base.
func (a *applying) replaced(now keyvalue.Entry) (Applied, error) {
	if now.Revision != 0 && bytes.Equal(now.Value, a.text) {
		return Applied{Revision: now.Revision, Previous: a.base.Revision, Unchanged: !a.lost, ReadBack: a.lost}, nil
	}
	if a.lost {
		return Applied{}, &UnresolvedError{Stored: now.Revision}
	}
	return Applied{}, &ConflictError{Seen: a.base.Revision, Stored: now.Revision, Diff: diff(
		fmt.Sprintf("revision %d (read)", a.base.Revision), a.base.Value,
		fmt.Sprintf("revision %d (stored by another operator)", now.Revision), now.Value,
	)}
}

// readBack reads the key once and reports whether it could.
func (a *applying) readBack(ctx context.Context) (keyvalue.Entry, bool) {
	e, err := a.store.Get(ctx, configurationKey)
	return e, err == nil || errors.Is(err, keyvalue.ErrNotFound)
}

// lastRead resolves a lost answer when the time for the command is over.
func (a *applying) lastRead(ctx context.Context) (Applied, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastReadTimeout)
	defer cancel()
	// An unchanged key leaves the outcome open as well: the write may still be on
	// its way.
	if e, ok := a.readBack(ctx); ok && e.Revision != a.base.Revision {
		return a.replaced(e)
	}
	return Applied{}, &UnresolvedError{}
}

// pause waits before the next attempt and reports whether there is time for one.
func (a *applying) pause(ctx context.Context) bool {
	t := time.NewTimer(a.wait.NextBackOff())
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
	if err != nil { // A strings.Builder takes every write.
		return err.Error()
	}
	return text
}

// String says what happened.
func (a Applied) String() string {
	switch {
	case a.Unchanged:
		return fmt.Sprintf("unchanged: the same configuration is stored as revision %d", a.Revision)
	case a.ReadBack:
		return fmt.Sprintf("applied as revision %d after revision %d; the answer was lost and the key was read back", a.Revision, a.Previous)
	}
	return fmt.Sprintf("applied as revision %d after revision %d", a.Revision, a.Previous)
}
