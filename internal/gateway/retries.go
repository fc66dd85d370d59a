package gateway

// limitRetries sets this daemon's retry budget: a share of its own requests, and an equal
// part of the burst that all daemons may use.
func (c *control) limitRetries() {
	b := c.g.Bounds
	c.g.dispatcher.SetRetryBudget(b.RetryShare*retryBudgetShare, retryBurst(b.RetryBurst, len(c.registeredDaemons)))
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
