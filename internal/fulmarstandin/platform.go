package fulmarstandin

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
)

const (
	maxValueBytes = 1 << 20
	// watchPollInterval is how often a pending watch checks for expired leases, in milliseconds.
	watchPollInterval = 200 * fulmarclock.Millis(1)
	// Paths of the control endpoints for tests.
	pathFaults = "/standin/faults"
	pathCalls  = "/standin/calls"
)

// Platform simulates the platform's HTTP API: the key-value store and the VM list.
type Platform struct {
	clock    fulmarclock.Clock
	store    *Store
	fleet    *Fleet
	faults   Faults
	server   *http.Server
	listener net.Listener
	done     chan struct{}

	mu    sync.Mutex
	calls map[string]int64
}

// StartPlatform starts a platform that listens on address, HOST:PORT. Port 0 selects a free
// port. It returns an error if it can't listen.
func StartPlatform(address string, clock fulmarclock.Clock) (*Platform, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	p := &Platform{
		clock: clock, store: NewStore(clock), fleet: NewFleet(clock),
		listener: listener, done: make(chan struct{}), calls: map[string]int64{},
	}
	p.server = &http.Server{Handler: p.routes(), ReadHeaderTimeout: 10 * time.Second}
	go func() {
		defer close(p.done)
		_ = p.server.Serve(listener)
	}()
	return p, nil
}

// URL returns the platform's base URL.
func (p *Platform) URL() string { return "http://" + p.listener.Addr().String() }

// Faults returns the faults to inject.
func (p *Platform) Faults() *Faults { return &p.faults }

// Store returns the key-value store.
func (p *Platform) Store() *Store { return p.store }

// Fleet returns the VM list.
func (p *Platform) Fleet() *Fleet { return p.fleet }

// Calls returns the number of calls by path.
func (p *Platform) Calls() map[string]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	result := make(map[string]int64, len(p.calls))
	for operation, n := range p.calls {
		result[operation] = n
	}
	return result
}

// Close stops the server and waits for it.
func (p *Platform) Close() {
	_ = p.server.Close()
	<-p.done
}

func (p *Platform) routes() http.Handler {
	e := echo.New()
	e.HideBanner = true
	g := e.Group("", p.injectFaults)
	g.GET(fulmarplatform.PathGet, p.get)
	g.POST(fulmarplatform.PathSwap, p.swap)
	g.GET(fulmarplatform.PathWatch, p.watch)
	g.POST(fulmarplatform.PathGrant, p.grant)
	g.POST(fulmarplatform.PathRenew, p.renew)
	g.POST(fulmarplatform.PathRevoke, p.revoke)
	g.GET(fulmarplatform.PathVMs, p.vms)
	g.POST(fulmarplatform.PathVMs, p.register)
	g.POST(fulmarplatform.PathDrain, p.drain)
	g.POST(fulmarplatform.PathReboot, p.reboot)
	e.POST(pathFaults, p.setFaults)
	e.GET(pathCalls, func(c echo.Context) error { return c.JSON(http.StatusOK, p.Calls()) })
	return e
}

// injectFaults is middleware that counts a call and then delays or rejects it according to
// the fault table.
func (p *Platform) injectFaults(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		p.mu.Lock()
		p.calls[c.Path()]++
		p.mu.Unlock()
		table := p.faults.Table()
		if table.DelayMillis > 0 {
			<-p.clock.After(table.DelayMillis)
		}
		if table.Down {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return next(c)
	}
}

func (p *Platform) get(c echo.Context) error {
	return c.JSON(http.StatusOK, p.store.Get(c.QueryParam("key")))
}

func (p *Platform) swap(c echo.Context) error {
	var request fulmarplatform.SwapRequest
	if err := c.Bind(&request); err != nil {
		return err
	}
	if len(request.Value) > maxValueBytes {
		return c.NoContent(http.StatusRequestEntityTooLarge)
	}
	revision, result := p.store.Swap(request)
	if p.faults.consumeLostResponse() {
		panic(http.ErrAbortHandler)
	}
	statuses := map[SwapResult]int{
		SwapApplied: http.StatusOK, SwapConflict: http.StatusConflict, SwapLeaseNotFound: http.StatusGone,
	}
	return c.JSON(statuses[result], fulmarplatform.SwapResponse{Revision: revision})
}

