package bench

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"

	"apricotbridge/internal/placement"
)

const (
	placementSeed = 11
	// testScale is a tenth of the region that the measure runs, where whole instances
	// weigh more, so that the bounds are harder to hold.
	testScale = placementScale / 10
)

// Guards against a policy that costs more than its bounds or that lets urgent work
// wait when a data centre is lost, and against figures that differ between two runs of
// the same seed.
func TestPlacementBounds(t *testing.T) {
	t.Logf("seed %d, %d large instances", placementSeed, testScale)
	r := placementFigures(placementSeed, testScale)
	for _, f := range r.Figures {
		t.Logf("%-20s %-20s %12.4f %s", f.Name, f.Policy, f.Value, f.Unit)
		if f.Name == "UrgentInTimeInLoss" && f.Policy == "cheapest place only" && f.Value >= minUrgentInTime {
			t.Errorf("%s of %s is %.4f: losing the only place went unnoticed", f.Name, f.Policy, f.Value)
		}
	}
	if diff := cmp.Diff(r, placementFigures(placementSeed, testScale)); diff != "" {
		t.Errorf("second run: %s", diff)
	}
	for _, f := range r.Broken() {
		t.Errorf("%s of %s is %.4f, bound %.4f", f.Name, f.Policy, f.Value, *f.Bound)
	}
}

// Guards against a measure that does not notice when the urgent work is not covered
// against the loss of a place. The broken variant takes a rank without demand for the
// urgent one.
func TestPlacementBoundsBreak(t *testing.T) {
	t.Logf("seed %d, %d large instances", placementSeed, testScale)
	broken := planPolicy()
	inner := broken.plan
	broken.plan = func(now time.Time, in placement.Input) []placement.Order {
		in.Ranks = append([]placement.Rank{{Name: "None"}}, in.Ranks...)
		return inner(now, in)
	}
	trace := newDayTrace(rand.New(rand.NewPCG(placementSeed, 4)), testScale)
	d := runDay(trace, broken, placementSeed)
	if share := ratio(d.lossTime, d.lossAll); share >= minUrgentInTime {
		t.Errorf("%.4f of the urgent work is in time without cover, want less than %.2f", share, minUrgentInTime)
	}
}

// Guards against a lower bound that is not the least cost, by solving the same
// problem as a linear program.
func TestTransport(t *testing.T) {
	t.Logf("seed %d", placementSeed)
	rng := rand.New(rand.NewPCG(placementSeed, 6))
	for range 40 {
		const steps, window = 5, 2
		firm, batch := make([]float64, steps), make([]float64, steps)
		var slots []slot
		for s := range steps {
			firm[s] = float64(rng.IntN(4))
			if s < steps-window {
				batch[s] = float64(rng.IntN(6))
			}
			for range 2 {
				slots = append(slots, slot{s, float64(1 + rng.IntN(4)), 1 + rng.Float64()})
			}
			slots = append(slots, slot{s, 100, 5})
		}
		want := solve(t, firm, batch, window, slots)
		if got, _, _ := transport(firm, batch, window, slots); math.Abs(got-want) > 1e-6 {
			t.Fatalf("got cost %f, want %f", got, want)
		}
	}
}

// solve finds the least cost with the simplex method. Its variables are the work of
// each slot that is firm or from each step's batch work, and the unused work.
func solve(t *testing.T, firm, batch []float64, window int, slots []slot) float64 {
	var cost []float64
	rows, full := 2*len(firm)+len(slots), []float64{}
	full = append(append(full, firm...), batch...)
	var columns [][2]int // Rows of each variable: its demand, or -1, and its slot.
	for i, s := range slots {
		full = append(full, s.work)
		columns, cost = append(columns, [2]int{s.step, i}), append(cost, s.price)
		for from := max(0, s.step-window); from <= s.step; from++ {
			columns, cost = append(columns, [2]int{len(firm) + from, i}), append(cost, s.price)
		}
		columns, cost = append(columns, [2]int{-1, i}), append(cost, 0)
	}
	a := mat.NewDense(rows, len(columns), nil)
	for j, c := range columns {
		if c[0] >= 0 {
			a.Set(c[0], j, 1)
		}
		a.Set(2*len(firm)+c[1], j, 1)
	}
	least, _, err := lp.Simplex(cost, a, full, 1e-9, nil)
	if err != nil {
		t.Fatal(err)
	}
	return least
}
