package fulmarrelay

import (
	"context"
	"sync"

	"github.com/charmbracelet/log"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"github.com/fulmardrum/fulmardrum/internal/fulmarattempt"
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarledger"
	"github.com/fulmardrum/fulmardrum/internal/fulmarrelay/fulmarrelaypb"
)

// Ownership reports which member owns the scheduler.
type Ownership interface {
	// Owner returns the current owner; false means that none is known.
	Owner() (fulmarledger.Owner, bool)
	// OwnerChanged returns a channel that is closed at the next change of the owner.
	OwnerChanged() <-chan struct{}
	// LearnOwner records an owner that another member has announced, unless a later one is known.
	LearnOwner(owner fulmarledger.Owner) bool
}

// AgentOptions are the dependencies of an Agent. PeerAddress is the address by which
// other members reach this one.
type AgentOptions struct {
	Name        string
	Cores       float64
	PeerAddress string
	Ownership   Ownership
	Executors   Executors
	Clock       fulmarclock.Clock
	// BootClock also counts the time in which the VM was suspended; nil means a fulmarclock.Boot.
	BootClock fulmarclock.Clock
	Logger    *log.Logger
}

// Agent executes commands for the owner of the scheduler when that is another member.
type Agent struct{ options AgentOptions }

// NewAgent returns an agent that is idle until Run.
func NewAgent(o AgentOptions) *Agent {
	if o.BootClock == nil {
		o.BootClock = fulmarclock.NewBoot()
	}
	return &Agent{options: o}
}

// now returns the time that this member tells the owner, which is never zero.
func (a *Agent) now() int64 { return int64(a.options.BootClock.Now()) + 1 }

// Run attaches to each owner in turn until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := a.options.Ownership.OwnerChanged()
		owner, owned := a.options.Ownership.Owner()
		if !owned || owner.PeerAddress == a.options.PeerAddress {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		a.attachUntilChange(ctx, owner, changed)
		select {
		case <-ctx.Done():
		case <-a.options.Clock.After(attachRetryDelay):
		}
	}
}

// attachUntilChange attaches to an owner until the stream ends or the owner changes.
func (a *Agent) attachUntilChange(ctx context.Context, owner fulmarledger.Owner, changed <-chan struct{}) {
	attached, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-attached.Done():
		}
	}()
	err := a.attach(attached, owner.PeerAddress)
	if err != nil && attached.Err() == nil {
		a.options.Logger.Warn("relay stream to the owner ended; reattaching", "owner", owner.Member, "error", err)
	}
}

func (a *Agent) attach(ctx context.Context, address string) error {
	connection, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return err
	}
	defer a.closeConnection(connection)
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := fulmarrelaypb.NewRelayClient(connection).Attach(streamCtx)
	if err != nil {
		return err
	}
	introduction := &fulmarrelaypb.Introduction{Member: a.options.Name, Cores: a.options.Cores}
	if err := stream.Send(&fulmarrelaypb.Answers{Introduction: introduction, ClockMs: a.now()}); err != nil {
		return err
	}
	return a.serve(streamCtx, cancel, stream)
}

func (a *Agent) closeConnection(connection *grpc.ClientConn) {
	if err := connection.Close(); err != nil {
		a.options.Logger.Warn("failed to close a relay connection to an owner; it is dropped", "error", err)
	}
}

// serve executes commands until the stream ends or its heartbeats time out, and waits
// for the commands in flight.
func (a *Agent) serve(ctx context.Context, cancel context.CancelFunc, stream fulmarrelaypb.Relay_AttachClient) error {
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	results := make(chan *fulmarrelaypb.Answer, maxQueuedCommands)
	received := make(chan error, 1)
	heartbeat := make(chan struct{}, 1)
	calls.Go(func() {
		sendBatches(ctx, a.options.Clock, results, func(batch []*fulmarrelaypb.Answer) error {
			return stream.Send(&fulmarrelaypb.Answers{Answers: batch, ClockMs: a.now()})
		})
	})
	calls.Go(func() {
		for {
			message, err := stream.Recv()
			if err != nil {
				received <- err
				return
			}
			signal(heartbeat)
			if owner := message.GetOwner(); owner != nil {
				a.options.Ownership.LearnOwner(decodeOwner(owner))
			}
			for _, o := range message.GetOrders() {
				calls.Go(func() { a.handleCommand(ctx, o, results) })
			}
		}
	})
	return awaitStreamEnd(ctx, a.options.Clock, received, heartbeat)
}

