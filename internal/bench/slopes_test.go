package bench

import "testing"

// slopesSeed is fixed, so that a broken bound comes from a change.
const slopesSeed = 1

// Guards against a change that takes the messages or lists of a daemon over its budget, or
// the spread of a configuration over 3 s.
func TestSlopes(t *testing.T) {
	for _, name := range []string{"gossip", "spread", "lists"} {
		r, err := Run(name, slopesSeed)
		if err != nil {
			t.Fatal(err)
		}
		if name == "gossip" {
			// The race detector takes 100 s for all sizes of usage; 'bench compare' holds
			// the larger ones.
			r.Figures = append(r.Figures, usageAt(slopesSeed, 6, 20).Figures...)
		}
		for _, f := range r.Broken() {
			t.Errorf("seed %d: %s %s of %s is %.6g, not %s %.6g", slopesSeed, name, f.Name, f.Policy, f.Value, f.Side, *f.Bound)
		}
	}
}
