package fulmarsched

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// runsTake makes all runs take a time.
func (s *simulation) runsTake(duration fulmarclock.Millis) {
	s.runBehavior = func(fulmarjob.TaskID, int64, *fakeExecutor) (fulmarclock.Millis, bool) { return duration, false }
}

// restartAll restarts all executors under their IDs. The store lists them after a delay.
func (s *simulation) restartAll(delay fulmarclock.Millis) {
	for _, e := range s.executors {
		e.crash()
		e.restartUnlisted(delay)
	}
}

// completeJobs runs a job to its end, so that the executors have acknowledged ends, and lets them idle.
func (s *simulation) completeJobs(number, tasks int) {
	s.runUntil(s.now + 200)
	s.submit(jobID(number), step(tasks))
	s.waitFor(s.now+5000, "the first job is completed", s.allCompleted)
	s.runUntil(s.now + 2000)
}

func TestRunThatNewIncarnationConfirmedIsNotStartedElsewhere(t *testing.T) {
	for _, duration := range []fulmarclock.Millis{30, 200, 900, 3000} {
		for _, delay := range []fulmarclock.Millis{20, 50, 500, 5000} {
			t.Run(fmt.Sprintf("run of %d ms, listed after %d ms", duration, delay), func(t *testing.T) {
				sim := newSimulation(t, 2)
				sim.completeJobs(1, 1)
				sim.runsTake(duration)
				sim.restartAll(delay)
				sim.submit(jobID(2), step(2))
				sim.waitFor(sim.now+30000, "the job is completed", sim.allCompleted)
				quicktest.Check(t, sim.counts["repeated_runs"], quicktest.Equals, 0)
			})
		}
	}
}

func TestAcknowledgementOfEarlierIncarnationDeletesNoUnreadEnd(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.completeJobs(1, 6)
	sim.runsTake(20)
	sim.restartAll(5000)
	sim.submit(jobID(2), step(3))
	sim.waitFor(sim.now+30000, "the job is completed", sim.allCompleted)
	quicktest.Check(t, sim.counts["unread_ends"], quicktest.Equals, 0)
	quicktest.Check(t, sim.counts["missing_runs"], quicktest.Equals, 0)
}

func TestLeaseThatNewIncarnationTookFromStartIsWaitedFor(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.runUntil(30000)
	sim.runsTake(60000)
	sim.restartAll(1_000_000)
	sim.commandDelay = func(int) fulmarclock.Millis { return 0 }
	sim.loseNextResult(isStart)
	sim.submit(jobID(1), step(1))
	sim.waitFor(sim.now+3000, "the result of the start is lost", func() bool { return sim.lostCommands == 1 })
	task := sim.scheduler.findTask(fulmarjob.TaskID{Job: jobID(1)})
	sim.executorOf(Target{ID: task.executor.info.ID}).unresponsive = true
	sim.waitFor(sim.now+30000, "the task runs elsewhere", func() bool { return len(sim.runs) == 2 })
}

func TestRestoredPlacementThatNewIncarnationRunsIsNotStartedElsewhere(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.completeJobs(1, 1)
	sim.runsTake(3000)
	sim.restartAll(1_000_000)
	sim.submit(jobID(2), step(2))
	sim.waitFor(sim.now+3000, "the tasks run", func() bool { return len(sim.runs) == 3 })
	sim.newOwner()
	for _, e := range sim.executors {
		e.list()
	}
	sim.waitFor(sim.now+30000, "the job is completed", sim.allCompleted)
	quicktest.Check(t, sim.counts["repeated_runs"], quicktest.Equals, 0)
}

func TestLateAttemptOfStartRunsNotBesideItsSuccessor(t *testing.T) {
	for _, late := range []fulmarclock.Millis{1000, 2000, 4000} {
		t.Run(fmt.Sprintf("%d ms late", late), func(t *testing.T) {
			sim := newSimulation(t, 2)
			sim.runUntil(1200)
			sim.runsTake(8000)
			sim.commandDelay = func(int) fulmarclock.Millis { return late }
			sim.repeatsNext = isStart
			sim.submit(jobID(1), step(1))
			sim.runUntil(sim.now + 500)
			task := sim.scheduler.findTask(fulmarjob.TaskID{Job: jobID(1)})
			quicktest.Assert(t, task.runningSince > 0, quicktest.IsTrue)
			e := sim.executorOf(Target{ID: task.executor.info.ID})
			e.crash()
			e.restart()
			sim.waitFor(sim.now+30000, "the job is completed", sim.allCompleted)
		})
	}
}

