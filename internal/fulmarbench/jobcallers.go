package fulmarbench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// jobPollInterval is the interval between two requests for a job's state.
	jobPollInterval = 100 * time.Millisecond
	// jobCompletionTimeout is how long a caller waits for a job's completion.
	jobCompletionTimeout = 20 * time.Second
	// jobStateCompleted is the state of a job whose tasks are all done.
	jobStateCompleted = "completed"
	// jobRetryDelay is a caller's delay before a retry if the response has no Retry-After header.
	jobRetryDelay  = 500 * time.Millisecond
	jobMaxAttempts = 4
)

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
