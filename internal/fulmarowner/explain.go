package fulmarowner

import "github.com/fulmardrum/fulmardrum/internal/fulmarclock"

// explain responds with where a job would go now. It changes, logs and counts nothing. Operators may ask
// about the jobs of all customers.
func (t *term) explain(now fulmarclock.Millis, unix int64, request Request) Response {
	if request.Job != "" {
		explanation, known := t.scheduler.ExplainJob(now, unix, request.Job)
		if !known {
			return t.unknownJobResponse()
		}
		return Response{Outcome: Done, Explanation: &explanation}
	}
	submission, response, refused := t.submissionOf(request)
	if refused {
		return response
	}
	explanation := t.scheduler.Explain(now, unix, submission)
	if retryAfter, stalled := t.stallRetryAfter(now); stalled {
		explanation.Refuse(reasonStoreStalled, int64(retryAfter))
	}
	return Response{Outcome: Done, Explanation: &explanation}
}
