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
	// lastingTaskTimeout is how long a task that lasts may be without a run while there is capacity for it.
	lastingTaskTimeout = 9000 * fulmarclock.Millis(1)
)

// lose ends an executor without a word. The store deletes its entry after a time of silence.
func (s *simulation) lose(e *fakeExecutor, entryLeft fulmarclock.Millis) {
	e.crash()
	s.at(s.now+entryLeft, func() { s.scheduler.RemoveExecutor(s.now, e.info.ID) })
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
