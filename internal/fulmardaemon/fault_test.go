package fulmardaemon_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
	"github.com/fulmardrum/fulmardrum/internal/fulmarstandin"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

// faultCase is a fault during a request, with the response that its caller must get.
type faultCase struct {
	name string
	// prepare changes the fleet before the request.
	prepare func(f *fleet)
	// worker is a fault of one of the two workers, bothWorkers a fault of each.
	worker, bothWorkers fulmarstandin.Fault
	request             clientRequest
	// outcome is the outcome that the caller must get. If it is empty, any outcome that matches
	// the journal is right: the timeout may pass in the queue or while a worker rejects the request.
	outcome   fulmarapi.Outcome
	reason    fulmarapi.Reason
	truncated bool
	// wantRuns is how often the request must have run; -1 allows any number.
	wantRuns int
}

const (
	shortTimeout = time.Second
	get          = http.MethodGet
	post         = http.MethodPost
)

func closeOneWorker(f *fleet) {
	f.workers[0].Close()
	f.workers = f.workers[1:]
}

var faultCases = []faultCase{
	{name: "no fault, GET", request: clientRequest{method: get}, outcome: fulmarapi.Answered, wantRuns: 1},
	{name: "no fault, POST", request: clientRequest{method: post, body: "entry"}, outcome: fulmarapi.Answered, wantRuns: 1},
	{name: "worker dead, GET", prepare: closeOneWorker, request: clientRequest{method: get}, outcome: fulmarapi.Answered, wantRuns: 1},
	{name: "worker dead, POST", prepare: closeOneWorker, request: clientRequest{method: post}, outcome: fulmarapi.Answered, wantRuns: 1},
	{name: "worker closes the connection before the run, GET", worker: fulmarstandin.FaultCloseBeforeRun, request: clientRequest{method: get}, outcome: fulmarapi.Answered, wantRuns: 1},
	{name: "workers close the connection before the run, POST", bothWorkers: fulmarstandin.FaultCloseBeforeRun, request: clientRequest{method: post}, outcome: fulmarapi.Unknown, reason: fulmarapi.ReasonWorkerLost, wantRuns: 0},
	{name: "worker closes the connection after the run, GET", worker: fulmarstandin.FaultCloseAfterRun, request: clientRequest{method: get}, outcome: fulmarapi.Answered, wantRuns: -1},
	{name: "workers close the connection after the run, POST", bothWorkers: fulmarstandin.FaultCloseAfterRun, request: clientRequest{method: post}, outcome: fulmarapi.Unknown, reason: fulmarapi.ReasonWorkerLost, wantRuns: 1},
	{name: "workers close the connection after the run, POST with key", bothWorkers: fulmarstandin.FaultCloseAfterRun, request: clientRequest{method: post, key: "k"}, outcome: fulmarapi.Unknown, reason: fulmarapi.ReasonWorkerLost, wantRuns: 1},
	{name: "workers close the connection after the run, PUT with key", bothWorkers: fulmarstandin.FaultCloseAfterRun, request: clientRequest{method: http.MethodPut, key: "k"}, outcome: fulmarapi.Unknown, reason: fulmarapi.ReasonWorkerLost, wantRuns: 1},
	{name: "truncated response, GET", worker: fulmarstandin.FaultTruncated, request: clientRequest{method: get}, outcome: fulmarapi.Answered, wantRuns: -1},
	{name: "truncated response, POST", bothWorkers: fulmarstandin.FaultTruncated, request: clientRequest{method: post}, outcome: fulmarapi.Unknown, reason: fulmarapi.ReasonAnswerCut, wantRuns: 1},
	{name: "truncated long response, GET", bothWorkers: fulmarstandin.FaultTruncated, request: clientRequest{method: get, query: "size=200000"}, outcome: fulmarapi.Answered, truncated: true, wantRuns: 1},
	{name: "response without length, POST", bothWorkers: fulmarstandin.FaultCloseDelimited, request: clientRequest{method: post}, outcome: fulmarapi.Unknown, reason: fulmarapi.ReasonAnswerUnframed, wantRuns: 1},
	{name: "one worker unresponsive, GET", worker: fulmarstandin.FaultUnresponsive, request: clientRequest{method: get}, outcome: fulmarapi.Answered, wantRuns: 1},
	{name: "workers unresponsive, POST", bothWorkers: fulmarstandin.FaultUnresponsive, request: clientRequest{method: post, timeout: shortTimeout}, outcome: fulmarapi.Unknown, reason: fulmarapi.ReasonWorkerTimeout, wantRuns: 0},
	{name: "workers slow, POST", request: clientRequest{method: post, query: "work=4000", timeout: shortTimeout}, outcome: fulmarapi.Unknown, reason: fulmarapi.ReasonWorkerTimeout, wantRuns: 1},
	{name: "one worker busy, POST", worker: fulmarstandin.FaultBusy, request: clientRequest{method: post}, outcome: fulmarapi.Answered, wantRuns: 1},
	{name: "workers busy, POST", bothWorkers: fulmarstandin.FaultBusy, request: clientRequest{method: post, timeout: shortTimeout}, wantRuns: 0},
	{name: "workers busy, with key", bothWorkers: fulmarstandin.FaultBusy, request: clientRequest{method: post, key: "k", timeout: shortTimeout}, wantRuns: 0},
	{name: "workers draining", prepare: setAllDraining, request: clientRequest{method: post, timeout: shortTimeout}, outcome: fulmarapi.NotRun, reason: fulmarapi.ReasonDeadlinePassed, wantRuns: 0},
	{name: "workers draining, with key", prepare: setAllDraining, request: clientRequest{method: post, key: "k", timeout: shortTimeout}, outcome: fulmarapi.NotRun, reason: fulmarapi.ReasonDeadlinePassed, wantRuns: 0},
	{name: "one worker responds 5xx, GET", worker: fulmarstandin.FaultFail, request: clientRequest{method: get}, outcome: fulmarapi.Answered, wantRuns: -1},
	{name: "workers respond 5xx, POST", bothWorkers: fulmarstandin.FaultFail, request: clientRequest{method: post}, outcome: fulmarapi.Answered, wantRuns: 1},
	{name: "platform down", prepare: platformDown, request: clientRequest{method: post}, outcome: fulmarapi.Answered, wantRuns: 1},
	{name: "platform down, with key", prepare: platformDown, request: clientRequest{method: post, key: "k", timeout: shortTimeout}, outcome: fulmarapi.Unknown, reason: fulmarapi.ReasonClaimUnavailable, wantRuns: 0},
	{name: "response to the claim lost", prepare: loseOneResponse, request: clientRequest{method: post, key: "k"}, outcome: fulmarapi.Answered, wantRuns: 1},
	{name: "TRACE", request: clientRequest{method: http.MethodTrace}, outcome: fulmarapi.NotRun, reason: fulmarapi.ReasonBadMethod, wantRuns: 0},
}

