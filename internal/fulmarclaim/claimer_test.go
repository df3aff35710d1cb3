package fulmarclaim_test

import (
	"context"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclaim"
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
	"github.com/fulmardrum/fulmardrum/internal/fulmarstandin"
)

const retention = 10 * fulmarclock.Minute

var errResponseLost = errors.New("the response was lost")

// memoryStore calls the simulated platform's store directly, without a network, and
// can lose responses.
type memoryStore struct {
	store           *fulmarstandin.Store
	responsesToLose int
	swaps           int
	gets            int
}

func (m *memoryStore) Get(_ context.Context, key string) (fulmarplatform.Entry, error) {
	m.gets++
	return m.store.Get(key), nil
}

func (m *memoryStore) CompareAndSwap(_ context.Context, key string, expected fulmarplatform.Revision, value []byte, lease fulmarplatform.LeaseID) (fulmarplatform.Revision, error) {
	m.swaps++
	revision, result := m.store.Swap(fulmarplatform.SwapRequest{Key: key, Expected: expected, Value: value, Lease: lease})
	if m.responsesToLose > 0 {
		m.responsesToLose--
		return 0, &fulmarplatform.UnknownOutcomeError{Key: key, Cause: errResponseLost}
	}
	switch result {
	case fulmarstandin.SwapConflict:
		return 0, &fulmarplatform.ConflictError{Key: key, Current: revision}
	case fulmarstandin.SwapLeaseNotFound:
		return 0, &fulmarplatform.LeaseLostError{Lease: lease}
	}
	return revision, nil
}

func (m *memoryStore) Grant(_ context.Context, ttl fulmarclock.Millis) (fulmarplatform.LeaseID, error) {
	return m.store.Grant(ttl), nil
}

type fixture struct {
	c     *qt.C
	clock *fulmarclock.Manual
	store *memoryStore
}

func newFixture(t *testing.T) *fixture {
	clock := fulmarclock.NewManual(0)
	return &fixture{c: qt.New(t), clock: clock, store: &memoryStore{store: fulmarstandin.NewStore(clock)}}
}

func (f *fixture) claimer() *fulmarclaim.Claimer {
	claimer := fulmarclaim.NewClaimer(f.store, f.clock, fulmarclaim.Options{Retention: retention, OpsPerSecond: 1000})
	f.c.Cleanup(claimer.Close)
	return claimer
}

func TestOnlyFirstClaimOfKeyIsGranted(t *testing.T) {
	f := newFixture(t)
	ctx, key := context.Background(), fulmarclaim.NewKey("p", "team", "k")
	_, first := f.claimer().Claim(ctx, key)
	_, second := f.claimer().Claim(ctx, key)
	_, other := f.claimer().Claim(ctx, fulmarclaim.NewKey("p", "other team", "k"))
	f.c.Assert(first, qt.Equals, fulmarclaim.Granted)
	f.c.Assert(second, qt.Equals, fulmarclaim.Duplicate)
	f.c.Assert(other, qt.Equals, fulmarclaim.Granted)
}

func TestLostResponseIsReadBack(t *testing.T) {
	f := newFixture(t)
	f.store.responsesToLose = 1
	claim, result := f.claimer().Claim(context.Background(), fulmarclaim.NewKey("p", "", "k"))
	f.c.Assert(result, qt.Equals, fulmarclaim.Granted)
	f.c.Assert(claim.MayDispatch(), qt.IsTrue)
	f.c.Assert(f.store.swaps, qt.Equals, 1)
	f.c.Assert(f.store.gets, qt.Equals, 1)
}

func TestReleasedKeyCanBeClaimedAgain(t *testing.T) {
	f := newFixture(t)
	ctx, key, claimer := context.Background(), fulmarclaim.NewKey("p", "", "k"), f.claimer()
	claim, _ := claimer.Claim(ctx, key)
	f.c.Assert(claimer.Release(ctx, claim), qt.IsTrue)
	_, result := f.claimer().Claim(ctx, key)
	f.c.Assert(result, qt.Equals, fulmarclaim.Granted)
	_, result = f.claimer().Claim(ctx, key)
	f.c.Assert(result, qt.Equals, fulmarclaim.Duplicate)
}

// TestPausedClaimerMustNotDispatchAfterRegrant advances the clock in steps and
// checks that no other claim of the key is granted while the first one may be used.
func TestPausedClaimerMustNotDispatchAfterRegrant(t *testing.T) {
	f := newFixture(t)
	ctx, key := context.Background(), fulmarclaim.NewKey("p", "", "k")
	pausedClaimer := f.claimer()
	pausedClaimer.Claim(ctx, fulmarclaim.NewKey("p", "", "earlier in the same period"))
	f.clock.Advance(retention/4 - 1) // the end of the period, when the lease has the least time left
	first, result := pausedClaimer.Claim(ctx, key)
	f.c.Assert(result, qt.Equals, fulmarclaim.Granted)
	granted := false
	for range 40 {
		f.clock.Advance(retention / 20)
		_, result := f.claimer().Claim(ctx, key)
		granted = granted || result == fulmarclaim.Granted
		f.c.Assert(granted && first.MayDispatch(), qt.IsFalse)
	}
	f.c.Assert(granted, qt.IsTrue, qt.Commentf("the claim never expired"))
}

func TestLostLeaseIsReplaced(t *testing.T) {
	f := newFixture(t)
	ctx, claimer := context.Background(), f.claimer()
	claimer.Claim(ctx, fulmarclaim.NewKey("p", "", "first"))
	f.store.store.Revoke("lease-1")
	_, result := claimer.Claim(ctx, fulmarclaim.NewKey("p", "", "second"))
	f.c.Assert(result, qt.Equals, fulmarclaim.Unavailable)
	_, result = claimer.Claim(ctx, fulmarclaim.NewKey("p", "", "third"))
	f.c.Assert(result, qt.Equals, fulmarclaim.Granted)
}
