package fulmarsched

import (
	"testing"

	"github.com/frankban/quicktest"
)

func TestLimitOfPlacementsCountsStartsThatAreNotSentYet(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.runUntil(1200)
	s := sim.scheduler
	s.TakeCommands()
	sim.submit(jobID(1), smallStep(20))
	gang := smallStep(4)
	gang.Gang = true
	sim.submit(jobID(2), gang)
	s.LimitPlacements(5)
	s.Committed(sim.now, s.Plan(sim.now, sim.unixMillis(), nil), sim.revision)
	s.LimitPlacements(5)
	quicktest.Assert(t, s.Plan(sim.now, sim.unixMillis(), nil).placedTasks, quicktest.HasLen, 0)
	s.TakeCommands()
	s.LimitPlacements(16)
	quicktest.Assert(t, s.Plan(sim.now, sim.unixMillis(), nil).placedTasks, quicktest.HasLen, 15+4)
}
