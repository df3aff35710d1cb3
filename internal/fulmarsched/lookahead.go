package fulmarsched

import (
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarreserve"
)

// Look-ahead placement keeps small tasks from taking each gap before it is large enough for a large
// task. When a task of a job that can still be on time fits on no executor, the executor where it
// fits soonest is reserved. Tasks that are placed after it, because their jobs' ranks are lower, may
// use that executor as far as they don't delay it. The reservations are made anew at each placement.
// This is EASY backfilling with reservations for more than one task.

const (
	// maxFailedSearches limits the tasks per placement and service for which all executors are searched
	// without a reservation, maxConsideredSteps the waiting steps that are considered for one,
	// maxBlockedSteps the steps that are tried although only reserved executors have room for them.
	// They bound the cost of a placement when thousands of tasks wait.
	maxFailedSearches  = 4
	maxConsideredSteps = 32
	maxBlockedSteps    = 32
)

// lookAhead is the state of look-ahead placement for a service.
type lookAhead struct {
	scheduler    *Scheduler
	reservations fulmarreserve.Set
	// held are the executors with a reservation of the present placement.
	held []*executor
	// failed are the searches of the present placement that led to no reservation. consideredSteps is the
	// number of waiting steps that were considered for one, blockedSteps the number of steps that a
	// reservation refused, lastBlockedStep the last of them.
	failed          []failedSearch
	consideredSteps int
	blockedSteps    int
	lastBlockedStep *fulmarjob.Step
	// isBackfillingOff means that reserved executors are left out for the rest of the placement.
	isBackfillingOff bool
	choices          []fulmarreserve.Choice
	// capacity is the CPU of the schedulable executors in millicores. overload says whether the service is
	// overloaded at the present placement, as far as that was needed.
	capacity int64
	overload overloadState
	// recomputedAt is the time of the last placement, idleCPU the CPU in millicores that its reservations
	// kept from other tasks, idleWork what was kept so far, in millicore-milliseconds.
	recomputedAt fulmarclock.Millis
	idleCPU      int64
	idleWork     int64
}

// failedSearch is the earliest start at which a task of a size can fit; Never if it can't. Larger tasks
// need not be searched for.
type failedSearch struct {
	resources fulmarjob.Resources
	start     fulmarclock.Millis
}

// lookAheadOf returns the state of a service, nil if look-ahead placement is off.
func (s *Scheduler) lookAheadOf(service string) *lookAhead {
	if !s.params.LookAhead {
		return nil
	}
	l := s.lookAheads[service]
	if l == nil {
		l = &lookAhead{scheduler: s}
		s.lookAheads[service] = l
	}
	return l
}

// beginLookAhead begins a placement, without reservations.
func (s *Scheduler) beginLookAhead(byService map[string]*candidates) {
	for service, c := range byService {
		c.lookAhead = s.lookAheadOf(service)
	}
	for service, l := range s.lookAheads {
		executors := 0
		if c := byService[service]; c != nil {
			executors = len(c.executors)
			l.setExecutors(c.executors)
		}
		l.begin(service, executors)
	}
}

func (l *lookAhead) begin(service string, executors int) {
	s := l.scheduler
	l.countIdle(service)
	l.failed, l.consideredSteps, l.blockedSteps, l.lastBlockedStep, l.isBackfillingOff = l.failed[:0], 0, 0, nil, false
	l.overload = overloadUnknown
	l.reservations.Recompute(executors)
	l.recomputedAt, l.idleCPU = s.now, 0
}

// setExecutors tells the schedulable executors of the service whose state holds for them.
func (l *lookAhead) setExecutors(executors []*executor) {
	l.capacity = 0
	for _, e := range executors {
		e.lookAhead = l
		l.capacity += e.info.Capacity.MilliCPU
	}
}

// reserveAhead reserves executors for the waiting tasks of a step that fit on none. Gangs and suspects
// of crashes are left out: a gang needs all its capacity at once, and suspects have an isolation of
// their own.
func (s *Scheduler) reserveAhead(o *occurrence, step int, c *candidates) {
	l := c.lookAhead
	if l == nil || s.placementsLeft <= 0 || !l.maySearch() {
		return
	}
	l.consideredSteps++
	if !l.isEligible(o.steps[step][0]) {
		return
	}
	var allowed []*executor
	for _, t := range o.steps[step] {
		if t.state != taskWaiting {
			continue
		}
		if s.isHeldBack(t) {
			return
		}
		limit := l.limitOf(t)
		if limit <= s.now {
			continue
		}
		if allowed == nil {
			allowed = s.allowedExecutors(t.job, o, step, c.executors)
		}
		if !l.keep(t, allowed, limit) && !l.reserve(t, o.steps[step], allowed, limit) || !l.maySearch() {
			return
		}
	}
}

// maySearch reports whether another reservation is permitted, and the work of the placement within its
// bound.
func (l *lookAhead) maySearch() bool {
	return l.consideredSteps < maxConsideredSteps && !l.reservations.IsFull() && len(l.failed) < maxFailedSearches && !l.isBackfillingOff && l.overload != overloaded
}

