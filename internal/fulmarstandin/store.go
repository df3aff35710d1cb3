// Package fulmarstandin holds small stand-ins of the platform and of the
// workers, for tests, demonstrations and measurements.
//
// Usage:
//
//	platform, err := fulmarstandin.StartPlatform("127.0.0.1:0", clock)
//	worker, err := fulmarstandin.StartWorker(fulmarstandin.WorkerOptions{Address: "127.0.0.1:0"}, clock)
//	platform.Faults().Set(fulmarstandin.FaultTable{Down: true})
package fulmarstandin

import (
	"fmt"
	"strings"
	"sync"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
)

// Store is the state of the stand-in's key-value service.
type Store struct {
	clock    fulmarclock.Clock
	mu       sync.Mutex
	revision fulmarplatform.Revision
	entries  map[string]storedEntry
	leases   map[fulmarplatform.LeaseID]*storedLease
	grants   int
	changed  chan struct{}
}

type storedEntry struct {
	entry fulmarplatform.Entry
	lease fulmarplatform.LeaseID
}

type storedLease struct {
	ttl fulmarclock.Millis
	end fulmarclock.Millis
}

// NewStore returns an empty store.
func NewStore(clock fulmarclock.Clock) *Store {
	return &Store{
		clock: clock, entries: map[string]storedEntry{},
		leases: map[fulmarplatform.LeaseID]*storedLease{}, changed: make(chan struct{}),
	}
}

// Get returns the entry of a key.
func (s *Store) Get(key string) fulmarplatform.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return s.live(key)
}

// SwapResult is what became of a swap.
type SwapResult int

// Results of a swap.
const (
	Swapped SwapResult = iota
	Conflicting
	LeaseEnded
)

// Swap writes a value if the key is at the expected revision. The revision
// returned is the new one, or the one that stands in the way.
func (s *Store) Swap(request fulmarplatform.SwapRequest) (fulmarplatform.Revision, SwapResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	current := s.live(request.Key)
	if current.Revision != request.Expected {
		return current.Revision, Conflicting
	}
	if _, alive := s.leases[request.Lease]; request.Lease != "" && !alive {
		return current.Revision, LeaseEnded
	}
	entry := fulmarplatform.Entry{Key: request.Key, Value: request.Value}
	return s.put(entry, request.Lease), Swapped
}

// Grant makes a lease.
func (s *Store) Grant(ttl fulmarclock.Millis) fulmarplatform.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grants++
	id := fulmarplatform.LeaseID(fmt.Sprintf("lease-%d", s.grants))
	s.leases[id] = &storedLease{ttl: ttl, end: s.clock.Now() + ttl}
	return id
}

// Renew prolongs a lease and tells whether it still stood.
func (s *Store) Renew(id fulmarplatform.LeaseID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	lease, alive := s.leases[id]
	if !alive {
		return false
	}
	lease.end = s.clock.Now() + lease.ttl
	return true
}

// Revoke ends a lease and removes its keys.
func (s *Store) Revoke(id fulmarplatform.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(id)
}

// ChangesAfter returns the changes under prefix, and a channel that is closed by the next change.
func (s *Store) ChangesAfter(prefix string, after fulmarplatform.Revision) (fulmarplatform.Changes, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	changes := fulmarplatform.Changes{Revision: s.revision}
	for key, stored := range s.entries {
		inScope := strings.HasPrefix(key, prefix) && stored.entry.Revision > after
		if inScope && (after > 0 || !stored.entry.Deleted) {
			changes.Entries = append(changes.Entries, stored.entry)
		}
	}
	return changes, s.changed
}

func (s *Store) live(key string) fulmarplatform.Entry {
	stored, found := s.entries[key]
	if !found || stored.entry.Deleted {
		return fulmarplatform.Entry{Key: key}
	}
	return stored.entry
}

func (s *Store) put(entry fulmarplatform.Entry, lease fulmarplatform.LeaseID) fulmarplatform.Revision {
	s.revision++
	entry.Revision = s.revision
	s.entries[entry.Key] = storedEntry{entry: entry, lease: lease}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

func (s *Store) expire() {
	now := s.clock.Now()
	for id, lease := range s.leases {
		if lease.end <= now {
			s.end(id)
		}
	}
}

func (s *Store) end(id fulmarplatform.LeaseID) {
	delete(s.leases, id)
	for key, stored := range s.entries {
		if id != "" && stored.lease == id && !stored.entry.Deleted {
			s.put(fulmarplatform.Entry{Key: key, Deleted: true}, "")
		}
	}
}
