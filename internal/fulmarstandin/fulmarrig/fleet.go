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

// States of a VM in the platform's VM list.
const (
	vmUp            = "up"
	vmMoving        = "moving"
	vmInMaintenance = "upkeep"
	vmDown          = "down"
)

// vm is a simulated VM. It runs one executor at a time.
type vm struct {
	name         string
	rack         string
	pool         Pool
	state        string
	incarnations int
	// executor is nil while the VM is down or on standby. During Rig.Restart it is the one that has ended.
	executor      *executor
	fencingToken  int64
	maintained    map[int64]bool
	admittedWaves map[int64]bool
	restartTimer  fulmarclock.Timer
	// lastHeartbeat is the time of a heartbeat: the last one while the executor sends none. heartbeatTimer expires or
	// renews the entry in the store.
	lastHeartbeat  fulmarclock.Millis
	heartbeatTimer fulmarclock.Timer
	isCutFromStore bool
}

// listedState returns the state in the VM list: a VM whose executor has yet to start again is down. The caller
// holds fleet.mu.
func (v *vm) listedState() string {
	if v.executor != nil && v.executor.hasCrashed() {
		return vmDown
	}
	return v.state
}

// fleet simulates the platform's VM API.
type fleet struct {
	rig     *Rig
	address string

	mu           sync.Mutex
	pools        map[string]Pool
	vms          []*vm
	moves        int
	maintenances int
	closed       bool
}

func newFleet(r *Rig) *fleet { return &fleet{rig: r, pools: map[string]Pool{}} }

// start creates the VMs of all pools and starts their executors.
func (f *fleet) start() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.rig.options.Pools {
		f.pools[p.Service] = p
		for i := range p.VMs {
			v := &vm{
				name: fmt.Sprintf("%s-%d", p.Service, i), rack: fmt.Sprintf("rack-%s-%d", p.Service, i/max(p.VMsPerRack, 1)),
				pool: p, state: vmUp, maintained: map[int64]bool{}, admittedWaves: map[int64]bool{},
			}
			f.vms = append(f.vms, v)
			if err := f.startExecutor(v); err != nil {
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
		if v.restartTimer != nil {
			v.restartTimer.Stop()
		}
		if v.heartbeatTimer != nil {
			v.heartbeatTimer.Stop()
		}
		if v.executor != nil {
			v.executor.crash(runLost)
			v.executor.endpoint.release()
		}
	}
}

// startExecutor starts a VM's next executor and registers it in the store. A VM of a
// standby pool gets none. The caller holds f.mu.
func (f *fleet) startExecutor(v *vm) error {
	v.state = vmUp
	if v.pool.Standby {
		return nil
	}
	v.incarnations++
	e := newExecutor(f.rig, v, fmt.Sprintf("x-%s-%d", v.name, v.incarnations))
	e.endpoint = newEndpoint(f.rig)
	e.endpoint.serveIncarnation(e)
	address, err := f.rig.serve(e.endpoint, e.endpoint.trackConnection)
	if err != nil {
		return err
	}
	if proxy := f.rig.options.ProxyExecutor; proxy != nil {
		if address, err = proxy(e.id, address); err != nil {
			return err
		}
	}
	e.address = address
	e.published = true
	v.executor = e
	return f.register(v)
}

// register writes the entry of a VM's executor to the store. It does nothing before the entry is to be
// published, nor while the executor is cut off from the store. The caller holds f.mu.
func (f *fleet) register(v *vm) error {
	e := v.executor
	if !e.published || v.isCutFromStore {
		return nil
	}
	value, err := json.Marshal(map[string]any{
		"service": v.pool.Service, "address": e.address, "zone": "dc-1", "version": "1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "sequence": e.incarnation, "born": e.incarnation, "machine": v.name, "labels": []string{"plain", v.rack},
		"capacity": map[string]int64{"cpu": e.capacity(), "task_memory_mb": v.pool.MemoryMB},
	})
	if err != nil {
		return err
	}
	f.rig.store.put(fulmaradapter.ExecutorPrefix+e.id, value, 0)
	v.lastHeartbeat = f.rig.options.Clock.Now()
	return nil
}

// stopExecutor crashes a VM's executor and removes its registration. The caller holds f.mu.
func (f *fleet) stopExecutor(v *vm, outcome string) {
	if v.executor == nil {
		return
	}
	v.executor.crash(outcome)
	v.executor.endpoint.release()
	f.rig.store.delete(fulmaradapter.ExecutorPrefix + v.executor.id)
	v.executor = nil
}

// takeDown stops a VM's executor and starts the next one after downtime. The caller holds f.mu.
func (f *fleet) takeDown(v *vm, state, outcome string, downtime fulmarclock.Millis) {
	f.stopExecutor(v, outcome)
	v.state = state
	v.restartTimer = f.rig.options.Clock.AfterFunc(downtime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !f.closed {
			_ = f.startExecutor(v)
		}
	})
}

