package fulmardispatch

import (
	"context"
	"net/http"
	"sync"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarserver"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

// TransportOptions configure a transport. Times are in milliseconds.
type TransportOptions struct {
	Clock fulmarclock.Clock
	// ConnectTimeout is the timeout for opening a connection.
	ConnectTimeout fulmarclock.Millis
	// AckTimeout is the time after which a connection with unacknowledged bytes fails.
	AckTimeout fulmarclock.Millis
	// NonIdempotentMaxIdle is the maximum idle time of a connection that is reused for a
	// non-idempotent request, which cannot be retried if the connection turns out to be lost.
	NonIdempotentMaxIdle fulmarclock.Millis
}

// Transport sends requests to workers over pooled connections. Unlike
// http.Transport it never retries a request by itself.
type Transport struct {
	options TransportOptions
	dialer  *dialer
	mu      sync.Mutex
	pools   map[string]*connectionPool
}

// NewTransport returns a transport without connections.
func NewTransport(options TransportOptions) *Transport {
	return &Transport{
		options: options, dialer: newDialer(options.ConnectTimeout, options.AckTimeout),
		pools: map[string]*connectionPool{},
	}
}

// Close closes all idle connections.
func (t *Transport) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, pool := range t.pools {
		pool.closeAll()
	}
}

// CloseIdle closes the connections that have been idle for longer than idleTimeout.
func (t *Transport) CloseIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.options.Clock.Now() - idleTimeout
	for _, pool := range t.pools {
		pool.closeIdle(before)
	}
}

// CloseExcept closes the idle connections to all addresses except these.
func (t *Transport) CloseExcept(addresses map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, pool := range t.pools {
		if !addresses[address] {
			pool.closeAll()
			delete(t.pools, address)
		}
	}
}

// Send sends a request once to the granted worker and returns the response with
// its body unread. The caller must close the response. If onTimeout is set, Send
// calls it when the grant's first-byte timeout has passed without a response; if
// it returns true, the attempt ends with ResultTimedOut.
func (t *Transport) Send(ctx context.Context, grant Grant, request *Request, onTimeout func() bool) (*Response, *AttemptError) {
	pool := t.pool(grant.Target.Address)
	c, err := t.connect(ctx, pool, grant.Target.Address, request.Idempotent)
	if err != nil {
		return nil, connectError(ctx, err)
	}
	e := newExchange(ctx, t, pool, c)
	if onTimeout != nil {
		e.startFirstByteTimer(grant.FirstByteTimeout, onTimeout)
	}
	response, attemptErr := e.roundTrip(grant.Target, request)
	if attemptErr != nil {
		e.end(attemptErr.Result == ResultBusy || attemptErr.Result == ResultStale)
		return nil, attemptErr
	}
	return &Response{response: response, exchange: e}, nil
}

func (t *Transport) pool(address string) *connectionPool {
	t.mu.Lock()
	defer t.mu.Unlock()
	pool, found := t.pools[address]
	if !found {
		pool = &connectionPool{}
		t.pools[address] = pool
	}
	return pool
}

// connect returns a pooled connection that has not been idle for too long, or opens a
// new one. The limit is shorter for non-idempotent requests.
func (t *Transport) connect(ctx context.Context, pool *connectionPool, address string, idempotent bool) (*connection, error) {
	maxIdle := idleTimeout
	if !idempotent {
		maxIdle = t.options.NonIdempotentMaxIdle
	}
	if c := pool.get(t.options.Clock.Now(), maxIdle); c != nil {
		c.bytesWritten = 0
		return c, nil
	}
	return t.dialer.dial(ctx, address)
}

// connectError returns the error of an attempt of which nothing was sent.
func connectError(ctx context.Context, err error) *AttemptError {
	if ctx.Err() != nil {
		return &AttemptError{Result: ResultNeutral, Reason: contextReason(ctx), Cause: err}
	}
	return &AttemptError{Result: ResultUnreachable, Reason: fulmarapi.ReasonWorkerLost, Cause: err}
}

// contextReason returns the reason code for an exchange that ended because ctx ended.
func contextReason(ctx context.Context) fulmarapi.Reason {
	if fulmarserver.IsShutdown(ctx) {
		return fulmarapi.ReasonStopping
	}
	if ctx.Err() == context.DeadlineExceeded {
		return fulmarapi.ReasonWorkerTimeout
	}
	return fulmarapi.ReasonCallerGone
}

// isRefusal reports whether the worker refused the request without running it.
func isRefusal(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable &&
		response.Header.Get(fulmarapi.HeaderOutcome) == string(fulmarapi.NotRun)
}
