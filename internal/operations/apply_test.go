package operations

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/document"
	"apricotbridge/internal/keyvalue"
	"apricotbridge/internal/standin"
)

// hookedStore is a stand-in for the key-value service whose calls a test can
// intercept. The hooks receive the number of the call, starting at 1.
type hookedStore struct {
	*standin.KeyValue
	onSwap func(n int, call func() (keyvalue.Entry, error)) (keyvalue.Entry, error)
	onGet  func(n int) error

	mu          sync.Mutex
	swaps, gets int
}

func (h *hookedStore) CompareAndSwap(ctx context.Context, key string, value []byte, revision int64, lease string) (keyvalue.Entry, error) {
	h.mu.Lock()
	h.swaps++
	n := h.swaps
	h.mu.Unlock()
	call := func() (keyvalue.Entry, error) { return h.KeyValue.CompareAndSwap(ctx, key, value, revision, lease) }
	if h.onSwap == nil {
		return call()
	}
	return h.onSwap(n, call)
}

func (h *hookedStore) Get(ctx context.Context, key string) (keyvalue.Entry, error) {
	h.mu.Lock()
	h.gets++
	n := h.gets
	h.mu.Unlock()
	if h.onGet != nil {
		if err := h.onGet(n); err != nil {
			return keyvalue.Entry{}, err
		}
	}
	return h.KeyValue.Get(ctx, key)
}

// sampleConfiguration returns a valid configuration with the given name.
func sampleConfiguration(t testing.TB, name string) []byte {
	text, err := os.ReadFile("../../samples/shrestha.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	return []byte(strings.ReplaceAll(string(text), "Shrestha Sukuti Order Routing Service Annex", name))
}

// TestApply guards against overwriting another operator's configuration, and against
// reporting a write as failed that took effect.
func TestApply(t *testing.T) {
	mine, old, theirs := sampleConfiguration(t, "mine"), sampleConfiguration(t, "old"), sampleConfiguration(t, "theirs")
	unseen := int64(99)
	// store writes a text in the name of another operator.
	store := func(k *standin.KeyValue, text []byte) {
		e, err := k.Get(context.Background(), configurationKey)
		if err != nil && !errors.Is(err, keyvalue.ErrNotFound) {
			t.Fatal(err)
		}
		if _, err := k.CompareAndSwap(context.Background(), configurationKey, text, e.Revision, ""); err != nil {
			t.Fatal(err)
		}
	}
	for name, c := range map[string]struct {
		before [][]byte
		text   []byte
		expect *int64
		hooks  func(h *hookedStore)
		want   Applied
		// wantErr is a part of the error, and wantDiff a part of the diff.
		wantErr, wantDiff string
		unavailable       bool
		stored            []byte
	}{
		"first":  {want: Applied{Revision: 1}, stored: mine},
		"next":   {before: [][]byte{old}, want: Applied{Revision: 2, Previous: 1}, stored: mine},
		"same":   {before: [][]byte{mine}, expect: &unseen, want: Applied{Revision: 1, Previous: 1, Unchanged: true}, stored: mine},
		"faults": {text: []byte(`{"Regions": []}`), before: [][]byte{old}, wantErr: "configuration.jsonc:1:1: Places: is required", stored: old},
		"expected another revision": {
			before: [][]byte{old}, expect: &unseen, wantErr: "at revision 1, not 99", wantDiff: `+  "Name": "mine"`, stored: old,
		},
		"race": {
			before: [][]byte{old},
			hooks: func(h *hookedStore) {
				h.onSwap = func(_ int, call func() (keyvalue.Entry, error)) (keyvalue.Entry, error) {
					store(h.KeyValue, theirs)
					return call()
				}
			},
			wantErr: "at revision 2, not 1", wantDiff: `+  "Name": "theirs"`, stored: theirs,
		},
		"answer lost": {
			before: [][]byte{old},
			hooks: func(h *hookedStore) {
				h.SetFaults(standin.KeyValueFaults{LoseAnswers: 1})
			},
			want: Applied{Revision: 2, Previous: 1, ReadBack: true}, stored: mine,
		},
		"call lost": {
			hooks: func(h *hookedStore) {
				h.onSwap = func(n int, call func() (keyvalue.Entry, error)) (keyvalue.Entry, error) {
					if n == 1 {
						return keyvalue.Entry{}, keyvalue.ErrOutcomeUnknown
					}
					return call()
				}
			},
			want: Applied{Revision: 1}, stored: mine,
		},
		"write lands after the read back": {
			hooks: func(h *hookedStore) {
				h.onSwap = func(n int, call func() (keyvalue.Entry, error)) (keyvalue.Entry, error) {
					if n == 1 {
						return keyvalue.Entry{}, keyvalue.ErrOutcomeUnknown
					}
					store(h.KeyValue, mine)
					return call()
				}
			},
			want: Applied{Revision: 1, ReadBack: true}, stored: mine,
		},
		"answer lost and replaced": {
			hooks: func(h *hookedStore) {
				h.onSwap = func(_ int, call func() (keyvalue.Entry, error)) (keyvalue.Entry, error) {
					_, _ = call()
					store(h.KeyValue, theirs)
					return keyvalue.Entry{}, keyvalue.ErrOutcomeUnknown
				}
			},
			wantErr: "whether this configuration was stored before it is not known", unavailable: true, stored: theirs,
		},
		"outage": {
			before: [][]byte{old}, hooks: func(h *hookedStore) { h.SetFaults(standin.KeyValueFaults{Down: true}) },
			wantErr: "key-value service unavailable", unavailable: true, stored: old,
		},
		"answer lost, then an outage that ends after the time": {
			hooks: func(h *hookedStore) {
				h.onSwap = func(_ int, call func() (keyvalue.Entry, error)) (keyvalue.Entry, error) {
					_, _ = call()
					return keyvalue.Entry{}, keyvalue.ErrOutcomeUnknown
				}
				h.onGet = func(n int) error {
					if n == 2 {
						return keyvalue.ErrUnavailable
					}
					return nil
				}
			},
			want: Applied{Revision: 1, ReadBack: true}, stored: mine,
		},
		"answer lost, then an outage": {
			hooks: func(h *hookedStore) {
				h.onSwap = func(_ int, call func() (keyvalue.Entry, error)) (keyvalue.Entry, error) {
					_, _ = call()
					return keyvalue.Entry{}, keyvalue.ErrOutcomeUnknown
				}
				h.onGet = func(n int) error {
					if n > 1 {
						return keyvalue.ErrUnavailable
					}
					return nil
				}
			},
			wantErr: "could not be read back", unavailable: true, stored: mine,
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := &hookedStore{KeyValue: standin.NewKeyValue(1)}
			for _, text := range c.before {
				store(h.KeyValue, text)
			}
			if c.hooks != nil {
				c.hooks(h)
			}
			if c.text == nil {
				c.text = mine
			}
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			got, err := Apply(ctx, h, "configuration.jsonc", c.text, c.expect)
			if (err == nil) != (c.wantErr == "") || err != nil && !strings.Contains(err.Error(), c.wantErr) {
				t.Fatalf("error is %v; want %q", err, c.wantErr)
			}
			if got != c.want {
				t.Errorf("got %+v; want %+v", got, c.want)
			}
			if errors.Is(err, ErrUnavailable) != c.unavailable {
				t.Errorf("error %v counts as unavailable: %v", err, !c.unavailable)
			}
			var conflict *ConflictError
			if errors.As(err, &conflict) != (c.wantDiff != "") || conflict != nil && !strings.Contains(conflict.Diff, c.wantDiff) {
				t.Errorf("conflict is %+v; want a difference with %q", conflict, c.wantDiff)
			}
			h.SetFaults(standin.KeyValueFaults{})
			if e, err := h.KeyValue.Get(context.Background(), configurationKey); err != nil || string(e.Value) != string(c.stored) {
				t.Errorf("stored text is not the expected one (%v)", err)
			}
		})
	}
}

