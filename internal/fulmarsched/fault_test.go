package fulmarsched

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

func TestJobsRunToTheirEnd(t *testing.T) {
	w := newWorld(t, 3)
	w.play(1200)
	for i := range 6 {
		quicktest.Assert(t, w.submit(jobID(i), step(3), step(2, 0)).Outcome, quicktest.Equals, OutcomeAccepted)
	}
	w.playUntil(10000, "all jobs are completed", w.allCompleted)
	quicktest.Assert(t, len(w.runs), quicktest.Equals, 30)
	quicktest.Assert(t, w.noRoom, quicktest.Equals, 0)
}

// Each row is a fault; whatever happens, no task runs twice at a time or after an
// acknowledged end, and all jobs end. The checks are in the played executors.
var faults = []struct {
	name  string
	until fulmarclock.Millis
	play  func(w *world)
}{
	{"every third answer is lost", 30000, func(w *world) {
		w.loses = func(n int) bool { return n%3 == 0 }
	}},
	{"lost starts are carried out 2 s late", 60000, func(w *world) {
		w.loses = func(n int) bool { return n%4 == 0 }
		w.lateBy = func(int) fulmarclock.Millis { return 2000 }
	}},
	{"lost starts are carried out 12 s late", 60000, func(w *world) {
		w.loses = func(n int) bool { return n%5 == 0 }
		w.lateBy = func(int) fulmarclock.Millis { return 12000 }
	}},
	{"an executor is silent for good", 60000, func(w *world) {
		w.play(w.now + 100)
		w.executors[0].silent = true
	}},
	{"an executor is silent for a while", 60000, func(w *world) {
		w.play(w.now + 100)
		w.executors[0].silent = true
		w.play(w.now + 3000)
		w.executors[0].silent = false
	}},
	{"an executor crashes and begins a new life", 60000, func(w *world) {
		w.play(w.now + 100)
		w.executors[0].crash()
		w.play(w.now + 2000)
		w.executors[0].restart()
	}},
	{"an executor crashes and its VM comes back with another one", 60000, func(w *world) {
		w.play(w.now + 100)
		w.executors[0].crash()
		w.play(w.now + 1000)
		w.addExecutor("x-other", "vm-0")
	}},
	{"an entry disappears while its executor works on", 60000, func(w *world) {
		w.play(w.now + 100)
		w.scheduler.RemoveExecutor(w.now, "x-0")
		w.play(w.now + 2000)
		w.scheduler.UpdateExecutor(w.now, w.executors[0].info)
	}},
	{"the store is down for 5 s", 60000, func(w *world) {
		w.play(w.now + 100)
		w.storeDown = true
		w.play(w.now + 5000)
		w.storeDown = false
	}},
	{"owners change every 300 ms", 60000, func(w *world) {
		for range 10 {
			w.play(w.now + 300)
			w.newOwner()
		}
	}},
	{"owners change while an executor is silent", 60000, func(w *world) {
		w.play(w.now + 100)
		w.executors[1].silent = true
		for range 6 {
			w.play(w.now + 2000)
			w.newOwner()
		}
	}},
	{"owners change while answers are lost", 60000, func(w *world) {
		w.loses = func(n int) bool { return n%4 == 0 }
		w.lateBy = func(int) fulmarclock.Millis { return 3000 }
		for range 5 {
			w.play(w.now + 700)
			w.newOwner()
		}
	}},
	{"one executor fails all that it starts", 60000, func(w *world) {
		w.behave = func(_ fulmarjob.TaskID, _ int64, e *playedExecutor) (fulmarclock.Millis, bool) {
			return 200, e.info.ID == "x-0"
		}
	}},
}

func TestFaults(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			w := newWorld(t, 3)
			w.play(1200)
			for i := range 8 {
				w.submit(jobID(i), step(3), step(2, 0))
			}
			w.playUntil(2000, "the jobs are stored", func() bool { return len(w.journal) >= 16 })
			f.play(w)
			w.playUntil(f.until, "all jobs are completed", w.allCompleted)
		})
	}
}

// The owner is killed after each step of a job's way: with its append lost or
// carried out without an answer, and with an executor that the next owner can
// reach or not.
func TestOwnerKilledAtEveryStep(t *testing.T) {
	for _, applied := range []bool{false, true} {
		for _, silent := range []bool{false, true} {
			for after := worldStep; after < 1200; after += worldStep {
				killOwner(t, after, applied, silent)
				if t.Failed() {
					t.Fatalf("killed %d ms after the job was stored, append carried out: %v, executor silent: %v", after, applied, silent)
				}
			}
		}
	}
}

