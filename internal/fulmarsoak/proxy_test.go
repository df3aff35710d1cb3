package fulmarsoak

import (
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// mode is what a proxy does to the bytes of its connections.
type mode int32

const (
	forwarding mode = iota
	delayed
	// blackhole silences each connection with traffic for good: it stays open, but no byte
	// passes any more, as when a network device has dropped its state. Later connections
	// are silenced too until the fault ends.
	blackhole
	// oneWay forwards data to the target. Data from it arrives when the fault ends, as after
	// retransmission.
	oneWay
	// held keeps the data of both directions back until the fault ends, as a cut does. It is lost if its sender has
	// reset the connection by then. Connections can't be opened meanwhile.
	held
	// heldHalf is held for half of the connections, as a cut on the links of some members is.
	heldHalf
)

const (
	proxyDelay        = 120 * time.Millisecond
	proxyPollInterval = 10 * time.Millisecond
	proxyBufferBytes  = 32 << 10
	// maxHandshakeWait is the time after which a connection that a cut keeps from being opened is reset.
	maxHandshakeWait = 700 * time.Millisecond
)

// proxy is a TCP proxy between a member and a service, with fault injection.
type proxy struct {
	listener net.Listener
	target   string
	affected *atomic.Int64

	mu sync.Mutex
	// modes are the modes of the faults in progress, in the order of their starts. The last one applies.
	modes       []*mode
	connections map[net.Conn]bool
	goroutines  sync.WaitGroup
	accepted    int
}

// link is what the two directions of a connection share.
type link struct {
	silenced atomic.Bool
	// isHalf is whether the connection is one of the half that heldHalf holds.
	isHalf bool
}

// newProxy returns a proxy of target; affected counts the connections and blocks of bytes that faults have affected.
func newProxy(target string, affected *atomic.Int64) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, affected: affected, connections: map[net.Conn]bool{}}
	p.goroutines.Go(p.accept)
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// begin starts a fault and returns a function that ends it, but none of the others in progress.
func (p *proxy) begin(m mode) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	started := &m
	p.modes = append(p.modes, started)
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.modes = slices.DeleteFunc(p.modes, func(other *mode) bool { return other == started })
	}
}

// clearFaults ends all faults.
func (p *proxy) clearFaults() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.modes = nil
}

// mode returns the mode that applies now.
func (p *proxy) mode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.modes) == 0 {
		return forwarding
	}
	return *p.modes[len(p.modes)-1]
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.clearFaults()
	p.reset()
	p.goroutines.Wait()
}

// reset resets all connections with a TCP RST.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		if tcp, isTCP := c.(*net.TCPConn); isTCP {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
		p.affected.Add(1)
	}
	clear(p.connections)
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.accepted++
		l := &link{isHalf: p.accepted%2 == 0}
		if !p.holds(l) {
			p.connect(c, l)
			continue
		}
		p.goroutines.Go(func() {
			if p.awaitHandshake(c, l) {
				p.connect(c, l)
			}
		})
	}
}

// connect opens the target's side of an accepted connection.
func (p *proxy) connect(c net.Conn, l *link) {
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.connections[c], p.connections[target] = true, true
	p.mu.Unlock()
	p.goroutines.Go(func() { p.forward(c, target, l, true) })
	p.goroutines.Go(func() { p.forward(target, c, l, false) })
}

// awaitHandshake waits for the end of a cut during which a connection was opened. It returns false after it has reset
// the connection, because the member has closed it or would have given up opening it.
func (p *proxy) awaitHandshake(c net.Conn, l *link) bool {
	for deadline := time.Now().Add(maxHandshakeWait); p.holds(l); time.Sleep(proxyPollInterval) {
		if time.Now().After(deadline) {
			return refuse(c)
		}
	}
	if connectionState(c) != tcpEstablished {
		return refuse(c)
	}
	return true
}

func refuse(c net.Conn) bool {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
	return false
}

// holds returns whether a cut holds the data of a connection back.
func (p *proxy) holds(l *link) bool {
	m := p.mode()
	return m == held || m == heldHalf && l.isHalf
}

// awaitEndOfCut waits while a cut holds the data of a connection back.
func (p *proxy) awaitEndOfCut(l *link) {
	for p.holds(l) {
		time.Sleep(proxyPollInterval)
	}
}

