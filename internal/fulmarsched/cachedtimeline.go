package fulmarsched

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarreserve"
)

// timelineMaxAge is how long a timeline is reused while the tasks on the executor stay the same.
// Placements follow each other within milliseconds.
const timelineMaxAge = 100 * fulmarclock.Millis(1)

// cachedTimeline is the timeline of an executor as of a time and a number of changes to its tasks.
type cachedTimeline struct {
	at       fulmarclock.Millis
	changes  int
	runs     []fulmarreserve.Run
	timeline fulmarreserve.Timeline
}

// isValid reports whether the timeline holds for the executor's present tasks.
func (o *cachedTimeline) isValid(e *executor, now fulmarclock.Millis) bool {
	return o.at > 0 && now < min(o.at+timelineMaxAge, o.timeline.ValidUntil()) && o.changes == e.changes && len(e.strayRuns) == 0
}

// timelineOf returns the timeline of an executor, from the estimated ends of its runs. Runs that are
// being stopped end within the platform's time for it.
func (l *lookAhead) timelineOf(e *executor) fulmarreserve.Timeline {
	s, o := l.scheduler, &e.timeline
	if o.isValid(e, s.now) {
		return o.timeline
	}
	for _, t := range e.tasks {
		if t.expectedDuration == 0 && !t.stopping && !t.step.LongRunning {
			t.expectedDuration = s.estimate(t.job, t.step)
		}
	}
	o.at, o.changes, o.runs = s.now, e.changes, s.appendRuns(o.runs[:0], e)
	o.timeline = fulmarreserve.NewTimeline(e.freeCapacity(), o.runs)
	return o.timeline
}

// appendRuns appends what may be running on an executor, with the expected ends.
func (s *Scheduler) appendRuns(runs []fulmarreserve.Run, e *executor) []fulmarreserve.Run {
	for _, t := range e.tasks {
		runs = append(runs, fulmarreserve.Run{Resources: t.step.Reserved(), End: s.expectedEnd(t)})
	}
	for _, r := range e.strayRuns {
		runs = append(runs, fulmarreserve.Run{Resources: r.resources, End: s.now + s.params.StopTimeout})
	}
	return runs
}

// expectedEnd returns when the run of a placed task is expected to end. It changes nothing.
func (s *Scheduler) expectedEnd(t *task) fulmarclock.Millis {
	switch {
	case t.stopping:
		return s.now + s.params.StopTimeout
	case t.step.LongRunning:
		return fulmarreserve.Never
	}
	duration := t.expectedDuration
	if duration == 0 {
		duration = s.estimate(t.job, t.step)
	}
	startedAt := t.confirmedAt
	if startedAt == 0 {
		startedAt = t.startSentAt
	}
	return fulmarreserve.ExpectedEnd(s.now, startedAt, duration)
}
