// Package fulmarhedge sends hedged attempts of idempotent calls: if an attempt has not
// returned after a delay, another one is started beside it instead of waiting for the
// timeout. On an unresponsive connection the response never comes, while an attempt on
// another connection succeeds.
//
// Usage:
//
//	value, err := fulmarhedge.Do(ctx, clock, fulmarhedge.Plan{Delay: 60, MaxAttempts: 4}, func(ctx context.Context) (int, error) {
//		return call(ctx)
//	}, isFinal)
//
// Do returns the first final result and cancels the other attempts. If no result is
// final, it returns the last one. DoAll lets the other attempts go on, for callers that need to
// know how each of them ended.
package fulmarhedge

import (
	"context"
	"sync"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// Plan configures the hedged attempts of a call.
type Plan struct {
	// Delay passes between the starts of two attempts.
	Delay fulmarclock.Millis
	// MaxAttempts is the most attempts, the first included.
	MaxAttempts int
}

// result is what one attempt returned.
type result[T any] struct {
	value T
	err   error
}

// Do runs call in hedged attempts until one returns a final result, as isFinal reports,
// or all attempts started so far have returned. Each attempt gets a context that ends
// with ctx and when Do returns.
func Do[T any](ctx context.Context, clock fulmarclock.Clock, p Plan, call func(context.Context) (T, error), isFinal func(T, error) bool) (T, error) {
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	value, _, err := DoAll(attemptCtx, clock, p, call, isFinal)
	return value, err
}

// DoAll is like Do, but the attempts without a result go on when it returns: each gets ctx itself. No
// further one starts then. wait waits until all of them have returned, so the caller ends ctx at some time.
func DoAll[T any](ctx context.Context, clock fulmarclock.Clock, p Plan, call func(context.Context) (T, error), isFinal func(T, error) bool) (value T, wait func(), err error) {
	results := make(chan result[T], p.MaxAttempts)
	var attempts sync.WaitGroup
	start := func() {
		attempts.Go(func() {
			value, err := call(ctx)
			results <- result[T]{value, err}
		})
	}
	start()
	started, returned := 1, 0
	next := clock.After(p.Delay)
	for {
		select {
		case r := <-results:
			returned++
			if isFinal(r.value, r.err) || returned == p.MaxAttempts || returned == started {
				return r.value, attempts.Wait, r.err
			}
		case <-next:
			if started < p.MaxAttempts {
				start()
				started++
				next = clock.After(p.Delay)
			}
		}
	}
}
