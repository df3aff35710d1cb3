package fulmarentry

import (
	"context"
	"net/http"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclaim"
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmardispatch"
	"github.com/fulmardrum/fulmardrum/internal/fulmarserver"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

// claimReleaseTimeout limits the release of a claim, which continues after the caller has disconnected.
const claimReleaseTimeout = 5 * fulmarclock.Second

// proxiedRequest is one request of a caller with the state of its attempts.
type proxiedRequest struct {
	gateway     *Gateway
	ctx         context.Context
	rw          http.ResponseWriter
	parsed      *parsedRequest
	scheduler   *fulmardispatch.Scheduler
	maxAttempts int
	deadline    fulmarclock.Millis

	ticket *fulmardispatch.Ticket
	claim  *fulmarclaim.Claim
	// attemptsSent counts the attempts that may have reached a worker.
	attemptsSent int
	// mayHaveRun is set once an attempt that gave no usable response may have run.
	mayHaveRun bool
}

// run claims the request's idempotency key, if it has one, and dispatches the
// request. A nil refusal means that the complete response was sent.
func (p *proxiedRequest) run() *fulmarapi.Refusal {
	if p.parsed.key == "" {
		return p.dispatch()
	}
	if refusal := p.claimKey(); refusal != nil {
		return refusal
	}
	refusal := p.dispatch()
	if refusal == nil || refusal.Outcome() != fulmarapi.NotRun {
		return refusal
	}
	return p.releaseKey(refusal)
}

// claimKey claims the request's idempotency key. The outcome of its refusals is
// unknown, as another request with the same key may have run.
func (p *proxiedRequest) claimKey() *fulmarapi.Refusal {
	key := fulmarclaim.NewKey(p.parsed.pool, p.parsed.team, p.parsed.key)
	claim, result := p.gateway.options.Claimer.Claim(p.ctx, key)
	p.gateway.options.Counters.CountClaim(result.String())
	switch result {
	case fulmarclaim.Granted:
		p.claim = claim
		return nil
	case fulmarclaim.Duplicate:
		return fulmarapi.NewUnknown(fulmarapi.ReasonDuplicateKey, "another request has already claimed this idempotency key")
	case fulmarclaim.Full:
		return fulmarapi.NewUnknown(fulmarapi.ReasonClaimsFull, "this member is claiming too many idempotency keys").WithRetryAfter(1)
	default:
		return fulmarapi.NewUnknown(fulmarapi.ReasonClaimUnavailable, "the idempotency key could not be claimed").WithRetryAfter(1)
	}
}

// releaseKey releases the key of a request that did not run. If the release is not
// confirmed, the outcome becomes unknown, as a retry may be refused as a duplicate.
func (p *proxiedRequest) releaseKey(refusal *fulmarapi.Refusal) *fulmarapi.Refusal {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(p.ctx), claimReleaseTimeout.Duration())
	defer cancel()
	if p.gateway.options.Claimer.Release(ctx, p.claim) {
		return refusal
	}
	return fulmarapi.NewUnknown(refusal.Reason(), refusal.Detail()).WithRetryAfter(refusal.RetryAfter())
}

// dispatch queues the request and sends it, with retries, until a response is
// forwarded or the request is refused.
func (p *proxiedRequest) dispatch() *fulmarapi.Refusal {
	p.ticket = fulmardispatch.NewTicket(p.parsed.team, p.parsed.urgency, p.parsed.outgoing.IsRetryable(), p.deadline)
	if refusal := p.scheduler.Submit(p.ticket); refusal != nil {
		return refusal
	}
	for {
		grant, refusal := p.awaitGrant()
		if refusal != nil {
			return refusal
		}
		refusal, retry := p.sendOnce(grant)
		if !retry {
			return refusal
		}
	}
}

