package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// cpuPerVM is the capacity of each executor in thousandths of a core.
	cpuPerVM = 16000
	// standbyPool is the service whose VMs are off.
	standbyPool = "spare"
	// migration is how long a move takes.
	migration = 1500 * time.Millisecond
)

// vm is a machine of the fleet.
type vm struct {
	name, rack string
	pool       string
	state      string
	lives      int
	executor   *executor
	path       *path
}

// start is the start of a run, as its executor saw it.
type start struct {
	at       int64
	executor string
	task     string
	number   int64
}

// platform is the store, the VM API and the executors. The VM API doesn't check fences.
type platform struct {
	record *record
	store  *store

	storeAddress, fleetAddress string

	mu  sync.Mutex
	vms []*vm

	// startsMu may be locked while an executor is, which may be locked while mu is.
	startsMu sync.Mutex
	starts   []start
	// present counts the runs of each task, ends has the time of its last end.
	present map[string]int
	ends    map[string]int64
	// noted has the time at which the owner took note of a task's first end that was done.
	noted map[string]int64

	// hasPaths means that each executor is behind a path.
	hasPaths bool
	held     *heldCall
}

// newPlatform starts the platform with pools of VMs by service; racks hold four VMs.
func newPlatform(r *record, pools map[string]int, order []string) (*platform, error) {
	return startPlatform(r, pools, order, false)
}

// newPlatformWithPaths is newPlatform with a path before each executor.
func newPlatformWithPaths(r *record, pools map[string]int, order []string) (*platform, error) {
	return startPlatform(r, pools, order, true)
}

func startPlatform(r *record, pools map[string]int, order []string, hasPaths bool) (*platform, error) {
	p := &platform{record: r, store: newStore(), present: map[string]int{}, ends: map[string]int64{}, noted: map[string]int64{}, held: newHeldCall(), hasPaths: hasPaths}
	var err error
	if p.storeAddress, _, err = serve(p.store.handler()); err != nil {
		return nil, err
	}
	if p.fleetAddress, _, err = serve(p.fleetHandler()); err != nil {
		return nil, err
	}
	for _, pool := range order {
		for i := range pools[pool] {
			v := &vm{name: fmt.Sprintf("m-%s-%d", pool, i), rack: fmt.Sprintf("r-%s-%d", pool, i/4), pool: pool, state: "up"}
			p.vms = append(p.vms, v)
			if err := p.boot(v); err != nil {
				return nil, err
			}
		}
	}
	return p, nil
}

// boot starts the next executor of a VM, unless the VM is on standby.
func (p *platform) boot(v *vm) error {
	v.state = "up"
	if v.pool == standbyPool {
		v.executor = nil
		return nil
	}
	v.lives++
	e, err := p.startExecutor(v, fmt.Sprintf("x-%s-%d", v.name[2:], v.lives))
	if err != nil {
		return err
	}
	v.executor = e
	return nil
}

func (p *platform) started(e *executor, r *run) {
	p.record.logf("start task %s run %d at %s", r.task, r.number, e.id)
	p.startsMu.Lock()
	defer p.startsMu.Unlock()
	p.starts = append(p.starts, start{p.record.now(), e.id, r.task, r.number})
	p.present[r.task]++
}

func (p *platform) ended(e *executor, r *run, how string) {
	p.record.logf("end task %s run %d at %s: %s", r.task, r.number, e.id, how)
	p.startsMu.Lock()
	defer p.startsMu.Unlock()
	p.present[r.task]--
	p.ends[r.task] = p.record.now()
}

// lastEnd returns when the last run of a task ended, and whether it runs now.
func (p *platform) lastEnd(task string) (int64, bool) {
	p.startsMu.Lock()
	defer p.startsMu.Unlock()
	return p.ends[task], p.present[task] > 0
}

// note records that the owner has taken note of an end.
func (p *platform) note(e *executor, row []any) {
	p.record.logf("end of task %v run %v (%v) at %s is taken note of", row[1], row[2], row[3], e.id)
	p.startsMu.Lock()
	defer p.startsMu.Unlock()
	if task, isName := row[1].(string); isName && row[3] == "done" && p.noted[task] == 0 {
		p.noted[task] = p.record.now()
	}
}

// restart starts the next life of an executor that has crashed, under its ID.
func (p *platform) restart(e *executor) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next, err := p.startExecutor(e.vm, e.id)
	if err != nil {
		p.record.logf("executor %s can't start again: %v", e.id, err)
		return
	}
	e.vm.state, e.vm.executor = "up", next
	p.record.logf("executor %s, born %d, begins its next life", next.id, next.born)
}

