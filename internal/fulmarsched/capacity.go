package fulmarsched

import (
	"math"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// runKey identifies a run of a task.
type runKey struct {
	task fulmarjob.TaskID
	run  int64
}

// strayRun is a run that may be present on an executor although its task is not placed there with
// this run.
type strayRun struct {
	resources fulmarjob.Resources
	// charge is what the run counts towards its customer's quota.
	charge quotaCharge
	// hasUnknownSize means that the scheduler no longer has the description of the task.
	hasUnknownSize bool
	// assumedUntil is the time until which the run is assumed to be present, listed or not.
	assumedUntil fulmarclock.Millis
	// stopSentAt is when a stop of the run was last sent.
	stopSentAt fulmarclock.Millis
}

// stopUnexpectedRun stops a run that an executor reports although its task is not placed there with
// this run. Until the executor reports its end, the run counts against the capacity. The other run of a
// task with a copy has been sent a stop before, which is repeated only if it has no effect.
func (s *Scheduler) stopUnexpectedRun(e *executor, r fulmarjob.RunningTask, sentAt fulmarclock.Millis) {
	if t := s.findTask(r.Task); t != nil && t.state != taskDone && !t.step.Speculative {
		s.openStarts.notePresent(s.now, startKey{e.info.ID, runKey{r.Task, r.Run}}, t.step.Gang)
	}
	if known, found := e.strayRuns[runKey{r.Task, r.Run}]; found && s.now <= known.stopSentAt+s.params.StopTimeout+resendDelay {
		known.assumedUntil = max(known.assumedUntil, sentAt)
		e.strayRuns[runKey{r.Task, r.Run}] = known
		return
	}
	s.logUnexpectedRun(e, r)
	s.commands = append(s.commands, StopCommand{Target: e.target(), Task: r.Task, Run: r.Run, Token: e.fence.token})
	resources, found := s.reservedBy(r.Task)
	e.addStrayRun(runKey{r.Task, r.Run}, strayRun{resources: resources, charge: s.chargeOf(r.Task), hasUnknownSize: !found, assumedUntil: sentAt, stopSentAt: s.now})
	s.scheduleRenewal(e, s.now+minRenewalInterval)
}

// logUnexpectedRun logs and counts an unexpected run by the state of its task.
func (s *Scheduler) logUnexpectedRun(e *executor, r fulmarjob.RunningTask) {
	state, newerRun, newerExecutor := "its task is unknown", int64(0), ""
	if t := s.findTask(r.Task); t != nil {
		state, newerRun = taskStateNames[t.state], t.run
		if t.executor != nil {
			newerExecutor = t.executor.info.ID
		}
	}
	isOpen := s.openStarts.isOpen(s.now, startKey{e.info.ID, runKey{r.Task, r.Run}})
	s.log.Log("stopping unexpected run", "job", r.Task.Job, "step", r.Task.Step, "index", r.Task.Index, "run", r.Run, "executor", e.info.ID, "born", e.info.Incarnation, "why", state, "newer_run", newerRun, "newer_executor", newerExecutor, "start_open", isOpen, "progress", r.ProgressPercent)
	s.log.Count("unexpected_runs", state)
}

// taskStateNames describe the states of tasks with unexpected runs, as logs and counters show them.
var taskStateNames = map[taskState]string{taskWaiting: "its task waits", taskPlaced: "its task has another run", taskDone: "its task is done"}

// keepAsStray counts the run of a task that is done and is about to be removed from its executor,
// until the executor reports its end or no longer lists it. A start without a result may still be
// executed.
func (s *Scheduler) keepAsStray(t *task) {
	if !t.mayBePresent() {
		return
	}
	r := strayRun{resources: t.step.Reserved(), charge: t.charge(), assumedUntil: s.now, stopSentAt: t.stopSentAt}
	if t.confirmedAt == 0 {
		r.assumedUntil = latestStart(t.startSentAt)
	}
	t.executor.addStrayRun(runKey{t.id, t.run}, r)
	s.scheduleProbe(t.executor)
}

// latestStart returns a time at which a start command sent at sentAt can't be executed any more,
// also if the executor's clock is slow.
func latestStart(sentAt fulmarclock.Millis) fulmarclock.Millis {
	validity := startValidity
	return sentAt + fulmarclock.Millis(math.Ceil(float64(validity)/minClockRate))
}

// reservedBy returns the resources that a task reserves, or false if its description is not known.
func (s *Scheduler) reservedBy(id fulmarjob.TaskID) (fulmarjob.Resources, bool) {
	j := s.jobs[id.Job]
	if j == nil || id.Step < 0 || id.Step >= len(j.specification.Steps) {
		return fulmarjob.Resources{}, false
	}
	return j.specification.Steps[id.Step].Reserved(), true
}

func (e *executor) addStrayRun(k runKey, r strayRun) {
	if e.strayRuns == nil {
		e.strayRuns = map[runKey]strayRun{}
	}
	if _, found := e.strayRuns[k]; !found {
		e.openStarts.noteStray(k.task, 1)
	}
	e.releaseQuota(e.strayRuns[k].charge)
	e.strayRuns[k] = r
	e.reserveQuota(r.charge)
}

// forgetStrayRuns deletes the stray runs that a report, requested at sentAt, does not list and that
// can't start any more.
func (e *executor) forgetStrayRuns(sentAt fulmarclock.Millis) {
	for k, r := range e.strayRuns {
		if r.assumedUntil < sentAt {
			e.dropStrayRun(k)
		}
	}
}

// capacityBesideStrays returns the capacity that the stray runs leave, none if the size of one is
// not known.
func (e *executor) capacityBesideStrays() fulmarjob.Resources {
	left := e.info.Capacity
	for _, r := range e.strayRuns {
		if r.hasUnknownSize {
			return fulmarjob.Resources{}
		}
		left = left.Sub(r.resources)
	}
	return left
}

// hasRoomFor reports whether a placed task fits in its executor's present capacity beside
// everything that may be present there. The capacity may have shrunk since the placement, and an
// executor without admission control starts whatever it is told to start.
func (e *executor) hasRoomFor(t *task) bool {
	free := e.capacityBesideStrays()
	for _, other := range e.tasks {
		if other != t && other.mayBePresent() {
			free = free.Sub(other.step.Reserved())
		}
	}
	return t.step.Reserved().FitsIn(free)
}

// awaitCapacity keeps tasks off a new incarnation, which may have another capacity and other labels
// than the previous one, until its entry is known. Until then it counts as on the same VM.
func (e *executor) awaitCapacity() {
	e.info.Capacity, e.info.Labels = fulmarjob.Resources{}, nil
}

// mayBePresent reports whether the run of a placed task may be present on its executor. A run that
// a previous owner started is confirmed by the first report, which comes before any start.
func (t *task) mayBePresent() bool { return t.startsSent > 0 || t.confirmedAt > 0 }

// withdrawStart resolves a placement whose start must not be sent, or not again: its task no longer fits on its
// executor or in its customer's quota, or the executor drains. A run that may be present is stopped, once a
// report after the last start does not list it.
func (s *Scheduler) withdrawStart(t *task, reason stopReason) {
	e := t.executor
	switch {
	case t.startsSent > 0 && e.reportSentAt <= t.startSentAt:
		s.scheduleProbe(e)
	case t.startsSent > 0 || t.inherited:
		s.stopRun(t, reason)
	default:
		s.endPlacement(t, string(reason))
	}
}
