package fulmarsched

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// The start of a newer run must not be sent once the executor of an older one is back with its end.
func TestStartOfNewerRunIsNotSentOnceOlderOneIsDone(t *testing.T) {
	for _, ownerChanges := range []int{0, 1} {
		t.Run(fmt.Sprintf("%d changes of the owner", ownerChanges), func(t *testing.T) {
			sim := newSimulation(t, 2)
			sim.runsTake(300)
			sim.runUntil(1200)
			sim.submit(jobID(1), step(1))
			sim.waitFor(3000, "the task runs", func() bool { return sim.runningCount() == 1 })
			e := sim.executorOfRun(1)
			e.unresponsive = true
			sim.appendDelay = func() fulmarclock.Millis { return 3000 }
			task := fulmarjob.TaskID{Job: jobID(1)}
			isPlacedAgain := func() bool { return sim.scheduler.findTask(task).run == 2 && sim.batch != nil }
			sim.waitFor(60000, "the task is placed again", isPlacedAgain)
			quicktest.Assert(t, sim.runs, quicktest.HasLen, 1)
			if ownerChanges > 0 {
				sim.applyBatch(sim.batch)
				sim.newOwner()
			}
			e.unresponsive = false
			sim.waitFor(sim.now+20000, "the job is completed", sim.allCompleted)
			sim.runUntil(sim.now + lateExecutionBound + 2000)
			quicktest.Check(t, sim.runs, quicktest.HasLen, 1)
			quicktest.Check(t, e.finished, quicktest.HasLen, 0)
		})
	}
}
