package fulmarentry

import (
	"context"
	"net/http"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclaim"
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmardispatch"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

// releaseTime bounds the release of a claim after its caller has gone, in milliseconds.
const releaseTime = 5 * fulmarclock.Second

// passage is one request's way from its caller to a worker and back.
type passage struct {
	entry     *Entry
	ctx       context.Context
	rw        http.ResponseWriter
	call      *call
	scheduler *fulmardispatch.Scheduler
	attempts  int
	deadline  fulmarclock.Millis

	ticket *fulmardispatch.Ticket
	claim  *fulmarclaim.Claim
	// sent counts the attempts whose bytes may have reached a worker.
	sent int
	// mayHaveRun tells whether an attempt without an answer may have run.
	mayHaveRun bool
}

// run claims the request's key, if it has one, and sends the request.
func (p *passage) run() *fulmarapi.Refusal {
	if p.call.key == "" {
		return p.dispatch()
	}
	if refusal := p.takeKey(); refusal != nil {
		return refusal
	}
	refusal := p.dispatch()
	if refusal == nil || refusal.Outcome() != fulmarapi.NotRun {
		return refusal
	}
	return p.freeKey(refusal)
}

// takeKey claims the request's key. A refusal is never not-run: another request
// with the same key may have run.
func (p *passage) takeKey() *fulmarapi.Refusal {
	key := fulmarclaim.NewKey(p.call.pool, p.call.team, p.call.key)
	claim, verdict := p.entry.options.Claimer.Claim(p.ctx, key)
	p.entry.options.Counters.Claim(verdict.String())
	switch verdict {
	case fulmarclaim.Granted:
		p.claim = claim
		return nil
	case fulmarclaim.Duplicate:
		return fulmarapi.NewUnknown(fulmarapi.ReasonDuplicateKey, "a request with this key was taken before")
	case fulmarclaim.Full:
		return fulmarapi.NewUnknown(fulmarapi.ReasonClaimsFull, "too many keys are being claimed").WithRetryAfter(1)
	default:
		return fulmarapi.NewUnknown(fulmarapi.ReasonClaimUnavailable, "the key could not be checked").WithRetryAfter(1)
	}
}

// freeKey releases the key of a request that did not run. While the release is
// not settled the refusal stays unknown, as a repeat would be refused as a duplicate.
func (p *passage) freeKey(refusal *fulmarapi.Refusal) *fulmarapi.Refusal {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(p.ctx), releaseTime.Duration())
	defer cancel()
	if p.entry.options.Claimer.Release(ctx, p.claim) {
		return refusal
	}
	return fulmarapi.NewUnknown(refusal.Reason(), refusal.Detail()).WithRetryAfter(refusal.RetryAfter())
}

// dispatch waits for slots and sends the request until it is answered or no attempt is left.
func (p *passage) dispatch() *fulmarapi.Refusal {
	p.ticket = fulmardispatch.NewTicket(p.call.team, p.call.urgency, p.call.request.CanRepeat(), p.deadline)
	if refusal := p.scheduler.Submit(p.ticket); refusal != nil {
		return refusal
	}
	for {
		grant, refusal := p.await()
		if refusal != nil {
			return refusal
		}
		refusal, again := p.attempt(grant)
		if !again {
			return refusal
		}
	}
}

// await waits for a slot or for the end of the caller's patience.
func (p *passage) await() (fulmardispatch.Grant, *fulmarapi.Refusal) {
	select {
	case grant := <-p.ticket.Grants():
		if grant.Refusal != nil {
			return grant, p.ended(grant.Refusal)
		}
		if p.entry.options.Fence.IsFenced() {
			p.scheduler.Cancel(p.ticket)
			return grant, p.ended(fulmarapi.NewRefusal(fulmarapi.ReasonFenced, "this member has lost touch with the fleet"))
		}
		if p.claim != nil && !p.claim.MayDispatch() {
			p.scheduler.Cancel(p.ticket)
			return grant, fulmarapi.NewUnknown(fulmarapi.ReasonClaimExpired, "the key was claimed too long ago")
		}
		return grant, nil
	case <-p.ctx.Done():
		p.scheduler.Cancel(p.ticket)
		return fulmardispatch.Grant{}, p.ended(refusalOfContext(p.ctx))
	}
}

// attempt sends the request once. again tells that the ticket waits for another slot.
func (p *passage) attempt(grant fulmardispatch.Grant) (refusal *fulmarapi.Refusal, again bool) {
	answer, failure := p.entry.options.Sender.Send(p.ctx, grant, p.call.request, p.onSilence())
	if failure != nil {
		return p.failed(failure)
	}
	return p.pass(answer)
}

// onSilence returns what decides on giving up a silent worker, or nil when the request cannot be repeated.
func (p *passage) onSilence() func() bool {
	if !p.call.request.CanRepeat() || p.sent+1 >= p.attempts {
		return nil
	}
	return func() bool { return p.mayRetry("silent") }
}

