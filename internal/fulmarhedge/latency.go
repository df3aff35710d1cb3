package fulmarhedge

import (
	"sync"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

const (
	// delayFactor times the average latency is the delay before a hedged attempt.
	delayFactor = 4.0
	// smoothingFactor is the weight of the newest call in the average latency.
	smoothingFactor = 0.1
)

// LatencyTracker tracks the average latency of calls of one kind, so that only calls that
// take much longer are hedged. Under load all calls are slow, and hedged attempts would
// add to the load. It is safe for concurrent use.
type LatencyTracker struct {
	minDelay    fulmarclock.Millis
	maxDelay    fulmarclock.Millis
	maxAttempts int

	mu            sync.Mutex
	averageMillis float64
}

// NewLatencyTracker returns a tracker whose plans have a delay between minDelay and
// maxDelay and at most maxAttempts attempts.
func NewLatencyTracker(minDelay, maxDelay fulmarclock.Millis, maxAttempts int) *LatencyTracker {
	return &LatencyTracker{minDelay: minDelay, maxDelay: maxDelay, maxAttempts: maxAttempts}
}

// Observe adds the latency of a call that got a response.
func (l *LatencyTracker) Observe(latency fulmarclock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.averageMillis += (float64(latency) - l.averageMillis) * smoothingFactor
}

// Plan returns the plan for the next call.
func (l *LatencyTracker) Plan() Plan {
	l.mu.Lock()
	defer l.mu.Unlock()
	delay := fulmarclock.Millis(l.averageMillis * delayFactor)
	return Plan{Delay: min(max(delay, l.minDelay), l.maxDelay), MaxAttempts: l.maxAttempts}
}
