// Package fulmardaemon joins the duties of one member into a process.
//
// Usage:
//
//	daemon, err := fulmardaemon.Start(settings, clock, logger)
//	err = daemon.Run(ctx)  // until ctx ends, then a graceful stop
//
// A request's way: fulmarentry takes it from its caller, fulmarclaim claims its
// idempotency key, the pool's scheduler in fulmardispatch queues it and gives it
// a slot, and the transport in fulmardispatch exchanges it with the worker.
// Beside it, fulmarfleet follows the platform, fulmarmember tells the peers,
// and fulmaroperator serves operators.
package fulmardaemon

import (
	"context"
	"net"
	"net/http"
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
	callerIdle   = 60 * time.Second
	pingLeast    = 5 * time.Second
	housekeeping = 5 * fulmarclock.Second
	// fenceRecheck is how long a look at the fence holds.
	fenceRecheck = 20 * fulmarclock.Millis(1)
	// planRounds is how many planning rounds fit between two looks at the VM list.
	planRounds = 2
	planLimit  = 5 * fulmarclock.Second
	// A watch without changes is answered within two thirds of the fence time, so
	// that a watch that has gone silent is noticed within the fence time.
	watchShare = 2
	watchWhole = 3
)

// fenceLook is what a look at the fence came to.
type fenceLook struct {
	at     fulmarclock.Millis
	fenced bool
}

// Daemon is one member.
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
	entry      *fulmarentry.Gateway
	mover      *fulmarmove.Mover
	// applied is the sequence of the assignments that the schedulers follow.
	applied atomic.Int64
	// inForce is the configuration that the schedulers follow.
	inForce   atomic.Pointer[fulmarconfig.Record]
	announced atomic.Bool
	fence     atomic.Pointer[fenceLook]

	callers   *listening
	operators *listening
	peers     net.Listener
	grpc      *grpc.Server
}

// Start takes the member's addresses and makes its parts. Port 0 takes a free port.
func Start(settings fulmarsettings.Daemon, clock fulmarclock.Clock, logger *log.Logger) (*Daemon, error) {
	d := &Daemon{settings: settings, clock: clock, logger: logger.With("member", settings.Member)}
	if err := d.listen(); err != nil {
		d.closeListeners()
		return nil, err
	}
	d.self = fulmarfleet.Member{
		Name: settings.Member, Incarnation: uuid.NewString(), Region: settings.Region,
		DataCentre: settings.DataCentre, Peers: d.peers.Addr().String(), Operators: d.operators.address(),
	}
	d.assemble()
	return d, nil
}

// Callers returns the address of the callers' listener.
func (d *Daemon) Callers() string { return d.callers.address() }

// Operators returns the address of the operators' listener.
func (d *Daemon) Operators() string { return d.operators.address() }

// Entry returns the callers' side.
func (d *Daemon) Entry() *fulmarentry.Gateway { return d.entry }

func (d *Daemon) listen() error {
	var err error
	if d.callers, err = listenOn(d.settings.Callers); err != nil {
		return err
	}
	if d.operators, err = listenOn(d.settings.Operators); err != nil {
		return err
	}
	d.peers, err = net.Listen("tcp", d.settings.Peers)
	return trace.ConvertSystemError(err)
}

