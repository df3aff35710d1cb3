package fulmardispatch_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmardispatch"
	"github.com/fulmardrum/fulmardrum/internal/fulmarqueue"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

// schedulerFixture runs one scheduler with a manual clock.
type schedulerFixture struct {
	clock     *fulmarclock.Manual
	scheduler *fulmardispatch.Scheduler
}

func newSchedulerFixture(tb testing.TB, workers int, bounds fulmarqueue.Bounds) *schedulerFixture {
	f := &schedulerFixture{clock: fulmarclock.NewManual(0)}
	f.scheduler = fulmardispatch.NewScheduler("p", fulmardispatch.Options{
		Clock: f.clock, Policy: fulmardispatch.LeastLoaded{}, RingCapacity: 4096, Seed: 1,
		Settings: fulmardispatch.Settings{Bounds: bounds, AvailableShare: 0.75, RetryShare: 0.2},
	})
	go f.scheduler.Run()
	f.setWorkers(workers)
	tb.Cleanup(f.close)
	return f
}

func (f *schedulerFixture) close() {
	f.scheduler.Close(fulmarapi.NewRefusal(fulmarapi.ReasonStopping, ""))
}

func (f *schedulerFixture) setWorkers(n int) {
	view := fulmardispatch.PoolView{ConnectionsPerWorker: 8, Members: 1}
	for i := range n {
		view.Workers = append(view.Workers, fulmardispatch.AssignedWorker{
			Target: fulmardispatch.Target{VM: fmt.Sprintf("vm-%d", i), Address: fmt.Sprintf("vm-%d", i), Pool: "p", Epoch: 1}, Slots: 8,
		})
	}
	f.scheduler.SetView(view)
}

func (f *schedulerFixture) submit(idempotent bool, deadline fulmarclock.Millis) *fulmardispatch.Ticket {
	t := fulmardispatch.NewTicket("", fulmarapi.Normal, idempotent, deadline)
	f.scheduler.Submit(t)
	return t
}

// waitForReport waits until the scheduler has applied all events sent so far and
// granted the free slots, and returns its report.
func (f *schedulerFixture) waitForReport() fulmarapi.PoolReport {
	report, _ := f.scheduler.Report()
	return report
}

// receiveGrant returns a ticket's grant, if the scheduler has sent one.
func (f *schedulerFixture) receiveGrant(t *fulmardispatch.Ticket) (fulmardispatch.Grant, bool) {
	f.waitForReport()
	select {
	case grant := <-t.Grants():
		return grant, true
	default:
		return fulmardispatch.Grant{}, false
	}
}

const noDeadline = fulmarclock.Millis(1) << 40

var wideBounds = fulmarqueue.Bounds{MaxWaiting: 10000, TeamShare: 1}

// TestOutliersAreEjectedWithinBudget makes some workers fail every request. They
// must be ejected within the budget and suspect beyond it, and get few requests.
func TestOutliersAreEjectedWithinBudget(t *testing.T) {
	cases := []struct {
		name             string
		workers, failing int
		ejected, suspect int
	}{
		{"one of four", 4, 1, 1, 0},
		{"one of three has no budget", 3, 1, 0, 1},
		{"two of eight", 8, 2, 2, 0},
		{"three of eight exceed the budget of two", 8, 3, 2, 1},
		{"all of four", 4, 4, 0, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newSchedulerFixture(t, tc.workers, wideBounds)
			grantsByVM := map[string]int{}
			const requests = 400
			for range requests {
				ticket := f.submit(false, noDeadline)
				grant, found := f.receiveGrant(ticket)
				qt.Assert(t, found, qt.IsTrue)
				grantsByVM[grant.Target.VM]++
				f.scheduler.Finish(ticket, resultFor(grant, tc.failing))
			}
			byHealth := map[string]int{}
			for _, w := range f.waitForReport().Workers {
				byHealth[w.Health]++
			}
			qt.Check(t, byHealth["ejected"], qt.Equals, tc.ejected)
			qt.Check(t, byHealth["suspect"], qt.Equals, tc.suspect)
			if tc.failing < tc.workers {
				share := float64(grantsByVM["vm-0"]) / requests
				qt.Check(t, share < 0.1, qt.IsTrue, qt.Commentf("the failing worker got %.0f%% of the requests", 100*share))
			}
		})
	}
}

// resultFor returns a failure for a grant on one of the first failing workers.
func resultFor(grant fulmardispatch.Grant, failing int) fulmardispatch.Result {
	for i := range failing {
		if grant.Target.VM == fmt.Sprintf("vm-%d", i) {
			return fulmardispatch.ResultFailed
		}
	}
	return fulmardispatch.ResultSucceeded
}

func TestUnreachableWorkerIsProbedByAnyRequest(t *testing.T) {
	c := qt.New(t)
	f := newSchedulerFixture(t, 1, wideBounds)
	first := f.submit(false, noDeadline)
	_, found := f.receiveGrant(first)
	c.Assert(found, qt.IsTrue)
	f.scheduler.Requeue(first, fulmardispatch.ResultUnreachable)
	_, found = f.receiveGrant(first)
	c.Assert(found, qt.IsFalse)
	f.clock.Advance(300)
	f.submit(true, noDeadline)
	_, found = f.receiveGrant(first)
	c.Assert(found, qt.IsTrue, qt.Commentf("a request of any method may probe a worker that was only unreachable"))
}

