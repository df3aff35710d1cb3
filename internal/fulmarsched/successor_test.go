package fulmarsched

import (
	"testing"

	"github.com/frankban/quicktest"
)

// newDisputeSimulation returns a simulation of two executors, the first with four runs of 2 s, whose owner
// has had a report of it alone.
func newDisputeSimulation(t *testing.T) *simulation {
	sim := newSimulation(t, 2)
	sim.executors[1].unresponsive = true
	sim.runsTake(2000)
	sim.runUntil(1200)
	sim.submit(jobID(1), step(4))
	sim.waitFor(sim.now+2000, "the tasks run", func() bool { return len(sim.runs) == 4 })
	sim.runUntil(sim.now + 100)
	return sim
}

// silenceFirst makes the first executor of a simulation silent for 3 s while the second restarts.
func (s *simulation) silenceFirst() {
	s.executors[0].unresponsive, s.executors[1].unresponsive = true, false
	s.executors[1].crash()
	s.executors[1].restart()
	s.runUntil(s.now + 3000)
	s.executors[0].unresponsive = false
}

// Guards against the end of runs that are present: the executor does not respond, and an entry in which
// another writer has named another VM than the journal makes it look like the predecessor of the executor
// there.
func TestRunsOnExecutorThatJournalAndEntryNameOnTwoVMsAreNotEnded(t *testing.T) {
	sim := newDisputeSimulation(t)
	trueInfo := sim.executors[0].info
	sim.executors[0].info.VM = sim.executors[1].info.VM
	sim.newOwner()
	sim.executors[0].info = trueInfo
	sim.runUntil(sim.now + 100)
	sim.silenceFirst()
	sim.waitFor(sim.now+20000, "the job is completed", sim.allCompleted)
	quicktest.Assert(t, len(sim.runs), quicktest.Equals, 4)
}

// Guards against the same where two entries name different VMs and the journal none.
func TestRunsOnExecutorThatEntriesNameOnTwoVMsAreNotEnded(t *testing.T) {
	sim := newSimulation(t, 2)
	e := sim.executors[0]
	odd := e.entry
	odd.VM = sim.executors[1].info.VM
	sim.scheduler.UpdateExecutor(sim.now, odd)
	sim.executors[1].unresponsive = true
	sim.runsTake(2000)
	sim.runUntil(1200)
	e.list()
	sim.submit(jobID(1), step(4))
	sim.waitFor(sim.now+2000, "the tasks run", func() bool { return len(sim.runs) == 4 })
	sim.runUntil(sim.now + 100)
	sim.silenceFirst()
	sim.waitFor(sim.now+20000, "the job is completed", sim.allCompleted)
	quicktest.Assert(t, len(sim.runs), quicktest.Equals, 4)
}

// Guards against the end of runs that are present: an entry in which another writer has named another VM for
// an earlier incarnation makes the later one, which no entry lists yet, look like their executor's successor.
func TestVMOfEarlierIncarnationEndsNoRuns(t *testing.T) {
	sim := newDisputeSimulation(t)
	e, restarted := sim.executors[0], sim.executors[1]
	odd := restarted.entry
	odd.VM = e.info.VM
	sim.newOwner()
	sim.runUntil(sim.now + 100)
	sim.scheduler.UpdateExecutor(sim.now, odd)
	e.unresponsive, restarted.unresponsive = true, false
	restarted.crash()
	restarted.restartUnlisted(2000)
	sim.runUntil(sim.now + 3000)
	e.unresponsive = false
	sim.waitFor(sim.now+20000, "the job is completed", sim.allCompleted)
	quicktest.Assert(t, len(sim.runs), quicktest.Equals, 4)
}

// An entry that names a wrong VM must not end the runs of an executor that is cut off and that the list of VMs shows to be up.
func TestWrongVMInFirstEntryEndsNoRunsBehindCut(t *testing.T) {
	sim := newReadySimulation(t, 3)
	sim.listVMs()
	sim.runsTake(20000)
	e, other := sim.executors[0], sim.executors[1]
	sim.leaveRoomOn(e)
	sim.submit(jobID(1), step(1))
	sim.waitFor(sim.now+3000, "the task runs", func() bool { return sim.runningCount() == 1 })
	sim.runUntil(sim.now + 500)
	e.unresponsive = true
	other.crash()
	other.restart()
	sim.makeRoomBeside(e)
	odd := other.entry
	odd.VM, other.unlisted = e.info.VM, true
	sim.newOwner()
	sim.scheduler.UpdateExecutor(sim.now, odd)
	sim.runUntil(sim.now + 1500)
	other.list()
	sim.runUntil(sim.now + 20000)
	sim.checkRunsOnce()
}

// Guards against a wait for the lease of an executor that has crashed since the last list of VMs.
func TestCrashedExecutorIsRetiredOnceNoListOfVMsNamesIt(t *testing.T) {
	sim := newReadySimulation(t, 2)
	sim.runsTake(20000)
	sim.submit(jobID(1), step(1))
	sim.waitFor(sim.now+3000, "the task runs", func() bool { return sim.runningCount() == 1 })
	sim.runUntil(sim.now + 500)
	e := sim.executorOfRun(1)
	sim.listVMs()
	sim.runUntil(sim.now + 100)
	e.crash()
	sim.runUntil(sim.now + 300)
	sim.addExecutor("x-later", e.info.VM)
	sim.waitFor(sim.now+3000, "the task runs again", func() bool { return sim.runningCount() == 1 })
}
