package fulmarsched

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// advanceSlowly advances the simulation by a step in which the responses to renewals, which the
// executors execute at once, take a time.
func (s *simulation) advanceSlowly(latency fulmarclock.Millis) {
	s.now += simulationStep
	for _, e := range s.executors {
		if e.alive {
			e.endDueRuns()
		}
	}
	s.runEvents()
	s.scheduler.Tick(s.now, s.unixMillis())
	s.commit()
	for _, c := range s.scheduler.TakeCommands() {
		if r, ok := c.(RenewCommand); ok {
			s.renewSlowly(r, latency)
			continue
		}
		s.execute(c)
	}
}

// renewSlowly executes a renewal whose response takes a time.
func (s *simulation) renewSlowly(c RenewCommand, latency fulmarclock.Millis) {
	e, sent := s.executorOf(c.Target), s.now
	if !e.alive {
		s.execute(c)
		return
	}
	_, report := e.renewLease(c)
	s.at(s.now+latency, func() { s.scheduler.HandleRenewal(s.now, sent, c, report) })
}

func TestAcknowledgementAfterDelayedReportDeletesNoUnreadEnd(t *testing.T) {
	for _, latency := range []fulmarclock.Millis{300, 400, 600, 900} {
		t.Run(fmt.Sprintf("responses take %d ms", latency), func(t *testing.T) {
			sim := newSimulation(t, 1)
			sim.completeJobs(1, 6)
			sim.runsTake(20)
			sim.submit(jobID(2), step(1))
			e := sim.executors[0]
			advanceWhile := func(until func() bool) {
				for limit := sim.now + 30000; sim.now < limit && !until(); {
					sim.advanceSlowly(latency)
				}
			}
			advanceWhile(func() bool { return len(e.finished) > 0 })
			advanceWhile(func() bool {
				return e.finishedCount > 0 && sim.scheduler.executors["x-0"].renewalInFlight && sim.scheduler.executors["x-0"].renewalSentAt == sim.now
			})
			e.crash()
			sim.at(sim.now+250, func() { e.restartUnlisted(3000) })
			sim.at(sim.now+250+10, func() { sim.submit(jobID(3), step(2)) })
			end := sim.now + 20000
			advanceWhile(func() bool { return sim.now > end || len(sim.jobs) == 3 && sim.allCompleted() })
			quicktest.Check(t, sim.allCompleted(), quicktest.IsTrue)
		})
	}
}

func TestEntryWithoutStartTimeEndsNoRunsAndKeepsExecutorUsable(t *testing.T) {
	for _, longPolls := range []bool{false, true} {
		t.Run(fmt.Sprint("long polls ", longPolls), func(t *testing.T) {
			sim := newSimulation(t, 1)
			sim.longPolls = longPolls
			sim.runUntil(1200)
			sim.runsTake(3000)
			sim.submit(jobID(1), step(2))
			sim.waitFor(sim.now+1000, "the tasks run", func() bool { return len(sim.runs) == 2 })
			sim.runUntil(sim.now + 200)
			odd := sim.executors[0].entry
			odd.Incarnation = 0
			sim.scheduler.UpdateExecutor(sim.now, odd)
			sim.runUntil(sim.now + 300)
			sim.executors[0].list()
			sim.waitFor(sim.now+10000, "the job is completed", sim.allCompleted)
			quicktest.Assert(t, len(sim.runs), quicktest.Equals, 2)
		})
	}
}

func TestRestartIsNoticedAfterEntryWithoutStartTime(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.completeJobs(1, 1)
	sim.runsTake(900)
	for _, e := range sim.executors {
		odd := e.entry
		odd.Incarnation = 0
		sim.scheduler.UpdateExecutor(sim.now, odd)
	}
	sim.runUntil(sim.now + 300)
	sim.restartAll(1_000_000)
	sim.submit(jobID(2), step(4))
	sim.waitFor(sim.now+30000, "the job is completed", sim.allCompleted)
	quicktest.Check(t, sim.counts["repeated_runs"], quicktest.Equals, 0)
}

func TestReportFromBeforeMaintenanceDoesNotCountVMAsBack(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.completeJobs(1, 3)
	e := sim.executors[0]
	e.crash()
	e.restartUnlisted(1_000_000)
	sim.startWave(3, 1)
	var late []func()
	for len(sim.maintainedVMs) == 0 {
		sim.now += simulationStep
		sim.runEvents()
		sim.scheduler.Tick(sim.now, sim.unixMillis())
		sim.commit()
		for _, c := range sim.scheduler.TakeCommands() {
			if _, ok := c.(MaintenanceCommand); ok {
				late = append(late, sim.reportLate(e))
			}
			sim.execute(c)
		}
	}
	quicktest.Assert(t, sim.maintainedVMs[0], quicktest.Equals, e.info.VM)
	sim.at(sim.now+2*simulationStep, late[0])
	sim.runUntil(sim.now + testParameters.MaintenanceDuration - 500)
	quicktest.Assert(t, len(sim.maintainedVMs), quicktest.Equals, 1)
}

// reportLate has an executor report now, and returns a function that passes the report on.
func (s *simulation) reportLate(e *fakeExecutor) func() {
	c, sent := RenewCommand{Target: s.scheduler.executors[e.info.ID].target(), Token: s.scheduler.executors[e.info.ID].fence.token}, s.now
	_, report := e.renewLease(c)
	return func() { s.scheduler.HandleRenewal(s.now, sent, c, report) }
}
