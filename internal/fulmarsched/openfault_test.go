//go:build knownred

package fulmarsched

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// Ends must not be acknowledged while a start may follow them, though the executor lists only some of them.
func TestLateStartFollowsNoAcknowledgedEndOfShortList(t *testing.T) {
	playLateStartsUnderLoad(t, 4, 3)
}

// An acknowledgement that arrives after a restart must not delete the end of a run that a late start has begun there.
func TestAcknowledgementDeletesNoEndOfLateRun(t *testing.T) {
	for _, arrivesAfter := range []fulmarclock.Millis{300, 600} {
		t.Run(fmt.Sprintf("%d ms after the restart", arrivesAfter), func(t *testing.T) {
			sim := newReadySimulation(t, 1)
			first := sim.executors[0].info.Incarnation
			sim.runBehavior = func(id fulmarjob.TaskID, _ int64, e *fakeExecutor) (fulmarclock.Millis, bool) {
				if id.Job == jobID(1) && e.info.Incarnation == first {
					return 5000, false
				}
				return 100, false
			}
			lost := sim.repeatAttempt(jobID(1), step(1))
			e := lost.target
			sim.runUntil(sim.now + 500)
			var acknowledgement RenewCommand
			sim.loseNextResult(func(c Command) bool {
				if isAcknowledgement(c) {
					acknowledgement = c.(RenewCommand)
				}
				return isAcknowledgement(c)
			})
			sim.submit(jobID(2), step(1))
			sim.waitFor(sim.now+2000, "an acknowledgement is sent", func() bool { return acknowledgement.Acknowledged > 0 })
			e.restartHidden()
			sim.runUntil(sim.now + 50)
			quicktest.Assert(t, lost.arrive(), quicktest.Equals, fulmarjob.ResultDone)
			sim.runUntil(sim.now + arrivesAfter)
			e.renewLease(acknowledgement)
			e.unresponsive = false
			e.list()
			sim.checkRunsOnce()
		})
	}
}

// A renewal that is sent after a start must not give the run a longer lease than is waited for, executed late by a later
// incarnation.
func TestRenewalAfterStartExtendsNoLeaseAtLaterIncarnation(t *testing.T) {
	for _, lateBy := range []fulmarclock.Millis{4000, 6000, 9000} {
		t.Run(fmt.Sprintf("%d ms late", lateBy), func(t *testing.T) {
			sim := newReadySimulation(t, 2)
			sim.runsTake(60000)
			lost := sim.loseAttempt(jobID(1), step(1))
			e := lost.target
			renewal := sim.captureRenewal()
			e.restartHidden()
			quicktest.Assert(t, lost.arrive(), quicktest.Equals, fulmarjob.ResultDone)
			sim.scheduler.HandleStartResult(sim.now, lost.command, 1, fulmarjob.ResultDone)
			sim.runUntil(lost.sentAt + lateBy)
			result, _ := e.renewLease(renewal)
			quicktest.Assert(t, result, quicktest.Equals, fulmarjob.ResultDone)
			sim.runUntil(sim.now + 30000)
			sim.checkRunsOnce()
		})
	}
}

// A lasting task must not run beside a late start that its executor executes when it is back under its ID.
func TestLastingTaskWaitsForStartOfExecutorThatIsDown(t *testing.T) {
	for _, downtime := range []fulmarclock.Millis{600, 3000, 6000, 9000} {
		t.Run(fmt.Sprintf("down for %d ms", downtime), func(t *testing.T) {
			sim := newReadySimulation(t, 2)
			sim.listVMs()
			sim.runBehavior = runsForever
			lost := sim.loseAttempt(jobID(1), longRunningStep(1, 1))
			lost.target.crash()
			sim.runUntil(sim.now + downtime)
			lost.target.restartUnlisted(1000)
			quicktest.Assert(t, lost.arrive(), quicktest.Equals, fulmarjob.ResultDone)
			sim.runUntil(sim.now + 30000)
		})
	}
}
