package fulmarsched

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// gangMembers is more than the attempts of the test queue.
const gangMembers = 4

func gangStep(maxPerExecutor int) fulmarjob.Step {
	s := step(gangMembers)
	s.Gang, s.MaxPerExecutor = true, maxPerExecutor
	return s
}

// failRuns makes the first runs of each task fail after a time that grows with its index.
func (s *simulation) failRuns(runs int64, first, growth fulmarclock.Millis) {
	s.runBehavior = func(id fulmarjob.TaskID, number int64, _ *fakeExecutor) (fulmarclock.Millis, bool) {
		return first + growth*fulmarclock.Millis(id.Index), number <= runs
	}
}

// failedRuns returns the numbers of the runs in which a task failed.
func (s *simulation) failedRuns() map[int64]bool {
	failed := map[int64]bool{}
	for _, r := range s.runs {
		if r.outcome == fulmarjob.RunFailed {
			failed[r.number] = true
		}
	}
	return failed
}

// cutOneMember makes an executor with a member of the gang unresponsive while the others end.
func cutOneMember(sim *simulation) {
	sim.waitFor(sim.now+2000, "all members run", func() bool { return len(sim.runs) == gangMembers })
	e := sim.executorOf(Target{ID: sim.runs[0].executor})
	e.unresponsive = true
	sim.runUntil(sim.now + 1000)
	e.unresponsive = false
}

func changeOwnerAfterFirstEnd(sim *simulation) {
	sim.waitFor(sim.now+2000, "all members run", func() bool { return len(sim.runs) == gangMembers })
	e := sim.executors[1]
	e.unresponsive = true
	sim.waitFor(sim.now+2000, "the journal holds a failure", func() bool {
		task := sim.scheduler.findTask(fulmarjob.TaskID{Job: jobID(1)})
		return task.attempts > 0 && !task.job.dirty && sim.batch == nil
	})
	sim.newOwner()
	e.unresponsive = false
}

func TestGangWhoseMembersFailInOneRunHasFailedOnce(t *testing.T) {
	for _, row := range []struct {
		name           string
		maxPerExecutor int
		growth         fulmarclock.Millis
		inject         func(sim *simulation)
	}{
		{"at once on one executor", 0, 0, nil},
		{"one after the other on one executor", 0, 10, nil},
		{"at once on several executors", 1, 0, nil},
		{"one after the other on several executors", 1, 10, nil},
		{"one behind a cut", 1, 0, cutOneMember},
		{"one after a change of the owner", 1, 0, changeOwnerAfterFirstEnd},
	} {
		for _, failedRuns := range []int64{1, 2} {
			t.Run(fmt.Sprintf("%s, %d times", row.name, failedRuns), func(t *testing.T) {
				sim := newSimulation(t, gangMembers)
				sim.failRuns(failedRuns, 100, row.growth)
				sim.runUntil(1200)
				sim.submit(jobID(1), gangStep(row.maxPerExecutor))
				if row.inject != nil {
					row.inject(sim)
				}
				sim.waitFor(sim.now+20000, "the job has ended", sim.allEnded)
				quicktest.Check(t, sim.jobState(jobID(1)), quicktest.Equals, fulmarjob.Completed)
				quicktest.Check(t, sim.failedRuns(), quicktest.HasLen, int(failedRuns))
			})
		}
	}
}

func TestGangThatAlwaysFailsUsesUpItsAttempts(t *testing.T) {
	for _, maxPerExecutor := range []int{0, 1} {
		for _, growth := range []fulmarclock.Millis{0, 10} {
			sim := newSimulation(t, gangMembers)
			sim.failRuns(1000, 100, growth)
			sim.runUntil(1200)
			sim.submit(jobID(1), gangStep(maxPerExecutor))
			sim.waitFor(20000, "the job has ended", sim.allEnded)
			quicktest.Check(t, sim.jobState(jobID(1)), quicktest.Equals, fulmarjob.Failed)
			quicktest.Check(t, sim.failedRuns(), quicktest.HasLen, testConfiguration().Queues[0].MaxAttempts)
		}
	}
}

// The owner changes at any time while the members fail one after the other.
func TestOwnerChangeCountsNoFailureOfGangTwice(t *testing.T) {
	for after := simulationStep; after < 600; after += simulationStep {
		sim := newSimulation(t, gangMembers)
		sim.failRuns(2, 100, 50)
		sim.runUntil(1200)
		sim.submit(jobID(1), gangStep(1))
		sim.waitFor(sim.now+1000, "all members run", func() bool { return len(sim.runs) == gangMembers })
		sim.runUntil(sim.now + after)
		sim.newOwner()
		sim.waitFor(sim.now+30000, "the job has ended", sim.allEnded)
		quicktest.Assert(t, sim.jobState(jobID(1)), quicktest.Equals, fulmarjob.Completed, quicktest.Commentf("owner changed after %d ms", after))
	}
}

func TestGangIsNotPlacedAgainWhereOneMemberFailed(t *testing.T) {
	sim := newSimulation(t, gangMembers+1)
	sim.runBehavior = func(_ fulmarjob.TaskID, _ int64, e *fakeExecutor) (fulmarclock.Millis, bool) {
		if e.info.ID == "x-0" {
			return 50, true
		}
		return 500, false
	}
	sim.runUntil(1200)
	sim.submit(jobID(1), gangStep(1))
	sim.waitFor(sim.now+20000, "the job has ended", sim.allEnded)
	quicktest.Check(t, sim.jobState(jobID(1)), quicktest.Equals, fulmarjob.Completed)
	quicktest.Check(t, sim.failedRuns(), quicktest.HasLen, 1)
}
