package fulmarsched

import "github.com/fulmardrum/fulmardrum/internal/fulmarforecast"

// recordDemand adds a submitted job to the demand of its service.
func (s *Scheduler) recordDemand(j *job) {
	if j.longRunning || j.specification.FirstDue > 0 {
		return
	}
	d := s.demands[j.queue.Service]
	if d == nil {
		d = &fulmarforecast.Demand{}
		s.demands[j.queue.Service] = d
	}
	d.Add(s.now, s.estimatedWork(j))
}

// demandOnArrival returns the rate of a service's work in millicores, as of the arrival of a VM that is
// moved now if the settings permit a forecast.
func (s *Scheduler) demandOnArrival(service string) float64 {
	if !s.params.ForecastDemand {
		return s.demands[service].Rate(s.now)
	}
	return s.demands[service].RateAfter(s.now, s.params.MoveDuration)
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
