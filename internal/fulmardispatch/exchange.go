package fulmardispatch

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

const (
	// maxInformational is the maximum number of responses read, 1xx ones included, to find the final one.
	maxInformational = 8
	// maxRefusalBodyBytes is the maximum length of a refusal's body that is read to keep the connection.
	maxRefusalBodyBytes = 4 << 10
	// reasonWorkerBusy is the reason code of a worker that has no free slot.
	reasonWorkerBusy = "busy"
)

// exchange is one request and its response on one connection.
type exchange struct {
	ctx              context.Context
	transport        *Transport
	pool             *connectionPool
	connection       *connection
	stopContextWatch func() bool
	firstByteTimer   fulmarclock.Timer
	// phase changes once, from phaseWaiting to phaseResponded or phaseTimedOut.
	phase   atomic.Int32
	endOnce sync.Once
	// bodySource is the streamed body, or nil; bodyDone is closed when nothing reads it any more.
	bodySource *streamSource
	bodyDone   chan struct{}
}

// Phases of an exchange.
const (
	phaseWaiting int32 = iota
	phaseResponded
	phaseTimedOut
)

// streamSource reads a caller's body and records whether reading it failed.
type streamSource struct {
	reader io.Reader
	stop   func()
	failed atomic.Bool
}

// Read reads the caller's body and sets failed on any error but io.EOF.
func (s *streamSource) Read(data []byte) (int, error) {
	n, err := s.reader.Read(data)
	if err != nil && err != io.EOF {
		s.failed.Store(true)
	}
	return n, err
}

// newExchange returns an exchange that is interrupted when ctx ends.
func newExchange(ctx context.Context, t *Transport, pool *connectionPool, c *connection) *exchange {
	e := &exchange{ctx: ctx, transport: t, pool: pool, connection: c}
	e.stopContextWatch = context.AfterFunc(ctx, e.interrupt)
	return e
}

// interrupt makes every read and write of the exchange fail.
func (e *exchange) interrupt() { _ = e.connection.SetDeadline(pastDeadline) }

// startFirstByteTimer calls onTimeout if no response header has arrived after
// timeout, and interrupts the exchange if onTimeout returns true.
func (e *exchange) startFirstByteTimer(timeout fulmarclock.Millis, onTimeout func() bool) {
	e.firstByteTimer = e.transport.options.Clock.AfterFunc(timeout, func() {
		if e.phase.Load() != phaseWaiting || e.ctx.Err() != nil || !onTimeout() {
			return
		}
		if e.phase.CompareAndSwap(phaseWaiting, phaseTimedOut) {
			e.interrupt()
		}
	})
}

// roundTrip sends the request and returns the response with its body unread. It sends nothing
// once ctx has ended: interrupt runs in its own goroutine and may come after the first bytes.
func (e *exchange) roundTrip(target Target, request *Request) (*http.Response, *AttemptError) {
	if err := e.ctx.Err(); err != nil {
		return nil, connectError(e.ctx, err)
	}
	if request.BodyStream != nil {
		e.bodySource = &streamSource{reader: request.BodyStream, stop: request.StopBodyStream}
	}
	out := request.httpRequest(target, e.bodySource)
	if attemptErr := e.send(out); attemptErr != nil {
		return nil, attemptErr
	}
	response, err := e.receive(out)
	if e.firstByteTimer != nil {
		e.firstByteTimer.Stop()
	}
	if err != nil {
		return nil, e.attemptError(err, true)
	}
	return e.checkResponse(response)
}

// send writes the request. A request with a streamed body is written by its own
// goroutine, because the worker may respond before it has read the whole body.
func (e *exchange) send(out *http.Request) *AttemptError {
	if e.bodySource != nil {
		e.bodyDone = make(chan struct{})
		go func() {
			defer close(e.bodyDone)
			if e.write(out) != nil && e.bodySource.failed.Load() {
				e.interrupt()
			}
		}()
		return nil
	}
	if err := e.write(out); err != nil {
		return e.attemptError(err, e.connection.bytesWritten > 0)
	}
	return nil
}

func (e *exchange) write(out *http.Request) error {
	if err := out.Write(e.connection.writer); err != nil {
		return err
	}
	return e.connection.writer.Flush()
}

