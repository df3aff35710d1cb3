// Package fulmarentry is the HTTP gateway of a member. It accepts callers'
// requests, forwards each to a worker of its pool and retries only where the
// method or the kind of failure makes that safe. Every response carries an
// outcome: answered, not run, or unknown when an attempt without a complete
// response may have run.
//
// Usage:
//
//	gateway := fulmarentry.New(options)
//	server := &http.Server{Handler: gateway}
//	...
//	gateway.Stop()  // new requests are refused
//	gateway.Wait(ctx)
package fulmarentry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclaim"
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarconfig"
	"github.com/fulmardrum/fulmardrum/internal/fulmardispatch"
	"github.com/fulmardrum/fulmardrum/internal/fulmarsettings"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

// PathReady is the path of the readiness check for the platform's load balancer:
// it returns 200 while the member accepts callers and 503 otherwise.
const PathReady = "/readyz"

// Schedulers looks up the scheduler of a pool.
type Schedulers interface {
	Scheduler(pool string) (*fulmardispatch.Scheduler, bool)
}

// Configuration returns the applied configuration; generation zero means that there is none yet.
type Configuration interface {
	Record() fulmarconfig.Record
}

// Sender sends a request to the worker of a grant and returns its response or a
// failure. If the grant's first-byte timeout passes, Send calls onFirstByteTimeout
// and gives the worker up if that returns true; with nil it keeps waiting.
type Sender interface {
	Send(ctx context.Context, grant fulmardispatch.Grant, request *fulmardispatch.Request, onFirstByteTimeout func() bool) (*fulmardispatch.Response, *fulmardispatch.AttemptError)
}

// Claimer claims idempotency keys and releases them.
type Claimer interface {
	Claim(ctx context.Context, key fulmarclaim.Key) (*fulmarclaim.Claim, fulmarclaim.Result)
	Release(ctx context.Context, claim *fulmarclaim.Claim) bool
}

// Counters count the outcomes, refusals, retries and claims of requests.
type Counters interface {
	CountResponse(outcome fulmarapi.Outcome)
	CountRefusal(reason fulmarapi.Reason)
	CountRetry(cause string)
	CountRefusedRetry(reason string)
	CountClaim(result string)
}

// MemberState reports whether this member may serve requests.
type MemberState interface {
	// IsFenced reports whether this member must not send requests to workers, as its
	// view of the fleet may be out of date.
	IsFenced() bool
	// IsAnnounced reports whether this member is registered, so that the others know it.
	IsAnnounced() bool
}

// Options are the dependencies and limits of a gateway.
type Options struct {
	Clock         fulmarclock.Clock
	Schedulers    Schedulers
	Configuration Configuration
	Sender        Sender
	Claimer       Claimer
	Counters      Counters
	State         MemberState
	Limits        fulmarsettings.Limits
	Times         fulmarsettings.Times
}

// Gateway is the HTTP handler for callers.
type Gateway struct {
	options Options
	bodies  bodyReader
	// inFlight is the number of requests in flight.
	inFlight atomic.Int64
	stopping atomic.Bool
	notReady atomic.Bool
	// mu serializes closing drained, which is closed when no request is in flight after Stop.
	mu      sync.Mutex
	drained chan struct{}
	// copyBuffers holds *[]byte of copyBufferBytes.
	copyBuffers sync.Pool
}

// New returns a gateway. It accepts callers once a configuration is applied and the member is announced.
func New(options Options) *Gateway {
	g := &Gateway{options: options, drained: make(chan struct{})}
	g.bodies = bodyReader{
		budget:      &byteBudget{limit: options.Limits.BufferedTotalBytes},
		maxBuffered: options.Limits.BufferedBodyBytes, maxBytes: options.Limits.BodyBytes, readTimeout: options.Times.ReadBodyTimeout,
	}
	g.copyBuffers.New = func() any {
		buffer := make([]byte, copyBufferBytes)
		return &buffer
	}
	return g
}

// IsReady reports whether the load balancer should send callers to this member.
func (g *Gateway) IsReady() bool {
	if !g.options.State.IsAnnounced() || g.options.State.IsFenced() {
		return false
	}
	return !g.notReady.Load() && g.options.Configuration.Record().Generation > 0
}

// MarkNotReady fails the readiness check, so that the load balancer stops sending
// callers. Requests are still accepted until Stop.
func (g *Gateway) MarkNotReady() { g.notReady.Store(true) }

// IsStopping reports whether MarkNotReady or Stop was called.
func (g *Gateway) IsStopping() bool { return g.notReady.Load() }

// Stop makes the gateway refuse new requests; those in flight continue.
func (g *Gateway) Stop() {
	g.MarkNotReady()
	g.stopping.Store(true)
	if g.inFlight.Load() == 0 {
		g.signalDrained()
	}
}

// Wait waits after Stop until no request is in flight. It returns false if ctx ends first.
func (g *Gateway) Wait(ctx context.Context) bool {
	select {
	case <-g.drained:
		return true
	case <-ctx.Done():
		return false
	}
}

