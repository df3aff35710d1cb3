package fulmarsched

import (
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// burst hands jobs in at even distances and notes when each is completed.
type jobBurst struct {
	sim         *simulation
	submittedAt map[string]fulmarclock.Millis
	completedAt map[string]fulmarclock.Millis
	refusedAt   map[string]fulmarclock.Millis
}

func newBurst(sim *simulation) *jobBurst {
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

// play hands in a job every gap until a time.
func (b *jobBurst) submitEvery(until, interval fulmarclock.Millis, steps ...fulmarjob.Step) {
	for n := 0; b.sim.now < until; n++ {
		id := jobID(n)
		if b.sim.submit(id, steps...).Verdict == VerdictStored {
			b.submittedAt[id] = b.sim.now
		} else {
			b.refusedAt[id] = b.sim.now
		}
		b.sim.runUntil(b.sim.now + interval)
	}
}

// Each second 32 core-seconds of work come to a pool of 12 cores. VMs need 1.5 s to
// arrive, so jobs from a second after that on are to be in aim.
func TestJobsMeetDeadlinesOnceVMsHadTimeToArrive(t *testing.T) {
	const duration, targetDuration = 800, 600 + 1.6*800
	sim := newSimulation(t, 3)
	sim.runOutcome = func(fulmarjob.TaskID, int64, *fakeExecutor) (fulmarclock.Millis, bool) { return duration, false }
	sim.runUntil(4500)
	sim.scheduler.SeeVMs(sim.now, vmList(sim, 30))
	b := newBurst(sim)
	start := sim.now
	shortStep := step(4)
	shortStep.Estimate = duration
	b.submitEvery(start+6000, 100, shortStep)
	sim.runUntil(sim.now + 6000)
	deadlinesMetFrom := start + testParameters.Move + fulmarclock.Second
	for id, at := range b.refusedAt {
		quicktest.Check(t, at < deadlinesMetFrom, quicktest.IsTrue, quicktest.Commentf("%s, handed in after %d ms, was refused", id, at-start))
	}
	for id, at := range b.submittedAt {
		end := b.completedAt[id]
		onTime := end > 0 && end <= at+targetDuration
		quicktest.Check(t, onTime || at < deadlinesMetFrom, quicktest.IsTrue, quicktest.Commentf("%s, handed in after %d ms, took %d ms", id, at-start, end-at))
	}
}

func TestSingleJobYieldsNoRate(t *testing.T) {
	var d demand
	d.add(1000, 50000)
	quicktest.Assert(t, d.rate(1000), quicktest.Equals, 0.0)
	for i := range 20 {
		d.add(fulmarclock.Millis(1100+100*i), 50000)
	}
	rate := d.rate(3000)
	quicktest.Assert(t, rate > 400 && rate < 600, quicktest.IsTrue, quicktest.Commentf("%f for 500", rate))
	quicktest.Assert(t, d.rate(10000) < 1, quicktest.IsTrue)
}

func TestRenewalIntervalGrowsWithBusyExecutors(t *testing.T) {
	sim := newSimulation(t, 30)
	sim.runOutcome = runsForever
	sim.runUntil(1200)
	sim.scheduler.params.ReportsPerSecond = 200
	quicktest.Assert(t, sim.scheduler.computeRenewalInterval(), quicktest.Equals, minRenewalInterval)
	sim.submit(jobID(1), longRunningStep(30, 1))
	sim.waitFor(4000, "all tasks serve", func() bool { return sim.availableTasks(jobID(1)) == 30 })
	quicktest.Assert(t, sim.scheduler.computeRenewalInterval(), quicktest.Equals, fulmarclock.Millis(150))
	sim.scheduler.params.ReportsPerSecond = 10
	quicktest.Assert(t, sim.scheduler.computeRenewalInterval(), quicktest.Equals, maxRenewalInterval)
}
