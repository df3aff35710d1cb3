package fulmarsched

import (
	"cmp"
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarshare"
)

// rank is the order in which jobs are placed, lowest first.
type rank struct {
	// standing is how the job stands to its customer's share. It comes before the priority, so that a
	// customer's urgent jobs beyond its share do not take another customer's share.
	standing fulmarshare.Standing
	priority int
	// class is one of the constants below.
	class int
	// slack is the time until the deadline minus the remaining critical path. Long-running and
	// late jobs have the time of their arrival here instead, so that they are placed in that
	// order.
	slack fulmarclock.Millis
}

// Classes of jobs in a rank: long-running jobs come first, then jobs that can meet their deadline,
// then late jobs.
const (
	classLongRunning = iota
	classOnTime
	classLate
)

func (r rank) compare(other rank) int {
	if r.standing != other.standing {
		return cmp.Compare(r.standing, other.standing)
	}
	return r.compareUrgency(other)
}

// compareUrgency compares without the standings, as is the order among the jobs of one customer.
func (r rank) compareUrgency(other rank) int {
	return cmp.Or(cmp.Compare(r.priority, other.priority), cmp.Compare(r.class, other.class), cmp.Compare(r.slack, other.slack))
}

// rankOf returns the rank of a job as of now.
func (s *Scheduler) rankOf(j *job) rank { return s.rankWithPath(j, s.remainingCriticalPath(j)) }

// rankWithPath returns the rank of a job whose remaining critical path is known.
func (s *Scheduler) rankWithPath(j *job, path fulmarclock.Millis) rank {
	r := rank{priority: j.queue.Priority}
	if j.longRunning {
		r.class = classLongRunning
		r.slack = j.receivedAt
		return r
	}
	r.class = classOnTime
	r.slack = j.deadline - s.now - path
	if r.slack < 0 || j.acceptedLate {
		r.class = classLate
		r.slack = j.receivedAt
	}
	return r
}

// place assigns waiting tasks to executors in the order of their jobs' ranks. Under overload, when
// queues request more than their pool has, the ranks decide which jobs are served first.
func (s *Scheduler) place() {
	if s.placementsLeft <= 0 {
		return
	}
	waiting := s.waitingJobs()
	if len(waiting) == 0 {
		s.endReservations()
		return
	}
	for _, j := range waiting {
		j.rank = s.rankOf(j)
	}
	s.updateIsolation()
	slices.SortStableFunc(waiting, func(a, b *job) int { return a.rank.compare(b.rank) })
	s.applyShares(waiting)
	candidates := s.schedulableByService()
	s.beginLookAhead(candidates)
	s.placeRepeatSuspects(waiting, candidates)
	for _, j := range waiting {
		if c := candidates[j.queue.Service]; c != nil && s.placementsLeft > 0 {
			s.placeJob(j, c)
		}
	}
	s.requestAdvice()
	s.finishLookAhead()
}

// candidates are the schedulable executors of a service.
type candidates struct {
	// executors are sorted by ID.
	executors []*executor
	// maxFree is the most free capacity of an executor in each resource, as of the start of the
	// placement. It only shrinks afterwards, so that a task beyond it fits on no executor.
	maxFree fulmarjob.Resources
	// lookAhead is nil without look-ahead placement.
	lookAhead *lookAhead
}

func (c *candidates) add(e *executor) {
	c.executors = append(c.executors, e)
	free := e.freeCapacity()
	c.maxFree.MilliCPU = max(c.maxFree.MilliCPU, free.MilliCPU)
	c.maxFree.MemoryMB = max(c.maxFree.MemoryMB, free.MemoryMB)
	c.maxFree.GPUs = max(c.maxFree.GPUs, free.GPUs)
}

// waitingJobs returns the jobs with tasks that can be placed.
func (s *Scheduler) waitingJobs() []*job {
	var waiting []*job
	for _, j := range s.activeJobs {
		if !j.state.IsFinal() && j.hasTaskToPlace() {
			waiting = append(waiting, j)
		}
	}
	return waiting
}

func (j *job) hasTaskToPlace() bool {
	for _, o := range j.activeOccurrences {
		for i := range o.steps {
			if o.isStepPlaceable(j, i) {
				return true
			}
		}
	}
	return false
}

