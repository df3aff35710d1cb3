package fulmarsched

import (
	"math"
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarspeculate"
)

// Speculative execution: where a step permits it, a run that takes far longer than comparable ones gets
// a copy on another executor. The copy is a task value of its own, linked to the task that it belongs
// to, so that its executor, its commands and its reports are handled like those of any placed task. It
// counts neither as a waiting nor as a remaining task of its occurrence.

const (
	// speculationInterval is the time between two searches for slow runs.
	speculationInterval = 50 * fulmarclock.Millis(1)
)

// permitsCopies reports whether a step permits copies of its tasks. Copies of best-effort tasks are
// useless, as these are slow because they are throttled; gangs and long-running tasks have none.
func permitsCopies(step fulmarjob.Step) bool {
	return step.Speculative && !step.Gang && !step.LongRunning && !step.BestEffort
}

// newCopy returns a copy of a task that is not placed yet. It resumes from the task's checkpoint.
func newCopy(t *task) *task {
	return &task{
		id: t.id, job: t.job, occurrence: t.occurrence, step: t.step, original: t,
		checkpoint: t.checkpoint, failedOn: t.failedOn, speed: fullPercent,
	}
}

// originalTask returns the task itself, or the one that a copy belongs to.
func (t *task) originalTask() *task {
	if t.original != nil {
		return t.original
	}
	return t
}

// hasCopyOn reports whether the task has a copy on an executor.
func (t *task) hasCopyOn(e *executor) bool { return t.copy != nil && t.copy.executor == e }

// nextRun returns the number of the task's next run, which no run or copy has had.
func (t *task) nextRun() int64 { return max(t.run, t.copyRun) + 1 }

// runNumbered returns the copy of the task if it has this run number, otherwise the task.
func (t *task) runNumbered(run int64) *task {
	if t.copy != nil && t.copy.run == run {
		return t.copy
	}
	return t
}

// findRun returns the task, or the copy of it that has this run number; nil if the task is not known.
func (s *Scheduler) findRun(id fulmarjob.TaskID, run int64) *task {
	if t := s.findTask(id); t != nil {
		return t.runNumbered(run)
	}
	return nil
}

// placedRun returns the task that is placed with the run of t: the owner of a copy that goes on as its
// owner's run.
func (t *task) placedRun() *task {
	if o := t.original; o != nil && o.copy != t && o.run == t.run {
		return o
	}
	return t
}

// containsRunOf reports whether one of the runs is a run or the copy of a task.
func containsRunOf(runs []*task, t *task) bool {
	return slices.ContainsFunc(runs, func(r *task) bool { return r.originalTask() == t })
}

// speculate starts copies of the runs that deserve one, and stops copies of tasks that have become
// suspects since.
func (s *Scheduler) speculate() {
	if s.now < s.speculatedAt+speculationInterval {
		return
	}
	s.speculatedAt = s.now
	var services []string
	for _, j := range s.activeJobs {
		if j.permitsCopies && !j.state.IsFinal() && !slices.Contains(services, j.queue.Service) {
			services = append(services, j.queue.Service)
		}
	}
	for _, service := range services {
		s.speculateIn(service)
	}
}

// speculateIn starts copies of the runs of a service.
func (s *Scheduler) speculateIn(service string) {
	var slow []*task
	var runs []fulmarspeculate.Run
	s.eachRunWithPermission(service, func(t *task) {
		if t.copy != nil && t.isSuspect() && !t.copy.stopping {
			s.stopRun(t.copy, stopSuspectedCopy)
		}
		if !t.mayHaveCopy() {
			return
		}
		if r := s.runToCopy(t); r.IsSlow() {
			slow, runs = append(slow, t), append(runs, r)
		}
	})
	if len(slow) == 0 {
		return
	}
	chosen := fulmarspeculate.Choose(s.copyLoad(service), runs)
	if len(chosen) == 0 {
		return
	}
	candidates := s.schedulableByService()[service]
	for _, i := range chosen {
		if candidates != nil && s.placementsLeft > 0 {
			s.startCopy(slow[i], runs[i], candidates.executors)
		}
	}
}

