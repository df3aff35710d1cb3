// Package fulmarentry is the callers' side of a member: it takes requests over
// HTTP, has them run at most as often as their method allows, and tells each
// caller truthfully what became of its request.
//
// Usage:
//
//	entry := fulmarentry.New(options)
//	server := &http.Server{Handler: entry}
//	...
//	entry.Stop()  // new requests are refused as not run
//	entry.Wait(ctx)
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

// PathReady answers 200 while the member takes callers, for the platform's balancer.
const PathReady = "/readyz"

// Schedulers finds the scheduler of a pool.
type Schedulers interface {
	Scheduler(pool string) (*fulmardispatch.Scheduler, bool)
}

// Configuration returns the record in force; generation zero means none is known.
type Configuration interface {
	Record() fulmarconfig.Record
}

// Sender exchanges one request with a worker.
type Sender interface {
	Send(ctx context.Context, grant fulmardispatch.Grant, request *fulmardispatch.Request, onSilence func() bool) (*fulmardispatch.Answer, *fulmardispatch.Failure)
}

// Claimer claims idempotency keys.
type Claimer interface {
	Claim(ctx context.Context, key fulmarclaim.Key) (*fulmarclaim.Claim, fulmarclaim.Verdict)
	Release(ctx context.Context, claim *fulmarclaim.Claim) bool
}

// Counters count what became of requests.
type Counters interface {
	Outcome(outcome fulmarapi.Outcome)
	Refusal(reason fulmarapi.Reason)
	Retry(cause string)
	RetryRefused(reason string)
	Claim(verdict string)
}

// Fence tells whether this member must not send work.
type Fence interface {
	IsFenced() bool
	// IsAnnounced tells whether the other members know of this one.
	IsAnnounced() bool
}

// Options are what an entry works with.
type Options struct {
	Clock         fulmarclock.Clock
	Schedulers    Schedulers
	Configuration Configuration
	Sender        Sender
	Claimer       Claimer
	Counters      Counters
	Fence         Fence
	Limits        fulmarsettings.Limits
	Times         fulmarsettings.Times
}

// Entry serves callers.
type Entry struct {
	options  Options
	bodies   bodyReader
	open     atomic.Int64
	stopping atomic.Bool
	notReady atomic.Bool
	mu       sync.Mutex
	idle     chan struct{}
	buffers  sync.Pool
}

// New returns an entry that takes callers as soon as a configuration is known.
func New(options Options) *Entry {
	e := &Entry{options: options, idle: make(chan struct{})}
	e.bodies = bodyReader{
		memory:   &memory{most: options.Limits.BufferedTotal},
		buffered: options.Limits.BufferedBody, most: options.Limits.BodyBytes, idle: options.Times.ReadBody,
	}
	e.buffers.New = func() any {
		buffer := make([]byte, copyBuffer)
		return &buffer
	}
	return e
}

// IsReady tells whether the balancer should send callers here.
func (e *Entry) IsReady() bool {
	if !e.options.Fence.IsAnnounced() || e.options.Fence.IsFenced() {
		return false
	}
	return !e.notReady.Load() && e.options.Configuration.Record().Generation > 0
}

// LeaveBalancer makes the health answer not-ready while requests are still taken.
func (e *Entry) LeaveBalancer() { e.notReady.Store(true) }

// Stop refuses new requests as not run; those in flight go on.
func (e *Entry) Stop() {
	e.LeaveBalancer()
	e.stopping.Store(true)
	if e.open.Load() == 0 {
		e.signalIdle()
	}
}

// Wait waits after Stop until no request is in flight, and tells whether that came before ctx ended.
func (e *Entry) Wait(ctx context.Context) bool {
	select {
	case <-e.idle:
		return true
	case <-ctx.Done():
		return false
	}
}

// InFlight returns the number of requests in flight.
func (e *Entry) InFlight() int64 { return e.open.Load() }

