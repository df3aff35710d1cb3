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
	// informationalMost bounds the 1xx answers before a final one.
	informationalMost = 8
	// refusalBodyMost bounds what is read of a refusal's body, in bytes.
	refusalBodyMost = 4 << 10
	// reasonWorkerBusy is the worker's own reason for want of a free slot.
	reasonWorkerBusy = "busy"
)

// exchange is one request and its answer on one connection.
type exchange struct {
	ctx        context.Context
	transport  *Transport
	pool       *connections
	connection *connection
	stopWatch  func() bool
	silence    fulmarclock.Timer
	// phase moves once, from phaseWaiting to phaseAnswered or phaseSilent.
	phase atomic.Int32
	ended sync.Once
	// source is the streamed body, if there is one; streamed is closed when its sending has ended.
	source   *streamSource
	streamed chan struct{}
}

// Phases of an exchange.
const (
	phaseWaiting int32 = iota
	phaseAnswered
	phaseSilent
)

// streamSource reads a caller's body and keeps the error that cut it.
type streamSource struct {
	reader io.Reader
	stop   func()
	cut    atomic.Bool
}

// Read reads the caller's body.
func (s *streamSource) Read(data []byte) (int, error) {
	n, err := s.reader.Read(data)
	if err != nil && err != io.EOF {
		s.cut.Store(true)
	}
	return n, err
}

func newExchange(ctx context.Context, t *Transport, pool *connections, c *connection) *exchange {
	e := &exchange{ctx: ctx, transport: t, pool: pool, connection: c}
	e.stopWatch = context.AfterFunc(ctx, e.interrupt)
	return e
}

// interrupt ends every read and write of the exchange.
func (e *exchange) interrupt() { _ = e.connection.SetDeadline(longPast) }

func (e *exchange) watchSilence(patience fulmarclock.Millis, onSilence func() bool) {
	e.silence = e.transport.options.Clock.AfterFunc(patience, func() {
		if e.phase.Load() != phaseWaiting || e.ctx.Err() != nil || !onSilence() {
			return
		}
		if e.phase.CompareAndSwap(phaseWaiting, phaseSilent) {
			e.interrupt()
		}
	})
}

func (e *exchange) roundTrip(target Target, request *Request) (*http.Response, *Failure) {
	if request.Stream != nil {
		e.source = &streamSource{reader: request.Stream, stop: request.StopStream}
	}
	out := request.outgoing(target, e.source)
	if failure := e.send(out); failure != nil {
		return nil, failure
	}
	response, err := e.receive(out)
	if e.silence != nil {
		e.silence.Stop()
	}
	if err != nil {
		return nil, e.failure(err, true)
	}
	return e.accept(response)
}

// send writes the request. A streamed body is written beside the reading of the answer.
func (e *exchange) send(out *http.Request) *Failure {
	if e.source != nil {
		e.streamed = make(chan struct{})
		go func() {
			defer close(e.streamed)
			if e.write(out) != nil && e.source.cut.Load() {
				e.interrupt()
			}
		}()
		return nil
	}
	if err := e.write(out); err != nil {
		return e.failure(err, e.connection.written > 0)
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
	for range informationalMost {
		response, err := http.ReadResponse(e.connection.reader, out)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			if !e.phase.CompareAndSwap(phaseWaiting, phaseAnswered) {
				return nil, context.DeadlineExceeded
			}
			return response, nil
		}
	}
	return nil, &InformationalError{}
}

// accept tells a worker's answer from its refusal and from one whose end cannot be told.
func (e *exchange) accept(response *http.Response) (*http.Response, *Failure) {
	if isNotRun(response) {
		return nil, e.refused(response)
	}
	if isUnframed(response) {
		return nil, &Failure{Result: ResultFailed, MayHaveRun: true, Reason: fulmarapi.ReasonAnswerUnframed}
	}
	return response, nil
}

func (e *exchange) refused(response *http.Response) *Failure {
	result := ResultStale
	if response.Header.Get(fulmarapi.HeaderReason) == reasonWorkerBusy {
		result = ResultBusy
	}
	if _, err := io.CopyN(io.Discard, response.Body, refusalBodyMost); err != io.EOF {
		_ = e.connection.Close()
	}
	return &Failure{Result: result, Reason: fulmarapi.ReasonWorkerRefused}
}

// isUnframed tells whether only the end of the connection marks the end of the body.
func isUnframed(response *http.Response) bool {
	chunked := len(response.TransferEncoding) > 0
	return response.ContentLength < 0 && !chunked && response.Body != http.NoBody
}

func (e *exchange) failure(err error, mayHaveRun bool) *Failure {
	switch {
	case e.phase.Load() == phaseSilent:
		return &Failure{Result: ResultSilent, MayHaveRun: true, Reason: fulmarapi.ReasonWorkerTimeout, Cause: err}
	case e.ctx.Err() != nil:
		return &Failure{Result: ResultNeutral, MayHaveRun: mayHaveRun, Reason: reasonOfContext(e.ctx), Cause: err}
	case e.source != nil && e.source.cut.Load():
		return &Failure{Result: ResultNeutral, MayHaveRun: mayHaveRun, Reason: fulmarapi.ReasonBodyIncomplete, Cause: err}
	}
	return &Failure{Result: ResultFailed, MayHaveRun: mayHaveRun, Reason: fulmarapi.ReasonWorkerLost, Cause: err}
}

// end gives the connection back for reuse, or closes it.
func (e *exchange) end(reusable bool) {
	e.ended.Do(func() {
		if e.silence != nil {
			e.silence.Stop()
		}
		interrupted := !e.stopWatch()
		silent := e.phase.Load() == phaseSilent
		if silent {
			e.pool.closeAll()
		}
		if interrupted || silent || !e.bodySent() || !reusable {
			_ = e.connection.Close()
			e.awaitStream()
			return
		}
		e.connection.proven = e.transport.options.Clock.Now()
		e.pool.put(e.connection)
	})
}

// bodySent tells whether the whole request has been written.
func (e *exchange) bodySent() bool {
	if e.streamed == nil {
		return true
	}
	select {
	case <-e.streamed:
		return true
	default:
		return false
	}
}

// awaitStream waits until nothing reads the caller's body any more; the connection is closed.
func (e *exchange) awaitStream() {
	if e.streamed == nil {
		return
	}
	if e.source.stop != nil && !e.bodySent() {
		e.source.stop()
	}
	<-e.streamed
}
