package fulmardaemon

import (
	"net/http"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarserver"
)

const (
	idleConnTimeout = 60 * fulmarclock.Second
	// firstRequestTimeout is how long a new connection may wait for its first request while the
	// member stops, answerTimeout how long requests that are in flight at the end have for
	// their response.
	firstRequestTimeout = 500 * fulmarclock.Millis(1)
	answerTimeout       = 2 * fulmarclock.Second
)

// newServer returns a server for a handler. A readTimeout of zero means that a whole request may
// take any time.
func (d *Daemon) newServer(handler http.Handler, readTimeout fulmarclock.Millis) *fulmarserver.Server {
	return fulmarserver.New(fulmarserver.Options{
		Handler: handler, Clock: d.clock, Logger: d.logger, Metrics: d.metrics, MaxHeaderBytes: d.settings.Limits.HeaderBytes,
		ReadHeaderTimeout: d.settings.Times.ReadHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: idleConnTimeout,
		FirstRequestTimeout: firstRequestTimeout, AnswerTimeout: answerTimeout, PanicStatus: http.StatusInternalServerError,
	})
}
