package fulmarsched

import (
	"fmt"
	"slices"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

func runsForever(fulmarjob.TaskID, int64, *fakeExecutor) (fulmarclock.Millis, bool) {
	return 1000 * fulmarclock.Second, false
}

// availableTasks returns the number of a job's runs that have been running for 300 ms and are not
// being stopped.
func (s *simulation) availableTasks(job string) int {
	count := 0
	for _, e := range s.executors {
		for id, r := range e.running {
			if id.Job == job && s.now >= r.startedAt+300 && !r.stopping {
				count++
			}
		}
	}
	return count
}

func (s *simulation) startWave(vms, maxDown int) {
	request := fulmarjob.Wave{Number: 1, MaxDuration: 60 * fulmarclock.Second, MaxDown: maxDown}
	for i := range vms {
		request.VMs = append(request.VMs, fmt.Sprintf("vm-%d", i))
	}
	s.scheduler.AddWave(s.now, request)
}

func (s *simulation) waveCompleted() bool {
	for _, r := range s.waveReports {
		if r.Completed {
			return true
		}
	}
	return false
}

func TestWaveKeepsLongRunningTasksAvailable(t *testing.T) {
	sim := newSimulation(t, 5)
	sim.runBehavior = runsForever
	sim.runUntil(1200)
	sim.submit(jobID(1), longRunningStep(3, 1))
	sim.waitFor(4000, "all tasks are available", func() bool { return sim.availableTasks(jobID(1)) == 3 })
	sim.startWave(5, 2)
	minAvailable := 3
	sim.waitFor(60000, "the wave is completed", func() bool {
		minAvailable = min(minAvailable, sim.availableTasks(jobID(1)))
		return sim.waveCompleted()
	})
	quicktest.Assert(t, minAvailable >= 2, quicktest.IsTrue)
	quicktest.Assert(t, len(sim.maintainedVMs) >= 5, quicktest.IsTrue)
}

// stoppingButAvailable returns a task that the scheduler counts as available although its run is
// being stopped.
func (s *simulation) stoppingButAvailable() (fulmarjob.TaskID, bool) {
	for _, e := range s.executors {
		for id, r := range e.running {
			t := s.scheduler.findTask(id)
			if r.stopping && t != nil && t.run == r.number && t.isAvailable() {
				return id, true
			}
		}
	}
	return fulmarjob.TaskID{}, false
}

// The owner is killed at each step of a wave. The next owner must know which tasks are being
// stopped, although their executors still report them as running.
func TestTasksStayAvailableWhenOwnerIsKilledDuringWave(t *testing.T) {
	for after := simulationStep; after < 1500; after += simulationStep {
		sim := newSimulation(t, 5)
		sim.runBehavior = runsForever
		sim.runUntil(1200)
		sim.submit(jobID(1), longRunningStep(3, 1))
		sim.waitFor(4000, "all tasks are available", func() bool { return sim.availableTasks(jobID(1)) == 3 })
		request := fulmarjob.Wave{Number: 1, MaxDuration: 60 * fulmarclock.Second, MaxDown: 3}
		for _, r := range sim.runs {
			request.VMs = append(request.VMs, sim.executorOf(Target{ID: r.executor}).info.VM)
		}
		sim.scheduler.AddWave(sim.now, request)
		sim.runUntil(sim.now + after)
		sim.newOwner()
		sim.check = func() {
			if id, found := sim.stoppingButAvailable(); found {
				t.Fatalf("killed %d ms after the wave was added: %v is being stopped but counts as available at %d ms", after, id, sim.now)
			}
		}
		for sim.now < 9000 {
			sim.advance()
			if n := sim.availableTasks(jobID(1)); n < 2 {
				t.Fatalf("killed %d ms after the wave was added: %d tasks are available at %d ms", after, n, sim.now)
			}
		}
	}
}

func TestWaveContinuesUnderNewOwner(t *testing.T) {
	sim := newSimulation(t, 4)
	sim.runUntil(1200)
	sim.startWave(4, 1)
	sim.waitFor(20000, "the first VM is in maintenance", func() bool { return len(sim.maintainedVMs) == 1 })
	sim.newOwner()
	sim.waitFor(90000, "the wave is completed", sim.waveCompleted)
	maintained := map[string]bool{}
	for _, vm := range sim.maintainedVMs {
		maintained[vm] = true
	}
	quicktest.Assert(t, len(maintained), quicktest.Equals, 4)
}

// A VM that was chosen for maintenance crashes and returns with another executor, which must be
// drained too.
func TestMaintenanceWaitsForEveryIncarnationOnItsVM(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.runBehavior = runsForever
	sim.runUntil(1200)
	sim.submit(jobID(1), longRunningStep(1, 0))
	sim.waitFor(4000, "the task is available", func() bool { return sim.availableTasks(jobID(1)) == 1 })
	executor := sim.executorOf(Target{ID: sim.runs[0].executor})
	sim.runUntil(6000)
	sim.scheduler.AddWave(sim.now, fulmarjob.Wave{Number: 1, VMs: []string{executor.info.VM}, MaxDuration: 60 * fulmarclock.Second, MaxDown: 1})
	sim.runUntil(sim.now + 500)
	executor.crash()
	sim.runUntil(sim.now + 300)
	sim.addExecutor("x-back", executor.info.VM)
	sim.waitFor(60000, "the wave is completed", sim.waveCompleted)
}

// An executor that misses one renewal may still run its task, but the task's state is unknown, so
// it counts as unavailable.
func TestTaskOfUnknownStateCountsAsUnavailable(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.runBehavior = runsForever
	sim.runUntil(1200)
	sim.submit(jobID(1), longRunningStep(2, 1))
	sim.waitFor(4000, "all tasks are available", func() bool { return sim.availableTasks(jobID(1)) == 2 })
	for _, e := range sim.scheduler.executors {
		if len(e.tasks) > 0 {
			e.failedRenewals = 1
		}
	}
	for _, e := range sim.scheduler.executors {
		for _, task := range e.tasks {
			quicktest.Assert(t, sim.scheduler.mayInterrupt(task), quicktest.IsFalse)
		}
	}
}

func vmList(sim *simulation, standby int) []fulmarjob.VM {
	var vms []fulmarjob.VM
	for _, e := range sim.executors {
		if e.alive {
			vms = append(vms, fulmarjob.VM{Name: e.info.VM, Pool: testService, Up: true})
		}
	}
	for i := range standby {
		vms = append(vms, fulmarjob.VM{Name: fmt.Sprintf("spare-%d", i), Pool: "parked", Up: true})
	}
	return vms
}

func TestStandbyVMsMoveToLoadedPool(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.runUntil(4500)
	sim.scheduler.UpdateVMs(sim.now, sim.now, vmList(sim, 4))
	for i := range 12 {
		sim.submit(jobID(i), step(4))
	}
	sim.waitFor(6000, "VMs move to the pool", func() bool { return len(sim.moves) >= 2 })
	for _, m := range sim.moves {
		quicktest.Assert(t, m.Pool, quicktest.Equals, testService)
	}
}

func TestIdleVMsMoveToStandbyDownToMinimum(t *testing.T) {
	sim := newSimulation(t, 6)
	sim.runUntil(4500)
	sim.scheduler.UpdateVMs(sim.now, sim.now, vmList(sim, 0))
	sim.runUntil(12000)
	quicktest.Assert(t, len(sim.moves), quicktest.Equals, 3)
	for _, m := range sim.moves {
		quicktest.Assert(t, m.Pool, quicktest.Equals, "parked")
	}
}

// The store lists an executor for a while after its VM has moved.
func TestExecutorOfMovedVMGetsNoTasks(t *testing.T) {
	sim := newSimulation(t, 4)
	sim.runUntil(4500)
	sim.scheduler.UpdateVMs(sim.now, sim.now, vmList(sim, 0))
	sim.waitFor(9000, "a VM moves to standby", func() bool { return len(sim.moves) == 1 })
	sim.runUntil(sim.now + 100)
	for i := range 8 {
		sim.submit(jobID(i), step(2))
	}
	sim.waitFor(sim.now+5000, "all jobs are completed", sim.allCompleted)
	moved := sim.moves[0].VM
	for _, e := range sim.scheduler.executors {
		quicktest.Assert(t, e.info.VM == moved && len(e.tasks) > 0, quicktest.IsFalse)
	}
}

func TestDurationModelFollowsRunsOverPoorDeclarations(t *testing.T) {
	random := newRandomSource(7)
	var f durationModel
	for range 300 {
		declared := fulmarclock.Millis(100 + random.intN(3000))
		f.observe(declared, fulmarclock.Millis(700+random.intN(200)))
	}
	for _, declared := range []fulmarclock.Millis{150, 800, 3000} {
		expected := f.predict(declared)
		quicktest.Assert(t, expected > 600 && expected < 1000, quicktest.IsTrue, quicktest.Commentf("predicted %d ms, declared %d ms", expected, declared))
	}
}

func TestDurationModelKeepsGoodDeclarations(t *testing.T) {
	random := newRandomSource(8)
	var f durationModel
	for range 300 {
		took := fulmarclock.Millis(200 + random.intN(4000))
		f.observe(took+took/10, took)
	}
	expected := f.predict(2200)
	quicktest.Assert(t, expected > 1800 && expected < 2200, quicktest.IsTrue, quicktest.Commentf("%d", expected))
}

// Work of steps that can't start yet must not keep VMs from other pools.
func TestLaterStepsNeedNoExtraVMs(t *testing.T) {
	sim := newSimulation(t, 1)
	now := &poolSummary{executors: 10, listedCapacity: fulmarjob.Resources{MilliCPU: 160000}, used: fulmarjob.Resources{MilliCPU: 100000}}
	later := *now
	later.backlog = 3 * 100000 * 900
	due := later
	due.readyBacklog, due.readyCPU = due.backlog, 300000
	quicktest.Assert(t, sim.scheduler.neededVMs(&later), quicktest.Equals, sim.scheduler.neededVMs(now))
	quicktest.Assert(t, sim.scheduler.neededVMs(&due) > sim.scheduler.neededVMs(now), quicktest.IsTrue)
}

// Six tasks that need an executor each keep six VMs in the pool.
func TestMaxPerExecutorKeepsEnoughVMs(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.runBehavior = runsForever
	sim.runUntil(4500)
	sim.scheduler.UpdateVMs(sim.now, sim.now, vmList(sim, 6))
	sim.submit(jobID(1), longRunningStep(6, 1))
	sim.waitFor(20000, "all tasks are available", func() bool { return sim.availableTasks(jobID(1)) == 6 })
}

func TestLongRunningTasksLeaveDrainingExecutor(t *testing.T) {
	sim := newSimulation(t, 4)
	sim.runBehavior = runsForever
	sim.runUntil(1200)
	sim.submit(jobID(1), longRunningStep(3, 1))
	sim.waitFor(4000, "all tasks are available", func() bool { return sim.availableTasks(jobID(1)) == 3 })
	executor := sim.executorOf(Target{ID: sim.runs[0].executor})
	draining := executor.info
	draining.Draining = true
	sim.scheduler.UpdateExecutor(sim.now, draining)
	minAvailable := 3
	sim.waitFor(8000, "the task is available on another executor", func() bool {
		minAvailable = min(minAvailable, sim.availableTasks(jobID(1)))
		return len(executor.running) == 0 && sim.availableTasks(jobID(1)) == 3
	})
	quicktest.Assert(t, minAvailable, quicktest.Equals, 2)
}

// When a long-running task was moved off a VM, its end must be in the journal before the VM goes
// down. Otherwise the next owner waits for a lease that ended with the VM.
func TestMaintenanceWaitsForJournal(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.runBehavior = runsForever
	sim.runUntil(1200)
	sim.submit(jobID(1), longRunningStep(1, 1))
	sim.waitFor(4000, "the task is available", func() bool { return sim.availableTasks(jobID(1)) == 1 })
	executor := sim.executorOf(Target{ID: sim.runs[0].executor})
	sim.runUntil(6000)
	sim.scheduler.AddWave(sim.now, fulmarjob.Wave{Number: 1, VMs: []string{executor.info.VM}, MaxDuration: 60 * fulmarclock.Second, MaxDown: 1})
	sim.waitFor(sim.now+1000, "the task is being stopped", func() bool {
		return slices.ContainsFunc(executor.sortedRuns(), func(r *fakeRun) bool { return r.stopping })
	})
	sim.storeDown = true
	sim.runUntil(sim.now + 3000)
	quicktest.Assert(t, sim.maintainedVMs, quicktest.HasLen, 0)
	sim.storeDown = false
	sim.newOwner()
	sim.waitFor(sim.now+2500, "the task is available on another executor", func() bool { return sim.availableTasks(jobID(1)) == 1 })
}

// A VM that returns with another executor no longer runs the tasks of the previous one. A new
// owner that never saw the previous executor must know that too.
func TestLaterIncarnationReleasesTasksOfItsVMForNewOwner(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.runBehavior = runsForever
	sim.runUntil(1200)
	sim.submit(jobID(1), longRunningStep(1, 1))
	sim.waitFor(4000, "the task is available", func() bool { return sim.availableTasks(jobID(1)) == 1 })
	executor := sim.executorOf(Target{ID: sim.runs[0].executor})
	executor.crash()
	sim.newOwner()
	sim.runUntil(sim.now + 500)
	sim.addExecutor("x-back", executor.info.VM)
	sim.waitFor(sim.now+2500, "the task is available again", func() bool { return sim.availableTasks(jobID(1)) == 1 })
}

// The platform confirms maintenance that it already did for the previous owner. The VM's present
// executor started after that maintenance and must stay usable.
func TestMaintenanceDoneForPreviousOwnerRetiresNothing(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.runUntil(6000)
	sim.scheduler.AddWave(sim.now, fulmarjob.Wave{Number: 1, VMs: []string{"vm-0"}, MaxDuration: 60 * fulmarclock.Second, MaxDown: 1})
	sim.waitFor(sim.now+1000, "the maintenance is requested", func() bool { return len(sim.maintainedVMs) == 1 })
	sim.storeDown = true
	sim.runUntil(sim.now + testParameters.MaintenanceDuration + 500)
	sim.storeDown = false
	sim.newOwner()
	sim.waitFor(sim.now+8000, "the VM is back", func() bool { return sim.scheduler.waves[1].vms[0].done })
	for _, e := range sim.scheduler.allExecutors() {
		quicktest.Check(t, e.isSchedulable(sim.now), quicktest.IsTrue, quicktest.Commentf("%s on %s", e.info.ID, e.info.VM))
	}
	quicktest.Assert(t, len(sim.scheduler.executors), quicktest.Equals, 3)
}

// The platform confirms no command to move an idle VM, and carries the last ones out late. The
// scheduler gives the move up, but must not place a task on the VM while a command may follow.
func TestAbandonedMoveEndsNoTask(t *testing.T) {
	const never, late = fulmarclock.Millis(1_000_000), fulmarclock.Millis(2000)
	sim := newSimulation(t, 4)
	sim.runBehavior = runsForever
	sim.moveDelay = never
	sim.runUntil(4500)
	sim.scheduler.UpdateVMs(sim.now, sim.now, vmList(sim, 0))
	sim.waitFor(9000, "a VM is to move to standby", func() bool { return len(sim.moves) == 1 })
	chosen := sim.now
	sim.submit(jobID(1), longRunningStep(4, 1))
	sim.runUntil(chosen + moveTimeout - commandRetryInterval - 100)
	sim.moveDelay = late
	sim.runUntil(chosen + moveTimeout + late + testParameters.MoveDuration + 5000)
}

func TestMovesWithoutResultDoNotPileUp(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.moveDelay = 1_000_000
	sim.runUntil(4500)
	sim.scheduler.UpdateVMs(sim.now, sim.now, vmList(sim, 60))
	most := 0
	sim.check = func() { most = max(most, sim.movesInFlight) }
	for i := range 60 {
		sim.submit(jobID(i), step(4))
		sim.runUntil(sim.now + 50)
	}
	quicktest.Check(t, len(sim.moves) > maxMovesInFlight, quicktest.IsTrue)
	quicktest.Check(t, most <= maxMovesInFlight, quicktest.IsTrue, quicktest.Commentf("%d moves in flight", most))
}
