package fulmarsoak

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarstandin/fulmarrig"
)

// finishTimeout is the time for all accepted jobs to end once all faults have ended.
const finishTimeout = 90 * time.Second

// shownBound is the time after which no task of a job that is shown as completed may start.
const shownBound = fulmarclock.Second

// checkCompletion waits until every accepted job is completed. Those with a task that crashes executors
// can't be: they must not be shown as ended until their callers cancel them.
func (s *soak) checkCompletion() {
	pending := slices.DeleteFunc(slices.Clone(s.accepted), s.isCrashing)
	for deadline := time.Now().Add(finishTimeout); len(pending) > 0 && time.Now().Before(deadline); time.Sleep(pollInterval) {
		pending = slices.DeleteFunc(pending, s.hasEnded)
	}
	for _, id := range pending {
		s.t.Errorf("accepted job %s is not completed %v after the last fault", id, finishTimeout)
	}
}

// cancelCrashing cancels the jobs with a task that crashes executors, which must be shown as not ended
// before and as cancelled afterwards.
func (s *soak) cancelCrashing() {
	for _, id := range s.accepted {
		if !s.isCrashing(id) {
			continue
		}
		s.awaitShown(id, fulmarjob.Queued, fulmarjob.Running)
		quicktest.Check(s.t, s.awaitStatus(http.MethodDelete, id), quicktest.Equals, http.StatusOK, quicktest.Commentf("cancelling of job %s", id))
		s.awaitShown(id, fulmarjob.Cancelled)
	}
}

// awaitStatus repeats a request about a job until a member answers it, and returns the status.
func (s *soak) awaitStatus(method, id string) int {
	for deadline := time.Now().Add(finishTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if status, _ := s.send(method, 0, id); status == http.StatusOK || status == http.StatusGone {
			return status
		}
	}
	return 0
}

// awaitShown waits until a job's state is shown, and checks that it is one of the expected ones.
func (s *soak) awaitShown(id string, expected ...fulmarjob.State) {
	for deadline := time.Now().Add(finishTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		status, text := s.send(http.MethodGet, 0, id)
		if status != http.StatusOK {
			continue
		}
		if !slices.ContainsFunc(expected, func(state fulmarjob.State) bool { return strings.Contains(text, string(state)) }) {
			s.t.Errorf("job %s is shown as %s, expected %v", id, text, expected)
		}
		return
	}
	s.t.Errorf("the state of job %s is not shown", id)
}

// hasEnded returns whether a job is completed. No run fails often enough that it may end otherwise.
func (s *soak) hasEnded(id string) bool {
	status, text := s.send(http.MethodGet, 0, id)
	switch {
	case status == http.StatusGone:
		s.t.Errorf("job %s was accepted, but the member does not know it", id)
	case status != http.StatusOK:
		return false
	case strings.Contains(text, string(fulmarjob.Completed)):
		s.shownCompleted[id] = s.clock.Now()
	case strings.Contains(text, string(fulmarjob.Failed)):
		s.t.Errorf("job %s failed, but its tasks can be done, and %d executors crashed under one of them", id, s.crashesUnder(id))
	default:
		return false
	}
	return true
}

// checkRuns compares the runs at the executors with the responses to callers.
func (s *soak) checkRuns() {
	runs := s.rig.Runs()
	s.violations = fulmarrig.FindViolations(runs)
	for _, line := range s.violations {
		s.t.Error(line)
	}
	s.checkShownJobs(runs)
	done := map[string]int{}
	ran := map[string]bool{}
	seen := map[string]bool{}
	for _, r := range runs {
		id, _, _ := strings.Cut(r.Task, ".")
		ran[id] = true
		if r.Outcome == "done" && !seen[r.Task] {
			seen[r.Task] = true
			done[id]++
		}
	}
	for _, id := range s.accepted {
		if s.isCrashing(id) {
			// The second step waits for the task that is never done.
			quicktest.Check(s.t, done[id] < firstStepTasks, quicktest.IsTrue, quicktest.Commentf("completed tasks of job %s: %d", id, done[id]))
			continue
		}
		quicktest.Check(s.t, done[id], quicktest.Equals, firstStepTasks+1, quicktest.Commentf("completed tasks of accepted job %s", id))
	}
	for _, id := range s.refused {
		quicktest.Check(s.t, ran[id], quicktest.IsFalse, quicktest.Commentf("job %s was refused at every attempt, but ran", id))
	}
	if s.t.Failed() {
		for _, line := range fulmarrig.FindUnreadAcknowledgements(runs) {
			s.t.Log(line)
		}
	}
}

// checkShownJobs checks that no task starts once its job is shown as completed. Commands that an executor executes
// late have no bound.
func (s *soak) checkShownJobs(runs []fulmarrig.Run) {
	for _, r := range runs {
		id, _, _ := strings.Cut(r.Task, ".")
		if shown, found := s.shownCompleted[id]; found && !r.Late && r.Started > shown+shownBound {
			s.t.Errorf("run started %d ms after its job was shown as completed: %+v", r.Started-shown, r)
		}
	}
}
