package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// TestTake guards against a bucket that does not refill, overflows its burst or returns
// too short a wait.
func TestTake(t *testing.T) {
	q := NewLimiter()
	q.Configure(start.Add(-time.Minute), map[string]Limit{"o": {PerSecond: 100, Burst: 50}})
	if ok, _ := q.Take(start, "o", 50); !ok {
		t.Fatal("the burst was refused")
	}
	ok, after := q.Take(start, "o", 10)
	if ok || after != 100*time.Millisecond {
		t.Errorf("an empty bucket gave %v and %v", ok, after)
	}
	if ok, _ := q.Take(start.Add(after), "o", 10); !ok {
		t.Error("refused after the returned wait")
	}
	if ok, _ := q.Take(start.Add(time.Hour), "o", 51); !ok {
		t.Error("a request above the burst was refused with a full bucket")
	}
	if ok, _ := q.Take(start, "unlimited", 1e9); !ok {
		t.Error("an organisation without a limit was refused")
	}
}

// TestRefund guards against charging requests that did not run.
func TestRefund(t *testing.T) {
	q := NewLimiter()
	q.Configure(start.Add(-time.Minute), map[string]Limit{"o": {PerSecond: 1, Burst: 10}})
	q.Take(start, "o", 10)
	q.Refund("o", 10)
	if ok, _ := q.Take(start, "o", 10); !ok || q.Uses()["o"].Admitted != 10 {
		t.Errorf("after a refund: %v, used %v", ok, q.Uses())
	}
}

// TestLowerLimit guards against a bucket that keeps its old burst after the limit was
// lowered.
func TestLowerLimit(t *testing.T) {
	q := NewLimiter()
	q.Configure(start.Add(-time.Minute), map[string]Limit{"o": {PerSecond: 1000, Burst: 1000}})
	q.Configure(start, map[string]Limit{"o": {PerSecond: 10, Burst: 10}})
	admitted := 0
	for range 100 {
		if ok, _ := q.Take(start, "o", 1); ok {
			admitted++
		}
	}
	if admitted != 10 {
		t.Errorf("admitted %d at once under a burst of 10", admitted)
	}
}

// TestTogether guards against daemons that exceed a limit together, with timely reports,
// late reports or none.
func TestTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := rapid.IntRange(2, 8).Draw(t, "daemons")
		partitioned := rapid.Bool().Draw(t, "partitioned")
		const rate, burst, span = 1000.0, 1000.0, 20.0
		names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}[:daemons]
		limiters := map[string]*Limiter{}
		for _, n := range names {
			limiters[n] = NewLimiter()
			var others []string
			for _, o := range names {
				if o != n {
					others = append(others, o)
				}
			}
			limiters[n].SetPeers(start, others)
			limiters[n].Configure(start, map[string]Limit{"o": {rate, burst}})
		}
		admitted := 0.0
		for step := range int(span * 100) {
			now := start.Add(time.Duration(step) * 10 * time.Millisecond)
			for _, n := range names {
				// Each daemon receives requests for the whole limit.
				if ok, _ := limiters[n].Take(now, "o", 10); ok {
					admitted += 10
				}
			}
			if partitioned || step%15 != 0 {
				continue
			}
			for _, n := range names {
				for _, o := range names {
					if n != o {
						limiters[o].Merge(now, n, 1, limiters[n].Uses())
					}
				}
			}
		}
		// Reports are 150 ms apart. Between two of them, each daemon can admit what its
		// bucket holds; without reports, it can do so until its peers count as silent.
		slack := burst + float64(daemons)*rate*0.15
		if partitioned {
			slack = burst + float64(daemons)*rate*defaultSilentAfter.Seconds()
		}
		if limit := rate*span + slack; admitted > limit {
			t.Fatalf("%d daemons admitted %.0f in %.0f s, want at most %.0f", daemons, admitted, span, limit)
		}
		if lowerBound := 0.9 * rate * (span - 2); admitted < lowerBound {
			t.Fatalf("%d daemons admitted %.0f in %.0f s, want at least %.0f", daemons, admitted, span, lowerBound)
		}
	})
}

// TestRestartOfPeer guards against a bucket that fills because the sums of a restarted
// peer begin at 0.
func TestRestartOfPeer(t *testing.T) {
	q := NewLimiter()
	q.Configure(start.Add(-time.Minute), map[string]Limit{"o": {PerSecond: 10, Burst: 100}})
	q.Merge(start, "peer", 1, map[string]Use{"o": {Admitted: 50_000}})
	q.Merge(start, "peer", 1, map[string]Use{"o": {Admitted: 50_060}})
	q.Merge(start, "peer", 2, map[string]Use{"o": {Admitted: 20}})
	if ok, _ := q.Take(start, "o", 21); ok {
		t.Error("admitted more than the peer has left over")
	}
	if ok, _ := q.Take(start, "o", 20); !ok {
		t.Error("refused what the peer has left over")
	}
}