// forward copies one direction of a connection until either side closes it.
func (p *proxy) forward(from, to net.Conn, l *link, toTarget bool) {
	defer func() {
		p.awaitEndOfCut(l)
		_ = from.Close()
		if toTarget || !p.hidesEnd(&l.silenced) {
			_ = to.Close()
		}
		p.mu.Lock()
		delete(p.connections, from)
		p.mu.Unlock()
	}()
	buffer := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.applyMode(from, l, toTarget) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// hidesEnd returns whether a member doesn't learn that the service has closed a connection, as from behind a cut. The
// member's side then stays open until the member closes it.
func (p *proxy) hidesEnd(silenced *atomic.Bool) bool {
	if p.mode() == blackhole {
		silenced.Store(true)
	}
	return silenced.Load()
}

// applyMode applies the current mode to one block of bytes. It returns false if the block is dropped.
func (p *proxy) applyMode(from net.Conn, l *link, toTarget bool) bool {
	switch p.mode() {
	case held, heldHalf:
		if !p.holds(l) {
			break
		}
		p.affected.Add(1)
		p.awaitEndOfCut(l)
		if connectionState(from) == tcpClosed {
			return false
		}
	case delayed:
		p.affected.Add(1)
		time.Sleep(proxyDelay)
	case blackhole:
		p.affected.Add(1)
		l.silenced.Store(true)
	case oneWay:
		if toTarget {
			break
		}
		p.affected.Add(1)
		for p.mode() == oneWay {
			time.Sleep(proxyPollInterval)
		}
	}
	return !l.silenced.Load()
}

// TestCutHidesTheEnd guards against a cut that tells the member that the service has closed its connections.
func TestCutHidesTheEnd(t *testing.T) {
	const wait = 100 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	defer listener.Close()
	p, err := newProxy(listener.Addr().String(), &atomic.Int64{})
	quicktest.Assert(t, err, quicktest.IsNil)
	defer p.close()
	c, err := net.Dial("tcp", p.address())
	quicktest.Assert(t, err, quicktest.IsNil)
	defer c.Close()
	served, err := listener.Accept()
	quicktest.Assert(t, err, quicktest.IsNil)
	end := p.begin(blackhole)
	quicktest.Assert(t, served.Close(), quicktest.IsNil)
	for _, during := range []bool{true, false} {
		quicktest.Assert(t, c.SetReadDeadline(time.Now().Add(wait)), quicktest.IsNil)
		_, err = c.Read(make([]byte, 1))
		quicktest.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), quicktest.IsTrue, quicktest.Commentf("during the cut: %t", during))
		end()
	}
}

// TestHeldCutDeliversAsNetworksDo guards against a cut that delivers what no network would, or loses what a network keeps.
func TestHeldCutDeliversAsNetworksDo(t *testing.T) {
	const wait = 50 * time.Millisecond
	closeIt := func(c *net.TCPConn) { _ = c.Close() }
	resetIt := func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }
	for _, row := range []struct {
		name             string
		isOpenBefore     bool
		end              func(c *net.TCPConn)
		hasAnotherServer bool
		want             string
	}{
		{"sender is there", true, func(*net.TCPConn) {}, false, "order"},
		{"sender has closed", true, closeIt, false, "order"},
		{"sender has reset", true, resetIt, false, ""},
		{"target has restarted", true, closeIt, true, ""},
		{"opened during the cut", false, func(*net.TCPConn) {}, false, "order"},
		{"opened and closed during the cut", false, closeIt, false, ""},
	} {
		t.Run(row.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			quicktest.Assert(t, err, quicktest.IsNil)
			received := &receivedBytes{}
			go received.serve(listener)
			defer listener.Close()
			p, err := newProxy(listener.Addr().String(), &atomic.Int64{})
			quicktest.Assert(t, err, quicktest.IsNil)
			defer p.close()
			var end func()
			if !row.isOpenBefore {
				end = p.begin(held)
			}
			c, err := net.Dial("tcp", p.address())
			quicktest.Assert(t, err, quicktest.IsNil)
			defer c.Close()
			time.Sleep(wait)
			if row.isOpenBefore {
				end = p.begin(held)
			}
			_, err = c.Write([]byte("order"))
			quicktest.Assert(t, err, quicktest.IsNil)
			time.Sleep(wait)
			row.end(c.(*net.TCPConn))
			if row.hasAnotherServer {
				received.disconnect()
			}
			time.Sleep(wait)
			quicktest.Assert(t, received.text(), quicktest.Equals, "")
			end()
			time.Sleep(wait)
			quicktest.Assert(t, received.text(), quicktest.Equals, row.want)
		})
	}
}

// receivedBytes is what a server has received on all its connections.
type receivedBytes struct {
	mu          sync.Mutex
	data        []byte
	connections []net.Conn
}

func (r *receivedBytes) serve(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.connections = append(r.connections, c)
		r.mu.Unlock()
		go func() { _, _ = io.Copy(r, c) }()
	}
}

// Write implements io.Writer.
func (r *receivedBytes) Write(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.data = append(r.data, b...)
	return len(b), nil
}

func (r *receivedBytes) disconnect() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.connections {
		_ = c.Close()
	}
}

func (r *receivedBytes) text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return string(r.data)
}
