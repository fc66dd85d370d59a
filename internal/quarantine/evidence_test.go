package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"apricotbridge/internal/message"
)

// crashAt returns a run that lasted from begin to end, in milliseconds after start.
func crashAt(server string, begin, end int) Run {
	return Run{Server: ServerKey(server, 1), Began: evidenceTime(begin), Ended: evidenceTime(end), Confirmed: true}
}

// lostConnections returns runs in turn whose servers were not seen to have ended.
func lostConnections(n int) []Run {
	var runs []Run
	for i := range n {
		run := crashAt(fmt.Sprint("s", i), 30*i, 30*i+30)
		run.Confirmed = false
		runs = append(runs, run)
	}
	return runs
}

// request returns the suspects of a request without a prompt.
func request(f Fingerprint) []Suspect { return []Suspect{{Fingerprint: f}} }

func evidenceTime(milliseconds int) time.Time {
	return time.Unix(1_700_000_000, 0).Add(time.Duration(milliseconds) * time.Millisecond)
}

// Guards against refusing a request that was at several servers when they ended together, or
// that has finished, and against running one on that crashed three servers in turn.
func TestEvidenceRefusesOnlyWhatCrashedServersInTurn(t *testing.T) {
	for _, c := range []struct {
		name string
		runs []Run
		// survived is when a run finished, in milliseconds; 0 means none.
		survived int
		at       int
		want     bool
	}{
		{"one after the other", []Run{crashAt("a", 0, 50), crashAt("b", 51, 100), crashAt("c", 300, 350)}, 0, 400, true},
		{"two servers", []Run{crashAt("a", 0, 50), crashAt("b", 51, 100)}, 0, 400, false},
		{"the same server", []Run{crashAt("a", 0, 50), crashAt("a", 51, 100), crashAt("a", 300, 350)}, 0, 400, false},
		{"at the same moment", []Run{crashAt("a", 0, 500), crashAt("b", 100, 505), crashAt("c", 200, 500), crashAt("d", 5, 501)}, 0, 600, false},
		{"finished since", []Run{crashAt("a", 0, 50), crashAt("b", 51, 100), crashAt("c", 300, 350)}, 360, 400, false},
		{"finished before the last", []Run{crashAt("a", 0, 50), crashAt("b", 51, 100), crashAt("c", 300, 350)}, 200, 400, false},
		{"connections lost by eight servers", lostConnections(8), 0, 400, false},
		{"connections lost by nine servers", lostConnections(9), 0, 400, true},
		{"long ago", []Run{crashAt("a", 0, 50), crashAt("b", 51, 100), crashAt("c", 300, 350)}, 0, 4_000_000, false},
	} {
		var e Evidence
		for _, run := range c.runs {
			e.Lost(run.Ended, run, request(1))
			if c.survived > 0 && !run.Ended.After(evidenceTime(c.survived)) {
				e.Survived(evidenceTime(c.survived), request(1))
			}
		}
		if c.survived > 350 {
			e.Survived(evidenceTime(c.survived), request(1))
		}
		if _, got := e.Refuses(evidenceTime(c.at), append(request(2), request(1)...)); got != c.want {
			t.Errorf("%s: refused %v", c.name, got)
		}
		if _, got := e.Refuses(evidenceTime(c.at), request(2)); got {
			t.Errorf("%s: another request is refused", c.name)
		}
	}
}

