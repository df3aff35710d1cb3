package fulmarattempt

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestAttemptThatWasGivenUpDoesNotBegin(t *testing.T) {
	ctx := NewContext(context.Background(), New(0, nil))
	a := Track(ctx)
	quicktest.Assert(t, a.GiveUp(), quicktest.IsTrue)
	var given *GivenUpError
	quicktest.Assert(t, errors.As(Track(ctx).Begin(ctx), &given), quicktest.IsTrue)
	quicktest.Assert(t, a.HasBegun(), quicktest.IsFalse)
}

func TestAttemptThatHasBegunIsNotCalledUnsent(t *testing.T) {
	a := Track(context.Background())
	quicktest.Assert(t, a.Begin(context.Background()), quicktest.IsNil)
	quicktest.Assert(t, a.GiveUp(), quicktest.IsFalse)
	quicktest.Assert(t, a.Begin(context.Background()), quicktest.IsNil)
}

func TestAttemptThatNobodyTracksIsNotCalledUnsent(t *testing.T) {
	quicktest.Assert(t, New(0, nil).GiveUp(), quicktest.IsFalse)
}

func TestAttemptDoesNotBeginOnceItMustNot(t *testing.T) {
	refusal := errors.New("too late")
	a := Track(NewContext(context.Background(), New(0, func() error { return refusal })))
	quicktest.Assert(t, errors.Is(a.Begin(context.Background()), refusal), quicktest.IsTrue)
	quicktest.Assert(t, a.GiveUp(), quicktest.IsTrue)
}

// stoppedTimer is a context whose deadline has passed, while its timer has not fired yet.
type stoppedTimer struct{ context.Context }

func (stoppedTimer) Deadline() (time.Time, bool) { return time.Now().Add(-time.Millisecond), true }

func TestAttemptOfPausedProcessDoesNotBeginAfterItsDeadline(t *testing.T) {
	err := Track(context.Background()).Begin(stoppedTimer{context.Background()})
	var late *LateError
	quicktest.Assert(t, errors.As(err, &late), quicktest.IsTrue)
}

func TestAttemptThatWaitedTooLongDoesNotBegin(t *testing.T) {
	a := Track(NewContext(context.Background(), New(time.Millisecond, nil)))
	time.Sleep(2 * time.Millisecond)
	var late *LateError
	quicktest.Assert(t, errors.As(a.Begin(context.Background()), &late), quicktest.IsTrue)
	quicktest.Assert(t, a.GiveUp(), quicktest.IsTrue)
}

func TestAttemptEitherBeginsOrIsGivenUp(t *testing.T) {
	for range 1000 {
		a := Track(context.Background())
		var began, unsent atomic.Bool
		var calls sync.WaitGroup
		calls.Go(func() { began.Store(a.Begin(context.Background()) == nil) })
		calls.Go(func() { unsent.Store(a.GiveUp()) })
		calls.Wait()
		quicktest.Assert(t, began.Load(), quicktest.Not(quicktest.Equals), unsent.Load())
	}
}
