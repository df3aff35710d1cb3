package fulmarowner

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarattempt"
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarsched"
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
	h.advanceBy(5 * fulmarclock.Second)
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
	h.c.Assert(h.endsWithin(4*fulmarclock.Second, func() {}), quicktest.IsTrue)
	h.c.Assert(slow.givenUp.Load(), quicktest.Equals, int32(1))
}

func TestAttemptThatBeginsAfterResultIsNotSent(t *testing.T) {
	tally := newAttemptTally()
	n, ok := tally.begin(fulmarattempt.New(0, nil), func() {})
	quicktest.Assert(t, n == 1 && ok, quicktest.IsTrue)
	tally.close(fulmarjob.ResultDone)
	_, ok = tally.begin(fulmarattempt.New(0, nil), func() {})
	quicktest.Assert(t, ok, quicktest.IsFalse)
}

func TestCountOfAttemptsLeavesOutThoseThatWereNotSent(t *testing.T) {
	for _, row := range []struct {
		name string
		// ended are the results of attempts that have returned, sent and waiting the numbers of others.
		ended         []fulmarjob.CommandResult
		sent, waiting int
		last          fulmarjob.CommandResult
		attempts      int
		result        fulmarjob.CommandResult
	}{
		{"answered beside one that waits", []fulmarjob.CommandResult{fulmarjob.ResultDone}, 0, 1, fulmarjob.ResultDone, 1, fulmarjob.ResultDone},
		{"answered beside one that was sent", []fulmarjob.CommandResult{fulmarjob.ResultDone}, 1, 0, fulmarjob.ResultDone, 2, fulmarjob.ResultDone},
		{"answered after one that was not sent", []fulmarjob.CommandResult{fulmarjob.ResultUnreachable, fulmarjob.ResultDone}, 0, 0, fulmarjob.ResultDone, 1, fulmarjob.ResultDone},
		{"no connection after one that was sent", []fulmarjob.CommandResult{fulmarjob.ResultUnknown, fulmarjob.ResultUnreachable}, 0, 0, fulmarjob.ResultUnreachable, 1, fulmarjob.ResultUnknown},
		{"none sent", []fulmarjob.CommandResult{fulmarjob.ResultUnreachable, fulmarjob.ResultUnreachable}, 0, 0, fulmarjob.ResultUnreachable, 1, fulmarjob.ResultUnreachable},
	} {
		t.Run(row.name, func(t *testing.T) {
			tally := newAttemptTally()
			for _, result := range row.ended {
				a := fulmarattempt.New(0, nil)
				tally.begin(a, func() {})
				tally.end(a, result)
			}
			canceled := 0
			for i := range row.sent + row.waiting {
				a := fulmarattempt.New(0, nil)
				ctx := fulmarattempt.NewContext(context.Background(), a)
				tally.begin(a, func() { canceled++ })
				fulmarattempt.Track(ctx)
				if i < row.sent {
					quicktest.Assert(t, a.Begin(ctx), quicktest.IsNil)
				}
			}
			attempts, result := tally.close(row.last)
			quicktest.Assert(t, attempts, quicktest.Equals, row.attempts)
			quicktest.Assert(t, result, quicktest.Equals, row.result)
			quicktest.Assert(t, canceled, quicktest.Equals, row.waiting)
		})
	}
}

// waitingStarts are starts of which each first attempt waits for a connection until it is given up.
type waitingStarts struct {
	*fakeExecutors
	attempts, given atomic.Int32
}

func (s *waitingStarts) Start(ctx context.Context, address, id string, r fulmarjob.StartRequest) (fulmarjob.CommandResult, error) {
	fulmarattempt.Track(ctx)
	if s.attempts.Add(1) > 1 {
		return s.fakeExecutors.Start(ctx, address, id, r)
	}
	<-ctx.Done()
	s.given.Add(1)
	return fulmarjob.ResultUnreachable, &fulmarattempt.NotSentError{Call: "run-start", Cause: ctx.Err()}
}

func TestEndIsNotHeldForAttemptThatNeverGotConnection(t *testing.T) {
	h := newHarness(t)
	waiting := &waitingStarts{fakeExecutors: h.executors}
	h.candidate.options.Relay, h.candidate.options.Executors = waiting, waiting
	h.start()
	h.acceptRunning(jobA)
	h.executors.finish(jobA)
	h.advanceBy(5 * fulmarclock.Second)
	h.c.Assert(waiting.given.Load(), quicktest.Equals, int32(1))
	h.c.Assert(h.executors.hasFinishedRuns(), quicktest.IsFalse)
}

// A pause between the decision on a command and its first attempt leaves no trace in the time of the attempt.
func TestCommandsOfPausedProcessAreNotSentWhenItWakes(t *testing.T) {
	h := newHarness(t)
	owner := h.start()
	h.acceptRunning(jobA)
	decided := h.bootClock.Now()
	h.bootClock.Advance(commandValidity + 1)
	commands := h.executors.received()
	owner.start(context.Background(), fulmarsched.StartCommand{Start: fulmarjob.StartRequest{Run: 9}}, decided)
	owner.stop(context.Background(), fulmarsched.StopCommand{Run: 9}, decided)
	owner.renewLease(context.Background(), fulmarsched.RenewCommand{Acknowledged: 7, Token: 99}, decided)
	for _, c := range h.executors.received()[len(commands):] {
		h.c.Check(c.run == 9 || c.acknowledged == 7, quicktest.IsFalse, quicktest.Commentf("%+v", c))
	}
}
