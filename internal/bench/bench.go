// Package bench runs deterministic benchmarks: it drives the decision packages with a
// seeded trace on simulated time and runs baselines on the same trace. Most figures are
// counts or simulated times, which are the same in each run with the same seed. Figures
// from the wall clock or the processor clock are marked with WallClock.
package bench

import (
	"slices"
	"sort"

	"github.com/juju/errors"
)

// Side is the side of its bound on which a figure must stay.
type Side string

// Sides of a bound.
const (
	AtMost  Side = "AtMost"
	AtLeast Side = "AtLeast"
)

// Figure is one value of a measure.
type Figure struct {
	// Name is unique within its measure, for example "UrgentWithinTarget".
	Name string `json:"Name"`
	// Policy is the policy, baseline or size that the value belongs to.
	Policy string  `json:"Policy"`
	Value  float64 `json:"Value"`
	// Unit is the unit in tables and plots, for example "s" or "tokens"; a ratio has none.
	Unit string `json:"Unit,omitempty"`
	// Bound is derived from a design target; nil means that there is none.
	Bound *float64 `json:"Bound,omitempty"`
	Side  Side     `json:"Side,omitempty"`
	// WallClock marks a value that differs from run to run.
	WallClock bool `json:"WallClock,omitempty"`
}

// MeetsBound reports whether the figure is on the right side of its bound or has none.
func (f Figure) MeetsBound() bool {
	switch {
	case f.Bound == nil:
		return true
	case f.Side == AtLeast:
		return f.Value >= *f.Bound
	default:
		return f.Value <= *f.Bound
	}
}

// Result holds the figures of one measure.
type Result struct {
	Measure string   `json:"Measure"`
	Seed    uint64   `json:"Seed"`
	Figures []Figure `json:"Figures"`
}

// ViolatedBounds returns the figures that are on the wrong side of their bound.
func (r Result) ViolatedBounds() []Figure {
	var violated []Figure
	for _, f := range r.Figures {
		if !f.MeetsBound() {
			violated = append(violated, f)
		}
	}
	return violated
}

// Measure is one benchmark.
type Measure struct {
	Name  string
	Short string
	Run   func(seed uint64) (Result, error)
}

// Measures returns all measures, sorted by name.
func Measures() []Measure {
	all := unsortedMeasures()
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Run runs the measure with the given name.
func Run(name string, seed uint64) (Result, error) {
	all := unsortedMeasures()
	i := slices.IndexFunc(all, func(m Measure) bool { return m.Name == name })
	if i < 0 {
		return Result{}, errors.NotFoundf("measure %q", name)
	}
	m := all[i]
	r, err := m.Run(seed)
	if err != nil {
		return r, errors.Annotatef(err, "measure %s with seed %d", name, seed)
	}
	r.Measure, r.Seed = name, seed
	return r, nil
}

// newBound returns a pointer to v for Figure.Bound.
func newBound(v float64) *float64 { return &v }
