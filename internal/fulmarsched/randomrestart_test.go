package fulmarsched

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// play is a kind of random play with restarts under IDs.
type play struct {
	name string
	// faults are caused at random in addition to those of injectRestart.
	faults []func(s *simulation, random *randomSource)
	// steps returns the steps of a job.
	steps func(random *randomSource) []fulmarjob.Step
	// setUp changes the simulation before it starts.
	setUp func(s *simulation, random *randomSource)
}

func shortSteps(random *randomSource) []fulmarjob.Step {
	return []fulmarjob.Step{step(1 + random.intN(4)), step(1+random.intN(3), 0)}
}

func gangSteps(random *randomSource) []fulmarjob.Step {
	gang := step(2 + random.intN(2))
	gang.Gang = true
	return []fulmarjob.Step{gang, step(1+random.intN(3), 0)}
}

func lastingSteps(random *randomSource) []fulmarjob.Step {
	if random.intN(4) == 0 {
		return []fulmarjob.Step{longRunningStep(1+random.intN(2), 1)}
	}
	return shortSteps(random)
}

// leaveOddEntry shows the scheduler an odd entry, and the right one later.
func leaveOddEntry(s *simulation, random *randomSource) {
	e := s.executors[random.intN(len(s.executors))]
	odd := oddEntries[random.intN(len(oddEntries))].of(e.entry)
	s.at(s.now+simulationStep, func() { s.scheduler.UpdateExecutor(s.now, odd) })
	s.at(s.now+fulmarclock.Millis(50+random.intN(1500)), func() {
		if odd.ID != e.info.ID {
			s.scheduler.RemoveExecutor(s.now, odd.ID)
		}
		if e.alive {
			s.scheduler.UpdateExecutor(s.now, e.entry)
		}
	})
}

func removeEntry(s *simulation, random *randomSource) {
	e := s.executors[random.intN(len(s.executors))]
	s.scheduler.RemoveExecutor(s.now, e.info.ID)
	s.at(s.now+fulmarclock.Millis(50+random.intN(3000)), func() {
		if e.alive {
			s.scheduler.UpdateExecutor(s.now, e.entry)
		}
	})
}

func cancelJob(s *simulation, random *randomSource) {
	ids := sortedKeys(s.jobs)
	if len(ids) > 0 {
		s.scheduler.Cancel(s.now, s.unixMillis(), ids[random.intN(len(ids))])
	}
}

func changeCapacity(s *simulation, random *randomSource) {
	e := s.executors[random.intN(len(s.executors))]
	if e.alive && e.entry.Incarnation == e.info.Incarnation {
		e.info.Capacity = roomFor(int64(1 + random.intN(4)))
		e.list()
	}
}

func setClockBack(s *simulation, random *randomSource) {
	e := s.executors[random.intN(len(s.executors))]
	if !e.alive {
		return
	}
	e.crash()
	born, delay := int64(1+random.intN(900)), fulmarclock.Millis(random.intN(3000))
	s.at(s.now+250, func() {
		if e.alive {
			return
		}
		e.restartUnlisted(delay + simulationStep)
		e.info.Incarnation = born
	})
}

func repeatStart(s *simulation, _ *randomSource) { s.repeatsNext = isStart }

// listFew makes executors list fewer finished runs than are often unread.
func listFew(s *simulation, random *randomSource) { s.maxListedFinished = 1 + random.intN(3) }

// quotaFaults are the faults of the plays with customers.
var quotaFaults = []func(*simulation, *randomSource){changeQuotas, changeQuotas, cancelJob, removeEntry}

