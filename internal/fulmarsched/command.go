package fulmarsched

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// Order is something to be carried out outside: StartOrder, StopOrder, HoldOrder and
// PaceOrder at executors, UpkeepOrder and MoveOrder on VMs, AdviseOrder at the advice
// service, and WaveReport for operators.
type Order interface{ isOrder() }

// Target is the life of an executor that an order is meant for.
type Target struct {
	ID          string
	Address     string
	Incarnation int64
}

// StartOrder starts a task.
type StartOrder struct {
	Target Target
	Start  fulmarjob.Start
}

// StopOrder ends a run, or prevents its start.
type StopOrder struct {
	Target Target
	Task   fulmarjob.TaskID
	Run    int64
	Token  int64
}

// HoldOrder renews an executor's lease and asks for its tasks.
type HoldOrder struct {
	Target       Target
	Token        int64
	Acknowledged int64
	// Deadline is on the executor's clock; zero renews nothing.
	Deadline fulmarclock.Millis
	Wait     fulmarclock.Millis
}

// PaceOrder slows a filling task.
type PaceOrder struct {
	Target  Target
	Task    fulmarjob.TaskID
	Run     int64
	Token   int64
	Percent int
}

// UpkeepOrder takes a VM down for its upkeep.
type UpkeepOrder struct {
	VM    string
	Wave  int64
	Token int64
}

// WaveReport tells operators how far a wave is.
type WaveReport struct {
	Wave      int64
	Completed bool
}

func (StartOrder) isOrder()  {}
func (StopOrder) isOrder()   {}
func (HoldOrder) isOrder()   {}
func (PaceOrder) isOrder()   {}
func (UpkeepOrder) isOrder() {}
func (WaveReport) isOrder()  {}
