package gateway

import (
	"testing"
	"time"

	"apricotbridge/internal/routing"
)

// TestDemandCountsRereadTokens guards against demand that assumes shared prefixes to be
// cached although the servers that cached them were reclaimed. In a load test with
// reclaims, prefilling them again was two fifths of all prefill, while servers were
// ordered for one tenth.
func TestDemandCountsRereadTokens(t *testing.T) {
	const shared, own, perSecond = 10_000, 2_000, 20
	call := &Call{
		PromptTokens: shared + own, Parts: []routing.Part{{Prefix: 1, Tokens: shared}, {Prefix: 2, Tokens: shared + own}},
	}
	measure := func(cached float64) float64 {
		d := newDemandTracker()
		now := time.Unix(1_700_000_000, 0)
		for range 60 {
			for range perSecond {
				d.addRequest(now, "m", call)
				d.addSentPrompt("m", call, cached)
			}
			now = now.Add(demandInterval)
			d.ownDemands(now)
		}
		sum := d.total(now, "m")
		return sum.PromptTokens + sum.RereadTokens
	}
	within := func(got, want float64) bool { return got > 0.95*want && got < 1.05*want }
	const baseRate = (own + baseRereadShare*shared) * perSecond
	if got := measure(shared); !within(got, baseRate) {
		t.Errorf("%.0f tokens a second while all shared prefixes are cached, want %.0f", got, baseRate)
	}
	if got := measure(0); !within(got, (own+shared)*perSecond) {
		t.Errorf("%.0f tokens a second while no shared prefix is cached, want %d", got, (own+shared)*perSecond)
	}
}
