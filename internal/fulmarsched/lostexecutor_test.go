package fulmarsched

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

const (
	// silenceTimeout is the silence after which the store deletes the entry of an executor.
	silenceTimeout = 4500 * fulmarclock.Millis(1)
	// vmListInterval is the time between two lists of the platform's VMs.
	vmListInterval = 1000 * fulmarclock.Millis(1)
	// lastingTaskTimeout is how long a task that lasts may be without a run while there is capacity for it.
	lastingTaskTimeout = 9000 * fulmarclock.Millis(1)
)

// lose ends an executor without a word. The store deletes its entry after a time of silence.
func (s *simulation) lose(e *fakeExecutor, entryLeft fulmarclock.Millis) {
	e.crash()
	s.at(s.now+entryLeft, func() { s.scheduler.RemoveExecutor(s.now, e.info.ID) })
	s.listVMs()
}

// listVMs shows the owner the platform's list of VMs from now on. It names the executors that are up, within reach or not.
func (s *simulation) listVMs() {
	var vms []fulmarjob.VM
	for _, e := range s.executors {
		vm := fulmarjob.VM{Name: e.info.VM, Pool: testService, Up: e.alive}
		if e.alive {
			vm.Executor = e.info.ID
		}
		vms = append(vms, vm)
	}
	s.scheduler.UpdateVMs(s.now, s.now, vms)
	s.at(s.now+vmListInterval, s.listVMs)
}

// A task that is moved to an executor that was lost just before must run again in time.
func TestLastingTaskMovedToLostExecutorRunsAgainInTime(t *testing.T) {
	for _, entryLeft := range []fulmarclock.Millis{3000, silenceTimeout} {
		for _, lostBefore := range []fulmarclock.Millis{0, 500} {
			t.Run(fmt.Sprintf("lost %d ms before the drain, entry left for %d ms", lostBefore, entryLeft), func(t *testing.T) {
				sim := newSimulation(t, 3)
				sim.runsTake(1 << 40)
				sim.runUntil(1200)
				sim.submit(jobID(1), longRunningStep(1, 1))
				sim.waitFor(4000, "the task runs", func() bool { return sim.runningCount() == 1 })
				sim.runUntil(sim.now + 1000)
				used := sim.executorOfRun(1)
				target := fulmarjob.TaskID{Job: jobID(1)}
				for _, e := range sim.executors {
					if e != used {
						// Only the lost executor has room for the move until it is known to be lost.
						e.info.Capacity = roomFor(int64(8))
						e.list()
						sim.lose(e, entryLeft)
						break
					}
				}
				sim.runUntil(sim.now + lostBefore)
				used.drain()
				sim.waitFor(sim.now+4000, "the task is stopped", func() bool { return sim.runningCount() == 0 })
				stoppedAt := sim.now
				sim.waitFor(stoppedAt+lastingTaskTimeout, "the task runs again", func() bool { return sim.runningCount() == 1 })
				quicktest.Check(t, sim.scheduler.findTask(target).executor.info.ID, quicktest.Not(quicktest.Equals), used.info.ID)
				quicktest.Check(t, len(sim.runs), quicktest.Equals, 2)
			})
		}
	}
}

// A start must not be executed beside a newer run once its executor is back after a long time without an entry.
func TestStartOutlivesLongAbsenceOfExecutor(t *testing.T) {
	sim := newReadySimulation(t, 2)
	sim.runsTake(20000)
	lost := sim.loseAttempt(jobID(1), step(1))
	sim.lose(lost.target, silenceTimeout)
	sim.runUntil(lost.sentAt + 10000)
	lost.target.restartUnlisted(1000)
	lost.arrive()
	sim.runUntil(sim.now + 20000)
	sim.checkRunsOnce()
}

