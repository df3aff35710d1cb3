package fulmardispatch

const (
	// minHealthSamples is the minimum number of results needed to call a worker an outlier.
	minHealthSamples = 6
	// outlierFailureFraction is the minimum fraction of failures that makes a worker an outlier.
	outlierFailureFraction = 0.5
	// outlierFailureRatio is the minimum ratio of an outlier's failure fraction to that of the other workers of its pool.
	outlierFailureRatio = 2.0
)

// ejectOutliers ejects the workers that fail far more often than the others, as far
// as the pool's availability budget allows. Further outliers become suspect.
func (s *Scheduler) ejectOutliers() {
	failures, samples, ejected := 0, 0, 0
	for _, w := range s.workers {
		if w.health.State() == Ejected {
			ejected++
			continue
		}
		failures += w.health.Failures()
		samples += w.health.Samples()
	}
	budget := MaxEjected(len(s.workers), s.settings.AvailableShare)
	for _, w := range s.workers {
		if w.health.State() == Ejected {
			continue
		}
		isOutlier := IsOutlier(&w.health, failures-w.health.Failures(), samples-w.health.Samples())
		w.health.setSuspect(isOutlier)
		if isOutlier && ejected < budget {
			w.health.Eject(s.clock.Now(), initialEjection)
			ejected++
		}
	}
}

// IsOutlier reports whether a worker fails at least half of its requests while
// the other workers of its pool fail much less often. If all fail at a similar
// rate, the cause is the requests or a dependency of the workers, and ejecting
// workers would not help.
func IsOutlier(h *Health, otherFailures, otherSamples int) bool {
	if h.samples < minHealthSamples {
		return false
	}
	failureFraction := float64(h.Failures()) / float64(h.samples)
	if failureFraction < outlierFailureFraction {
		return false
	}
	if otherSamples == 0 {
		return false
	}
	return failureFraction >= outlierFailureRatio*float64(otherFailures)/float64(otherSamples)
}

// MaxEjected returns how many of a pool's workers may be ejected at the same time.
func MaxEjected(workers int, availableShare float64) int {
	return int(float64(workers) * (1 - availableShare))
}
