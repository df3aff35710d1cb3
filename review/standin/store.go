package main

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store's responses and transactions.
const (
	maxPageItems          = 500
	maxPageBytes          = 1 << 20
	maxTransactionEntries = 32
	maxWatchWait          = 30000
)

// item is one revision of a key.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created_revision,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// storeLease is a lease; its time pauses while the store is down.
type storeLease struct {
	ttl  time.Duration
	left time.Duration
}

// store simulates the platform's metadata store.
type store struct {
	world   *world
	address string

	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*storeLease
	down     bool
	// changed is closed at each change, stopped when the store goes down.
	changed chan struct{}
	stopped chan struct{}
}

// leaseTick is how often the leases are checked.
const leaseTick = 10 * time.Millisecond

func newStore(w *world) *store {
	s := &store{world: w, revision: 1, items: map[string]item{}, leases: map[int64]*storeLease{}, changed: make(chan struct{}), stopped: make(chan struct{})}
	go s.expireLeases()
	return s
}

// setDown takes the store down, so that it answers nothing, or up again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if down {
		close(s.stopped)
		s.stopped = make(chan struct{})
	}
	s.world.log("store down: %v", down)
}

// expireLeases ends leases whose time has passed. It never returns.
func (s *store) expireLeases() {
	last := time.Now()
	for {
		time.Sleep(leaseTick)
		passed := time.Since(last)
		last = time.Now()
		s.mu.Lock()
		if !s.down {
			for id, l := range s.leases {
				if l.left -= passed; l.left <= 0 {
					s.endLease(id)
				}
			}
		}
		s.mu.Unlock()
	}
}

// endLease deletes a lease and its keys. The caller holds s.mu.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	s.revision++
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
	s.notify()
}

// put writes a key outside of any transaction, as operators and executors do.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, value, 0)
	s.notify()
}

// delete deletes a key outside of any transaction.
func (s *store) delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notify()
}

// value returns the value of a key, nil if there is none.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *store) write(key string, value []byte, lease int64) {
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if previous, found := s.items[key]; found {
		i.Created = previous.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *store) remove(key string) {
	if _, found := s.items[key]; found {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves one call. While the store is down, a call gets no answer and is not executed.
func (s *store) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	operation := strings.TrimPrefix(r.URL.Path, "/fulmardrum/")
	switch name, id, _ := strings.Cut(operation, "/"); name {
	case "kv-range":
		s.serveRange(rw, r)
	case "kv-watch":
		s.serveWatch(rw, r)
	case "kv-txn":
		s.serveTransaction(rw, r)
	case "kv-lease":
		s.serveGrant(rw, r)
	case "kv-keep":
		s.serveKeep(rw, id)
	case "kv-lease-end":
		s.serveEnd(rw, id)
	default:
		respond(rw, http.StatusNotFound, nil)
	}
}

func (s *store) serveRange(rw http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.FormValue("prefix"), r.FormValue("after")
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	page, bytes := []item{}, 0
	for _, i := range found {
		if len(page) == maxPageItems || len(page) > 0 && bytes+len(i.Value) > maxPageBytes {
			break
		}
		page, bytes = append(page, i), bytes+len(i.Value)
	}
	respond(rw, http.StatusOK, map[string]any{"items": page, "has_more": len(page) < len(found), "at_revision": s.revision})
}

func (s *store) serveWatch(rw http.ResponseWriter, r *http.Request) {
	after, errAfter := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, errWait := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	if errAfter != nil || errWait != nil || wait < 0 || wait > maxWatchWait {
		respond(rw, http.StatusBadRequest, nil)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, at, changed, stopped := []item{}, s.revision, s.changed, s.stopped
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, r.FormValue("prefix")) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			respond(rw, http.StatusOK, map[string]any{"events": events, "at_revision": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			respond(rw, http.StatusOK, map[string]any{"events": events, "at_revision": at})
			return
		case <-stopped:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// transaction is the body of a change under conditions.
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

// mayWrite reports whether the system may write a key.
func mayWrite(key string) bool {
	return !strings.HasPrefix(key, "op/") && !strings.HasPrefix(key, "servers/")
}

func (s *store) serveTransaction(rw http.ResponseWriter, r *http.Request) {
	var t transaction
	if !decode(rw, r, &t) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if status, body := s.check(t); status != http.StatusOK {
		respond(rw, status, body)
		return
	}
	s.revision++
	for _, p := range t.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	s.notify()
	respond(rw, http.StatusOK, map[string]int64{"revision": s.revision})
}

// check returns the status of a transaction, and the body unless it is 200. The caller holds s.mu.
func (s *store) check(t transaction) (int, any) {
	if len(t.Expected)+len(t.Puts)+len(t.Remove) > maxTransactionEntries {
		return http.StatusBadRequest, nil
	}
	for _, p := range t.Puts {
		if !mayWrite(p.Key) {
			return http.StatusForbidden, nil
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	for _, e := range t.Expected {
		if s.items[e.Key].Revision == e.Revision {
			continue
		}
		current := []item{}
		for _, other := range t.Expected {
			if i, found := s.items[other.Key]; found {
				current = append(current, i)
			}
		}
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	return http.StatusOK, nil
}

func (s *store) serveGrant(rw http.ResponseWriter, r *http.Request) {
	var request struct {
		TTL int64 `json:"ttl_ms"`
	}
	if !decode(rw, r, &request) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(request.TTL) * time.Millisecond
	s.leases[s.revision] = &storeLease{ttl: ttl, left: ttl}
	respond(rw, http.StatusOK, map[string]int64{"lease": s.revision, "ttl_ms": request.TTL})
}

func (s *store) serveKeep(rw http.ResponseWriter, id string) {
	number, _ := strconv.ParseInt(id, 10, 64) // no lease has the number 0
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[number]
	if l == nil {
		respond(rw, http.StatusNotFound, nil)
		return
	}
	l.left = l.ttl
	respond(rw, http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) serveEnd(rw http.ResponseWriter, id string) {
	number, _ := strconv.ParseInt(id, 10, 64) // no lease has the number 0
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[number] == nil {
		respond(rw, http.StatusNotFound, nil)
		return
	}
	s.endLease(number)
	respond(rw, http.StatusOK, map[string]any{})
}
