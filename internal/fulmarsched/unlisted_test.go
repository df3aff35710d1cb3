package fulmarsched

import (
	"slices"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// The entry of an executor is missing while the executor runs and responds, and the first
// result of a command is lost. The command must be repeated: its task is bound to the
// executor as long as the lease is renewed.
func TestCommandsAreRepeatedAtUnlistedExecutor(t *testing.T) {
	t.Run("stop", func(t *testing.T) {
		sim := newSimulation(t, 1)
		sim.runBehavior = func(fulmarjob.TaskID, int64, *fakeExecutor) (fulmarclock.Millis, bool) { return 100000, false }
		sim.runUntil(1200)
		sim.submit(jobID(1), step(1))
		sim.waitFor(3000, "the task runs", func() bool { return len(sim.runs) == 1 })
		sim.runUntil(sim.now + 500)
		sim.scheduler.RemoveExecutor(sim.now, "x-0")
		sim.loseNextResult(func(c Command) bool { _, isStop := c.(StopCommand); return isStop })
		sim.scheduler.Cancel(sim.now, sim.unixMillis(), jobID(1))
		limit := sim.now + 2*(testParameters.StopTimeout+resendDelay) + 1000
		sim.waitFor(limit, "the run has ended", func() bool { return len(sim.executors[0].running) == 0 })
	})
	t.Run("start", func(t *testing.T) {
		sim := newSimulation(t, 1)
		sim.runUntil(1200)
		sim.loseNextResult(func(c Command) bool { _, isStart := c.(StartCommand); return isStart })
		sim.commandDelay = func(int) fulmarclock.Millis { return 1_000_000 }
		sim.submit(jobID(1), step(1))
		sim.waitFor(3000, "the start is sent", func() bool { return sim.lostCommands == 1 })
		sim.scheduler.RemoveExecutor(sim.now, "x-0")
		sim.waitFor(sim.now+startValidity+3000, "the job is completed", sim.allCompleted)
	})
}

// An executor has ended and left the store while one owner followed the other. The next owner
// knows it only from the journal, and must place nothing on it, at once or later.
func TestDepartedExecutorIsNotUsedAfterRestart(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.runUntil(1200)
	for i := range 4 {
		sim.submit(jobID(i), step(2))
	}
	sim.waitFor(3000, "both executors have run tasks", func() bool {
		return slices.ContainsFunc(sim.runs, func(r *taskRun) bool { return r.executor == "x-0" }) &&
			slices.ContainsFunc(sim.runs, func(r *taskRun) bool { return r.executor == "x-1" })
	})
	sim.executors[0].crash()
	sim.newOwner()
	departed := len(sim.runs)
	for i := range 4 {
		sim.submit(jobID(10+i), step(2))
	}
	sim.waitFor(60000, "all jobs are completed", sim.allCompleted)
	for _, r := range sim.runs[departed:] {
		quicktest.Check(t, r.executor, quicktest.Equals, "x-1")
	}
	for _, c := range sim.scheduler.TakeCommands() {
		start, isStart := c.(StartCommand)
		quicktest.Check(t, isStart && start.Target.ID == "x-0", quicktest.IsFalse)
	}
}