func setAllDraining(f *fleet) { f.setStates(fulmarplatform.VMDraining) }

// setStates sets the state of every VM and waits until every member sees it.
func (f *fleet) setStates(state fulmarplatform.VMState) {
	for _, w := range f.workers {
		f.platform.Fleet().SetState(w.VM().ID, state)
	}
	f.eventually("every member sees the new states", func() bool {
		for _, m := range f.members {
			for _, w := range m.daemon.Status().Pools[0].Workers {
				if w.Draining != (state == fulmarplatform.VMDraining) {
					return false
				}
			}
		}
		return true
	})
}

func platformDown(f *fleet)    { f.platform.Faults().Set(fulmarstandin.FaultTable{Down: true}) }
func loseOneResponse(f *fleet) { f.platform.Faults().Set(fulmarstandin.FaultTable{LoseResponses: 1}) }

// TestOutcomesUnderFaults runs each fault case through both members and compares
// the responses with the case and with the workers' journal.
func TestOutcomesUnderFaults(t *testing.T) {
	for _, fc := range faultCases {
		t.Run(fc.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(qt.New(t), 2, 2)
			if fc.prepare != nil {
				fc.prepare(f)
			}
			for i, w := range f.workers {
				if fc.bothWorkers != "" || i == 0 {
					w.SetFault(fc.bothWorkers + fc.worker)
				}
			}
			var responses []clientResponse
			for i := range 4 {
				req := fc.request
				req.id = fmt.Sprintf("r%d", i)
				if req.key != "" {
					req.key = req.id
				}
				req.member = i % 2
				responses = append(responses, f.send(context.Background(), req))
			}
			f.checkOutcomes(responses)
			for _, r := range responses {
				if fc.outcome != "" {
					f.c.Check(r.outcome, qt.Equals, fc.outcome, qt.Commentf("%s %s", r.request.id, r.reason))
					f.c.Check(r.reason, qt.Equals, fc.reason)
					f.c.Check(r.truncated, qt.Equals, fc.truncated)
				}
				if fc.wantRuns >= 0 {
					f.c.Check(f.journal.CountByRequest()[r.request.id], qt.Equals, fc.wantRuns)
				}
			}
		})
	}
}

