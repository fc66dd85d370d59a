package bench

import (
	"bytes"
	"encoding/xml"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"
)

func sampleResults(cost, share, wall, count float64) []Result {
	return []Result{{Measure: "m", Seed: 3, Figures: []Figure{
		{Name: "Cost", Policy: "plan", Value: cost, Unit: "currency", Bound: newBound(10), Side: AtMost},
		{Name: "Cost", Policy: "base", Value: 2 * cost, Unit: "currency"},
		{Name: "InTime", Policy: "plan", Value: share, Side: AtLeast},
		{Name: "Duration", Policy: "plan", Value: wall, Side: AtMost, WallClock: true},
		{Name: "Twice", Policy: "plan", Value: count, Side: AtMost},
	}}}
}

// Guards against a regression that passes, and against a failure for an improvement, a
// small change, a figure without a side or a wall-clock figure.
func TestCompare(t *testing.T) {
	old := sampleResults(8, 0.9, 1, 0)
	for _, tc := range []struct {
		name string
		new  []Result
		want []string
	}{
		{"same", sampleResults(8, 0.9, 1, 0), nil},
		{"small changes", sampleResults(8.3, 0.87, 1, 0), nil},
		{"better", sampleResults(1, 1, 1, 0), nil},
		{"slower machine", sampleResults(8, 0.9, 100, 0), nil},
		{"dearer", sampleResults(8.5, 0.9, 1, 0), []string{"Cost"}},
		{"later", sampleResults(8, 0.8, 1, 0), []string{"InTime"}},
		{"first count", sampleResults(8, 0.9, 1, 1), []string{"Twice"}},
		{"missing", []Result{{Measure: "m", Seed: 3, Figures: sampleResults(8, 0.9, 1, 0)[0].Figures[:4]}}, []string{"Twice"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			changes, err := Compare(old, tc.new)
			var got []string
			var regression *RegressionError
			if errors.As(err, &regression) {
				for _, c := range regression.Failed {
					got = append(got, c.Figure)
				}
			} else if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" || len(changes) != 5 {
				t.Errorf("%d changes, failed: %s", len(changes), diff)
			}
		})
	}
	other := sampleResults(8, 0.9, 1, 0)
	other[0].Seed = 4
	if _, err := Compare(old, other); !errors.Is(err, errors.NotValid) {
		t.Errorf("other seed: got %v, want NotValid", err)
	}
}

// Guards against a report that loses a field when written and read back, a table that lacks
// a figure and a plot that is not valid XML.
func TestReport(t *testing.T) {
	dir := t.TempDir()
	r := Report{Command: "apricotbridge bench m", Seed: 3, Results: sampleResults(8, 0.9, 1, 0)}
	path := filepath.Join(dir, "bench.json")
	if err := r.WriteFile(path); err != nil {
		t.Fatal(err)
	}
	read, err := ReadReport(path)
	if diff := cmp.Diff(r, read); err != nil || diff != "" {
		t.Errorf("read back: %v %s", err, diff)
	}
	var table bytes.Buffer
	if err := WriteTable(&table, r.Results); err != nil {
		t.Fatal(err)
	}
	if lines := strings.Split(table.String(), "\n"); len(lines) != 7 || !strings.Contains(lines[1], "AtMost 10  true") {
		t.Errorf("got table\n%s", table.String())
	}
	paths, err := Plot(filepath.Join(dir, "plots"), r.Results)
	if err != nil || len(paths) != 1 {
		t.Fatalf("got plots %v, %v", paths, err)
	}
	data, err := os.ReadFile(paths[0])
	if err != nil {
		t.Fatal(err)
	}
	decoder := xml.NewDecoder(bytes.NewReader(data))
	for err == nil {
		_, err = decoder.Token()
	}
	if !errors.Is(err, io.EOF) {
		t.Errorf("plot is not valid XML: %v", err)
	}
	for _, want := range []string{">base<", ">InTime<"} {
		if !bytes.Contains(data, []byte(want)) {
			t.Errorf("plot lacks %q", want)
		}
	}
}
