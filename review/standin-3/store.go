package main

import (
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or the deletion of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created_revision,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// lease is a lease of the store; its keys are removed when it ends.
type lease struct {
	ttl   int64
	timer *time.Timer
}

// pageItems is the most items in a page.
const pageItems = 500

// store is the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	changed  chan struct{}
	// drainsRead is when a watch or a range first returned the entry of an executor that drains.
	drainsRead map[string]time.Time
}

func newStore() *store {
	return &store{revision: 1, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{}), drainsRead: map[string]time.Time{}}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /fulmardrum/kv-key", s.serveKey)
	mux.HandleFunc("GET /fulmardrum/kv-range", s.serveRange)
	mux.HandleFunc("GET /fulmardrum/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /fulmardrum/kv-txn", s.serveTransaction)
	mux.HandleFunc("POST /fulmardrum/kv-lease", s.serveGrant)
	mux.HandleFunc("POST /fulmardrum/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /fulmardrum/kv-lease-end/{id}", s.serveEnd)
	return mux
}

// put writes a key, as operators and executors do.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.putLocked(key, value, 0)
	s.notify()
}

// remove removes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.items[key]; found {
		s.revision++
		s.removeLocked(key)
		s.notify()
	}
}

// get returns the value of a key.
func (s *store) get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *store) putLocked(key string, value []byte, lease int64) {
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, found := s.items[key]; found {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *store) removeLocked(key string) {
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveKey(w http.ResponseWriter, q *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, found := s.items[q.URL.Query().Get("key")]
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, i)
}

func (s *store) serveRange(w http.ResponseWriter, q *http.Request) {
	prefix, after := q.URL.Query().Get("prefix"), q.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > pageItems
	if more {
		found = found[:pageItems]
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": found, "has_more": more, "at_revision": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, q *http.Request) {
	query := q.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events, revision, changed := s.eventsAfter(query.Get("prefix"), after)
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at_revision": revision})
			s.noteRead(events)
			return
		}
		select {
		case <-changed:
		case <-q.Context().Done():
			return
		case <-deadline:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at_revision": revision})
			return
		}
	}
}

func (s *store) eventsAfter(prefix string, after int64) ([]item, int64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []item{}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
	for _, i := range s.history[first:] {
		if strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events, s.revision, s.changed
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
	if !readJSON(w, q, &t) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, current := true, []item{}
	for _, e := range t.Expected {
		i, found := s.items[e.Key]
		holds = holds && i.Revision == e.Revision
		if found {
			current = append(current, i)
		}
	}
	if !holds {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.putLocked(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		if _, found := s.items[key]; found {
			s.removeLocked(key)
		}
	}
	s.notify()
	writeJSON(w, http.StatusOK, map[string]int64{"revision": s.revision})
}

func (s *store) serveGrant(w http.ResponseWriter, q *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if !readJSON(w, q, &body) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := s.revision
	s.leases[id] = &lease{ttl: body.TTL, timer: time.AfterFunc(time.Duration(body.TTL)*time.Millisecond, func() { s.endLease(id) })}
	writeJSON(w, http.StatusOK, map[string]int64{"lease": id, "ttl_ms": body.TTL})
}

func (s *store) serveKeep(w http.ResponseWriter, q *http.Request) {
	id, _ := strconv.ParseInt(q.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil || !l.timer.Stop() {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.timer = time.AfterFunc(time.Duration(l.ttl)*time.Millisecond, func() { s.endLease(id) })
	writeJSON(w, http.StatusOK, map[string]int64{"lease": id, "ttl_ms": l.ttl})
}

func (s *store) serveEnd(w http.ResponseWriter, q *http.Request) {
	id, _ := strconv.ParseInt(q.PathValue("id"), 10, 64)
	s.endLease(id)
	writeJSON(w, http.StatusOK, struct{}{})
}

// endLease ends a lease and removes its keys.
func (s *store) endLease(id int64) {
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
			s.removeLocked(key)
		}
	}
	s.notify()
}

// noteRead records that entries have been returned to a member.
func (s *store) noteRead(items []item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range items {
		if _, known := s.drainsRead[i.Key]; !known && strings.Contains(string(i.Value), `"state":"draining"`) {
			s.drainsRead[i.Key] = time.Now()
		}
	}
}

// readAt returns when a member has first read that an executor drains.
func (s *store) readAt(key string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, found := s.drainsRead[key]
	return at, found
}
