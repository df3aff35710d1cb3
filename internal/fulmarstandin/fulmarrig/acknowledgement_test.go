package fulmarrig

import (
	"sync/atomic"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// TestAcknowledgementsAreRecorded guards against acknowledgements of ends that no report contained which look like others.
func TestAcknowledgementsAreRecorded(t *testing.T) {
	const lease = fulmarclock.Second
	for _, row := range []struct {
		name string
		read bool
		// wait is the time from the end to the acknowledgement.
		wait fulmarclock.Millis
		// other is whether another run begins then.
		other bool
		want  Acknowledgement
	}{
		{"read", true, 0, false, Acknowledgement{}},
		{"not read", false, 0, false, Acknowledgement{Unread: true}},
		{"read, acknowledged after the lease", true, lease, false, Acknowledgement{AfterLapse: true}},
		{"not read, acknowledged after the lease", false, lease, false, Acknowledgement{Unread: true, AfterLapse: true}},
		{"read, acknowledged after the lease of another run", true, lease, true, Acknowledgement{AfterLapse: true, AfterLapseOfRuns: true}},
	} {
		t.Run(row.name, func(t *testing.T) {
			clock := fulmarclock.NewManual(1)
			rig := startOneVM(t, clock, nil)
			start(t, rig, command{Task: "t", RunNumber: 1, Deadline: lease})
			clock.Advance(defaultRunDuration)
			awaitTrue(func() bool { return rig.Runs()[0].Ended > 0 })
			if row.read {
				quicktest.Assert(t, hold(t, rig, renewal{}).Finished, quicktest.HasLen, 1)
			}
			clock.Advance(row.wait)
			ends := int64(1)
			if row.other {
				start(t, rig, command{Task: "other", RunNumber: 1, Deadline: 1})
				clock.Advance(1)
				ends++
				quicktest.Assert(t, hold(t, rig, renewal{}).Finished, quicktest.HasLen, int(ends))
			}
			quicktest.Assert(t, hold(t, rig, renewal{AcknowledgedSequence: ends}).Finished, quicktest.HasLen, 0)
			runs := rig.Runs()
			quicktest.Assert(t, runs[0].Outcome, quicktest.Equals, "done")
			quicktest.Assert(t, runs[0].Acknowledged, quicktest.IsTrue)
			row.want.At = clock.Now()
			quicktest.Assert(t, runs[0].Acknowledgement, quicktest.Equals, row.want)
			found := 0
			if row.want.Unread {
				found = 1
			}
			quicktest.Assert(t, FindUnreadAcknowledgements(runs), quicktest.HasLen, found)
		})
	}
}

// TestAcknowledgementAfterRestart guards against an acknowledgement for an earlier incarnation that goes unnoticed.
func TestAcknowledgementAfterRestart(t *testing.T) {
	const cursor, delay = 7, 2 * fulmarclock.Second
	clock := fulmarclock.NewManual(1)
	var after atomic.Bool
	rig := startOneVM(t, clock, func() (fulmarclock.Millis, bool) { return delay, !after.Swap(true) })
	quicktest.Assert(t, call(t, rig, "/fulmardrum/hold", renewal{AcknowledgedSequence: cursor, FencingToken: 9}), quicktest.IsNil)
	rig.Restart("work-0", 0, 0)
	clock.Advance(0)
	awaitTrue(rig.serves)
	start(t, rig, command{Task: "t", RunNumber: 1, Deadline: 5 * fulmarclock.Second})
	clock.Advance(defaultRunDuration)
	awaitTrue(func() bool { return rig.Runs()[0].Ended > 0 })
	clock.Advance(delay - defaultRunDuration)
	awaitTrue(func() bool { return rig.LateCalls() == 0 })
	first := rig.Runs()[0]
	quicktest.Assert(t, first.Acknowledgement, quicktest.Equals, Acknowledgement{At: clock.Now(), Late: true, Unread: true})

	start(t, rig, command{Task: "t", RunNumber: 2, Deadline: 5 * fulmarclock.Second, FencingToken: 9})
	quicktest.Assert(t, FindViolations(rig.Runs()), quicktest.HasLen, 1)
}

// TestCompletionAcknowledgedAfterTheNextStart guards against a check that only sees acknowledgements before the start.
func TestCompletionAcknowledgedAfterTheNextStart(t *testing.T) {
	clock := fulmarclock.NewManual(1)
	rig := startOneVM(t, clock, nil)
	for number := range int64(2) {
		start(t, rig, command{Task: "t", RunNumber: number + 1, Deadline: 5 * fulmarclock.Second})
		clock.Advance(defaultRunDuration)
		awaitTrue(func() bool { return rig.Runs()[number].Ended > 0 })
	}
	quicktest.Assert(t, FindViolations(rig.Runs()), quicktest.HasLen, 0)
	hold(t, rig, renewal{AcknowledgedSequence: 1})
	quicktest.Assert(t, FindViolations(rig.Runs()), quicktest.HasLen, 1)
}
