package fulmarsched

import (
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarshare"
)

// taskState is the placement state of a task, stored as a number.
type taskState int

const (
	taskWaiting taskState = iota
	// taskPlaced means that a run may be present on the task's executor.
	taskPlaced
	taskDone
)

// task is one task of a step in an occurrence of a job.
type task struct {
	id         fulmarjob.TaskID
	job        *job
	occurrence *occurrence
	// copy is the copy of the current run, nil if there is none. original is the task that a copy
	// belongs to, nil for a task that is no copy. See speculate.go.
	copy     *task
	original *task
	// step is the description of the task.
	step *fulmarjob.Step

	// state is changed only by setState.
	state taskState
	// run is the number of the current or last run, attempts the number of failed runs, failedRun the
	// number of the last of them. The members of a gang share the latter two.
	run       int64
	attempts  int
	failedRun int64
	// copyRun is the number of the last run that was started as a copy.
	copyRun    int64
	checkpoint string
	// crashes is the number of executors that may have crashed under the task, suspicions of those that
	// it may have crashed since it last ran for long enough. suspicions is changed only by setSuspicions.
	crashes    int
	suspicions int
	// suspectedAt is when the last suspicion arose under this owner.
	suspectedAt fulmarclock.Millis
	// earlyCrashes is the number of executors in a row that crashed right after they had started the
	// task as a repeat suspect; retryAt is the time before which it is not started again.
	earlyCrashes int
	retryAt      fulmarclock.Millis
	// executor is where the task is placed; nil otherwise.
	executor *executor
	// failedOn is the executor of the last failed run, of any member of a gang.
	failedOn string

	// startSentAt is when the current run was placed or its start last sent, confirmedAt when the
	// executor confirmed the start or first reported the run, runningSince when it first reported
	// the run; zero means not yet.
	startSentAt  fulmarclock.Millis
	confirmedAt  fulmarclock.Millis
	runningSince fulmarclock.Millis
	// journaled means that the journal holds the placement.
	journaled bool
	// startsSent is the number of start commands sent for the current run, without those of
	// previous owners. inherited means that a previous owner may have sent one.
	startsSent int
	inherited  bool
	// startAnswered means that the executor has answered the run's start and no attempt of it can be
	// executed any more. The journal says so, too, except of lasting tasks, so that a later owner knows.
	startAnswered bool
	// uncertain means that one of several starts was refused, or that a start that was meant for an
	// earlier incarnation of the executor may have reached the present one, or still may. Its next
	// report decides. doubtfulCrash means that the end of the earlier incarnation counts as a crash
	// under the task until then.
	uncertain     bool
	doubtfulCrash bool
	// moving means that a long-running task is to be moved to another executor; movingJournaled
	// that the journal holds that decision.
	moving          bool
	movingJournaled bool
	// stopping means that the run is being stopped. The task is placed again afterwards.
	stopping   bool
	stopSentAt fulmarclock.Millis
	// stopConfirmedAt is when the executor confirmed the stop.
	stopConfirmedAt fulmarclock.Millis
	// progress is in percent; a long-running task that is available has 100.
	progress int
	// recentLoad is the recent tail latency in milliseconds of a latency-sensitive task, the used
	// millicores of any other.
	recentLoad float64
	// speed is the limit on a best-effort task, in percent of full speed.
	speed int
	// expectedDuration is the estimated duration of the current run; zero if not estimated yet.
	expectedDuration fulmarclock.Millis
	// reservedFor is how long earlier reservations held capacity for the task since its last run.
	reservedFor fulmarclock.Millis
}

// startKey identifies the starts of the task's run on its executor.
func (t *task) startKey() startKey { return startKey{t.executor.info.ID, runKey{t.id, t.run}} }

