package fulmardaemon

import (
	"context"
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarconfig"
)

// idleSweepInterval is the time between two sweeps of idle connections to workers.
const idleSweepInterval = 5 * fulmarclock.Second

// followFleet applies each new view of the fleet until ctx ends. It also closes idle
// connections to workers when the view has not changed for idleSweepInterval.
func (d *Daemon) followFleet(ctx context.Context) {
	for {
		select {
		case <-d.fleet.Changed():
		case <-d.clock.After(idleSweepInterval):
			d.transport.CloseIdle()
		case <-ctx.Done():
			return
		}
		d.applyView()
	}
}

// applyView applies the current view to the schedulers and the transport. The
// sequence number is published last, as it acknowledges the assignments to the planner.
func (d *Daemon) applyView() {
	view := d.fleet.View()
	if view.Record().Generation == 0 {
		return
	}
	d.pools.Apply(poolSpecs(view, d.clock.Now(), d.settings.Limits.WorkerConnections))
	record := view.Record()
	d.appliedRecord.Store(&record)
	addresses := map[string]bool{}
	for _, vm := range view.Workers(d.clock.Now()) {
		addresses[vm.Address] = true
	}
	d.transport.CloseExcept(addresses)
	table, _ := view.Table()
	d.appliedSequence.Store(table.Sequence)
}

// Record returns the newest configuration that all of this member's schedulers
// have applied. A newer known one is not returned until it is applied, so that
// a caller's request never finds it partly applied, such as a pool without a scheduler.
func (d *Daemon) Record() fulmarconfig.Record {
	if record := d.appliedRecord.Load(); record != nil {
		return *record
	}
	return fulmarconfig.Record{}
}

// AppliedAssignments returns the sequence number of the assignments that the schedulers have
// applied, and the moving VMs on which this member still has running requests.
func (d *Daemon) AppliedAssignments() (sequence int64, busyVMs []string) {
	sequence = d.appliedSequence.Load()
	table, _ := d.fleet.View().Table()
	moving := table.MovingVMs()
	if len(moving) == 0 {
		return sequence, nil
	}
	for _, report := range d.pools.Reports() {
		for _, w := range report.Workers {
			if w.Running > 0 && slices.Contains(moving, w.VM) {
				busyVMs = append(busyVMs, w.VM)
			}
		}
	}
	return sequence, busyVMs
}

// hasReleased reports whether this member has released a VM: its schedulers have
// applied the assignments of a sequence number and run no request on the VM.
func (d *Daemon) hasReleased(vm string, sequence int64) bool {
	applied, busyVMs := d.AppliedAssignments()
	return applied >= sequence && !slices.Contains(busyVMs, vm)
}