// isEligible reports whether the tasks of a step may get reservations, which t is one of, and none of the
// searches before shows that they can't fit in time. Tasks that a reservation keeps off an executor
// would fit.
func (l *lookAhead) isEligible(t *task) bool {
	j := t.job
	if j.rank.class != classOnTime || j.suspects > 0 || t.step.Gang || t.step.LongRunning || l.lastBlockedStep == t.step {
		return false
	}
	for _, f := range l.failed {
		if l.scheduler.now+j.rank.slack < f.start && f.resources.FitsIn(t.step.Reserved()) {
			return false
		}
	}
	return true
}

// keep makes the task's reservation of the last placement again, unless its start has become later by
// MoveGain or it is not possible any more.
func (l *lookAhead) keep(t *task, allowed []*executor, limit fulmarclock.Millis) bool {
	s := l.scheduler
	r, found := l.reservations.Earlier(t.id)
	e := s.executors[r.Executor]
	if !found || e == nil || e.isHeld() || e.isIsolated() || !slices.Contains(allowed, e) || l.isOverloaded(t.job.queue.Service) {
		return false
	}
	before := r
	if r.Start, found = l.timelineOf(e).EarliestFit(s.now, t.step.Reserved()); !found || r.Start <= s.now || r.Start > min(limit, before.Start+fulmarreserve.MoveGain) {
		return false
	}
	return l.add(e, t, r, before, limit)
}

// add adds a reservation on an executor. It returns false if that is not permitted.
func (l *lookAhead) add(e *executor, t *task, r, before fulmarreserve.Reservation, limit fulmarclock.Millis) bool {
	if !l.reservations.Add(r) {
		return false
	}
	l.hold(e, t, r.Start)
	l.logReserved(t, r, before, limit)
	return true
}

// reserve reserves the executor where a task fits soonest. It returns false if it fits on none in time.
func (l *lookAhead) reserve(t *task, members []*task, allowed []*executor, limit fulmarclock.Millis) bool {
	s := l.scheduler
	earlier, _ := l.reservations.Earlier(t.id)
	l.listChoices(t, members, allowed)
	best, found := fulmarreserve.Soonest(l.choices, earlier.Executor)
	if !found || best.Start <= s.now || best.Start > limit {
		l.recordFailure(t, best.Start, found)
		return false
	}
	if l.isOverloaded(t.job.queue.Service) {
		return false
	}
	r := fulmarreserve.Reservation{Task: t.id, Executor: best.Executor, Start: best.Start, Since: l.reservedSince(t)}
	return l.add(s.executors[r.Executor], t, r, earlier, limit)
}

// reservedSince returns since when the task has its reservation; now if it has none.
func (l *lookAhead) reservedSince(t *task) fulmarclock.Millis {
	if earlier, found := l.reservations.Earlier(t.id); found {
		return earlier.Since
	}
	return l.scheduler.now
}

// limitOf returns the latest start of a reservation for the task.
func (l *lookAhead) limitOf(t *task) fulmarclock.Millis {
	s := l.scheduler
	return fulmarreserve.Limit(l.reservedSince(t), t.reservedFor, s.estimate(t.job, t.step), s.now+t.job.rank.slack)
}

// recordFailure records a search that led to no reservation, after which the earliest start was known.
// What restricts a task to some executors says nothing about other tasks.
func (l *lookAhead) recordFailure(t *task, start fulmarclock.Millis, found bool) {
	f := failedSearch{resources: t.step.Reserved(), start: start}
	if !found {
		f.start = fulmarreserve.Never
	}
	if t.job.queue.NeedsPlacementAdvice || t.step.Label != "" || t.step.MaxPerExecutor > 0 {
		f.start = 0
	}
	l.failed = append(l.failed, f)
}

// listChoices lists when the task is expected to fit on each of the allowed executors where something
// runs. If it fitted on another one, it would have been placed there.
func (l *lookAhead) listChoices(t *task, members []*task, allowed []*executor) {
	l.choices = l.choices[:0]
	resources := t.step.Reserved()
	for _, e := range allowed {
		if e.isHeld() || len(e.tasks)+len(e.strayRuns) == 0 || e.isIsolated() || !resources.FitsIn(e.info.Capacity) || !e.info.HasLabel(t.step.Label) {
			continue
		}
		if t.step.MaxPerExecutor > 0 && countOn(e, members) >= t.step.MaxPerExecutor {
			continue
		}
		if start, found := l.timelineOf(e).EarliestFit(l.scheduler.now, resources); found {
			l.choices = append(l.choices, fulmarreserve.Choice{Executor: e.info.ID, Start: start})
		}
	}
}

// endReservations ends all reservations when no task waits.
func (s *Scheduler) endReservations() {
	s.beginLookAhead(nil)
	s.finishLookAhead()
}

// finishLookAhead ends the reservations that the placement has not made again.
func (s *Scheduler) finishLookAhead() {
	for _, service := range sortedKeys(s.lookAheads) {
		l := s.lookAheads[service]
		for _, r := range l.reservations.TakeRemoved() {
			l.endReservation(r)
		}
		for _, e := range l.held {
			if e.hold.refused {
				l.idleCPU += max(0, min(e.freeCapacity().MilliCPU, e.hold.task.step.Reserved().MilliCPU))
			}
			e.hold = hold{}
		}
		l.held = l.held[:0]
	}
}
