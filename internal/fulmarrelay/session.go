package fulmarrelay

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fulmardrum/fulmardrum/internal/fulmarattempt"
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarrelay/fulmarrelaypb"
)

// DetachedError means that the stream to a member ended before the result of a command arrived.
type DetachedError struct{ Member string }

// Error returns a text with the member's name.
func (e *DetachedError) Error() string { return "the stream to " + e.Member + " has ended" }

// TimeoutError means that no message arrived on a stream within heartbeatTimeout.
type TimeoutError struct{ Elapsed fulmarclock.Millis }

// Error returns a text with the time since the last message.
func (e *TimeoutError) Error() string { return "no message for " + e.Elapsed.Duration().String() }

// queueFullError means that a command was not sent because the session's queue is full
// or the stream has ended.
type queueFullError struct{}

func (*queueFullError) Error() string { return "the member's command queue is full or closed" }

// session is the owner's end of an attached member's stream. It queues commands and
// matches the results by command number.
type session struct {
	member string
	cores  float64
	clock  fulmarclock.Clock
	queue  chan *queuedOrder
	done   chan struct{}
	// bootClock is the owner's clock that also counts the time in which the VM was suspended.
	bootClock   fulmarclock.Clock
	memberClock memberClock

	mu         sync.Mutex
	lastNumber uint64
	pending    map[uint64]chan *fulmarrelaypb.Answer
	closed     bool
}

// queuedOrder is a command that waits for its message. It is left out if its attempt may not begin by then.
type queuedOrder struct {
	*fulmarrelaypb.Order
	ctx     context.Context
	attempt *fulmarattempt.Attempt
}

func newSession(member string, cores float64, clock, bootClock fulmarclock.Clock) *session {
	return &session{
		member: member, cores: cores, clock: clock, bootClock: bootClock, queue: make(chan *queuedOrder, maxQueuedCommands),
		done: make(chan struct{}), pending: map[uint64]chan *fulmarrelaypb.Answer{},
	}
}

// roundTrip sends a command and waits for its result. It fails with queueFullError when
// the command was not queued. When ctx or the stream ends first, it fails with fulmarattempt.NotSentError if
// the command was still queued, and with fulmarjob.UnknownOutcomeError if not.
func (s *session) roundTrip(ctx context.Context, o *fulmarrelaypb.Order) (*fulmarrelaypb.Answer, error) {
	result := make(chan *fulmarrelaypb.Answer, 1)
	if !s.register(o, result) {
		return nil, &queueFullError{}
	}
	defer s.unregister(o.GetNumber())
	attempt := fulmarattempt.Track(ctx)
	select {
	case s.queue <- &queuedOrder{o, ctx, attempt}:
	default:
		return nil, &queueFullError{}
	}
	select {
	case r := <-result:
		return r, nil
	case <-s.done:
		return nil, s.errorOf(attempt, &DetachedError{Member: s.member})
	case <-ctx.Done():
		return nil, s.errorOf(attempt, ctx.Err())
	}
}

// errorOf returns the error of a command without a result.
func (s *session) errorOf(attempt *fulmarattempt.Attempt, cause error) error {
	call := "a command through " + s.member
	if attempt.GiveUp() {
		return &fulmarattempt.NotSentError{Call: call, Cause: cause}
	}
	return &fulmarjob.UnknownOutcomeError{Call: call, Cause: cause}
}

// sendable returns the commands that may still be sent, with their remaining time.
func (s *session) sendable(queued []*queuedOrder) []*fulmarrelaypb.Order {
	orders := make([]*fulmarrelaypb.Order, 0, len(queued))
	for _, q := range queued {
		if q.attempt.Begin(q.ctx) != nil {
			continue
		}
		q.LimitMs = remainingMillis(q.ctx)
		if left, limited := q.attempt.TimeLeft(q.ctx); limited {
			q.SendByMs = int64(s.memberClock.after(s.bootClock.Now(), left))
		}
		orders = append(orders, q.Order)
	}
	return orders
}

