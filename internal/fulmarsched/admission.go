package fulmarsched

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// checkAdmission reports whether a new job must be refused, and returns the refusal. It answers
// bursts in which a queue requests more than its pool has: a job is refused at once if the jobs
// that are placed before it take longer than it can wait. Jobs that are placed after it, such
// as those that are late already, are no reason to refuse it.
func (s *Scheduler) checkAdmission(j *job) (Decision, bool) {
	if j.longRunning || j.specification.FirstDue > 0 {
		return Decision{}, false
	}
	capacity := s.schedulableCPU(j.queue.Service)
	if capacity == 0 {
		return Decision{}, false
	}
	wait := fulmarclock.Millis(s.workAhead(j) / capacity)
	if wait <= j.rank.slack {
		return Decision{}, false
	}
	return Decision{Outcome: OutcomeRefused, Reason: "backlog", RetryAfter: wait - j.rank.slack}, true
}

// schedulableCPU returns the CPU of a service's schedulable executors in millicores.
func (s *Scheduler) schedulableCPU(service string) float64 {
	sum := int64(0)
	for _, e := range s.services().executors[service] {
		if e.isSchedulable(s.now) {
			sum += e.info.Capacity.MilliCPU
		}
	}
	return float64(sum)
}

// workAhead returns the waiting work of the jobs that are placed before a new job, in
// millicore-milliseconds. Their ranks are those of the last placement.
func (s *Scheduler) workAhead(j *job) float64 {
	sum := 0.0
	for _, other := range s.services().jobs[j.queue.Service] {
		if other.state.IsFinal() || other.longRunning || other.rank.compare(j.rank) > 0 {
			continue
		}
		for _, o := range other.activeOccurrences {
			sum += s.waitingWork(other, o)
		}
	}
	return sum
}

// waitingWork returns the work of the waiting tasks of an occurrence, in millicore-milliseconds.
func (s *Scheduler) waitingWork(j *job, o *occurrence) float64 {
	sum := 0.0
	for i, waiting := range o.waiting {
		if waiting > 0 {
			step := &j.specification.Steps[i]
			sum += float64(waiting) * float64(step.Resources.MilliCPU) * float64(s.estimate(j, step))
		}
	}
	return sum
}
