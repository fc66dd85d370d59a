package ledger

import (
	"fmt"
	"testing"
	"time"

	"apricotbridge/internal/keyvalue"
	"apricotbridge/pkg/problem"
)

// direct drives one Shard with a service that answers at once.
type direct struct {
	t        *testing.T
	shard    *Shard
	now      time.Time
	stored   map[string]keyvalue.Entry
	revision int64
	away     bool
	runs     int
	answers  map[uint64]Result
}

func newDirect(t *testing.T, stored map[string]keyvalue.Entry) *direct {
	d := &direct{
		t: t, now: time.Unix(1_000_000, 0), stored: stored, revision: 1000 * int64(len(stored)+1),
		answers: map[uint64]Result{},
		shard:   New(Config{Holder: "d", Incarnation: uint64(len(stored) + 1), Retention: time.Hour, SealBytes: 300, WritesPerSecond: 1000}),
	}
	d.step(TakeOver{})
	return d
}

func (d *direct) step(ev Event) {
	for _, a := range d.shard.Step(d.now, ev) {
		switch a := a.(type) {
		case Write:
			d.revision++
			switch {
			case d.away:
				d.step(CommitRefused{a.ID})
			case d.stored[a.Key].Revision != a.Revision:
				d.step(CommitConflict{a.ID, d.stored[a.Key]})
			default:
				d.stored[a.Key] = keyvalue.Entry{Key: a.Key, Value: a.Value, Revision: d.revision}
				d.step(Committed{a.ID, d.revision})
			}
		case Delete:
			delete(d.stored, a.Key)
			d.step(Committed{ID: a.ID})
		case Read:
			d.step(ReadBack{ID: a.ID, Entry: d.stored[a.Key], Failed: d.away})
		case Dispatch:
			d.runs++
			d.step(Outcome{a.Organisation, a.Key, a.Sequence, problem.HasRun, []byte(fmt.Sprint(d.runs)), nil})
		case Answer:
			d.answers[a.ID] = a.Result
		}
	}
}

// ask submits a key and returns the response or the kind of the problem.
func (d *direct) ask(key, body string) string {
	d.t.Helper()
	id := uint64(len(d.answers) + 1)
	d.step(Submit{ID: id, Organisation: "o", Key: key, Kind: Order, Request: []byte(body)})
	for range 10 {
		d.now = d.now.Add(10 * time.Millisecond)
		d.step(Tick{})
	}
	r, ok := d.answers[id]
	switch {
	case !ok:
		d.t.Fatalf("no answer for key %s", key)
	case r.Problem != nil:
		if r.Problem.Kind == problem.LedgerUnavailable && r.Problem.RetryAfter <= 0 {
			d.t.Errorf("refusal of key %s has no retry time", key)
		}
		return string(r.Problem.Kind)
	}
	return string(r.Response)
}

func (d *direct) want(key, body, want string) {
	d.t.Helper()
	if got := d.ask(key, body); got != want {
		d.t.Errorf("key %s with body %q: got %s, want %s", key, body, got, want)
	}
}

// TestKeys guards against a reused key that is answered with the response of
// another body, a key that runs again within its retention or never after it, an
// outage that is not refused at once, and segments that are never deleted.
func TestKeys(t *testing.T) {
	d := newDirect(t, map[string]keyvalue.Entry{})
	for i := range 40 {
		d.want(fmt.Sprint(i), "body", fmt.Sprint(i+1))
	}
	d.want("0", "other", string(problem.KeyReused))
	d.away = true
	d.want("new", "body", string(problem.LedgerUnavailable))
	d.away = false
	d.now = d.now.Add(10 * time.Second)
	d.step(Tick{})

	again := newDirect(t, d.stored)
	again.now = d.now
	again.want("0", "body", "1") // From a segment that only its index named.
	if again.runs != 0 || d.shard.Resigned() {
		t.Errorf("successor ran %d requests, first holder resigned: %v", again.runs, d.shard.Resigned())
	}
	d.want("1", "body", "2")                                  // Known to the first holder as well, which
	d.want("late", "body", string(problem.LedgerUnavailable)) // finds out with its next commit.
	if !d.shard.Resigned() {
		t.Error("first holder has not resigned")
	}

	keys := len(again.stored)
	again.now = again.now.Add(59 * time.Minute)
	again.want("0", "body", "1")
	again.now = again.now.Add(2 * time.Minute)
	again.want("0", "other", "1") // A new key with the first run of this holder.
	for range 100 {
		again.now = again.now.Add(time.Second)
		again.step(Tick{})
	}
	if left := len(again.stored); left >= keys || left > 3 {
		t.Errorf("%d keys of the key-value service are left of %d", left, keys)
	}
}
