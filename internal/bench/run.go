package bench

import (
	"fmt"
	"strings"

	"github.com/juju/errors"
)

// RunAll runs the named measures; no names stand for all. command is what repeats
// the run.
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

// Check returns an error that names the figures on the wrong side of their bound.
func (r Report) Check() error {
	var broken []string
	for _, result := range r.Results {
		for _, f := range result.Broken() {
			broken = append(broken, fmt.Sprintf("%s %s of %s is %.6g, not %s %.6g", result.Measure, f.Name, f.Policy, f.Value, f.Side, *f.Bound))
		}
	}
	if len(broken) > 0 {
		return errors.Errorf("bounds broken: %s", strings.Join(broken, "; "))
	}
	return nil
}
