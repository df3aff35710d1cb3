package fulmarsched

import (
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarforecast"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// jobBurst submits jobs at a fixed interval and records when each is completed.
type jobBurst struct {
	sim         *simulation
	submittedAt map[string]fulmarclock.Millis
	completedAt map[string]fulmarclock.Millis
	refusedAt   map[string]fulmarclock.Millis
}

func newJobBurst(sim *simulation) *jobBurst {
	b := &jobBurst{sim: sim, submittedAt: map[string]fulmarclock.Millis{}, completedAt: map[string]fulmarclock.Millis{}, refusedAt: map[string]fulmarclock.Millis{}}
	sim.check = b.recordCompleted
	return b
}

func (b *jobBurst) recordCompleted() {
	for id := range b.submittedAt {
		if b.completedAt[id] == 0 && b.sim.jobState(id) == fulmarjob.Completed {
			b.completedAt[id] = b.sim.now
		}
	}
}

// submitEvery submits a job per interval until a time.
func (b *jobBurst) submitEvery(until, interval fulmarclock.Millis, steps ...fulmarjob.Step) {
	for n := 0; b.sim.now < until; n++ {
		id := jobID(n)
		if b.sim.submit(id, steps...).Outcome == OutcomeAccepted {
			b.submittedAt[id] = b.sim.now
		} else {
			b.refusedAt[id] = b.sim.now
		}
		b.sim.runUntil(b.sim.now + interval)
	}
}

// Jobs worth 32 core-seconds per second arrive at a pool with 12 cores. VMs take 1.5 s to move to
// the pool; jobs that arrive more than a second after that must be accepted and meet their
// deadline.
func TestJobsMeetDeadlinesOnceVMsHadTimeToArrive(t *testing.T) {
	const duration, targetDuration = 800, 600 + 1.6*800
	sim := newSimulation(t, 3)
	sim.runBehavior = func(fulmarjob.TaskID, int64, *fakeExecutor) (fulmarclock.Millis, bool) { return duration, false }
	sim.runUntil(4500)
	sim.scheduler.UpdateVMs(sim.now, sim.now, vmList(sim, 30))
	b := newJobBurst(sim)
	start := sim.now
	shortStep := step(4)
	shortStep.EstimatedDuration = duration
	b.submitEvery(start+6000, 100, shortStep)
	sim.runUntil(sim.now + 6000)
	deadlinesMetFrom := start + testParameters.MoveDuration + fulmarclock.Second
	for id, at := range b.refusedAt {
		quicktest.Check(t, at < deadlinesMetFrom, quicktest.IsTrue, quicktest.Commentf("%s, submitted after %d ms, was refused", id, at-start))
	}
	for id, at := range b.submittedAt {
		end := b.completedAt[id]
		onTime := end > 0 && end <= at+targetDuration
		quicktest.Check(t, onTime || at < deadlinesMetFrom, quicktest.IsTrue, quicktest.Commentf("%s, submitted after %d ms, took %d ms", id, at-start, end-at))
	}
}

// Without the forecast, VMs for a rising load arrive when it has grown further.
func TestPoolFollowsRisingLoad(t *testing.T) {
	needed := func(forecast bool) int {
		sim := newSimulation(t, 3)
		sim.scheduler.params.ForecastDemand = forecast
		d := &fulmarforecast.Demand{}
		for at := fulmarclock.Millis(0); at < 1000; at += 20 {
			d.Add(at, float64(at)*2000)
		}
		sim.scheduler.now = 1000
		sim.scheduler.demands[testService] = d
		return sim.scheduler.neededVMs(&poolSummary{service: testService, executors: 3, listedCapacity: fulmarjob.Resources{MilliCPU: 12000}})
	}
	quicktest.Check(t, needed(true) > needed(false), quicktest.IsTrue)
}

func TestRenewalIntervalGrowsWithBusyExecutors(t *testing.T) {
	sim := newSimulation(t, 30)
	sim.runBehavior = runsForever
	sim.runUntil(1200)
	sim.scheduler.params.RenewalsPerSecond = 200
	quicktest.Assert(t, sim.scheduler.computeRenewalInterval(), quicktest.Equals, minRenewalInterval)
	sim.submit(jobID(1), longRunningStep(30, 1))
	sim.waitFor(4000, "all tasks are available", func() bool { return sim.availableTasks(jobID(1)) == 30 })
	quicktest.Assert(t, sim.scheduler.computeRenewalInterval(), quicktest.Equals, fulmarclock.Millis(150))
	sim.scheduler.params.RenewalsPerSecond = 10
	quicktest.Assert(t, sim.scheduler.computeRenewalInterval(), quicktest.Equals, maxRenewalInterval)
}
