package fulmarsched

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

func TestRandomFaults(t *testing.T) {
	for seed := range 60 {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runRandomFaults(t, int64(seed), step) })
	}
}

// Guards against faults that leave a third run of a task, or a copy without its task.
func TestRandomFaultsWithCopies(t *testing.T) {
	started := 0
	for seed := range 60 {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			started += runRandomFaults(t, int64(seed), copiedStep).counts["copies"]
		})
	}
	quicktest.Check(t, started > 60, quicktest.IsTrue, quicktest.Commentf("%d events of copies", started))
}

// The scheduler has no randomness of its own, so the same events must give the same runs.
func TestSameEventsGiveSameRuns(t *testing.T) {
	for _, stepOf := range []func(count int, after ...int) fulmarjob.Step{step, copiedStep} {
		for seed := range int64(5) {
			first, second := runRandomFaults(t, seed, stepOf), runRandomFaults(t, seed, stepOf)
			quicktest.Assert(t, len(first.runs), quicktest.Equals, len(second.runs))
			for i := range first.runs {
				quicktest.Assert(t, *first.runs[i] == *second.runs[i], quicktest.IsTrue, quicktest.Commentf("seed %d, run %d", seed, i))
			}
		}
	}
}

// TestRandomFaultsWithQuotas adds customers whose quotas change and who are removed.
func TestRandomFaultsWithQuotas(t *testing.T) {
	for seed := range 60 {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playRandomFaults(t, int64(seed), step, true) })
	}
}

func runRandomFaults(t *testing.T, seed int64, stepOf func(count int, after ...int) fulmarjob.Step) *simulation {
	return playRandomFaults(t, seed, stepOf, false)
}

// playRandomFaults combines lost results, unresponsive and crashed executors, store outages and
// owner changes, and changes of quotas. stepOf returns the steps of the jobs. prepare is called with the
// simulation before it starts.
func playRandomFaults(t *testing.T, seed int64, stepOf func(count int, after ...int) fulmarjob.Step, hasQuotas bool, prepare ...func(sim *simulation)) *simulation {
	random := newRandomSource(seed)
	sim := newSimulation(t, 3)
	for _, p := range prepare {
		p(sim)
	}
	if hasQuotas {
		useQuotas(sim, random)
	}
	sim.losesResult = func(int) bool { return random.intN(12) == 0 }
	sim.commandDelay = func(int) fulmarclock.Millis { return fulmarclock.Millis(random.intN(6000)) }
	sim.runBehavior = func(fulmarjob.TaskID, int64, *fakeExecutor) (fulmarclock.Millis, bool) {
		return fulmarclock.Millis(50 + random.intN(900)), random.intN(40) == 0
	}
	sim.slowSomeCopied(random)
	sim.runUntil(1200)
	for i := range 10 {
		sim.submit(jobID(i), stepOf(1+random.intN(4)), stepOf(1+random.intN(3), 0))
		sim.runUntil(sim.now + fulmarclock.Millis(random.intN(600)))
		sim.injectFault(random)
		if hasQuotas && random.intN(2) == 0 {
			changeQuotas(sim, random)
		}
	}
	for _, e := range sim.executors {
		e.unresponsive = false
		if !e.alive {
			e.restart()
		}
		sim.scheduler.UpdateExecutor(sim.now, e.info)
	}
	sim.storeDown = false
	sim.losesResult = func(int) bool { return false }
	sim.quotas.raiseAll()
	sim.waitFor(sim.now+90000, "all accepted jobs have ended", sim.allEnded)
	return sim
}

func (s *simulation) injectFault(random *randomSource) {
	e := s.executors[random.intN(len(s.executors))]
	switch random.intN(7) {
	case 0:
		e.unresponsive = !e.unresponsive
	case 1:
		if e.alive {
			e.crash()
		} else {
			e.restart()
		}
	case 2:
		s.newOwner()
	case 3:
		if s.batch != nil && !s.storeDown {
			s.applyBatch(s.batch)
		}
		s.newOwner()
	case 4:
		s.storeDown = !s.storeDown
	case 5:
		s.scheduler.RemoveExecutor(s.now, e.info.ID)
	}
}