var plays = []play{
	{name: "restarts", steps: shortSteps},
	{name: "odd entries", steps: shortSteps, faults: []func(*simulation, *randomSource){leaveOddEntry}},
	{name: "removed entries", steps: shortSteps, faults: []func(*simulation, *randomSource){removeEntry}},
	{name: "cancelled jobs", steps: shortSteps, faults: []func(*simulation, *randomSource){cancelJob}},
	{name: "capacities", steps: shortSteps, faults: []func(*simulation, *randomSource){changeCapacity}},
	{name: "clocks set back", steps: shortSteps, faults: []func(*simulation, *randomSource){setClockBack}},
	{name: "gangs", steps: gangSteps, faults: []func(*simulation, *randomSource){repeatStart}},
	{name: "lasting steps", steps: lastingSteps, faults: []func(*simulation, *randomSource){cancelJob}},
	{name: "short lists", steps: shortSteps, faults: []func(*simulation, *randomSource){removeEntry, cancelJob}, setUp: listFew},
	{name: "short lists of gangs", steps: gangSteps, faults: []func(*simulation, *randomSource){repeatStart, cancelJob}, setUp: listFew},
	{name: "quotas", steps: shortSteps, faults: quotaFaults, setUp: useQuotas},
	{name: "quotas of gangs", steps: gangSteps, faults: quotaFaults, setUp: useQuotas},
	{name: "quotas of lasting steps", steps: lastingSteps, faults: quotaFaults, setUp: useQuotas},
	{name: "copies", steps: copiedSteps, setUp: slowSome},
	{name: "copies of cancelled jobs", steps: copiedSteps, faults: []func(*simulation, *randomSource){cancelJob, removeEntry, leaveOddEntry}, setUp: slowSome},
	{name: "copies and capacities", steps: copiedSteps, faults: []func(*simulation, *randomSource){changeCapacity, repeatStart, setClockBack}, setUp: slowSome},
	{name: "copies in short lists", steps: copiedSteps, faults: []func(*simulation, *randomSource){removeEntry, cancelJob}, setUp: listFewAndSlowSome},
	{name: "late commands that outlive the executor", steps: shortSteps, setUp: func(s *simulation, _ *randomSource) { s.lateCommandsSurvive = true }},
	{name: "mix", steps: gangSteps, faults: []func(*simulation, *randomSource){removeEntry, cancelJob, changeCapacity, repeatStart, setClockBack}},
}

const playedSeeds = 40

func TestRandomPlaysOfRestarts(t *testing.T) {
	for _, p := range plays {
		for seed := range playedSeeds {
			t.Run(fmt.Sprintf("%s/seed %d", p.name, seed), func(t *testing.T) { p.run(t, int64(seed)) })
		}
	}
}

func (p play) run(t *testing.T, seed int64) {
	random := newRandomSource(seed + 100_000)
	sim := newFaultySimulation(t, random)
	sim.runBehavior = func(id fulmarjob.TaskID, _ int64, _ *fakeExecutor) (fulmarclock.Millis, bool) {
		if sim.stepOf(id).LongRunning {
			return 1 << 40, false
		}
		return fulmarclock.Millis(30 + random.intN(600)), random.intN(40) == 0
	}
	if p.setUp != nil {
		p.setUp(sim, random)
	}
	sim.runUntil(1200)
	for i := range 15 {
		sim.submit(jobID(i), p.steps(random)...)
		sim.runUntil(sim.now + fulmarclock.Millis(random.intN(800)))
		if len(p.faults) > 0 && random.intN(2) == 0 {
			p.faults[random.intN(len(p.faults))](sim, random)
			continue
		}
		sim.injectRestart(random)
	}
	sim.losesResult = func(int) bool { return false }
	sim.storeDown = false
	sim.runUntil(sim.now + 3000)
	for _, e := range sim.executors {
		e.unresponsive = false
		if !e.alive {
			e.restart()
		}
		e.list()
	}
	sim.quotas.raiseAll()
	sim.cancelLasting()
	sim.waitFor(sim.now+90000, "all accepted jobs have ended", sim.allEnded)
	sim.submit(jobID(90), step(1), step(1, 0))
	sim.runUntil(sim.now + 15000)
	sim.quotas.checkNothingUsed()
	for _, e := range sim.executors {
		quicktest.Check(t, sim.scheduler.executors[e.info.ID] != nil && sim.scheduler.executors[e.info.ID].isSchedulable(sim.now), quicktest.IsTrue, quicktest.Commentf("executor %s is not used again", e.info.ID))
		quicktest.Check(t, len(e.finished), quicktest.Equals, 0, quicktest.Commentf("ends of %s are not acknowledged", e.info.ID))
		quicktest.Check(t, len(e.running), quicktest.Equals, 0, quicktest.Commentf("runs are left on %s", e.info.ID))
	}
}

// cancelLasting cancels the jobs that would run until they are cancelled.
func (s *simulation) cancelLasting() {
	for _, id := range sortedKeys(s.jobs) {
		if s.jobs[id].IsLongRunning() {
			s.scheduler.Cancel(s.now, s.unixMillis(), id)
		}
	}
}
