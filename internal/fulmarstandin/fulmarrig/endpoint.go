package fulmarrig

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// endpoint is the address of an executor. Its incarnations under one ID serve there one after
// the other. While none serves, connections are closed without a response, or calls wait for the next one.
type endpoint struct {
	rig *Rig

	mu          sync.Mutex
	handler     http.Handler
	connections map[net.Conn]bool
	// served is closed when calls that wait need not any more, nil while calls don't wait.
	served chan struct{}
}

func newEndpoint(r *Rig) *endpoint { return &endpoint{rig: r, connections: map[net.Conn]bool{}} }

// serveIncarnation makes an incarnation the one that executes calls from now on.
func (p *endpoint) serveIncarnation(e *executor) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handler = e.handler()
	p.releaseLocked()
}

// disconnect closes all connections, as the end of the process does.
func (p *endpoint) disconnect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handler = nil
	for c := range p.connections {
		_ = c.Close()
	}
}

// hold makes calls wait for the next incarnation, as with a listener that outlives the process.
func (p *endpoint) hold() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handler, p.served = nil, make(chan struct{})
}

// release ends the wait of calls for an incarnation.
func (p *endpoint) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releaseLocked()
}

func (p *endpoint) releaseLocked() {
	if p.served != nil {
		close(p.served)
		p.served = nil
	}
}

// trackConnection is the server's callback for changes of a connection's state.
func (p *endpoint) trackConnection(c net.Conn, state http.ConnState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch state {
	case http.StateNew:
		p.connections[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(p.connections, c)
	}
}

func (p *endpoint) currentHandler() http.Handler {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.handler
}

// ServeHTTP implements http.Handler.
func (p *endpoint) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if delay, late := p.rig.delayCall(); late {
		p.executeLate(q, delay)
	}
	p.awaitIncarnation(q)
	handler := p.currentHandler()
	if handler == nil {
		panic(http.ErrAbortHandler)
	}
	handler.ServeHTTP(w, q)
}

// awaitIncarnation waits while calls are held. A call whose caller has left waits too: the listener has received it.
func (p *endpoint) awaitIncarnation(q *http.Request) {
	p.mu.Lock()
	served := p.served
	p.mu.Unlock()
	if served == nil {
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	q.Body = io.NopCloser(bytes.NewReader(body))
	<-served
}

// lateCallKey is the key of the context value that marks a call as executed late.
type lateCallKey struct{}

func isLate(ctx context.Context) bool { return ctx.Value(lateCallKey{}) != nil }

// executeLate gives a call no response and lets the incarnation that serves after the delay execute
// it. It doesn't return.
func (p *endpoint) executeLate(q *http.Request, delay fulmarclock.Millis) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := context.WithCancel(context.WithValue(context.Background(), lateCallKey{}, true))
	// Nobody waits for the response.
	cancel()
	late := q.Clone(ctx)
	late.Body = io.NopCloser(bytes.NewReader(body))
	p.rig.changeLateCalls(1)
	p.rig.options.Clock.AfterFunc(delay, func() {
		defer p.rig.changeLateCalls(-1)
		if handler := p.currentHandler(); handler != nil {
			handler.ServeHTTP(&discardedResponse{header: http.Header{}}, late)
		}
	})
	<-q.Context().Done()
	panic(http.ErrAbortHandler)
}

// discardedResponse is the response to a call that nobody waits for.
type discardedResponse struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d *discardedResponse) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d *discardedResponse) Write(body []byte) (int, error) { return len(body), nil }

// WriteHeader implements http.ResponseWriter.
func (d *discardedResponse) WriteHeader(int) {}

// delayCall returns whether a call to an executor is executed late, and the delay.
func (r *Rig) delayCall() (fulmarclock.Millis, bool) {
	if r.options.DelayCall == nil {
		return 0, false
	}
	return r.options.DelayCall()
}

func (r *Rig) changeLateCalls(difference int) {
	r.mu.Lock()
	r.lateCalls += difference
	r.mu.Unlock()
}

// LateCalls returns the number of calls that got no response and that an executor has yet to
// execute.
func (r *Rig) LateCalls() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lateCalls
}
