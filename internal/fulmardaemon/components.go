package fulmardaemon

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclaim"
	"github.com/fulmardrum/fulmardrum/internal/fulmardispatch"
	"github.com/fulmardrum/fulmardrum/internal/fulmarentry"
	"github.com/fulmardrum/fulmardrum/internal/fulmarfleet"
	"github.com/fulmardrum/fulmardrum/internal/fulmarmember"
	"github.com/fulmardrum/fulmardrum/internal/fulmarmember/fulmarpeerpb"
	"github.com/fulmardrum/fulmardrum/internal/fulmarmetrics"
	"github.com/fulmardrum/fulmardrum/internal/fulmarmove"
	"github.com/fulmardrum/fulmardrum/internal/fulmaroperator"
	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
)

const (
	minPeerPingInterval = 5 * time.Second
	// A watch without changes gets its response after this fraction of the fencing
	// timeout, so that an unresponsive platform is detected before that timeout passes.
	watchTimeoutNumerator   = 2
	watchTimeoutDenominator = 3
)

// buildComponents builds the components in the order in which they use each other.
func (d *Daemon) buildComponents() {
	d.metrics = fulmarmetrics.New(d.settings.Member)
	d.platform = fulmarplatform.NewClient(d.settings.PlatformURL, d.settings.Times.PlatformCallTimeout, d.metrics)
	d.buildFleet()
	d.buildDispatch()
	d.gateway = fulmarentry.New(fulmarentry.Options{
		Clock: d.clock, Schedulers: d.pools, Configuration: d, Sender: d.transport, Claimer: d.claimer,
		Counters: d.metrics, State: d, Limits: d.settings.Limits, Times: d.settings.Times,
	})
	d.buildCallerServer()
	d.buildOperatorServer()
	d.buildPeerServer()
}

// buildFleet builds the components that share the state of the fleet among the members.
func (d *Daemon) buildFleet() {
	times := d.settings.Times
	watchTimeout := times.FencingTimeout * watchTimeoutNumerator / watchTimeoutDenominator
	d.fleet = fulmarfleet.New(d.platform, d.clock, d.logger, d.metrics, times.VMListInterval, watchTimeout)
	d.membership = fulmarmember.NewMembership(d.platform, d.clock, d.self, times.LeaseDuration, d.logger, d.metrics)
	d.exchange = fulmarmember.NewExchange(fulmarmember.ExchangeOptions{
		Self: d.self, Fleet: d.fleet, Clock: d.clock, Source: d, Metrics: d.metrics, Logger: d.logger,
		Interval: times.DigestInterval, FencingTimeout: times.FencingTimeout,
	})
	d.mover = fulmarmove.NewMover(fulmarmove.Options{
		Clock: d.clock, Platform: d.platform, Fleet: d.fleet, Members: d.exchange, Failures: d.metrics,
		Logger: d.logger, Self: d.self.Name, SelfHasReleased: d.hasReleased, FencingTimeout: times.FencingTimeout,
	})
}

// buildDispatch builds the components that a request passes behind the gateway.
func (d *Daemon) buildDispatch() {
	limits, times := d.settings.Limits, d.settings.Times
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
}

func (d *Daemon) buildCallerServer() {
	d.callerListener.limitConnections(d.settings.Limits.CallerConnections)
	d.callerListener.setServer(d.newServer(d.gateway, 0))
}

func (d *Daemon) buildOperatorServer() {
	operator := fulmaroperator.NewServer(fulmaroperator.Options{
		Clock: d.clock, Store: d.platform, Fleet: d.fleet, Status: d, Metrics: d.metrics.Handler(),
		Token: d.settings.OperatorToken,
	})
	d.operatorListener.setServer(d.newServer(operator.Handler(), d.settings.Times.ReadBodyTimeout))
}

func (d *Daemon) buildPeerServer() {
	d.peerServer = grpc.NewServer(grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPeerPingInterval}))
	fulmarpeerpb.RegisterPeersServer(d.peerServer, d.exchange)
}

// newPolicy returns a new instance of the policy in the settings, which are validated.
func (d *Daemon) newPolicy() fulmardispatch.Policy {
	if policy, found := fulmardispatch.PolicyByName(d.settings.Policy); found {
		return policy
	}
	return fulmardispatch.LeastLoaded{}
}
