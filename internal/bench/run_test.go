package bench

import (
	"path/filepath"
	"testing"
)

// Guards against a comparison that passes a worse figure, one over its bound, a missing one
// or another seed, or that fails a figure without a side.
func TestCompareReports(t *testing.T) {
	run := func(seed uint64, name string, value float64, limit *float64) Report {
		f := Figure{Name: name, Policy: "p", Value: value, Bound: limit}
		if limit != nil {
			f.Side = AtMost
		}
		return Report{Seed: seed, Results: []Result{{Measure: "m", Seed: seed, Figures: []Figure{f}}}}
	}
	limit := newBound(20)
	for _, c := range []struct {
		name          string
		before, after Report
		pass          bool
	}{
		{"equal", run(1, "f", 10, limit), run(1, "f", 10, limit), true},
		{"within the regression bound", run(1, "f", 10, limit), run(1, "f", 10.4, limit), true},
		{"worse", run(1, "f", 10, limit), run(1, "f", 10.6, limit), false},
		{"over its bound", run(1, "f", 20, limit), run(1, "f", 20.5, limit), false},
		{"without a bound", run(1, "f", 10, nil), run(1, "f", 30, nil), true},
		{"missing", run(1, "f", 10, limit), run(1, "g", 10, limit), false},
		{"other seed", run(1, "f", 10, limit), run(2, "f", 10, limit), false},
	} {
		path := filepath.Join(t.TempDir(), "results.json")
		if err := c.before.WriteFile(path); err != nil {
			t.Fatal(err)
		}
		before, err := ReadReport(path)
		if err != nil {
			t.Fatal(err)
		}
		_, err = Compare(before.Results, c.after.Results)
		if err == nil {
			err = c.after.Check()
		}
		if (err == nil) != c.pass {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}
