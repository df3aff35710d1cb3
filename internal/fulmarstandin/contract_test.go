package fulmarstandin_test

import (
	"context"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
	"github.com/fulmardrum/fulmardrum/internal/fulmarstandin"
)

type nopCounter struct{}

func (nopCounter) CountCall(string) {}

// contract tests the platform's client against the simulated platform, with a manual
// clock and fault injection.
type contract struct {
	c        *qt.C
	clock    *fulmarclock.Manual
	platform *fulmarstandin.Platform
	client   *fulmarplatform.Client
	ctx      context.Context
}

func newContract(t *testing.T) *contract {
	c := qt.New(t)
	clock := fulmarclock.NewManual(0)
	platform, err := fulmarstandin.StartPlatform("127.0.0.1:0", clock)
	c.Assert(err, qt.IsNil)
	c.Cleanup(platform.Close)
	client := fulmarplatform.NewClient(platform.URL(), 30*fulmarclock.Second, nopCounter{})
	c.Cleanup(client.Close)
	return &contract{c: c, clock: clock, platform: platform, client: client, ctx: context.Background()}
}

func TestCompareAndSwap(t *testing.T) {
	k := newContract(t)
	first, err := k.client.CompareAndSwap(k.ctx, "k", 0, []byte("1"), "")
	k.c.Assert(err, qt.IsNil)
	_, err = k.client.CompareAndSwap(k.ctx, "k", 0, []byte("2"), "")
	var conflict *fulmarplatform.ConflictError
	k.c.Assert(errors.As(err, &conflict), qt.IsTrue)
	k.c.Assert(conflict.Current, qt.Equals, first)
	second, err := k.client.CompareAndSwap(k.ctx, "k", first, []byte("2"), "")
	k.c.Assert(err, qt.IsNil)
	k.c.Assert(second > first, qt.IsTrue)
	entry, err := k.client.Get(k.ctx, "k")
	k.c.Assert(err, qt.IsNil)
	k.c.Assert(string(entry.Value), qt.Equals, "2")
	absent, err := k.client.Get(k.ctx, "absent")
	k.c.Assert(err, qt.IsNil)
	k.c.Assert(absent.Revision, qt.Equals, fulmarplatform.Revision(0))
}

func TestLeases(t *testing.T) {
	k := newContract(t)
	lease, err := k.client.Grant(k.ctx, 1000)
	k.c.Assert(err, qt.IsNil)
	_, err = k.client.CompareAndSwap(k.ctx, "k", 0, []byte("1"), lease)
	k.c.Assert(err, qt.IsNil)
	k.clock.Advance(999)
	k.c.Assert(k.client.Renew(k.ctx, lease), qt.IsNil)
	k.clock.Advance(1000)
	var lost *fulmarplatform.LeaseLostError
	k.c.Assert(errors.As(k.client.Renew(k.ctx, lease), &lost), qt.IsTrue)
	entry, err := k.client.Get(k.ctx, "k")
	k.c.Assert(err, qt.IsNil)
	k.c.Assert(entry.Revision, qt.Equals, fulmarplatform.Revision(0))
	_, err = k.client.CompareAndSwap(k.ctx, "k", 0, []byte("2"), lease)
	k.c.Assert(errors.As(err, &lost), qt.IsTrue)
}

func TestWatch(t *testing.T) {
	k := newContract(t)
	revision, err := k.client.CompareAndSwap(k.ctx, "a/1", 0, []byte("1"), "")
	k.c.Assert(err, qt.IsNil)
	changes, err := k.client.Watch(k.ctx, "a/", 0, 1000)
	k.c.Assert(err, qt.IsNil)
	k.c.Assert(changes.Entries, qt.HasLen, 1)
	result := make(chan fulmarplatform.Changes, 1)
	go func() {
		changes, _ := k.client.Watch(k.ctx, "a/", changes.Revision, 20*fulmarclock.Second)
		result <- changes
	}()
	_, err = k.client.CompareAndSwap(k.ctx, "b/1", 0, []byte("x"), "")
	k.c.Assert(err, qt.IsNil)
	_, err = k.client.CompareAndSwap(k.ctx, "a/1", revision, []byte("2"), "")
	k.c.Assert(err, qt.IsNil)
	seen := <-result
	k.c.Assert(seen.Entries, qt.HasLen, 1)
	k.c.Assert(string(seen.Entries[0].Value), qt.Equals, "2")
}

