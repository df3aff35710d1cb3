// Package fulmarrig simulates the platform on which fulmarnoded runs: its key-value
// store, its VM API and its executors, each a server on the loopback address. Tests and
// the jobs command of fulmarbench run members against it.
//
// Usage:
//
//	rig, err := fulmarrig.Start(fulmarrig.Options{Clock: clock, Pools: pools})
//	defer rig.Close()
//	rig.SetConfiguration(document) // as the operators do
//	settings.Store = rig.StoreAddress()
//	settings.Fleet = rig.FleetAddress()
//	…
//	rig.Runs()                     // all runs, as the executors saw them
//
// Executors implement the platform's contract: they check fencing tokens and run numbers,
// keep leases on their own clocks and report each finished run until it is acknowledged.
// The clock of an incarnation begins anywhere.
// They may start again under the ID that they had, execute a call late, or be cut off from the store.
// The rig records all runs, so that FindViolations can check the scheduler's guarantees.
package fulmarrig

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
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

const (
	readHeaderTimeout = 5 * time.Second
	// The clock of an incarnation begins between these times.
	minFirstClock = 50 * fulmarclock.Second
	maxFirstClock = 9000 * fulmarclock.Second
)

// Pool describes a pool of identical VMs.
type Pool struct {
	Service string
	VMs     int
	// MilliCPU and MemoryMB are the capacity of each VM.
	MilliCPU int64
	MemoryMB int64
	// VMsPerRack is the number of VMs in a rack.
	VMsPerRack int
	Standby    bool
}

// Options configure a Rig. Durations are in milliseconds.
type Options struct {
	Clock fulmarclock.Clock
	// Seed determines what the rig draws.
	Seed  uint64
	Pools []Pool
	// MoveDuration and MaintenanceDuration are how long a VM is down for a move and for maintenance.
	MoveDuration        fulmarclock.Millis
	MaintenanceDuration fulmarclock.Millis
	// MaxLease is the longest lease of runs. StopDuration is the time from a stop command to the end
	// of the run.
	MaxLease     fulmarclock.Millis
	StopDuration fulmarclock.Millis
	// ProxyExecutor returns the address to register for an executor that listens at address, for
	// example that of a proxy. If it is nil, executors register their own address.
	ProxyExecutor func(executor, address string) (string, error)
	// SimulateRun returns the duration of a run and whether it fails at its end. If it is nil, each
	// run takes 200 ms and succeeds.
	SimulateRun func(payload, task string, run int64) (fulmarclock.Millis, bool)
	// DelayCall returns whether a call to an executor gets no response and is executed after a delay, by the
	// incarnation that serves then. If it is nil, no call is.
	DelayCall func() (delay fulmarclock.Millis, late bool)
	// CrashesExecutor returns whether each run of a task crashes its executor soon after the start. The VM's
	// next executor starts after CrashDowntime. If it is nil, no task does.
	CrashesExecutor func(task string) bool
	CrashDowntime   fulmarclock.Millis
	// Demand returns the processor capacity that a task reserves, so that runs record the load of their
	// executors. If it is nil, they don't. CapacityNotice is the time for the owner to learn that an executor's
	// capacity has shrunk.
	Demand         func(task string) int64
	CapacityNotice fulmarclock.Millis
}

// Rig is a simulated platform.
type Rig struct {
	options Options
	store   *store
	fleet   *fleet

	mu      sync.Mutex
	random  *rand.Rand
	servers []*http.Server
	serving sync.WaitGroup
	runs    []*Run
	// lateCalls is the number of calls that an executor has yet to execute.
	lateCalls int
}

