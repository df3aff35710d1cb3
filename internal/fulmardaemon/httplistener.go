package fulmardaemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/gravitational/trace"
	"golang.org/x/net/netutil"

	"github.com/fulmardrum/fulmardrum/internal/fulmarserver"
)

// httpListener is a listener with the HTTP server that serves it.
type httpListener struct {
	listener net.Listener
	server   *fulmarserver.Server
	// closed is closed by close.
	closed    chan struct{}
	closeOnce sync.Once
}

func listenHTTP(address string) (*httpListener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return &httpListener{listener: listener, closed: make(chan struct{})}, nil
}

// limitConnections limits the number of open connections; further ones wait to be accepted.
func (l *httpListener) limitConnections(connections int) {
	l.listener = netutil.LimitListener(l.listener, connections)
}

func (l *httpListener) address() string { return l.listener.Addr().String() }

func (l *httpListener) setServer(server *fulmarserver.Server) { l.server = server }

// serve accepts connections until shutdown, and returns after close: a component that returns
// earlier would end the member before the shutdown is complete. setServer must be called first.
func (l *httpListener) serve() error {
	err := l.server.Serve(l.listener)
	if !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	<-l.closed
	return nil
}

// announceClose lets each further response end its connection.
func (l *httpListener) announceClose() { l.server.AnnounceClose() }

// shutdown closes the listener and waits for the open requests. When ctx ends, their contexts
// do, and they have answerTimeout for their response.
func (l *httpListener) shutdown(ctx context.Context) error { return l.server.Shutdown(ctx) }

// close closes the listener and every connection.
func (l *httpListener) close() {
	l.closeOnce.Do(func() { close(l.closed) })
	_ = l.server.Close()
}
