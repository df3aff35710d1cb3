package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// platform is what a case stands in for: the store, the machine API, the executors and the clients'
// knowledge of their jobs.
type platform struct {
	store     *store
	executors []*executor
	began     time.Time
	record    *os.File
	advise    func(step string, workers []string) (int, any)

	mu   sync.Mutex
	jobs map[string]*job
	runs []*run
}

func newPlatform(record *os.File) *platform {
	return &platform{store: newStore(), began: time.Now(), record: record, jobs: map[string]*job{}}
}

func (p *platform) now() time.Duration { return time.Since(p.began) }

// note writes a line to the record.
func (p *platform) note(format string, values ...any) {
	_, _ = fmt.Fprintf(p.record, "%9.3f s  %s\n", p.now().Seconds(), fmt.Sprintf(format, values...))
}

// serve serves on a free loopback port and returns its address.
func serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", host(0)+":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// addExecutor adds an executor on a machine of its own.
func (p *platform) addExecutor(service string, n int, capacity int64, guards bool) *executor {
	e := &executor{
		p: p, id: fmt.Sprintf("i-%s-%02d", service, n), machine: fmt.Sprintf("m-%s-%02d", service, n), service: service,
		rack: fmt.Sprintf("r-%d", n/4), capacity: capacity, guards: guards,
	}
	p.executors = append(p.executors, e)
	return e
}

func (p *platform) machineHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /fulmardrum/machines", func(w http.ResponseWriter, _ *http.Request) {
		rows := []map[string]any{}
		for _, e := range p.executors {
			e.mu.Lock()
			state := "up"
			if !e.alive {
				state = "down"
			}
			rows = append(rows, map[string]any{
				"machine": e.machine, "pool": e.service, "state": state, "zone": "zone-a", "labels": []string{"a", e.rack},
				"capacity": map[string]any{"cpu": e.capacity, "task_memory_mb": 32768, "gpus": 0}, "identifier": e.id,
			})
			e.mu.Unlock()
		}
		writeJSON(w, http.StatusOK, map[string]any{"machines": rows, "next_page_token": nil})
	})
	busy := func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "busy"})
	}
	mux.HandleFunc("POST /fulmardrum/machine-move", busy)
	mux.HandleFunc("POST /fulmardrum/machine-upkeep", busy)
	return mux
}

func (p *platform) adviceHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		var body struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		if !readJSON(w, q, &body) {
			return
		}
		if p.advise == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		status, answer := p.advise(body.Step, body.Workers)
		writeJSON(w, status, answer)
	})
}

// stepOf returns the step of a task, nil if no client has submitted its job.
func (p *platform) stepOf(task string) *step {
	id, _, number, index := taskOf(task)
	p.mu.Lock()
	defer p.mu.Unlock()
	j := p.jobs[id]
	if j == nil || number >= len(j.Steps) || index >= j.Steps[number].Count {
		return nil
	}
	return &j.Steps[number]
}

// beginRun records the start of a run. The caller holds the executor's lock.
func (p *platform) beginRun(e *executor, r *run, text string) {
	r.Start = p.now()
	p.mu.Lock()
	p.runs = append(p.runs, r)
	p.mu.Unlock()
	p.note("start %s run %d on %s born %d, checkpoint %q, text %.20q", r.Task, r.Number, e.id, e.born, r.Checkpoint, text)
}

// endRun records the end of a run. The caller holds the executor's lock.
func (p *platform) endRun(r *run, how string) {
	p.mu.Lock()
	r.End, r.How, r.ended = p.now(), how, true
	p.mu.Unlock()
	p.note("end %s run %d on %s: %s", r.Task, r.Number, r.Executor, how)
}

// noteLapse records that the lease of a run's executor has expired since the end of the run.
func (p *platform) noteLapse(r *run) {
	p.mu.Lock()
	r.Lapsed = true
	p.mu.Unlock()
}

// noted records that an acknowledgement has reached the end of a run.
func (p *platform) noted(r *run) {
	p.mu.Lock()
	r.NotedAt = p.now()
	p.mu.Unlock()
	p.note("noted %s run %d on %s: %s", r.Task, r.Number, r.Executor, r.How)
}

// allRuns returns copies of all runs in the order of their starts.
func (p *platform) allRuns() []run {
	p.mu.Lock()
	defer p.mu.Unlock()
	runs := make([]run, 0, len(p.runs))
	for _, r := range p.runs {
		runs = append(runs, run{
			Task: r.Task, Number: r.Number, Executor: r.Executor, Born: r.Born, Token: r.Token, Start: r.Start, End: r.End, How: r.How, Lapsed: r.Lapsed, NotedAt: r.NotedAt,
		})
	}
	slices.SortStableFunc(runs, func(a, b run) int { return int(a.Start - b.Start) })
	return runs
}

// runsOf returns the runs of a job's tasks.
func (p *platform) runsOf(id string) []run {
	return slices.DeleteFunc(p.allRuns(), func(r run) bool { return !strings.HasPrefix(r.Task, id+".") })
}