// schedulableByService returns the schedulable executors of each service that has any.
func (s *Scheduler) schedulableByService() map[string]*candidates {
	byService := map[string]*candidates{}
	for service, executors := range s.services().executors {
		c := &candidates{executors: make([]*executor, 0, len(executors))}
		for _, e := range executors {
			if e.isSchedulable(s.now) {
				e.isUnstable = s.hasCrashedRecently(e.info.VM)
				c.add(e)
			}
		}
		if len(c.executors) > 0 {
			byService[service] = c
		}
	}
	return byService
}

func (s *Scheduler) placeJob(j *job, c *candidates) {
	for _, o := range j.activeOccurrences {
		for i := range o.steps {
			if !o.isStepPlaceable(j, i) || s.placementsLeft <= 0 {
				continue
			}
			// A step that needs advice requests it before an executor has room.
			if !j.queue.NeedsPlacementAdvice && j.suspects == 0 && !j.specification.Steps[i].Reserved().FitsIn(c.maxFree) {
				s.reserveAhead(o, i, c)
				continue
			}
			if s.holdsBack(o.steps[i]) {
				continue
			}
			s.placeStep(o, i, s.allowedExecutors(j, o, i, c.executors))
			if !s.holdsBack(o.steps[i]) {
				s.wantAdvice(j, o, i, c.executors)
			}
			s.reserveAhead(o, i, c)
			c.limitBackfilling()
		}
	}
}

// placeStep places the waiting tasks of a step, without repeat suspects and gangs that have one.
func (s *Scheduler) placeStep(o *occurrence, step int, candidates []*executor) {
	tasks := o.steps[step]
	s.reserveForLastingTrial(tasks, candidates)
	switch {
	case !tasks[0].step.Gang:
		s.placeTasks(o, step, candidates)
	case slices.ContainsFunc(tasks, (*task).isRepeatSuspect):
		return
	default:
		s.placeGang(tasks, candidates)
	}
	s.reserveForWaiting(tasks, candidates)
}

func (s *Scheduler) placeTasks(o *occurrence, step int, candidates []*executor) {
	suspectsWait := false
	for _, t := range o.steps[step] {
		if s.placementsLeft <= 0 {
			return
		}
		if t.state != taskWaiting || t.isRepeatSuspect() || t.isSuspect() && suspectsWait {
			continue
		}
		if s.notesHeldBack(t) {
			return
		}
		e := chooseExecutor(t, o.steps[step], candidates)
		if e == nil && t.isSuspect() {
			// The tasks that are not suspects need not wait for an isolated executor.
			suspectsWait = true
			continue
		}
		if e == nil {
			return
		}
		s.placeTask(t, e, t.nextRun())
	}
}

// placeGang places all members of a gang, or none if there is not enough capacity for all.
func (s *Scheduler) placeGang(members []*task, candidates []*executor) {
	run := int64(0)
	for _, t := range members {
		if t.state != taskWaiting {
			return
		}
		run = max(run, t.run)
	}
	chosen := make([]*executor, len(members))
	for i, t := range members {
		if chosen[i] = chooseExecutor(t, members, candidates); chosen[i] == nil {
			break
		}
		chosen[i].addTask(t)
	}
	complete := chosen[len(members)-1] != nil
	checkpoint := newestCheckpoint(members)
	for i, t := range members {
		if chosen[i] == nil {
			break
		}
		chosen[i].removeTask(t)
		t.setState(taskWaiting)
		if complete {
			t.checkpoint = checkpoint
			s.placeTask(t, chosen[i], run+1)
		}
	}
}

// newestCheckpoint returns the newest checkpoint of a gang's members, from which all of them
// continue.
func newestCheckpoint(members []*task) string {
	newest := ""
	for _, t := range members {
		newest = max(newest, t.checkpoint)
	}
	return newest
}

