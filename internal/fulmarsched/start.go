package fulmarsched

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// sendStart sends the start command of a placed task, if the journal holds the placement and the
// executor's clock and lease permit it.
func (s *Scheduler) sendStart(t *task) {
	e := t.executor
	if t.state != taskPlaced || !t.journaled || t.stopping || t.uncertain || e.hasClaim() || !e.hasClock || e.unresponsive.recorded {
		return
	}
	if t.job.state.IsFinal() {
		s.stopRun(t, stopJobEnded)
		return
	}
	if e.info.Draining {
		s.withdrawStart(t, stopDraining)
		return
	}
	if t.startAnswered {
		s.unsettleStart(t)
		return
	}
	if s.now >= e.reportSentAt+freshReport && !t.step.Speculative && s.openStarts.delaysStart(t.id, t.run, t.step.LongRunning) {
		// The executor may have restarted since, and then have executed the earlier start.
		s.scheduleProbe(e)
		return
	}
	if !e.hasRoomFor(t) {
		s.withdrawStart(t, stopCapacityShrunk)
		return
	}
	if !s.checkStartQuota(t) {
		return
	}
	e.fence.beginStart(s.revision)
	t.startSentAt = s.now
	t.startsSent++
	s.openStarts.noteSent(s.now, t.startKey(), t.step.Gang)
	deadline := e.clockLowerBound(s.now) + startValidity
	e.extendLeaseBound(s.now, deadline, s.params.MaxLease)
	s.commands = append(s.commands, StartCommand{Target: e.target(), SentAt: s.now, Start: fulmarjob.StartRequest{
		Task: t.id, Run: t.run, Payload: t.job.specification.Payload, Checkpoint: t.checkpoint,
		Deadline: deadline, Token: e.fence.token, Ticket: s.ticketOf(t),
	}})
}

// HandleStartResult applies an executor's result of a start command that was sent in a number of
// attempts.
func (s *Scheduler) HandleStartResult(now fulmarclock.Millis, c StartCommand, attempts int, result fulmarjob.CommandResult) {
	s.now = now
	target, id, run := c.Target, c.Start.Task, c.Start.Run
	t := s.findRun(id, run)
	if result != fulmarjob.ResultDone {
		s.log.Count("start_refusals", result.String())
	}
	if result.IsAnswer() && attempts > 1 {
		s.log.Log("executor answered one of several attempts of a start; another one may still be executed", "job", id.Job, "step", id.Step, "index", id.Index, "run", run, "executor", target.ID, "answer", result, "attempts", attempts)
		s.log.Count("open_starts", result.String())
	}
	if settled := s.openStarts.noteResult(s.now, startKey{target.ID, runKey{id, run}}, c.SentAt, attempts, result); settled != nil {
		s.handleSettledStart(target, runKey{id, run}, settled, result)
	}
	if t == nil || !t.isPlacedAt(target, run) {
		return
	}
	e := t.executor
	if result == fulmarjob.ResultDone {
		s.handleStarted(e, t)
		return
	}
	s.log.Log("start command not confirmed", "job", id.Job, "step", id.Step, "index", id.Index, "run", run, "executor", e.info.ID, "answer", result, "sent", t.startsSent, "attempts", attempts)
	s.handleRefusedStart(e, t, c, attempts, result)
}

// HandleStartSettled handles that the attempts of a start command which had no answer when its result was passed
// to HandleStartResult have been answered since, or were never sent.
func (s *Scheduler) HandleStartSettled(now fulmarclock.Millis, c StartCommand, result fulmarjob.CommandResult) {
	s.now = now
	run := runKey{c.Start.Task, c.Start.Run}
	s.log.Count("settled_starts", result.String())
	if settled := s.openStarts.noteSettled(s.now, startKey{c.Target.ID, run}, c.SentAt); settled != nil {
		s.handleSettledStart(c.Target, run, settled, result)
	}
}

// handleSettledStart handles that no start of a run can be executed any more. The ends that were held because of it
// are then acknowledged.
func (s *Scheduler) handleSettledStart(target Target, run runKey, settled *openStart, result fulmarjob.CommandResult) {
	for _, id := range settled.holding {
		if e := s.executors[id]; e != nil {
			s.scheduleAcknowledgement(e)
		}
	}
	t := s.findRun(run.task, run.run)
	if t != nil && t.isPlacedAt(target, run.run) && result.IsAnswer() && result != fulmarjob.ResultFenced {
		s.settleStart(t)
	}
}

