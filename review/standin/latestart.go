package main

import (
	"fmt"
	"time"
)

func init() { cases["twice-late-start"] = runLateStart }

// Figures of the case: how long one start is under way, and when the executor restarts.
const (
	lateMachines     = 8
	lateStartDelay   = 4 * time.Second
	lateTaskMillis   = 300
	restartDown      = 500 * time.Millisecond
	restartAfterDone = 500 * time.Millisecond
)

// runLateStart runs a job of one task. The first attempt of its start arrives 4 s late; the second one is
// carried out at once. Meanwhile the executor restarts under its identifier.
func runLateStart(w *world) ([]string, error) {
	const host, prefix, id = "pule25.example", "/puxa400/", "5c0e7a21d94b36f8"
	var proxies []*holdingProxy
	w.newProxy = func() (executorProxy, error) {
		p, err := newHoldingProxy(w)
		proxies = append(proxies, p)
		return p, err
	}
	w.configure([]route{{host: host, prefix: prefix, service: "invoices", slack: 4}}, []string{"invoices"}, "")
	var machines []*machine
	for i := range lateMachines {
		m, err := w.fleet.add(fmt.Sprintf("m-%d", i+1), "invoices", fmt.Sprintf("r1-%d", 1+i/4))
		if err != nil {
			return nil, err
		}
		machines = append(machines, m)
	}
	if err := w.startMembers(3, host, prefix); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	if w.trouble {
		for _, p := range proxies {
			p.holdNext(isStart, lateStartDelay)
		}
	}
	if !w.submit(host, prefix, id, jobBody(1, 1000, 256, lateTaskMillis, workload{Millis: lateTaskMillis}, nil), 10*time.Second) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	if !waitFor(10*time.Second, func() bool { return w.jobState(host, prefix, id) == "completed" }) {
		return nil, fmt.Errorf("the job was not completed")
	}
	w.log("client GET %s%s: completed", prefix, id)
	first := w.runsSoFar()[0]
	if !waitFor(3*time.Second, func() bool { return first.TakenNoteAt >= 0 }) {
		return nil, fmt.Errorf("the end of the run was not taken note of")
	}
	w.log("the end of %s run %d was taken note of at %d ms", first.Task, first.Number, first.TakenNoteAt)
	time.Sleep(restartAfterDone)
	if w.trouble {
		for _, m := range machines {
			if m.executor.id == first.Executor {
				w.fleet.restart(m, restartDown)
			}
		}
	}
	time.Sleep(lateStartDelay)
	return findRepeatedRuns(w), nil
}
