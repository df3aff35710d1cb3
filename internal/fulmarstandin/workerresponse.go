package fulmarstandin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

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
