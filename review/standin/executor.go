package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Figures of the executors, as the pages give them.
const (
	maxLeaseMillis      = 10000
	maxHoldWaitMillis   = 2000
	maxListedEnds       = 500
	stopMillis          = 100
	startupMillis       = 300
	entryRemovalSeconds = 4.5
)

// run is one run of a task on an executor.
type run struct {
	Task     string
	Number   int64
	Executor string
	// Started and Ended are in milliseconds of the case; Ended is -1 until the end.
	Started, Ended int64
	// How is how the run ended; TakenNoteAt is when ack_cursor reached the end, -1 before that.
	How         string
	TakenNoteAt int64
	// LapsedAfterEnd means that the executor's lease lapsed between the end and TakenNoteAt.
	LapsedAfterEnd bool

	job  workload
	stop *time.Timer
}

// workload is what the clients write into specification: how the stand-in's tasks behave.
type workload struct {
	// Millis is how long a task runs, StepMillis is added for each index. Zero: until it is stopped.
	Millis     int64 `json:"millis"`
	StepMillis int64 `json:"step_millis"`
	// Gang is the number of tasks that work only together, zero if each works by itself.
	Gang int `json:"gang,omitempty"`
}

// end is an end that was not taken note of.
type end struct {
	number int64
	run    *run
}

// executor simulates one life of a machine's executor.
type executor struct {
	world   *world
	id      string
	machine string
	service string
	rack    string
	address string
	cpu     int64
	memory  int64
	born    int64
	started time.Time
	server  *http.Server

	// grey executors fail each run as they start it.
	grey bool

	mu      sync.Mutex
	token   int64
	lease   int64
	running map[string]*run
	highest map[string]int64
	ends    []end
	number  int64
	gone    bool
	changed chan struct{}
}

// startExecutor starts an executor, behind a proxy if there is one, and writes its entry to the store.
func (w *world) startExecutor(id, machine, service, rack string, proxy executorProxy) (*executor, error) {
	e := &executor{
		world: w, id: id, machine: machine, service: service, rack: rack, cpu: 16000, memory: 32768,
		born: time.Now().UnixMilli(), started: time.Now(), running: map[string]*run{}, highest: map[string]int64{},
		changed: make(chan struct{}),
	}
	var err error
	if e.server, e.address, err = w.serve(e); err != nil {
		return nil, err
	}
	if proxy != nil {
		proxy.setTarget(e.address)
		e.address = proxy.listenAddress()
	}
	w.mu.Lock()
	w.executors = append(w.executors, e)
	w.mu.Unlock()
	go e.expireLease()
	e.publish()
	w.log("executor %s of machine %s starts in service %s", id, machine, service)
	return e, nil
}

// publish writes the executor's entry to the store.
func (e *executor) publish() {
	entry, err := json.Marshal(map[string]any{
		"service": e.service, "address": e.address, "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "capacity": map[string]int64{"cpu": e.cpu, "task_memory_mb": e.memory, "gpus": 0},
		"labels": []string{"a", e.rack}, "machine": e.machine, "born": e.born, "clock_ms": e.clock(), "sequence": 1,
	})
	if err != nil {
		panic(err) // unreachable: the entry always encodes
	}
	e.world.store.put("servers/"+e.id, entry)
}

// clock returns the executor's own clock.
func (e *executor) clock() int64 { return time.Since(e.started).Milliseconds() }

// crash ends the executor at once. Its entry is removed after three heartbeat intervals.
func (e *executor) crash() {
	e.end("crashed")
	time.AfterFunc(time.Duration(entryRemovalSeconds*float64(time.Second)), func() { e.world.store.delete("servers/" + e.id) })
}

// leave ends the executor and removes its entry.
func (e *executor) leave() {
	e.end("left")
	e.world.store.delete("servers/" + e.id)
}

