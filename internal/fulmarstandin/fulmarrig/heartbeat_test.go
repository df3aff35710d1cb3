package fulmarrig

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// settleTime is the time for calls of a manual clock that must have no effect.
const settleTime = 20 * time.Millisecond

// TestEntryGoesWhileExecutorIsCutFromStore guards against an executor that the store lists although it can't reach it.
func TestEntryGoesWhileExecutorIsCutFromStore(t *testing.T) {
	const sinceHeartbeat = 600 * fulmarclock.Millis(1)
	const untilGone = missedHeartbeats*heartbeatInterval - sinceHeartbeat
	for _, row := range []struct {
		name      string
		restarted bool
	}{{"since its start", false}, {"since its restart, not published yet", true}} {
		t.Run(row.name, func(t *testing.T) {
			clock := fulmarclock.NewManual(1)
			rig := startOneVM(t, clock, nil)
			address := entryOf(t, rig).Address
			clock.Advance(2*heartbeatInterval + sinceHeartbeat)
			if row.restarted {
				rig.Restart("work-0", 0, heartbeatInterval)
				clock.Advance(0)
				awaitTrue(rig.serves)
			}
			rig.SetCutFromStore("work-0", true)
			clock.Advance(untilGone - 1)
			time.Sleep(settleTime)
			quicktest.Assert(t, isRegistered(rig, restartedID), quicktest.IsTrue)
			clock.Advance(1)
			awaitTrue(func() bool { return !isRegistered(rig, restartedID) })
			quicktest.Assert(t, rig.serves(), quicktest.IsTrue)
			quicktest.Assert(t, listOneVM(t, rig), quicktest.Equals, listedVM{State: vmUp, Executor: restartedID})
			clock.Advance(10 * heartbeatInterval)
			time.Sleep(settleTime)
			quicktest.Assert(t, isRegistered(rig, restartedID), quicktest.IsFalse)
			rig.SetCutFromStore("work-0", false)
			quicktest.Assert(t, isRegistered(rig, restartedID), quicktest.IsFalse)
			clock.Advance(heartbeatInterval)
			awaitTrue(func() bool { return isRegistered(rig, restartedID) })
			entry := entryOf(t, rig)
			quicktest.Assert(t, entry.Address, quicktest.Equals, address)
			quicktest.Assert(t, entry.Incarnation, quicktest.Equals, hold(t, rig, renewal{}).Born)
		})
	}
}

// TestShortCutFromStoreKeepsEntry guards against an entry that goes although the executor reaches the store in time.
func TestShortCutFromStoreKeepsEntry(t *testing.T) {
	clock := fulmarclock.NewManual(1)
	rig := startOneVM(t, clock, nil)
	before := entryOf(t, rig)
	rig.SetCutFromStore("work-0", true)
	clock.Advance(missedHeartbeats*heartbeatInterval - 1)
	rig.SetCutFromStore("work-0", false)
	clock.Advance(10 * heartbeatInterval)
	time.Sleep(settleTime)
	quicktest.Assert(t, entryOf(t, rig), quicktest.DeepEquals, before)
}
