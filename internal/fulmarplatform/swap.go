package fulmarplatform

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

const (
	initialRetryDelay = 20 * fulmarclock.Millis(1)
	maxRetryDelay  = fulmarclock.Second
)

// Store is the part of the key-value service that a settled swap needs.
type Store interface {
	Get(ctx context.Context, key string) (Entry, error)
	CompareAndSwap(ctx context.Context, key string, expected Revision, value []byte, lease LeaseID) (Revision, error)
}

// Swap describes one write whose value tells whether it took effect.
type Swap struct {
	Key      string
	Expected Revision
	Value    []byte
	Lease    LeaseID
	// Included tells whether a later value of the key contains this write.
	Included func(value []byte) bool
}

// SwapSettled carries out a swap and settles lost answers by reading the key back.
// It returns the entry that holds the write, or a *ConflictError with the entry
// that stands in its way. Until ctx ends it repeats the write under the same
// expected revision, so that at most one copy takes effect.
func SwapSettled(ctx context.Context, clock fulmarclock.Clock, store Store, swap Swap) (Entry, error) {
	wait := initialRetryDelay
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
			if swap.Included(current.Value) {
				return current, nil
			}
			if current.Revision != swap.Expected {
				return current, &ConflictError{Key: swap.Key, Current: current.Revision}
			}
		}
		select {
		case <-clock.After(wait + fulmarclock.Millis(rand.Int64N(int64(wait)))):
		case <-ctx.Done():
			return Entry{}, &UnknownError{Key: swap.Key, Cause: err}
		}
		wait = min(2*wait, maxRetryDelay)
	}
}

// isPermanent tells whether a refused call will be refused again, such as one
// under a lease that has ended or with too large a value.
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
