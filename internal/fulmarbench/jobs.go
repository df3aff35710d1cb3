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
	// jobSlack and jobAim make a job's aim: its longest chain times the one, and the other.
	jobSlack = 1.6
	jobAim   = 600 * time.Millisecond
	// jobPoll is the time between two looks at a job's state.
	jobPoll = 100 * time.Millisecond
	// jobGivenUp bounds a caller's wait for a job's end.
	jobGivenUp = 20 * time.Second
	// jobDone is the state of a job whose tasks are all done.
	jobDone = "completed"
	// jobRetry is the pause of a caller who is not told when to return.
	jobRetry    = 500 * time.Millisecond
	jobAttempts = 4
	// Declared times of tasks, and the thousandths of a core that each takes.
	jobLeastTask = 300
	jobMostTask  = 1200
	jobTaskCPU   = 900
	jobTaskMB    = 500
	jobMaxDown   = 2
)

// JobLoad describes the jobs that callers hand in.
type JobLoad struct {
	Queues   int
	Rate     float64
	Tasks    int
	Turn     time.Duration
	Duration time.Duration
	// GiveUp bounds a caller's wait for a job's end; zero waits without end.
	GiveUp time.Duration
	Seed   uint64
}

// rateAt returns a queue's rate at a time: in its turn it asks for what all queues ask for together.
func (l JobLoad) rateAt(queue int, at time.Duration) float64 {
	if l.Turn == 0 {
		return l.Rate
	}
	if int(at/l.Turn)%l.Queues == queue {
		return l.Rate * float64(l.Queues)
	}
	return l.Rate * quietFactor
}

// jobPayload tells the stand-in of an executor how long the task runs.
type jobPayload struct {
	Millis int64 `json:"ms"`
}

// declaredRun lets a task run for the time in its payload.
func declaredRun(payload, _ string, _ int64) (fulmarclock.Millis, bool) {
	var p jobPayload
	if err := json.Unmarshal([]byte(payload), &p); err != nil {
		return 0, true
	}
	return fulmarclock.Millis(p.Millis), false
}

// runJobs plays the whole path of the platform's daemon, with its faults.
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
	if !o.calm {
		go fleet.disturb(ctx, o.jobs.Duration, out)
	}
	o.jobs.GiveUp = jobGivenUp
	result := handIn(ctx, fleet.targets(), o.jobs)
	result.print(out)
	printRuns(out, fleet.rig)
	return nil
}

// awaitOwner waits until a member owns the scheduler and takes callers.
func (f *jobFleet) awaitOwner(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, fleetStart)
	defer cancel()
	for f.owner() == nil {
		select {
		case <-time.After(fleetPoll):
		case <-ctx.Done():
			return trace.ConnectionProblem(ctx.Err(), "no member owned the scheduler in time")
		}
	}
	return nil
}

// disturb crashes a VM, asks for a wave and stops the owner, each in its part of the time.
func (f *jobFleet) disturb(ctx context.Context, duration time.Duration, out io.Writer) {
	vms := f.rig.VMs(jobService(0))
	steps := []struct {
		what string
		do   func()
	}{
		{"VM " + vms[0] + " crashes", func() { f.rig.Crash(vms[0], 4*fulmarclock.Second) }},
		{"a wave of upkeep is asked for", func() {
			if err := f.rig.RequestWave(1, vms, fulmarclock.FromDuration(duration), jobMaxDown); err != nil {
				fmt.Fprintln(out, "the wave was not asked for:", err)
			}
		}},
		{"the owner stops", func() {
			if owner := f.owner(); owner != nil {
				owner.cancel()
			}
		}},
	}
	for _, s := range steps {
		select {
		case <-ctx.Done():
			return
		case <-time.After(duration / time.Duration(len(steps)+1)):
		}
		fmt.Fprintln(out, s.what)
		s.do()
	}
}

// jobResult is what callers got.
type jobResult struct {
	mu       sync.Mutex
	inAim    int
	late     int
	refused  int
	failed   int
	accepted *hdrhistogram.Histogram
	ended    *hdrhistogram.Histogram
}

func newJobResult() *jobResult {
	return &jobResult{
		accepted: hdrhistogram.New(latencyLeast, latencyMost, latencyDigits),
		ended:    hdrhistogram.New(latencyLeast, latencyMost, latencyDigits),
	}
}

// jobCallers hands jobs in.
type jobCallers struct {
	load    JobLoad
	targets []string
	client  *http.Client
	result  *jobResult
	open    sync.WaitGroup
}

// handIn plays the load and returns once every job has ended or was given up.
func handIn(ctx context.Context, targets []string, load JobLoad) *jobResult {
	c := &jobCallers{load: load, targets: targets, client: newClient(), result: newJobResult()}
	start := time.Now()
	var queues sync.WaitGroup
	for i := range load.Queues {
		queues.Go(func() { c.drive(ctx, i, start) })
	}
	queues.Wait()
	c.open.Wait()
	return c.result
}

