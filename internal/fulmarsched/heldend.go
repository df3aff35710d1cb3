package fulmarsched

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// heldEnd is a finished run that must not be acknowledged yet, because its start is open: a later
// incarnation of the executor may execute that, although the run has ended and its end is acknowledged. An
// end without an acknowledgement is lost with its incarnation.
type heldEnd struct {
	sequence int64
	run      runKey
	// starts are the open starts at the time of the report: that of the run and, as the end of one member
	// of a gang stands for all of them, those of the other members.
	starts []startKey
	// readAt is when a report listed the end for the first time.
	readAt fulmarclock.Millis
}

// holdBudget bounds how many ends are acknowledged late because of held ones, so that executors with many
// open starts still have their ends acknowledged: a share of all ends, and a few more.
type holdBudget struct{ available float64 }

func newHoldBudget() holdBudget { return holdBudget{available: lateEndsBurst} }

// noteEnd adds the share of an end that an executor has reported.
func (b *holdBudget) noteEnd() { b.available = min(b.available+maxLateShare, lateEndsBurst) }

// take reports whether so many more ends may be acknowledged late.
func (b *holdBudget) take(ends int64) bool {
	if b.available < float64(ends) {
		return false
	}
	b.available -= float64(ends)
	return true
}

// holdEnd keeps a reported end, and those after it, from being acknowledged if its start is open.
func (s *Scheduler) holdEnd(e *executor, f fulmarjob.FinishedTask) {
	s.holdBudget.noteEnd()
	if !s.mayNotStartAfter(f) {
		return
	}
	if starts := s.openStarts.before(s.now, startKey{e.info.ID, runKey{f.Task, f.Run}}); len(starts) > 0 {
		for _, start := range starts {
			s.openStarts.noteHolding(start, e.info.ID)
		}
		e.heldEnds = append(e.heldEnds, heldEnd{sequence: f.Sequence, run: runKey{f.Task, f.Run}, starts: starts, readAt: s.now})
		s.log.Count("held_ends", string(f.Outcome))
	}
}

// mayNotStartAfter reports whether the end of a run is one after which its task may not start again, once
// the end is acknowledged.
func (s *Scheduler) mayNotStartAfter(f fulmarjob.FinishedTask) bool {
	if t := s.findTask(f.Task); t != nil && t.step.LongRunning {
		return false
	}
	return f.Outcome == fulmarjob.RunDone || f.Outcome == fulmarjob.RunFailed
}

// releaseEnds drops the oldest held ends as long as they need not be held any more, or must not be: if the
// ends after them would be acknowledged late beyond the budget, or if the executor may have more finished
// runs than it lists.
func (s *Scheduler) releaseEnds(e *executor) {
	for len(e.heldEnds) > 0 {
		first := e.heldEnds[0]
		if s.openStarts.latest(s.now, first.starts) > 0 {
			if !e.moreFinished && (s.now < s.lateFrom(first) || s.takeLateEnds(e)) {
				return
			}
			s.logGivenUp(e, first)
		}
		e.heldEnds = e.heldEnds[1:]
	}
}

// logGivenUp logs a held end that is acknowledged although a start that must not follow it may still be executed.
func (s *Scheduler) logGivenUp(e *executor, h heldEnd) {
	reason := "too many others wait behind it"
	if e.moreFinished {
		reason = "its executor may have more finished runs than it lists"
	}
	start, id := h.starts[0], h.run.task
	s.log.Log("acknowledging the end of a run although a start of its task may still be executed", "job", id.Job, "step", id.Step, "index", id.Index, "run", h.run.run, "executor", e.info.ID, "sequence", h.sequence, "why", reason, "held_ms", s.now-h.readAt, "start_executor", start.executor, "start_run", start.run.run, "open_for_ms", s.openStarts.latest(s.now, h.starts)-s.now)
	s.log.Count("held_ends_given_up", reason)
}

// lateFrom returns from when on a held end, and those after it, count as acknowledged late.
func (s *Scheduler) lateFrom(h heldEnd) fulmarclock.Millis {
	return h.readAt + fulmarclock.Millis(float64(s.params.AcknowledgeTimeout)*timelyFraction)
}

// takeLateEnds takes the ends from the executor's oldest held one on from the budget, each of them once.
func (s *Scheduler) takeLateEnds(e *executor) bool {
	counted := max(e.lateThrough, e.heldEnds[0].sequence-1)
	if !s.holdBudget.take(e.finishedSeen - counted) {
		return false
	}
	e.lateThrough = e.finishedSeen
	return true
}

// acknowledgeable returns the sequence number up to which finished runs may be acknowledged. The numbers
// after a held end wait for it.
func (s *Scheduler) acknowledgeable(e *executor) int64 {
	s.releaseEnds(e)
	if len(e.heldEnds) == 0 {
		return e.acknowledged
	}
	return min(e.acknowledged, e.heldEnds[0].sequence-1)
}

// heldUntil returns when the executor's held ends are to be looked at again, if nothing else happens there.
func (s *Scheduler) heldUntil(e *executor) fulmarclock.Millis {
	first := e.heldEnds[0]
	until := s.openStarts.latest(s.now, first.starts)
	if late := s.lateFrom(first); s.now < late {
		return min(late, until)
	}
	return until
}
