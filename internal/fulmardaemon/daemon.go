// Package fulmardaemon is the process of one member: it builds the components,
// connects them and runs them.
//
// Usage:
//
//	daemon, err := fulmardaemon.Start(settings, clock, logger)
//	err = daemon.Run(ctx)  // until ctx ends, then a graceful stop
//
// A caller's request arrives at the gateway in fulmarentry. fulmarclaim claims its
// idempotency key, the pool's scheduler in fulmardispatch queues it and grants it
// a slot, and the transport in fulmardispatch sends it to the worker and returns
// the response.
//
// In the background fulmarfleet keeps the view of the fleet, fulmarmember
// registers the member and exchanges digests with the peers, fulmarmove moves VMs
// between pools, and fulmaroperator serves operators.
package fulmardaemon

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclaim"
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarconfig"
	"github.com/fulmardrum/fulmardrum/internal/fulmardispatch"
	"github.com/fulmardrum/fulmardrum/internal/fulmarentry"
	"github.com/fulmardrum/fulmardrum/internal/fulmarfleet"
	"github.com/fulmardrum/fulmardrum/internal/fulmarmember"
	"github.com/fulmardrum/fulmardrum/internal/fulmarmember/fulmarpeerpb"
	"github.com/fulmardrum/fulmardrum/internal/fulmarmetrics"
	"github.com/fulmardrum/fulmardrum/internal/fulmarmove"
	"github.com/fulmardrum/fulmardrum/internal/fulmaroperator"
	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
	"github.com/fulmardrum/fulmardrum/internal/fulmarsettings"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

const (
	minPeerPingInterval = 5 * time.Second
	idleSweepInterval   = 5 * fulmarclock.Second
	// fenceCheckInterval is how long the result of a fence check is reused.
	fenceCheckInterval = 20 * fulmarclock.Millis(1)
	// plansPerVMPoll is the number of planning rounds between two polls of the VM list.
	plansPerVMPoll = 2
	planTimeout    = 5 * fulmarclock.Second
	// A watch without changes gets its response after this fraction of the fencing
	// timeout, so that an unresponsive platform is detected before that timeout passes.
	watchTimeoutNumerator   = 2
	watchTimeoutDenominator = 3
)

// fenceCheck is the cached result of a fence check.
type fenceCheck struct {
	checkedAt fulmarclock.Millis
	fenced    bool
}

// Daemon is the process of one member.
type Daemon struct {
	settings fulmarsettings.Daemon
	clock    fulmarclock.Clock
	logger   *log.Logger
	self     fulmarfleet.Member

	metrics    *fulmarmetrics.Metrics
	platform   *fulmarplatform.Client
	fleet      *fulmarfleet.Fleet
	membership *fulmarmember.Membership
	exchange   *fulmarmember.Exchange
	claimer    *fulmarclaim.Claimer
	transport  *fulmardispatch.Transport
	pools      *fulmardispatch.Pools
	gateway    *fulmarentry.Gateway
	mover      *fulmarmove.Mover
	// appliedSequence is the sequence number of the assignments that the schedulers have applied.
	appliedSequence atomic.Int64
	// appliedRecord is the configuration that the schedulers have applied; nil before the first.
	appliedRecord atomic.Pointer[fulmarconfig.Record]
	// announced is set once this member has seen its own registration.
	announced      atomic.Bool
	lastFenceCheck atomic.Pointer[fenceCheck]

	callerListener   *httpListener
	operatorListener *httpListener
	peerListener     net.Listener
	peerServer       *grpc.Server
}

// Start opens the member's listeners and builds its components, which Run starts.
// An address with port 0 gets a free port.
func Start(settings fulmarsettings.Daemon, clock fulmarclock.Clock, logger *log.Logger) (*Daemon, error) {
	d := &Daemon{settings: settings, clock: clock, logger: logger.With("member", settings.Member)}
	if err := d.listen(); err != nil {
		d.closeListeners()
		return nil, err
	}
	d.self = fulmarfleet.Member{
		Name: settings.Member, Incarnation: uuid.NewString(), Region: settings.Region,
		DataCentre: settings.DataCentre, PeerAddress: d.peerListener.Addr().String(), OperatorAddress: d.operatorListener.address(),
	}
	d.buildComponents()
	return d, nil
}

// CallerAddress returns the address of the listener for callers.
func (d *Daemon) CallerAddress() string { return d.callerListener.address() }

// OperatorAddress returns the address of the listener for operators.
func (d *Daemon) OperatorAddress() string { return d.operatorListener.address() }

// Gateway returns the HTTP gateway for callers.
func (d *Daemon) Gateway() *fulmarentry.Gateway { return d.gateway }

func (d *Daemon) listen() error {
	var err error
	if d.callerListener, err = listenHTTP(d.settings.CallerAddress); err != nil {
		return err
	}
	if d.operatorListener, err = listenHTTP(d.settings.OperatorAddress); err != nil {
		return err
	}
	d.peerListener, err = net.Listen("tcp", d.settings.PeerAddress)
	return trace.ConvertSystemError(err)
}