// Guards against daemons that come to different results because evidence reached them in
// another order, in other batches or repeatedly.
func TestEvidenceMergesInAnyOrder(t *testing.T) {
	now := evidenceTime(100_000)
	rapid.Check(t, func(t *rapid.T) {
		record := rapid.Custom(func(t *rapid.T) message.SuspectRecord {
			r := message.SuspectRecord{Suspect: rapid.Uint64Range(1, 3).Draw(t, "suspect")}
			for range rapid.IntRange(0, 4).Draw(t, "crashes") {
				// A server has one end, whoever reports it.
				server := rapid.Uint64Range(1, 10).Draw(t, "server")
				r.Crashes = append(r.Crashes, message.CrashedRun{Server: server, Began: int64(server)*800 + 500, Ended: int64(server) * 800, Confirmed: rapid.Bool().Draw(t, "confirmed"), Cleared: rapid.Bool().Draw(t, "cleared")}) //nolint:gosec // Small.
			}
			return r
		})
		records := rapid.SliceOfN(record, 0, 12).Draw(t, "records")
		var a, b Evidence
		a.Merge(now, records)
		for _, r := range rapid.Permutation(records).Draw(t, "order") {
			b.Merge(now, []message.SuspectRecord{r})
		}
		if news := a.Merge(now, records); len(news) > 0 {
			t.Fatalf("a repeated merge has news: %v", news)
		}
		all := []Fingerprint{1, 2, 3}
		if diff := cmp.Diff(a.Records(now, all), b.Records(now, all)); diff != "" {
			t.Fatal(diff)
		}
		var c Evidence
		c.Merge(now, a.Records(now, all))
		if diff := cmp.Diff(a.Refused(now), c.Refused(now)); diff != "" {
			t.Fatal(diff)
		}
	})
}

// Guards against evidence that grows without bound, and against a flood of new suspects that
// makes a refused one run again.
func TestEvidenceSize(t *testing.T) {
	var e Evidence
	for i, server := range []string{"a", "b", "c"} {
		run := crashAt(server, 100*i, 100*i+50)
		e.Lost(run.Ended, run, request(1))
	}
	for i := range 2 * defaultMaxEntries {
		run := crashAt(fmt.Sprint("s", i%7), 1000, 1100)
		e.Lost(run.Ended, run, request(Fingerprint(100+i)))
	}
	if n := len(e.records); n > defaultMaxEntries {
		t.Errorf("%d records, want at most %d", n, defaultMaxEntries)
	}
	if _, refused := e.Refuses(evidenceTime(1200), request(1)); !refused {
		t.Error("the refused suspect was dropped")
	}
	for i := range 100 {
		run := crashAt(fmt.Sprint("t", i), 2000+100*i, 2050+100*i)
		e.Lost(run.Ended, run, request(1))
	}
	if n := len(e.records[1].runs); n > maxRecordRuns {
		t.Errorf("%d runs of one suspect, want at most %d", n, maxRecordRuns)
	}
}

// Guards against daemons that forward the same crash and its clearing to one another for ever,
// because its age shifts with the delay of each hop.
func TestForwardedEvidenceSettles(t *testing.T) {
	const (
		daemons     = 4
		delay       = 40 * time.Millisecond
		maxMessages = 100
	)
	type delivery struct {
		at      time.Time
		to      int
		records []message.SuspectRecord
	}
	var evidence [daemons]Evidence
	var queue []delivery
	messages := 0
	forward := func(now time.Time, from int, records []message.SuspectRecord) {
		for to := range daemons {
			if to != from && len(records) > 0 {
				queue = append(queue, delivery{now.Add(delay), to, records})
				messages++
			}
		}
	}
	run := crashAt("a", 0, 100)
	evidence[0].Lost(run.Ended, run, request(1))
	forward(run.Ended, 0, evidence[0].TakeChanges(run.Ended))
	for len(queue) > 0 && messages <= maxMessages {
		d := queue[0]
		queue = queue[1:]
		forward(d.at, d.to, evidence[d.to].Records(d.at, evidence[d.to].Merge(d.at, d.records)))
		// The suspect is often run, and runs through.
		if n := evidence[d.to].Len(); n > 0 && messages > daemons {
			evidence[d.to].Survived(d.at, request(1))
			forward(d.at, d.to, evidence[d.to].TakeChanges(d.at))
		}
	}
	if messages > maxMessages {
		t.Errorf("more than %d messages about one crash", maxMessages)
	}
	for i := range evidence {
		if evidence[i].HasCrashes(evidenceTime(1000), 1) {
			t.Errorf("daemon %d has an open crash", i)
		}
	}
}
