package main

import (
	"fmt"
	"time"
)

func init() { cases["twice-late-acknowledgement"] = runLateAcknowledgement }

// Figures of the case: two jobs of many small tasks that end one after the other.
const (
	ackTasks      = 400
	ackMillis     = 200
	ackStepMillis = 10
	ackDelay      = 3 * time.Second
)

// runLateAcknowledgement runs a job of 400 tasks on one executor, which restarts under its identifier,
// and then another one. The last acknowledgement of the first job's ends has an attempt that arrives 3 s
// late.
func runLateAcknowledgement(w *world) ([]string, error) {
	const host, prefix = "pule25.example", "/puxa400/"
	first, second := "5c0e7a21d94b0001", "5c0e7a21d94b0002"
	var proxies []*holdingProxy
	w.newProxy = func() (executorProxy, error) {
		p, err := newHoldingProxy(w)
		proxies = append(proxies, p)
		return p, err
	}
	w.configure([]route{{host: host, prefix: prefix, service: "invoices", slack: 20}}, []string{"invoices"}, "")
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
	time.Sleep(time.Second)
	body := jobBody(ackTasks, 20, 16, 2000, workload{Millis: ackMillis, StepMillis: ackStepMillis}, nil)
	if !w.submit(host, prefix, first, body, 10*time.Second) {
		return nil, fmt.Errorf("the first job was not accepted")
	}
	if !waitFor(10*time.Second, func() bool { return len(w.endedRuns()) >= ackTasks-20 }) {
		return nil, fmt.Errorf("the first job did not run")
	}
	if w.trouble {
		for _, p := range proxies {
			p.holdNext(isAcknowledgement, ackDelay)
		}
	}
	if !waitFor(20*time.Second, func() bool { return w.jobState(host, prefix, first) == "completed" }) {
		return nil, fmt.Errorf("the first job was not completed")
	}
	if w.trouble {
		w.fleet.restart(machines[0], 100*time.Millisecond)
		time.Sleep(300 * time.Millisecond)
	}
	if !w.submit(host, prefix, second, body, 10*time.Second) {
		return nil, fmt.Errorf("the second job was not accepted")
	}
	if !waitFor(30*time.Second, func() bool { return w.jobState(host, prefix, second) == "completed" }) {
		return nil, fmt.Errorf("the second job was not completed")
	}
	time.Sleep(time.Second)
	return findRepeatedRuns(w), nil
}

// endedRuns returns the runs that have ended.
func (w *world) endedRuns() []*run {
	var ended []*run
	for _, r := range w.runsSoFar() {
		if r.Ended >= 0 {
			ended = append(ended, r)
		}
	}
	return ended
}
