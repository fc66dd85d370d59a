package bench

import "testing"

// scalingSeed is fixed, so that only a change of the code can break a bound.
const scalingSeed = 1

// Guards against a change that takes the messages or lists of a daemon over its byte budget,
// or the spread of a configuration over 3 s.
func TestSlopes(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"gossip", "spread", "lists"} {
		r, err := Run(name, scalingSeed)
		if err != nil {
			t.Fatal(err)
		}
		if name == "gossip" {
			// All sizes take 100 s with the race detector; 'bench compare' checks the larger
			// ones.
			r.Figures = append(r.Figures, usageOfSizes(scalingSeed, 6, 20).Figures...)
		}
		for _, f := range r.ViolatedBounds() {
			t.Errorf("seed %d: %s %s of %s is %.6g, want %s %.6g", scalingSeed, name, f.Name, f.Policy, f.Value, f.Side, *f.Bound)
		}
	}
}
