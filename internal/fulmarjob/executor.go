package fulmarjob

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// Executor is an executor's entry in the store, as the executor wrote it.
type Executor struct {
	ID      string
	Address string
	Service string
	// Incarnation is when the executor process started, in Unix milliseconds. A different
	// value means a different incarnation.
	Incarnation int64
	DataCentre  string
	// VM is the name of the VM that the executor runs on.
	VM       string
	Rack     string
	Labels   []string
	Capacity Resources
	Draining bool
	// RemainingTime is the minimum time until a draining executor shuts down.
	RemainingTime fulmarclock.Millis
}

// HasLabel reports whether the executor has label. Every executor has the empty label.
func (e Executor) HasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range e.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// TaskID identifies a task of a job by its occurrence, the step and its index in the step.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// RunningTask is a task that an executor reports as present.
type RunningTask struct {
	Task TaskID
	Run  int64
	// Checkpoint is the newest checkpoint, empty for none.
	Checkpoint string
	// ProgressPercent is the progress; a long-running task that is fully working has 100.
	ProgressPercent int
	// Measurement is the recent tail latency in milliseconds of a latency-sensitive task, and
	// the recent CPU use in thousandths of a core of any other task.
	Measurement float64
}

// RunOutcome is the outcome of a run, as the executor reports it.
type RunOutcome string

// The outcomes of a run.
const (
	RunDone    RunOutcome = "done"
	RunFailed  RunOutcome = "failed"
	RunStopped RunOutcome = "stopped"
	// RunLeaseExpired means that the executor's lease expired.
	RunLeaseExpired RunOutcome = "lapsed"
	// RunGangBroken means that another task of the run's gang ended.
	RunGangBroken RunOutcome = "broken"
	// RunGangTimeout means that the other tasks of the run's gang did not start within the gang timeout.
	RunGangTimeout RunOutcome = "alone"
)

// FinishedTask is the end of a run. An executor reports it until it is acknowledged.
type FinishedTask struct {
	// Sequence increases with each end on this executor; acknowledgements refer to it.
	Sequence int64
	Task     TaskID
	Run      int64
	Outcome  RunOutcome
	// Checkpoint is the last checkpoint, empty for none.
	Checkpoint string
}

// Report is an executor's response to a renewal of its lease.
type Report struct {
	// Incarnation is the incarnation that responded.
	Incarnation int64
	// ClockTime is the time on the executor's monotonic clock.
	ClockTime fulmarclock.Millis
	Running   []RunningTask
	// Finished are the finished runs that are not acknowledged, by sequence number.
	Finished []FinishedTask
	// MoreFinished means that the executor may have more finished runs, which follow those in Finished.
	// A run that is listed nowhere may then have finished.
	MoreFinished bool
}

// StartRequest is the content of a command to start a run of a task.
type StartRequest struct {
	Task       TaskID
	Run        int64
	Payload    string
	Checkpoint string
	// Ticket proves to the executor that the placement advisor has allowed the start.
	Ticket string
	// Deadline is on the executor's clock; the executor rejects the command after it.
	Deadline fulmarclock.Millis
	// Token is the fencing token of the owner that sends the command.
	Token int64
}

// CommandResult is the result of a command to an executor.
type CommandResult int

// The results of a command.
const (
	ResultDone CommandResult = iota
	// ResultUnknown means that no response arrived: the command may have been executed
	// or may still be executed later.
	ResultUnknown
	// ResultFenced means that the executor has seen a higher token.
	ResultFenced
	// ResultStaleRun means that this run, or one with a higher number, has ended on the executor.
	ResultStaleRun
	// ResultDeadlineExceeded means that the command arrived after its deadline.
	ResultDeadlineExceeded
	// ResultNoCapacity means that the task exceeds the executor's free capacity.
	ResultNoCapacity
	// ResultNoTicket means that the ticket is missing or not valid.
	ResultNoTicket
	// ResultUnhealthy means that the executor is unhealthy and did nothing.
	ResultUnhealthy
	// ResultOtherIncarnation means that another incarnation responded and did nothing.
	ResultOtherIncarnation
	// ResultInvalid means that the command was malformed.
	ResultInvalid
	// ResultUnreachable means that the command was never sent: no connection could be made, or it was given up
	// before anything of it was written.
	ResultUnreachable
)

var resultNames = [...]string{
	"done", "unknown", "fenced", "old", "late", "no-room", "no-ticket", "unhealthy", "other-life", "invalid", "unreachable",
}

// IsAnswer reports whether the executor has responded to the command.
func (r CommandResult) IsAnswer() bool { return r != ResultUnknown && r != ResultUnreachable }

// String returns the name of the result in logs and metrics.
func (r CommandResult) String() string { return resultNames[r] }

// VM is the platform's view of a virtual machine.
type VM struct {
	Name       string
	Pool       string
	Up         bool
	DataCentre string
	// Executor is the ID of the executor on the VM, empty for none.
	Executor string
}
