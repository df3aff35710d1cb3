package fulmarsched

import (
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

func TestExecutorThatRestartsBeforeItsFirstReportIsUsed(t *testing.T) {
	sim := newSimulation(t, 1)
	e := sim.executors[0]
	e.unresponsive = true
	sim.runUntil(1200)
	e.crash()
	e.restart()
	e.unresponsive = false
	sim.runUntil(3000)
	sim.submit(jobID(1), step(1))
	sim.waitFor(30000, "the job is completed", sim.allCompleted)
}

func TestRetiredExecutorThatRestartsUnderItsIDIsUsed(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.completeJobs(1, 1)
	e := sim.executors[0]
	sim.scheduler.retireIncarnation(e.info.ID, e.info.Incarnation, "its VM has moved to another pool")
	e.crash()
	e.restart()
	sim.submit(jobID(2), step(1))
	sim.waitFor(30000, "the job is completed", sim.allCompleted)
}

func TestExecutorOfOtherVMAfterUnlistedRestartIsUsed(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.completeJobs(1, 1)
	sim.runsTake(2000)
	e := sim.executors[0]
	e.crash()
	e.info.VM = "vm-7"
	e.restartUnlisted(1000)
	sim.submit(jobID(2), step(1))
	sim.waitFor(sim.now+30000, "the job is completed", sim.allCompleted)
	quicktest.Assert(t, sim.scheduler.executors[e.info.ID].info.VM, quicktest.Equals, "vm-7")
	sim.submit(jobID(3), step(1))
	sim.waitFor(sim.now+30000, "the next job is completed", sim.allCompleted)
}

func TestRunThatOnlyNewIncarnationExecutedIsNotSuspectedOfItsPredecessorsCrash(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.completeJobs(1, 1)
	sim.runsTake(3000)
	sim.restartAll(50)
	sim.submit(jobID(2), step(1))
	sim.runUntil(sim.now + 500)
	task := sim.scheduler.findTask(fulmarjob.TaskID{Job: jobID(2)})
	quicktest.Assert(t, task.runningSince > 0, quicktest.IsTrue)
	quicktest.Check(t, task.isSuspect(), quicktest.IsFalse)
	quicktest.Check(t, task.crashes, quicktest.Equals, 0)
}

// newSimulationWithRetiredExecutor returns a simulation whose owner has retired its first executor, which
// has four runs and does not respond: its only entry so far has named the VM of the other executor, which
// has restarted since.
func newSimulationWithRetiredExecutor(t *testing.T) *simulation {
	sim := newSimulation(t, 2)
	e, other := sim.executors[0], sim.executors[1]
	trueInfo := e.info
	e.info.VM = other.info.VM
	sim.newOwner()
	e.info = trueInfo
	other.unresponsive = true
	sim.runsTake(300)
	sim.runUntil(1200)
	sim.submit(jobID(1), step(4))
	sim.waitFor(sim.now+2000, "the tasks run", func() bool { return len(sim.runs) == 4 })
	sim.runUntil(sim.now + 100)
	e.unresponsive, other.unresponsive = true, false
	other.crash()
	other.restart()
	sim.waitFor(sim.now+10000, "the executor is retired", func() bool { return sim.scheduler.executors[e.info.ID].retired })
	return sim
}

// Guards against an executor that is never used again, and whose ends are never read, after an odd entry
// has named the VM of another executor.
func TestExecutorRetiredByOddEntryIsUsedAgain(t *testing.T) {
	sim := newSimulationWithRetiredExecutor(t)
	e := sim.executors[0]
	e.list()
	sim.runUntil(sim.now + 2000)
	e.unresponsive = false
	sim.waitFor(sim.now+5000, "the executor is used again", func() bool { return sim.scheduler.executors[e.info.ID].isSchedulable(sim.now) })
	sim.waitFor(sim.now+5000, "its ends are acknowledged", func() bool { return len(e.finished) == 0 })
	sim.waitFor(sim.now+30000, "the job is completed", sim.allCompleted)
}

// Guards against an executor that is used again only because the store lists it.
func TestRetiredExecutorIsNotUsedBeforeItResponds(t *testing.T) {
	sim := newSimulationWithRetiredExecutor(t)
	e := sim.executors[0]
	e.list()
	sim.runUntil(sim.now + 5000)
	quicktest.Assert(t, sim.scheduler.executors[e.info.ID].isSchedulable(sim.now), quicktest.IsFalse)
}

// Guards against a restart that is ignored since the clock was set back.
func TestRetiredExecutorThatRestartsWithEarlierStartTimeIsUsed(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.completeJobs(1, 1)
	e := sim.executors[0]
	sim.scheduler.retireIncarnation(e.info.ID, e.info.Incarnation, "its VM has moved to another pool")
	e.crash()
	e.restartUnlisted(1_000_000)
	e.info.Incarnation = 500
	e.list()
	sim.submit(jobID(2), step(1))
	sim.waitFor(30000, "the job is completed", sim.allCompleted)
}

// Guards against an executor that is never asked for a report again: it was not listed while a claim waited
// for one, so that no renewal followed the one that had failed, and its entry repeats the claim.
func TestExecutorThatWasUnlistedDuringClaimIsUsed(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.completeJobs(1, 1)
	e := sim.executors[0]
	stray := strayRun{assumedUntil: sim.now + 8000}
	sim.scheduler.executors[e.info.ID].addStrayRun(runKey{fulmarjob.TaskID{Job: jobID(1)}, 1}, stray)
	e.crash()
	e.restart()
	e.unresponsive = true
	sim.runUntil(sim.now + 1000)
	sim.scheduler.RemoveExecutor(sim.now, e.info.ID)
	sim.runUntil(sim.now + 2000)
	e.list()
	e.unresponsive = false
	sim.submit(jobID(2), step(1))
	sim.waitFor(sim.now+30000, "the job is completed", sim.allCompleted)
}

// A task must not wait for ever for an unexpected run of a report by which its executor, without an entry, was deleted.
func TestUnexpectedRunOnExecutorWithoutEntryLetsTaskRunAgain(t *testing.T) {
	sim := newReadySimulation(t, 2)
	sim.runsTake(20000)
	lost := sim.repeatAttempt(jobID(1), step(1))
	e := lost.target
	sim.runUntil(sim.now + 1000)
	e.restartHidden()
	sim.scheduler.RemoveExecutor(sim.now, e.info.ID)
	sim.runUntil(lost.sentAt + 10000)
	quicktest.Assert(t, lost.arrive(), quicktest.Equals, fulmarjob.ResultDone)
	sim.runUntil(lost.sentAt + lateExecutionBound + 200)
	e.unresponsive = false
	sim.runUntil(sim.now + 3000)
	e.list()
	sim.checkRunsOnce()
	quicktest.Check(t, sim.scheduler.openStarts.strays, quicktest.HasLen, 0)
}
