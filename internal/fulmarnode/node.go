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
	// readHeader bounds the reading of a caller's header, idleKept an idle connection.
	readHeader = 5 * fulmarclock.Second
	idleKept   = 60 * fulmarclock.Second
	// lingerShare is the part of the time for a stop in which the member still takes callers.
	lingerShare = 0.5
	// closeShare is the part after which open requests are cut.
	closeShare = 0.85
)

// Node is one member.
type Node struct {
	settings Settings
	logger   *log.Logger
	clock    fulmarclock.Clock
	metrics  *fulmarmetrics.Metrics

	store     *fulmaradapter.Store
	executors *fulmaradapter.Executors
	fleet     *fulmaradapter.Fleet
	advice    *fulmaradapter.Advice
	hub       *fulmarrelay.Hub
	candidate *fulmarowner.Candidate
	relay     *fulmarrelay.Member
	router    *fulmarfront.Router
	grpc      *grpc.Server

	configuration atomic.Pointer[fulmarjob.Configuration]
	stopping      atomic.Bool
	// handedOver is closed when a planned stop has given the scheduler back.
	handedOver chan struct{}

	callers *http.Server
	probes  *http.Server
	reports *http.Server
	sockets []net.Listener
}

// Start takes the member's addresses and makes its parts.
func Start(settings Settings, logger *log.Logger) (*Node, error) {
	return start(settings, logger, fulmarclock.NewSystem())
}

func start(settings Settings, logger *log.Logger, clock fulmarclock.Clock) (*Node, error) {
	n := &Node{settings: settings, logger: logger, clock: clock, handedOver: make(chan struct{})}
	for _, address := range []string{settings.Callers, settings.Ready, settings.Metrics, settings.Peers} {
		socket, err := net.Listen("tcp", address)
		if err != nil {
			n.closeSockets()
			return nil, trace.ConvertSystemError(err)
		}
		n.sockets = append(n.sockets, socket)
	}
	// A port that the settings leave to the system is known only now.
	n.settings.Peers = n.sockets[3].Addr().String()
	n.assemble()
	return n, nil
}

// Callers returns the address at which the member takes callers.
func (n *Node) Callers() string { return n.sockets[0].Addr().String() }

// OwnsScheduler tells whether the member owns the scheduler, as far as it knows.
func (n *Node) OwnsScheduler() bool {
	owner, owned := n.candidate.Owner()
	return owned && owner.Peers == n.settings.Peers
}

func (n *Node) closeSockets() {
	for _, s := range n.sockets {
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
	n.advice = fulmaradapter.NewAdvice(n.settings.Advice, n.metrics)
	n.hub = fulmarrelay.NewHub(fulmarrelay.HubOptions{
		Clock: n.clock, Logger: n.logger, Counters: n.metrics, Direct: n.executors, Cores: n.settings.Cores,
	})
	n.candidate = fulmarowner.NewCandidate(fulmarowner.Options{
		Store: n.store, Executors: n.executors, Relay: n.hub, Fleet: n.fleet, PlacementAdvisor: n.advice, WaveStates: storeFormat{}, ExecutorEntries: storeFormat{},
		Clock: n.clock, BootClock: fulmarclock.NewBoot(), Logger: n.logger, Metrics: n.metrics,
		Self:       fulmarledger.Owner{Member: n.settings.Member, Peers: n.settings.Peers},
		Parameters: n.settings.Scheduler(), LeaseDuration: n.settings.Bounds.Lease(),
		AcquireDelay: n.settings.ClaimDelay(),
	})
	n.relay = fulmarrelay.NewMember(fulmarrelay.MemberOptions{
		Name: n.settings.Member, Cores: n.settings.Cores, Self: n.settings.Peers, Ownership: n.candidate,
		Executors: n.executors, Clock: n.clock, Logger: n.logger,
	})
	n.router = fulmarfront.NewRouter(n.candidate, n.clock, n.logger, n.metrics, n.settings.Peers)
	front := fulmarfront.New(fulmarfront.Options{
		Clock: n.clock, Logger: n.logger, Counters: n.metrics, Format: callersFormat{}, Owner: n.router,
		Configuration: n.configuration.Load,
	})
	n.callers = newServer(front.Handler())
	n.probes = newServer(http.HandlerFunc(n.answerProbe))
	n.reports = newServer(n.metrics.Handler())
	n.grpc = grpc.NewServer()
	fulmarfrontpb.RegisterOwnerServer(n.grpc, fulmarfront.NewAsker(n.candidate))
	fulmarrelaypb.RegisterRelayServer(n.grpc, n.hub)
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeader.Duration(), IdleTimeout: idleKept.Duration()}
}

