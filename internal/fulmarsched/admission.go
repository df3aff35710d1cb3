package fulmarsched

import (
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// checkAdmission reports whether a new job must be refused, and returns the refusal. It answers
// bursts in which a queue requests more than its pool has: a job is refused at once if it would
// be late itself, or would make a job late that is accepted already. Jobs that are late in any
// case are placed after the others and are no reason to refuse one.
func (s *Scheduler) checkAdmission(j *job) (Decision, bool) {
	if j.longRunning || j.specification.FirstDue > 0 {
		return Decision{}, false
	}
	cpu := s.schedulableCPU(j.queue.Service)
	if cpu == 0 {
		return Decision{}, false
	}
	if s.shares != nil {
		return s.checkSharedAdmission(j, cpu)
	}
	newWork := rankedWork{rank: j.rank, work: s.estimatedWork(j)}
	excess := excessWait(s.waitingByRank(j.queue.Service), newWork, cpu)
	if excess <= 0 {
		return Decision{}, false
	}
	return Decision{Outcome: OutcomeRefused, Reason: reasonBacklog, RetryAfter: excess}, true
}

// rankedWork is the waiting work of a job, in millicore-milliseconds, with its rank.
type rankedWork struct {
	rank rank
	work float64
}

// isOnTimeWith reports whether a job is on time and in a queue of a priority. Jobs of less urgent
// queues have to wait for more urgent ones.
func (r rank) isOnTimeWith(priority int) bool {
	return r.priority == priority && r.class == classOnTime
}

// excessWait returns by how much the first of the jobs that are on time would be late because
// of a new one; zero if none would. waiting is sorted by rank, cpu is the pool's CPU in
// millicores. A job waits for the work of the jobs that are placed before it.
func excessWait(waiting []rankedWork, newWork rankedWork, cpu float64) fulmarclock.Millis {
	ahead := 0.0
	i := 0
	for ; i < len(waiting) && waiting[i].rank.compare(newWork.rank) <= 0; i++ {
		ahead += waiting[i].work
	}
	if excess := waitFor(ahead, cpu) - newWork.rank.slack; excess > 0 {
		return excess
	}
	for ; i < len(waiting) && waiting[i].rank.isOnTimeWith(newWork.rank.priority); i++ {
		isOnTime := waitFor(ahead, cpu) <= waiting[i].rank.slack
		excess := waitFor(ahead+newWork.work, cpu) - waiting[i].rank.slack
		if isOnTime && excess > 0 {
			return excess
		}
		ahead += waiting[i].work
	}
	return 0
}

// waitFor returns how long CPU in millicores takes for work in millicore-milliseconds.
func waitFor(work, cpu float64) fulmarclock.Millis { return fulmarclock.Millis(work / cpu) }

// schedulableCPU returns the CPU of a service's schedulable executors in millicores.
func (s *Scheduler) schedulableCPU(service string) float64 {
	sum := int64(0)
	for _, e := range s.services().executors[service] {
		if e.isSchedulable(s.now) && !e.isIsolated() {
			sum += e.info.Capacity.MilliCPU
		}
	}
	return float64(sum)
}

// waitingByRank returns the waiting work of a service's jobs in the order in which they are
// placed, by their ranks of the last placement. Long-running jobs and what quotas hold back are left out.
func (s *Scheduler) waitingByRank(service string) []rankedWork {
	var waiting []rankedWork
	permitted := s.permittedWork(s.services().jobs[service])
	for _, j := range s.services().jobs[service] {
		if j.state.IsFinal() || j.longRunning {
			continue
		}
		if work := s.waitingWorkOf(j) * permitted.of(j); work > 0 {
			waiting = append(waiting, rankedWork{rank: j.rank, work: work})
		}
	}
	slices.SortFunc(waiting, func(a, b rankedWork) int { return a.rank.compare(b.rank) })
	return waiting
}

// waitingWorkOf returns the work of the waiting tasks of a job, in millicore-milliseconds.
func (s *Scheduler) waitingWorkOf(j *job) float64 {
	work := 0.0
	for _, o := range j.activeOccurrences {
		work += s.waitingWork(j, o)
	}
	return work
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
