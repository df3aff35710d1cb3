package fulmarserver

import "net/http"

// responseWriter announces the end of the connection in responses of a server that stops.
type responseWriter struct {
	http.ResponseWriter
	server      *Server
	wroteHeader bool
}

// WriteHeader sends the header of the response.
func (w *responseWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.announceClose()
		w.wroteHeader = true
	}
	w.ResponseWriter.WriteHeader(status)
}

// announceClose adds the end of the connection to a header that was not sent yet, if the server
// stops.
func (w *responseWriter) announceClose() {
	if !w.wroteHeader && w.server.announcesClose() {
		w.Header().Set("Connection", "close")
	}
}

// Write sends a part of the response's body, after the header if that was not sent yet.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.ensureHeader()
	return w.ResponseWriter.Write(p)
}

// FlushError sends what was written so far, after the header if that was not sent yet.
func (w *responseWriter) FlushError() error {
	w.ensureHeader()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

func (w *responseWriter) ensureHeader() {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
}

// Unwrap returns the writer below, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
