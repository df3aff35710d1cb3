package fulmarstandin

import (
	"net"
	"sync"
)

// limitedListener accepts connections up to the worker's limit and closes further ones at
// once.
type limitedListener struct {
	net.Listener
	worker *Worker
}

// Accept returns the next connection within the limit, or the listener's error.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		open := l.worker.openConnections.Add(1)
		if open > l.worker.peakConnections.Load() {
			l.worker.peakConnections.Store(open)
		}
		limited := &limitedConnection{Conn: connection, worker: l.worker}
		if l.worker.options.MaxConnections == 0 || open <= int64(l.worker.options.MaxConnections) {
			return limited, nil
		}
		_ = limited.Close()
	}
}

type limitedConnection struct {
	net.Conn
	worker *Worker
	once   sync.Once
}

// Close closes the connection. The first call decrements the number of open connections.
func (c *limitedConnection) Close() error {
	c.once.Do(func() { c.worker.openConnections.Add(-1) })
	return c.Conn.Close()
}
