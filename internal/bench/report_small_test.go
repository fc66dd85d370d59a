package bench

import (
	"io"
	"path/filepath"
	"testing"
)

// Guards against a comparison that passes a worse figure, a missing one or another
// seed, or that fails a figure without a bound.
func TestWriteRatios(t *testing.T) {
	run := func(seed uint64, name string, value float64, limit *float64) SavedRun {
		return SavedRun{Seed: seed, Results: []Result{{Measure: "m", Figures: []Figure{{Name: name, Policy: "p", Value: value, Bound: limit, Side: AtMost}}}}}
	}
	limit := bound(20)
	for _, c := range []struct {
		name          string
		before, after SavedRun
		pass          bool
	}{
		{"equal", run(1, "f", 10, limit), run(1, "f", 10, limit), true},
		{"within the regression bound", run(1, "f", 10, limit), run(1, "f", 10.4, limit), true},
		{"worse", run(1, "f", 10, limit), run(1, "f", 10.6, limit), false},
		{"over its bound", run(1, "f", 20, limit), run(1, "f", 20.5, limit), false},
		{"over its bound before", run(1, "f", 30, limit), run(1, "f", 30.5, limit), true},
		{"over its bound before and worse", run(1, "f", 30, limit), run(1, "f", 32, limit), false},
		{"without a bound", run(1, "f", 10, nil), run(1, "f", 30, nil), true},
		{"missing", run(1, "f", 10, limit), run(1, "g", 10, limit), false},
		{"other seed", run(1, "f", 10, limit), run(2, "f", 10, limit), false},
	} {
		path := filepath.Join(t.TempDir(), "results.json")
		if err := c.before.Save(path); err != nil {
			t.Fatal(err)
		}
		loaded, err := LoadRun(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := WriteRatios(io.Discard, loaded, c.after); (err == nil) != c.pass {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

// Guards against a run that passes with a broken bound.
func TestCheckNamesBrokenBound(t *testing.T) {
	s := SavedRun{Results: []Result{{Figures: []Figure{{Value: 2, Bound: bound(1), Side: AtMost}}}}}
	if s.Check() == nil {
		t.Error("a figure over its bound passed")
	}
}
