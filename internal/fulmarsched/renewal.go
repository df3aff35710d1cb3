package fulmarsched

import (
	"cmp"
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// leaseDuration is the duration of the lease requested at each renewal.
func (s *Scheduler) leaseDuration() fulmarclock.Millis {
	return fulmarclock.Millis(float64(s.params.MaxLease) * leaseFraction)
}

// longestLease returns for how long a lease of maximum length lasts on the slowest clock.
func (s *Scheduler) longestLease() fulmarclock.Millis {
	return fulmarclock.Millis(float64(s.params.MaxLease) / minClockRate)
}

// scheduleRenewal schedules the next renewal at a time, or at once if the time is zero, unless an
// earlier one is already scheduled.
func (s *Scheduler) scheduleRenewal(e *executor, at fulmarclock.Millis) {
	at = max(at, s.now)
	if e.renewalDue == 0 || at < e.renewalDue {
		e.renewalDue = at
	}
}

// sendRenewals sends the renewals that are due, one at a time per executor.
func (s *Scheduler) sendRenewals() {
	for _, e := range s.allExecutors() {
		if e.isContacted() && !e.renewalInFlight && e.renewalDue > 0 && e.renewalDue <= s.now && e.info.Address != "" {
			s.sendRenewal(e)
		}
	}
}

// sendRenewal sends a lease renewal, which also acknowledges finished runs and requests a report.
func (s *Scheduler) sendRenewal(e *executor) {
	e.renewalInFlight, e.renewalDue, e.renewalSentAt = true, 0, s.now
	c := RenewCommand{Target: e.target(), Token: e.fence.token, Acknowledged: s.dueAcknowledgement(e)}
	e.requestedAcknowledgement = c.Acknowledged
	// A renewal to an unresponsive executor only requests a report: its lease must expire. So does one to an
	// incarnation that only an entry names: a deadline on the clock of another is far ahead there.
	if e.hasClock && !e.hasClaim() && e.failedRenewals == 0 && !e.unresponsive.recorded && len(e.tasks) > 0 {
		c.Deadline = e.clockLowerBound(s.now) + s.leaseDuration()
		e.extendLeaseBound(s.now, c.Deadline, s.params.MaxLease)
	}
	hasAllEnds := e.finishedSeen == max(e.acknowledgementConfirmed, c.Acknowledged)
	if e.fence.accepted && e.failedRenewals == 0 && hasAllEnds && len(e.tasks) > 0 && !e.watchesRepeatSuspect() && !e.hasUnlistedStop() && !s.keepsTaskWaiting(e) {
		c.Wait = s.pollWait(e)
	}
	e.fence.noteSent(c)
	s.commands = append(s.commands, c)
}

// hasUnlistedStop reports whether a run is being stopped that the executor has not listed. No end will be
// reported for one that is not there, only a report without it.
func (e *executor) hasUnlistedStop() bool {
	for _, t := range e.tasks {
		if t.stopping && t.runningSince == 0 {
			return true
		}
	}
	return false
}

// dueAcknowledgement returns the sequence number up to which a renewal acknowledges finished runs,
// zero for none. A later incarnation under the executor's ID numbers its finished runs anew, and the
// number would delete those that nobody has read. So it is not sent while a start is on its way that
// could have ended on a later incarnation, or while an entry names another one: a report comes first. An
// acknowledgement without a response is repeated; the fence keeps the earlier one from following a later start.
func (s *Scheduler) dueAcknowledgement(e *executor) int64 {
	due := s.acknowledgeable(e)
	if e.retired || due <= e.acknowledgementConfirmed || e.failedRenewals > 0 || e.hasClaim() || s.hasUnreportedStart(e) {
		return 0
	}
	return due
}

// hasUnreportedStart reports whether a start was sent whose run no report has shown.
func (s *Scheduler) hasUnreportedStart(e *executor) bool {
	for _, t := range e.tasks {
		if t.runningSince > 0 || t.startsSent == 0 || t.mayBeUnlisted() {
			continue
		}
		return true
	}
	return false
}

// mayBeUnlisted reports whether the end of a run is among those that the last report has left out: the
// executor answered the start or the stop before, and still was the same incarnation.
func (t *task) mayBeUnlisted() bool {
	answeredAt := max(t.confirmedAt, t.stopConfirmedAt)
	return t.executor.moreFinished && answeredAt > 0 && answeredAt < t.executor.reportSentAt
}

// scheduleAcknowledgement schedules the renewal that acknowledges finished runs. If a report has to
// come first, that is not urgent.
func (s *Scheduler) scheduleAcknowledgement(e *executor) {
	if s.dueAcknowledgement(e) > 0 {
		s.scheduleRenewal(e, 0)
		return
	}
	s.scheduleRenewal(e, e.renewalSentAt+s.renewalInterval)
}

// pollWait returns how long the executor may delay its report until a run finishes.
func (s *Scheduler) pollWait(e *executor) fulmarclock.Millis {
	if mixesBestEffort(e) {
		return sharedMaxPollWait
	}
	return min(maxPollWait, fulmarclock.Millis(float64(s.leaseDuration())*renewalFraction))
}

// HandleRenewalFailure handles a lease renewal that got no response, or that the executor did not
// execute. One that a start of this owner has overtaken is sent again.
func (s *Scheduler) HandleRenewalFailure(now fulmarclock.Millis, c RenewCommand, result fulmarjob.CommandResult) {
	s.now = now
	e := s.executors[c.Target.ID]
	if e == nil || e.info.Incarnation != c.Target.Incarnation || !e.isContacted() {
		return
	}
	e.renewalInFlight = false
	if result == fulmarjob.ResultFenced && e.fence.isOvertaken(c.Token) {
		s.scheduleRenewal(e, 0)
		return
	}
	e.failedRenewals++
	if s.isSuperseded(e, result) {
		s.retireCrashed(e)
		return
	}
	if e.failedRenewals == 1 {
		s.log.Log("executor did not confirm a lease renewal; probing it without renewing the lease", "executor", e.info.ID, "answer", result, "tasks", len(e.tasks), "lease_ends_in_ms", e.leasesEndBy-now)
	}
	s.log.Count("hold_failures", result.String())
	if e.listed || len(e.tasks) > 0 {
		s.scheduleRenewal(e, now+probeInterval)
	}
}

// HandleRenewal applies an executor's report in response to a lease renewal that was sent at
// sentAt.
func (s *Scheduler) HandleRenewal(now, sentAt fulmarclock.Millis, c RenewCommand, report fulmarjob.Report) {
	s.now = now
	target := c.Target
	e := s.executors[target.ID]
	if e == nil || e.info.Incarnation != target.Incarnation || e.retired && !e.settlesClaim(sentAt) {
		return
	}
	e.renewalInFlight, e.isReporting = false, true
	isExpected := !e.isOtherIncarnation(report.Incarnation)
	if isExpected {
		e.acknowledgementConfirmed = max(e.acknowledgementConfirmed, c.Acknowledged)
		s.countAcknowledged(e)
		e.fence.noteResponse(c)
	}
	s.resolveIncarnation(e, report.Incarnation, sentAt)
	if e.failedRenewals > 0 {
		s.log.Log("executor responds again", "executor", e.info.ID, "failures", e.failedRenewals)
	}
	tokenWasAccepted := e.fence.accepted
	e.fence.accepted = isExpected
	e.failedRenewals, e.lastResultAt, e.reportSentAt, e.reportedAt, e.supersededAt = 0, now, sentAt, now, 0
	s.clearUnresponsive(e)
	e.setClock(report.ClockTime, now)
	if !tokenWasAccepted {
		s.confirmEntry(e)
	}
	if e.fence.accepted && !tokenWasAccepted {
		s.noteEarlierLeases(e)
		s.log.Log("executor accepted the fencing token", "executor", e.info.ID, "running", len(report.Running), "ended", len(report.Finished), "placed", len(e.tasks), "clock", e.clock, "lease_ends_in_ms", e.leasesEndBy-now)
	}
	s.dropLapse(e.info.VM)
	s.completePreviousMaintenance(e, sentAt)
	if tokenWasAccepted || e.countsFromStart {
		s.logUnreadEnds(e, report.Finished)
	}
	s.noteUnlisted(e, report)
	s.openStarts.noteReport(e.info.ID, sentAt, true)
	s.handleFinished(e, report.Finished)
	s.reconcileRunning(e, sentAt, report.Running)
	s.openStarts.noteReport(e.info.ID, sentAt, false)
	s.adjustSpeeds(e)
	s.scheduleNextRenewal(e, tokenWasAccepted, c.Acknowledged < e.requestedAcknowledgement)
	e.isReporting = false
	s.deleteIfUnused(e)
}

// noteEarlierLeases extends the lease bound of an executor that has just accepted a token of this owner by what earlier
// commands may have granted: the deadlines of those for earlier incarnations may be far ahead on this one's clock.
func (s *Scheduler) noteEarlierLeases(e *executor) {
	e.leasesEndBy = max(e.leasesEndBy, s.now+s.longestLease())
}

// requestReports asks executors for reports that show whether an open start has begun a run of a task that waits. It
// drops those of tasks that never run again.
func (s *Scheduler) requestReports() {
	for _, key := range s.openStarts.needReport(s.now, "") {
		t, e := s.findTask(key.run.task), s.executors[key.executor]
		if t == nil || t.state == taskDone {
			s.openStarts.remove(key)
			continue
		}
		if e == nil || t.state != taskWaiting {
			continue
		}
		if e.renewalInFlight && e.renewalSentAt <= s.openStarts.starts[key].until {
			// The renewal in flight may wait for the end of a run.
			e.renewalInFlight = false
			s.scheduleRenewal(e, 0)
		}
		if !e.renewalInFlight && e.renewalDue == 0 {
			s.scheduleRenewal(e, e.renewalSentAt+probeInterval)
		}
	}
}

// keepsTaskWaiting reports whether a task waits for the next report of an executor.
func (s *Scheduler) keepsTaskWaiting(e *executor) bool {
	return slices.ContainsFunc(s.openStarts.needReport(s.now, e.info.ID), func(key startKey) bool { return s.isWaiting(key.run.task) })
}

func (s *Scheduler) isWaiting(id fulmarjob.TaskID) bool {
	t := s.findTask(id)
	return t != nil && t.state == taskWaiting
}

// scheduleNextRenewal schedules the renewal after a report. An executor without tasks, stray runs
// and unacknowledged finished runs needs none. leftOut means that the last renewal could not acknowledge in time.
func (s *Scheduler) scheduleNextRenewal(e *executor, tokenWasAccepted, leftOut bool) {
	if !e.fence.accepted {
		s.scheduleRenewal(e, 0)
		return
	}
	if len(e.tasks) == 0 && len(e.strayRuns) == 0 && e.finishedSeen == e.acknowledgementConfirmed {
		return
	}
	due := s.dueAcknowledgement(e)
	switch {
	case !tokenWasAccepted || due > 0 && !leftOut:
		s.scheduleRenewal(e, 0)
	case due > 0:
		s.scheduleRenewal(e, max(s.now, e.renewalSentAt+s.renewalInterval))
	case e.finishedSeen > e.acknowledged:
		s.scheduleRenewal(e, s.now+unjournaledRenewalInterval)
	case len(e.tasks) == 0 && len(e.strayRuns) == 0 && len(e.heldEnds) > 0:
		s.scheduleRenewal(e, s.heldUntil(e))
	default:
		s.scheduleRenewal(e, max(s.now, e.renewalSentAt+s.renewalInterval))
	}
}

// computeRenewalInterval returns the minimum time between two renewals at one executor. It grows
// with the number of busy executors, so that one renewal then reports several finished runs.
func (s *Scheduler) computeRenewalInterval() fulmarclock.Millis {
	if s.params.RenewalsPerSecond <= 0 {
		return minRenewalInterval
	}
	busy := 0
	for _, e := range s.executorList {
		if len(e.tasks) > 0 {
			busy++
		}
	}
	interval := fulmarclock.Millis(float64(busy) / s.params.RenewalsPerSecond * float64(fulmarclock.Second))
	return min(max(interval, minRenewalInterval), maxRenewalInterval)
}

func sortedTasks(e *executor) []*task {
	tasks := make([]*task, 0, len(e.tasks))
	for _, t := range e.tasks {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, func(a, b *task) int { return compareTaskIDs(a.id, b.id) })
	return tasks
}

func compareTaskIDs(a, b fulmarjob.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}
