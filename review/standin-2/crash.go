package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	executorCount  = 7
	executorCPU    = 16000
	lastingJobs    = 84
	lastingTasks   = 1
	crashDowntime  = time.Second
	crashAfter     = 500 * time.Millisecond
	submissionTime = 30 * time.Second
	// The rule on tasks that last: nothing runs for restartBound, from lastRunBound after the last run, and
	// the time before is calm for calmBound.
	restartBound = 3 * time.Second
	lastRunBound = 6 * time.Second
	calmBound    = 4 * time.Second
	watchedTime  = 25 * time.Second
)

// crash: an executor crashes half a second after many jobs that last were handed in, and is back soon.
// Afterwards all is calm, and most of the capacity is free.
func crash(d *deployment, trouble bool) ([]string, error) {
	if err := d.addService("work", executorCount, executorCPU, true); err != nil {
		return nil, err
	}
	d.addQueue("lasting", "work", nil)
	d.addQueue("short", "work", map[string]any{"priority": 1})
	if err := d.startMembers(3); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	var clients sync.WaitGroup
	end := time.Now().Add(submissionTime)
	clients.Go(func() { d.submitShort(end) })
	time.Sleep(3 * time.Second)
	if !d.submitLasting() {
		return nil, fmt.Errorf("a lasting job was not accepted")
	}
	time.Sleep(crashAfter)
	if trouble {
		e := d.executors[executorCount-1]
		e.crash()
		time.Sleep(crashDowntime)
		if err := e.begin(); err != nil {
			return nil, err
		}
	}
	calmFrom := d.now()
	d.note("all is calm from now on")
	var found []string
	reported := map[string]bool{}
	for d.now() < calmFrom+watchedTime {
		time.Sleep(100 * time.Millisecond)
		found = append(found, d.lostLasting(calmFrom, reported)...)
	}
	clients.Wait()
	for _, r := range d.unfinished("short") {
		d.note("job %s is not completed %v after the last crash", r, watchedTime)
	}
	return found, nil
}

// submitLasting hands the jobs that last in, all at once, and returns whether they were accepted.
func (d *deployment) submitLasting() bool {
	var clients sync.WaitGroup
	var refused atomic.Bool
	for n := range lastingJobs {
		clients.Go(func() {
			steps := []step{{Count: lastingTasks, CPU: 400, Memory: 100, Estimate: 1000, Lasting: true}}
			if !d.submit("lasting", fmt.Sprintf("%016x", 0xa000+n), &job{Specification: "lasting", Steps: steps}) {
				refused.Store(true)
			}
		})
	}
	clients.Wait()
	return !refused.Load()
}

// submitShort submits short jobs until a time.
func (d *deployment) submitShort(end time.Time) {
	for n := 0; time.Now().Before(end); n++ {
		steps := []step{{Count: 2, CPU: 1000, Memory: 100, Estimate: 600, duration: 600 * time.Millisecond}}
		d.submit("short", fmt.Sprintf("%016x", 0xb000+n), &job{Specification: "short", Steps: steps})
		time.Sleep(200 * time.Millisecond)
	}
}

// used returns the processor use of all executors.
func (d *deployment) used() int64 {
	sum := int64(0)
	for _, e := range d.executors {
		e.mu.Lock()
		if e.alive {
			sum += e.load()
		}
		e.mu.Unlock()
	}
	return sum
}

// lostLasting returns the tasks that last, have run before and do not run for longer than the rule
// permits.
func (d *deployment) lostLasting(calmFrom time.Duration, reported map[string]bool) []string {
	now := d.now()
	if now < calmFrom+calmBound+restartBound {
		return nil
	}
	latest := map[string]run{}
	for _, r := range d.allRuns() {
		latest[r.Task] = r
	}
	var found []string
	for task, r := range latest {
		isLost := r.End > 0 && now > r.End+lastRunBound+restartBound
		if !isLost || !strings.HasPrefix(task, "000000000000a") || reported[task] {
			continue
		}
		reported[task] = true
		found = append(found, fmt.Sprintf("LOST: %s is to last; its run %d ended (%s) at %.1f s, and nothing runs at %.1f s; %d of %d thousandths of a core are in use",
			task, r.Number, r.How, r.End.Seconds(), now.Seconds(), d.used(), len(d.executors)*int(d.executors[0].capacity)))
	}
	return found
}

// unfinished returns the accepted jobs of a queue that are not shown as completed.
func (d *deployment) unfinished(queue string) []string {
	d.mu.Lock()
	var ids []string
	for id, j := range d.jobs {
		if j.queue == queue {
			ids = append(ids, id)
		}
	}
	d.mu.Unlock()
	var open []string
	for _, id := range ids {
		if state := d.state(queue, id); state != "completed" {
			open = append(open, id+" "+state)
		}
	}
	return open
}
