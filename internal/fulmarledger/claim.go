package fulmarledger

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"

	"github.com/google/uuid"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// OwnerKey names the member that owns the scheduler; it stands under the owner's lease.
const OwnerKey = "fulmardrum/owner"

// Owner is the value of the ownership key.
type Owner struct {
	Member string `json:"member"`
	// Peers is the address at which the other members reach the owner.
	Peers string `json:"peers"`
	// Nonce tells one claim from another of the same member.
	Nonce string `json:"nonce"`
	// Revision is that of the key, where it was read from the store; it is the owner's token.
	Revision int64 `json:"-"`
}

// DecodeOwner reads the value of the ownership key.
func DecodeOwner(value []byte) (Owner, error) {
	var o Owner
	if err := json.Unmarshal(value, &o); err != nil {
		return o, &fulmarjob.FormatError{What: OwnerKey, Cause: err}
	}
	return o, nil
}

// TakenError means that another member owns the scheduler.
type TakenError struct{ Owner Owner }

// Error names the owner.
func (e *TakenError) Error() string { return "the scheduler is owned by " + e.Owner.Member }

// LostError means that a claim no longer holds.
type LostError struct{ Cause string }

// Error tells how the loss was noticed.
func (e *LostError) Error() string { return "the claim on the scheduler is lost: " + e.Cause }

// Claim is the ownership of the scheduler while its lease lasts.
type Claim struct {
	store    Store
	clock    fulmarclock.Clock
	owner    Owner
	lease    int64
	ttl      fulmarclock.Millis
	revision int64
	// validUntil is the earliest time at which the lease can have ended.
	validUntil atomic.Int64
}

// TryClaim claims the scheduler; TakenError when somebody owns it.
func TryClaim(ctx context.Context, store Store, clock fulmarclock.Clock, owner Owner, ttl fulmarclock.Millis) (*Claim, error) {
	owner.Nonce = uuid.NewString()
	sent := clock.Now()
	lease, err := store.Lease(ctx, ttl)
	if err != nil {
		return nil, err
	}
	c := &Claim{store: store, clock: clock, owner: owner, lease: lease, ttl: ttl}
	c.validUntil.Store(int64(sent + ttl))
	if err := c.take(ctx); err != nil {
		// The lease ends by itself when this call fails.
		_ = store.End(ctx, lease)
		return nil, err
	}
	return c, nil
}

func (c *Claim) take(ctx context.Context) error {
	value, err := json.Marshal(c.owner)
	if err != nil {
		return &fulmarjob.FormatError{What: OwnerKey, Cause: err}
	}
	revision, err := c.store.Commit(ctx, Transaction{
		Conditions: []Condition{{Key: OwnerKey}},
		Puts:       []Put{{Key: OwnerKey, Value: value, Lease: c.lease}},
	})
	var conflict *ConflictError
	var unknown *fulmarjob.UnknownError
	switch {
	case err == nil:
		c.revision = revision
		return nil
	case errors.As(err, &conflict):
		return c.settle(conflict.item(OwnerKey))
	case errors.As(err, &unknown):
		return c.readBack(ctx, err)
	}
	return err
}

// readBack settles a claim without an answer; a copy that is carried out later
// finds the key taken or takes it under a lease that nobody renews.
func (c *Claim) readBack(ctx context.Context, cause error) error {
	page, err := c.store.Range(ctx, OwnerKey, "")
	if err != nil {
		return err
	}
	for _, i := range page.Items {
		if i.Key == OwnerKey {
			return c.settle(i)
		}
	}
	return cause
}

func (c *Claim) settle(present Item) error {
	owner, err := DecodeOwner(present.Value)
	if err != nil {
		return err
	}
	if owner.Nonce != c.owner.Nonce {
		return &TakenError{Owner: owner}
	}
	c.revision = present.Revision
	return nil
}

// Token rises with every claim by any member; it fences the orders to executors.
func (c *Claim) Token() int64 { return c.revision }

// Owner returns this claim's value of the ownership key.
func (c *Claim) Owner() Owner { return c.owner }

// IsValid tells whether the lease lasts for certain.
func (c *Claim) IsValid() bool { return c.IsValidWithin(0) }

// IsValidWithin tells whether the lease has lasted for certain until at most grace ago.
func (c *Claim) IsValidWithin(grace fulmarclock.Millis) bool {
	return c.clock.Now() < fulmarclock.Millis(c.validUntil.Load())+grace
}

// renewalsInLease is how many renewals are tried while the lease lasts.
const renewalsInLease = 4

// Keep renews the lease until ctx ends or the lease has ended, which LostError
// tells. A renewal without an answer does not hold up the next.
func (c *Claim) Keep(ctx context.Context, onFailure func(error)) error {
	wait := c.ttl / renewalsInLease
	ended := make(chan struct{}, 1)
	var calls sync.WaitGroup
	defer calls.Wait()
	own, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ended:
			return &LostError{Cause: "its lease has ended"}
		case <-c.clock.After(wait):
		}
		calls.Go(func() {
			if c.renew(own, onFailure) {
				return
			}
			select {
			case ended <- struct{}{}:
			default:
			}
		})
	}
}

// renew renews once and tells whether the lease may last.
func (c *Claim) renew(ctx context.Context, onFailure func(error)) bool {
	limited, cancel := context.WithTimeout(ctx, c.ttl.Duration())
	defer cancel()
	sent := c.clock.Now()
	err := c.store.Keep(limited, c.lease)
	var rejected *fulmarjob.RejectedError
	switch {
	case err == nil:
		c.extend(sent + c.ttl)
	case errors.As(err, &rejected):
		c.validUntil.Store(0)
		return false
	case ctx.Err() == nil:
		onFailure(err)
	}
	return true
}

// extend notes that the lease lasts until a time, unless it has ended or lasts longer.
func (c *Claim) extend(until fulmarclock.Millis) {
	for {
		present := c.validUntil.Load()
		if present == 0 || present >= int64(until) || c.validUntil.CompareAndSwap(present, int64(until)) {
			return
		}
	}
}

// Release gives the scheduler back, so that another member can take it at once.
func (c *Claim) Release(ctx context.Context) error {
	c.validUntil.Store(0)
	return c.store.End(ctx, c.lease)
}
