package fulmarhedge

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// eagerClock lets no time pass in waits, so that every further attempt begins at once.
type eagerClock struct{ fulmarclock.Clock }

func (eagerClock) After(fulmarclock.Millis) <-chan fulmarclock.Millis {
	done := make(chan fulmarclock.Millis, 1)
	done <- 0
	return done
}

func answered(_ int, err error) bool { return err == nil }

func TestASilentAttemptIsRepeated(t *testing.T) {
	var calls atomic.Int32
	value, err := Do(context.Background(), eagerClock{}, Plan{After: 50, Most: 3}, func(ctx context.Context) (int, error) {
		n := calls.Add(1)
		if n < 3 {
			<-ctx.Done()
			return 0, ctx.Err()
		}
		return int(n), nil
	}, answered)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, value, quicktest.Equals, 3)
}

func TestAllAttemptsFail(t *testing.T) {
	var calls atomic.Int32
	failure := errors.New("no answer")
	_, err := Do(context.Background(), fulmarclock.NewManual(0), Plan{After: 50, Most: 4}, func(context.Context) (int, error) {
		calls.Add(1)
		return 0, failure
	}, answered)
	quicktest.Assert(t, errors.Is(err, failure), quicktest.IsTrue)
	quicktest.Assert(t, calls.Load(), quicktest.Equals, int32(1))
}

func TestTheCallersEndEndsAllAttempts(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	_, err := Do(ctx, eagerClock{}, Plan{After: 50, Most: 2}, func(own context.Context) (int, error) {
		cancel()
		<-own.Done()
		return 0, own.Err()
	}, answered)
	quicktest.Assert(t, errors.Is(err, context.Canceled), quicktest.IsTrue)
}
