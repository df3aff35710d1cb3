package fulmarsched

import "slices"

// Tasks that are suspected of a crash run in isolation: on an executor on which no run beside those of
// their trial could be the cause of a further crash (trial.go). So a further crash tells more about them,
// and ends few other runs. Those that are suspected of several crashes are restricted further
// (repeatsuspect.go).

// isolationScore is the score of a suspect's placement beside its own job, or with nothing else.
const isolationScore = 8.0

// trialScore is the score of each of the first maxScoredTasks suspects that last and are tried on the same
// executor, so that they are spread evenly. Together they weigh less than isolationScore.
const (
	trialScore     = -0.25
	maxScoredTasks = 30
)

// isolationFraction limits how many of a service's executors are isolated at a time.
const isolationFraction = 0.5

// updateIsolation determines for each executor the trial that it is isolated for.
func (s *Scheduler) updateIsolation() {
	if !s.isolating && !s.hasSuspects() {
		return
	}
	s.isolating = false
	s.updateLastingTrials()
	for _, e := range s.executorList {
		e.isolatedFor = e.suspects()
		if e.isolatedFor == (trial{}) {
			e.isolatedFor = s.reservation(e)
		}
		s.noteIsolation(e)
	}
	s.limitLastingTrials()
}

// noteIsolation counts an executor that is isolated.
func (s *Scheduler) noteIsolation(e *executor) {
	s.isolating = s.isolating || e.isIsolated()
	if e.isolatedFor.isLasting {
		s.lastingTrialOf(e.info.Service).executors++
	}
}

// limitLastingTrials determines how many more suspects that last each executor may take. One that is not
// isolated for them may take some only if the suspects need it.
func (s *Scheduler) limitLastingTrials() {
	for _, e := range s.executorList {
		l := s.lastingTrials[e.info.Service]
		if l == nil {
			continue
		}
		e.trialRoom = 0
		if e.isolatedFor.isLasting || l.needsExecutor() {
			e.trialRoom = l.maxPerExecutor() - e.countOnTrial()
		}
	}
}

// isIsolated reports whether the executor is isolated for a trial.
func (e *executor) isIsolated() bool { return e.isolatedFor != trial{} }

// hasSuspects reports whether a task of an active job is suspected of a crash.
func (s *Scheduler) hasSuspects() bool {
	for _, j := range s.activeJobs {
		if j.suspects > 0 && !j.state.IsFinal() {
			return true
		}
	}
	return false
}

// suspects returns the trial of a suspect that is placed on the executor, none if there is none. A
// start that was stopped before it was confirmed does not count: it is not expected to run.
func (e *executor) suspects() trial {
	found := trial{}
	for _, t := range e.tasks {
		if t.isSuspect() && !t.isStoppedStart() && (found == trial{} || t.trial().isBefore(found)) {
			found = t.trial()
		}
	}
	return found
}

// reservation returns the trial that an executor is reserved for, as long as a suspect of it waits for
// an executor.
func (s *Scheduler) reservation(e *executor) trial {
	if e.reservedFor != (trial{}) && !s.hasWaitingSuspect(e.reservedFor, e.info.Service) {
		e.reservedFor = trial{}
	}
	return e.reservedFor
}

// hasWaitingSuspect reports whether a suspect of a trial waits for an executor of a service.
func (s *Scheduler) hasWaitingSuspect(r trial, service string) bool {
	if r.isLasting {
		return s.lastingTrialOf(service).waiting > 0
	}
	return s.hasOwnWaitingSuspect(r.job)
}

// hasOwnWaitingSuspect reports whether a suspect of a job's own trial is neither placed nor delayed, nor
// held back by a quota.
func (s *Scheduler) hasOwnWaitingSuspect(j *job) bool {
	if j.state.IsFinal() || j.suspects == 0 {
		return false
	}
	found := false
	j.eachTask(func(t *task) {
		found = found || t.isSuspect() && !t.isOnLastingTrial() && t.state == taskWaiting && s.now >= t.retryAt && !s.isHeldBack(t)
	})
	return found
}

// permits reports whether isolation permits a task on the executor.
func (e *executor) permits(t *task) bool {
	switch {
	case e.isIsolated() && !e.isolatedFor.includes(t):
		return false
	case t.isRepeatSuspect():
		return !e.hasTransientTaskBeside(t)
	case e.isIsolated() && e.hasRepeatSuspectBeside(t):
		return false
	case t.isOnLastingTrial() && e.trialRoom <= 0:
		return false
	}
	return !t.isSuspect() || e.unprovenTasks(t.trial()) == 0
}

// unprovenTasks returns the number of tasks beside a trial that could cause a crash.
func (e *executor) unprovenTasks(r trial) int {
	count := 0
	for _, t := range e.tasks {
		if !r.includes(t) && t.isUnproven() {
			count++
		}
	}
	return count
}

// isUnproven reports whether the current run of a placed task could cause a crash.
func (t *task) isUnproven() bool { return !(crashedRun{task: t, seenFor: t.seenRunning()}).isProven() }

