package fulmarsoak

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarstandin/fulmarrig"
)

var (
	seeds    = flag.Int("soak.seeds", 2, "number of seeds to run")
	planned  = flag.Int("soak.planned", 1, "number of seeds with planned work only to run")
	restarts = flag.Int("soak.restarts", 1, "number of seeds with short runs and restarts of executors to run")
	recuts   = flag.Int("soak.recuts", 1, "number of seeds with executors that restart and are cut off to run")
	slow     = flag.Int("soak.slow", 1, "number of seeds with slow members to run")
	first    = flag.Uint64("soak.first", 1, "first seed")
	length   = flag.Duration("soak.length", 6*time.Second, "duration of fault injection per seed")
	logs     = flag.String("soak.logs", "", "directory for the members' logs, kept after the test")
	race     = flag.Bool("soak.race", false, "build the members with the race detector, which slows them down")
)

const (
	members      = 4
	poolVMs      = 6
	vmMilliCPU   = 8000
	vmMemoryMB   = 16384
	taskMilliCPU = 1000
	// capacityNotice is the time for the owner to learn that an executor's capacity has shrunk.
	capacityNotice = fulmarclock.Second
	defaultCallers = 6
	// defaultGraceSeconds is the grace period of members whose settings name none.
	defaultGraceSeconds = 6
	callInterval        = 60 * time.Millisecond
	callTimeout         = 4 * time.Second
	maxAttempts         = 4
	pollInterval        = 100 * time.Millisecond
	firstStepTasks      = 3
	// secondStepTask is the part of the name of the second step's task after the job's ID.
	secondStepTask = ".0.1.0"
	// The runs of most soaks last between these bounds.
	defaultShortestRun = 100 * fulmarclock.Millis(1)
	defaultLongestRun  = 1000 * fulmarclock.Millis(1)
	// Soaks use loopback addresses from 127.firstSubnet.0.0 on.
	firstSubnet = 20
	subnetCount = 200
	// host is the host name in callers' requests, by which members find the queue.
	host = "soak.example"
	// firstJob is the number of the job that awaitService submits.
	firstJob = 1 << 40
)

// scenario is what the seeds of one test have in common.
type scenario struct {
	name   string
	faults []fault
	// graceSeconds is the members' grace period of a planned stop.
	graceSeconds int
	// callers is the number of callers that retry as HTTP clients do.
	callers int
	// connections is the number of connections to each member that callers hold open.
	connections int
	// crashInterval is such that one job in it has a task that crashes its executors; 0 is none.
	crashInterval int
	// The duration of a run lies between these bounds. One of a second step lasts secondStepRun, unless that is 0.
	shortestRun, longestRun fulmarclock.Millis
	secondStepRun           fulmarclock.Millis
	// vms is the number of VMs with executors; 0 is poolVMs.
	vms int
	// faultRate divides the intervals between faults; 0 is 1. faultPause is added after each.
	faultRate  time.Duration
	faultPause time.Duration
	// callInterval is the time between two jobs of a caller; 0 is that of most soaks.
	callInterval time.Duration
	// isSlow means that members are built with the race detector; environment is added to theirs.
	isSlow      bool
	environment []string
}

// soak is the test of one seed.
type soak struct {
	t         *testing.T
	scenario  scenario
	random    *rand.Rand
	binary    string
	directory string
	// hostPrefix is the prefix of the members' loopback addresses. No other soak shares it, so that members can use
	// fixed ports: a port that was free a moment ago may belong to another process by the time a member listens.
	hostPrefix string
	clock      fulmarclock.Clock
	rig        *fulmarrig.Rig
	members    []*member
	client     *http.Client

	affected     atomic.Int64
	storeOutages overlap
	// storeCuts holds the cuts of executors from the store by VM.
	storeCuts map[string]*overlap
	// bursts are the callers that submit one job each.
	bursts          sync.WaitGroup
	lateCalls       *lateCalls
	mu              sync.Mutex
	executorProxies []*proxy
	// proxyOf holds the proxies of executors by ID.
	proxyOf     map[string]*proxy
	faultCounts map[string]int
	// accepted and refused are the IDs of jobs by the responses to their callers. unknown counts the jobs with
	// another outcome.
	accepted []string
	refused  []string
	unknown  int
	// shownCompleted are the times from which accepted jobs were shown as completed.
	shownCompleted       map[string]fulmarclock.Millis
	configurationVersion int
	// violations describe the guarantees that runs at the executors violated.
	violations []string
	// endings counts the requests on held connections by how they ended.
	endings map[ending]int
	// wrongKeys counts the requests with a wrong key by the status of the response.
	wrongKeys map[int]int
}

