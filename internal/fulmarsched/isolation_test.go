package fulmarsched

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// loadContinuously keeps a pool full of jobs that are more urgent than others, each of one task.
func (s *simulation) loadContinuously() {
	n := 1000
	s.check = func() {
		for s.scheduler.PendingJobs(testQueue) < 8 {
			n++
			s.submit(jobID(n), step(1))
		}
	}
}

// suspectTasks marks the tasks of a job as suspected of crashes.
func (s *simulation) suspectTasks(job string, suspicions int) {
	s.scheduler.jobs[job].eachTask(func(t *task) {
		t.crashes = suspicions
		t.setSuspicions(suspicions)
	})
}

// runsOf returns the number of runs of a job's tasks.
func (s *simulation) runsOf(job string) int {
	count := 0
	for _, r := range s.runs {
		if r.task.Job == job {
			count++
		}
	}
	return count
}

// Under constant load each executor has a task that could cause a crash at any time, so that a
// suspect depends on the reservation of an executor.
func TestSuspectDoesNotWaitForEver(t *testing.T) {
	for _, row := range []struct {
		name  string
		setUp func(sim *simulation)
		step  fulmarjob.Step
		tasks int
	}{
		{name: "a single task", setUp: func(*simulation) {}, step: step(1), tasks: 1},
		{name: "an executor full of long-running tasks", setUp: fillExecutor, step: step(1), tasks: 1},
		{name: "several tasks of which an executor takes one", setUp: func(*simulation) {}, step: onePerExecutor(step(3)), tasks: 3},
		{name: "a gang", setUp: func(*simulation) {}, step: gang(step(2)), tasks: 2},
		{name: "long-running tasks", setUp: func(*simulation) {}, step: longRunningStep(3, 1), tasks: 3},
	} {
		for _, suspicions := range []int{1, repeatSuspicions} {
			t.Run(fmt.Sprintf("%s, %d suspicions", row.name, suspicions), func(t *testing.T) {
				sim := newSimulation(t, 6)
				sim.runBehavior = func(id fulmarjob.TaskID, _ int64, _ *fakeExecutor) (fulmarclock.Millis, bool) {
					if sim.stepOf(id).LongRunning {
						return runsForever(id, 0, nil)
					}
					return fulmarclock.Millis(300 + 10*len(sim.runs)%500), false
				}
				sim.runUntil(1200)
				row.setUp(sim)
				sim.loadContinuously()
				sim.runUntil(sim.now + 2000)
				sim.submit(jobID(1), row.step)
				sim.suspectTasks(jobID(1), suspicions)
				sim.waitFor(sim.now+20000, fmt.Sprintf("%d tasks have started", row.tasks), func() bool { return sim.runsOf(jobID(1)) >= row.tasks })
			})
		}
	}
}

func onePerExecutor(s fulmarjob.Step) fulmarjob.Step {
	s.MaxPerExecutor = 1
	return s
}

func gang(s fulmarjob.Step) fulmarjob.Step {
	s.Gang, s.MaxPerExecutor = true, 1
	return s
}

// fillExecutor fills an executor with a long-running task.
func fillExecutor(sim *simulation) {
	large := longRunningStep(1, 1)
	large.Resources = fulmarjob.Resources{MilliCPU: 4000, MemoryMB: 4000}
	sim.submit(jobID(2), large)
	sim.waitFor(sim.now+20000, "the long-running task is available", func() bool { return sim.availableTasks(jobID(2)) == 1 })
	sim.runUntil(sim.now + 2000)
	quicktest.Assert(sim.t, sim.runs[0].executor, quicktest.Equals, "x-0")
}

func TestLossOfWholePoolIsolatesNoJobs(t *testing.T) {
	sim := newSimulation(t, 10)
	sim.runBehavior = func(fulmarjob.TaskID, int64, *fakeExecutor) (fulmarclock.Millis, bool) { return 10000, false }
	sim.runUntil(1200)
	for i := range 40 {
		sim.submit(jobID(i), step(1))
	}
	sim.waitFor(5000, "all tasks run", func() bool { return len(sim.runs) == 40 })
	sim.runUntil(sim.now + 400)
	for i := range 10 {
		sim.crashDowntime = fulmarclock.Millis(3000 + 50*i)
		sim.crashVM(sim.executors[i])
	}
	sim.waitFor(sim.now+16000, "all jobs are completed", sim.allCompleted)
}

func TestExecutorIsNotReservedForDelayedSuspect(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.runBehavior = runsForever
	sim.runUntil(1200)
	sim.submit(jobID(1), step(1))
	sim.waitFor(3000, "the executor is in use", func() bool { return len(sim.runs) == 1 })
	sim.submit(jobID(2), step(1))
	sim.suspectTasks(jobID(2), repeatSuspicions)
	e := sim.scheduler.executors["x-0"]
	sim.waitFor(sim.now+1000, "the executor is reserved", func() bool { return e.reservedFor != trial{} })
	sim.scheduler.findTask(fulmarjob.TaskID{Job: jobID(2)}).retryAt = sim.now + minRetryDelay
	sim.submit(jobID(3), step(1))
	sim.waitFor(sim.now+1000, "another job uses the executor", func() bool { return sim.runsOf(jobID(3)) == 1 })
}

func TestRepeatSuspectThatFitsNowhereHoldsUpNoOther(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.runUntil(1200)
	misfit := step(1)
	misfit.Label = "missing"
	sim.submit(jobID(1), misfit)
	sim.submit(jobID(2), step(1))
	sim.suspectTasks(jobID(1), repeatSuspicions)
	sim.suspectTasks(jobID(2), repeatSuspicions+1)
	sim.waitFor(sim.now+2000, "the other job is completed", func() bool { return sim.jobState(jobID(2)) == fulmarjob.Completed })
}

func TestReservationLetsNoMoreRepeatSuspectsStartThanTheLimit(t *testing.T) {
	const executors, limit = 8, 2
	sim := newSimulation(t, executors)
	sim.runBehavior = func(id fulmarjob.TaskID, _ int64, _ *fakeExecutor) (fulmarclock.Millis, bool) {
		if id.Job == jobID(1) {
			return 3000, false
		}
		return 200, false
	}
	sim.runUntil(1200)
	sim.submit(jobID(1), step(4*executors))
	sim.waitFor(3000, "all executors are full", func() bool { return len(sim.runs) == 4*executors })
	sim.submit(jobID(2), step(executors))
	sim.suspectTasks(jobID(2), repeatSuspicions)
	sim.waitFor(sim.now+30000, "all jobs are completed", func() bool {
		running := 0
		for _, e := range sim.executors {
			for id := range e.running {
				if id.Job == jobID(2) {
					running++
				}
			}
		}
		quicktest.Assert(t, running <= limit, quicktest.IsTrue, quicktest.Commentf("%d repeat suspects run at %d ms", running, sim.now))
		return sim.allCompleted()
	})
}
