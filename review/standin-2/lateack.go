package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	ackExecutors = 7
	// Each job has tasks that end one after the other, so that ends are frequent on each executor.
	ackTasks    = 210
	ackInterval = 200 * time.Millisecond
	// Some acknowledgements are held back. The first is late by ackLateness, the others by less: they
	// arrive ackArrivals after each other.
	heldAcks      = 8
	ackLateness   = 9 * time.Second
	ackArrivals   = 250 * time.Millisecond
	ackDowntime   = time.Second
	ackWarmUp     = 7 * time.Second
	ackSubmission = 22 * time.Second
	ackSettling   = 8 * time.Second
)

// lateAck: some acknowledgements of the ends at an executor get no answer and are delivered late. The
// executor crashes meanwhile and starts again under its identifier, and its ends are numbered anew.
func lateAck(d *deployment, trouble bool) ([]string, error) {
	if err := d.addService("work", ackExecutors, 16000, true); err != nil {
		return nil, err
	}
	d.addQueue("q", "work", nil)
	var mu sync.Mutex
	var victim *executor
	var firstArrival time.Duration
	held := 0
	var armed atomic.Bool
	for _, e := range d.executors {
		err := d.startProxy(e, func(name string, c call) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			if !trouble || name != "hold" || c.Ack == 0 || !armed.Load() || held == heldAcks || victim != nil && victim != e {
				return 0
			}
			if victim == nil {
				victim, firstArrival = e, d.now()+ackLateness
			}
			late := firstArrival + time.Duration(held)*ackArrivals - d.now()
			held++
			d.note("proxy holds the acknowledgement of ends up to %d of %s back for %v", c.Ack, e.id, late)
			return late
		})
		if err != nil {
			return nil, err
		}
	}
	time.Sleep(heartbeat + 500*time.Millisecond)
	if err := d.startMembers(3); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	end := time.Now().Add(ackSubmission)
	var clients sync.WaitGroup
	clients.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			steps := []step{{Count: ackTasks, CPU: 50, Memory: 10, Estimate: 300, AntiAffinity: ackTasks / ackExecutors, duration: 300 * time.Millisecond, spread: 7 * time.Millisecond}}
			d.submit("q", fmt.Sprintf("%016x", 0xe000+n), &job{Specification: "ends", Steps: steps})
			time.Sleep(ackInterval)
		}
	})
	time.Sleep(ackWarmUp)
	armed.Store(true)
	if trouble {
		allHeld := func() bool {
			mu.Lock()
			defer mu.Unlock()
			return held == heldAcks
		}
		if !await(ackLateness, allHeld) {
			return nil, fmt.Errorf("only %d acknowledgements were held back", held)
		}
		e := victim
		e.crash()
		time.Sleep(ackDowntime)
		if err := e.begin(); err != nil {
			return nil, err
		}
	}
	clients.Wait()
	time.Sleep(ackSettling)
	return twice(d.allRuns()), nil
}

// twice returns the runs that break TWICE: two runs of a task at the same time, or a start after a run
// has ended as done whose end was noted and whose executor's lease did not lapse in between.
func twice(runs []run) []string {
	var found []string
	byTask := map[string][]run{}
	for _, r := range runs {
		for _, earlier := range byTask[r.Task] {
			switch {
			case earlier.End == 0 || earlier.End > r.Start:
				found = append(found, fmt.Sprintf("TWICE: %s run %d on %s starts at %.3f s while run %d is on %s", r.Task, r.Number, r.Executor, r.Start.Seconds(), earlier.Number, earlier.Executor))
			case earlier.How == "done" && earlier.NotedAt > 0 && !earlier.Lapsed:
				found = append(found, fmt.Sprintf("TWICE: %s run %d on %s starts at %.3f s, after run %d on %s ended done at %.3f s, noted at %.3f s", r.Task, r.Number, r.Executor, r.Start.Seconds(), earlier.Number, earlier.Executor, earlier.End.Seconds(), earlier.NotedAt.Seconds()))
			}
		}
		byTask[r.Task] = append(byTask[r.Task], r)
	}
	return found
}
