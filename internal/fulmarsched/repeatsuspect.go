package fulmarsched

import (
	"cmp"
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// A task that is suspected of several crashes in a row may crash every executor that starts it, and it
// is started until its job is cancelled. So that the harm stays bounded, such a repeat suspect runs
// without any other task that a crash would end and that could run elsewhere, and all of a service's
// repeat suspects together take a fraction of its executors. They take turns, those with the fewest
// crashes first: a task that was only lost in crashes with another cause comes before one that causes
// them.

const (
	// repeatSuspicions is the number of suspicions from which a task is a repeat suspect.
	repeatSuspicions = 2
	// repeatSuspectFraction limits the executors of a service that repeat suspects take at a time.
	repeatSuspectFraction = 0.25
)

func (t *task) isRepeatSuspect() bool { return t.suspicions >= repeatSuspicions }

// isGangMate reports whether the tasks are members of one gang.
func (t *task) isGangMate(other *task) bool {
	return t.step.Gang && other.occurrence == t.occurrence && other.id.Step == t.id.Step
}

// hasTransientTaskBeside reports whether the executor has a task beside a repeat suspect that ends by
// itself, or that could cause a crash as well.
func (e *executor) hasTransientTaskBeside(t *task) bool {
	for _, other := range e.tasks {
		if other != t && !other.isGangMate(t) && (!other.step.LongRunning || other.isUnproven()) {
			return true
		}
	}
	return false
}

// hasRepeatSuspectBeside reports whether the executor has a repeat suspect of another gang than the
// task's.
func (e *executor) hasRepeatSuspectBeside(t *task) bool {
	for _, other := range e.tasks {
		if other != t && other.isRepeatSuspect() && !other.isGangMate(t) {
			return true
		}
	}
	return false
}

// placeRepeatSuspects places the repeat suspects among the waiting jobs' tasks, as far as their limit
// permits, and reserves executors for those that would fit on none otherwise.
func (s *Scheduler) placeRepeatSuspects(waiting []*job, byService map[string]*candidates) {
	uses := map[string]*repeatSuspectUse{}
	for _, t := range waitingRepeatSuspects(waiting, s.now) {
		service := t.job.queue.Service
		c := byService[service]
		if c == nil || s.placementsLeft <= 0 || s.notesHeldBack(t) {
			continue
		}
		if uses[service] == nil {
			uses[service] = s.repeatSuspectUse(service)
		}
		if uses[service].permits(t) && s.placeRepeatSuspect(t, c) {
			uses[service] = s.repeatSuspectUse(service)
		}
	}
}

// placeRepeatSuspect places a repeat suspect or its gang, or reserves executors. It returns false if it
// can do neither.
func (s *Scheduler) placeRepeatSuspect(t *task, c *candidates) bool {
	members := t.occurrence.steps[t.id.Step]
	allowed := s.allowedExecutors(t.job, t.occurrence, t.id.Step, c.executors)
	if t.step.Gang {
		s.placeGang(members, allowed)
	} else if e := chooseExecutor(t, members, allowed); e != nil {
		s.placeTask(t, e, t.nextRun())
	}
	if t.state == taskPlaced {
		cancelReservations(t.trial(), allowed)
		return true
	}
	s.reserveFor(t, members, allowed)
	return slices.ContainsFunc(allowed, func(e *executor) bool { return e.reservedFor == t.trial() })
}

// cancelReservations ends the reservations for a trial. Its other suspects that wait get new ones in turn.
func cancelReservations(r trial, executors []*executor) {
	for _, e := range executors {
		if e.reservedFor == r {
			e.reservedFor, e.isolatedFor = trial{}, e.suspects()
		}
	}
}

// waitingRepeatSuspects returns the repeat suspects that may start now, one for each gang, in the order
// of their turns.
func waitingRepeatSuspects(waiting []*job, now fulmarclock.Millis) []*task {
	var suspects []*task
	for _, j := range waiting {
		if j.suspects > 0 {
			suspects = append(suspects, j.waitingRepeatSuspects(now)...)
		}
	}
	slices.SortStableFunc(suspects, func(a, b *task) int { return cmp.Compare(a.crashes, b.crashes) })
	return suspects
}

func (j *job) waitingRepeatSuspects(now fulmarclock.Millis) []*task {
	var suspects []*task
	for _, o := range j.activeOccurrences {
		for i, tasks := range o.steps {
			if o.isStepPlaceable(j, i) {
				suspects = append(suspects, repeatSuspectsToPlace(tasks, now)...)
			}
		}
	}
	return suspects
}

// repeatSuspectsToPlace returns the repeat suspects of a step that may start now, the first for a gang.
func repeatSuspectsToPlace(tasks []*task, now fulmarclock.Millis) []*task {
	suspects := slices.DeleteFunc(slices.Clone(tasks), func(t *task) bool {
		return t.state != taskWaiting || !t.isRepeatSuspect() || now < t.retryAt
	})
	if len(suspects) > 0 && suspects[0].step.Gang {
		return suspects[:1]
	}
	return suspects
}

// repeatSuspectUse is the use of a service's executors by repeat suspects.
type repeatSuspectUse struct {
	// takers are the repeat suspects that take an executor, one for each gang, since few of its members
	// can be the cause of a crash.
	takers map[fulmarjob.TaskID]bool
	// reservedFor are the jobs that have an executor reserved.
	reservedFor map[*job]bool
	limit       int
}

func (s *Scheduler) repeatSuspectUse(service string) *repeatSuspectUse {
	u := &repeatSuspectUse{takers: map[fulmarjob.TaskID]bool{}, reservedFor: map[*job]bool{}}
	executors := 0
	for _, e := range s.executorList {
		if e.retired || e.info.Service != service {
			continue
		}
		executors++
		if e.isIsolated() {
			u.addExecutor(e, s.now)
		}
	}
	u.limit = max(1, int(float64(executors)*repeatSuspectFraction))
	return u
}

// addExecutor adds the use of an isolated executor.
func (u *repeatSuspectUse) addExecutor(e *executor, now fulmarclock.Millis) {
	for _, t := range e.tasks {
		if t.takesExecutor() {
			u.add(t)
		}
	}
	if e.reservedFor.job == nil {
		return
	}
	if suspects := e.reservedFor.job.waitingRepeatSuspects(now); len(suspects) > 0 {
		u.reservedFor[e.reservedFor.job] = true
		u.add(suspects[0])
	}
}

func (u *repeatSuspectUse) add(t *task) {
	id := t.id
	if t.step.Gang {
		id.Index = 0
	}
	u.takers[id] = true
}

// permits reports whether a repeat suspect may take an executor.
func (u *repeatSuspectUse) permits(t *task) bool {
	return u.reservedFor[t.job] || len(u.takers) < u.limit
}

// takesExecutor reports whether a repeat suspect is placed and may crash its executor soon or has done
// so: it was not reported for suspectRuntime yet, or the executor does not respond.
func (t *task) takesExecutor() bool {
	return t.isRepeatSuspect() && !t.isStoppedStart() && (t.seenRunning() < suspectRuntime || t.executor.failedRenewals > 0)
}

// watchesRepeatSuspect reports whether the executor has a repeat suspect that it has not reported for
// suspectRuntime yet.
func (e *executor) watchesRepeatSuspect() bool {
	for _, t := range e.tasks {
		if t.isRepeatSuspect() && t.seenRunning() < suspectRuntime {
			return true
		}
	}
	return false
}

// countWaiting returns how many of the tasks are not placed.
func countWaiting(tasks []*task) int {
	count := 0
	for _, t := range tasks {
		if t.state == taskWaiting {
			count++
		}
	}
	return count
}
