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
// Keys hash to buckets; each bucket is one value of the platform's key-value
// service, changed by compare-and-swap. A member gathers the claims of a short
// time and writes them together. A claim is forgotten after a set time.
package fulmarclaim

import (
	"encoding/json"
	"fmt"

	"github.com/gravitational/trace"
)

// bucket is the stored form of the claims whose keys hash to it.
type bucket struct {
	// Claims maps a key's digest to its claim.
	Claims map[string]record `json:"claims"`
}

// record is one claim.
type record struct {
	// ID is unique to the attempt that claimed.
	ID string `json:"id"`
	// Until is the wall time in Unix milliseconds after which the claim is forgotten.
	Until int64 `json:"until"`
}

func decodeBucket(value []byte) (bucket, error) {
	b := bucket{Claims: map[string]record{}}
	if len(value) == 0 {
		return b, nil
	}
	if err := json.Unmarshal(value, &b); err != nil {
		return bucket{}, trace.Wrap(err)
	}
	return b, nil
}

func (b bucket) encode() ([]byte, error) {
	value, err := json.Marshal(b)
	return value, trace.Wrap(err)
}

// prune drops the claims whose time has passed.
func (b bucket) prune(now int64) {
	for key, r := range b.Claims {
		if r.Until < now {
			delete(b.Claims, key)
		}
	}
}

// apply decides each operation of a batch in turn and tells whether the bucket has changed.
func (b bucket) apply(batch []*operation, most int) (changed bool) {
	for _, o := range batch {
		current, claimed := b.Claims[o.key]
		switch {
		case o.release && claimed && current.ID == o.record.ID:
			delete(b.Claims, o.key)
			o.verdict, changed = Released, true
		case o.release:
			o.verdict = Released
		case claimed && current.ID == o.record.ID:
			o.verdict = Granted
		case claimed:
			o.verdict = Duplicate
		case len(b.Claims) >= most:
			o.verdict = Full
		default:
			b.Claims[o.key] = o.record
			o.verdict, changed = Granted, true
		}
	}
	return changed
}

// holds tells whether the bucket shows the batch's writes: claims present, releases gone.
func (b bucket) holds(batch []*operation) bool {
	for _, o := range batch {
		current, claimed := b.Claims[o.key]
		isOwn := claimed && current.ID == o.record.ID
		if o.verdict == Granted && !isOwn {
			return false
		}
		if o.verdict == Released && isOwn {
			return false
		}
	}
	return true
}

func bucketKey(place int) string { return fmt.Sprintf("claims/%03d", place) }
