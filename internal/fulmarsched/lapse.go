package fulmarsched

import (
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// lapseRetention is how long a lapse may still turn out to have been a crash.
const lapseRetention = 60 * fulmarclock.Second

// recordLapse keeps the runs whose lease has expired on an executor: it may have been cut off, or
// have crashed, which a later incarnation on the same VM will show. Leases of one executor may
// expire at two times.
func (s *Scheduler) recordLapse(e *executor, expired []*task) {
	c := s.crashOf(e)
	if e.info.VM == "" || c == nil {
		return
	}
	c.runs = slices.DeleteFunc(c.runs, func(r crashedRun) bool { return !containsRunOf(expired, r.task) })
	if len(c.runs) == 0 {
		return
	}
	if first := s.lapses[e.info.VM]; first != nil && first.executor == c.executor && first.incarnation == c.incarnation {
		first.runs = append(first.runs, c.runs...)
		return
	}
	s.lapses[e.info.VM] = c
}

// resolveLapse records the crash of an incarnation whose lease had expired, once a later one
// shows that it has ended.
func (s *Scheduler) resolveLapse(e *executor) {
	c := s.lapses[e.info.VM]
	if c == nil {
		return
	}
	if e.info.Incarnation <= c.incarnation {
		if e.info.Draining {
			s.dropLapse(e.info.VM)
		}
		return
	}
	s.dropLapse(e.info.VM)
	if s.now > c.at+lapseRetention {
		return
	}
	kept := c.runs[:0]
	for _, r := range c.runs {
		if !r.task.hasCompleted() {
			kept = append(kept, r)
		}
	}
	c.runs = kept
	s.recordCrash(c)
}

// hasCompleted reports whether the task ran to its end, so that it does not crash executors. A task
// of a job that was cancelled or failed has not.
func (t *task) hasCompleted() bool {
	if t.job.state.IsFinal() {
		return t.job.state == fulmarjob.Completed
	}
	return t.state == taskDone
}

// dropLapse forgets the lapse of an incarnation that has responded or drains since, or whose VM is
// sent a command: its end will be no crash of the runs that lapsed.
func (s *Scheduler) dropLapse(vm string) { delete(s.lapses, vm) }

// dropLapses forgets lapses that are older than lapseRetention.
func (s *Scheduler) dropLapses() {
	for vm, c := range s.lapses {
		if s.now > c.at+lapseRetention {
			delete(s.lapses, vm)
		}
	}
}
