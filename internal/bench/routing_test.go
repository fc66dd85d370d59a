package bench

import (
	"strings"
	"sync"
	"testing"
	"time"
)

// routingSeed is fixed, so that only a change of the code can break a bound.
const routingSeed = 20261204

// routingFigures runs shorter traces than the measure, once for all tests.
var routingFigures = sync.OnceValue(func() []Figure {
	figures := make([][]Figure, len(routingCases))
	var running sync.WaitGroup
	for i, c := range routingCases {
		c.length, c.warmUp = 10*time.Minute, 5*time.Minute
		if c.serverCount > 100 {
			c.length, c.warmUp = time.Minute, 30*time.Second
		}
		running.Go(func() { figures[i] = c.run(routingSeed) })
	}
	running.Wait()
	return append(figures[0], figures[1]...)
})

func checkRouting(t *testing.T, baseline string) {
	t.Parallel()
	t.Logf("seed %d", routingSeed)
	bounds := 0
	for _, f := range routingFigures() {
		t.Logf("%-36s %-14s %10.4f %s", f.Name, f.Policy, f.Value, f.Unit)
		if f.Bound == nil || !strings.HasSuffix(f.Name, baseline) {
			continue
		}
		bounds++
		if !f.MeetsBound() {
			t.Errorf("%s is %.3f, bound %.3f", f.Name, f.Value, *f.Bound)
		}
	}
	if bounds == 0 {
		t.Errorf("no bound against %s", baseline)
	}
}

// Guards the bounds on recomputed tokens and on the first token relative to least load.
func TestRoutingOverLeastLoad(t *testing.T) { checkRouting(t, "OverLeastLoad") }

// Guards the bound on recomputed tokens relative to a router with true cache and load data.
func TestRoutingOverTrueSight(t *testing.T) { checkRouting(t, "OverTrueSight") }
