package fulmarjob

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// Executor is an executor's entry in the store, as the executor wrote it.
type Executor struct {
	ID      string
	Address string
	Service string
	// Born is when the executor process started, in Unix milliseconds. A different
	// value means a different incarnation.
	Born       int64
	DataCentre string
	// VM is the name of the VM that the executor runs on.
	VM       string
	Rack     string
	Labels   []string
	Capacity Resources
	Draining bool
	// Leaves is the minimum time until a draining executor shuts down.
	Leaves fulmarclock.Millis
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
	// Saved is the newest checkpoint, empty for none.
	Saved string
	// Percent is the progress; a long-running task that is fully working has 100.
	Percent int
	// Recent is the recent tail latency in milliseconds of a latency-sensitive task, and
	// the recent CPU use in thousandths of a core of any other task.
	Recent float64
}

// Ending is the outcome of a run, as the executor reports it.
type Ending string

// The outcomes of a run.
const (
	EndedDone    Ending = "done"
	EndedFailed  Ending = "failed"
	EndedStopped Ending = "stopped"
	// EndedLapsed means that the executor's lease expired.
	EndedLapsed Ending = "lapsed"
	// EndedBroken means that another task of the run's gang ended.
	EndedBroken Ending = "broken"
	// EndedAlone means that the other tasks of the run's gang did not start within the gang timeout.
	EndedAlone Ending = "alone"
)

// FinishedTask is the end of a run. An executor reports it until it is acknowledged.
type FinishedTask struct {
	// Number increases with each end on this executor; acknowledgements refer to it.
	Number int64
	Task   TaskID
	Run    int64
	How    Ending
	// Saved is the last checkpoint, empty for none.
	Saved string
}

// Report is an executor's response to a renewal of its lease.
type Report struct {
	// Born is the incarnation that responded.
	Born int64
	// Clock is the time on the executor's monotonic clock.
	Clock    fulmarclock.Millis
	Running  []RunningTask
	Finished []FinishedTask
}

// Start is the content of a command to start a run of a task.
type Start struct {
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

// Answer is the result of a command to an executor.
type Answer int

// The results of a command.
const (
	AnswerDone Answer = iota
	// AnswerUnknown means that no response arrived: the command may have been executed
	// or may still be executed later.
	AnswerUnknown
	// AnswerFenced means that the executor has seen a higher token.
	AnswerFenced
	// AnswerOld means that this run, or one with a higher number, has ended on the executor.
	AnswerOld
	// AnswerLate means that the command arrived after its deadline.
	AnswerLate
	// AnswerNoRoom means that the task exceeds the executor's free capacity.
	AnswerNoRoom
	// AnswerNoTicket means that the ticket is missing or not valid.
	AnswerNoTicket
	// AnswerUnhealthy means that the executor is unhealthy and did nothing.
	AnswerUnhealthy
	// AnswerOtherLife means that another incarnation responded and did nothing.
	AnswerOtherLife
	// AnswerInvalid means that the command was malformed.
	AnswerInvalid
)

var resultNames = [...]string{
	"done", "unknown", "fenced", "old", "late", "no-room", "no-ticket", "unhealthy", "other-life", "invalid",
}

// String returns the name of the result in logs and metrics.
func (a Answer) String() string { return resultNames[a] }

// VM is the platform's view of a virtual machine.
type VM struct {
	Name       string
	Pool       string
	Up         bool
	DataCentre string
	// Executor is the ID of the executor on the VM, empty for none.
	Executor string
}
