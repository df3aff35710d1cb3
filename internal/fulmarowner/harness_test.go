package fulmarowner

import (
	"context"
	"io"
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
	testLease    = 3000 * fulmarclock.Millis(1)
	testMaxLease = 10000 * fulmarclock.Millis(1)
	testStep     = 10 * fulmarclock.Millis(1)
	maxTestSteps = 20000
	testCores    = 0.2
)

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
		LeaseDuration: testLease, Cores: testCores,
	})
	h.candidate.SetConfiguration(&fulmarjob.Configuration{
		Version:  1,
		Queues:   []fulmarjob.Queue{{Name: "q", Service: "web", MaxAttempts: 3, SlackFactor: 2, TargetLatency: 5000}},
		Services: []fulmarjob.Service{{Name: "web", AdmissionControl: true}, {Name: "spare", Standby: true}},
	})
}

// start runs the candidate until it owns the scheduler.
func (h *harness) start() *term {
	h.run()
	h.waitFor("the member owns the scheduler", func() bool { return h.candidate.term.Load() != nil })
	return h.candidate.term.Load()
}

// run runs the candidate.
func (h *harness) run() {
	ctx, cancel := context.WithCancel(context.Background())
	h.stop, h.ended = cancel, make(chan struct{})
	ended := h.ended
	go func() {
		defer close(ended)
		h.candidate.Run(ctx)
	}()
	h.t.Cleanup(h.close)
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
