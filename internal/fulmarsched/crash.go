package fulmarsched

import "github.com/fulmardrum/fulmardrum/internal/fulmarclock"

// A crash is evidence against the tasks on the executor, but never proof: VMs also fail by themselves,
// and no executor says why it ended. So crashes decide where a task runs, and end no job.

const (
	// suspectRuntime is how long a run must have been reported before a crash of its executor so
	// that it is not suspected of it: a task that crashes executors does so soon after its start.
	suspectRuntime = 1 * fulmarclock.Second
	// trustedRuntime replaces suspectRuntime for tasks that were suspected before, and rules a
	// run out as the cause of a crash.
	trustedRuntime = 5 * fulmarclock.Second
	// settledRuntime is how long a run must have been reported so that earlier crashes are forgotten.
	settledRuntime = 60 * fulmarclock.Second
	// repeatedCrashes is the number of crashes from which only a run of trustedRuntime is not
	// suspected, frequentCrashes the number from which any run is.
	repeatedCrashes = 2
	frequentCrashes = 5
)

// crashedRun is a run that may have been present on an executor when it crashed.
type crashedRun struct {
	task *task
	// seenFor is for how long the executor had reported the run.
	seenFor fulmarclock.Millis
	// confirmed means that the run was present, as far as the executor has answered.
	confirmed bool
}

// isProven reports whether a run is not suspected of a crash of its executor.
func (r crashedRun) isProven() bool {
	if r.task.isSuspect() {
		return r.seenFor >= trustedRuntime
	}
	return r.seenFor >= suspectRuntime
}

// crash is the end of an executor incarnation that no owner has commanded.
type crash struct {
	executor    string
	service     string
	vm          string
	incarnation int64
	runs        []crashedRun
	// at is when the incarnation's placements ended.
	at fulmarclock.Millis
}

// crashOf returns the crash of an incarnation that has ended, nil if it was a planned end: the
// executor was draining, or an owner may have sent a command for its VM.
func (s *Scheduler) crashOf(e *executor) *crash {
	if e.retired || e.info.Draining || s.mayBeShutDown(e.info.VM) {
		return nil
	}
	c := &crash{executor: e.info.ID, service: e.info.Service, vm: e.info.VM, incarnation: e.info.Incarnation, at: s.now}
	for _, t := range sortedTasks(e) {
		if t.mayHaveRun() {
			c.runs = append(c.runs, crashedRun{task: t.originalTask(), seenFor: t.seenRunning(), confirmed: t.confirmedAt > 0 && !t.stopping})
		}
	}
	if e.cordoned && len(c.runs) == 0 {
		// Its VM is moved or maintained once nothing runs there.
		return nil
	}
	return c
}

// confirmRun handles that the present incarnation of its executor has executed an uncertain run. If
// only one start was sent, the earlier incarnation did not crash under it.
func (s *Scheduler) confirmRun(t *task) {
	if !t.uncertain {
		return
	}
	t.uncertain = false
	if t.doubtfulCrash && t.startsSent == 1 {
		t.crashes--
		t.setSuspicions(max(t.suspicions-1, 0))
		s.markDirty(t.job)
	}
}

// mayBeShutDown reports whether a command that a previous owner sent may still shut the VM down.
func (s *Scheduler) mayBeShutDown(vm string) bool {
	return s.awaitsPreviousOwner(vm) && (s.isMoving(vm) || s.isInMaintenance(vm))
}

// mayHaveRun reports whether the current run of a placed task may have been present on its
// executor when that crashed. A previous owner may have sent the start of an inherited placement.
func (t *task) mayHaveRun() bool {
	return t.confirmedAt > 0 || !t.stopping && (t.startsSent > 0 || t.inherited)
}

// isStoppedStart reports whether the run is being stopped without having been confirmed.
func (t *task) isStoppedStart() bool { return t.stopping && t.confirmedAt == 0 }

// seenRunning returns for how long the executor has reported the current run, zero if never.
func (t *task) seenRunning() fulmarclock.Millis {
	if t.runningSince == 0 {
		return 0
	}
	return t.executor.lastResultAt - t.runningSince
}

// recordCrash counts a crash for each task that may have been running, and marks those as suspects
// that may have caused it. Its placements have ended before.
func (s *Scheduler) recordCrash(c *crash) {
	if c == nil {
		return
	}
	s.log.Log("executor crashed", "executor", c.executor, "vm", c.vm, "born", c.incarnation, "tasks", len(c.runs))
	s.log.Count("executor_crashes", "")
	if c.vm != "" {
		s.crashedVMs[c.vm] = s.now
	}
	isWidespread := s.isWidespread(c.service)
	for _, r := range c.runs {
		if !r.task.job.state.IsFinal() {
			s.recordCrashedRun(c, r, isWidespread)
		}
	}
}

func (s *Scheduler) recordCrashedRun(c *crash, r crashedRun, isWidespread bool) {
	t := r.task
	wasRepeatSuspect := t.isRepeatSuspect()
	t.crashes++
	t.doubtfulCrash = t.uncertain
	if r.isSuspicious(isWidespread) {
		t.setSuspicions(t.suspicions + 1)
		t.suspectedAt = s.now
	}
	isConfirmed := r.confirmed && !t.uncertain
	if wasRepeatSuspect && isConfirmed {
		t.countEarlyCrash(r.seenFor)
	}
	s.delayRetry(t)
	s.markDirty(t.job)
	s.log.Log("task was on a crashed executor", "job", t.id.Job, "step", t.id.Step, "index", t.id.Index, "run", t.run, "executor", c.executor, "seen_running_ms", r.seenFor, "crashes", t.crashes, "suspicions", t.suspicions, "confirmed", isConfirmed, "retry_in_ms", max(t.retryAt-s.now, 0))
}

// isSuspicious reports whether the run may have caused its executor's crash, which the task's crashes
// count already. A widespread crash has another cause, unless the task was lost in others before.
func (r crashedRun) isSuspicious(isWidespread bool) bool {
	switch {
	case r.task.crashes >= frequentCrashes:
		return true
	case r.task.crashes >= repeatedCrashes:
		return r.seenFor < trustedRuntime
	}
	return !isWidespread && !r.isProven()
}

// isSuspect reports whether the task may have caused a crash.
func (t *task) isSuspect() bool { return t.suspicions > 0 }

// setSuspicions sets how many crashes the task may have caused. An ended task has caused none.
func (t *task) setSuspicions(suspicions int) {
	if t.state == taskDone {
		suspicions = 0
	}
	wasSuspect := t.isSuspect()
	t.suspicions = suspicions
	switch {
	case t.isSuspect() && !wasSuspect:
		t.job.suspects++
	case wasSuspect && !t.isSuspect():
		t.job.suspects--
	}
}

// clearSuspicion clears a task of crashes once its run has been reported for long enough.
func (s *Scheduler) clearSuspicion(t *task) {
	if t.crashes == 0 {
		return
	}
	seenFor := t.seenRunning()
	if t.isSuspect() && seenFor >= trustedRuntime {
		t.setSuspicions(0)
		t.earlyCrashes = 0
		s.markDirty(t.job)
	}
	if seenFor >= settledRuntime {
		t.crashes = 0
		s.markDirty(t.job)
	}
}
