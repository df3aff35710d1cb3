package fulmardispatch

import "github.com/fulmardrum/fulmardrum/internal/fulmarclock"

const (
	latencySmoothing  = 0.05
	minLatencySamples = 20
	// minFirstByteTimeout is the shortest wait for an answer's first byte before a retry elsewhere.
	minFirstByteTimeout = fulmarclock.Second
	// firstByteTimeoutDeviations is how many mean deviations above the mean a wait must reach.
	firstByteTimeoutDeviations = 8
)

// Latency tracks the mean service time of a pool and its mean deviation, in milliseconds.
type Latency struct {
	mean      float64
	deviation float64
	samples   int
}

// Record records one request's time on a worker.
func (l *Latency) Record(elapsed fulmarclock.Millis) {
	l.samples++
	sample := float64(elapsed)
	if l.samples == 1 {
		l.mean = sample
		return
	}
	difference := sample - l.mean
	l.mean += latencySmoothing * difference
	l.deviation += latencySmoothing * (max(difference, -difference) - l.deviation)
}

// FirstByteTimeout returns how long an answer's first byte may take before an
// idempotent request is sent to another worker.
func (l *Latency) FirstByteTimeout() fulmarclock.Millis {
	return max(minFirstByteTimeout, fulmarclock.Millis(l.mean+firstByteTimeoutDeviations*l.deviation))
}

// EstimatedWait returns how long a request waits behind ahead others when width run at
// a time. It is zero until enough requests have been seen.
func (l *Latency) EstimatedWait(ahead, concurrency int) fulmarclock.Millis {
	if l.samples < minLatencySamples || concurrency < 1 {
		return 0
	}
	return fulmarclock.Millis(l.mean * float64(ahead) / float64(concurrency))
}
