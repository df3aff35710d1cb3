package fulmarstandin

import (
	"context"
	"fmt"
	"io"
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

// Fault is a fault to inject into one request or into all requests of a worker.
type Fault string

// Faults, set for all requests of a worker by SetFault or for one request by its query
// parameter "fault".
const (
	FaultNone Fault = ""
	// FaultFail counts as a run and responds with status 500 at once.
	FaultFail Fault = "fail"
	// FaultUnresponsive reads the request and doesn't run it or respond.
	FaultUnresponsive Fault = "silent"
	// FaultCloseBeforeRun closes the connection before the request runs.
	FaultCloseBeforeRun Fault = "cut-before"
	// FaultCloseAfterRun runs the request and closes the connection without a response.
	FaultCloseAfterRun Fault = "cut-after"
	// FaultTruncated runs the request and closes the connection halfway through the response.
	FaultTruncated Fault = "half"
	// FaultCloseDelimited runs the request and sends a close-delimited response: one without a
	// Content-Length that ends when the connection closes.
	FaultCloseDelimited Fault = "unframed"
	// FaultBusy rejects the request with the outcome not-run.
	FaultBusy Fault = "busy"
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

// BusyRefusals returns the number of requests that were rejected because all slots were in
// use.
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

func (w *Worker) run(rw http.ResponseWriter, r *http.Request, fault Fault) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	switch fault {
	case FaultUnresponsive:
		select {
		case <-r.Context().Done():
		case <-w.stop:
		}
		panic(http.ErrAbortHandler)
	case FaultCloseBeforeRun:
		panic(http.ErrAbortHandler)
	}
	defer w.options.Journal.Add(Run{
		Worker: w.options.VM.ID, RequestID: r.Header.Get(HeaderRequestID), Method: r.Method,
		Key: r.Header.Get(fulmarapi.HeaderIdempotencyKey), Pool: r.Header.Get(fulmarapi.HeaderPool),
		Epoch: r.Header.Get(fulmarapi.HeaderEpoch), StartUnixMillis: w.clock.Unix(),
	})()
	if fault == FaultFail {
		http.Error(rw, "task failed", http.StatusInternalServerError)
		return
	}
	w.simulateWork(r)
	w.respond(rw, r, fault, body)
}

// simulateWork waits for the time in the query parameter "work", in milliseconds, or until the
// worker is closed.
func (w *Worker) simulateWork(r *http.Request) {
	millis, err := strconv.ParseInt(r.URL.Query().Get("work"), 10, 64)
	if err != nil || millis <= 0 {
		return
	}
	select {
	case <-w.clock.After(fulmarclock.Millis(millis)):
	case <-w.stop:
	}
}

// respond sends back the request's ID, method and body, padded with zeros to the size in the
// query parameter "size", in bytes. Some faults make it close the connection instead.
func (w *Worker) respond(rw http.ResponseWriter, r *http.Request, fault Fault, body []byte) {
	text := fmt.Sprintf("request=%s method=%s body=%s\n", r.Header.Get(HeaderRequestID), r.Method, body)
	data := make([]byte, 0, len(text))
	data = append(data, text...)
	if size, err := strconv.Atoi(r.URL.Query().Get("size")); err == nil && size > len(data) {
		data = append(data, make([]byte, size-len(data))...)
	}
	rw.Header().Set("X-Worker", w.options.VM.ID)
	switch fault {
	case FaultCloseAfterRun:
		panic(http.ErrAbortHandler)
	case FaultTruncated:
		rw.Header().Set("Content-Length", strconv.Itoa(len(data)))
		_, _ = rw.Write(data[:len(data)/2])
		_ = http.NewResponseController(rw).Flush()
		panic(http.ErrAbortHandler)
	case FaultCloseDelimited:
		w.respondCloseDelimited(rw, data)
	default:
		rw.Header().Set("Content-Length", strconv.Itoa(len(data)))
		_, _ = rw.Write(data)
	}
}

func (w *Worker) respondCloseDelimited(rw http.ResponseWriter, data []byte) {
	connection, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer connection.Close()
	_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", data)
}

// refuseAsNotRun responds with status 503 and the outcome not-run, after which the member may
// retry on another worker.
func refuseAsNotRun(rw http.ResponseWriter, reason string) {
	rw.Header().Set(fulmarapi.HeaderOutcome, string(fulmarapi.NotRun))
	rw.Header().Set(fulmarapi.HeaderReason, reason)
	rw.WriteHeader(http.StatusServiceUnavailable)
}

// limitedListener accepts connections up to the worker's limit and closes further ones at
// once.
type limitedListener struct {
	net.Listener
	worker *Worker
}

// Accept returns the next connection within the limit, or the listener's error.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		open := l.worker.openConnections.Add(1)
		if open > l.worker.peakConnections.Load() {
			l.worker.peakConnections.Store(open)
		}
		limited := &limitedConnection{Conn: connection, worker: l.worker}
		if l.worker.options.MaxConnections == 0 || open <= int64(l.worker.options.MaxConnections) {
			return limited, nil
		}
		_ = limited.Close()
	}
}

type limitedConnection struct {
	net.Conn
	worker *Worker
	once   sync.Once
}

// Close closes the connection. The first call decrements the number of open connections.
func (c *limitedConnection) Close() error {
	c.once.Do(func() { c.worker.openConnections.Add(-1) })
	return c.Conn.Close()
}
