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

// SilentError means that nothing came on a stream for too long.
type SilentError struct{ For fulmarclock.Millis }

// Error tells for how long.
func (e *SilentError) Error() string { return "nothing came for " + e.For.Duration().String() }

// fullError means that an order was not sent as too many wait.
type fullError struct{}

func (*fullError) Error() string { return "too many orders wait for a member" }

// link is the owner's end of a member's stream.
type link struct {
	member string
	cores  float64
	clock  fulmarclock.Clock
	orders chan *fulmarrelaypb.Order
	ended  chan struct{}

	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan *fulmarrelaypb.Answer
	failed  bool
}

func newLink(member string, cores float64, clock fulmarclock.Clock) *link {
	return &link{
		member: member, cores: cores, clock: clock, orders: make(chan *fulmarrelaypb.Order, waitingOrders),
		ended: make(chan struct{}), waiting: map[uint64]chan *fulmarrelaypb.Answer{},
	}
}

// exchange sends an order and waits for its answer.
func (l *link) exchange(ctx context.Context, o *fulmarrelaypb.Order) (*fulmarrelaypb.Answer, error) {
	answers := make(chan *fulmarrelaypb.Answer, 1)
	if !l.enlist(o, answers) {
		return nil, &fullError{}
	}
	defer l.delist(o.GetNumber())
	o.LimitMs = remaining(ctx)
	select {
	case l.orders <- o:
	default:
		return nil, &fullError{}
	}
	select {
	case answer := <-answers:
		return answer, nil
	case <-l.ended:
		return nil, &fulmarjob.UnknownOutcomeError{Call: "an order through " + l.member, Cause: &DetachedError{Member: l.member}}
	case <-ctx.Done():
		return nil, &fulmarjob.UnknownOutcomeError{Call: "an order through " + l.member, Cause: ctx.Err()}
	}
}

// enlist numbers an order; it is false once the stream has ended.
func (l *link) enlist(o *fulmarrelaypb.Order, answers chan *fulmarrelaypb.Answer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed {
		return false
	}
	l.next++
	o.Number = l.next
	l.waiting[o.Number] = answers
	return true
}

func (l *link) delist(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, number)
}

// fail ends the wait of all orders and returns their number.
func (l *link) fail() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed = true
	close(l.ended)
	return len(l.waiting)
}

func (l *link) deliver(answers []*fulmarrelaypb.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range answers {
		if waiting := l.waiting[a.GetNumber()]; waiting != nil {
			delete(l.waiting, a.GetNumber())
			waiting <- a
		}
	}
}

// serve sends orders and takes answers until the stream ends or goes silent.
func (l *link) serve(stream fulmarrelaypb.Relay_AttachServer) error {
	ctx, cancel := context.WithCancel(stream.Context())
	var sending sync.WaitGroup
	defer sending.Wait()
	defer cancel()
	received := make(chan error, 1)
	heard := make(chan struct{}, 1)
	go func() { received <- l.receive(stream, heard) }()
	sending.Go(func() {
		gather(ctx, l.clock, l.orders, func(orders []*fulmarrelaypb.Order) error {
			return stream.Send(&fulmarrelaypb.Orders{Orders: orders})
		})
	})
	return awaitEnd(ctx, l.clock, received, heard)
}

func (l *link) receive(stream fulmarrelaypb.Relay_AttachServer, heard chan<- struct{}) error {
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		note(heard)
		l.deliver(message.GetAnswers())
	}
}

// note tells that something was received, without waiting.
func note(heard chan<- struct{}) {
	select {
	case heard <- struct{}{}:
	default:
	}
}

// awaitEnd waits until receiving ends or nothing was heard for too long.
func awaitEnd(ctx context.Context, clock fulmarclock.Clock, received <-chan error, heard <-chan struct{}) error {
	at := clock.Now()
	for {
		select {
		case err := <-received:
			return err
		case <-ctx.Done():
			return ctx.Err()
		case <-heard:
			at = clock.Now()
		case <-clock.After(beatEvery):
			if silent := clock.Now() - at; silent > silenceLimit {
				return &SilentError{For: silent}
			}
		}
	}
}

// gather sends what comes on a channel in messages, and an empty one when nothing
// does. It ends at the first error of send, which the stream's receiving side meets and logs too.
func gather[T any](ctx context.Context, clock fulmarclock.Clock, values <-chan T, send func([]T) error) {
	for {
		var batch []T
		select {
		case <-ctx.Done():
			return
		case v := <-values:
			batch = append(batch, v)
			<-clock.After(gatherTime)
		case <-clock.After(beatEvery):
		}
		for more := true; more && len(batch) < messageOrders; {
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

// remaining returns the milliseconds until a context's deadline.
func remaining(ctx context.Context) int64 {
	deadline, found := ctx.Deadline()
	if !found {
		return 0
	}
	return max(time.Until(deadline).Milliseconds(), 1)
}
