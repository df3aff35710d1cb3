package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	adviceExecutors = 12
	decisionTime    = 300 * time.Millisecond
	periodTime      = 200 * time.Millisecond
	ticketValidity  = 3 * time.Second
	maxAdviceCalls  = 32
	maxAdvised      = 100
	// Jobs come at usualInterval, in a burst 2.6 times as often.
	usualInterval = 4500 * time.Millisecond
	burstInterval = usualInterval * 10 / 26
	jobsBefore    = 2
	jobsInBurst   = 3
	// finishTime is how long after the end of the traffic jobs are asked for.
	finishTime = 14 * time.Second
)

// advisor is the service that knows which executors may run a step.
type advisor struct {
	d       *deployment
	turn    sync.Mutex
	mu      sync.Mutex
	waiting int
	// tickets are the times until which the tickets are valid.
	tickets map[string]time.Duration
}

// advise answers a call after its turn has come. Two of three executors may run a step.
func (a *advisor) advise(step string, workers []string) (int, any) {
	a.mu.Lock()
	if a.waiting >= maxAdviceCalls || len(workers) > maxAdvised {
		a.mu.Unlock()
		return http.StatusTooManyRequests, struct{}{}
	}
	a.waiting++
	a.mu.Unlock()
	called := a.d.now()
	a.turn.Lock()
	time.Sleep(decisionTime + time.Duration(len(workers))*periodTime)
	a.turn.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting--
	rows := [][2]string{}
	for _, w := range workers {
		if w[len(w)-1]%3 != 0 {
			ticket := step + "/" + w
			a.tickets[ticket] = a.d.now() + ticketValidity
			rows = append(rows, [2]string{w, ticket})
		}
	}
	a.d.note("advice on %d executors for %s, called at %.3f s: %d may run it", len(workers), step, called.Seconds(), len(rows))
	return http.StatusOK, map[string]any{"healthy": rows, "validity_ms": ticketValidity.Milliseconds()}
}

// accepts reports whether a ticket permits the start of a task on an executor.
func (a *advisor) accepts(c call, executor string) bool {
	id, occurrence, number, _ := taskOf(c.Task)
	a.mu.Lock()
	defer a.mu.Unlock()
	return c.Ticket == fmt.Sprintf("%s.%d.%d/%s", id, occurrence, number, executor) && a.d.now() <= a.tickets[c.Ticket]
}

// burst: a queue needs advice on its steps. For a short time its jobs come more often than usual.
func burst(d *deployment, trouble bool) ([]string, error) {
	a := &advisor{d: d, tickets: map[string]time.Duration{}}
	d.platform.advise = a.advise
	if err := d.addService("work", adviceExecutors, 8000, true); err != nil {
		return nil, err
	}
	for _, e := range d.executors {
		e.accepts = a.accepts
	}
	d.addQueue("q", "work", map[string]any{"placement_advisor": map[string]any{
		"decision_ms": decisionTime.Milliseconds(), "period_ms": periodTime.Milliseconds(), "validity_ms": ticketValidity.Milliseconds(),
	}})
	if err := d.startMembers(3); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	var ids []string
	for n := range jobsBefore + jobsInBurst {
		id := fmt.Sprintf("%016x", 0xf000+n)
		steps := []step{{Count: 2, CPU: 1000, Memory: 100, Estimate: 500, duration: 500 * time.Millisecond}}
		if !d.submit("q", id, &job{Specification: "advised", Steps: steps}) {
			return nil, fmt.Errorf("a job was not accepted")
		}
		ids = append(ids, id)
		interval := usualInterval
		if trouble && n >= jobsBefore {
			interval = burstInterval
		}
		time.Sleep(interval)
	}
	d.note("the traffic has ended")
	time.Sleep(finishTime)
	return d.neverRun(ids), nil
}

// neverRun returns the jobs of which no task runs for 3 s.
func (d *deployment) neverRun(ids []string) []string {
	const nothingRunsFor = 3 * time.Second
	asked := d.now()
	for d.now() < asked+nothingRunsFor {
		time.Sleep(100 * time.Millisecond)
		ids = slices.DeleteFunc(ids, func(id string) bool { return len(d.runsOf(id)) > 0 })
	}
	var found []string
	for _, id := range ids {
		found = append(found, fmt.Sprintf("LOST: job %s is shown as %s at %.3f s; none of its tasks has started, and %d of %d thousandths of a core are in use",
			id, d.state("q", id), d.now().Seconds(), d.used(), len(d.executors)*int(d.executors[0].capacity)))
	}
	return found
}
