package fulmarowner

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarfollow"
	"github.com/fulmardrum/fulmardrum/internal/fulmarhedge"
	"github.com/fulmardrum/fulmardrum/internal/fulmarledger"
	"github.com/fulmardrum/fulmardrum/internal/fulmarsched"
)

// term is one period in which this member owns the scheduler.
type term struct {
	options   Options
	candidate *Candidate
	ownership *fulmarledger.Ownership
	journal   *fulmarledger.Journal
	scheduler *fulmarsched.Scheduler
	events    chan event
	// ended is closed when the scheduler accepts no more events.
	ended chan struct{}
	// drained is closed when the events that were queued at the end have been answered.
	drained chan struct{}
	// calls are the goroutines of the term.
	calls sync.WaitGroup
	// executorEntries follows the executors' entries in the store.
	executorEntries *fulmarfollow.Follower
	// latency tracks how long executors take to respond to a start command.
	latency *fulmarhedge.LatencyTracker

	// The fields below belong to the goroutine that runs the scheduler.
	// began is when the scheduler began to run.
	began fulmarclock.Millis
	// appending is true while an append is in flight; the last one started at appendStarted.
	appending     bool
	appendStarted fulmarclock.Millis
	lastTick      fulmarclock.Millis
	lastRefresh   fulmarclock.Millis
	load          loadMeter
	// commandsSince is a time on the boot clock before which no command that waits was decided; hasCommands means that
	// some may wait.
	commandsSince fulmarclock.Millis
	hasCommands   bool
	// window limits the start commands in flight.
	window startWindow
	// pending are the responses that wait for the next append.
	pending []pendingResponse
	// failure is the error that ended the term, nil until then.
	failure error
	// stopping means that the term ends by plan, for stopCause; hasLastAppend that one more append may
	// be started then.
	stopping      bool
	stopCause     string
	hasLastAppend bool
}

func newTerm(c *Candidate, ownership *fulmarledger.Ownership) *term {
	return &term{
		options: c.options, candidate: c, ownership: ownership,
		events: make(chan event, maxQueuedEvents), ended: make(chan struct{}), drained: make(chan struct{}),
		window:  newStartWindow(),
		latency: fulmarhedge.NewLatencyTracker(minHedgeDelay, commandTimeout/2, maxCommandAttempts),
	}
}

// run runs the scheduler until ctx is done or the ownership is lost. It returns when all
// goroutines of the term have ended.
func (t *term) run(ctx context.Context) {
	termCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	lost := make(chan error, 1)
	t.calls.Go(func() { lost <- t.ownership.KeepAlive(termCtx, t.recordRenewalFailure) })
	started := t.options.Clock.Now()
	if err := t.openJournal(ctx); err != nil {
		t.options.Logger.Error("opening the journal failed; resigning the scheduler ownership", "error", err)
		t.resign(cancel)
		return
	}
	t.options.Logger.Info("this member owns the scheduler", "token", t.ownership.Token(), "opened_in_ms", t.options.Clock.Now()-started)
	t.options.Metrics.Count("reigns", "begun")
	t.executorEntries = t.followExecutors()
	t.calls.Go(func() { t.executorEntries.Run(termCtx) })
	t.calls.Go(func() { t.listVMs(termCtx) })
	t.calls.Go(func() { t.announce(termCtx) })
	t.candidate.term.Store(t)
	t.loop(ctx, termCtx, lost)
	t.candidate.term.Store(nil)
	close(t.ended)
	t.options.Logger.Info("this member no longer owns the scheduler", "token", t.ownership.Token(), "cause", t.failure)
	t.resign(cancel)
}

// resign gives up the ownership, cancels all calls and waits for them.
func (t *term) resign(cancel context.CancelFunc) {
	resignCtx, done := context.WithTimeout(context.Background(), resignTimeout.Duration())
	defer done()
	if err := t.ownership.Resign(resignCtx); err != nil {
		t.options.Logger.Warn("revoking the ownership lease failed; the ownership ends when the lease expires", "error", err)
	}
	cancel()
	t.calls.Wait()
	t.rejectQueued()
	close(t.drained)
}

// rejectQueued responds to the requests and appends that are still queued as events.
func (t *term) rejectQueued() {
	for {
		select {
		case e := <-t.events:
			switch e := e.(type) {
			case requestReceived:
				e.responses <- Response{Outcome: NotOwner}
			case appendCompleted:
				respondUnknown(e.pending)
			}
		default:
			return
		}
	}
}

func (t *term) recordRenewalFailure(err error) {
	t.options.Logger.Warn("renewing the ownership lease failed; retrying", "error", err)
	t.options.Metrics.Count("lease_failures", "store")
}