// answerProbe tells the balancer whether this member takes callers.
func (n *Node) answerProbe(w http.ResponseWriter, _ *http.Request) {
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
	n.addDuty(&group, n.followOperators().Run)
	n.addDuty(&group, n.followOwner().Run)
	n.addDuty(&group, n.relay.Run)
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
	n.addServer(&group, n.callers, n.sockets[0])
	n.addServer(&group, n.probes, n.sockets[1])
	n.addServer(&group, n.reports, n.sockets[2])
	group.Add(func() error { return n.grpc.Serve(n.sockets[3]) }, func(error) { n.grpc.Stop() })
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

func (n *Node) addDuty(group *run.Group, duty func(ctx context.Context)) {
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
	grace := fulmarclock.Millis(n.settings.Bounds.StopProcessSeconds * millisInSecond)
	n.logger.Info("the member stops", "grace_ms", grace)
	n.stopping.Store(true)
	began := n.clock.Now()
	abdicate()
	<-reigned
	close(n.handedOver)
	left := fulmarclock.Millis(float64(grace)*lingerShare) - (n.clock.Now() - began)
	<-n.clock.After(max(left, 0))
	n.callers.SetKeepAlivesEnabled(false)
	limited, cancel := context.WithTimeout(context.Background(), fulmarclock.Millis(float64(grace)*(closeShare-lingerShare)).Duration())
	defer cancel()
	if err := n.callers.Shutdown(limited); err != nil {
		n.logger.Warn("requests were still open at the end of the time for stopping", "error", err)
	}
}

func (n *Node) close() {
	n.router.Close()
	n.store.Close()
	n.executors.Close()
	n.fleet.Close()
	n.advice.Close()
	n.metrics.Close()
	n.logger.Info("the member has stopped")
}

// followOperators keeps the configuration and the requests for waves.
func (n *Node) followOperators() *fulmarfollow.Follower {
	return fulmarfollow.New(fulmarfollow.Options{
		Store: n.store, Clock: n.clock, Prefix: fulmaradapter.OperatorPrefix, OnChange: n.takeOperators,
		OnSync:     func() {},
		OnError:    func(err error) { n.logger.Warn("the operators' keys can't be followed", "error", err) },
		OnRecovery: func() { n.logger.Info("the operators' keys are followed again") },
	})
}

func (n *Node) takeOperators(i fulmarledger.Item) {
	switch {
	case i.Deleted:
		n.logger.Warn("an operators' key has gone and is ignored", "key", i.Key)
	case i.Key == fulmaradapter.ConfigurationKey:
		n.takeConfiguration(i)
	case strings.HasPrefix(i.Key, fulmaradapter.WavePrefix):
		wave, err := fulmaradapter.DecodeWave(i.Value)
		if err != nil {
			n.logger.Error("a wave is ignored", "key", i.Key, "error", err)
			return
		}
		n.candidate.AddWave(wave)
	}
}

func (n *Node) takeConfiguration(i fulmarledger.Item) {
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
	n.candidate.SetConfiguration(configuration)
	n.logger.Info("the configuration is in force", "version", configuration.Version, "revision", i.Revision, "queues", len(configuration.Queues), "services", len(configuration.Services))
}

// followOwner keeps track of who owns the scheduler.
func (n *Node) followOwner() *fulmarfollow.Follower {
	return fulmarfollow.New(fulmarfollow.Options{
		Store: n.store, Clock: n.clock, Prefix: fulmarledger.OwnerKey, OnChange: n.takeOwner,
		OnSync:     func() {},
		OnError:    func(err error) { n.logger.Warn("the ownership key can't be followed", "error", err) },
		OnRecovery: func() { n.logger.Info("the ownership key is followed again") },
	})
}

func (n *Node) takeOwner(i fulmarledger.Item) {
	if i.Deleted {
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