// failed decides what follows an attempt without an answer.
func (p *passage) failed(failure *fulmardispatch.Failure) (refusal *fulmarapi.Refusal, again bool) {
	if failure.MayHaveRun {
		p.sent++
		p.mayHaveRun = true
	}
	if p.isRepeatable(failure) {
		p.entry.options.Counters.Retry(failure.Result.String())
		p.scheduler.Requeue(p.ticket, failure.Result)
		return nil, true
	}
	p.scheduler.Finish(p.ticket, failure.Result)
	if hasEnded(p.ctx) && !failure.MayHaveRun {
		return p.ended(refusalOfContext(p.ctx)), false
	}
	return p.ended(fulmarapi.NewRefusal(failure.Reason, failure.Error())), false
}

// isRepeatable tells whether a failed attempt is followed by another one. An
// attempt that did not run is repeated for any method, one that may have run
// only for an idempotent one, within the retry budget.
func (p *passage) isRepeatable(failure *fulmardispatch.Failure) bool {
	if hasEnded(p.ctx) || failure.Result == fulmardispatch.ResultNeutral {
		return false
	}
	switch {
	case failure.Result == fulmardispatch.ResultSilent:
		return true // paid for by onSilence
	case failure.Result == fulmardispatch.ResultBusy || failure.Result == fulmardispatch.ResultStale:
		return p.call.request.Stream == nil
	case !failure.MayHaveRun:
		return true
	case !p.call.request.CanRepeat() || p.sent >= p.attempts:
		return false
	}
	return p.mayRetry(failure.Result.String())
}

func (p *passage) mayRetry(cause string) bool {
	if p.scheduler.Retries().Spend() {
		return true
	}
	p.entry.options.Counters.RetryRefused(cause + "-budget")
	return false
}

// pass sends an answer on to the caller.
func (p *passage) pass(answer *fulmardispatch.Answer) (refusal *fulmarapi.Refusal, again bool) {
	defer answer.Close()
	buffer := p.entry.buffers.Get().(*[]byte)
	defer p.entry.buffers.Put(buffer)
	w := &answerWriter{
		rw: p.rw, method: p.call.request.Method, idle: p.entry.options.Times.WriteIdle, buffer: *buffer,
	}
	if err := w.readStart(answer); err != nil {
		return p.failed(p.cutFailure(err))
	}
	if p.shouldRetryAnswer(answer) {
		p.sent++
		p.mayHaveRun = true
		p.entry.options.Counters.Retry("status-5xx")
		p.scheduler.Requeue(p.ticket, fulmardispatch.ResultFailed)
		return nil, true
	}
	err := w.write(answer)
	p.scheduler.Finish(p.ticket, p.resultOf(answer, err))
	if err != nil {
		p.entry.options.Counters.Outcome(fulmarapi.Unknown)
		p.entry.options.Counters.Refusal(p.cutReason())
		panic(http.ErrAbortHandler)
	}
	return nil, false
}

func (p *passage) cutFailure(err error) *fulmardispatch.Failure {
	if hasEnded(p.ctx) {
		return &fulmardispatch.Failure{
			Result: fulmardispatch.ResultNeutral, MayHaveRun: true, Reason: p.cutReason(), Cause: err,
		}
	}
	return &fulmardispatch.Failure{
		Result: fulmardispatch.ResultFailed, MayHaveRun: true, Reason: fulmarapi.ReasonAnswerCut, Cause: err,
	}
}

func (p *passage) cutReason() fulmarapi.Reason {
	if hasEnded(p.ctx) {
		return refusalOfContext(p.ctx).Reason()
	}
	return fulmarapi.ReasonAnswerCut
}

// shouldRetryAnswer tells whether a worker's own failure of an idempotent request is worth another worker.
func (p *passage) shouldRetryAnswer(answer *fulmardispatch.Answer) bool {
	if answer.Status() < http.StatusInternalServerError || answer.Status() == http.StatusNotImplemented {
		return false
	}
	if !p.call.request.CanRepeat() || p.sent+1 >= p.attempts || hasEnded(p.ctx) {
		return false
	}
	return p.mayRetry("status-5xx")
}

func (p *passage) resultOf(answer *fulmardispatch.Answer, err error) fulmardispatch.Result {
	if err != nil && hasEnded(p.ctx) {
		return fulmardispatch.ResultNeutral
	}
	return answer.Result()
}

// ended returns the refusal that tells the truth about all attempts together.
func (p *passage) ended(refusal *fulmarapi.Refusal) *fulmarapi.Refusal {
	if !p.mayHaveRun {
		return refusal
	}
	return fulmarapi.NewUnknown(refusal.Reason(), refusal.Detail()).WithRetryAfter(refusal.RetryAfter())
}

func refusalOfContext(ctx context.Context) *fulmarapi.Refusal {
	if ctx.Err() == context.DeadlineExceeded {
		return fulmarapi.NewRefusal(fulmarapi.ReasonDeadlinePassed, "the time limit has passed")
	}
	return fulmarapi.NewRefusal(fulmarapi.ReasonCallerGone, "the caller has gone")
}