// eachRunWithPermission calls visit for every placed task of a service whose step permits copies.
func (s *Scheduler) eachRunWithPermission(service string, visit func(*task)) {
	for _, j := range s.services().jobs[service] {
		if !j.permitsCopies || j.state.IsFinal() {
			continue
		}
		j.eachTask(func(t *task) {
			if t.state == taskPlaced && permitsCopies(*t.step) {
				visit(t)
			}
		})
	}
}

// mayHaveCopy reports whether the task's run may have a copy: it had none, it is known to have started,
// and as far as is known it has not ended.
func (t *task) mayHaveCopy() bool {
	hadCopy := t.copy != nil || t.copyRun >= t.run
	return !hadCopy && t.confirmedAt > 0 && !t.stopping && !t.uncertain && !t.isSuspect() && !t.executor.moreFinished
}

// runToCopy describes a task's run for the decision.
func (s *Scheduler) runToCopy(t *task) fulmarspeculate.Run {
	r := fulmarspeculate.Run{Age: s.now - t.confirmedAt, Expected: s.estimate(t.job, t.step)}
	if r.Age <= r.Expected {
		r.High = r.Expected
		return r
	}
	model := s.durationModels[estimateKey(t.job, t.step.Image)]
	r.High = model.quantile(declaredDuration(t.step), ninetiethPercentile)
	r.UsefulFor = s.usefulFor(t, r.Expected)
	return r
}

// usefulFor returns for how long the end of a task is of use to its job, given how long the task takes.
// What depends on the task has to follow in time.
func (s *Scheduler) usefulFor(t *task, expected fulmarclock.Millis) fulmarclock.Millis {
	j := t.job
	if j.specification.FirstDue > 0 {
		return math.MaxInt64
	}
	following := max(s.remainingCriticalPath(j)-expected, 0)
	return j.receivedAt + servedWithin*j.objective() - following - s.now
}

// copyLoad returns the load of a service that decides how many copies may start.
func (s *Scheduler) copyLoad(service string) fulmarspeculate.Load {
	load := fulmarspeculate.Load{IsWaiting: s.hasTaskThatWaits(service)}
	for _, e := range s.services().executors[service] {
		for _, t := range e.tasks {
			if t.original != nil {
				load.Copies++
				continue
			}
			load.Running++
		}
	}
	return load
}

// hasTaskThatWaits reports whether a task of a service waits for capacity, which tasks that are delayed
// after crashes do not.
func (s *Scheduler) hasTaskThatWaits(service string) bool {
	for _, j := range s.services().jobs[service] {
		if j.state.IsFinal() {
			continue
		}
		for _, o := range j.activeOccurrences {
			for i, tasks := range o.steps {
				if o.isStepPlaceable(j, i) && o.waiting[i] > j.countDelayed(tasks, s.now) {
					return true
				}
			}
		}
	}
	return false
}

// startCopy places a copy of a task on another executor, if there is one that may run it. Its start is
// sent once the journal holds the placement.
func (s *Scheduler) startCopy(t *task, r fulmarspeculate.Run, executors []*executor) {
	others := slices.DeleteFunc(slices.Clone(executors), func(e *executor) bool { return e == t.executor })
	allowed := s.allowedExecutors(t.job, t.occurrence, t.id.Step, others)
	c := newCopy(t)
	e := chooseExecutor(c, t.occurrence.steps[t.id.Step], allowed)
	if e == nil || !s.quotaLeavesRoom(t) {
		return
	}
	run := t.nextRun()
	s.placeTask(c, e, run)
	t.copy, t.copyRun = c, run
	s.log.Log("copy started", "job", t.id.Job, "step", t.id.Step, "index", t.id.Index, "run", run, "executor", e.info.ID, "copied_run", t.run, "copied_executor", t.executor.info.ID, "age_ms", r.Age, "expected_ms", r.Expected, "high_ms", r.High, "useful_ms", r.UsefulFor)
	s.log.Count("copies", "started")
}

