package fulmarowner

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"slices"
	"sync/atomic"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarledger"
	"github.com/fulmardrum/fulmardrum/internal/fulmarsched"
)

const (
	jobA = "00000000000000aa"
	jobB = "00000000000000bb"
)

// noResponse blocks until the caller gives up.
func noResponse(ctx context.Context) error {
	<-ctx.Done()
	return &fulmarjob.UnknownOutcomeError{Call: "call", Cause: ctx.Err()}
}

// acceptRunning submits a job and waits until its task runs.
func (h *harness) acceptRunning(id string) {
	h.t.Helper()
	h.c.Assert(h.await(h.submit(id)).Outcome, quicktest.Equals, Done)
	starts := h.executors.countStarts()
	h.waitFor("the task runs", func() bool { return h.executors.countStarts() > starts || starts > 0 && h.isRunning(id) })
}

func (h *harness) isRunning(id string) bool {
	h.executors.mu.Lock()
	defer h.executors.mu.Unlock()
	for task := range h.executors.running {
		if task.Job == id {
			return true
		}
	}
	return false
}

// TestRenewalsWithoutResponse loses every response to the renewals of the ownership lease.
// The owner keeps the executors' leases for a while, as nobody else can be the owner while
// the store is away. It must not touch VMs, and must not deny jobs it doesn't know, once the
// lease may have expired.
func TestRenewalsWithoutResponse(t *testing.T) {
	h := newHarness(t)
	owner := h.start()
	h.acceptRunning(jobA)
	h.c.Assert(h.ask(Request{Kind: State, Job: jobB}).Outcome, quicktest.Equals, UnknownJob)
	h.store.script(func(s *scriptedStore) { s.beforeRenewal = noResponse })
	h.advanceBy(testLease + 100)
	h.c.Assert(h.ask(Request{Kind: State, Job: jobB}).Outcome, quicktest.Equals, NotOwner)
	h.c.Assert(h.ask(Request{Kind: State, Job: jobA}).Outcome, quicktest.Equals, Done)
	moves := len(h.fleet.received())
	owner.move(context.Background(), fulmarsched.MoveCommand{VM: "vm-0", Pool: "spare", Token: owner.ownership.Token()})
	owner.maintain(context.Background(), fulmarsched.MaintenanceCommand{VM: "vm-0", Wave: 1, Token: owner.ownership.Token()})
	h.c.Assert(h.fleet.received(), quicktest.HasLen, moves)
	h.advanceBy(testMaxLease)
	commands := len(h.executors.received())
	owner.start(context.Background(), fulmarsched.StartCommand{Start: fulmarjob.StartRequest{Run: 9}}, h.bootClock.Now())
	owner.stop(context.Background(), fulmarsched.StopCommand{Run: 9}, h.bootClock.Now())
	owner.renewLease(context.Background(), fulmarsched.RenewCommand{}, h.bootClock.Now())
	h.advanceBy(fulmarclock.Second)
	h.c.Assert(h.executors.received(), quicktest.HasLen, commands)
	h.store.script(func(s *scriptedStore) { s.beforeRenewal = nil })
	h.waitFor("commands are sent again", func() bool { return len(h.executors.received()) > commands })
}

// TestEndedLeaseEndsTerm makes the store reject a renewal because the lease has ended.
func TestEndedLeaseEndsTerm(t *testing.T) {
	h := newHarness(t)
	first := h.start()
	h.acceptRunning(jobA)
	h.store.ownerExpires()
	h.store.script(func(s *scriptedStore) {
		s.beforeRenewal = func(context.Context) error { return &fulmarjob.RejectedError{Call: "renew", Status: 410} }
	})
	h.waitFor("the term has ended", func() bool { return h.candidate.term.Load() != first })
	commands := len(h.executors.received())
	// A request that has found the term just before its end may still be queued. It must be
	// answered at once, whether it is queued or not.
	for range 50 {
		h.c.Assert(first.do(context.Background(), Request{Kind: State, Job: jobA}).Outcome, quicktest.Equals, NotOwner)
	}
	for _, c := range h.executors.received()[commands:] {
		h.c.Check(c.token >= fulmarsched.FirstToken(first.ownership.Token()+1), quicktest.IsTrue, quicktest.Commentf("%+v", c))
	}
}

