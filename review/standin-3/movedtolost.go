package main

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

const (
	// awayLimit is for how long a task that lasts may be away from its last run on, in milliseconds: 6 s, and
	// the 3 s for which it has nothing running.
	awayLimit = 9000
	// calmLimit is for how long all has been calm then: the 3 s and the 4 s before them.
	calmLimit = 7000
	// lastingTasks is the number of tasks of the job that lasts.
	lastingTasks = 3
	// leaveAfter is how long an executor serves after it has reported draining.
	leaveAfter = 4 * time.Second
)

// playMovedToLost loses an idle executor for good, and empties another one that has a task that lasts.
func playMovedToLost(o options, r *record) verdict {
	p, err := newPlatform(r, map[string]int{"alpha": 9}, []string{"alpha"})
	if err != nil {
		return verdict{failure: err}
	}
	queues := []queue{{"queue-a", "/a/", "alpha"}}
	members, c, err := fleetOf(o, r, p, queues, []string{"alpha"})
	defer stopAll(members)
	if err != nil {
		return verdict{failure: err}
	}
	limit := 1
	job, accepted := c.submit(queues[0], "lasts", []step{{Count: lastingTasks, CPU: 1300, Memory: 1000, AntiAffinity: 1, LongRunning: true, MaxUnavailable: &limit}})
	if !accepted {
		return verdict{failure: notReadyError{}}
	}
	stop := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() { trickle(c, queues[0], stop) })
	defer load.Wait()
	defer close(stop)
	time.Sleep(4 * time.Second)
	idle, busy := firstIdle(p.executors("alpha")), hostOf(p.executors("alpha"), job)
	if idle == nil || busy == nil {
		return verdict{failure: noExecutorError{}}
	}
	if o.trouble {
		idle.vanish()
	}
	time.Sleep(500 * time.Millisecond)
	busy.drain()
	time.AfterFunc(leaveAfter, func() { busy.end("it leaves") })
	return watchTasks(p, job, r.now()+leaveAfter.Milliseconds(), o.length)
}

// watchTasks looks for a task of a job that is away for too long. last is the time of the last disruption.
func watchTasks(p *platform, job string, last int64, length time.Duration) verdict {
	var broken []string
	end := time.Now().Add(length)
	reported := map[int]bool{}
	for time.Now().Before(end) {
		time.Sleep(100 * time.Millisecond)
		now := p.record.now()
		for i := range lastingTasks {
			task := fmt.Sprintf("%s.0.0.%d", job, i)
			since, runs := p.lastEnd(task)
			if !runs && !reported[i] && now > since+awayLimit && now > last+calmLimit {
				reported[i] = true
				broken = append(broken, fmt.Sprintf("LOST: at %d ms task %s, which lasts, has had no run for %d ms, with %d of 9 executors idle", now, task, now-since, countIdle(p.executors("alpha"))))
			}
		}
	}
	return verdict{broken: broken}
}

// trickle submits a few short jobs.
func trickle(c *clients, q queue, stop chan struct{}) {
	var jobs sync.WaitGroup
	defer jobs.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(250 * time.Millisecond):
		}
		jobs.Go(func() {
			c.submit(q, "400", []step{{Count: 2, CPU: 1000, Memory: 500, Estimated: 400}})
		})
	}
}

// firstIdle returns the executor without runs whose ID is the first, nil if there is none.
func firstIdle(executors []*executor) *executor {
	sort.Slice(executors, func(a, b int) bool { return executors[a].id < executors[b].id })
	for _, e := range executors {
		if e.countRuns() == 0 {
			return e
		}
	}
	return nil
}

// hostOf returns an executor that runs a task of a job, nil if there is none.
func hostOf(executors []*executor, job string) *executor {
	for _, e := range executors {
		if e.runsTaskOf(job) {
			return e
		}
	}
	return nil
}

func countIdle(executors []*executor) int {
	count := 0
	for _, e := range executors {
		if e.countRuns() == 0 {
			count++
		}
	}
	return count
}
