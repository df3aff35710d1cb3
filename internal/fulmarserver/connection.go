package fulmarserver

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// finalReadTimeout is how long a connection that is to read no further request looks for one
// that the system has received already.
const finalReadTimeout = 20 * fulmarclock.Millis(1)

// backgroundReadSize is the size of the reads with which net/http notices that the caller
// leaves. They are made after the end of a request, so a byte that they return begins the next.
const backgroundReadSize = 1

// expiredDeadline is a read deadline that ends a read at once.
var expiredDeadline = time.Unix(1, 0)

// connection is a caller's connection. It follows which requests have got a response, and can
// be closed while no request is in progress.
type connection struct {
	net.Conn
	server *Server

	mu sync.Mutex
	// requestAt is when the first byte of the request in progress was read. hasRequest means
	// that there is one, handled that its handler was called, answered that a part of its
	// response was written.
	requestAt  fulmarclock.Millis
	hasRequest bool
	handled    bool
	answered   bool
	// inHandler means that the handler has not returned.
	inHandler bool
	// nextBegun means that the first byte of the request after it was read.
	nextBegun bool
	// callerLeft means that the caller has closed the connection.
	callerLeft bool
	closed     bool
	// retiring connections read no further request. A connection that has had none yet may
	// still send its first one until firstRequestBy.
	retiring       bool
	firstRequestBy time.Time
	hadRequest     bool
	// readFinally means that the read after the deadline was made.
	readFinally bool
}

func newConnection(c net.Conn, s *Server) *connection {
	return &connection{Conn: c, server: s, firstRequestBy: time.Now().Add(s.options.FirstRequestTimeout.Duration())}
}

// Read reads from the connection. The first byte after a response begins a request.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.allowFinalRead() {
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		c.recordRead(len(p) == backgroundReadSize)
	}
	if isCallerGone(err) {
		c.markLeft()
	}
	return n, err
}

// Write writes to the connection.
func (c *connection) Write(p []byte) (int, error) {
	// The caller may have the response, and the server may close the connection, before the
	// call below returns.
	c.markAnswered(true)
	n, err := c.Conn.Write(p)
	if err != nil {
		c.markAnswered(false)
	}
	if isCallerGone(err) {
		c.markLeft()
	}
	return n, err
}

// isCallerGone reports whether an error of a connection means that the caller has closed it.
func isCallerGone(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// SetReadDeadline sets the deadline of reads, unless the connection reads no further request.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retiring && !c.hasRequest {
		deadline = c.lastReadBy()
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Close closes the connection. It reports the request in progress if that has no complete
// response and the caller has not left.
func (c *connection) Close() error {
	c.mu.Lock()
	reason, requestAt := c.unansweredReason(), c.requestAt
	c.closed = true
	c.mu.Unlock()
	if reason != "" {
		c.server.reportUnanswered(c, reason, requestAt)
	}
	c.server.forget(c)
	return c.Conn.Close()
}

// unansweredReason returns why the request in progress has no complete response, empty if there
// is none, it has one, or the caller has left. The caller holds c.mu.
func (c *connection) unansweredReason() string {
	switch {
	case !c.hasRequest || c.callerLeft || c.closed:
		return ""
	case !c.handled && !c.answered:
		return reasonNotHandled
	case !c.answered:
		return reasonNotWritten
	case c.inHandler:
		return reasonIncomplete
	}
	return ""
}

// retire lets the connection read no further request: without one in progress, its read ends
// and the server closes it. The read itself ends, rather than the connection, because a
// request that was read in the same moment must still get its response.
func (c *connection) retire() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	alreadyRetiring := c.retiring
	c.retiring = true
	if alreadyRetiring || c.hasRequest {
		return nil
	}
	return c.Conn.SetReadDeadline(c.lastReadBy())
}

// allowFinalRead reports whether the connection may read once more after its deadline, and sets
// the deadline for it. A read whose deadline has passed returns without looking for bytes that
// the system has received, which may be a whole request if the process was slow.
func (c *connection) allowFinalRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.retiring || c.hasRequest || c.readFinally {
		return false
	}
	c.readFinally = true
	return c.Conn.SetReadDeadline(time.Now().Add(finalReadTimeout.Duration())) == nil
}

// lastReadBy returns the time by which a retiring connection without a request in progress
// must begin one. The caller holds c.mu.
func (c *connection) lastReadBy() time.Time {
	if c.hadRequest {
		return expiredDeadline
	}
	return c.firstRequestBy
}

// CloseWrite closes the sending side, so that the caller can read the last response before the
// connection is reset.
func (c *connection) CloseWrite() error {
	if sender, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return sender.CloseWrite()
	}
	return nil
}

// recordRead records that bytes were read, by a background read or another one.
func (c *connection) recordRead(inBackground bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasRequest {
		c.nextBegun = c.nextBegun || inBackground
		return
	}
	c.beginRequest()
	if c.retiring {
		c.restoreReadDeadline()
	}
}

// beginRequest records that there is a request in progress. The caller holds c.mu.
func (c *connection) beginRequest() {
	c.requestAt = c.server.options.Clock.Now()
	c.hasRequest, c.hadRequest, c.handled, c.answered, c.nextBegun = true, true, false, false, false
}

// restoreReadDeadline lets the rest of a request be read whose first bytes arrived as the
// connection was retired. The caller holds c.mu.
func (c *connection) restoreReadDeadline() {
	deadline := time.Now().Add(c.server.options.ReadHeaderTimeout.Duration())
	if err := c.Conn.SetReadDeadline(deadline); err != nil {
		c.server.options.Logger.Warn("failed to set a connection's deadline; its request may be cut", "caller", c.RemoteAddr(), "error", err)
	}
}

// markHandled records that the handler of the request in progress was called. That of a
// pipelined request may have been read together with the one before it.
func (c *connection) markHandled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasRequest {
		c.beginRequest()
	}
	c.handled, c.inHandler = true, true
}

func (c *connection) markHandlerDone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHandler = false
}

func (c *connection) markAnswered(answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = answered
}

func (c *connection) markLeft() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callerLeft = true
}

// endRequest records that the server is done with the request in progress.
func (c *connection) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasRequest = false
	if c.nextBegun {
		c.beginRequest()
	}
}
