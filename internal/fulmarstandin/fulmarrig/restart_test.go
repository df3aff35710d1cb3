package fulmarrig

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	fulmaradapter "github.com/fulmardrum/fulmardrum/platform"
)

const (
	restartedID = "x-work-0-1"
	// answerWait is the time after which a caller takes a call for one without a response.
	answerWait = 100 * time.Millisecond
)

// holdReport is the part of a report that the tests read.
type holdReport struct {
	Born     int64              `json:"born"`
	Clock    fulmarclock.Millis `json:"clock_ms"`
	Running  [][]any            `json:"running"`
	Finished [][]any            `json:"finished"`
}

func startOneVM(t *testing.T, clock fulmarclock.Clock, delayCall func() (fulmarclock.Millis, bool)) *Rig {
	rig, err := Start(Options{
		Clock: clock, MaxLease: 10 * fulmarclock.Second, DelayCall: delayCall,
		Pools: []Pool{{Service: "work", VMs: 1, MilliCPU: 8000, MemoryMB: 1024}, {Service: "other"}},
	})
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(rig.Close)
	return rig
}

// entryOf returns the entry of the only executor in the store.
func entryOf(t *testing.T, rig *Rig) fulmarjob.Executor {
	value, found := rig.Get(fulmaradapter.ExecutorPrefix + restartedID)
	quicktest.Assert(t, found, quicktest.IsTrue)
	entry, err := fulmaradapter.DecodeExecutor(fulmaradapter.ExecutorPrefix+restartedID, value)
	quicktest.Assert(t, err, quicktest.IsNil)
	return entry
}

// call sends a command to the only executor. It returns nil if there is no response.
func call(t *testing.T, rig *Rig, path string, body any) *http.Response {
	data, err := json.Marshal(body)
	quicktest.Assert(t, err, quicktest.IsNil)
	ctx, cancel := context.WithTimeout(t.Context(), answerWait)
	t.Cleanup(cancel)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entryOf(t, rig).Address+path, bytes.NewReader(data))
	quicktest.Assert(t, err, quicktest.IsNil)
	request.Header.Set("X-Expected-Executor", restartedID)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil
	}
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// start sends a start command whose deadline is given as the time until then.
func start(t *testing.T, rig *Rig, c command) *http.Response {
	c.Deadline += rig.executorClock()
	return call(t, rig, "/fulmardrum/run-start", c)
}

// executorClock returns the clock time of the first VM's executor.
func (r *Rig) executorClock() fulmarclock.Millis {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	return r.fleet.vms[0].executor.now()
}

func hold(t *testing.T, rig *Rig, r renewal) holdReport {
	var report holdReport
	response := call(t, rig, "/fulmardrum/hold", r)
	quicktest.Assert(t, response, quicktest.IsNotNil)
	quicktest.Assert(t, json.NewDecoder(response.Body).Decode(&report), quicktest.IsNil)
	return report
}

