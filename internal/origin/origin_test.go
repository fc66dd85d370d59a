package origin

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

// TestVersionOfStreamStays guards against a stream that changes its version, and against streams remembered for ever.
func TestVersionOfStreamStays(t *testing.T) {
	s := Set{Memory: time.Minute, MostStreams: 3}
	if !s.Note(start, StreamOf("a"), "v1") || s.Note(start.Add(time.Second), StreamOf("a"), "v2") {
		t.Error("the first version does not stay")
	}
	if v, ok := s.Version(start.Add(time.Minute), StreamOf("a")); v != "v1" || !ok {
		t.Errorf("version %q, %v", v, ok)
	}
	if v, ok := s.Version(start.Add(time.Minute+1), StreamOf("a")); ok {
		t.Errorf("version %q after the time for which it is remembered", v)
	}
	for i := range 5 {
		s.Note(start.Add(time.Duration(i)*time.Second), StreamOf(fmt.Sprint("b", i)), "v1")
	}
	if got := s.ByVersion(start.Add(5 * time.Second)); len(got) != 1 || len(got["v1"]) != 3 || len(s.streams) != 3 {
		t.Errorf("remembered %v, want three streams", got)
	}
	if _, ok := s.Version(start.Add(5*time.Second), StreamOf("b4")); !ok {
		t.Error("the latest stream was forgotten")
	}
}

// TestVersionIsRememberedAfterItsLastServer guards against taking the present version for the only one when another has just left.
func TestVersionIsRememberedAfterItsLastServer(t *testing.T) {
	v := Versions{Memory: time.Minute}
	v.Note(start, "model", "v1")
	v.Note(start.Add(10*time.Second), "model", "v2")
	v.Note(start.Add(70*time.Second), "model", "v2")
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{10 * time.Second, 2}, {time.Minute, 2}, {61 * time.Second, 1}} {
		if got := v.Of(start.Add(c.after), "model"); len(got) != c.want {
			t.Errorf("%v after the start: versions %v, want %d", c.after, got, c.want)
		}
	}
	if got := v.Of(start, "plain"); len(got) != 0 {
		t.Errorf("versions %v of an unknown service", got)
	}
}