func (d *Daemon) buildComponents() {
	limits, times := d.settings.Limits, d.settings.Times
	d.metrics = fulmarmetrics.New(d.settings.Member)
	d.platform = fulmarplatform.NewClient(d.settings.PlatformURL, times.PlatformCallTimeout, d.metrics)
	d.fleet = fulmarfleet.New(d.platform, d.clock, d.logger, d.metrics, times.VMListInterval, times.FencingTimeout*watchTimeoutNumerator/watchTimeoutDenominator)
	d.membership = fulmarmember.NewMembership(d.platform, d.clock, d.self, times.LeaseDuration, d.logger, d.metrics)
	d.exchange = fulmarmember.NewExchange(fulmarmember.ExchangeOptions{
		Self: d.self, Fleet: d.fleet, Clock: d.clock, Source: d, Metrics: d.metrics, Logger: d.logger,
		Interval: times.DigestInterval, FencingTimeout: times.FencingTimeout,
	})
	d.claimer = fulmarclaim.NewClaimer(d.platform, d.clock, fulmarclaim.Options{
		Retention: times.ClaimRetention, OpsPerSecond: limits.ClaimsPerSecond,
	})
	d.transport = fulmardispatch.NewTransport(fulmardispatch.TransportOptions{
		Clock: d.clock, ConnectTimeout: times.ConnectTimeout, AckTimeout: times.AckTimeout, NonIdempotentMaxIdle: times.NonIdempotentMaxIdle,
	})
	d.pools = fulmardispatch.NewPools(fulmardispatch.PoolsOptions{
		Clock: d.clock, RingCapacity: limits.RingEvents, Seed: uint64(d.clock.Unix()),
		NewPolicy: d.newPolicy, Sharing: d.settings.Sharing,
	})
	d.gateway = fulmarentry.New(fulmarentry.Options{
		Clock: d.clock, Schedulers: d.pools, Configuration: d, Sender: d.transport, Claimer: d.claimer,
		Counters: d.metrics, State: d, Limits: limits, Times: times,
	})
	d.mover = fulmarmove.NewMover(fulmarmove.Options{
		Clock: d.clock, Platform: d.platform, Fleet: d.fleet, Members: d.exchange, Failures: d.metrics,
		Logger: d.logger, Self: d.self.Name, SelfHasReleased: d.hasReleased, FencingTimeout: times.FencingTimeout,
	})
	d.callerListener.limitConnections(limits.CallerConnections)
	d.callerListener.setServer(d.newServer(d.gateway, 0))
	operator := fulmaroperator.NewServer(fulmaroperator.Options{
		Clock: d.clock, Store: d.platform, Fleet: d.fleet, Status: d, Metrics: d.metrics.Handler(),
		Token: d.settings.OperatorToken,
	})
	d.operatorListener.setServer(d.newServer(operator.Handler(), times.ReadBodyTimeout))
	d.peerServer = grpc.NewServer(grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPeerPingInterval}))
	fulmarpeerpb.RegisterPeersServer(d.peerServer, d.exchange)
}

// IsFenced reports whether this member must not send requests to workers, as it may
// have missed a change of the assignments. The result is reused for
// fenceCheckInterval of the clock, so that a process that was paused checks again
// before it sends anything.
func (d *Daemon) IsFenced() bool {
	now := d.clock.Now()
	if last := d.lastFenceCheck.Load(); last != nil && now-last.checkedAt < fenceCheckInterval {
		return last.fenced
	}
	fenced := d.evaluateFence(now)
	d.lastFenceCheck.Store(&fenceCheck{checkedAt: now, fenced: fenced})
	return fenced
}

func (d *Daemon) evaluateFence(now fulmarclock.Millis) bool {
	limit := d.settings.Times.FencingTimeout
	return fulmarmember.IsFenced(fulmarmember.Connectivity{
		Now: now, PlatformResponse: d.fleet.View().LastPlatformResponse(), ReachablePeers: d.exchange.ReachablePeers(limit),
		ExpectedMembers: d.fleet.View().ExpectedMembers(now), BehindSince: d.exchange.BehindSince(), FencingTimeout: limit,
	})
}

// IsIsolated reports whether the platform has responded to no watch for longer than the fencing timeout.
func (d *Daemon) IsIsolated() bool {
	return d.clock.Now()-d.fleet.View().LastPlatformResponse() > d.settings.Times.FencingTimeout
}

// IsAnnounced reports whether this member has ever seen its own registration. Before
// that, the planner moves VMs without waiting for this member to release them.
func (d *Daemon) IsAnnounced() bool {
	if d.announced.Load() {
		return true
	}
	seen := d.fleet.View().HasMember(d.self.Name, d.self.Incarnation)
	if seen {
		d.announced.Store(true)
	}
	return seen
}

// newPolicy returns a new instance of the policy in the settings, which are validated.
func (d *Daemon) newPolicy() fulmardispatch.Policy {
	if policy, found := fulmardispatch.PolicyByName(d.settings.Policy); found {
		return policy
	}
	return fulmardispatch.LeastLoaded{}
}