func (d *Daemon) assemble() {
	limits, times := d.settings.Limits, d.settings.Times
	d.metrics = fulmarmetrics.New(d.settings.Member)
	d.platform = fulmarplatform.NewClient(d.settings.Platform, times.PlatformCall, d.metrics)
	d.fleet = fulmarfleet.New(d.platform, d.clock, d.logger, d.metrics, times.VMList, times.Fence*watchShare/watchWhole)
	d.membership = fulmarmember.NewMembership(d.platform, d.clock, d.self, times.Lease, d.logger, d.metrics)
	d.exchange = fulmarmember.NewExchange(d.self, d.fleet, d.clock, d, d.metrics, d.logger, times.Digest)
	d.claimer = fulmarclaim.NewClaimer(d.platform, d.clock, fulmarclaim.Options{
		Kept: times.ClaimKept, PerSecond: limits.ClaimsPerSecond,
	})
	d.transport = fulmardispatch.NewTransport(fulmardispatch.TransportOptions{
		Clock: d.clock, Connect: times.ConnectWorker, Acknowledge: times.Acknowledge, FreshIdle: times.FreshIdle,
	})
	d.pools = fulmardispatch.NewPools(fulmardispatch.PoolsOptions{
		Clock: d.clock, Ring: limits.RingEvents, Seed: uint64(d.clock.Unix()),
		NewPolicy: d.newPolicy, Sharing: d.settings.Sharing,
	})
	d.entry = fulmarentry.New(fulmarentry.Options{
		Clock: d.clock, Schedulers: d.pools, Configuration: d, Sender: d.transport, Claimer: d.claimer,
		Counters: d.metrics, State: d, Limits: limits, Times: times,
	})
	d.mover = fulmarmove.NewMover(fulmarmove.Options{
		Clock: d.clock, Platform: d.platform, Fleet: d.fleet, Members: d.exchange, Failures: d.metrics,
		Logger: d.logger, Self: d.self.Name, SelfHasLeft: d.hasLeft, Fence: times.Fence,
	})
	d.callers.limit(limits.CallerConnections)
	d.callers.serve(&http.Server{
		Handler: d.entry, MaxHeaderBytes: limits.HeaderBytes,
		ReadHeaderTimeout: times.ReadHeader.Duration(), IdleTimeout: callerIdle,
	})
	operator := fulmaroperator.NewServer(fulmaroperator.Options{
		Clock: d.clock, Store: d.platform, Fleet: d.fleet, Status: d, Metrics: d.metrics.Handler(),
		Token: d.settings.OperatorToken,
	})
	d.operators.serve(&http.Server{
		Handler: operator.Handler(), MaxHeaderBytes: limits.HeaderBytes,
		ReadHeaderTimeout: times.ReadHeader.Duration(), ReadTimeout: times.ReadBody.Duration(), IdleTimeout: callerIdle,
	})
	d.grpc = grpc.NewServer(grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingLeast}))
	fulmarpeerpb.RegisterPeersServer(d.grpc, d.exchange)
}

// IsFenced tells whether this member must not send work, as it may have missed
// a change. It looks anew when fenceRecheck has passed since the last look, also
// after a pause of the process.
func (d *Daemon) IsFenced() bool {
	now := d.clock.Now()
	if last := d.fence.Load(); last != nil && now-last.at < fenceRecheck {
		return last.fenced
	}
	fenced := d.lookAtFence(now)
	d.fence.Store(&fenceLook{at: now, fenced: fenced})
	return fenced
}

func (d *Daemon) lookAtFence(now fulmarclock.Millis) bool {
	limit := d.settings.Times.Fence
	return fulmarmember.IsFenced(fulmarmember.Contact{
		Now: now, Platform: d.fleet.View().LastPlatformResponse(), Heard: d.exchange.Heard(limit),
		Roster: d.fleet.View().Roster(now), BehindSince: d.exchange.BehindSince(), Limit: limit,
	})
}

// IsCutOff tells whether no watch has been answered for the fence time.
func (d *Daemon) IsCutOff() bool {
	return d.clock.Now()-d.fleet.View().LastPlatformResponse() > d.settings.Times.Fence
}

// IsAnnounced tells whether this member has ever seen its own line among the
// members: before that, the others do not wait for its word.
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

// newPolicy returns the policy of the settings, which were checked.
func (d *Daemon) newPolicy() fulmardispatch.Policy {
	if policy, known := fulmardispatch.PolicyByName(d.settings.Policy); known {
		return policy
	}
	return fulmardispatch.LeastLoaded{}
}

