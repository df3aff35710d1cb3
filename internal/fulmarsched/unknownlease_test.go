package fulmarsched

import (
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// captureRenewal returns a renewal with a deadline that an executor is sent.
func (s *simulation) captureRenewal() RenewCommand {
	s.t.Helper()
	var renewal RenewCommand
	s.commandDelay = func(int) fulmarclock.Millis { return 1 << 40 }
	s.loseNextResult(func(c Command) bool {
		r, found := c.(RenewCommand)
		if found && r.Deadline > 0 {
			renewal = r
		}
		return found && r.Deadline > 0
	})
	s.waitFor(s.now+5000, "a renewal is sent", func() bool { return renewal.Deadline > 0 })
	return renewal
}

// A lease that is longer than those of the present owner must have expired before a run there is repeated elsewhere.
func TestLeaseThatOwnerDidNotGrantIsWaitedFor(t *testing.T) {
	for _, row := range []struct {
		name   string
		forget func(sim *simulation, e *fakeExecutor)
	}{
		{"new owner", func(sim *simulation, _ *fakeExecutor) { sim.newOwner() }},
		{"entry missing for a moment", func(sim *simulation, e *fakeExecutor) {
			sim.scheduler.RemoveExecutor(sim.now, e.info.ID)
			sim.runUntil(sim.now + 100)
			e.list()
		}},
	} {
		for _, r := range []struct {
			name  string
			renew func(sim *simulation, e *fakeExecutor)
		}{
			{"no late order", func(sim *simulation, e *fakeExecutor) { sim.restartIn(e, 30) }},
			{"late renewal", restartBeforeRenewal},
			{"late renewal, clock that begins anywhere", func(sim *simulation, e *fakeExecutor) {
				e.clockOrigin = simulatedUptime / 2
				restartBeforeRenewal(sim, e)
			}},
		} {
			t.Run(row.name+"/"+r.name, func(t *testing.T) {
				sim := newReadySimulation(t, 2)
				sim.runsTake(500)
				sim.submit(jobID(1), step(1))
				sim.waitFor(sim.now+3000, "the task runs", func() bool { return sim.runningCount() == 1 })
				e := sim.executorOfRun(1)
				r.renew(sim, e)
				sim.waitFor(sim.now+20000, "the job is completed", sim.allCompleted)
				sim.runUntil(sim.now + 300)
				row.forget(sim, e)
				sim.runBehavior = func(_ fulmarjob.TaskID, _ int64, on *fakeExecutor) (fulmarclock.Millis, bool) {
					if on == e {
						return 20000, false
					}
					return 1000, false
				}
				sim.submit(jobID(2), step(8))
				sim.waitFor(sim.now+3000, "the tasks run", func() bool { return sim.runningCount() == 8 })
				sim.runUntil(sim.now + 300)
				e.unresponsive = true
				sim.runUntil(sim.now + 15000)
			})
		}
	}
}

// restartIn restarts an executor, which is down for a time.
func (s *simulation) restartIn(e *fakeExecutor, downtime fulmarclock.Millis) {
	e.crash()
	s.runUntil(s.now + downtime)
	e.restart()
}

// restartBeforeRenewal restarts an executor before it executes a renewal that it was sent.
func restartBeforeRenewal(s *simulation, e *fakeExecutor) {
	renewal := s.captureRenewal()
	e.crash()
	e.restartUnlisted(1100)
	s.runUntil(s.now + 1000)
	result, _ := e.renewLease(renewal)
	quicktest.Assert(s.t, result, quicktest.Equals, fulmarjob.ResultDone)
}
