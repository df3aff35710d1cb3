// Package fulmarmove moves VMs from one pool to another in fenced steps.
//
// Usage:
//
//	mover := fulmarmove.NewMover(options)
//	mover.Step(ctx) // periodically, on the member that plans
//
// A move starts when the VM's assignment names its next pool. Each member then
// stops sending the VM new requests and releases it when it has none left there.
// When the members have released the VM, the platform drains and reboots it, and
// a final write assigns it to its next pool under a new epoch. The state of a
// move is derived from the assignments and the VM list, so that any member can
// continue a move that another one started. Each write is fenced by the revision
// of the assignments.
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

// Platform is the part of the platform that a mover uses.
type Platform interface {
	fulmarplatform.Store
	Drain(ctx context.Context, vm string) error
	Reboot(ctx context.Context, vm string) error
}

// Members reports what the other members have released.
type Members interface {
	// HasReleased reports whether a member has, within the given time, reported that it
	// uses assignments of at least the given sequence and has no requests on the VM.
	HasReleased(name, vm string, sequence int64, within fulmarclock.Millis) bool
}

// FailureCounter counts failed platform calls by operation.
type FailureCounter interface {
	PlatformFailure(operation string)
}

// Options configure a mover.
type Options struct {
	Clock    fulmarclock.Clock
	Platform Platform
	Fleet    *fulmarfleet.Fleet
	Members  Members
	Failures FailureCounter
	Logger   *log.Logger
	// Self is this member's name. SelfHasReleased reports for this member what Members reports for the others.
	Self            string
	SelfHasReleased func(vm string, sequence int64) bool
	// FencingTimeout is the time after which a member without contact to the platform and
	// its peers stops sending requests.
	FencingTimeout fulmarclock.Millis
}

// Mover advances the moves in flight.
type Mover struct {
	options Options
	// firstSeen is the time at which this member first saw each move.
	firstSeen map[moveKey]fulmarclock.Millis
}

// moveKey identifies one move of one VM, by the sequence number of the table that started it.
type moveKey struct {
	vm       string
	sequence int64
}

// NewMover returns a mover that has seen no moves yet.
func NewMover(options Options) *Mover {
	return &Mover{options: options, firstSeen: map[moveKey]fulmarclock.Millis{}}
}

// Step advances every move whose VM is released by one step. A failed step is
// logged and retried with the next call.
func (m *Mover) Step(ctx context.Context) {
	view := m.options.Fleet.View()
	table, _ := view.Table()
	m.dropEndedMoves(table)
	for _, vm := range view.VMs().VMs {
		assignment := table.VMs[vm.ID]
		if !assignment.IsMoving() || !m.isReleased(view, vm.ID, assignment) {
			continue
		}
		if err := m.advance(ctx, view, vm, assignment); err != nil {
			m.options.Failures.PlatformFailure("move")
			m.options.Logger.Warn("move step failed; retrying in the next round", "vm", vm.ID, "pool", assignment.Pool, "next", assignment.NextPool, "error", err)
		}
	}
}

// dropEndedMoves deletes the first-seen times of moves that have ended.
func (m *Mover) dropEndedMoves(table fulmarassign.Table) {
	for key := range m.firstSeen {
		if table.VMs[key.vm].MoveSequence != key.sequence {
			delete(m.firstSeen, key)
		}
	}
}

// isReleased reports whether no member can send the VM requests of its old pool.
// Every live member must have released the VM, and so must a majority of all
// members that may still be running. The other ones must have been fenced since.
func (m *Mover) isReleased(view *fulmarfleet.View, vm string, assignment fulmarassign.Assignment) bool {
	now := m.options.Clock.Now()
	key := moveKey{vm: vm, sequence: assignment.MoveSequence}
	if _, seen := m.firstSeen[key]; !seen {
		m.firstSeen[key] = now
	}
	if !m.options.SelfHasReleased(vm, assignment.MoveSequence) {
		return false
	}
	released := 1
	for _, other := range view.Peers(m.options.Self) {
		if !m.options.Members.HasReleased(other.Name, vm, assignment.MoveSequence, m.options.FencingTimeout) {
			return false
		}
		released++
	}
	memberCount := view.ExpectedMembers(now)
	if released >= memberCount {
		return true
	}
	return 2*released > memberCount && now-m.firstSeen[key] > fencingTimeouts*m.options.FencingTimeout
}

// fencingTimeouts is the number of fencing timeouts after which a member without
// contact counts as fenced. It may send requests for one timeout after its last
// contact, and for one more while it knows that its assignments are outdated; the
// third is a margin.
const fencingTimeouts = 3

// advance drains the VM, reboots it once drained, or completes the move after
// the reboot, depending on the VM's state in the VM list.
func (m *Mover) advance(ctx context.Context, view *fulmarfleet.View, vm fulmarplatform.VM, assignment fulmarassign.Assignment) error {
	switch {
	case vm.BootCount > assignment.BootsAtMoveStart && vm.State == fulmarplatform.VMLive:
		return m.finish(ctx, view, vm.ID)
	case vm.State == fulmarplatform.VMDraining:
		return m.options.Platform.Reboot(ctx, vm.ID)
	default:
		return m.options.Platform.Drain(ctx, vm.ID)
	}
}

func (m *Mover) finish(ctx context.Context, view *fulmarfleet.View, vm string) error {
	table, revision := view.Table()
	next := table.FinishMove(vm)
	next.WriteID = uuid.NewString()
	return m.options.Fleet.CommitTable(ctx, m.options.Platform, next, revision)
}
