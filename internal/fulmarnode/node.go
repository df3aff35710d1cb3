// Package fulmarnode joins the duties of one member on the platform into a process.
//
// Usage:
//
//	node, err := fulmarnode.Start(settings, logger)
//	err = node.Run(ctx)  // until ctx ends, then a graceful stop
//
// A job's way: fulmarfront takes it from its caller and hands it to the owner;
// fulmarowner asks fulmarsched, stores the decision through fulmarledger and only
// then answers the caller and sends the orders to the executors.
package fulmarnode

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
	"github.com/oklog/run"
	"google.golang.org/grpc"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarfollow"
	"github.com/fulmardrum/fulmardrum/internal/fulmarfront"
	"github.com/fulmardrum/fulmardrum/internal/fulmarfront/fulmarfrontpb"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarledger"
	"github.com/fulmardrum/fulmardrum/internal/fulmarmetrics"
	"github.com/fulmardrum/fulmardrum/internal/fulmarowner"
	"github.com/fulmardrum/fulmardrum/internal/fulmarrelay"
	"github.com/fulmardrum/fulmardrum/internal/fulmarrelay/fulmarrelaypb"
	fulmaradapter "github.com/fulmardrum/fulmardrum/platform"
)

const (
	// readHeaderTimeout bounds the reading of a caller's header, idleKept an idle connection.
	readHeaderTimeout = 5 * fulmarclock.Second
	idleTimeout       = 60 * fulmarclock.Second
	// acceptFraction is the part of the time for a stop in which the member still takes callers.
	acceptFraction = 0.5
	// closeFraction is the part after which open requests are cut.
	closeFraction = 0.85
)

// Node is one member.
type Node struct {
	settings Settings
	logger   *log.Logger
	clock    fulmarclock.Clock
	metrics  *fulmarmetrics.Metrics

	store      *fulmaradapter.Store
	executors  *fulmaradapter.Executors
	fleet      *fulmaradapter.Fleet
	advisor    *fulmaradapter.PlacementAdvisor
	hub        *fulmarrelay.Hub
	candidate  *fulmarowner.Candidate
	agent      *fulmarrelay.Agent
	router     *fulmarfront.Router
	peerServer *grpc.Server

	configuration atomic.Pointer[fulmarjob.Configuration]
	stopping      atomic.Bool
	// resigned is closed when a planned stop has given the scheduler back.
	resigned chan struct{}

	callerServer  *http.Server
	probeServer   *http.Server
	metricsServer *http.Server
	listeners     []net.Listener
}

// Start takes the member's addresses and makes its parts.
func Start(settings Settings, logger *log.Logger) (*Node, error) {
	return start(settings, logger, fulmarclock.NewSystem())
}

func start(settings Settings, logger *log.Logger, clock fulmarclock.Clock) (*Node, error) {
	n := &Node{settings: settings, logger: logger, clock: clock, resigned: make(chan struct{})}
	for _, address := range []string{settings.Callers, settings.Ready, settings.Metrics, settings.Peers} {
		socket, err := net.Listen("tcp", address)
		if err != nil {
			n.closeListeners()
			return nil, trace.ConvertSystemError(err)
		}
		n.listeners = append(n.listeners, socket)
	}
	// A port that the settings leave to the system is known only now.
	n.settings.Peers = n.listeners[3].Addr().String()
	n.assemble()
	return n, nil
}

// Callers returns the address at which the member takes callers.
func (n *Node) Callers() string { return n.listeners[0].Addr().String() }

// OwnsScheduler tells whether the member owns the scheduler, as far as it knows.
func (n *Node) OwnsScheduler() bool {
	owner, owned := n.candidate.Owner()
	return owned && owner.Peers == n.settings.Peers
}

func (n *Node) closeListeners() {
	for _, s := range n.listeners {
		if err := s.Close(); err != nil {
			n.logger.Warn("a listener was not closed", "error", err)
		}
	}
}