// InFlight returns the number of requests in flight.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// ServeHTTP serves the readiness check or one request of a caller.
func (g *Gateway) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == PathReady {
		g.serveReady(rw)
		return
	}
	// net/http keeps the write deadline that the connection's previous request set.
	_ = http.NewResponseController(rw).SetWriteDeadline(time.Time{})
	inFlight := g.inFlight.Add(1)
	defer g.requestDone()
	refusal := refusalBeforeClaim(r, g.checkAdmission(inFlight))
	if refusal == nil {
		refusal = g.handle(rw, r)
	}
	if refusal == nil {
		g.options.Counters.CountResponse(fulmarapi.Answered)
		return
	}
	g.options.Counters.CountResponse(refusal.Outcome())
	g.options.Counters.CountRefusal(refusal.Reason())
	writeRefusal(rw, refusal)
}

func (g *Gateway) serveReady(rw http.ResponseWriter) {
	if !g.IsReady() {
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (g *Gateway) requestDone() {
	if g.inFlight.Add(-1) == 0 && g.stopping.Load() {
		g.signalDrained()
	}
}

func (g *Gateway) signalDrained() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.drained:
	default:
		close(g.drained)
	}
}

// checkAdmission returns a refusal if this member accepts no requests now.
// inFlight includes the request itself.
func (g *Gateway) checkAdmission(inFlight int64) *fulmarapi.Refusal {
	switch {
	case g.stopping.Load():
		return fulmarapi.NewRefusal(fulmarapi.ReasonStopping, "this member is stopping").WithRetryAfter(1)
	case inFlight > int64(g.options.Limits.CallerRequests):
		return fulmarapi.NewRefusal(fulmarapi.ReasonMemoryFull, "this member has too many requests in flight").WithRetryAfter(1)
	case g.options.Configuration.Record().Generation == 0:
		return fulmarapi.NewRefusal(fulmarapi.ReasonNoConfiguration, "this member has no configuration yet").WithRetryAfter(1)
	case !g.options.State.IsAnnounced():
		return fulmarapi.NewRefusal(fulmarapi.ReasonNotAnnounced, "this member is not announced to the other members yet").WithRetryAfter(1)
	case g.options.State.IsFenced():
		return fulmarapi.NewRefusal(fulmarapi.ReasonFenced, "this member's view of the fleet may be out of date").WithRetryAfter(1)
	}
	return nil
}

// handle forwards a request to its pool. A nil refusal means that the complete response was sent.
func (g *Gateway) handle(rw http.ResponseWriter, r *http.Request) *fulmarapi.Refusal {
	parsed, refusal := parseRequest(r)
	if refusal != nil {
		return refusalBeforeClaim(r, refusal)
	}
	document := g.options.Configuration.Record().Document
	scheduler, found := g.options.Schedulers.Scheduler(parsed.pool)
	if !found {
		return refusalBeforeClaim(r, fulmarapi.NewRefusal(fulmarapi.ReasonUnknownPool, "the configuration has no pool of this name"))
	}
	if _, found := document.Teams[parsed.team]; parsed.team != "" && !found {
		return refusalBeforeClaim(r, fulmarapi.NewRefusal(fulmarapi.ReasonUnknownTeam, "the configuration has no team of this name"))
	}
	defaults := document.DefaultsFor(parsed.pool)
	if parsed.timeout == 0 {
		parsed.timeout = defaults.TimeoutMillis
	}
	ctx, cancel := context.WithTimeout(r.Context(), parsed.timeout.Duration())
	defer cancel()
	release, refusal := g.bodies.read(ctx, rw, r, parsed.outgoing)
	defer release()
	if refusal != nil {
		return refusalBeforeClaim(r, refusal)
	}
	p := &proxiedRequest{
		gateway: g, ctx: ctx, rw: rw, parsed: parsed, scheduler: scheduler,
		maxAttempts: defaults.Attempts, deadline: g.options.Clock.Now() + parsed.timeout,
	}
	return p.run()
}

// refusalBeforeClaim returns the refusal of a request whose idempotency key, if
// any, was not claimed yet. With a key the outcome becomes unknown, as an earlier
// request with the same key may have run. A malformed request stays not run:
// earlier ones of the same form were refused too.
func refusalBeforeClaim(r *http.Request, refusal *fulmarapi.Refusal) *fulmarapi.Refusal {
	if refusal == nil || r.Header.Get(fulmarapi.HeaderIdempotencyKey) == "" {
		return refusal
	}
	switch refusal.Reason() {
	case fulmarapi.ReasonBadHeader, fulmarapi.ReasonBadMethod, fulmarapi.ReasonBodyTooLarge:
		return refusal
	}
	return fulmarapi.NewUnknown(refusal.Reason(), refusal.Detail()).WithRetryAfter(refusal.RetryAfter())
}
