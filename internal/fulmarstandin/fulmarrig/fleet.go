package fulmarrig

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	fulmaradapter "github.com/fulmardrum/fulmardrum/platform"
)

// States of a VM on the platform's list.
const (
	vmUp     = "up"
	vmMoving = "moving"
	vmUpkeep = "upkeep"
	vmDown   = "down"
)

// vm is a machine; an executor is one life of it.
type vm struct {
	name  string
	rack  string
	pool  Pool
	state string
	lives int
	// executor is nil while the VM is away or on standby.
	executor *executor
	token    int64
	upkeeps  map[int64]bool
	waves    map[int64]bool
	timer    fulmarclock.Timer
}

// fleet stands in for the platform's API of VMs.
type fleet struct {
	rig     *Rig
	address string

	mu      sync.Mutex
	pools   map[string]Pool
	vms     []*vm
	moves   int
	upkeeps int
	closed  bool
}

func newFleet(r *Rig) *fleet { return &fleet{rig: r, pools: map[string]Pool{}} }

// open starts the VMs of all pools.
func (f *fleet) open() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.rig.options.Pools {
		f.pools[p.Service] = p
		for i := range p.VMs {
			v := &vm{
				name: fmt.Sprintf("%s-%d", p.Service, i), rack: fmt.Sprintf("rack-%s-%d", p.Service, i/max(p.PerRack, 1)),
				pool: p, state: vmUp, upkeeps: map[int64]bool{}, waves: map[int64]bool{},
			}
			f.vms = append(f.vms, v)
			if err := f.beginLife(v); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, v := range f.vms {
		if v.timer != nil {
			v.timer.Stop()
		}
		if v.executor != nil {
			v.executor.crash("lost")
		}
	}
}

// beginLife starts a VM's executor and lists it, unless its pool stands by.
func (f *fleet) beginLife(v *vm) error {
	v.state = vmUp
	if v.pool.Standby {
		return nil
	}
	v.lives++
	e := newExecutor(f.rig, v, fmt.Sprintf("x-%s-%d", v.name, v.lives))
	address, err := f.rig.serve(e.handler())
	if err != nil {
		return err
	}
	if front := f.rig.options.Front; front != nil {
		if address, err = front(e.id, address); err != nil {
			return err
		}
	}
	v.executor = e
	entry, err := json.Marshal(map[string]any{
		"service": v.pool.Service, "address": address, "zone": "dc-1", "version": "1", "slots": 8, "state": "ready",
		"born": e.born, "machine": v.name, "labels": []string{"plain", v.rack},
		"capacity": map[string]int64{"cpu": v.pool.MilliCPU, "task_memory_mb": v.pool.MemoryMB},
	})
	if err != nil {
		return err
	}
	f.rig.store.put(fulmaradapter.ExecutorPrefix+e.id, entry, 0)
	return nil
}

func (f *fleet) endLife(v *vm, how string) {
	if v.executor == nil {
		return
	}
	v.executor.crash(how)
	f.rig.store.remove(fulmaradapter.ExecutorPrefix + v.executor.id)
	v.executor = nil
}

// away ends a VM's life and begins the next after a time.
func (f *fleet) away(v *vm, state, how string, time fulmarclock.Millis) {
	f.endLife(v, how)
	v.state = state
	v.timer = f.rig.options.Clock.AfterFunc(time, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !f.closed {
			_ = f.beginLife(v)
		}
	})
}

func (f *fleet) crash(name string, time fulmarclock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v := f.find(name); v != nil && v.state == vmUp {
		f.away(v, vmDown, "lost", time)
	}
}

func (f *fleet) admitWave(number int64, vms []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range vms {
		if v := f.find(name); v != nil {
			v.waves[number] = true
		}
	}
}

func (f *fleet) find(name string) *vm {
	i := slices.IndexFunc(f.vms, func(v *vm) bool { return v.name == name })
	if i < 0 {
		return nil
	}
	return f.vms[i]
}

func (f *fleet) names(service string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for _, v := range f.vms {
		if v.pool.Service == service {
			names = append(names, v.name)
		}
	}
	return names
}

func (f *fleet) counts() (moves, upkeeps int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.moves, f.upkeeps
}

func (f *fleet) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /fulmardrum/machines", f.serveList)
	mux.HandleFunc("POST /fulmardrum/machine-move", f.serveMove)
	mux.HandleFunc("POST /fulmardrum/machine-upkeep", f.serveUpkeep)
	return mux
}

func (f *fleet) serveList(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	type row struct {
		Machine  string `json:"machine"`
		Pool     string `json:"pool"`
		State    string `json:"state"`
		Zone     string `json:"zone"`
		Executor string `json:"identifier"`
	}
	rows := []row{}
	for _, v := range f.vms {
		r := row{Machine: v.name, Pool: v.pool.Service, State: v.state, Zone: "dc-1"}
		if v.executor != nil {
			r.Executor = v.executor.id
		}
		rows = append(rows, r)
	}
	answer(w, http.StatusOK, struct {
		Machines []row `json:"machines"`
	}{rows})
}

// vmOrder is the body of an order on a VM.
type vmOrder struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	Wave    int64  `json:"wave"`
}

// admit checks what both orders share and answers when the order can't be carried out.
func (f *fleet) admit(w http.ResponseWriter, q *http.Request, o *vmOrder) *vm {
	if !read(w, q, o) {
		return nil
	}
	v := f.find(o.Machine)
	if v == nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return nil
	}
	token, _ := strconv.ParseInt(q.Header.Get("X-Fencing-Token"), 10, 64)
	if token < v.token {
		refuse(w, "fence")
		return nil
	}
	v.token = token
	return v
}

func refuse(w http.ResponseWriter, reason string) {
	answer(w, http.StatusConflict, struct {
		Reason string `json:"reason"`
	}{reason})
}

func (f *fleet) serveMove(w http.ResponseWriter, q *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var o vmOrder
	v := f.admit(w, q, &o)
	if v == nil {
		return
	}
	pool, found := f.pools[o.Pool]
	switch {
	case !found:
		answer(w, http.StatusBadRequest, struct{}{})
	case v.pool.Service == o.Pool:
		answer(w, http.StatusOK, struct{}{})
	case v.state != vmUp:
		refuse(w, "busy")
	default:
		f.moves++
		v.pool = pool
		f.away(v, vmMoving, "lost", f.rig.options.MoveTime)
		answer(w, http.StatusOK, struct{}{})
	}
}

func (f *fleet) serveUpkeep(w http.ResponseWriter, q *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var o vmOrder
	v := f.admit(w, q, &o)
	if v == nil {
		return
	}
	switch {
	case !v.waves[o.Wave]:
		refuse(w, "wave")
	case v.upkeeps[o.Wave]:
		answer(w, http.StatusOK, struct{}{})
	case v.state != vmUp:
		refuse(w, "busy")
	default:
		f.upkeeps++
		v.upkeeps[o.Wave] = true
		f.away(v, vmUpkeep, "lost", f.rig.options.UpkeepTime)
		answer(w, http.StatusOK, struct{}{})
	}
}