// placeTask places a task on an executor. Its start command is sent once the journal holds the
// placement.
func (s *Scheduler) placeTask(t *task, e *executor, run int64) {
	s.placementsLeft--
	t.run = run
	t.startsSent, t.confirmedAt, t.runningSince, t.stopping, t.stopConfirmedAt, t.progress = 0, 0, 0, false, 0, 0
	t.startSentAt, t.journaled, t.inherited, t.startAnswered, t.doubtfulCrash = s.now, false, false, false, false
	t.expectedDuration, t.reservedFor = 0, 0
	e.addTask(t)
	s.isolate(e, t)
	s.placedTasks = append(s.placedTasks, t)
	s.markDirty(t.job)
	s.logEarlierStarts(t)
	s.log.Log("task placed", "job", t.id.Job, "step", t.id.Step, "index", t.id.Index, "run", run, "executor", e.info.ID, "slack_ms", t.job.rank.slack, "free_mcpu", e.freeCapacity().MilliCPU)
}

// logEarlierStarts logs the starts of earlier runs of a task that is placed again which may still be executed.
func (s *Scheduler) logEarlierStarts(t *task) {
	for _, start := range s.openStarts.ofTask(s.now, t.id) {
		if start.run.run == t.run {
			continue
		}
		s.log.Log("task placed although a start of an earlier run may still be executed", "job", t.id.Job, "step", t.id.Step, "index", t.id.Index, "run", t.run, "executor", t.executor.info.ID, "earlier_run", start.run.run, "earlier_executor", start.executor, "open_for_ms", s.openStarts.openUntil(s.now, start)-s.now)
		s.log.Count("placed_with_open_starts", "")
	}
}

// chooseExecutor returns the candidate with the highest score for a task, or nil if the task fits
// on none.
func chooseExecutor(t *task, members []*task, candidates []*executor) *executor {
	var best *executor
	bestScore := 0.0
	for _, e := range candidates {
		if !fits(e, t, members) {
			continue
		}
		candidateScore := score(e, t, e.isUnstable)
		if t.isSuspect() {
			candidateScore += suspectScore(e, t)
		}
		if best == nil || candidateScore > bestScore {
			best, bestScore = e, candidateScore
		}
	}
	return best
}

// fits reports whether an executor has the capacity and the label for a task, and the step's limit on tasks per
// executor, the executor's reservation and the starts of earlier runs permit it.
func fits(e *executor, t *task, members []*task) bool {
	if !t.step.Reserved().FitsIn(e.freeCapacity()) || !e.info.HasLabel(t.step.Label) || !e.permits(t) {
		return false
	}
	if t.step.MaxPerExecutor > 0 && countOn(e, members) >= t.step.MaxPerExecutor {
		return false
	}
	return e.keepsReservation(t) && e.permitsRunOf(t)
}

// permitsRunOf reports whether the runs of the task that are or may be present elsewhere permit a new one on the
// executor. Copies run beside another run anyway.
func (e *executor) permitsRunOf(t *task) bool {
	return t.step.Speculative || e.openStarts.permits(t.id, e.info.ID, t.step.LongRunning)
}

// countOn returns how many of the tasks are placed on the executor.
func countOn(e *executor, tasks []*task) int {
	count := 0
	for _, t := range tasks {
		if t.executor == e || t.hasCopyOn(e) {
			count++
		}
	}
	return count
}

// Score contributions of placement preferences, compared with a fraction of free CPU between 0 and
// 1.
const (
	dataRackScore      = 4.0
	otherExecutorScore = 2.0
	unstableScore      = -3.0
)

// score prefers executors on the rack with the task's data, then executors other than the one
// where the task last failed. Long-running tasks are spread to the executor with the most free
// CPU; other tasks are packed on the one with the least. isUnstable means that the executor's VM has
// crashed recently.
func score(e *executor, t *task, isUnstable bool) float64 {
	sum := 0.0
	if t.step.DataRack != "" && t.step.DataRack == e.info.Rack {
		sum += dataRackScore
	}
	if t.failedOn != e.info.ID {
		sum += otherExecutorScore
	}
	freeCPU := freeCPUFraction(e)
	if t.step.LongRunning && isUnstable && !t.isRepeatSuspect() {
		sum += unstableScore
	}
	if t.step.LongRunning {
		return sum + freeCPU
	}
	return sum - freeCPU
}

func freeCPUFraction(e *executor) float64 {
	if e.info.Capacity.MilliCPU == 0 {
		return 0
	}
	return float64(e.freeCapacity().MilliCPU) / float64(e.info.Capacity.MilliCPU)
}
