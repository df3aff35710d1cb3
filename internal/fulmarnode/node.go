// Package fulmarnode assembles the components of one scheduler member into a process.
//
// Usage:
//
//	node, err := fulmarnode.Start(settings, logger)
//	err = node.Run(ctx)  // until ctx ends, then a graceful stop
//
// A job's path: fulmarfront receives it from a caller and forwards it to the owner.
// There fulmarowner lets fulmarsched decide, stores the decision through fulmarledger,
// and only then responds to the caller and sends the commands to the executors.
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
	"github.com/fulmardrum/fulmardrum/internal/fulmarledger"
	"github.com/fulmardrum/fulmardrum/internal/fulmarmetrics"
	"github.com/fulmardrum/fulmardrum/internal/fulmarowner"
	"github.com/fulmardrum/fulmardrum/internal/fulmarrelay"
	"github.com/fulmardrum/fulmardrum/internal/fulmarrelay/fulmarrelaypb"
	"github.com/fulmardrum/fulmardrum/internal/fulmarserver"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
	fulmaradapter "github.com/fulmardrum/fulmardrum/platform"
)

const (
	// readHeaderTimeout bounds reading a request's header; idleTimeout closes idle connections.
	readHeaderTimeout = 5 * fulmarclock.Second
	idleTimeout       = 60 * fulmarclock.Second
	// firstRequestTimeout is how long a new connection may wait for its first request while the
	// member stops.
	firstRequestTimeout = 500 * fulmarclock.Millis(1)
	// acceptFraction is the fraction of the shutdown time during which the member still
	// accepts callers' requests.
	acceptFraction = 0.5
	// closeFraction is the fraction of the shutdown time after which open requests are answered
	// without waiting for the owner, answerFraction the part of it that they have for that.
	closeFraction  = 0.85
	answerFraction = 0.1
)

// Node is one member of the scheduler.
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

	configuration atomic.Pointer[fulmarfront.AppliedConfiguration]
	stopping      atomic.Bool
	// resigned is closed when a planned stop has resigned the ownership of the scheduler.
	resigned chan struct{}

	callerServer  *fulmarserver.Server
	probeServer   *http.Server
	metricsServer *http.Server
	listeners     []net.Listener
}

// Start opens the member's listeners and creates its components; Run serves them. It
// fails when an address cannot be listened on.
func Start(settings Settings, logger *log.Logger) (*Node, error) {
	return start(settings, logger, fulmarclock.NewSystem())
}

func start(settings Settings, logger *log.Logger, clock fulmarclock.Clock) (*Node, error) {
	n := &Node{settings: settings, logger: logger, clock: clock, resigned: make(chan struct{})}
	for _, address := range []string{settings.CallerAddress, settings.Ready, settings.Metrics, settings.PeerAddress} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			n.closeListeners()
			return nil, trace.ConvertSystemError(err)
		}
		n.listeners = append(n.listeners, listener)
	}
	// If the settings ask for port 0, the system chose the port.
	n.settings.PeerAddress = n.listeners[3].Addr().String()
	n.assemble()
	return n, nil
}

// CallerAddress returns the address of the HTTP API for callers.
func (n *Node) CallerAddress() string { return n.listeners[0].Addr().String() }

// OwnsScheduler reports whether the member is the scheduler's owner, as far as it knows.
func (n *Node) OwnsScheduler() bool {
	owner, known := n.candidate.Owner()
	return known && owner.PeerAddress == n.settings.PeerAddress
}

