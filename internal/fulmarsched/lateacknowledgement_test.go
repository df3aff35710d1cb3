package fulmarsched

import (
	"fmt"
	"slices"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// lateAcknowledgement is a play in which an acknowledgement reaches an executor that has restarted under
// its ID since it was sent.
type lateAcknowledgement struct {
	name string
	// journalDelay is the duration of the appends after the restart.
	journalDelay fulmarclock.Millis
	// isDue reports whether the acknowledgement arrives now.
	isDue func(s *simulation, e *fakeExecutor) bool
}

var lateAcknowledgements = []lateAcknowledgement{
	{name: "before the first end", isDue: func(_ *simulation, e *fakeExecutor) bool {
		return len(e.running) > 0 && e.finishedCount == 0
	}},
	{name: "between an end and its listing", isDue: func(s *simulation, e *fakeExecutor) bool {
		return len(e.finished) > 0 && s.scheduler.executors[e.info.ID].finishedSeen < e.finishedCount
	}},
	{name: "between the listing of an end and its journaling", journalDelay: 300, isDue: func(s *simulation, e *fakeExecutor) bool {
		return len(e.finished) > 0 && s.scheduler.executors[e.info.ID].finishedSeen == e.finishedCount
	}},
	{name: "after the journaling of an end", isDue: func(s *simulation, e *fakeExecutor) bool {
		x := s.scheduler.executors[e.info.ID]
		return e.finishedCount > 0 && x.acknowledged == e.finishedCount
	}},
}

// captureAcknowledgement runs jobs until an executor is sent an acknowledgement, and returns that.
func (s *simulation) captureAcknowledgement(tasks int) RenewCommand {
	s.completeJobs(1, tasks)
	e := s.scheduler.executors["x-0"]
	quicktest.Assert(s.t, e.acknowledgementConfirmed >= int64(tasks), quicktest.IsTrue)
	return RenewCommand{Target: e.target(), Token: e.fence.token, Acknowledged: e.acknowledgementConfirmed}
}

// An acknowledgement that arrives after a restart must delete no end of the later incarnation.
func TestLateAcknowledgementDeletesNoEndOfLaterIncarnation(t *testing.T) {
	for _, play := range lateAcknowledgements {
		for _, cursor := range []int64{1, 2, 3, 6, 1000} {
			for _, ownerChanges := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/up to %d/owner changes %v", play.name, cursor, ownerChanges), func(t *testing.T) {
					play.run(t, cursor, ownerChanges)
				})
			}
		}
	}
}

func (p lateAcknowledgement) run(t *testing.T, cursor int64, ownerChanges bool) {
	sim := newSimulation(t, 1)
	late := sim.captureAcknowledgement(6)
	late.Acknowledged = cursor
	e := sim.executors[0]
	e.crash()
	sim.runUntil(sim.now + 300)
	e.restart()
	if ownerChanges {
		sim.newOwner()
	}
	sim.runUntil(sim.now + 1000)
	sim.appendDelay = func() fulmarclock.Millis { return p.journalDelay }
	sim.submit(jobID(2), step(2))
	arrived := false
	sim.check = func() {
		if !arrived && p.isDue(sim, e) {
			arrived = true
			unread := slices.Clone(e.finished)
			e.renewLease(late)
			quicktest.Check(t, e.finished, quicktest.DeepEquals, unread)
		}
	}
	sim.waitFor(sim.now+30000, "the job is completed", sim.allCompleted)
	sim.runUntil(sim.now + 2000)
	quicktest.Check(t, arrived, quicktest.IsTrue)
	quicktest.Check(t, sim.counts["unread_ends"]+sim.counts["missing_runs"], quicktest.Equals, 0)
}

// A start that arrives after a restart, in which its task has ended, must not run the task again.
func TestLateStartForEarlierIncarnationDoesNotRunEndedTaskAgain(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.completeJobs(1, 1)
	e := sim.executors[0]
	late := fulmarjob.StartRequest{Task: fulmarjob.TaskID{Job: jobID(1)}, Run: 1, Deadline: 1 << 40, Token: sim.scheduler.executors["x-0"].fence.token}
	e.crash()
	e.restart()
	sim.runUntil(sim.now + 100)
	quicktest.Check(t, e.start(late), quicktest.Equals, fulmarjob.ResultFenced)
}

