package fulmardispatch

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

const (
	connectionBufferBytes = 4 << 10
	// idleTimeout is how long an unused connection is kept, in milliseconds.
	idleTimeout = 30 * fulmarclock.Second
	// keepAliveProbes is the number of unanswered probes that ends a connection.
	keepAliveProbes = 3
)

// pastDeadline is a deadline that ends all waiting reads and writes at once.
var pastDeadline = time.Unix(1, 0)

// connection is one TCP connection to a worker.
type connection struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// lastUsed is the time of the last whole answer.
	lastUsed fulmarclock.Millis
	// bytesWritten counts the bytes handed to the operating system in this exchange.
	bytesWritten int64
}

// Write hands bytes to the operating system and counts them.
func (c *connection) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytesWritten += int64(n)
	return n, err
}

// isUsable tells whether the peer has neither closed the connection nor sent bytes out of turn.
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

// connectionPool holds the idle connectionPool to one worker, the last used at the end.
type connectionPool struct {
	mu   sync.Mutex
	idle []*connection
}

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

// closeIdle closes the connections unused since before a time.
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

// dialer opens connections whose silence is noticed by the operating system.
type dialer struct {
	net     net.Dialer
	timeout fulmarclock.Millis
}

// newDialer returns a dialer; a connection whose sent bytes stay unacknowledged for that time fails.
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
	c.reader = bufio.NewReaderSize(conn, connectionBufferBytes)
	c.writer = bufio.NewWriterSize(c, connectionBufferBytes)
	return c, nil
}
