package fulmarrelay

import (
	"context"
	"sync"
	"time"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarrelay/fulmarrelaypb"
)

// DetachedError means that the stream to a member ended before its answer came.
type DetachedError struct{ Member string }

// Error names the member.
func (e *DetachedError) Error() string { return "the stream to " + e.Member + " has ended" }

// HeartbeatTimeoutError means that nothing came on a stream for too long.
type HeartbeatTimeoutError struct{ Elapsed fulmarclock.Millis }

// Error tells for how long.
func (e *HeartbeatTimeoutError) Error() string {
	return "nothing came for " + e.Elapsed.Duration().String()
}

// queueFullError means that an order was not sent as too many wait.
type queueFullError struct{}

func (*queueFullError) Error() string { return "too many orders wait for a member" }

// session is the owner's end of a member's stream.
type session struct {
	member string
	cores  float64
	clock  fulmarclock.Clock
	queue  chan *fulmarrelaypb.Order
	done   chan struct{}

	mu         sync.Mutex
	lastNumber uint64
	pending    map[uint64]chan *fulmarrelaypb.Answer
	closed     bool
}

func newSession(member string, cores float64, clock fulmarclock.Clock) *session {
	return &session{
		member: member, cores: cores, clock: clock, queue: make(chan *fulmarrelaypb.Order, maxQueuedCommands),
		done: make(chan struct{}), pending: map[uint64]chan *fulmarrelaypb.Answer{},
	}
}

// roundTrip sends an order and waits for its answer.
func (l *session) roundTrip(ctx context.Context, o *fulmarrelaypb.Order) (*fulmarrelaypb.Answer, error) {
	answers := make(chan *fulmarrelaypb.Answer, 1)
	if !l.register(o, answers) {
		return nil, &queueFullError{}
	}
	defer l.unregister(o.GetNumber())
	o.LimitMs = remainingMillis(ctx)
	select {
	case l.queue <- o:
	default:
		return nil, &queueFullError{}
	}
	select {
	case answer := <-answers:
		return answer, nil
	case <-l.done:
		return nil, &fulmarjob.UnknownError{Call: "an order through " + l.member, Cause: &DetachedError{Member: l.member}}
	case <-ctx.Done():
		return nil, &fulmarjob.UnknownError{Call: "an order through " + l.member, Cause: ctx.Err()}
	}
}

// register numbers an order; it is false once the stream has ended.
func (l *session) register(o *fulmarrelaypb.Order, answers chan *fulmarrelaypb.Answer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.lastNumber++
	o.Number = l.lastNumber
	l.pending[o.Number] = answers
	return true
}

func (l *session) unregister(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, number)
}

// close ends the wait of all orders and returns their number.
func (l *session) close() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	close(l.done)
	return len(l.pending)
}

func (l *session) deliver(answers []*fulmarrelaypb.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range answers {
		if waiting := l.pending[a.GetNumber()]; waiting != nil {
			delete(l.pending, a.GetNumber())
			waiting <- a
		}
	}
}

// serve sends orders and takes answers until the stream ends or goes silent.
func (l *session) serve(stream fulmarrelaypb.Relay_AttachServer) error {
	ctx, cancel := context.WithCancel(stream.Context())
	var sending sync.WaitGroup
	defer sending.Wait()
	defer cancel()
	received := make(chan error, 1)
	heard := make(chan struct{}, 1)
	go func() { received <- l.receive(stream, heard) }()
	sending.Go(func() {
		sendBatches(ctx, l.clock, l.queue, func(orders []*fulmarrelaypb.Order) error {
			return stream.Send(&fulmarrelaypb.Orders{Orders: orders})
		})
	})
	return awaitStreamEnd(ctx, l.clock, received, heard)
}

func (l *session) receive(stream fulmarrelaypb.Relay_AttachServer, heard chan<- struct{}) error {
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		signal(heard)
		l.deliver(message.GetAnswers())
	}
}

// signal tells that something was received, without waiting.
func signal(heard chan<- struct{}) {
	select {
	case heard <- struct{}{}:
	default:
	}
}

// awaitStreamEnd waits until receiving ends or nothing was heard for too long.
func awaitStreamEnd(ctx context.Context, clock fulmarclock.Clock, received <-chan error, heard <-chan struct{}) error {
	at := clock.Now()
	for {
		select {
		case err := <-received:
			return err
		case <-ctx.Done():
			return ctx.Err()
		case <-heard:
			at = clock.Now()
		case <-clock.After(heartbeatInterval):
			if silent := clock.Now() - at; silent > heartbeatTimeout {
				return &HeartbeatTimeoutError{Elapsed: silent}
			}
		}
	}
}

// sendBatches sends what comes on a channel in messages, and an empty one when nothing
// does. It ends at the first error of send, which the stream's receiving side meets and logs too.
func sendBatches[T any](ctx context.Context, clock fulmarclock.Clock, values <-chan T, send func([]T) error) {
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
		for more := true; more && len(batch) < maxBatchSize; {
			select {
			case v := <-values:
				batch = append(batch, v)
			default:
				more = false
			}
		}
		if send(batch) != nil {
			return
		}
	}
}

// remainingMillis returns the milliseconds until a context's deadline.
func remainingMillis(ctx context.Context) int64 {
	deadline, found := ctx.Deadline()
	if !found {
		return 0
	}
	return max(time.Until(deadline).Milliseconds(), 1)
}
