package fulmarowner

import (
	"context"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarledger"
	"github.com/fulmardrum/fulmardrum/internal/fulmarsched"
)

const (
	testLease      = 3000 * fulmarclock.Millis(1)
	testMaxLease   = 10000 * fulmarclock.Millis(1)
	testStep       = 10 * fulmarclock.Millis(1)
	maxTestSteps   = 20000
	executorID     = "x-0"
	executorPrefix = "servers/"
)

// scriptedStore is a linearizable store in memory whose calls a test can make fail.
type scriptedStore struct {
	mu       sync.Mutex
	revision int64
	items    map[string]fulmarledger.Item
	// leased holds the lease of each key that has one.
	leased  map[string]int64
	leases  int64
	revoked []int64
	// beforeCommit and beforeRenewal are called without the lock; an error of theirs is returned
	// instead of executing the call.
	beforeCommit  func(ctx context.Context, t fulmarledger.Transaction) error
	beforeRenewal func(ctx context.Context) error
	// losesResponses makes each executed commit return an unknown outcome.
	losesResponses bool
}

func newScriptedStore() *scriptedStore {
	s := &scriptedStore{items: map[string]fulmarledger.Item{}, leased: map[string]int64{}}
	s.put(executorPrefix+executorID, "entry")
	return s
}

// script changes the behavior of the store.
func (s *scriptedStore) script(change func(s *scriptedStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *scriptedStore) put(key, value string) {
	s.revision++
	s.items[key] = fulmarledger.Item{Key: key, Value: []byte(value), Revision: s.revision}
	delete(s.leased, key)
}

// ownerExpires deletes the ownership key, as when its lease has expired.
func (s *scriptedStore) ownerExpires() {
	s.script(func(s *scriptedStore) {
		s.revision++
		delete(s.items, fulmarledger.OwnerKey)
	})
}

func (s *scriptedStore) Range(_ context.Context, prefix, after string) (fulmarledger.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := fulmarledger.Page{Revision: s.revision}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Items = append(page.Items, item)
		}
	}
	slices.SortFunc(page.Items, func(a, b fulmarledger.Item) int { return strings.Compare(a.Key, b.Key) })
	return page, nil
}

func (s *scriptedStore) Watch(ctx context.Context, _ string, after int64, _ fulmarclock.Millis) (fulmarledger.Page, error) {
	<-ctx.Done()
	return fulmarledger.Page{Revision: after}, ctx.Err()
}

func (s *scriptedStore) Commit(ctx context.Context, t fulmarledger.Transaction) (int64, error) {
	s.mu.Lock()
	before := s.beforeCommit
	s.mu.Unlock()
	if before != nil {
		if err := before(ctx, t); err != nil {
			return 0, err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := &fulmarledger.ConflictError{}
	holds := true
	for _, c := range t.Conditions {
		item := s.items[c.Key]
		if item.Revision != 0 {
			conflict.Current = append(conflict.Current, item)
		}
		holds = holds && item.Revision == c.Revision
	}
	if !holds {
		return 0, conflict
	}
	s.revision++
	for _, p := range t.Puts {
		s.items[p.Key] = fulmarledger.Item{Key: p.Key, Value: p.Value, Revision: s.revision}
		s.leased[p.Key] = p.Lease
	}
	for _, key := range t.Deletes {
		delete(s.items, key)
	}
	if s.losesResponses {
		return 0, &fulmarjob.UnknownOutcomeError{Call: "commit", Cause: context.DeadlineExceeded}
	}
	return s.revision, nil
}

func (s *scriptedStore) GrantLease(context.Context, fulmarclock.Millis) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases++
	return s.leases, nil
}

func (s *scriptedStore) RenewLease(ctx context.Context, _ int64) error {
	s.mu.Lock()
	before := s.beforeRenewal
	s.mu.Unlock()
	if before == nil {
		return nil
	}
	return before(ctx)
}

func (s *scriptedStore) RevokeLease(_ context.Context, lease int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revoked = append(s.revoked, lease)
	for key, attached := range s.leased {
		if attached == lease {
			s.revision++
			delete(s.items, key)
			delete(s.leased, key)
		}
	}
	return nil
}

// executorCommand is a command as the executor received it.
type executorCommand struct {
	name  string
	task  fulmarjob.TaskID
	run   int64
	token int64
}

// fakeExecutors is one executor that runs each task until the test ends it.
type fakeExecutors struct {
	mu       sync.Mutex
	clock    fulmarclock.Clock
	commands []executorCommand
	running  map[fulmarjob.TaskID]int64
	finished []fulmarjob.FinishedTask
	// extra is added to the running tasks in each report.
	extra []fulmarjob.RunningTask
	// extraFinished is added to the finished tasks in each report.
	extraFinished []fulmarjob.FinishedTask
}

func (f *fakeExecutors) SetExecutorCount(int) {}

func (f *fakeExecutors) Start(_ context.Context, _, _ string, s fulmarjob.StartRequest) (fulmarjob.CommandResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commands = append(f.commands, executorCommand{"start", s.Task, s.Run, s.Token})
	f.running[s.Task] = s.Run
	return fulmarjob.ResultDone, nil
}

func (f *fakeExecutors) Stop(_ context.Context, _, _ string, task fulmarjob.TaskID, run, token int64) (fulmarjob.CommandResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commands = append(f.commands, executorCommand{"stop", task, run, token})
	return fulmarjob.ResultDone, nil
}

func (f *fakeExecutors) Throttle(context.Context, string, string, fulmarjob.TaskID, int64, int64, int) (fulmarjob.CommandResult, error) {
	return fulmarjob.ResultDone, nil
}

func (f *fakeExecutors) RenewLease(_ context.Context, _, _ string, token, acknowledged int64, _, _ fulmarclock.Millis) (fulmarjob.CommandResult, fulmarjob.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commands = append(f.commands, executorCommand{name: "renew", token: token})
	f.finished = slices.DeleteFunc(f.finished, func(t fulmarjob.FinishedTask) bool { return t.Sequence <= acknowledged })
	report := fulmarjob.Report{Incarnation: 1, ClockTime: f.clock.Now()}
	for task, run := range f.running {
		report.Running = append(report.Running, fulmarjob.RunningTask{Task: task, Run: run, ProgressPercent: 50})
	}
	report.Running = append(report.Running, f.extra...)
	report.Finished = append(slices.Clone(f.finished), f.extraFinished...)
	return fulmarjob.ResultDone, report, nil
}

// received returns the commands so far.
func (f *fakeExecutors) received() []executorCommand {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.commands)
}

