package fulmarowner

import "github.com/fulmardrum/fulmardrum/internal/fulmarclock"

// stallRetryAfter reports whether the append in flight is stalled, and after which delay
// refused callers may retry. The delay grows with the age of the append.
func (t *term) stallRetryAfter(now fulmarclock.Millis) (fulmarclock.Millis, bool) {
	if !t.appending || now < t.appendStarted+stallTimeout {
		return 0, false
	}
	return min(max(now-t.appendStarted, fulmarclock.Second), maxStallRetryAfter), true
}

// withdrawPending refuses the jobs that wait for the next append while the append in
// flight is stalled. No append contains these jobs, so none of them can run.
func (t *term) withdrawPending(now fulmarclock.Millis) {
	retryAfter, _ := t.stallRetryAfter(now)
	kept := t.pending[:0]
	for _, p := range t.pending {
		if p.submittedJob == "" || !t.scheduler.Withdraw(now, p.submittedJob) {
			kept = append(kept, p)
			continue
		}
		t.options.Metrics.Count("refusals", reasonStoreStalled)
		p.responses <- Response{Outcome: Refused, Reason: reasonStoreStalled, RetryAfter: retryAfter}
	}
	t.pending = kept
}
