// Package fulmarclaim ensures that a request with an idempotency key runs at
// most once, even when its caller sends it repeatedly through different members.
//
// Usage:
//
//	claimer := fulmarclaim.NewClaimer(store, clock, options)
//	claim, result := claimer.Claim(ctx, fulmarclaim.NewKey(pool, team, key))
//	if result == fulmarclaim.Granted && claim.MayDispatch() { ... }
//	released := claimer.Release(ctx, claim)
//
// A claim is a small value in the platform's key-value service, created by
// compare-and-swap and attached to a lease. It costs one write, and a read only
// if the key was claimed before. All claims of a period share one lease that is
// never renewed, so that the service deletes them without a call for each claim.
package fulmarclaim

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"sync"

	"github.com/google/uuid"
	"golang.org/x/time/rate"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
)

const (
	keyPrefix   = "claims/"
	digestBytes = 16
	// maxInFlight is the maximum number of claims in flight on a member.
	maxInFlight = 512
	// periodsPerRetention is the number of lease periods within the retention time.
	periodsPerRetention = 4
	// operationTimeout limits one claim or background release, in milliseconds.
	operationTimeout = 5 * fulmarclock.Second
	// maxAttempts is the maximum number of writes of one claim while other writes of its key conflict.
	maxAttempts = 8
)

// Result is the result of an attempt to claim a key.
type Result int

// Results of a claim.
const (
	// Unavailable means that the key-value service gave no definite result in time.
	Unavailable Result = iota
	// Granted means that this attempt holds the key.
	Granted
	// Duplicate means that another attempt holds the key; its request may have run.
	Duplicate
	// Full means that too many claims are in flight on this member.
	Full
)

var resultNames = [...]string{"unavailable", "granted", "duplicate", "full"}

// String returns the result's name in metrics.
func (r Result) String() string { return resultNames[r] }

// Key is the digest of an idempotency key together with its pool and team.
type Key string

// NewKey returns the digest of an idempotency key. The same key gives different
// digests for different pools or teams.
func NewKey(pool, team, key string) Key {
	hash := sha256.New()
	for _, part := range []string{pool, team, key} {
		hash.Write([]byte{byte(len(part) >> 8), byte(len(part))})
		hash.Write([]byte(part))
	}
	return Key(base64.RawURLEncoding.EncodeToString(hash.Sum(nil)[:digestBytes]))
}

// Store is the part of the key-value service that a claimer uses.
type Store interface {
	fulmarplatform.Store
	Grant(ctx context.Context, ttl fulmarclock.Millis) (fulmarplatform.LeaseID, error)
}

// Options configure a claimer.
type Options struct {
	// Retention is the minimum time for which a claim is stored, in milliseconds.
	Retention fulmarclock.Millis
	// OpsPerSecond limits this member's claims and releases, which leaves the
	// key-value service capacity for leases and configuration.
	OpsPerSecond int
}

// Claim is one attempt's claim of a key.
type Claim struct {
	key           Key
	id            string
	revision      fulmarplatform.Revision
	clock         fulmarclock.Clock
	dispatchUntil fulmarclock.Millis
}

// MayDispatch reports whether the request may be sent to a worker. It returns
// false after half the retention time: a member that was paused for long must
// not use its claim, because a repeat of the request may have been granted.
func (c *Claim) MayDispatch() bool { return c.clock.Now() < c.dispatchUntil }

// Claimer claims keys for one member.
type Claimer struct {
	store    Store
	clock    fulmarclock.Clock
	options  Options
	limiter  *rate.Limiter
	inFlight chan struct{}
	// ctx is cancelled by Close.
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu    sync.Mutex
	lease fulmarplatform.LeaseID
	// nextLeaseAt is when the current lease's period ends and claims need a new lease.
	nextLeaseAt fulmarclock.Millis
}

// NewClaimer returns a claimer, which the caller must close.
func NewClaimer(store Store, clock fulmarclock.Clock, options Options) *Claimer {
	ctx, cancel := context.WithCancel(context.Background())
	return &Claimer{
		store: store, clock: clock, options: options, ctx: ctx, cancel: cancel,
		limiter:  rate.NewLimiter(rate.Limit(options.OpsPerSecond), options.OpsPerSecond),
		inFlight: make(chan struct{}, maxInFlight),
	}
}

