package stream

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// delivery is an event, an end or a failure of an attempt on its way.
type delivery struct {
	attempt  int
	sequence int64
	text     string
	end      bool
	fail     bool
}

// fault replaces a rule of the buffer by a broken one, by passing what the
// broken rule would not look at.
type fault struct{ ignoreAttempt, ignoreSequence, ignoreLast bool }

func (f fault) deliver(b *Buffer, d delivery) Outcome {
	if f.ignoreAttempt && b.running {
		d.attempt = b.attempt
	}
	if d.end || f.ignoreSequence {
		if f.ignoreLast || !d.end {
			d.sequence = b.Last()
		}
		if !d.end {
			d.sequence++
		}
	}
	switch {
	case d.end:
		return b.End(d.attempt, d.sequence)
	case d.fail:
		return b.Fail(d.attempt)
	}
	return b.Append(d.attempt, d.sequence, d.text)
}

// failer reports a violation of the property.
type failer func(format string, args ...any)

// source is the output of one attempt: distinct texts, so that an event of
// another attempt shows.
type source struct{ first, last int64 }

func (s source) text(attempt int, sequence int64) string {
	return fmt.Sprintf("%d.%d ", attempt, sequence)
}

// check compares the response with the outputs of the attempts.
func check(fail failer, b *Buffer, sources map[int]source, ended map[int]bool) {
	attempt := 0
	for i, text := range b.events {
		var by int
		var sequence int64
		if _, err := fmt.Sscanf(text, "%d.%d ", &by, &sequence); err != nil {
			fail("event %d: %v", i+1, err)
		}
		if sequence != int64(i)+1 || by < attempt {
			fail("event %d is %q after attempt %d", i+1, text, attempt)
		}
		if by != attempt && sequence != sources[by].first {
			fail("attempt %d starts with event %d, not %d", by, sequence, sources[by].first)
		}
		attempt = by
	}
	if s, _ := b.State(); s == Whole && (!ended[b.attempt] || b.Last() != sources[b.attempt].last) {
		fail("response of %d events is whole; attempt %d has %+v", b.Last(), b.attempt, sources[b.attempt])
	}
}

func run(t *rapid.T, f fault, fail failer) {
	b := &Buffer{MaxBytes: rapid.SampledFrom([]int{300, 4000}).Draw(t, "max")}
	sources, ended := map[int]source{}, map[int]bool{}
	var pool []delivery
	attempt := 0
	type reader struct {
		after int64
		got   strings.Builder
	}
	readers := make([]reader, 3)
	for range rapid.IntRange(1, 80).Draw(t, "steps") {
		switch rapid.IntRange(0, 11).Draw(t, "step") {
		case 0, 1: // A new attempt, whose deliveries join those of the earlier ones.
			attempt++
			first, ok := b.Begin(attempt)
			if !ok {
				continue
			}
			s := source{first: first, last: first - 1 + rapid.Int64Range(0, 6).Draw(t, "events")}
			sources[attempt] = s
			var out []delivery
			for q := s.first; q <= s.last; q++ {
				out = append(out, delivery{attempt: attempt, sequence: q, text: s.text(attempt, q)})
			}
			cut := rapid.IntRange(0, len(out)*2).Draw(t, "cut")
			if cut < len(out) {
				out = append(out[:cut], delivery{attempt: attempt, fail: true})
			} else {
				out = append(out, delivery{attempt: attempt, sequence: s.last, end: true})
			}
			pool = append(pool, out...)
		case 2: // Hand over, accepted or refused.
			s := b.Snapshot()
			if rapid.Bool().Draw(t, "refused") {
				b.Reopen()
				continue
			}
			restored, err := Restore(s, b.MaxBytes)
			if err != nil {
				fail("restore: %v", err)
			}
			b = restored
		case 3:
			if rapid.IntRange(0, 9).Draw(t, "cancel") == 0 {
				b.Abandon("cancelled")
			}
		case 4, 5: // A reader resumes after what it has.
			r := &readers[rapid.IntRange(0, 2).Draw(t, "reader")]
			events, err := b.Read(r.after, rapid.IntRange(0, 3).Draw(t, "limit"))
			if err != nil {
				fail("read: %v", err)
			}
			for _, e := range events {
				r.after = e.Sequence
				r.got.WriteString(e.Text)
			}
		default:
			if len(pool) == 0 {
				continue
			}
			// Mostly in order, at times from anywhere, at times left for a second delivery.
			i := 0
			if rapid.IntRange(0, 3).Draw(t, "reorder") == 0 {
				i = rapid.IntRange(0, len(pool)-1).Draw(t, "which")
			}
			d := pool[i]
			if rapid.IntRange(0, 4).Draw(t, "double") > 0 {
				pool = append(pool[:i:i], pool[i+1:]...)
			}
			before, _ := b.State()
			o := f.deliver(b, d)
			if after, _ := b.State(); d.end && o == Accepted && after == Whole && before == Open {
				ended[d.attempt] = true
			}
		}
		check(fail, b, sources, ended)
		for i := range readers {
			if want := strings.Join(b.events[:readers[i].after], ""); readers[i].got.String() != want {
				fail("reader %d got %q, not %q", i, readers[i].got.String(), want)
			}
		}
		if b.bytes > b.MaxBytes {
			fail("buffer of %d bytes holds %d", b.MaxBytes, b.bytes)
		}
	}
}

// Guards against late, doubled, crossed and lost events in a response, a
// truncated response that passes for a whole one, and a reader that gets a byte
// twice or not at all.
func TestInterleavedAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { run(t, fault{}, t.Fatalf) })
}

// caught tells whether the property fails for some of 300 seeds.
func caught(f fault) bool {
	found := false
	for seed := 0; seed < 300 && !found; seed++ {
		rapid.Custom(func(t *rapid.T) int {
			defer func() {
				if found {
					_ = recover() // Ends the case; the violation is noted.
				}
			}()
			run(t, f, func(string, ...any) {
				found = true
				panic("violation")
			})
			return 0
		}).Example(seed)
	}
	return found
}

// Guards against a property that passes whatever the buffer does.
func TestBrokenVariantsAreCaught(t *testing.T) {
	for name, f := range map[string]fault{
		"any attempt":  {ignoreAttempt: true},
		"any sequence": {ignoreSequence: true},
		"any end":      {ignoreLast: true},
	} {
		if !caught(f) {
			t.Errorf("variant that accepts %s passes the property", name)
		}
	}
	if caught(fault{}) {
		t.Error("the correct buffer fails the property")
	}
}

// Guards against a response that continues with other text for a reader that is
// ahead of the daemon it resumes at.
func TestReaderAhead(t *testing.T) {
	b := &Buffer{}
	b.Begin(1)
	b.Append(1, 1, "a")
	if _, err := b.Read(2, 0); !errors.Is(err, ErrAhead) {
		t.Errorf("got error %v", err)
	}
}
