package fulmarsched

import (
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// manyFinishedRuns is how many runs finish unread in the tests below, on an executor that lists
// listedFinishedRuns of them at a time.
const (
	manyFinishedRuns   = 14
	listedFinishedRuns = 4
)

// partialReportCases leave more finished runs unread on an executor than it lists. The job's runs have
// been started and end while inject runs.
var partialReportCases = []struct {
	name         string
	ownerChanges bool
	inject       func(sim *simulation)
}{
	{"the store is down", false, func(sim *simulation) {
		sim.storeDown = true
		sim.runUntil(sim.now + 4500)
		sim.storeDown = false
	}},
	{"the executor is cut off", false, func(sim *simulation) {
		sim.executors[0].unresponsive = true
		sim.runUntil(sim.now + 3000)
		sim.executors[0].unresponsive = false
	}},
	{"the store is down and the owner changes", true, func(sim *simulation) {
		sim.storeDown = true
		sim.runUntil(sim.now + 4500)
		sim.storeDown = false
		sim.newOwner()
	}},
	{"the executor is cut off and the owner changes after one list", true, func(sim *simulation) {
		sim.executors[0].unresponsive = true
		sim.runUntil(sim.now + 3000)
		sim.executors[0].unresponsive = false
		sim.waitFor(sim.now+2000, "a list is read", func() bool {
			return sim.scheduler.executors["x-0"].finishedSeen == listedFinishedRuns
		})
		sim.newOwner()
	}},
	{"the owner changes after each list", true, func(sim *simulation) {
		sim.storeDown = true
		sim.runUntil(sim.now + 3000)
		sim.storeDown = false
		for left := len(sim.executors[0].finished); left > 0; left = len(sim.executors[0].finished) {
			sim.newOwner()
			limit := sim.now + 5000
			if left < listedFinishedRuns {
				limit += lateExecutionBound
			}
			sim.waitFor(limit, "a list is acknowledged", func() bool { return len(sim.executors[0].finished) < left })
		}
	}},
}

func smallStep(count int) fulmarjob.Step {
	s := step(count)
	s.Resources = fulmarjob.Resources{MilliCPU: 100, MemoryMB: 100}
	return s
}

// startManyRuns starts runs on one executor that it can't list at a time, once they have ended.
func startManyRuns(t *testing.T) *simulation {
	t.Helper()
	sim := newSimulation(t, 1)
	sim.maxListedFinished = listedFinishedRuns
	sim.runsTake(1000)
	sim.runUntil(1200)
	sim.submit(jobID(1), smallStep(manyFinishedRuns))
	sim.waitFor(3000, "all runs are started", func() bool { return len(sim.runs) == manyFinishedRuns })
	return sim
}

func TestRunWhoseEndIsNotListedYetIsNotStartedAgain(t *testing.T) {
	for _, c := range partialReportCases {
		t.Run(c.name, func(t *testing.T) {
			sim := startManyRuns(t)
			sim.runUntil(sim.now + 200)
			c.inject(sim)
			sim.waitFor(sim.now+10000, "the job is completed", sim.allCompleted)
			sim.runUntil(sim.now + 1000)
			quicktest.Check(t, len(sim.runs), quicktest.Equals, manyFinishedRuns)
			quicktest.Check(t, sim.counts["repeated_runs"], quicktest.Equals, 0)
			sim.checkAcknowledged(c.ownerChanges)
		})
	}
}

// checkAcknowledged checks that the ends of the first executor are acknowledged. If starts may be open, the
// last list may wait until they can't be executed any more, if it is not full.
func (s *simulation) checkAcknowledged(mayBeOpen bool) {
	s.t.Helper()
	if mayBeOpen {
		quicktest.Check(s.t, len(s.executors[0].finished) < listedFinishedRuns, quicktest.IsTrue)
		s.runUntil(s.now + lateExecutionBound)
	}
	quicktest.Check(s.t, s.executors[0].finished, quicktest.HasLen, 0)
}

// The runs end before a report shows them, some starts have no result.
func TestUnlistedEndsDoNotHoldUpAcknowledgements(t *testing.T) {
	for _, lossInterval := range []int{2, 3, 1000} {
		sim := newSimulation(t, 1)
		sim.maxListedFinished = listedFinishedRuns
		sim.runsTake(20)
		sim.runUntil(1200)
		sim.losesResult = func(n int) bool { return n%lossInterval == 0 }
		sim.submit(jobID(1), smallStep(manyFinishedRuns))
		sim.waitFor(3000, "all runs are started", func() bool { return len(sim.runs) == manyFinishedRuns })
		sim.losesResult = func(int) bool { return false }
		sim.waitFor(sim.now+10000, "the job is completed", sim.allCompleted)
		sim.runUntil(sim.now + 1000)
		quicktest.Check(t, len(sim.runs), quicktest.Equals, manyFinishedRuns)
		sim.checkAcknowledged(lossInterval < 1000)
	}
}

func TestStoppedRunWhoseEndIsNotListedYetIsNotStartedAgain(t *testing.T) {
	sim := startManyRuns(t)
	sim.executors[0].unresponsive = true
	sim.runUntil(sim.now + 1500)
	sim.executors[0].unresponsive = false
	for _, task := range sortedTasks(sim.scheduler.executors["x-0"]) {
		sim.scheduler.stopRun(task, stopTaskMoves)
	}
	sim.waitFor(sim.now+10000, "the job is completed", sim.allCompleted)
	quicktest.Check(t, len(sim.runs), quicktest.Equals, manyFinishedRuns)
}

func TestNoTaskIsPlacedOnExecutorWithUnlistedEnds(t *testing.T) {
	sim := startManyRuns(t)
	sim.storeDown = true
	sim.runUntil(sim.now + 1000 + 2*unjournaledRenewalInterval)
	quicktest.Check(t, sim.scheduler.executors["x-0"].isSchedulable(sim.now), quicktest.IsFalse)
	sim.storeDown = false
	sim.waitFor(sim.now+10000, "the job is completed", sim.allCompleted)
	sim.waitFor(sim.now+1000, "the executor is used again", func() bool { return sim.scheduler.executors["x-0"].isSchedulable(sim.now) })
}