// TestAppendWithoutResponse plays appends whose responses are lost, and appends that the store
// refuses at first. The job must be accepted once and run once.
func TestAppendWithoutResponse(t *testing.T) {
	refusals := 0
	for _, row := range []struct {
		name   string
		script func(s *scriptedStore)
	}{
		{"response lost", func(s *scriptedStore) { s.losesResponses = true }},
		{"refused twice", func(s *scriptedStore) {
			s.beforeCommit = func(context.Context, fulmarledger.Transaction) error {
				if refusals++; refusals <= 2 {
					return &fulmarjob.NotExecutedError{Call: "commit", Status: 503}
				}
				return nil
			}
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			h := newHarness(t)
			h.start()
			h.store.script(row.script)
			h.c.Assert(h.await(h.submit(jobA)).Outcome, quicktest.Equals, Done)
			h.c.Assert(h.await(h.submit(jobA)).Outcome, quicktest.Equals, Done)
			h.waitFor("the task runs", func() bool { return h.isRunning(jobA) })
			h.advanceBy(fulmarclock.Second)
			h.c.Assert(h.executors.countStarts(), quicktest.Equals, 1)
		})
	}
}

// TestStalledAppendRefusesNewJobs leaves an append without any response. A job in it stays
// undecided; one submitted later is refused, with a retry delay, and never runs.
func TestStalledAppendRefusesNewJobs(t *testing.T) {
	h := newHarness(t)
	h.start()
	release := h.blockCommits()
	undecided := h.submit(jobA)
	h.advanceBy(100)
	refused := h.await(h.submit(jobB))
	h.c.Assert(refused.Outcome, quicktest.Equals, Refused)
	h.c.Assert(refused.RetryAfter >= fulmarclock.Second, quicktest.IsTrue, quicktest.Commentf("%d ms", refused.RetryAfter))
	release()
	h.c.Assert(h.await(undecided).Outcome, quicktest.Equals, Done)
	h.waitFor("the stored job runs", func() bool { return h.isRunning(jobA) })
	h.advanceBy(fulmarclock.Second)
	h.c.Assert(h.isRunning(jobB), quicktest.IsFalse)
	h.c.Assert(h.ask(Request{Kind: State, Job: jobB}).Outcome, quicktest.Equals, UnknownJob)
}

// TestResigningWaitsForAppendInFlight stops the member while an append is in flight. The job
// in it is answered by what the store did, the lease is revoked only after that, and the next
// owner knows the job and doesn't start its task again.
func TestResigningWaitsForAppendInFlight(t *testing.T) {
	h := newHarness(t)
	h.start()
	h.acceptRunning(jobA)
	release := h.blockCommits()
	inFlight := h.submit(jobB)
	h.advanceBy(100)
	h.stop()
	h.advanceBy(200)
	h.store.script(func(s *scriptedStore) {
		h.c.Check(s.revoked, quicktest.HasLen, 0)
		s.beforeCommit = nil
	})
	release()
	h.c.Assert(h.await(inFlight).Outcome, quicktest.Equals, Done)
	h.waitFor("the candidate has ended", func() bool { return h.candidate.term.Load() == nil })
	h.c.Assert(h.ask(Request{Kind: State, Job: jobA}).Outcome, quicktest.Equals, NotOwner)
	h.replaceCandidate("b")
	second := h.start()
	h.c.Assert(h.ask(Request{Kind: State, Job: jobB}).Outcome, quicktest.Equals, Done)
	h.waitFor("the second job runs", func() bool { return h.isRunning(jobB) })
	h.advanceBy(fulmarclock.Second)
	h.c.Assert(h.executors.countStarts(), quicktest.Equals, 2)
	last := int64(0)
	for _, c := range h.executors.received() {
		h.c.Check(c.token >= last, quicktest.IsTrue, quicktest.Commentf("%+v after token %d", c, last))
		last = c.token
	}
	h.c.Assert(last, quicktest.Equals, fulmarsched.FirstToken(second.ownership.Token()))
}

// slowEvent stands for work that keeps the scheduler busy for a time.
type slowEvent struct {
	clock    *fulmarclock.Manual
	duration fulmarclock.Millis
}

func (e slowEvent) apply(*term, fulmarclock.Millis) { e.clock.Advance(e.duration) }