// ServeHTTP serves one request of a caller.
func (e *Entry) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == PathReady {
		e.serveReady(rw)
		return
	}
	// The server keeps the write deadline of the connection's last request.
	_ = http.NewResponseController(rw).SetWriteDeadline(time.Time{})
	open := e.open.Add(1)
	defer e.leave()
	refusal := beforeClaim(r, e.gate(open))
	if refusal == nil {
		refusal = e.handle(rw, r)
	}
	if refusal == nil {
		e.options.Counters.Outcome(fulmarapi.Answered)
		return
	}
	e.options.Counters.Outcome(refusal.Outcome())
	e.options.Counters.Refusal(refusal.Reason())
	writeRefusal(rw, refusal)
}

func (e *Entry) serveReady(rw http.ResponseWriter) {
	if !e.IsReady() {
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (e *Entry) leave() {
	if e.open.Add(-1) == 0 && e.stopping.Load() {
		e.signalIdle()
	}
}

func (e *Entry) signalIdle() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.idle:
	default:
		close(e.idle)
	}
}

// gate refuses requests that this member cannot take at all.
func (e *Entry) gate(open int64) *fulmarapi.Refusal {
	switch {
	case e.stopping.Load():
		return fulmarapi.NewRefusal(fulmarapi.ReasonStopping, "this member stops").WithRetryAfter(1)
	case open > int64(e.options.Limits.CallerRequests):
		return fulmarapi.NewRefusal(fulmarapi.ReasonMemoryFull, "too many requests are open").WithRetryAfter(1)
	case e.options.Configuration.Record().Generation == 0:
		return fulmarapi.NewRefusal(fulmarapi.ReasonNoConfiguration, "no configuration is known yet").WithRetryAfter(1)
	case !e.options.Fence.IsAnnounced():
		return fulmarapi.NewRefusal(fulmarapi.ReasonNotAnnounced, "the other members do not know of this one yet").WithRetryAfter(1)
	case e.options.Fence.IsFenced():
		return fulmarapi.NewRefusal(fulmarapi.ReasonFenced, "this member has lost touch with the fleet").WithRetryAfter(1)
	}
	return nil
}

// handle carries a request through; a nil refusal means that the answer was sent whole.
func (e *Entry) handle(rw http.ResponseWriter, r *http.Request) *fulmarapi.Refusal {
	c, refusal := parse(r)
	if refusal != nil {
		return beforeClaim(r, refusal)
	}
	document := e.options.Configuration.Record().Document
	scheduler, known := e.options.Schedulers.Scheduler(c.pool)
	if !known {
		return beforeClaim(r, fulmarapi.NewRefusal(fulmarapi.ReasonUnknownPool, "no pool has this name"))
	}
	if _, known := document.Teams[c.team]; c.team != "" && !known {
		return beforeClaim(r, fulmarapi.NewRefusal(fulmarapi.ReasonUnknownTeam, "no team has this name"))
	}
	defaults := document.DefaultsFor(c.pool)
	if c.timeout == 0 {
		c.timeout = defaults.TimeoutMillis
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.timeout.Duration())
	defer cancel()
	release, refusal := e.bodies.take(rw, r, c.request)
	defer release()
	if refusal != nil {
		return beforeClaim(r, refusal)
	}
	p := &passage{
		entry: e, ctx: ctx, rw: rw, call: c, scheduler: scheduler,
		attempts: defaults.Attempts, deadline: e.options.Clock.Now() + c.timeout,
	}
	return p.run()
}

// beforeClaim makes the refusal of a request with an idempotency key unknown
// when the key has not been looked at: an earlier request with the key may have
// run. A request that is refused for its form was never taken in that form.
func beforeClaim(r *http.Request, refusal *fulmarapi.Refusal) *fulmarapi.Refusal {
	if refusal == nil || r.Header.Get(fulmarapi.HeaderIdempotencyKey) == "" {
		return refusal
	}
	switch refusal.Reason() {
	case fulmarapi.ReasonBadHeader, fulmarapi.ReasonBadMethod, fulmarapi.ReasonBodyTooLarge:
		return refusal
	}
	return fulmarapi.NewUnknown(refusal.Reason(), refusal.Detail()).WithRetryAfter(refusal.RetryAfter())
}