// handleCommand executes one command within its time limit and sends the result, even
// if the limit has passed by then.
func (a *Agent) handleCommand(stream context.Context, o *fulmarrelaypb.Order, results chan<- *fulmarrelaypb.Answer) {
	ctx, cancel := commandContext(stream, o)
	defer cancel()
	select {
	case results <- boundAnswer(a.executeInTime(ctx, o)):
	case <-stream.Done():
	}
}

// boundAnswer replaces a result that is too large for a message by an unknown one. A message that
// can't be received ends the stream with all commands on it.
func boundAnswer(answer *fulmarrelaypb.Answer) *fulmarrelaypb.Answer {
	size := proto.Size(answer)
	if size <= maxAnswerBytes {
		return answer
	}
	return encodeResult(answer.GetNumber(), fulmarjob.ResultUnknown, &AnswerSizeError{Bytes: size})
}

// commandContext returns the context for a command: the stream's, bounded by the
// command's time limit if it has one.
func commandContext(stream context.Context, o *fulmarrelaypb.Order) (context.Context, context.CancelFunc) {
	if o.GetLimitMs() <= 0 {
		return context.WithCancel(stream)
	}
	return context.WithTimeout(stream, fulmarclock.Millis(o.GetLimitMs()).Duration())
}

// executeInTime executes a command, unless it can't be sent to the executor in time.
func (a *Agent) executeInTime(ctx context.Context, o *fulmarrelaypb.Order) *fulmarrelaypb.Answer {
	checkTime := func() error {
		if o.GetSendByMs() > 0 && a.now() > o.GetSendByMs() {
			return &fulmarattempt.LateError{}
		}
		return nil
	}
	if err := checkTime(); err != nil {
		return encodeResult(o.GetNumber(), fulmarjob.ResultUnreachable, err)
	}
	return a.execute(fulmarattempt.NewContext(ctx, fulmarattempt.New(0, checkTime)), o)
}

func (a *Agent) execute(ctx context.Context, o *fulmarrelaypb.Order) *fulmarrelaypb.Answer {
	executors, number := a.options.Executors, o.GetNumber()
	switch kind := o.GetKind().(type) {
	case *fulmarrelaypb.Order_Start:
		result, err := executors.Start(ctx, o.GetAddress(), o.GetExecutor(), decodeStart(kind.Start))
		return encodeResult(number, result, err)
	case *fulmarrelaypb.Order_Stop:
		s := kind.Stop
		result, err := executors.Stop(ctx, o.GetAddress(), o.GetExecutor(), decodeTask(s.GetTask()), s.GetRun(), s.GetToken())
		return encodeResult(number, result, err)
	case *fulmarrelaypb.Order_Pace:
		p := kind.Pace
		result, err := executors.Throttle(ctx, o.GetAddress(), o.GetExecutor(), decodeTask(p.GetTask()), p.GetRun(), p.GetToken(), int(p.GetPercent()))
		return encodeResult(number, result, err)
	case *fulmarrelaypb.Order_Hold:
		h := kind.Hold
		result, report, err := executors.RenewLease(ctx, o.GetAddress(), o.GetExecutor(), h.GetToken(), h.GetAcknowledged(), fulmarclock.Millis(h.GetDeadlineMs()), fulmarclock.Millis(h.GetWaitMs()))
		encoded := encodeResult(number, result, err)
		encoded.Report = encodeReport(report)
		return encoded
	}
	return encodeResult(number, fulmarjob.ResultInvalid, &RemoteError{Text: "the command is of an unknown kind"})
}