// lose takes the VM of an executor that is lost for good off the pool.
func (p *platform) lose(e *executor) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.vm.state, e.vm.executor = "down", nil
}

// startsOf returns a copy of the starts so far.
func (p *platform) startsOf() []start {
	p.startsMu.Lock()
	defer p.startsMu.Unlock()
	return append([]start{}, p.starts...)
}

// configure writes the operators' configuration.
func (p *platform) configure(version int, queues []queue, services []string) {
	routes, list := []map[string]any{}, []map[string]any{}
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": q.name, "host": host, "prefix": q.prefix, "service": q.service, "priority": 0, "max_attempts": 4,
			"slack_factor": 4, "target_latency_ms": 600, "timeout_ms": 3000,
		})
	}
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "admission_control": true, "standby": s == standbyPool})
	}
	value, err := json.Marshal(map[string]any{"version": version, "routes": routes, "services": list, "limits": map[string]any{}})
	if err == nil {
		p.store.put("op/config", value)
	}
}

func (p *platform) fleetHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /fulmardrum/machines", p.serveMachines)
	mux.HandleFunc("POST /fulmardrum/machine-move", func(w http.ResponseWriter, q *http.Request) { p.serveOrder(w, q, "move") })
	mux.HandleFunc("POST /fulmardrum/machine-upkeep", func(w http.ResponseWriter, q *http.Request) { p.serveOrder(w, q, "upkeep") })
	return mux
}

func (p *platform) serveMachines(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := []map[string]any{}
	for _, v := range p.vms {
		row := map[string]any{
			"machine": v.name, "pool": v.pool, "state": v.state, "zone": "zone-1", "labels": []string{"a", v.rack},
			"capacity": map[string]int64{"cpu": cpuPerVM, "task_memory_mb": 32768, "gpus": 0}, "identifier": "",
		}
		if v.executor != nil {
			row["identifier"] = v.executor.id
		}
		rows = append(rows, row)
	}
	writeJSON(w, http.StatusOK, map[string]any{"machines": rows, "next_page_token": ""})
}

func (p *platform) serveOrder(w http.ResponseWriter, q *http.Request, kind string) {
	var c struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
	}
	if !readJSON(w, q, &c) {
		return
	}
	token, _ := strconv.ParseInt(q.Header.Get("X-Fencing-Token"), 10, 64)
	p.mu.Lock()
	defer p.mu.Unlock()
	status, reason := p.execute(kind, c.Machine, c.Pool)
	p.record.logf("order %s %s to %q from %s with token %d: %d %s", kind, c.Machine, c.Pool, q.Header.Get("X-Duty-Holder"), token, status, reason)
	if status == http.StatusConflict {
		writeJSON(w, status, map[string]string{"reason": reason})
		return
	}
	writeJSON(w, status, struct{}{})
}

// execute carries out an order. The caller holds p.mu.
func (p *platform) execute(kind, name, pool string) (int, string) {
	v := p.find(name)
	switch {
	case v == nil:
		return http.StatusBadRequest, ""
	case kind == "upkeep":
		// No wave is requested.
		return http.StatusConflict, "wave"
	case v.pool == pool:
		return http.StatusOK, "already done"
	case v.state != "up":
		return http.StatusConflict, "busy"
	}
	old := v.executor
	v.state, v.pool, v.executor = "moving", pool, nil
	if old != nil {
		go old.end("its VM is ordered to " + kind)
	}
	time.AfterFunc(migration, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if err := p.boot(v); err != nil {
			p.record.logf("executor of %s can't start: %v", v.name, err)
		}
	})
	return http.StatusOK, ""
}

// find returns a VM by its name. The caller holds p.mu.
func (p *platform) find(name string) *vm {
	for _, v := range p.vms {
		if v.name == name {
			return v
		}
	}
	return nil
}

// byID returns the executor with an ID that is up, nil if there is none.
func (p *platform) byID(id string) *executor {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, v := range p.vms {
		if v.executor != nil && v.executor.id == id {
			return v.executor
		}
	}
	return nil
}

// executors returns the executors of a service that are up.
func (p *platform) executors(service string) []*executor {
	p.mu.Lock()
	defer p.mu.Unlock()
	var result []*executor
	for _, v := range p.vms {
		if v.executor != nil && v.executor.service == service {
			result = append(result, v.executor)
		}
	}
	return result
}
