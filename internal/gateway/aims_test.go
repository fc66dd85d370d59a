package gateway

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"apricotbridge/internal/dispatch"
	"apricotbridge/internal/route"
	"apricotbridge/internal/routing"
)

// Guards against streams that are counted under a wrong aim, by which operators would judge the wrong part.
func TestStreamsAreCountedByTheAimTheyMissed(t *testing.T) {
	r := &route.Route{TargetLatency: time.Second, TargetEventGap: 300 * time.Millisecond}
	received := time.Unix(1_700_000_000, 0)
	var got []string
	for _, events := range [][]time.Duration{
		{900 * time.Millisecond, 1200 * time.Millisecond},
		{1100 * time.Millisecond, 1500 * time.Millisecond},
		{100 * time.Millisecond, 500 * time.Millisecond, 600 * time.Millisecond},
	} {
		var a answerTimes
		for _, at := range events {
			a.wrote(received.Add(at))
		}
		got = append(got, a.result(r, received))
	}
	if diff := cmp.Diff([]string{aimMet, aimFirstLate, aimGapLong}, got); diff != "" {
		t.Error(diff)
	}
	var a answerTimes
	grant := dispatch.Grant{
		Server:   routing.Server{PrefillTokensPerSecond: 50_000},
		Decision: routing.Decision{Terms: routing.Terms{Wait: 0.2}, CachedTokens: 10_000},
	}
	a.sent(received, &grant, 15_000)
	if want := received.Add(300 * time.Millisecond); !a.predictedAt.Equal(want) {
		t.Errorf("first event predicted for %v, want %v", a.predictedAt, want)
	}
}
