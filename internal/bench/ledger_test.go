package bench

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestLedgerMeasures guards against a ledger that exceeds its write budget or refuses
// orders within it, a takeover that reads responses, and figures that differ between runs
// with the same seed. It runs both measures with fewer sizes.
func TestLedgerMeasures(t *testing.T) {
	t.Parallel()
	const seed = 1
	if diff := cmp.Diff(ledgerAtRates(seed, 10), ledgerAtRates(seed, 10)); diff != "" {
		t.Errorf("seed %d: figures differ between two runs: %s", seed, diff)
	}
	r := ledgerAtRates(seed, 100)
	for _, f := range r.ViolatedBounds() {
		t.Errorf("%s of %s is %.4g, bound %g", f.Name, f.Policy, f.Value, *f.Bound)
	}
	takeover, err := takeoverOfSizes(seed, 1000)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range takeover.ViolatedBounds() {
		t.Errorf("%s of %s is %.4g, bound %g", f.Name, f.Policy, f.Value, *f.Bound)
	}
}
