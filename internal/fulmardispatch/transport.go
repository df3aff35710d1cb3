package fulmardispatch

import (
	"context"
	"net/http"
	"sync"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

// TransportOptions bound the steps of an exchange, in milliseconds.
type TransportOptions struct {
	Clock       fulmarclock.Clock
	Connect     fulmarclock.Millis
	Acknowledge fulmarclock.Millis
	// FreshIdle is how long ago a connection must have carried an answer to take a non-idempotent request.
	FreshIdle fulmarclock.Millis
}

// Transport exchanges requests with workers, each once: unlike http.Transport
// it never sends a request again by itself.
type Transport struct {
	options TransportOptions
	dialer  *dialer
	mu      sync.Mutex
	workers map[string]*connections
}

// NewTransport returns a transport without connections.
func NewTransport(options TransportOptions) *Transport {
	return &Transport{
		options: options, dialer: newDialer(options.Connect, options.Acknowledge),
		workers: map[string]*connections{},
	}
}

// Close drops all idle connections.
func (t *Transport) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, pool := range t.workers {
		pool.closeAll()
	}
}

// CloseIdle drops the connections that have been idle for long.
func (t *Transport) CloseIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.options.Clock.Now() - idleMost
	for _, pool := range t.workers {
		pool.closeIdle(before)
	}
}

// Keep drops the connections to every address but these.
func (t *Transport) Keep(addresses map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, pool := range t.workers {
		if !addresses[address] {
			pool.closeAll()
			delete(t.workers, address)
		}
	}
}

// Send sends a request once to the granted worker and returns its answer's
// header with the body still to read. An answer must be closed.
// onSilence, when set, is asked when the grant's patience has passed without a
// byte of the answer; if it returns true, the attempt ends as ResultSilent.
func (t *Transport) Send(ctx context.Context, grant Grant, request *Request, onSilence func() bool) (*Answer, *Failure) {
	pool := t.pool(grant.Target.Address)
	c, err := t.connect(ctx, pool, grant.Target.Address, request.Idempotent)
	if err != nil {
		return nil, connectFailure(ctx, err)
	}
	e := newExchange(ctx, t, pool, c)
	if onSilence != nil {
		e.watchSilence(grant.Patience, onSilence)
	}
	response, failure := e.roundTrip(grant.Target, request)
	if failure != nil {
		e.end(failure.Result == ResultBusy || failure.Result == ResultStale)
		return nil, failure
	}
	return &Answer{response: response, exchange: e}, nil
}

func (t *Transport) pool(address string) *connections {
	t.mu.Lock()
	defer t.mu.Unlock()
	pool, known := t.workers[address]
	if !known {
		pool = &connections{}
		t.workers[address] = pool
	}
	return pool
}

func (t *Transport) connect(ctx context.Context, pool *connections, address string, idempotent bool) (*connection, error) {
	within := idleMost
	if !idempotent {
		within = t.options.FreshIdle
	}
	if c := pool.take(t.options.Clock.Now(), within); c != nil {
		c.written = 0
		return c, nil
	}
	return t.dialer.dial(ctx, address)
}

func connectFailure(ctx context.Context, err error) *Failure {
	if ctx.Err() != nil {
		return &Failure{Result: ResultNeutral, Reason: reasonOfContext(ctx), Cause: err}
	}
	return &Failure{Result: ResultUnreachable, Reason: fulmarapi.ReasonWorkerLost, Cause: err}
}

// reasonOfContext tells why an exchange was given up.
func reasonOfContext(ctx context.Context) fulmarapi.Reason {
	if ctx.Err() == context.DeadlineExceeded {
		return fulmarapi.ReasonWorkerTimeout
	}
	return fulmarapi.ReasonCallerGone
}

func isNotRun(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable &&
		response.Header.Get(fulmarapi.HeaderOutcome) == string(fulmarapi.NotRun)
}
