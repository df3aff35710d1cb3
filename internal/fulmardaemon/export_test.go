package fulmardaemon

// Kill cuts every connection of the callers and stops taking new ones, as the
// end of the VM does. Run goes on until its context ends.
func (d *Daemon) Kill() { d.callers.close() }

// ListedVMs returns the number of VMs in the platform's list as last seen.
func (d *Daemon) ListedVMs() int { return len(d.fleet.View().VMs().VMs) }
