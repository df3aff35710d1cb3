package fulmardaemon

import (
	"context"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

const (
	// plansPerVMPoll is the number of planning rounds between two polls of the VM list.
	plansPerVMPoll = 2
	planTimeout    = 5 * fulmarclock.Second
)

// runPlanner runs planning rounds until ctx ends.
func (d *Daemon) runPlanner(ctx context.Context) {
	for ctx.Err() == nil {
		d.planOnce(ctx)
		select {
		case <-d.clock.After(d.settings.Times.VMListInterval / plansPerVMPoll):
		case <-ctx.Done():
		}
	}
}

// planOnce assigns VMs to pools and advances moves of VMs, if this member is the
// planner and the platform is reachable.
func (d *Daemon) planOnce(ctx context.Context) {
	if !d.fleet.View().IsPlanner(d.self.Name) || d.IsIsolated() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, planTimeout.Duration())
	defer cancel()
	d.fleet.AssignOnce(ctx, d.platform, d.self.Name)
	d.mover.Step(ctx)
}
