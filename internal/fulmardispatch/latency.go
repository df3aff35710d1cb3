package fulmardispatch

import "github.com/fulmardrum/fulmardrum/internal/fulmarclock"

const (
	// latencySmoothing is the weight of a new sample in the moving averages.
	latencySmoothing = 0.05
	// minLatencySamples is the number of samples needed to estimate a wait.
	minLatencySamples = 20
	// minFirstByteTimeout is the minimum wait for a response's first byte before a retry on another worker.
	minFirstByteTimeout = fulmarclock.Second
	// firstByteTimeoutDeviations is the number of mean deviations by which the timeout exceeds the mean.
	firstByteTimeoutDeviations = 8
)

// Latency tracks the mean service time of a pool and its mean deviation, in
// milliseconds, as exponentially weighted moving averages.
type Latency struct {
	mean      float64
	deviation float64
	samples   int
}

// Record adds the service time of one request.
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

// FirstByteTimeout returns how long a response's first byte may take before an
// idempotent request is retried on another worker.
func (l *Latency) FirstByteTimeout() fulmarclock.Millis {
	return max(minFirstByteTimeout, fulmarclock.Millis(l.mean+firstByteTimeoutDeviations*l.deviation))
}

// EstimatedWait estimates how long a request waits behind ahead other requests
// if concurrency requests run at the same time. It returns 0 until enough
// samples have been recorded.
func (l *Latency) EstimatedWait(ahead, concurrency int) fulmarclock.Millis {
	if l.samples < minLatencySamples || concurrency < 1 {
		return 0
	}
	return fulmarclock.Millis(l.mean * float64(ahead) / float64(concurrency))
}