// Start starts the servers of the store, the VM API and the executors of all pools. It
// returns the error of a server that can't listen.
func Start(o Options) (*Rig, error) {
	r := &Rig{options: o, random: rand.New(rand.NewPCG(o.Seed, 0))}
	r.store = newStore(o.Clock)
	r.fleet = newFleet(r)
	storeAddress, err := r.serve(r.store.handler(), nil)
	if err != nil {
		return nil, err
	}
	r.store.address = storeAddress
	fleetAddress, err := r.serve(r.fleet.handler(), nil)
	if err != nil {
		r.Close()
		return nil, err
	}
	r.fleet.address = fleetAddress
	if err := r.fleet.start(); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// serve starts a server on a free port of the loopback address and returns its address. track gets the
// changes of its connections' states, unless it is nil.
func (r *Rig) serve(handler http.Handler, track func(net.Conn, http.ConnState)) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", trace.ConvertSystemError(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ConnState: track}
	r.mu.Lock()
	r.servers = append(r.servers, server)
	r.mu.Unlock()
	r.serving.Go(func() { _ = server.Serve(listener) })
	return listener.Addr().String(), nil
}

// drawFirstClock returns the time that the clock of a new incarnation shows.
func (r *Rig) drawFirstClock() fulmarclock.Millis {
	return minFirstClock + r.draw(maxFirstClock-minFirstClock)
}

// draw returns a random duration below limit.
func (r *Rig) draw(limit fulmarclock.Millis) fulmarclock.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fulmarclock.Millis(r.random.Int64N(int64(limit)))
}

// Close stops all servers and waits for them.
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

// StoreAddress returns the address of the key-value store.
func (r *Rig) StoreAddress() string { return r.store.address }

// FleetAddress returns the address of the VM API.
func (r *Rig) FleetAddress() string { return r.fleet.address }

// SetConfiguration stores the operators' configuration as JSON.
func (r *Rig) SetConfiguration(document any) error {
	return r.putJSON(fulmaradapter.ConfigurationKey, document)
}

// RequestWave stores an operators' request for a maintenance wave: all given VMs within
// the duration, at most maxDown of them down at a time.
func (r *Rig) RequestWave(number int64, vms []string, duration fulmarclock.Millis, maxDown int) error {
	r.fleet.admitWave(number, vms)
	return r.putJSON(fulmaradapter.WavePrefix+strconv.FormatInt(number, 10), map[string]any{
		"wave": number, "machines": vms, "duration_s": float64(duration) / 1000, "upper_limit": maxDown,
	})
}

func (r *Rig) putJSON(key string, document any) error {
	value, err := json.Marshal(document)
	if err != nil {
		return trace.Wrap(err)
	}
	r.store.put(key, value, 0)
	return nil
}

// Get returns the value of a key of the store and whether the key exists.
func (r *Rig) Get(key string) ([]byte, bool) { return r.store.get(key) }

// SetStoreDown sets whether the store rejects all requests with status 503.
func (r *Rig) SetStoreDown(down bool) { r.store.setDown(down) }

// VMs returns the names of the VMs in a service's pool.
func (r *Rig) VMs(service string) []string { return r.fleet.vmNames(service) }

// Run is one run of a task, as its executor saw it. Times are on the rig's clock.
type Run struct {
	Task     string
	Number   int64
	Executor string
	// Incarnation is the time of the executor's start.
	Incarnation int64
	VM          string
	Token       int64
	Started     fulmarclock.Millis
	// Late is whether the start command got no response and was executed late.
	Late bool
	// Ended is zero while the run is in progress.
	Ended   fulmarclock.Millis
	Outcome string
	// Acknowledged is whether the owner has acknowledged the end to the executor, and Acknowledgement how.
	Acknowledged    bool
	Acknowledgement Acknowledgement
	// CausedCrash is whether the run crashed its executor, DownUntil when the VM is back.
	CausedCrash bool
	DownUntil   fulmarclock.Millis
	// Load is the demand of all runs at the executor right after the start, in thousandths of a core, and
	// Capacity the executor's capacity. A smaller capacity counts after Options.CapacityNotice.
	Load     int64
	Capacity int64
}

// incarnationKey identifies one incarnation of an executor.
type incarnationKey struct {
	executor    string
	incarnation int64
}

// isRepeatedStart reports whether the run has the number of an earlier one that ended with the previous
// incarnation of the executor. A start without an answer may be sent again, and nobody knew the end.
func (r Run) isRepeatedStart(earlier Run) bool {
	return r.Number == earlier.Number && r.Executor == earlier.Executor && r.Incarnation > earlier.Incarnation && !earlier.Acknowledged
}

