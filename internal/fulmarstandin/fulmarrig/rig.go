// Package fulmarrig stands in for the platform on which fulmarnoded runs: its
// store, its API of VMs and its executors, each a server on the loopback address.
// The tests and the demonstration run members against it.
//
// Usage:
//
//	rig, err := fulmarrig.Start(fulmarrig.Options{Clock: clock, Pools: pools, Seed: 1})
//	defer rig.Close()
//	rig.Configure(document)        // as the operators do
//	settings.Store = rig.StoreAddress()
//	settings.Fleet = rig.FleetAddress()
//	…
//	rig.Runs()                     // what ran where, as the executors saw it
//
// Executors follow the contract of the platform: fencing tokens, run numbers,
// leases on their own clock, ends that are listed until they are acknowledged.
// Each records its runs; Runs returns them all, for checks of what must hold.
package fulmarrig

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	fulmaradapter "github.com/fulmardrum/fulmardrum/platform"
)

const readHeader = 5 * time.Second

// Pool is a pool of equal VMs.
type Pool struct {
	Service string
	VMs     int
	// MilliCPU and MemoryMB are the room of each VM.
	MilliCPU int64
	MemoryMB int64
	// PerRack is how many VMs share a rack.
	PerRack int
	Standby bool
}

// Options are the parts of a rig.
type Options struct {
	Clock fulmarclock.Clock
	Pools []Pool
	// MoveTime and UpkeepTime are how long a VM is away for a move and for its upkeep.
	MoveTime   fulmarclock.Millis
	UpkeepTime fulmarclock.Millis
	// MaxHold is the longest lease of what runs, StopTime how long a stop takes.
	MaxHold  fulmarclock.Millis
	StopTime fulmarclock.Millis
	// Front returns the address at which an executor is listed, which is to reach its own; nil lists its own.
	Front func(executor, address string) (string, error)
	// Behave returns how long a run takes and whether it then fails; nil runs each task for its declared time.
	Behave func(payload, task string, run int64) (fulmarclock.Millis, bool)
}

// Rig is a running stand-in of the platform.
type Rig struct {
	options Options
	store   *store
	fleet   *fleet

	mu      sync.Mutex
	servers []*http.Server
	serving sync.WaitGroup
	runs    []*Run
}

// Start serves the store, the API of VMs and the executors of all pools.
func Start(o Options) (*Rig, error) {
	r := &Rig{options: o}
	r.store = newStore(o.Clock)
	r.fleet = newFleet(r)
	storeAddress, err := r.serve(r.store.handler())
	if err != nil {
		return nil, err
	}
	r.store.address = storeAddress
	fleetAddress, err := r.serve(r.fleet.handler())
	if err != nil {
		r.Close()
		return nil, err
	}
	r.fleet.address = fleetAddress
	if err := r.fleet.open(); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// serve starts a server on a free port of the loopback address.
func (r *Rig) serve(handler http.Handler) (string, error) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", trace.ConvertSystemError(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeader}
	r.mu.Lock()
	r.servers = append(r.servers, server)
	r.mu.Unlock()
	r.serving.Go(func() { _ = server.Serve(socket) })
	return socket.Addr().String(), nil
}

// Close ends all servers and waits for them.
func (r *Rig) Close() {
	r.store.close()
	r.fleet.close()
	r.mu.Lock()
	servers := slices.Clone(r.servers)
	r.mu.Unlock()
	for _, s := range servers {
		_ = s.Close()
	}
	r.serving.Wait()
}

// StoreAddress and FleetAddress are where members reach the two services.
func (r *Rig) StoreAddress() string { return r.store.address }

// FleetAddress is where members reach the API of VMs.
func (r *Rig) FleetAddress() string { return r.fleet.address }

// Configure writes the operators' document.
func (r *Rig) Configure(document any) error {
	return r.write(fulmaradapter.ConfigurationKey, document)
}

// RequestWave writes the operators' request for a wave of upkeep.
func (r *Rig) RequestWave(number int64, vms []string, within fulmarclock.Millis, maxDown int) error {
	r.fleet.admitWave(number, vms)
	return r.write(fulmaradapter.WavePrefix+strconv.FormatInt(number, 10), map[string]any{
		"wave": number, "machines": vms, "duration_s": float64(within) / 1000, "upper_limit": maxDown,
	})
}

func (r *Rig) write(key string, document any) error {
	value, err := json.Marshal(document)
	if err != nil {
		return trace.Wrap(err)
	}
	r.store.put(key, value, 0)
	return nil
}

// Read returns the value of a key of the store.
func (r *Rig) Read(key string) ([]byte, bool) { return r.store.value(key) }

// SetStoreDown lets the store refuse all calls, or serve again.
func (r *Rig) SetStoreDown(down bool) { r.store.setDown(down) }

// VMs returns the names of all VMs by pool.
func (r *Rig) VMs(service string) []string { return r.fleet.names(service) }

// Crash ends the executor of a VM with all that runs there, and begins its next life after a time.
func (r *Rig) Crash(vm string, away fulmarclock.Millis) { r.fleet.crash(vm, away) }

// Run is one run of a task, as its executor saw it.
type Run struct {
	Task     string
	Number   int64
	Executor string
	VM       string
	Token    int64
	Began    fulmarclock.Millis
	// Ended is zero while the run lasts.
	Ended fulmarclock.Millis
	How   string
	// Noted tells that the end was acknowledged to its executor.
	Noted bool
}

// Check returns a line for each broken promise among runs in the order of their
// starts: two runs of a task at a time, a run after one whose end as done was
// acknowledged, run numbers or tokens that fall.
func Check(runs []Run) []string {
	var broken []string
	byTask := map[string][]Run{}
	for _, r := range runs {
		for _, earlier := range byTask[r.Task] {
			switch {
			case earlier.Ended == 0 || earlier.Ended > r.Began:
				broken = append(broken, fmt.Sprintf("two runs at a time: %+v and %+v", earlier, r))
			case earlier.How == string(fulmarjob.RunDone) && earlier.Noted:
				broken = append(broken, fmt.Sprintf("a run after an acknowledged end: %+v and %+v", earlier, r))
			case r.Number <= earlier.Number:
				broken = append(broken, fmt.Sprintf("run numbers fall: %+v and %+v", earlier, r))
			case r.Executor == earlier.Executor && r.Token < earlier.Token:
				broken = append(broken, fmt.Sprintf("tokens fall: %+v and %+v", earlier, r))
			}
		}
		byTask[r.Task] = append(byTask[r.Task], r)
	}
	return broken
}

func (r *Rig) begin(run *Run) {
	r.mu.Lock()
	r.runs = append(r.runs, run)
	r.mu.Unlock()
}

func (r *Rig) note(run *Run) {
	r.mu.Lock()
	run.Noted = true
	r.mu.Unlock()
}

func (r *Rig) finish(run *Run, at fulmarclock.Millis, how string) {
	r.mu.Lock()
	run.Ended, run.How = at, how
	r.mu.Unlock()
}

// Runs returns all runs so far in the order of their starts.
func (r *Rig) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := make([]Run, 0, len(r.runs))
	for _, run := range r.runs {
		runs = append(runs, *run)
	}
	return runs
}

// Moves returns how many moves and upkeeps of VMs were carried out.
func (r *Rig) Moves() (moves, upkeeps int) { return r.fleet.counts() }

// answer writes a JSON body.
func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// read decodes a JSON body and answers 400 to one that is malformed.
func read(w http.ResponseWriter, q *http.Request, target any) bool {
	if err := json.NewDecoder(q.Body).Decode(target); err != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return false
	}
	return true
}
