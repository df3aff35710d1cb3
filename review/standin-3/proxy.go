package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
)

// proxy is the path between a member and a service of the platform. A partition holds up the bytes of
// open connections in both directions until it heals; they are lost if their sender resets the connection.
// Connections that are opened during a partition are reset when it heals, and none of their bytes arrives.
type proxy struct {
	listener net.Listener
	target   string
	// onRequest is called with the first bytes of each block towards the service, before they pass.
	onRequest func(data []byte)

	mu     sync.Mutex
	cut    bool
	healed chan struct{}
}

func newProxy(target string, onRequest func([]byte)) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, onRequest: onRequest}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// begin begins a partition, unless there is one.
func (p *proxy) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.cut {
		p.cut, p.healed = true, make(chan struct{})
	}
}

// heal ends the partition.
func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut {
		p.cut = false
		close(p.healed)
	}
}

// partition returns a channel that is closed when the present partition heals, nil without one.
func (p *proxy) partition() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut {
		return p.healed
	}
	return nil
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if healed := p.partition(); healed != nil {
			go func() {
				<-healed
				reset(c)
			}()
			continue
		}
		target, err := net.Dial("tcp", p.target)
		if err != nil {
			reset(c)
			continue
		}
		go p.forward(c, target, p.onRequest)
		go p.forward(target, c, nil)
	}
}

func reset(c net.Conn) {
	if tcp, isTCP := c.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// block is what a sender has written, or the end of its stream.
type block struct {
	data []byte
	err  error
}

// forward copies one direction. During a partition it keeps reading, and drops what is held up if the
// sender resets the connection.
func (p *proxy) forward(from, to net.Conn, onRequest func([]byte)) {
	blocks := make(chan block, 1024)
	go func() {
		for {
			buffer := make([]byte, 32<<10)
			n, err := from.Read(buffer)
			if n > 0 && onRequest != nil {
				onRequest(buffer[:n])
			}
			blocks <- block{buffer[:n], err}
			if err != nil {
				close(blocks)
				return
			}
		}
	}()
	for b := range blocks {
		held := []block{b}
		if healed := p.partition(); healed != nil {
			held = collect(held, blocks, healed)
		}
		for _, h := range held {
			if !pass(h, from, to) {
				return
			}
		}
	}
}

// collect gathers blocks until a partition heals. A reset drops what came before it.
func collect(held []block, blocks chan block, healed chan struct{}) []block {
	for {
		if last := held[len(held)-1]; last.err != nil {
			<-healed
			if errors.Is(last.err, syscall.ECONNRESET) {
				return []block{{err: last.err}}
			}
			return held
		}
		select {
		case b, open := <-blocks:
			if !open {
				<-healed
				return held
			}
			held = append(held, b)
		case <-healed:
			return held
		}
	}
}

// pass passes one block on. It returns false at the end of the stream.
func pass(b block, from, to net.Conn) bool {
	if len(b.data) > 0 {
		if _, err := to.Write(b.data); err != nil {
			reset(from)
			return false
		}
	}
	if b.err == nil {
		return true
	}
	if errors.Is(b.err, io.EOF) {
		if tcp, isTCP := to.(*net.TCPConn); isTCP {
			_ = tcp.CloseWrite()
		}
		return false
	}
	reset(to)
	reset(from)
	return false
}