func (e *executor) end(how string) {
	e.mu.Lock()
	e.gone = true
	for _, r := range e.running {
		e.endRun(r, how)
	}
	e.mu.Unlock()
	e.world.log("executor %s of machine %s %s", e.id, e.machine, how)
	_ = e.server.Close() // its connections end with it
}

// ServeHTTP serves one call.
func (e *executor) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-Expected-Executor") != e.id {
		respond(rw, http.StatusMisdirectedRequest, nil)
		return
	}
	switch r.URL.Path {
	case "/fulmardrum/run-start":
		e.serveStart(rw, r)
	case "/fulmardrum/run-stop":
		e.serveStop(rw, r)
	case "/fulmardrum/hold":
		e.serveHold(rw, r)
	case "/fulmardrum/pace":
		respond(rw, http.StatusOK, map[string]int64{"clock_ms": e.clock(), "born": e.born})
	default:
		respond(rw, http.StatusNotFound, nil)
	}
}

// command is the body of a call to an executor.
type command struct {
	Task          string `json:"task"`
	Number        int64  `json:"run_number"`
	Specification string `json:"specification"`
	Deadline      int64  `json:"deadline_ms"`
	Token         int64  `json:"fencing_token"`
	Cursor        int64  `json:"ack_cursor"`
	Wait          int64  `json:"wait_ms"`
}

// refuse responds with 409. The caller holds e.mu.
func (e *executor) refuse(rw http.ResponseWriter, reason string) {
	respond(rw, http.StatusConflict, map[string]any{"clock_ms": e.clock(), "born": e.born, "reason": reason})
}

// checkToken refuses a command with a lower fencing token than seen. The caller holds e.mu.
func (e *executor) checkToken(rw http.ResponseWriter, token int64) bool {
	if e.gone {
		panic(http.ErrAbortHandler)
	}
	if token < e.token {
		e.refuse(rw, "fence")
		return false
	}
	e.token = token
	return true
}

// extendLease extends the lease of everything that runs. The caller holds e.mu.
func (e *executor) extendLease(deadline int64) {
	e.lease = max(e.lease, min(deadline, e.clock()+maxLeaseMillis))
}

// expireLease ends everything that runs while the lease has expired, until the executor ends.
func (e *executor) expireLease() {
	for {
		time.Sleep(5 * time.Millisecond)
		e.mu.Lock()
		if e.gone {
			e.mu.Unlock()
			return
		}
		if e.lease > 0 && e.clock() >= e.lease {
			for _, f := range e.ends {
				f.run.LapsedAfterEnd = true
			}
			for _, r := range e.running {
				e.endRun(r, "lapsed")
			}
		}
		e.mu.Unlock()
	}
}

func (e *executor) serveStart(rw http.ResponseWriter, r *http.Request) {
	var c command
	if !decode(rw, r, &c) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.checkToken(rw, c.Token) {
		return
	}
	if current := e.running[c.Task]; current != nil && current.Number == c.Number {
		respond(rw, http.StatusOK, map[string]int64{"clock_ms": e.clock(), "born": e.born})
		return
	}
	if c.Deadline < e.clock() {
		e.refuse(rw, "late")
		return
	}
	e.extendLease(c.Deadline)
	if c.Number <= e.highest[c.Task] {
		e.refuse(rw, "old")
		return
	}
	e.begin(c)
	respond(rw, http.StatusOK, map[string]int64{"clock_ms": e.clock(), "born": e.born})
}

// begin starts a run. The caller holds e.mu.
func (e *executor) begin(c command) {
	started := &run{Task: c.Task, Number: c.Number, Executor: e.id, Started: e.world.now(), Ended: -1, TakenNoteAt: -1}
	if err := json.Unmarshal([]byte(c.Specification), &started.job); err != nil {
		panic(err) // the clients of the case write only workloads
	}
	e.highest[c.Task] = c.Number
	e.running[c.Task] = started
	e.world.addRun(started)
	e.world.log("start %s run %d on %s", c.Task, c.Number, e.id)
	switch {
	case e.grey:
		e.endRun(started, "failed")
		return
	case started.job.Gang > 0:
		e.world.joinGang(e, started)
		return
	case started.job.Millis == 0:
		return
	}
	var index int64
	for i := len(c.Task) - 1; c.Task[i] != '.'; i-- {
		index = 0
		_, _ = fmt.Sscan(c.Task[i:], &index) // the digits after the last dot
	}
	length := time.Duration(started.job.Millis+index*started.job.StepMillis) * time.Millisecond
	started.stop = time.AfterFunc(length, func() { e.endIfRunning(started, "done") })
}

