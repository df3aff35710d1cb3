package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	pageItems       = 500
	maxWatchWait    = 30 * time.Second
	writtenByOthers = "op/ and servers/ belong to the operator and the executors"
)

// item is an item or, with Deleted, an event of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created_revision,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// store is the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	events   []item
	leases   map[int64]*lease
	changed  chan struct{}
	// onOwner is called with the value of each new ownership key.
	onOwner func(value []byte)
}

func newStore() *store {
	return &store{revision: 1, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
}

// put stores a value as the operator or an executor does.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, data, 0)
	s.broadcast()
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.delete(key)
	s.broadcast()
}

func (s *store) set(key string, value []byte, lease int64) {
	created := s.revision
	if old, found := s.items[key]; found {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = i
	s.events = append(s.events, i)
	if lease != 0 && s.onOwner != nil {
		s.onOwner(value)
	}
}

func (s *store) delete(key string) {
	if _, found := s.items[key]; found {
		delete(s.items, key)
		s.events = append(s.events, item{Key: key, Revision: s.revision, Deleted: true})
	}
}

func (s *store) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) endLease(id int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.timer.Stop()
	delete(s.leases, id)
	s.revision++
	for key, i := range s.items {
		if i.Lease == id {
			s.delete(key)
		}
	}
	s.broadcast()
	return true
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /fulmardrum/kv-key", s.serveKey)
	mux.HandleFunc("GET /fulmardrum/kv-range", s.serveRange)
	mux.HandleFunc("GET /fulmardrum/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /fulmardrum/kv-txn", s.serveTransaction)
	mux.HandleFunc("POST /fulmardrum/kv-lease", s.serveLease)
	mux.HandleFunc("POST /fulmardrum/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /fulmardrum/kv-lease-end/{id}", s.serveLeaseEnd)
	return mux
}

func (s *store) serveKey(w http.ResponseWriter, q *http.Request) {
	s.mu.Lock()
	i, found := s.items[q.URL.Query().Get("key")]
	s.mu.Unlock()
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
	var found []item
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
	writeJSON(w, http.StatusOK, map[string]any{"items": emptyIfNil(found), "has_more": more, "at_revision": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, q *http.Request) {
	prefix := q.URL.Query().Get("prefix")
	after, _ := strconv.ParseInt(q.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.URL.Query().Get("wait_ms"), 10, 64)
	deadline := time.After(min(time.Duration(wait)*time.Millisecond, maxWatchWait))
	for {
		s.mu.Lock()
		var found []item
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				found = append(found, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": found, "at_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-q.Context().Done():
			return
		case <-deadline:
			writeJSON(w, http.StatusOK, map[string]any{"events": []item{}, "at_revision": revision})
			return
		}
	}
}

type transaction struct {
	Conditions []struct {
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
	conflict, current := false, []item{}
	for _, c := range t.Conditions {
		i, found := s.items[c.Key]
		conflict = conflict || i.Revision != c.Revision
		if found {
			current = append(current, i)
		}
	}
	if conflict {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			http.Error(w, writtenByOthers, http.StatusForbidden)
			return
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.delete(key)
	}
	s.broadcast()
	writeJSON(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, q *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if !readJSON(w, q, &body) {
		return
	}
	ttl := time.Duration(max(body.TTL, 1000)) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := s.revision
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.endLease(id) })}
	writeJSON(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) serveKeep(w http.ResponseWriter, q *http.Request) {
	id, _ := strconv.ParseInt(q.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.timer.Reset(l.ttl)
	writeJSON(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, q *http.Request) {
	id, _ := strconv.ParseInt(q.PathValue("id"), 10, 64)
	if !s.endLease(id) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func emptyIfNil(items []item) []item { return slices.Concat([]item{}, items) }

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func readJSON(w http.ResponseWriter, q *http.Request, target any) bool {
	if err := json.NewDecoder(q.Body).Decode(target); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}