// recordingStore records the revision that an apply reads first.
type recordingStore struct {
	*hookedStore
	read     bool
	revision int64
}

func (f *recordingStore) Get(ctx context.Context, key string) (keyvalue.Entry, error) {
	e, err := f.hookedStore.Get(ctx, key)
	if !f.read {
		f.read, f.revision = true, e.Revision
	}
	return e, err
}

// TestApplyRaces guards against lost updates among operators while answers are lost
// at random: no successful apply may overwrite a revision that its operator had not
// read, and no apply that reports a conflict may have written.
func TestApplyRaces(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		h := &hookedStore{KeyValue: standin.NewKeyValue(seed)}
		h.SetFaults(standin.KeyValueFaults{LoseAnswers: 0.5})
		var mu sync.Mutex
		writes := map[int64]string{} // By revision.
		h.onSwap = func(_ int, call func() (keyvalue.Entry, error)) (keyvalue.Entry, error) {
			mu.Lock()
			defer mu.Unlock()
			e, err := call()
			if e.Revision != 0 {
				writes[e.Revision] = string(e.Value)
			}
			return e, err
		}
		// checkOutcome returns the fault in the result of one apply, or "".
		checkOutcome := func(applied Applied, err error, seen int64, text string) string {
			mu.Lock()
			defer mu.Unlock()
			var conflict *ConflictError
			switch {
			case err == nil && writes[applied.Revision] != text:
				return fmt.Sprintf("revision %d does not hold the text that was applied", applied.Revision)
			case err == nil:
				for r := range writes {
					if r > seen && r < applied.Revision {
						return fmt.Sprintf("revision %d was overwritten unseen by %d, which had read %d", r, applied.Revision, seen)
					}
				}
			case errors.As(err, &conflict):
				for r, written := range writes {
					if written == text {
						return fmt.Sprintf("conflict reported, but revision %d was written", r)
					}
				}
			case !errors.Is(err, ErrUnavailable):
				return err.Error()
			}
			return ""
		}
		var wait sync.WaitGroup
		for operator := range 4 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				for round := range 10 {
					text := sampleConfiguration(t, fmt.Sprintf("operator %d, round %d", operator, round))
					ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
					f := &recordingStore{hookedStore: h}
					applied, err := Apply(ctx, f, "configuration.jsonc", text, nil)
					cancel()
					if fault := checkOutcome(applied, err, f.revision, string(text)); fault != "" {
						t.Errorf("seed %d: %s", seed, fault)
					}
				}
			}()
		}
		wait.Wait()
	}
}

// TestSamples guards against samples that Check rejects or whose kind it does not
// detect.
func TestSamples(t *testing.T) {
	files, err := filepath.Glob("../../samples/*.jsonc")
	if err != nil || len(files) < 3 {
		t.Fatalf("samples are missing: %v, %v", files, err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if faults, err := Check(file, text, ""); err != nil || len(faults) > 0 {
			t.Errorf("%s: %v\n%v", file, err, document.Error(faults))
		}
	}
}