func (n *Node) closeListeners() {
	for _, l := range n.listeners {
		if err := l.Close(); err != nil {
			n.logger.Warn("failed to close a listener", "error", err)
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
		Clock: n.clock, Logger: n.logger, Metrics: n.metrics, Direct: n.executors, Cores: n.settings.Cores,
		// The candidate is created below, before the hub serves.
		LearnOwner: func(owner fulmarledger.Owner) bool { return n.candidate.LearnOwner(owner) },
	})
	n.candidate = fulmarowner.NewCandidate(fulmarowner.Options{
		Store: n.store, Executors: n.executors, Relay: n.hub, Fleet: n.fleet, PlacementAdvisor: n.advisor, WaveStates: storeCodec{}, ExecutorEntries: storeCodec{},
		Clock: n.clock, BootClock: fulmarclock.NewBoot(), Logger: n.logger, Metrics: n.metrics,
		Self:       fulmarledger.Owner{Member: n.settings.Member, PeerAddress: n.settings.PeerAddress},
		Parameters: n.settings.SchedulerParameters(), LeaseDuration: n.settings.Bounds.Lease(),
		AcquireDelay: n.settings.AcquireDelay(), Cores: n.settings.Cores, Announce: fulmarrelay.Announce,
	})
	n.agent = fulmarrelay.NewAgent(fulmarrelay.AgentOptions{
		Name: n.settings.Member, Cores: n.settings.Cores, PeerAddress: n.settings.PeerAddress, Ownership: n.candidate,
		Executors: n.executors, Clock: n.clock, Logger: n.logger,
	})
	n.router = fulmarfront.NewRouter(n.candidate, n.clock, n.logger, n.metrics, n.settings.PeerAddress)
	front := fulmarfront.New(fulmarfront.Options{
		Clock: n.clock, Logger: n.logger, Metrics: n.metrics, Codec: callerCodec{}, Owner: n.router,
		Configuration: n.configuration.Load,
	})
	n.callerServer = fulmarserver.New(fulmarserver.Options{
		Handler: front.Handler(), Clock: n.clock, Logger: n.logger, Metrics: n.metrics,
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, FirstRequestTimeout: firstRequestTimeout,
		AnswerTimeout: n.graceFraction(answerFraction), PanicStatus: http.StatusGatewayTimeout,
	})
	n.probeServer = newServer(http.HandlerFunc(n.serveProbe))
	n.metricsServer = newServer(operatorHandler(n.metrics.Handler(), front.ExplainHandler()))
	n.peerServer = grpc.NewServer()
	fulmarfrontpb.RegisterOwnerServer(n.peerServer, fulmarfront.NewOwnerService(n.candidate))
	fulmarrelaypb.RegisterRelayServer(n.peerServer, n.hub)
}

// operatorHandler returns the handler of the metrics listener: metrics at any path but that of explanations.
func operatorHandler(metrics, explain http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+fulmarapi.ExplainPath, explain)
	mux.Handle("/", metrics)
	return mux
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout.Duration(), IdleTimeout: idleTimeout.Duration()}
}

// serveProbe responds to the load balancer's readiness probe: 200 while this member
// accepts callers' requests, else 503.
func (n *Node) serveProbe(w http.ResponseWriter, _ *http.Request) {
	if n.stopping.Load() || n.configuration.Load() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Run serves until ctx ends or a component fails. A planned stop fails the readiness
// probe, resigns the ownership, waits for open requests, and closes the listeners.
func (n *Node) Run(ctx context.Context) error {
	var group run.Group
	n.addLoop(&group, n.newOperatorFollower().Run)
	n.addLoop(&group, n.newOwnerFollower().Run)
	n.addLoop(&group, n.agent.Run)
	term, resign := context.WithCancel(context.Background())
	termEnded, interrupted := make(chan struct{}), make(chan struct{})
	group.Add(func() error {
		n.candidate.Run(term)
		close(termEnded)
		// The member keeps serving without the ownership until its planned stop ends.
		<-interrupted
		return nil
	}, func(error) {
		resign()
		close(interrupted)
	})
	n.addServer(&group, n.callerServer, n.listeners[0])
	n.addServer(&group, n.probeServer, n.listeners[1])
	n.addServer(&group, n.metricsServer, n.listeners[2])
	group.Add(func() error { return n.peerServer.Serve(n.listeners[3]) }, func(error) { n.peerServer.Stop() })
	group.Add(func() error {
		select {
		case <-ctx.Done():
			n.stop(resign, termEnded)
		case <-interrupted:
			// Another component has failed; the group closes the others.
			n.stopping.Store(true)
		}
		return nil
	}, func(error) {})
	n.logger.Info("the member has started", "callers", n.settings.CallerAddress, "peers", n.settings.PeerAddress, "store", n.settings.Store)
	err := group.Run()
	if err != nil && ctx.Err() == nil {
		n.logger.Error("a component failed; the member stops", "error", err)
	}
	n.close()
	return err
}

// addLoop adds an actor that runs loop until the group is interrupted.
func (n *Node) addLoop(group *run.Group, loop func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error {
		loop(ctx)
		return nil
	}, func(error) { cancel() })
}

// server serves HTTP until it is closed.
type server interface {
	Serve(listener net.Listener) error
	Close() error
}

// addServer adds an actor that serves HTTP on listener until the group is interrupted. A
// server that is shut down earlier does not end the group.
func (n *Node) addServer(group *run.Group, server server, listener net.Listener) {
	interrupted := make(chan struct{})
	group.Add(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return trace.Wrap(err)
		}
		<-interrupted
		return nil
	}, func(error) {
		close(interrupted)
		if err := server.Close(); err != nil {
			n.logger.Warn("failed to close an HTTP server", "error", err)
		}
	})
}

