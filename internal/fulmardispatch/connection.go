package fulmardispatch

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

const (
	connectionBufferBytes = 4 << 10
	// idleTimeout is the time after which an idle connection is closed, in milliseconds.
	idleTimeout = 30 * fulmarclock.Second
	// keepAliveProbes is the number of unacknowledged TCP keep-alive probes after which a connection fails.
	keepAliveProbes = 3
)

// pastDeadline is a deadline that makes all pending reads and writes fail immediately.
var pastDeadline = time.Unix(1, 0)

// connection is one TCP connection to a worker.
type connection struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// lastUsed is the time of the last complete response.
	lastUsed fulmarclock.Millis
	// bytesWritten counts the bytes written to the socket in this exchange.
	bytesWritten int64
	// readFinally means that the read after the deadline was made.
	readFinally bool
}

// Read reads from the socket. The first read that the deadline ends returns the bytes that the
// system has received: net.Conn does not look for them then, and they may be the response. It is
// only one, so that a worker that keeps sending is not read for longer.
func (c *connection) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if !errors.Is(err, os.ErrDeadlineExceeded) || c.readFinally {
		return n, err
	}
	c.readFinally = true
	if received := c.readReceived(data); received > 0 {
		return received, nil
	}
	return n, err
}

// readReceived reads from the socket without blocking, whatever its deadline. It returns 0 if
// there is nothing to read.
func (c *connection) readReceived(data []byte) int {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return 0
	}
	received := 0
	controlErr := raw.Control(func(fd uintptr) {
		received, _, err = unix.Recvfrom(int(fd), data, unix.MSG_DONTWAIT)
	})
	if controlErr != nil || err != nil {
		return 0
	}
	return received
}

// Write writes to the socket and counts the bytes.
func (c *connection) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytesWritten += int64(n)
	return n, err
}

// isUsable reports whether the peer has neither closed the idle connection nor
// sent unexpected bytes on it. It peeks at the socket without blocking.
func (c *connection) isUsable() bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	var buf [1]byte
	readErr := raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		usable = err == unix.EAGAIN
		return true
	})
	return readErr == nil && usable && c.reader.Buffered() == 0
}

// connectionPool holds the idle connections to one worker, the most recently used last.
type connectionPool struct {
	mu   sync.Mutex
	idle []*connection
}

// get removes and returns the most recently used connection, or nil if none is
// usable and has been idle for at most maxIdle. It closes the ones it rejects.
func (p *connectionPool) get(now, maxIdle fulmarclock.Millis) *connection {
	for {
		c := p.pop()
		if c == nil {
			return nil
		}
		if now-c.lastUsed <= maxIdle && c.isUsable() {
			return c
		}
		_ = c.Close()
	}
}

func (p *connectionPool) pop() *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return c
}

func (p *connectionPool) put(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

func (p *connectionPool) closeAll() {
	for c := p.pop(); c != nil; c = p.pop() {
		_ = c.Close()
	}
}

// closeIdle closes the connections that were last used before the given time.
func (p *connectionPool) closeIdle(before fulmarclock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	remaining := p.idle[:0]
	for _, c := range p.idle {
		if c.lastUsed < before {
			_ = c.Close()
			continue
		}
		remaining = append(remaining, c)
	}
	p.idle = remaining
}

// dialer opens connections that the operating system fails when the peer stops acknowledging.
type dialer struct {
	net     net.Dialer
	timeout fulmarclock.Millis
}

// newDialer returns a dialer with a connect timeout. Its connections fail when
// sent bytes or keep-alive probes stay unacknowledged for ackTimeout.
func newDialer(connectTimeout, ackTimeout fulmarclock.Millis) *dialer {
	control := func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout))
		})
		if err != nil {
			return err
		}
		return optionErr
	}
	interval := (ackTimeout / keepAliveProbes).Duration()
	return &dialer{timeout: connectTimeout, net: net.Dialer{Control: control, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: interval, Interval: interval, Count: keepAliveProbes,
	}}}
}

func (d *dialer) dial(ctx context.Context, address string) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout.Duration())
	defer cancel()
	conn, err := d.net.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: conn}
	c.reader = bufio.NewReaderSize(c, connectionBufferBytes)
	c.writer = bufio.NewWriterSize(c, connectionBufferBytes)
	return c, nil
}
