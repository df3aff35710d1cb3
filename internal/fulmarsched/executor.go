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
	deadBy fulmarclock.Millis
	// fenced tells that this life has seen the scheduler's token.
	fenced bool

	holding      bool
	holdDue      fulmarclock.Millis
	holdSent     fulmarclock.Millis
	heard        fulmarclock.Millis
	failures     int
	seen         int64
	queued       bool
	acknowledged int64

	// silence is the record of a silent executor in the journal.
	silence silence

	avoidUntil fulmarclock.Millis
	// failedJobs are the jobs whose tasks failed here since the last success.
	failedJobs []string
	// retired executors are lives that are over although the store still lists them.
	retired bool
	// cordoned executors get nothing new, as their VM is to go down.
	cordoned bool
	// idleSince is when its last task left.
	idleSince fulmarclock.Millis
	paced     fulmarclock.Millis
}

func (s *Scheduler) newExecutor(id string) *executor {
	e := &executor{tasks: map[fulmarjob.TaskID]*task{}, heard: s.now, idleSince: s.now}
	e.info.ID = id
	s.executors[id] = e
	at, _ := slices.BinarySearchFunc(s.byID, id, compareID)
	s.byID = slices.Insert(s.byID, at, e)
	return e
}

// ExecutorCount returns how many executors the scheduler knows.
func (s *Scheduler) ExecutorCount() int { return len(s.byID) }

func compareID(e *executor, id string) int { return strings.Compare(e.info.ID, id) }

// sorted returns all executors by ID, so that the same events lead to the same
// orders. Executors may come and go while the result is in use.
func (s *Scheduler) sorted() []*executor { return slices.Clone(s.byID) }

// forget drops an executor.
func (s *Scheduler) forget(e *executor) {
	delete(s.executors, e.info.ID)
	if at, found := slices.BinarySearchFunc(s.byID, e.info.ID, compareID); found {
		s.byID = slices.Delete(s.byID, at, at+1)
	}
}

func (e *executor) target() Target {
	return Target{ID: e.info.ID, Address: e.info.Address, Born: e.info.Born}
}

// free returns the room that is not taken by what was placed.
func (e *executor) free() fulmarjob.Resources { return e.info.Capacity.Minus(e.used) }

// isUsable tells whether new tasks may go there.
func (e *executor) isUsable(now fulmarclock.Millis) bool {
	return e.listed && !e.retired && e.fenced && !e.info.Draining && !e.cordoned && e.failures == 0 && now >= e.avoidUntil
}

// clockNow returns a lower bound of the executor's clock at our time now.
func (e *executor) clockNow(now fulmarclock.Millis) fulmarclock.Millis {
	return e.clock + fulmarclock.Millis(float64(now-e.clockAt)*slowestClock)
}

// noteDeadline widens deadBy by a deadline on the executor's clock that was sent at now.
func (e *executor) noteDeadline(now, deadline, longest fulmarclock.Millis) {
	reached := e.clockAt + fulmarclock.Millis(float64(deadline-e.clock)/slowestClock)
	e.deadBy = max(e.deadBy, min(reached, longestFrom(now, longest)))
}

// longestFrom returns when a lease of the longest length, granted at now, has surely ended.
func longestFrom(now, longest fulmarclock.Millis) fulmarclock.Millis {
	return now + startValidity + fulmarclock.Millis(float64(longest)/slowestClock)
}

// readClock notes that the executor's clock showed at least clock at our time now.
func (e *executor) readClock(clock, now fulmarclock.Millis) {
	e.clock, e.clockAt, e.hasClock = clock, now, true
}

func (e *executor) add(t *task) {
	t.state, t.executor = taskPlaced, e
	e.tasks[t.id] = t
	e.used = e.used.Plus(t.step.Counted())
	t.job.placed++
}

func (e *executor) remove(t *task) {
	delete(e.tasks, t.id)
	e.used = e.used.Minus(t.step.Counted())
	t.executor = nil
	t.job.placed--
}

// UpdateExecutor takes in an executor's entry in the store.
func (s *Scheduler) UpdateExecutor(now fulmarclock.Millis, info fulmarjob.Executor) {
	s.now = now
	e := s.executors[info.ID]
	if e == nil {
		e = s.newExecutor(info.ID)
	} else if info.Born != 0 && e.info.Born != 0 && info.Born < e.info.Born {
		return
	}
	isNew := !e.listed || e.info.Born != info.Born || e.info.Draining != info.Draining
	if info.Born != 0 && e.info.Born != 0 && e.info.Born != info.Born {
		s.beginLife(e, info.Born)
	}
	if e.retired && e.info.Born == info.Born {
		return
	}
	e.info, e.listed, e.retired = info, true, false
	s.retireOlder(e)
	if isNew {
		s.log.Log("executor listed", "executor", info.ID, "service", info.Service, "vm", info.VM, "born", info.Born, "draining", info.Draining)
		e.failures = 0
		s.scheduleHold(e, 0)
	}
	s.returnedVM(e)
	s.arrivedVM(e)
}

// RemoveExecutor takes in that an executor's entry has gone. What it runs goes on
// until its lease ends.
func (s *Scheduler) RemoveExecutor(now fulmarclock.Millis, id string) {
	s.now = now
	if e := s.executors[id]; e != nil && e.listed {
		e.listed = false
		s.log.Log("executor no longer listed", "executor", id, "tasks", len(e.tasks), "lease_ends_in_ms", e.deadBy-now)
		s.dropEmpty(e)
	}
}

