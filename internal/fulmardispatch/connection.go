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
	connectionBuffer = 4 << 10
	// idleMost is how long an unused connection is kept, in milliseconds.
	idleMost = 30 * fulmarclock.Second
	// keepAliveProbes is the number of unanswered probes that ends a connection.
	keepAliveProbes = 3
)

// longPast is a deadline that ends all waiting reads and writes at once.
var longPast = time.Unix(1, 0)

// connection is one TCP connection to a worker.
type connection struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// proven is the time of the last whole answer.
	proven fulmarclock.Millis
	// written counts the bytes handed to the operating system in this exchange.
	written int64
}

// Write hands bytes to the operating system and counts them.
func (c *connection) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written += int64(n)
	return n, err
}

// isQuiet tells whether the peer has neither closed the connection nor sent bytes out of turn.
func (c *connection) isQuiet() bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	readErr := raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return readErr == nil && quiet && c.reader.Buffered() == 0
}

// connections holds the idle connections to one worker, the last used at the end.
type connections struct {
	mu   sync.Mutex
	idle []*connection
}

func (p *connections) take(now, freshWithin fulmarclock.Millis) *connection {
	for {
		c := p.pop()
		if c == nil {
			return nil
		}
		if now-c.proven <= freshWithin && c.isQuiet() {
			return c
		}
		_ = c.Close()
	}
}

func (p *connections) pop() *connection {
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

func (p *connections) put(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

func (p *connections) closeAll() {
	for c := p.pop(); c != nil; c = p.pop() {
		_ = c.Close()
	}
}

// closeIdle closes the connections unused since before a time.
func (p *connections) closeIdle(before fulmarclock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.proven < before {
			_ = c.Close()
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
}

// dialer opens connections whose silence is noticed by the operating system.
type dialer struct {
	net     net.Dialer
	timeout fulmarclock.Millis
}

// newDialer returns a dialer; a connection whose sent bytes stay unacknowledged for that time fails.
func newDialer(connect, acknowledge fulmarclock.Millis) *dialer {
	control := func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(acknowledge))
		})
		if err != nil {
			return err
		}
		return optionErr
	}
	interval := (acknowledge / keepAliveProbes).Duration()
	return &dialer{timeout: connect, net: net.Dialer{Control: control, KeepAliveConfig: net.KeepAliveConfig{
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
	c.reader = bufio.NewReaderSize(conn, connectionBuffer)
	c.writer = bufio.NewWriterSize(c, connectionBuffer)
	return c, nil
}
