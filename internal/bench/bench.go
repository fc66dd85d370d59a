// Package bench runs deterministic benchmarks: the decision packages driven by a
// seeded trace on simulated time, beside baselines in the same run. Every figure
// is a count or a simulated time, so that a run repeats exactly for its seed;
// the few figures taken from the wall clock say so and have no bound.
package bench

import (
	"slices"
	"sort"

	"github.com/juju/errors"
)

// Side says on which side of its bound a figure must stay.
type Side string

// Sides of a bound.
const (
	AtMost  Side = "AtMost"
	AtLeast Side = "AtLeast"
)

// Figure is one measured value.
type Figure struct {
	// Name is unique within its measure, for example "UrgentWithinTarget".
	Name string `json:"Name"`
	// Policy names the policy or baseline that the value belongs to.
	Policy string  `json:"Policy"`
	Value  float64 `json:"Value"`
	// Unit is the unit for readers, for example "s" or "tokens"; a ratio has none.
	Unit string `json:"Unit,omitempty"`
	// Bound comes from the stated target; nil means none.
	Bound *float64 `json:"Bound,omitempty"`
	Side  Side     `json:"Side,omitempty"`
	// WallClock marks a value that differs from run to run.
	WallClock bool `json:"WallClock,omitempty"`
}

// Held reports whether the figure is on the right side of its bound.
func (f Figure) Held() bool {
	switch {
	case f.Bound == nil:
		return true
	case f.Side == AtLeast:
		return f.Value >= *f.Bound
	default:
		return f.Value <= *f.Bound
	}
}

// Result is what one measure printed.
type Result struct {
	Measure string   `json:"Measure"`
	Seed    uint64   `json:"Seed"`
	Figures []Figure `json:"Figures"`
}

// Broken returns the figures that are on the wrong side of their bound.
func (r Result) Broken() []Figure {
	var broken []Figure
	for _, f := range r.Figures {
		if !f.Held() {
			broken = append(broken, f)
		}
	}
	return broken
}

// Measure is one benchmark.
type Measure struct {
	Name  string
	Short string
	Run   func(seed uint64) (Result, error)
}

// Measures returns all measures by name.
func Measures() []Measure {
	all := measures()
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Run runs the named measure.
func Run(name string, seed uint64) (Result, error) {
	all := measures()
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

// bound is a helper for figures with a bound.
func bound(v float64) *float64 { return &v }