func (n *Node) assemble() {
	n.metrics = fulmarmetrics.New(n.settings.Member)
	n.store = fulmaradapter.NewStore(n.settings.Store, n.metrics)
	n.executors = fulmaradapter.NewExecutors(n.metrics)
	n.fleet = fulmaradapter.NewFleet(n.settings.Fleet, n.metrics)
	n.advisor = fulmaradapter.NewPlacementAdvisor(n.settings.Advice, n.metrics)
	n.hub = fulmarrelay.NewHub(fulmarrelay.HubOptions{
		Clock: n.clock, Logger: n.logger, Counters: n.metrics, Direct: n.executors, Cores: n.settings.Cores,
	})
	n.candidate = fulmarowner.NewCandidate(fulmarowner.Options{
		Store: n.store, Executors: n.executors, Relay: n.hub, Fleet: n.fleet, Advice: n.advisor, Reports: storeCodec{}, Entries: storeCodec{},
		Clock: n.clock, Awake: fulmarclock.NewBoot(), Logger: n.logger, Counters: n.metrics,
		Self:   fulmarledger.Owner{Member: n.settings.Member, Peers: n.settings.Peers},
		Bounds: n.settings.Scheduler(), Lease: n.settings.Bounds.Lease(),
		ClaimDelay: n.settings.ClaimDelay(),
	})
	n.agent = fulmarrelay.NewAgent(fulmarrelay.AgentOptions{
		Name: n.settings.Member, Cores: n.settings.Cores, PeerAddress: n.settings.Peers, Ownership: n.candidate,
		Executors: n.executors, Clock: n.clock, Logger: n.logger,
	})
	n.router = fulmarfront.NewRouter(n.candidate, n.clock, n.logger, n.metrics, n.settings.Peers)
	front := fulmarfront.New(fulmarfront.Options{
		Clock: n.clock, Logger: n.logger, Metrics: n.metrics, Codec: callerCodec{}, Owner: n.router,
		Configuration: n.configuration.Load,
	})
	n.callerServer = newServer(front.Handler())
	n.probeServer = newServer(http.HandlerFunc(n.serveProbe))
	n.metricsServer = newServer(n.metrics.Handler())
	n.peerServer = grpc.NewServer()
	fulmarfrontpb.RegisterOwnerServer(n.peerServer, fulmarfront.NewOwnerService(n.candidate))
	fulmarrelaypb.RegisterRelayServer(n.peerServer, n.hub)
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout.Duration(), IdleTimeout: idleTimeout.Duration()}
}

// serveProbe tells the balancer whether this member takes callers.
func (n *Node) serveProbe(w http.ResponseWriter, _ *http.Request) {
	if n.stopping.Load() || n.configuration.Load() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Run works until ctx ends, then stops in order: the balancer is told, the
// scheduler is handed over, requests end, and the listeners close.
func (n *Node) Run(ctx context.Context) error {
	var group run.Group
	n.addLoop(&group, n.newOperatorFollower().Run)
	n.addLoop(&group, n.newOwnerFollower().Run)
	n.addLoop(&group, n.agent.Run)
	reign, abdicate := context.WithCancel(context.Background())
	reigned, interrupted := make(chan struct{}), make(chan struct{})
	group.Add(func() error {
		n.candidate.Run(reign)
		close(reigned)
		// The member goes on without a reign until its planned stop is over.
		<-interrupted
		return nil
	}, func(error) {
		abdicate()
		close(interrupted)
	})
	n.addServer(&group, n.callerServer, n.listeners[0])
	n.addServer(&group, n.probeServer, n.listeners[1])
	n.addServer(&group, n.metricsServer, n.listeners[2])
	group.Add(func() error { return n.peerServer.Serve(n.listeners[3]) }, func(error) { n.peerServer.Stop() })
	group.Add(func() error {
		<-ctx.Done()
		n.stop(abdicate, reigned)
		return nil
	}, func(error) {})
	n.logger.Info("the member has started", "callers", n.settings.Callers, "peers", n.settings.Peers, "store", n.settings.Store)
	err := group.Run()
	n.close()
	return err
}

func (n *Node) addLoop(group *run.Group, duty func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error {
		duty(ctx)
		return nil
	}, func(error) { cancel() })
}

func (n *Node) addServer(group *run.Group, server *http.Server, socket net.Listener) {
	interrupted := make(chan struct{})
	group.Add(func() error {
		if err := server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
			return trace.Wrap(err)
		}
		<-interrupted
		return nil
	}, func(error) {
		close(interrupted)
		if err := server.Close(); err != nil {
			n.logger.Warn("a server was not closed", "error", err)
		}
	})
}

