// Package fulmarclaim makes a request with an idempotency key run at most once
// over all its repeats, through whichever members they come.
//
// Usage:
//
//	claimer := fulmarclaim.NewClaimer(store, clock, options)
//	claim, verdict := claimer.Claim(ctx, fulmarclaim.NewKey(pool, team, key))
//	if verdict == fulmarclaim.Granted && claim.MayDispatch() { ... }
//	released := claimer.Release(ctx, claim)
//
// Each key is one small value of the platform's key-value service, made by
// compare-and-swap under a lease: one write a claim and no read unless the key
// was taken before. A lease covers all claims of a period and is never renewed,
// so that claims are forgotten without a call for each.
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
	// waitingMost bounds the claims and releases under way on a member.
	waitingMost = 512
	// periodsKept is how many lease periods a claim is kept.
	periodsKept = 4
	// settleTime bounds one claim or release, in milliseconds.
	settleTime = 5 * fulmarclock.Second
	// attemptsMost bounds the rounds of one claim against other writes of its key.
	attemptsMost = 8
)

// Verdict is what became of a claim.
type Verdict int

// Verdicts.
const (
	// Unavailable: the service gave no settled answer in time.
	Unavailable Verdict = iota
	// Granted: the claim is this attempt's own.
	Granted
	// Duplicate: another attempt holds the key; it may have run.
	Duplicate
	// Full: too many claims are under way on this member.
	Full
)

var verdictNames = [...]string{"unavailable", "granted", "duplicate", "full"}

// String returns the verdict's name in counters.
func (v Verdict) String() string { return verdictNames[v] }

// Key is the digest of an idempotency key with its pool and team.
type Key string

// NewKey returns the digest of a key; the same key of another pool or team is another key.
func NewKey(pool, team, key string) Key {
	hash := sha256.New()
	for _, part := range []string{pool, team, key} {
		hash.Write([]byte{byte(len(part) >> 8), byte(len(part))})
		hash.Write([]byte(part))
	}
	return Key(base64.RawURLEncoding.EncodeToString(hash.Sum(nil)[:digestBytes]))
}

// Store is the part of the key-value service that claims need.
type Store interface {
	fulmarplatform.Store
	Grant(ctx context.Context, ttl fulmarclock.Millis) (fulmarplatform.LeaseID, error)
}

// Options bound a claimer.
type Options struct {
	// Kept is the least time for which a claim is remembered.
	Kept fulmarclock.Millis
	// PerSecond bounds this member's claims and releases, so that leases and configuration find room.
	PerSecond int
}

// Claim is a key held by one attempt.
type Claim struct {
	key      Key
	id       string
	revision fulmarplatform.Revision
	clock    fulmarclock.Clock
	expires  fulmarclock.Millis
}

// MayDispatch tells whether the claim is young enough that no repeat can have
// been granted: a member that was paused for long must not use it.
func (c *Claim) MayDispatch() bool { return c.clock.Now() < c.expires }

// Claimer claims keys for one member.
type Claimer struct {
	store   Store
	clock   fulmarclock.Clock
	options Options
	limiter *rate.Limiter
	places  chan struct{}
	// running ends with Close.
	running context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	mu    sync.Mutex
	lease fulmarplatform.LeaseID
	// renewAt is when the next period begins.
	renewAt fulmarclock.Millis
}

// NewClaimer returns a claimer.
func NewClaimer(store Store, clock fulmarclock.Clock, options Options) *Claimer {
	ctx, cancel := context.WithCancel(context.Background())
	return &Claimer{
		store: store, clock: clock, options: options, running: ctx, cancel: cancel,
		limiter: rate.NewLimiter(rate.Limit(options.PerSecond), options.PerSecond),
		places:  make(chan struct{}, waitingMost),
	}
}

// Close gives up what is under way and waits for it.
func (c *Claimer) Close() {
	c.cancel()
	c.tasks.Wait()
}

// Claim tries to take a key for one attempt. When ctx ends first, the claim is
// settled and released in the background.
func (c *Claimer) Claim(ctx context.Context, key Key) (*Claim, Verdict) {
	select {
	case c.places <- struct{}{}:
	default:
		return nil, Full
	}
	claim := &Claim{key: key, id: uuid.NewString(), clock: c.clock, expires: c.clock.Now() + c.options.Kept/2}
	verdicts := make(chan Verdict)
	c.tasks.Add(1)
	go func() {
		defer c.tasks.Done()
		defer func() { <-c.places }()
		verdict := c.take(claim)
		select {
		case verdicts <- verdict:
		case <-ctx.Done():
			c.abandon(claim, verdict)
		}
	}()
	select {
	case verdict := <-verdicts:
		return claim, verdict
	case <-ctx.Done():
		return claim, Unavailable
	}
}

// Release frees the key of a claim that was not used, and reports whether that is settled.
func (c *Claimer) Release(ctx context.Context, claim *Claim) bool {
	if c.limiter.Wait(ctx) != nil {
		return false
	}
	lease, err := c.periodLease(ctx)
	if err != nil {
		return false
	}
	_, err = fulmarplatform.SwapSettled(ctx, c.clock, c.store, fulmarplatform.Swap{
		Key: keyPrefix + string(claim.key), Expected: claim.revision, Lease: lease,
		Included: func(stored []byte) bool { return string(stored) != claim.id },
	})
	return err == nil
}

func (c *Claimer) abandon(claim *Claim, verdict Verdict) {
	if verdict != Granted {
		return
	}
	ctx, cancel := c.bounded()
	defer cancel()
	c.Release(ctx, claim)
}

// bounded returns a context that ends with the settle time or with Close.
func (c *Claimer) bounded() (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.running, settleTime.Duration())
}

// take writes a claim and settles what became of it.
func (c *Claimer) take(claim *Claim) Verdict {
	ctx, cancel := c.bounded()
	defer cancel()
	if c.limiter.Wait(ctx) != nil {
		return Unavailable
	}
	expected := fulmarplatform.Revision(0)
	for range attemptsMost {
		entry, err := c.write(ctx, claim, expected)
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
		expected = entry.Revision // released, or forgotten
	}
	return Unavailable
}

func (c *Claimer) write(ctx context.Context, claim *Claim, expected fulmarplatform.Revision) (fulmarplatform.Entry, error) {
	lease, err := c.periodLease(ctx)
	if err != nil {
		return fulmarplatform.Entry{}, err
	}
	entry, err := fulmarplatform.SwapSettled(ctx, c.clock, c.store, fulmarplatform.Swap{
		Key: keyPrefix + string(claim.key), Expected: expected, Value: []byte(claim.id), Lease: lease,
		Included: func(stored []byte) bool { return string(stored) == claim.id },
	})
	var lost *fulmarplatform.LeaseLostError
	if errors.As(err, &lost) {
		c.forgetLease(lease)
	}
	return entry, err
}

// periodLease returns the lease of this period; each lasts for the time that
// claims are kept and one period more.
func (c *Claimer) periodLease(ctx context.Context) (fulmarplatform.LeaseID, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if c.lease != "" && now < c.renewAt {
		return c.lease, nil
	}
	period := c.options.Kept / periodsKept
	lease, err := c.store.Grant(ctx, c.options.Kept+period)
	if err != nil {
		return "", err
	}
	c.lease, c.renewAt = lease, now+period
	return lease, nil
}

func (c *Claimer) forgetLease(lease fulmarplatform.LeaseID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lease == lease {
		c.lease = ""
	}
}