// Record returns the newest configuration that all of this member's schedulers
// have applied. A newer known one is not returned until it is applied, so that
// a caller's request never finds it partly applied, such as a pool without a scheduler.
func (d *Daemon) Record() fulmarconfig.Record {
	if record := d.appliedRecord.Load(); record != nil {
		return *record
	}
	return fulmarconfig.Record{}
}

// Demands returns the demand of each pool that has any, in running and queued requests.
func (d *Daemon) Demands() map[string]int { return d.pools.Demands() }

// SetPeerDemands sets the other members' demands by pool.
func (d *Daemon) SetPeerDemands(demands map[string][]fulmardispatch.Demand) {
	d.pools.SetPeerDemands(demands)
}

// IsStopping reports whether this member is shutting down.
func (d *Daemon) IsStopping() bool { return d.gateway.IsStopping() }

// Status returns the state of this member, its pools and its view of the fleet.
func (d *Daemon) Status() fulmarapi.Status {
	view := d.fleet.View()
	status := fulmarapi.Status{
		Member: d.self.Name, Ready: d.gateway.IsReady(), Generation: view.Record().Generation,
		ViewAgeMillis: int64(d.clock.Now() - view.LastPlatformResponse()), Pools: d.pools.Reports(),
	}
	for _, m := range view.Members() {
		report := fulmarapi.MemberReport{
			Name: m.Name, Region: m.Region, DataCentre: m.DataCentre, PeerAddress: m.PeerAddress, OperatorAddress: m.OperatorAddress,
			Generation: d.exchange.Generation(m.Name), AgeMillis: int64(d.exchange.DigestAge(m.Name)),
		}
		if m.Name == d.self.Name {
			report.Generation, report.AgeMillis = status.Generation, 0
		}
		status.Members = append(status.Members, report)
	}
	return status
}

// followFleet applies each new view of the fleet until ctx ends. It also closes idle
// connections to workers when the view has not changed for idleSweepInterval.
func (d *Daemon) followFleet(ctx context.Context) {
	for {
		select {
		case <-d.fleet.Changed():
		case <-d.clock.After(idleSweepInterval):
			d.transport.CloseIdle()
		case <-ctx.Done():
			return
		}
		d.applyView()
	}
}

// runPlanner runs planning rounds until ctx ends.
func (d *Daemon) runPlanner(ctx context.Context) {
	for ctx.Err() == nil {
		d.planOnce(ctx)
		select {
		case <-d.clock.After(d.settings.Times.VMListInterval / plansPerVMPoll):
		case <-ctx.Done():
		}
	}
}

// planOnce assigns VMs to pools and advances moves of VMs, if this member is the
// planner and the platform is reachable.
func (d *Daemon) planOnce(ctx context.Context) {
	if !d.fleet.View().IsPlanner(d.self.Name) || d.IsIsolated() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, planTimeout.Duration())
	defer cancel()
	d.fleet.AssignOnce(ctx, d.platform, d.self.Name)
	d.mover.Step(ctx)
}

// AppliedAssignments returns the sequence number of the assignments that the schedulers have
// applied, and the moving VMs on which this member still has running requests.
func (d *Daemon) AppliedAssignments() (sequence int64, busyVMs []string) {
	sequence = d.appliedSequence.Load()
	table, _ := d.fleet.View().Table()
	moving := table.MovingVMs()
	if len(moving) == 0 {
		return sequence, nil
	}
	for _, report := range d.pools.Reports() {
		for _, w := range report.Workers {
			if w.Running > 0 && slices.Contains(moving, w.VM) {
				busyVMs = append(busyVMs, w.VM)
			}
		}
	}
	return sequence, busyVMs
}

// hasReleased reports whether this member has released a VM: its schedulers have
// applied the assignments of a sequence number and run no request on the VM.
func (d *Daemon) hasReleased(vm string, sequence int64) bool {
	applied, busyVMs := d.AppliedAssignments()
	return applied >= sequence && !slices.Contains(busyVMs, vm)
}

// applyView applies the current view to the schedulers and the transport. The
// sequence number is published last, as it acknowledges the assignments to the planner.
func (d *Daemon) applyView() {
	view := d.fleet.View()
	if view.Record().Generation == 0 {
		return
	}
	d.pools.Apply(poolSpecs(view, d.clock.Now(), d.settings.Limits.WorkerConnections))
	record := view.Record()
	d.appliedRecord.Store(&record)
	addresses := map[string]bool{}
	for _, vm := range view.Workers(d.clock.Now()) {
		addresses[vm.Address] = true
	}
	d.transport.CloseExcept(addresses)
	table, _ := view.Table()
	d.appliedSequence.Store(table.Sequence)
}

func (d *Daemon) closeListeners() {
	for _, l := range []*httpListener{d.callerListener, d.operatorListener} {
		if l != nil {
			_ = l.listener.Close()
		}
	}
}
