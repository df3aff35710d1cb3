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
	latencyLeast  = 1          // microseconds
	latencyMost   = 60_000_000 // microseconds
	latencyDigits = 3
)

// ended is what became of one request.
type ended struct {
	outcome string
	reason  string
	latency time.Duration
}

// outcomeCount is a kind of ending.
type outcomeCount struct {
	outcome string
	reason  string
}

// Result is what became of a load.
type Result struct {
	load    Load
	mu      sync.Mutex
	counts  map[outcomeCount]int64
	dropped int64
	all     *hdrhistogram.Histogram
	urgent  *hdrhistogram.Histogram
	// atHeight counts the answers that came while their pool's burst was at its height.
	atHeight int64
	elapsed  time.Duration
}

func newResult(load Load) *Result {
	return &Result{
		load: load, counts: map[outcomeCount]int64{},
		all:    hdrhistogram.New(latencyLeast, latencyMost, latencyDigits),
		urgent: hdrhistogram.New(latencyLeast, latencyMost, latencyDigits),
	}
}

func (r *Result) add(s shot, e ended) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[outcomeCount{outcome: e.outcome, reason: e.reason}]++
	if e.outcome != string(fulmarapi.Answered) {
		return
	}
	_ = r.all.RecordValue(e.latency.Microseconds())
	if r.load.isWithinBurst(s.place, s.at+e.latency) {
		r.atHeight++
	}
	if s.urgency == fulmarapi.Urgent {
		_ = r.urgent.RecordValue(e.latency.Microseconds())
	}
}

func (r *Result) drop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropped++
}

func (r *Result) finish(elapsed time.Duration) { r.elapsed = elapsed }

// Count returns the requests that ended with an outcome.
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

// Answered returns the number of answers.
func (r *Result) Answered() int64 { return r.Count(string(fulmarapi.Answered)) }

// Total returns the number of requests sent.
func (r *Result) Total() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := int64(0)
	for _, count := range r.counts {
		n += count
	}
	return n
}

// Percentile returns the latency of answers at a percentile.
func (r *Result) Percentile(percentile float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.all.ValueAtQuantile(percentile)) * time.Microsecond
}

// UrgentPercentile returns the latency of urgent answers at a percentile.
func (r *Result) UrgentPercentile(percentile float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.urgent.ValueAtQuantile(percentile)) * time.Microsecond
}

// BurstShare returns the slot time of the answers at the height of the bursts
// as a share of all slot time of the bursting pools.
func (r *Result) BurstShare() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	used := float64(r.atHeight) * r.load.Work.Seconds()
	return used / (float64(r.load.Slots) * r.load.burstHeight().Seconds())
}

// Print writes the result for people.
func (r *Result) Print(out io.Writer) {
	fmt.Fprintf(out, "requests %d in %.1f s, %.1f answers/s, not sent for want of places %d\n",
		r.Total(), r.elapsed.Seconds(), float64(r.Answered())/r.elapsed.Seconds(), r.dropped)
	for _, kind := range r.kinds() {
		fmt.Fprintf(out, "  %-9s %-22s %d\n", kind.outcome, kind.reason, r.counts[kind])
	}
	if r.load.Turn > 0 && r.load.Slots > 0 {
		fmt.Fprintf(out, "  slot time used at the height of bursts %.1f%%\n", 100*r.BurstShare())
	}
	for _, p := range []float64{50, 90, 99, 99.9} {
		fmt.Fprintf(out, "  latency p%-5v %8.2f ms   urgent %8.2f ms\n", p, millis(r.Percentile(p)), millis(r.UrgentPercentile(p)))
	}
}

func (r *Result) kinds() []outcomeCount {
	kinds := make([]outcomeCount, 0, len(r.counts))
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
