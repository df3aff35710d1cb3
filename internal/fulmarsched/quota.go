package fulmarsched

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarquota"
)

// A customer's quota limits what its runs take on all executors together. The ledger counts a run from
// its placement until it has certainly ended. A task beyond its customer's quota is passed over: it holds
// back no other customer's task, and no executor is isolated or reserved for it.

// Reasons of refusals.
const (
	reasonBacklog      = "backlog"
	reasonBeyondShare  = "beyond-share"
	reasonBeyondQuota  = "beyond-quota"
	reasonQuotaBacklog = "quota-backlog"
)

// quotaLogInterval is the time between two log lines on a customer that is at its quota.
const quotaLogInterval = fulmarclock.Second

// customerQuota is the quota of a customer.
type customerQuota struct {
	customer string
	limit    fulmarjob.Resources
	// loggedAt is when the last line was logged that the customer's quota has no room for the next task.
	loggedAt fulmarclock.Millis
	// waiting is what the tasks reserve together that could be placed, as of the last count.
	waiting quotaCount
}

// hasLimit reports whether the quota limits any resource.
func (q *customerQuota) hasLimit() bool { return q != nil && q.limit != fulmarjob.Resources{} }

// quotaTable holds the quotas of the configuration's customers, and what counts towards them.
type quotaTable struct {
	ledger     *fulmarquota.Ledger
	byCustomer map[string]*customerQuota
	// counts is the number of counts of waiting work.
	counts int64
}

func newQuotaTable() quotaTable {
	return quotaTable{ledger: fulmarquota.NewLedger(), byCustomer: map[string]*customerQuota{}}
}

// update applies the quotas of a configuration. The last known quota of a removed customer stays in
// force for its jobs.
func (q *quotaTable) update(c *fulmarjob.Configuration, jobs []*job) {
	before := q.byCustomer
	q.byCustomer = make(map[string]*customerQuota, len(c.Customers))
	for _, customer := range c.Customers {
		known := before[customer.Name]
		if known == nil {
			known = &customerQuota{customer: customer.Name}
		}
		known.limit = customer.Quota
		q.byCustomer[customer.Name] = known
	}
	for _, j := range jobs {
		if known := before[j.customer]; known != nil && q.byCustomer[j.customer] == nil {
			q.byCustomer[j.customer] = known
		}
		j.quota = q.byCustomer[j.customer]
	}
}

// quotaCharge is what a run counts towards the quota of a customer. The zero value counts nothing.
type quotaCharge struct {
	customer  string
	resources fulmarjob.Resources
}

// charge returns what a run of the task counts. A best-effort task counts with all it may use, not only
// with what it reserves.
func (t *task) charge() quotaCharge {
	return quotaCharge{customer: t.job.customer, resources: t.step.Resources}
}

// chargeOf returns what a run of a task counts, nothing if the task's job is not known.
func (s *Scheduler) chargeOf(id fulmarjob.TaskID) quotaCharge {
	j := s.jobs[id.Job]
	if j == nil || id.Step < 0 || id.Step >= len(j.specification.Steps) {
		return quotaCharge{}
	}
	return quotaCharge{customer: j.customer, resources: j.specification.Steps[id.Step].Resources}
}

func (e *executor) reserveQuota(c quotaCharge) { e.ledger.Reserve(c.customer, c.resources) }

func (e *executor) releaseQuota(c quotaCharge) { e.ledger.Release(c.customer, c.resources) }

// dropStrayRun deletes a stray run that is certainly not present.
func (e *executor) dropStrayRun(k runKey) {
	r, found := e.strayRuns[k]
	if !found {
		return
	}
	e.openStarts.noteStray(k.task, -1)
	e.releaseQuota(r.charge)
	delete(e.strayRuns, k)
}

// dropStrayRuns deletes all stray runs, none of which is present.
func (e *executor) dropStrayRuns() {
	for k := range e.strayRuns {
		e.dropStrayRun(k)
	}
	e.strayRuns = nil
}

// neededQuota returns what the quota must leave so that a waiting task can be placed. The members of a
// gang are placed together.
func (t *task) neededQuota() fulmarjob.Resources {
	if t.step.Gang {
		return t.step.Resources.Times(t.occurrence.waiting[t.id.Step])
	}
	return t.step.Resources
}

// isHeldBack reports whether a quota holds a waiting task back. Tasks of customers wait until the
// scheduler knows a configuration.
func (s *Scheduler) isHeldBack(t *task) bool {
	j := t.job
	if j.customer == "" || t.state != taskWaiting {
		return false
	}
	if s.configuration == nil {
		return true
	}
	return j.quota.hasLimit() && !s.quotas.ledger.Fits(j.customer, j.quota.limit, t.neededQuota())
}

// quotaLeavesRoom reports whether the quota of a task's customer leaves room for another run of the task.
func (s *Scheduler) quotaLeavesRoom(t *task) bool {
	j := t.job
	return !j.quota.hasLimit() || s.quotas.ledger.Fits(j.customer, j.quota.limit, t.step.Resources)
}

// holdsBack reports whether a quota holds back the next task of a step, and notes it.
func (s *Scheduler) holdsBack(tasks []*task) bool {
	if tasks[0].job.customer == "" {
		return false
	}
	for _, t := range tasks {
		if t.state == taskWaiting {
			return s.notesHeldBack(t)
		}
	}
	return false
}

// notesHeldBack reports whether a quota holds a task back. It logs this once for a job, and at most once
// per quotaLogInterval for a customer.
func (s *Scheduler) notesHeldBack(t *task) bool {
	if !s.isHeldBack(t) {
		return false
	}
	j, q := t.job, t.job.quota
	if !j.heldBack {
		j.heldBack = true
		s.log.Log("task waits for its customer's quota", "job", j.id, "customer", j.customer, "step", t.id.Step, "index", t.id.Index)
		s.log.Count("quota_holds", "")
	}
	if q != nil && (q.loggedAt == 0 || s.now >= q.loggedAt+quotaLogInterval) {
		q.loggedAt = s.now
		used := s.quotas.ledger.Used(j.customer)
		s.log.Log("customer's quota has no room for the next task", "customer", j.customer, "used_mcpu", used.MilliCPU, "quota_mcpu", q.limit.MilliCPU, "used_mb", used.MemoryMB, "quota_mb", q.limit.MemoryMB, "used_gpus", used.GPUs, "quota_gpus", q.limit.GPUs)
	}
	return true
}

// checkStartQuota checks a start that is about to be sent for the first time against the newest quota.
// It withdraws one that the quota no longer permits, and returns false for one that is not to be sent.
// A start that was sent before may be running.
func (s *Scheduler) checkStartQuota(t *task) bool {
	j := t.job
	if j.customer == "" || t.startsSent > 0 || t.confirmedAt > 0 {
		return true
	}
	if s.configuration == nil {
		return false
	}
	if !j.quota.hasLimit() || s.quotas.ledger.Keeps(j.customer, j.quota.limit, t.step.Resources) {
		return true
	}
	s.log.Count("quota_withdrawals", "")
	s.withdrawStart(t, stopBeyondQuota)
	return false
}
