package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"
)

// Report holds the results of one run of benchmarks.
type Report struct {
	// Command is the command line that repeats the run.
	Command string   `json:"Command"`
	Seed    uint64   `json:"Seed"`
	Results []Result `json:"Results"`
}

// WriteFile writes the report as JSON.
func (r Report) WriteFile(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Annotate(err, "encode report")
	}
	return errors.Annotate(os.WriteFile(path, append(data, '\n'), 0o644), "write report")
}

// ReadReport reads a report written by WriteFile.
func ReadReport(path string) (Report, error) {
	var r Report
	data, err := os.ReadFile(path)
	if err != nil {
		return r, errors.Annotate(err, "read report")
	}
	return r, errors.Annotatef(json.Unmarshal(data, &r), "decode report %q", path)
}

// WriteTable writes the results as a text table.
func WriteTable(w io.Writer, results []Result) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "MEASURE\tSEED\tFIGURE\tPOLICY\tVALUE\tUNIT\tBOUND\tHELD")
	for _, r := range results {
		for _, f := range r.Figures {
			boundText, met := "", ""
			if f.Bound != nil {
				boundText = fmt.Sprintf("%s %.6g", f.Side, *f.Bound)
				met = fmt.Sprint(f.MeetsBound())
			}
			fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%.6g\t%s\t%s\t%s\n", r.Measure, r.Seed, f.Name, f.Policy, f.Value, f.Unit, boundText, met)
		}
	}
	return errors.Annotate(table.Flush(), "write table")
}

// MaxRegression is the share by which a figure may get worse before Compare fails.
const MaxRegression = 0.05

// Change is the change of one figure between two runs.
type Change struct {
	Measure, Figure, Policy string
	Old, New                float64
	// Ratio is New divided by Old. If Old is 0, it is 1 plus New, so that a count that
	// rises from 0 fails.
	Ratio float64
	// Failed is set when the figure got worse by more than the allowed share or is
	// missing in the new run.
	Failed bool
	Reason string
}

// RegressionError lists the figures that got worse or are missing.
type RegressionError struct {
	Failed []Change
}

// Error lists the figures.
func (e *RegressionError) Error() string {
	failures := make([]string, 0, len(e.Failed))
	for _, c := range e.Failed {
		failures = append(failures, fmt.Sprintf("%s %s of %s: %s", c.Measure, c.Figure, c.Policy, c.Reason))
	}
	return "regression: " + strings.Join(failures, "; ")
}

// Compare returns the change of each figure of the old run, and a *RegressionError if one
// is missing or got worse by more than MaxRegression.
func Compare(old, new []Result) ([]Change, error) { return CompareWithin(old, new, MaxRegression) }

// CompareWithin is Compare with another allowed share. Figures without a side and wall-clock
// figures fail only when missing. Runs with different seeds can't be compared.
func CompareWithin(old, new []Result, allowed float64) ([]Change, error) {
	type key struct{ measure, figure, policy string }
	newFigures := map[key]Figure{}
	newSeeds := map[string]uint64{}
	for _, r := range new {
		newSeeds[r.Measure] = r.Seed
		for _, f := range r.Figures {
			newFigures[key{r.Measure, f.Name, f.Policy}] = f
		}
	}
	var changes, failed []Change
	for _, r := range old {
		if seed, ok := newSeeds[r.Measure]; ok && seed != r.Seed {
			return nil, errors.NotValidf("comparison of measure %s with seeds %d and %d", r.Measure, r.Seed, seed)
		}
		for _, f := range r.Figures {
			c := Change{Measure: r.Measure, Figure: f.Name, Policy: f.Policy, Old: f.Value}
			if current, ok := newFigures[key{r.Measure, f.Name, f.Policy}]; ok {
				c.compare(f, current, allowed)
			} else {
				c.Failed, c.Reason = true, "missing in the new run"
			}
			changes = append(changes, c)
			if c.Failed {
				failed = append(failed, c)
			}
		}
	}
	if len(failed) > 0 {
		return changes, &RegressionError{Failed: failed}
	}
	return changes, nil
}

func (c *Change) compare(old, current Figure, allowed float64) {
	c.New = current.Value
	c.Ratio = 1 + current.Value - old.Value
	if old.Value != 0 {
		c.Ratio = current.Value / old.Value
	}
	if current.WallClock || old.WallClock {
		return
	}
	regression := c.Ratio - 1
	switch {
	case math.IsNaN(current.Value):
		c.Failed, c.Reason = true, "not a number"
		return
	case current.Side == AtLeast:
		regression = -regression
	case current.Side != AtMost:
		return
	}
	if regression > allowed {
		c.Failed, c.Reason = true, fmt.Sprintf("%.6g became %.6g", old.Value, current.Value)
	}
}

// WriteChanges writes the changes as a text table.
func WriteChanges(w io.Writer, changes []Change) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "MEASURE\tFIGURE\tPOLICY\tOLD\tNEW\tRATIO\tFAILED")
	for _, c := range changes {
		fmt.Fprintf(table, "%s\t%s\t%s\t%.6g\t%.6g\t%.4f\t%s\n", c.Measure, c.Figure, c.Policy, c.Old, c.New, c.Ratio, c.Reason)
	}
	return errors.Annotate(table.Flush(), "write table")
}
