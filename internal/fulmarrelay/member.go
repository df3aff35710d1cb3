package fulmarrelay

import (
	"context"
	"sync"

	"github.com/charmbracelet/log"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarledger"
	"github.com/fulmardrum/fulmardrum/internal/fulmarrelay/fulmarrelaypb"
)

// Ownership tells who owns the scheduler.
type Ownership interface {
	Owner() (fulmarledger.Owner, bool)
	OwnerChanged() <-chan struct{}
}

// MemberOptions are the parts of a member.
type MemberOptions struct {
	Name      string
	Cores     float64
	Self      string
	Ownership Ownership
	Executors Executors
	Clock     fulmarclock.Clock
	Logger    *log.Logger
}

// Member carries out the orders of whichever other member owns the scheduler.
type Member struct{ options MemberOptions }

// NewMember returns a member that does nothing until Run.
func NewMember(o MemberOptions) *Member { return &Member{options: o} }

// Run attaches to each owner in turn until ctx ends.
func (m *Member) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := m.options.Ownership.OwnerChanged()
		owner, owned := m.options.Ownership.Owner()
		if !owned || owner.Peers == m.options.Self {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		m.serveOwner(ctx, owner, changed)
		select {
		case <-ctx.Done():
		case <-m.options.Clock.After(attachRetry):
		}
	}
}

// serveOwner stays attached until the stream ends or the owner changes.
func (m *Member) serveOwner(ctx context.Context, owner fulmarledger.Owner, changed <-chan struct{}) {
	own, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-own.Done():
		}
	}()
	err := m.attach(own, owner.Peers)
	if err != nil && own.Err() == nil {
		m.options.Logger.Warn("this member is no longer attached to the owner", "owner", owner.Member, "error", err)
	}
}

func (m *Member) attach(ctx context.Context, address string) error {
	connection, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return err
	}
	defer m.closeConnection(connection)
	own, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := fulmarrelaypb.NewRelayClient(connection).Attach(own)
	if err != nil {
		return err
	}
	introduction := &fulmarrelaypb.Introduction{Member: m.options.Name, Cores: m.options.Cores}
	if err := stream.Send(&fulmarrelaypb.Answers{Introduction: introduction}); err != nil {
		return err
	}
	return m.serve(own, cancel, stream)
}

func (m *Member) closeConnection(connection *grpc.ClientConn) {
	if err := connection.Close(); err != nil {
		m.options.Logger.Warn("a connection to an owner was not closed", "error", err)
	}
}

// serve carries out orders until the stream ends or goes silent, and waits for all it began.
func (m *Member) serve(ctx context.Context, cancel context.CancelFunc, stream fulmarrelaypb.Relay_AttachClient) error {
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	answers := make(chan *fulmarrelaypb.Answer, waitingOrders)
	received := make(chan error, 1)
	heard := make(chan struct{}, 1)
	calls.Go(func() {
		gather(ctx, m.options.Clock, answers, func(batch []*fulmarrelaypb.Answer) error {
			return stream.Send(&fulmarrelaypb.Answers{Answers: batch})
		})
	})
	calls.Go(func() {
		for {
			message, err := stream.Recv()
			if err != nil {
				received <- err
				return
			}
			note(heard)
			for _, o := range message.GetOrders() {
				calls.Go(func() { m.answer(ctx, o, answers) })
			}
		}
	})
	return awaitEnd(ctx, m.options.Clock, received, heard)
}

// answer carries out one order within its limit; an answer that comes too late for it still goes out.
func (m *Member) answer(stream context.Context, o *fulmarrelaypb.Order, answers chan<- *fulmarrelaypb.Answer) {
	ctx, cancel := limitOf(stream, o)
	defer cancel()
	select {
	case answers <- m.carryOut(ctx, o):
	case <-stream.Done():
	}
}

// limitOf returns the context of an order; one without a limit has the stream's.
func limitOf(stream context.Context, o *fulmarrelaypb.Order) (context.Context, context.CancelFunc) {
	if o.GetLimitMs() <= 0 {
		return context.WithCancel(stream)
	}
	return context.WithTimeout(stream, fulmarclock.Millis(o.GetLimitMs()).Duration())
}

func (m *Member) carryOut(ctx context.Context, o *fulmarrelaypb.Order) *fulmarrelaypb.Answer {
	executors, number := m.options.Executors, o.GetNumber()
	switch kind := o.GetKind().(type) {
	case *fulmarrelaypb.Order_Start:
		answer, err := executors.Start(ctx, o.GetAddress(), o.GetExecutor(), decodeStart(kind.Start))
		return encodeAnswer(number, answer, err)
	case *fulmarrelaypb.Order_Stop:
		s := kind.Stop
		answer, err := executors.Stop(ctx, o.GetAddress(), o.GetExecutor(), decodeTask(s.GetTask()), s.GetRun(), s.GetToken())
		return encodeAnswer(number, answer, err)
	case *fulmarrelaypb.Order_Pace:
		p := kind.Pace
		answer, err := executors.Throttle(ctx, o.GetAddress(), o.GetExecutor(), decodeTask(p.GetTask()), p.GetRun(), p.GetToken(), int(p.GetPercent()))
		return encodeAnswer(number, answer, err)
	case *fulmarrelaypb.Order_Hold:
		d := kind.Hold
		answer, report, err := executors.RenewLease(ctx, o.GetAddress(), o.GetExecutor(), d.GetToken(), d.GetAcknowledged(), fulmarclock.Millis(d.GetDeadlineMs()), fulmarclock.Millis(d.GetWaitMs()))
		encoded := encodeAnswer(number, answer, err)
		encoded.Report = encodeReport(report)
		return encoded
	}
	return encodeAnswer(number, fulmarjob.ResultInvalid, &RemoteError{Text: "the order is of an unknown kind"})
}
