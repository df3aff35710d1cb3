// Package fulmarledger keeps what must outlast the daemons in the platform's
// store: who owns the scheduler, and the journal of the owner.
//
// Usage:
//
//	claim, err := fulmarledger.TryClaim(ctx, store, options)
//	journal, records, err := fulmarledger.Open(ctx, store, claim)
//	err = journal.Append(ctx, batch)  // fails for good once the claim is lost
//
// Each append is one transaction on the revisions of the ownership key and of the
// journal's head. An owner that was replaced can't append, and an append that is
// carried out late finds a newer head and changes nothing.
package fulmarledger

import (
	"context"
	"fmt"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// Item is a key with its value, or the news that it was removed.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Removed  bool
}

// Page is a part of a range or the news of a watch.
type Page struct {
	Items    []Item
	More     bool
	Revision int64
}

// Condition demands a key's revision; zero means that the key does not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Put writes a key; with a lease, the key goes when the lease ends.
type Put struct {
	Key   string
	Value []byte
	Lease int64
}

// Transaction is carried out whole or not at all.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Remove     []string
}

// ConflictError means that a condition did not hold; nothing was done.
type ConflictError struct {
	// Present holds the conditions' keys as they are.
	Present []Item
}

// Error tells how many keys were looked at.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("a condition on %d keys did not hold", len(e.Present))
}

// item returns the present state of a key; a key that is absent has revision zero.
func (e *ConflictError) item(key string) Item {
	for _, i := range e.Present {
		if i.Key == key && !i.Removed {
			return i
		}
	}
	return Item{Key: key}
}

// Store is the platform's store.
type Store interface {
	Range(ctx context.Context, prefix, after string) (Page, error)
	Watch(ctx context.Context, prefix string, after int64, wait fulmarclock.Millis) (Page, error)
	Commit(ctx context.Context, t Transaction) (int64, error)
	Lease(ctx context.Context, ttl fulmarclock.Millis) (int64, error)
	Keep(ctx context.Context, lease int64) error
	End(ctx context.Context, lease int64) error
}