func killOwner(t *testing.T, after fulmarclock.Millis, applied, silent bool) {
	w := newWorld(t, 2)
	w.play(1200)
	w.submit(jobID(1), step(3), step(2, 0))
	w.playUntil(1500, "the job is stored", func() bool { return len(w.journal) > 0 })
	w.play(w.now + after)
	if applied && w.batch != nil {
		w.apply(w.batch)
	}
	w.executors[0].silent = silent
	w.newOwner()
	w.play(w.now + 5000)
	w.executors[0].silent = false
	w.playUntil(60000, "the job is completed", w.allCompleted)
}

// The answers to starts are lost and the runs end before they are asked for again.
func TestARunThatEndedUnseenIsNotStartedAgain(t *testing.T) {
	w := newWorld(t, 2)
	w.behave = func(fulmarjob.TaskID, int64, *playedExecutor) (fulmarclock.Millis, bool) { return 50, false }
	w.play(1200)
	lost := map[int]bool{}
	w.loses = func(n int) bool { return lost[n] }
	for i := range 40 {
		w.submit(jobID(i), step(2))
		for n := w.orders + 1; n < w.orders+4; n++ {
			lost[n] = true
		}
		w.play(w.now + 70)
	}
	w.playUntil(60000, "all accepted jobs have ended", w.allEnded)
}

func TestAFinalStateShowsOnlyFromTheJournal(t *testing.T) {
	w := newWorld(t, 1)
	w.play(1200)
	w.submit(jobID(1), step(1))
	w.playUntil(2000, "the task runs", func() bool { return len(w.runs) == 1 })
	w.storeDown = true
	w.play(w.now + 2000)
	quicktest.Assert(t, w.runs[0].how, quicktest.Equals, fulmarjob.EndedDone)
	quicktest.Assert(t, w.state(jobID(1)), quicktest.Equals, fulmarjob.Running)
	w.storeDown = false
	w.playUntil(w.now+1000, "the state is shown", w.allCompleted)
}

func TestTheRestOfALeaseSurvivesChangesOfTheOwner(t *testing.T) {
	w := newWorld(t, 2)
	w.behave = func(fulmarjob.TaskID, int64, *playedExecutor) (fulmarclock.Millis, bool) { return 100000, false }
	w.play(1200)
	w.submit(jobID(1), lasting(1, 1))
	w.playUntil(3000, "the task runs", func() bool { return len(w.runs) == 1 })
	w.play(w.now + 1000)
	w.find(Target{ID: w.runs[0].executor}).crash()
	crashed := w.now
	const changes, period = 4, 2000
	for range changes {
		w.play(w.now + period)
		w.newOwner()
	}
	// The first of the new owners waits for the longest lease, and each change costs at most a step of the record;
	// without the record the last owner would wait for the longest lease anew.
	limit := longestFrom(crashed+period, testBounds.MaxLease) + (changes-1)*silenceStep + lapseMargin + 500
	quicktest.Assert(t, limit < longestFrom(w.now, testBounds.MaxLease), quicktest.IsTrue)
	w.playUntil(limit, "the task runs elsewhere", func() bool { return len(w.runs) == 2 })
}

func TestAttemptsAreCountedAndPoisonFails(t *testing.T) {
	w := newWorld(t, 3)
	w.behave = func(fulmarjob.TaskID, int64, *playedExecutor) (fulmarclock.Millis, bool) { return 100, true }
	w.play(1200)
	w.submit(jobID(1), step(1))
	w.playUntil(20000, "the job has failed", func() bool { return w.state(jobID(1)) == fulmarjob.Failed })
	quicktest.Assert(t, len(w.runs), quicktest.Equals, 3)
	places := map[string]bool{}
	for _, r := range w.runs {
		places[r.executor] = true
	}
	quicktest.Assert(t, len(places) >= 2, quicktest.IsTrue)
}

func TestACancelledJobStartsNothing(t *testing.T) {
	w := newWorld(t, 1)
	w.behave = func(fulmarjob.TaskID, int64, *playedExecutor) (fulmarclock.Millis, bool) { return 100000, false }
	w.play(1200)
	w.submit(jobID(1), step(6))
	w.playUntil(3000, "the executor is full", func() bool { return len(w.runs) == 4 })
	quicktest.Assert(t, w.scheduler.Cancel(w.now, w.unix(), jobID(1)).Outcome, quicktest.Equals, OutcomeAccepted)
	w.playUntil(w.now+testBounds.StopTimeout+1000, "all runs have ended", func() bool { return len(w.executors[0].running) == 0 })
	w.play(w.now + 3000)
	quicktest.Assert(t, len(w.runs), quicktest.Equals, 4)
	quicktest.Assert(t, w.state(jobID(1)), quicktest.Equals, fulmarjob.Cancelled)
}

