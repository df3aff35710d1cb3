package main

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// holdingProxy passes the connections of the members on to an executor. It can hold up one call: its
// bytes arrive later, at whatever then listens on the executor's address.
type holdingProxy struct {
	world   *world
	address string

	mu     sync.Mutex
	target string
	// matches reports whether to hold up a call, nil for none; holdFor is for how long.
	matches func(call []byte) bool
	holdFor time.Duration
}

func newHoldingProxy(w *world) (*holdingProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &holdingProxy{world: w, address: listener.Addr().String()}
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			go p.connect(from)
		}
	}()
	return p, nil
}

func (p *holdingProxy) listenAddress() string { return p.address }

// setTarget sets the address to which further connections go.
func (p *holdingProxy) setTarget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = address
}

// holdNext holds up the next call that matches.
func (p *holdingProxy) holdNext(matches func(call []byte) bool, holdFor time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.matches, p.holdFor = matches, holdFor
}

// isStart reports whether a call is the start of a run.
func isStart(call []byte) bool { return bytes.Contains(call, []byte("/fulmardrum/run-start")) }

// isAcknowledgement reports whether a call takes note of ends.
func isAcknowledgement(call []byte) bool {
	return bytes.Contains(call, []byte(`"ack_cursor":`)) && !bytes.Contains(call, []byte(`"ack_cursor":0`))
}

// takeHold returns for how long to hold up a part of a call, zero for not at all.
func (p *holdingProxy) takeHold(data []byte) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.matches == nil || !p.matches(data) {
		return 0
	}
	p.matches = nil
	return p.holdFor
}

func (p *holdingProxy) dial() (net.Conn, error) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	return net.Dial("tcp", target)
}

// connect passes one connection on until one of its ends closes it, or until a call on it is held up.
func (p *holdingProxy) connect(from net.Conn) {
	defer from.Close() //nolint:errcheck // the connection is over
	to, err := p.dial()
	if err != nil {
		return
	}
	defer to.Close() //nolint:errcheck // the connection is over
	go relayAll(from, to)
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if holdFor := p.takeHold(buffer[:n]); holdFor > 0 {
			p.deliverLate(bytes.Clone(buffer[:n]), holdFor)
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// deliverLate sends a call to the executor's address after a time. The caller gets no response.
func (p *holdingProxy) deliverLate(call []byte, holdFor time.Duration) {
	p.world.log("a call to %s is held up for %v", p.address, holdFor)
	time.Sleep(holdFor)
	to, err := p.dial()
	if err != nil {
		return
	}
	defer to.Close() //nolint:errcheck // the call is over
	p.world.log("the call to %s arrives", p.address)
	if _, err := to.Write(call); err != nil {
		return
	}
	response := make([]byte, 4<<10)
	_, _ = to.Read(response) // nobody waits for it
}

// relayAll passes bytes on until the connection ends, and then closes both ends.
func relayAll(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()   // it may be closed
	_ = from.Close() // it may be closed
}
