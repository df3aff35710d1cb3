package fulmarsched

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarreserve"
	"github.com/fulmardrum/fulmardrum/internal/fulmarshare"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

// An explanation tells an operator where a job would go now, and why. It calls the functions that decide,
// as far as they have no effect. What it changes is only what each decision computes anew before it reads
// it: the accounts of shares, the counts of permitted work, and the index of services.

// unknownTime is the number of milliseconds in an explanation for an unknown time.
const unknownTime = -1

// Explain returns what Submit would decide on a submission at the time now, and where the job's tasks would
// go. It changes no decision. A submission with the ID of a known job is explained like that job.
func (s *Scheduler) Explain(now fulmarclock.Millis, unixMillis int64, sub Submission) fulmarapi.Explanation {
	defer s.restoreTime(s.now, s.unixMillis)
	s.now, s.unixMillis = now, unixMillis
	if j := s.jobs[sub.ID]; j != nil {
		return s.explainKnown(j)
	}
	j := s.newSubmittedJob(sub)
	refusal, refused := s.checkSubmission(j)
	x := s.newExplainer(j)
	x.isRefused = refused
	decision := &fulmarapi.ExplainedDecision{Accepted: !refused, Reason: reasonAccepted}
	if refused {
		decision.Reason, decision.RetryAfterMillis = refusal.Reason, int64(refusal.RetryAfter)
	}
	s.openOccurrences(j)
	report := x.explain()
	report.Decision = decision
	return report
}

// ExplainJob returns where the waiting tasks of a known job would go at the time now. It changes no decision.
// It returns false if there is no such job.
func (s *Scheduler) ExplainJob(now fulmarclock.Millis, unixMillis int64, id string) (fulmarapi.Explanation, bool) {
	defer s.restoreTime(s.now, s.unixMillis)
	s.now, s.unixMillis = now, unixMillis
	j := s.jobs[id]
	if j == nil {
		return fulmarapi.Explanation{}, false
	}
	return s.explainKnown(j), true
}

// restoreTime sets the time back to that of the latest event.
func (s *Scheduler) restoreTime(now fulmarclock.Millis, unixMillis int64) {
	s.now, s.unixMillis = now, unixMillis
}

func (s *Scheduler) explainKnown(j *job) fulmarapi.Explanation {
	report := s.newExplainer(j).explain()
	report.Job = j.id
	report.Progress = s.progressOf(j)
	return report
}

// progressOf returns the state of a job as its callers see it, and the numbers of its tasks.
func (s *Scheduler) progressOf(j *job) *fulmarapi.JobProgress {
	state, _ := s.JobState(j.id)
	progress := &fulmarapi.JobProgress{State: string(state)}
	j.eachTask(func(t *task) {
		switch t.state {
		case taskPlaced:
			progress.Running++
		case taskWaiting:
			progress.Waiting++
		case taskDone:
			progress.Done++
		}
	})
	return progress
}

// explainer explains one job.
type explainer struct {
	scheduler *Scheduler
	job       *job
	// rank is the job's rank as of now.
	rank rank
	// wait is how long the work placed before the job takes.
	wait fulmarclock.Millis
	// share is nil unless shares bind.
	share *fulmarapi.ShareReport
	// isRefused means that the job would not be accepted.
	isRefused bool
	// holds are the reservations of tasks that are placed before the job's.
	holds []explainedHold
}

// newExplainer returns an explainer of a known job, or of one that is not accepted yet and has no occurrence.
func (s *Scheduler) newExplainer(j *job) *explainer {
	x := &explainer{scheduler: s, job: j, rank: s.rankOf(j)}
	if s.jobs[j.id] != j {
		x.rank = j.rank
	}
	x.rankByShare()
	x.listHolds()
	return x
}

// rankByShare sets the standing to the customer's share, and the wait.
func (x *explainer) rankByShare() {
	s, j := x.scheduler, x.job
	cpu := s.schedulableCPU(j.queue.Service)
	if cpu == 0 || j.longRunning || j.state.IsFinal() {
		return
	}
	if s.shares == nil {
		x.wait = waitFor(s.workBefore(j, x.rank), cpu)
		return
	}
	q := s.explainedQueue(j, cpu)
	x.rank.standing = q.newWork.rank.standing
	x.wait = q.wait(q.newWork.rank)
	if q.binds {
		account := q.newWork.account
		x.share = &fulmarapi.ShareReport{Share: account.Share(), Demand: account.Demand(), Standing: standingNames[x.rank.standing]}
	}
}

var standingNames = map[fulmarshare.Standing]fulmarapi.Standing{
	fulmarshare.Within: fulmarapi.StandingWithin, fulmarshare.PartlyWithin: fulmarapi.StandingPartlyWithin, fulmarshare.Beyond: fulmarapi.StandingBeyond,
}

// explainedQueue returns the waiting work of a service that customers share, from the view of a job that
// may be known.
func (s *Scheduler) explainedQueue(j *job, cpu float64) *sharedQueue {
	if s.jobs[j.id] != j {
		return s.newSharedQueue(j, cpu)
	}
	d, capacity := s.divisionOf(j.queue.Service, nil)
	q := &sharedQueue{waiting: s.sharedWaiting(j.queue.Service), cpu: cpu}
	// Without waiting work the job is not in the queue.
	q.newWork = sharedWork{rankedWork{rank: s.rankOf(j)}, j, s.shares.accountOf(j)}
	d.Open(q.newWork.account)
	q.divide(d, capacity)
	return q
}

