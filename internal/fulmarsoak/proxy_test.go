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
	pass mode = iota
	delayed
	// silent keeps connections open and carries nothing.
	silent
	// oneWay carries what the caller sends and nothing back.
	oneWay
)

const (
	proxyDelay  = 120 * time.Millisecond
	proxyPoll   = 10 * time.Millisecond
	proxyBuffer = 32 << 10
)

// proxy stands between a member and a service, both on the loopback address.
type proxy struct {
	socket net.Listener
	target string
	mode   atomic.Int32
	struck *atomic.Int64

	mu    sync.Mutex
	open  map[net.Conn]bool
	tasks sync.WaitGroup
}

// newProxy returns a proxy of target; struck counts the connections and blocks of bytes that faults have met.
func newProxy(target string, struck *atomic.Int64) (*proxy, error) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{socket: socket, target: target, struck: struck, open: map[net.Conn]bool{}}
	p.tasks.Go(p.accept)
	return p, nil
}

func (p *proxy) address() string { return p.socket.Addr().String() }

func (p *proxy) set(m mode) { p.mode.Store(int32(m)) }

func (p *proxy) close() {
	_ = p.socket.Close()
	p.set(pass)
	p.reset()
	p.tasks.Wait()
}

// reset breaks all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		if tcp, isTCP := c.(*net.TCPConn); isTCP {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
		p.struck.Add(1)
	}
	clear(p.open)
}

func (p *proxy) accept() {
	for {
		c, err := p.socket.Accept()
		if err != nil {
			return
		}
		target, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = c.Close()
			continue
		}
		p.mu.Lock()
		p.open[c], p.open[target] = true, true
		p.mu.Unlock()
		p.tasks.Go(func() { p.carry(c, target, true) })
		p.tasks.Go(func() { p.carry(target, c, false) })
	}
}

// carry copies one direction until either end closes.
func (p *proxy) carry(from, to net.Conn, outward bool) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
		p.mu.Lock()
		delete(p.open, from)
		p.mu.Unlock()
	}()
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.holdUp(outward) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// holdUp applies the present mode to one block; false loses it, and with it all that
// follows on the connection, as a path that is gone for good.
func (p *proxy) holdUp(outward bool) bool {
	switch m := mode(p.mode.Load()); {
	case m == delayed:
		p.struck.Add(1)
		time.Sleep(proxyDelay)
	case m == silent || m == oneWay && !outward:
		p.struck.Add(1)
		for mode(p.mode.Load()) == m {
			time.Sleep(proxyPoll)
		}
		return false
	}
	return true
}