// TestOverdueSubmissionsAreShed keeps the scheduler busy while submissions wait for it. New jobs
// are refused instead of adding to the work; a known job and the state of a job are answered.
func TestOverdueSubmissionsAreShed(t *testing.T) {
	h := newHarness(t)
	owner := h.start()
	h.acceptRunning(jobA)
	entered, release := make(chan struct{}), make(chan struct{})
	h.c.Assert(owner.send(blockingEvent{entered, release}), quicktest.IsTrue)
	<-entered
	h.c.Assert(owner.send(slowEvent{h.clock, 2 * maxQueueDelay}), quicktest.IsTrue)
	known, overdue := h.submit(jobA), h.submit(jobB)
	state := make(chan Response, 1)
	go func() { state <- owner.do(context.Background(), Request{Kind: State, Job: jobA}) }()
	for len(owner.events) < 4 {
		h.settle()
	}
	close(release)
	h.c.Assert(h.await(known).Outcome, quicktest.Equals, Done)
	h.c.Assert(h.await(state).Outcome, quicktest.Equals, Done)
	refused := h.await(overdue)
	h.c.Assert(refused.IsShed(), quicktest.IsTrue, quicktest.Commentf("%+v", refused))
	h.c.Assert(refused.RetryAfter > 0, quicktest.IsTrue)
	h.c.Assert(h.ask(Request{Kind: State, Job: jobB}).Outcome, quicktest.Equals, UnknownJob)
	h.c.Assert(h.await(h.submit(jobB)).Outcome, quicktest.Equals, Done)
}

// A refusal of a known job would say that it never runs.
func TestKnownJobOfRemovedQueueIsNotRefused(t *testing.T) {
	h := newHarness(t)
	h.start()
	h.acceptRunning(jobA)
	h.candidate.SetConfiguration(&fulmarjob.Configuration{Version: 2, Services: []fulmarjob.Service{{Name: "web"}}})
	h.c.Assert(h.await(h.submit(jobA)).Outcome, quicktest.Equals, Done)
	h.c.Assert(h.await(h.submit(jobB)).Outcome, quicktest.Equals, Refused)
}

// blockingEvent blocks the scheduler until released.
type blockingEvent struct{ entered, release chan struct{} }

func (e blockingEvent) apply(*term, fulmarclock.Millis) {
	close(e.entered)
	<-e.release
}

// panickingEvent stands for an input that violates an assumption of the scheduler.
type panickingEvent struct{}

func (panickingEvent) apply(*term, fulmarclock.Millis) { panic("unexpected input") }

// TestPanicEndsTermOnly makes the handling of an event panic. The process must go on: the term
// ends, its state is discarded, and the member may own the scheduler again with the state
// from the journal.
func TestPanicEndsTermOnly(t *testing.T) {
	h := newHarness(t)
	first := h.start()
	h.acceptRunning(jobA)
	h.c.Assert(first.send(panickingEvent{}), quicktest.IsTrue)
	h.waitFor("another term has begun", func() bool {
		current := h.candidate.term.Load()
		return current != nil && current != first
	})
	var failure *panicError
	h.c.Assert(errors.As(first.failure, &failure), quicktest.IsTrue)
	// A request that got no response before the panic may be in the journal.
	unanswered := make(chan Response, 1)
	h.c.Assert(first.lateResponse(unanswered).Outcome, quicktest.Equals, Unknown)
	h.c.Assert(h.ask(Request{Kind: State, Job: jobA}).Outcome, quicktest.Equals, Done)
	h.advanceBy(fulmarclock.Second)
	h.c.Assert(h.executors.countStarts(), quicktest.Equals, 1)
}

// TestPanicAtRestoreEndsTermOnly restores a job whose step depends on one that does not exist. The
// process must go on and try again.
func TestPanicAtRestoreEndsTermOnly(t *testing.T) {
	h := newHarness(t)
	h.appendRecord("j/"+jobA, `{"s":{"s":[{"n":1,"a":[7]}]}}`)
	ctx, cancel := context.WithCancel(context.Background())
	h.stop, h.ended = cancel, make(chan struct{})
	go func() {
		defer close(h.ended)
		h.candidate.Run(ctx)
	}()
	t.Cleanup(h.close)
	h.waitFor("the member has resigned three times", func() bool {
		resigned := 0
		h.store.script(func(s *scriptedStore) { resigned = len(s.revoked) })
		return resigned >= 3
	})
}

// appendRecord appends a record to the journal as a previous owner.
func (h *harness) appendRecord(key, value string) {
	ctx := context.Background()
	ownership, err := fulmarledger.AcquireOwnership(ctx, h.store, h.bootClock, fulmarledger.Owner{Member: "previous"}, testLease)
	h.c.Assert(err, quicktest.IsNil)
	journal, _, err := fulmarledger.Open(ctx, h.store, h.clock, ownership, func(error) {})
	h.c.Assert(err, quicktest.IsNil)
	h.c.Assert(journal.Append(ctx, []fulmarledger.Record{{Key: key, Value: json.RawMessage(value)}}), quicktest.IsNil)
	h.c.Assert(ownership.Resign(ctx), quicktest.IsNil)
}

