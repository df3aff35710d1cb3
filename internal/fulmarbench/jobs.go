package fulmarbench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"runtime/pprof"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarstandin/fulmarrig"
)

const (
	// jobSlackFactor and jobTargetLatency give the time in which a job should complete: the duration of
	// its critical path times the factor, plus the target latency.
	jobSlackFactor   = 1.6
	jobTargetLatency = 600 * time.Millisecond
	// jobPollInterval is the interval between two requests for a job's state.
	jobPollInterval = 100 * time.Millisecond
	// jobCompletionTimeout is how long a caller waits for a job's completion.
	jobCompletionTimeout = 20 * time.Second
	// jobStateCompleted is the state of a job whose tasks are all done.
	jobStateCompleted = "completed"
	// jobRetryDelay is a caller's delay before a retry if the response has no Retry-After header.
	jobRetryDelay  = 500 * time.Millisecond
	jobMaxAttempts = 4
	// Estimated durations and resources of tasks.
	jobMinTaskMillis = 300
	jobMaxTaskMillis = 1200
	jobTaskMilliCPU  = 900
	jobTaskMemoryMB  = 500
	jobMaxDown       = 2
)

// JobLoad describes the jobs that callers submit.
type JobLoad struct {
	Queues        int
	Rate          float64
	TasksPerJob   int
	BurstDuration time.Duration
	Duration      time.Duration
	// CompletionTimeout is how long a caller waits for a job's completion, 0 for no limit.
	CompletionTimeout time.Duration
	Seed              uint64
}

// rateAt returns a queue's rate at an offset from the start, in jobs per second. In its burst
// the queue has the sum of all queues' mean rates.
func (l JobLoad) rateAt(queue int, offset time.Duration) float64 {
	if l.BurstDuration == 0 {
		return l.Rate
	}
	if int(offset/l.BurstDuration)%l.Queues == queue {
		return l.Rate * float64(l.Queues)
	}
	return l.Rate * idleFactor
}

// jobPayload is a task's specification: the duration of its run at the simulated executor, in
// milliseconds.
type jobPayload struct {
	Millis int64 `json:"ms"`
}

// simulateDeclaredRun returns the duration in the payload. The run fails at once if the
// payload is malformed.
func simulateDeclaredRun(payload, _ string, _ int64) (fulmarclock.Millis, bool) {
	var p jobPayload
	if err := json.Unmarshal([]byte(payload), &p); err != nil {
		return 0, true
	}
	return fulmarclock.Millis(p.Millis), false
}

// runJobs starts a local fleet of fulmarnoded, submits jobs while it injects faults, and
// prints the results of callers and executors.
func runJobs(ctx context.Context, o *options, out io.Writer) error {
	fleet, err := startJobFleet(o.members, o.jobs.Queues, o.count)
	defer fleet.close()
	if err != nil {
		return err
	}
	if o.profile != "" {
		file, err := os.Create(o.profile)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		defer file.Close()
		if err := pprof.StartCPUProfile(file); err != nil {
			return trace.Wrap(err)
		}
		defer pprof.StopCPUProfile()
	}
	if err := fleet.awaitOwner(ctx); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d members, %d queues with %d VMs each, %d VMs on standby\n", o.members, o.jobs.Queues, o.count, o.count)
	if !o.noFaults {
		go fleet.injectFaults(ctx, o.jobs.Duration, out)
	}
	o.jobs.CompletionTimeout = jobCompletionTimeout
	result := submitJobs(ctx, fleet.targets(), o.jobs)
	result.print(out)
	printRunSummary(out, fleet.rig)
	return nil
}

// awaitOwner waits until a member owns the scheduler. It returns an error after
// fleetStartTimeout.
func (f *jobFleet) awaitOwner(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, fleetStartTimeout)
	defer cancel()
	for f.owner() == nil {
		select {
		case <-time.After(fleetPollInterval):
		case <-ctx.Done():
			return trace.ConnectionProblem(ctx.Err(), "no member owned the scheduler before the start timeout")
		}
	}
	return nil
}

// injectFaults crashes a VM, requests a maintenance wave and stops the owner, at equal intervals
// within duration.
func (f *jobFleet) injectFaults(ctx context.Context, duration time.Duration, out io.Writer) {
	vms := f.rig.VMs(jobService(0))
	steps := []struct {
		what string
		do   func()
	}{
		{"VM " + vms[0] + " crashes", func() { f.rig.Crash(vms[0], 4*fulmarclock.Second) }},
		{"operators request a maintenance wave", func() {
			if err := f.rig.RequestWave(1, vms, fulmarclock.FromDuration(duration), jobMaxDown); err != nil {
				fmt.Fprintln(out, "maintenance wave not requested, continuing without it:", err)
			}
		}},
		{"owner stops", func() {
			if owner := f.owner(); owner != nil {
				owner.cancel()
			}
		}},
	}
	for _, step := range steps {
		select {
		case <-ctx.Done():
			return
		case <-time.After(duration / time.Duration(len(steps)+1)):
		}
		fmt.Fprintln(out, step.what)
		step.do()
	}
}

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