// isolate marks the executor as isolated for a suspect that is placed on it.
func (s *Scheduler) isolate(e *executor, t *task) {
	if !t.isSuspect() {
		return
	}
	wasIsolated := e.isIsolated()
	e.isolatedFor, e.reservedFor = t.trial(), trial{}
	if wasIsolated {
		e.trialRoom--
		return
	}
	s.noteIsolation(e)
	s.limitLastingTrials()
}

// reserve reserves the executor for a suspect that waits that will be free of other unproven tasks
// soonest. Otherwise there could always be one more task on each. It returns false if none may be
// reserved. members are the tasks of the suspect's step.
func (s *Scheduler) reserve(t *task, members []*task, candidates []*executor) bool {
	isolated := 0
	var best *executor
	for _, e := range candidates {
		if e.isIsolated() {
			isolated++
			continue
		}
		if e.roomOnceFree(t, members) > 0 && (best == nil || e.suitsBetter(t, best)) {
			best = e
		}
	}
	if best == nil || isolated >= max(1, int(float64(len(candidates))*isolationFraction)) {
		return false
	}
	best.isolatedFor, best.reservedFor = t.trial(), t.trial()
	s.noteIsolation(best)
	s.limitLastingTrials()
	s.log.Log("executor reserved for a task that is suspected of a crash", "executor", best.info.ID, "job", t.id.Job, "step", t.id.Step, "index", t.id.Index, "unproven", best.unprovenTasks(t.trial()))
	return true
}

// suitsBetter reports whether the executor suits a suspect better than another one: a repeat
// suspect where a crash ends fewer long-running tasks, any where fewer unproven tasks are in the way.
func (e *executor) suitsBetter(t *task, other *executor) bool {
	if t.isOnLastingTrial() && e.isUnstable != other.isUnstable {
		return other.isUnstable
	}
	lasting, otherLasting := countLongRunning(e), countLongRunning(other)
	if t.isRepeatSuspect() && lasting != otherLasting {
		return lasting < otherLasting
	}
	return e.unprovenTasks(t.trial()) < other.unprovenTasks(t.trial())
}

// roomOnceFree returns how many tasks like t the executor can hold once those that end have ended.
// members are the tasks of the step.
func (e *executor) roomOnceFree(t *task, members []*task) int {
	if !e.info.HasLabel(t.step.Label) {
		return 0
	}
	limit := len(members)
	if t.step.MaxPerExecutor > 0 {
		limit = t.step.MaxPerExecutor - countOn(e, members)
	}
	free := e.info.Capacity
	for _, other := range e.tasks {
		if other.step.LongRunning {
			free = free.Sub(other.step.Reserved())
		}
	}
	room := 0
	for room < limit && t.step.Reserved().FitsIn(free) {
		free = free.Sub(t.step.Reserved())
		room++
	}
	return room
}

// suspectScore prefers an executor that is isolated for the suspect's trial, then one without
// tasks of other jobs.
func suspectScore(e *executor, t *task) float64 {
	if e.isolatedFor == t.trial() {
		return 2*isolationScore + trialScore*float64(min(e.countOnTrial(), maxScoredTasks))
	}
	for _, other := range e.tasks {
		if other.job != t.job || t.isRepeatSuspect() {
			return 0
		}
	}
	return isolationScore
}

// reserveForWaiting reserves executors if suspects among the tasks of a step wait, other than repeat
// suspects and those that last: one at a time, or as many as a gang needs, since its members start
// together.
func (s *Scheduler) reserveForWaiting(tasks []*task, candidates []*executor) {
	if tasks[0].job.suspects == 0 {
		return
	}
	i := slices.IndexFunc(tasks, func(t *task) bool {
		return t.state == taskWaiting && t.isSuspect() && !t.isRepeatSuspect() && !t.isOnLastingTrial() && !s.isHeldBack(t)
	})
	if i >= 0 {
		s.reserveFor(tasks[i], tasks, candidates)
	}
}

// reserveForLastingTrial reserves executors for the suspects that last if some of a step wait: before one
// is placed, so that they are spread.
func (s *Scheduler) reserveForLastingTrial(tasks []*task, candidates []*executor) {
	if tasks[0].job.suspects == 0 {
		return
	}
	i := slices.IndexFunc(tasks, func(t *task) bool { return t.state == taskWaiting && t.isOnLastingTrial() })
	if i < 0 {
		return
	}
	l := s.lastingTrialOf(tasks[i].job.queue.Service)
	for l.executors < l.wantedExecutors() && s.reserve(tasks[i], tasks, candidates) {
	}
	if reservedRoom(tasks[i], tasks, candidates) == 0 {
		s.reserve(tasks[i], tasks, candidates)
	}
}

// reserveFor reserves executors for a suspect that waits, or for its gang.
func (s *Scheduler) reserveFor(t *task, members []*task, candidates []*executor) {
	needed := 1
	if t.step.Gang {
		needed = countWaiting(members)
	}
	for reservedRoom(t, members, candidates) < needed && s.reserve(t, members, candidates) {
	}
}

// reservedRoom returns how many tasks like t the executors that are isolated for its trial can hold.
func reservedRoom(t *task, members []*task, candidates []*executor) int {
	room := 0
	for _, e := range candidates {
		if e.isolatedFor == t.trial() {
			room += e.roomOnceFree(t, members)
		}
	}
	return room
}