// stop runs a planned stop: it resigns the ownership, keeps accepting requests for
// acceptFraction of the grace period, and waits for open requests until closeFraction. All
// times count from the start, since the platform kills the process at the end of the grace
// period, however long the term takes to end.
func (n *Node) stop(resign context.CancelFunc, termEnded <-chan struct{}) {
	start := n.clock.Now()
	n.logger.Info("stopping the member", "grace_ms", n.graceFraction(1))
	n.stopping.Store(true)
	acceptEnd := n.clock.After(n.graceFraction(acceptFraction))
	closing, closeNow := context.WithCancel(context.Background())
	defer closeNow()
	timer := n.clock.AfterFunc(n.graceFraction(closeFraction), closeNow)
	defer timer.Stop()
	resign()
	go n.recordResignation(start, termEnded)
	<-acceptEnd
	if err := n.callerServer.Shutdown(closing); err != nil {
		n.logger.Warn("requests were still open at the end of the grace period; closing their connections", "connections", n.callerServer.ConnectionCount(), "error", err)
	}
	n.logger.Info("the callers' connections have ended", "after_ms", n.clock.Now()-start)
}

// recordResignation waits until the term has ended, which the run group waits for, too.
func (n *Node) recordResignation(start fulmarclock.Millis, termEnded <-chan struct{}) {
	<-termEnded
	close(n.resigned)
	n.logger.Info("the ownership is given up", "after_ms", n.clock.Now()-start, "connections", n.callerServer.ConnectionCount())
}

// graceFraction returns a fraction of the time between the signal to stop and the kill.
func (n *Node) graceFraction(fraction float64) fulmarclock.Millis {
	return fulmarclock.Millis(n.settings.Bounds.ShutdownSeconds * millisPerSecond * fraction)
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

// newFollower watches the keys with a prefix, which are called keys in the log.
func (n *Node) newFollower(prefix, keys string, onChange func(i fulmarledger.Item)) *fulmarfollow.Follower {
	return fulmarfollow.New(fulmarfollow.Options{
		Store: n.store, Clock: n.clock, Prefix: prefix, OnChange: onChange,
		OnSync:     func() {},
		OnError:    func(err error) { n.logger.Warn("failed to watch the "+keys+"; retrying", "error", err) },
		OnRecovery: func() { n.logger.Info("watching the " + keys + " again") },
	})
}

// newOperatorFollower watches the operators' keys: the configuration and the requests
// for maintenance waves.
func (n *Node) newOperatorFollower() *fulmarfollow.Follower {
	return n.newFollower(fulmaradapter.OperatorPrefix, "operators' keys", n.applyOperatorKey)
}

func (n *Node) applyOperatorKey(i fulmarledger.Item) {
	switch {
	case i.Deleted:
		n.logger.Warn("an operators' key was deleted; keeping its last value", "key", i.Key)
	case i.Key == fulmaradapter.ConfigurationKey:
		n.applyConfiguration(i)
	case strings.HasPrefix(i.Key, fulmaradapter.WavePrefix):
		wave, err := fulmaradapter.DecodeWave(i.Key, i.Value)
		if err != nil {
			n.logger.Error("ignoring a malformed maintenance wave", "key", i.Key, "error", err)
			return
		}
		n.candidate.AddWave(wave)
	}
}

func (n *Node) applyConfiguration(i fulmarledger.Item) {
	configuration, err := fulmaradapter.DecodeConfiguration(i.Value)
	if err != nil {
		n.logger.Error("ignoring a malformed configuration", "revision", i.Revision, "error", err)
		return
	}
	current := n.configuration.Load()
	if current != nil && configuration.Version < current.Version {
		n.logger.Warn("ignoring a configuration older than the current one", "version", configuration.Version, "present", current.Version)
		return
	}
	n.configuration.Store(fulmarfront.NewAppliedConfiguration(configuration))
	n.candidate.SetConfiguration(configuration)
	n.logger.Info("applied the configuration", "version", configuration.Version, "revision", i.Revision, "queues", len(configuration.Queues), "services", len(configuration.Services), "customers", len(configuration.Customers))
}

// newOwnerFollower watches the ownership key.
func (n *Node) newOwnerFollower() *fulmarfollow.Follower {
	return n.newFollower(fulmarledger.OwnerKey, "ownership key", n.applyOwner)
}

// applyOwner applies a change of the ownership key. The follower's prefix also covers longer keys.
func (n *Node) applyOwner(i fulmarledger.Item) {
	if i.Key != fulmarledger.OwnerKey {
		return
	}
	if i.Deleted {
		n.logger.Info("the scheduler has no owner", "revision", i.Revision)
		n.candidate.SetOwner(fulmarledger.Owner{Revision: i.Revision}, false)
		return
	}
	owner, err := fulmarledger.DecodeOwner(i.Value)
	if err != nil {
		n.logger.Error("ignoring an ownership key that cannot be decoded", "error", err)
		return
	}
	owner.Revision = i.Revision
	n.logger.Info("received the current owner of the scheduler", "owner", owner.Member, "revision", i.Revision)
	n.candidate.SetOwner(owner, true)
}
