package fulmarowner

import (
	"context"
	"io"
	"slices"
	"strings"
	"sync"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

const (
	executorID     = "x-0"
	executorPrefix = "servers/"
)

// executorCommand is a command as the executor received it.
type executorCommand struct {
	name  string
	task  fulmarjob.TaskID
	run   int64
	token int64
	// acknowledged is what a renewal acknowledges.
	acknowledged int64
}

// fakeExecutors is one executor that runs each task until the test ends it.
type fakeExecutors struct {
	mu       sync.Mutex
	clock    fulmarclock.Clock
	commands []executorCommand
	running  map[fulmarjob.TaskID]int64
	finished []fulmarjob.FinishedTask
	// start replaces the execution of start commands unless it is nil.
	start func(ctx context.Context) (fulmarjob.CommandResult, error)
	// losesRenewal reports whether a renewal gets no response and is not executed; nil means that none is lost.
	losesRenewal func(acknowledged int64) bool
	// mostCores is what MostCores returns.
	mostCores float64
	// extra is added to the running tasks in each report.
	extra []fulmarjob.RunningTask
	// extraFinished is added to the finished tasks in each report.
	extraFinished []fulmarjob.FinishedTask
}

func (f *fakeExecutors) SetExecutorCount(int) {}

func (f *fakeExecutors) MostCores() float64 { return f.mostCores }

func (f *fakeExecutors) Start(ctx context.Context, _, _ string, s fulmarjob.StartRequest) (fulmarjob.CommandResult, error) {
	if f.start != nil {
		return f.start(ctx)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commands = append(f.commands, executorCommand{name: "start", task: s.Task, run: s.Run, token: s.Token})
	f.running[s.Task] = s.Run
	return fulmarjob.ResultDone, nil
}

func (f *fakeExecutors) Stop(_ context.Context, _, _ string, task fulmarjob.TaskID, run, token int64) (fulmarjob.CommandResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commands = append(f.commands, executorCommand{name: "stop", task: task, run: run, token: token})
	return fulmarjob.ResultDone, nil
}

func (f *fakeExecutors) Throttle(_ context.Context, _, _ string, task fulmarjob.TaskID, run, token int64, _ int) (fulmarjob.CommandResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commands = append(f.commands, executorCommand{name: "throttle", task: task, run: run, token: token})
	return fulmarjob.ResultDone, nil
}

func (f *fakeExecutors) RenewLease(ctx context.Context, _, _ string, token, acknowledged int64, _, _ fulmarclock.Millis) (fulmarjob.CommandResult, fulmarjob.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commands = append(f.commands, executorCommand{name: "renew", token: token, acknowledged: acknowledged})
	if f.losesRenewal != nil && f.losesRenewal(acknowledged) {
		f.mu.Unlock()
		err := noResponse(ctx)
		f.mu.Lock()
		return fulmarjob.ResultUnknown, fulmarjob.Report{}, err
	}
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
	capacity := fulmarjob.Resources{MilliCPU: 8000, MemoryMB: 8000}
	if string(value) == "no capacity" {
		capacity = fulmarjob.Resources{}
	}
	return fulmarjob.Executor{
		ID: strings.TrimPrefix(key, executorPrefix), Address: "x", Service: "web", Incarnation: 1, VM: "vm-0",
		Capacity: capacity,
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
