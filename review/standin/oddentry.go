package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

func init() { cases["route-odd-entry"] = runOddEntry }

// heartbeatInterval is how often an executor writes its entry.
const heartbeatInterval = 1500 * time.Millisecond

// runOddEntry has two services with three executors each. Those of one are busy. Another writer writes
// an entry with missing fields over that of an idle executor of the other service, until the executor's
// next heartbeat.
func runOddEntry(w *world) ([]string, error) {
	const host = "pule25.example"
	invoices := route{host: host, prefix: "/puxa400/", service: "invoices", slack: 50}
	labels := route{host: host, prefix: "/wuhu344/", service: "labels", slack: 50}
	w.configure([]route{invoices, labels}, []string{"invoices", "labels"}, "")
	for i := range 3 {
		if _, err := w.fleet.add(fmt.Sprintf("m-%d", i+1), "invoices", "r1-1"); err != nil {
			return nil, err
		}
		if _, err := w.fleet.add(fmt.Sprintf("n-%d", i+1), "labels", "r1-2"); err != nil {
			return nil, err
		}
	}
	if err := w.startMembers(3, host, labels.prefix); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	busy, waiting := "5c0e7a21d94b0001", "5c0e7a21d94b0002"
	if !w.submit(host, labels.prefix, busy, jobBody(3, 15000, 4096, 6000, workload{Millis: 6000}, nil), 5*time.Second) {
		return nil, fmt.Errorf("the first job was not accepted")
	}
	if !waitFor(5*time.Second, func() bool { return len(w.runsSoFar()) == 3 }) {
		return nil, fmt.Errorf("the first job was not started")
	}
	if w.trouble {
		if err := overwriteEntry(w, w.executors[0]); err != nil {
			return nil, err
		}
	}
	time.Sleep(200 * time.Millisecond)
	if !w.submit(host, labels.prefix, waiting, jobBody(1, 5000, 1024, 1000, workload{Millis: 1000}, nil), 5*time.Second) {
		return nil, fmt.Errorf("the second job was not accepted")
	}
	for _, id := range []string{busy, waiting} {
		if !waitFor(30*time.Second, func() bool { return w.jobState(host, labels.prefix, id) == "completed" }) {
			return nil, fmt.Errorf("job %s did not complete", id)
		}
		w.log("client GET %s%s: completed", labels.prefix, id)
	}
	return findMisroutedRuns(w, "labels", []string{busy, waiting}), nil
}

// overwriteEntry writes an entry without the fields zone, version, slots, cold_remaining_ms, sequence,
// labels, machine and born over that of an executor, which writes its own again at its next heartbeat.
func overwriteEntry(w *world, e *executor) error {
	odd, err := json.Marshal(map[string]any{
		"service": "labels", "address": e.address, "state": "ready", "capacity": map[string]int64{"cpu": e.cpu, "task_memory_mb": e.memory, "gpus": 0},
	})
	if err != nil {
		return err
	}
	w.log("another writer writes servers/%s: %s", e.id, odd)
	w.store.put("servers/"+e.id, odd)
	time.AfterFunc(heartbeatInterval, func() {
		w.log("executor %s writes its own entry", e.id)
		e.publish()
	})
	return nil
}

// findMisroutedRuns returns the violations of ROUTE: runs of jobs of a service's queue on executors of
// another service.
func findMisroutedRuns(w *world, service string, jobs []string) []string {
	var violations []string
	for _, r := range w.runsSoFar() {
		for _, e := range w.executors {
			for _, id := range jobs {
				if e.id == r.Executor && e.service != service && strings.HasPrefix(r.Task, id+".") {
					violations = append(violations, fmt.Sprintf("ROUTE: %s run %d of the queue of service %s was started at %d ms on %s, an executor of service %s", r.Task, r.Number, service, r.Started, e.id, e.service))
				}
			}
		}
	}
	return violations
}
