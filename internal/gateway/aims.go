package gateway

import (
	"time"

	"apricotbridge/internal/dispatch"
	"apricotbridge/internal/route"
)

// answerTimes compares the times of a stream with the aims of its route.
type answerTimes struct {
	// predictedAt is when the first event was expected as the running attempt was sent.
	predictedAt time.Time
	// firstAt and lastAt are when the first and the last event were written to the caller.
	firstAt, lastAt time.Time
	longestGap      time.Duration
}

// sent notes the prediction for an attempt at a server.
func (a *answerTimes) sent(now time.Time, grant *dispatch.Grant, promptTokens int) {
	seconds := grant.Decision.Terms.Wait
	if rate := grant.Server.PrefillTokensPerSecond; rate > 0 {
		seconds += max(float64(promptTokens)-grant.Decision.CachedTokens, 0) / rate
	}
	a.predictedAt = now.Add(time.Duration(seconds * float64(time.Second)))
}

// wrote notes that events were written to the caller.
func (a *answerTimes) wrote(now time.Time) {
	if a.firstAt.IsZero() {
		a.firstAt = now
	} else {
		a.longestGap = max(a.longestGap, now.Sub(a.lastAt))
	}
	a.lastAt = now
}

// first returns the time from a request's arrival to its first event, or 0 if there was none.
func (a *answerTimes) first(received time.Time) time.Duration {
	if a.firstAt.IsZero() {
		return 0
	}
	return a.firstAt.Sub(received)
}

// Results of comparing a stream with the aims of its route.
const (
	aimMet       = "met"
	aimFirstLate = "first.late"
	aimGapLong   = "gap.long"
)

// result names the first aim of a route that a stream has missed.
func (a *answerTimes) result(r *route.Route, received time.Time) string {
	switch {
	case r.TargetLatency > 0 && a.first(received) > r.TargetLatency:
		return aimFirstLate
	case r.TargetEventGap > 0 && a.longestGap > r.TargetEventGap:
		return aimGapLong
	}
	return aimMet
}
