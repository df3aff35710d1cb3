package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// link is a connection of one machine to one service, through a proxy that can be cut. While it is cut,
// bytes are held up in both directions. They arrive after the cut, unless their sender has reset the
// connection meanwhile.
type link struct {
	address string

	mu sync.Mutex
	// target is where connections go.
	target string
	cut    bool
	// healed is closed when the cut ends.
	healed chan struct{}
}

// newLink starts a proxy to an address.
func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{target: target, address: listener.Addr().String(), healed: make(chan struct{})}
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			go l.connect(from.(*net.TCPConn))
		}
	}()
	return l, nil
}

func (l *link) listenAddress() string { return l.address }

// setTarget sets the address to which further connections go.
func (l *link) setTarget(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = address
}

// setCut cuts the link, or ends the cut.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut && !cut {
		close(l.healed)
		l.healed = make(chan struct{})
	}
	l.cut = cut
}

// awaitHealed returns when the link is not cut.
func (l *link) awaitHealed() {
	for {
		l.mu.Lock()
		cut, healed := l.cut, l.healed
		l.mu.Unlock()
		if !cut {
			return
		}
		<-healed
	}
}

// connect connects a machine to the target and passes the bytes of both on.
func (l *link) connect(from *net.TCPConn) {
	l.awaitHealed()
	l.mu.Lock()
	target := l.target
	l.mu.Unlock()
	connection, err := net.Dial("tcp", target)
	if err != nil {
		reset(from)
		return
	}
	to := connection.(*net.TCPConn)
	go l.pass(from, to)
	go l.pass(to, from)
}

// reset closes a connection so that its peer gets a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0) // it may be closed
	_ = c.Close()      // it may be closed
}

// chunk is a part of what a sender sent, or its end.
type chunk struct {
	data []byte
	err  error
}

// maxHeldChunks is how many parts of a connection can be held up.
const maxHeldChunks = 1024

// pass passes the bytes of a sender on. It reads also during a cut, so that it learns of a reset.
func (l *link) pass(from, to *net.TCPConn) {
	chunks := make(chan chunk, maxHeldChunks)
	wasReset := make(chan struct{})
	go func() {
		for {
			buffer := make([]byte, 64<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				chunks <- chunk{data: buffer[:n]}
			}
			if err != nil && !errors.Is(err, io.EOF) {
				close(wasReset)
				return
			}
			if err != nil {
				chunks <- chunk{err: err}
				return
			}
		}
	}()
	for {
		select {
		case <-wasReset:
			l.awaitHealed()
			reset(to)
			return
		case c := <-chunks:
			l.awaitHealed()
			select {
			case <-wasReset:
				reset(to)
				return
			default:
			}
			if c.err != nil {
				_ = to.CloseWrite() // it may be closed
				return
			}
			if _, err := to.Write(c.data); err != nil {
				reset(from)
				return
			}
		}
	}
}

// cutOff cuts a member off from the platform for a time.
func (w *world) cutOff(m *member, length time.Duration) {
	w.log("member %s is cut off from the platform", m.name)
	for _, l := range m.links {
		l.setCut(true)
	}
	time.AfterFunc(length, func() {
		w.log("the cut of member %s ends", m.name)
		for _, l := range m.links {
			l.setCut(false)
		}
	})
}