func TestDuplicateKeyOnAnotherMemberDoesNotRun(t *testing.T) {
	f := startFleet(qt.New(t), 3, 2)
	first := f.send(context.Background(), clientRequest{id: "first", method: post, key: "invoice-7", member: 0})
	second := f.send(context.Background(), clientRequest{id: "second", method: post, key: "invoice-7", member: 1})
	f.checkOutcomes([]clientResponse{first, second})
	f.c.Assert(first.outcome, qt.Equals, fulmarapi.Answered)
	f.c.Assert(second.outcome, qt.Equals, fulmarapi.Unknown)
	f.c.Assert(second.reason, qt.Equals, fulmarapi.ReasonDuplicateKey)
	f.c.Assert(f.journal.CountByKey()["invoice-7"], qt.Equals, 1)
}

func TestKeyIsReleasedWhenRequestDidNotRun(t *testing.T) {
	f := startFleet(qt.New(t), 2, 1)
	f.setStates(fulmarplatform.VMDraining)
	first := f.send(context.Background(), clientRequest{id: "first", method: post, key: "k", timeout: shortTimeout})
	f.c.Assert(first.outcome, qt.Equals, fulmarapi.NotRun)
	f.setStates(fulmarplatform.VMLive)
	second := f.send(context.Background(), clientRequest{id: "second", method: post, key: "k", member: 1})
	f.c.Assert(second.outcome, qt.Equals, fulmarapi.Answered)
	f.checkOutcomes([]clientResponse{first, second})
}

// TestResponsesMatchTheirRequests sends many requests whose responses are delayed and out of order.
func TestResponsesMatchTheirRequests(t *testing.T) {
	f := startFleet(qt.New(t), 2, 2)
	responses := f.sendAll(200, func(i int) clientRequest {
		return clientRequest{method: []string{get, post}[i%2], query: fmt.Sprintf("work=%d&size=%d", (i*7)%23, (i%5)*9000), member: i % 2}
	})
	f.checkOutcomes(responses)
	for _, r := range responses {
		f.c.Check(r.outcome, qt.Equals, fulmarapi.Answered, qt.Commentf("%s", r.reason))
	}
}

// sendAll sends n requests concurrently and returns their responses in order of index.
func (f *fleet) sendAll(n int, newRequest func(i int) clientRequest) []clientResponse {
	responses := make([]clientResponse, n)
	var all sync.WaitGroup
	for i := range n {
		all.Add(1)
		go func() {
			defer all.Done()
			req := newRequest(i)
			req.id = fmt.Sprintf("r%d", i)
			responses[i] = f.send(context.Background(), req)
		}()
	}
	all.Wait()
	return responses
}

func TestDrainingWorkerGetsNoNewRequests(t *testing.T) {
	f := startFleet(qt.New(t), 2, 2)
	draining := f.workers[0].VM().ID
	f.platform.Fleet().SetState(draining, fulmarplatform.VMDraining)
	f.eventually("every member sees the VM draining", func() bool {
		for _, m := range f.members {
			for _, w := range m.daemon.Status().Pools[0].Workers {
				if w.VM == draining && !w.Draining {
					return false
				}
			}
		}
		return true
	})
	before := len(f.journal.Runs())
	responses := f.sendAll(50, func(i int) clientRequest { return clientRequest{method: post, member: i % 2} })
	f.checkOutcomes(responses)
	for _, run := range f.journal.Runs()[before:] {
		f.c.Check(run.Worker, qt.Not(qt.Equals), draining)
	}
}

