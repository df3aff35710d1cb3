package fulmarfront

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"

	"github.com/charmbracelet/log"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarfront/fulmarfrontpb"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarledger"
	"github.com/fulmardrum/fulmardrum/internal/fulmarowner"
)

const (
	// attemptTimeout bounds one RPC to the owner.
	attemptTimeout = 1200 * fulmarclock.Millis(1)
	// noOwnerTimeout bounds how long a request is retried while the scheduler has no owner.
	noOwnerTimeout = 900 * fulmarclock.Millis(1)
	// unknownOutcomeTimeout replaces noOwnerTimeout for a request that may have been executed: only an
	// owner can determine whether it was.
	unknownOutcomeTimeout = 2500 * fulmarclock.Millis(1)
	// The delay between two attempts doubles from minRetryDelay to maxRetryDelay.
	minRetryDelay = 40 * fulmarclock.Millis(1)
	maxRetryDelay = 160 * fulmarclock.Millis(1)
	// reasonOwnerBusy is the reason of the submissions that are refused without asking the
	// owner, busyRetryAfter their retry delay.
	reasonOwnerBusy = "owner-busy"
	busyRetryAfter  = fulmarclock.Second
)

// Candidate is this member's participation in the election of the scheduler's owner.
type Candidate interface {
	// Do executes a request if this member is the owner, else returns NotOwner.
	Do(ctx context.Context, q fulmarowner.Request) fulmarowner.Response
	// Owner returns the current owner; false means that none is known.
	Owner() (fulmarledger.Owner, bool)
	// OwnerChanged returns a channel that is closed at the next change of the owner.
	OwnerChanged() <-chan struct{}
}

// Router sends requests to the scheduler's owner, in this process or on another
// member, and retries them when the ownership changes.
type Router struct {
	candidate   Candidate
	clock       fulmarclock.Clock
	logger      *log.Logger
	metrics     Metrics
	selfAddress string

	connections *ownerConnections
	shedder     *shedder
}

// NewRouter returns a router for the member with the peer address self.
func NewRouter(candidate Candidate, clock fulmarclock.Clock, logger *log.Logger, metrics Metrics, self string) *Router {
	return &Router{
		candidate: candidate, clock: clock, logger: logger, metrics: metrics, selfAddress: self,
		connections: newOwnerConnections(clock, logger), shedder: newShedder(rand.Float64),
	}
}

// Close closes the connection to the owner.
func (r *Router) Close() { r.connections.close() }

