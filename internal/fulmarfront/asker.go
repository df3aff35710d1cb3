package fulmarfront

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/charmbracelet/log"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarfront/fulmarfrontpb"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarledger"
	"github.com/fulmardrum/fulmardrum/internal/fulmarowner"
)

const (
	// askLimit bounds one attempt to reach the owner.
	askLimit = 1200 * fulmarclock.Millis(1)
	// vacancyLimit bounds how long a request waits for the scheduler to have an owner.
	vacancyLimit = 900 * fulmarclock.Millis(1)
	// doubtLimit bounds that wait for a request that may have been carried out: only an owner can tell.
	doubtLimit = 2500 * fulmarclock.Millis(1)
	askPause   = 40 * fulmarclock.Millis(1)
)

// Candidate is this member's part in the ownership.
type Candidate interface {
	Do(ctx context.Context, q fulmarowner.Request) fulmarowner.Response
	Owner() (fulmarledger.Owner, bool)
	OwnerChanged() <-chan struct{}
}

// Router asks the owner, in this process or another, and follows changes of ownership.
type Router struct {
	candidate Candidate
	clock     fulmarclock.Clock
	logger    *log.Logger
	counters  Counters
	self      string

	mu         sync.Mutex
	address    string
	connection *grpc.ClientConn
}

// NewRouter returns a router of the member that peers reach at self.
func NewRouter(candidate Candidate, clock fulmarclock.Clock, logger *log.Logger, counters Counters, self string) *Router {
	return &Router{candidate: candidate, clock: clock, logger: logger, counters: counters, self: self}
}

// Close ends the connection to the owner.
func (r *Router) Close() { r.drop(nil) }

// Do asks until the owner replies, the caller's time is over, or nobody has
// owned the scheduler for a while. Unknown holds once an attempt may have been
// carried out and no owner has confirmed it. The refusal of a later owner settles
// that: it has read all that the owners before it have stored, and they can store no more.
func (r *Router) Do(ctx context.Context, q fulmarowner.Request) fulmarowner.Response {
	began := r.clock.Now()
	limit := vacancyLimit
	uncertain, doubted := false, int64(0)
	for {
		reply := r.attempt(ctx, q)
		switch reply.Outcome {
		case fulmarowner.Done, fulmarowner.UnknownJob:
			return reply
		case fulmarowner.Refused:
			if uncertain && reply.Token <= doubted {
				reply.Outcome = fulmarowner.Unknown
			}
			return reply
		case fulmarowner.Unknown:
			uncertain, doubted, limit = true, max(doubted, reply.Token), doubtLimit
			r.counters.Count("retries", "owner-no-answer")
		case fulmarowner.NotOwner:
			r.counters.Count("retries", "no-owner")
		}
		if ctx.Err() != nil || r.clock.Now() > began+limit {
			return given(uncertain)
		}
		select {
		case <-ctx.Done():
		case <-r.candidate.OwnerChanged():
		case <-r.clock.After(askPause):
		}
	}
}

func given(uncertain bool) fulmarowner.Response {
	if uncertain {
		return fulmarowner.Response{Outcome: fulmarowner.Unknown}
	}
	return fulmarowner.Response{Outcome: fulmarowner.NotOwner}
}

func (r *Router) attempt(ctx context.Context, q fulmarowner.Request) fulmarowner.Response {
	owner, owned := r.candidate.Owner()
	if !owned || owner.Peers == r.self {
		return r.candidate.Do(ctx, q)
	}
	connection, err := r.connect(owner.Peers)
	if err != nil {
		r.logger.Warn("the owner's address can't be used", "owner", owner.Member, "address", owner.Peers, "error", err)
		return fulmarowner.Response{Outcome: fulmarowner.NotOwner}
	}
	limited, cancel := context.WithTimeout(ctx, askLimit.Duration())
	defer cancel()
	limited, sent := withSentMark(limited)
	q.OwnerToken = owner.Revision
	request, err := encodeQuestion(q)
	if err != nil {
		r.logger.Error("a question can't be encoded", "job", q.Job, "error", err)
		return fulmarowner.Response{Outcome: fulmarowner.NotOwner}
	}
	answer, err := fulmarfrontpb.NewOwnerClient(connection).Ask(limited, request)
	if err != nil {
		r.logger.Warn("the owner did not reply", "owner", owner.Member, "job", q.Job, "sent", sent.isSet(), "error", err)
		if status.Code(err) == codes.DeadlineExceeded {
			r.drop(connection)
		}
		return unanswered(owner, sent)
	}
	return decodeReply(answer)
}

