package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["lost-two-crashes"] = runTwoCrashes }

// Figures of the case: one job on each executor of a service.
const (
	crashMachines   = 8
	crashTaskMillis = 10000
	// youngRun is how long a task runs before its executor crashes.
	youngRun = 600 * time.Millisecond
	// crashDown is how long a machine is down after a crash.
	crashDown = time.Second
)

// runTwoCrashes runs a job on each of 8 executors. One machine crashes twice, a second time soon after
// it is back. No task fails by itself.
func runTwoCrashes(w *world) ([]string, error) {
	const host, prefix = "pule25.example", "/puxa400/"
	w.configure([]route{{host: host, prefix: prefix, service: "invoices", slack: 4}}, []string{"invoices"}, "")
	var machines []*machine
	for i := range crashMachines {
		m, err := w.fleet.add(fmt.Sprintf("m-%d", i+1), "invoices", fmt.Sprintf("r1-%d", 1+i/4))
		if err != nil {
			return nil, err
		}
		machines = append(machines, m)
	}
	if err := w.startMembers(3, host, prefix); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	var ids []string
	for i := range crashMachines {
		ids = append(ids, fmt.Sprintf("5c0e7a21d94b%04x", i+1))
		body := jobBody(1, 9000, 4096, crashTaskMillis, workload{Millis: crashTaskMillis}, nil)
		if !w.submit(host, prefix, ids[i], body, 10*time.Second) {
			return nil, fmt.Errorf("job %s was not accepted", ids[i])
		}
	}
	flaky := machines[0]
	first := flaky.executor
	if !waitFor(5*time.Second, func() bool { return len(w.runsOn(first)) > 0 }) {
		return nil, fmt.Errorf("no job was started on %s", first.id)
	}
	if w.trouble {
		if err := crashTwice(w, flaky); err != nil {
			return nil, err
		}
	}
	return judgeFailedJobs(w, host, prefix, ids), nil
}

// crashTwice crashes a machine, and again soon after a task was started there anew.
func crashTwice(w *world, m *machine) error {
	time.Sleep(youngRun)
	first := m.executor
	w.fleet.crash(m, crashDown)
	if !waitFor(20*time.Second, func() bool { return m.executor != first && len(w.runsOn(m.executor)) > 0 }) {
		return fmt.Errorf("nothing was started on the machine after its first crash")
	}
	time.Sleep(youngRun)
	w.fleet.crash(m, crashDown)
	return nil
}

// runsOn returns the runs on an executor.
func (w *world) runsOn(e *executor) []*run {
	var found []*run
	for _, r := range w.runsSoFar() {
		if r.Executor == e.id {
			found = append(found, r)
		}
	}
	return found
}

// judgeFailedJobs waits until all jobs have ended and returns the violations of LOST: an accepted job
// that nobody has cancelled is shown as failed, although none of its runs has ended failed.
func judgeFailedJobs(w *world, host, prefix string, ids []string) []string {
	var violations []string
	for _, id := range ids {
		state := ""
		waitFor(60*time.Second, func() bool {
			state = w.jobState(host, prefix, id)
			return state == "completed" || state == "failed" || state == "cancelled" || state == "410"
		})
		w.log("client GET %s%s: %s", prefix, id, state)
		if state == "completed" {
			continue
		}
		ends := []string{}
		failed := 0
		for _, r := range w.runsSoFar() {
			if strings.HasPrefix(r.Task, id+".") {
				ends = append(ends, fmt.Sprintf("run %d %s", r.Number, r.How))
				if r.How == "failed" {
					failed++
				}
			}
		}
		violations = append(violations, fmt.Sprintf("LOST: job %s is shown as %q after %d ends \"failed\" of %d permitted (%s)", id, state, failed, maxAttempts, strings.Join(ends, ", ")))
	}
	return violations
}
