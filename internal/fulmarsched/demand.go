package fulmarsched

import (
	"math"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// demandDecay is the time in which handed-in work loses two thirds of its weight.
const demandDecay = 600.0

// demand is the work that callers handed in of late, accepted or refused, fading away.
type demand struct {
	// work is in milliseconds of a thousandth of a core.
	work float64
	jobs float64
	at   fulmarclock.Millis
}

// add takes in one job.
func (d *demand) add(now fulmarclock.Millis, work float64) {
	kept := d.kept(now)
	d.work = d.work*kept + work
	d.jobs = d.jobs*kept + 1
	d.at = now
}

func (d *demand) kept(now fulmarclock.Millis) float64 {
	return math.Exp(-float64(now-d.at) / demandDecay)
}

// rate returns the thousandths of a core that the work keeps busy if it goes on
// coming in. The first job of a series tells nothing of a rate and does not count.
func (d *demand) rate(now fulmarclock.Millis) float64 {
	if d == nil {
		return 0
	}
	kept := d.kept(now)
	jobs := d.jobs * kept
	if jobs <= 1 {
		return 0
	}
	return d.work * kept / demandDecay * (jobs - 1) / jobs
}

// noteDemand counts a job that its caller hands in.
func (s *Scheduler) noteDemand(j *job) {
	if j.lasting || j.specification.FirstDue > 0 {
		return
	}
	d := s.demands[j.queue.Service]
	if d == nil {
		d = &demand{}
		s.demands[j.queue.Service] = d
	}
	d.add(s.now, s.workOf(j))
}

// workOf returns the estimated work of a job in milliseconds of a thousandth of a core.
func (s *Scheduler) workOf(j *job) float64 {
	work := 0.0
	for i := range j.specification.Steps {
		step := &j.specification.Steps[i]
		work += float64(step.Count) * float64(step.Need.MilliCPU) * float64(s.estimate(j, step))
	}
	return work
}
