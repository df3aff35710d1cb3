package fulmarsched

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// A lasting task that left a draining executor must not run beside a late start there after its restart under the same ID.
func TestLateStartOnRestartedDrainedExecutorDoesNotJoinLastingTask(t *testing.T) {
	for _, downtime := range []fulmarclock.Millis{20, 70, 1000} {
		t.Run(fmt.Sprintf("down for %d ms", downtime), func(t *testing.T) {
			sim := newReadySimulation(t, 2)
			sim.runBehavior = runsForever
			lost := sim.repeatAttempt(jobID(1), longRunningStep(1, 1))
			e := lost.target
			sim.runUntil(sim.now + 1000)
			e.drain()
			sim.runUntil(sim.now + 3000)
			e.crash()
			sim.at(sim.now+downtime, func() {
				e.info.Draining = false
				e.restartUnlisted(1000)
				lost.arrive()
			})
			sim.runUntil(sim.now + 3000)
		})
	}
}

// A lasting task must run again in time though its start is open at an executor that left before the owner changed.
func TestLastingTaskDoesNotWaitForExecutorThatNewOwnerNeverMet(t *testing.T) {
	sim := newReadySimulation(t, 2)
	sim.runBehavior = runsForever
	lost := sim.repeatAttempt(jobID(1), longRunningStep(1, 1))
	e := lost.target
	sim.runUntil(sim.now + 500)
	for _, other := range sim.executors {
		if other != e {
			sim.resize(other, fulmarjob.Resources{})
		}
	}
	task := fulmarjob.TaskID{Job: jobID(1)}
	e.info.Capacity = fulmarjob.Resources{}
	e.crash()
	e.restart()
	sim.waitFor(sim.now+4000, "the placement ends", func() bool { return sim.scheduler.findTask(task).state == taskWaiting })
	sim.runUntil(sim.now + 200)
	e.crash()
	sim.scheduler.RemoveExecutor(sim.now, e.info.ID)
	sim.newOwner()
	for _, other := range sim.executors {
		if other != e {
			sim.resize(other, roomFor(8))
		}
	}
	left := sim.now
	sim.waitFor(sim.now+60000, "the task runs again", func() bool { return len(sim.runs) == 2 })
	quicktest.Check(t, sim.now-left < 6000, quicktest.IsTrue, quicktest.Commentf("%d ms", sim.now-left))
}

// A lasting task must run again in time though the executor of its open start can't take it any more.
func TestLastingTaskDoesNotWaitForExecutorThatCannotTakeIt(t *testing.T) {
	for _, row := range []struct {
		name   string
		change func(e *fakeExecutor)
	}{
		{"other label", func(e *fakeExecutor) { e.info.Labels = nil; e.info.Capacity = fulmarjob.Resources{MilliCPU: 1} }},
		{"other service", func(e *fakeExecutor) { e.info.Service = "other" }},
	} {
		t.Run(row.name, func(t *testing.T) {
			sim := newReadySimulation(t, 2)
			sim.runBehavior = runsForever
			lost := sim.loseAttempt(jobID(1), longRunningStep(1, 1))
			e := lost.target
			e.crash()
			row.change(e)
			e.restart()
			crashed := sim.now
			sim.waitFor(sim.now+60000, "the task runs", func() bool { return len(sim.runs) == 1 })
			quicktest.Check(t, sim.now-crashed < 9000, quicktest.IsTrue, quicktest.Commentf("%d ms", sim.now-crashed))
		})
	}
}

// A start that is answered while its task is still placed must not count as over before a report shows the run.
func TestRunOfAnsweredStartIsNotRepeatedAfterStopByEarlierIncarnation(t *testing.T) {
	sim := newReadySimulation(t, 2)
	sim.runsTake(5000)
	lost := sim.loseAttempt(jobID(1), step(1))
	e := lost.target
	full := e.info.Capacity
	e.crash()
	e.info.Capacity = fulmarjob.Resources{}
	e.restart()
	task := sim.scheduler.findTask(lost.command.Start.Task)
	sim.waitFor(sim.now+4000, "the stop is confirmed", func() bool { return task.stopConfirmedAt > 0 })
	sim.now++
	report := sim.reportLate(e)
	e.crash()
	e.info.Capacity = full
	e.restartUnlisted(1000)
	quicktest.Assert(t, lost.arrive(), quicktest.Equals, fulmarjob.ResultDone)
	sim.scheduler.HandleStartResult(sim.now, lost.command, 1, fulmarjob.ResultDone)
	report()
	quicktest.Check(t, task.state, quicktest.Equals, taskWaiting)
	sim.runUntil(sim.now + 5000)
	sim.checkRunsOnce()
}

