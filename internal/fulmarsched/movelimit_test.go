package fulmarsched

import (
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

func TestMoveStopsNoTaskOnceOthersOfItsStepAreLost(t *testing.T) {
	moving, lost := fulmarjob.TaskID{Job: jobID(1)}, fulmarjob.TaskID{Job: jobID(1), Index: 1}
	for _, row := range []struct {
		name string
		// delay delays the stop after the move was decided, until the loss is known.
		delay func(sim *simulation)
	}{
		{"the store is down", func(sim *simulation) {
			sim.storeDown = true
			sim.runUntil(sim.now + 2500)
			sim.storeDown = false
		}},
		{"the owner changes", func(sim *simulation) {
			sim.waitFor(sim.now+3000, "the move is journaled", func() bool { return sim.scheduler.findTask(moving).movingJournaled })
			sim.newOwner()
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			sim := newSimulation(t, 5)
			sim.runBehavior = runsForever
			sim.appendDelay = func() fulmarclock.Millis { return 500 }
			sim.runUntil(1200)
			sim.submit(jobID(1), longRunningStep(3, 1))
			sim.waitFor(6000, "all tasks are available", func() bool { return sim.availableTasks(jobID(1)) == 3 })
			sim.runUntil(sim.now + 1500)
			vm := sim.executorRunning(moving).info.VM
			sim.scheduler.AddWave(sim.now, fulmarjob.Wave{Number: 1, VMs: []string{vm}, MaxDuration: 60 * fulmarclock.Second, MaxDown: 1})
			sim.waitFor(sim.now+3000, "the move is decided", func() bool { return sim.scheduler.findTask(moving).moving })
			sim.crashVM(sim.executorRunning(lost))
			row.delay(sim)
			sim.waitFor(sim.now+10000, "the lost task is available again", func() bool {
				quicktest.Assert(t, sim.availableTasks(jobID(1)) >= 2 || sim.counts["stops_beyond_limit"] == 0, quicktest.IsTrue, quicktest.Commentf("%d tasks are available at %d ms", sim.availableTasks(jobID(1)), sim.now))
				return sim.availableTasks(jobID(1)) == 3
			})
			sim.waitFor(60000, "the wave is completed", sim.waveCompleted)
		})
	}
}

func TestVMsThatHaveArrivedUnseenAreOverdue(t *testing.T) {
	sim := newSimulation(t, 3)
	confirm := func(vm, pool string, at fulmarclock.Millis) {
		sim.scheduler.moves[vm] = &vmMove{vm: vm, to: pool, journaled: true, confirmedAt: at}
	}
	const confirmedAt = 1000
	arrival := confirmedAt + testParameters.MoveDuration
	confirm("a", testService, confirmedAt)
	confirm("b", "parked", confirmedAt)
	for _, row := range []struct {
		name    string
		vm      string
		at      fulmarclock.Millis
		overdue bool
	}{
		{"one VM may start slowly, and one on standby has no executor", "", arrival + overdueArrival, false},
		{"still within the usual time", "c", arrival + overdueArrival - 1, false},
		{"two VMs", "c", arrival + overdueArrival, true},
		{"no longer expected", "c", arrival + arrivalGrace + 1, false},
	} {
		if row.vm != "" {
			confirm(row.vm, testService, confirmedAt)
		}
		sim.scheduler.now = row.at
		quicktest.Check(t, sim.scheduler.HasOverdueArrivals(), quicktest.Equals, row.overdue, quicktest.Commentf("%s", row.name))
	}
}

// A new owner that repeated each command first would miss these VMs for seconds in a burst.
func TestVMsOnStandbyServeNewOwner(t *testing.T) {
	sim := newSimulation(t, 6)
	sim.runBehavior = func(fulmarjob.TaskID, int64, *fakeExecutor) (fulmarclock.Millis, bool) {
		return 20 * fulmarclock.Second, false
	}
	sim.runUntil(4500)
	sim.scheduler.UpdateVMs(sim.now, sim.now, vmList(sim, 0))
	sim.waitFor(9000, "a VM is on standby", func() bool {
		return len(sim.moves) > 0 && sim.scheduler.moves[sim.moves[0].VM].finished
	})
	vm, before := sim.moves[0].VM, len(sim.moves)
	sim.newOwner()
	takenOver := sim.now
	listed := []fulmarjob.VM{{Name: vm, Pool: "parked", Up: true}}
	sim.scheduler.UpdateVMs(sim.now, sim.now, listed)
	sim.runUntil(sim.now + 300)
	quicktest.Check(t, sim.scheduler.isMoving(vm), quicktest.IsFalse)
	quicktest.Check(t, sim.journal[moveKeyPrefix+vm] != nil, quicktest.IsTrue, quicktest.Commentf("the next owner would not wait for the command"))
	for i := range 12 {
		sim.submit(jobID(i), step(4))
	}
	movedAt := fulmarclock.Millis(0)
	sim.waitFor(takenOver+testParameters.TakeoverDelay+2000, "the VM moves to the loaded pool", func() bool {
		movedAt = sim.now
		return len(sim.moves) > before && sim.moves[len(sim.moves)-1] == (MoveCommand{VM: vm, Pool: testService, Token: sim.scheduler.token})
	})
	quicktest.Check(t, movedAt > takenOver+testParameters.TakeoverDelay, quicktest.IsTrue)
	quicktest.Check(t, movedAt < takenOver+testParameters.TakeoverDelay+500, quicktest.IsTrue, quicktest.Commentf("%d ms after the change of the owner", movedAt-takenOver))
}