// finishCopy ends the copy of a task of which a run is done, r if that is one of the present runs. If
// that is the copy, its run becomes the task's run. The other run is stopped, and holds its capacity
// until its executor reports its end.
func (s *Scheduler) finishCopy(t, r *task, isCurrent bool) {
	if t.copy == nil {
		return
	}
	message, reason := "copy lost", "lost"
	if isCurrent && r == t.copy {
		message, reason = "copy won", "won"
		t.swapRuns()
	}
	other := t.copy
	s.log.Log(message, "job", t.id.Job, "step", t.id.Step, "index", t.id.Index, "run", t.run, "executor", t.executor.info.ID, "other_run", other.run, "other_executor", other.executor.info.ID, "other_age_ms", s.now-other.startSentAt)
	s.log.Count("copies", reason)
	s.stopRun(other, stopOtherRunDone)
	s.keepAsStray(other)
	s.detachCopy(t)
}

// endCopy ends the placement of a copy whose run has certainly ended without being done.
func (s *Scheduler) endCopy(c *task, reason string) {
	e := c.executor
	s.log.Log("copy given up", "job", c.id.Job, "step", c.id.Step, "index", c.id.Index, "run", c.run, "executor", e.info.ID, "why", reason)
	s.log.Count("copies", "given-up")
	s.detachCopy(c.original)
	s.markDirty(c.job)
	s.deleteIfUnused(e)
}

// detachCopy removes the copy of a task from its executor.
func (s *Scheduler) detachCopy(t *task) {
	c := t.copy
	c.executor.idleSince = s.now
	c.executor.removeTask(c)
	c.setState(taskDone)
	t.copy = nil
}

// promoteCopy makes the copy of a task whose run has ended the task's run.
func (s *Scheduler) promoteCopy(t *task) {
	c := t.copy
	if c == nil {
		return
	}
	t.copy = nil
	t.setState(taskPlaced)
	t.checkpoint = newestCheckpoint([]*task{t, c})
	t.takeRun(c)
	t.executor.tasks[t.id] = t
	t.executor.changes++
	c.executor = nil
	c.setState(taskDone)
	s.log.Log("copy goes on as its task's run", "job", t.id.Job, "step", t.id.Step, "index", t.id.Index, "run", t.run, "executor", t.executor.info.ID)
	s.log.Count("copies", "promoted")
}

// swapRuns exchanges the runs of a task and its copy.
func (t *task) swapRuns() {
	c, own := t.copy, *t
	t.takeRun(c)
	c.takeRun(&own)
	t.executor.tasks[t.id], c.executor.tasks[c.id] = t, c
	t.executor.changes++
	c.executor.changes++
}

// takeRun copies what belongs to a run rather than to its task.
func (t *task) takeRun(from *task) {
	t.run, t.executor, t.journaled, t.inherited = from.run, from.executor, from.journaled, from.inherited
	t.startSentAt, t.startsSent, t.startAnswered = from.startSentAt, from.startsSent, from.startAnswered
	t.confirmedAt, t.runningSince = from.confirmedAt, from.runningSince
	t.uncertain, t.doubtfulCrash = from.uncertain, from.doubtfulCrash
	t.stopping, t.stopSentAt, t.stopConfirmedAt = from.stopping, from.stopSentAt, from.stopConfirmedAt
	t.progress, t.recentLoad, t.speed = from.progress, from.recentLoad, from.speed
}

// copyRecord returns the journal record of the task's copy, nil if it has none.
func (t *task) copyRecord() *copyRecord {
	if t.copy == nil {
		return nil
	}
	e := t.copy.executor.info
	return &copyRecord{Executor: e.ID, Incarnation: e.Incarnation, VM: e.VM, Settled: t.copy.startAnswered}
}

// restoreCopy restores the placement of a task's copy, if a previous owner has journaled one.
func (s *Scheduler) restoreCopy(t *task, r *copyRecord) {
	if r == nil {
		return
	}
	t.copy = newCopy(t)
	t.copy.run = t.copyRun
	s.restorePlacement(t.copy, taskRecord{Executor: r.Executor, Incarnation: r.Incarnation, VM: r.VM, Settled: r.Settled})
}