// A task whose run has failed must not wait for a long poll once its start is settled.
func TestFailedRunIsRepeatedSoonAfterItsStartIsSettled(t *testing.T) {
	for _, settledAfter := range []fulmarclock.Millis{100, 600} {
		t.Run(fmt.Sprintf("settled after %d ms", settledAfter), func(t *testing.T) {
			sim := newReadySimulation(t, 1)
			sim.longPolls = true
			sim.runBehavior = func(id fulmarjob.TaskID, run int64, _ *fakeExecutor) (fulmarclock.Millis, bool) {
				if id.Job == jobID(1) && run == 1 {
					return 300, true
				}
				return 1 << 40, false
			}
			sim.submit(jobID(2), step(1))
			sim.runUntil(sim.now + 1000)
			lost := sim.repeatAttempt(jobID(1), step(1))
			sim.runUntil(lost.sentAt + settledAfter)
			sim.scheduler.HandleStartSettled(sim.now, lost.command, fulmarjob.ResultDone)
			sim.waitFor(sim.now+20000, "the task runs again", func() bool { return len(sim.runs) == 3 })
			quicktest.Check(t, sim.now-lost.sentAt < max(settledAfter, 300)+500, quicktest.IsTrue, quicktest.Commentf("%d ms", sim.now-lost.sentAt))
		})
	}
}

// A new owner must not place a task beside a run whose stop the owner before had sent without an answer.
func TestStrayRunOutlivesOwnerThatSettledItsStart(t *testing.T) {
	sim := newReadySimulation(t, 2)
	sim.runsTake(20000)
	lost := sim.loseAttempt(jobID(1), step(1))
	e := lost.target
	full := e.info.Capacity
	e.crash()
	e.info.Capacity = fulmarjob.Resources{}
	e.restart()
	task := fulmarjob.TaskID{Job: jobID(1)}
	sim.waitFor(sim.now+4000, "the placement ends", func() bool { return sim.scheduler.findTask(task).state == taskWaiting })
	sim.runUntil(sim.now + 200)
	e.crash()
	e.info.Capacity = full
	e.restart()
	quicktest.Assert(t, lost.arrive(), quicktest.Equals, fulmarjob.ResultDone)
	sim.scheduler.HandleStartSettled(sim.now, lost.command, fulmarjob.ResultDone)
	sim.loseNextResult(func(c Command) bool { _, found := c.(StopCommand); return found })
	sim.waitFor(sim.now+2000, "the run is reported", func() bool { return sim.losesNext == nil })
	sim.runUntil(sim.now + 100)
	e.unresponsive = true
	sim.newOwner()
	sim.runUntil(sim.now + 500)
	e.unresponsive = false
	sim.runUntil(sim.now + 5000)
	sim.checkRunsOnce()
}

// The failure of a run that a late start has begun counts as one of the task's attempts, as its end is acknowledged.
func TestFailureOfLateRunCountsAsAttempt(t *testing.T) {
	sim := newReadySimulation(t, 2)
	sim.runBehavior = func(fulmarjob.TaskID, int64, *fakeExecutor) (fulmarclock.Millis, bool) { return 20, true }
	lost := sim.loseAttempt(jobID(1), step(1))
	e := lost.target
	full := e.info.Capacity
	e.crash()
	e.info.Capacity = fulmarjob.Resources{}
	e.restart()
	task := fulmarjob.TaskID{Job: jobID(1)}
	sim.waitFor(sim.now+4000, "the placement ends", func() bool { return sim.scheduler.findTask(task).state == taskWaiting })
	e.crash()
	e.info.Capacity = full
	e.restart()
	quicktest.Assert(t, lost.arrive(), quicktest.Equals, fulmarjob.ResultDone)
	sim.scheduler.HandleStartSettled(sim.now, lost.command, fulmarjob.ResultDone)
	attempts := sim.configuration.Queues[0].MaxAttempts
	sim.waitFor(sim.now+60000, "the job has failed", func() bool { return sim.jobState(jobID(1)) == fulmarjob.Failed })
	sim.runUntil(sim.now + 5000)
	failed := 0
	for _, r := range sim.runs {
		if r.outcome == fulmarjob.RunFailed {
			failed++
		}
	}
	quicktest.Check(t, e.finished, quicktest.HasLen, 0)
	quicktest.Check(t, failed, quicktest.Equals, attempts)
}
