package fulmarrig

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// pageItems bounds the items of one page of a range.
const pageItems = 500

// item is a key of the store, also as it travels.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created_revision,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store stands in for the platform's metadata store.
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
	// changed is closed at each change.
	changed chan struct{}
}

// lease removes its keys when it ends.
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
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
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
	mux.HandleFunc("POST /fulmardrum/kv-lease", s.serveLease)
	mux.HandleFunc("POST /fulmardrum/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /fulmardrum/kv-lease-end/{id}", s.serveEnd)
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if s.isDown() {
			answer(w, http.StatusServiceUnavailable, struct{}{})
			return
		}
		mux.ServeHTTP(w, q)
	})
}

// put writes a key; the caller does not hold the lock.
func (s *store) put(key string, value []byte, under int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, value, under)
	s.wake()
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.erase(key)
	s.wake()
}

func (s *store) value(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, found := s.items[key]
	return i.Value, found
}

func (s *store) write(key string, value []byte, under int64) {
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: under}
	if present, found := s.items[key]; found {
		i.Created = present.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *store) erase(key string) {
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
	more := len(found) > pageItems
	if more {
		found = found[:pageItems]
	}
	answer(w, http.StatusOK, struct {
		Items []item `json:"items"`
		More  bool   `json:"has_more"`
		At    int64  `json:"at_revision"`
	}{found, more, s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, q *http.Request) {
	after, errAfter := strconv.ParseInt(q.FormValue("after"), 10, 64)
	wait, errWait := strconv.ParseInt(q.FormValue("wait_ms"), 10, 64)
	if errAfter != nil || errWait != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	expired := s.clock.After(fulmarclock.Millis(wait))
	for {
		events, at, changed, ended := s.since(q.FormValue("prefix"), after)
		if len(events) > 0 || ended {
			answerEvents(w, events, at)
			return
		}
		select {
		case <-changed:
		case <-expired:
			answerEvents(w, events, at)
			return
		case <-q.Context().Done():
			return
		}
	}
}

func answerEvents(w http.ResponseWriter, events []item, at int64) {
	answer(w, http.StatusOK, struct {
		Events []item `json:"events"`
		At     int64  `json:"at_revision"`
	}{events, at})
}

// since returns the changes under a prefix after a revision, and a channel that the next change closes.
func (s *store) since(prefix string, after int64) (events []item, at int64, changed <-chan struct{}, ended bool) {
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

// transaction is the body of a conditional write.
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
	Remove []string `json:"remove"`
}

func (s *store) serveTransaction(w http.ResponseWriter, q *http.Request) {
	var t transaction
	if !read(w, q, &t) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	if !s.holds(t) {
		answer(w, http.StatusPreconditionFailed, struct {
			Items []item `json:"items"`
		}{s.present(t)})
		return
	}
	s.revision++
	for _, p := range t.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.erase(key)
	}
	s.wake()
	answer(w, http.StatusOK, struct {
		Revision int64 `json:"revision"`
	}{s.revision})
}

func (s *store) holds(t transaction) bool {
	for _, e := range t.Expected {
		if s.items[e.Key].Revision != e.Revision {
			return false
		}
	}
	return true
}

func (s *store) present(t transaction) []item {
	present := []item{}
	for _, e := range t.Expected {
		if i, found := s.items[e.Key]; found {
			present = append(present, i)
		}
	}
	return present
}

// leaseBody is how a lease travels.
type leaseBody struct {
	Lease int64              `json:"lease,omitempty"`
	TTL   fulmarclock.Millis `json:"ttl_ms"`
}

func (s *store) serveLease(w http.ResponseWriter, q *http.Request) {
	var b leaseBody
	if !read(w, q, &b) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := s.revision
	s.leases[id] = &lease{ttl: b.TTL, timer: s.clock.AfterFunc(b.TTL, func() { s.end(id) })}
	answer(w, http.StatusOK, leaseBody{Lease: id, TTL: b.TTL})
}

func (s *store) serveKeep(w http.ResponseWriter, q *http.Request) {
	id, _ := strconv.ParseInt(q.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil || !l.timer.Stop() {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	l.timer = s.clock.AfterFunc(l.ttl, func() { s.end(id) })
	answer(w, http.StatusOK, leaseBody{Lease: id, TTL: l.ttl})
}

func (s *store) serveEnd(w http.ResponseWriter, q *http.Request) {
	id, _ := strconv.ParseInt(q.PathValue("id"), 10, 64)
	s.end(id)
	answer(w, http.StatusOK, struct{}{})
}

// end removes a lease and its keys.
func (s *store) end(id int64) {
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
			s.erase(key)
		}
	}
	s.wake()
}
