package fulmarowner

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// slowStarts executes starts at once, but the response of the first attempt takes a time.
type slowStarts struct {
	*fakeExecutors
	delay    fulmarclock.Millis
	attempts atomic.Int32
	// answered is how many first attempts had their response, givenUp how many were given up before.
	answered, givenUp atomic.Int32
}

func (s *slowStarts) Start(ctx context.Context, address, id string, r fulmarjob.StartRequest) (fulmarjob.CommandResult, error) {
	if s.attempts.Add(1) > 1 {
		return s.fakeExecutors.Start(ctx, address, id, r)
	}
	select {
	case <-ctx.Done():
		s.givenUp.Add(1)
		return fulmarjob.ResultUnknown, &fulmarjob.UnknownOutcomeError{Call: "run-start", Cause: ctx.Err()}
	case <-s.clock.After(s.delay):
		s.answered.Add(1)
		return fulmarjob.ResultDone, nil
	}
}

func newSlowStarts(h *harness, delay fulmarclock.Millis) *slowStarts {
	slow := &slowStarts{fakeExecutors: h.executors, delay: delay}
	h.candidate.options.Relay, h.candidate.options.Executors = slow, slow
	return slow
}

func TestEndIsNotHeldOnceSlowAttemptOfStartIsAnswered(t *testing.T) {
	h := newHarness(t)
	slow := newSlowStarts(h, 300)
	h.start()
	h.acceptRunning(jobA)
	h.executors.finish(jobA)
	h.advanceBy(2 * fulmarclock.Second)
	h.c.Assert(h.executors.hasFinishedRuns(), quicktest.IsFalse)
	h.c.Assert(slow.answered.Load(), quicktest.Equals, int32(1))
}

func TestEndIsHeldWhileAttemptOfStartHasNoAnswer(t *testing.T) {
	h := newHarness(t)
	newSlowStarts(h, fulmarclock.Minute)
	h.start()
	h.acceptRunning(jobA)
	h.executors.finish(jobA)
	h.advanceBy(2 * fulmarclock.Second)
	h.c.Assert(h.executors.hasFinishedRuns(), quicktest.IsTrue)
}

func TestTermEndsBesideAttemptWithoutAnswer(t *testing.T) {
	h := newHarness(t)
	slow := newSlowStarts(h, fulmarclock.Minute)
	h.start()
	h.acceptRunning(jobA)
	h.c.Assert(h.endsWithin(400, func() {}), quicktest.IsTrue)
	h.c.Assert(slow.givenUp.Load(), quicktest.Equals, int32(1))
}

func TestAttemptThatBeginsAfterResultIsNotSent(t *testing.T) {
	var tally attemptTally
	n, ok := tally.begin()
	quicktest.Assert(t, n == 1 && ok, quicktest.IsTrue)
	quicktest.Assert(t, tally.close(), quicktest.Equals, 1)
	_, ok = tally.begin()
	quicktest.Assert(t, ok, quicktest.IsFalse)
}