// workBefore returns the waiting work of a service that is placed before a job.
func (s *Scheduler) workBefore(j *job, r rank) float64 {
	sum := 0.0
	jobs := s.services().jobs[j.queue.Service]
	permitted := s.permittedWork(jobs)
	for _, other := range jobs {
		if other != j && !other.longRunning && !other.state.IsFinal() && other.rank.compare(r) <= 0 {
			sum += s.waitingWorkOf(other) * permitted.of(other)
		}
	}
	return sum
}

func (x *explainer) explain() fulmarapi.Explanation {
	j := x.job
	report := fulmarapi.Explanation{
		Customer: j.customer, Queue: j.queue.Name, Service: j.queue.Service, Priority: j.queue.Priority,
		Quota: x.quota(), Share: x.share, EndMillis: unknownTime,
	}
	if j.state.IsFinal() {
		return report
	}
	for _, o := range j.activeOccurrences {
		for i := range o.steps {
			if o.isStepPlaceable(j, i) {
				report.Steps = append(report.Steps, x.explainStep(o, i))
			}
		}
	}
	report.EndMillis = x.expectedEnd(report.Steps)
	return report
}

// quota returns the customer's quota and use, nil without one.
func (x *explainer) quota() *fulmarapi.QuotaReport {
	if !x.job.quota.hasLimit() {
		return nil
	}
	return &fulmarapi.QuotaReport{Limit: reportOf(x.job.quota.limit), Used: reportOf(x.scheduler.quotas.ledger.Used(x.job.customer))}
}

func reportOf(r fulmarjob.Resources) fulmarapi.ResourceReport {
	return fulmarapi.ResourceReport{MilliCPU: r.MilliCPU, MemoryMB: r.MemoryMB, GPUs: r.GPUs}
}

// expectedEnd returns the time until the job's expected end: the critical path after the last start of a
// waiting task. Tasks that run count with their whole duration.
func (x *explainer) expectedEnd(steps []fulmarapi.StepExplanation) int64 {
	if x.job.longRunning || x.isRefused || len(x.job.activeOccurrences) == 0 {
		return unknownTime
	}
	last := int64(0)
	for _, step := range steps {
		if step.Start.Millis == unknownTime {
			return unknownTime
		}
		last = max(last, step.Start.Millis+int64(x.restWait(step)))
	}
	return last + int64(x.scheduler.remainingCriticalPath(x.job))
}

// restWait returns how long the tasks of a step for which there is no room wait for the others at least: what
// their work takes on the whole pool, or within the customer's quota.
func (x *explainer) restWait(explained fulmarapi.StepExplanation) fulmarclock.Millis {
	s := x.scheduler
	rest := explained.Waiting - max(explained.Room, 1)
	cpu := s.schedulableCPU(x.job.queue.Service)
	if rest <= 0 || cpu == 0 {
		return 0
	}
	counts := make([]int, len(x.job.specification.Steps))
	counts[explained.Step] = rest
	work := quotaWork{}
	work.add(s, x.job, counts)
	wait := waitFor(work.cpu, cpu)
	if x.job.quota.hasLimit() {
		wait = max(wait, work.duration(x.job.quota.limit))
	}
	return wait
}

// explainedHold is a reservation that keeps later tasks off its executor.
type explainedHold struct {
	executor *executor
	task     *task
	gap      fulmarreserve.Gap
}

// listHolds lists the reservations of the last placement whose tasks are placed before the job's.
func (x *explainer) listHolds() {
	s := x.scheduler
	l := s.lookAheads[x.job.queue.Service]
	if l == nil {
		return
	}
	for _, r := range l.reservations.All() {
		e, t := s.executors[r.Executor], s.findTask(r.Task)
		if e == nil || t == nil || t.state != taskWaiting {
			continue
		}
		other := s.rankOf(t.job)
		other.standing = t.job.rank.standing
		if other.compare(x.rank) > 0 {
			continue
		}
		x.holds = append(x.holds, explainedHold{executor: e, task: t, gap: s.newTimeline(e).GapBefore(r.Start, t.step.Reserved())})
	}
}

// newTimeline returns the timeline of an executor as of now. timelineOf would keep it for later placements.
func (s *Scheduler) newTimeline(e *executor) fulmarreserve.Timeline {
	return fulmarreserve.NewTimeline(e.freeCapacity(), s.appendRuns(nil, e))
}

// reservationOf returns the reservation of a task, nil if it has none.
func (x *explainer) reservationOf(t *task) *fulmarapi.ReservationReport {
	l := x.scheduler.lookAheads[x.job.queue.Service]
	if l == nil {
		return nil
	}
	for _, r := range l.reservations.All() {
		if r.Task == t.id {
			return &fulmarapi.ReservationReport{Executor: r.Executor, StartMillis: int64(max(r.Start-x.scheduler.now, 0))}
		}
	}
	return nil
}
