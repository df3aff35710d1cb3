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

const kept = 10 * fulmarclock.Minute

var errLost = errors.New("the answer was lost")

// memoryStore is the stand-in's store without a network, with answers lost on demand.
type memoryStore struct {
	store *fulmarstandin.Store
	lose  int
	swaps int
	gets  int
}

func (m *memoryStore) Get(_ context.Context, key string) (fulmarplatform.Entry, error) {
	m.gets++
	return m.store.Get(key), nil
}

func (m *memoryStore) CompareAndSwap(_ context.Context, key string, expected fulmarplatform.Revision, value []byte, lease fulmarplatform.LeaseID) (fulmarplatform.Revision, error) {
	m.swaps++
	revision, result := m.store.Swap(fulmarplatform.SwapRequest{Key: key, Expected: expected, Value: value, Lease: lease})
	if m.lose > 0 {
		m.lose--
		return 0, &fulmarplatform.UnknownError{Key: key, Cause: errLost}
	}
	switch result {
	case fulmarstandin.Conflicting:
		return 0, &fulmarplatform.ConflictError{Key: key, Current: revision}
	case fulmarstandin.LeaseEnded:
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
	claimer := fulmarclaim.NewClaimer(f.store, f.clock, fulmarclaim.Options{Kept: kept, PerSecond: 1000})
	f.c.Cleanup(claimer.Close)
	return claimer
}

func TestOneClaimOfAKeyIsGranted(t *testing.T) {
	f := newFixture(t)
	ctx, key := context.Background(), fulmarclaim.NewKey("p", "team", "k")
	_, first := f.claimer().Claim(ctx, key)
	_, second := f.claimer().Claim(ctx, key)
	_, other := f.claimer().Claim(ctx, fulmarclaim.NewKey("p", "other team", "k"))
	f.c.Assert(first, qt.Equals, fulmarclaim.Granted)
	f.c.Assert(second, qt.Equals, fulmarclaim.Duplicate)
	f.c.Assert(other, qt.Equals, fulmarclaim.Granted)
}

func TestLostAnswerIsReadBack(t *testing.T) {
	f := newFixture(t)
	f.store.lose = 1
	claim, verdict := f.claimer().Claim(context.Background(), fulmarclaim.NewKey("p", "", "k"))
	f.c.Assert(verdict, qt.Equals, fulmarclaim.Granted)
	f.c.Assert(claim.MayDispatch(), qt.IsTrue)
	f.c.Assert(f.store.swaps, qt.Equals, 1)
	f.c.Assert(f.store.gets, qt.Equals, 1)
}

func TestReleasedKeyCanBeClaimedAgain(t *testing.T) {
	f := newFixture(t)
	ctx, key, claimer := context.Background(), fulmarclaim.NewKey("p", "", "k"), f.claimer()
	claim, _ := claimer.Claim(ctx, key)
	f.c.Assert(claimer.Release(ctx, claim), qt.IsTrue)
	_, verdict := f.claimer().Claim(ctx, key)
	f.c.Assert(verdict, qt.Equals, fulmarclaim.Granted)
	_, verdict = f.claimer().Claim(ctx, key)
	f.c.Assert(verdict, qt.Equals, fulmarclaim.Duplicate)
}

// TestPausedClaimerMustNotDispatchWhenARepeatMay walks the time on in steps: as
// long as the first claim may be used, no other one is granted.
func TestPausedClaimerMustNotDispatchWhenARepeatMay(t *testing.T) {
	f := newFixture(t)
	ctx, key := context.Background(), fulmarclaim.NewKey("p", "", "k")
	warm := f.claimer()
	warm.Claim(ctx, fulmarclaim.NewKey("p", "", "earlier in the same period"))
	f.clock.Advance(kept/4 - 1) // the period's lease is as old as it can be
	first, verdict := warm.Claim(ctx, key)
	f.c.Assert(verdict, qt.Equals, fulmarclaim.Granted)
	granted := false
	for range 40 {
		f.clock.Advance(kept / 20)
		_, verdict := f.claimer().Claim(ctx, key)
		granted = granted || verdict == fulmarclaim.Granted
		f.c.Assert(granted && first.MayDispatch(), qt.IsFalse)
	}
	f.c.Assert(granted, qt.IsTrue, qt.Commentf("the key was never forgotten"))
}

func TestEndedLeaseIsReplaced(t *testing.T) {
	f := newFixture(t)
	ctx, claimer := context.Background(), f.claimer()
	claimer.Claim(ctx, fulmarclaim.NewKey("p", "", "first"))
	f.store.store.Revoke("lease-1")
	_, verdict := claimer.Claim(ctx, fulmarclaim.NewKey("p", "", "second"))
	f.c.Assert(verdict, qt.Equals, fulmarclaim.Unavailable)
	_, verdict = claimer.Claim(ctx, fulmarclaim.NewKey("p", "", "third"))
	f.c.Assert(verdict, qt.Equals, fulmarclaim.Granted)
}
