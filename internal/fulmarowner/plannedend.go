package fulmarowner

import "errors"

// A term ends by plan when the member shuts down or hands the ownership over. It then appends once more
// for the requests that wait.

// beginStop begins the planned end of the term. A stop that has begun already goes on.
func (t *term) beginStop(cause string) {
	if !t.stopping {
		t.stopping, t.hasLastAppend, t.stopCause = true, true, cause
	}
}

// mayAppend reports whether a further append may be started. During a stop that is only one, for
// the requests that wait for it: an owner under load always has more to append.
func (t *term) mayAppend() bool {
	return !t.stopping || t.hasLastAppend && len(t.pending) > 0
}

// respondToPending responds to the requests that wait for an append. After a planned stop, a new
// job among them was part of no append; a repeated submission may be of a job that was.
func (t *term) respondToPending() {
	pending := t.pending
	t.pending = nil
	for _, p := range pending {
		if t.isPlannedEnd() && p.submittedJob != "" && t.scheduler.Withdraw(t.options.Clock.Now(), p.submittedJob) {
			p.responses <- Response{Outcome: NotOwner}
			continue
		}
		respondUnknown([]pendingResponse{p})
	}
}

// isPlannedEnd reports whether the term ends by plan, and the scheduler's state
// is consistent.
func (t *term) isPlannedEnd() bool {
	var panicked *panicError
	return t.stopping && !errors.As(t.failure, &panicked)
}
