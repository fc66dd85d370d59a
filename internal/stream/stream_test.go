package stream

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// delivery is a pending event, end or failure of an attempt.
type delivery struct {
	attempt  int
	sequence int64
	text     string
	end      bool
	fail     bool
}

// brokenRules disables checks of the buffer by passing values that satisfy them.
type brokenRules struct{ ignoreAttempt, ignoreSequence, ignoreLast bool }

func (rules brokenRules) deliver(b *Buffer, d delivery) Outcome {
	if rules.ignoreAttempt && b.running {
		d.attempt = b.attempt
	}
	if d.end || rules.ignoreSequence {
		if rules.ignoreLast || !d.end {
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

// failFunc reports a violation of the property.
type failFunc func(format string, args ...any)

// attemptOutput is the range of events that one attempt generates. Their texts name the
// attempt, so that events of another attempt are detected.
type attemptOutput struct{ first, last int64 }

func (s attemptOutput) text(attempt int, sequence int64) string {
	return fmt.Sprintf("%d.%d ", attempt, sequence)
}

// checkBuffer compares the response with the outputs of the attempts.
func checkBuffer(fail failFunc, b *Buffer, outputs map[int]attemptOutput, ended map[int]bool) {
	lastAttempt := 0
	for i, text := range b.events {
		var producer int
		var sequence int64
		if _, err := fmt.Sscanf(text, "%d.%d ", &producer, &sequence); err != nil {
			fail("event %d: %v", i+1, err)
		}
		if sequence != int64(i)+1 || producer < lastAttempt {
			fail("event %d is %q after attempt %d", i+1, text, lastAttempt)
		}
		if producer != lastAttempt && sequence != outputs[producer].first {
			fail("attempt %d starts with event %d, not %d", producer, sequence, outputs[producer].first)
		}
		lastAttempt = producer
	}
	if s, _ := b.State(); s == Whole && (!ended[b.attempt] || b.Last() != outputs[b.attempt].last) {
		fail("response of %d events is whole; attempt %d has %+v", b.Last(), b.attempt, outputs[b.attempt])
	}
}

func runInterleaving(t *rapid.T, rules brokenRules, fail failFunc) {
	b := &Buffer{MaxBytes: rapid.SampledFrom([]int{300, 4000}).Draw(t, "max")}
	outputs, ended := map[int]attemptOutput{}, map[int]bool{}
	var pending []delivery
	attempt := 0
	type reader struct {
		after int64
		got   strings.Builder
	}
	readers := make([]reader, 3)
	for range rapid.IntRange(1, 80).Draw(t, "steps") {
		switch rapid.IntRange(0, 11).Draw(t, "step") {
		case 0, 1: // Begin an attempt. Deliveries of earlier ones stay pending.
			attempt++
			first, ok := b.Begin(attempt)
			if !ok {
				continue
			}
			output := attemptOutput{first: first, last: first - 1 + rapid.Int64Range(0, 6).Draw(t, "events")}
			outputs[attempt] = output
			var deliveries []delivery
			for q := output.first; q <= output.last; q++ {
				deliveries = append(deliveries, delivery{attempt: attempt, sequence: q, text: output.text(attempt, q)})
			}
			cut := rapid.IntRange(0, len(deliveries)*2).Draw(t, "cut")
			if cut < len(deliveries) {
				deliveries = append(deliveries[:cut], delivery{attempt: attempt, fail: true})
			} else {
				deliveries = append(deliveries, delivery{attempt: attempt, sequence: output.last, end: true})
			}
			pending = append(pending, deliveries...)
		case 2: // Hand over; the other daemon accepts or refuses.
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
		case 4, 5: // A reader resumes after its last event.
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
			if len(pending) == 0 {
				continue
			}
			// Mostly in order, sometimes reordered, sometimes kept for a second
			// delivery.
			i := 0
			if rapid.IntRange(0, 3).Draw(t, "reorder") == 0 {
				i = rapid.IntRange(0, len(pending)-1).Draw(t, "which")
			}
			d := pending[i]
			if rapid.IntRange(0, 4).Draw(t, "double") > 0 {
				pending = append(pending[:i:i], pending[i+1:]...)
			}
			before, _ := b.State()
			o := rules.deliver(b, d)
			if after, _ := b.State(); d.end && o == Accepted && after == Whole && before == Open {
				ended[d.attempt] = true
			}
		}
		checkBuffer(fail, b, outputs, ended)
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

// Guards against late, duplicate, foreign and lost events in a response, a truncated
// response that is reported as complete, and a reader that gets an event twice or not
// at all.
func TestInterleavedAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runInterleaving(t, brokenRules{}, t.Fatalf) })
}

// violates reports whether the property fails for any of 300 seeds.
func violates(rules brokenRules) bool {
	found := false
	for seed := 0; seed < 300 && !found; seed++ {
		rapid.Custom(func(t *rapid.T) int {
			defer func() {
				if found {
					_ = recover() // Ends this example; the violation is recorded.
				}
			}()
			runInterleaving(t, rules, func(string, ...any) {
				found = true
				panic("violation")
			})
			return 0
		}).Example(seed)
	}
	return found
}

// Guards against a property that holds for any behaviour of the buffer.
func TestBrokenRulesViolateProperty(t *testing.T) {
	for name, rules := range map[string]brokenRules{
		"any attempt":  {ignoreAttempt: true},
		"any sequence": {ignoreSequence: true},
		"any end":      {ignoreLast: true},
	} {
		if !violates(rules) {
			t.Errorf("variant that accepts %s passes the property", name)
		}
	}
	if violates(brokenRules{}) {
		t.Error("the correct buffer fails the property")
	}
}

// Guards against continuing a response with different text for a reader that is ahead
// of the daemon where it resumes.
func TestReaderAhead(t *testing.T) {
	b := &Buffer{}
	b.Begin(1)
	b.Append(1, 1, "a")
	if _, err := b.Read(2, 0); !errors.Is(err, ErrReaderAhead) {
		t.Errorf("got error %v", err)
	}
}
