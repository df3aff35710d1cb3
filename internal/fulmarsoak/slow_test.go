package fulmarsoak

import (
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

const (
	slowVMs     = 24
	slowCallers = 14
	// slowFaultRate gives at least as many faults for each VM as other soaks have.
	slowFaultRate = 5
	// The downtime of a process that is started again at once lies between these bounds.
	minProcessDowntime = 20 * fulmarclock.Millis(1)
	maxProcessDowntime = 70 * fulmarclock.Millis(1)
	// A short cut mostly ends before members give up opening a connection.
	minShortCut     = 200 * time.Millisecond
	maxShortCut     = 800 * time.Millisecond
	shortestSlowRun = 200 * fulmarclock.Millis(1)
	longestSlowRun  = 700 * fulmarclock.Millis(1)
)

// quickRestart returns a restart whose process is back at once.
func (s *soak) quickRestart(vm string) restart {
	r := s.randomRestart(vm)
	r.downtime = minProcessDowntime + draw(s.random, maxProcessDowntime-minProcessDowntime)
	return r
}

// restartAfter restarts the executor of a VM after each of the waits.
func (s *soak) restartAfter(vm string, waits ...time.Duration) {
	for _, wait := range waits {
		r := s.quickRestart(vm)
		time.AfterFunc(wait, func() { s.restart(r) })
	}
}

// quickRestartFaults restart executors in no more time than a process takes to start.
var quickRestartFaults = []fault{
	{"quick restart", func(s *soak) func() {
		s.restart(s.quickRestart(s.randomVM()))
		return func() {}
	}},
	{"two quick restarts", func(s *soak) func() {
		s.restartAfter(s.randomVM(), 0, maxProcessDowntime.Duration()+draw(s.random, maxSeriesGap))
		return func() {}
	}},
	restartBehindCut("quick restarts behind a held cut", held),
	restartBehindCut("quick restarts behind a half cut", heldHalf),
	restartBehindCut("quick restarts behind a half cut", heldHalf),
}

// restartBehindCut returns a fault that cuts the links to an executor for a short time and restarts it once it is cut
// and again shortly before or after the end of the cut.
func restartBehindCut(name string, m mode) fault {
	return fault{name, func(s *soak) func() {
		vm := s.randomVM()
		cut := minShortCut + draw(s.random, maxShortCut-minShortCut)
		if p := s.executorProxy(vm); p != nil {
			time.AfterFunc(cut, p.begin(m))
		}
		s.restartAfter(vm, draw(s.random, minShortCut/2), cut+draw(s.random, minShortCut)-minShortCut*3/4)
		return func() {}
	}}
}

// slowFaults hold calls to executors up in the members and on the links, without a late call of the executors' making.
var slowFaults = slices.Concat(restartFaults, slices.Repeat(quickRestartFaults, 4), executorFaults, []fault{
	proxyFault("executor held", held, randomExecutorProxy),
	proxyFault("executor half held", heldHalf, randomExecutorProxy),
	pauseFault("pause", (*soak).randomMember),
	pauseFault("pause owner", (*soak).owner),
	signalFault("kill", syscall.SIGKILL),
	signalFault("reload", syscall.SIGHUP),
	proxyFault("store delayed", delayed, randomStoreProxy),
	proxyFault("store one way", oneWay, randomStoreProxy),
	configurationFault,
})

// TestSlowSoak guards against tasks that run twice because members and links are slow while executors restart.
func TestSlowSoak(t *testing.T) {
	sc := shortRunScenario("slow", slowFaults)
	sc.callers, sc.vms, sc.faultRate = slowCallers, slowVMs, slowFaultRate
	sc.shortestRun, sc.longestRun = shortestSlowRun, longestSlowRun
	sc.isSlow, sc.environment = true, []string{"GOMAXPROCS=1"}
	runSeeds(t, sc, *slow)
}
