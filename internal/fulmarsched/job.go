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

	state    taskState
	run      int64
	attempts int
	saved    string
	executor *executor
	// failedOn is the executor of the last failed run.
	failedOn string

	// ordered, answered and running are times; zero means not yet.
	ordered  fulmarclock.Millis
	answered fulmarclock.Millis
	running  fulmarclock.Millis
	// stored tells that the journal holds the placement.
	stored bool
	// sent is the number of start orders of this run.
	sent int
	// leaving means that a lasting task is to move elsewhere; leavingStored that the journal says so.
	leaving       bool
	leavingStored bool
	// stopping means that the run is to end; the task is placed anew after it.
	stopping bool
	stopSent fulmarclock.Millis
	// stopped is when the executor confirmed the stop.
	stopped   fulmarclock.Millis
	percent   int
	recent    float64
	pace      int
	awaySince fulmarclock.Millis
}

// isAtWork tells whether a lasting task serves, as far as its executor still answers.
func (t *task) isAtWork() bool {
	return t.state == taskPlaced && t.running > 0 && t.percent >= fullSpeed && !t.stopping && !t.leaving && t.executor.failures == 0
}

// occurrence is one execution of a job's steps.
type occurrence struct {
	number int
	// steps holds the tasks by step.
	steps [][]*task
	left  []int
}

// stepReady tells whether all steps before step i are done.
func (o *occurrence) stepReady(j *job, i int) bool {
	for _, a := range j.specification.Steps[i].After {
		if o.left[a] > 0 {
			return false
		}
	}
	return true
}

func (o *occurrence) isDone() bool {
	for _, n := range o.left {
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
	accepted int64
	received fulmarclock.Millis
	deadline fulmarclock.Millis
	lasting  bool

	state     fulmarjob.State
	endedUnix int64
	// settled tells that the journal holds a final state; callers see none before.
	settled bool
	// opened is the number of occurrences that were due so far; ended of those that are done.
	opened int
	ended  int
	active []*occurrence

	begun  bool
	placed int
	dirty  bool
	stored bool
	rank   rank
}

func newJob(id string, q fulmarjob.Queue, spec fulmarjob.Specification) *job {
	return &job{id: id, queue: q, specification: spec, lasting: spec.IsLasting(), state: fulmarjob.Queued}
}

// open adds the next occurrence.
func (j *job) open() *occurrence {
	o := newOccurrence(j, j.opened)
	j.opened++
	j.active = append(j.active, o)
	return o
}

func newOccurrence(j *job, number int) *occurrence {
	o := &occurrence{number: number}
	for i := range j.specification.Steps {
		step := &j.specification.Steps[i]
		tasks := make([]*task, step.Count)
		for k := range tasks {
			tasks[k] = &task{
				id:   fulmarjob.TaskID{Job: j.id, Occurrence: number, Step: i, Index: k},
				job:  j,
				step: step,
				pace: fullSpeed,
			}
		}
		o.steps = append(o.steps, tasks)
		o.left = append(o.left, step.Count)
	}
	return o
}

// due returns the Unix time at which an occurrence may start.
func (j *job) due(number int) int64 {
	if j.specification.FirstDue == 0 {
		return 0
	}
	return j.specification.FirstDue + int64(number)*int64(j.specification.Interval)
}

func (j *job) find(id fulmarjob.TaskID) *task {
	for _, o := range j.active {
		if o.number == id.Occurrence && id.Step >= 0 && id.Step < len(o.steps) && id.Index >= 0 && id.Index < len(o.steps[id.Step]) {
			return o.steps[id.Step][id.Index]
		}
	}
	return nil
}

func (j *job) occurrence(number int) *occurrence {
	for _, o := range j.active {
		if o.number == number {
			return o
		}
	}
	return nil
}

// each calls f for every task of the open occurrences.
func (j *job) each(f func(*task)) {
	for _, o := range j.active {
		for _, tasks := range o.steps {
			for _, t := range tasks {
				f(t)
			}
		}
	}
}

func (s *Scheduler) touch(j *job) {
	if !j.dirty {
		j.dirty = true
		s.dirty = append(s.dirty, j)
	}
}

// openOccurrences opens the occurrences whose time has come.
func (s *Scheduler) openOccurrences(j *job) {
	if j.state.IsFinal() {
		return
	}
	for j.opened < j.specification.Occurrences() && j.due(j.opened) <= s.unix {
		j.open()
	}
}

// finish ends a job and stops what still runs for it.
func (s *Scheduler) finish(j *job, state fulmarjob.State, why string) {
	if j.state.IsFinal() {
		return
	}
	j.state, j.endedUnix = state, s.unix
	j.each(func(t *task) {
		switch t.state {
		case taskPlaced:
			s.stop(t)
		case taskWaiting:
			t.state = taskDone
		}
	})
	s.touch(j)
	s.ended = append(s.ended, j)
	s.forgetAdvice(j)
	s.log.Log("job ended", "job", j.id, "state", state, "why", why, "took_ms", s.now-j.received)
}

// forgetEnded drops jobs whose state is no longer owed.
func (s *Scheduler) forgetEnded() {
	limit := s.unix - int64(s.bounds.StatusRetention+keptExtra)
	kept := s.order[:0]
	for _, j := range s.order {
		if j.state.IsFinal() && j.endedUnix < limit && j.placed == 0 {
			delete(s.jobs, j.id)
			s.touch(j)
			continue
		}
		kept = append(kept, j)
	}
	s.order = kept
}
