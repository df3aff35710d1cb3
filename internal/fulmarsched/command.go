package fulmarsched

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// Order is a command that the caller of the scheduler executes: StartOrder, StopOrder, HoldOrder
// and PaceOrder at executors, UpkeepOrder and MoveOrder at the platform, AdviseOrder at the
// placement advisor, and WaveReport for operators.
type Order interface{ isCommand() }

// Target is the executor incarnation that a command is for.
type Target struct {
	ID          string
	Address     string
	Incarnation int64
}

// StartOrder starts a run of a task.
type StartOrder struct {
	Target Target
	Start  fulmarjob.Start
}

// StopOrder stops a run, or prevents its start.
type StopOrder struct {
	Target Target
	Task   fulmarjob.TaskID
	Run    int64
	Token  int64
}

// HoldOrder renews an executor's lease, acknowledges its finished runs up to a sequence number,
// and asks for a report of its runs.
type HoldOrder struct {
	Target       Target
	Token        int64
	Acknowledged int64
	// Deadline is the end of the lease on the executor's clock; zero does not renew the lease.
	Deadline fulmarclock.Millis
	Wait     fulmarclock.Millis
}

// PaceOrder limits a best-effort task to a percentage of full speed.
type PaceOrder struct {
	Target  Target
	Task    fulmarjob.TaskID
	Run     int64
	Token   int64
	Percent int
}

// UpkeepOrder takes a VM down for maintenance.
type UpkeepOrder struct {
	VM    string
	Wave  int64
	Token int64
}

// WaveReport tells operators whether a wave is completed.
type WaveReport struct {
	Wave      int64
	Completed bool
}

func (StartOrder) isCommand()  {}
func (StopOrder) isCommand()   {}
func (HoldOrder) isCommand()   {}
func (PaceOrder) isCommand()   {}
func (UpkeepOrder) isCommand() {}
func (WaveReport) isCommand()  {}
