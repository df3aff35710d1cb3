package fulmarstandin

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

// HeaderRequestID is the header with the request ID that the journal records.
const HeaderRequestID = "X-Request-Id"

const (
	registerInterval  = fulmarclock.Second
	pathWorkerFault   = "/standin/fault"
	pathWorkerJournal = "/standin/journal"
)

// WorkerOptions configure a Worker. MaxConnections is the maximum number of open connections,
// 0 for no limit.
type WorkerOptions struct {
	VM             fulmarplatform.VM
	MaxConnections int
	Journal        *Journal
	// Platform is the platform to register with. If it is nil, the worker doesn't register.
	Platform *fulmarplatform.Client
}

// Worker is an HTTP server that simulates one worker, with a limited number of slots and
// connections.
type Worker struct {
	options         WorkerOptions
	clock           fulmarclock.Clock
	server          *http.Server
	listener        net.Listener
	fault           atomic.Value
	openConnections atomic.Int64
	running         atomic.Int64
	peakConnections atomic.Int64
	busyRefusals    atomic.Int64
	stop            chan struct{}
	goroutines      sync.WaitGroup

	mu           sync.Mutex
	highestEpoch int64
}

// StartWorker starts a worker that listens on the VM's address. Port 0 selects a free port.
// It returns an error if it can't listen.
func StartWorker(options WorkerOptions, clock fulmarclock.Clock) (*Worker, error) {
	listener, err := net.Listen("tcp", options.VM.Address)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	options.VM.Address = listener.Addr().String()
	w := &Worker{options: options, clock: clock, stop: make(chan struct{})}
	w.listener = &limitedListener{Listener: listener, worker: w}
	w.fault.Store(FaultNone)
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: 10 * time.Second}
	w.goroutines.Add(1)
	go func() {
		defer w.goroutines.Done()
		_ = w.server.Serve(w.listener)
	}()
	if options.Platform != nil {
		w.goroutines.Add(1)
		go w.register()
	}
	return w, nil
}

// VM returns the worker's registration in the VM list.
func (w *Worker) VM() fulmarplatform.VM { return w.options.VM }

// SetFault sets the fault of all later requests that don't name their own.
func (w *Worker) SetFault(fault Fault) { w.fault.Store(fault) }

// Running returns the number of requests that run now.
func (w *Worker) Running() int64 { return w.running.Load() }

// BusyRefusals returns the number of requests that were rejected as busy.
func (w *Worker) BusyRefusals() int64 { return w.busyRefusals.Load() }

// PeakConnections returns the highest number of connections that were open at the same time.
func (w *Worker) PeakConnections() int64 { return w.peakConnections.Load() }

// Close stops the worker, closes its connections and waits until its goroutines have ended.
func (w *Worker) Close() {
	close(w.stop)
	_ = w.server.Close()
	w.goroutines.Wait()
}

// register renews the worker's registration with the platform every registerInterval. After a
// failure it tries again at the next interval.
func (w *Worker) register() {
	defer w.goroutines.Done()
	for {
		ctx, cancel := context.WithTimeout(context.Background(), registerInterval.Duration())
		_ = w.options.Platform.Register(ctx, w.options.VM)
		cancel()
		select {
		case <-w.clock.After(registerInterval):
		case <-w.stop:
			return
		}
	}
}

// ServeHTTP runs a request in a slot. It rejects the request with the outcome not-run if no
// slot is free or the request's epoch is stale.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case pathWorkerFault:
		w.SetFault(Fault(r.URL.Query().Get("set")))
		return
	case pathWorkerJournal:
		writeRuns(rw, w.options.Journal.Runs())
		return
	}
	fault := w.faultFor(r)
	if !w.acquireSlot(fault) {
		refuseAsNotRun(rw, "busy")
		return
	}
	defer w.running.Add(-1)
	if w.isStale(r) {
		refuseAsNotRun(rw, "stale-epoch")
		return
	}
	w.run(rw, r, fault)
}

func (w *Worker) faultFor(r *http.Request) Fault {
	if fault := r.URL.Query().Get("fault"); fault != "" {
		return Fault(fault)
	}
	return w.fault.Load().(Fault)
}

// acquireSlot takes a slot, or returns false if none is free or the fault is FaultBusy.
func (w *Worker) acquireSlot(fault Fault) bool {
	if fault == FaultBusy {
		w.busyRefusals.Add(1)
		return false
	}
	if w.running.Add(1) > int64(w.options.VM.Slots) {
		w.running.Add(-1)
		w.busyRefusals.Add(1)
		return false
	}
	return true
}

// isStale reports whether a request's assignment epoch is lower than that of an earlier
// request, and records the highest epoch.
func (w *Worker) isStale(r *http.Request) bool {
	epoch, err := strconv.ParseInt(r.Header.Get(fulmarapi.HeaderEpoch), 10, 64)
	if err != nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if epoch < w.highestEpoch {
		return true
	}
	w.highestEpoch = epoch
	return false
}
