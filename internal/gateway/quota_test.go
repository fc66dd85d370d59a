package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"apricotbridge/internal/quota"
)

// quotaFleet simulates the limiters of daemons in several places that report their use to
// each other, as the topology of their number does. It has one organisation.
type quotaFleet struct {
	byPlace bool
	rand    *rand.Rand
	limit   quota.Limit
	daemons []*quotaDaemon
	// farDelay is the age of another place's use when it arrives.
	farDelay time.Duration
	// reachable reports whether reports of one place arrive at another one.
	reachable func(now time.Time, from, to int) bool
	// exact is a limiter that all requests go through.
	exact *quota.Limiter
	// exactAdmitted and admitted hold the tokens that exact and the daemons admit in each
	// step.
	exactAdmitted, admitted []float64
}

type quotaDaemon struct {
	id      string
	place   int
	limiter *quota.Limiter
	start   time.Time
	// linkedAt is when the daemon's links are up.
	linkedAt time.Time
	// reports holds what the daemon reported, one in each statusInterval.
	reports []quotaReport
}

type quotaReport struct {
	at    time.Time
	start time.Time
	uses  map[string]quota.Use
}

const (
	quotaPlaces  = 6
	quotaStep    = 5 * time.Millisecond
	quotaWindow  = 8 * time.Second
	quotaOverrun = 0.1
	quotaSlack   = 190_000
	// quotaListDelay and quotaLinkDelay are the times from a daemon's start until it has
	// the list of daemons and until its links are up.
	quotaListDelay = 300 * time.Millisecond
	quotaLinkDelay = time.Second
)

func newQuotaFleet(seed uint64, daemons int, limit quota.Limit) *quotaFleet {
	f := &quotaFleet{
		byPlace: daemons > defaultMeshMax, rand: rand.New(rand.NewPCG(seed, 0)), limit: limit,
		farDelay:  statusInterval + 2*rowsInterval,
		reachable: func(time.Time, int, int) bool { return true },
	}
	for i := range daemons {
		f.daemons = append(f.daemons, &quotaDaemon{id: fmt.Sprint(i), place: i % quotaPlaces})
	}
	return f
}

// startAll replaces the processes of all daemons.
func (f *quotaFleet) startAll(now time.Time) {
	f.exact = quota.NewLimiter()
	f.exact.SetPeers(now, nil)
	f.exact.Configure(now, map[string]quota.Limit{"o": f.limit})
	for _, d := range f.daemons {
		d.limiter = quota.NewLimiter()
		d.limiter.Slack = quotaSlack
		d.limiter.Configure(now, map[string]quota.Limit{"o": f.limit})
		d.start, d.linkedAt = now, now.Add(quotaLinkDelay)
	}
}

// listDaemons gives a daemon the list of the others.
func (f *quotaFleet) listDaemons(now time.Time, d *quotaDaemon) {
	var others []string
	for _, o := range f.daemons {
		if o != d {
			others = append(others, o.id)
		}
	}
	if f.byPlace {
		d.limiter.SilentAfter = placesSilentAfter
	}
	d.limiter.SetPeers(now, others)
}

// exchangeReports delivers the reports that are due.
func (f *quotaFleet) exchangeReports(now time.Time, step int) {
	const statusSteps, rowsSteps = int(statusInterval / quotaStep), int(rowsInterval / quotaStep)
	var reporting []*quotaDaemon
	for i, d := range f.daemons {
		if now.Sub(d.start) == quotaListDelay {
			f.listDaemons(now, d)
		}
		if (step+i)%statusSteps == 0 {
			d.reports = append(d.reports, quotaReport{now, d.start, d.limiter.Uses()})
			reporting = append(reporting, d)
		}
	}
	for _, to := range f.daemons {
		if now.Before(to.linkedAt) {
			continue
		}
		senders := reporting
		rowsDue := f.byPlace && (step+to.place)%rowsSteps == 0
		if rowsDue {
			senders = f.daemons
		}
		for _, from := range senders {
			near := !f.byPlace || from.place == to.place
			if from == to || near && !slices.Contains(reporting, from) || !near && !rowsDue || !f.reachable(now, from.place, to.place) {
				continue
			}
			delay := time.Duration(0)
			if !near {
				delay = f.farDelay
			}
			if r, ok := from.reportAt(now.Add(-delay)); ok && !r.at.Before(from.linkedAt) {
				to.limiter.Merge(r.at, from.id, r.start.UnixNano(), r.uses)
			}
		}
	}
}

