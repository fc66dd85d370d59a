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

// regressionBound is the share by which a bounded figure may get worse.
const regressionBound = 0.05

// SavedRun is the result file of one run.
type SavedRun struct {
	// Command repeats the run.
	Command string   `json:"Command"`
	Seed    uint64   `json:"Seed"`
	Results []Result `json:"Results"`
}

// RunAll runs the named measures; no names stand for all.
func RunAll(names []string, seed uint64, command string) (SavedRun, error) {
	if len(names) == 0 {
		for _, m := range Measures() {
			names = append(names, m.Name)
		}
	}
	run := SavedRun{Command: command, Seed: seed}
	for _, name := range names {
		r, err := Run(name, seed)
		if err != nil {
			return run, err
		}
		run.Results = append(run.Results, r)
	}
	return run, nil
}

// Check returns an error that names the figures on the wrong side of their bound.
func (s SavedRun) Check() error {
	var broken []string
	for _, r := range s.Results {
		for _, f := range r.Broken() {
			broken = append(broken, fmt.Sprintf("%s %s of %s is %.6g, not %s %.6g", r.Measure, f.Name, f.Policy, f.Value, f.Side, *f.Bound))
		}
	}
	if len(broken) > 0 {
		return errors.Errorf("bounds broken: %s", strings.Join(broken, "; "))
	}
	return nil
}

// Save writes the run as JSON.
func (s SavedRun) Save(path string) error {
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return errors.Annotate(err, "encode results")
	}
	return errors.Annotate(os.WriteFile(path, append(data, '\n'), 0o644), "write results")
}

// LoadRun reads a file that Save wrote.
func LoadRun(path string) (SavedRun, error) {
	var s SavedRun
	data, err := os.ReadFile(path)
	if err != nil {
		return s, errors.Annotate(err, "read results")
	}
	return s, errors.Annotatef(json.Unmarshal(data, &s), "decode results %q", path)
}

// Table prints the figures for readers.
func (s SavedRun) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "MEASURE\tFIGURE\tPOLICY\tVALUE\tUNIT\tBOUND\tHELD")
	for _, r := range s.Results {
		for _, f := range r.Figures {
			limit, held := "", ""
			if f.Bound != nil {
				limit, held = fmt.Sprintf("%s %.6g", f.Side, *f.Bound), fmt.Sprint(f.Held())
			}
			unit := f.Unit
			if f.WallClock {
				unit += " (wall clock)"
			}
			fmt.Fprintf(t, "%s\t%s\t%s\t%.6g\t%s\t%s\t%s\n", r.Measure, f.Name, f.Policy, f.Value, unit, limit, held)
		}
	}
	return errors.Annotate(t.Flush(), "write table")
}

// WriteRatios prints the ratio of each figure. It returns an error when a figure
// is missing, or when a figure with a bound got worse by more than the regression
// bound. Runs of different seeds have different traces and can't be compared.
func WriteRatios(w io.Writer, before, after SavedRun) error {
	if before.Seed != after.Seed {
		return errors.NotValidf("comparison of seeds %d and %d", before.Seed, after.Seed)
	}
	type key struct{ measure, figure, policy string }
	now := map[key]Figure{}
	for _, r := range after.Results {
		for _, f := range r.Figures {
			now[key{r.Measure, f.Name, f.Policy}] = f
		}
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "MEASURE\tFIGURE\tPOLICY\tOLD\tNEW\tRATIO")
	var worse []string
	for _, r := range before.Results {
		for _, old := range r.Figures {
			f, ok := now[key{r.Measure, old.Name, old.Policy}]
			name := fmt.Sprintf("%s %s of %s", r.Measure, old.Name, old.Policy)
			if !ok {
				worse = append(worse, name+" is missing")
				continue
			}
			fmt.Fprintf(t, "%s\t%s\t%s\t%.6g\t%.6g\t%.4f\n", r.Measure, f.Name, f.Policy, old.Value, f.Value, f.Value/old.Value)
			if regressed(old, f) {
				worse = append(worse, fmt.Sprintf("%s went from %.6g to %.6g", name, old.Value, f.Value))
			}
		}
	}
	if err := t.Flush(); err != nil {
		return errors.Annotate(err, "write table")
	}
	if len(worse) > 0 {
		return errors.Errorf("regression: %s", strings.Join(worse, "; "))
	}
	return nil
}

func regressed(old, now Figure) bool {
	margin := regressionBound * math.Abs(old.Value)
	switch {
	case old.Bound == nil || old.WallClock:
		return false
	case math.IsNaN(now.Value), old.Held() && !now.Held():
		return true
	case old.Side == AtLeast:
		return now.Value < old.Value-margin
	}
	return now.Value > old.Value+margin
}
