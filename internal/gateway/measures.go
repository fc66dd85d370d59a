package gateway

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"apricotbridge/internal/intake"
	"apricotbridge/internal/quota"
)

const (
	// sampleSize and sampleAlpha are the parameters of go-metrics' own exponentially
	// decaying sample, which covers about the last five minutes.
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// requestMetrics holds the histograms of requests.
type requestMetrics struct {
	registry        metrics.Registry
	mu              sync.Mutex
	outcomes        map[string]metrics.Histogram
	firstEventTimes metrics.Histogram
	// predictionErrors holds by how much first events came later than predicted.
	predictionErrors metrics.Histogram
}

func newRequestMetrics(r metrics.Registry) *requestMetrics {
	m := &requestMetrics{registry: r, outcomes: map[string]metrics.Histogram{}}
	m.firstEventTimes = metrics.GetOrRegisterHistogram("requests.first", r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	m.predictionErrors = metrics.GetOrRegisterHistogram("requests.first.error", r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	return m
}

// recordAims counts a whole stream by the aims of its route.
func (m *requestMetrics) recordAims(rank int, result string) {
	metrics.GetOrRegisterCounter(fmt.Sprintf("aims.%s.%d", result, rank), m.registry).Inc(1)
}

// recordTakeUp counts a stream that a caller takes up by what its version was concluded from.
func (m *requestMetrics) recordTakeUp(basis versionBasis) {
	metrics.GetOrRegisterCounter("takeups."+string(basis), m.registry).Inc(1)
}

// recordOutcome records the duration of a request under its outcome.
func (m *requestMetrics) recordOutcome(outcome string, took time.Duration) {
	m.mu.Lock()
	h := m.outcomes[outcome]
	if h == nil {
		h = metrics.GetOrRegisterHistogram("requests."+outcome, m.registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
		m.outcomes[outcome] = h
	}
	m.mu.Unlock()
	h.Update(took.Milliseconds())
}

// recordFirstEvent records the time to the first event of a stream, and by how much it was later
// than predicted.
func (m *requestMetrics) recordFirstEvent(took, late time.Duration) {
	m.firstEventTimes.Update(took.Milliseconds())
	m.predictionErrors.Update(late.Milliseconds())
}

// ServeMetrics writes all metrics as text, one value a line.
func (g *Gateway) ServeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	name := func(s string) string { return "apricotbridge_" + strings.NewReplacer(".", "_", "-", "_").Replace(s) }
	g.Metrics.Each(func(key string, metric any) {
		switch v := metric.(type) {
		case metrics.Counter:
			fmt.Fprintf(w, "%s %d\n", name(key), v.Count())
		case metrics.Gauge:
			fmt.Fprintf(w, "%s %d\n", name(key), v.Value())
		case metrics.Histogram:
			s := v.Snapshot()
			fmt.Fprintf(w, "%s_count %d\n", name(key), s.Count())
			for _, q := range []float64{0.5, 0.95, 0.99} {
				fmt.Fprintf(w, "%s_milliseconds{quantile=\"%g\"} %g\n", name(key), q, s.Percentile(q))
			}
		}
	})
	value := func(key string, v any) { fmt.Fprintf(w, "%s %v\n", name(key), v) }
	opened, reused := g.Backends.Counts()
	value("backend.connections.opened", opened)
	value("backend.connections.reused", reused)
	value("requests.inflight", g.inFlight.Load())
	for door, gate := range map[string]*intake.Gate{"callers": g.Callers, "peers": g.Peers} {
		u := gate.Usage()
		fmt.Fprintf(w, "%s{door=%q} %d\n", name("intake.connections"), door, u.Connections)
		fmt.Fprintf(w, "%s{door=%q} %d\n", name("intake.closed"), door, u.Closed)
		fmt.Fprintf(w, "%s{door=%q} %d\n", name("intake.held.bytes"), door, u.Memory.Held)
		fmt.Fprintf(w, "%s{door=%q} %d\n", name("intake.held.most.bytes"), door, u.Memory.Most)
		fmt.Fprintf(w, "%s{door=%q} %d\n", name("intake.given.up"), door, u.Memory.GivenUp)
		fmt.Fprintf(w, "%s{door=%q} %d\n", name("intake.buffers.bytes"), door, u.Buffers)
	}
	if v := g.view.Load(); v != nil {
		for service, r := range v.rollouts {
			fmt.Fprintf(w, "%s{service=%q,version=%q,phase=%q} %g\n", name("rollout.share"), service, r.Version, r.Phase, r.Share(g.rolloutExposure()))
		}
	}
	now := time.Now()
	status := g.dispatcher.Status(now)
	value("dispatch.granted", status.Counts.Granted)
	value("dispatch.retried", status.Counts.Retried)
	value("dispatch.refused", status.Counts.Refused)
	value("dispatch.parked", status.Parked)
	value("dispatch.busyness", status.Busyness)
	value("dispatch.retries.left", status.RetriesLeft)
	value("store.era", g.Store.Era())
	value("quarantine.suspects", status.Suspects)
	value("quarantine.refused", status.RefusedSuspects)
	if c := g.view.Load().Configuration(); c != nil {
		value("configuration.version", c.Version)
	}
	if g.storeReadAt.Load() != nil {
		value("store.age.milliseconds", g.serversAge(now).Milliseconds())
	}
	held := 0
	if g.holdsDuty.Load() {
		held = 1
	}
	value("duty.held", held)
	g.quotaMu.Lock()
	states := map[string]quota.State{}
	for organisation := range g.quotas.Uses() {
		states[organisation] = g.quotas.State(now, organisation)
	}
	g.quotaMu.Unlock()
	for i, organisation := range slices.Sorted(maps.Keys(states)) {
		s := states[organisation]
		fmt.Fprintf(w, "%s{organisation=%q} %g\n", name("quota.used"), organisation, s.Use.Admitted)
		fmt.Fprintf(w, "%s{organisation=%q} %g\n", name("quota.refused"), organisation, s.Use.Refused)
		fmt.Fprintf(w, "%s{organisation=%q} %g\n", name("quota.demand"), organisation, s.Demand)
		fmt.Fprintf(w, "%s{organisation=%q} %g\n", name("quota.level"), organisation, s.Level)
		if i == 0 { // The reports are those of daemons, not of organisations.
			value("quota.report.age.milliseconds", s.OldestReport.Milliseconds())
			value("quota.silent.daemons", s.Silent)
		}
	}
}
