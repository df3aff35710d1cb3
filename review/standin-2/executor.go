package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	heartbeat    = 1500 * time.Millisecond
	silentBeats  = 3
	maxHold      = 10 * time.Second
	stopDuration = 200 * time.Millisecond
	maxListed    = 500
)

// run is one run of a task, as its executor sees it. Times are since the start of the case.
type run struct {
	Task     string
	Number   int64
	Executor string
	Born     int64
	Token    int64
	Start    time.Duration
	End      time.Duration
	How      string
	// Lapsed is whether the executor's lease expired after the end, before that was noted.
	Lapsed bool
	// NotedAt is when an acknowledgement reached the end of the run, zero before.
	NotedAt    time.Duration
	Checkpoint string

	sequence int64
	spec     *step
	stopping bool
	ended    bool
	timer    *time.Timer
}

// executor is an executor at a fixed address. It may start again under its identifier.
type executor struct {
	p        *platform
	id       string
	machine  string
	service  string
	rack     string
	address  string
	proxied  string
	capacity int64
	guards   bool
	// intercept may answer or delay a call before the executor sees it; it returns true if it did.
	intercept func(w http.ResponseWriter, q *http.Request, call string, body []byte) bool
	// accepts checks the ticket of a start; nil if none is needed.
	accepts func(c call, executor string) bool

	mu       sync.Mutex
	server   *http.Server
	alive    bool
	born     int64
	started  time.Time
	token    int64
	lease    time.Duration
	running  map[string]*run
	highest  map[string]int64
	finished []*run
	sequence int64
	beats    int64
	changed  chan struct{}
}

