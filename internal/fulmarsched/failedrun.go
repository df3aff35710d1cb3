package fulmarsched

import (
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// handleFailure handles a failed run of a task or its copy. The job fails when the task has used up its
// attempts; otherwise the other run goes on, or the task is placed again.
func (s *Scheduler) handleFailure(e *executor, t *task) {
	t.countFailure(e)
	s.recordOutcome(e, t, true)
	s.endPlacement(t, "its run failed")
	s.endIfUsedUp(t)
}

// endIfUsedUp ends the job of a task that has used up its attempts.
func (s *Scheduler) endIfUsedUp(t *task) {
	if !t.step.LongRunning && t.originalTask().attempts >= t.job.queue.MaxAttempts {
		s.endJob(t.job, fulmarjob.Failed, "a task used up its attempts")
	}
}

// countLateFailure counts the failure of a run that is not placed any more, as its end is acknowledged, too. Runs up to
// the last one that counted may have been counted by a previous owner.
func (s *Scheduler) countLateFailure(e *executor, t *task, f fulmarjob.FinishedTask) {
	isCounted := f.Outcome != fulmarjob.RunFailed || f.Run <= t.failedRun
	if isCounted || t.state == taskDone || t.step.LongRunning || t.step.Speculative {
		return
	}
	t.countFailedRun(e, f.Run)
	s.markDirty(t.job)
	s.endIfUsedUp(t)
}

// countFailure counts the current run, which failed on e, as a failed attempt.
func (t *task) countFailure(e *executor) { t.originalTask().countFailedRun(e, t.run) }

// countFailedRun counts a run that failed on e as a failed attempt. The members of a gang share their run
// numbers, so a run counts once however many of them fail in it. All of them then prefer other executors than e,
// as another member would fail there too.
func (t *task) countFailedRun(e *executor, run int64) {
	attempts := t.attempts
	if t.failedRun != run {
		attempts++
	}
	for _, m := range t.startedTogether() {
		m.attempts, m.failedRun, m.failedOn = attempts, run, e.info.ID
	}
}

// recordOutcome detects outliers among the executors: it pauses placement on an executor on which
// tasks of several jobs failed without a success in between.
func (s *Scheduler) recordOutcome(e *executor, t *task, failed bool) {
	if !failed {
		e.failedJobs = nil
		return
	}
	e.failedJobs = append(e.failedJobs, t.id.Job)
	if len(e.failedJobs) < suspectFailures || countDistinct(e.failedJobs) < suspectJobs {
		return
	}
	e.avoidUntil, e.failedJobs = s.now+suspectBackoff, nil
	s.log.Log("placement on executor paused", "executor", e.info.ID, "why", "tasks of several jobs failed on it", "for_ms", suspectBackoff)
	s.log.Count("executors_avoided", "failures")
}

func countDistinct(values []string) int {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return len(slices.Compact(sorted))
}
