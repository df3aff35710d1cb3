package fulmarbench

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

const (
	minLatencyMicros         = 1
	maxLatencyMicros         = 60_000_000
	latencySignificantDigits = 3
)

// requestResult is the outcome of one request.
type requestResult struct {
	outcome string
	reason  string
	latency time.Duration
}

// outcomeKey is an outcome with its reason.
type outcomeKey struct {
	outcome string
	reason  string
}

// Result collects the outcomes and latencies of a load.
type Result struct {
	load    Load
	mu      sync.Mutex
	counts  map[outcomeKey]int64
	dropped int64
	all     *hdrhistogram.Histogram
	urgent  *hdrhistogram.Histogram
	// steadyBurstCount counts the answered requests whose response came during their pool's burst,
	// past its first part.
	steadyBurstCount int64
	elapsed          time.Duration
}

func newResult(load Load) *Result {
	return &Result{
		load: load, counts: map[outcomeKey]int64{},
		all:    hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits),
		urgent: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits),
	}
}

func (r *Result) record(request plannedRequest, result requestResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[outcomeKey{outcome: result.outcome, reason: result.reason}]++
	if result.outcome != string(fulmarapi.Answered) {
		return
	}
	_ = r.all.RecordValue(result.latency.Microseconds())
	if r.load.isSteadyBurst(request.poolIndex, request.offset+result.latency) {
		r.steadyBurstCount++
	}
	if request.urgency == fulmarapi.Urgent {
		_ = r.urgent.RecordValue(result.latency.Microseconds())
	}
}

func (r *Result) recordDropped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropped++
}

func (r *Result) setElapsed(elapsed time.Duration) { r.elapsed = elapsed }

// Count returns the number of requests with an outcome.
func (r *Result) Count(outcome string) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := int64(0)
	for kind, count := range r.counts {
		if kind.outcome == outcome {
			n += count
		}
	}
	return n
}

// Answered returns the number of answered requests.
func (r *Result) Answered() int64 { return r.Count(string(fulmarapi.Answered)) }

// Total returns the number of requests that were sent.
func (r *Result) Total() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := int64(0)
	for _, count := range r.counts {
		n += count
	}
	return n
}

// Percentile returns the latency of answered requests at a percentile, 0 to 100.
func (r *Result) Percentile(percentile float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.all.ValueAtQuantile(percentile)) * time.Microsecond
}

// UrgentPercentile returns the latency of answered urgent requests at a percentile, 0 to 100.
func (r *Result) UrgentPercentile(percentile float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.urgent.ValueAtQuantile(percentile)) * time.Microsecond
}

// BurstUtilization returns the fraction of the bursting pools' slot time that answered requests
// used, without the first part of each burst. Load.BurstDuration and Load.SlotsPerPool must be
// set.
func (r *Result) BurstUtilization() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	used := float64(r.steadyBurstCount) * r.load.WorkDuration.Seconds()
	return used / (float64(r.load.SlotsPerPool) * r.load.steadyBurstTime().Seconds())
}

// Print writes the result as text.
func (r *Result) Print(out io.Writer) {
	fmt.Fprintf(out, "requests %d in %.1f s, %.1f answered/s, %d dropped at the limit of requests in flight\n",
		r.Total(), r.elapsed.Seconds(), float64(r.Answered())/r.elapsed.Seconds(), r.dropped)
	for _, kind := range r.sortedOutcomes() {
		fmt.Fprintf(out, "  %-9s %-22s %d\n", kind.outcome, kind.reason, r.counts[kind])
	}
	if r.load.BurstDuration > 0 && r.load.SlotsPerPool > 0 {
		fmt.Fprintf(out, "  slot utilization in bursts %.1f%%\n", 100*r.BurstUtilization())
	}
	for _, p := range []float64{50, 90, 99, 99.9} {
		fmt.Fprintf(out, "  latency p%-5v %8.2f ms   urgent %8.2f ms\n", p, millis(r.Percentile(p)), millis(r.UrgentPercentile(p)))
	}
}

func (r *Result) sortedOutcomes() []outcomeKey {
	kinds := make([]outcomeKey, 0, len(r.counts))
	for kind := range r.counts {
		kinds = append(kinds, kind)
	}
	sort.Slice(kinds, func(i, j int) bool {
		if kinds[i].outcome != kinds[j].outcome {
			return kinds[i].outcome < kinds[j].outcome
		}
		return kinds[i].reason < kinds[j].reason
	})
	return kinds
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
