package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxHold is the longest lease of runs.
	maxHold = 10000
	// stopTime is the time that a stop takes.
	stopTime = 300
	// heartbeat is the time between two entries of an executor in the store.
	heartbeat = 1500 * time.Millisecond
)

// run is one run of a task at an executor.
type run struct {
	task   string
	number int64
	timer  *time.Timer
	// started is when the run began, on the case's clock.
	started int64
}

// executor is one life of a VM.
type executor struct {
	platform *platform
	id       string
	vm       *vm
	service  string
	born     int64
	began    time.Time
	address  string
	server   *http.Server
	// over is closed when the executor has ended.
	over chan struct{}

	mu       sync.Mutex
	state    string
	hangs    bool
	ended    bool
	token    int64
	lease    int64
	running  map[string]*run
	highest  map[string]int64
	finished [][]any
	sequence int64
	beats    int64
	changed  chan struct{}
}

// startExecutor starts the next executor of a VM and registers it in the store.
func (p *platform) startExecutor(v *vm, id string) (*executor, error) {
	e := &executor{
		platform: p, id: id, vm: v, service: v.pool, born: time.Now().UnixMilli(), began: time.Now(), state: "ready",
		running: map[string]*run{}, highest: map[string]int64{}, changed: make(chan struct{}), over: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fulmardrum/run-start", e.serveStart)
	mux.HandleFunc("POST /fulmardrum/run-stop", e.serveStop)
	mux.HandleFunc("POST /fulmardrum/hold", e.serveHold)
	mux.HandleFunc("POST /fulmardrum/pace", e.servePace)
	var err error
	if e.address, e.server, err = serve(e.guard(mux)); err != nil {
		return nil, err
	}
	if p.hasPaths {
		h, err := p.pathTo(v)
		if err != nil {
			return nil, err
		}
		h.setTarget(e.address)
		e.address = h.address
	}
	e.register()
	go e.beat()
	return e, nil
}

// guard rejects calls for other executors, and leaves calls without an answer while the executor hangs.
func (e *executor) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.Header.Get("X-Expected-Executor") != e.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if e.isHanging() {
			e.platform.record.logf("executor %s leaves %s without an answer", e.id, q.URL.Path)
			<-q.Context().Done()
			return
		}
		next.ServeHTTP(w, q)
	})
}

func (e *executor) isHanging() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.hangs
}

// setHangs makes the executor leave all calls without an answer, or answer again.
func (e *executor) setHangs(hangs bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hangs = hangs
	e.platform.record.logf("executor %s hangs: %t", e.id, hangs)
}

// countRuns returns the number of runs that are present.
func (e *executor) countRuns() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}

// runsTaskOf reports whether a task of a job runs.
func (e *executor) runsTaskOf(job string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for task := range e.running {
		if strings.HasPrefix(task, job) {
			return true
		}
	}
	return false
}

// vanish ends the executor without a word, for good. Its entry goes after three heartbeats of silence.
func (e *executor) vanish() {
	e.mu.Lock()
	e.hangs, e.ended = true, true
	for task, r := range e.running {
		r.timer.Stop()
		e.platform.ended(e, r, "lost")
		delete(e.running, task)
	}
	close(e.over)
	e.mu.Unlock()
	e.platform.lose(e)
	e.platform.record.logf("executor %s is lost for good", e.id)
	time.AfterFunc(3*heartbeat, func() { e.platform.store.remove("servers/" + e.id) })
}

// crash ends the executor and all that it knows, without a word.
func (e *executor) crash() {
	e.mu.Lock()
	e.hangs, e.ended = true, true
	for task, r := range e.running {
		r.timer.Stop()
		e.platform.ended(e, r, "crashed")
		delete(e.running, task)
	}
	close(e.over)
	e.mu.Unlock()
	e.platform.lose(e)
	_ = e.server.Close()
	e.platform.record.logf("executor %s, born %d, crashes", e.id, e.born)
}

// drain reports that the executor is about to leave.
func (e *executor) drain() {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	e.register()
	e.platform.record.logf("executor %s reports draining; the store has accepted it", e.id)
}

// clock returns the executor's clock in milliseconds.
func (e *executor) clock() int64 { return time.Since(e.began).Milliseconds() }

// beat writes the entry periodically and ends the runs whose lease has expired.
func (e *executor) beat() {
	beats, leases := time.NewTicker(heartbeat), time.NewTicker(20*time.Millisecond)
	defer beats.Stop()
	defer leases.Stop()
	for {
		select {
		case <-e.over:
			return
		case <-beats.C:
			e.register()
		case <-leases.C:
			e.mu.Lock()
			e.expire()
			e.mu.Unlock()
		}
	}
}

// register writes the executor's entry to the store.
func (e *executor) register() {
	e.mu.Lock()
	if e.ended {
		e.mu.Unlock()
		return
	}
	e.beats++
	entry := map[string]any{
		"service": e.service, "address": e.address, "zone": "zone-1", "version": "1", "slots": 8, "state": e.state,
		"cold_remaining_ms": 0, "sequence": e.beats, "born": e.born, "machine": e.vm.name, "labels": []string{"a", e.vm.rack},
		"capacity": map[string]int64{"cpu": cpuPerVM, "task_memory_mb": 32768, "gpus": 0},
	}
	if e.state == "draining" {
		entry["remaining_ms"] = 2000
	}
	e.mu.Unlock()
	value, err := json.Marshal(entry)
	if err == nil {
		e.platform.store.put("servers/"+e.id, value)
	}
}

