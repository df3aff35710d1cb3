package main

import (
	"fmt"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

const (
	answerExecutors = 8
	answerTasks     = 6
	calmTime        = 15 * time.Second
	watchedLoss     = 20 * time.Second
)

// lostAnswer: each executor starts a task that lasts, and the answer to the order is lost. All is calm
// for a while. Then one executor is lost for good.
func lostAnswer(d *deployment, trouble bool) ([]string, error) {
	if err := d.addService("work", answerExecutors, 8000, true); err != nil {
		return nil, err
	}
	d.addQueue("lasting", "work", nil)
	var answersLost atomic.Bool
	answersLost.Store(true)
	for _, e := range d.executors {
		e.intercept = func(_ http.ResponseWriter, q *http.Request, name string, body []byte) bool {
			if !trouble || name != "run-start" || !answersLost.Load() {
				return false
			}
			e.executeUnanswered(q, name, body)
			d.note("the answer of %s to an order to start a task is lost", e.id)
			panic(http.ErrAbortHandler)
		}
	}
	if err := d.startMembers(3); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	steps := []step{{Count: answerTasks, CPU: 500, Memory: 100, Estimate: 1000, Lasting: true, AntiAffinity: 1}}
	const id = "000000000000a000"
	if !d.submit("lasting", id, &job{Specification: "lasting", Steps: steps}) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	if !await(5*time.Second, func() bool { return len(d.runsOf(id)) == answerTasks }) {
		return nil, fmt.Errorf("the tasks do not run")
	}
	answersLost.Store(false)
	time.Sleep(calmTime)
	if trouble || os.Getenv("CRASH_ONLY") != "" {
		d.crashOf(d.runsOf(id)[0])
	}
	lostAt := d.now()
	d.note("all is calm from now on")
	var found []string
	reported := map[string]bool{}
	for d.now() < lostAt+watchedLoss {
		time.Sleep(100 * time.Millisecond)
		found = append(found, d.lostLasting(lostAt, reported)...)
	}
	return found, nil
}

// crashOf crashes the executor of a run.
func (d *deployment) crashOf(r run) {
	for _, e := range d.executors {
		if e.id == r.Executor {
			e.crash()
		}
	}
}
