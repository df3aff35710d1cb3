package fulmarsched

import (
	"slices"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// burstOutcome is what the callers of a burst got.
type burstOutcome struct{ onTime, late, refused int }

func (o burstOutcome) add(other burstOutcome) burstOutcome {
	return burstOutcome{o.onTime + other.onTime, o.late + other.late, o.refused + other.refused}
}

// shortJob and longJob are the two kinds of jobs of a burst: one step, and a chain of three.
var (
	shortJob = []fulmarjob.Step{burstStep(4, 300)}
	longJob  = []fulmarjob.Step{burstStep(4, 800), burstStep(4, 800, 0), burstStep(4, 800, 1)}
)

func burstStep(count int, duration fulmarclock.Millis, after ...int) fulmarjob.Step {
	s := step(count, after...)
	s.EstimatedDuration = duration
	return s
}

// playBurst plays a queue whose jobs come in bursts of about twice what its pool of 16 cores
// serves, with a sixth of that between the bursts. Runs take half to one and a half times what
// was declared. admits decides beside the scheduler whether to submit a job.
func playBurst(t *testing.T, seed int64, admits func(sim *simulation, j *job) bool) burstOutcome {
	const period, burst, end = 5000, 2000, 15000
	random := newRandomSource(seed)
	sim := newSimulation(t, 4)
	sim.runBehavior = func(id fulmarjob.TaskID, _ int64, _ *fakeExecutor) (fulmarclock.Millis, bool) {
		declared := int(sim.stepOf(id).EstimatedDuration)
		return fulmarclock.Millis(declared/2 + random.intN(declared)), false
	}
	sim.runUntil(1200)
	b := newJobBurst(sim)
	start := sim.now
	targets := map[string]fulmarclock.Millis{}
	for n := 0; sim.now < start+end; n++ {
		id, spec := jobID(n), shortJob
		if n%4 == 0 {
			spec = longJob
		}
		j := newJob(id, sim.configuration.Queues[0], fulmarjob.Specification{Steps: spec})
		j.receivedAt = sim.now
		targets[id] = j.queue.TargetLatency + fulmarclock.Millis(j.queue.SlackFactor*float64(sim.scheduler.criticalPath(j, nil)))
		if admits(sim, j) && sim.submit(id, spec...).Outcome == OutcomeAccepted {
			b.submittedAt[id] = sim.now
		} else {
			b.refusedAt[id] = sim.now
		}
		interval := fulmarclock.Millis(100)
		if (sim.now-start)%period > burst {
			interval = 600
		}
		sim.runUntil(sim.now + interval)
	}
	sim.waitFor(sim.now+20000, "all accepted jobs are completed", sim.allEnded)
	outcome := burstOutcome{refused: len(b.refusedAt)}
	for id, at := range b.submittedAt {
		if b.completedAt[id] <= at+targets[id] {
			outcome.onTime++
		} else {
			outcome.late++
		}
	}
	return outcome
}

// admitsByBacklog is a plain reference: it counts all waiting work, whichever job is placed first.
func admitsByBacklog(sim *simulation, j *job) bool {
	wait := referenceBacklog(sim.scheduler, testService) / float64(referenceCapacity(sim.scheduler, testService))
	path := sim.scheduler.criticalPath(j, nil)
	return wait <= float64(j.queue.TargetLatency)+(j.queue.SlackFactor-1)*float64(path)
}

// TestBurstServesMoreOnTimeThanByBacklog plays bursts with both rules. Refusing only what would be
// late, or make others late, must refuse fewer and serve more on time, over ten seeds.
func TestBurstServesMoreOnTimeThanByBacklog(t *testing.T) {
	var got, reference burstOutcome
	for seed := range int64(10) {
		got = got.add(playBurst(t, seed, func(*simulation, *job) bool { return true }))
		reference = reference.add(playBurst(t, seed, admitsByBacklog))
	}
	t.Logf("by rank: %+v, whole backlog: %+v", got, reference)
	quicktest.Assert(t, got.onTime > reference.onTime, quicktest.IsTrue)
	quicktest.Assert(t, got.refused < reference.refused, quicktest.IsTrue)
}

// TestExcessWait plays jobs of 1,000 core-milliseconds in a pool of one core.
func TestExcessWait(t *testing.T) {
	const work, cpu = 1e6, 1000
	of := func(slacks ...fulmarclock.Millis) []rankedWork {
		var waiting []rankedWork
		for _, slack := range slacks {
			waiting = append(waiting, rankedWork{rank{class: classOnTime, slack: slack}, work})
		}
		return waiting
	}
	for _, row := range []struct {
		name    string
		waiting []rankedWork
		slack   fulmarclock.Millis
		want    fulmarclock.Millis
	}{
		{"empty pool", nil, 100, 0},
		{"two ahead, in time", of(100, 1000), 2000, 0},
		{"two ahead, late itself", of(100, 1000), 1500, 500},
		{"makes the next one late", of(100, 1200), 1100, 800},
		{"the later ones have time", of(100, 3000, 5000), 1500, 0},
		{"makes the last one late", of(100, 2900, 2500), 1500, 100},
	} {
		t.Run(row.name, func(t *testing.T) {
			slices.SortFunc(row.waiting, func(a, b rankedWork) int { return a.rank.compare(b.rank) })
			newWork := rankedWork{rank{class: classOnTime, slack: row.slack}, work}
			quicktest.Assert(t, excessWait(row.waiting, newWork, cpu), quicktest.Equals, row.want)
		})
	}
}

// TestAdmissionDependsOnRanksOfWaitingJobs submits a job while others wait that are late, have
// more time left, or have less.
func TestAdmissionDependsOnRanksOfWaitingJobs(t *testing.T) {
	for _, row := range []struct {
		name string
		// rank is the rank of the waiting jobs; a job of the test has a slack of 1,000 ms.
		rank rank
		want Outcome
	}{
		{"late jobs", rank{class: classLate, slack: 0}, OutcomeAccepted},
		{"jobs with time to spare", rank{class: classOnTime, slack: 50000}, OutcomeAccepted},
		{"jobs with more time left, some of which it would make late", rank{class: classOnTime, slack: 5000}, OutcomeRefused},
		{"jobs with less time left", rank{class: classOnTime, slack: 10}, OutcomeRefused},
		{"jobs of a more urgent queue", rank{priority: -1, class: classLate}, OutcomeRefused},
		{"jobs of a less urgent queue", rank{priority: 1, class: classOnTime}, OutcomeAccepted},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := newLoadedScheduler(vmsPerService, 0, 400)
			for _, j := range s.activeJobs {
				j.rank = row.rank
			}
			d := s.Submit(s.now, 1000, Submission{ID: jobID(1), Queue: s.configuration.Queues[0], Specification: fulmarjob.Specification{Steps: loadedSteps}})
			quicktest.Assert(t, d.Outcome, quicktest.Equals, row.want)
			quicktest.Assert(t, d.RetryAfter > 0, quicktest.Equals, row.want == OutcomeRefused)
		})
	}
}
