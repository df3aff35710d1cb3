package fulmarsched

import (
	"testing"

	"github.com/frankban/quicktest"
)

func TestOnlyAllowedExecutorsRunQueueWithPlacementAdvice(t *testing.T) {
	sim := newSimulation(t, 4)
	sim.adviceAllows = func(id string) bool { return id == "x-2" }
	sim.configuration.Queues[0].NeedsPlacementAdvice = true
	sim.runUntil(1200)
	sim.submit(jobID(1), step(6), step(2, 0))
	sim.submit(jobID(2), step(3))
	sim.waitFor(20000, "both jobs are completed", sim.allCompleted)
	for _, r := range sim.runs {
		quicktest.Assert(t, r.executor, quicktest.Equals, "x-2")
	}
	quicktest.Assert(t, len(sim.scheduler.advice), quicktest.Equals, 0)
}

func TestNewOwnerRequestsAdviceAgain(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.configuration.Queues[0].NeedsPlacementAdvice = true
	sim.runUntil(1200)
	sim.submit(jobID(1), step(2), step(2, 0))
	sim.waitFor(2000, "the job is stored", func() bool { return len(sim.journal) > 0 })
	sim.newOwner()
	sim.waitFor(20000, "the job is completed", sim.allCompleted)
}
