//go:build knownred

package fulmarsched

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// lateStartSimulation is a simulation of an executor with room for four tasks, on which the task of job 1 is done while
// an attempt of its start is open.
type lateStartSimulation struct {
	*simulation
	lost lostAttempt
}

func newLateStartSimulation(t *testing.T) lateStartSimulation {
	sim := newReadySimulation(t, 1)
	sim.withoutAdmissionControl = true
	lost := sim.repeatAttempt(jobID(1), step(1))
	sim.waitFor(sim.now+5000, "job 1 is completed", sim.allCompleted)
	sim.runUntil(sim.now + 500)
	sim.runsTake(2000)
	return lateStartSimulation{sim, lost}
}

// fill submits a job that takes all of the executor and waits until a start is executed.
func (s lateStartSimulation) fill() {
	s.submit(jobID(2), step(4))
	started := len(s.runs)
	s.waitFor(s.now+3000, "starts are executed", func() bool { return len(s.runs) > started })
}

// restartUnknown starts a new incarnation, of which the owner hears first by a report.
func (s lateStartSimulation) restartUnknown() {
	s.lost.target.crash()
	s.lost.target.restartUnlisted(2000)
}

// A late start of a run that is done must fit beside the runs that the next incarnation of its executor has begun.
func TestLateStartOfRemovedRunFitsBesideNewerRuns(t *testing.T) {
	for _, row := range []struct {
		name         string
		ownerChanges int
		arrivesFirst bool
	}{{"after the newer runs", 0, false}, {"before the newer runs", 0, true}, {"before those of a new owner", 1, true}, {"before those of a second new owner", 2, true}} {
		for _, lateBy := range []fulmarclock.Millis{3000, 8000, lateExecutionBound - 200} {
			t.Run(fmt.Sprintf("%s/%d ms late", row.name, lateBy), func(t *testing.T) {
				sim := newLateStartSimulation(t)
				sim.changeOwner(row.ownerChanges)
				sim.runUntil(sim.lost.sentAt + lateBy)
				sim.restartUnknown()
				if row.arrivesFirst {
					quicktest.Assert(t, sim.lost.arrive(), quicktest.Equals, fulmarjob.ResultDone)
				}
				sim.fill()
				if !row.arrivesFirst {
					quicktest.Assert(t, sim.lost.arrive(), quicktest.Equals, fulmarjob.ResultDone)
				}
				sim.runUntil(sim.now + 20000)
				sim.checkRunsOnce()
			})
		}
	}
}
