package fulmarsched

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// A late start of a run that a newer one has replaced must not be executed beside the newer one, or after its
// acknowledged end.
func TestLateStartOfOlderRunNeitherJoinsNorFollowsNewerRun(t *testing.T) {
	for _, o := range openStartCases {
		for _, duration := range []fulmarclock.Millis{300, 9000} {
			for _, ownerChanges := range []int{0, 1} {
				t.Run(fmt.Sprintf("%s/runs of %d ms/%d changes of the owner", o.name, duration, ownerChanges), func(t *testing.T) {
					sim := newSimulation(t, 2)
					playLateStartOfOlderRun(sim, o.begin, duration, ownerChanges)
				})
			}
		}
	}
}

// playLateStartOfOlderRun restarts the executor of a task whose start is open, and once more when a newer run of the
// task is on or done, just before the start is executed late.
func playLateStartOfOlderRun(sim *simulation, openStart func(*simulation), duration fulmarclock.Millis, ownerChanges int) {
	const lateBy = 6000
	sim.runsTake(duration)
	sim.commandDelay = func(int) fulmarclock.Millis { return lateBy }
	sim.runUntil(1200)
	openStart(sim)
	sim.submit(jobID(1), step(1))
	sim.waitFor(3000, "the first attempt is sent", func() bool { return sim.repeatsNext == nil && sim.losesNext == nil })
	lateAt := sim.now + lateBy
	task := sim.scheduler.findTask(fulmarjob.TaskID{Job: jobID(1)})
	e := sim.executorOf(task.executor.target())
	sim.runUntil(sim.now + 200)
	e.crash()
	e.restart()
	sim.waitFor(lateAt-1000, "a newer run starts", func() bool { return len(sim.runs) > 0 && sim.runs[len(sim.runs)-1].number > 1 })
	sim.runUntil(sim.now + 1000)
	sim.changeOwner(ownerChanges)
	sim.runUntil(lateAt - 500)
	e.crash()
	e.restartUnlisted(2000)
	e.unresponsive = true
	sim.runUntil(lateAt + 100)
	e.unresponsive = false
	sim.waitFor(sim.now+40000, "the job is completed", sim.allCompleted)
	sim.runUntil(sim.now + 2*lateExecutionBound)
	quicktest.Check(sim.t, e.finished, quicktest.HasLen, 0)
}