// unanswered types an attempt that failed: a question that never left carried nothing.
func unanswered(owner fulmarledger.Owner, sent *sentMark) fulmarowner.Response {
	if !sent.isSet() {
		return fulmarowner.Response{Outcome: fulmarowner.NotOwner, Reason: "owner-out-of-reach"}
	}
	return fulmarowner.Response{Outcome: fulmarowner.Unknown, Token: owner.Revision}
}

func (r *Router) connect(address string) (*grpc.ClientConn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.connection != nil && r.address == address {
		return r.connection, nil
	}
	if r.connection != nil {
		r.closeConnection()
	}
	connection, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithStatsHandler(sentHandler{}))
	if err != nil {
		return nil, err
	}
	r.address, r.connection = address, connection
	return connection, nil
}

// drop closes a connection that has gone silent; nil drops any.
func (r *Router) drop(connection *grpc.ClientConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.connection != nil && (connection == nil || r.connection == connection) {
		r.closeConnection()
	}
}

func (r *Router) closeConnection() {
	if err := r.connection.Close(); err != nil {
		r.logger.Warn("a connection to an owner was not closed", "address", r.address, "error", err)
	}
	r.connection = nil
}

// Asker serves the other members' questions.
type Asker struct {
	fulmarfrontpb.UnimplementedOwnerServer
	candidate Candidate
}

// NewAsker returns the service.
func NewAsker(candidate Candidate) *Asker { return &Asker{candidate: candidate} }

// Ask hands a member's question to this member's scheduler.
func (a *Asker) Ask(ctx context.Context, request *fulmarfrontpb.Request) (*fulmarfrontpb.Reply, error) {
	q := fulmarowner.Request{
		Kind: fulmarowner.RequestKind(request.GetKind()), Job: request.GetJob(), Queue: request.GetQueue(),
		ConfigurationVersion: request.GetConfigurationVersion(), OwnerToken: request.GetOwnerToken(),
	}
	if q.Kind == fulmarowner.Submit {
		if err := json.Unmarshal(request.GetSpecification(), &q.Specification); err != nil {
			return nil, status.Error(codes.InvalidArgument, (&fulmarjob.FormatError{What: "a job", Cause: err}).Error())
		}
	}
	reply := a.candidate.Do(ctx, q)
	return &fulmarfrontpb.Reply{
		Outcome: fulmarfrontpb.Outcome(reply.Outcome), Reason: reply.Reason, RetryAfterMs: int64(reply.RetryAfter),
		State: string(reply.State), Pending: int64(reply.Pending), Token: reply.Token,
	}, nil
}

func encodeQuestion(q fulmarowner.Request) (*fulmarfrontpb.Request, error) {
	request := &fulmarfrontpb.Request{Kind: fulmarfrontpb.Kind(q.Kind), Job: q.Job, Queue: q.Queue, ConfigurationVersion: q.ConfigurationVersion, OwnerToken: q.OwnerToken}
	if q.Kind != fulmarowner.Submit {
		return request, nil
	}
	var err error
	request.Specification, err = json.Marshal(q.Specification)
	return request, err
}

func decodeReply(answer *fulmarfrontpb.Reply) fulmarowner.Response {
	return fulmarowner.Response{
		Outcome: fulmarowner.Outcome(answer.GetOutcome()), Reason: answer.GetReason(),
		RetryAfter: fulmarclock.Millis(answer.GetRetryAfterMs()), State: fulmarjob.State(answer.GetState()),
		Pending: int(answer.GetPending()), Token: answer.GetToken(),
	}
}
