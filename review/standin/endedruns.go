package main

import (
	"fmt"
	"time"
)

func init() { cases["lost-ended-runs"] = runEndedRuns }

// Figures of the case, each from the start of a run: when its executor is cut off, crashes, starts again,
// and can be reached again. The run ends in between.
const (
	endedRunMillis = 1000
	endedRunCut    = 400 * time.Millisecond
	endedRunCrash  = 1100 * time.Millisecond
	endedRunBack   = 500 * time.Millisecond
	endedRunHealed = 600 * time.Millisecond
)

// runEndedRuns runs a job of one task. Twice, the executor of the task is cut off for 2.2 s while it runs
// on; the run ends as done, and after that the executor crashes behind the cut and starts again.
func runEndedRuns(w *world) ([]string, error) {
	const host, prefix, id = "pule25.example", "/puxa400/", "5c0e7a21d94b36f8"
	w.newProxy = func() (executorProxy, error) { return newLink("") }
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
	time.Sleep(time.Second)
	if !w.submit(host, prefix, id, jobBody(1, 1000, 256, endedRunMillis, workload{Millis: endedRunMillis}, nil), 10*time.Second) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	for number := 1; number <= 2 && w.trouble; number++ {
		if !waitFor(20*time.Second, func() bool { return len(w.runsSoFar()) >= number }) {
			return nil, fmt.Errorf("run %d was not started", number)
		}
		r := w.runsSoFar()[number-1]
		for _, m := range machines {
			if m.executor.id == r.Executor {
				w.cutAndCrash(m)
			}
		}
	}
	return judgeFailedJobs(w, host, prefix, []string{id}), nil
}

// cutAndCrash cuts a machine's executor off, which crashes behind the cut and starts again.
func (w *world) cutAndCrash(m *machine) {
	time.Sleep(endedRunCut)
	cut := m.proxy.(*link)
	w.log("machine %s is cut off from the members", m.name)
	cut.setCut(true)
	time.Sleep(endedRunCrash)
	w.fleet.crash(m, endedRunBack)
	time.Sleep(endedRunBack + endedRunHealed)
	cut.setCut(false)
	w.log("the cut of machine %s ends", m.name)
}
