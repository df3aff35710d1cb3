package fulmarowner

import "github.com/fulmardrum/fulmardrum/internal/fulmarclock"

// stall tells whether the journal has not answered for long, and when callers may return.
func (r *reign) stall(now fulmarclock.Millis) (fulmarclock.Millis, bool) {
	if !r.appending || now < r.appendedAt+stallLimit {
		return 0, false
	}
	return min(max(now-r.appendedAt, fulmarclock.Second), longestStallPause), true
}

// withdrawWaiting refuses the jobs that wait for the next append while the one
// before it gets no answer. None of them was part of any append, so none can run.
func (r *reign) withdrawWaiting(now fulmarclock.Millis) {
	wait, _ := r.stall(now)
	kept := r.waiting[:0]
	for _, w := range r.waiting {
		if w.submitted == "" || !r.scheduler.Withdraw(now, w.submitted) {
			kept = append(kept, w)
			continue
		}
		r.options.Counters.Count("refusals", reasonStalled)
		w.replies <- Reply{Outcome: Refused, Reason: reasonStalled, RetryAfter: wait}
	}
	r.waiting = kept
}