func TestInjectedFaults(t *testing.T) {
	k := newContract(t)
	k.platform.Faults().Set(fulmarstandin.FaultTable{LoseResponses: 1})
	_, err := k.client.CompareAndSwap(k.ctx, "k", 0, []byte("1"), "")
	var unknown *fulmarplatform.UnknownOutcomeError
	k.c.Assert(errors.As(err, &unknown), qt.IsTrue, qt.Commentf("%v", err))
	entry, err := k.client.Get(k.ctx, "k")
	k.c.Assert(err, qt.IsNil)
	k.c.Assert(string(entry.Value), qt.Equals, "1")
	k.platform.Faults().Set(fulmarstandin.FaultTable{Down: true})
	_, err = k.client.CompareAndSwap(k.ctx, "k", entry.Revision, []byte("2"), "")
	var unavailable *fulmarplatform.UnavailableError
	k.c.Assert(errors.As(err, &unavailable), qt.IsTrue)
	k.platform.Faults().Set(fulmarstandin.FaultTable{})
	_, err = k.client.CompareAndSwap(k.ctx, "big", 0, make([]byte, 1<<20+1), "")
	k.c.Assert(errors.As(err, &unavailable), qt.IsTrue)
	entry, err = k.client.Get(k.ctx, "k")
	k.c.Assert(err, qt.IsNil)
	k.c.Assert(string(entry.Value), qt.Equals, "1")
}

func TestVMList(t *testing.T) {
	k := newContract(t)
	vm := fulmarplatform.VM{ID: "vm", Address: "127.0.0.1:1", Slots: 8}
	k.c.Assert(k.client.Register(k.ctx, vm), qt.IsNil)
	list, found, err := k.client.VMs(k.ctx, 0)
	k.c.Assert(err, qt.IsNil)
	k.c.Assert(found, qt.IsTrue)
	k.c.Assert(list.VMs[0].State, qt.Equals, fulmarplatform.VMLive)
	_, found, err = k.client.VMs(k.ctx, list.Version)
	k.c.Assert(err, qt.IsNil)
	k.c.Assert(found, qt.IsFalse)
	k.c.Assert(k.client.Drain(k.ctx, "vm"), qt.IsNil)
	list, _, _ = k.client.VMs(k.ctx, list.Version)
	k.c.Assert(list.VMs[0].State, qt.Equals, fulmarplatform.VMDraining)
	k.c.Assert(k.client.Reboot(k.ctx, "vm"), qt.IsNil)
	k.clock.Advance(10 * fulmarclock.Second)
	list, _, _ = k.client.VMs(k.ctx, 0)
	k.c.Assert(list.VMs, qt.HasLen, 0)
}

// TestSwapWithRetryResolvesEveryOutcome covers a write whose response is lost, one that
// conflicts, and one whose outcome stays unknown because the context ends during an outage.
func TestSwapWithRetryResolvesEveryOutcome(t *testing.T) {
	k := newContract(t)
	swap := fulmarplatform.Swap{Key: "k", Value: []byte("mine"), Contains: func(v []byte) bool { return string(v) == "mine" }}
	k.platform.Faults().Set(fulmarstandin.FaultTable{LoseResponses: 1})
	entry, err := fulmarplatform.SwapWithRetry(k.ctx, k.clock, k.client, swap)
	k.c.Assert(err, qt.IsNil)
	k.c.Assert(string(entry.Value), qt.Equals, "mine")
	other := swap
	other.Value, other.Contains = []byte("other"), func(v []byte) bool { return string(v) == "other" }
	entry, err = fulmarplatform.SwapWithRetry(k.ctx, k.clock, k.client, other)
	var conflict *fulmarplatform.ConflictError
	k.c.Assert(errors.As(err, &conflict), qt.IsTrue)
	k.c.Assert(string(entry.Value), qt.Equals, "mine")
	ended, cancel := context.WithCancel(k.ctx)
	cancel()
	k.platform.Faults().Set(fulmarstandin.FaultTable{Down: true})
	_, err = fulmarplatform.SwapWithRetry(ended, k.clock, k.client, other)
	var unknown *fulmarplatform.UnknownOutcomeError
	k.c.Assert(errors.As(err, &unknown), qt.IsTrue)
}
