package fulmardispatch

import "sync"

// maxRetryTokens is the initial and maximum number of tokens, and so the largest burst of retries.
const maxRetryTokens = 10

// RetryBudget limits the retries of a pool to a fraction of its requests. Each
// request deposits share tokens, and each retry withdraws one.
type RetryBudget struct {
	mu     sync.Mutex
	share  float64
	tokens float64
}

// NewRetryBudget returns a budget that allows share retries per request. A share of 0 allows none.
func NewRetryBudget(share float64) *RetryBudget {
	return &RetryBudget{share: share, tokens: maxRetryTokens}
}

// SetShare replaces the number of retries allowed per request.
func (b *RetryBudget) SetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
}

// Deposit adds the tokens of one request.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, maxRetryTokens)
}

// TryWithdraw withdraws the token for one retry and reports whether the budget had one.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 || b.share == 0 {
		return false
	}
	b.tokens--
	return true
}
