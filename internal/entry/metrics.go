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

// sampleSize and sampleAlpha keep the last five minutes or so of samples.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// telemetry holds the daemon's metrics.
type telemetry struct {
	registry metrics.Registry
}

func newTelemetry() *telemetry { return &telemetry{registry: metrics.NewRegistry()} }

// firstToken records the time to the first token of a request.
func (t *telemetry) firstToken(rank string, took time.Duration) {
	t.histogram("first_token_seconds", rank).Update(int64(took))
}

// tokens records what an answer cost.
func (t *telemetry) tokens(u *engine.Usage) {
	t.counter("prompt_tokens", "").Inc(int64(u.PromptTokens))
	t.counter("cached_tokens", "").Inc(int64(u.CachedTokens))
	t.counter("completion_tokens", "").Inc(int64(u.CompletionTokens))
	t.counter("recomputed_tokens", "").Inc(int64(u.RecomputedTokens))
}

// answered counts the answers to callers by error kind; an empty kind is a
// success.
func (t *telemetry) answered(kind string) { t.counter("answers", orString(kind, "Success")).Inc(1) }

func (t *telemetry) counter(name, label string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name+"|"+label, t.registry)
}

// histogram returns a histogram of nanoseconds. A Timer of the library would
// start a goroutine that never ends.
func (t *telemetry) histogram(name, label string) metrics.Histogram {
	return t.registry.GetOrRegister(name+"|"+label, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(metrics.Histogram)
}

// write prints the metrics in the text format that common scrapers read.
func (t *telemetry) write(w io.Writer, s dispatch.Status) {
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
		// Counters of the peer links have dots, which scrapers refuse.
		name = "apricotbridge_" + strings.ToLower(strings.ReplaceAll(name, ".", "_"))
		switch m := metric.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s_total%s %d", name, labels("kind", label), m.Count()))
		case metrics.Histogram:
			snapshot := m.Snapshot()
			for _, q := range []float64{0.5, 0.95, 0.99} {
				value := time.Duration(snapshot.Percentile(q)).Seconds()
				lines = append(lines, fmt.Sprintf("%s{rank=%q,quantile=\"%g\"} %g", name, label, q, value))
			}
			lines = append(lines, fmt.Sprintf("%s_count%s %d", name, labels("rank", label), snapshot.Count()))
		}
	})
	sort.Strings(lines)
	_, _ = io.WriteString(w, strings.Join(lines, "\n")+"\n") // A scraper that has gone needs no answer.
}

func labels(name, value string) string {
	if value == "" {
		return ""
	}
	return fmt.Sprintf("{%s=%q}", name, value)
}