// drive hands one queue's jobs in at exponential distances.
func (c *jobCallers) drive(ctx context.Context, queue int, start time.Time) {
	random := rand.New(rand.NewPCG(c.load.Seed, uint64(queue)))
	at := time.Duration(0)
	for n := 0; ; n++ {
		at += time.Duration(random.ExpFloat64() / c.load.rateAt(queue, at) * float64(time.Second))
		if at >= c.load.Duration || ctx.Err() != nil {
			return
		}
		millis := jobLeastTask + random.Int64N(jobMostTask-jobLeastTask)
		id := fmt.Sprintf("%08x%08x", queue+1, n+1)
		first := random.IntN(len(c.targets))
		time.Sleep(time.Until(start.Add(at)))
		c.open.Go(func() { c.call(ctx, queue, id, first, millis) })
	}
}

// call hands one job in, again where it is told to, and follows it to its end.
func (c *jobCallers) call(ctx context.Context, queue int, id string, first int, millis int64) {
	began := time.Now()
	aim := jobAim + time.Duration(float64(millis)*jobSlack)*time.Millisecond
	if !c.submit(ctx, queue, id, first, millis) {
		c.result.add(func(r *jobResult) { r.refused++ })
		return
	}
	c.result.add(func(r *jobResult) { _ = r.accepted.RecordValue(time.Since(began).Microseconds()) })
	for attempt := 0; c.load.GiveUp == 0 || time.Since(began) < c.load.GiveUp; attempt++ {
		if c.isCompleted(ctx, queue, id, c.targets[(first+attempt)%len(c.targets)]) {
			took := time.Since(began)
			c.result.add(func(r *jobResult) { r.end(took, aim) })
			return
		}
		time.Sleep(jobPoll)
	}
	c.result.add(func(r *jobResult) { r.failed++ })
}

func (c *jobCallers) submit(ctx context.Context, queue int, id string, first int, millis int64) bool {
	body := jobBody(c.load.Tasks, millis)
	for attempt := range jobAttempts {
		target := c.targets[(first+attempt)%len(c.targets)]
		status, wait := c.send(ctx, http.MethodPost, "http://"+target+jobPrefix(queue)+id, body)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(wait)
	}
	return false
}

func jobBody(tasks int, millis int64) []byte {
	payload, _ := json.Marshal(jobPayload{Millis: millis})
	body, _ := json.Marshal(map[string]any{"specification": string(payload), "steps": []map[string]any{{
		"count": tasks, "cpu": jobTaskCPU, "task_memory_mb": jobTaskMB, "estimated_duration_ms": millis,
	}}})
	return body
}

// send returns the status and when to come back.
func (c *jobCallers) send(ctx context.Context, method, url string, body []byte) (int, time.Duration) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, jobRetry
	}
	response, err := c.client.Do(request)
	if err != nil {
		return 0, jobRetry
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	wait, err := time.ParseDuration(response.Header.Get("Retry-After") + "s")
	if err != nil {
		wait = jobRetry
	}
	return response.StatusCode, wait
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
	var answer struct {
		State string `json:"state"`
	}
	return json.NewDecoder(response.Body).Decode(&answer) == nil && answer.State == jobDone
}

func (r *jobResult) add(f func(*jobResult)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r)
}

func (r *jobResult) end(took, aim time.Duration) {
	_ = r.ended.RecordValue(took.Microseconds())
	if took <= aim {
		r.inAim++
		return
	}
	r.late++
}

func (r *jobResult) print(out io.Writer) {
	millis := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	fmt.Fprintf(out, "jobs: %d in aim, %d late, %d refused, %d not ended in %v\n", r.inAim, r.late, r.refused, r.failed, jobGivenUp)
	fmt.Fprintf(out, "accepted within: p50 %.1f ms, p99 %.1f ms; ended within: p50 %.0f ms, p99 %.0f ms\n",
		millis(r.accepted, 50), millis(r.accepted, 99), millis(r.ended, 50), millis(r.ended, 99))
}

// printRuns tells what the executors saw.
func printRuns(out io.Writer, rig *fulmarrig.Rig) {
	ends := map[string]int{}
	done := map[string]int{}
	for _, run := range rig.Runs() {
		ends[run.How]++
		if run.How == "done" {
			done[run.Task]++
		}
	}
	twice := 0
	for _, n := range done {
		if n > 1 {
			twice++
		}
	}
	moves, upkeeps := rig.Moves()
	fmt.Fprintf(out, "runs: %d done, %d failed, %d stopped, %d lapsed, %d lost with their VM; %d tasks done twice\n",
		ends["done"], ends["failed"], ends["stopped"], ends["lapsed"], ends["lost"], twice)
	fmt.Fprintf(out, "VMs: %d moves, %d upkeeps\n", moves, upkeeps)
}
