package main

import (
	"fmt"
	"time"
)

func init() { cases["lost-gang-failure"] = runGangFailure }

// Figures of the case: a service with one executor that fails all that it starts.
const (
	gangMachines   = 12
	gangTasks      = 4
	gangWorkMillis = 2000
)

// runGangFailure runs a gang of four tasks on a service of 12 executors, one of which fails all that it
// starts.
func runGangFailure(w *world) ([]string, error) {
	const host, prefix, id = "pule25.example", "/puxa400/", "5c0e7a21d94b36f8"
	w.configure([]route{{host: host, prefix: prefix, service: "supplier-risk", slack: 10}}, []string{"supplier-risk"}, "")
	for i := range gangMachines {
		m, err := w.fleet.add(fmt.Sprintf("m-%02d", i+1), "supplier-risk", fmt.Sprintf("r1-%d", 1+i/4))
		if err != nil {
			return nil, err
		}
		if i == 0 && w.trouble {
			m.executor.grey = true
			w.log("executor %s fails all that it starts", m.executor.id)
		}
	}
	if err := w.startMembers(3, host, prefix); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	body := jobBody(gangTasks, 1000, 1024, gangWorkMillis, workload{Millis: gangWorkMillis, Gang: gangTasks}, map[string]any{"all_or_nothing": true})
	if !w.submit(host, prefix, id, body, 10*time.Second) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	return judgeFailedGang(w, host, prefix, id), nil
}

// judgeFailedGang waits until the job has ended and returns the violations of LOST: an accepted job is
// shown as failed, although its gang has failed fewer than max_attempts times.
func judgeFailedGang(w *world, host, prefix, id string) []string {
	state := ""
	waitFor(40*time.Second, func() bool {
		state = w.jobState(host, prefix, id)
		return state == "completed" || state == "failed" || state == "cancelled" || state == "410"
	})
	w.log("client GET %s%s: %s", prefix, id, state)
	failedRuns := map[int64]bool{}
	for _, r := range w.runsSoFar() {
		if r.How == "failed" {
			failedRuns[r.Number] = true
		}
	}
	if state == "completed" || state == "failed" && len(failedRuns) >= maxAttempts {
		return nil
	}
	return []string{fmt.Sprintf("LOST: job %s is shown as %q after its gang has failed %d times of %d permitted", id, state, len(failedRuns), maxAttempts)}
}