// awaitTrue waits for the effect of a manual clock's call.
func awaitTrue(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

func (r *Rig) serves() bool {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	e := r.fleet.vms[0].executor
	return e != nil && !e.hasCrashed()
}

// highestToken returns the highest fencing token that the first VM's executor has seen.
func (r *Rig) highestToken() int64 {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	e := r.fleet.vms[0].executor
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fencingToken
}

// TestRestartKeepsNothing guards against a restart under the same ID that is kinder than the platform's.
func TestRestartKeepsNothing(t *testing.T) {
	const downtime, publicationDelay = 100 * fulmarclock.Millis(1), 3 * fulmarclock.Second
	clock := fulmarclock.NewManual(1)
	rig := startOneVM(t, clock, nil)
	before := entryOf(t, rig)
	start(t, rig, command{Task: "ended", RunNumber: 4, Deadline: 5 * fulmarclock.Second, FencingToken: 9})
	clock.Advance(defaultRunDuration)
	awaitTrue(func() bool { return rig.Runs()[0].Ended > 0 })
	start(t, rig, command{Task: "running", RunNumber: 4, Deadline: 5 * fulmarclock.Second, FencingToken: 9})
	quicktest.Assert(t, hold(t, rig, renewal{FencingToken: 9}).Finished, quicktest.HasLen, 1)

	clockBefore := rig.executorClock() + downtime
	rig.Restart("work-0", downtime, publicationDelay)
	quicktest.Assert(t, start(t, rig, command{Task: "down", RunNumber: 1, Deadline: 5 * fulmarclock.Second}), quicktest.IsNil)
	quicktest.Assert(t, rig.Runs()[1].Outcome, quicktest.Equals, runCrashed)
	clock.Advance(downtime)
	awaitTrue(rig.serves)
	report := hold(t, rig, renewal{})
	quicktest.Assert(t, report.Born > before.Incarnation, quicktest.IsTrue)
	quicktest.Assert(t, report.Clock, quicktest.Equals, rig.executorClock())
	quicktest.Assert(t, report.Clock >= minFirstClock && report.Clock < maxFirstClock && report.Clock != clockBefore, quicktest.IsTrue)
	quicktest.Assert(t, report.Running, quicktest.HasLen, 0)
	quicktest.Assert(t, report.Finished, quicktest.HasLen, 0)
	quicktest.Assert(t, entryOf(t, rig), quicktest.DeepEquals, before)

	// Both the fencing token and the run numbers are lower than those of the earlier incarnation.
	quicktest.Assert(t, start(t, rig, command{Task: "ended", RunNumber: 1, Deadline: 5 * fulmarclock.Second}).StatusCode, quicktest.Equals, http.StatusOK)
	clock.Advance(defaultRunDuration)
	awaitTrue(func() bool { return rig.Runs()[2].Ended > 0 })
	finished := hold(t, rig, renewal{}).Finished
	quicktest.Assert(t, finished, quicktest.HasLen, 1)
	quicktest.Assert(t, finished[0][0], quicktest.Equals, any(1.0))
	clock.Advance(publicationDelay)
	awaitTrue(func() bool { return entryOf(t, rig).Incarnation == report.Born })
	quicktest.Assert(t, entryOf(t, rig).Address, quicktest.Equals, before.Address)
}

// TestRestartsCloselyTogether guards against an entry in the store of an incarnation that has ended.
func TestRestartsCloselyTogether(t *testing.T) {
	clock := fulmarclock.NewManual(1)
	rig := startOneVM(t, clock, nil)
	before := entryOf(t, rig)
	for _, publicationDelay := range []fulmarclock.Millis{100, 300} {
		rig.Restart("work-0", 0, publicationDelay)
		rig.Restart("work-0", 0, publicationDelay)
		clock.Advance(0)
		awaitTrue(rig.serves)
	}
	born := hold(t, rig, renewal{}).Born
	quicktest.Assert(t, born > before.Incarnation+1, quicktest.IsTrue)
	clock.Advance(200)
	quicktest.Assert(t, entryOf(t, rig), quicktest.DeepEquals, before)
	clock.Advance(100)
	awaitTrue(func() bool { return entryOf(t, rig).Incarnation == born })
}

// TestRestartOfLostVM guards against an executor that comes back although its VM has been taken down.
func TestRestartOfLostVM(t *testing.T) {
	clock := fulmarclock.NewManual(1)
	rig := startOneVM(t, clock, nil)
	rig.Restart("work-0", 100, 0)
	rig.Crash("work-0", fulmarclock.Second)
	clock.Advance(100)
	quicktest.Assert(t, rig.serves(), quicktest.IsFalse)
	quicktest.Assert(t, isRegistered(rig, restartedID), quicktest.IsFalse)
	clock.Advance(fulmarclock.Second)
	awaitTrue(func() bool { return isRegistered(rig, "x-work-0-2") })
}

// TestCallIsExecutedLate guards against late calls that the earlier incarnation alone executes.
func TestCallIsExecutedLate(t *testing.T) {
	const delay = 2 * fulmarclock.Second
	clock := fulmarclock.NewManual(1)
	var late atomic.Bool
	late.Store(true)
	rig := startOneVM(t, clock, func() (fulmarclock.Millis, bool) { return delay, late.Load() })
	quicktest.Assert(t, start(t, rig, command{Task: "t", RunNumber: 3, Deadline: maxFirstClock, FencingToken: 9}), quicktest.IsNil)
	late.Store(false)
	quicktest.Assert(t, rig.Runs(), quicktest.HasLen, 0)
	quicktest.Assert(t, rig.LateCalls(), quicktest.Equals, 1)
	rig.Restart("work-0", 0, 0)
	clock.Advance(0)
	awaitTrue(rig.serves)
	clock.Advance(delay)
	awaitTrue(func() bool { return rig.LateCalls() == 0 })
	runs := rig.Runs()
	quicktest.Assert(t, runs, quicktest.HasLen, 1)
	quicktest.Assert(t, runs[0].Late, quicktest.IsTrue)
	quicktest.Assert(t, runs[0].Incarnation, quicktest.Equals, hold(t, rig, renewal{FencingToken: 9}).Born)
}

// TestHigherRunLeavesLowerOneInProgress guards against two runs at once of which the executor forgets one.
func TestHigherRunLeavesLowerOneInProgress(t *testing.T) {
	clock := fulmarclock.NewManual(1)
	rig := startOneVM(t, clock, nil)
	for number := range int64(2) {
		start(t, rig, command{Task: "t", RunNumber: number + 1, Deadline: 5 * fulmarclock.Second, FencingToken: 9})
		clock.Advance(defaultRunDuration / 2)
	}
	awaitTrue(func() bool { return rig.Runs()[0].Ended > 0 })
	quicktest.Assert(t, hold(t, rig, renewal{FencingToken: 9}).Running, quicktest.HasLen, 1)
	clock.Advance(defaultRunDuration / 2)
	awaitTrue(func() bool { return rig.Runs()[1].Ended > 0 })
	quicktest.Assert(t, hold(t, rig, renewal{FencingToken: 9}).Finished, quicktest.HasLen, 2)
	quicktest.Assert(t, FindViolations(rig.Runs()), quicktest.HasLen, 1)
}

// TestCallsWaitBehindListener guards against calls of the downtime that the next incarnation doesn't execute.
func TestCallsWaitBehindListener(t *testing.T) {
	const downtime = 300 * fulmarclock.Millis(1)
	clock := fulmarclock.NewManual(1)
	rig := startOneVM(t, clock, nil)
	deadline := 5*fulmarclock.Second + maxFirstClock
	polled := make(chan *http.Response, 1)
	go func() {
		polled <- call(t, rig, "/fulmardrum/hold", renewal{FencingToken: 9, MaxWait: fulmarclock.Second})
	}()
	awaitTrue(func() bool { return rig.highestToken() == 9 })
	rig.RestartBehindListener("work-0", downtime, 0)
	// The caller of this start leaves before it is executed.
	quicktest.Assert(t, start(t, rig, command{Task: "left", RunNumber: 1, Deadline: deadline, FencingToken: 9}), quicktest.IsNil)
	quicktest.Assert(t, <-polled, quicktest.IsNil)
	quicktest.Assert(t, rig.Runs(), quicktest.HasLen, 0)
	answered := make(chan *http.Response, 1)
	go func() {
		answered <- start(t, rig, command{Task: "answered", RunNumber: 1, Deadline: deadline, FencingToken: 9})
	}()
	time.Sleep(answerWait / 2)
	clock.Advance(downtime)
	response := <-answered
	quicktest.Assert(t, response, quicktest.IsNotNil)
	quicktest.Assert(t, response.StatusCode, quicktest.Equals, http.StatusOK)
	awaitTrue(func() bool { return len(rig.Runs()) == 2 })
	report := hold(t, rig, renewal{FencingToken: 9})
	quicktest.Assert(t, report.Running, quicktest.HasLen, 2)
	for _, r := range rig.Runs() {
		quicktest.Assert(t, r.Incarnation, quicktest.Equals, report.Born)
	}
}

// TestCallsEndWhenRestartingVMIsLost guards against calls that wait for an incarnation that never serves.
func TestCallsEndWhenRestartingVMIsLost(t *testing.T) {
	clock := fulmarclock.NewManual(1)
	rig := startOneVM(t, clock, nil)
	address := entryOf(t, rig).Address
	rig.RestartBehindListener("work-0", 100, 0)
	ended := make(chan error, 1)
	go func() {
		response, err := http.Post("http://"+address+"/fulmardrum/hold", "application/json", bytes.NewReader([]byte("{}")))
		if err == nil {
			_ = response.Body.Close()
		}
		ended <- err
	}()
	time.Sleep(answerWait)
	rig.Crash("work-0", fulmarclock.Second)
	quicktest.Assert(t, <-ended, quicktest.IsNotNil)
}
