package fulmarowner

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarattempt"
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// slowRenewals delays each renewal that acknowledges ends, unless it is given up before.
type slowRenewals struct {
	*fakeExecutors
	delay fulmarclock.Millis
	// late is how many of them were executed after the delay.
	late int
}

func (s *slowRenewals) RenewLease(ctx context.Context, address, id string, token, acknowledged int64, deadline, wait fulmarclock.Millis) (fulmarjob.CommandResult, fulmarjob.Report, error) {
	if acknowledged > 0 {
		select {
		case <-ctx.Done():
			return fulmarjob.ResultUnknown, fulmarjob.Report{}, ctx.Err()
		case <-s.clock.After(s.delay):
		}
		s.mu.Lock()
		s.late++
		s.mu.Unlock()
	}
	return s.fakeExecutors.RenewLease(ctx, address, id, token, acknowledged, deadline, wait)
}

func (s *slowRenewals) lateCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.late
}

func TestAcknowledgementThatWaitsForConnectionIsGivenUp(t *testing.T) {
	h := newHarness(t)
	slow := &slowRenewals{fakeExecutors: h.executors, delay: 700}
	h.candidate.options.Relay, h.candidate.options.Executors = slow, slow
	h.start()
	h.acceptRunning(jobA)
	h.acceptRunning(jobB)
	h.executors.finish(jobA)
	h.advanceBy(4000)
	h.c.Assert(slow.lateCount(), quicktest.Equals, 0)
}

// slowAnswers writes each renewal that acknowledges ends at once, and has its response after a delay.
type slowAnswers struct {
	slowRenewals
	givenUp atomic.Int32
}

func (s *slowAnswers) RenewLease(ctx context.Context, address, id string, token, acknowledged int64, deadline, wait fulmarclock.Millis) (fulmarjob.CommandResult, fulmarjob.Report, error) {
	if acknowledged == 0 {
		return s.fakeExecutors.RenewLease(ctx, address, id, token, acknowledged, deadline, wait)
	}
	if err := fulmarattempt.Track(ctx).Begin(ctx); err != nil {
		return fulmarjob.ResultUnknown, fulmarjob.Report{}, err
	}
	result, report, err := s.slowRenewals.RenewLease(ctx, address, id, token, acknowledged, deadline, wait)
	if err != nil {
		s.givenUp.Add(1)
	}
	return result, report, err
}

func TestAcknowledgementThatWasWrittenKeepsItsResponse(t *testing.T) {
	h := newHarness(t)
	slow := &slowAnswers{slowRenewals: slowRenewals{fakeExecutors: h.executors, delay: 250}}
	h.candidate.options.Relay, h.candidate.options.Executors = slow, slow
	h.start()
	h.acceptRunning(jobA)
	h.acceptRunning(jobB)
	h.executors.finish(jobA)
	h.waitFor("the end is acknowledged", func() bool { return slow.lateCount() > 0 })
	h.c.Assert(slow.givenUp.Load(), quicktest.Equals, int32(0))
}

func TestAcknowledgementIsNotWrittenLongAfterItsReport(t *testing.T) {
	h := newHarness(t)
	owner := h.start()
	attempt := owner.newTimedAttempt("hold", h.bootClock.Now()+acknowledgementSendTimeout)
	ctx := fulmarattempt.NewContext(context.Background(), attempt)
	fulmarattempt.Track(ctx)
	h.bootClock.Advance(acknowledgementSendTimeout + 1)
	var late *fulmarattempt.LateError
	h.c.Assert(errors.As(attempt.Begin(ctx), &late), quicktest.IsTrue)
	h.c.Assert(attempt.GiveUp(), quicktest.IsTrue)
}

// lateRelay is a relay whose members send no renewal that acknowledges ends in time.
type lateRelay struct {
	*fakeExecutors
	// late is the number of those; renewed and reports are those of later ones that renew the lease or do not.
	late, renewed, reports atomic.Int32
}

func (r *lateRelay) RenewLease(ctx context.Context, address, id string, token, acknowledged int64, deadline, wait fulmarclock.Millis) (fulmarjob.CommandResult, fulmarjob.Report, error) {
	if err := fulmarattempt.Track(ctx).Begin(ctx); err != nil {
		return fulmarjob.ResultUnreachable, fulmarjob.Report{}, err
	}
	switch {
	case acknowledged > 0:
		r.late.Add(1)
		return fulmarjob.ResultUnreachable, fulmarjob.Report{}, &fulmarattempt.LateError{}
	case r.late.Load() > 0 && deadline > 0:
		r.renewed.Add(1)
	case r.late.Load() > 0:
		r.reports.Add(1)
	}
	return r.fakeExecutors.RenewLease(ctx, address, id, token, acknowledged, deadline, wait)
}

func TestLeaseIsRenewedThoughAcknowledgementIsLate(t *testing.T) {
	h := newHarness(t)
	relay := &lateRelay{fakeExecutors: h.executors}
	h.candidate.options.Relay, h.candidate.options.Executors = relay, relay
	h.start()
	h.acceptRunning(jobA)
	h.acceptRunning(jobB)
	h.executors.finish(jobA)
	h.waitFor("renewals go on", func() bool { return relay.renewed.Load()+relay.reports.Load() >= 10 })
	h.c.Assert(relay.reports.Load(), quicktest.Equals, int32(0))
	h.c.Assert(h.executors.acknowledgements(), quicktest.HasLen, 0)
}

func TestEndIsAcknowledgedThoughRelayingMemberIsLate(t *testing.T) {
	h := newHarness(t)
	h.candidate.options.Relay = &lateRelay{fakeExecutors: h.executors}
	h.start()
	h.acceptRunning(jobA)
	h.acceptRunning(jobB)
	h.executors.finish(jobA)
	h.advanceBy(fulmarclock.Second)
	h.c.Assert(len(h.executors.acknowledgements()) > 0, quicktest.IsTrue)
}
