package fulmarsched

import "github.com/fulmardrum/fulmardrum/internal/fulmarclock"

// retireCrashed retires an incarnation whose VM has a newer one, and records its crash if its end
// was not planned.
func (s *Scheduler) retireCrashed(e *executor) {
	crash := s.crashOf(e)
	s.retire(e, "its VM has a newer executor incarnation")
	s.recordCrash(crash)
}

// retire marks an incarnation as ended: nothing runs on it any more and nothing can start.
func (s *Scheduler) retire(e *executor, reason string) {
	if e.retired {
		return
	}
	e.retired, e.renewalDue, e.supersededAt = true, 0, 0
	e.clearClaim()
	e.dropStrayRuns()
	s.log.Log("executor retired; ending its placements", "executor", e.info.ID, "vm", e.info.VM, "born", e.info.Incarnation, "tasks", len(e.tasks), "why", reason)
	s.clearUnresponsive(e)
	for _, t := range sortedTasks(e) {
		s.endPlacement(t, reason)
	}
	s.openStarts.dropExecutor(e.info.ID)
}

// retireIncarnation retires an executor whose incarnation was ended by a command for its VM. It
// does nothing if the executor has a newer incarnation.
func (s *Scheduler) retireIncarnation(id string, incarnation int64, reason string) {
	if e := s.executors[id]; e != nil && e.info.Incarnation == incarnation {
		s.retire(e, reason)
	}
}

// replaceIncarnation ends the placements on the previous incarnation of an executor whose starts
// can't reach the new one. A command names only the executor's ID, so the new incarnation may have
// executed, or may still execute, any other start: such a run counts as placed there until the new
// incarnation has reported it, or has confirmed that it is stopped.
func (s *Scheduler) replaceIncarnation(e *executor, incarnation int64) {
	s.log.Log("executor has a new incarnation; ending the placements on the old one", "executor", e.info.ID, "born", incarnation, "before", e.info.Incarnation, "tasks", len(e.tasks), "tasks_not_reported", countNotReported(e), "since_result_ms", s.now-e.lastResultAt)
	crash := s.crashOf(e)
	e.info.Incarnation = incarnation
	e.forgetStrayRuns(s.now)
	e.fence.beginIncarnation(s.revision)
	s.expireTickets(e.info.ID)
	e.hasClock, e.clock, e.renewalInFlight = false, 0, false
	e.finishedSeen, e.acknowledged, e.acknowledgementConfirmed, e.countsFromStart = 0, 0, 0, true
	e.moreFinished, e.heldEnds, e.unacknowledged = false, nil, nil
	e.lastDeadline, e.namedVMs = 0, nil
	s.clearUnresponsive(e)
	e.leasesEndBy = maxLeaseEnd(s.now, s.params.MaxLease)
	e.failedRenewals, e.avoidUntil, e.failedJobs, e.retired = 0, 0, nil, false
	for _, t := range sortedTasks(e) {
		s.replaceRun(t)
	}
	s.recordCrash(crash)
	s.scheduleRenewal(e, 0)
}

// replaceRun handles the run of a task whose executor has a new incarnation.
func (s *Scheduler) replaceRun(t *task) {
	if !t.mayReachNewIncarnation(s.now) {
		s.endPlacement(t, "its executor has a new incarnation")
		return
	}
	wasReported := t.runningSince > 0
	t.confirmedAt, t.runningSince, t.progress, t.stopConfirmedAt, t.startAnswered = 0, 0, 0, 0, false
	if t.stopping || wasReported {
		s.stopRun(t, stopNewIncarnation)
		return
	}
	t.uncertain = true
}

// mayReachNewIncarnation reports whether a start of the task's run may have been executed by an
// incarnation of its executor that followed the one it was meant for, or still may be.
func (t *task) mayReachNewIncarnation(now fulmarclock.Millis) bool {
	if t.inherited {
		return true
	}
	return t.startsSent > 0 && (t.runningSince == 0 || !t.isStartSettled(now))
}

// isStartSettled reports whether no start of the task's run by this owner can be executed any more.
func (t *task) isStartSettled(now fulmarclock.Millis) bool {
	return t.startAnswered || now > t.startSentAt+lateExecutionBound
}

// countNotReported returns the number of tasks whose start was sent and that no report of the
// executor has listed as running.
func countNotReported(e *executor) int {
	count := 0
	for _, t := range e.tasks {
		if t.startsSent > 0 && t.runningSince == 0 {
			count++
		}
	}
	return count
}