func (n *Node) stop(abdicate context.CancelFunc, reigned <-chan struct{}) {
	grace := fulmarclock.Millis(n.settings.Bounds.ShutdownSeconds * millisPerSecond)
	n.logger.Info("the member stops", "grace_ms", grace)
	n.stopping.Store(true)
	began := n.clock.Now()
	abdicate()
	<-reigned
	close(n.resigned)
	left := fulmarclock.Millis(float64(grace)*acceptFraction) - (n.clock.Now() - began)
	<-n.clock.After(max(left, 0))
	n.callerServer.SetKeepAlivesEnabled(false)
	limited, cancel := context.WithTimeout(context.Background(), fulmarclock.Millis(float64(grace)*(closeFraction-acceptFraction)).Duration())
	defer cancel()
	if err := n.callerServer.Shutdown(limited); err != nil {
		n.logger.Warn("requests were still open at the end of the time for stopping", "error", err)
	}
}

func (n *Node) close() {
	n.router.Close()
	n.store.Close()
	n.executors.Close()
	n.fleet.Close()
	n.advisor.Close()
	n.metrics.Close()
	n.logger.Info("the member has stopped")
}

// newOperatorFollower keeps the configuration and the requests for waves.
func (n *Node) newOperatorFollower() *fulmarfollow.Follower {
	return fulmarfollow.New(fulmarfollow.Options{
		Store: n.store, Clock: n.clock, Prefix: fulmaradapter.OperatorPrefix, Changed: n.applyOperatorKey,
		Synced:   func() {},
		Failed:   func(err error) { n.logger.Warn("the operators' keys can't be followed", "error", err) },
		Regained: func() { n.logger.Info("the operators' keys are followed again") },
	})
}

func (n *Node) applyOperatorKey(i fulmarledger.Item) {
	switch {
	case i.Removed:
		n.logger.Warn("an operators' key has gone and is ignored", "key", i.Key)
	case i.Key == fulmaradapter.ConfigurationKey:
		n.applyConfiguration(i)
	case strings.HasPrefix(i.Key, fulmaradapter.WavePrefix):
		wave, err := fulmaradapter.DecodeWave(i.Value)
		if err != nil {
			n.logger.Error("a wave is ignored", "key", i.Key, "error", err)
			return
		}
		n.candidate.SeeWave(wave)
	}
}

func (n *Node) applyConfiguration(i fulmarledger.Item) {
	configuration, err := fulmaradapter.DecodeConfiguration(i.Value)
	if err != nil {
		n.logger.Error("the configuration is ignored", "revision", i.Revision, "error", err)
		return
	}
	present := n.configuration.Load()
	if present != nil && configuration.Version < present.Version {
		n.logger.Warn("an older configuration is ignored", "version", configuration.Version, "present", present.Version)
		return
	}
	n.configuration.Store(configuration)
	n.candidate.Configure(configuration)
	n.logger.Info("the configuration is in force", "version", configuration.Version, "revision", i.Revision, "queues", len(configuration.Queues), "services", len(configuration.Services))
}

// newOwnerFollower keeps track of who owns the scheduler.
func (n *Node) newOwnerFollower() *fulmarfollow.Follower {
	return fulmarfollow.New(fulmarfollow.Options{
		Store: n.store, Clock: n.clock, Prefix: fulmarledger.OwnerKey, Changed: n.applyOwner,
		Synced:   func() {},
		Failed:   func(err error) { n.logger.Warn("the ownership key can't be followed", "error", err) },
		Regained: func() { n.logger.Info("the ownership key is followed again") },
	})
}

func (n *Node) applyOwner(i fulmarledger.Item) {
	if i.Removed {
		n.logger.Info("nobody owns the scheduler", "revision", i.Revision)
		n.candidate.SetOwner(fulmarledger.Owner{}, false)
		return
	}
	owner, err := fulmarledger.DecodeOwner(i.Value)
	if err != nil {
		n.logger.Error("the ownership key is ignored", "error", err)
		return
	}
	owner.Revision = i.Revision
	n.logger.Info("the scheduler has an owner", "owner", owner.Member, "revision", i.Revision)
	n.candidate.SetOwner(owner, true)
}
