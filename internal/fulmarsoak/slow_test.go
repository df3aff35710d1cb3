package fulmarsoak

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

const (
	slowVMs     = 24
	slowCallers = 14
	// slowFaultRate gives as many faults for each VM as other soaks have.
	slowFaultRate = 4
	// The downtime of a process that is started again at once lies between these bounds.
	minProcessDowntime = 20 * fulmarclock.Millis(1)
	maxProcessDowntime = 70 * fulmarclock.Millis(1)
	shortestSlowRun    = 200 * fulmarclock.Millis(1)
	longestSlowRun     = 700 * fulmarclock.Millis(1)
)

// quickRestart returns a restart whose process is back at once.
func (s *soak) quickRestart(vm string) restart {
	r := s.randomRestart(vm)
	r.downtime = minProcessDowntime + draw(s.random, maxProcessDowntime-minProcessDowntime)
	return r
}

// restartTwice restarts the executor of a VM twice in a row after a wait.
func (s *soak) restartTwice(vm string, wait time.Duration) {
	second := wait + maxProcessDowntime.Duration() + draw(s.random, maxSeriesGap)
	for _, at := range []time.Duration{wait, second} {
		r := s.quickRestart(vm)
		time.AfterFunc(at, func() { s.restart(r) })
	}
}

// quickRestartFaults restart executors in no more time than a process takes to start.
var quickRestartFaults = []fault{
	{"quick restart", func(s *soak) func() {
		s.restart(s.quickRestart(s.randomVM()))
		return func() {}
	}},
	{"two quick restarts", func(s *soak) func() {
		s.restartTwice(s.randomVM(), 0)
		return func() {}
	}},
	restartBehindCut("quick restart behind a held cut", held),
	restartBehindCut("quick restart behind a half cut", heldHalf),
}

// restartBehindCut returns a fault that restarts an executor once or twice while the links to it are cut.
func restartBehindCut(name string, m mode) fault {
	return fault{name, func(s *soak) func() {
		vm := s.randomVM()
		end := func() {}
		if p := s.executorProxy(vm); p != nil {
			end = p.begin(m)
		}
		wait := draw(s.random, maxRestartInCut)
		if s.random.IntN(2) == 0 {
			s.restartTwice(vm, wait)
			return end
		}
		r := s.quickRestart(vm)
		time.AfterFunc(wait, func() { s.restart(r) })
		return end
	}}
}

// slowFaults hold calls to executors up in the members and on the links, without a late call of the executors' making.
var slowFaults = slices.Concat(restartFaults, slices.Repeat(quickRestartFaults, 3), executorFaults, []fault{
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

// nearMisses count what came before violated guarantees in the past, by the lines of the members' logs.
type nearMisses struct {
	Scenario   string         `json:"scenario"`
	Seed       string         `json:"seed"`
	Runs       int            `json:"runs"`
	Counts     map[string]int `json:"counts"`
	Violations []string       `json:"violations,omitempty"`
}

// nearMissLines are the beginnings of the messages that are counted.
var nearMissLines = []string{
	"run ended as done after its task was placed again",
	"acknowledging the end of a run although a start of its task may still be executed",
	"task placed although a start of an earlier run may still be executed",
	"stopping unexpected run",
}

// reportNearMisses logs the near misses of the seed, and appends them to a file beside the kept logs.
func (s *soak) reportNearMisses() {
	n := nearMisses{Scenario: s.scenario.name, Seed: s.t.Name(), Runs: len(s.rig.Runs()), Counts: map[string]int{}, Violations: s.violations}
	for _, m := range s.members {
		countNearMisses(n.Counts, m.log)
	}
	s.t.Logf("near misses %v, violations %d", n.Counts, len(n.Violations))
	if *logs == "" {
		return
	}
	line, err := json.Marshal(n)
	quicktest.Assert(s.t, err, quicktest.IsNil)
	appendLine(filepath.Join(*logs, "near-misses.jsonl"), string(line)+"\n")
}

// countNearMisses counts the messages of a log; those with a reason separately for each.
func countNearMisses(counts map[string]int, path string) {
	file, err := os.Open(path)
	if err != nil {
		return
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		for _, message := range nearMissLines {
			if strings.Contains(lines.Text(), message) {
				counts[message+reasonIn(lines.Text())]++
			}
		}
	}
}

// reasonIn returns the quoted value of the field "why" in a log line, if there is one.
func reasonIn(line string) string {
	_, rest, found := strings.Cut(line, `why="`)
	if !found {
		return ""
	}
	reason, _, _ := strings.Cut(rest, `"`)
	return ": " + reason
}
