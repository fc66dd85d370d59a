package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// TestTake guards against a bucket that does not refill, overflows its burst or tells
// a caller to come back too early.
func TestTake(t *testing.T) {
	b := NewBook()
	b.Configure(start.Add(-time.Minute), map[string]Limit{"o": {PerSecond: 100, Burst: 50}})
	if ok, _ := b.Take(start, "o", 50); !ok {
		t.Fatal("the burst was refused")
	}
	ok, after := b.Take(start, "o", 10)
	if ok || after != 100*time.Millisecond {
		t.Errorf("an empty bucket gave %v and %v", ok, after)
	}
	if ok, _ := b.Take(start.Add(after), "o", 10); !ok {
		t.Error("refused after the time that was told")
	}
	if ok, _ := b.Take(start.Add(time.Hour), "o", 51); !ok {
		t.Error("a request above the burst was refused with a full bucket")
	}
	if ok, _ := b.Take(start, "unlimited", 1e9); !ok {
		t.Error("an organisation without a limit was refused")
	}
}

// TestReturn guards against charging requests that did not run.
func TestReturn(t *testing.T) {
	b := NewBook()
	b.Configure(start.Add(-time.Minute), map[string]Limit{"o": {PerSecond: 1, Burst: 10}})
	b.Take(start, "o", 10)
	b.Return("o", 10)
	if ok, _ := b.Take(start, "o", 10); !ok || b.Used()["o"] != 10 {
		t.Errorf("after a return: %v, used %v", ok, b.Used())
	}
}

// TestLowerLimit guards against a burst that stays after the limit fell.
func TestLowerLimit(t *testing.T) {
	b := NewBook()
	b.Configure(start.Add(-time.Minute), map[string]Limit{"o": {PerSecond: 1000, Burst: 1000}})
	b.Configure(start, map[string]Limit{"o": {PerSecond: 10, Burst: 10}})
	admitted := 0
	for range 100 {
		if ok, _ := b.Take(start, "o", 1); ok {
			admitted++
		}
	}
	if admitted != 10 {
		t.Errorf("admitted %d at once under a burst of 10", admitted)
	}
}

// TestTogether guards against daemons that exceed a limit together, whether they hear
// each other, hear each other late, or not at all.
func TestTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := rapid.IntRange(2, 8).Draw(t, "daemons")
		apart := rapid.Bool().Draw(t, "apart")
		const rate, burst, span = 1000.0, 1000.0, 20.0
		names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}[:daemons]
		books := map[string]*Book{}
		for _, n := range names {
			books[n] = NewBook()
			var others []string
			for _, o := range names {
				if o != n {
					others = append(others, o)
				}
			}
			books[n].Peers(start, others)
			books[n].Configure(start, map[string]Limit{"o": {rate, burst}})
		}
		admitted := 0.0
		for step := range int(span * 100) {
			now := start.Add(time.Duration(step) * 10 * time.Millisecond)
			for _, n := range names {
				// Each daemon is asked for the whole limit.
				if ok, _ := books[n].Take(now, "o", 10); ok {
					admitted += 10
				}
			}
			if apart || step%15 != 0 {
				continue
			}
			for _, n := range names {
				for _, o := range names {
					if n != o {
						books[o].Merge(now, n, 1, books[n].Used())
					}
				}
			}
		}
		// Reports are 150 ms apart, in which each daemon can admit what its bucket holds,
		// and a daemon that hears nobody does so for the time of silence.
		slack := burst + float64(daemons)*rate*0.15
		if apart {
			slack = burst + float64(daemons)*rate*defaultSilence.Seconds()
		}
		if most := rate*span + slack; admitted > most {
			t.Fatalf("%d daemons admitted %.0f in %.0f s, want at most %.0f", daemons, admitted, span, most)
		}
		if least := 0.9 * rate * (span - 2); admitted < least {
			t.Fatalf("%d daemons admitted %.0f in %.0f s, want at least %.0f", daemons, admitted, span, least)
		}
	})
}

// TestRestartOfPeer guards against a bucket that fills because the sums of a peer
// begin anew.
func TestRestartOfPeer(t *testing.T) {
	b := NewBook()
	b.Configure(start.Add(-time.Minute), map[string]Limit{"o": {PerSecond: 10, Burst: 100}})
	b.Merge(start, "peer", 1, map[string]float64{"o": 50_000})
	b.Merge(start, "peer", 1, map[string]float64{"o": 50_060})
	b.Merge(start, "peer", 2, map[string]float64{"o": 20})
	if ok, _ := b.Take(start, "o", 21); ok {
		t.Error("admitted more than the peer left")
	}
	if ok, _ := b.Take(start, "o", 20); !ok {
		t.Error("refused what the peer left")
	}
}

// TestGone guards against holding back callers for daemons whose processes have
// ended, as after a kill of all but one, and against starts that together hold more
// than the burst.
func TestGone(t *testing.T) {
	b := NewBook()
	b.Configure(start, map[string]Limit{"o": {PerSecond: 100, Burst: 100}})
	b.Peers(start, []string{"p1", "p2", "p3", "p4"})
	if ok, _ := b.Take(start, "o", 100.0/6+1); ok {
		t.Error("a daemon that has just started admits more than a sixth of the burst")
	}
	for _, p := range []string{"p1", "p2", "p3", "p4"} {
		b.Gone(p)
	}
	admitted := 0
	for i := range 1000 {
		if ok, _ := b.Take(start.Add(time.Duration(i)*10*time.Millisecond), "o", 10); ok {
			admitted += 10
		}
	}
	if admitted < 900 {
		t.Errorf("admitted %d of 1000 in 10 s, while no other daemon runs", admitted)
	}
	b.Merge(start.Add(10*time.Second), "p1", 2, nil)
	if !b.peers["p1"].heard.After(start) || b.peers["p1"].gone {
		t.Error("a daemon that is heard again does not count")
	}
}

// TestJoin guards against a daemon that starts, learns of its peers from the store
// and then takes all that they have ever admitted from its buckets.
func TestJoin(t *testing.T) {
	b := NewBook()
	b.Configure(start.Add(-time.Minute), map[string]Limit{"o": {PerSecond: 10, Burst: 100}})
	b.Peers(start, []string{"peer"})
	b.Merge(start, "peer", 7, map[string]float64{"o": 1e6})
	b.Merge(start, "peer", 7, map[string]float64{"o": 1e6 + 30})
	if ok, _ := b.Take(start, "o", 70); !ok {
		t.Error("refused what the peer left")
	}
	if ok, _ := b.Take(start, "o", 1); ok {
		t.Error("admitted more than the peer left")
	}
}
