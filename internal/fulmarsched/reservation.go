package fulmarsched

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarreserve"
)

// keptLogStep is by how much a reservation's start must change to be logged again.
const keptLogStep = 200 * fulmarclock.Millis(1)

// Reasons for which a reservation ends without being used.
const (
	givenUpJobEnded            = "job-ended"
	givenUpLate                = "late"
	givenUpPlacedElsewhere     = "placed-elsewhere"
	givenUpExecutorUnavailable = "executor-unavailable"
	givenUpMoved               = "moved"
	givenUpLimit               = "limit"
	givenUpOutranked           = "outranked"
	givenUpOverload            = "overload"
)

// countIdle counts the core-seconds that the reservations have kept from other tasks since the last
// placement.
func (l *lookAhead) countIdle(service string) {
	const coreSecond = 1000 * int64(fulmarclock.Second)
	before := l.idleWork / coreSecond
	l.idleWork += l.idleCPU * int64(l.scheduler.now-l.recomputedAt)
	for range l.idleWork/coreSecond - before {
		l.scheduler.log.Count("reserved_idle_core_seconds", service)
	}
}

// endReservation logs and counts the end of a reservation. The time that it lasted counts towards
// the limit of the task's later ones.
func (l *lookAhead) endReservation(r fulmarreserve.Reservation) {
	s := l.scheduler
	t, lasted := s.findTask(r.Task), s.now-r.Since
	if t != nil && t.state == taskPlaced && t.executor.info.ID == r.Executor {
		s.log.Log("reservation used", "job", r.Task.Job, "step", r.Task.Step, "index", r.Task.Index, "executor", r.Executor, "lasted_ms", lasted, "late_ms", s.now-r.Start)
		s.log.Count("reservations", "used")
		return
	}
	reason := l.reasonGivenUp(t, r)
	if t != nil && t.state == taskWaiting && !l.hasReservation(t) {
		t.reservedFor += lasted
	}
	s.log.Log("reservation given up", "job", r.Task.Job, "step", r.Task.Step, "index", r.Task.Index, "executor", r.Executor, "lasted_ms", lasted, "why", reason)
	s.log.Count("reservations_given_up", reason)
}

// reasonGivenUp returns why the reservation of a task has ended. t is nil if the task is no longer known.
func (l *lookAhead) reasonGivenUp(t *task, r fulmarreserve.Reservation) string {
	s := l.scheduler
	e := s.executors[r.Executor]
	switch {
	case t == nil || t.state == taskDone || t.job.state.IsFinal():
		return givenUpJobEnded
	case t.state == taskPlaced:
		return givenUpPlacedElsewhere
	case e == nil || !e.isSchedulable(s.now) || e.isIsolated():
		return givenUpExecutorUnavailable
	case t.job.rank.class != classOnTime:
		return givenUpLate
	case l.hasReservation(t):
		return givenUpMoved
	case l.overload == overloaded:
		return givenUpOverload
	case !l.reservations.IsFull():
		return givenUpLimit
	}
	return givenUpOutranked
}

func (l *lookAhead) hasReservation(t *task) bool {
	for _, r := range l.reservations.All() {
		if r.Task == t.id {
			return true
		}
	}
	return false
}

// logReserved logs and counts a reservation that is made or kept.
func (l *lookAhead) logReserved(t *task, r, earlier fulmarreserve.Reservation, limit fulmarclock.Millis) {
	s := l.scheduler
	if earlier.Executor != r.Executor {
		s.log.Log("reservation made", "job", r.Task.Job, "step", r.Task.Step, "index", r.Task.Index, "executor", r.Executor, "mcpu", t.step.Reserved().MilliCPU, "memory_mb", t.step.Reserved().MemoryMB, "start_in_ms", r.Start-s.now, "limit_in_ms", limit-s.now)
		s.log.Count("reservations", "made")
		return
	}
	s.log.Count("reservations", "kept")
	if r.Start >= earlier.Start+keptLogStep {
		s.log.Log("reservation kept", "job", r.Task.Job, "step", r.Task.Step, "index", r.Task.Index, "executor", r.Executor, "start_in_ms", r.Start-s.now, "later_by_ms", r.Start-earlier.Start, "limit_in_ms", limit-s.now)
	}
}
