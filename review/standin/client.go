package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// maxAttempts is how often a task or a gang of a queue may fail.
const maxAttempts = 4

// requestTimeout is how long a client waits for a response.
const requestTimeout = 3 * time.Second

// ask sends one request to a member and returns the status and the body; the status is 0 without a
// response.
func (w *world) ask(m *member, method, host, path, body string) (int, string) {
	r, err := http.NewRequest(method, "http://"+m.callers+path, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Milliseconds", fmt.Sprint(requestTimeout.Milliseconds()))
	client := http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close() //nolint:errcheck // the body was read
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(data)
}

// running returns the members that have not ended.
func (w *world) runningMembers() []*member {
	w.mu.Lock()
	defer w.mu.Unlock()
	var running []*member
	for _, m := range w.members {
		select {
		case <-m.ended:
		default:
			running = append(running, m)
		}
	}
	return running
}

// submit hands in a job, again with the same ID until it is accepted or the time is over. It returns
// whether it was accepted.
func (w *world) submit(host, prefix, id, body string, timeout time.Duration) bool {
	end := time.Now().Add(timeout)
	for try := 0; time.Now().Before(end); try++ {
		members := w.runningMembers()
		m := members[try%len(members)]
		status, _ := w.ask(m, "POST", host, prefix+id, body)
		w.log("client POST %s%s at %s: %d", prefix, id, m.name, status)
		if status >= 200 && status < 300 {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// jobState returns a job's state as a member shows it, empty without one.
func (w *world) jobState(host, prefix, id string) string {
	for _, m := range w.runningMembers() {
		status, body := w.ask(m, "GET", host, prefix+id, "")
		if status == http.StatusGone {
			return "410"
		}
		var state struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(body), &state) == nil {
			return state.State
		}
	}
	return ""
}

// runs are all runs of a case so far.
type runs struct{ list []*run }

// allRuns holds the runs; world.mu guards it.
var allRuns runs

func (w *world) addRun(r *run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	allRuns.list = append(allRuns.list, r)
}

// runsSoFar returns all runs.
func (w *world) runsSoFar() []*run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*run(nil), allRuns.list...)
}

// configure writes a configuration with a route for each service. Services named standby are off.
func (w *world) configure(routes []route, services []string, standby string) {
	rows, pools := []map[string]any{}, []map[string]any{}
	for _, r := range routes {
		rows = append(rows, map[string]any{
			"name": "r-" + r.service, "host": r.host, "prefix": r.prefix, "kind": "unsafe", "timeout_ms": 3000,
			"target_latency_ms": 600, "priority": 0, "service": r.service, "max_attempts": maxAttempts, "slack_factor": r.slack,
		})
	}
	for _, s := range services {
		pools = append(pools, map[string]any{"name": s, "admission_control": true, "standby": s == standby})
	}
	value, err := json.Marshal(map[string]any{"version": 7, "routes": rows, "services": pools, "limits": map[string]any{}})
	if err != nil {
		panic(err) // unreachable: the configuration always encodes
	}
	w.fleet.standby = standby
	w.store.put("op/config", value)
}

// route is a queue of the configuration.
type route struct {
	host, prefix, service string
	slack                 float64
}

// jobBody returns the body of a job with one step.
func jobBody(count, cpu, memory, estimate int, work workload, more map[string]any) string {
	specification, err := json.Marshal(work)
	if err != nil {
		panic(err) // unreachable: a workload always encodes
	}
	step := map[string]any{"count": count, "cpu": cpu, "task_memory_mb": memory, "estimated_duration_ms": estimate}
	for key, value := range more {
		step[key] = value
	}
	body, err := json.Marshal(map[string]any{"specification": string(specification), "steps": []any{step}})
	if err != nil {
		panic(err) // unreachable: a job always encodes
	}
	return string(body)
}