// retireOlder ends the former lives of an executor's VM, or the executor itself when its VM has a later one.
func (s *Scheduler) retireOlder(e *executor) {
	for _, o := range s.sorted() {
		if o == e || e.info.VM == "" || o.info.VM != e.info.VM || o.retired {
			continue
		}
		if o.info.Born > e.info.Born {
			s.retire(e, "its VM has a later life")
			return
		}
		s.retire(o, "its VM has a later life")
	}
}

// retire ends a life of an executor: nothing runs there any more, and nothing can start.
func (s *Scheduler) retire(e *executor, why string) {
	if e.retired {
		return
	}
	e.retired, e.holdDue = true, 0
	s.log.Log("executor retired", "executor", e.info.ID, "vm", e.info.VM, "born", e.info.Born, "tasks", len(e.tasks), "why", why)
	s.endSilence(e)
	for _, t := range sortedTasks(e) {
		s.vacate(t, why)
	}
}

// retireLife retires an executor if it still has the life that an order on its VM has ended.
func (s *Scheduler) retireLife(id string, born int64, why string) {
	if e := s.executors[id]; e != nil && e.info.Born == born {
		s.retire(e, why)
	}
}

// beginLife frees what the former life of an executor ran. A start without an
// answer may still reach the new life, so its run is stopped there first.
func (s *Scheduler) beginLife(e *executor, born int64) {
	s.log.Log("executor has a new life", "executor", e.info.ID, "born", born, "before", e.info.Born, "tasks", len(e.tasks))
	e.info.Born = born
	e.hasClock, e.fenced, e.clock, e.seen, e.acknowledged, e.holding = false, false, 0, 0, 0, false
	s.endSilence(e)
	e.deadBy = longestFrom(s.now, s.bounds.MaxLease)
	e.failures, e.avoidUntil, e.failedJobs, e.retired = 0, 0, nil, false
	for _, t := range sortedTasks(e) {
		if t.answered == 0 && t.sent > 0 {
			s.stop(t)
			continue
		}
		s.vacate(t, "its executor began a new life")
	}
}

func (s *Scheduler) dropEmpty(e *executor) {
	if !e.listed && len(e.tasks) == 0 {
		s.endSilence(e)
		s.forget(e)
	}
}

// vacate frees a task whose run has surely ended, to be placed anew.
func (s *Scheduler) vacate(t *task, why string) {
	e := t.executor
	e.remove(t)
	e.idleSince = s.now
	t.answered, t.ordered, t.running, t.sent, t.percent = 0, 0, 0, 0, 0
	t.stopping, t.stopSent, t.stopped, t.pace = false, 0, 0, fullSpeed
	t.leaving, t.leavingStored = false, false
	t.awaySince = s.now
	t.state = taskWaiting
	if t.job.state.IsFinal() {
		t.state = taskDone
	}
	s.touch(t.job)
	s.log.Log("task vacated", "job", t.id.Job, "step", t.id.Step, "index", t.id.Index, "run", t.run, "executor", e.info.ID, "why", why)
	s.dropEmpty(e)
	s.breakGang(t)
}

// breakGang stops the other members of a gang, which work only together.
func (s *Scheduler) breakGang(t *task) {
	o := t.job.occurrence(t.id.Occurrence)
	if !t.step.Gang || o == nil {
		return
	}
	for _, m := range o.steps[t.id.Step] {
		if m.state == taskPlaced && !m.stopping {
			s.stop(m)
		}
	}
}

// stop orders the end of a task's run; the executor lists the end, or confirms that the run can't start.
func (s *Scheduler) stop(t *task) {
	t.stopping, t.stopSent = true, s.now
	e := t.executor
	s.orders = append(s.orders, StopCommand{Target: e.target(), Task: t.id, Run: t.run, Token: s.token})
	s.scheduleHold(e, s.now+minHoldGap)
}

// watchOver frees what a silent executor ran once its lease has surely ended,
// repeats orders without an answer, and moves lasting tasks off an executor that leaves.
func (s *Scheduler) watchOver(e *executor) {
	if e.retired {
		return
	}
	s.noteSilence(e)
	if e.failures > 0 || !e.listed {
		if s.now > e.deadBy+lapseMargin && len(e.tasks) > 0 {
			for _, t := range sortedTasks(e) {
				s.vacate(t, "its lease has ended")
			}
		}
		if !e.listed && len(e.tasks) == 0 {
			s.dropEmpty(e)
		}
		return
	}
	if e.info.Draining {
		s.moveLasting(e)
	}
	for _, t := range sortedTasks(e) {
		s.repeatOrder(e, t)
	}
}

func (s *Scheduler) repeatOrder(e *executor, t *task) {
	if t.leavingStored && !t.stopping && t.answered > 0 {
		s.stop(t)
		return
	}
	if t.stopping && t.stopped == 0 && s.now > t.stopSent+s.bounds.StopTimeout+resendAfter {
		s.stop(t)
		return
	}
	if t.sent == 0 && t.answered == 0 && !t.stopping && e.fenced {
		s.sendStart(t)
		return
	}
	if t.sent > 0 && t.answered == 0 && !t.stopping && e.heard > t.ordered && s.now > t.ordered+resendAfter {
		s.sendStart(t)
	}
}
