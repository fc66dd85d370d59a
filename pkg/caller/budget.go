package caller

import "sync"

const (
	// retryShare is how many retries each request earns, so that retries add at
	// most a tenth to the load of a system that refuses much of it.
	retryShare = 0.1
	// maxRetries bounds the retries that a quiet client has saved up.
	maxRetries = 10
)

// budget bounds the retries of a client over all its requests.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

func (b *budget) init() { b.tokens = maxRetries }

// deposit is called once for each request.
func (b *budget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxRetries, b.tokens+retryShare)
}

// withdraw reports whether a retry may be sent.
func (b *budget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
