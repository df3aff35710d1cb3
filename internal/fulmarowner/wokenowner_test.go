package fulmarowner

import (
	"context"
	"slices"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarledger"
	"github.com/fulmardrum/fulmardrum/internal/fulmarsched"
)

// TestWokenOwnerSendsNothing suspends the VM for a minute, in which its lease expires and
// another member takes over. Only the boot clock shows the suspension. No command of the
// woken owner may follow, and a request it has not stored yet is not reported as stored.
func TestWokenOwnerSendsNothing(t *testing.T) {
	h := newHarness(t)
	first := h.start()
	h.acceptRunning(jobA)
	h.store.script(func(s *scriptedStore) { s.beforeRenewal = noResponse })
	release := h.blockCommits()
	waiting := h.submit(jobB)
	h.advanceBy(200)
	h.store.script(func(s *scriptedStore) {
		s.put(fulmarledger.OwnerKey, `{"member":"b","nonce":"other"}`)
		s.beforeCommit = nil
	})
	h.bootClock.Advance(fulmarclock.Minute)
	h.settle()
	commands, moves := len(h.executors.received()), len(h.fleet.received())
	release()
	response := h.await(waiting)
	h.c.Assert(response.Outcome, quicktest.Equals, Unknown)
	h.waitFor("the term has ended", func() bool { return h.candidate.term.Load() == nil })
	h.advanceBy(fulmarclock.Second)
	h.c.Assert(h.executors.received(), quicktest.HasLen, commands)
	h.c.Assert(h.fleet.received(), quicktest.HasLen, moves)
	h.c.Assert(first.ownership.IsValid(), quicktest.IsFalse)
}

func TestWokenOwnerSendsNoThrottle(t *testing.T) {
	h := newHarness(t)
	first := h.start()
	throttle := func() int {
		first.throttle(context.Background(), fulmarsched.ThrottleCommand{Target: fulmarsched.Target{ID: executorID}, Percent: 50})
		return len(slices.DeleteFunc(h.executors.received(), func(c executorCommand) bool { return c.name != "throttle" }))
	}
	h.c.Assert(throttle(), quicktest.Equals, 1)
	h.store.script(func(s *scriptedStore) { s.beforeRenewal = noResponse })
	h.bootClock.Advance(fulmarclock.Minute)
	h.c.Assert(throttle(), quicktest.Equals, 1)
}
