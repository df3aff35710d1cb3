package fulmarsched

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarreserve"
)

// hold is a reservation on an executor during one placement, without a task if there is none.
type hold struct {
	task *task
	gap  fulmarreserve.Gap
	// refused means that the reservation has kept another task off the executor.
	refused bool
}

// hold keeps the tasks that are placed later from delaying a reservation.
func (l *lookAhead) hold(e *executor, t *task, start fulmarclock.Millis) {
	e.hold = hold{task: t, gap: l.timelineOf(e).GapBefore(start, t.step.Reserved())}
	l.held = append(l.held, e)
}

func (e *executor) isHeld() bool { return e.hold.task != nil }

// keepsReservation reports whether the executor's reservation, if it has one, is not delayed by
// a task that is placed there now.
func (e *executor) keepsReservation(t *task) bool {
	if !e.isHeld() {
		return true
	}
	l := e.lookAhead
	if e.hold.gap.Admits(e.freeCapacity(), t.step.Reserved(), l.scheduler.latestBackfillEnd(t)) {
		return true
	}
	e.hold.refused = true
	if l.lastBlockedStep != t.step {
		l.lastBlockedStep = t.step
		l.blockedSteps++
	}
	return false
}

// latestBackfillEnd returns by when a task that is started now in a gap is assumed to have ended.
func (s *Scheduler) latestBackfillEnd(t *task) fulmarclock.Millis {
	if t.step.LongRunning {
		return fulmarreserve.Never
	}
	model := s.durationModels[estimateKey(t.job, t.step.Image)]
	return s.now + model.quantile(declaredDuration(t.step), ninetiethPercentile)
}

// limitBackfilling leaves out the reserved executors for the rest of the placement once they have refused
// maxBlockedSteps steps.
func (c *candidates) limitBackfilling() {
	l := c.lookAhead
	if l == nil || l.blockedSteps < maxBlockedSteps || l.isBackfillingOff {
		return
	}
	l.isBackfillingOff = true
	all := c.executors
	c.executors, c.maxFree = nil, fulmarjob.Resources{}
	for _, e := range all {
		if !e.isHeld() {
			c.add(e)
		}
	}
}