// endRun ends a run and lists its end. The caller holds e.mu.
func (e *executor) endRun(r *run, how string) {
	if r.stop != nil {
		r.stop.Stop()
	}
	delete(e.running, r.Task)
	e.number++
	r.Ended, r.How = e.world.now(), how
	e.ends = append(e.ends, end{e.number, r})
	e.world.log("end %s run %d on %s: %s, number %d", r.Task, r.Number, e.id, how, e.number)
	close(e.changed)
	e.changed = make(chan struct{})
	if r.job.Gang > 0 {
		e.world.breakGang(r)
	}
}

// endIfRunning ends a run unless it has ended.
func (e *executor) endIfRunning(r *run, how string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[r.Task] == r {
		e.endRun(r, how)
	}
}

func (e *executor) serveStop(rw http.ResponseWriter, r *http.Request) {
	var c command
	if !decode(rw, r, &c) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.checkToken(rw, c.Token) {
		return
	}
	e.world.log("stop %s run %d on %s", c.Task, c.Number, e.id)
	e.highest[c.Task] = max(e.highest[c.Task], c.Number)
	if current := e.running[c.Task]; current != nil && current.Number <= c.Number {
		time.AfterFunc(stopMillis*time.Millisecond, func() { e.endIfRunning(current, "stopped") })
	}
	respond(rw, http.StatusOK, map[string]int64{"clock_ms": e.clock(), "born": e.born})
}

func (e *executor) serveHold(rw http.ResponseWriter, r *http.Request) {
	var c command
	if !decode(rw, r, &c) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.checkToken(rw, c.Token) {
		return
	}
	if c.Deadline > 0 {
		e.extendLease(c.Deadline)
	}
	for len(e.ends) > 0 && e.ends[0].number <= c.Cursor {
		e.ends[0].run.TakenNoteAt = e.world.now()
		e.ends = e.ends[1:]
	}
	if c.Wait > 0 && len(e.ends) == 0 {
		e.awaitEnd(r, min(c.Wait, maxHoldWaitMillis))
	}
	if e.gone || r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	e.report(rw)
}

// awaitEnd waits until a run ends. The caller holds e.mu, which is released meanwhile.
func (e *executor) awaitEnd(r *http.Request, wait int64) {
	changed := e.changed
	e.mu.Unlock()
	defer e.mu.Lock()
	select {
	case <-changed:
	case <-time.After(time.Duration(wait) * time.Millisecond):
	case <-r.Context().Done():
	}
}

// report responds with both lists, at most maxListedEnds ends. The caller holds e.mu.
func (e *executor) report(rw http.ResponseWriter) {
	running, finished := [][]any{}, [][]any{}
	for _, r := range e.running {
		percent := 0
		if e.world.now()-r.Started >= startupMillis {
			percent = 100
		}
		running = append(running, []any{r.Task, r.Number, "", percent, 0})
	}
	for _, f := range e.ends[:min(len(e.ends), maxListedEnds)] {
		finished = append(finished, []any{f.number, f.run.Task, f.run.Number, f.run.How, ""})
	}
	if len(e.ends) > maxListedEnds {
		e.world.log("hold on %s lists %d of %d ends", e.id, maxListedEnds, len(e.ends))
	}
	respond(rw, http.StatusOK, map[string]any{"clock_ms": e.clock(), "born": e.born, "running": running, "finished": finished})
}