// reportAt returns the last report that was made by a given time.
func (d *quotaDaemon) reportAt(at time.Time) (quotaReport, bool) {
	for i := len(d.reports) - 1; i >= 0; i-- {
		if !d.reports[i].at.After(at) {
			return d.reports[i], true
		}
	}
	return quotaReport{}, false
}

// run simulates a span in which requests arrive at random daemons. demand returns the
// tokens requested in a second.
func (f *quotaFleet) run(start time.Time, span time.Duration, requestTokens float64, demand func(time.Duration) float64) {
	due := 0.0
	for step := range int(span / quotaStep) {
		now := start.Add(time.Duration(step) * quotaStep)
		f.exchangeReports(now, step)
		exactAdmitted, admitted := 0.0, 0.0
		for due += demand(now.Sub(start)) * quotaStep.Seconds(); due > 0; {
			amount := requestTokens * min(f.rand.ExpFloat64(), 5)
			due -= amount
			d := f.daemons[f.rand.IntN(len(f.daemons))]
			if ok, _ := f.exact.Take(now, "o", amount); ok {
				exactAdmitted += amount
			}
			if ok, _ := d.limiter.Take(now, "o", amount); ok {
				admitted += amount
			}
		}
		f.exactAdmitted, f.admitted = append(f.exactAdmitted, exactAdmitted), append(f.admitted, admitted)
	}
}

// worstWindow returns the largest sum admitted in any span of quotaWindow, and its start.
func (f *quotaFleet) worstWindow() (worst float64, at time.Duration) {
	const steps = int(quotaWindow / quotaStep)
	sum := 0.0
	for i, a := range f.admitted {
		sum += a
		if i >= steps {
			sum -= f.admitted[i-steps]
		}
		if sum > worst {
			worst, at = sum, time.Duration(max(i-steps+1, 0))*quotaStep
		}
	}
	return worst, at
}

// servedShare returns what the daemons admitted from a time on, relative to exact.
func (f *quotaFleet) servedShare(from time.Duration) float64 {
	admitted, exact := 0.0, 0.0
	for i := int(from / quotaStep); i < len(f.admitted); i++ {
		admitted, exact = admitted+f.admitted[i], exact+f.exactAdmitted[i]
	}
	return admitted / exact
}

// TestQuotaAheadOfReports guards against daemons that together exceed a quota by what
// they admit before each other's reports arrive, and against refusing what the quota holds.
func TestQuotaAheadOfReports(t *testing.T) {
	always := func(x float64) func(time.Duration) float64 {
		return func(time.Duration) float64 { return x }
	}
	from := func(at time.Duration, before, after float64) func(time.Duration) float64 {
		return func(d time.Duration) float64 {
			if d < at {
				return before
			}
			return after
		}
	}
	few, all := []int{24}, []int{24, 86}
	for _, c := range []struct {
		name      string
		perSecond float64
		// demand is a multiple of perSecond.
		demand   func(time.Duration) float64
		farDelay time.Duration
		// leastServed is the least servedShare from 4 s on.
		leastServed float64
		span        time.Duration
		daemons     []int
	}{
		{"below the limit", 2_500_000, always(0.8), 0, 0.99, 20 * time.Second, few},
		{"small organisation below the limit", 47_000, always(0.55), 0, 0.97, time.Minute, few},
		{"large organisation", 2_500_000, from(5*time.Second, 0.55, 6), 0, 0.9, 20 * time.Second, all},
		{"medium organisation", 300_000, from(5*time.Second, 0.55, 6), 0, 0.9, 20 * time.Second, few},
		{"small organisation", 47_000, from(5*time.Second, 0.55, 6), 0, 0.8, 20 * time.Second, few},
		{"demand that rises twice", 600_000, func(d time.Duration) float64 {
			switch {
			case d < 4*time.Second:
				return 0.55
			case d < 9*time.Second:
				return 4
			}
			return 10
		}, 0, 0.9, 20 * time.Second, all},
		{"late reports", 2_500_000, from(5*time.Second, 0.55, 5), 1200 * time.Millisecond, 0.85, 20 * time.Second, few},
	} {
		for _, daemons := range c.daemons {
			t.Run(fmt.Sprintf("%s, %d daemons", c.name, daemons), func(t *testing.T) {
				t.Parallel()
				f := newQuotaFleet(1, daemons, quota.Limit{PerSecond: c.perSecond, Burst: 2 * c.perSecond})
				if c.farDelay > 0 {
					f.farDelay = c.farDelay
				}
				start := time.Unix(1_700_000_000, 0)
				f.startAll(start.Add(-10 * time.Second))
				f.run(start.Add(-10*time.Second), 10*time.Second, 17_000, always(0))
				f.exactAdmitted, f.admitted = nil, nil
				f.run(start, c.span, 17_000, func(d time.Duration) float64 { return c.perSecond * c.demand(d) })
				allowed := (c.perSecond*quotaWindow.Seconds()+2*c.perSecond)*(1+quotaOverrun) + quotaSlack
				worst, at := f.worstWindow()
				served := f.servedShare(4 * time.Second)
				t.Logf("%.0f tokens in the worst window, from %v; %.0f allowed; %.3f served", worst, at, allowed, served)
				if worst > allowed {
					t.Errorf("%.0f tokens admitted in %v, %.0f allowed", worst, quotaWindow, allowed)
				}
				if served < c.leastServed {
					t.Errorf("%.3f of what the quota holds was served, want %.2f", served, c.leastServed)
				}
			})
		}
	}
}