// awaitGrant waits until the scheduler grants a slot or refuses the request, or
// until the request's deadline passes or its caller disconnects.
func (p *proxiedRequest) awaitGrant() (fulmardispatch.Grant, *fulmarapi.Refusal) {
	select {
	case grant := <-p.ticket.Grants():
		if grant.Refusal != nil {
			return grant, p.finalRefusal(grant.Refusal)
		}
		if p.gateway.options.State.IsFenced() {
			p.scheduler.Cancel(p.ticket)
			return grant, p.finalRefusal(fulmarapi.NewRefusal(fulmarapi.ReasonFenced, "this member's view of the fleet may be out of date"))
		}
		if p.claim != nil && !p.claim.MayDispatch() {
			p.scheduler.Cancel(p.ticket)
			return grant, fulmarapi.NewUnknown(fulmarapi.ReasonClaimExpired, "the claim of the idempotency key expired before the request was sent")
		}
		return grant, nil
	case <-p.ctx.Done():
		p.scheduler.Cancel(p.ticket)
		return fulmardispatch.Grant{}, p.finalRefusal(contextRefusal(p.ctx))
	}
}

// sendOnce makes one attempt. retry reports that the ticket was queued again for another attempt.
func (p *proxiedRequest) sendOnce(grant fulmardispatch.Grant) (refusal *fulmarapi.Refusal, retry bool) {
	response, failure := p.gateway.options.Sender.Send(p.ctx, grant, p.parsed.outgoing, p.onFirstByteTimeout())
	if failure != nil {
		return p.handleFailure(failure)
	}
	return p.forwardResponse(response)
}

// onFirstByteTimeout returns the function that decides whether to give up an
// unresponsive worker, or nil if the request must not be sent again.
func (p *proxiedRequest) onFirstByteTimeout() func() bool {
	if !p.parsed.outgoing.IsRetryable() || p.attemptsSent+1 >= p.maxAttempts {
		return nil
	}
	return func() bool { return p.withdrawRetry("silent") }
}

// handleFailure queues the request again after a failed attempt, or refuses it.
func (p *proxiedRequest) handleFailure(failure *fulmardispatch.AttemptError) (refusal *fulmarapi.Refusal, retry bool) {
	if failure.MayHaveRun {
		p.attemptsSent++
		p.mayHaveRun = true
	}
	if p.shouldRetryFailure(failure) {
		p.gateway.options.Counters.CountRetry(failure.Result.String())
		p.scheduler.Requeue(p.ticket, failure.Result)
		return nil, true
	}
	p.scheduler.Finish(p.ticket, failure.Result)
	if isDone(p.ctx) && !failure.MayHaveRun {
		return p.finalRefusal(contextRefusal(p.ctx)), false
	}
	return p.finalRefusal(fulmarapi.NewRefusal(failure.Reason, failure.Error())), false
}

// shouldRetryFailure reports whether to retry a failed attempt. An attempt that did
// not run is retried for any method. One that may have run is retried only for an
// idempotent request, within the retry budget.
func (p *proxiedRequest) shouldRetryFailure(failure *fulmardispatch.AttemptError) bool {
	if isDone(p.ctx) || failure.Result == fulmardispatch.ResultNeutral {
		return false
	}
	switch {
	case failure.Result == fulmardispatch.ResultTimedOut:
		return true // already withdrawn from the retry budget after the first-byte timeout
	case failure.Result == fulmardispatch.ResultBusy || failure.Result == fulmardispatch.ResultStale:
		return p.parsed.outgoing.BodyStream == nil
	case !failure.MayHaveRun:
		return true
	case !p.parsed.outgoing.IsRetryable() || p.attemptsSent >= p.maxAttempts:
		return false
	}
	return p.withdrawRetry(failure.Result.String())
}

// withdrawRetry takes one retry from the pool's retry budget. If the budget is empty, it
// counts the refused retry by cause and returns false.
func (p *proxiedRequest) withdrawRetry(cause string) bool {
	if p.scheduler.Retries().TryWithdraw() {
		return true
	}
	p.gateway.options.Counters.CountRefusedRetry(cause + "-budget")
	return false
}

