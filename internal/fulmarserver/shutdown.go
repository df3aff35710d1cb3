package fulmarserver

import (
	"context"
	"errors"
	"net"
	"slices"
)

// ShutdownError is the cause with which the contexts of open requests end at the end of a shutdown.
type ShutdownError struct{}

// Error describes the cause.
func (*ShutdownError) Error() string { return "the server is shutting down" }

// IsShutdown reports whether the context of a request has ended at the end of a shutdown.
func IsShutdown(ctx context.Context) bool {
	var shutdown *ShutdownError
	return errors.As(context.Cause(ctx), &shutdown)
}

// AnnounceClose makes each further response end its connection, so that callers move to another
// server before Shutdown. Connections without a request stay open until then.
func (s *Server) AnnounceClose() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announcing = true
}

// Shutdown closes the listeners and the connections without a request in progress, and waits
// for the others. When ctx ends, it cancels the contexts of the open requests, so that their
// handlers respond at once, and waits until AnswerTimeout. It returns ctx's error if there are
// connections left then.
//
// Every request that was read gets a response: http.Server.Shutdown is not used, since it drops
// the requests that it reads meanwhile.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.stopAccepting()
	for _, c := range s.openConnections() {
		s.retire(c)
	}
	select {
	case <-s.drained:
		return err
	case <-ctx.Done():
	}
	s.cancelRequests(&ShutdownError{})
	select {
	case <-s.drained:
		return err
	case <-s.options.Clock.After(s.options.AnswerTimeout):
		return errors.Join(err, ctx.Err())
	}
}

// stopAccepting marks the server as stopping and stops the listeners, which Serve closes.
func (s *Server) stopAccepting() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return nil
	}
	s.stopping = true
	var errs []error
	for _, l := range s.listeners {
		errs = append(errs, stopListener(l))
	}
	s.checkDrained()
	return errors.Join(errs...)
}

func (s *Server) retire(c *connection) {
	if err := c.retire(); err != nil && !errors.Is(err, net.ErrClosed) {
		s.options.Logger.Warn("failed to end the wait of a connection for a request", "caller", c.RemoteAddr(), "error", err)
	}
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

func (s *Server) announcesClose() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announcing || s.stopping
}

// addListener adds a listener that Serve accepts connections from. It returns false if the
// server is stopping.
func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.listeners = append(s.listeners, l)
	return true
}

// removeListener removes a listener from which no further connection can come.
func (s *Server) removeListener(l net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = slices.DeleteFunc(s.listeners, func(other net.Listener) bool { return other == l })
	s.checkDrained()
}

func (s *Server) openConnections() []*connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	connections := make([]*connection, 0, len(s.connections))
	for c := range s.connections {
		connections = append(connections, c)
	}
	return connections
}

// remember adds a connection that was accepted.
func (s *Server) remember(c *connection) {
	s.mu.Lock()
	s.connections[c] = struct{}{}
	stopping := s.stopping
	s.mu.Unlock()
	if stopping {
		s.retire(c)
	}
}

// forget removes a connection that was closed.
func (s *Server) forget(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.connections[c]; !found {
		return
	}
	delete(s.connections, c)
	s.checkDrained()
}

// checkDrained closes drained when a stopping server has no listeners and connections. The caller holds s.mu.
func (s *Server) checkDrained() {
	if !s.stopping || len(s.listeners) > 0 || len(s.connections) > 0 {
		return
	}
	select {
	case <-s.drained:
	default:
		close(s.drained)
	}
}
