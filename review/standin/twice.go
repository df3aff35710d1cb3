package main

import (
	"fmt"
	"time"
)

func init() { cases["twice-500-ends"] = runManyEnds }

// Figures of the case: tasks that all fit on one executor and end one after the other.
const (
	manyTasks       = 800
	manyTasksMillis = 3000
	manyTasksStep   = 5
	outageDelay     = 2500 * time.Millisecond
	outageLength    = 4500 * time.Millisecond
)

// runManyEnds runs a job of many small tasks. The store is down for 4.5 s while they end, so that more
// than 500 ends wait on an executor to be taken note of.
func runManyEnds(w *world) ([]string, error) {
	const host, prefix, id = "pule25.example", "/puxa400/", "5c0e7a21d94b36f8"
	w.configure([]route{{host: host, prefix: prefix, service: "invoices", slack: 4}}, []string{"invoices"}, "")
	for i := range 3 {
		if _, err := w.fleet.add(fmt.Sprintf("m-%d", i+1), "invoices", "r1-1"); err != nil {
			return nil, err
		}
	}
	if err := w.startMembers(3, host, prefix); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	body := jobBody(manyTasks, 20, 16, 4000, workload{Millis: manyTasksMillis, StepMillis: manyTasksStep}, nil)
	if !w.submit(host, prefix, id, body, 10*time.Second) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	if !waitFor(10*time.Second, func() bool { return len(w.runsSoFar()) >= manyTasks }) {
		return nil, fmt.Errorf("only %d tasks were started", len(w.runsSoFar()))
	}
	w.log("all tasks were started")
	time.Sleep(outageDelay)
	if w.trouble {
		w.store.setDown(true)
	}
	time.Sleep(outageLength)
	if w.trouble {
		w.store.setDown(false)
	}
	if !waitFor(40*time.Second, func() bool { return w.jobState(host, prefix, id) == "completed" }) {
		return nil, fmt.Errorf("the job did not complete; its state is %q", w.jobState(host, prefix, id))
	}
	w.log("client GET %s%s: completed", prefix, id)
	time.Sleep(2 * time.Second)
	return findRepeatedRuns(w), nil
}

// findRepeatedRuns returns the violations of TWICE: a start after a run of the task has ended done, if
// that end is taken note of then or later, unless the executor's lease lapsed between the two; or two
// runs of a task at the same time.
func findRepeatedRuns(w *world) []string {
	byTask := map[string][]*run{}
	var violations []string
	for _, r := range w.runsSoFar() {
		for _, earlier := range byTask[r.Task] {
			isDone := earlier.How == "done" && earlier.Ended <= r.Started && earlier.TakenNoteAt >= 0 && !earlier.LapsedAfterEnd
			isAtOnce := earlier.Ended < 0 || earlier.Ended > r.Started
			if isDone {
				violations = append(violations, fmt.Sprintf("TWICE: %s run %d started on %s at %d ms; run %d had ended done on %s at %d ms, taken note of at %d ms",
					r.Task, r.Number, r.Executor, r.Started, earlier.Number, earlier.Executor, earlier.Ended, earlier.TakenNoteAt))
			}
			if isAtOnce {
				violations = append(violations, fmt.Sprintf("TWICE: %s run %d started on %s at %d ms while run %d was on %s",
					r.Task, r.Number, r.Executor, r.Started, earlier.Number, earlier.Executor))
			}
		}
		byTask[r.Task] = append(byTask[r.Task], r)
	}
	return violations
}