// send queues an event for the scheduler. It returns false if the term has ended.
func (t *term) send(e event) bool {
	select {
	case t.events <- e:
		return true
	case <-t.ended:
		return false
	}
}

// loop runs the scheduler until the term fails: it applies events, appends batches to the
// journal and executes commands. When ctx is done it stops after the append in flight and one for
// the requests that wait by then.
func (t *term) loop(ctx, termCtx context.Context, lost <-chan error) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	t.began = t.options.Clock.Now()
	stop := ctx.Done()
	for t.failure == nil {
		select {
		case e := <-t.events:
			t.beginDecisions()
			t.guard(func() { e.apply(t, t.options.Clock.Now()) })
			t.guard(t.applyQueued)
		case <-timer.C:
			t.beginDecisions()
		case err := <-lost:
			t.fail(err)
		case <-stop:
			t.beginStop("the member is shutting down")
			stop = nil
		}
		t.guard(func() { t.advance(termCtx) })
		if t.stopping && !t.appending && !t.mayAppend() {
			t.fail(&fulmarledger.OwnershipLostError{Cause: t.stopCause})
		}
		timer.Reset(t.nextWake().Duration())
	}
	t.respondToPending()
}

// beginDecisions notes the time before the scheduler decides on commands.
func (t *term) beginDecisions() {
	if !t.hasCommands {
		t.hasCommands, t.commandsSince = true, t.options.BootClock.Now()
	}
}

// guard calls f, unless the term has failed. A panic in f ends the term: the scheduler's state
// may be inconsistent, while the journal holds what the next term needs.
func (t *term) guard(f func()) {
	if t.failure != nil {
		return
	}
	defer func() {
		if value := recover(); value != nil {
			t.options.Logger.Error("the scheduler panicked; resigning the ownership", "panic", value, "stack", string(debug.Stack()))
			t.options.Metrics.Count("reigns", "panicked")
			t.fail(&panicError{value: value})
		}
	}()
	f()
}

// panicError is the failure of a term whose scheduler panicked.
type panicError struct{ value any }

// Error returns the value of the panic.
func (e *panicError) Error() string { return fmt.Sprintf("the scheduler panicked: %v", e.value) }

// fail ends the term; the first error is kept as its cause.
func (t *term) fail(err error) {
	if err != nil && t.failure == nil {
		t.failure = err
	}
}

// applyQueued applies the events that are queued, at most as many as the queue holds.
func (t *term) applyQueued() {
	for range maxQueuedEvents {
		select {
		case e := <-t.events:
			e.apply(t, t.options.Clock.Now())
		default:
			return
		}
	}
}

// nextWake returns the delay until the next tick or append.
func (t *term) nextWake() fulmarclock.Millis {
	now := t.options.Clock.Now()
	wake := t.lastTick + tickInterval
	if !t.appending && len(t.pending) > 0 {
		wake = min(wake, t.appendStarted+minAppendInterval)
	}
	return max(wake-now, 1)
}

// advance runs the tick if it is due, starts an append if none is in flight, and
// executes the commands that are ready.
func (t *term) advance(ctx context.Context) {
	now := t.options.Clock.Now()
	if now >= t.lastTick+tickInterval {
		if t.lastTick > 0 {
			t.load.recordTick(now, t.lastTick+tickInterval)
		}
		t.lastTick = now
		t.logLoad(now)
		t.checkHandOver(now)
		t.scheduler.Tick(now, t.options.Clock.Unix())
		t.refreshEntries(now)
		t.options.Relay.SetExecutorCount(t.scheduler.ExecutorCount())
	}
	if !t.appending && t.mayAppend() && now >= t.appendStarted+minAppendInterval {
		t.hasLastAppend = false
		t.beginAppend(ctx, now)
	}
	if _, stalled := t.stallRetryAfter(now); stalled {
		t.withdrawPending(now)
	}
	if t.mayExecute() {
		for _, command := range t.scheduler.TakeCommands() {
			t.execute(ctx, command, t.commandsSince)
		}
		t.hasCommands = false
	}
}

// refreshEntries reads the executors' entries again if VMs that must have arrived in their pools are not
// listed yet: the watch may be silent.
func (t *term) refreshEntries(now fulmarclock.Millis) {
	if now < t.lastRefresh+refreshInterval || !t.scheduler.HasOverdueArrivals() {
		return
	}
	t.lastRefresh = now
	t.options.Metrics.Count("entry_refreshes", "overdue-arrivals")
	t.executorEntries.Refresh()
}

// mayExecute reports whether commands may be sent. In an outage of the store the
// ownership lease can't be renewed, but no other member can acquire the ownership either.
func (t *term) mayExecute() bool {
	return t.ownership.IsValidWithin(fulmarclock.Millis(float64(t.options.Parameters.MaxLease) * commandGraceFactor))
}
