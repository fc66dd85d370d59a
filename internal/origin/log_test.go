package origin

import (
	"slices"
	"testing"
	"time"
)

func at(d time.Duration) time.Time { return start.Add(d) }

// TestLogTakesEachStreamOnceAndKeepsAll guards against sending streams twice to linked peers, and none to one that is linked later.
func TestLogTakesEachStreamOnceAndKeepsAll(t *testing.T) {
	l := Log{Memory: 10 * time.Second, MostStreams: 3}
	l.Add(at(0), 1)
	l.Add(at(time.Second), 2)
	if got := l.Take(at(time.Second)); !slices.Equal(got, []Stream{1, 2}) {
		t.Errorf("first took %v", got)
	}
	l.Add(at(2*time.Second), 3)
	if got := l.Take(at(2 * time.Second)); !slices.Equal(got, []Stream{3}) {
		t.Errorf("then took %v", got)
	}
	if got := l.Take(at(2 * time.Second)); len(got) > 0 {
		t.Errorf("took %v again", got)
	}
	if got := l.All(at(2 * time.Second)); !slices.Equal(got, []Stream{1, 2, 3}) {
		t.Errorf("all are %v", got)
	}
}

// TestLogIsBounded guards against memory that grows while no peer is linked, and against losing what was not taken with what was dropped.
func TestLogIsBounded(t *testing.T) {
	l := Log{Memory: 10 * time.Second, MostStreams: 3}
	for i := range 5 {
		l.Add(at(time.Duration(i)*time.Second), Stream(i))
	}
	if got := l.Take(at(4 * time.Second)); !slices.Equal(got, []Stream{2, 3, 4}) {
		t.Errorf("took %v of five, want the latest three", got)
	}
	l.Add(at(13*time.Second), 5)
	if got := l.All(at(13 * time.Second)); !slices.Equal(got, []Stream{3, 4, 5}) {
		t.Errorf("all are %v after 13 s", got)
	}
	if got := l.Take(at(13 * time.Second)); !slices.Equal(got, []Stream{5}) {
		t.Errorf("took %v after older ones were dropped, want 5", got)
	}
	if got := l.All(at(time.Minute)); len(got) > 0 {
		t.Errorf("all are %v after a minute", got)
	}
}
