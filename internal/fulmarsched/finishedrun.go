package fulmarsched

import (
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// logUnreadEnds logs a gap before the first finished run that a report lists for the first time. An
// executor that lists its runs without a gap to the same owner has deleted none that was not read.
// A previous owner may have read what came before the first one.
func (s *Scheduler) logUnreadEnds(e *executor, finished []fulmarjob.FinishedTask) {
	if e.finishedSeen == 0 && !e.countsFromStart {
		return
	}
	for _, f := range finished {
		if f.Sequence <= e.finishedSeen {
			continue
		}
		if unread := f.Sequence - e.finishedSeen - 1; unread > 0 {
			s.log.Log("executor has deleted finished runs that were not read", "executor", e.info.ID, "born", e.info.Incarnation, "runs", unread, "read_until", e.finishedSeen, "acknowledged", e.acknowledged)
			s.log.Count("unread_ends", "")
		}
		return
	}
}

// handleFinished applies the finished runs that a report lists for the first time.
func (s *Scheduler) handleFinished(e *executor, finished []fulmarjob.FinishedTask) {
	for _, f := range finished {
		if f.Sequence <= e.finishedSeen {
			continue
		}
		e.finishedSeen = f.Sequence
		if !e.finishedQueued {
			e.finishedQueued = true
			s.executorsWithFinished = append(s.executorsWithFinished, e)
		}
		e.unacknowledged = append(e.unacknowledged, unacknowledgedEnd{sequence: f.Sequence, readAt: s.now})
		s.holdEnd(e, f)
		s.handleFinishedTask(e, f)
	}
}

func (s *Scheduler) findTask(id fulmarjob.TaskID) *task {
	if j := s.jobs[id.Job]; j != nil {
		return j.findTask(id)
	}
	return nil
}

// isLasting reports whether a task is known and lasts.
func (s *Scheduler) isLasting(id fulmarjob.TaskID) bool {
	t := s.findTask(id)
	return t != nil && t.step.LongRunning
}

func (s *Scheduler) handleFinishedTask(e *executor, f fulmarjob.FinishedTask) {
	e.dropStrayRun(runKey{f.Task, f.Run})
	t := s.findTask(f.Task)
	if t == nil {
		return
	}
	r := t.runNumbered(f.Run)
	isSettled := !s.openStarts.isOpen(s.now, startKey{e.info.ID, runKey{f.Task, f.Run}})
	s.log.Log("run ended", "job", f.Task.Job, "step", f.Task.Step, "index", f.Task.Index, "run", f.Run, "how", f.Outcome, "executor", e.info.ID, "attempts", t.attempts,
		"image", t.step.Image, "took_ms", s.now-r.confirmedAt, "start_settled", isSettled, "sequence", f.Sequence, "declared_ms", t.step.EstimatedDuration, "expected_ms", s.estimate(t.job, t.step))
	isCurrent := r.state == taskPlaced && r.executor == e && r.run == f.Run
	if isCurrent {
		s.confirmRun(r)
	}
	if f.Checkpoint != "" && f.Run == r.run {
		r.checkpoint = f.Checkpoint
	}
	switch {
	case f.Outcome == fulmarjob.RunDone && !t.step.LongRunning:
		s.recordOutcome(e, t, false)
		s.finishCopy(t, r, isCurrent)
		s.completeTask(e, t, f, isCurrent)
	case !isCurrent:
		s.countLateFailure(e, t, f)
		return
	case f.Outcome == fulmarjob.RunFailed:
		s.handleFailure(e, r)
	default:
		s.endPlacement(r, string(f.Outcome))
	}
	s.markDirty(t.job)
}

// completeTask marks a task as done. If the task was placed again because this run seemed lost,
// the newer run is stopped; its later reports count as those of an unexpected run.
func (s *Scheduler) completeTask(e *executor, t *task, f fulmarjob.FinishedTask, isCurrent bool) {
	if t.state == taskDone {
		return
	}
	if t.state == taskPlaced && isCurrent {
		s.observeDuration(t)
	}
	if t.state == taskPlaced && !isCurrent {
		s.logRepeatedRun(e, t, f)
		s.stopRun(t, stopTaskDone)
	}
	if t.executor != nil {
		if !isCurrent {
			s.keepAsStray(t)
		}
		t.executor.idleSince = s.now
		t.executor.removeTask(t)
	}
	s.markTaskDone(t)
}

// logRepeatedRun logs that a run on e has ended as done whose task has been placed again since. If the
// clock of e has not passed the last deadline, the lease has not expired, as was assumed.
func (s *Scheduler) logRepeatedRun(e *executor, t *task, f fulmarjob.FinishedTask) {
	s.log.Log("run ended as done after its task was placed again", "job", t.id.Job, "step", t.id.Step, "index", t.id.Index, "run", f.Run, "newer_run", t.run, "newer_executor", t.executor.info.ID, "newer_starts", t.startsSent, "executor", e.info.ID, "clock", e.clock, "last_deadline", e.lastDeadline, "lease_ends_in_ms", e.leasesEndBy-s.now)
	s.log.Count("repeated_runs", "")
}

// markTaskDone marks a task as done, and its occurrence and job if this was their last task.
func (s *Scheduler) markTaskDone(t *task) {
	t.setState(taskDone)
	t.setSuspicions(0)
	j, o := t.job, t.occurrence
	o.remaining[t.id.Step]--
	s.markDirty(j)
	if t.step.Gang && o.remaining[t.id.Step] > 0 {
		s.markGangDone(o, t.id.Step)
	}
	if o.isDone() {
		j.activeOccurrences = slices.DeleteFunc(j.activeOccurrences, func(other *occurrence) bool { return other == o })
		j.doneOccurrences++
	}
	if j.doneOccurrences == j.specification.Occurrences() {
		s.endJob(j, fulmarjob.Completed, "all tasks are done")
	}
}

// markGangDone marks the other members of a gang as done, since they end together.
func (s *Scheduler) markGangDone(o *occurrence, step int) {
	for _, m := range o.steps[step] {
		if m.state == taskDone {
			continue
		}
		if m.executor != nil {
			s.keepAsStray(m)
			m.executor.idleSince = s.now
			m.executor.removeTask(m)
		}
		m.setState(taskDone)
		m.setSuspicions(0)
		o.remaining[step]--
	}
}
