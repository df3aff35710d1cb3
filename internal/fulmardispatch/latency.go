package fulmardispatch

import "github.com/fulmardrum/fulmardrum/internal/fulmarclock"

const (
	latencyWeight   = 0.05
	latencyEvidence = 20
	// patienceLeast is the shortest wait for an answer's first byte before a retry elsewhere.
	patienceLeast = fulmarclock.Second
	// patienceDeviations is how many mean deviations above the mean a wait must reach.
	patienceDeviations = 8
)

// Latency tracks the mean service time of a pool and its mean deviation, in milliseconds.
type Latency struct {
	mean      float64
	deviation float64
	seen      int
}

// Add records one request's time on a worker.
func (l *Latency) Add(elapsed fulmarclock.Millis) {
	l.seen++
	sample := float64(elapsed)
	if l.seen == 1 {
		l.mean = sample
		return
	}
	distance := sample - l.mean
	l.mean += latencyWeight * distance
	l.deviation += latencyWeight * (max(distance, -distance) - l.deviation)
}

// Patience returns how long an answer's first byte may take before an
// idempotent request is sent to another worker.
func (l *Latency) Patience() fulmarclock.Millis {
	return max(patienceLeast, fulmarclock.Millis(l.mean+patienceDeviations*l.deviation))
}

// Wait returns how long a request waits behind ahead others when width run at
// a time. It is zero until enough requests have been seen.
func (l *Latency) Wait(ahead, width int) fulmarclock.Millis {
	if l.seen < latencyEvidence || width < 1 {
		return 0
	}
	return fulmarclock.Millis(l.mean * float64(ahead) / float64(width))
}
