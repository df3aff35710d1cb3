package fulmarhedge

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// immediateClock makes every wait return at once, so that all attempts start without a delay.
type immediateClock struct{ fulmarclock.Clock }

func (immediateClock) After(fulmarclock.Millis) <-chan fulmarclock.Millis {
	done := make(chan fulmarclock.Millis, 1)
	done <- 0
	return done
}

func succeeded(_ int, err error) bool { return err == nil }

func TestDoHedgesAttemptWithoutResponse(t *testing.T) {
	var calls atomic.Int32
	value, err := Do(context.Background(), immediateClock{}, Plan{Delay: 50, MaxAttempts: 3}, func(ctx context.Context) (int, error) {
		n := calls.Add(1)
		if n < 3 {
			<-ctx.Done()
			return 0, ctx.Err()
		}
		return int(n), nil
	}, succeeded)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, value, quicktest.Equals, 3)
}

func TestDoReturnsErrorOfOnlyAttempt(t *testing.T) {
	var calls atomic.Int32
	failure := errors.New("no response")
	_, err := Do(context.Background(), fulmarclock.NewManual(0), Plan{Delay: 50, MaxAttempts: 4}, func(context.Context) (int, error) {
		calls.Add(1)
		return 0, failure
	}, succeeded)
	quicktest.Assert(t, errors.Is(err, failure), quicktest.IsTrue)
	quicktest.Assert(t, calls.Load(), quicktest.Equals, int32(1))
}

func TestDoCancelsAttemptsWithCaller(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	_, err := Do(ctx, immediateClock{}, Plan{Delay: 50, MaxAttempts: 2}, func(ctx context.Context) (int, error) {
		cancel()
		<-ctx.Done()
		return 0, ctx.Err()
	}, succeeded)
	quicktest.Assert(t, errors.Is(err, context.Canceled), quicktest.IsTrue)
}

func TestDoAllLetsOtherAttemptsReturn(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var calls, answered atomic.Int32
	release := make(chan struct{})
	value, wait, err := DoAll(ctx, immediateClock{}, Plan{Delay: 50, MaxAttempts: 2}, func(ctx context.Context) (int, error) {
		n := calls.Add(1)
		if n == 1 {
			select {
			case <-ctx.Done():
				return 0, ctx.Err()
			case <-release:
			}
		}
		answered.Add(1)
		return int(n), nil
	}, succeeded)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, value, quicktest.Equals, 2)
	close(release)
	wait()
	quicktest.Assert(t, answered.Load(), quicktest.Equals, int32(2))
}
