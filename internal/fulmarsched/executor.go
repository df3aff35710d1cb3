package fulmarsched

import (
	"slices"
	"strings"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// executor is what the scheduler knows of an executor and has placed there.
type executor struct {
	info fulmarjob.Executor
	// listed tells whether the store has its entry.
	listed bool
	tasks  map[fulmarjob.TaskID]*task
	used   fulmarjob.Resources

	// clock is the executor's own time at our time clockAt.
	clock    fulmarclock.Millis
	clockAt  fulmarclock.Millis
	hasClock bool
	// deadBy is when all that was ever ordered there has surely ended without further orders.
	leasesEndBy fulmarclock.Millis
	// fenced tells that this life has seen the scheduler's token.
	tokenSeen bool

	renewalInFlight bool
	renewalDue      fulmarclock.Millis
	renewalSentAt   fulmarclock.Millis
	lastResultAt    fulmarclock.Millis
	failedRenewals  int
	finishedSeen    int64
	finishedQueued  bool
	acknowledged    int64

	// silence is the record of a silent executor in the journal.
	unresponsive unresponsiveState

	avoidUntil fulmarclock.Millis
	// failedJobs are the jobs whose tasks failed here since the last success.
	failedJobs []string
	// retired executors are lives that are over although the store still lists them.
	retired bool
	// cordoned executors get nothing new, as their VM is to go down.
	cordoned bool
	// idleSince is when its last task left.
	idleSince   fulmarclock.Millis
	throttledAt fulmarclock.Millis
}

func (s *Scheduler) newExecutor(id string) *executor {
	e := &executor{tasks: map[fulmarjob.TaskID]*task{}, lastResultAt: s.now, idleSince: s.now}
	e.info.ID = id
	s.executors[id] = e
	at, _ := slices.BinarySearchFunc(s.executorList, id, compareID)
	s.executorList = slices.Insert(s.executorList, at, e)
	return e
}

// Executors returns how many executors the scheduler knows.
func (s *Scheduler) Executors() int { return len(s.executorList) }

func compareID(e *executor, id string) int { return strings.Compare(e.info.ID, id) }

// sorted returns all executors by ID, so that the same events lead to the same
// orders. Executors may come and go while the result is in use.
func (s *Scheduler) allExecutors() []*executor { return slices.Clone(s.executorList) }

// forget drops an executor.
func (s *Scheduler) deleteExecutor(e *executor) {
	delete(s.executors, e.info.ID)
	if at, found := slices.BinarySearchFunc(s.executorList, e.info.ID, compareID); found {
		s.executorList = slices.Delete(s.executorList, at, at+1)
	}
}

func (e *executor) target() Target {
	return Target{ID: e.info.ID, Address: e.info.Address, Incarnation: e.info.Born}
}

// free returns the room that is not taken by what was placed.
func (e *executor) freeCapacity() fulmarjob.Resources { return e.info.Capacity.Minus(e.used) }

// isUsable tells whether new tasks may go there.
func (e *executor) isSchedulable(now fulmarclock.Millis) bool {
	return e.listed && !e.retired && e.tokenSeen && !e.info.Draining && !e.cordoned && e.failedRenewals == 0 && now >= e.avoidUntil
}

// clockNow returns a lower bound of the executor's clock at our time now.
func (e *executor) clockLowerBound(now fulmarclock.Millis) fulmarclock.Millis {
	return e.clock + fulmarclock.Millis(float64(now-e.clockAt)*minClockRate)
}

// noteDeadline widens deadBy by a deadline on the executor's clock that was sent at now.
func (e *executor) extendLeaseBound(now, deadline, maxLease fulmarclock.Millis) {
	end := e.clockAt + fulmarclock.Millis(float64(deadline-e.clock)/minClockRate)
	e.leasesEndBy = max(e.leasesEndBy, min(end, maxLeaseEnd(now, maxLease)))
}

// longestFrom returns when a lease of the longest length, granted at now, has surely ended.
func maxLeaseEnd(now, maxLease fulmarclock.Millis) fulmarclock.Millis {
	return now + startValidity + fulmarclock.Millis(float64(maxLease)/minClockRate)
}

// readClock notes that the executor's clock showed at least clock at our time now.
func (e *executor) setClock(clock, now fulmarclock.Millis) {
	e.clock, e.clockAt, e.hasClock = clock, now, true
}

func (e *executor) addTask(t *task) {
	t.state, t.executor = taskPlaced, e
	e.tasks[t.id] = t
	e.used = e.used.Plus(t.step.Counted())
	t.job.placedTasks++
}

func (e *executor) removeTask(t *task) {
	delete(e.tasks, t.id)
	e.used = e.used.Minus(t.step.Counted())
	t.executor = nil
	t.job.placedTasks--
}

// SeeExecutor takes in an executor's entry in the store.
func (s *Scheduler) SeeExecutor(now fulmarclock.Millis, info fulmarjob.Executor) {
	s.now = now
	e := s.executors[info.ID]
	if e == nil {
		e = s.newExecutor(info.ID)
	} else if info.Born != 0 && e.info.Born != 0 && info.Born < e.info.Born {
		return
	}
	changed := !e.listed || e.info.Born != info.Born || e.info.Draining != info.Draining
	if info.Born != 0 && e.info.Born != 0 && e.info.Born != info.Born {
		s.startIncarnation(e, info.Born)
	}
	if e.retired && e.info.Born == info.Born {
		return
	}
	e.info, e.listed, e.retired = info, true, false
	s.retireOlderIncarnations(e)
	if changed {
		s.log.Decide("executor listed", "executor", info.ID, "service", info.Service, "vm", info.VM, "born", info.Born, "draining", info.Draining)
		e.failedRenewals = 0
		s.scheduleRenewal(e, 0)
	}
	s.handleReturnedVM(e)
	s.handleArrivedVM(e)
}

// LoseExecutor takes in that an executor's entry has gone. What it runs goes on
// until its lease ends.
func (s *Scheduler) LoseExecutor(now fulmarclock.Millis, id string) {
	s.now = now
	if e := s.executors[id]; e != nil && e.listed {
		e.listed = false
		s.log.Decide("executor no longer listed", "executor", id, "tasks", len(e.tasks), "lease_ends_in_ms", e.leasesEndBy-now)
		s.deleteIfGone(e)
	}
}

// retireOlder ends the former lives of an executor's VM, or the executor itself when its VM has a later one.
func (s *Scheduler) retireOlderIncarnations(e *executor) {
	for _, other := range s.allExecutors() {
		if other == e || e.info.VM == "" || other.info.VM != e.info.VM || other.retired {
			continue
		}
		if other.info.Born > e.info.Born {
			s.retire(e, "its VM has a later life")
			return
		}
		s.retire(other, "its VM has a later life")
	}
}

// retire ends a life of an executor: nothing runs there any more, and nothing can start.
func (s *Scheduler) retire(e *executor, reason string) {
	if e.retired {
		return
	}
	e.retired, e.renewalDue = true, 0
	s.log.Decide("executor retired", "executor", e.info.ID, "vm", e.info.VM, "born", e.info.Born, "tasks", len(e.tasks), "why", reason)
	s.clearUnresponsive(e)
	for _, t := range sortedTasks(e) {
		s.endPlacement(t, reason)
	}
}

// retireLife retires an executor if it still has the life that an order on its VM has ended.
func (s *Scheduler) retireIncarnation(id string, incarnation int64, reason string) {
	if e := s.executors[id]; e != nil && e.info.Born == incarnation {
		s.retire(e, reason)
	}
}

// beginLife frees what the former life of an executor ran. A start without an
// answer may still reach the new life, so its run is stopped there first.
func (s *Scheduler) startIncarnation(e *executor, incarnation int64) {
	s.log.Decide("executor has a new life", "executor", e.info.ID, "born", incarnation, "before", e.info.Born, "tasks", len(e.tasks))
	e.info.Born = incarnation
	e.hasClock, e.tokenSeen, e.clock, e.finishedSeen, e.acknowledged, e.renewalInFlight = false, false, 0, 0, 0, false
	s.clearUnresponsive(e)
	e.leasesEndBy = maxLeaseEnd(s.now, s.params.MaxHold)
	e.failedRenewals, e.avoidUntil, e.failedJobs, e.retired = 0, 0, nil, false
	for _, t := range sortedTasks(e) {
		if t.confirmedAt == 0 && t.startsSent > 0 {
			s.stopRun(t)
			continue
		}
		s.endPlacement(t, "its executor began a new life")
	}
}

func (s *Scheduler) deleteIfGone(e *executor) {
	if !e.listed && len(e.tasks) == 0 {
		s.clearUnresponsive(e)
		s.deleteExecutor(e)
	}
}

// vacate frees a task whose run has surely ended, to be placed anew.
func (s *Scheduler) endPlacement(t *task, reason string) {
	e := t.executor
	e.removeTask(t)
	e.idleSince = s.now
	t.confirmedAt, t.startSentAt, t.runningSince, t.startsSent, t.progress = 0, 0, 0, 0, 0
	t.stopping, t.stopSentAt, t.stopConfirmedAt, t.speed = false, 0, 0, fullSpeed
	t.moving, t.movingJournaled = false, false
	t.waitingSince = s.now
	t.state = taskWaiting
	if t.job.state.IsFinal() {
		t.state = taskDone
	}
	s.markDirty(t.job)
	s.log.Decide("task vacated", "job", t.id.Job, "step", t.id.Step, "index", t.id.Index, "run", t.run, "executor", e.info.ID, "why", reason)
	s.deleteIfGone(e)
	s.stopGang(t)
}

// breakGang stops the other members of a gang, which work only together.
func (s *Scheduler) stopGang(t *task) {
	o := t.job.findOccurrence(t.id.Occurrence)
	if !t.step.Gang || o == nil {
		return
	}
	for _, m := range o.steps[t.id.Step] {
		if m.state == taskPlaced && !m.stopping {
			s.stopRun(m)
		}
	}
}

// stop orders the end of a task's run; the executor lists the end, or confirms that the run can't start.
func (s *Scheduler) stopRun(t *task) {
	t.stopping, t.stopSentAt = true, s.now
	e := t.executor
	s.commands = append(s.commands, StopOrder{Target: e.target(), Task: t.id, Run: t.run, Token: s.token})
	s.scheduleRenewal(e, s.now+minRenewalInterval)
}

// watchOver frees what a silent executor ran once its lease has surely ended,
// repeats orders without an answer, and moves lasting tasks off an executor that leaves.
func (s *Scheduler) checkExecutor(e *executor) {
	if e.retired {
		return
	}
	s.recordUnresponsive(e)
	if e.failedRenewals > 0 || !e.listed {
		if s.now > e.leasesEndBy+expiryMargin && len(e.tasks) > 0 {
			for _, t := range sortedTasks(e) {
				s.endPlacement(t, "its lease has ended")
			}
		}
		if !e.listed && len(e.tasks) == 0 {
			s.deleteIfGone(e)
		}
		return
	}
	if e.info.Draining {
		s.moveLongRunning(e)
	}
	for _, t := range sortedTasks(e) {
		s.retryCommand(e, t)
	}
}

func (s *Scheduler) retryCommand(e *executor, t *task) {
	if t.movingJournaled && !t.stopping && t.confirmedAt > 0 {
		s.stopRun(t)
		return
	}
	if t.stopping && t.stopConfirmedAt == 0 && s.now > t.stopSentAt+s.params.StopWithin+resendDelay {
		s.stopRun(t)
		return
	}
	if t.startsSent == 0 && t.confirmedAt == 0 && !t.stopping && e.tokenSeen {
		s.sendStart(t)
		return
	}
	if t.startsSent > 0 && t.confirmedAt == 0 && !t.stopping && e.lastResultAt > t.startSentAt && s.now > t.startSentAt+resendDelay {
		s.sendStart(t)
	}
}