// register assigns a number to a command and the channel that gets its result. It
// returns false when the stream has ended.
func (s *session) register(o *fulmarrelaypb.Order, result chan *fulmarrelaypb.Answer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.lastNumber++
	o.Number = s.lastNumber
	s.pending[o.Number] = result
	return true
}

func (s *session) unregister(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, number)
}

// close fails all pending commands and returns how many there were.
func (s *session) close() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	close(s.done)
	return len(s.pending)
}

// deliver passes results to the commands that wait for them. Other results are dropped.
func (s *session) deliver(results []*fulmarrelaypb.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range results {
		if result := s.pending[r.GetNumber()]; result != nil {
			delete(s.pending, r.GetNumber())
			result <- r
		}
	}
}

// serve sends queued commands and the notice of a later owner, and receives results, until the
// stream ends or its heartbeats time out.
func (s *session) serve(stream fulmarrelaypb.Relay_AttachServer, notice *ownerNotice) error {
	ctx, cancel := context.WithCancel(stream.Context())
	var senders sync.WaitGroup
	defer senders.Wait()
	defer cancel()
	received := make(chan error, 1)
	heartbeat := make(chan struct{}, 1)
	go func() { received <- s.receive(stream, heartbeat) }()
	senders.Go(func() {
		sendBatches(ctx, s.clock, s.queue, func(batch []*queuedOrder) error {
			return stream.Send(&fulmarrelaypb.Orders{Orders: s.sendable(batch), Owner: notice.next()})
		})
	})
	return awaitStreamEnd(ctx, s.clock, received, heartbeat)
}

// receive delivers the results of received messages until the stream fails, and signals
// heartbeat at each message.
func (s *session) receive(stream fulmarrelaypb.Relay_AttachServer, heartbeat chan<- struct{}) error {
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		signal(heartbeat)
		s.memberClock.observe(s.bootClock.Now(), fulmarclock.Millis(message.GetClockMs()))
		s.deliver(message.GetAnswers())
	}
}

// signal sends an event without blocking. If one is already pending, nothing is sent.
func signal(events chan<- struct{}) {
	select {
	case events <- struct{}{}:
	default:
	}
}

// awaitStreamEnd waits until receiving fails, ctx ends, or no message has arrived
// within heartbeatTimeout.
func awaitStreamEnd(ctx context.Context, clock fulmarclock.Clock, received <-chan error, heartbeat <-chan struct{}) error {
	lastReceived := clock.Now()
	for {
		select {
		case err := <-received:
			return err
		case <-ctx.Done():
			return ctx.Err()
		case <-heartbeat:
			lastReceived = clock.Now()
		case <-clock.After(heartbeatInterval):
			if elapsed := clock.Now() - lastReceived; elapsed > heartbeatTimeout {
				return &TimeoutError{Elapsed: elapsed}
			}
		}
	}
}

// sendBatches sends the values of a channel in batches, and an empty batch as heartbeat
// when there are none. It returns at the first error of send; the receiving side of the
// stream fails as well and logs the error.
func sendBatches[T proto.Message](ctx context.Context, clock fulmarclock.Clock, values <-chan T, send func([]T) error) {
	for {
		var batch []T
		select {
		case <-ctx.Done():
			return
		case v := <-values:
			batch = append(batch, v)
			<-clock.After(batchDelay)
		case <-clock.After(heartbeatInterval):
		}
		if send(appendQueued(batch, values)) != nil {
			return
		}
	}
}

// appendQueued adds the values that are queued to a batch, up to its bounds.
func appendQueued[T proto.Message](batch []T, values <-chan T) []T {
	size := 0
	for _, v := range batch {
		size += proto.Size(v)
	}
	for len(batch) < maxBatchSize && size < maxBatchBytes {
		select {
		case v := <-values:
			batch = append(batch, v)
			size += proto.Size(v)
		default:
			return batch
		}
	}
	return batch
}

// remainingMillis returns the milliseconds until ctx's deadline, at least 1, or 0 when
// it has none.
func remainingMillis(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(deadline).Milliseconds(), 1)
}