func (p *Platform) watch(c echo.Context) error {
	after, err := strconv.ParseInt(c.QueryParam("after"), 10, 64)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	wait, err := strconv.ParseInt(c.QueryParam("wait_ms"), 10, 64)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	changes, ok := p.awaitChanges(c.Request().Context(), c.QueryParam("prefix"), fulmarplatform.Revision(after), fulmarclock.Millis(wait))
	if !ok {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.JSON(http.StatusOK, changes)
}

// awaitChanges waits until there are changes under prefix after a revision or wait is
// over. It returns false if the platform goes down or ctx ends.
func (p *Platform) awaitChanges(ctx context.Context, prefix string, after fulmarplatform.Revision, wait fulmarclock.Millis) (fulmarplatform.Changes, bool) {
	deadline := p.clock.Now() + wait
	for {
		changes, changed := p.store.ChangesAfter(prefix, after)
		if p.faults.Table().Down || ctx.Err() != nil {
			return changes, false
		}
		if len(changes.Entries) > 0 || p.clock.Now() >= deadline {
			return changes, true
		}
		select {
		case <-changed:
		case <-p.clock.After(watchPollInterval):
		case <-ctx.Done():
		}
	}
}

func (p *Platform) grant(c echo.Context) error {
	var request fulmarplatform.LeaseRequest
	if err := c.Bind(&request); err != nil {
		return err
	}
	if p.faults.Table().RejectLeases {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	lease := p.store.Grant(fulmarclock.Millis(request.TTLMillis))
	return c.JSON(http.StatusOK, fulmarplatform.LeaseResponse{Lease: lease})
}

func (p *Platform) renew(c echo.Context) error {
	var request fulmarplatform.LeaseRequest
	if err := c.Bind(&request); err != nil {
		return err
	}
	if !p.store.Renew(request.Lease) {
		return c.NoContent(http.StatusGone)
	}
	return c.JSON(http.StatusOK, fulmarplatform.LeaseResponse{Lease: request.Lease})
}

func (p *Platform) revoke(c echo.Context) error {
	var request fulmarplatform.LeaseRequest
	if err := c.Bind(&request); err != nil {
		return err
	}
	p.store.Revoke(request.Lease)
	return c.JSON(http.StatusOK, fulmarplatform.LeaseResponse{Lease: request.Lease})
}

func (p *Platform) vms(c echo.Context) error {
	list := p.fleet.List()
	if p.faults.Table().EmptyVMList {
		list = fulmarplatform.VMList{Version: list.Version + 1}
	}
	if strconv.FormatInt(list.Version, 10) == c.QueryParam("after") {
		return c.NoContent(http.StatusNotModified)
	}
	return c.JSON(http.StatusOK, list)
}

func (p *Platform) register(c echo.Context) error {
	var vm fulmarplatform.VM
	if err := c.Bind(&vm); err != nil {
		return err
	}
	p.fleet.Register(vm)
	return c.NoContent(http.StatusOK)
}

func (p *Platform) drain(c echo.Context) error {
	return respondFound(c, p.fleet.SetState(c.QueryParam("id"), fulmarplatform.VMDraining))
}

func (p *Platform) reboot(c echo.Context) error {
	return respondFound(c, p.fleet.Reboot(c.QueryParam("id")))
}

// respondFound responds with status 200, or 404 if the VM wasn't found.
func respondFound(c echo.Context, found bool) error {
	if !found {
		return c.NoContent(http.StatusNotFound)
	}
	return c.NoContent(http.StatusOK)
}

func (p *Platform) setFaults(c echo.Context) error {
	var table FaultTable
	if err := c.Bind(&table); err != nil {
		return err
	}
	p.faults.Set(table)
	return c.NoContent(http.StatusOK)
}
