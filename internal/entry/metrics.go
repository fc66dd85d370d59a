package entry

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"apricotbridge/internal/dispatch"
	"apricotbridge/internal/engine"
)

// reservoirSize and reservoirAlpha make a histogram cover about the last five minutes
// of samples.
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

// telemetry holds the daemon's metrics.
type telemetry struct {
	registry metrics.Registry
}

func newTelemetry() *telemetry { return &telemetry{registry: metrics.NewRegistry()} }

// recordFirstToken records the time to the first token of a request.
func (t *telemetry) recordFirstToken(rank string, latency time.Duration) {
	t.histogram("first_token_seconds", rank).Update(int64(latency))
}

// recordUsage adds the token counts of an answer.
func (t *telemetry) recordUsage(u *engine.Usage) {
	t.counter("prompt_tokens", "").Inc(int64(u.PromptTokens))
	t.counter("cached_tokens", "").Inc(int64(u.CachedTokens))
	t.counter("completion_tokens", "").Inc(int64(u.CompletionTokens))
	t.counter("recomputed_tokens", "").Inc(int64(u.RecomputedTokens))
}

// countAnswer counts an answer to a caller by problem kind; an empty kind is a
// success.
func (t *telemetry) countAnswer(kind string) {
	t.counter("answers", stringOrDefault(kind, "Success")).Inc(1)
}

func (t *telemetry) counter(name, label string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name+"|"+label, t.registry)
}

// histogram returns a histogram of nanoseconds. A Timer of the library would start a
// goroutine that never ends.
func (t *telemetry) histogram(name, label string) metrics.Histogram {
	return t.registry.GetOrRegister(name+"|"+label, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	}).(metrics.Histogram)
}

// writeText writes the metrics in the Prometheus text format.
func (t *telemetry) writeText(w io.Writer, s dispatch.Status) {
	lines := []string{
		fmt.Sprintf("apricotbridge_queued %d", s.Queue.Queued),
		fmt.Sprintf("apricotbridge_running %d", s.Queue.Running),
		fmt.Sprintf("apricotbridge_granted_total %d", s.Counts.Granted),
		fmt.Sprintf("apricotbridge_retried_total %d", s.Counts.Retried),
		fmt.Sprintf("apricotbridge_preempted_total %d", s.Counts.Preempted),
		fmt.Sprintf("apricotbridge_refused_total %d", s.Counts.Refused),
	}
	t.registry.Each(func(key string, metric any) {
		name, label, _ := strings.Cut(key, "|")
		// Counters of the peer links have dots, which scrapers reject.
		name = "apricotbridge_" + strings.ToLower(strings.ReplaceAll(name, ".", "_"))
		switch m := metric.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s_total%s %d", name, formatLabel("kind", label), m.Count()))
		case metrics.Histogram:
			snapshot := m.Snapshot()
			for _, q := range []float64{0.5, 0.95, 0.99} {
				value := time.Duration(snapshot.Percentile(q)).Seconds()
				lines = append(lines, fmt.Sprintf("%s{rank=%q,quantile=\"%g\"} %g", name, label, q, value))
			}
			lines = append(lines, fmt.Sprintf("%s_count%s %d", name, formatLabel("rank", label), snapshot.Count()))
		}
	})
	sort.Strings(lines)
	_, _ = io.WriteString(w, strings.Join(lines, "\n")+"\n") // Write errors mean that the scraper disconnected.
}

func formatLabel(name, value string) string {
	if value == "" {
		return ""
	}
	return fmt.Sprintf("{%s=%q}", name, value)
}
