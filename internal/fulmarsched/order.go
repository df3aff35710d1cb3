package fulmarsched

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// Command is something to be carried out outside: StartOrder, StopOrder, HoldOrder and
// PaceOrder at executors, UpkeepOrder and MoveOrder on VMs, AdviseOrder at the advice
// service, and WaveReport for operators.
type Command interface{ isOrder() }

// Target is the life of an executor that an order is meant for.
type Target struct {
	ID      string
	Address string
	Born    int64
}

// StartCommand starts a task.
type StartCommand struct {
	Target Target
	Start  fulmarjob.Start
}

// StopCommand ends a run, or prevents its start.
type StopCommand struct {
	Target Target
	Task   fulmarjob.TaskID
	Run    int64
	Token  int64
}

// RenewCommand renews an executor's lease and asks for its tasks.
type RenewCommand struct {
	Target       Target
	Token        int64
	Acknowledged int64
	// Deadline is on the executor's clock; zero renews nothing.
	Deadline fulmarclock.Millis
	Wait     fulmarclock.Millis
}

// ThrottleCommand slows a filling task.
type ThrottleCommand struct {
	Target  Target
	Task    fulmarjob.TaskID
	Run     int64
	Token   int64
	Percent int
}

// MaintenanceCommand takes a VM down for its upkeep.
type MaintenanceCommand struct {
	VM    string
	Wave  int64
	Token int64
}

// WaveReport tells operators how far a wave is.
type WaveReport struct {
	Wave      int64
	Completed bool
}

func (StartCommand) isOrder()       {}
func (StopCommand) isOrder()        {}
func (RenewCommand) isOrder()       {}
func (ThrottleCommand) isOrder()    {}
func (MaintenanceCommand) isOrder() {}
func (WaveReport) isOrder()         {}
