package demo

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"
)

// Report summarises the outcomes of the requests of a run.
type Report struct {
	Seed           uint64    `json:"Seed"`
	Reclaimed      string    `json:"Reclaimed"`
	Ranks          []RankRow `json:"Ranks"`
	OrdersRunTwice int       `json:"OrdersRunTwice"`
	// NotRunThatRan counts orders that were reported as not run but did run.
	NotRunThatRan    int `json:"NotRunThatRan"`
	AnswersMixedUp   int `json:"AnswersMixedUp"`
	Lost             int `json:"Lost"`
	RecomputedTokens int `json:"RecomputedTokens"`
	// Cost is the total price of the backend servers' instance time.
	Cost float64 `json:"Cost"`
	// Faults has the errors of the first requests that were lost or mixed up.
	Faults []string `json:"Faults,omitempty"`
	Held   bool     `json:"Held"`
}

// RankRow is the part of a Report for one rank. For a rank without streams, the
// time to the first token is the time to the whole response.
type RankRow struct {
	Rank          string  `json:"Rank"`
	Asked         int     `json:"Asked"`
	Answered      int     `json:"Answered"`
	RefusedNotRun int     `json:"RefusedNotRun"`
	FirstTokenP50 float64 `json:"FirstTokenP50Seconds"`
	FirstTokenP95 float64 `json:"FirstTokenP95Seconds"`
}

// recorder collects the results that callers observe.
type recorder struct {
	mu             sync.Mutex
	rows           map[string]*RankRow
	latencies      map[string]*hdrhistogram.Histogram
	answeredOrders map[string]bool
	notRunOrders   map[string]bool
	wrongAnswers   int
	lost           int
	faults         []string
}

// The latency histograms cover 1 ms to 2 min with 3 significant digits.
const (
	minMillis, maxMillis, significantDigits = 1, 120_000, 3
)

func newRecorder() *recorder {
	r := &recorder{
		rows: map[string]*RankRow{}, latencies: map[string]*hdrhistogram.Histogram{},
		answeredOrders: map[string]bool{}, notRunOrders: map[string]bool{},
	}
	for _, rank := range []string{rankOrder, rankReply, rankDraft} {
		r.rows[rank] = &RankRow{Rank: rank}
		r.latencies[rank] = hdrhistogram.New(minMillis, maxMillis, significantDigits)
	}
	return r
}

func (r *recorder) countRequest(rank string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rows[rank].Asked++
}

func (r *recorder) recordOrder(key string, began time.Time, err error) {
	r.mu.Lock()
	if err == nil {
		r.answeredOrders[key] = true
	} else if notRun(err) {
		r.notRunOrders[key] = true
	}
	r.mu.Unlock()
	r.recordResult(rankOrder, time.Since(began), err)
}

func (r *recorder) recordResult(rank string, firstToken time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		r.rows[rank].Answered++
		_ = r.latencies[rank].RecordValue(max(minMillis, firstToken.Milliseconds())) // The length of the run keeps values below maxMillis.
	case errors.Is(err, errWrongAnswer):
		r.wrongAnswers++
		r.addFault(rank, err)
	case notRun(err):
		r.rows[rank].RefusedNotRun++
	default:
		r.lost++
		r.addFault(rank, err)
	}
}

// recordLostDraft counts a draft that was accepted but has no response.
func (r *recorder) recordLostDraft(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost++
	r.addFault(rankDraft, err)
}

func (r *recorder) addFault(rank string, err error) {
	const maxFaults = 10
	if len(r.faults) < maxFaults {
		r.faults = append(r.faults, rank+": "+err.Error())
	}
}

// progressLine summarises the results so far.
func (r *recorder) progressLine() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var parts []string
	for _, rank := range []string{rankOrder, rankReply, rankDraft} {
		row := r.rows[rank]
		parts = append(parts, fmt.Sprintf("%s %d/%d", rank, row.Answered, row.Asked))
	}
	return "answered " + strings.Join(parts, ", ") + fmt.Sprintf("; lost %d", r.lost)
}

// finalReport summarises the run and compares the results with the runs that
// the order services recorded.
func (r *recorder) finalReport(p *Platform, o Options) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := &Report{
		Seed: o.Seed, Reclaimed: reclaimedPlace, AnswersMixedUp: r.wrongAnswers, Lost: r.lost, Faults: r.faults,
		RecomputedTokens: p.RecomputedTokens(), Cost: p.Cost(),
	}
	runs := map[string]int{}
	for _, run := range p.Runs.All() {
		runs[run.Key]++
	}
	for key, n := range runs {
		if n > 1 {
			report.OrdersRunTwice++
		}
		if r.notRunOrders[key] && !r.answeredOrders[key] {
			report.NotRunThatRan++
		}
	}
	for key := range r.answeredOrders {
		if runs[key] == 0 {
			report.Lost++
		}
	}
	for _, rank := range []string{rankOrder, rankReply, rankDraft} {
		row, latencies := *r.rows[rank], r.latencies[rank]
		row.FirstTokenP50 = float64(latencies.ValueAtQuantile(50)) / 1000
		row.FirstTokenP95 = float64(latencies.ValueAtQuantile(95)) / 1000
		report.Ranks = append(report.Ranks, row)
	}
	report.Held = report.OrdersRunTwice+report.NotRunThatRan+report.AnswersMixedUp+report.Lost == 0
	return report
}

// Table prints the report as text.
func (r *Report) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "rank\tasked\tanswered\trefused as not run\tfirst token p50\tp95\t")
	for _, row := range r.Ranks {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.3f s\t%.3f s\t\n", row.Rank, row.Asked, row.Answered, row.RefusedNotRun, row.FirstTokenP50, row.FirstTokenP95)
	}
	if err := t.Flush(); err != nil {
		return errors.Annotate(err, "print table")
	}
	_, err := fmt.Fprintf(w, "orders run twice %d, reported as not run but run %d, answers mixed up %d, lost %d, recomputed tokens %d, cost %.4f\n",
		r.OrdersRunTwice, r.NotRunThatRan, r.AnswersMixedUp, r.Lost, r.RecomputedTokens, r.Cost)
	for _, fault := range r.Faults {
		fmt.Fprintln(w, "fault:", fault)
	}
	return errors.Annotate(err, "print table")
}
