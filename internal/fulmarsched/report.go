package fulmarsched

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// reconcileRunning compares the runs that an executor reports with the tasks placed on it.
func (s *Scheduler) reconcileRunning(e *executor, sentAt fulmarclock.Millis, listed []fulmarjob.RunningTask) {
	listedRuns := make(map[fulmarjob.TaskID]int64, len(listed))
	for _, r := range listed {
		listedRuns[r.Task] = r.Run
		t := s.findRun(r.Task, r.Run)
		if t == nil || t.executor != e || t.run != r.Run {
			s.stopUnexpectedRun(e, r, sentAt)
			continue
		}
		s.updateRunning(t, r)
	}
	e.forgetStrayRuns(sentAt)
	for _, t := range sortedTasks(e) {
		run, found := listedRuns[t.id]
		if !found || run != t.run {
			s.handleMissing(t, sentAt)
		}
	}
}

// noteUnlisted records whether a report may leave finished runs out, and logs when that changes.
func (s *Scheduler) noteUnlisted(e *executor, report fulmarjob.Report) {
	if report.MoreFinished {
		s.log.Count("partial_reports", "")
	}
	if report.MoreFinished == e.moreFinished {
		return
	}
	e.moreFinished = report.MoreFinished
	if !e.moreFinished {
		s.log.Log("executor lists all finished runs again", "executor", e.info.ID, "read_until", e.finishedSeen)
		return
	}
	s.log.Log("executor may have more finished runs than it lists; ending no placement that it does not report", "executor", e.info.ID, "listed", len(report.Finished), "tasks", len(e.tasks), "acknowledged", e.acknowledged)
}

// updateRunning updates a task from its entry in a report.
func (s *Scheduler) updateRunning(t *task, r fulmarjob.RunningTask) {
	s.confirmRun(t)
	if t.runningSince == 0 {
		t.runningSince = s.now
	}
	if t.confirmedAt == 0 {
		t.confirmedAt = s.now
	}
	if !t.job.started {
		t.job.started = true
	}
	t.progress, t.recentLoad = r.ProgressPercent, r.Measurement
	if r.Checkpoint != "" {
		t.checkpoint = r.Checkpoint
	}
	s.clearSuspicion(t)
}

// handleMissing handles a placed task that an executor reports neither as running nor as finished. Its
// run may have finished if the executor has more finished runs than it lists.
func (s *Scheduler) handleMissing(t *task, sentAt fulmarclock.Millis) {
	switch {
	case t.uncertain && !t.stopping:
		if t.startSentAt < sentAt {
			s.stopRun(t, stopNotReported)
		}
	case t.executor.moreFinished:
		return
	case t.stopping:
		if t.stopConfirmedAt > 0 && t.stopConfirmedAt < sentAt {
			s.endPlacement(t, "its run was stopped")
		}
	case t.confirmedAt > 0 && t.confirmedAt < sentAt:
		s.log.Count("missing_runs", "")
		s.endPlacement(t, "its executor does not report the run")
	case t.startsSent == 0:
		s.sendStart(t)
	}
}