// setState changes the state and keeps the occurrence's number of waiting tasks up to date.
func (t *task) setState(state taskState) {
	if t.state == taskWaiting && t.original == nil {
		t.occurrence.waiting[t.id.Step]--
	}
	if state == taskWaiting && t.original == nil {
		t.occurrence.waiting[t.id.Step]++
	}
	t.state = state
}

// isAvailable reports whether a long-running task is fully working, as far as the scheduler knows;
// it does not count as available while its executor is unresponsive.
func (t *task) isAvailable() bool { return t.isAtWork() && !t.moving }

// isAtWork reports whether a long-running task is fully working, although it may be about to move.
func (t *task) isAtWork() bool {
	return t.state == taskPlaced && t.runningSince > 0 && t.progress >= fullPercent && !t.stopping && t.executor.failedRenewals == 0
}

// startedTogether returns the members of the task's gang, or the task alone.
func (t *task) startedTogether() []*task {
	if t.step.Gang {
		return t.occurrence.steps[t.id.Step]
	}
	return []*task{t}
}

// occurrence is one execution of a job's steps.
type occurrence struct {
	number int
	// steps holds the tasks by step index, remaining the number of tasks not yet done, waiting the
	// number of those that are not placed.
	steps     [][]*task
	remaining []int
	waiting   []int
}

// isStepReady reports whether all steps that step i depends on are done.
func (o *occurrence) isStepReady(j *job, i int) bool {
	for _, a := range j.specification.Steps[i].DependsOn {
		if o.remaining[a] > 0 {
			return false
		}
	}
	return true
}

// isStepPlaceable reports whether step i can start and has tasks that are not placed.
func (o *occurrence) isStepPlaceable(j *job, i int) bool {
	return o.waiting[i] > 0 && o.isStepReady(j, i)
}

func (o *occurrence) isDone() bool {
	for _, n := range o.remaining {
		if n > 0 {
			return false
		}
	}
	return true
}

// job is an accepted job.
type job struct {
	id    string
	queue fulmarjob.Queue
	// customer is the name of the customer that submitted the job; empty for none.
	customer      string
	specification fulmarjob.Specification
	// quota is the customer's newest known quota, nil for none. heldBack means that it has held back a
	// task of the job.
	quota    *customerQuota
	heldBack bool
	// permitted is the fraction of the waiting work that the quota permitted in the last count.
	permitted permittedFraction
	// accepted is in Unix milliseconds; receivedAt and deadline are on the owner's clock.
	accepted    int64
	receivedAt  fulmarclock.Millis
	deadline    fulmarclock.Millis
	longRunning bool
	// permitsCopies means that a step permits copies of its tasks.
	permitsCopies bool
	// queueModelKey is the key of the duration model for tasks without an image.
	queueModelKey string

	state           fulmarjob.State
	endedUnixMillis int64
	// finalStateJournaled means that the journal holds the final state. Until then callers don't
	// see the state.
	finalStateJournaled bool
	// openedOccurrences is the number of occurrences that have become due, doneOccurrences the
	// number of those that are done.
	openedOccurrences int
	doneOccurrences   int
	activeOccurrences []*occurrence

	// started means that a task of the job has started at some time.
	started     bool
	placedTasks int
	// suspects is the number of tasks that are suspected of a crash.
	suspects int
	// dirty means that the job changed since the last batch, recorded that its description has
	// been part of a batch.
	dirty    bool
	recorded bool
	rank     rank
	// acceptedLate means that the job was accepted although it was going to be late. It is placed as a
	// late one from the start: if it waited until it is late, it would come before newer jobs that can
	// still be on time, and make them late in turn.
	acceptedLate bool
	// account is that of the job's customer in the shares sharesOf.
	account  *fulmarshare.Account
	sharesOf *fairShares
}

func newJob(id string, q fulmarjob.Queue, spec fulmarjob.Specification) *job {
	return &job{
		id: id, queue: q, specification: spec, longRunning: spec.IsLongRunning(), state: fulmarjob.Queued,
		permitsCopies: slices.ContainsFunc(spec.Steps, permitsCopies), queueModelKey: queueModelPrefix + q.Name,
	}
}

