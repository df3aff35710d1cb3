package fulmardispatch

import "sync"

// maxRetryTokens is the number of retries that a pool may make before it has sent any request.
const maxRetryTokens = 10

// RetryBudget bounds retries to a share of the requests.
type RetryBudget struct {
	mu     sync.Mutex
	share  float64
	tokens float64
}

// NewRetryBudget returns a budget that grants share retries a request.
func NewRetryBudget(share float64) *RetryBudget {
	return &RetryBudget{share: share, tokens: maxRetryTokens}
}

// SetShare replaces the share.
func (b *RetryBudget) SetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
}

// Deposit credits one first attempt.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, maxRetryTokens)
}

// Spend takes one retry and reports whether the budget had one.
func (b *RetryBudget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 || b.share == 0 {
		return false
	}
	b.tokens--
	return true
}
