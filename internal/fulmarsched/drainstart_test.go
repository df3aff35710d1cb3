package fulmarsched

import (
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// drain reports that the executor is about to leave.
func (e *fakeExecutor) drain() {
	e.info.Draining = true
	e.list()
}

// drainCases let an executor drain around the start of a task there.
var drainCases = []struct {
	name string
	// elsewhere is how many tasks must run on another executor.
	elsewhere int
	play      func(sim *simulation, e *fakeExecutor)
}{
	{"before the placement is journaled", 2, func(sim *simulation, e *fakeExecutor) {
		sim.appendDelay = func() fulmarclock.Millis { return 300 }
		sim.submit(jobID(1), step(2))
		sim.waitFor(sim.now+1000, "a task is placed", func() bool { return len(sim.scheduler.executors[e.info.ID].tasks) > 0 })
		e.drain()
	}},
	{"after a start without an answer", 2, func(sim *simulation, e *fakeExecutor) {
		e.unresponsive = true
		sim.submit(jobID(1), step(2))
		sim.runUntil(sim.now + 1500)
		e.drain()
		sim.runUntil(sim.now + 4000)
		e.unresponsive = false
	}},
	{"after a start without an answer that is executed late", 0, func(sim *simulation, e *fakeExecutor) {
		sim.commandDelay = func(int) fulmarclock.Millis { return 1200 }
		sim.loseNextResult(isStart)
		sim.submit(jobID(1), step(2))
		sim.runUntil(sim.now + 300)
		e.drain()
	}},
	{"after a refusal by a higher token", 2, func(sim *simulation, e *fakeExecutor) {
		e.token = 1 << 30
		sim.submit(jobID(1), step(2))
		sim.runUntil(sim.now + 100)
		e.drain()
		sim.runUntil(sim.now + 1000)
		e.token = 0
	}},
	{"and the owner changes", 2, func(sim *simulation, e *fakeExecutor) {
		e.unresponsive = true
		sim.submit(jobID(1), step(2))
		sim.runUntil(sim.now + 500)
		e.drain()
		sim.newOwner()
		sim.runUntil(sim.now + 2000)
		e.unresponsive = false
	}},
}

// A start must not be sent, or sent again, to an executor that drains, and its task must run elsewhere.
func TestStartIsNotSentToExecutorThatDrains(t *testing.T) {
	for _, c := range drainCases {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(t, 1)
			sim.runUntil(1200)
			e := sim.executors[0]
			c.play(sim, e)
			sim.addExecutor("x-9", "vm-9")
			sim.waitFor(sim.now+15000, "the job is completed", sim.allCompleted)
			quicktest.Check(t, countRunsAt(sim, "x-9") >= c.elsewhere, quicktest.IsTrue)
		})
	}
}

func countRunsAt(s *simulation, executor string) int {
	tasks := map[fulmarjob.TaskID]bool{}
	for _, r := range s.runs {
		if r.executor == executor {
			tasks[r.task] = true
		}
	}
	return len(tasks)
}