func TestTheSameIDStaysOneJob(t *testing.T) {
	w := newWorld(t, 1)
	w.play(1200)
	w.submit(jobID(1), step(2))
	w.submit(jobID(1), step(2))
	w.playUntil(5000, "the job is completed", w.allCompleted)
	w.newOwner()
	w.play(w.now + 200)
	quicktest.Assert(t, w.submit(jobID(1), step(2)).Outcome, quicktest.Equals, OutcomeAccepted)
	w.play(w.now + 3000)
	quicktest.Assert(t, len(w.runs), quicktest.Equals, 2)
}

func TestGangStartsWholeAndSharesItsRun(t *testing.T) {
	w := newWorld(t, 2)
	w.play(1200)
	gang := step(6)
	gang.Gang = true
	w.submit(jobID(1), step(4))
	w.submit(jobID(2), gang)
	w.playUntil(10000, "both jobs are completed", w.allCompleted)
	var starts []fulmarclock.Millis
	for _, r := range w.runs {
		if r.task.Job == jobID(2) {
			starts = append(starts, r.began)
			quicktest.Assert(t, r.number, quicktest.Equals, int64(1))
		}
	}
	quicktest.Assert(t, len(starts), quicktest.Equals, 6)
	quicktest.Assert(t, starts[5]-starts[0] < 100, quicktest.IsTrue)
}

func TestRandomFaults(t *testing.T) {
	for seed := range 60 {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playRandom(t, int64(seed)) })
	}
}

// The scheduler has no randomness of its own: the same events lead to the same runs.
func TestTheSameEventsLeadToTheSameRuns(t *testing.T) {
	for seed := range int64(5) {
		first, second := playRandom(t, seed), playRandom(t, seed)
		quicktest.Assert(t, len(first.runs), quicktest.Equals, len(second.runs))
		for i := range first.runs {
			quicktest.Assert(t, *first.runs[i] == *second.runs[i], quicktest.IsTrue, quicktest.Commentf("seed %d, run %d", seed, i))
		}
	}
}

// playRandom mixes lost answers, silences, crashes, outages and changes of the owner.
func playRandom(t *testing.T, seed int64) *world {
	random := newRandom(seed)
	w := newWorld(t, 3)
	w.loses = func(int) bool { return random.below(12) == 0 }
	w.lateBy = func(int) fulmarclock.Millis { return fulmarclock.Millis(random.below(6000)) }
	w.behave = func(fulmarjob.TaskID, int64, *playedExecutor) (fulmarclock.Millis, bool) {
		return fulmarclock.Millis(50 + random.below(900)), random.below(40) == 0
	}
	w.play(1200)
	for i := range 10 {
		w.submit(jobID(i), step(1+random.below(4)), step(1+random.below(3), 0))
		w.play(w.now + fulmarclock.Millis(random.below(600)))
		w.disturb(random)
	}
	for _, e := range w.executors {
		e.silent = false
		if !e.alive {
			e.restart()
		}
		w.scheduler.UpdateExecutor(w.now, e.info)
	}
	w.storeDown = false
	w.loses = func(int) bool { return false }
	w.playUntil(w.now+90000, "all accepted jobs have ended", w.allEnded)
	return w
}

func (w *world) disturb(random *testRandom) {
	e := w.executors[random.below(len(w.executors))]
	switch random.below(7) {
	case 0:
		e.silent = !e.silent
	case 1:
		if e.alive {
			e.crash()
		} else {
			e.restart()
		}
	case 2:
		w.newOwner()
	case 3:
		if w.batch != nil && !w.storeDown {
			w.apply(w.batch)
		}
		w.newOwner()
	case 4:
		w.storeDown = !w.storeDown
	case 5:
		w.scheduler.RemoveExecutor(w.now, e.info.ID)
	}
}

// A job that waits for its first batch can be refused as if it had never come; one
// that was part of a batch can't, as the journal may hold it.
func TestOnlyJobsWithoutABatchAreWithdrawn(t *testing.T) {
	w := newWorld(t, 2)
	w.play(1200)
	w.submit(jobID(1), step(2))
	w.play(w.now + worldStep)
	w.storeDown = true
	w.submit(jobID(2), step(2))
	quicktest.Assert(t, w.scheduler.Withdraw(w.now, jobID(1)), quicktest.IsFalse)
	quicktest.Assert(t, w.scheduler.Withdraw(w.now, jobID(2)), quicktest.IsTrue)
	quicktest.Assert(t, w.scheduler.HasJob(jobID(2)), quicktest.IsFalse)
	w.storeDown = false
	w.play(w.now + 3000)
	quicktest.Assert(t, w.state(jobID(1)), quicktest.Equals, fulmarjob.Completed)
	for _, r := range w.runs {
		quicktest.Assert(t, r.task.Job, quicktest.Equals, jobID(1))
	}
	quicktest.Assert(t, w.submit(jobID(2), step(2)).Outcome, quicktest.Equals, OutcomeAccepted)
	w.play(w.now + 3000)
	quicktest.Assert(t, w.state(jobID(2)), quicktest.Equals, fulmarjob.Completed)
}