// A job that ends within servedWithin times its objective is late but still of use to its caller.
const servedWithin = 3

// objective returns the time within which a job is on time.
func (j *job) objective() fulmarclock.Millis { return j.deadline - j.receivedAt }

// openOccurrence adds the next occurrence.
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
				id:         fulmarjob.TaskID{Job: j.id, Occurrence: number, Step: i, Index: k},
				job:        j,
				occurrence: o,
				step:       step,
				speed:      fullPercent,
			}
		}
		o.steps = append(o.steps, tasks)
		o.remaining = append(o.remaining, step.Count)
		o.waiting = append(o.waiting, step.Count)
	}
	return o
}

// maxOverlappingTasks limits the tasks of a job's occurrences that are open together, so that one
// job with many overdue occurrences does not take all memory.
const maxOverlappingTasks = 10000

// mayOpenOccurrence reports whether another occurrence stays within maxOverlappingTasks. One is
// always permitted.
func (j *job) mayOpenOccurrence() bool {
	tasks := 0
	for i := range j.specification.Steps {
		tasks += j.specification.Steps[i].Count
	}
	return len(j.activeOccurrences) == 0 || (len(j.activeOccurrences)+1)*tasks <= maxOverlappingTasks
}

// dueAt returns the Unix time in milliseconds at which an occurrence may start.
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

// eachTask calls visit for every task of the active occurrences.
func (j *job) eachTask(visit func(*task)) {
	for _, o := range j.activeOccurrences {
		for _, tasks := range o.steps {
			for _, t := range tasks {
				visit(t)
			}
		}
	}
}

// markDirty includes a job in the next batch.
func (s *Scheduler) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		s.dirtyJobs = append(s.dirtyJobs, j)
	}
}

// openOccurrences opens the occurrences that have become due.
func (s *Scheduler) openOccurrences(j *job) {
	if j.state.IsFinal() {
		return
	}
	for j.openedOccurrences < j.specification.Occurrences() && j.dueAt(j.openedOccurrences) <= s.unixMillis && j.mayOpenOccurrence() {
		j.openOccurrence()
	}
}

// endJob ends a job and stops its runs.
func (s *Scheduler) endJob(j *job, state fulmarjob.State, reason string) {
	if j.state.IsFinal() {
		return
	}
	j.state, j.endedUnixMillis = state, s.unixMillis
	j.eachTask(func(t *task) {
		switch t.state {
		case taskPlaced:
			s.stopRun(t, stopJobEnded)
		case taskWaiting:
			t.setState(taskDone)
		}
		t.setSuspicions(0)
	})
	s.markDirty(j)
	s.endedJobs = append(s.endedJobs, j)
	s.deleteAdvice(j)
	s.log.Log("job ended", "job", j.id, "state", state, "why", reason, "took_ms", s.now-j.receivedAt)
}

// addToLists adds a job to the lists of jobs.
func (s *Scheduler) addToLists(j *job) {
	s.jobs[j.id] = j
	s.jobList = append(s.jobList, j)
	s.activeJobs = append(s.activeJobs, j)
	if s.serviceIndex != nil {
		s.serviceIndex.addJob(j)
	}
}

// dropEndedJobs removes the ended jobs from the list of active jobs.
func (s *Scheduler) dropEndedJobs() {
	before := len(s.activeJobs)
	s.activeJobs = slices.DeleteFunc(s.activeJobs, func(j *job) bool { return j.state.IsFinal() })
	if len(s.activeJobs) != before {
		s.serviceIndex = nil
	}
}

// removeExpiredJobs deletes the ended jobs whose state need not be kept any longer.
func (s *Scheduler) removeExpiredJobs() {
	limit := s.unixMillis - int64(s.params.StatusRetention+statusRetentionMargin)
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