func TestExecutorWithEarlierStartTimeAfterClockStepIsUsedAgain(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.completeJobs(1, 1)
	sim.executors[0].crash()
	sim.executors[0].restart()
	sim.executors[0].info.Incarnation = 500
	sim.executors[0].list()
	sim.submit(jobID(2), step(2))
	sim.waitFor(sim.now+30000, "the job is completed", sim.allCompleted)
}

// Executors restart under their IDs while results are lost, commands are executed late or twice,
// the store is down, executors don't respond and owners change. A command that an executor has
// received and not executed yet ends with its incarnation.
func TestRandomRestarts(t *testing.T) {
	for seed := range 200 {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runRandomRestarts(t, int64(seed)) })
	}
}

func runRandomRestarts(t *testing.T, seed int64) {
	random := newRandomSource(seed)
	sim := newFaultySimulation(t, random)
	sim.runBehavior = func(fulmarjob.TaskID, int64, *fakeExecutor) (fulmarclock.Millis, bool) {
		return fulmarclock.Millis(30 + random.intN(600)), random.intN(40) == 0
	}
	sim.runUntil(1200)
	for i := range 15 {
		sim.submit(jobID(i), step(1+random.intN(4)), step(1+random.intN(3), 0))
		sim.runUntil(sim.now + fulmarclock.Millis(random.intN(800)))
		sim.injectRestart(random)
	}
	sim.losesResult = func(int) bool { return false }
	sim.storeDown = false
	for _, e := range sim.executors {
		e.unresponsive = false
		if !e.alive {
			e.restart()
		}
		e.list()
	}
	sim.waitFor(sim.now+90000, "all accepted jobs have ended", sim.allEnded)
}

// newFaultySimulation returns a simulation that loses and delays results, commands and appends.
func newFaultySimulation(t *testing.T, random *randomSource) *simulation {
	sim := newSimulation(t, 3)
	sim.longPolls, sim.lateCommandsSurvive = random.intN(2) == 0, false
	sim.losesResult = func(int) bool { return random.intN(20) == 0 }
	sim.commandDelay = func(int) fulmarclock.Millis { return fulmarclock.Millis(random.intN(2000)) }
	sim.appendDelay = func() fulmarclock.Millis { return fulmarclock.Millis(random.intN(200)) }
	return sim
}

// injectRestart restarts an executor in half of its calls, and causes another fault in the others.
func (s *simulation) injectRestart(random *randomSource) {
	e := s.executors[random.intN(len(s.executors))]
	switch random.intN(8) {
	case 0:
		e.unresponsive = !e.unresponsive
	case 1:
		s.newOwner()
	case 2:
		s.storeDown = !s.storeDown
	case 3:
		s.repeatsNext = isStart
	default:
		if !e.alive {
			return
		}
		e.crash()
		delay := fulmarclock.Millis(random.intN(5000))
		s.events = append(s.events, event{at: s.now + fulmarclock.Millis(random.intN(400)), run: func() {
			if !e.alive {
				e.restartUnlisted(delay)
			}
		}})
	}
}

// A start is lost, so that no report shows it, while an end waits for its acknowledgement.
func TestAcknowledgementThatWaitsForReportDoesNotFloodExecutor(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.runUntil(1200)
	sim.commandDelay = func(int) fulmarclock.Millis { return 1_000_000 }
	sim.check = func() {
		sim.losesNext = func(c Command) bool { return isStart(c) && c.(StartCommand).Start.Task.Job == jobID(2) }
	}
	sim.submit(jobID(1), step(1))
	sim.submit(jobID(2), step(1))
	sim.waitFor(3000, "the first job is completed", func() bool { return sim.jobState(jobID(1)) == fulmarjob.Completed })
	before := sim.commandCount
	sim.runUntil(sim.now + 1000)
	limit := int(fulmarclock.Second/minRenewalInterval + fulmarclock.Second/resendDelay + 1)
	quicktest.Assert(t, sim.commandCount-before <= limit, quicktest.IsTrue, quicktest.Commentf("%d commands in a second", sim.commandCount-before))
}

