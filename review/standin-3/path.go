package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
)

// path is the network path to a VM's executor: a proxy at the address that all lives of the executor use. It
// can hold one start back, as a call that is under way for seconds, and passes it on later.
type path struct {
	platform *platform
	address  string

	mu sync.Mutex
	// target is the address of the present life, empty while there is none.
	target string
}

// pathTo returns the path to a VM, which it starts if there is none.
func (p *platform) pathTo(v *vm) (*path, error) {
	if v.path != nil {
		return v.path, nil
	}
	h := &path{platform: p}
	proxy := &httputil.ReverseProxy{Rewrite: h.rewrite, ErrorHandler: abort}
	var err error
	if h.address, _, err = serve(h.holdOne(proxy)); err != nil {
		return nil, err
	}
	v.path = h
	return h, nil
}

func (h *path) setTarget(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.target = address
}

func (h *path) rewrite(q *httputil.ProxyRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	q.SetURL(&url.URL{Scheme: "http", Host: h.target})
}

// abort ends a connection whose target doesn't respond any more.
func abort(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }

// holdOne holds the next start back if the platform asks for that.
func (h *path) holdOne(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/fulmardrum/run-start" && h.platform.held.take(h, q) {
			<-q.Context().Done()
			return
		}
		next.ServeHTTP(w, q)
	})
}

// heldCall is a call that a path holds back.
type heldCall struct {
	mu    sync.Mutex
	armed bool
	path  *path
	body  []byte
	id    string
	held  chan struct{}
}

func newHeldCall() *heldCall { return &heldCall{held: make(chan struct{})} }

// arm makes the next start the one that is held back.
func (c *heldCall) arm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.armed = true
}

// take reports whether a call is the one to hold back, and keeps it.
func (c *heldCall) take(h *path, q *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.armed {
		return false
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return false
	}
	c.armed, c.path, c.body, c.id = false, h, body, q.Header.Get("X-Expected-Executor")
	close(c.held)
	return true
}

// passOn delivers the call to the life that serves now. Nobody waits for the answer any more.
func (c *heldCall) passOn(r *record) {
	c.path.mu.Lock()
	target := c.path.target
	c.path.mu.Unlock()
	q, err := http.NewRequest(http.MethodPost, "http://"+target+"/fulmardrum/run-start", bytes.NewReader(c.body))
	if err != nil {
		return
	}
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("X-Expected-Executor", c.id)
	response, err := http.DefaultClient.Do(q)
	if err != nil {
		r.logf("the start that was under way finds no executor: %v", err)
		return
	}
	answer, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	r.logf("the start that was under way arrives at %s: %d %s", c.id, response.StatusCode, answer)
}
