package fulmarsched

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// Command is executed by the caller of the scheduler: StartCommand, StopCommand, RenewCommand and
// ThrottleCommand at executors, MaintenanceCommand and MoveCommand at the platform, AdviseCommand
// at the placement advisor, and WaveReport for operators.
type Command interface{ isCommand() }

// Target is the executor incarnation that a command is for.
type Target struct {
	ID          string
	Address     string
	Incarnation int64
}

// StartCommand starts a run of a task.
type StartCommand struct {
	Target Target
	// SentAt is the scheduler's time at which the command was created.
	SentAt fulmarclock.Millis
	Start  fulmarjob.StartRequest
}

// StopCommand stops a run, or prevents its start.
type StopCommand struct {
	Target Target
	Task   fulmarjob.TaskID
	Run    int64
	Token  int64
}

// RenewCommand renews an executor's lease, acknowledges its finished runs up to a sequence number,
// and requests a report of its runs.
type RenewCommand struct {
	Target       Target
	Token        int64
	Acknowledged int64
	// Deadline is the end of the lease on the executor's clock; zero does not renew the lease.
	Deadline fulmarclock.Millis
	Wait     fulmarclock.Millis
}

// ThrottleCommand limits a best-effort task to a percentage of full speed.
type ThrottleCommand struct {
	Target  Target
	Task    fulmarjob.TaskID
	Run     int64
	Token   int64
	Percent int
}

// MaintenanceCommand takes a VM down for maintenance.
type MaintenanceCommand struct {
	VM    string
	Wave  int64
	Token int64
}

// WaveReport is the state of a wave for operators.
type WaveReport struct {
	Wave      int64
	Completed bool
}

func (StartCommand) isCommand()       {}
func (StopCommand) isCommand()        {}
func (RenewCommand) isCommand()       {}
func (ThrottleCommand) isCommand()    {}
func (MaintenanceCommand) isCommand() {}
func (WaveReport) isCommand()         {}
