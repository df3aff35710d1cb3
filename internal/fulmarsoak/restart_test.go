package fulmarsoak

import (
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

const (
	// An executor that restarts under its ID serves again after a downtime of these ranges: as a new process, or
	// as one that has to load first.
	maxShortDowntime = 50 * fulmarclock.Millis(1)
	maxLongDowntime  = 1500 * fulmarclock.Millis(1)
	// maxPublicationDelay is the longest time from the first call that an incarnation serves to its entry in the store.
	maxPublicationDelay = 5 * fulmarclock.Second
	// Restarts of one executor in a series follow each other in this range.
	minSeriesGap    = 50 * time.Millisecond
	maxSeriesGap    = 500 * time.Millisecond
	maxSeries       = 4
	maxSimultaneous = 4
	maxRestartInCut = 400 * time.Millisecond
	minLateDelay    = 2 * fulmarclock.Second
	maxLateDelay    = 12 * fulmarclock.Second
	// While late calls are injected, one call in lateCallInterval is late.
	lateCallInterval = 4
	lateCallWeight   = 4
	// The runs of restart soaks last between these bounds.
	shortestShortRun = 30 * fulmarclock.Millis(1)
	longestShortRun  = 200 * fulmarclock.Millis(1)
)

// draw returns a random duration below limit.
func draw[T ~int64](random *rand.Rand, limit T) T { return T(random.Int64N(int64(limit))) }

// restart is one restart of an executor under its ID.
type restart struct {
	vm          string
	downtime    fulmarclock.Millis
	publication fulmarclock.Millis
	// keepsListener is whether calls of the downtime wait for the next incarnation.
	keepsListener bool
}

// randomRestart returns a restart of a VM's executor. Half of the entries in the store are replaced at once, and half
// of the downtimes are short.
func (s *soak) randomRestart(vm string) restart {
	r := restart{vm: vm}
	longest := maxLongDowntime
	if s.random.IntN(2) == 0 {
		longest = maxShortDowntime
	}
	r.downtime = draw(s.random, longest)
	if s.random.IntN(2) == 0 {
		r.publication = draw(s.random, maxPublicationDelay)
	}
	return r
}

func (s *soak) restart(r restart) {
	s.logFault("restarted", r)
	if r.keepsListener {
		s.rig.RestartBehindListener(r.vm, r.downtime, r.publication)
		return
	}
	s.rig.Restart(r.vm, r.downtime, r.publication)
}

func (s *soak) randomVM() string {
	vms := s.rig.VMs("work")
	return vms[s.random.IntN(len(vms))]
}

// executorProxy returns the proxy of a VM's executor, nil while it has none.
func (s *soak) executorProxy(vm string) *proxy {
	id := s.rig.ExecutorID(vm)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proxyOf[id]
}

// restartFaults restart executors under their IDs.
var restartFaults = []fault{
	{"restart", func(s *soak) func() {
		s.restart(s.randomRestart(s.randomVM()))
		return func() {}
	}},
	{"restart behind a cut", func(s *soak) func() {
		r := s.randomRestart(s.randomVM())
		end := func() {}
		if p := s.executorProxy(r.vm); p != nil {
			end = p.begin(blackhole)
		}
		time.AfterFunc(draw(s.random, maxRestartInCut), func() { s.restart(r) })
		return end
	}},
	{"restart of several", func(s *soak) func() {
		vms := s.rig.VMs("work")
		s.random.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
		for _, vm := range vms[:min(len(vms), 2+s.random.IntN(maxSimultaneous-1))] {
			s.restart(s.randomRestart(vm))
		}
		return func() {}
	}},
	{"series of restarts", func(s *soak) func() {
		vm := s.randomVM()
		wait := time.Duration(0)
		for range 2 + s.random.IntN(maxSeries-1) {
			r := s.randomRestart(vm)
			r.downtime %= maxShortDowntime
			time.AfterFunc(wait, func() { s.restart(r) })
			wait += minSeriesGap + draw(s.random, maxSeriesGap-minSeriesGap)
		}
		return func() {}
	}},
}

// executorFaults harm the links to executors.
var executorFaults = []fault{
	proxyFault("executor delayed", delayed, randomExecutorProxy),
	proxyFault("executor blackhole", blackhole, randomExecutorProxy),
	proxyFault("executor one way", oneWay, randomExecutorProxy),
	{"executor reset", func(s *soak) func() {
		randomExecutorProxy(s).reset()
		return func() {}
	}},
}

var lateCallFault = fault{"late calls", func(s *soak) func() {
	return s.lateCalls.begin()
}}

// lateCalls decides which calls to executors get no response and are executed late: a share of all
// while such a fault is in progress.
type lateCalls struct {
	mu     sync.Mutex
	random *rand.Rand
	faults overlap
	active bool
}

func newLateCalls(seed uint64) *lateCalls { return &lateCalls{random: rand.New(rand.NewPCG(seed, 2))} }

// begin starts a fault and returns a function that ends it.
func (l *lateCalls) begin() (end func()) {
	return l.faults.begin(func() { l.set(true) }, func() { l.set(false) })
}

func (l *lateCalls) set(active bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active = active
}

// delay returns whether a call is executed late, and the delay.
func (l *lateCalls) delay() (fulmarclock.Millis, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.active || l.random.IntN(lateCallInterval) > 0 {
		return 0, false
	}
	return minLateDelay + draw(l.random, maxLateDelay-minLateDelay), true
}

// shortRunFaults are the faults of soaks with short runs: restarts are as frequent as all others together.
var shortRunFaults = slices.Concat(restartFaults, restartFaults, []fault{
	signalFault("kill", syscall.SIGKILL),
	signalFault("reload", syscall.SIGHUP),
	proxyFault("store one way", oneWay, randomStoreProxy),
}, executorFaults, []fault{configurationFault})

// TestRestartSoak guards against completed tasks that run again because their executors restart under their IDs.
func TestRestartSoak(t *testing.T) {
	runSeeds(t, shortRunScenario("restart", shortRunFaults), *restarts)
}

func shortRunScenario(name string, faults []fault) scenario {
	return scenario{
		name: name, faults: faults, graceSeconds: defaultGraceSeconds, callers: defaultCallers,
		shortestRun: shortestShortRun, longestRun: longestShortRun,
	}
}
