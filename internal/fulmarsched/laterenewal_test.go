package fulmarsched

import (
	"fmt"
	"testing"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// leaveRoomOn leaves room for tasks on no executor but one.
func (s *simulation) leaveRoomOn(e *fakeExecutor) {
	for _, other := range s.executors {
		if other != e {
			s.resize(other, fulmarjob.Resources{})
		}
	}
}

// makeRoomBeside leaves room for tasks on all executors but one.
func (s *simulation) makeRoomBeside(e *fakeExecutor) {
	for _, other := range s.executors {
		if other != e {
			s.resize(other, roomFor(8))
		}
	}
}

// A renewal that a later incarnation executes late, after a start, must not give the run a longer lease than is waited for.
func TestLateRenewalAtLaterIncarnationExtendsNoLease(t *testing.T) {
	for _, isKnown := range []bool{false, true} {
		for _, lateBy := range []fulmarclock.Millis{4000, 6000, 9000} {
			t.Run(fmt.Sprintf("the owner knows the incarnation %v/%d ms late", isKnown, lateBy), func(t *testing.T) {
				sim := newReadySimulation(t, 3)
				sim.runsTake(60000)
				e := sim.executors[0]
				sim.leaveRoomOn(e)
				sim.submit(jobID(1), step(1))
				sim.waitFor(sim.now+3000, "the first task runs", func() bool { return sim.runningCount() == 1 })
				renewal := sim.captureRenewal()
				sentAt := sim.now
				sim.submit(jobID(2), step(1))
				sim.waitFor(sim.now+300, "the second task is placed", func() bool { return sim.batch != nil })
				e.crash()
				e.restartUnlisted(1 << 40)
				sim.waitFor(sim.now+300, "the second task runs", func() bool { return sim.runningCount() == 1 })
				if isKnown {
					known := sim.scheduler.executors[e.info.ID]
					sim.check = func() { e.unresponsive = known.info.Incarnation == e.info.Incarnation }
					sim.waitFor(sim.now+3000, "a report of the incarnation", func() bool { return e.unresponsive })
					sim.check = func() {}
				}
				e.unresponsive = true
				sim.makeRoomBeside(e)
				sim.runUntil(sentAt + lateBy)
				e.renewLease(renewal)
				sim.runUntil(sim.now + 30000)
				sim.checkRunsOnce()
			})
		}
	}
}

// As before, if the renewal had no response, but a later one did.
func TestLateRenewalBeforeAnsweredOneExtendsNoLease(t *testing.T) {
	sim := newReadySimulation(t, 3)
	sim.runsTake(60000)
	e := sim.executors[0]
	sim.leaveRoomOn(e)
	sim.submit(jobID(1), step(1))
	sim.waitFor(sim.now+3000, "the first task runs", func() bool { return sim.runningCount() == 1 })
	renewal := sim.captureRenewal()
	sentAt, known := sim.now, sim.scheduler.executors[e.info.ID]
	sim.waitFor(sim.now+5000, "a later renewal is answered", func() bool { return known.lastResultAt > sentAt+1000 && known.failedRenewals == 0 })
	sim.submit(jobID(2), step(1))
	sim.waitFor(sim.now+300, "the second task is placed", func() bool { return sim.batch != nil })
	e.crash()
	e.restartUnlisted(1 << 40)
	sim.waitFor(sim.now+300, "the second task runs", func() bool { return sim.runningCount() == 1 })
	e.unresponsive = true
	sim.makeRoomBeside(e)
	sim.runUntil(sentAt + 11000)
	e.renewLease(renewal)
	sim.runUntil(sim.now + 30000)
	sim.checkRunsOnce()
}