// TestMalformedReportsDoNoHarm adds rows of unknown and impossible tasks to the executor's
// reports, and a malformed entry to the store.
func TestMalformedReportsDoNoHarm(t *testing.T) {
	h := newHarness(t)
	h.store.script(func(s *scriptedStore) { s.put(executorPrefix+"x-bad", "malformed") })
	first := h.start()
	h.acceptRunning(jobA)
	ids := []fulmarjob.TaskID{
		{}, {Job: jobA, Step: -1}, {Job: jobA, Index: -1}, {Job: jobA, Occurrence: -1}, {Job: jobA, Step: math.MaxInt},
		{Job: jobA, Index: math.MaxInt}, {Job: jobA, Occurrence: math.MaxInt}, {Job: "unknown", Step: 3},
	}
	h.executors.mu.Lock()
	for i, id := range ids {
		h.executors.extra = append(h.executors.extra, fulmarjob.RunningTask{Task: id, Run: math.MinInt64, ProgressPercent: -5, Measurement: math.NaN()})
		h.executors.extraFinished = append(h.executors.extraFinished, fulmarjob.FinishedTask{Sequence: int64(i - 4), Task: id, Run: -1, Outcome: "what"})
	}
	h.executors.mu.Unlock()
	commands := len(h.executors.received())
	h.waitFor("some reports have arrived", func() bool { return len(h.executors.received()) > commands+20 })
	h.c.Assert(h.candidate.term.Load(), quicktest.Equals, first)
	h.c.Assert(h.ask(Request{Kind: State, Job: jobA}).State, quicktest.Equals, fulmarjob.Running)
	h.c.Assert(h.executors.countStarts(), quicktest.Equals, 1)
}

// A start is sent again because it has no response, and the executor refuses the second attempt.
// The first one may still be executed, so the run must be stopped.
func TestRunIsStoppedWhenOnlyOneAttemptIsRefused(t *testing.T) {
	h := newHarness(t)
	var attempts atomic.Int32
	h.executors.start = func(ctx context.Context) (fulmarjob.CommandResult, error) {
		if attempts.Add(1) == 1 {
			return fulmarjob.ResultUnknown, noResponse(ctx)
		}
		return fulmarjob.ResultUnhealthy, nil
	}
	h.start()
	h.submit(jobA)
	h.waitFor("the run is stopped", func() bool {
		return slices.ContainsFunc(h.executors.received(), func(c executorCommand) bool { return c.name == "stop" && c.run == 1 })
	})
}

// Each change of an executor's entry reaches the scheduler, also if only the capacity differs.
func TestChangedCapacityReachesScheduler(t *testing.T) {
	h := newHarness(t)
	h.start()
	h.acceptRunning(jobA)
	h.store.script(func(s *scriptedStore) { s.put(executorPrefix+executorID, "no capacity") })
	h.advanceBy(fulmarclock.Second)
	h.c.Assert(h.await(h.submit(jobB)).Outcome, quicktest.Equals, Done)
	h.advanceBy(2 * fulmarclock.Second)
	h.c.Assert(h.isRunning(jobB), quicktest.IsFalse)
	h.store.script(func(s *scriptedStore) { s.put(executorPrefix+executorID, "entry") })
	h.waitFor("the task runs", func() bool { return h.isRunning(jobB) })
	h.c.Assert(h.isRunning(jobA), quicktest.IsTrue)
}

func TestOverwrittenEntryKeepsRuns(t *testing.T) {
	h := newHarness(t)
	first := h.start()
	h.acceptRunning(jobA)
	h.store.script(func(s *scriptedStore) { s.put(executorPrefix+executorID, "malformed") })
	h.advanceBy(fulmarclock.Second)
	h.c.Assert(h.await(h.submit(jobB)).Outcome, quicktest.Equals, Done)
	h.advanceBy(2 * testMaxLease)
	h.c.Assert(h.isRunning(jobB), quicktest.IsFalse)
	h.store.script(func(s *scriptedStore) { s.put(executorPrefix+executorID, "entry") })
	h.waitFor("the second task runs", func() bool { return h.isRunning(jobB) })
	h.c.Assert(h.isRunning(jobA), quicktest.IsTrue)
	h.c.Assert(h.executors.countStarts(), quicktest.Equals, 2)
	h.c.Assert(h.candidate.term.Load(), quicktest.Equals, first)
}