func TestJobWhoseRunsEndedBeforeTwoCrashesIsNotGivenUp(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.runUntil(1200)
	sim.runsTake(100)
	crashes := 0
	sim.check = func() {
		for _, e := range sim.executors {
			if e.alive && len(e.finished) > 0 && crashes < 2 {
				crashes++
				e.crash()
				sim.at(sim.now+50, e.restart)
			}
		}
	}
	sim.submit(jobID(1), step(1))
	sim.waitFor(sim.now+20000, "the job is completed", sim.allCompleted)
}

func TestVMOfUnlistedRestartIsDrainedBeforeMaintenance(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.completeJobs(1, 1)
	sim.runsTake(1 << 40)
	sim.restartAll(20000)
	sim.submit(jobID(2), longRunningStep(3, 1))
	sim.waitFor(sim.now+3000, "the tasks run", func() bool { return len(sim.runs) == 4 })
	sim.runUntil(sim.now + 500)
	sim.startWave(3, 1)
	sim.runUntil(sim.now + 12000)
}

func TestTaskWhoseStartWasNeverSentWaitsForNoLease(t *testing.T) {
	for _, row := range []struct {
		ownerChanges bool
		limit        fulmarclock.Millis
	}{{false, 3000}, {true, 20000}} {
		sim := newSimulation(t, 2)
		sim.refusesConnections = true
		sim.runBehavior = runsForever
		sim.runUntil(1200)
		sim.executors[0].crash()
		sim.submit(jobID(1), longRunningStep(2, 1))
		if row.ownerChanges {
			sim.waitFor(sim.now+1000, "the start is sent", func() bool { return len(sim.runs) > 0 })
			sim.newOwner()
		}
		sim.addExecutor("x-other", "vm-other")
		sim.waitFor(sim.now+row.limit, "both tasks are available", func() bool { return sim.availableTasks(jobID(1)) == 2 })
	}
}

// A start that no report has shown must not hold its task up for the long polls of a later incarnation.
func TestRunThatNewIncarnationDoesNotListIsReleasedSoon(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.longPolls = true
	sim.runBehavior = runsForever
	sim.runUntil(1200)
	sim.submit(jobID(1), longRunningStep(2, 2))
	sim.waitFor(sim.now+3000, "the first tasks run", func() bool { return len(sim.runs) == 2 })
	sim.runUntil(sim.now + 3000)
	sim.submit(jobID(2), longRunningStep(2, 2))
	sim.waitFor(sim.now+3000, "all tasks run", func() bool { return len(sim.runs) == 4 })
	sim.runUntil(sim.now + 200)
	e := sim.executors[0]
	e.crash()
	sim.runUntil(sim.now + 1000)
	quicktest.Assert(t, countNotReported(sim.scheduler.executors[e.info.ID]), quicktest.Equals, 1)
	e.restart()
	lost := sim.scheduler.findTask(fulmarjob.TaskID{Job: jobID(2)})
	quicktest.Assert(t, lost.executor.info.ID, quicktest.Equals, e.info.ID)
	sim.waitFor(sim.now+500, "the lost task is released", func() bool { return lost.state == taskWaiting })
}

// A start whose result was lost must not make its task wait for the longest lease ever after.
func TestLeaseOfRunIsKnownOnceItsStartCantBeLateAnyMore(t *testing.T) {
	for _, row := range []struct {
		name  string
		loses bool
	}{{"result", false}, {"lost result", true}} {
		t.Run(row.name, func(t *testing.T) {
			sim := newSimulation(t, 3)
			sim.runBehavior = runsForever
			sim.runUntil(1200)
			if row.loses {
				sim.loseNextResult(isStart)
			}
			sim.submit(jobID(1), longRunningStep(1, 1))
			sim.waitFor(sim.now+3000, "the task runs", func() bool { return sim.availableTasks(jobID(1)) == 1 })
			sim.runUntil(sim.now + 15000)
			sim.executorRunning(sim.runs[0].task).crash()
			sim.waitFor(sim.now+restartBound, "the task runs elsewhere", func() bool { return len(sim.runs) == 2 })
		})
	}
}