func TestSoak(t *testing.T) {
	runSeeds(t, scenario{name: "seed", faults: faults, graceSeconds: defaultGraceSeconds, callers: defaultCallers, crashInterval: crashInterval, shortestRun: defaultShortestRun, longestRun: defaultLongestRun}, *seeds)
}

// runSeeds runs the seeds of a scenario one after another.
func runSeeds(t *testing.T, sc scenario, count int) {
	directory := t.TempDir()
	binary := filepath.Join(directory, "fulmarnoded")
	build := exec.Command("go", "build", fmt.Sprintf("-race=%t", *race || sc.isSlow), "-o", binary, "github.com/fulmardrum/fulmardrum/cmd/fulmarnoded")
	output, err := build.CombinedOutput()
	quicktest.Assert(t, err, quicktest.IsNil, quicktest.Commentf("%s", output))
	for i := range count {
		seed := *first + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			s := newSoak(t, sc, seed, binary)
			defer s.close()
			s.run()
		})
	}
}

func newSoak(t *testing.T, sc scenario, seed uint64, binary string) *soak {
	s := &soak{
		t: t, scenario: sc, random: rand.New(rand.NewPCG(seed, 1)), binary: binary, directory: t.TempDir(), hostPrefix: fmt.Sprintf("127.%d.%d.", firstSubnet+os.Getpid()%subnetCount, seed%subnetCount), clock: fulmarclock.NewSystem(),
		client: &http.Client{Timeout: callTimeout}, faultCounts: map[string]int{}, configurationVersion: 1, endings: map[ending]int{}, wrongKeys: map[int]int{}, shownCompleted: map[string]fulmarclock.Millis{},
		lateCalls: newLateCalls(seed), proxyOf: map[string]*proxy{}, storeCuts: map[string]*overlap{},
	}
	if *logs != "" {
		s.directory = filepath.Join(*logs, fmt.Sprintf("%s-%d", sc.name, seed))
		quicktest.Assert(t, os.MkdirAll(s.directory, 0o700), quicktest.IsNil)
	}
	var err error
	s.rig, err = fulmarrig.Start(fulmarrig.Options{
		Clock: s.clock, Seed: seed, MoveDuration: 800, MaintenanceDuration: 800, MaxLease: 10000, StopDuration: 300, ProxyExecutor: s.proxyExecutor, SimulateRun: s.simulateRun, DelayCall: s.lateCalls.delay,
		CrashesExecutor: s.crashesExecutor, CrashDowntime: crashDowntime,
		Demand: func(string) int64 { return taskMilliCPU }, CapacityNotice: capacityNotice,
		Pools: []fulmarrig.Pool{
			{Service: "work", VMs: cmp.Or(sc.vms, poolVMs), MilliCPU: vmMilliCPU, MemoryMB: vmMemoryMB, VMsPerRack: 2}, {Service: "spare", VMs: 2, Standby: true},
		},
	})
	quicktest.Assert(t, err, quicktest.IsNil)
	for _, vm := range slices.Concat(s.rig.VMs("work"), s.rig.VMs("spare")) {
		s.storeCuts[vm] = &overlap{}
	}
	s.logFault("clock", s.clock.Now())
	s.applyConfiguration()
	for i := range members {
		s.members = append(s.members, s.startMember(i))
	}
	return s
}

// proxyExecutor starts a proxy of an executor and returns its address.
func (s *soak) proxyExecutor(id, address string) (string, error) {
	p, err := newProxy(address, &s.affected)
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executorProxies = append(s.executorProxies, p)
	s.proxyOf[id] = p
	return p.address(), nil
}

// simulateRun derives a run's duration from its task's name. One task in sixteen fails at its first run.
func (s *soak) simulateRun(_, task string, run int64) (fulmarclock.Millis, bool) {
	sum := 0
	for _, c := range []byte(task) {
		sum = sum*31 + int(c)
	}
	sum &= 1<<20 - 1
	if s.scenario.secondStepRun > 0 && strings.HasSuffix(task, secondStepTask) {
		return s.scenario.secondStepRun, false
	}
	return s.scenario.shortestRun + fulmarclock.Millis(sum)%(s.scenario.longestRun-s.scenario.shortestRun), run == 1 && sum%16 == 0
}

func (s *soak) applyConfiguration() {
	quicktest.Assert(s.t, s.rig.SetConfiguration(map[string]any{
		"version": s.configurationVersion,
		"routes": []map[string]any{{
			"name": "queue", "host": host, "prefix": "/queue/", "service": "work", "max_attempts": 9,
			"slack_factor": 2, "target_latency_ms": 3000, "timeout_ms": 3000,
		}},
		"services": []map[string]any{{"name": "work", "admission_control": false}, {"name": "spare", "admission_control": true, "standby": true}},
		"tenants":  customerDocuments(),
	}), quicktest.IsNil)
}

