package fulmarsched

import (
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// laterIncarnation is the start time in entries that another writer leaves.
const laterIncarnation = 1 << 40

// at calls do in the step that begins at a time, before the scheduler's decisions of that step.
func (s *simulation) at(time fulmarclock.Millis, do func()) {
	s.events = append(s.events, event{at: time, run: do})
}

// The request for a report is sent in the millisecond in which the entry arrives.
func TestIdleExecutorIsUsedAfterOddEntryAndReportOfSameMillisecond(t *testing.T) {
	for _, odd := range oddEntries {
		t.Run(odd.name, func(t *testing.T) {
			sim := newSimulation(t, 1)
			sim.completeJobs(1, 1)
			sim.at(sim.now+simulationStep, func() { sim.scheduler.UpdateExecutor(sim.now, odd.of(sim.executors[0].entry)) })
			sim.at(sim.now+300, sim.executors[0].list)
			sim.runUntil(sim.now + 2000)
			sim.submit(jobID(2), step(2))
			sim.waitFor(sim.now+30000, "the job is completed", sim.allCompleted)
		})
	}
}

func TestExecutorIsUsedAfterOddEntryAndRestart(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.completeJobs(1, 1)
	e := sim.executors[0]
	e.crash()
	e.restartUnlisted(500)
	odd := e.entry
	odd.Incarnation = laterIncarnation
	sim.scheduler.UpdateExecutor(sim.now, odd)
	sim.runUntil(sim.now + 2000)
	sim.submit(jobID(2), step(2))
	sim.waitFor(sim.now+30000, "the job is completed", sim.allCompleted)
}

func TestExecutorIsUsedThoughItsFirstEntryIsOdd(t *testing.T) {
	for _, odd := range oddEntries[2:] {
		t.Run(odd.name, func(t *testing.T) {
			sim := newSimulation(t, 1)
			sim.completeJobs(1, 1)
			sim.executors[0].entry = odd.of(sim.executors[0].info)
			sim.scheduler = New(sim.now, testParameters, sim.revision, sim.counts)
			sim.scheduler.SetConfiguration(sim.now, sim.configuration)
			sim.scheduler.UpdateExecutor(sim.now, sim.executors[0].entry)
			sim.runUntil(sim.now + 300)
			sim.executors[0].list()
			sim.jobs = map[string]fulmarjob.Specification{}
			sim.submit(jobID(2), step(2))
			sim.waitFor(sim.now+30000, "the job is completed", sim.allCompleted)
		})
	}
}

func TestFirstEntryWithOtherVMEndsNoRunsOfNewOwner(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.runUntil(1200)
	sim.executors[0].crash()
	sim.executors[0].restart()
	sim.runsTake(4000)
	sim.runUntil(1600)
	sim.submit(jobID(1), step(8))
	sim.waitFor(sim.now+1000, "the tasks run", func() bool { return len(sim.runs) == 8 })
	sim.runUntil(sim.now + 200)
	info := sim.executors[0].info
	sim.executors[0].info.VM = sim.executors[1].info.VM
	sim.newOwner()
	sim.executors[0].info = info
	sim.runUntil(sim.now + 300)
	sim.executors[0].list()
	sim.waitFor(sim.now+30000, "the job is completed", sim.allCompleted)
	quicktest.Assert(t, len(sim.runs), quicktest.Equals, 8)
}

func TestDrainingExecutorWhoseFirstEntryNamedOtherVMGetsNoTasks(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.runUntil(1200)
	info := sim.executors[0].info
	sim.executors[0].info.VM = "vm-7"
	sim.newOwner()
	sim.executors[0].info = info
	sim.runUntil(sim.now + 300)
	sim.executors[0].list()
	sim.executors[0].info.Draining = true
	sim.executors[0].list()
	sim.submit(jobID(1), step(1))
	sim.runUntil(sim.now + 2000)
	quicktest.Assert(t, len(sim.runs), quicktest.Equals, 0)
}

func TestRestartWithEarlierStartTimeAndOtherAddressIsUsedAgain(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.completeJobs(1, 1)
	e := sim.executors[0]
	e.crash()
	e.restartUnlisted(1_000_000)
	e.info.Incarnation, e.info.Address = 500, "x-0-new"
	sim.at(sim.now+simulationStep, e.list)
	sim.runUntil(sim.now + 2000)
	sim.submit(jobID(2), step(2))
	sim.waitFor(sim.now+60000, "the job is completed", sim.allCompleted)
}

func TestNoStartIsSentToClaimedIncarnationOfUnknownCapacity(t *testing.T) {
	sim := newUnguardedSimulation(t, 1)
	sim.refusesOtherIncarnation = false
	e := sim.executors[0]
	sim.appendDelay = func() fulmarclock.Millis { return 100 }
	sim.submit(jobID(1), step(3))
	sim.runUntil(sim.now + 50)
	e.crash()
	e.restartWith(roomFor(1), 0)
	sim.losesNext = func(c Command) bool { _, ok := c.(RenewCommand); return ok }
	sim.waitFor(20000, "all jobs are completed", sim.allCompleted)
}

func TestLeaseOfLateAttemptAtLaterIncarnationIsWaitedFor(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.runUntil(30000)
	sim.runsTake(60000)
	sim.commandDelay = func(int) fulmarclock.Millis { return 1500 }
	sim.repeatsNext = isStart
	sim.submit(jobID(1), step(1))
	sim.waitFor(sim.now+3000, "the task runs", func() bool { return len(sim.runs) == 1 })
	sim.runUntil(sim.now + 500)
	task := sim.scheduler.findTask(fulmarjob.TaskID{Job: jobID(1)})
	quicktest.Assert(t, task.runningSince > 0, quicktest.IsTrue)
	e := sim.executorOf(Target{ID: task.executor.info.ID})
	e.crash()
	sim.at(sim.now+300, func() { e.restartUnlisted(1_000_000) })
	sim.runUntil(sim.now + 310)
	e.unresponsive = true
	sim.waitFor(sim.now+40000, "the late attempt and the next run were started", func() bool { return len(sim.runs) >= 3 })
}