// Record returns the configuration in force: the newest one that all of this
// member's schedulers follow. A configuration that is known and not yet applied
// is not in force, so no caller sees a half of it.
func (d *Daemon) Record() fulmarconfig.Record {
	if record := d.inForce.Load(); record != nil {
		return *record
	}
	return fulmarconfig.Record{}
}

// Loads returns the demand of each pool with any.
func (d *Daemon) Loads() map[string]int { return d.pools.Loads() }

// LearnLoads takes in the other members' demands.
func (d *Daemon) LearnLoads(demands map[string][]fulmardispatch.Demand) { d.pools.SetPeers(demands) }

// Stopping tells whether the member is on its way out.
func (d *Daemon) Stopping() bool { return !d.entry.IsReady() }

// Status returns the member's state.
func (d *Daemon) Status() fulmarapi.Status {
	view := d.fleet.View()
	status := fulmarapi.Status{
		Member: d.self.Name, Ready: d.entry.IsReady(), Generation: view.Record().Generation,
		ViewMillis: int64(d.clock.Now() - view.LastPlatformResponse()), Pools: d.pools.Reports(),
	}
	for _, m := range view.Members() {
		report := fulmarapi.MemberReport{
			Name: m.Name, Region: m.Region, DataCentre: m.DataCentre, Peers: m.Peers, Operators: m.Operators,
			Generation: d.exchange.Generation(m.Name), AgeMillis: int64(d.exchange.Age(m.Name)),
		}
		if m.Name == d.self.Name {
			report.Generation, report.AgeMillis = status.Generation, 0
		}
		status.Members = append(status.Members, report)
	}
	return status
}

// follow keeps the schedulers on the fleet's view until ctx ends.
func (d *Daemon) follow(ctx context.Context) {
	for {
		select {
		case <-d.fleet.Changed():
		case <-d.clock.After(housekeeping):
			d.transport.CloseIdle()
		case <-ctx.Done():
			return
		}
		d.applyView()
	}
}

// plan assigns VMs and takes moves further, on the member that plans, until ctx ends.
func (d *Daemon) plan(ctx context.Context) {
	for ctx.Err() == nil {
		d.planOnce(ctx)
		select {
		case <-d.clock.After(d.settings.Times.VMList / planRounds):
		case <-ctx.Done():
		}
	}
}

func (d *Daemon) planOnce(ctx context.Context) {
	if !d.fleet.View().IsPlanner(d.self.Name) || d.IsCutOff() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, planLimit.Duration())
	defer cancel()
	d.fleet.AssignOnce(ctx, d.platform, d.self.Name)
	d.mover.Step(ctx)
}

// Applied returns the sequence of the assignments that the schedulers follow,
// and the moving VMs on which this member still has requests.
func (d *Daemon) Applied() (sequence int64, busyVMs []string) {
	sequence = d.applied.Load()
	table, _ := d.fleet.View().Table()
	moving := table.Moving()
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

// hasLeft tells whether this member's schedulers follow the assignments of a
// sequence and have no request left on a VM.
func (d *Daemon) hasLeft(vm string, sequence int64) bool {
	applied, busyVMs := d.Applied()
	return applied >= sequence && !slices.Contains(busyVMs, vm)
}

func (d *Daemon) applyView() {
	view := d.fleet.View()
	if view.Record().Generation == 0 {
		return
	}
	d.pools.Apply(plansOf(view, d.clock.Now(), d.settings.Limits.WorkerConnection))
	record := view.Record()
	d.inForce.Store(&record)
	addresses := map[string]bool{}
	for _, vm := range view.Workers(d.clock.Now()) {
		addresses[vm.Address] = true
	}
	d.transport.Keep(addresses)
	table, _ := view.Table()
	d.applied.Store(table.Sequence)
}

func (d *Daemon) closeListeners() {
	for _, l := range []*listening{d.callers, d.operators} {
		if l != nil {
			_ = l.listener.Close()
		}
	}
}
