package fulmarserver

import (
	"net/http"
	"runtime/debug"
)

// reasonPanic is the reason of the counter of panics in handlers.
const reasonPanic = "panic"

// recoverPanic responds with PanicStatus to a request whose handler panicked. If the handler
// has begun a response or panicked with http.ErrAbortHandler, it closes the connection, so that
// the caller does not take a part of a response for the whole. It must be deferred.
func (s *Server) recoverPanic(w *responseWriter, r *http.Request) {
	value := recover()
	if value == nil {
		return
	}
	if value == http.ErrAbortHandler {
		panic(value)
	}
	s.options.Logger.Error("the handler of a request panicked", "method", r.Method, "host", r.Host, "path", r.URL.Path, "panic", value, "stack", string(debug.Stack()))
	s.options.Metrics.Count("handler_failures", reasonPanic)
	if w.wroteHeader {
		panic(http.ErrAbortHandler)
	}
	clear(w.Header())
	w.WriteHeader(s.options.PanicStatus)
}