// An incarnation that has executed a command must refuse those for the one before, though the journal had no append.
func TestTokenRisesWithEachIncarnation(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.jobs[jobID(1)] = fulmarjob.Specification{Steps: []fulmarjob.Step{step(1)}}
	sim.runUntil(1200)
	e := sim.executors[0]
	for range 3 {
		late, revision := fulmarjob.StartRequest{Task: fulmarjob.TaskID{Job: jobID(1)}, Run: 1, Deadline: 1 << 40, Token: sim.scheduler.executors["x-0"].fence.token}, sim.revision
		e.crash()
		e.restart()
		sim.runUntil(sim.now + 100)
		quicktest.Assert(t, sim.revision, quicktest.Equals, revision)
		quicktest.Check(t, e.start(late), quicktest.Equals, fulmarjob.ResultFenced)
	}
}

// Each later owner's first token must be above every token of an earlier one.
func TestRaisedTokenStaysBelowThoseOfLaterOwners(t *testing.T) {
	sim := newSimulation(t, 1)
	for n := range 4 {
		sim.completeJobs(n, 2)
		first := sim.scheduler.executors["x-0"].fence.token
		sim.restartAll(0)
		sim.runUntil(sim.now + 100)
		raised := sim.scheduler.executors["x-0"].fence.token
		quicktest.Check(t, raised > first, quicktest.IsTrue, quicktest.Commentf("%d after %d", raised, first))
		sim.newOwner()
		quicktest.Check(t, sim.scheduler.executors["x-0"].fence.token > raised, quicktest.IsTrue)
	}
}

func isAcknowledgement(c Command) bool {
	r, found := c.(RenewCommand)
	return found && r.Acknowledged > 0
}

// An acknowledgement without a response must not follow a start to an incarnation that nobody knows yet.
func TestOpenAcknowledgementDeletesNoEndOfUnknownIncarnation(t *testing.T) {
	for _, downtime := range []fulmarclock.Millis{120, 300, 600} {
		for _, submittedAfter := range []fulmarclock.Millis{0, 150, 400} {
			t.Run(fmt.Sprintf("down for %d ms, job %d ms later", downtime, submittedAfter), func(t *testing.T) {
				sim := newSimulation(t, 1)
				sim.runsTake(50)
				sim.runUntil(1200)
				sim.loseNextResult(isAcknowledgement)
				sim.commandDelay = func(int) fulmarclock.Millis { return 1500 }
				sim.submit(jobID(1), step(4))
				sim.waitFor(sim.now+3000, "an acknowledgement has no response", func() bool { return sim.lostCommands == 1 })
				e := sim.executors[0]
				e.crash()
				sim.at(sim.now+downtime, func() { e.restartUnlisted(5000) })
				sim.runUntil(sim.now + downtime + submittedAfter)
				sim.submit(jobID(2), step(3))
				sim.waitFor(sim.now+30000, "the jobs are completed", sim.allCompleted)
				quicktest.Check(t, sim.counts["unread_ends"]+sim.counts["missing_runs"], quicktest.Equals, 0)
			})
		}
	}
}

// A start that a later one with a higher token has overtaken must be sent again at once.
func TestStartThatIsOvertakenByHigherTokenIsSentAgain(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.runUntil(1200)
	s := sim.scheduler
	s.TakeCommands()
	sim.submit(jobID(1), step(1))
	s.Committed(sim.now, s.Plan(sim.now, sim.unixMillis(), nil), sim.revision)
	first := startsAmong(s.TakeCommands())
	quicktest.Assert(t, first, quicktest.HasLen, 1)
	s.executors["x-0"].fence.raise(s.revision, first[0].Start.Token)
	s.HandleStartResult(sim.now, first[0], 1, fulmarjob.ResultFenced)
	again := startsAmong(s.TakeCommands())
	quicktest.Assert(t, again, quicktest.HasLen, 1)
	quicktest.Check(t, again[0].Start.Token, quicktest.Equals, first[0].Start.Token+1)
	s.HandleStartResult(sim.now, again[0], 1, fulmarjob.ResultFenced)
	quicktest.Check(t, startsAmong(s.TakeCommands()), quicktest.HasLen, 0)
}

func startsAmong(commands []Command) []StartCommand {
	var starts []StartCommand
	for _, c := range commands {
		if start, found := c.(StartCommand); found {
			starts = append(starts, start)
		}
	}
	return starts
}