// receive reads the header of the final response and skips 1xx responses.
func (e *exchange) receive(out *http.Request) (*http.Response, error) {
	for range maxInformational {
		response, err := http.ReadResponse(e.connection.reader, out)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			if !e.phase.CompareAndSwap(phaseWaiting, phaseResponded) {
				return nil, context.DeadlineExceeded
			}
			return response, nil
		}
	}
	return nil, &TooManyInformationalError{}
}

// checkResponse returns an error if the response is a refusal or has no framing
// that shows where its body ends.
func (e *exchange) checkResponse(response *http.Response) (*http.Response, *AttemptError) {
	if isRefusal(response) {
		return nil, e.refusalError(response)
	}
	if isUnframed(response) {
		return nil, &AttemptError{Result: ResultFailed, MayHaveRun: true, Reason: fulmarapi.ReasonAnswerUnframed}
	}
	return response, nil
}

// refusalError returns the error for a refusal. It reads the body so that the
// connection can be reused, and closes the connection if the body is too long.
func (e *exchange) refusalError(response *http.Response) *AttemptError {
	result := ResultStale
	if response.Header.Get(fulmarapi.HeaderReason) == reasonWorkerBusy {
		result = ResultBusy
	}
	if _, err := io.CopyN(io.Discard, response.Body, maxRefusalBodyBytes); err != io.EOF {
		_ = e.connection.Close()
	}
	return &AttemptError{Result: result, Reason: fulmarapi.ReasonWorkerRefused}
}

// isUnframed reports whether only the close of the connection marks the end of
// the body, so that a truncated body could not be detected.
func isUnframed(response *http.Response) bool {
	chunked := len(response.TransferEncoding) > 0
	return response.ContentLength < 0 && !chunked && response.Body != http.NoBody
}

// attemptError returns the error for a connection error, depending on what
// caused it: the first-byte timeout, the end of ctx, the caller's body, or else the worker.
func (e *exchange) attemptError(err error, mayHaveRun bool) *AttemptError {
	switch {
	case e.phase.Load() == phaseTimedOut:
		return &AttemptError{Result: ResultTimedOut, MayHaveRun: true, Reason: fulmarapi.ReasonWorkerTimeout, Cause: err}
	case e.ctx.Err() != nil:
		return &AttemptError{Result: ResultNeutral, MayHaveRun: mayHaveRun, Reason: contextReason(e.ctx), Cause: err}
	case e.bodySource != nil && e.bodySource.failed.Load():
		return &AttemptError{Result: ResultNeutral, MayHaveRun: mayHaveRun, Reason: fulmarapi.ReasonBodyIncomplete, Cause: err}
	}
	return &AttemptError{Result: ResultFailed, MayHaveRun: mayHaveRun, Reason: fulmarapi.ReasonWorkerLost, Cause: err}
}

// end returns the connection to the pool if it is reusable, and closes it
// otherwise. After a first-byte timeout it also closes the worker's idle connections.
func (e *exchange) end(reusable bool) {
	e.endOnce.Do(func() {
		if e.firstByteTimer != nil {
			e.firstByteTimer.Stop()
		}
		interrupted := !e.stopContextWatch()
		timedOut := e.phase.Load() == phaseTimedOut
		if timedOut {
			e.pool.closeAll()
		}
		if interrupted || timedOut || !e.isBodyDone() || !reusable {
			_ = e.connection.Close()
			e.waitForBody()
			return
		}
		e.connection.lastUsed = e.transport.options.Clock.Now()
		e.pool.put(e.connection)
	})
}

// isBodyDone reports whether the request has been written or writing it has failed, so
// that nothing reads the caller's body any more.
func (e *exchange) isBodyDone() bool {
	if e.bodyDone == nil {
		return true
	}
	select {
	case <-e.bodyDone:
		return true
	default:
		return false
	}
}

// waitForBody waits until nothing reads the caller's body any more. The
// connection must be closed first, which makes a pending write fail.
func (e *exchange) waitForBody() {
	if e.bodyDone == nil {
		return
	}
	if e.bodySource.stop != nil && !e.isBodyDone() {
		e.bodySource.stop()
	}
	<-e.bodyDone
}
