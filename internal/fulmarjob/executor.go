package fulmarjob

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// Executor is what an executor says of itself.
type Executor struct {
	ID      string
	Address string
	Service string
	// Born is the Unix millisecond of the executor's start; another value is another life.
	Born       int64
	DataCentre string
	// VM is the machine that the executor is a life of.
	VM       string
	Rack     string
	Labels   []string
	Capacity Resources
	Draining bool
	// Leaves is the least time left to a draining executor.
	Leaves fulmarclock.Millis
}

// HasLabel tells whether the executor bears label; every executor bears the empty one.
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

// TaskID names a task of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// RunningTask is a task that an executor lists as present.
type RunningTask struct {
	Task TaskID
	Run  int64
	// Saved is the newest checkpoint.
	Saved string
	// Percent is the progress; a lasting task at work has 100.
	Percent int
	// Recent is the tail in milliseconds of a serving task, the used thousandths of a core of any other.
	Recent float64
}

// Ending tells how a run ended.
type Ending string

// The ways a run ends.
const (
	EndedDone    Ending = "done"
	EndedFailed  Ending = "failed"
	EndedStopped Ending = "stopped"
	EndedLapsed  Ending = "lapsed"
	EndedBroken  Ending = "broken"
	EndedAlone   Ending = "alone"
)

// FinishedTask is an end that an executor lists until it is acknowledged.
type FinishedTask struct {
	Number int64
	Task   TaskID
	Run    int64
	How    Ending
	Saved  string
}

// Report is an executor's answer to a renewal of its lease.
type Report struct {
	Born int64
	// Clock is the executor's own steady clock.
	Clock    fulmarclock.Millis
	Running  []RunningTask
	Finished []FinishedTask
}

// Start is an order to run a task.
type Start struct {
	Task       TaskID
	Run        int64
	Payload    string
	Checkpoint string
	Ticket     string
	// Deadline is on the executor's clock; the order is void after it.
	Deadline fulmarclock.Millis
	Token    int64
}

// Answer is what an executor said to an order.
type Answer int

// The answers to an order.
const (
	AnswerDone Answer = iota
	// AnswerUnknown means no answer: the order may be carried out, also later.
	AnswerUnknown
	// AnswerFenced means that the executor has seen a higher token.
	AnswerFenced
	// AnswerOld means that this run or a higher one has ended there.
	AnswerOld
	AnswerLate
	AnswerNoRoom
	AnswerNoTicket
	// AnswerUnhealthy means that the executor did nothing and is not well.
	AnswerUnhealthy
	// AnswerOtherLife means that another incarnation answered and did nothing.
	AnswerOtherLife
	// AnswerInvalid means that the order was malformed.
	AnswerInvalid
)

var answerNames = [...]string{
	"done", "unknown", "fenced", "old", "late", "no-room", "no-ticket", "unhealthy", "other-life", "invalid",
}

// String names the answer for logs and counters.
func (a Answer) String() string { return answerNames[a] }

// VM is a machine of the platform.
type VM struct {
	Name       string
	Pool       string
	Up         bool
	DataCentre string
	Executor   string
}
