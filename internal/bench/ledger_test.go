package bench

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestLedgerMeasures guards against a ledger that leaves its write budget or
// refuses orders within it, a takeover that reads responses, and figures that
// differ for the same seed. It runs short forms of the two measures.
func TestLedgerMeasures(t *testing.T) {
	const seed = 1
	if diff := cmp.Diff(ledgerAt(seed, 10), ledgerAt(seed, 10)); diff != "" {
		t.Errorf("seed %d gives other figures the second time: %s", seed, diff)
	}
	r := ledgerAt(seed, 100)
	for _, f := range r.Broken() {
		t.Errorf("%s of %s is %.4g, bound %g", f.Name, f.Policy, f.Value, *f.Bound)
	}
	takeover, err := takeoverOf(seed, 1000)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range takeover.Broken() {
		t.Errorf("%s of %s is %.4g, bound %g", f.Name, f.Policy, f.Value, *f.Bound)
	}
}