// TestQuotaAfterStartOfAll guards against daemons that start at the same moment and each
// admit up to the whole quota until they hear of each other.
func TestQuotaAfterStartOfAll(t *testing.T) {
	for _, daemons := range []int{6, 24, 86} {
		t.Run(fmt.Sprintf("%d daemons", daemons), func(t *testing.T) {
			t.Parallel()
			const perSecond = 600_000.0
			f := newQuotaFleet(1, daemons, quota.Limit{PerSecond: perSecond, Burst: 2 * perSecond})
			start := time.Unix(1_700_000_000, 0)
			f.startAll(start)
			f.run(start, 16*time.Second, 17_000, func(time.Duration) float64 { return 5 * perSecond })
			allowed := (perSecond*quotaWindow.Seconds()+2*perSecond)*(1+quotaOverrun) + quotaSlack
			worst, at := f.worstWindow()
			served := f.servedShare(0)
			t.Logf("%.0f tokens in the worst window, from %v; %.0f allowed; %.3f served", worst, at, allowed, served)
			if worst > allowed {
				t.Errorf("%.0f tokens admitted in %v, %.0f allowed", worst, quotaWindow, allowed)
			}
			if served < 0.8 {
				t.Errorf("%.3f of what the quota holds was served, want 0.80", served)
			}
		})
	}
}

// TestQuotaOfPlaceCutOff guards against use that is never charged because its reports
// arrive only after the place has counted as silent.
func TestQuotaOfPlaceCutOff(t *testing.T) {
	for _, cut := range []time.Duration{2 * time.Second, 4 * time.Second, 7 * time.Second} {
		t.Run(cut.String(), func(t *testing.T) {
			t.Parallel()
			const perSecond = 600_000.0
			f := newQuotaFleet(1, 24, quota.Limit{PerSecond: perSecond, Burst: 2 * perSecond})
			start := time.Unix(1_700_000_000, 0)
			f.startAll(start.Add(-10 * time.Second))
			f.run(start.Add(-10*time.Second), 10*time.Second, 17_000, func(time.Duration) float64 { return 0 })
			f.exactAdmitted, f.admitted = nil, nil
			f.reachable = func(now time.Time, from, to int) bool {
				d := now.Sub(start)
				return d < 6*time.Second || d >= 6*time.Second+cut || (from == 0) == (to == 0)
			}
			f.run(start, 24*time.Second, 17_000, func(time.Duration) float64 { return 5 * perSecond })
			allowed := (perSecond*quotaWindow.Seconds()+2*perSecond)*(1+quotaOverrun) + quotaSlack
			worst, at := f.worstWindow()
			t.Logf("%.0f tokens in the worst window, from %v; %.0f allowed", worst, at, allowed)
			if worst > allowed {
				t.Errorf("%.0f tokens admitted in %v, %.0f allowed", worst, quotaWindow, allowed)
			}
		})
	}
}
