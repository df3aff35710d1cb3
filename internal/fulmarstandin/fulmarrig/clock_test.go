package fulmarrig

import (
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// TestClockOfEachIncarnationBeginsAnywhere guards against clocks from which the time since the start can be told.
func TestClockOfEachIncarnationBeginsAnywhere(t *testing.T) {
	const incarnations = 40
	clockValues := func(seed uint64) []fulmarclock.Millis {
		clock := fulmarclock.NewManual(1)
		rig, err := Start(Options{Clock: clock, Seed: seed, MaxLease: 10 * fulmarclock.Second, Pools: []Pool{{Service: "work", VMs: 1}}})
		quicktest.Assert(t, err, quicktest.IsNil)
		defer rig.Close()
		values := []fulmarclock.Millis{rig.executorClock()}
		for len(values) < incarnations {
			rig.Restart("work-0", 0, 0)
			clock.Advance(0)
			awaitTrue(rig.serves)
			values = append(values, rig.executorClock())
		}
		return values
	}
	first := clockValues(1)
	quicktest.Assert(t, clockValues(1), quicktest.DeepEquals, first)
	quicktest.Assert(t, clockValues(2), quicktest.Not(quicktest.DeepEquals), first)
	lower := 0
	for i, value := range first {
		quicktest.Check(t, value >= minFirstClock && value < maxFirstClock, quicktest.IsTrue)
		if i > 0 && value < first[i-1] {
			lower++
		}
	}
	quicktest.Check(t, lower > incarnations/4 && lower < incarnations*3/4, quicktest.IsTrue)
}

// TestLeaseIsKeptOnTheExecutorsClock guards against a lease that mixes the executor's clock with the rig's.
func TestLeaseIsKeptOnTheExecutorsClock(t *testing.T) {
	const lease = 2 * fulmarclock.Second
	clock := fulmarclock.NewManual(1)
	rig, err := Start(Options{
		Clock: clock, MaxLease: 10 * fulmarclock.Second, Pools: []Pool{{Service: "work", VMs: 1}},
		SimulateRun: func(string, string, int64) (fulmarclock.Millis, bool) { return fulmarclock.Minute, false },
	})
	quicktest.Assert(t, err, quicktest.IsNil)
	defer rig.Close()
	start(t, rig, command{Task: "t", RunNumber: 1, Deadline: lease})
	clock.Advance(lease - 1)
	quicktest.Assert(t, hold(t, rig, renewal{}).Running, quicktest.HasLen, 1)
	clock.Advance(1)
	awaitTrue(func() bool { return rig.Runs()[0].Ended > 0 })
	quicktest.Assert(t, rig.Runs()[0].Ended, quicktest.Equals, 1+lease)
}
