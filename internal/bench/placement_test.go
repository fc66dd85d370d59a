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
	// testInstances is a tenth of the measure's scale, where single instances weigh more, so
	// that the bounds are harder to meet.
	testInstances = peakInstances / 10
)

// Guards against a policy that exceeds its cost bounds or lets urgent work wait when a data
// centre is lost, and against figures that differ between runs with the same seed.
func TestPlacementBounds(t *testing.T) {
	t.Parallel()
	t.Logf("seed %d, %d large instances", placementSeed, testInstances)
	r := placementFigures(placementSeed, testInstances)
	for _, f := range r.Figures {
		t.Logf("%-20s %-20s %12.4f %s", f.Name, f.Policy, f.Value, f.Unit)
		if f.Name == "UrgentInTimeInLoss" && f.Policy == "cheapest place only" && f.Value >= minInTime {
			t.Errorf("%s of %s is %.4f: the loss of the only place was not detected", f.Name, f.Policy, f.Value)
		}
	}
	if diff := cmp.Diff(r, placementFigures(placementSeed, testInstances)); diff != "" {
		t.Errorf("second run: %s", diff)
	}
	for _, f := range r.ViolatedBounds() {
		t.Errorf("%s of %s is %.4f, bound %.4f", f.Name, f.Policy, f.Value, *f.Bound)
	}
}

// Guards against a measure that does not detect a policy without spare capacity for the loss
// of a place. The broken policy gets a rank without demand as the most urgent one.
func TestPlacementBoundsBreak(t *testing.T) {
	t.Parallel()
	t.Logf("seed %d, %d large instances", placementSeed, testInstances)
	broken := planPolicy()
	inner := broken.plan
	broken.plan = func(now time.Time, in placement.Input) []placement.Order {
		in.Ranks = append([]placement.Rank{{Name: "None"}}, in.Ranks...)
		return inner(now, in)
	}
	trace := newDayTrace(rand.New(rand.NewPCG(placementSeed, 4)), testInstances)
	d := runDay(trace, broken, placementSeed)
	if share := ratio(d.lossInTime, d.lossOffered); share >= minInTime {
		t.Errorf("%.4f of the urgent work is in time without cover, want less than %.2f", share, minInTime)
	}
}

// Guards against a transport result that is not the least cost, by solving the same problem
// as a linear program.
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

// solve computes the least cost with the simplex method. The variables are, for each slot,
// its firm work, its work from each batch step within the window, and its unused work.
func solve(t *testing.T, firm, batch []float64, window int, slots []slot) float64 {
	var cost []float64
	rows, limits := 2*len(firm)+len(slots), []float64{}
	limits = append(append(limits, firm...), batch...)
	var columns [][2]int // Rows of each variable: its demand, or -1, and its slot.
	for i, s := range slots {
		limits = append(limits, s.work)
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
	least, _, err := lp.Simplex(cost, a, limits, 1e-9, nil)
	if err != nil {
		t.Fatal(err)
	}
	return least
}