// isEndTakenNoteOf reports whether the owner has acknowledged the end before the executor's lease expired, whether that
// ended a run or not.
func (r Run) isEndTakenNoteOf() bool { return r.Acknowledged && !r.Acknowledgement.AfterLapse }

// CountRunsAfterIdleLapses returns the number of runs that started after the completion of their task, whose end was
// acknowledged after a lapse that ended no run. They violate no guarantee as long as such a lapse counts.
func CountRunsAfterIdleLapses(runs []Run) int {
	count := 0
	completed := map[string]bool{}
	for _, r := range runs {
		if completed[r.Task] {
			count++
		}
		isIdle := r.Acknowledgement.AfterLapse && !r.Acknowledgement.AfterLapseOfRuns
		completed[r.Task] = completed[r.Task] || r.Outcome == string(fulmarjob.RunDone) && isIdle
	}
	return count
}

// FindViolations returns a description of each violated guarantee. A task must not have two
// concurrent runs, nor a run after one whose completion was taken note of; its run numbers
// must increase, and the fencing tokens of the runs at one incarnation of an executor must not
// decrease, whichever tasks they belong to. A task must not crash several executors at a time,
// nor take runs of other jobs with it for long, and starts must fit the executors' capacity. The runs
// must be in the order of their starts.
func FindViolations(runs []Run) []string {
	var violations []string
	byTask := map[string][]Run{}
	highest := map[incarnationKey]Run{}
	for _, r := range runs {
		key := incarnationKey{r.Executor, r.Incarnation}
		if earlier, found := highest[key]; found && r.Token < earlier.Token {
			violations = append(violations, fmt.Sprintf("fencing token decreased: %+v and %+v", earlier, r))
		} else {
			highest[key] = r
		}
		for _, earlier := range byTask[r.Task] {
			switch {
			case earlier.Ended == 0 || earlier.Ended > r.Started:
				violations = append(violations, fmt.Sprintf("two concurrent runs of a task: %+v and %+v", earlier, r))
			case earlier.Outcome == string(fulmarjob.RunDone) && earlier.isEndTakenNoteOf():
				violations = append(violations, fmt.Sprintf("run started after an acknowledged completion: %+v and %+v", earlier, r))
			case r.isRepeatedStart(earlier):
			case r.Number <= earlier.Number:
				violations = append(violations, fmt.Sprintf("run number did not increase: %+v and %+v", earlier, r))
			}
		}
		byTask[r.Task] = append(byTask[r.Task], r)
	}
	violations = append(violations, findCrashLoops(runs)...)
	violations = append(violations, findLostNeighbours(runs)...)
	return append(violations, findOverloads(runs)...)
}

func (r *Rig) recordStart(run *Run) {
	r.mu.Lock()
	r.runs = append(r.runs, run)
	r.mu.Unlock()
}

func (r *Rig) recordAcknowledgement(run *Run, a Acknowledgement) {
	r.mu.Lock()
	run.Acknowledged, run.Acknowledgement = true, a
	r.mu.Unlock()
}

func (r *Rig) recordEnd(run *Run, at fulmarclock.Millis, outcome string) {
	r.mu.Lock()
	run.Ended, run.Outcome = at, outcome
	r.mu.Unlock()
}

// Runs returns copies of all runs so far, in the order of their starts.
func (r *Rig) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := make([]Run, 0, len(r.runs))
	for _, run := range r.runs {
		runs = append(runs, *run)
	}
	return runs
}

// FleetCounts returns the number of executed VM moves and VM maintenances.
func (r *Rig) FleetCounts() (moves, maintenances int) { return r.fleet.counts() }

// writeJSON responds with a status and a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// readJSON decodes a JSON request body. It responds with status 400 and returns false if the
// body is malformed.
func readJSON(w http.ResponseWriter, q *http.Request, target any) bool {
	if err := json.NewDecoder(q.Body).Decode(target); err != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return false
	}
	return true
}
