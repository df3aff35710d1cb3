package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// world is everything around the members: record, clock, store, machines and executors.
type world struct {
	// trouble is false for a run without the disruption.
	trouble bool
	start   time.Time
	store   *store
	fleet   *fleet
	// scratch is a temporary folder for settings and logs.
	scratch string
	// useLinks connects each member to the platform through links of its own.
	useLinks bool
	// newProxy creates the proxies of the machines' executors; nil for none.
	newProxy func() (executorProxy, error)

	mu        sync.Mutex
	record    *os.File
	closed    bool
	members   []*member
	executors []*executor
	closers   []io.Closer
}

func newWorld(recordPath string, trouble bool) (*world, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	scratch, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: trouble, start: time.Now(), record: record, scratch: scratch}
	w.store, w.fleet = newStore(w), newFleet(w)
	if _, w.store.address, err = w.serve(w.store); err != nil {
		return nil, err
	}
	if _, w.fleet.address, err = w.serve(w.fleet); err != nil {
		return nil, err
	}
	w.log("trouble: %v", trouble)
	return w, nil
}

// now returns the milliseconds since the start of the case.
func (w *world) now() int64 { return time.Since(w.start).Milliseconds() }

// log adds a line to the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.record != nil {
		fmt.Fprintf(w.record, "%9.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
	}
}

// serve serves HTTP on a free port of the loopback interface and returns the server and its address.
func (w *world) serve(handler http.Handler) (*http.Server, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }() // ends when the server is closed
	w.mu.Lock()
	w.closers = append(w.closers, server)
	w.mu.Unlock()
	return server, listener.Addr().String(), nil
}

// close ends all members and servers, and the record.
func (w *world) close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	members, closers := w.members, w.closers
	w.mu.Unlock()
	for _, m := range members {
		m.kill()
	}
	for _, c := range closers {
		_ = c.Close() // the process ends
	}
	_ = os.RemoveAll(w.scratch) // a temporary folder
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.record.Close() // nothing more is written
	w.record = nil
}

// waitFor polls a condition until it holds or a time has passed.
func waitFor(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// respond writes a JSON response.
func respond(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(rw).Encode(body) // the caller may have left
	}
}

// decode reads a JSON body. It responds with 400 and returns false if it can't.
func decode(rw http.ResponseWriter, r *http.Request, body any) bool {
	if err := json.NewDecoder(r.Body).Decode(body); err != nil {
		respond(rw, http.StatusBadRequest, nil)
		return false
	}
	return true
}
