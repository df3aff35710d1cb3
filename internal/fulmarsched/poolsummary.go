package fulmarsched

import (
	"math"
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// poolLogInterval is the time between two log lines on a pool.
const poolLogInterval = fulmarclock.Second

// poolSummary is the total of the executors and of the waiting work of a service.
type poolSummary struct {
	service     string
	executors   int
	schedulable int
	// listedCapacity is the capacity of all listed executors; capacity and used cover only the
	// schedulable ones.
	listedCapacity fulmarjob.Resources
	capacity       fulmarjob.Resources
	used           fulmarjob.Resources
	// waiting is the number of tasks that are not placed, ready the number of those whose step can
	// start.
	waiting int
	ready   int
	// backlog is the work of the waiting tasks in millicore-milliseconds, readyBacklog that of the
	// ready ones.
	backlog      float64
	readyBacklog float64
	// readyCPU is the CPU in millicores that the ready tasks reserve together.
	readyCPU int64
	// minExecutors is the highest number of executors that any step needs because of its limit on
	// tasks per executor.
	minExecutors int
}

// meanVMCPU returns the mean CPU of the pool's VMs in millicores.
func (p *poolSummary) meanVMCPU() float64 {
	if p.executors == 0 {
		return 0
	}
	return float64(p.listedCapacity.MilliCPU) / float64(p.executors)
}

// summarizePools returns the totals of all services.
func (s *Scheduler) summarizePools() map[string]*poolSummary {
	pools := map[string]*poolSummary{}
	summaryOf := func(service string) *poolSummary {
		p := pools[service]
		if p == nil {
			p = &poolSummary{service: service}
			pools[service] = p
		}
		return p
	}
	for _, e := range s.allExecutors() {
		p := summaryOf(e.info.Service)
		if !e.listed || e.retired {
			continue
		}
		p.executors++
		p.listedCapacity = p.listedCapacity.Add(e.info.Capacity)
		if e.isSchedulable(s.now) {
			p.schedulable++
			p.capacity = p.capacity.Add(e.info.Capacity)
			p.used = p.used.Add(e.used)
		}
	}
	permitted := s.permittedWork(s.activeJobs)
	for _, j := range s.activeJobs {
		if j.state.IsFinal() {
			continue
		}
		p := summaryOf(j.queue.Service)
		for _, o := range j.activeOccurrences {
			s.addWaiting(p, j, o, permitted.of(j))
		}
	}
	return pools
}

// addWaiting adds the waiting tasks of an occurrence to a pool's totals. Only the permitted fraction of
// its work needs capacity.
func (s *Scheduler) addWaiting(p *poolSummary, j *job, o *occurrence, permitted float64) {
	for i, waiting := range o.waiting {
		if o.remaining[i] == 0 {
			continue
		}
		p.minExecutors = max(p.minExecutors, minExecutorsOf(&j.specification.Steps[i]))
		p.waiting += waiting
		step := &j.specification.Steps[i]
		work := 0.0
		if !step.LongRunning && waiting > 0 {
			work = float64(waiting) * float64(step.Resources.MilliCPU) * float64(s.estimate(j, step)) * permitted
		}
		p.backlog += work
		if ready := waiting - j.countDelayed(o.steps[i], s.now); ready > 0 && o.isStepReady(j, i) {
			placeable := int(math.Round(float64(ready) * permitted))
			p.ready += placeable
			p.readyBacklog += work * float64(ready) / float64(waiting)
			p.readyCPU += int64(placeable) * step.Reserved().MilliCPU
		}
	}
}

// minExecutorsOf returns the number of executors that a step needs at least because of its limit
// on tasks per executor; zero if it has no limit.
func minExecutorsOf(step *fulmarjob.Step) int {
	if step.MaxPerExecutor == 0 {
		return 0
	}
	return (step.Count + step.MaxPerExecutor - 1) / step.MaxPerExecutor
}

// logPools logs the state of each pool once per poolLogInterval.
func (s *Scheduler) logPools() {
	if s.now < s.poolsLoggedAt+poolLogInterval {
		return
	}
	s.poolsLoggedAt = s.now
	pools := s.poolSummaries
	names := make([]string, 0, len(pools))
	for name := range pools {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		p := pools[name]
		s.log.Log("pool", "service", name, "executors", p.executors, "usable", p.schedulable, "capacity_mcpu", p.capacity.MilliCPU, "used_mcpu", p.used.MilliCPU, "waiting_tasks", p.waiting, "ready_tasks", p.ready, "backlog_core_ms", int64(p.backlog/1000), "demand_mcpu", int64(s.demands[name].Rate(s.now)))
	}
}