// forwardResponse sends a worker's response to the caller, or queues the request
// again. If the response breaks off after its first bytes were sent, it panics
// with http.ErrAbortHandler, which closes the caller's connection.
func (p *proxiedRequest) forwardResponse(response *fulmardispatch.Response) (refusal *fulmarapi.Refusal, retry bool) {
	defer response.Close()
	buffer := p.gateway.copyBuffers.Get().(*[]byte)
	defer p.gateway.copyBuffers.Put(buffer)
	f := &responseForwarder{
		rw: p.rw, method: p.parsed.outgoing.Method, writeTimeout: p.gateway.options.Times.WriteTimeout, buffer: *buffer,
	}
	if err := f.prefetch(response); err != nil {
		return p.handleFailure(p.truncationFailure(err))
	}
	if p.shouldRetryResponse(response) {
		p.attemptsSent++
		p.mayHaveRun = true
		p.gateway.options.Counters.CountRetry("status-5xx")
		p.scheduler.Requeue(p.ticket, fulmardispatch.ResultFailed)
		return nil, true
	}
	err := f.forward(response)
	p.scheduler.Finish(p.ticket, p.attemptResult(response, err))
	if err != nil {
		p.gateway.options.Counters.CountResponse(fulmarapi.Unknown)
		p.gateway.options.Counters.CountRefusal(p.truncationReason())
		panic(http.ErrAbortHandler)
	}
	return nil, false
}

// truncationFailure returns the failure of an attempt whose response broke off before any byte was forwarded.
func (p *proxiedRequest) truncationFailure(err error) *fulmardispatch.AttemptError {
	if isDone(p.ctx) {
		return &fulmardispatch.AttemptError{
			Result: fulmardispatch.ResultNeutral, MayHaveRun: true, Reason: p.truncationReason(), Cause: err,
		}
	}
	return &fulmardispatch.AttemptError{
		Result: fulmardispatch.ResultFailed, MayHaveRun: true, Reason: fulmarapi.ReasonAnswerCut, Cause: err,
	}
}

// truncationReason returns the reason for a response that broke off: the deadline or
// the caller if the context is done, the worker otherwise.
func (p *proxiedRequest) truncationReason() fulmarapi.Reason {
	if isDone(p.ctx) {
		return contextRefusal(p.ctx).Reason()
	}
	return fulmarapi.ReasonAnswerCut
}

// shouldRetryResponse reports whether to retry an idempotent request after a 5xx
// response. 501 is final, as other workers would not implement the method either.
func (p *proxiedRequest) shouldRetryResponse(response *fulmardispatch.Response) bool {
	if response.Status() < http.StatusInternalServerError || response.Status() == http.StatusNotImplemented {
		return false
	}
	if !p.parsed.outgoing.IsRetryable() || p.attemptsSent+1 >= p.maxAttempts || isDone(p.ctx) {
		return false
	}
	return p.withdrawRetry("status-5xx")
}

// attemptResult returns the result to record for the worker: neutral if the caller or the deadline ended the attempt.
func (p *proxiedRequest) attemptResult(response *fulmardispatch.Response, err error) fulmardispatch.Result {
	if err != nil && isDone(p.ctx) {
		return fulmardispatch.ResultNeutral
	}
	return response.Result()
}

// finalRefusal makes the outcome of a refusal unknown if any attempt may have run.
func (p *proxiedRequest) finalRefusal(refusal *fulmarapi.Refusal) *fulmarapi.Refusal {
	if !p.mayHaveRun {
		return refusal
	}
	return fulmarapi.NewUnknown(refusal.Reason(), refusal.Detail()).WithRetryAfter(refusal.RetryAfter())
}

// contextRefusal returns the refusal for a context that is done.
func contextRefusal(ctx context.Context) *fulmarapi.Refusal {
	if fulmarserver.IsShutdown(ctx) {
		return fulmarapi.NewRefusal(fulmarapi.ReasonStopping, "this member is stopping").WithRetryAfter(1)
	}
	if ctx.Err() == context.DeadlineExceeded {
		return fulmarapi.NewRefusal(fulmarapi.ReasonDeadlinePassed, "the request's time limit has passed")
	}
	return fulmarapi.NewRefusal(fulmarapi.ReasonCallerGone, "the caller closed the connection")
}
