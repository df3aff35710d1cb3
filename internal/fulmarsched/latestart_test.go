package fulmarsched

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// openStartCases leave an attempt of a start under way.
var openStartCases = []struct {
	name  string
	begin func(sim *simulation)
}{
	{"another attempt is answered", func(sim *simulation) { sim.repeatsNext = isStart }},
	{"no attempt is answered, the start is sent again", func(sim *simulation) { sim.loseNextResult(isStart) }},
}

// ownerChangeCases change the owner between a start and a restart of its executor.
var ownerChangeCases = []struct {
	name         string
	beforeEnd    int
	afterEnd     int
	afterRestart int
}{
	{name: "same owner"},
	{name: "new owner while the run is on", beforeEnd: 1},
	{name: "two new owners while the run is on", beforeEnd: 2},
	{name: "new owner once the end is read", afterEnd: 1},
	{name: "new owner while the run is on and another one once the end is read", beforeEnd: 1, afterEnd: 1},
	{name: "new owner after the restart", afterRestart: 1},
	{name: "new owners at each point", beforeEnd: 1, afterEnd: 1, afterRestart: 1},
}

// A start that arrives late, after a restart of its executor, must not follow an acknowledged end.
func TestLateStartFollowsNoAcknowledgedEnd(t *testing.T) {
	for _, o := range openStartCases {
		for _, c := range ownerChangeCases {
			for _, lateBy := range []fulmarclock.Millis{4000, 12500} {
				t.Run(fmt.Sprintf("%s/%s/%d ms late", o.name, c.name, lateBy), func(t *testing.T) {
					sim := newSimulation(t, 1)
					sim.runsTake(1800)
					sim.commandDelay = func(int) fulmarclock.Millis { return lateBy }
					sim.runUntil(1200)
					o.begin(sim)
					sim.submit(jobID(1), step(1))
					sim.waitFor(3000, "the first attempt is sent", func() bool { return sim.repeatsNext == nil && sim.losesNext == nil })
					lateAt := sim.now + lateBy
					sim.waitFor(4000, "the task runs", func() bool { return sim.runningCount() == 1 })
					sim.runUntil(sim.now + 500)
					sim.changeOwner(c.beforeEnd)
					sim.waitFor(sim.now+3000, "the job is completed", sim.allCompleted)
					sim.runUntil(sim.now + 300)
					sim.changeOwner(c.afterEnd)
					sim.runUntil(lateAt - 500)
					e := sim.executors[0]
					e.crash()
					e.restartUnlisted(2000)
					e.unresponsive = true
					sim.changeOwner(c.afterRestart)
					sim.waitFor(lateAt+100, "the late start is executed", func() bool { return len(sim.runs) == 2 })
					e.unresponsive = false
					sim.runUntil(sim.now + 3*lateExecutionBound)
					quicktest.Check(t, sim.jobState(jobID(1)), quicktest.Equals, fulmarjob.Completed)
					quicktest.Check(t, e.finished, quicktest.HasLen, 0)
					quicktest.Check(t, sim.runs, quicktest.HasLen, 2)
				})
			}
		}
	}
}

// changeOwner replaces the owner a number of times, at intervals of 100 ms.
func (s *simulation) changeOwner(times int) {
	for range times {
		s.newOwner()
		s.runUntil(s.now + 100)
	}
}