func (s *soak) close() {
	for _, m := range s.members {
		m.close()
	}
	s.rig.Close()
	for _, p := range s.executorProxies {
		p.close()
	}
}

// run submits jobs while it injects faults, ends all faults and checks the guarantees.
func (s *soak) run() {
	s.awaitService()
	ctx, cancel := context.WithTimeout(context.Background(), *length)
	defer cancel()
	var wg sync.WaitGroup
	for i := range s.scenario.callers {
		random := rand.New(rand.NewPCG(s.random.Uint64(), uint64(i)))
		wg.Go(func() { s.submitJobs(ctx, i, random) })
	}
	s.holdConnections(ctx, &wg)
	s.injectFaults(ctx)
	wg.Wait()
	s.bursts.Wait()
	s.clearFaults()
	s.checkCompletion()
	s.cancelCrashing()
	s.awaitLateCalls()
	s.checkRuns()
	s.reportNearMisses()
	s.t.Logf("accepted %d, refused %d, unknown %d; runs %d; crashes by tasks %d; faults %v; %d connections and blocks of bytes affected; requests on held connections %v; with wrong keys, by status %v",
		len(s.accepted), len(s.refused), s.unknown, len(s.rig.Runs()), countCrashes(s.rig.Runs()), s.faultCounts, s.affected.Load(), s.endings, s.wrongKeys)
}

// awaitService waits until a job is accepted.
func (s *soak) awaitService() {
	for {
		if status, _ := s.send(http.MethodPost, 0, fmt.Sprintf("%016x", firstJob)); status == http.StatusOK {
			return
		}
		time.Sleep(pollInterval)
	}
}

// submitJobs submits one job after another until ctx ends.
func (s *soak) submitJobs(ctx context.Context, caller int, random *rand.Rand) {
	for n := 1; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%08x%08x", caller+1, n)
		if s.submitJob(id, random) && n%foreignInterval == 0 {
			s.sendWrongKeys((caller+n)%members, id)
		}
		time.Sleep(cmp.Or(s.scenario.callInterval, callInterval))
	}
}

// submitJob submits a job and retries while it is refused or its outcome is unknown. The job counts as refused only
// if every attempt was refused. It returns whether the job was accepted.
func (s *soak) submitJob(id string, random *rand.Rand) bool {
	allRefused := true
	for range maxAttempts {
		switch status, _ := s.send(http.MethodPost, random.IntN(members), id); status {
		case http.StatusOK:
			s.record(&s.accepted, id)
			return true
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			time.Sleep(callInterval)
		case http.StatusUnauthorized, http.StatusForbidden:
			s.t.Errorf("job %s with its customer's key: status %d", id, status)
			return false
		default:
			allRefused = false
		}
	}
	if allRefused {
		s.record(&s.refused, id)
		return false
	}
	s.mu.Lock()
	s.unknown++
	s.mu.Unlock()
	return false
}

func (s *soak) record(list *[]string, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*list = append(*list, id)
}

// jobBody returns the body of a job's submission.
func (s *soak) jobBody() []byte {
	estimate := (s.scenario.longestRun - s.scenario.shortestRun) / 2
	body, _ := json.Marshal(map[string]any{"specification": "x", "steps": []map[string]any{
		{"count": firstStepTasks, "cpu": taskMilliCPU, "task_memory_mb": 200, "estimated_duration_ms": estimate},
		{"count": 1, "cpu": taskMilliCPU, "task_memory_mb": 200, "estimated_duration_ms": estimate, "after": []int{0}},
	}})
	return body
}

// send sends a request about a job to a member with its customer's key, and returns the status, 0 without a response,
// and the body.
func (s *soak) send(method string, member int, id string) (int, string) {
	return s.sendWithKey(method, member, id, keyOf(id))
}

func (s *soak) sendWithKey(method string, member int, id, key string) (int, string) {
	request, err := http.NewRequest(method, "http://"+s.members[member].callerAddress+"/queue/"+id, bytes.NewReader(s.jobBody()))
	if err != nil {
		return 0, ""
	}
	request.Host = host
	request.Header.Set("Authorization", "Token "+key)
	response, err := s.client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(text)
}

// awaitLateCalls waits until executors have executed all calls that they execute late.
func (s *soak) awaitLateCalls() {
	for s.rig.LateCalls() > 0 {
		time.Sleep(pollInterval)
	}
}

// clearFaults ends all faults.
func (s *soak) clearFaults() {
	s.rig.SetStoreDown(false)
	s.lateCalls.set(false)
	for _, vm := range s.rig.VMs("work") {
		s.setCapacity(vm, vmMilliCPU)
	}
	for vm := range s.storeCuts {
		s.rig.SetCutFromStore(vm, false)
	}
	for _, m := range s.members {
		m.clearFaults()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.executorProxies {
		p.clearFaults()
	}
}