// countStarts returns how many start commands the executor has received.
func (f *fakeExecutors) countStarts() int {
	n := 0
	for _, c := range f.received() {
		if c.name == "start" {
			n++
		}
	}
	return n
}

// fakeFleet lists one VM and records the commands about VMs.
type fakeFleet struct {
	mu       sync.Mutex
	commands []string
}

func (f *fakeFleet) VMs(context.Context) ([]fulmarjob.VM, error) {
	return []fulmarjob.VM{{Name: "vm-0", Pool: "web", Up: true}}, nil
}

func (f *fakeFleet) MoveVM(_ context.Context, vm, pool string, authority fulmarjob.Authority) error {
	return f.record("move "+vm+" to "+pool, authority)
}

func (f *fakeFleet) Maintain(_ context.Context, vm string, _ int64, authority fulmarjob.Authority) error {
	return f.record("maintain "+vm, authority)
}

func (f *fakeFleet) record(command string, authority fulmarjob.Authority) error {
	if !authority.IsValid() {
		return &fulmarjob.ExpiredAuthorityError{Call: command}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commands = append(f.commands, command)
	return nil
}

func (f *fakeFleet) received() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.commands)
}

// fakeCodec decodes the executor's entry and encodes the state of waves.
type fakeCodec struct{}

func (fakeCodec) ExecutorPrefix() string { return executorPrefix }

func (fakeCodec) DecodeExecutor(key string, value []byte) (fulmarjob.Executor, error) {
	if string(value) == "malformed" {
		return fulmarjob.Executor{}, &fulmarjob.FormatError{What: key, Cause: io.ErrUnexpectedEOF}
	}
	return fulmarjob.Executor{
		ID: strings.TrimPrefix(key, executorPrefix), Address: "x", Service: "web", Incarnation: 1, VM: "vm-0",
		Capacity: fulmarjob.Resources{MilliCPU: 8000, MemoryMB: 8000},
	}, nil
}

func (fakeCodec) EncodeWaveState(int64, bool) (string, []byte) { return "status/wave/1", []byte("{}") }

type fakeAdvisor struct{}

func (fakeAdvisor) Advise(context.Context, fulmarjob.TaskID, []string) (map[string]string, fulmarclock.Millis, error) {
	return nil, 0, nil
}

type noMetrics struct{}

func (noMetrics) Count(string, string)               {}
func (noMetrics) Observe(string, fulmarclock.Millis) {}

// harness runs one candidate on manual clocks.
type harness struct {
	t         *testing.T
	c         *quicktest.C
	clock     *fulmarclock.Manual
	bootClock *fulmarclock.Manual
	store     *scriptedStore
	executors *fakeExecutors
	fleet     *fakeFleet
	candidate *Candidate
	stop      context.CancelFunc
	ended     chan struct{}
}

