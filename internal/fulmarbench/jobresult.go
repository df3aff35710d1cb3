package fulmarbench

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fulmardrum/fulmardrum/internal/fulmarstandin/fulmarrig"
)

// jobResult collects the outcomes and latencies of jobs as callers saw them.
type jobResult struct {
	mu                sync.Mutex
	onTime            int
	late              int
	refused           int
	timedOut          int
	acceptLatency     *hdrhistogram.Histogram
	completionLatency *hdrhistogram.Histogram
}

func newJobResult() *jobResult {
	return &jobResult{
		acceptLatency:     hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits),
		completionLatency: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits),
	}
}

func (r *jobResult) update(f func(*jobResult)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r)
}

func (r *jobResult) recordCompletion(latency, targetLatency time.Duration) {
	_ = r.completionLatency.RecordValue(latency.Microseconds())
	if latency <= targetLatency {
		r.onTime++
		return
	}
	r.late++
}

func (r *jobResult) print(out io.Writer) {
	millis := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	fmt.Fprintf(out, "jobs: %d on time, %d late, %d refused, %d not completed within %v\n", r.onTime, r.late, r.refused, r.timedOut, jobCompletionTimeout)
	fmt.Fprintf(out, "time to acceptance: p50 %.1f ms, p99 %.1f ms; time to completion: p50 %.0f ms, p99 %.0f ms\n",
		millis(r.acceptLatency, 50), millis(r.acceptLatency, 99), millis(r.completionLatency, 50), millis(r.completionLatency, 99))
}

// printRunSummary prints the number of runs by outcome as the executors saw them, of tasks that
// were done more than once, and of VM commands.
func printRunSummary(out io.Writer, rig *fulmarrig.Rig) {
	runs := map[string]int{}
	done := map[string]int{}
	for _, run := range rig.Runs() {
		runs[run.Outcome]++
		if run.Outcome == "done" {
			done[run.Task]++
		}
	}
	repeated := 0
	for _, n := range done {
		if n > 1 {
			repeated++
		}
	}
	moves, maintenances := rig.FleetCounts()
	fmt.Fprintf(out, "runs: %d done, %d failed, %d stopped, %d with expired lease, %d lost with their VM; %d tasks done more than once\n",
		runs["done"], runs["failed"], runs["stopped"], runs["lapsed"], runs["lost"]+runs["crashed"], repeated)
	fmt.Fprintf(out, "VMs: %d moves, %d maintenances\n", moves, maintenances)
}
