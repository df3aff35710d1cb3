package fulmarsoak

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

// ending is how a request on an open connection ended.
type ending string

const (
	// answered requests got a complete response.
	answered ending = "answered"
	// notRead requests were closed out by the server before it had read them whole.
	notRead ending = "not read"
	// lost requests were read whole, and the connection ended without a complete response.
	lost ending = "lost"
	// unanswered requests got no complete response in answerTimeout on a connection that stays open.
	unanswered ending = "unanswered"
)

const (
	answerTimeout = 8 * time.Second
	// resetWait is the wait for the reset by a server that has ended its responses first.
	resetWait = time.Second
	resetPoll = 5 * time.Millisecond
	// The kernel's connection states.
	tcpEstablished = 1
	tcpClosed      = 7
	maxHeadBytes   = 512
)

// openConnection is a caller's keep-alive connection that never retries a request by itself.
type openConnection struct {
	connection *net.TCPConn
	reader     *bufio.Reader
	requests   int
	// took is the time from sending the last request to the end of its response or of the connection.
	took time.Duration
}

func dialOpen(address string) (*openConnection, error) {
	c, err := net.DialTimeout("tcp", address, callTimeout)
	if err != nil {
		return nil, err
	}
	return &openConnection{connection: c.(*net.TCPConn), reader: bufio.NewReader(c)}, nil
}

func (c *openConnection) close() { _ = c.connection.Close() }

// exchange sends a request in one write and reads the response. The response is nil unless the request is answered.
func (c *openConnection) exchange(request []byte) (*http.Response, ending) {
	c.requests++
	sent := time.Now()
	if _, err := c.connection.Write(request); err != nil {
		return nil, notRead
	}
	_ = c.connection.SetReadDeadline(time.Now().Add(answerTimeout))
	if _, err := c.reader.Peek(1); err != nil {
		c.took = time.Since(sent)
		return nil, c.endOf(err)
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		response.Body = io.NopCloser(bytes.NewReader(body))
	}
	c.took = time.Since(sent)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, unanswered
	case err != nil:
		return nil, lost
	}
	return response, answered
}

// endOf returns how a request ended whose first byte of a response could not be read. A server that closes a connection
// resets it if it has not read all bytes, before or after the close. Otherwise the connection ends without a reset.
func (c *openConnection) endOf(err error) ending {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return unanswered
	case !errors.Is(err, io.EOF):
		return notRead
	}
	for deadline := time.Now().Add(resetWait); time.Now().Before(deadline); time.Sleep(resetPoll) {
		if c.isReset() {
			return notRead
		}
	}
	return lost
}

func (c *openConnection) isReset() bool { return connectionState(c.connection) == tcpClosed }

// connectionState returns the kernel's state of a TCP connection, 0 if it can't be read.
func connectionState(c net.Conn) uint8 {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return 0
	}
	var state uint8
	_ = raw.Control(func(descriptor uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	return state
}

// rawRequest returns the bytes of a caller's request, with the key of the customer that has the path's job.
func rawRequest(method, path string, body []byte) []byte {
	key := keyOf(path[strings.LastIndexByte(path, '/')+1:])
	head := fmt.Appendf(make([]byte, 0, maxHeadBytes), "%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n\r\n", method, path, host, key, len(body))
	return append(head, body...)
}

// TestConnectionEnding guards against a lost request that counts as one that the server had not read.
func TestConnectionEnding(t *testing.T) {
	request := rawRequest(http.MethodPost, "/queue/1", []byte("{}"))
	readAll := func(c net.Conn) { _, _ = io.ReadFull(c, make([]byte, len(request))) }
	awaitBytes := func(c net.Conn) { _, _ = bufio.NewReaderSize(peekOnly{c.(*net.TCPConn)}, 16).Peek(1) }
	for _, row := range []struct {
		name string
		// serve handles a connection; then the server closes it.
		serve func(c net.Conn)
		// late requests are sent after the server has closed the connection.
		late bool
		want ending
	}{
		{"read and answered", func(c net.Conn) {
			readAll(c)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
		}, false, answered},
		{"read and not answered", readAll, false, lost},
		{"response cut in its body", func(c net.Conn) {
			readAll(c)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{")
		}, false, lost},
		{"response cut in its head", func(c net.Conn) { readAll(c); _, _ = io.WriteString(c, "HTTP/1.1 2") }, false, lost},
		{"arrived and not read", awaitBytes, false, notRead},
		{"read in part", func(c net.Conn) { _, _ = io.ReadFull(c, make([]byte, len(request)-1)) }, false, notRead},
		{"sent after the close", func(net.Conn) {}, true, notRead},
		{"arrived after the end of responses, not read", func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite(); awaitBytes(c) }, true, notRead},
		{"arrived after the end of responses, read", func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite(); readAll(c) }, true, lost},
	} {
		t.Run(row.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			quicktest.Assert(t, err, quicktest.IsNil)
			defer listener.Close()
			c, err := dialOpen(listener.Addr().String())
			quicktest.Assert(t, err, quicktest.IsNil)
			defer c.close()
			served, err := listener.Accept()
			quicktest.Assert(t, err, quicktest.IsNil)
			go func() {
				row.serve(served)
				_ = served.Close()
			}()
			if row.late {
				// The connection's end has arrived.
				_, err := c.reader.Peek(1)
				quicktest.Assert(t, err, quicktest.Equals, io.EOF)
			}
			_, got := c.exchange(request)
			quicktest.Assert(t, got, quicktest.Equals, row.want)
		})
	}
}

// peekOnly reads from a connection and leaves the bytes unread in the kernel.
type peekOnly struct{ *net.TCPConn }

func (p peekOnly) Read(b []byte) (n int, err error) {
	raw, err := p.SyscallConn()
	if err != nil {
		return 0, err
	}
	waitErr := raw.Read(func(descriptor uintptr) bool {
		n, _, err = syscall.Recvfrom(int(descriptor), b, syscall.MSG_PEEK)
		return err != syscall.EAGAIN
	})
	return n, errors.Join(err, waitErr)
}