// newHarness returns a harness whose candidate does not run yet.
func newHarness(t *testing.T) *harness {
	h := &harness{
		t: t, c: quicktest.New(t), clock: fulmarclock.NewManual(100_000), bootClock: fulmarclock.NewManual(100_000),
		store: newScriptedStore(), fleet: &fakeFleet{},
	}
	h.executors = &fakeExecutors{clock: h.clock, running: map[fulmarjob.TaskID]int64{}}
	h.replaceCandidate("a")
	return h
}

// replaceCandidate creates a candidate of a member, with the harness's store and executor.
func (h *harness) replaceCandidate(member string) {
	h.candidate = NewCandidate(Options{
		Store: h.store, Executors: h.executors, Relay: h.executors, Fleet: h.fleet, WaveStates: fakeCodec{},
		PlacementAdvisor: fakeAdvisor{}, ExecutorEntries: fakeCodec{}, Clock: h.clock, BootClock: h.bootClock,
		Logger: log.New(io.Discard), Metrics: noMetrics{}, Self: fulmarledger.Owner{Member: member},
		Parameters: fulmarsched.Parameters{
			MaxLease: testMaxLease, StopTimeout: 400, StatusRetention: 120_000, TakeoverDelay: testLease,
			MaintenanceDuration: 2000, MoveDuration: 1500,
		},
		LeaseDuration: testLease,
	})
	h.candidate.SetConfiguration(&fulmarjob.Configuration{
		Version:  1,
		Queues:   []fulmarjob.Queue{{Name: "q", Service: "web", MaxAttempts: 3, SlackFactor: 2, TargetLatency: 5000}},
		Services: []fulmarjob.Service{{Name: "web", AdmissionControl: true}, {Name: "spare", Standby: true}},
	})
}

// start runs the candidate until it owns the scheduler.
func (h *harness) start() *term {
	ctx, cancel := context.WithCancel(context.Background())
	h.stop, h.ended = cancel, make(chan struct{})
	ended := h.ended
	go func() {
		defer close(ended)
		h.candidate.Run(ctx)
	}()
	h.t.Cleanup(h.close)
	h.waitFor("the member owns the scheduler", func() bool { return h.candidate.term.Load() != nil })
	return h.candidate.term.Load()
}

// close stops the candidate and waits until it has ended.
func (h *harness) close() {
	h.store.script(func(s *scriptedStore) { s.beforeCommit, s.beforeRenewal = nil, nil })
	h.stop()
	h.waitFor("the candidate has ended", func() bool {
		select {
		case <-h.ended:
			return true
		default:
			return false
		}
	})
}

// blockCommits blocks all commits until the returned function is called.
func (h *harness) blockCommits() (release func()) {
	blocked := make(chan struct{})
	h.store.script(func(s *scriptedStore) {
		s.beforeCommit = func(context.Context, fulmarledger.Transaction) error {
			<-blocked
			return nil
		}
	})
	release = sync.OnceFunc(func() { close(blocked) })
	h.t.Cleanup(release)
	return release
}

// settle lets the goroutines that are about to act do so, without any time passing.
func (h *harness) settle() { time.Sleep(20 * time.Millisecond) }

// advance moves both clocks by one step and lets the goroutines run.
func (h *harness) advance() {
	h.clock.Advance(testStep)
	h.bootClock.Advance(testStep)
	time.Sleep(time.Millisecond)
}

// advanceBy moves both clocks by a time in steps.
func (h *harness) advanceBy(duration fulmarclock.Millis) {
	for until := h.clock.Now() + duration; h.clock.Now() < until; {
		h.advance()
	}
}

// waitFor advances the clocks until a condition holds.
func (h *harness) waitFor(condition string, holds func() bool) {
	h.t.Helper()
	for range maxTestSteps {
		if holds() {
			return
		}
		h.advance()
	}
	h.t.Fatalf("not within %d steps: %s", maxTestSteps, condition)
}

// submit submits a job with one task in its own goroutine.
func (h *harness) submit(id string) <-chan Response {
	responses := make(chan Response, 1)
	candidate := h.candidate
	go func() {
		responses <- candidate.Do(context.Background(), Request{Kind: Submit, Job: id, Queue: "q", ConfigurationVersion: 1, Specification: fulmarjob.Specification{
			Payload: id, Steps: []fulmarjob.Step{{Count: 1, Resources: fulmarjob.Resources{MilliCPU: 1000, MemoryMB: 100}, EstimatedDuration: 1000}},
		}})
	}()
	return responses
}

// await advances the clocks until a response arrives.
func (h *harness) await(responses <-chan Response) Response {
	h.t.Helper()
	var response Response
	h.waitFor("the request gets its response", func() bool {
		select {
		case response = <-responses:
			return true
		default:
			return false
		}
	})
	return response
}

// ask sends a request without a change and waits for its response.
func (h *harness) ask(request Request) Response {
	h.t.Helper()
	responses := make(chan Response, 1)
	candidate := h.candidate
	go func() { responses <- candidate.Do(context.Background(), request) }()
	return h.await(responses)
}
