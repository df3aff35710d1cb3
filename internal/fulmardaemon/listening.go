package fulmardaemon

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/gravitational/trace"
	"golang.org/x/net/netutil"
)

// listening is one HTTP listener with its server.
type listening struct {
	listener net.Listener
	server   *http.Server
}

func listenOn(address string) (*listening, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return &listening{listener: listener}, nil
}

// limit bounds the connections open at a time; further ones wait to be accepted.
func (l *listening) limit(connections int) {
	l.listener = netutil.LimitListener(l.listener, connections)
}

func (l *listening) address() string { return l.listener.Addr().String() }

func (l *listening) serve(server *http.Server) { l.server = server }

// run serves until shutdown or close.
func (l *listening) run() error {
	err := l.server.Serve(l.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return trace.Wrap(err)
}

// shutdown closes the listener and waits for the connections to become idle.
func (l *listening) shutdown(ctx context.Context) { _ = l.server.Shutdown(ctx) }

func (l *listening) close() { _ = l.server.Close() }
