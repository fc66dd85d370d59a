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

// Report is what became of the requests of a run.
type Report struct {
	Seed           uint64    `json:"Seed"`
	Reclaimed      string    `json:"Reclaimed"`
	Ranks          []RankRow `json:"Ranks"`
	OrdersRunTwice int       `json:"OrdersRunTwice"`
	// NotRunThatRan counts orders that were reported as not run and ran.
	NotRunThatRan    int `json:"NotRunThatRan"`
	AnswersMixedUp   int `json:"AnswersMixedUp"`
	Lost             int `json:"Lost"`
	RecomputedTokens int `json:"RecomputedTokens"`
	// Cost is the price of the backend servers' time.
	Cost float64 `json:"Cost"`
	// Faults has the first problems of requests that were lost or mixed up.
	Faults []string `json:"Faults,omitempty"`
	Held   bool     `json:"Held"`
}

// RankRow is one rank of a Report. The first token of a rank without streams is
// the whole answer.
type RankRow struct {
	Rank          string  `json:"Rank"`
	Asked         int     `json:"Asked"`
	Answered      int     `json:"Answered"`
	RefusedNotRun int     `json:"RefusedNotRun"`
	FirstTokenP50 float64 `json:"FirstTokenP50Seconds"`
	FirstTokenP95 float64 `json:"FirstTokenP95Seconds"`
}

// recorder collects what callers see.
type recorder struct {
	mu       sync.Mutex
	rows     map[string]*RankRow
	times    map[string]*hdrhistogram.Histogram
	answered map[string]bool
	refused  map[string]bool
	mixed    int
	lost     int
	faults   []string
}

// Histograms cover a millisecond to two minutes.
const (
	shortestMillis, longestMillis, digits = 1, 120_000, 3
)

func newRecorder() *recorder {
	r := &recorder{
		rows: map[string]*RankRow{}, times: map[string]*hdrhistogram.Histogram{},
		answered: map[string]bool{}, refused: map[string]bool{},
	}
	for _, rank := range []string{rankOrder, rankReply, rankDraft} {
		r.rows[rank] = &RankRow{Rank: rank}
		r.times[rank] = hdrhistogram.New(shortestMillis, longestMillis, digits)
	}
	return r
}

func (r *recorder) asked(rank string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rows[rank].Asked++
}

func (r *recorder) order(key string, began time.Time, err error) {
	r.mu.Lock()
	if err == nil {
		r.answered[key] = true
	} else if notRun(err) {
		r.refused[key] = true
	}
	r.mu.Unlock()
	r.done(rankOrder, time.Since(began), err)
}

func (r *recorder) done(rank string, first time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		r.rows[rank].Answered++
		_ = r.times[rank].RecordValue(max(shortestMillis, first.Milliseconds())) // Longer ones are bounded by the run.
	case errors.Is(err, errMixed):
		r.mixed++
		r.fault(rank, err)
	case notRun(err):
		r.rows[rank].RefusedNotRun++
	default:
		r.lost++
		r.fault(rank, err)
	}
}

// lostDraft counts a draft that was accepted and has no answer.
func (r *recorder) lostDraft(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost++
	r.fault(rankDraft, err)
}

func (r *recorder) fault(rank string, err error) {
	const kept = 10
	if len(r.faults) < kept {
		r.faults = append(r.faults, rank+": "+err.Error())
	}
}

// line sums up for the progress.
func (r *recorder) line() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var parts []string
	for _, rank := range []string{rankOrder, rankReply, rankDraft} {
		row := r.rows[rank]
		parts = append(parts, fmt.Sprintf("%s %d/%d", rank, row.Answered, row.Asked))
	}
	return "answered " + strings.Join(parts, ", ") + fmt.Sprintf("; lost %d", r.lost)
}

// report closes the run and checks it against the runs that the order servers
// recorded.
func (r *recorder) report(p *Platform, o Options) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := &Report{
		Seed: o.Seed, Reclaimed: reclaimedPlace, AnswersMixedUp: r.mixed, Lost: r.lost, Faults: r.faults,
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
		if r.refused[key] && !r.answered[key] {
			report.NotRunThatRan++
		}
	}
	for key := range r.answered {
		if runs[key] == 0 {
			report.Lost++
		}
	}
	for _, rank := range []string{rankOrder, rankReply, rankDraft} {
		row, times := *r.rows[rank], r.times[rank]
		row.FirstTokenP50 = float64(times.ValueAtQuantile(50)) / 1000
		row.FirstTokenP95 = float64(times.ValueAtQuantile(95)) / 1000
		report.Ranks = append(report.Ranks, row)
	}
	report.Held = report.OrdersRunTwice+report.NotRunThatRan+report.AnswersMixedUp+report.Lost == 0
	return report
}

// Table prints the report for readers.
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