// Close cancels the claims in flight and waits for them to end.
func (c *Claimer) Close() {
	c.cancel()
	c.tasks.Wait()
}

// Claim tries to claim a key for one attempt. If ctx ends first, Claim returns
// Unavailable, and the claim is completed and, if granted, released in the background.
func (c *Claimer) Claim(ctx context.Context, key Key) (*Claim, Result) {
	select {
	case c.inFlight <- struct{}{}:
	default:
		return nil, Full
	}
	claim := &Claim{key: key, id: uuid.NewString(), clock: c.clock, dispatchUntil: c.clock.Now() + c.options.Retention/2}
	results := make(chan Result)
	c.tasks.Add(1)
	go func() {
		defer c.tasks.Done()
		defer func() { <-c.inFlight }()
		result := c.acquire(claim)
		select {
		case results <- result:
		case <-ctx.Done():
			c.releaseIfGranted(claim, result)
		}
	}()
	select {
	case result := <-results:
		return claim, result
	case <-ctx.Done():
		return claim, Unavailable
	}
}

// Release deletes the claim of a request that was not sent, and reports whether
// the key is known to be released.
func (c *Claimer) Release(ctx context.Context, claim *Claim) bool {
	if c.limiter.Wait(ctx) != nil {
		return false
	}
	lease, err := c.currentLease(ctx)
	if err != nil {
		return false
	}
	_, err = fulmarplatform.SwapWithRetry(ctx, c.clock, c.store, fulmarplatform.Swap{
		Key: keyPrefix + string(claim.key), Expected: claim.revision, Lease: lease,
		Contains: func(stored []byte) bool { return string(stored) != claim.id },
	})
	return err == nil
}

func (c *Claimer) releaseIfGranted(claim *Claim, result Result) {
	if result != Granted {
		return
	}
	ctx, cancel := c.operationContext()
	defer cancel()
	c.Release(ctx, claim)
}

// operationContext returns a context that ends after operationTimeout or with Close.
func (c *Claimer) operationContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.ctx, operationTimeout.Duration())
}

// acquire writes a claim. It writes again after a conflict if the key has been
// released or has expired.
func (c *Claimer) acquire(claim *Claim) Result {
	ctx, cancel := c.operationContext()
	defer cancel()
	if c.limiter.Wait(ctx) != nil {
		return Unavailable
	}
	expected := fulmarplatform.Revision(0)
	for range maxAttempts {
		entry, err := c.writeClaim(ctx, claim, expected)
		if err == nil {
			claim.revision = entry.Revision
			return Granted
		}
		var conflict *fulmarplatform.ConflictError
		if !errors.As(err, &conflict) {
			return Unavailable
		}
		if len(entry.Value) > 0 {
			return Duplicate
		}
		expected = entry.Revision // the key was released or has expired
	}
	return Unavailable
}

func (c *Claimer) writeClaim(ctx context.Context, claim *Claim, expected fulmarplatform.Revision) (fulmarplatform.Entry, error) {
	lease, err := c.currentLease(ctx)
	if err != nil {
		return fulmarplatform.Entry{}, err
	}
	entry, err := fulmarplatform.SwapWithRetry(ctx, c.clock, c.store, fulmarplatform.Swap{
		Key: keyPrefix + string(claim.key), Expected: expected, Value: []byte(claim.id), Lease: lease,
		Contains: func(stored []byte) bool { return string(stored) == claim.id },
	})
	var lost *fulmarplatform.LeaseLostError
	if errors.As(err, &lost) {
		c.dropLease(lease)
	}
	return entry, err
}

// currentLease returns the lease of the current period. Its TTL is the retention
// time plus one period, so that a claim at the end of the period is kept long enough.
func (c *Claimer) currentLease(ctx context.Context) (fulmarplatform.LeaseID, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if c.lease != "" && now < c.nextLeaseAt {
		return c.lease, nil
	}
	period := c.options.Retention / periodsPerRetention
	lease, err := c.store.Grant(ctx, c.options.Retention+period)
	if err != nil {
		return "", err
	}
	c.lease, c.nextLeaseAt = lease, now+period
	return lease, nil
}

// dropLease makes the next claim request a new lease, because the key-value service no
// longer has this one. It does nothing if another claim has replaced the lease already.
func (c *Claimer) dropLease(lease fulmarplatform.LeaseID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lease == lease {
		c.lease = ""
	}
}
