package fulmarowner

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// fluidOwner is an owner that carries a limited number of starts per second, one after the other.
type fluidOwner struct {
	window    startWindow
	now       fulmarclock.Millis
	perSecond float64
	// backlog is how long the starts in flight still take.
	backlog float64
	ends    []startEnd
	worst   fulmarclock.Millis
	done    int
}

type startEnd struct {
	at      fulmarclock.Millis
	latency fulmarclock.Millis
}

// run sends as many starts as the window permits for a time, of those that arrive.
func (o *fluidOwner) run(duration fulmarclock.Millis, arriving float64) {
	const step = 5 * fulmarclock.Millis(1)
	waiting := 0.0
	for end := o.now + duration; o.now < end; o.now += step {
		o.backlog = max(o.backlog-float64(step), 0)
		waiting += arriving * float64(step) / float64(fulmarclock.Second)
		for o.window.free() > 0 && waiting >= 1 {
			waiting--
			o.backlog += float64(fulmarclock.Second) / o.perSecond
			latency := min(fulmarclock.Millis(o.backlog)+5, commandTimeout)
			o.window.begin()
			o.ends = append(o.ends, startEnd{o.now + latency, latency})
		}
		for len(o.ends) > 0 && o.ends[0].at <= o.now {
			e := o.ends[0]
			o.ends = o.ends[1:]
			o.worst = max(o.worst, e.latency)
			o.done++
			o.window.end(o.now, e.latency, e.latency < commandTimeout)
		}
	}
}

func TestStartsBeyondOwnersCapacityDoNotQueueUp(t *testing.T) {
	for _, perSecond := range []float64{50, 200, 1000} {
		o := &fluidOwner{window: newStartWindow(), perSecond: perSecond}
		o.run(10*fulmarclock.Second, 4*perSecond)
		o.worst, o.done = 0, 0
		o.run(20*fulmarclock.Second, 4*perSecond)
		quicktest.Check(t, o.worst < commandTimeout, quicktest.IsTrue, quicktest.Commentf("%.0f starts/s: %d ms", perSecond, o.worst))
		quicktest.Check(t, float64(o.done) > 0.7*20*perSecond, quicktest.IsTrue, quicktest.Commentf("%.0f starts/s: %d starts in 20 s", perSecond, o.done))
	}
}

func TestWindowIsNoLimitForOwnerThatKeepsUp(t *testing.T) {
	o := &fluidOwner{window: newStartWindow(), perSecond: 5000}
	o.run(5*fulmarclock.Second, 4000)
	quicktest.Assert(t, float64(o.done) > 0.95*5*4000, quicktest.IsTrue, quicktest.Commentf("%d starts", o.done))
}

// A quarter of the executors is cut off and answers no start.
func TestStartsWithoutResponseOnSomeExecutorsDoNotCloseWindow(t *testing.T) {
	w := newStartWindow()
	for i := range 2000 {
		now := fulmarclock.Millis(i)
		w.begin()
		if i%4 == 0 {
			w.end(now, commandTimeout, false)
			continue
		}
		w.end(now, 10, true)
	}
	quicktest.Assert(t, w.limit, quicktest.Equals, initialStartWindow)
}

func TestWindowOpensAgainAfterOverload(t *testing.T) {
	w := newStartWindow()
	for i := range 3000 {
		w.begin()
		w.end(fulmarclock.Millis(i), commandTimeout, false)
	}
	quicktest.Assert(t, w.limit, quicktest.Equals, minStartWindow)
	for i := range 3000 {
		for range minStartWindow {
			w.begin()
		}
		for range minStartWindow {
			w.end(fulmarclock.Millis(3000+i), 10, true)
		}
	}
	quicktest.Assert(t, w.limit > minStartWindow, quicktest.IsTrue)
}

func TestOwnerBoundsStartsWithoutResponse(t *testing.T) {
	h := newHarness(t)
	var inFlight, most atomic.Int32
	h.executors.start = func(ctx context.Context) (fulmarjob.CommandResult, error) {
		n := inFlight.Add(1)
		defer inFlight.Add(-1)
		for seen := most.Load(); n > seen && !most.CompareAndSwap(seen, n); seen = most.Load() {
		}
		return fulmarjob.ResultUnknown, noResponse(ctx)
	}
	h.start()
	small := fulmarjob.Step{Count: 2 * initialStartWindow, Resources: fulmarjob.Resources{MilliCPU: 1, MemoryMB: 1}, EstimatedDuration: 1000}
	request := Request{Kind: Submit, Job: jobA, Queue: "q", ConfigurationVersion: 1, Specification: fulmarjob.Specification{Payload: jobA, Steps: []fulmarjob.Step{small}}}
	h.c.Assert(h.ask(request).Outcome, quicktest.Equals, Done)
	h.advanceBy(commandTimeout / 2)
	h.c.Assert(most.Load() > 0, quicktest.IsTrue)
	h.c.Assert(most.Load() <= maxCommandAttempts*initialStartWindow, quicktest.IsTrue, quicktest.Commentf("%d attempts at once", most.Load()))
}
