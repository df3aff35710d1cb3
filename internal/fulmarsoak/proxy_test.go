package fulmarsoak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// mode is what a proxy does to the bytes of its connections.
type mode int32

const (
	forwarding mode = iota
	delayed
	// blackhole keeps connections open and forwards nothing.
	blackhole
	// oneWay forwards data to the target and none back.
	oneWay
)

const (
	proxyDelay        = 120 * time.Millisecond
	proxyPollInterval = 10 * time.Millisecond
	proxyBufferBytes  = 32 << 10
)

// proxy is a TCP proxy between a member and a service, with fault injection.
type proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32
	affected *atomic.Int64

	mu          sync.Mutex
	connections map[net.Conn]bool
	goroutines  sync.WaitGroup
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

func (p *proxy) setMode(m mode) { p.mode.Store(int32(m)) }

func (p *proxy) close() {
	_ = p.listener.Close()
	p.setMode(forwarding)
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
		target, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = c.Close()
			continue
		}
		p.mu.Lock()
		p.connections[c], p.connections[target] = true, true
		p.mu.Unlock()
		p.goroutines.Go(func() { p.forward(c, target, true) })
		p.goroutines.Go(func() { p.forward(target, c, false) })
	}
}

// forward copies one direction of a connection until either side closes it.
func (p *proxy) forward(from, to net.Conn, toTarget bool) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
		p.mu.Lock()
		delete(p.connections, from)
		p.mu.Unlock()
	}()
	buffer := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.applyMode(toTarget) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// applyMode applies the current mode to one block of bytes. A blackhole blocks until the mode
// changes, so that nothing further is read from the connection, and then drops the block; so
// does oneWay for data from the target. It returns false if the block is dropped.
func (p *proxy) applyMode(toTarget bool) bool {
	switch m := mode(p.mode.Load()); {
	case m == delayed:
		p.affected.Add(1)
		time.Sleep(proxyDelay)
	case m == blackhole || m == oneWay && !toTarget:
		p.affected.Add(1)
		for mode(p.mode.Load()) == m {
			time.Sleep(proxyPollInterval)
		}
		return false
	}
	return true
}
