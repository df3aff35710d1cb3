package fulmarsched

import (
	"fmt"
	"slices"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

func endless(fulmarjob.TaskID, int64, *playedExecutor) (fulmarclock.Millis, bool) {
	return 1000 * fulmarclock.Second, false
}

// atWork counts the runs of a job that serve at the present time.
func (w *world) atWork(job string) int {
	n := 0
	for _, e := range w.executors {
		for id, r := range e.running {
			if id.Job == job && w.now >= r.began+300 && !r.stopping {
				n++
			}
		}
	}
	return n
}

func (w *world) seeWave(vms, maxDown int) {
	request := fulmarjob.Wave{Number: 1, Within: 60 * fulmarclock.Second, MaxDown: maxDown}
	for i := range vms {
		request.VMs = append(request.VMs, fmt.Sprintf("vm-%d", i))
	}
	w.scheduler.AddWave(w.now, request)
}

func (w *world) waveCompleted() bool {
	for _, r := range w.reports {
		if r.Completed {
			return true
		}
	}
	return false
}

func TestAWaveKeepsTheAvailabilityOfLastingTasks(t *testing.T) {
	w := newWorld(t, 5)
	w.behave = endless
	w.play(1200)
	w.submit(jobID(1), lasting(3, 1))
	w.playUntil(4000, "all tasks serve", func() bool { return w.atWork(jobID(1)) == 3 })
	w.seeWave(5, 2)
	least := 3
	w.playUntil(60000, "the wave is completed", func() bool {
		least = min(least, w.atWork(jobID(1)))
		return w.waveCompleted()
	})
	quicktest.Assert(t, least >= 2, quicktest.IsTrue)
	quicktest.Assert(t, len(w.upkeeps) >= 5, quicktest.IsTrue)
}

// wronglyAtWork returns a task that is being stopped and counts as at work.
func (w *world) wronglyAtWork() (fulmarjob.TaskID, bool) {
	for _, e := range w.executors {
		for id, r := range e.running {
			t := w.scheduler.taskOf(id)
			if r.stopping && t != nil && t.run == r.number && t.isAtWork() {
				return id, true
			}
		}
	}
	return fulmarjob.TaskID{}, false
}

// The owner is killed at each step of a wave: the next one must know which tasks
// are being stopped, though their executors still list them as they were.
func TestAvailabilityHoldsWhenTheOwnerIsKilledInAWave(t *testing.T) {
	for after := worldStep; after < 1500; after += worldStep {
		w := newWorld(t, 5)
		w.behave = endless
		w.play(1200)
		w.submit(jobID(1), lasting(3, 1))
		w.playUntil(4000, "all tasks serve", func() bool { return w.atWork(jobID(1)) == 3 })
		request := fulmarjob.Wave{Number: 1, Within: 60 * fulmarclock.Second, MaxDown: 3}
		for _, r := range w.runs {
			request.VMs = append(request.VMs, w.find(Target{ID: r.executor}).info.VM)
		}
		w.scheduler.AddWave(w.now, request)
		w.play(w.now + after)
		w.newOwner()
		w.inspect = func() {
			if id, found := w.wronglyAtWork(); found {
				t.Fatalf("killed %d ms after the wave was seen: %v is being stopped and counts as at work at %d ms", after, id, w.now)
			}
		}
		for w.now < 9000 {
			w.step()
			if n := w.atWork(jobID(1)); n < 2 {
				t.Fatalf("killed %d ms after the wave was seen: %d tasks serve at %d ms", after, n, w.now)
			}
		}
	}
}

func TestAWaveGoesOnUnderAnotherOwner(t *testing.T) {
	w := newWorld(t, 4)
	w.play(1200)
	w.seeWave(4, 1)
	w.playUntil(20000, "the first upkeep", func() bool { return len(w.upkeeps) == 1 })
	w.newOwner()
	w.playUntil(90000, "the wave is completed", w.waveCompleted)
	down := map[string]bool{}
	for _, vm := range w.upkeeps {
		down[vm] = true
	}
	quicktest.Assert(t, len(down), quicktest.Equals, 4)
}

// A VM that was chosen for its upkeep crashes and comes back with another executor,
// which must run empty too.
func TestAnUpkeepWaitsForEveryLifeOnItsVM(t *testing.T) {
	w := newWorld(t, 2)
	w.behave = endless
	w.play(1200)
	w.submit(jobID(1), lasting(1, 0))
	w.playUntil(4000, "the task serves", func() bool { return w.atWork(jobID(1)) == 1 })
	host := w.find(Target{ID: w.runs[0].executor})
	w.play(6000)
	w.scheduler.AddWave(w.now, fulmarjob.Wave{Number: 1, VMs: []string{host.info.VM}, Within: 60 * fulmarclock.Second, MaxDown: 1})
	w.play(w.now + 500)
	host.crash()
	w.play(w.now + 300)
	w.addExecutor("x-back", host.info.VM)
	w.playUntil(60000, "the wave is completed", w.waveCompleted)
}

// An executor that misses one renewal may still serve: its task's state is not known.
func TestATaskOfUnknownStateIsNotMovedBeyondTheBound(t *testing.T) {
	w := newWorld(t, 3)
	w.behave = endless
	w.play(1200)
	w.submit(jobID(1), lasting(2, 1))
	w.playUntil(4000, "all tasks serve", func() bool { return w.atWork(jobID(1)) == 2 })
	for _, e := range w.scheduler.executors {
		if len(e.tasks) > 0 {
			e.failures = 1
		}
	}
	for _, e := range w.scheduler.executors {
		for _, task := range e.tasks {
			quicktest.Assert(t, w.scheduler.maySpare(task), quicktest.IsFalse)
		}
	}
}

func vmList(w *world, parked int) []fulmarjob.VM {
	var vms []fulmarjob.VM
	for _, e := range w.executors {
		if e.alive {
			vms = append(vms, fulmarjob.VM{Name: e.info.VM, Pool: testService, Up: true})
		}
	}
	for i := range parked {
		vms = append(vms, fulmarjob.VM{Name: fmt.Sprintf("spare-%d", i), Pool: "parked", Up: true})
	}
	return vms
}

func TestParkedVMsGoWhereTheLoadIs(t *testing.T) {
	w := newWorld(t, 3)
	w.play(4500)
	w.scheduler.UpdateVMs(w.now, vmList(w, 4))
	for i := range 12 {
		w.submit(jobID(i), step(4))
	}
	w.playUntil(6000, "VMs are ordered to the pool", func() bool { return len(w.movesMade) >= 2 })
	for _, m := range w.movesMade {
		quicktest.Assert(t, m.Pool, quicktest.Equals, testService)
	}
}

func TestIdleVMsAreParkedDownToTheLeast(t *testing.T) {
	w := newWorld(t, 6)
	w.play(4500)
	w.scheduler.UpdateVMs(w.now, vmList(w, 0))
	w.play(12000)
	quicktest.Assert(t, len(w.movesMade), quicktest.Equals, 3)
	for _, m := range w.movesMade {
		quicktest.Assert(t, m.Pool, quicktest.Equals, "parked")
	}
}

// The entry of an executor stays listed for a while after its VM has moved.
func TestALifeEndedByAMoveGetsNoTasks(t *testing.T) {
	w := newWorld(t, 4)
	w.play(4500)
	w.scheduler.UpdateVMs(w.now, vmList(w, 0))
	w.playUntil(9000, "a VM is parked", func() bool { return len(w.movesMade) == 1 })
	w.play(w.now + 100)
	for i := range 8 {
		w.submit(jobID(i), step(2))
	}
	w.playUntil(w.now+5000, "all jobs are completed", w.allCompleted)
	moved := w.movesMade[0].VM
	for _, e := range w.scheduler.executors {
		quicktest.Assert(t, e.info.VM == moved && len(e.tasks) > 0, quicktest.IsFalse)
	}
}

func TestForecastFollowsRunsMoreThanPoorDeclarations(t *testing.T) {
	random := newRandom(7)
	var f forecast
	for range 300 {
		declared := fulmarclock.Millis(100 + random.below(3000))
		f.learn(declared, fulmarclock.Millis(700+random.below(200)))
	}
	for _, declared := range []fulmarclock.Millis{150, 800, 3000} {
		expected := f.expect(declared)
		quicktest.Assert(t, expected > 600 && expected < 1000, quicktest.IsTrue, quicktest.Commentf("%d for %d", expected, declared))
	}
}

func TestForecastKeepsGoodDeclarations(t *testing.T) {
	random := newRandom(8)
	var f forecast
	for range 300 {
		took := fulmarclock.Millis(200 + random.below(4000))
		f.learn(took+took/10, took)
	}
	expected := f.expect(2200)
	quicktest.Assert(t, expected > 1800 && expected < 2200, quicktest.IsTrue, quicktest.Commentf("%d", expected))
}

// The work of steps whose turn has not come must not keep VMs from other pools.
func TestLaterStepsNeedNoRoomOfTheirOwn(t *testing.T) {
	w := newWorld(t, 1)
	now := &pool{executors: 10, listed: fulmarjob.Resources{MilliCPU: 160000}, used: fulmarjob.Resources{MilliCPU: 100000}}
	later := *now
	later.backlog = 3 * 100000 * 900
	due := later
	due.due, due.width = due.backlog, 300000
	quicktest.Assert(t, w.scheduler.neededVMs(&later), quicktest.Equals, w.scheduler.neededVMs(now))
	quicktest.Assert(t, w.scheduler.neededVMs(&due) > w.scheduler.neededVMs(now), quicktest.IsTrue)
}

// Six tasks of which each needs an executor of its own keep six VMs in the pool.
func TestABoundForEachExecutorKeepsItsVMs(t *testing.T) {
	w := newWorld(t, 3)
	w.behave = endless
	w.play(4500)
	w.scheduler.UpdateVMs(w.now, vmList(w, 6))
	w.submit(jobID(1), lasting(6, 1))
	w.playUntil(20000, "all tasks serve", func() bool { return w.atWork(jobID(1)) == 6 })
}

func TestLastingTasksLeaveADrainingExecutor(t *testing.T) {
	w := newWorld(t, 4)
	w.behave = endless
	w.play(1200)
	w.submit(jobID(1), lasting(3, 1))
	w.playUntil(4000, "all tasks serve", func() bool { return w.atWork(jobID(1)) == 3 })
	host := w.find(Target{ID: w.runs[0].executor})
	leaving := host.info
	leaving.Draining = true
	w.scheduler.UpdateExecutor(w.now, leaving)
	least := 3
	w.playUntil(8000, "the task serves elsewhere", func() bool {
		least = min(least, w.atWork(jobID(1)))
		return len(host.running) == 0 && w.atWork(jobID(1)) == 3
	})
	quicktest.Assert(t, least, quicktest.Equals, 2)
}

// The end of a lasting task that was moved off a VM must be in the journal before
// the VM goes down: the next owner would wait for a lease that has long ended.
func TestAnUpkeepWaitsForTheJournal(t *testing.T) {
	w := newWorld(t, 3)
	w.behave = endless
	w.play(1200)
	w.submit(jobID(1), lasting(1, 1))
	w.playUntil(4000, "the task serves", func() bool { return w.atWork(jobID(1)) == 1 })
	host := w.find(Target{ID: w.runs[0].executor})
	w.play(6000)
	w.scheduler.AddWave(w.now, fulmarjob.Wave{Number: 1, VMs: []string{host.info.VM}, Within: 60 * fulmarclock.Second, MaxDown: 1})
	w.playUntil(w.now+1000, "the task is being stopped", func() bool {
		return slices.ContainsFunc(host.inOrder(), func(r *playedRun) bool { return r.stopping })
	})
	w.storeDown = true
	w.play(w.now + 3000)
	quicktest.Assert(t, w.upkeeps, quicktest.HasLen, 0)
	w.storeDown = false
	w.newOwner()
	w.playUntil(w.now+2500, "the task serves elsewhere", func() bool { return w.atWork(jobID(1)) == 1 })
}

// A VM that is back with another executor runs nothing of its former life, also as
// an owner sees it that never met that life.
func TestALaterLifeFreesTheTasksOfItsVMForANewOwner(t *testing.T) {
	w := newWorld(t, 2)
	w.behave = endless
	w.play(1200)
	w.submit(jobID(1), lasting(1, 1))
	w.playUntil(4000, "the task serves", func() bool { return w.atWork(jobID(1)) == 1 })
	host := w.find(Target{ID: w.runs[0].executor})
	host.crash()
	w.newOwner()
	w.play(w.now + 500)
	w.addExecutor("x-back", host.info.VM)
	w.playUntil(w.now+2500, "the task serves again", func() bool { return w.atWork(jobID(1)) == 1 })
}

// The platform confirms an upkeep that it carried out for the owner before; the VM's
// present executor is the life after it and must be used.
func TestAnUpkeepThatWasDoneBeforeEndsNothing(t *testing.T) {
	w := newWorld(t, 3)
	w.play(6000)
	w.scheduler.AddWave(w.now, fulmarjob.Wave{Number: 1, VMs: []string{"vm-0"}, Within: 60 * fulmarclock.Second, MaxDown: 1})
	w.playUntil(w.now+1000, "the upkeep is ordered", func() bool { return len(w.upkeeps) == 1 })
	w.storeDown = true
	w.play(w.now + testBounds.MaintenanceDuration + 500)
	w.storeDown = false
	w.newOwner()
	w.playUntil(w.now+8000, "the VM is back", func() bool { return w.scheduler.waves[1].vms[0].done })
	for _, e := range w.scheduler.sorted() {
		quicktest.Check(t, e.isUsable(w.now), quicktest.IsTrue, quicktest.Commentf("%s on %s", e.info.ID, e.info.VM))
	}
	quicktest.Assert(t, len(w.scheduler.executors), quicktest.Equals, 3)
}
