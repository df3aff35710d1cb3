package fulmarsched

import (
	"math"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// referenceBacklog computes the backlog of a service task by task, over all jobs.
func referenceBacklog(s *Scheduler, service string) float64 {
	sum := 0.0
	for _, j := range s.jobList {
		if j.queue.Service != service || j.state.IsFinal() || j.longRunning {
			continue
		}
		j.eachTask(func(t *task) {
			if t.state == taskWaiting {
				sum += float64(t.step.Resources.MilliCPU) * float64(s.estimate(j, t.step))
			}
		})
	}
	return sum
}

// referenceCapacity sums the capacity of a service over all executors.
func referenceCapacity(s *Scheduler, service string) int64 {
	sum := int64(0)
	for _, e := range s.executors {
		if e.info.Service == service && e.isSchedulable(s.now) {
			sum += e.info.Capacity.MilliCPU
		}
	}
	return sum
}

// checkCounts compares the counts that are kept up to date with the state that they count.
func checkCounts(t *testing.T, s *Scheduler) {
	t.Helper()
	for _, j := range s.jobList {
		for _, o := range j.activeOccurrences {
			for i, tasks := range o.steps {
				waiting := 0
				for _, task := range tasks {
					if task.state == taskWaiting {
						waiting++
					}
				}
				if waiting != o.waiting[i] {
					t.Fatalf("job %s, step %d: %d tasks wait, counted %d", j.id, i, waiting, o.waiting[i])
				}
			}
		}
	}
	got, want := 0.0, referenceBacklog(s, testService)
	for _, j := range s.services().jobs[testService] {
		if j.state.IsFinal() || j.longRunning {
			continue
		}
		for _, o := range j.activeOccurrences {
			got += s.waitingWork(j, o)
		}
	}
	if math.Abs(got-want) > want*1e-9 {
		t.Fatalf("backlog %v, by task %v", got, want)
	}
	capacity := int64(0)
	for _, e := range s.services().executors[testService] {
		if e.isSchedulable(s.now) {
			capacity += e.info.Capacity.MilliCPU
		}
	}
	if capacity != referenceCapacity(s, testService) {
		t.Fatalf("capacity %d, over all executors %d", capacity, referenceCapacity(s, testService))
	}
}

// TestCountsFollowRandomFaults checks the counts after each step of the random faults, among
// them failed runs, crashes, cancellations and changes of the owner.
func TestCountsFollowRandomFaults(t *testing.T) {
	for seed := range int64(20) {
		random := newRandomSource(seed)
		sim := newSimulation(t, 3)
		sim.losesResult = func(int) bool { return random.intN(12) == 0 }
		sim.check = func() { checkCounts(t, sim.scheduler) }
		sim.runUntil(1200)
		for i := range 12 {
			gang := step(2)
			gang.Gang = true
			sim.submit(jobID(i), step(1+random.intN(4)), gang, step(1+random.intN(3), 0))
			sim.runUntil(sim.now + 200)
			if random.intN(4) == 0 {
				sim.scheduler.Cancel(sim.now, sim.unixMillis(), jobID(random.intN(i+1)))
			}
			if random.intN(6) == 0 {
				changed := testConfiguration()
				changed.Version = int64(i + 2)
				changed.Queues[0].Service = []string{testService, "other"}[random.intN(2)]
				sim.scheduler.SetConfiguration(sim.now, changed)
			}
			sim.injectFault(random)
		}
		sim.runUntil(sim.now + 3000)
	}
}

// TestAdmissionCountsOnlyItsService fills one pool with work. The queue of another pool must not
// be refused for it.
func TestAdmissionCountsOnlyItsService(t *testing.T) {
	s := newLoadedScheduler(2*vmsPerService, 0, 200)
	full := Submission{ID: jobID(1), Queue: s.configuration.Queues[0], Specification: fulmarjob.Specification{Steps: loadedSteps}}
	quicktest.Assert(t, s.Submit(s.now, 1000, full).Outcome, quicktest.Equals, OutcomeRefused)
	for _, j := range s.services().jobs[s.configuration.Queues[1].Service] {
		s.endJob(j, fulmarjob.Cancelled, "")
	}
	free := Submission{ID: jobID(2), Queue: s.configuration.Queues[1], Specification: fulmarjob.Specification{Steps: loadedSteps}}
	quicktest.Assert(t, s.Submit(s.now, 1000, free).Outcome, quicktest.Equals, OutcomeAccepted)
}
