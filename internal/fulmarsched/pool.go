package fulmarsched

import (
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// poolReportEvery is the time between two log lines on each pool.
const poolReportEvery = fulmarclock.Second

// pool sums up the executors and the waiting work of a service.
type pool struct {
	service   string
	executors int
	usable    int
	// listed is the capacity of all executors.
	listed   fulmarjob.Resources
	capacity fulmarjob.Resources
	used     fulmarjob.Resources
	// waiting and ready count the tasks without a place, and those of them whose turn has come.
	waiting int
	ready   int
	// backlog is the waiting work in milliseconds of a thousandth of a core, due the part of it whose turn has come.
	backlog float64
	due     float64
	// width is the thousandths of a core that the ready tasks ask for together.
	width int64
	// spread is the most executors that a step needs for its bound on tasks of one executor.
	spread int
}

// vmCores returns the mean thousandths of a core of the pool's VMs.
func (p *pool) vmCores() float64 {
	if p.executors == 0 {
		return 0
	}
	return float64(p.listed.MilliCPU) / float64(p.executors)
}

// pools sums up all services.
func (s *Scheduler) pools() map[string]*pool {
	pools := map[string]*pool{}
	at := func(service string) *pool {
		p := pools[service]
		if p == nil {
			p = &pool{service: service}
			pools[service] = p
		}
		return p
	}
	for _, e := range s.sorted() {
		p := at(e.info.Service)
		if !e.listed || e.retired {
			continue
		}
		p.executors++
		p.listed = p.listed.Plus(e.info.Capacity)
		if e.isUsable(s.now) {
			p.usable++
			p.capacity = p.capacity.Plus(e.info.Capacity)
			p.used = p.used.Plus(e.used)
		}
	}
	for _, j := range s.order {
		if j.state.IsFinal() {
			continue
		}
		p := at(j.queue.Service)
		for _, o := range j.active {
			s.addWaiting(p, j, o)
		}
	}
	return pools
}

func (s *Scheduler) addWaiting(p *pool, j *job, o *occurrence) {
	for i, tasks := range o.steps {
		if o.left[i] == 0 {
			continue
		}
		p.spread = max(p.spread, spreadOf(&j.specification.Steps[i]))
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
		if o.stepReady(j, i) {
			p.ready += waiting
			p.due += work
			p.width += int64(waiting) * step.Counted().MilliCPU
		}
	}
}

// spreadOf returns how many executors a step needs at least for its bound on tasks of one executor.
func spreadOf(step *fulmarjob.Step) int {
	if step.MaxPerExecutor == 0 {
		return 0
	}
	return (step.Count + step.MaxPerExecutor - 1) / step.MaxPerExecutor
}

// reportPools writes a line on each pool now and then.
func (s *Scheduler) reportPools() {
	if s.now < s.pooledAt+poolReportEvery {
		return
	}
	s.pooledAt = s.now
	pools := s.summary
	names := make([]string, 0, len(pools))
	for name := range pools {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		p := pools[name]
		s.log.Log("pool", "service", name, "executors", p.executors, "usable", p.usable, "capacity_mcpu", p.capacity.MilliCPU, "used_mcpu", p.used.MilliCPU, "waiting_tasks", p.waiting, "ready_tasks", p.ready, "backlog_core_ms", int64(p.backlog/1000), "demand_mcpu", int64(s.demands[name].rate(s.now)))
	}
}
