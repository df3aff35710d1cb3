package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// moveMillis is how long a machine moves to another pool.
const moveMillis = 1500

// machine is a machine of the platform.
type machine struct {
	name  string
	pool  string
	state string
	rack  string
	// lives counts the executors of the machine so far.
	lives    int
	executor *executor
}

// fleet simulates the platform's list of machines.
type fleet struct {
	world   *world
	address string

	mu       sync.Mutex
	machines []*machine
	// standby is the pool whose machines are off.
	standby string
}

func newFleet(w *world) *fleet { return &fleet{world: w} }

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
	e, err := f.world.startExecutor(fmt.Sprintf("i-%s-%d", m.name, m.lives), m.name, m.pool, m.rack)
	m.executor = e
	return err
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
	for _, m := range f.machines {
		if m.name == body.Machine {
			f.world.log("order by %s with token %s: machine %s moves from %s to %s, state %s", r.Header.Get("X-Duty-Holder"), r.Header.Get("X-Fencing-Token"), m.name, m.pool, body.Pool, m.state)
			f.move(rw, m, body.Pool)
			return
		}
	}
	respond(rw, http.StatusBadRequest, nil)
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
	m.pool, m.state = pool, "moving"
	time.AfterFunc(moveMillis*time.Millisecond, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if err := f.startLife(m); err != nil {
			f.world.log("machine %s did not arrive: %v", m.name, err)
		}
	})
	respond(rw, http.StatusOK, map[string]any{})
}