// admitWave permits maintenance of the VMs of a wave.
func (f *fleet) admitWave(number int64, vms []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range vms {
		if v := f.find(name); v != nil {
			v.admittedWaves[number] = true
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

func (f *fleet) vmNames(service string) []string {
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

func (f *fleet) counts() (moves, maintenances int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.moves, f.maintenances
}

func (f *fleet) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /fulmardrum/machines", f.serveVMs)
	mux.HandleFunc("POST /fulmardrum/machine-move", f.serveMove)
	mux.HandleFunc("POST /fulmardrum/machine-upkeep", f.serveMaintenance)
	return mux
}

func (f *fleet) serveVMs(w http.ResponseWriter, _ *http.Request) {
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
		r := row{Machine: v.name, Pool: v.pool.Service, State: v.listedState(), Zone: "dc-1"}
		if v.executor != nil && r.State == vmUp {
			r.Executor = v.executor.id
		}
		rows = append(rows, r)
	}
	writeJSON(w, http.StatusOK, struct {
		Machines []row `json:"machines"`
	}{rows})
}

// vmCommand is the JSON body of a move or maintenance command. A move uses Pool, maintenance uses
// Wave.
type vmCommand struct {
	VM   string `json:"machine"`
	Pool string `json:"pool"`
	Wave int64  `json:"wave"`
}

// readCommand decodes a VM command and checks its VM and fencing token. It returns nil after
// it has rejected the command. The caller holds f.mu.
func (f *fleet) readCommand(w http.ResponseWriter, q *http.Request, c *vmCommand) *vm {
	if !readJSON(w, q, c) {
		return nil
	}
	v := f.find(c.VM)
	if v == nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return nil
	}
	token, _ := strconv.ParseInt(q.Header.Get("X-Fencing-Token"), 10, 64)
	if token < v.fencingToken {
		writeConflict(w, "fence")
		return nil
	}
	v.fencingToken = token
	return v
}

// writeConflict responds with status 409 and a reason code.
func writeConflict(w http.ResponseWriter, reason string) {
	writeJSON(w, http.StatusConflict, struct {
		Reason string `json:"reason"`
	}{reason})
}

func (f *fleet) serveMove(w http.ResponseWriter, q *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var c vmCommand
	v := f.readCommand(w, q, &c)
	if v == nil {
		return
	}
	pool, found := f.pools[c.Pool]
	switch {
	case !found:
		writeJSON(w, http.StatusBadRequest, struct{}{})
	case v.pool.Service == c.Pool:
		writeJSON(w, http.StatusOK, struct{}{})
	case v.listedState() != vmUp:
		writeConflict(w, "busy")
	default:
		f.moves++
		v.pool = pool
		f.takeDown(v, vmMoving, runLost, f.rig.options.MoveDuration)
		writeJSON(w, http.StatusOK, struct{}{})
	}
}

func (f *fleet) serveMaintenance(w http.ResponseWriter, q *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var c vmCommand
	v := f.readCommand(w, q, &c)
	if v == nil {
		return
	}
	switch {
	case !v.admittedWaves[c.Wave]:
		writeConflict(w, "wave")
	case v.maintained[c.Wave]:
		writeJSON(w, http.StatusOK, struct{}{})
	case v.listedState() != vmUp:
		writeConflict(w, "busy")
	default:
		f.maintenances++
		v.maintained[c.Wave] = true
		f.takeDown(v, vmInMaintenance, runLost, f.rig.options.MaintenanceDuration)
		writeJSON(w, http.StatusOK, struct{}{})
	}
}
