// Package fulmarledger persists the scheduler's state in the platform's store: which
// member owns the scheduler, and the owner's journal.
//
// Usage:
//
//	ownership, err := fulmarledger.AcquireOwnership(ctx, store, clock, owner, ttl)
//	journal, records, err := fulmarledger.Open(ctx, store, clock, ownership, onRetry)
//	err = journal.Append(ctx, records)  // OwnershipLostError once the ownership is lost
//
// Each append is one transaction, conditional on the revisions of the ownership key and of
// the journal's head. A previous owner can therefore no longer append, and an append that
// is applied late finds a newer head and changes nothing.
package fulmarledger

import (
	"context"
	"fmt"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// Item is a key with its value, or the deletion of a key.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
}

// Page is a part of a range, or the changes that a watch returns. More means that the
// range continues after the last item; Revision is the store's revision of the page.
type Page struct {
	Items    []Item
	More     bool
	Revision int64
}

// Condition requires a key's revision; revision 0 requires that the key does not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Put writes a key. If Lease is not 0, the store deletes the key when the lease ends.
type Put struct {
	Key   string
	Value []byte
	Lease int64
}

// Transaction is applied atomically if all conditions hold.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// ConflictError means that a condition of a transaction did not hold; nothing was changed.
type ConflictError struct {
	// Current is the current state of the conditions' keys.
	Current []Item
}

// Error returns the number of keys in Current.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("transaction rejected: a condition on the revisions of %d keys did not hold", len(e.Current))
}

// current returns the current state of a condition's key; the revision is 0 if the key does not exist.
func (e *ConflictError) current(key string) Item {
	for _, i := range e.Current {
		if i.Key == key && !i.Deleted {
			return i
		}
	}
	return Item{Key: key}
}

// Store is the platform's key-value store.
type Store interface {
	// Range returns the first keys with the prefix that sort after a key.
	Range(ctx context.Context, prefix, after string) (Page, error)
	// Watch returns the changes of keys with the prefix that are newer than revision
	// after; without any it responds empty after wait. It returns a CompactedError once
	// these changes have been compacted.
	Watch(ctx context.Context, prefix string, after int64, wait fulmarclock.Millis) (Page, error)
	// Commit returns the revision of the transaction, or a ConflictError.
	Commit(ctx context.Context, t Transaction) (int64, error)
	// GrantLease returns the ID of a new lease.
	GrantLease(ctx context.Context, ttl fulmarclock.Millis) (int64, error)
	// RenewLease extends a lease by its TTL. It returns a RejectedError if the lease has ended.
	RenewLease(ctx context.Context, lease int64) error
	// RevokeLease ends a lease and deletes its keys.
	RevokeLease(ctx context.Context, lease int64) error
}
