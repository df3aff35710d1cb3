package fulmarsched

import "slices"

// endPlacement removes a task from its executor once its run has certainly ended. The task then
// waits to be placed again, unless its job has ended or a copy of the run goes on.
func (s *Scheduler) endPlacement(t *task, reason string) {
	if t.original != nil {
		s.endCopy(t, reason)
		return
	}
	e := t.executor
	e.removeTask(t)
	e.idleSince = s.now
	t.confirmedAt, t.startSentAt, t.runningSince, t.startsSent, t.progress = 0, 0, 0, 0, 0
	t.stopping, t.stopSentAt, t.stopConfirmedAt, t.speed = false, 0, 0, fullPercent
	t.moving, t.movingJournaled, t.uncertain = false, false, false
	t.setState(taskWaiting)
	if t.job.state.IsFinal() {
		t.setState(taskDone)
	}
	s.markDirty(t.job)
	s.log.Log("task placement ended", "job", t.id.Job, "step", t.id.Step, "index", t.id.Index, "run", t.run, "executor", e.info.ID, "why", reason)
	s.deleteIfUnused(e)
	s.promoteCopy(t)
	s.stopGang(t)
}

// stopGang stops the other members of a gang, since they can only work together.
func (s *Scheduler) stopGang(t *task) {
	o := t.job.findOccurrence(t.id.Occurrence)
	if !t.step.Gang || o == nil {
		return
	}
	for _, m := range o.steps[t.id.Step] {
		if m.state == taskPlaced && !m.stopping {
			s.stopRun(m, stopGangEnded)
		}
	}
}

// checkExecutor ends the placements on an unresponsive executor once its lease has expired,
// retries commands that had no effect, and moves long-running tasks off a draining executor. It
// retries commands also at an executor that is no longer listed: its tasks are bound to it while
// it responds.
func (s *Scheduler) checkExecutor(e *executor) {
	if e.retired {
		return
	}
	s.recordUnresponsive(e)
	if e.failedRenewals > 0 || !e.listed {
		s.endExpiredPlacements(e)
		s.deleteIfUnused(e)
	}
	if e.failedRenewals > 0 {
		return
	}
	if e.info.Draining {
		s.moveLongRunning(e)
	}
	for _, t := range sortedTasks(e) {
		s.retryCommand(e, t)
	}
}

// endExpiredPlacements ends the placements on an executor once its lease has expired.
func (s *Scheduler) endExpiredPlacements(e *executor) {
	if s.now <= s.knownLeaseEnd(e)+expiryMargin {
		return
	}
	expired := slices.DeleteFunc(sortedTasks(e), func(t *task) bool { return s.now <= s.leaseEnd(e, t)+expiryMargin })
	s.logExpiry(e, expired)
	s.recordLapse(e, expired)
	e.dropStrayRuns()
	for _, t := range expired {
		s.endPlacement(t, "the lease of its executor has expired")
	}
}

// logExpiry logs on what grounds the leases on an executor count as expired. A lease of the longest duration, granted when
// the executor last responded, ends longest_lease_ends_in_ms later.
func (s *Scheduler) logExpiry(e *executor, expired []*task) {
	if len(expired) == 0 {
		return
	}
	s.log.Log("leases on an executor have expired; ending its placements", "executor", e.info.ID, "born", e.info.Incarnation, "tasks", len(expired), "listed", e.listed,
		"ended", e.hasEnded(), "cut_off", s.isCutOff(e.info.ID), "silent_ms", s.now-e.lastResultAt, "lease_ends_in_ms", e.leasesEndBy-s.now, "longest_lease_ends_in_ms", e.lastResultAt+s.longestLease()-s.now)
}

// retryCommand sends the stop of a moving task whose move the journal holds, once its step permits it:
// other tasks may have been lost since the move was decided. It also sends the stop of a copy whose job
// has ended, and of a task whose job ended under a previous owner, and repeats stops and starts that had no result or could not be sent
// before.
func (s *Scheduler) retryCommand(e *executor, t *task) {
	if t.job.state.IsFinal() && !t.stopping && e.fence.accepted {
		s.stopRun(t, stopJobEnded)
		return
	}
	if t.movingJournaled && !t.stopping && t.confirmedAt > 0 {
		if s.mayInterrupt(t) {
			s.stopRun(t, stopTaskMoves)
		}
		return
	}
	if t.stopping && t.stopConfirmedAt == 0 && s.now > t.stopSentAt+s.params.StopTimeout+resendDelay {
		s.sendStop(t)
		return
	}
	mayHaveEnded := t.inherited && e.moreFinished
	if t.startsSent == 0 && t.confirmedAt == 0 && !t.stopping && e.fence.accepted && !mayHaveEnded {
		s.sendStart(t)
		return
	}
	if t.startsSent > 0 && t.confirmedAt == 0 && !t.stopping && e.lastResultAt > t.startSentAt && s.now > t.startSentAt+resendDelay {
		s.sendStart(t)
	}
}
