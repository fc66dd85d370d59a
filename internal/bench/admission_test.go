package bench

import "testing"

// admissionSeed is fixed, so that only a change of the code can break a bound.
const admissionSeed = 20261204

// TestAdmissionBounds guards against a change of the queue that breaks a latency or
// fairness bound of the design.
func TestAdmissionBounds(t *testing.T) {
	t.Parallel()
	res, err := Run("admission", admissionSeed)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d", res.Seed)
	for _, f := range res.Figures {
		t.Logf("%-40s %-24s %.4f %s", f.Name, f.Policy, f.Value, f.Unit)
	}
	for _, f := range res.ViolatedBounds() {
		t.Errorf("%s of %s is %.4f, want %s %.4f", f.Name, f.Policy, f.Value, f.Side, *f.Bound)
	}
}
