package fulmarsched

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

const (
	// cutOffSeeds is the number of seeds of TestRunsOfExecutorsCutOffAfterRestartsAreNotRepeated.
	cutOffSeeds = 40
	// cutOffDuration is how long executors are cut off there.
	cutOffDuration = 9 * fulmarclock.Second
)

// Tasks must not run twice beside executors that restart under their IDs and are cut off soon after.
func TestRunsOfExecutorsCutOffAfterRestartsAreNotRepeated(t *testing.T) {
	for seed := range cutOffSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playCutsAfterRestarts(t, int64(seed)) })
	}
}

func playCutsAfterRestarts(t *testing.T, seed int64) {
	random := newRandomSource(seed)
	sim := newSimulation(t, 5)
	sim.longPolls, sim.holdsCalls = random.intN(2) == 0, true
	for _, e := range sim.executors {
		e.hasSlowClock = random.intN(2) == 0
	}
	sim.losesResult = func(int) bool { return random.intN(15) == 0 }
	sim.commandDelay = func(int) fulmarclock.Millis { return fulmarclock.Millis(random.intN(6000)) }
	sim.appendDelay = func() fulmarclock.Millis { return fulmarclock.Millis(random.intN(150)) }
	sim.runBehavior = func(fulmarjob.TaskID, int64, *fakeExecutor) (fulmarclock.Millis, bool) {
		return fulmarclock.Millis(1000 + random.intN(19000)), false
	}
	sim.listVMs()
	sim.runUntil(1200)
	for wave := range 3 {
		sim.submitSome(random, wave*10, 2+random.intN(4))
		sim.restartAndCutOff(random)
		sim.submitSome(random, wave*10+5, 1+random.intN(4))
		sim.runUntil(sim.now + cutOffDuration + fulmarclock.Millis(random.intN(4000)))
	}
	sim.losesResult = func(int) bool { return false }
	sim.runUntil(sim.now + cutOffDuration)
	sim.waitFor(sim.now+180_000, "all accepted jobs have ended", sim.allEnded)
	sim.runUntil(sim.now + 30000)
	for _, e := range sim.executors {
		quicktest.Check(t, len(e.running), quicktest.Equals, 0, quicktest.Commentf("runs are left on %s", e.info.ID))
	}
}

// submitSome submits jobs from a number on, at intervals of up to 500 ms.
func (s *simulation) submitSome(random *randomSource, first, count int) {
	for i := range count {
		s.submit(jobID(first+i), step(1+random.intN(4)))
		s.runUntil(s.now + fulmarclock.Millis(random.intN(500)))
	}
}

// restartAndCutOff restarts about half of the executors at one moment and cuts off the same ones, and others, soon after.
// The owner changes in half of the calls.
func (s *simulation) restartAndCutOff(random *randomSource) {
	cutAt := s.now + fulmarclock.Millis(700+random.intN(2500))
	for _, e := range s.executors {
		restarts := random.intN(2) == 0
		if restarts {
			s.restartLater(e, random)
		}
		if restarts || random.intN(4) == 0 {
			s.cutOff(e, cutAt, random)
		}
	}
	if random.intN(2) == 0 {
		s.at(s.now+fulmarclock.Millis(random.intN(4000)), s.newOwner)
	}
}

// restartLater crashes an executor. It is back soon, but for a few.
func (s *simulation) restartLater(e *fakeExecutor, random *randomSource) {
	e.crash()
	downtime := fulmarclock.Millis(50 + random.intN(650))
	if random.intN(6) == 0 {
		downtime = fulmarclock.Millis(3000 + random.intN(4000))
	}
	s.at(s.now+downtime, func() { e.restartUnlisted(1 << 40) })
	s.at(s.now+downtime+fulmarclock.Millis(10+random.intN(400)), func() {
		if e.alive && !e.unresponsive {
			e.list()
		}
	})
}

// cutOff cuts an executor off from the owner and the store for a time. The store deletes its entry meanwhile.
func (s *simulation) cutOff(e *fakeExecutor, at fulmarclock.Millis, random *randomSource) {
	s.at(at, func() { e.unresponsive = true })
	s.at(at+fulmarclock.Millis(3500+random.intN(4500)), func() {
		e.unlisted = true
		s.scheduler.RemoveExecutor(s.now, e.info.ID)
	})
	s.at(at+cutOffDuration, func() { e.unresponsive = false })
	s.at(at+cutOffDuration+fulmarclock.Millis(random.intN(1500)), func() {
		if e.alive {
			e.list()
		}
	})
}
