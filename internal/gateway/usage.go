package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/accounting"
	"apricotbridge/internal/keyvalue"
)

const (
	// reportedKey is the store key of the usage report that was sent last or is about to
	// be sent.
	reportedKey = "usage/reported"
	// reportDelay is the wait after the end of a window before its usage is reported.
	// Peers have sent their counts by then, and a new holder still has time to report
	// late windows.
	reportDelay = 2 * time.Second
)

// Report is the usage of all daemons in one window.
type Report struct {
	Window accounting.Window `json:"Window"`
	// Requests counts the requests that began to run, by organisation.
	Requests map[string]int64 `json:"Requests"`
}

// Reporter sends usage reports to the platform. After an error, the report may or may not
// have been accepted, and the same report is sent again.
type Reporter interface {
	Report(ctx context.Context, h Holder, r Report) error
}

// reportRecord is the value of the entry at reportedKey.
type reportRecord struct {
	Report
	// Era is the era of the store in which the report was recorded.
	Era int64 `json:"Era,omitempty"`
}

// wallClock returns the time of day, corrected by the clocks of the other daemons.
func (g *Gateway) wallClock(now time.Time) time.Time {
	g.countMu.Lock()
	defer g.countMu.Unlock()
	return g.clock.Now(now, time.Now())
}

// latestReportable returns the latest window whose usage may be reported.
func (g *Gateway) latestReportable(now time.Time) accounting.Window {
	if g.Bounds.UsageWindow <= 0 {
		return 0
	}
	return accounting.WindowOf(g.wallClock(now).Add(-reportDelay), g.Bounds.UsageWindow) - 1
}

// reportUsage reports the oldest window that is due. It records the report in the store
// before sending it, so that the next holder repeats it with the same counts.
func (s *dutyState) reportUsage(ctx context.Context) {
	g := s.g
	if g.Reporter == nil || g.Bounds.UsageWindow <= 0 || !s.loadReported(ctx) {
		return
	}
	if s.reported.Window > 0 && !s.reportSent {
		s.sendReport(ctx)
		return
	}
	now := time.Now()
	latest := g.latestReportable(now)
	due := max(s.reported.Window+1, accounting.WindowOf(g.wallClock(now).Add(-g.Bounds.ReportWithin), g.Bounds.UsageWindow))
	if s.reported.Window == 0 {
		due = latest
	}
	due = max(due, s.lostReports+1)
	if due > latest {
		return
	}
	g.countMu.Lock()
	next := Report{Window: due, Requests: g.counts.Total(due)}
	g.countMu.Unlock()
	if len(next.Requests) == 0 {
		// No request ran, as far as is known. The window is skipped when a later one is
		// reported.
		if due == latest {
			return
		}
	}
	value, err := json.Marshal(reportRecord{next, s.reportedEra})
	if err != nil {
		g.Log.Error(err, "usage report not encoded")
		return
	}
	timed, cancel := context.WithTimeout(ctx, dutyCallTimeout)
	defer cancel()
	e, err := g.Store.CompareAndSwap(timed, reportedKey, value, s.revision, "")
	if err == nil && g.Store.Era() != s.reportedEra {
		err = errRestored
	}
	if err != nil {
		g.Log.Info("usage report not recorded", "Window", next.Window, "Error", err.Error())
		s.reportedLoaded = false // Another holder wrote the entry, or the answer was lost.
		return
	}
	s.reported, s.revision, s.reportSent = next, e.Revision, false
	s.sendReport(ctx)
}

// loadReported reads the recorded report unless it is loaded already. If its record is of an
// earlier era, the store may have lost later ones, whose windows are not reported again: the
// counts may have changed since.
func (s *dutyState) loadReported(ctx context.Context) bool {
	if s.reportedLoaded {
		return true
	}
	timed, cancel := context.WithTimeout(ctx, dutyCallTimeout)
	defer cancel()
	e, err := s.g.Store.Get(timed, reportedKey)
	if s.g.Store.Era() != s.era {
		// The record is read again once the duty is confirmed in the new era.
		s.performActions(ctx, s.noteEra())
		return false
	}
	var r reportRecord
	switch {
	case errors.Is(err, keyvalue.ErrNotFound):
	case err != nil:
		return false
	default:
		if err := json.Unmarshal(e.Value, &r); err != nil {
			s.g.Log.Error(err, "recorded usage report not readable")
			return false
		}
	}
	switch {
	case r.Era >= s.era:
		s.lostReports = 0
	case s.lostReports == 0:
		s.lostReports = s.g.latestReportable(time.Now())
	}
	if s.reported.Window <= r.Window || s.reportSent {
		s.reported, s.reportSent = r.Report, r.Window == 0
	}
	s.revision, s.reportedEra, s.reportedLoaded, s.reportsKnown = e.Revision, s.era, true, true
	return true
}

// forgetReported is called while the duty is not held: other daemons may report.
func (s *dutyState) forgetReported() { s.reportedLoaded, s.reportsKnown = false, false }

// sendReport sends the recorded report to the platform.
func (s *dutyState) sendReport(ctx context.Context) {
	if !s.duty.MayOrder(bootClockNow()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, dutyCallTimeout)
	defer cancel()
	err := s.g.Reporter.Report(ctx, s.holder(), s.reported)
	if err != nil {
		s.g.Log.Info("usage report not taken", "Window", s.reported.Window, "Error", err.Error())
		return
	}
	s.reportSent = true
	s.g.Log.Info("usage reported", "Window", s.reported.Window, "Requests", s.reported.Requests, "Fence", s.duty.Fence())
}