// isPlacedAt reports whether the task is placed with a run on an executor incarnation.
func (t *task) isPlacedAt(target Target, run int64) bool {
	return t.state == taskPlaced && t.run == run && t.executor.info.ID == target.ID && t.executor.info.Incarnation == target.Incarnation
}

// settleStart records that the executor has answered the start of a task's run and no attempt of it can be
// executed any more.
func (s *Scheduler) settleStart(t *task) {
	t.startAnswered = true
	if len(s.settledJobs) == 0 {
		s.settledSince = s.now
	}
	s.settledJobs = append(s.settledJobs, t.job)
}

// recordSettledStarts adds the settled starts to a batch that has other changes. An append for them alone
// would make the next change wait, so that is left to a time without changes.
func (s *Scheduler) recordSettledStarts() {
	if len(s.settledJobs) == 0 || len(s.dirtyJobs) == 0 && s.now < s.settledSince+settledRecordDelay {
		return
	}
	for _, j := range s.settledJobs {
		s.markDirty(j)
	}
	s.settledJobs = nil
}

// unsettleStart makes the journal take back that a start is settled, before the start is sent again.
func (s *Scheduler) unsettleStart(t *task) {
	t.startAnswered, t.journaled = false, false
	s.placedTasks = append(s.placedTasks, t)
	s.markDirty(t.job)
}

func (s *Scheduler) handleStarted(e *executor, t *task) {
	e.lastResultAt = s.now
	t.confirmedAt = s.now
	if !t.job.started {
		t.job.started = true
	}
	if !e.renewalInFlight {
		s.scheduleRenewal(e, s.now+minRenewalInterval)
	}
}

// handleRefusedStart ends the placement of a task whose start was refused. If the start was sent
// more than once, another command or attempt may have been executed, or may be later. Then, and after
// an unknown result or a later owner's fencing token, the next report decides. One that another start of
// this owner has overtaken is sent again.
func (s *Scheduler) handleRefusedStart(e *executor, t *task, c StartCommand, attempts int, result fulmarjob.CommandResult) {
	switch result {
	case fulmarjob.ResultUnknown:
		s.scheduleProbe(e)
		return
	case fulmarjob.ResultFenced:
		if e.fence.isOvertaken(c.Start.Token) {
			s.sendStart(t)
			return
		}
		s.scheduleProbe(e)
		return
	case fulmarjob.ResultUnreachable:
		s.handleUnsentStart(t, attempts)
		return
	case fulmarjob.ResultStaleRun:
		// The run has ended there. The next report lists it as finished or does not list it;
		// the placement ends in both cases.
		t.confirmedAt = s.now
		s.scheduleProbe(e)
		return
	case fulmarjob.ResultNoTicket:
		s.rejectTicket(t, c.Start.Ticket)
	case fulmarjob.ResultNoCapacity:
		e.avoidUntil = max(e.avoidUntil, s.now+noCapacityBackoff)
	case fulmarjob.ResultUnhealthy, fulmarjob.ResultOtherIncarnation, fulmarjob.ResultInvalid:
		e.avoidUntil = max(e.avoidUntil, s.now+unhealthyBackoff)
	}
	s.scheduleProbe(e)
	if t.startsSent > 1 || attempts > 1 {
		t.uncertain = t.runningSince == 0
		return
	}
	s.endPlacement(t, "its executor refused the start: "+result.String())
}

// handleUnsentStart ends the placement of a task whose start was never sent, unless another start or
// attempt may have been.
func (s *Scheduler) handleUnsentStart(t *task, attempts int) {
	e := t.executor
	e.avoidUntil = max(e.avoidUntil, s.now+unhealthyBackoff)
	s.scheduleProbe(e)
	if t.startsSent == 1 && attempts == 1 && !t.inherited {
		s.endPlacement(t, "no connection to its executor for the start")
	}
}

// scheduleProbe schedules a renewal to request a report, unless one is in flight.
func (s *Scheduler) scheduleProbe(e *executor) {
	if !e.renewalInFlight {
		s.scheduleRenewal(e, s.now+minRenewalInterval)
	}
}

// HandleStopResult applies an executor's result of a stop command.
func (s *Scheduler) HandleStopResult(now fulmarclock.Millis, target Target, id fulmarjob.TaskID, run int64, result fulmarjob.CommandResult) {
	s.now = now
	t := s.findRun(id, run)
	if t == nil || !t.isPlacedAt(target, run) {
		return
	}
	if result == fulmarjob.ResultDone || result == fulmarjob.ResultStaleRun {
		t.stopConfirmedAt = now
		s.scheduleRenewal(t.executor, now)
		return
	}
	s.log.Count("stop_failures", result.String())
	s.scheduleProbe(t.executor)
}
