package fulmardispatch

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

const (
	// initialBusyBackoff and maxBusyBackoff limit the backoff after a worker refused a request as busy.
	initialBusyBackoff = 4 * fulmarclock.Millis(1)
	maxBusyBackoff     = 64 * fulmarclock.Millis(1)
	// staleBackoff is the backoff after a worker refused a request for a stale assignment.
	staleBackoff = 500 * fulmarclock.Millis(1)
)

// AssignedWorker is a worker assigned to a pool. A draining worker gets no new requests.
type AssignedWorker struct {
	Target   Target
	Slots    int
	Draining bool
}

// worker is a scheduler's state for one worker.
type worker struct {
	assigned     AssignedWorker
	maxRunning   int
	running      int
	health       Health
	backoffUntil fulmarclock.Millis
	backoff      fulmarclock.Millis
	probing      bool
	// freedSlots is the number of slots that this member has freed by completed requests and not used again.
	freedSlots int
}

func newWorker(assigned AssignedWorker) *worker { return &worker{assigned: assigned} }

// isFree reports whether this member may send the worker another request now.
func (w *worker) isFree(now fulmarclock.Millis) bool {
	return !w.assigned.Draining && w.running < w.maxRunning && now >= w.backoffUntil
}

// isProbeDue reports whether an ejected worker may be probed with a request now.
func (w *worker) isProbeDue(now fulmarclock.Millis, idempotent bool) bool {
	return !w.probing && w.isFree(now) && w.health.IsProbeDue(now, idempotent)
}

func (w *worker) countsAsCapacity() bool {
	return !w.assigned.Draining && w.health.State() != Ejected
}

// recordResult updates the worker's state with the result of a completed attempt.
func (w *worker) recordResult(t *Ticket, now fulmarclock.Millis, random func(n int) int) {
	w.running--
	if t.isProbe {
		w.probing = false
	}
	switch t.result {
	case ResultBusy:
		w.startBackoff(now, random)
	case ResultStale:
		w.backoffUntil = now + staleBackoff
	case ResultUnreachable:
		w.health.EjectUnreachable(now)
	case ResultSucceeded, ResultFailed, ResultTimedOut:
		w.recordHealth(t, now)
	case ResultNeutral:
	}
}

// recordHealth updates the worker's health with an attempt that reached it.
func (w *worker) recordHealth(t *Ticket, now fulmarclock.Millis) {
	failed := t.result != ResultSucceeded
	if !failed {
		w.backoffUntil, w.backoff = 0, 0
		w.freedSlots = min(w.freedSlots+1, w.assigned.Slots)
	}
	if t.isProbe {
		w.health.RecordProbe(now, failed)
		return
	}
	w.health.Record(failed)
}

// startBackoff doubles the backoff and starts it with a random part of up to
// half, so that members do not retry at the same time.
func (w *worker) startBackoff(now fulmarclock.Millis, random func(n int) int) {
	if w.backoff == 0 {
		w.backoff = initialBusyBackoff
	} else {
		w.backoff = min(2*w.backoff, maxBusyBackoff)
	}
	w.freedSlots = 0
	half := int(w.backoff / 2)
	w.backoffUntil = now + w.backoff/2 + fulmarclock.Millis(random(half+1))
}
