package fulmarserver

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

const (
	// acceptQueueTimeout is how long a listener that is to be closed looks for a further
	// connection that the system has established already.
	acceptQueueTimeout = 5 * fulmarclock.Millis(1)
	// maxAcceptQueueTime bounds that while new connections keep arriving.
	maxAcceptQueueTime = 200 * fulmarclock.Millis(1)
)

// deadliner is a listener whose Accept can be ended without closing it.
type deadliner interface {
	SetDeadline(deadline time.Time) error
}

// trackingListener accepts connections that follow their requests.
type trackingListener struct {
	net.Listener
	server *Server
	// acceptBy is when a listener that is to be closed accepts no more; zero before it is.
	acceptBy time.Time
}

// Accept returns the next connection. Once the server stops, it returns those that wait in the
// system's queue, and then net.ErrClosed.
func (l *trackingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		accepted, err = l.acceptQueued()
	}
	if err != nil {
		return nil, err
	}
	c := newConnection(accepted, l.server)
	l.server.remember(c)
	return c, nil
}

// acceptQueued accepts a connection that waits in the system's queue. An Accept whose deadline
// has passed does not look for one, so it sets a new one.
func (l *trackingListener) acceptQueued() (net.Conn, error) {
	now := time.Now()
	if l.acceptBy.IsZero() {
		l.acceptBy = now.Add(maxAcceptQueueTime.Duration())
	}
	limited, ok := l.Listener.(deadliner)
	if !ok || now.After(l.acceptBy) {
		return nil, net.ErrClosed
	}
	if err := limited.SetDeadline(now.Add(acceptQueueTimeout.Duration())); err != nil {
		return nil, err
	}
	accepted, err := l.Listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, net.ErrClosed
	}
	return accepted, err
}

// stopListener lets the Accept of a listener return the connections that wait, and then end. A
// listener without deadlines is closed at once, by which the system resets those.
func stopListener(l net.Listener) error {
	if limited, ok := l.(deadliner); ok {
		return limited.SetDeadline(expiredDeadline)
	}
	return l.Close()
}
