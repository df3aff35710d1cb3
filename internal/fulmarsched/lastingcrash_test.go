package fulmarsched

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// A lasting task has to run again restartBound after its last run, if all has been calm for calmBound.
const (
	restartBound = 9 * fulmarclock.Second
	calmBound    = 7 * fulmarclock.Second
)

// lastingStep returns a step of small tasks that last.
func lastingStep(count int) fulmarjob.Step {
	s := longRunningStep(count, count)
	s.Resources = fulmarjob.Resources{MilliCPU: 100, MemoryMB: 10}
	s.MaxPerExecutor = 0
	return s
}

// submitLasting submits jobs of lasting tasks beside a steady flow of short ones.
func (s *simulation) submitLasting(jobs, tasks int, until fulmarclock.Millis) {
	s.runBehavior = func(id fulmarjob.TaskID, _ int64, _ *fakeExecutor) (fulmarclock.Millis, bool) {
		if s.stepOf(id).LongRunning {
			return runsForever(id, 0, nil)
		}
		return 600, false
	}
	short := step(2)
	short.Resources.MilliCPU, short.EstimatedDuration = 500, 600
	for n, at := 1000, s.now; at < until; n, at = n+1, at+200 {
		s.at(at, func() { s.submit(jobID(n), short) })
	}
	s.runUntil(s.now + 2000)
	for n := range jobs {
		s.submit(jobID(n), lastingStep(tasks))
	}
}

// checkLastingRun fails the test if a lasting task has not run for restartBound. All is calm from a time on.
func (s *simulation) checkLastingRun(calmFrom fulmarclock.Millis) {
	latest := map[fulmarjob.TaskID]*taskRun{}
	for _, r := range s.runs {
		if s.stepOf(r.task).LongRunning {
			latest[r.task] = r
		}
	}
	for id, r := range latest {
		if r.endedAt > 0 && s.now > max(r.endedAt+restartBound, calmFrom+calmBound) && s.jobState(id.Job) != fulmarjob.Cancelled {
			s.t.Fatalf("%v at %d ms: its run %d ended at %d ms (%s)", id, s.now, r.number, r.endedAt, r.outcome)
		}
	}
}

// busiest returns the executor with the most runs of lasting tasks.
func (s *simulation) busiest() *fakeExecutor {
	var best *fakeExecutor
	most := -1
	for _, e := range s.executors {
		count := 0
		for id := range e.running {
			if s.stepOf(id).LongRunning {
				count++
			}
		}
		if e.alive && count > most {
			best, most = e, count
		}
	}
	return best
}

// One crash is weak evidence against each of many tasks that have just started.
func TestLastingTasksOfCrashedExecutorRunAgainInTime(t *testing.T) {
	for _, row := range []struct {
		name            string
		executors       int
		jobs, tasks     int
		after, downtime fulmarclock.Millis
		newOwnerAfter   fulmarclock.Millis
	}{
		{name: "jobs of one task", executors: 7, jobs: 84, tasks: 1, after: 500, downtime: 1000},
		{name: "jobs of several tasks", executors: 7, jobs: 28, tasks: 3, after: 500, downtime: 1000},
		{name: "tasks that have run for a while", executors: 7, jobs: 84, tasks: 1, after: 3000, downtime: 1000},
		{name: "an executor that is down for longer", executors: 7, jobs: 84, tasks: 1, after: 500, downtime: 20000},
		{name: "few executors", executors: 3, jobs: 36, tasks: 1, after: 500, downtime: 1000},
		{name: "many executors", executors: 30, jobs: 400, tasks: 1, after: 500, downtime: 1000},
		{name: "owner changes", executors: 7, jobs: 84, tasks: 1, after: 500, downtime: 1000, newOwnerAfter: 1500},
	} {
		t.Run(row.name, func(t *testing.T) {
			sim := newSimulation(t, row.executors)
			sim.refusesConnections = true
			sim.runUntil(1200)
			sim.submitLasting(row.jobs, row.tasks, 45000)
			sim.waitFor(sim.now+3000, "the lasting tasks run", func() bool { return len(sim.runsOfLasting()) == row.jobs*row.tasks })
			sim.runUntil(sim.now + row.after)
			e := sim.busiest()
			e.crash()
			sim.at(sim.now+row.downtime, e.restart)
			if row.newOwnerAfter > 0 {
				sim.at(sim.now+row.newOwnerAfter, sim.newOwner)
			}
			calm := sim.now + min(row.downtime, 10000)
			for until := sim.now + 30000; sim.now < until; {
				sim.advance()
				sim.checkLastingRun(calm)
			}
		})
	}
}

