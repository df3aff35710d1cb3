package fulmarserver

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/charmbracelet/log"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// Metrics counts events by reason.
type Metrics interface {
	Count(name, reason string)
}

// Options are the dependencies and limits of a Server.
type Options struct {
	Handler http.Handler
	Clock   fulmarclock.Clock
	Logger  *log.Logger
	Metrics Metrics
	// ReadHeaderTimeout bounds reading a request's header; IdleTimeout closes idle
	// connections. MaxHeaderBytes bounds the header; zero means Go's default.
	ReadHeaderTimeout fulmarclock.Millis
	IdleTimeout       fulmarclock.Millis
	MaxHeaderBytes    int
	// ReadTimeout bounds reading a whole request; zero means no bound.
	ReadTimeout fulmarclock.Millis
	// FirstRequestTimeout is how long a connection may wait for its first request during a
	// shutdown, from when it was accepted.
	FirstRequestTimeout fulmarclock.Millis
	// AnswerTimeout is how long the requests that are still open at the end of a shutdown have
	// for their response, once their contexts are cancelled.
	AnswerTimeout fulmarclock.Millis
	// PanicStatus is the status of the response to a request whose handler panics. The outcome
	// of such a request is unknown.
	PanicStatus int
}

// Server serves callers' requests over HTTP/1.1.
type Server struct {
	options Options
	server  *http.Server
	// requestsCtx is the parent of the requests' contexts.
	requestsCtx    context.Context
	cancelRequests context.CancelCauseFunc

	mu sync.Mutex
	// listeners are those that Serve accepts connections from.
	listeners   []net.Listener
	connections map[*connection]struct{}
	// announcing means that responses announce the end of their connections.
	announcing bool
	// stopping means that no further requests are read; drained is closed once there are no
	// listeners and connections then.
	stopping bool
	drained  chan struct{}
}

// New returns a server.
func New(o Options) *Server {
	s := &Server{options: o, connections: map[*connection]struct{}{}, drained: make(chan struct{})}
	s.requestsCtx, s.cancelRequests = context.WithCancelCause(context.Background())
	s.server = &http.Server{
		Handler: http.HandlerFunc(s.handle), MaxHeaderBytes: o.MaxHeaderBytes,
		ReadTimeout: o.ReadTimeout.Duration(), ReadHeaderTimeout: o.ReadHeaderTimeout.Duration(), IdleTimeout: o.IdleTimeout.Duration(),
		BaseContext: func(net.Listener) context.Context { return s.requestsCtx }, ConnContext: withConnection, ConnState: recordState,
	}
	return s
}

// Serve accepts connections from listener until Shutdown or Close, and then returns
// http.ErrServerClosed.
func (s *Server) Serve(listener net.Listener) error {
	if !s.addListener(listener) {
		if err := listener.Close(); err != nil {
			s.options.Logger.Warn("failed to close a listener", "error", err)
		}
		return http.ErrServerClosed
	}
	defer s.removeListener(listener)
	err := s.server.Serve(&trackingListener{Listener: listener, server: s})
	if s.isStopping() {
		return http.ErrServerClosed
	}
	return err
}

// Close closes the listener and all connections.
func (s *Server) Close() error {
	defer s.cancelRequests(&ShutdownError{})
	return s.server.Close()
}

// ConnectionCount returns the number of open connections.
func (s *Server) ConnectionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections)
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	c := connectionOf(r.Context())
	if c == nil {
		s.respond(w, r)
		return
	}
	c.markHandled()
	s.respond(w, r)
	c.markHandlerDone()
}

// respond calls the handler. It panics if the response must be cut.
func (s *Server) respond(w http.ResponseWriter, r *http.Request) {
	response := &responseWriter{ResponseWriter: w, server: s}
	defer s.recoverPanic(response, r)
	s.options.Handler.ServeHTTP(response, r)
	response.announceClose()
}

// The reasons of requests without a complete response: the handler was not called, its response
// was not written, or only a part of it was.
const (
	reasonNotHandled = "not-handled"
	reasonNotWritten = "not-written"
	reasonIncomplete = "incomplete"
)

// reportUnanswered logs and counts a request that gets no complete response.
func (s *Server) reportUnanswered(c *connection, reason string, requestAt fulmarclock.Millis) {
	s.options.Logger.Warn("connection closed without a response to a request", "caller", c.RemoteAddr(), "reason", reason, "open_ms", s.options.Clock.Now()-requestAt)
	s.options.Metrics.Count("unanswered_requests", reason)
}

type connectionKey struct{}

func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// connectionOf returns the connection of a request, nil if another server serves it.
func connectionOf(ctx context.Context) *connection {
	c, _ := ctx.Value(connectionKey{}).(*connection)
	return c
}

// recordState follows the states of connections: an idle connection has no request in progress.
func recordState(c net.Conn, state http.ConnState) {
	if tracked, ok := c.(*connection); ok && state == http.StateIdle {
		tracked.endRequest()
	}
}
