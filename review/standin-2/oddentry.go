package main

import (
	"fmt"
	"time"
)

const (
	oddExecutors = 4
	oddTasks     = 40
)

// oddEntry: the executors of a service are full. Another writer puts an entry with missing fields under
// the identifier of an executor of another service, and names the first service in it.
func oddEntry(d *deployment, trouble bool) ([]string, error) {
	for _, service := range []string{"labels", "invoices"} {
		if err := d.addService(service, oddExecutors, 8000, true); err != nil {
			return nil, err
		}
	}
	d.addQueue("label-check", "labels", nil)
	d.addQueue("invoice-check", "invoices", nil)
	if err := d.startMembers(3); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	const id = "0000000000000c01"
	steps := []step{{Count: oddTasks, CPU: 1000, Memory: 100, Estimate: 5000, duration: 5 * time.Second}}
	if !d.submit("label-check", id, &job{Specification: "labels", Steps: steps}) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		e := d.executors[len(d.executors)-1]
		e.mu.Lock()
		odd := map[string]any{
			"service": "labels", "address": e.address, "state": "ready",
			"capacity": map[string]any{"cpu": e.capacity, "task_memory_mb": 32768, "gpus": 0},
		}
		e.mu.Unlock()
		d.store.put("servers/"+e.id, odd)
		d.note("another writer puts an entry with missing fields under servers/%s, service labels", e.id)
	}
	if !await(30*time.Second, func() bool { return d.state("label-check", id) == "completed" }) {
		d.note("the job is not completed")
	}
	var found []string
	for _, r := range d.runsOf(id) {
		for _, e := range d.executors {
			if e.id == r.Executor && e.service != "labels" {
				found = append(found, fmt.Sprintf("ROUTE: %s run %d starts on %s of service %s at %.3f s", r.Task, r.Number, r.Executor, e.service, r.Start.Seconds()))
			}
		}
	}
	return found, nil
}
