package caller

import "sync"

const (
	// retriesPerRequest is what each request adds to the budget. It limits retries
	// to a tenth of the load of a system that refuses many requests.
	retriesPerRequest = 0.1
	// maxSavedRetries bounds the unused retries that a client can accumulate.
	maxSavedRetries = 10
)

// retryBudget is a token bucket that bounds the retries over all requests of a
// client.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func (b *retryBudget) init() { b.tokens = maxSavedRetries }

// deposit adds the share of one request to the budget.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxSavedRetries, b.tokens+retriesPerRequest)
}

// withdraw takes one retry from the budget and reports whether it had one.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
