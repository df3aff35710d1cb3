package fulmarsched

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// taskState is what has become of a task.
type taskState int

const (
	taskWaiting taskState = iota
	// taskPlaced means that a run may be present at the task's executor.
	taskPlaced
	taskDone
)

// task is one task of an occurrence.
type task struct {
	id  fulmarjob.TaskID
	job *job
	// step is the description that the task follows.
	step *fulmarjob.Step

	state      taskState
	run        int64
	attempts   int
	checkpoint string
	executor   *executor
	// failedOn is the executor of the last failed run.
	failedOn string

	// ordered, answered and running are times; zero means not yet.
	startSentAt  fulmarclock.Millis
	confirmedAt  fulmarclock.Millis
	runningSince fulmarclock.Millis
	// stored tells that the journal holds the placement.
	journaled bool
	// sent is the number of start orders of this run.
	startsSent int
	// leaving means that a lasting task is to move elsewhere; leavingStored that the journal says so.
	moving          bool
	movingJournaled bool
	// stopping means that the run is to end; the task is placed anew after it.
	stopping   bool
	stopSentAt fulmarclock.Millis
	// stopped is when the executor confirmed the stop.
	stopConfirmedAt fulmarclock.Millis
	progress        int
	recentLoad      float64
	speed           int
	waitingSince    fulmarclock.Millis
}

// isAtWork tells whether a lasting task serves, as far as its executor still answers.
func (t *task) isAvailable() bool {
	return t.state == taskPlaced && t.runningSince > 0 && t.progress >= fullSpeed && !t.stopping && !t.moving && t.executor.failedRenewals == 0
}

// occurrence is one execution of a job's steps.
type occurrence struct {
	number int
	// steps holds the tasks by step.
	steps     [][]*task
	remaining []int
}

// stepReady tells whether all steps before step i are done.
func (o *occurrence) isStepReady(j *job, i int) bool {
	for _, a := range j.specification.Steps[i].After {
		if o.remaining[a] > 0 {
			return false
		}
	}
	return true
}

func (o *occurrence) isDone() bool {
	for _, n := range o.remaining {
		if n > 0 {
			return false
		}
	}
	return true
}

// job is a job that was accepted.
type job struct {
	id            string
	queue         fulmarjob.Queue
	specification fulmarjob.Specification
	// accepted is in milliseconds since 1970, deadline and received on the owner's clock.
	accepted    int64
	receivedAt  fulmarclock.Millis
	deadline    fulmarclock.Millis
	longRunning bool

	state           fulmarjob.State
	endedUnixMillis int64
	// settled tells that the journal holds a final state; callers see none before.
	finalStateJournaled bool
	// opened is the number of occurrences that were due so far; ended of those that are done.
	openedOccurrences int
	doneOccurrences   int
	activeOccurrences []*occurrence

	started     bool
	placedTasks int
	dirty       bool
	recorded    bool
	rank        rank
}

func newJob(id string, q fulmarjob.Queue, spec fulmarjob.Specification) *job {
	return &job{id: id, queue: q, specification: spec, longRunning: spec.IsLasting(), state: fulmarjob.Queued}
}

// open adds the next occurrence.
func (j *job) openOccurrence() *occurrence {
	o := newOccurrence(j, j.openedOccurrences)
	j.openedOccurrences++
	j.activeOccurrences = append(j.activeOccurrences, o)
	return o
}

func newOccurrence(j *job, number int) *occurrence {
	o := &occurrence{number: number}
	for i := range j.specification.Steps {
		step := &j.specification.Steps[i]
		tasks := make([]*task, step.Count)
		for k := range tasks {
			tasks[k] = &task{
				id:    fulmarjob.TaskID{Job: j.id, Occurrence: number, Step: i, Index: k},
				job:   j,
				step:  step,
				speed: fullSpeed,
			}
		}
		o.steps = append(o.steps, tasks)
		o.remaining = append(o.remaining, step.Count)
	}
	return o
}

// due returns the Unix time at which an occurrence may start.
func (j *job) dueAt(number int) int64 {
	if j.specification.FirstDue == 0 {
		return 0
	}
	return j.specification.FirstDue + int64(number)*int64(j.specification.Interval)
}

func (j *job) findTask(id fulmarjob.TaskID) *task {
	for _, o := range j.activeOccurrences {
		if o.number == id.Occurrence && id.Step >= 0 && id.Step < len(o.steps) && id.Index >= 0 && id.Index < len(o.steps[id.Step]) {
			return o.steps[id.Step][id.Index]
		}
	}
	return nil
}

func (j *job) findOccurrence(number int) *occurrence {
	for _, o := range j.activeOccurrences {
		if o.number == number {
			return o
		}
	}
	return nil
}

// each calls f for every task of the open occurrences.
func (j *job) eachTask(visit func(*task)) {
	for _, o := range j.activeOccurrences {
		for _, tasks := range o.steps {
			for _, t := range tasks {
				visit(t)
			}
		}
	}
}

func (s *Scheduler) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		s.dirtyJobs = append(s.dirtyJobs, j)
	}
}

// openOccurrences opens the occurrences whose time has come.
func (s *Scheduler) openOccurrences(j *job) {
	if j.state.IsFinal() {
		return
	}
	for j.openedOccurrences < j.specification.Occurrences() && j.dueAt(j.openedOccurrences) <= s.unixMillis {
		j.openOccurrence()
	}
}

// finish ends a job and stops what still runs for it.
func (s *Scheduler) endJob(j *job, state fulmarjob.State, reason string) {
	if j.state.IsFinal() {
		return
	}
	j.state, j.endedUnixMillis = state, s.unixMillis
	j.eachTask(func(t *task) {
		switch t.state {
		case taskPlaced:
			s.stopRun(t)
		case taskWaiting:
			t.state = taskDone
		}
	})
	s.markDirty(j)
	s.endedJobs = append(s.endedJobs, j)
	s.deleteAdvice(j)
	s.log.Decide("job ended", "job", j.id, "state", state, "why", reason, "took_ms", s.now-j.receivedAt)
}

// forgetEnded drops jobs whose state is no longer owed.
func (s *Scheduler) removeExpiredJobs() {
	limit := s.unixMillis - int64(s.params.StatusKept+statusRetentionMargin)
	kept := s.jobList[:0]
	for _, j := range s.jobList {
		if j.state.IsFinal() && j.endedUnixMillis < limit && j.placedTasks == 0 {
			delete(s.jobs, j.id)
			s.markDirty(j)
			continue
		}
		kept = append(kept, j)
	}
	s.jobList = kept
}