// Executors that go down and up by turns make suspects of the same tasks again and again.
func TestLastingTasksOfFlappingExecutorsRunAgainInTime(t *testing.T) {
	for _, executors := range []int{7, 12} {
		for _, downtime := range []fulmarclock.Millis{500, 1500} {
			for _, uptime := range []fulmarclock.Millis{1200, 2500, 4000} {
				t.Run(fmt.Sprintf("%d executors, two of them down for %d ms and up for %d ms", executors, downtime, uptime), func(t *testing.T) {
					sim := newSimulation(t, executors)
					sim.refusesConnections = true
					sim.runUntil(1200)
					sim.submitLasting(12*executors, 1, 45000)
					sim.waitFor(sim.now+3000, "the lasting tasks run", func() bool { return len(sim.runsOfLasting()) == 12*executors })
					sim.runUntil(sim.now + 500)
					calm := sim.now + 10000
					for i, e := range sim.executors[:2] {
						for at := sim.now + fulmarclock.Millis(700*i); at < calm-downtime; at += downtime + uptime {
							sim.at(at, e.crash)
							sim.at(at+downtime, e.restart)
						}
					}
					for until := calm + 25000; sim.now < until; {
						sim.advance()
						sim.checkLastingRun(calm)
					}
				})
			}
		}
	}
}

// harmOf counts the executors that a lasting task crashes in a time, and the other runs that this ends.
func (s *simulation) harmOf(deadly fulmarjob.TaskID, until fulmarclock.Millis) (crashes, lasting, short int) {
	s.runUntil(until)
	for _, own := range s.runs {
		if own.task != deadly || own.outcome != "lost" {
			continue
		}
		crashes++
		for _, r := range s.runs {
			switch {
			case r.endedAt != own.endedAt || r.executor != own.executor || r.outcome != "lost" || r.task == deadly:
			case s.stepOf(r.task).LongRunning:
				lasting++
			default:
				short++
			}
		}
	}
	return crashes, lasting, short
}

// The isolation of many suspects together must keep the harm of one that does crash its executors small.
func TestLastingTaskThatCrashesExecutorsAmongManySuspectsIsFoundSoon(t *testing.T) {
	const executors = 7
	for _, jobs := range []int{7, 28, 84} {
		for _, crashDelay := range []fulmarclock.Millis{10, 300, 900} {
			t.Run(fmt.Sprintf("%d lasting tasks, crash after %d ms", jobs, crashDelay), func(t *testing.T) {
				sim := newSimulation(t, executors)
				deadly := fulmarjob.TaskID{Job: jobID(3)}
				sim.crashUnder(deadly)
				sim.crashDelay = crashDelay
				sim.runUntil(1200)
				sim.submitLasting(jobs, 1, 60000)
				crashes, lasting, short := sim.harmOf(deadly, 60000)
				t.Logf("%d crashes, %d lasting and %d short runs lost", crashes, lasting, short)
				share := (jobs + executors - 2) / (executors - 1)
				quicktest.Check(t, crashes <= repeatSuspicions+earlyCrashLimit+2, quicktest.IsTrue)
				quicktest.Check(t, lasting <= crashes*share, quicktest.IsTrue)
				quicktest.Check(t, short, quicktest.Equals, 0)
			})
		}
	}
}

func (s *simulation) runsOfLasting() []*taskRun {
	var runs []*taskRun
	for _, r := range s.runs {
		if s.stepOf(r.task).LongRunning {
			runs = append(runs, r)
		}
	}
	return runs
}