func TestUnmeetableDeadlineIsRefusedImmediately(t *testing.T) {
	c := qt.New(t)
	f := newSchedulerFixture(t, 1, wideBounds)
	for range 40 {
		ticket := f.submit(true, noDeadline)
		_, found := f.receiveGrant(ticket)
		c.Assert(found, qt.IsTrue)
		f.clock.Advance(1000)
		f.scheduler.Finish(ticket, fulmardispatch.ResultSucceeded)
	}
	for range 8 + 80 {
		f.submit(true, noDeadline)
	}
	unmeetable := f.submit(true, f.clock.Now()+2000)
	grant, found := f.receiveGrant(unmeetable)
	c.Assert(found, qt.IsTrue)
	c.Assert(grant.Refusal.Reason(), qt.Equals, fulmarapi.ReasonDeadlineTooSoon)
	meetable := f.submit(true, f.clock.Now()+60_000)
	_, found = f.receiveGrant(meetable)
	c.Assert(found, qt.IsFalse)
}

func TestNothingIsRefusedWhileASlotIsFree(t *testing.T) {
	c := qt.New(t)
	f := newSchedulerFixture(t, 2, fulmarqueue.Bounds{MaxWaiting: 1, TeamShare: 1})
	for range 16 {
		grant, found := f.receiveGrant(f.submit(true, f.clock.Now()+1))
		c.Assert(found, qt.IsTrue)
		c.Assert(grant.Refusal == nil, qt.IsTrue)
	}
}

// TestSchedulerAccounting sends random events to a scheduler. No worker may have
// more requests than its limit, and at the end no request may run or wait.
func TestSchedulerAccounting(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := newRapidFixture(r)
		defer f.close()
		var waiting, running []*fulmardispatch.Ticket
		for range rapid.IntRange(1, 80).Draw(r, "steps") {
			switch rapid.IntRange(0, 5).Draw(r, "step") {
			case 0, 1:
				waiting = append(waiting, f.submit(rapid.Bool().Draw(r, "idempotent"), noDeadline))
			case 2:
				waiting = f.cancel(r, waiting)
			case 3:
				running = f.finish(r, running)
			case 4:
				f.clock.Advance(fulmarclock.Millis(rapid.IntRange(1, 5000).Draw(r, "advance")))
			case 5:
				f.setWorkers(rapid.IntRange(0, 4).Draw(r, "workers"))
			}
			waiting, running = f.collect(waiting, running)
			f.checkLimits(r)
		}
		for _, ticket := range append(waiting, running...) {
			f.scheduler.Cancel(ticket)
		}
		if report := f.waitForReport(); report.Running != 0 || report.Waiting != 0 {
			r.Fatalf("%d requests run and %d wait after all have ended", report.Running, report.Waiting)
		}
	})
}

func newRapidFixture(r *rapid.T) *schedulerFixture {
	f := &schedulerFixture{clock: fulmarclock.NewManual(0)}
	f.scheduler = fulmardispatch.NewScheduler("p", fulmardispatch.Options{
		Clock: f.clock, Policy: fulmardispatch.LeastLoaded{}, RingCapacity: 4096, Seed: rapid.Uint64().Draw(r, "seed"),
		Settings: fulmardispatch.Settings{Bounds: wideBounds, AvailableShare: 0.5, RetryShare: 0.2},
	})
	go f.scheduler.Run()
	f.setWorkers(2)
	return f
}

func (f *schedulerFixture) cancel(r *rapid.T, tickets []*fulmardispatch.Ticket) []*fulmardispatch.Ticket {
	if len(tickets) == 0 {
		return tickets
	}
	i := rapid.IntRange(0, len(tickets)-1).Draw(r, "cancelled")
	f.scheduler.Cancel(tickets[i])
	return append(tickets[:i:i], tickets[i+1:]...)
}

func (f *schedulerFixture) finish(r *rapid.T, running []*fulmardispatch.Ticket) []*fulmardispatch.Ticket {
	if len(running) == 0 {
		return running
	}
	i := rapid.IntRange(0, len(running)-1).Draw(r, "finished")
	result := fulmardispatch.Result(rapid.IntRange(0, int(fulmardispatch.ResultNeutral)).Draw(r, "result"))
	f.scheduler.Finish(running[i], result)
	return append(running[:i:i], running[i+1:]...)
}

// collect moves the granted tickets from waiting to running.
func (f *schedulerFixture) collect(waiting, running []*fulmardispatch.Ticket) (stillWaiting, allRunning []*fulmardispatch.Ticket) {
	for _, ticket := range waiting {
		if _, found := f.receiveGrant(ticket); found {
			running = append(running, ticket)
			continue
		}
		stillWaiting = append(stillWaiting, ticket)
	}
	return stillWaiting, running
}

func (f *schedulerFixture) checkLimits(r *rapid.T) {
	for _, w := range f.waitForReport().Workers {
		if w.Running > 8 || w.Running < 0 {
			r.Fatalf("worker %s has %d requests in 8 slots", w.VM, w.Running)
		}
	}
}
