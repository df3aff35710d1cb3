package fulmarsched

import (
	"cmp"
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// leaseLength is the lease asked for at each renewal.
func (s *Scheduler) leaseLength() fulmarclock.Millis {
	return fulmarclock.Millis(float64(s.bounds.MaxLease) * leaseShare)
}

// scheduleHold brings the next renewal forward to a time; zero means at once.
func (s *Scheduler) scheduleHold(e *executor, at fulmarclock.Millis) {
	at = max(at, s.now)
	if e.holdDue == 0 || at < e.holdDue {
		e.holdDue = at
	}
}

// sendHolds emits the renewals that are due, one at a time for each executor.
func (s *Scheduler) sendHolds() {
	for _, e := range s.sorted() {
		if !e.retired && !e.holding && e.holdDue > 0 && e.holdDue <= s.now && e.info.Address != "" {
			s.sendHold(e)
		}
	}
}

func (s *Scheduler) sendHold(e *executor) {
	e.holding, e.holdDue, e.holdSent = true, 0, s.now
	o := RenewCommand{Target: e.target(), Token: s.token, Acknowledged: e.acknowledged}
	// A probe of a silent executor renews nothing, so that its lease ends at last.
	if e.hasClock && e.failures == 0 && !e.silence.recorded && len(e.tasks) > 0 {
		o.Deadline = e.clockNow(s.now) + s.leaseLength()
		e.noteDeadline(s.now, o.Deadline, s.bounds.MaxLease)
	}
	if e.fenced && e.failures == 0 && e.seen == e.acknowledged && len(e.tasks) > 0 {
		o.Wait = s.pollOf(e)
	}
	s.orders = append(s.orders, o)
}

func (s *Scheduler) pollOf(e *executor) fulmarclock.Millis {
	if sharesWithFilling(e) {
		return sharedPoll
	}
	return min(longPoll, fulmarclock.Millis(float64(s.leaseLength())*renewShare))
}

// HandleRenewalFailure takes in that a renewal got no answer, or one that says that nothing was done.
func (s *Scheduler) HandleRenewalFailure(now fulmarclock.Millis, target Target, answer fulmarjob.Answer) {
	s.now = now
	e := s.executors[target.ID]
	if e == nil || e.info.Born != target.Born || e.retired {
		return
	}
	e.holding = false
	e.failures++
	if e.failures == 1 {
		s.log.Log("executor does not answer", "executor", e.info.ID, "answer", answer, "tasks", len(e.tasks), "lease_ends_in_ms", e.deadBy-now)
	}
	s.log.Count("hold_failures", answer.String())
	if e.listed || len(e.tasks) > 0 {
		s.scheduleHold(e, now+probeGap)
	}
}

// HandleRenewal takes in an executor's report, asked for at sent.
func (s *Scheduler) HandleRenewal(now, sent fulmarclock.Millis, target Target, r fulmarjob.Report) {
	s.now = now
	e := s.executors[target.ID]
	if e == nil || e.info.Born != target.Born || e.retired {
		return
	}
	e.holding = false
	if r.Born != 0 && e.info.Born != 0 && r.Born != e.info.Born {
		if r.Born > e.info.Born {
			s.beginLife(e, r.Born)
			s.scheduleHold(e, 0)
		}
		return
	}
	if e.failures > 0 {
		s.log.Log("executor answers again", "executor", e.info.ID, "failures", e.failures)
	}
	wasFenced := e.fenced
	e.failures, e.fenced, e.heard = 0, true, now
	s.endSilence(e)
	e.readClock(r.Clock, now)
	if !wasFenced {
		s.log.Log("executor taken over", "executor", e.info.ID, "running", len(r.Running), "ended", len(r.Finished), "placed", len(e.tasks))
	}
	s.outlivedUpkeep(e, sent)
	s.takeEnds(e, r.Finished)
	s.takeRunning(e, sent, r.Running)
	s.setPaces(e)
	s.planNextHold(e, wasFenced)
	s.dropEmpty(e)
}

func (s *Scheduler) planNextHold(e *executor, wasFenced bool) {
	if len(e.tasks) == 0 && e.seen == e.acknowledged {
		return
	}
	switch {
	case !wasFenced:
		s.scheduleHold(e, 0)
	case e.seen > e.acknowledged:
		s.scheduleHold(e, s.now+stalledHoldGap)
	default:
		s.scheduleHold(e, max(s.now, e.holdSent+s.holdGap))
	}
}

// reportGap returns the least time between two renewals at one executor. Where many
// executors are busy, one renewal takes in several ends.
func (s *Scheduler) reportGap() fulmarclock.Millis {
	if s.bounds.RenewalsPerSecond <= 0 {
		return minHoldGap
	}
	busy := 0
	for _, e := range s.byID {
		if len(e.tasks) > 0 {
			busy++
		}
	}
	gap := fulmarclock.Millis(float64(busy) / s.bounds.RenewalsPerSecond * float64(fulmarclock.Second))
	return min(max(gap, minHoldGap), maxHoldGap)
}

func (s *Scheduler) takeEnds(e *executor, ends []fulmarjob.FinishedTask) {
	for _, f := range ends {
		if f.Number <= e.seen {
			continue
		}
		e.seen = f.Number
		if !e.queued {
			e.queued = true
			s.seen = append(s.seen, e)
		}
		s.takeEnd(e, f)
	}
}

func (s *Scheduler) taskOf(id fulmarjob.TaskID) *task {
	if j := s.jobs[id.Job]; j != nil {
		return j.find(id)
	}
	return nil
}

func (s *Scheduler) takeEnd(e *executor, f fulmarjob.FinishedTask) {
	t := s.taskOf(f.Task)
	if t == nil {
		return
	}
	s.log.Log("run ended", "job", f.Task.Job, "step", f.Task.Step, "index", f.Task.Index, "run", f.Run, "how", f.How, "executor", e.info.ID, "attempts", t.attempts,
		"image", t.step.Image, "took_ms", s.now-t.answered, "declared_ms", t.step.Estimate, "expected_ms", s.estimate(t.job, t.step))
	isPresent := t.state == taskPlaced && t.executor == e && t.run == f.Run
	if f.Saved != "" && f.Run == t.run {
		t.saved = f.Saved
	}
	switch {
	case f.How == fulmarjob.EndedDone && !t.step.Lasting:
		s.blame(e, t, false)
		s.takeDone(t, isPresent)
	case !isPresent:
		return
	case f.How == fulmarjob.EndedFailed:
		s.takeFailure(e, t)
	default:
		s.vacate(t, string(f.How))
	}
	s.touch(t.job)
}

// takeDone closes a task. Another run of it, placed in the belief that this one
// was lost, is stopped; it counts as a stray run from then on.
func (s *Scheduler) takeDone(t *task, isPresent bool) {
	if t.state == taskDone {
		return
	}
	if t.state == taskPlaced && isPresent {
		s.learn(t)
	}
	if t.state == taskPlaced && !isPresent {
		s.stop(t)
	}
	if t.executor != nil {
		t.executor.idleSince = s.now
		t.executor.remove(t)
	}
	s.close(t)
}

// close counts a task as done and ends what that completes.
func (s *Scheduler) close(t *task) {
	t.state = taskDone
	j := t.job
	o := j.occurrence(t.id.Occurrence)
	o.left[t.id.Step]--
	s.touch(j)
	if t.step.Gang && o.left[t.id.Step] > 0 {
		s.closeGang(o, t.id.Step)
	}
	if o.isDone() {
		j.active = slices.DeleteFunc(j.active, func(x *occurrence) bool { return x == o })
		j.ended++
	}
	if j.ended == j.specification.Occurrences() {
		s.finish(j, fulmarjob.Completed, "all tasks are done")
	}
}

// closeGang closes the other members of a gang, which ended together.
func (s *Scheduler) closeGang(o *occurrence, step int) {
	for _, m := range o.steps[step] {
		if m.state == taskDone {
			continue
		}
		if m.executor != nil {
			m.executor.idleSince = s.now
			m.executor.remove(m)
		}
		m.state = taskDone
		o.left[step]--
	}
}

func (s *Scheduler) takeFailure(e *executor, t *task) {
	t.attempts++
	t.failedOn = e.info.ID
	s.blame(e, t, true)
	s.vacate(t, "it failed")
	if t.step.Gang {
		for _, m := range t.job.occurrence(t.id.Occurrence).steps[t.id.Step] {
			m.attempts = max(m.attempts, t.attempts)
		}
	}
	if !t.step.Lasting && t.attempts >= t.job.queue.MaxAttempts {
		s.finish(t.job, fulmarjob.Failed, "a task failed too often")
	}
}

// blame keeps tasks away from an executor on which only failures happen.
func (s *Scheduler) blame(e *executor, t *task, failed bool) {
	if !failed {
		e.failedJobs = nil
		return
	}
	if t.attempts > 1 && t.failedOn != e.info.ID {
		return
	}
	e.failedJobs = append(e.failedJobs, t.id.Job)
	if len(e.failedJobs) < blamedFailures || countDistinct(e.failedJobs) < blamedJobs {
		return
	}
	e.avoidUntil, e.failedJobs = s.now+blamedPause, nil
	s.log.Log("executor avoided", "executor", e.info.ID, "why", "tasks of several jobs failed there", "for_ms", blamedPause)
	s.log.Count("executors_avoided", "failures")
}

func countDistinct(values []string) int {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return len(slices.Compact(sorted))
}

// takeRunning compares an executor's list with what was placed there.
func (s *Scheduler) takeRunning(e *executor, sent fulmarclock.Millis, rows []fulmarjob.RunningTask) {
	present := make(map[fulmarjob.TaskID]int64, len(rows))
	for _, r := range rows {
		present[r.Task] = r.Run
		t := s.taskOf(r.Task)
		if t == nil || t.executor != e || t.run != r.Run {
			s.log.Log("stray run stopped", "job", r.Task.Job, "step", r.Task.Step, "index", r.Task.Index, "run", r.Run, "executor", e.info.ID)
			s.orders = append(s.orders, StopCommand{Target: e.target(), Task: r.Task, Run: r.Run, Token: s.token})
			// It takes room that is not accounted for until its end is listed.
			e.avoidUntil = max(e.avoidUntil, s.now+fullPause)
			s.scheduleHold(e, s.now+minHoldGap)
			continue
		}
		s.noteRunning(t, r)
	}
	for _, t := range sortedTasks(e) {
		run, found := present[t.id]
		if !found || run != t.run {
			s.takeAbsent(t, sent)
		}
	}
}

func (s *Scheduler) noteRunning(t *task, r fulmarjob.RunningTask) {
	if t.running == 0 {
		t.running = s.now
	}
	if t.answered == 0 {
		t.answered = s.now
	}
	if !t.job.begun {
		t.job.begun = true
	}
	t.percent, t.recent = r.Percent, r.Recent
	if r.Saved != "" {
		t.saved = r.Saved
	}
}

// takeAbsent handles a placed task that an executor neither runs nor has ended.
func (s *Scheduler) takeAbsent(t *task, sent fulmarclock.Millis) {
	switch {
	case t.stopping:
		if t.stopped > 0 && t.stopped < sent {
			s.vacate(t, "its run was stopped")
		}
	case t.answered > 0 && t.answered < sent:
		s.vacate(t, "its executor does not know it")
	case t.sent == 0:
		s.sendStart(t)
	}
}

func sortedTasks(e *executor) []*task {
	tasks := make([]*task, 0, len(e.tasks))
	for _, t := range e.tasks {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, func(a, b *task) int { return compareTasks(a.id, b.id) })
	return tasks
}

func compareTasks(a, b fulmarjob.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}