// jobCallers submits jobs and polls their states.
type jobCallers struct {
	load    JobLoad
	targets []string
	client  *http.Client
	result  *jobResult
	pending sync.WaitGroup
}

// submitJobs generates the load and returns when every job has completed, was refused or has
// timed out.
func submitJobs(ctx context.Context, targets []string, load JobLoad) *jobResult {
	c := &jobCallers{load: load, targets: targets, client: newClient(), result: newJobResult()}
	start := time.Now()
	var queues sync.WaitGroup
	for i := range load.Queues {
		queues.Go(func() { c.submitQueue(ctx, i, start) })
	}
	queues.Wait()
	c.pending.Wait()
	return c.result
}

// submitQueue submits one queue's jobs with exponentially distributed intervals.
func (c *jobCallers) submitQueue(ctx context.Context, queue int, start time.Time) {
	random := rand.New(rand.NewPCG(c.load.Seed, uint64(queue)))
	offset := time.Duration(0)
	for n := 0; ; n++ {
		offset += time.Duration(random.ExpFloat64() / c.load.rateAt(queue, offset) * float64(time.Second))
		if offset >= c.load.Duration || ctx.Err() != nil {
			return
		}
		millis := jobMinTaskMillis + random.Int64N(jobMaxTaskMillis-jobMinTaskMillis)
		id := fmt.Sprintf("%08x%08x", queue+1, n+1)
		firstTarget := random.IntN(len(c.targets))
		time.Sleep(time.Until(start.Add(offset)))
		c.pending.Go(func() { c.runJob(ctx, queue, id, firstTarget, millis) })
	}
}

// runJob submits one job, with retries, and polls its state until it completes or times out.
func (c *jobCallers) runJob(ctx context.Context, queue int, id string, firstTarget int, millis int64) {
	start := time.Now()
	targetLatency := jobTargetLatency + time.Duration(float64(millis)*jobSlackFactor)*time.Millisecond
	if !c.submit(ctx, queue, id, firstTarget, millis) {
		c.result.update(func(r *jobResult) { r.refused++ })
		return
	}
	c.result.update(func(r *jobResult) { _ = r.acceptLatency.RecordValue(time.Since(start).Microseconds()) })
	for attempt := 0; c.load.CompletionTimeout == 0 || time.Since(start) < c.load.CompletionTimeout; attempt++ {
		if c.isCompleted(ctx, queue, id, c.targets[(firstTarget+attempt)%len(c.targets)]) {
			latency := time.Since(start)
			c.result.update(func(r *jobResult) { r.recordCompletion(latency, targetLatency) })
			return
		}
		time.Sleep(jobPollInterval)
	}
	c.result.update(func(r *jobResult) { r.timedOut++ })
}

func (c *jobCallers) submit(ctx context.Context, queue int, id string, firstTarget int, millis int64) bool {
	body := jobBody(c.load.TasksPerJob, millis)
	for attempt := range jobMaxAttempts {
		target := c.targets[(firstTarget+attempt)%len(c.targets)]
		status, delay := c.send(ctx, http.MethodPost, "http://"+target+jobPrefix(queue)+id, body)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(delay)
	}
	return false
}

func jobBody(tasks int, millis int64) []byte {
	payload, _ := json.Marshal(jobPayload{Millis: millis})
	body, _ := json.Marshal(map[string]any{"specification": string(payload), "steps": []map[string]any{{
		"count": tasks, "cpu": jobTaskMilliCPU, "task_memory_mb": jobTaskMemoryMB, "estimated_duration_ms": millis,
	}}})
	return body
}

// send sends a request and returns the status, 0 without a response, and the delay before a
// retry.
func (c *jobCallers) send(ctx context.Context, method, url string, body []byte) (int, time.Duration) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, jobRetryDelay
	}
	response, err := c.client.Do(request)
	if err != nil {
		return 0, jobRetryDelay
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	delay, err := time.ParseDuration(response.Header.Get("Retry-After") + "s")
	if err != nil {
		delay = jobRetryDelay
	}
	return response.StatusCode, delay
}

func (c *jobCallers) isCompleted(ctx context.Context, queue int, id, target string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target+jobPrefix(queue)+id, nil)
	if err != nil {
		return false
	}
	response, err := c.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var body struct {
		State string `json:"state"`
	}
	return json.NewDecoder(response.Body).Decode(&body) == nil && body.State == jobStateCompleted
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
