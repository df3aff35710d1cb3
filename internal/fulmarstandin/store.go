// Package fulmarstandin simulates the platform and its workers in one process, with fault
// injection, for tests, demonstrations and measurements.
//
// Usage:
//
//	platform, err := fulmarstandin.StartPlatform("127.0.0.1:0", clock)
//	worker, err := fulmarstandin.StartWorker(fulmarstandin.WorkerOptions{VM: vm, Journal: journal}, clock)
//	platform.Faults().Set(fulmarstandin.FaultTable{Down: true})
package fulmarstandin

import (
	"fmt"
	"strings"
	"sync"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
)

// Store is the key-value store of the simulated platform.
type Store struct {
	clock      fulmarclock.Clock
	mu         sync.Mutex
	revision   fulmarplatform.Revision
	entries    map[string]storedEntry
	leases     map[fulmarplatform.LeaseID]*storedLease
	leaseCount int
	changed    chan struct{}
}

type storedEntry struct {
	entry fulmarplatform.Entry
	lease fulmarplatform.LeaseID
}

type storedLease struct {
	ttl    fulmarclock.Millis
	expiry fulmarclock.Millis
}

// NewStore returns an empty store.
func NewStore(clock fulmarclock.Clock) *Store {
	return &Store{
		clock: clock, entries: map[string]storedEntry{},
		leases: map[fulmarplatform.LeaseID]*storedLease{}, changed: make(chan struct{}),
	}
}

// Get returns the entry of a key, with revision 0 if the key doesn't exist.
func (s *Store) Get(key string) fulmarplatform.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endExpiredLeases()
	return s.currentEntry(key)
}

// SwapResult is the result of a compare-and-swap.
type SwapResult int

// Results of a compare-and-swap: written, not at the expected revision, or lease not
// found.
const (
	SwapApplied SwapResult = iota
	SwapConflict
	SwapLeaseNotFound
)

// Swap writes a value if the key is at the expected revision and the lease, if any, is
// valid. It returns the new revision, or the current one if nothing was written.
func (s *Store) Swap(request fulmarplatform.SwapRequest) (fulmarplatform.Revision, SwapResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endExpiredLeases()
	current := s.currentEntry(request.Key)
	if current.Revision != request.Expected {
		return current.Revision, SwapConflict
	}
	if _, valid := s.leases[request.Lease]; request.Lease != "" && !valid {
		return current.Revision, SwapLeaseNotFound
	}
	entry := fulmarplatform.Entry{Key: request.Key, Value: request.Value}
	return s.putLocked(entry, request.Lease), SwapApplied
}

// Grant creates a lease that expires after ttl unless it is renewed.
func (s *Store) Grant(ttl fulmarclock.Millis) fulmarplatform.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseCount++
	id := fulmarplatform.LeaseID(fmt.Sprintf("lease-%d", s.leaseCount))
	s.leases[id] = &storedLease{ttl: ttl, expiry: s.clock.Now() + ttl}
	return id
}

// Renew extends a lease by its TTL from now. It returns false if the lease has expired or
// was revoked.
func (s *Store) Renew(id fulmarplatform.LeaseID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endExpiredLeases()
	lease, valid := s.leases[id]
	if !valid {
		return false
	}
	lease.expiry = s.clock.Now() + lease.ttl
	return true
}

// Revoke ends a lease and deletes its keys.
func (s *Store) Revoke(id fulmarplatform.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
}

// ChangesAfter returns the newest entry of each key under prefix that changed after a
// revision, and a channel that the next change closes. Deletions are included only if after
// is positive.
func (s *Store) ChangesAfter(prefix string, after fulmarplatform.Revision) (fulmarplatform.Changes, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endExpiredLeases()
	changes := fulmarplatform.Changes{Revision: s.revision}
	for key, stored := range s.entries {
		inScope := strings.HasPrefix(key, prefix) && stored.entry.Revision > after
		if inScope && (after > 0 || !stored.entry.Deleted) {
			changes.Entries = append(changes.Entries, stored.entry)
		}
	}
	return changes, s.changed
}

// currentEntry returns the entry of a key, with revision 0 if it doesn't exist. The caller
// holds s.mu.
func (s *Store) currentEntry(key string) fulmarplatform.Entry {
	stored, found := s.entries[key]
	if !found || stored.entry.Deleted {
		return fulmarplatform.Entry{Key: key}
	}
	return stored.entry
}

// putLocked writes an entry at the next revision and wakes up watches. The caller holds
// s.mu.
func (s *Store) putLocked(entry fulmarplatform.Entry, lease fulmarplatform.LeaseID) fulmarplatform.Revision {
	s.revision++
	entry.Revision = s.revision
	s.entries[entry.Key] = storedEntry{entry: entry, lease: lease}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// endExpiredLeases ends all leases that have expired. The caller holds s.mu.
func (s *Store) endExpiredLeases() {
	now := s.clock.Now()
	for id, lease := range s.leases {
		if lease.expiry <= now {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and deletes its keys. The caller holds s.mu.
func (s *Store) endLease(id fulmarplatform.LeaseID) {
	delete(s.leases, id)
	for key, stored := range s.entries {
		if id != "" && stored.lease == id && !stored.entry.Deleted {
			s.putLocked(fulmarplatform.Entry{Key: key, Deleted: true}, "")
		}
	}
}
