package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"apricotbridge/internal/message"
)

// Guards against lists that depend on the order or repetition of gossip and whose hashes
// therefore never become equal.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	rapid.Check(t, func(t *rapid.T) {
		suspect := rapid.Custom(func(t *rapid.T) message.Suspect {
			return message.Suspect{
				Fingerprint: rapid.Uint64Range(1, 3).Draw(t, "fingerprint"),
				Crashes:     rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 1, 4).Draw(t, "crashes"),
				Alone:       rapid.IntRange(0, 2).Draw(t, "alone"),
				Cleared:     rapid.Bool().Draw(t, "cleared"),
				Last:        now.Add(-time.Duration(rapid.IntRange(0, 4000).Draw(t, "age")) * time.Second),
			}
		})
		suspects := rapid.SliceOfN(suspect, 0, 12).Draw(t, "suspects")
		a, b := New(Options{}), New(Options{})
		a.Merge(now, suspects)
		for _, s := range rapid.Permutation(suspects).Draw(t, "order") {
			b.Merge(now, []message.Suspect{s})
		}
		if a.Merge(now, suspects) || a.Merge(now, a.Entries()) {
			t.Fatal("a repeated merge changes the list")
		}
		if diff := cmp.Diff(a.Entries(), b.Entries()); diff != "" {
			t.Fatal(diff)
		}
		c := New(Options{})
		c.Merge(now, a.Entries())
		if a.Hash() != b.Hash() || a.Hash() != c.Hash() {
			t.Fatalf("hashes %x, %x and %x of equal lists", a.Hash(), b.Hash(), c.Hash())
		}
	})
}

// Guards against entries that never expire, and against a flood of suspects that evicts
// a refused one.
func TestExpiryAndSize(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	l := New(Options{MaxEntries: 10})
	for i := range 3 {
		l.Crashed(now.Add(time.Duration(i)*time.Minute), fmt.Sprint("s/", i), []Fingerprint{1})
	}
	now = now.Add(5 * time.Minute)
	flood := make([]Fingerprint, 100)
	for i := range flood {
		flood[i] = Fingerprint(100 + i)
	}
	l.Crashed(now, "t/1", flood)
	if l.Len() != 10 || l.Verdict(now, 1) != Refused {
		t.Errorf("%d entries, verdict %v", l.Len(), l.Verdict(now, 1))
	}
	if now = now.Add(2 * time.Hour); l.Verdict(now, 1) != Normal {
		t.Error("an expired entry has an effect")
	}
	if l.Merge(now, nil); l.Len() != 0 || l.Hash() != 0 {
		t.Errorf("%d entries after the expiry", l.Len())
	}
}

// Guards against quarantining thousands of requests when a data centre is lost.
func TestMassCrash(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	l := New(Options{})
	for i := range 300 {
		l.Crashed(now.Add(time.Duration(i)*time.Millisecond), fmt.Sprint("s/", i), []Fingerprint{Fingerprint(i)})
	}
	if l.Len() > massCrashLimit {
		t.Errorf("%d suspects after 300 crashes within a second", l.Len())
	}
}

// Guards against a request that stays a suspect after it finished, and against
// different requests with equal fingerprints.
func TestClearedAndFingerprint(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	l := New(Options{})
	l.Started(7)
	l.Crashed(now, "s/1", []Fingerprint{7})
	if v := l.Verdict(now, 7); v != Apart {
		t.Errorf("after a crash: %v", v)
	}
	other := New(Options{})
	other.Merge(now, l.Entries())
	other.Crashed(now, "s/2", []Fingerprint{7})
	if v := other.Verdict(now, 7); v != Alone {
		t.Errorf("after two crashes: %v", v)
	}
	if ready, at := l.Ready(now, 7); ready || at.Sub(now) != defaultSettleTime {
		t.Errorf("ready %v at %v", ready, at.Sub(now))
	}
	peer := New(Options{})
	peer.Merge(now, l.Entries())
	l.Started(7)
	l.Finished(now, 7)
	if v := l.Verdict(now, 7); v != Normal {
		t.Errorf("after it finished: %v", v)
	}
	peer.Merge(now, l.Entries())
	if v := peer.Verdict(now, 7); v != Normal {
		t.Errorf("at a peer: %v", v)
	}
	if FingerprintOf("ab", "c", nil) == FingerprintOf("a", "bc", nil) {
		t.Error("two organisations share a fingerprint")
	}
}

func TestFingerprintOfPartsIsThatOfTheWhole(t *testing.T) {
	if FingerprintOf("o", "s", []byte("/a\n"), []byte("body")) != FingerprintOf("o", "s", []byte("/a\nbody")) {
		t.Error("daemons that hash parts and whole bodies disagree")
	}
}