// end ends the executor and everything that runs on it.
func (e *executor) end(how string) {
	e.mu.Lock()
	if e.ended {
		e.mu.Unlock()
		return
	}
	e.ended = true
	for task, r := range e.running {
		r.timer.Stop()
		e.platform.ended(e, r, how)
		delete(e.running, task)
	}
	close(e.over)
	e.mu.Unlock()
	_ = e.server.Close()
	e.platform.store.remove("servers/" + e.id)
	e.platform.record.logf("executor %s ends: %s", e.id, how)
}

type command struct {
	Task       string `json:"task"`
	Run        int64  `json:"run_number"`
	Payload    string `json:"specification"`
	Deadline   int64  `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
}

func (e *executor) refuse(w http.ResponseWriter, reason string) {
	writeJSON(w, http.StatusConflict, map[string]any{"clock_ms": e.clock(), "reason": reason})
}

// accepts checks the fencing token of a command. The caller holds e.mu.
func (e *executor) accepts(w http.ResponseWriter, token int64) bool {
	e.expire()
	if e.ended {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	if token < e.token {
		e.refuse(w, "fence")
		return false
	}
	e.token = token
	return true
}

func (e *executor) serveStart(w http.ResponseWriter, q *http.Request) {
	var c command
	if readJSON(w, q, &c) {
		e.start(w, c)
	}
}

// start carries out a start.
func (e *executor) start(w http.ResponseWriter, c command) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.accepts(w, c.Token) {
		return
	}
	active := e.running[c.Task]
	switch {
	case active != nil && active.number == c.Run:
	case c.Deadline < e.clock():
		e.refuse(w, "late")
		return
	case c.Run <= e.highest[c.Task]:
		e.extend(c.Deadline)
		e.refuse(w, "old")
		return
	default:
		e.begin(c)
	}
	writeJSON(w, http.StatusOK, map[string]int64{"clock_ms": e.clock()})
}

// begin begins a run. The payload is its duration in milliseconds; a task that lasts has none. The
// caller holds e.mu.
func (e *executor) begin(c command) {
	duration, err := strconv.Atoi(c.Payload)
	if err != nil {
		duration = int((24 * time.Hour).Milliseconds())
	}
	r := &run{task: c.Task, number: c.Run, started: e.platform.record.now()}
	r.timer = time.AfterFunc(time.Duration(duration)*time.Millisecond, func() { e.finish(c.Task, c.Run, "done") })
	e.running[c.Task], e.highest[c.Task] = r, c.Run
	e.extend(c.Deadline)
	e.platform.started(e, r)
}

func (e *executor) extend(deadline int64) { e.lease = max(e.lease, min(deadline, e.clock()+maxHold)) }

// expire ends everything once the lease has expired. The caller holds e.mu.
func (e *executor) expire() {
	if e.clock() <= e.lease {
		return
	}
	for task := range e.running {
		e.finishLocked(task, "lapsed")
	}
}

func (e *executor) finish(task string, number int64, how string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.running[task]; r != nil && r.number == number && !e.ended {
		e.finishLocked(task, how)
	}
}

func (e *executor) finishLocked(task, how string) {
	r := e.running[task]
	r.timer.Stop()
	delete(e.running, task)
	e.sequence++
	e.finished = append(e.finished, []any{e.sequence, task, r.number, how, ""})
	e.platform.ended(e, r, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *executor) serveStop(w http.ResponseWriter, q *http.Request) {
	var c command
	if !readJSON(w, q, &c) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.accepts(w, c.Token) {
		return
	}
	e.highest[c.Task] = max(e.highest[c.Task], c.Run)
	if r := e.running[c.Task]; r != nil && r.number <= c.Run {
		time.AfterFunc(stopTime*time.Millisecond, func() { e.finish(c.Task, r.number, "stopped") })
	}
	writeJSON(w, http.StatusOK, map[string]int64{"clock_ms": e.clock()})
}

func (e *executor) servePace(w http.ResponseWriter, q *http.Request) {
	var c command
	if !readJSON(w, q, &c) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.accepts(w, c.Token) {
		writeJSON(w, http.StatusOK, map[string]int64{"clock_ms": e.clock()})
	}
}

func (e *executor) serveHold(w http.ResponseWriter, q *http.Request) {
	var c struct {
		Deadline int64 `json:"deadline_ms"`
		Token    int64 `json:"fencing_token"`
		Cursor   int64 `json:"ack_cursor"`
		Wait     int64 `json:"wait_ms"`
	}
	if !readJSON(w, q, &c) {
		return
	}
	e.mu.Lock()
	if !e.accepts(w, c.Token) {
		e.mu.Unlock()
		return
	}
	if c.Deadline > 0 {
		e.extend(c.Deadline)
	}
	for len(e.finished) > 0 && e.finished[0][0].(int64) <= c.Cursor {
		e.platform.note(e, e.finished[0])
		e.finished = e.finished[1:]
	}
	changed, waits := e.changed, len(e.finished) == 0 && c.Wait > 0
	e.mu.Unlock()
	if waits {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(c.Wait, 2000)) * time.Millisecond):
		case <-q.Context().Done():
			return
		}
	}
	e.report(w)
}

// report responds with the runs and the ends.
func (e *executor) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	running := [][]any{}
	for task, r := range e.running {
		running = append(running, []any{task, r.number, "", 100, 0})
	}
	finished := e.finished[:min(len(e.finished), 500)]
	if finished == nil {
		finished = [][]any{}
	}
	writeJSON(w, http.StatusOK, map[string]any{"born": e.born, "clock_ms": e.clock(), "running": running, "finished": finished})
}
