package fulmarsched

import (
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarquota"
)

// checkQuota reports whether a new job must be refused because of its customer's quota, and returns the
// refusal.
func (s *Scheduler) checkQuota(j *job) (Decision, bool) {
	if !j.quota.hasLimit() {
		return Decision{}, false
	}
	if _, found := j.stepBeyondQuota(); found {
		return Decision{Outcome: OutcomeRefused, Reason: reasonBeyondQuota}, true
	}
	if j.longRunning || j.specification.FirstDue > 0 {
		return Decision{}, false
	}
	excess := s.quotaExcess(j)
	if excess <= 0 {
		return Decision{}, false
	}
	return Decision{Outcome: OutcomeRefused, Reason: reasonQuotaBacklog, RetryAfter: excess}, true
}

// stepBeyondQuota returns the first step with a task or a gang that exceeds the quota of the job's customer
// by itself, false if there is none.
func (j *job) stepBeyondQuota() (int, bool) {
	for i := range j.specification.Steps {
		if fulmarquota.Exceeds(j.quota.limit, stepUnit(&j.specification.Steps[i])) {
			return i, true
		}
	}
	return 0, false
}

// logBeyondQuota logs which step is the reason of a refusal because of reasonBeyondQuota.
func (s *Scheduler) logBeyondQuota(j *job, refusal Decision) {
	if refusal.Reason != reasonBeyondQuota {
		return
	}
	step, _ := j.stepBeyondQuota()
	s.log.Log("job exceeds its customer's quota by itself", "job", j.id, "customer", j.customer, "step", step, "quota_mcpu", j.quota.limit.MilliCPU, "quota_mb", j.quota.limit.MemoryMB, "quota_gpus", j.quota.limit.GPUs)
}

// stepUnit returns what the tasks of a step take that can only be placed together.
func stepUnit(step *fulmarjob.Step) fulmarjob.Resources {
	if step.Gang {
		return step.Resources.Times(step.Count)
	}
	return step.Resources
}

// quotaExcess returns by how much a new job would take longer than servedWithin times its objective
// because of its customer's other waiting work, which its quota serves in the order of the ranks; zero if
// it would not. A later submission can't be served sooner than without that work.
func (s *Scheduler) quotaExcess(j *job) fulmarclock.Millis {
	own := quotaWork{}
	own.add(s, j, nil)
	wait := s.quotaWait(j)
	service := max(s.criticalPath(j, nil), own.duration(j.quota.limit))
	return min(wait, wait+service-servedWithin*j.objective())
}

// quotaWait returns how long the customer's quota takes for its other waiting work that comes before a job.
func (s *Scheduler) quotaWait(j *job) fulmarclock.Millis {
	ahead := quotaWork{}
	for _, other := range s.activeJobs {
		if other != j && other.quota == j.quota && !other.state.IsFinal() && !other.longRunning && other.rank.compareUrgency(j.rank) <= 0 {
			for _, o := range other.activeOccurrences {
				ahead.add(s, other, o.waiting)
			}
		}
	}
	return ahead.duration(j.quota.limit)
}

// quotaWork is the work of tasks, in each resource times milliseconds.
type quotaWork struct{ cpu, memory, gpus float64 }

// add adds the work of a number of tasks of each step, of all tasks if counts is nil.
func (w *quotaWork) add(s *Scheduler, j *job, counts []int) {
	for i := range j.specification.Steps {
		step := &j.specification.Steps[i]
		count := step.Count
		if counts != nil {
			count = counts[i]
		}
		if count > 0 {
			duration := float64(count) * float64(s.estimate(j, step))
			w.cpu += duration * float64(step.Resources.MilliCPU)
			w.memory += duration * float64(step.Resources.MemoryMB)
			w.gpus += duration * float64(step.Resources.GPUs)
		}
	}
}

