package ledger

import (
	"fmt"
	"testing"
	"time"

	"apricotbridge/internal/keyvalue"
	"apricotbridge/pkg/problem"
)

// syncDriver drives one Shard with a key-value service and backend servers that
// answer synchronously.
type syncDriver struct {
	t        *testing.T
	shard    *Shard
	now      time.Time
	stored   map[string]keyvalue.Entry
	revision int64
	away     bool
	runs     int
	answers  map[uint64]Result
}

func newSyncDriver(t *testing.T, stored map[string]keyvalue.Entry) *syncDriver {
	d := &syncDriver{
		t: t, now: time.Unix(1_000_000, 0), stored: stored, revision: 1000 * int64(len(stored)+1),
		answers: map[uint64]Result{},
		shard:   New(Config{Holder: "d", Incarnation: uint64(len(stored) + 1), Retention: time.Hour, SealBytes: 300, WritesPerSecond: 1000}),
	}
	d.step(TakeOver{})
	return d
}

func (d *syncDriver) step(ev Event) {
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

// submit submits a key and returns the response or the kind of the problem.
func (d *syncDriver) submit(key, body string) string {
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

func (d *syncDriver) check(key, body, want string) {
	d.t.Helper()
	if got := d.submit(key, body); got != want {
		d.t.Errorf("key %s with body %q: got %s, want %s", key, body, got, want)
	}
}

// TestKeys guards against answering a reused key with the response to another body,
// running a key again within its retention, not running it again afterwards,
// accepting a new key during an outage, and segments that are never deleted.
func TestKeys(t *testing.T) {
	d := newSyncDriver(t, map[string]keyvalue.Entry{})
	for i := range 40 {
		d.check(fmt.Sprint(i), "body", fmt.Sprint(i+1))
	}
	d.check("0", "other", string(problem.KeyReused))
	d.away = true
	d.check("new", "body", string(problem.LedgerUnavailable))
	d.away = false
	d.now = d.now.Add(10 * time.Second)
	d.step(Tick{})

	successor := newSyncDriver(t, d.stored)
	successor.now = d.now
	successor.check("0", "body", "1") // From a segment, found by its index.
	if successor.runs != 0 || d.shard.Resigned() {
		t.Errorf("successor ran %d requests, first holder resigned: %v", successor.runs, d.shard.Resigned())
	}
	d.check("1", "body", "2")                                  // The first holder answers from its own state; it
	d.check("late", "body", string(problem.LedgerUnavailable)) // notices the takeover at its next commit.
	if !d.shard.Resigned() {
		t.Error("first holder has not resigned")
	}

	keys := len(successor.stored)
	successor.now = successor.now.Add(59 * time.Minute)
	successor.check("0", "body", "1")
	successor.now = successor.now.Add(2 * time.Minute)
	successor.check("0", "other", "1") // The key counts as new and is the first run of this holder.
	for range 100 {
		successor.now = successor.now.Add(time.Second)
		successor.step(Tick{})
	}
	if left := len(successor.stored); left >= keys || left > 3 {
		t.Errorf("%d keys of the key-value service are left of %d", left, keys)
	}
}
