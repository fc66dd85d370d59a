package bench

import (
	"fmt"
	"strings"

	"github.com/juju/errors"
)

// RunAll runs the named measures, or all of them without names. command is the command line
// that repeats the run.
func RunAll(names []string, seed uint64, command string) (Report, error) {
	if len(names) == 0 {
		for _, m := range Measures() {
			names = append(names, m.Name)
		}
	}
	report := Report{Command: command, Seed: seed}
	for _, name := range names {
		r, err := Run(name, seed)
		if err != nil {
			return report, err
		}
		report.Results = append(report.Results, r)
	}
	return report, nil
}

// Check returns an error that lists the figures that violate their bounds.
func (r Report) Check() error {
	var violated []string
	for _, result := range r.Results {
		for _, f := range result.ViolatedBounds() {
			violated = append(violated, fmt.Sprintf("%s %s of %s is %.6g, want %s %.6g", result.Measure, f.Name, f.Policy, f.Value, f.Side, *f.Bound))
		}
	}
	if len(violated) > 0 {
		return errors.Errorf("bounds violated: %s", strings.Join(violated, "; "))
	}
	return nil
}