// begin starts an incarnation; the first one chooses the address.
func (e *executor) begin() error {
	address := e.address
	if address == "" {
		address = host(0) + ":0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.address = listener.Addr().String()
	e.alive, e.started = true, time.Now()
	e.born = max(time.Now().UnixMilli(), e.born+1)
	e.token, e.lease, e.sequence, e.beats = 0, 0, 0, 0
	e.running, e.highest, e.finished = map[string]*run{}, map[string]int64{}, nil
	e.changed = make(chan struct{})
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	server, born := e.server, e.born
	e.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	go e.beat(born)
	go e.expire(born)
	e.p.note("executor %s begins at %s, born %d", e.id, e.address, born)
	return nil
}

// crash ends the incarnation and all that runs on it.
func (e *executor) crash() {
	e.mu.Lock()
	e.alive = false
	for _, r := range e.running {
		e.p.endRun(r, "gone")
	}
	server, born := e.server, e.born
	close(e.changed)
	e.mu.Unlock()
	_ = server.Close()
	e.p.note("executor %s crashes, born %d", e.id, born)
	time.AfterFunc(silentBeats*heartbeat, func() {
		e.mu.Lock()
		stillDown := !e.alive
		e.mu.Unlock()
		if stillDown {
			e.p.store.remove("servers/" + e.id)
		}
	})
}

func (e *executor) clock() time.Duration { return time.Since(e.started) }

func (e *executor) isCurrent(born int64) bool { return e.alive && e.born == born }

// beat writes the executor's entry in the store.
func (e *executor) beat(born int64) {
	for {
		e.mu.Lock()
		if !e.isCurrent(born) {
			e.mu.Unlock()
			return
		}
		entry := e.entry()
		e.mu.Unlock()
		e.p.store.put("servers/"+e.id, entry)
		time.Sleep(heartbeat)
	}
}

// entry returns the executor's next entry in the store. The caller holds e.mu.
func (e *executor) entry() map[string]any {
	e.beats++
	address := e.address
	if e.proxied != "" {
		address = e.proxied
	}
	return map[string]any{
		"service": e.service, "address": address, "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "sequence": e.beats, "born": e.born, "machine": e.machine,
		"capacity": map[string]any{"cpu": e.capacity, "task_memory_mb": 32768, "gpus": 0},
		"labels":   []string{"a", e.rack}, "clock_ms": e.clock().Milliseconds(),
	}
}

// expire kills everything once the lease has expired.
func (e *executor) expire(born int64) {
	for {
		time.Sleep(5 * time.Millisecond)
		e.mu.Lock()
		if !e.isCurrent(born) {
			e.mu.Unlock()
			return
		}
		if e.clock() > e.lease {
			for _, r := range e.finished {
				e.p.noteLapse(r)
			}
			for _, r := range e.running {
				e.end(r, "lapsed")
			}
		}
		e.mu.Unlock()
	}
}

// end ends a run and lists its end. The caller holds e.mu.
func (e *executor) end(r *run, how string) {
	if r.ended {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(e.running, r.Task)
	e.sequence++
	r.sequence = e.sequence
	e.p.endRun(r, how)
	e.finished = append(e.finished, r)
	close(e.changed)
	e.changed = make(chan struct{})
}

type call struct {
	Task       string `json:"task"`
	Run        int64  `json:"run_number"`
	Text       string `json:"specification"`
	Deadline   int64  `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	Ack        int64  `json:"ack_cursor"`
	Wait       int64  `json:"wait_ms"`
	Ticket     string `json:"ticket"`
}

func (e *executor) serve(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	name := q.URL.Path[len("/fulmardrum/"):]
	if e.intercept != nil && e.intercept(w, q, name, body) {
		return
	}
	if q.Header.Get("X-Expected-Executor") != e.id {
		writeJSON(w, http.StatusMisdirectedRequest, struct{}{})
		return
	}
	var c call
	if json.Unmarshal(body, &c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, answer := e.execute(q.Context(), name, c)
	writeJSON(w, status, answer)
}

// executeUnanswered carries out a call whose answer the caller does not get.
func (e *executor) executeUnanswered(q *http.Request, name string, body []byte) {
	var c call
	if q.Header.Get("X-Expected-Executor") == e.id && json.Unmarshal(body, &c) == nil {
		e.execute(q.Context(), name, c)
	}
}

// execute carries out a call.
func (e *executor) execute(ctx context.Context, name string, c call) (int, any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	refuse := func(reason string) (int, any) {
		return http.StatusConflict, map[string]any{"clock_ms": e.clock().Milliseconds(), "reason": reason}
	}
	if !e.alive {
		return http.StatusServiceUnavailable, struct{}{}
	}
	if c.Token < e.token {
		return refuse("fence")
	}
	e.token = c.Token
	switch name {
	case "run-start":
		if reason := e.start(c); reason != "" {
			return refuse(reason)
		}
	case "run-stop":
		e.stop(c)
	case "hold":
		return http.StatusOK, e.hold(ctx, c)
	}
	return http.StatusOK, map[string]any{"clock_ms": e.clock().Milliseconds()}
}

func (e *executor) extend(deadline int64) {
	e.lease = max(e.lease, min(time.Duration(deadline)*time.Millisecond, e.clock()+maxHold))
}

// start begins a run and returns the reason of a refusal.
func (e *executor) start(c call) string {
	if r := e.running[c.Task]; r != nil && r.Number == c.Run {
		return ""
	}
	if time.Duration(c.Deadline)*time.Millisecond < e.clock() {
		return "late"
	}
	e.extend(c.Deadline)
	if c.Run <= e.highest[c.Task] {
		return "old"
	}
	spec := e.p.stepOf(c.Task)
	if e.guards && spec != nil && e.load()+spec.CPU > e.capacity {
		return "room"
	}
	if e.accepts != nil && !e.accepts(c, e.id) {
		return "ticket"
	}
	r := &run{Task: c.Task, Number: c.Run, Executor: e.id, Born: e.born, Token: c.Token, Checkpoint: c.Checkpoint, spec: spec}
	e.running[c.Task], e.highest[c.Task] = r, c.Run
	e.p.beginRun(e, r, c.Text)
	e.schedule(r)
	return ""
}

// schedule plans the end of a run.
func (e *executor) schedule(r *run) {
	if r.spec == nil || r.spec.Lasting {
		return
	}
	_, _, _, index := taskOf(r.Task)
	r.timer = time.AfterFunc(r.spec.duration+time.Duration(index)*r.spec.spread, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.alive && e.running[r.Task] == r {
			e.end(r, "done")
		}
	})
}

// load returns the processor use of all runs, in thousandths of a core.
func (e *executor) load() int64 {
	sum := int64(0)
	for _, r := range e.running {
		if r.spec != nil {
			sum += r.spec.CPU
		}
	}
	return sum
}

func (e *executor) stop(c call) {
	e.highest[c.Task] = max(e.highest[c.Task], c.Run)
	r := e.running[c.Task]
	if r == nil || r.Number > c.Run || r.stopping {
		return
	}
	r.stopping = true
	time.AfterFunc(stopDuration, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.alive && e.running[r.Task] == r {
			e.end(r, "stopped")
		}
	})
}

// hold renews the lease, forgets the acknowledged ends and returns both lists. The caller holds e.mu.
func (e *executor) hold(ctx context.Context, c call) any {
	if c.Deadline > 0 {
		e.extend(c.Deadline)
	}
	for len(e.finished) > 0 && e.finished[0].sequence <= c.Ack {
		e.p.noted(e.finished[0])
		e.finished = e.finished[1:]
	}
	if len(e.finished) == 0 && c.Wait > 0 {
		changed, born := e.changed, e.born
		e.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		case <-time.After(time.Duration(c.Wait) * time.Millisecond):
		}
		e.mu.Lock()
		if !e.isCurrent(born) {
			panic(http.ErrAbortHandler)
		}
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range e.running {
		percent := 50
		if r.spec != nil && r.spec.Lasting && e.p.now()-r.Start > 300*time.Millisecond {
			percent = 100
		}
		running = append(running, []any{r.Task, r.Number, r.Checkpoint, percent})
	}
	for _, r := range e.finished[:min(len(e.finished), maxListed)] {
		finished = append(finished, []any{r.sequence, r.Task, r.Number, r.How, r.Checkpoint})
	}
	return map[string]any{"clock_ms": e.clock().Milliseconds(), "born": e.born, "running": running, "finished": finished}
}

func (e *executor) String() string { return fmt.Sprintf("%s (%s)", e.id, e.machine) }
