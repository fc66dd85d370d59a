package dispatch

import "apricotbridge/internal/admission"

const (
	// retryBudgetShare and retryBudgetBurst limit the system's own retries to a tenth of
	// the requests, so that retries do not overload a failing fleet further.
	retryBudgetShare = 0.1
	retryBudgetBurst = 100
)

// retryBudgets holds the retry budget of each service. A shared budget would let the requests of
// sound services pay for retries that overload a failing one.
type retryBudgets struct {
	share, burst float64
	byService    map[string]*admission.RetryBudget
}

func newRetryBudgets() retryBudgets {
	return retryBudgets{share: retryBudgetShare, burst: retryBudgetBurst, byService: map[string]*admission.RetryBudget{}}
}

// set changes the limits of all services. What they have spent stays spent.
func (b *retryBudgets) set(share, burst float64) {
	b.share, b.burst = share, burst
	for _, budget := range b.byService {
		budget.Share, budget.Burst = share, burst
	}
}

// of returns the budget of a service.
func (b *retryBudgets) of(service string) *admission.RetryBudget {
	budget := b.byService[service]
	if budget == nil {
		budget = &admission.RetryBudget{Share: b.share, Burst: b.burst}
		b.byService[service] = budget
	}
	return budget
}

// leastRemaining returns the number of retries that may be sent now for the service that has the
// fewest left.
func (b *retryBudgets) leastRemaining() float64 {
	least := b.burst
	for _, budget := range b.byService {
		least = min(least, budget.Remaining())
	}
	return least
}

// SetRetryBudget bounds the system's own retries for each service to a share of its requests, plus a
// burst of unused retries.
func (d *Dispatcher) SetRetryBudget(share, burst float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retryBudgets.set(share, burst)
}
