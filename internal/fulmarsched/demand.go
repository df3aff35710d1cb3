package fulmarsched

import (
	"math"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// demandDecay is the time in which handed-in work loses two thirds of its weight.
const demandDecayMillis = 600.0

// demand is the work that callers handed in of late, accepted or refused, fading away.
type demand struct {
	// work is in milliseconds of a thousandth of a core.
	work      float64
	jobs      float64
	updatedAt fulmarclock.Millis
}

// add takes in one job.
func (d *demand) add(now fulmarclock.Millis, work float64) {
	factor := d.decayFactor(now)
	d.work = d.work*factor + work
	d.jobs = d.jobs*factor + 1
	d.updatedAt = now
}

func (d *demand) decayFactor(now fulmarclock.Millis) float64 {
	return math.Exp(-float64(now-d.updatedAt) / demandDecayMillis)
}

// rate returns the thousandths of a core that the work keeps busy if it goes on
// coming in. The first job of a series tells nothing of a rate and does not count.
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

// noteDemand counts a job that its caller hands in.
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

// workOf returns the estimated work of a job in milliseconds of a thousandth of a core.
func (s *Scheduler) estimatedWork(j *job) float64 {
	work := 0.0
	for i := range j.specification.Steps {
		step := &j.specification.Steps[i]
		work += float64(step.Count) * float64(step.Need.MilliCPU) * float64(s.estimate(j, step))
	}
	return work
}
