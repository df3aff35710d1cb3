package fulmarrig

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// maxPageItems is the maximum number of items in one page of a range.
const maxPageItems = 500

// item is one revision of a key, in memory and as JSON.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created_revision,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store simulates the platform's key-value store, with revisions, leases and watches.
type store struct {
	clock   fulmarclock.Clock
	address string

	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	down     bool
	closed   bool
	// changed is closed and replaced at each change, to wake up watches.
	changed chan struct{}
}

// lease is a lease of keys, which are deleted when it expires or is revoked.
type lease struct {
	ttl   fulmarclock.Millis
	timer fulmarclock.Timer
}

func newStore(clock fulmarclock.Clock) *store {
	return &store{clock: clock, revision: 1, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
}

func (s *store) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, l := range s.leases {
		l.timer.Stop()
	}
	s.notifyWatchers()
}

func (s *store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyWatchers()
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /fulmardrum/kv-range", s.serveRange)
	mux.HandleFunc("GET /fulmardrum/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /fulmardrum/kv-txn", s.serveTransaction)
	mux.HandleFunc("POST /fulmardrum/kv-lease", s.serveGrantLease)
	mux.HandleFunc("POST /fulmardrum/kv-keep/{id}", s.serveRenewLease)
	mux.HandleFunc("DELETE /fulmardrum/kv-lease-end/{id}", s.serveRevokeLease)
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if s.isDown() {
			writeJSON(w, http.StatusServiceUnavailable, struct{}{})
			return
		}
		mux.ServeHTTP(w, q)
	})
}

// put writes a key and attaches it to a lease; leaseID 0 is none. The caller doesn't hold
// s.mu.
func (s *store) put(key string, value []byte, leaseID int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.putLocked(key, value, leaseID)
	s.notifyWatchers()
}

func (s *store) delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.deleteLocked(key)
	s.notifyWatchers()
}

func (s *store) get(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, found := s.items[key]
	return i.Value, found
}

// putLocked writes a key at the current revision. The caller holds s.mu.
func (s *store) putLocked(key string, value []byte, leaseID int64) {
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if previous, found := s.items[key]; found {
		i.Created = previous.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

// deleteLocked deletes a key at the current revision. The caller holds s.mu.
func (s *store) deleteLocked(key string) {
	if _, found := s.items[key]; !found {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) serveRange(w http.ResponseWriter, q *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := q.FormValue("prefix"), q.FormValue("after")
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(found) > maxPageItems
	if more {
		found = found[:maxPageItems]
	}
	writeJSON(w, http.StatusOK, struct {
		Items []item `json:"items"`
		More  bool   `json:"has_more"`
		At    int64  `json:"at_revision"`
	}{found, more, s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, q *http.Request) {
	after, errAfter := strconv.ParseInt(q.FormValue("after"), 10, 64)
	wait, errWait := strconv.ParseInt(q.FormValue("wait_ms"), 10, 64)
	if errAfter != nil || errWait != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	timeout := s.clock.After(fulmarclock.Millis(wait))
	for {
		events, at, changed, stopped := s.changesAfter(q.FormValue("prefix"), after)
		if len(events) > 0 || stopped {
			writeEvents(w, events, at)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeEvents(w, events, at)
			return
		case <-q.Context().Done():
			return
		}
	}
}

func writeEvents(w http.ResponseWriter, events []item, at int64) {
	writeJSON(w, http.StatusOK, struct {
		Events []item `json:"events"`
		At     int64  `json:"at_revision"`
	}{events, at})
}

// changesAfter returns the changes under a prefix after a revision, the current revision,
// a channel that the next change closes, and whether the store is down or closed.
func (s *store) changesAfter(prefix string, after int64) (events []item, at int64, changed <-chan struct{}, stopped bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events = []item{}
	first, _ := slices.BinarySearchFunc(s.history, after+1, func(i item, revision int64) int { return int(i.Revision - revision) })
	for _, i := range s.history[first:] {
		if strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events, s.revision, s.changed, s.closed || s.down
}

// transaction is the JSON body of a conditional write: it writes and deletes keys if each
// expected key is at its revision, 0 for a key that doesn't exist.
type transaction struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expected_revision"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Deletes []string `json:"remove"`
}

func (s *store) serveTransaction(w http.ResponseWriter, q *http.Request) {
	var t transaction
	if !readJSON(w, q, &t) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			writeJSON(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	if !s.preconditionsHold(t) {
		writeJSON(w, http.StatusPreconditionFailed, struct {
			Items []item `json:"items"`
		}{s.currentItems(t)})
		return
	}
	s.revision++
	for _, p := range t.Puts {
		s.putLocked(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Deletes {
		s.deleteLocked(key)
	}
	s.notifyWatchers()
	writeJSON(w, http.StatusOK, struct {
		Revision int64 `json:"revision"`
	}{s.revision})
}

// preconditionsHold reports whether every expected key is at its revision. The caller
// holds s.mu.
func (s *store) preconditionsHold(t transaction) bool {
	for _, e := range t.Expected {
		if s.items[e.Key].Revision != e.Revision {
			return false
		}
	}
	return true
}

// currentItems returns the current items of a transaction's expected keys. The caller
// holds s.mu.
func (s *store) currentItems(t transaction) []item {
	items := []item{}
	for _, e := range t.Expected {
		if i, found := s.items[e.Key]; found {
			items = append(items, i)
		}
	}
	return items
}

// leaseMessage is the JSON body of requests and responses about a lease.
type leaseMessage struct {
	Lease int64              `json:"lease,omitempty"`
	TTL   fulmarclock.Millis `json:"ttl_ms"`
}

func (s *store) serveGrantLease(w http.ResponseWriter, q *http.Request) {
	var request leaseMessage
	if !readJSON(w, q, &request) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := s.revision
	s.leases[id] = &lease{ttl: request.TTL, timer: s.clock.AfterFunc(request.TTL, func() { s.removeLease(id) })}
	writeJSON(w, http.StatusOK, leaseMessage{Lease: id, TTL: request.TTL})
}

func (s *store) serveRenewLease(w http.ResponseWriter, q *http.Request) {
	id, _ := strconv.ParseInt(q.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil || !l.timer.Stop() {
		writeJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	l.timer = s.clock.AfterFunc(l.ttl, func() { s.removeLease(id) })
	writeJSON(w, http.StatusOK, leaseMessage{Lease: id, TTL: l.ttl})
}

func (s *store) serveRevokeLease(w http.ResponseWriter, q *http.Request) {
	id, _ := strconv.ParseInt(q.PathValue("id"), 10, 64)
	s.removeLease(id)
	writeJSON(w, http.StatusOK, struct{}{})
}

// removeLease removes an expired or revoked lease and deletes its keys.
func (s *store) removeLease(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	s.revision++
	for key, i := range s.items {
		if i.Lease == id {
			s.deleteLocked(key)
		}
	}
	s.notifyWatchers()
}
