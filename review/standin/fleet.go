package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// moveMillis is how long a machine moves to another pool, upkeepMillis how long its upkeep takes.
const (
	moveMillis   = 1500
	upkeepMillis = 2000
)

// executorProxy is a proxy between the members and the executors of a machine.
type executorProxy interface {
	// setTarget sets the address of the present executor; listenAddress is the address for the members.
	setTarget(address string)
	listenAddress() string
}

// machine is a machine of the platform.
type machine struct {
	name  string
	pool  string
	state string
	rack  string
	// lives counts the executors of the machine so far.
	lives    int
	executor *executor
	// proxy serves the address of the machine's executors, if the case uses one.
	proxy executorProxy
}

// order is a command about a machine, as it arrived at the platform.
type order struct {
	At      int64
	Machine string
	Call    string
	Holder  string
	Token   int64
}

// upkeepKey identifies the upkeep of a machine in a wave.
type upkeepKey struct {
	wave    int
	machine string
}

// fleet simulates the platform's list of machines.
type fleet struct {
	world   *world
	address string

	mu       sync.Mutex
	machines []*machine
	orders   []order
	// upkeeps are the requested upkeeps, true once they have begun.
	upkeeps map[upkeepKey]bool
	// standby is the pool whose machines are off.
	standby string
}

func newFleet(w *world) *fleet { return &fleet{world: w, upkeeps: map[upkeepKey]bool{}} }

// addWave makes the upkeep of a machine in a wave known.
func (f *fleet) addWave(wave int, machine string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.upkeeps[upkeepKey{wave, machine}] = false
}

// ordersSoFar returns the commands in the order of their arrival.
func (f *fleet) ordersSoFar() []order {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]order(nil), f.orders...)
}

// add adds a machine to a pool and starts its executor, unless the pool is on standby.
func (f *fleet) add(name, pool, rack string) (*machine, error) {
	m := &machine{name: name, pool: pool, rack: rack, state: "up"}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.machines = append(f.machines, m)
	return m, f.startLife(m)
}

// startLife starts the next executor of a machine. The caller holds f.mu.
func (f *fleet) startLife(m *machine) error {
	m.state = "up"
	if m.pool == f.standby {
		return nil
	}
	m.lives++
	return f.startExecutor(m, fmt.Sprintf("i-%s-%d", m.name, m.lives))
}

// startExecutor starts an executor of a machine with an identifier. The caller holds f.mu.
func (f *fleet) startExecutor(m *machine, id string) error {
	if f.world.newProxy != nil && m.proxy == nil {
		proxy, err := f.world.newProxy()
		if err != nil {
			return err
		}
		m.proxy = proxy
	}
	e, err := f.world.startExecutor(id, m.name, m.pool, m.rack, m.proxy)
	m.executor = e
	return err
}

// restart crashes the executor of a machine, which starts again under its identifier after a time.
func (f *fleet) restart(m *machine, down time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m.state = "down"
	m.executor.end("crashed")
	time.AfterFunc(down, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		m.state = "up"
		if err := f.startExecutor(m, m.executor.id); err != nil {
			f.world.log("machine %s did not restart: %v", m.name, err)
		}
	})
}

// crash crashes the executor of a machine, which is back after a time.
func (f *fleet) crash(m *machine, down time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m.state = "down"
	m.executor.crash()
	time.AfterFunc(down, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if err := f.startLife(m); err != nil {
			f.world.log("machine %s did not come back: %v", m.name, err)
		}
	})
}

// ServeHTTP serves one call.
func (f *fleet) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/fulmardrum/machines":
		f.serveList(rw)
	case "/fulmardrum/machine-move":
		f.serveMove(rw, r)
	case "/fulmardrum/machine-upkeep":
		f.serveUpkeep(rw, r)
	default:
		respond(rw, http.StatusNotFound, nil)
	}
}

func (f *fleet) serveList(rw http.ResponseWriter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows := []map[string]any{}
	for _, m := range f.machines {
		row := map[string]any{
			"machine": m.name, "pool": m.pool, "state": m.state, "zone": "zone-a", "labels": []string{"a", m.rack},
			"capacity": map[string]int64{"cpu": 16000, "task_memory_mb": 32768, "gpus": 0}, "identifier": "",
		}
		if m.executor != nil && m.state == "up" && m.pool != f.standby {
			row["identifier"] = m.executor.id
		}
		rows = append(rows, row)
	}
	respond(rw, http.StatusOK, map[string]any{"machines": rows, "next_page_token": nil})
}

func (f *fleet) serveMove(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
	}
	if !decode(rw, r, &body) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.takeOrder(r, "move to "+body.Pool, body.Machine)
	if m := f.find(body.Machine); m != nil {
		f.move(rw, m, body.Pool)
		return
	}
	respond(rw, http.StatusBadRequest, nil)
}

// takeOrder adds a command to the list. The caller holds f.mu.
func (f *fleet) takeOrder(r *http.Request, call, name string) {
	token, _ := strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64) // a missing token counts as 0
	o := order{At: f.world.now(), Machine: name, Call: call, Holder: r.Header.Get("X-Duty-Holder"), Token: token}
	f.orders = append(f.orders, o)
	state := "unknown"
	if m := f.find(name); m != nil {
		state = m.state
	}
	f.world.log("order of %s with token %d: %s of machine %s, whose state is %s", o.Holder, o.Token, call, name, state)
}

// find returns a machine by its name, nil if there is none. The caller holds f.mu.
func (f *fleet) find(name string) *machine {
	for _, m := range f.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

func (f *fleet) serveUpkeep(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	if !decode(rw, r, &body) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.takeOrder(r, fmt.Sprintf("upkeep for wave %d", body.Wave), body.Machine)
	m := f.find(body.Machine)
	begun, requested := f.upkeeps[upkeepKey{body.Wave, body.Machine}]
	switch {
	case m == nil:
		respond(rw, http.StatusBadRequest, nil)
	case !requested:
		respond(rw, http.StatusConflict, map[string]string{"reason": "wave"})
	case begun:
		respond(rw, http.StatusOK, map[string]any{})
	case m.state != "up":
		respond(rw, http.StatusConflict, map[string]string{"reason": "busy"})
	default:
		f.upkeeps[upkeepKey{body.Wave, body.Machine}] = true
		f.world.log("machine %s goes down for wave %d", m.name, body.Wave)
		m.executor.leave()
		f.comeBack(m, "upkeep", upkeepMillis)
		respond(rw, http.StatusOK, map[string]any{})
	}
}

// comeBack starts the next executor of a machine after a time. The caller holds f.mu.
func (f *fleet) comeBack(m *machine, state string, millis int) {
	m.state = state
	time.AfterFunc(time.Duration(millis)*time.Millisecond, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if err := f.startLife(m); err != nil {
			f.world.log("machine %s did not come back: %v", m.name, err)
		}
	})
}

// move moves a machine. The caller holds f.mu.
func (f *fleet) move(rw http.ResponseWriter, m *machine, pool string) {
	if m.pool == pool {
		respond(rw, http.StatusOK, map[string]any{})
		return
	}
	if m.state != "up" {
		respond(rw, http.StatusConflict, map[string]string{"reason": "busy"})
		return
	}
	if m.executor != nil && m.pool != f.standby {
		m.executor.leave()
	}
	m.pool = pool
	f.comeBack(m, "moving", moveMillis)
	respond(rw, http.StatusOK, map[string]any{})
}