func TestGracefulStopFinishesInFlightRequests(t *testing.T) {
	t.Parallel()
	f := startFleet(qt.New(t), 2, 2)
	first := make(chan clientResponse, 1)
	go func() {
		first <- f.send(context.Background(), clientRequest{id: "long", method: post, query: "work=1500"})
	}()
	f.eventually("the request is running", func() bool { return len(f.journal.Runs()) == 1 })
	stopping := f.members[0]
	stopping.once.Do(stopping.stop)
	tries := 0
	f.eventually("the member refuses new requests", func() bool {
		tries++
		r := f.send(context.Background(), clientRequest{id: fmt.Sprintf("new-%d", tries), method: post})
		f.checkOutcomes([]clientResponse{r})
		return r.noResponse || r.reason == fulmarapi.ReasonStopping
	})
	long := <-first
	f.checkOutcomes([]clientResponse{long})
	f.c.Assert(long.outcome, qt.Equals, fulmarapi.Answered)
	<-stopping.ended
	f.eventually("the other member sees that it has left", func() bool {
		return len(f.members[1].daemon.Status().Members) == 1
	})
}

func TestMassCancellationFreesQueueAndSlots(t *testing.T) {
	t.Parallel()
	const waiting = 900
	f := startFleet(qt.New(t), 1, 1)
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for i := range waiting {
		all.Add(1)
		go func() {
			defer all.Done()
			f.send(ctx, clientRequest{id: fmt.Sprintf("gone-%d", i), method: post, query: "work=60000"})
		}()
	}
	report := func() fulmarapi.PoolReport { return f.members[0].daemon.Status().Pools[0] }
	f.eventually("the queue is long", func() bool { return report().Waiting > waiting/2-10 })
	cancel()
	all.Wait()
	f.eventually("the queue and all slots are free", func() bool { return report().Waiting == 0 && report().Running == 0 })
	ran := len(f.journal.Runs())
	f.c.Assert(ran <= 8, qt.IsTrue, qt.Commentf("%d requests ran in 8 slots", ran))
}

// TestQueueFullOutcomesMatchRuns overloads a queue with a limit of four requests.
func TestQueueFullOutcomesMatchRuns(t *testing.T) {
	f := startFleet(qt.New(t), 1, 1)
	f.apply(`{"pools": {"p": {"vms": 1}}, "defaults": {"queue_requests": 4, "team_share": 1}}`)
	f.eventually("the new queue limit is applied", func() bool { return f.members[0].daemon.Record().Generation == 2 })
	responses := f.sendAll(60, func(int) clientRequest { return clientRequest{method: post, query: "work=100"} })
	f.checkOutcomes(responses)
	refused := 0
	for _, r := range responses {
		if r.reason == fulmarapi.ReasonQueueFull {
			refused++
		}
	}
	f.c.Assert(refused > 0, qt.IsTrue)
}

func TestLargeBodiesStreamBothWays(t *testing.T) {
	f := startFleet(qt.New(t), 1, 1)
	body := strings.Repeat("0123456789", 100_000)
	r := f.send(context.Background(), clientRequest{id: "long", method: post, body: body})
	f.checkOutcomes([]clientResponse{r})
	f.c.Assert(r.outcome, qt.Equals, fulmarapi.Answered)
	f.c.Assert(len(r.body) > len(body), qt.IsTrue)
}

// TestEmptyVMListKeepsWorkersInUse empties the platform's VM list, as it may be for
// a short time after an outage. The workers still run, so requests must succeed.
func TestEmptyVMListKeepsWorkersInUse(t *testing.T) {
	t.Parallel()
	f := startFleet(qt.New(t), 2, 2)
	f.platform.Faults().Set(fulmarstandin.FaultTable{EmptyVMList: true})
	f.eventually("every member has the empty VM list", func() bool {
		for _, m := range f.members {
			if m.daemon.ListedVMs() > 0 {
				return false
			}
		}
		return true
	})
	responses := f.sendAll(40, func(i int) clientRequest { return clientRequest{method: post, member: i % 2, timeout: 5 * time.Second} })
	f.checkOutcomes(responses)
	for _, r := range responses {
		f.c.Check(r.outcome, qt.Equals, fulmarapi.Answered, qt.Commentf("%s", r.reason))
	}
}
