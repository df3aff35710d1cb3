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
	// maxInformational bounds the 1xx answers before a final one.
	maxInformational = 8
	// maxRefusalBodyBytes bounds what is read of a refusal's body, in bytes.
	maxRefusalBodyBytes = 4 << 10
	// reasonWorkerBusy is the worker's own reason for want of a free slot.
	reasonWorkerBusy = "busy"
)

// exchange is one request and its answer on one connection.
type exchange struct {
	ctx              context.Context
	transport        *Transport
	pool             *connectionPool
	connection       *connection
	stopContextWatch func() bool
	firstByteTimer   fulmarclock.Timer
	// phase moves once, from phaseWaiting to phaseAnswered or phaseSilent.
	phase   atomic.Int32
	endOnce sync.Once
	// bodySource is the streamed body, if there is one; streamed is closed when its sending has ended.
	bodySource *streamSource
	bodyDone   chan struct{}
}

// Phases of an exchange.
const (
	phaseWaiting int32 = iota
	phaseResponded
	phaseTimedOut
)

// streamSource reads a caller's body and keeps the error that cut it.
type streamSource struct {
	reader io.Reader
	stop   func()
	failed atomic.Bool
}

// Read reads the caller's body.
func (s *streamSource) Read(data []byte) (int, error) {
	n, err := s.reader.Read(data)
	if err != nil && err != io.EOF {
		s.failed.Store(true)
	}
	return n, err
}

func newExchange(ctx context.Context, t *Transport, pool *connectionPool, c *connection) *exchange {
	e := &exchange{ctx: ctx, transport: t, pool: pool, connection: c}
	e.stopContextWatch = context.AfterFunc(ctx, e.interrupt)
	return e
}

// interrupt ends every read and write of the exchange.
func (e *exchange) interrupt() { _ = e.connection.SetDeadline(pastDeadline) }

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

func (e *exchange) roundTrip(target Target, request *Request) (*http.Response, *Failure) {
	if request.Stream != nil {
		e.bodySource = &streamSource{reader: request.Stream, stop: request.StopStream}
	}
	out := request.httpRequest(target, e.bodySource)
	if failure := e.send(out); failure != nil {
		return nil, failure
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

// send writes the request. A streamed body is written beside the reading of the answer.
func (e *exchange) send(out *http.Request) *Failure {
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

// receive reads the header of the final answer.
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

// checkResponse tells a worker's answer from its refusal and from one whose end cannot be told.
func (e *exchange) checkResponse(response *http.Response) (*http.Response, *Failure) {
	if isRefusal(response) {
		return nil, e.refusalError(response)
	}
	if isUnframed(response) {
		return nil, &Failure{Result: ResultFailed, MayHaveRun: true, Reason: fulmarapi.ReasonAnswerUnframed}
	}
	return response, nil
}

func (e *exchange) refusalError(response *http.Response) *Failure {
	result := ResultStale
	if response.Header.Get(fulmarapi.HeaderReason) == reasonWorkerBusy {
		result = ResultBusy
	}
	if _, err := io.CopyN(io.Discard, response.Body, maxRefusalBodyBytes); err != io.EOF {
		_ = e.connection.Close()
	}
	return &Failure{Result: result, Reason: fulmarapi.ReasonWorkerRefused}
}

// isUnframed tells whether only the end of the connection marks the end of the body.
func isUnframed(response *http.Response) bool {
	chunked := len(response.TransferEncoding) > 0
	return response.ContentLength < 0 && !chunked && response.Body != http.NoBody
}

func (e *exchange) attemptError(err error, mayHaveRun bool) *Failure {
	switch {
	case e.phase.Load() == phaseTimedOut:
		return &Failure{Result: ResultSilent, MayHaveRun: true, Reason: fulmarapi.ReasonWorkerTimeout, Cause: err}
	case e.ctx.Err() != nil:
		return &Failure{Result: ResultNeutral, MayHaveRun: mayHaveRun, Reason: contextReason(e.ctx), Cause: err}
	case e.bodySource != nil && e.bodySource.failed.Load():
		return &Failure{Result: ResultNeutral, MayHaveRun: mayHaveRun, Reason: fulmarapi.ReasonBodyIncomplete, Cause: err}
	}
	return &Failure{Result: ResultFailed, MayHaveRun: mayHaveRun, Reason: fulmarapi.ReasonWorkerLost, Cause: err}
}

// end gives the connection back for reuse, or closes it.
func (e *exchange) end(reusable bool) {
	e.endOnce.Do(func() {
		if e.firstByteTimer != nil {
			e.firstByteTimer.Stop()
		}
		interrupted := !e.stopContextWatch()
		silent := e.phase.Load() == phaseTimedOut
		if silent {
			e.pool.closeAll()
		}
		if interrupted || silent || !e.bodySent() || !reusable {
			_ = e.connection.Close()
			e.waitForBody()
			return
		}
		e.connection.lastUsed = e.transport.options.Clock.Now()
		e.pool.put(e.connection)
	})
}

// bodySent tells whether the whole request has been written.
func (e *exchange) bodySent() bool {
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

// waitForBody waits until nothing reads the caller's body any more; the connection is closed.
func (e *exchange) waitForBody() {
	if e.bodyDone == nil {
		return
	}
	if e.bodySource.stop != nil && !e.bodySent() {
		e.bodySource.stop()
	}
	<-e.bodyDone
}
