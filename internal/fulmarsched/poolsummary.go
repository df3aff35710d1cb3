package fulmarsched

import (
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// poolReportEvery is the time between two log lines on each pool.
const poolLogInterval = fulmarclock.Second

// pool sums up the executors and the waiting work of a service.
type poolSummary struct {
	service     string
	executors   int
	schedulable int
	// listed is the capacity of all executors.
	listedCapacity fulmarjob.Resources
	capacity       fulmarjob.Resources
	used           fulmarjob.Resources
	// waiting and ready count the tasks without a place, and those of them whose turn has come.
	waiting int
	ready   int
	// backlog is the waiting work in milliseconds of a thousandth of a core, due the part of it whose turn has come.
	backlog      float64
	readyBacklog float64
	// width is the thousandths of a core that the ready tasks ask for together.
	readyCPU int64
	// spread is the most executors that a step needs for its bound on tasks of one executor.
	minExecutors int
}

// vmCores returns the mean thousandths of a core of the pool's VMs.
func (p *poolSummary) meanVMCPU() float64 {
	if p.executors == 0 {
		return 0
	}
	return float64(p.listedCapacity.MilliCPU) / float64(p.executors)
}

// pools sums up all services.
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
		p.listedCapacity = p.listedCapacity.Plus(e.info.Capacity)
		if e.isSchedulable(s.now) {
			p.schedulable++
			p.capacity = p.capacity.Plus(e.info.Capacity)
			p.used = p.used.Plus(e.used)
		}
	}
	for _, j := range s.jobList {
		if j.state.IsFinal() {
			continue
		}
		p := summaryOf(j.queue.Service)
		for _, o := range j.activeOccurrences {
			s.addWaiting(p, j, o)
		}
	}
	return pools
}

func (s *Scheduler) addWaiting(p *poolSummary, j *job, o *occurrence) {
	for i, tasks := range o.steps {
		if o.remaining[i] == 0 {
			continue
		}
		p.minExecutors = max(p.minExecutors, minExecutorsOf(&j.specification.Steps[i]))
		waiting := 0
		for _, t := range tasks {
			if t.state == taskWaiting {
				waiting++
			}
		}
		p.waiting += waiting
		step := &j.specification.Steps[i]
		work := 0.0
		if !step.Lasting {
			work = float64(waiting) * float64(step.Need.MilliCPU) * float64(s.estimate(j, step))
		}
		p.backlog += work
		if o.isStepReady(j, i) {
			p.ready += waiting
			p.readyBacklog += work
			p.readyCPU += int64(waiting) * step.Counted().MilliCPU
		}
	}
}

// spreadOf returns how many executors a step needs at least for its bound on tasks of one executor.
func minExecutorsOf(step *fulmarjob.Step) int {
	if step.MaxPerExecutor == 0 {
		return 0
	}
	return (step.Count + step.MaxPerExecutor - 1) / step.MaxPerExecutor
}

// reportPools writes a line on each pool now and then.
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
		s.log.Decide("pool", "service", name, "executors", p.executors, "usable", p.schedulable, "capacity_mcpu", p.capacity.MilliCPU, "used_mcpu", p.used.MilliCPU, "waiting_tasks", p.waiting, "ready_tasks", p.ready, "backlog_core_ms", int64(p.backlog/1000), "demand_mcpu", int64(s.demands[name].rate(s.now)))
	}
}
