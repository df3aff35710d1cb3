package fulmarsched

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// heldEnd is a finished run that must not be acknowledged yet, because a start of its task is open: a later
// incarnation of that executor may execute it, although the end is acknowledged. An end without an
// acknowledgement is lost with its incarnation.
type heldEnd struct {
	sequence int64
	run      runKey
	// starts are the open starts at the time of the report: those of all runs of the task and, as the end of one
	// member of a gang stands for all of them, those of the other members.
	starts []startKey
}

// holdEnd keeps a reported end, and those after it, from being acknowledged if its start is open.
func (s *Scheduler) holdEnd(e *executor, f fulmarjob.FinishedTask) {
	if !s.mayNotStartAfter(f) {
		return
	}
	if starts := s.openStarts.before(s.now, startKey{e.info.ID, runKey{f.Task, f.Run}}); len(starts) > 0 {
		for _, start := range starts {
			s.openStarts.noteHolding(start, e.info.ID)
		}
		e.heldEnds = append(e.heldEnds, heldEnd{sequence: f.Sequence, run: runKey{f.Task, f.Run}, starts: starts})
		s.log.Count("held_ends", string(f.Outcome))
	}
}

// mayNotStartAfter reports whether the end of a run is one after which its task may not start again, once
// the end is acknowledged.
func (s *Scheduler) mayNotStartAfter(f fulmarjob.FinishedTask) bool {
	return !s.isLasting(f.Task) && (f.Outcome == fulmarjob.RunDone || f.Outcome == fulmarjob.RunFailed)
}

// releaseEnds drops the oldest held ends whose starts can't be executed any more, and all of an executor that may
// have more finished runs than it lists: it lists the others once these are acknowledged.
func (s *Scheduler) releaseEnds(e *executor) {
	for len(e.heldEnds) > 0 {
		first := e.heldEnds[0]
		if s.openStarts.latest(s.now, first.starts) > 0 {
			if !e.moreFinished {
				return
			}
			s.logGivenUp(e, first)
		}
		e.heldEnds = e.heldEnds[1:]
	}
}

// logGivenUp logs a held end that is acknowledged although a start that must not follow it may still be executed.
func (s *Scheduler) logGivenUp(e *executor, h heldEnd) {
	start, id := h.starts[0], h.run.task
	s.log.Log("acknowledging the end of a run although a start of its task may still be executed, as its executor may have more finished runs than it lists",
		"job", id.Job, "step", id.Step, "index", id.Index, "run", h.run.run, "executor", e.info.ID, "sequence", h.sequence, "start_executor", start.executor, "start_run", start.run.run, "open_for_ms", s.openStarts.latest(s.now, h.starts)-s.now)
	s.log.Count("held_ends_given_up", "")
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
	return s.openStarts.latest(s.now, e.heldEnds[0].starts)
}
