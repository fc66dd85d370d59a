package gateway

import (
	"fmt"
	"testing"
	"time"

	"apricotbridge/internal/quota"
)

// TestQuotaOfPlacesWhoseRegistrationsLapsed guards against giving the part of daemons away that still admit requests, because they have no entry in the store.
func TestQuotaOfPlacesWhoseRegistrationsLapsed(t *testing.T) {
	for _, c := range []struct{ daemons, cut int }{{24, 1}, {24, 2}, {24, 3}, {6, 1}, {6, 3}} {
		t.Run(fmt.Sprintf("%d daemons, %d of %d places", c.daemons, c.cut, quotaPlaces), func(t *testing.T) {
			t.Parallel()
			const perSecond = 600_000.0
			f := newQuotaFleet(1, c.daemons, quota.Limit{PerSecond: perSecond, Burst: 2 * perSecond})
			start := time.Unix(1_700_000_000, 0)
			f.startAll(start.Add(-10 * time.Second))
			f.run(start.Add(-10*time.Second), 10*time.Second, 17_000, func(time.Duration) float64 { return 0 })
			f.exactAdmitted, f.admitted = nil, nil
			cutAt := start.Add(6 * time.Second)
			f.reachable = func(now time.Time, from, to int) bool {
				return now.Before(cutAt) || (from < c.cut) == (to < c.cut)
			}
			demand := func(time.Duration) float64 { return 5 * perSecond }
			f.run(start, 6*time.Second+registrationLease, 17_000, demand)
			var listed []*quotaDaemon
			for _, d := range f.daemons {
				if d.place >= c.cut {
					listed = append(listed, d)
				}
			}
			lapsedAt := cutAt.Add(registrationLease)
			for _, d := range listed {
				var others []string
				for _, o := range listed {
					if o != d {
						others = append(others, o.id)
					}
				}
				d.limiter.SetPeers(lapsedAt, others)
			}
			f.run(lapsedAt, 13*time.Second, 17_000, demand)
			allowed := (perSecond*quotaWindow.Seconds()+2*perSecond)*(1+quotaOverrun) + quotaSlack
			worst, at := f.worstWindow()
			t.Logf("%.0f tokens in the worst window, from %v; %.0f allowed", worst, at, allowed)
			if worst > allowed {
				t.Errorf("%.0f tokens admitted in %v, %.0f allowed", worst, quotaWindow, allowed)
			}
		})
	}
}