// TestGone guards against refusing requests on behalf of daemons whose processes have
// ended, as after a kill of all but one, and against daemons that start with more than
// the burst in their buckets together.
func TestGone(t *testing.T) {
	q := NewLimiter()
	q.Configure(start, map[string]Limit{"o": {PerSecond: 100, Burst: 100}})
	q.SetPeers(start, []string{"p1", "p2", "p3", "p4"})
	if ok, _ := q.Take(start, "o", 100.0/6+1); ok {
		t.Error("a daemon that has just started admits more than a sixth of the burst")
	}
	for _, p := range []string{"p1", "p2", "p3", "p4"} {
		q.ProcessEnded(p)
	}
	admitted := 0
	for i := range 1000 {
		if ok, _ := q.Take(start.Add(time.Duration(i)*10*time.Millisecond), "o", 10); ok {
			admitted += 10
		}
	}
	if admitted < 900 {
		t.Errorf("admitted %d of 1000 in 10 s, while no other daemon runs", admitted)
	}
	q.Merge(start.Add(10*time.Second), "p1", 2, nil)
	if !q.peers["p1"].lastReport.After(start) || q.peers["p1"].processEnded {
		t.Error("a daemon that reports again does not count")
	}
}

// TestJoin guards against a daemon that starts, reads the list of its peers from the
// store and then charges everything that they have ever admitted.
func TestJoin(t *testing.T) {
	q := NewLimiter()
	q.Configure(start.Add(-time.Minute), map[string]Limit{"o": {PerSecond: 10, Burst: 100}})
	q.SetPeers(start, []string{"peer"})
	q.Merge(start, "peer", 7, map[string]Use{"o": {Admitted: 1e6}})
	q.Merge(start, "peer", 7, map[string]Use{"o": {Admitted: 1e6 + 30}})
	if ok, _ := q.Take(start, "o", 70); !ok {
		t.Error("refused what the peer has left over")
	}
	if ok, _ := q.Take(start, "o", 1); ok {
		t.Error("admitted more than the peer has left over")
	}
}

// TestSuspendedDaemon guards against a daemon that refuses an organisation within its quota
// after it was suspended, because what others used meanwhile is charged to a full bucket.
func TestSuspendedDaemon(t *testing.T) {
	const perSecond, burst, suspended = 1000.0, 2000.0, 6 * time.Second
	for _, first := range []string{"report", "request", "metrics"} {
		q := NewLimiter()
		q.Configure(start.Add(-time.Minute), map[string]Limit{"o": {perSecond, burst}})
		peers := []string{"a", "b", "c", "d", "e", "f", "g"}
		q.SetPeers(start, peers)
		used := 0.0
		report := func(now time.Time) {
			for _, p := range peers {
				q.Merge(now, p, 1, map[string]Use{"o": {Admitted: used}})
			}
		}
		now := start
		for ; now.Before(start.Add(3 * time.Second)); now = now.Add(100 * time.Millisecond) {
			report(now)
			used += 0.5 * perSecond / float64(len(peers)) * 0.1
		}
		now = now.Add(suspended)
		used += 0.5 * perSecond / float64(len(peers)) * suspended.Seconds()
		switch first {
		case "request":
			q.Take(now, "o", 1) // Before the reports have arrived it may be refused.
		case "metrics":
			q.State(now, "o")
		}
		report(now)
		if ok, _ := q.Take(now, "o", 100); !ok {
			t.Errorf("%s first: refused at %+v, the others use half of the limit", first, q.State(now, "o"))
		}
	}
}

// TestReportsOfPastTimes guards against charging a silent peer twice for the same time,
// because reports of others that were made earlier arrive in between.
func TestReportsOfPastTimes(t *testing.T) {
	const perSecond, burst = 1000.0, 10_000.0
	q := NewLimiter()
	q.Configure(start.Add(-time.Minute), map[string]Limit{"o": {perSecond, burst}})
	q.SetPeers(start, []string{"silent", "reporting"})
	q.Merge(start, "silent", 1, nil)
	q.Merge(start, "reporting", 1, nil)
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(100 * time.Millisecond) {
		q.Merge(now.Add(-500*time.Millisecond), "reporting", 1, nil)
		q.Take(now, "o", 1)
	}
	// The silent peer is charged a third of what the bucket gains.
	if level := q.State(start.Add(10*time.Second), "o").Level; level < burst-perSecond {
		t.Errorf("the level is %.0f of %.0f", level, burst)
	}
}

// TestRetryAfterAboveReserve guards against a refusal that invites the caller to return at
// once, while the demand is too high and the bucket is not empty.
func TestRetryAfterAboveReserve(t *testing.T) {
	q := NewLimiter()
	q.Configure(start.Add(-time.Minute), map[string]Limit{"o": {PerSecond: 1000, Burst: 10_000}})
	q.SetPeers(start, []string{"p"})
	q.Merge(start, "p", 1, nil)
	now := start.Add(500 * time.Millisecond)
	q.Merge(now, "p", 1, map[string]Use{"o": {Refused: 1e6}})
	now = now.Add(400 * time.Millisecond)
	ok, after := q.Take(now, "o", 100)
	if ok || after < 400*time.Millisecond {
		t.Errorf("admitted %v, return after %v with reports of 400 ms", ok, after)
	}
}
