package fulmarrelay

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarattempt"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarrelay/fulmarrelaypb"
)

// takeQueued removes what is queued for a member.
func takeQueued(s *session) []*queuedOrder {
	var queued []*queuedOrder
	for len(s.queue) > 0 {
		queued = append(queued, <-s.queue)
	}
	return queued
}

func TestOrderThatIsGivenUpInQueueIsNotSentLater(t *testing.T) {
	s := newSession("m", 1, instantClock{}, instantClock{})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	result, err := decodeResult(s.roundTrip(ctx, &fulmarrelaypb.Order{}))
	var notSent *fulmarattempt.NotSentError
	quicktest.Check(t, errors.As(err, &notSent), quicktest.IsTrue, quicktest.Commentf("%v", err))
	quicktest.Check(t, result, quicktest.Equals, fulmarjob.ResultUnreachable)
	quicktest.Check(t, s.sendable(takeQueued(s)), quicktest.HasLen, 0)
}

func TestOrderThatWasSentIsNotCalledUnsent(t *testing.T) {
	s := newSession("m", 1, instantClock{}, instantClock{})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	sent := make(chan []*fulmarrelaypb.Order, 1)
	go func() {
		sent <- s.sendable([]*queuedOrder{<-s.queue})
		cancel()
	}()
	result, _ := decodeResult(s.roundTrip(ctx, &fulmarrelaypb.Order{}))
	quicktest.Check(t, result, quicktest.Equals, fulmarjob.ResultUnknown)
	orders := <-sent
	quicktest.Assert(t, orders, quicktest.HasLen, 1)
	limit := orders[0].GetLimitMs()
	quicktest.Check(t, limit > 0 && limit <= 60_000, quicktest.IsTrue, quicktest.Commentf("%d", limit))
}
