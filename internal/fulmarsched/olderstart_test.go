package fulmarsched

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// A late start of a run must not be executed beside a newer run of its task, or after the acknowledged end of one.
func TestLateStartOfOlderRunNeitherJoinsNorFollowsNewerRun(t *testing.T) {
	for _, o := range openStartCases {
		for _, duration := range []fulmarclock.Millis{300, 9000} {
			for _, ownerChanges := range []int{0, 1} {
				t.Run(fmt.Sprintf("%s/runs of %d ms/%d changes of the owner", o.name, duration, ownerChanges), func(t *testing.T) {
					sim := newSimulation(t, 2)
					sim.runsTake(duration)
					e := sim.playLateStartOfOlderRun(o.begin, step(1), ownerChanges)
					sim.waitFor(sim.now+40000, "the job is completed", sim.allCompleted)
					sim.runUntil(sim.now + 2*lateExecutionBound)
					quicktest.Check(t, e.finished, quicktest.HasLen, 0)
				})
			}
		}
	}
}

// A task that lasts must not wait for a late start of its older run, but must not run beside it either.
func TestLateStartOfOlderRunDoesNotKeepLastingTaskAway(t *testing.T) {
	for _, o := range openStartCases {
		for _, ownerChanges := range []int{0, 1} {
			t.Run(fmt.Sprintf("%s/%d changes of the owner", o.name, ownerChanges), func(t *testing.T) {
				sim := newSimulation(t, 2)
				sim.runsTake(1 << 40)
				sim.playLateStartOfOlderRun(o.begin, longRunningStep(1, 1), ownerChanges)
				quicktest.Check(t, sim.runs[len(sim.runs)-2].number, quicktest.Equals, int64(2))
				sim.waitFor(sim.now+6000, "a newer run is on", func() bool {
					last := sim.runs[len(sim.runs)-1]
					return last.number > 2 && last.endedAt == 0
				})
			})
		}
	}
}

// playLateStartOfOlderRun restarts the executor of a task whose start is open, twice, the second time just before the
// start is executed late. It returns the executor.
func (s *simulation) playLateStartOfOlderRun(openStart func(*simulation), step fulmarjob.Step, ownerChanges int) *fakeExecutor {
	const lateBy = 6000
	s.commandDelay = func(int) fulmarclock.Millis { return lateBy }
	s.runUntil(1200)
	openStart(s)
	s.submit(jobID(1), step)
	s.waitFor(3000, "the first attempt is sent", func() bool { return s.repeatsNext == nil && s.losesNext == nil })
	lateAt := s.now + lateBy
	e := s.executorOf(s.scheduler.findTask(fulmarjob.TaskID{Job: jobID(1)}).executor.target())
	s.runUntil(s.now + 200)
	e.crash()
	e.restart()
	s.runUntil(s.now + 2500)
	s.changeOwner(ownerChanges)
	s.runUntil(lateAt - 500)
	e.crash()
	e.restartUnlisted(2000)
	e.unresponsive = true
	s.runUntil(lateAt + 100)
	e.unresponsive = false
	return e
}
