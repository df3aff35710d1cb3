package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	drainTimeout   = 2 * time.Second
	muteTime       = 2600 * time.Millisecond
	drainAfter     = 100 * time.Millisecond
	leavesAfter    = 5 * time.Second
	drainExecutors = 16
)

// drain: an executor leaves the orders to start a task unanswered for a time, while it answers all else. It
// reports meanwhile that it drains, and leaves later.
func drain(d *deployment, trouble bool) ([]string, error) {
	if err := d.addService("work", drainExecutors, 8000, true); err != nil {
		return nil, err
	}
	d.addQueue("q", "work", nil)
	var mu sync.Mutex
	var victim *executor
	var mutedAt, drainingAt time.Duration
	for _, e := range d.executors {
		e.intercept = func(_ http.ResponseWriter, q *http.Request, name string, body []byte) bool {
			var c call
			if !trouble || name != "run-start" || json.Unmarshal(body, &c) != nil || c.Text != "drain" {
				return false
			}
			mu.Lock()
			if victim == nil {
				victim, mutedAt = e, d.now()
				time.AfterFunc(drainAfter, func() {
					e.reportDraining()
					mu.Lock()
					drainingAt = d.now()
					mu.Unlock()
					d.note("the store has accepted that %s is draining", e.id)
					time.AfterFunc(leavesAfter, func() {
						e.crash()
						d.store.remove("servers/" + e.id)
					})
				})
			}
			isMute := victim == e && d.now() < mutedAt+muteTime
			mu.Unlock()
			d.note("order to start %s run %d reaches %s, answered %v", c.Task, c.Run, e.id, !isMute)
			if !isMute {
				return false
			}
			<-q.Context().Done()
			return true
		}
	}
	if err := d.startMembers(3); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	const id = "00000000000000d1"
	steps := []step{{Count: 1, CPU: 1000, Memory: 100, Estimate: 4000, duration: 4 * time.Second}}
	if !d.submit("q", id, &job{Specification: "drain", Steps: steps}) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	if !await(40*time.Second, func() bool { return d.state("q", id) == "completed" }) {
		d.note("the job is not completed")
	}
	mu.Lock()
	defer mu.Unlock()
	var found []string
	for _, r := range d.runsOf(id) {
		if trouble && r.Executor == victim.id && drainingAt > 0 && r.Start > drainingAt+drainTimeout {
			found = append(found, fmt.Sprintf("DRAIN: %s run %d starts on %s at %.3f s; the store accepted at %.3f s that it is draining", r.Task, r.Number, r.Executor, r.Start.Seconds(), drainingAt.Seconds()))
		}
	}
	return found, nil
}

// reportDraining writes the executor's entry with the state draining.
func (e *executor) reportDraining() {
	e.mu.Lock()
	e.draining = true
	entry := e.entry()
	e.mu.Unlock()
	e.p.store.put("servers/"+e.id, entry)
}