// A task must not run elsewhere beside its run on an incarnation that was cut off, from the store too, since it started.
func TestRunOnExecutorCutOffAfterRestartIsNotRepeatedElsewhere(t *testing.T) {
	const downtime, cut = 600 * fulmarclock.Millis(1), 9 * fulmarclock.Second
	for _, entryLeft := range []fulmarclock.Millis{3000, silenceTimeout} {
		t.Run(fmt.Sprintf("entry left for %d ms", entryLeft), func(t *testing.T) {
			sim := newReadySimulation(t, 2)
			sim.runsTake(20000)
			lost := sim.loseAttempt(jobID(1), step(1))
			e := lost.target
			e.crash()
			sim.runUntil(sim.now + downtime)
			e.restart()
			e.unresponsive = true
			quicktest.Assert(t, lost.arrive(), quicktest.Equals, fulmarjob.ResultDone)
			sim.runUntil(sim.now + entryLeft)
			sim.scheduler.RemoveExecutor(sim.now, e.info.ID)
			sim.runUntil(sim.now + cut - entryLeft)
			e.unresponsive = false
			e.list()
			sim.runUntil(sim.now + 20000)
			sim.checkRunsOnce()
		})
	}
}

// As before, for a task that lasts, which must run elsewhere soon if its executor has ended.
func TestLastingRunOnExecutorCutOffAfterRestartIsNotRepeatedElsewhere(t *testing.T) {
	const downtime, cut = 600 * fulmarclock.Millis(1), 9 * fulmarclock.Second
	for _, ownerChanges := range []int{0, 1} {
		t.Run(fmt.Sprintf("%d changes of the owner", ownerChanges), func(t *testing.T) {
			sim := newReadySimulation(t, 2)
			sim.runBehavior = runsForever
			sim.listVMs()
			lost := sim.loseAttempt(jobID(1), longRunningStep(1, 1))
			e := lost.target
			e.crash()
			sim.runUntil(sim.now + downtime)
			e.restart()
			e.unresponsive = true
			sim.changeOwner(ownerChanges)
			quicktest.Assert(t, lost.arrive(), quicktest.Equals, fulmarjob.ResultDone)
			sim.runUntil(sim.now + silenceTimeout)
			sim.scheduler.RemoveExecutor(sim.now, e.info.ID)
			sim.runUntil(sim.now + cut - silenceTimeout)
			e.unresponsive = false
			e.list()
			sim.waitFor(sim.now+4000, "the task is used or repeated", func() bool { return sim.runningCount() == 1 })
		})
	}
}

// A task that lasts must run again in time if its executor leaves while the owner changes.
func TestLastingTaskOfPreviousOwnerRunsAgainAfterItsExecutorLeft(t *testing.T) {
	for _, leavesBefore := range []fulmarclock.Millis{0, 500, 2000} {
		t.Run(fmt.Sprintf("%d ms before", leavesBefore), func(t *testing.T) {
			sim := newReadySimulation(t, 2)
			sim.runBehavior = runsForever
			sim.submit(jobID(1), longRunningStep(1, 1))
			sim.waitFor(sim.now+3000, "the task runs", func() bool { return sim.runningCount() == 1 })
			sim.runUntil(sim.now + 3000)
			e := sim.executorOfRun(1)
			e.crash()
			left := sim.now
			sim.runUntil(left + leavesBefore)
			sim.newOwner()
			sim.listVMs()
			sim.at(left+silenceTimeout, func() { sim.scheduler.RemoveExecutor(sim.now, e.info.ID) })
			sim.waitFor(left+lastingTaskTimeout, "the task runs again", func() bool { return sim.runningCount() == 1 })
		})
	}
}

// A run on an incarnation that was cut off since its start must go on there once the cut ends.
func TestRunOnExecutorCutOffAfterRestartGoesOnAfterTheCut(t *testing.T) {
	sim := newReadySimulation(t, 2)
	sim.runsTake(12000)
	sim.listVMs()
	lost := sim.loseAttempt(jobID(1), step(1))
	e := lost.target
	e.crash()
	sim.runUntil(sim.now + 3500)
	e.restart()
	e.unresponsive = true
	quicktest.Assert(t, lost.arrive(), quicktest.Equals, fulmarjob.ResultDone)
	sim.runUntil(sim.now + 9000)
	e.unresponsive = false
	e.list()
	sim.waitFor(sim.now+4000, "the job is completed", sim.allCompleted)
	quicktest.Check(t, sim.runs, quicktest.HasLen, 1)
}
