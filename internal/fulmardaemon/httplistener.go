package fulmardaemon

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/gravitational/trace"
	"golang.org/x/net/netutil"
)

// httpListener is a listener with the HTTP server that serves it.
type httpListener struct {
	listener net.Listener
	server   *http.Server
}

func listenHTTP(address string) (*httpListener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return &httpListener{listener: listener}, nil
}

// limitConnections limits the number of open connections; further ones wait to be accepted.
func (l *httpListener) limitConnections(connections int) {
	l.listener = netutil.LimitListener(l.listener, connections)
}

func (l *httpListener) address() string { return l.listener.Addr().String() }

func (l *httpListener) setServer(server *http.Server) { l.server = server }

// serve accepts connections until shutdown or close. setServer must be called first.
func (l *httpListener) serve() error {
	err := l.server.Serve(l.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return trace.Wrap(err)
}

// shutdown closes the listener and waits until the connections are idle or ctx ends.
func (l *httpListener) shutdown(ctx context.Context) { _ = l.server.Shutdown(ctx) }

// close closes the listener and every connection.
func (l *httpListener) close() { _ = l.server.Close() }
