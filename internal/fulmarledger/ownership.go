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

// OwnerKey holds the Owner of the scheduler. The key is attached to the owner's lease.
const OwnerKey = "fulmardrum/owner"

// Owner is the value of the ownership key.
type Owner struct {
	Member string `json:"member"`
	// PeerAddress is the address at which the other members reach the owner.
	PeerAddress string `json:"peers"`
	// Nonce distinguishes two ownerships of the same member.
	Nonce string `json:"nonce"`
	// Revision is the revision of the key, which is the owner's fencing token. It is 0
	// unless the value was read from the store.
	Revision int64 `json:"-"`
}

// DecodeOwner decodes the value of OwnerKey. It returns a FormatError if the value is malformed.
func DecodeOwner(value []byte) (Owner, error) {
	var o Owner
	if err := json.Unmarshal(value, &o); err != nil {
		return o, &fulmarjob.FormatError{What: OwnerKey, Cause: err}
	}
	return o, nil
}

// AlreadyOwnedError means that another member owns the scheduler.
type AlreadyOwnedError struct{ Owner Owner }

// Error returns the owner's name.
func (e *AlreadyOwnedError) Error() string { return "scheduler already owned by " + e.Owner.Member }

// OwnershipLostError means that this member no longer owns the scheduler.
type OwnershipLostError struct{ Cause string }

// Error returns how the loss was detected.
func (e *OwnershipLostError) Error() string { return "ownership of the scheduler lost: " + e.Cause }

// Ownership is this member's ownership of the scheduler, valid until its lease expires.
type Ownership struct {
	store    Store
	clock    fulmarclock.Clock
	owner    Owner
	lease    int64
	ttl      fulmarclock.Millis
	revision int64
	// validUntil is the earliest time at which the lease can expire, 0 once it has ended.
	validUntil atomic.Int64
}

// abandonTimeout bounds the revocation of the lease of an ownership that was not acquired.
const abandonTimeout = fulmarclock.Second

// AcquireOwnership makes owner the owner of the scheduler under a new lease of length
// ttl. It returns an AlreadyOwnedError if the scheduler has an owner.
func AcquireOwnership(ctx context.Context, store Store, clock fulmarclock.Clock, owner Owner, ttl fulmarclock.Millis) (*Ownership, error) {
	owner.Nonce = uuid.NewString()
	sent := clock.Now()
	lease, err := store.GrantLease(ctx, ttl)
	if err != nil {
		return nil, err
	}
	o := &Ownership{store: store, clock: clock, owner: owner, lease: lease, ttl: ttl}
	o.validUntil.Store(int64(sent + ttl))
	if err := o.acquire(ctx); err != nil {
		return nil, errors.Join(err, o.abandon(ctx))
	}
	return o, nil
}

// abandon revokes the lease after a failed acquisition, whose commit may have been applied.
// ctx may have ended: that may be why it failed. If the revocation fails too, the lease expires
// by itself.
func (o *Ownership) abandon(ctx context.Context) error {
	revokeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), abandonTimeout.Duration())
	defer cancel()
	return o.Resign(revokeCtx)
}

// acquire creates the ownership key if it does not exist.
func (o *Ownership) acquire(ctx context.Context) error {
	value, err := json.Marshal(o.owner)
	if err != nil {
		return &fulmarjob.FormatError{What: OwnerKey, Cause: err}
	}
	revision, err := o.store.Commit(ctx, Transaction{
		Conditions: []Condition{{Key: OwnerKey}},
		Puts:       []Put{{Key: OwnerKey, Value: value, Lease: o.lease}},
	})
	var conflict *ConflictError
	var unknown *fulmarjob.UnknownOutcomeError
	switch {
	case err == nil:
		o.revision = revision
		return nil
	case errors.As(err, &conflict):
		return o.checkOwner(conflict.current(OwnerKey))
	case errors.As(err, &unknown):
		return o.resolveUnknown(ctx, err)
	}
	return err
}

// resolveUnknown reads the key back after a commit with an unknown outcome. If the
// commit is applied after that, it either fails because the key exists or attaches
// the key to a lease that nobody renews.
func (o *Ownership) resolveUnknown(ctx context.Context, cause error) error {
	page, err := o.store.Range(ctx, OwnerKey, "")
	if err != nil {
		return err
	}
	for _, i := range page.Items {
		if i.Key == OwnerKey {
			return o.checkOwner(i)
		}
	}
	return cause
}

// checkOwner returns an AlreadyOwnedError if the key holds another ownership than o;
// otherwise it sets the revision of o.
func (o *Ownership) checkOwner(current Item) error {
	owner, err := DecodeOwner(current.Value)
	if err != nil {
		return err
	}
	if owner.Nonce != o.owner.Nonce {
		return &AlreadyOwnedError{Owner: owner}
	}
	o.revision = current.Revision
	return nil
}

// Token returns the fencing token of commands. It increases with every change of owner.
func (o *Ownership) Token() int64 { return o.revision }

// Owner returns the value that this member stored under OwnerKey.
func (o *Ownership) Owner() Owner { return o.owner }

// IsValid reports whether the lease is certain not to have expired.
func (o *Ownership) IsValid() bool { return o.IsValidWithin(0) }

// IsValidWithin reports whether the lease was certain to be valid at some time in the last grace milliseconds.
func (o *Ownership) IsValidWithin(grace fulmarclock.Millis) bool {
	return o.clock.Now() < fulmarclock.Millis(o.validUntil.Load())+grace
}

// renewalsPerLease is how many renewals are sent within one TTL of the lease.
const renewalsPerLease = 4

// KeepAlive renews the lease until ctx is done or the store reports that the lease has
// ended; then it returns an OwnershipLostError. Renewals run concurrently, so one without
// a response does not delay the next. It calls onFailure with the error of each failed renewal.
func (o *Ownership) KeepAlive(ctx context.Context, onFailure func(error)) error {
	interval := o.ttl / renewalsPerLease
	ended := make(chan struct{}, 1)
	var calls sync.WaitGroup
	defer calls.Wait()
	renewCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ended:
			return &OwnershipLostError{Cause: "the lease has ended"}
		case <-o.clock.After(interval):
		}
		calls.Go(func() {
			if o.renew(renewCtx, onFailure) {
				return
			}
			select {
			case ended <- struct{}{}:
			default:
			}
		})
	}
}

// renew sends one renewal. It returns false if the lease has ended.
func (o *Ownership) renew(ctx context.Context, onFailure func(error)) bool {
	callCtx, cancel := context.WithTimeout(ctx, o.ttl.Duration())
	defer cancel()
	sent := o.clock.Now()
	err := o.store.RenewLease(callCtx, o.lease)
	var rejected *fulmarjob.RejectedError
	switch {
	case err == nil:
		o.extend(sent + o.ttl)
	case errors.As(err, &rejected):
		o.validUntil.Store(0)
		return false
	case ctx.Err() == nil:
		onFailure(err)
	}
	return true
}

// extend moves validUntil to until, unless the lease has ended or validUntil is later.
func (o *Ownership) extend(until fulmarclock.Millis) {
	for {
		current := o.validUntil.Load()
		if current == 0 || current >= int64(until) || o.validUntil.CompareAndSwap(current, int64(until)) {
			return
		}
	}
}

// Resign revokes the lease, so that another member can own the scheduler without waiting for it to expire.
func (o *Ownership) Resign(ctx context.Context) error {
	o.validUntil.Store(0)
	return o.store.RevokeLease(ctx, o.lease)
}