// Do sends a request to the owner and retries it until an owner responds, ctx ends, or
// noOwnerTimeout has passed; unknownOutcomeTimeout once an attempt may have been executed.
//
// While the owner sheds or does not answer most submissions, a part of them is refused here
// at once, so that the owner's CPU time goes to the ones that it can accept.
//
// Once an attempt has an unknown outcome, a refusal by the same owner does not prove
// that the request was not executed, and the outcome stays Unknown. A refusal by a later
// owner, one with a higher token, proves it: that owner has read everything its
// predecessors stored, and they can store nothing more.
func (r *Router) Do(ctx context.Context, q fulmarowner.Request) fulmarowner.Response {
	start := r.clock.Now()
	if q.Kind == fulmarowner.Submit && !r.shedder.allows(start) {
		r.metrics.Count("refusals", reasonOwnerBusy)
		return fulmarowner.Response{Outcome: fulmarowner.Refused, Reason: reasonOwnerBusy, RetryAfter: busyRetryAfter}
	}
	timeout, delay := noOwnerTimeout, minRetryDelay
	outcomeUnknown, unknownToken := false, int64(0)
	for {
		response := r.attempt(ctx, q)
		if !errors.Is(ctx.Err(), context.Canceled) {
			// An attempt that ended because its caller left says nothing about the owner.
			r.shedder.record(r.clock.Now(), response)
		}
		switch response.Outcome {
		case fulmarowner.Done, fulmarowner.UnknownJob, fulmarowner.Forbidden:
			// A job keeps its customer, so an earlier attempt with an unknown outcome was forbidden, too.
			return response
		case fulmarowner.Refused:
			if outcomeUnknown && response.Token <= unknownToken {
				response.Outcome = fulmarowner.Unknown
			}
			return response
		case fulmarowner.Unknown:
			outcomeUnknown, unknownToken, timeout = true, max(unknownToken, response.Token), unknownOutcomeTimeout
			r.metrics.Count("retries", "owner-no-answer")
		case fulmarowner.NotOwner:
			r.metrics.Count("retries", "no-owner")
		}
		if ctx.Err() != nil || r.clock.Now() > start+timeout {
			return responseWithoutOwner(outcomeUnknown)
		}
		select {
		case <-ctx.Done():
		case <-r.candidate.OwnerChanged():
		case <-r.clock.After(delay):
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// responseWithoutOwner returns the response when no owner has responded in time.
func responseWithoutOwner(outcomeUnknown bool) fulmarowner.Response {
	if outcomeUnknown {
		return fulmarowner.Response{Outcome: fulmarowner.Unknown}
	}
	return fulmarowner.Response{Outcome: fulmarowner.NotOwner}
}

// attempt sends a request once, to this process if this member is the owner or no owner is known.
func (r *Router) attempt(ctx context.Context, q fulmarowner.Request) fulmarowner.Response {
	owner, known := r.candidate.Owner()
	if !known || owner.PeerAddress == r.selfAddress {
		return r.candidate.Do(ctx, q)
	}
	connection, err := r.connections.connect(owner.PeerAddress)
	if err != nil {
		r.logger.Warn("invalid peer address of the owner; retrying", "owner", owner.Member, "address", owner.PeerAddress, "error", err)
		return fulmarowner.Response{Outcome: fulmarowner.NotOwner}
	}
	attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout.Duration())
	defer cancel()
	attemptCtx, sent := withSentFlag(attemptCtx)
	q.OwnerToken = owner.Revision
	request, err := encodeRequest(q)
	if err != nil {
		r.logger.Error("failed to encode a request to the owner; retrying", "job", q.Job, "error", err)
		return fulmarowner.Response{Outcome: fulmarowner.NotOwner}
	}
	sentAt := r.clock.Now()
	message, err := connection.client.Ask(attemptCtx, request)
	if err != nil {
		r.logger.Warn("request to the owner failed", "owner", owner.Member, "job", q.Job, "sent", sent.isSet(), "error", err)
		if status.Code(err) == codes.DeadlineExceeded && connection.isSilentSince(sentAt) {
			r.connections.replace(connection)
		}
		return failedAttempt(owner, sent)
	}
	connection.recordResponse(r.clock.Now())
	response := decodeResponse(message)
	if response.Explanation, err = decodeExplanation(message.GetExplanation()); err != nil {
		r.logger.Error("failed to decode an explanation of the owner; retrying", "owner", owner.Member, "error", err)
		return fulmarowner.Response{Outcome: fulmarowner.NotOwner}
	}
	return response
}

// failedAttempt returns the response for an RPC that failed. A request that was never
// sent cannot have been executed; any other may have been.
func failedAttempt(owner fulmarledger.Owner, sent *sentFlag) fulmarowner.Response {
	if !sent.isSet() {
		return fulmarowner.Response{Outcome: fulmarowner.NotOwner, Reason: "owner-out-of-reach"}
	}
	return fulmarowner.Response{Outcome: fulmarowner.Unknown, Token: owner.Revision}
}

func encodeRequest(q fulmarowner.Request) (*fulmarfrontpb.Request, error) {
	request := &fulmarfrontpb.Request{Kind: fulmarfrontpb.Kind(q.Kind), Job: q.Job, Queue: q.Queue, ConfigurationVersion: q.ConfigurationVersion, OwnerToken: q.OwnerToken, Customer: q.Customer}
	if q.Kind != fulmarowner.Submit && (q.Kind != fulmarowner.Explain || q.Job != "") {
		return request, nil
	}
	var err error
	request.Specification, err = json.Marshal(q.Specification)
	return request, err
}

func decodeResponse(message *fulmarfrontpb.Reply) fulmarowner.Response {
	return fulmarowner.Response{
		Outcome: fulmarowner.Outcome(message.GetOutcome()), Reason: message.GetReason(),
		RetryAfter: fulmarclock.Millis(message.GetRetryAfterMs()), State: fulmarjob.State(message.GetState()),
		Pending: int(message.GetPending()), Token: message.GetToken(),
	}
}
