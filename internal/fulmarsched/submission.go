package fulmarsched

import (
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// Submission is a job that a caller submits.
type Submission struct {
	ID            string
	Queue         fulmarjob.Queue
	Customer      string
	Specification fulmarjob.Specification
}

// Outcome is the result of a submission or a cancellation.
type Outcome int

// The outcomes.
const (
	// OutcomeAccepted means that the request is accepted; the response may be sent once the next
	// batch is committed.
	OutcomeAccepted Outcome = iota
	// OutcomeRefused means that the job is not accepted and never runs because of this submission.
	OutcomeRefused
	// OutcomeUnknownJob means that no such job exists.
	OutcomeUnknownJob
)

// reasonAccepted is the reason of the decision on a new job that is accepted.
const reasonAccepted = "accepted"

// Decision is an outcome with its reason.
type Decision struct {
	Outcome Outcome
	Reason  string
	// RetryAfter is how long to wait before a refused job is submitted again.
	RetryAfter fulmarclock.Millis
}

// Submit accepts or refuses a job. It is idempotent: a job with a known ID is accepted again
// without effect.
func (s *Scheduler) Submit(now fulmarclock.Millis, unixMillis int64, sub Submission) Decision {
	s.now, s.unixMillis = now, unixMillis
	if j := s.jobs[sub.ID]; j != nil {
		return Decision{Outcome: OutcomeAccepted, Reason: "known"}
	}
	j := s.newSubmittedJob(sub)
	refusal, refused := s.checkSubmission(j)
	if !refusal.isForQuota() {
		s.recordDemand(j)
	}
	if refused {
		s.logBeyondQuota(j, refusal)
		s.log.Log("job refused", "job", j.id, "queue", j.queue.Name, "customer", j.customer, "reason", refusal.Reason, "retry_after_ms", refusal.RetryAfter)
		s.log.Count("refusals", refusal.Reason)
		return refusal
	}
	s.addToLists(j)
	s.openOccurrences(j)
	s.markDirty(j)
	s.log.Log("job accepted", "job", j.id, "queue", j.queue.Name, "steps", len(j.specification.Steps), "deadline_ms", j.deadline-now)
	return Decision{Outcome: OutcomeAccepted, Reason: reasonAccepted}
}

// newSubmittedJob returns the job of a submission that arrives now, which is not accepted yet.
func (s *Scheduler) newSubmittedJob(sub Submission) *job {
	j := newJob(sub.ID, sub.Queue, sub.Specification)
	j.customer, j.accepted, j.receivedAt = sub.Customer, s.unixMillis, s.now
	j.quota = s.quotas.byCustomer[j.customer]
	s.setDeadline(j)
	return j
}

// checkSubmission reports whether a new job must be refused, and returns the refusal. Explain calls it,
// too, so it has no effect beyond the new job: it does not log, count or record anything.
func (s *Scheduler) checkSubmission(j *job) (Decision, bool) {
	if refusal, refused := s.checkQuota(j); refused {
		return refusal, true
	}
	return s.checkAdmission(j)
}

// isForQuota reports whether the decision is a refusal because of a quota.
func (d Decision) isForQuota() bool {
	return d.Reason == reasonBeyondQuota || d.Reason == reasonQuotaBacklog
}

// setDeadline sets a job's deadline, and its rank as of now.
func (s *Scheduler) setDeadline(j *job) {
	path := s.criticalPath(j, nil)
	j.deadline = j.receivedAt + j.queue.TargetLatency + fulmarclock.Millis(j.queue.SlackFactor*float64(path))
	j.rank = s.rankWithPath(j, path)
}

// JobOrigin is where a job came from.
type JobOrigin struct {
	// Queue is empty for an ended job of a queue that did not allow anonymous requests, once its description has been
	// deleted and the owner has changed.
	Queue string
	// Customer is empty for a job without a customer.
	Customer string
}

// JobOrigin returns where the job with an ID came from. It returns false if there is no such job.
func (s *Scheduler) JobOrigin(id string) (JobOrigin, bool) {
	j := s.jobs[id]
	if j == nil {
		return JobOrigin{}, false
	}
	return JobOrigin{Queue: j.queue.Name, Customer: j.customer}, true
}

// HasJob reports whether a job with this ID exists.
func (s *Scheduler) HasJob(id string) bool { return s.jobs[id] != nil }

// Withdraw removes a job that is not part of any batch yet, as if it had been refused. It returns
// false for a job that the journal may hold.
func (s *Scheduler) Withdraw(now fulmarclock.Millis, id string) bool {
	s.now = now
	j := s.jobs[id]
	if j == nil {
		return true
	}
	if j.recorded || j.state.IsFinal() {
		return false
	}
	isWithdrawn := func(other *job) bool { return other == j }
	delete(s.jobs, id)
	s.jobList = slices.DeleteFunc(s.jobList, isWithdrawn)
	s.activeJobs = slices.DeleteFunc(s.activeJobs, isWithdrawn)
	s.serviceIndex = nil
	s.dirtyJobs = slices.DeleteFunc(s.dirtyJobs, isWithdrawn)
	s.deleteAdvice(j)
	s.log.Log("job withdrawn", "job", id, "queue", j.queue.Name, "waited_ms", now-j.receivedAt)
	return true
}

// Cancel ends a job at its caller's request.
func (s *Scheduler) Cancel(now fulmarclock.Millis, unixMillis int64, id string) Decision {
	s.now, s.unixMillis = now, unixMillis
	j := s.jobs[id]
	if j == nil {
		return Decision{Outcome: OutcomeUnknownJob, Reason: "unknown job"}
	}
	s.endJob(j, fulmarjob.Cancelled, "cancelled by its caller")
	return Decision{Outcome: OutcomeAccepted, Reason: "cancelled"}
}

// JobState returns a job's state. A final state is visible only once the journal holds it: until
// then a new owner would not know of it and would run tasks again.
func (s *Scheduler) JobState(id string) (fulmarjob.State, bool) {
	j := s.jobs[id]
	if j == nil {
		return "", false
	}
	switch {
	case j.state.IsFinal() && j.finalStateJournaled:
		return j.state, true
	case j.started || j.state.IsFinal():
		return fulmarjob.Running, true
	}
	return fulmarjob.Queued, true
}

// PendingJobs returns the number of jobs in a queue that have not started.
func (s *Scheduler) PendingJobs(queue string) int {
	count := 0
	for _, j := range s.activeJobs {
		if j.queue.Name == queue && !j.started && !j.state.IsFinal() {
			count++
		}
	}
	return count
}
