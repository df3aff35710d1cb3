package fulmarsched

import (
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// Submission is a job that a caller hands in.
type Submission struct {
	ID            string
	Queue         fulmarjob.Queue
	Specification fulmarjob.Specification
}

// Outcome is what became of a submission or a cancellation.
type Outcome int

// The verdicts.
const (
	// OutcomeAccepted means that the caller may be told after the next batch was committed.
	OutcomeAccepted Outcome = iota
	// OutcomeRefused means that the job is not known and never runs by this submission.
	OutcomeRefused
	// OutcomeUnknownJob means that there is no such job.
	OutcomeUnknownJob
)

// Decision is a verdict with its reason.
type Decision struct {
	Outcome Outcome
	Reason  string
	// RetryAfter is when a refused job may be handed in again.
	RetryAfter fulmarclock.Millis
}

// Submit takes a job in, or refuses it. The same ID stays one job.
func (s *Scheduler) Submit(now fulmarclock.Millis, unix int64, sub Submission) Decision {
	s.now, s.unix = now, unix
	if j := s.jobs[sub.ID]; j != nil {
		return Decision{Outcome: OutcomeAccepted, Reason: "known"}
	}
	j := newJob(sub.ID, sub.Queue, sub.Specification)
	j.accepted, j.received = unix, now
	s.noteDemand(j)
	if refusal, refused := s.refusal(j); refused {
		s.log.Log("job refused", "job", j.id, "queue", j.queue.Name, "reason", refusal.Reason, "retry_after_ms", refusal.RetryAfter)
		s.log.Count("refusals", refusal.Reason)
		return refusal
	}
	s.enter(j)
	s.openOccurrences(j)
	s.touch(j)
	s.log.Log("job accepted", "job", j.id, "queue", j.queue.Name, "steps", len(j.specification.Steps), "deadline_ms", j.deadline-now)
	return Decision{Outcome: OutcomeAccepted, Reason: "accepted"}
}

func (s *Scheduler) enter(j *job) {
	s.jobs[j.id] = j
	s.order = append(s.order, j)
	j.deadline = j.received + j.queue.Aim + fulmarclock.Millis(j.queue.Slack*float64(s.chain(j, nil)))
}

// HasJob tells whether there is a job of this ID.
func (s *Scheduler) HasJob(id string) bool { return s.jobs[id] != nil }

// Withdraw forgets a job that is part of no batch yet, as if it had been refused. It
// returns false for a job that the journal may hold.
func (s *Scheduler) Withdraw(now fulmarclock.Millis, id string) bool {
	s.now = now
	j := s.jobs[id]
	if j == nil {
		return true
	}
	if j.stored || j.state.IsFinal() {
		return false
	}
	isIt := func(o *job) bool { return o == j }
	delete(s.jobs, id)
	s.order = slices.DeleteFunc(s.order, isIt)
	s.dirty = slices.DeleteFunc(s.dirty, isIt)
	s.forgetAdvice(j)
	s.log.Log("job withdrawn", "job", id, "queue", j.queue.Name, "waited_ms", now-j.received)
	return true
}

// Cancel ends a job at its caller's wish.
func (s *Scheduler) Cancel(now fulmarclock.Millis, unix int64, id string) Decision {
	s.now, s.unix = now, unix
	j := s.jobs[id]
	if j == nil {
		return Decision{Outcome: OutcomeUnknownJob, Reason: "unknown job"}
	}
	s.finish(j, fulmarjob.Cancelled, "cancelled by its caller")
	return Decision{Outcome: OutcomeAccepted, Reason: "cancelled"}
}

// JobState returns how far a job has come. A final state shows once the journal holds
// it: a later owner could not know of it before, and would run tasks again.
func (s *Scheduler) JobState(id string) (fulmarjob.State, bool) {
	j := s.jobs[id]
	if j == nil {
		return "", false
	}
	switch {
	case j.state.IsFinal() && j.settled:
		return j.state, true
	case j.begun || j.state.IsFinal():
		return fulmarjob.Running, true
	}
	return fulmarjob.Queued, true
}

// PendingJobs returns how many jobs of a queue have not begun.
func (s *Scheduler) PendingJobs(queue string) int {
	n := 0
	for _, j := range s.order {
		if j.queue.Name == queue && !j.begun && !j.state.IsFinal() {
			n++
		}
	}
	return n
}
