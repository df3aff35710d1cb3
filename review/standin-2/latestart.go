package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// lateStart: the first order to start a task gets no answer and is delivered late. A further order
// starts the task, which is done and noted. The executor crashes and starts again under its identifier
// before the late order arrives.
func lateStart(d *deployment, trouble bool) ([]string, error) {
	if err := d.addService("work", 8, 16000, true); err != nil {
		return nil, err
	}
	d.addQueue("q", "work", nil)
	var delayed atomic.Pointer[executor]
	const lateness = 6 * time.Second
	for _, e := range d.executors {
		direct := e.address
		proxy, err := serve(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			var buffer bytes.Buffer
			_, _ = buffer.ReadFrom(q.Body)
			var c call
			_ = json.Unmarshal(buffer.Bytes(), &c)
			deliver := func(request *http.Request) (*http.Response, error) {
				forwarded, err := http.NewRequestWithContext(request.Context(), q.Method, "http://"+direct+q.URL.Path, bytes.NewReader(buffer.Bytes()))
				if err != nil {
					return nil, err
				}
				forwarded.Header = q.Header.Clone()
				return http.DefaultTransport.RoundTrip(forwarded)
			}
			if trouble && q.URL.Path == "/fulmardrum/run-start" && c.Text == "late" && delayed.CompareAndSwap(nil, e) {
				d.note("proxy holds the order to start %s run %d on %s back for %v", c.Task, c.Run, e.id, lateness)
				time.AfterFunc(lateness, func() {
					late, err := http.NewRequest(q.Method, "http://"+direct+q.URL.Path, nil)
					if err != nil {
						return
					}
					answer, err := deliver(late)
					d.note("proxy delivers the order to start %s run %d: %v", c.Task, c.Run, statusOf(answer, err))
				})
				<-q.Context().Done()
				panic(http.ErrAbortHandler)
			}
			answer, err := deliver(q)
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			defer func() { _ = answer.Body.Close() }()
			var text bytes.Buffer
			_, _ = text.ReadFrom(answer.Body)
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(answer.StatusCode)
			_, _ = w.Write(text.Bytes())
		}))
		if err != nil {
			return nil, err
		}
		e.mu.Lock()
		e.proxied = proxy
		e.mu.Unlock()
	}
	time.Sleep(heartbeat + 500*time.Millisecond)
	if err := d.startMembers(3); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	const id = "00000000000000a1"
	if !d.submit("q", id, &job{Specification: "late", Steps: []step{{Count: 1, CPU: 1000, Memory: 100, Estimate: 500, duration: 500 * time.Millisecond}}}) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	if !await(5*time.Second, func() bool { runs := d.runsOf(id); return len(runs) > 0 && runs[0].NotedAt > 0 }) {
		return nil, fmt.Errorf("the task was not done")
	}
	d.state("q", id)
	if trouble {
		e := delayed.Load()
		if e == nil {
			return nil, fmt.Errorf("no order was held back")
		}
		time.Sleep(time.Second)
		e.crash()
		time.Sleep(time.Second)
		if err := e.begin(); err != nil {
			return nil, err
		}
	}
	time.Sleep(lateness + 2*time.Second)
	d.state("q", id)
	return twice(d.allRuns()), nil
}

func statusOf(answer *http.Response, err error) string {
	if err != nil {
		return err.Error()
	}
	_ = answer.Body.Close()
	return answer.Status
}

// twice returns the runs that break TWICE: two runs of a task at the same time, or a start after a run
// has ended as done whose end was noted.
func twice(runs []run) []string {
	var found []string
	for i, r := range runs {
		for _, earlier := range runs[:i] {
			switch {
			case earlier.Task != r.Task:
			case earlier.End == 0 || earlier.End > r.Start:
				found = append(found, fmt.Sprintf("TWICE: %s run %d on %s starts at %.3f s while run %d is on %s", r.Task, r.Number, r.Executor, r.Start.Seconds(), earlier.Number, earlier.Executor))
			case earlier.How == "done" && earlier.NotedAt > 0:
				found = append(found, fmt.Sprintf("TWICE: %s run %d on %s starts at %.3f s, after run %d on %s ended done at %.3f s, noted at %.3f s", r.Task, r.Number, r.Executor, r.Start.Seconds(), earlier.Number, earlier.Executor, earlier.End.Seconds(), earlier.NotedAt.Seconds()))
			}
		}
	}
	return found
}
