package fulmarowner

import (
	"context"
	"errors"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarsched"
)

// do queues a request for the scheduler and waits for the response. It refuses the
// request if the queue is full.
func (t *term) do(ctx context.Context, request Request) Response {
	responses := make(chan Response, 1)
	select {
	case t.events <- requestReceived{request: request, receivedAt: t.options.Clock.Now(), responses: responses}:
	case <-t.ended:
		return Response{Outcome: NotOwner}
	default:
		t.options.Metrics.Count("refusals", "ring-full")
		return shedResponse
	}
	select {
	case response := <-responses:
		response.Token = t.ownership.Token()
		return response
	case <-t.drained:
		return t.lateResponse(responses)
	case <-ctx.Done():
		return Response{Outcome: Unknown, Reason: "deadline", Token: t.ownership.Token()}
	}
}

// lateResponse returns the response to a request of a term that has ended. A request without
// one was queued after the end, so the scheduler never received it. After a panic it may also
// be one that the scheduler was handling, and the journal may hold it.
func (t *term) lateResponse(responses <-chan Response) Response {
	select {
	case response := <-responses:
		response.Token = t.ownership.Token()
		return response
	default:
	}
	var panicked *panicError
	if errors.As(t.failure, &panicked) {
		return Response{Outcome: Unknown, Reason: "ownership-lost", Token: t.ownership.Token()}
	}
	return Response{Outcome: NotOwner}
}

// handle applies a request to the scheduler. It returns true if the response must wait
// until the journal holds the change.
func (t *term) handle(now fulmarclock.Millis, request Request) (Response, bool) {
	unix := t.options.Clock.Unix()
	if request.Kind == Explain {
		return t.explain(now, unix, request), false
	}
	if response, refused := t.refuseKnown(request); refused {
		return response, false
	}
	switch request.Kind {
	case Submit:
		return t.submit(now, unix, request)
	case Cancel:
		response, accepted := responseTo(t.scheduler.Cancel(now, unix, request.Job))
		if response.Outcome == UnknownJob {
			return t.unknownJobResponse(), false
		}
		return response, accepted
	case State:
		state, known := t.scheduler.JobState(request.Job)
		if !known {
			return t.unknownJobResponse(), false
		}
		return Response{Outcome: Done, State: state}, false
	case Pending:
		return Response{Outcome: Done, Pending: t.scheduler.PendingJobs(request.Queue)}, false
	}
	return Response{Outcome: Refused, Reason: "kind"}, false
}

// unknownJobResponse returns UnknownJob, or NotOwner if there may be a newer owner that
// knows the job.
func (t *term) unknownJobResponse() Response {
	if !t.ownership.IsValid() {
		return Response{Outcome: NotOwner}
	}
	return Response{Outcome: UnknownJob, Reason: "unknown job"}
}

// refuseKnown returns the response to a request about a known job, and true, unless the request may use the job.
func (t *term) refuseKnown(request Request) (Response, bool) {
	origin, known := t.scheduler.JobOrigin(request.Job)
	if !known {
		return Response{}, false
	}
	response, refused := t.candidate.customerRules().refuseKnown(request, origin)
	if refused {
		t.logRefusal(request, response, origin.Customer)
	}
	return response, refused
}

// logRefusal logs that a request was refused for its customer. The member that received it counts the refusal.
func (t *term) logRefusal(request Request, response Response, jobCustomer string) {
	t.options.Logger.Info("request refused for its customer", "job", request.Job, "queue", request.Queue, "reason", response.Reason, "customer", request.Customer, "job_customer", jobCustomer)
}

// submit passes a job to the scheduler. It refuses a new job itself if the configuration no
// longer has the queue or the customer, or the append in flight is stalled. A known job is not refused to its
// customer: its caller would take it for one that never runs.
func (t *term) submit(now fulmarclock.Millis, unix int64, request Request) (Response, bool) {
	if t.scheduler.HasJob(request.Job) {
		return responseTo(t.scheduler.Submit(now, unix, fulmarsched.Submission{ID: request.Job}))
	}
	submission, response, refused := t.submissionOf(request)
	if refused {
		if response.Reason == ReasonCustomerRemoved || response.Reason == reasonConfigurationAhead {
			t.logRefusal(request, response, "")
		}
		return response, false
	}
	if retryAfter, stalled := t.stallRetryAfter(now); stalled {
		t.options.Logger.Info("job refused", "job", request.Job, "queue", request.Queue, "reason", reasonStoreStalled, "stalled_ms", now-t.appendStarted)
		t.options.Metrics.Count("refusals", reasonStoreStalled)
		return Response{Outcome: Refused, Reason: reasonStoreStalled, RetryAfter: retryAfter}, false
	}
	return responseTo(t.scheduler.Submit(now, unix, submission))
}

// submissionOf returns the submission of a new job; or a response, and true, if the newest configuration of the
// owner's member does not permit it.
func (t *term) submissionOf(request Request) (submission fulmarsched.Submission, response Response, refused bool) {
	customers := t.candidate.customerRules()
	configuration := customers.configuration
	if configuration == nil || configuration.Version < request.ConfigurationVersion {
		// The sending member retries until the owner has the same configuration.
		return submission, Response{Outcome: NotOwner, Reason: reasonConfigurationBehind}, true
	}
	queue, found := configuration.QueueByName(request.Queue)
	if !found {
		return submission, Response{Outcome: Refused, Reason: ReasonQueueRemoved, RetryAfter: fulmarclock.Second}, true
	}
	submission = fulmarsched.Submission{ID: request.Job, Queue: queue, Customer: request.Customer, Specification: request.Specification}
	response, refused = customers.refuseNew(request, queue)
	return submission, response, refused
}

// responseTo translates a decision of the scheduler. It returns true if the response
// must wait for the journal.
func responseTo(d fulmarsched.Decision) (Response, bool) {
	switch d.Outcome {
	case fulmarsched.OutcomeAccepted:
		return Response{Outcome: Done, Reason: d.Reason}, true
	case fulmarsched.OutcomeUnknownJob:
		return Response{Outcome: UnknownJob, Reason: d.Reason}, false
	}
	return Response{Outcome: Refused, Reason: d.Reason, RetryAfter: d.RetryAfter}, false
}
