package fulmarplatform

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// Bounds of the exponential backoff between two tries of a swap, without jitter.
const (
	initialRetryDelay = 20 * fulmarclock.Millis(1)
	maxRetryDelay     = fulmarclock.Second
)

// Store is the part of the key-value service that SwapWithRetry uses.
type Store interface {
	Get(ctx context.Context, key string) (Entry, error)
	CompareAndSwap(ctx context.Context, key string, expected Revision, value []byte, lease LeaseID) (Revision, error)
}

// Swap is a conditional write of one key whose effect can be recognized in later values of the key.
type Swap struct {
	Key      string
	Expected Revision
	Value    []byte
	Lease    LeaseID
	// Contains reports whether the key's current value contains this write.
	Contains func(value []byte) bool
}

// SwapWithRetry executes a swap and resolves an unknown outcome by reading the key back.
// It returns the entry that contains the write, or a *ConflictError and the entry with
// the conflicting write. It retries until ctx is done, always with the same expected
// revision, so that the write takes effect at most once. If ctx is done first, the error
// is an *UnknownOutcomeError. An error that a retry cannot mend is returned at once.
func SwapWithRetry(ctx context.Context, clock fulmarclock.Clock, store Store, swap Swap) (Entry, error) {
	delay := initialRetryDelay
	for {
		revision, err := store.CompareAndSwap(ctx, swap.Key, swap.Expected, swap.Value, swap.Lease)
		if err == nil {
			return Entry{Key: swap.Key, Value: swap.Value, Revision: revision}, nil
		}
		if isPermanent(err) {
			return Entry{}, err
		}
		current, readErr := store.Get(ctx, swap.Key)
		if readErr == nil {
			if swap.Contains(current.Value) {
				return current, nil
			}
			if current.Revision != swap.Expected {
				return current, &ConflictError{Key: swap.Key, Current: current.Revision}
			}
		}
		select {
		case <-clock.After(delay + fulmarclock.Millis(rand.Int64N(int64(delay)))):
		case <-ctx.Done():
			return Entry{}, &UnknownOutcomeError{Operation: PathSwap, Key: swap.Key, Cause: err}
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// isPermanent reports whether a retry of the rejected call would be rejected too, such as
// one with a lease that has ended or with a value that is too large.
func isPermanent(err error) bool {
	var lost *LeaseLostError
	if errors.As(err, &lost) {
		return true
	}
	var unavailable *UnavailableError
	if !errors.As(err, &unavailable) {
		return false
	}
	status := statusOf(err)
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusTooManyRequests
}
