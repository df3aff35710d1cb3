// Package fulmarmove brings VMs from pool to pool in fenced steps.
//
// Usage:
//
//	mover := fulmarmove.NewMover(options)
//	mover.Step(ctx) // again and again, on the member that plans
//
// A move is a mark in the assignments, which every member follows by sending
// the VM nothing new. When the members have said that they have, the platform
// drains and reboots the VM, and a last write gives it to its next pool under a
// new epoch. Each step is read off the assignments and the VM list, so that any
// member can go on where another one stopped; each write is fenced by the
// revision of the assignments.
package fulmarmove

import (
	"context"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"

	"github.com/fulmardrum/fulmardrum/internal/fulmarassign"
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarfleet"
	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
)

// Platform is the part of the platform that moves need.
type Platform interface {
	fulmarplatform.Store
	Drain(ctx context.Context, vm string) error
	Reboot(ctx context.Context, vm string) error
}

// Members tells what the other members have said.
type Members interface {
	// HasLeft tells whether a member has lately said that it has left a VM.
	HasLeft(name, vm string, sequence int64, within fulmarclock.Millis) bool
}

// FailureCounter counts failed calls to the platform.
type FailureCounter interface {
	PlatformFailure(duty string)
}

// Options are what a mover works with.
type Options struct {
	Clock    fulmarclock.Clock
	Platform Platform
	Fleet    *fulmarfleet.Fleet
	Members  Members
	Failures FailureCounter
	Logger   *log.Logger
	// Self is this member's name; SelfHasLeft tells the same of it as Members does of others.
	Self        string
	SelfHasLeft func(vm string, sequence int64) bool
	// Fence is how long a member without word goes on.
	Fence fulmarclock.Millis
}

// Mover takes the moves that are under way a step further.
type Mover struct {
	options Options
	// seen is when this member first saw each move, by its sequence.
	seen map[move]fulmarclock.Millis
}

// move names one move of one VM.
type move struct {
	vm    string
	since int64
}

// NewMover returns a mover.
func NewMover(options Options) *Mover {
	return &Mover{options: options, seen: map[move]fulmarclock.Millis{}}
}

// Step takes every move that is ready one step further.
func (m *Mover) Step(ctx context.Context) {
	view := m.options.Fleet.View()
	table, _ := view.Table()
	m.forgetEnded(table)
	for _, vm := range view.VMs().VMs {
		assignment := table.VMs[vm.ID]
		if !assignment.IsMoving() || !m.isLeft(view, vm.ID, assignment) {
			continue
		}
		if err := m.advance(ctx, view, vm, assignment); err != nil {
			m.options.Failures.PlatformFailure("move")
			m.options.Logger.Warn("a move waits", "vm", vm.ID, "pool", assignment.Pool, "next", assignment.Next, "error", err)
		}
	}
}

func (m *Mover) forgetEnded(table fulmarassign.Table) {
	for known := range m.seen {
		if table.VMs[known.vm].Since != known.since {
			delete(m.seen, known)
		}
	}
}

// isLeft tells whether no member can send the VM requests of its old pool:
// every live member has left it, most of those that may be at work have said
// so, and any that has not is fenced by now.
func (m *Mover) isLeft(view *fulmarfleet.View, vm string, assignment fulmarassign.Assignment) bool {
	now := m.options.Clock.Now()
	known := move{vm: vm, since: assignment.Since}
	if _, seen := m.seen[known]; !seen {
		m.seen[known] = now
	}
	if !m.options.SelfHasLeft(vm, assignment.Since) {
		return false
	}
	left := 1
	for _, other := range view.Others(m.options.Self) {
		if !m.options.Members.HasLeft(other.Name, vm, assignment.Since, m.options.Fence) {
			return false
		}
		left++
	}
	roster := view.Roster(now)
	if left >= roster {
		return true
	}
	return 2*left > roster && now-m.seen[known] > fenceTimes*m.options.Fence
}

// fenceTimes is how many fence times pass before a silent member counts as
// fenced: one for its last word, one while it knows that it is behind.
const fenceTimes = 3

// advance takes the step that the VM list calls for.
func (m *Mover) advance(ctx context.Context, view *fulmarfleet.View, vm fulmarplatform.VM, assignment fulmarassign.Assignment) error {
	switch {
	case vm.Boots > assignment.Boots && vm.State == fulmarplatform.VMLive:
		return m.finish(ctx, view, vm.ID)
	case vm.State == fulmarplatform.VMLeaving:
		return m.options.Platform.Reboot(ctx, vm.ID)
	default:
		return m.options.Platform.Drain(ctx, vm.ID)
	}
}

func (m *Mover) finish(ctx context.Context, view *fulmarfleet.View, vm string) error {
	table, revision := view.Table()
	next := table.Finish(vm)
	next.WriteID = uuid.NewString()
	return m.options.Fleet.CommitTable(ctx, m.options.Platform, next, revision)
}
