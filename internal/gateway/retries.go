package gateway

import "time"

// limitRetries sets this daemon's retry budget: a share of its own requests, and an equal
// part of the burst that all daemons may use. The part rises RetryWindow after others have left the
// list: the entries of daemons that still retry may have lapsed, and the burst is that of a window.
func (c *control) limitRetries(now time.Time) {
	b := c.g.Bounds
	if listed := len(c.registeredDaemons); listed >= c.retrying || now.Sub(c.retryingAt) > b.RetryWindow {
		c.retrying, c.retryingAt = listed, now
	}
	c.g.dispatcher.SetRetryBudget(b.RetryShare*retryBudgetShare, retryBurst(b.RetryBurst, c.retrying))
}

const (
	// preferredRetryBurst is a daemon's burst if the daemons' part of the total allows it.
	// It may use up the reserve that retryBudgetShare leaves.
	preferredRetryBurst = 2
	// minRetryBurst is the least burst with which a daemon can retry at all.
	minRetryBurst = 1
)

// retryBurst returns the burst of each daemon's retry budget.
func retryBurst(total float64, daemons int) float64 {
	part := total / float64(max(1, daemons))
	return max(part*retryBudgetShare, min(part, preferredRetryBurst), minRetryBurst)
}

// retryBudgetShare is the part of the stated retry budget that is used. The platform
// counts requests by window, and they do not spread evenly over the daemons.
const retryBudgetShare = 0.7
