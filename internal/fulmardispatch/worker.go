package fulmardispatch

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

const (
	// busyFirst and busyMost bound the wait after a worker's refusal for want of a slot.
	busyFirst = 4 * fulmarclock.Millis(1)
	busyMost  = 64 * fulmarclock.Millis(1)
	// staleWait is the wait after a worker refused an old assignment.
	staleWait = 500 * fulmarclock.Millis(1)
)

// Assigned is a worker of a pool as the fleet's view shows it.
type Assigned struct {
	Target  Target
	Slots   int
	Leaving bool
}

// worker is a scheduler's state of one worker.
type worker struct {
	assigned  Assigned
	limit     int
	running   int
	health    Health
	busyUntil fulmarclock.Millis
	busyWait  fulmarclock.Millis
	probing   bool
	// freed counts this member's answers from the worker whose slots it has not used again.
	freed int
}

func newWorker(assigned Assigned) *worker { return &worker{assigned: assigned} }

// isFree tells whether this member may send the worker another request now.
func (w *worker) isFree(now fulmarclock.Millis) bool {
	return !w.assigned.Leaving && w.running < w.limit && now >= w.busyUntil
}

// isProbeDue tells whether an ejected worker may be tried with a request now.
func (w *worker) isProbeDue(now fulmarclock.Millis, idempotent bool) bool {
	return !w.probing && w.isFree(now) && w.health.IsProbeDue(now, idempotent)
}

func (w *worker) countsAsCapacity() bool {
	return !w.assigned.Leaving && w.health.Verdict() != Ejected
}

// record notes the result of an attempt that has ended.
func (w *worker) record(t *Ticket, now fulmarclock.Millis, random func(n int) int) {
	w.running--
	if t.probe {
		w.probing = false
	}
	switch t.result {
	case ResultBusy:
		w.backOff(now, random)
	case ResultStale:
		w.busyUntil = now + staleWait
	case ResultUnreachable:
		w.health.EjectUnreachable(now)
	case ResultAnswered, ResultFailed, ResultSilent:
		w.recordRun(t, now)
	case ResultNeutral:
	}
}

func (w *worker) recordRun(t *Ticket, now fulmarclock.Millis) {
	failed := t.result != ResultAnswered
	if !failed {
		w.busyUntil, w.busyWait = 0, 0
		w.freed = min(w.freed+1, w.assigned.Slots)
	}
	if t.probe {
		w.health.ProbeEnded(now, failed)
		return
	}
	w.health.Add(failed)
}

func (w *worker) backOff(now fulmarclock.Millis, random func(n int) int) {
	if w.busyWait == 0 {
		w.busyWait = busyFirst
	} else {
		w.busyWait = min(2*w.busyWait, busyMost)
	}
	w.freed = 0
	half := int(w.busyWait / 2)
	w.busyUntil = now + w.busyWait/2 + fulmarclock.Millis(random(half+1))
}
