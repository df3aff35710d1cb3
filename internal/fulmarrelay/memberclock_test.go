package fulmarrelay

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarattempt"
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarrelay/fulmarrelaypb"
)

func TestSendByIsNeverLaterThanMeant(t *testing.T) {
	const ahead = 5000 * fulmarclock.Millis(1)
	var c memberClock
	quicktest.Check(t, c.after(0, time.Second), quicktest.Equals, fulmarclock.Millis(0))
	now := fulmarclock.Millis(1000)
	for _, delay := range []fulmarclock.Millis{40, 700, 3, 90, 2000} {
		now += 1000
		c.observe(now, now-delay+ahead)
		sendBy := c.after(now, 100*time.Millisecond)
		quicktest.Check(t, sendBy <= now+ahead+100, quicktest.IsTrue, quicktest.Commentf("delay %d: %d at %d", delay, sendBy, now))
	}
	quicktest.Check(t, c.after(now, 100*time.Millisecond) >= now+ahead+100-10, quicktest.IsTrue)
}

func TestSendByFollowsClockThatIsSlow(t *testing.T) {
	var c memberClock
	c.observe(0, 1000)
	for now := fulmarclock.Second; now < fulmarclock.Minute; now += fulmarclock.Second {
		member := 1000 + now - now/2000
		c.observe(now, member-50)
		quicktest.Check(t, c.after(now, 0) <= member, quicktest.IsTrue, quicktest.Commentf("%d at %d", c.after(now, 0), member))
	}
}

func TestMemberWithoutClockGetsNoSendBy(t *testing.T) {
	var c memberClock
	c.observe(1000, 0)
	quicktest.Check(t, c.after(1000, time.Second), quicktest.Equals, fulmarclock.Millis(0))
}

// trackedStarts are executors whose starts wait for a connection for a time.
type trackedStarts struct {
	fakeExecutors
	wait time.Duration
}

func (e *trackedStarts) Start(ctx context.Context, address, id string, s fulmarjob.StartRequest) (fulmarjob.CommandResult, error) {
	attempt := fulmarattempt.Track(ctx)
	time.Sleep(e.wait)
	if err := attempt.Begin(ctx); err != nil {
		return fulmarjob.ResultUnreachable, err
	}
	return e.fakeExecutors.Start(ctx, address, id, s)
}

func TestAgentWritesNoOrderAfterItsSendBy(t *testing.T) {
	for within, wait := range map[int64]time.Duration{60_000: 0, 20: 50 * time.Millisecond} {
		executors := &trackedStarts{wait: wait}
		agent := NewAgent(AgentOptions{Executors: executors})
		order := &fulmarrelaypb.Order{SendByMs: agent.now() + within, Kind: &fulmarrelaypb.Order_Start{Start: &fulmarrelaypb.Start{}}}
		answer := agent.executeInTime(context.Background(), order)
		late := wait > 0
		quicktest.Check(t, fulmarjob.CommandResult(answer.GetAnswer()) == fulmarjob.ResultUnreachable, quicktest.Equals, late)
		quicktest.Check(t, executors.startCount() == 0, quicktest.Equals, late)
	}
}

func TestRelayedOrderHasSendBy(t *testing.T) {
	s := newSession("m", 1, instantClock{}, fulmarclock.NewManual(7000))
	s.memberClock.observe(7000, 500)
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	attempt := fulmarattempt.New(time.Minute, nil)
	orders := s.sendable([]*queuedOrder{{&fulmarrelaypb.Order{}, ctx, attempt}})
	quicktest.Assert(t, orders, quicktest.HasLen, 1)
	quicktest.Check(t, orders[0].GetSendByMs() > 500 && orders[0].GetSendByMs() <= 60_500, quicktest.IsTrue, quicktest.Commentf("%d", orders[0].GetSendByMs()))
}

func TestRenewalThatAgentDidNotSendIsKnownAsUnsent(t *testing.T) {
	f := newFixture(t, &fakeExecutors{})
	f.attach("a", 8, &fakeExecutors{commandResult: fulmarjob.ResultUnreachable, err: errors.New("not sent")})
	f.hub.SetExecutorCount(1000)
	result, _, err := f.hub.RenewLease(context.Background(), "a", "x", 1, 7, 0, 0)
	quicktest.Check(t, result, quicktest.Equals, fulmarjob.ResultUnreachable)
	quicktest.Check(t, err, quicktest.IsNotNil)
}
