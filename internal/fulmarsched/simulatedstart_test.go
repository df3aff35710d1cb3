package fulmarsched

import (
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// checkStart checks the conditions for a start: the task does not run elsewhere, has no
// acknowledged end, and the steps before it are done. Where the step permits copies, the task may run
// on one other executor, and its start may be executed late: checkSentStart then checks it when it is sent.
func (s *simulation) checkStart(start fulmarjob.StartRequest, e *fakeExecutor) {
	s.t.Helper()
	isCopied := s.stepOf(start.Task).Speculative
	if s.acknowledged[start.Task] && !isCopied {
		s.t.Errorf("%v at %d ms: run %d started after an acknowledged end", start.Task, s.now, start.Run)
	}
	others := 0
	for _, other := range s.executors {
		r := other.running[start.Task]
		if r == nil {
			continue
		}
		others++
		if !isCopied || others > 1 || other == e {
			s.t.Errorf("%v at %d ms: run %d started on %s while run %d is on %s", start.Task, s.now, start.Run, e.info.ID, r.number, other.info.ID)
		}
	}
	for _, before := range s.stepOf(start.Task).DependsOn {
		for i := range s.jobs[start.Task.Job].Steps[before].Count {
			if !s.hasCompletedBefore(fulmarjob.TaskID{Job: start.Task.Job, Step: before, Index: i}) {
				s.t.Errorf("%v at %d ms: started before step %d was done", start.Task, s.now, before)
			}
		}
	}
}

// checkSentStart checks that no start is sent after an acknowledged end, or to an executor that drains.
func (s *simulation) checkSentStart(c StartCommand) {
	if s.acknowledged[c.Start.Task] {
		s.t.Errorf("%v at %d ms: start of run %d sent after an acknowledged end", c.Start.Task, s.now, c.Start.Run)
	}
	if e := s.scheduler.executors[c.Target.ID]; e != nil && e.info.Draining {
		s.t.Errorf("%v at %d ms: start of run %d sent to %s, which drains", c.Start.Task, s.now, c.Start.Run, c.Target.ID)
	}
}

func (s *simulation) hasCompleted(id fulmarjob.TaskID) bool {
	return slices.ContainsFunc(s.runs, func(r *taskRun) bool { return r.task == id && r.outcome == fulmarjob.RunDone })
}

// hasCompletedBefore reports whether a task has completed; one member stands for its whole gang.
func (s *simulation) hasCompletedBefore(id fulmarjob.TaskID) bool {
	if !s.stepOf(id).Gang {
		return s.hasCompleted(id)
	}
	return slices.ContainsFunc(s.runs, func(r *taskRun) bool {
		return r.task.Job == id.Job && r.task.Step == id.Step && r.outcome == fulmarjob.RunDone
	})
}

func (s *simulation) recordAcknowledged(e *fakeExecutor, number int64) {
	for _, f := range e.finished {
		if f.Sequence <= number && f.Sequence > e.expiredThrough && f.Outcome == fulmarjob.RunDone {
			s.acknowledged[f.Task] = true
			s.checkNotStartedSince(e, f)
		}
	}
}

// checkNotStartedSince fails the test if a task was started again after the run whose end is
// acknowledged. A copy may start before its owner has read that end.
func (s *simulation) checkNotStartedSince(e *fakeExecutor, f fulmarjob.FinishedTask) {
	if s.stepOf(f.Task).Speculative {
		return
	}
	i := slices.IndexFunc(s.runs, func(r *taskRun) bool {
		return r.task == f.Task && r.number == f.Run && r.executor == e.info.ID && r.incarnation == e.info.Incarnation && r.outcome == fulmarjob.RunDone
	})
	for _, r := range s.runs {
		if i >= 0 && r.task == f.Task && r.startedAt > s.runs[i].endedAt {
			s.t.Errorf("%v: run %d started at %d ms, after run %d had completed at %d ms", f.Task, r.number, r.startedAt, f.Run, s.runs[i].endedAt)
		}
	}
}
