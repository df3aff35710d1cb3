// Package fulmarhedge repeats idempotent calls beside a first attempt that does
// not answer, instead of waiting for its timeout: on a connection that has gone
// silent the answer never comes, while another connection works.
//
// Usage:
//
//	answer, err := fulmarhedge.Do(ctx, clock, fulmarhedge.Plan{After: 60, Most: 4}, func(ctx context.Context) (int, error) {
//		return call(ctx)
//	}, isFinal)
//
// The first final answer wins and ends the other attempts. When no attempt has a
// final answer, the last one is returned.
package fulmarhedge

import (
	"context"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// Plan tells how a call is repeated.
type Plan struct {
	// After is the wait before each further attempt.
	After fulmarclock.Millis
	// Most bounds the attempts.
	Most int
}

type outcome[T any] struct {
	value T
	err   error
}

// Do calls until an attempt is final. isFinal tells whether an outcome settles the call.
func Do[T any](ctx context.Context, clock fulmarclock.Clock, p Plan, call func(context.Context) (T, error), isFinal func(T, error) bool) (T, error) {
	own, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan outcome[T], p.Most)
	begin := func() {
		go func() {
			value, err := call(own)
			outcomes <- outcome[T]{value, err}
		}()
	}
	begin()
	begun, ended := 1, 0
	next := clock.After(p.After)
	for {
		select {
		case o := <-outcomes:
			ended++
			if isFinal(o.value, o.err) || ended == p.Most || ended == begun {
				return o.value, o.err
			}
		case <-next:
			if begun < p.Most {
				begin()
				begun++
				next = clock.After(p.After)
			}
		}
	}
}
