package fulmardaemon

import "github.com/fulmardrum/fulmardrum/internal/fulmarconfig"

// Kill closes every connection of callers and accepts no new ones, as when the VM
// fails. Run continues until its context ends.
func (d *Daemon) Kill() { d.callerListener.close() }

// ClosePeerListener makes the component that serves the peers fail.
func (d *Daemon) ClosePeerListener() { _ = d.peerListener.Close() }

// MergeRecord adopts a configuration as from a peer, without applying it.
func (d *Daemon) MergeRecord(record fulmarconfig.Record) { d.fleet.MergeRecord(record) }

// Apply applies the current view, as followFleet does.
func (d *Daemon) Apply() { d.applyView() }

// HasScheduler reports whether the pool has a scheduler.
func (d *Daemon) HasScheduler(pool string) bool {
	_, found := d.pools.Scheduler(pool)
	return found
}

// ListedVMs returns the number of VMs in the newest known list.
func (d *Daemon) ListedVMs() int { return len(d.fleet.View().VMs().VMs) }