// duration returns how long a quota takes for the work.
func (w *quotaWork) duration(limit fulmarjob.Resources) fulmarclock.Millis {
	longest := 0.0
	if limit.MilliCPU > 0 {
		longest = max(longest, w.cpu/float64(limit.MilliCPU))
	}
	if limit.MemoryMB > 0 {
		longest = max(longest, w.memory/float64(limit.MemoryMB))
	}
	if limit.GPUs > 0 {
		longest = max(longest, w.gpus/float64(limit.GPUs))
	}
	return fulmarclock.Millis(longest)
}

// quotaCount is what a customer's tasks that can start reserve together in one count of the waiting work,
// and what its quota leaves for them.
type quotaCount struct {
	number    int64
	sum       fulmarjob.Resources
	isLimited bool
	left      fulmarquota.Headroom
}

// permittedFraction is the fraction of a job's waiting work that its quota permits in one count.
type permittedFraction struct {
	number   int64
	fraction float64
}

// permittedWork is a count of the waiting work that quotas permit. It is valid until the next count.
type permittedWork struct{ number int64 }

// of returns the fraction of a job's waiting work that counts as work that others wait for.
func (p permittedWork) of(j *job) float64 {
	if j.permitted.number != p.number {
		return 1
	}
	return j.permitted.fraction
}

// permittedWork returns how much of the waiting work of jobs their customers' quotas permit beside what
// runs, in the order of the jobs' ranks. The later steps of a job count with the fraction of those that
// can start.
func (s *Scheduler) permittedWork(jobs []*job) permittedWork {
	s.quotas.counts++
	limited := s.limitedJobs(jobs)
	slices.SortStableFunc(limited, func(a, b *job) int { return a.rank.compare(b.rank) })
	for _, j := range limited {
		j.permitted = permittedFraction{number: s.quotas.counts, fraction: j.takeFraction(&j.quota.waiting.left)}
	}
	return permittedWork{number: s.quotas.counts}
}

// limitedJobs returns the jobs of customers whose tasks could not be placed all within their quotas.
func (s *Scheduler) limitedJobs(jobs []*job) []*job {
	if len(s.quotas.byCustomer) == 0 {
		return nil
	}
	for _, j := range jobs {
		if j.quota.hasLimit() && !j.state.IsFinal() {
			s.countWaitingQuota(j)
		}
	}
	var limited []*job
	for _, j := range jobs {
		if j.quota.hasLimit() && !j.state.IsFinal() && !s.quotas.ledger.Fits(j.customer, j.quota.limit, j.quota.waiting.sum) {
			if !j.quota.waiting.isLimited {
				j.quota.waiting.isLimited = true
				j.quota.waiting.left = s.quotas.ledger.Headroom(j.customer, j.quota.limit)
			}
			limited = append(limited, j)
		}
	}
	return limited
}

// countWaitingQuota adds what a job's tasks that can start reserve together to the count of its customer.
func (s *Scheduler) countWaitingQuota(j *job) {
	count := &j.quota.waiting
	if count.number != s.quotas.counts {
		*count = quotaCount{number: s.quotas.counts}
	}
	for _, o := range j.activeOccurrences {
		for i := range o.waiting {
			if o.isStepPlaceable(j, i) {
				count.sum = count.sum.Add(j.specification.Steps[i].Resources.Times(o.waiting[i]))
			}
		}
	}
}

// takeFraction takes the tasks that can start from what a quota leaves, as far as they fit, and returns
// their fraction of all tasks that can start; 1 if there are none.
func (j *job) takeFraction(left *fulmarquota.Headroom) float64 {
	taken, ready := 0, 0
	for _, o := range j.activeOccurrences {
		for i, waiting := range o.waiting {
			if !o.isStepPlaceable(j, i) {
				continue
			}
			ready += waiting
			step := &j.specification.Steps[i]
			if step.Gang {
				taken += waiting * left.Take(step.Resources.Times(waiting), 1)
			} else {
				taken += left.Take(step.Resources, waiting)
			}
		}
	}
	if ready == 0 {
		return 1
	}
	return float64(taken) / float64(ready)
}
