package fulmardaemon

import "github.com/fulmardrum/fulmardrum/internal/fulmarconfig"

// Kill cuts every connection of the callers and stops taking new ones, as the
// end of the VM does. Run goes on until its context ends.
func (d *Daemon) Kill() { d.callers.close() }

// LearnRecord takes in a configuration as a peer's message does, without applying it.
func (d *Daemon) LearnRecord(record fulmarconfig.Record) { d.fleet.LearnRecord(record) }

// Apply applies what has been learned, as the duty that follows the view does.
func (d *Daemon) Apply() { d.applyView() }

// HasScheduler tells whether the pool's scheduler runs.
func (d *Daemon) HasScheduler(pool string) bool {
	_, known := d.pools.Scheduler(pool)
	return known
}

// ListedVMs returns the number of VMs in the platform's list as last seen.
func (d *Daemon) ListedVMs() int { return len(d.fleet.View().VMs().VMs) }
