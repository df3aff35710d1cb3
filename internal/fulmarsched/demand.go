package fulmarsched

import (
	"math"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// demandDecayMillis is the time constant, in milliseconds, with which submitted work decays: after
// it, 1/e of the weight is left.
const demandDecayMillis = 600.0

// demand is the exponentially decaying sum of the work that callers submitted, accepted or
// refused.
type demand struct {
	// work is in millicore-milliseconds.
	work      float64
	jobs      float64
	updatedAt fulmarclock.Millis
}

// add counts one job.
func (d *demand) add(now fulmarclock.Millis, work float64) {
	factor := d.decayFactor(now)
	d.work = d.work*factor + work
	d.jobs = d.jobs*factor + 1
	d.updatedAt = now
}

func (d *demand) decayFactor(now fulmarclock.Millis) float64 {
	return math.Exp(-float64(now-d.updatedAt) / demandDecayMillis)
}

// rate returns the CPU in millicores that the work occupies if it keeps arriving at this rate. A
// single job does not define a rate, so the first job does not count.
func (d *demand) rate(now fulmarclock.Millis) float64 {
	if d == nil {
		return 0
	}
	factor := d.decayFactor(now)
	jobs := d.jobs * factor
	if jobs <= 1 {
		return 0
	}
	return d.work * factor / demandDecayMillis * (jobs - 1) / jobs
}

// recordDemand adds a submitted job to the demand of its service.
func (s *Scheduler) recordDemand(j *job) {
	if j.longRunning || j.specification.FirstDue > 0 {
		return
	}
	d := s.demands[j.queue.Service]
	if d == nil {
		d = &demand{}
		s.demands[j.queue.Service] = d
	}
	d.add(s.now, s.estimatedWork(j))
}

// estimatedWork returns the estimated work of a job in millicore-milliseconds.
func (s *Scheduler) estimatedWork(j *job) float64 {
	work := 0.0
	for i := range j.specification.Steps {
		step := &j.specification.Steps[i]
		work += float64(step.Count) * float64(step.Resources.MilliCPU) * float64(s.estimate(j, step))
	}
	return work
}
